//! What relays send each other, in messages of at most 256 bytes of plain text.
//!
//! A message is postcard in base64: the platform's datagrams are text, and binary in text costs a third
//! more where hexadecimal digits cost twice. A message that is too long, malformed or of another version is
//! ignored. The order of variants and fields is the wire format: it must not change.

mod packing;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint_registry::EndpointTag;

pub(crate) use packing::{pack_groups, pack_sessions};
pub use sandgw_datagram::MAX_BYTES as MAX_MESSAGE_BYTES;

/// First letter of a message: its version.
pub const VERSION: char = '2';
/// Into how many parts a table is cut to be compared.
pub const BUCKETS: usize = 32;
/// Bytes reserved for a message's own head.
const HEAD_BYTES: usize = 16;
/// Bytes that rows may fill of what 256 bytes of text hold.
pub(crate) const ROWS_BYTES: usize = (MAX_MESSAGE_BYTES - 1) / 4 * 3 - HEAD_BYTES;
/// Bytes of an endpoint's load in a message: two for its tag, two for the load.
const LOAD_ROW_BYTES: usize = 4;
/// Endpoints that a message names with their load.
pub const LOADS_PER_MESSAGE: usize = ROWS_BYTES / LOAD_ROW_BYTES;
/// Bytes of a list's revision at most.
const REVISION_BYTES: usize = 10;
/// Endpoints that a message names as draining or removed, beside the list's revision.
pub const DRAINING_PER_MESSAGE: usize = (ROWS_BYTES - REVISION_BYTES) / size_of::<EndpointHash>();
/// Steps of the maximum age that ages are sent in; what is in the last one is not sent.
pub(crate) const AGE_STEPS: u8 = 4;

/// A client's key, hashed: the low 40 bits. Among a million entries one lookup in a million meets another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Client(pub [u8; 5]);

impl Client {
    /// Bits of the key.
    pub const BITS: u32 = 40;
    /// The bits of a hash that make up the key.
    pub const KEY_MASK: u64 = (1 << Client::BITS) - 1;

    /// Of a key as [`crate::Affinity::client_key`] gives it.
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

/// An endpoint's id, hashed: among a thousand, one pair in half a billion collides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointHash(pub [u8; 6]);

impl EndpointHash {
    /// Of an id.
    pub fn of(id: &str) -> EndpointHash {
        let [a, b, c, d, e, f, ..] = xxh3_64_with_seed(id.as_bytes(), 0).to_le_bytes();
        EndpointHash([a, b, c, d, e, f])
    }
}

/// A client, its holder and its age, as it is packed into messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionRow {
    pub tag: EndpointTag,
    /// In steps of the maximum age, rounded down.
    pub age: u8,
    pub key: u64,
}

/// Clients that one incarnation holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocatedClients {
    /// The incarnation.
    pub tag: EndpointTag,
    /// Their keys.
    pub clients: Vec<Client>,
}

/// Clients that one incarnation holds, of about one age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StickyClients {
    /// The incarnation.
    pub tag: EndpointTag,
    /// Their age in quarters of the maximum age, rounded down.
    pub age: u8,
    /// Their keys.
    pub clients: Vec<Client>,
}

/// A holder of a group and the sender's own load there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderRow {
    /// The incarnation.
    pub tag: EndpointTag,
    /// In sixteenths of a mean connection's load.
    pub load_units: u16,
}

/// A group and the sender's own load on each of its holders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The group's key.
    pub key: [u8; 8],
    /// Its holders.
    pub holders: Vec<HolderRow>,
}

/// Which table is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TableKind {
    /// Clients and their holders: the same at all relays, but for what was lost.
    Sessions,
    /// Groups and each relay's own load on their holders: different at each relay.
    Groups,
}

/// A message to another relay. `round` is a number that the requester drew, so that answers to a request of
/// its earlier incarnation are recognised.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// New locations of clients, unrequested or in answer to a query.
    LocationUpdate(Vec<LocatedClients>),
    /// Requests all entries of a table in buckets whose digests differ.
    SyncRequest {
        /// The requester's number.
        round: u32,
        /// Which table.
        table: TableKind,
        /// A digest of each bucket that the requester has; none to request all entries.
        digests: Vec<[u8; 4]>,
    },
    /// How many chunks will be sent of each bucket; none of one that does not differ.
    SyncPlan {
        /// The requester's number.
        round: u32,
        /// Which table.
        table: TableKind,
        /// Chunks by bucket, without trailing zeros.
        chunk_counts: Vec<u16>,
    },
    /// A chunk of clients.
    Sessions {
        /// The requester's number.
        round: u32,
        /// The bucket.
        bucket: u8,
        /// Index of the chunk in it.
        chunk: u16,
        /// The rows.
        rows: Vec<StickyClients>,
    },
    /// A chunk of groups.
    Groups {
        /// The requester's number.
        round: u32,
        /// The bucket.
        bucket: u8,
        /// Index of the chunk in it.
        chunk: u16,
        /// The rows.
        rows: Vec<GroupRow>,
    },
    /// Requests chunks again that were lost.
    Resend {
        /// The requester's number.
        round: u32,
        /// Which table.
        table: TableKind,
        /// The bucket.
        bucket: u8,
        /// Indices of the chunks.
        chunks: Vec<u16>,
    },
    /// Queries clients' locations; the answer is an update of those that are known.
    LocationQuery(Vec<Client>),
    /// The sender's load: short tags of endpoints, and load in mean connections.
    LoadReport(Vec<([u8; 2], u8)>),
    /// The cluster's load, as far as the sender has reports.
    ClusterLoads {
        /// At all endpoints, in mean connections.
        total: u32,
        /// Tags of endpoints and their load, of those that carry most for their weight.
        rows: Vec<([u8; 2], u16)>,
    },
    /// The interval between the cluster's polls of discovery. Relays of earlier versions ignore it.
    PollRate {
        /// Milliseconds between two polls.
        interval_ms: u16,
        /// How long the poll took that this is derived from, in milliseconds.
        call_duration_ms: u16,
    },
    /// A set-up of the sender's was late at this endpoint. Relays of earlier versions ignore it.
    OverloadNotice([u8; 2]),
    /// Endpoints that drain or are removed, as of a revision of discovery's list. Relays of earlier
    /// versions ignore it.
    Draining {
        /// The list's revision.
        revision: u64,
        /// At most [`DRAINING_PER_MESSAGE`] of them.
        endpoints: Vec<EndpointHash>,
    },
    /// Queries endpoints that have left since the sender's revision of the list, 0 where it has none.
    /// Relays of earlier versions ignore it.
    DrainQuery(u64),
}

impl ClusterMessage {
    /// The message as text; nothing where it would be too long, which no message made here is.
    pub fn encode(&self) -> Option<String> {
        sandgw_datagram::binary::encode(VERSION, self)
    }

    /// Reads a message; nothing where the text is not a valid one.
    pub fn decode(text: &str) -> Option<ClusterMessage> {
        sandgw_datagram::binary::decode(VERSION, text)
    }
}
