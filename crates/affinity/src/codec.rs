//! What relays tell each other of their tables, in pieces of at most 256 bytes of plain text.
//!
//! A piece is postcard in base64: the platform's datagrams are text, and binary in text costs a third more where
//! hexadecimal digits cost twice. A piece that is too long, malformed or of another version reads as none.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint_registry::EndpointTag;

pub use sandgw_datagram::MAX_BYTES as MOST_BYTES;
/// First letter of a piece: its version.
pub const VERSION: char = '2';
/// Into how many parts a table is cut to be compared.
pub const BUCKETS: usize = 32;
/// Bytes that rows may fill of what 256 bytes of text hold, less the piece's own head.
pub(crate) const ROOM: usize = (MOST_BYTES - 1) / 4 * 3 - 16;
/// Endpoints that a piece names with their load: two bytes for a tag, two for a load.
pub const ENDPOINTS: usize = ROOM / 4;
/// Endpoints that a piece names as leaving, beside ten bytes for the list's version.
pub const LEAVING: usize = (ROOM - 10) / size_of::<EndpointHash>();
/// Parts of the greatest age that told ages are rounded up to; what is in the last one is not told.
pub(crate) const AGES: u8 = 4;

/// A client's key, hashed: the low 40 bits. Among a million entries one lookup in a million meets another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Client(pub [u8; 5]);

impl Client {
    /// Bits of the key.
    pub const BITS: u32 = 40;

    /// Of a key as [`crate::Affinity::client`] gives it.
    pub fn of(key: u64) -> Client {
        let [a, b, c, d, e, ..] = key.to_le_bytes();
        Client([a, b, c, d, e])
    }

    /// The key.
    pub fn key(self) -> u64 {
        let [a, b, c, d, e] = self.0;
        u64::from_le_bytes([a, b, c, d, e, 0, 0, 0])
    }
}

/// An endpoint's id, hashed: among a thousand, one pair in half a billion is alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointHash(pub [u8; 6]);

impl EndpointHash {
    /// Of an id.
    pub fn of(id: &str) -> EndpointHash {
        let [a, b, c, d, e, f, ..] = xxh3_64_with_seed(id.as_bytes(), 0).to_le_bytes();
        EndpointHash([a, b, c, d, e, f])
    }
}

/// Clients that one incarnation holds, of about one age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StickyClients {
    /// The incarnation.
    pub tag: EndpointTag,
    /// Their age in quarters of the greatest, rounded down.
    pub age: u8,
    /// Their keys.
    pub clients: Vec<Client>,
}

/// A group and what its teller has on each of its holders, in sixteenths of a mean connection's load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The group's key.
    pub key: [u8; 8],
    /// Its holders.
    pub holders: Vec<(EndpointTag, u16)>,
}

/// Which table is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Clients and their holders: the same at all relays, but for what was lost.
    Sessions,
    /// Groups and the teller's own load on their holders: each relay's are its own.
    Groups,
}

/// A piece; `round` is a number that its asker drew, so that what was meant for an earlier life of it shows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// New places of clients, unasked: an incarnation and those it holds now.
    LocationUpdate(Vec<(EndpointTag, Vec<Client>)>),
    /// Asks for all that differs from what these digests tell, one for each bucket.
    SyncRequest {
        /// The asker's number.
        round: u32,
        /// Which table.
        kind: Kind,
        /// What the asker has; nothing where all is wanted.
        digests: Vec<[u8; 4]>,
    },
    /// How many pieces will come of each bucket; none of one that does not differ.
    SyncPlan {
        /// The asker's number.
        round: u32,
        /// Which table.
        kind: Kind,
        /// Pieces by bucket, less those without any at the end.
        counts: Vec<u16>,
    },
    /// Clients.
    Sessions {
        /// The asker's number.
        round: u32,
        /// The bucket.
        bucket: u8,
        /// Number of the piece in it.
        number: u16,
        /// The rows.
        rows: Vec<StickyClients>,
    },
    /// Groups.
    Groups {
        /// The asker's number.
        round: u32,
        /// The bucket.
        bucket: u8,
        /// Number of the piece in it.
        number: u16,
        /// The rows.
        rows: Vec<GroupRow>,
    },
    /// Asks again for pieces that did not come.
    Resend {
        /// The asker's number.
        round: u32,
        /// Which table.
        kind: Kind,
        /// The bucket.
        bucket: u8,
        /// Their numbers.
        numbers: Vec<u16>,
    },
    /// Asks where clients stand; the answer is news of those that are known.
    LocationQuery(Vec<Client>),
    /// What the teller holds: short tags of endpoints, and load in mean connections.
    LoadReport(Vec<([u8; 2], u8)>),
    /// What the tier holds, as far as the teller has heard.
    ClusterLoads {
        /// At all endpoints, in mean connections.
        total: u32,
        /// Tags of endpoints and their load, of those that carry most for their size.
        rows: Vec<([u8; 2], u16)>,
    },
    /// How much time each of the tier's calls of discovery is to be left. A relay of a version before it reads none.
    PollRate {
        /// Milliseconds for each call.
        each: u16,
        /// What the call took that this rests on, in milliseconds.
        took: u16,
    },
    /// A set-up of the teller's has come late at this endpoint. A relay of a version before it reads none.
    OverloadNotice([u8; 2]),
    /// Endpoints that drain or are gone, as of a version of discovery's list. A relay of a version before it reads none.
    Draining {
        /// The list's version.
        revision: u64,
        /// At most [`LEAVING`] of them.
        endpoints: Vec<EndpointHash>,
    },
    /// Asks for endpoints that have left since the asker's version of the list, 0 where it has none. A relay of a
    /// version before it reads none.
    DrainQuery(u64),
}

impl ClusterMessage {
    /// The piece as text; nothing where it would be too long, which no piece made here is.
    pub fn text(&self) -> Option<String> {
        sandgw_datagram::binary::encode(VERSION, self)
    }

    /// Reads a piece; nothing of what is none.
    pub fn read(text: &str) -> Option<ClusterMessage> {
        sandgw_datagram::binary::decode(VERSION, text)
    }
}

/// Cuts clients into rows that fit a piece each. They are to be sorted by tag and age.
pub(crate) fn held_rows(clients: impl Iterator<Item = (EndpointTag, u8, u64)>) -> Vec<Vec<StickyClients>> {
    const HEAD: usize = size_of::<EndpointTag>() + 2;
    let (mut pieces, mut rows, mut used): (Vec<_>, Vec<StickyClients>, usize) = (Vec::new(), Vec::new(), 0);
    for (tag, age, key) in clients {
        let same = rows.last().is_some_and(|h| (h.tag, h.age) == (tag, age));
        let needs = size_of::<Client>() + if same { 0 } else { HEAD };
        let fresh = used + needs > ROOM;
        if fresh {
            pieces.push(std::mem::take(&mut rows));
            used = 0;
        }
        if fresh || !same {
            rows.push(StickyClients { tag, age, clients: Vec::new() });
            used += HEAD;
        }
        used += size_of::<Client>();
        rows.last_mut().into_iter().for_each(|h| h.clients.push(Client::of(key)));
    }
    pieces.extend((!rows.is_empty()).then_some(rows));
    pieces
}

/// Cuts groups into rows that fit a piece each.
pub(crate) fn group_rows(groups: impl Iterator<Item = GroupRow>) -> Vec<Vec<GroupRow>> {
    let (mut pieces, mut rows, mut used) = (Vec::new(), Vec::new(), 0);
    for row in groups {
        // A load takes up to three bytes.
        let needs = size_of_val(&row.key) + 1 + row.holders.len() * (size_of::<EndpointTag>() + 3);
        if used + needs > ROOM && !rows.is_empty() {
            pieces.push(std::mem::take(&mut rows));
            used = 0;
        }
        used += needs;
        rows.push(row);
    }
    pieces.extend((!rows.is_empty()).then_some(rows));
    pieces
}
