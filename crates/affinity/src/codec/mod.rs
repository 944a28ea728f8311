//! The cluster messages that relays send each other, each at most 256 bytes of plain text.
//!
//! A message is encoded with postcard and then with base64, because the platform's datagrams are text: base64
//! adds a third to the size, where hexadecimal digits would double it. A message that is too long, malformed
//! or of another version is ignored. The order of variants and fields is part of the wire format and must not
//! change.

mod packing;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint_registry::EndpointTag;

pub(crate) use packing::{pack_groups, pack_sessions};
pub use sandgw_datagram::MAX_BYTES as MAX_MESSAGE_BYTES;

/// Version of the wire format, the first character of each message.
pub const VERSION: char = '2';
/// Number of buckets into which a table is divided for comparison.
pub const BUCKETS: usize = 32;
/// Bytes reserved for the fields of a message that precede its rows.
const HEAD_BYTES: usize = 16;
/// Bytes that the rows of a message may fill, out of those that fit 256 bytes of text.
pub(crate) const ROWS_BYTES: usize = (MAX_MESSAGE_BYTES - 1) / 4 * 3 - HEAD_BYTES;
/// Bytes of an endpoint's load in a message: two for the short tag, two for the load.
const LOAD_ROW_BYTES: usize = 4;
/// Most endpoints in a message that lists endpoints with their load.
pub const LOADS_PER_MESSAGE: usize = ROWS_BYTES / LOAD_ROW_BYTES;
/// Most bytes of the endpoint list's revision.
const REVISION_BYTES: usize = 10;
/// Most endpoints in a message that lists draining or removed endpoints beside the list's revision.
pub const DRAINING_PER_MESSAGE: usize = (ROWS_BYTES - REVISION_BYTES) / size_of::<EndpointHash>();
/// Ages are sent in this many steps of the maximum age. Entries in the last step are not sent.
pub(crate) const AGE_STEPS: u8 = 4;

/// A client's key: the low 40 bits of a hash. Among a million entries, one lookup in a million finds the
/// entry of another client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Client(pub [u8; 5]);

impl Client {
    /// Number of bits of the key.
    pub const BITS: u32 = 40;
    /// The bits of a hash that make up the key.
    pub const KEY_MASK: u64 = (1 << Client::BITS) - 1;

    /// Converts a key as [`crate::Affinity::client_key`] returns it.
    pub fn of(key: u64) -> Client {
        let [a, b, c, d, e, ..] = key.to_le_bytes();
        Client([a, b, c, d, e])
    }

    /// The key as a number.
    pub fn key(self) -> u64 {
        let [a, b, c, d, e] = self.0;
        u64::from_le_bytes([a, b, c, d, e, 0, 0, 0])
    }
}

/// A hash of an endpoint's id. Among a thousand endpoints, the chance that any two collide is one in half a
/// billion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointHash(pub [u8; 6]);

impl EndpointHash {
    /// Hashes an endpoint's id.
    pub fn of(id: &str) -> EndpointHash {
        let [a, b, c, d, e, f, ..] = xxh3_64_with_seed(id.as_bytes(), 0).to_le_bytes();
        EndpointHash([a, b, c, d, e, f])
    }
}

/// A client, its holder and its age, before they are packed into messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionRow {
    pub tag: EndpointTag,
    /// Age of the entry in steps of the maximum age, rounded down.
    pub age: u8,
    pub key: u64,
}

/// Clients that an incarnation holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LocatedClients {
    /// The incarnation.
    pub tag: EndpointTag,
    /// Their keys.
    pub clients: Vec<Client>,
}

/// Clients that an incarnation holds and whose entries are of about the same age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StickyClients {
    /// The incarnation.
    pub tag: EndpointTag,
    /// The entries' age in quarters of the maximum age, rounded down.
    pub age: u8,
    /// Their keys.
    pub clients: Vec<Client>,
}

/// A holder of a group and the sender's own load of that group on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderRow {
    /// The incarnation.
    pub tag: EndpointTag,
    /// Load in sixteenths of a mean connection.
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

/// One of the two tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TableKind {
    /// Clients and their holders. All relays have the same entries, apart from lost messages.
    Sessions,
    /// Groups and each relay's own load on their holders, which differs from relay to relay.
    Groups,
}

/// A message to another relay. `round` is a random number that the requester chose, so that it recognises
/// answers to a request that its earlier incarnation sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClusterMessage {
    /// New locations of clients, unrequested or in answer to a query.
    LocationUpdate(Vec<LocatedClients>),
    /// Requests all entries in those buckets of a table whose digests differ.
    SyncRequest {
        /// The number that the requester chose for the request.
        round: u32,
        /// Which table.
        table: TableKind,
        /// The requester's digest of each bucket; empty to request all entries.
        digests: Vec<[u8; 4]>,
    },
    /// Answers a request with the number of chunks that will be sent of each bucket; 0 for a bucket that does
    /// not differ.
    SyncPlan {
        /// The number that the requester chose for the request.
        round: u32,
        /// Which table.
        table: TableKind,
        /// Number of chunks by bucket, without trailing zeros.
        chunk_counts: Vec<u16>,
    },
    /// A chunk of clients.
    Sessions {
        /// The number that the requester chose for the request.
        round: u32,
        /// The bucket.
        bucket: u8,
        /// Index of the chunk in the bucket.
        chunk: u16,
        /// The rows.
        rows: Vec<StickyClients>,
    },
    /// A chunk of groups.
    Groups {
        /// The number that the requester chose for the request.
        round: u32,
        /// The bucket.
        bucket: u8,
        /// Index of the chunk in the bucket.
        chunk: u16,
        /// The rows.
        rows: Vec<GroupRow>,
    },
    /// Requests lost chunks again.
    Resend {
        /// The number that the requester chose for the request.
        round: u32,
        /// Which table.
        table: TableKind,
        /// The bucket.
        bucket: u8,
        /// Indices of the chunks.
        chunks: Vec<u16>,
    },
    /// Queries clients' locations; the answer is a location update of those clients that are known.
    LocationQuery(Vec<Client>),
    /// The sender's load: short tags of endpoints, and the load on each in mean connections.
    LoadReport(Vec<([u8; 2], u8)>),
    /// The cluster's load, as far as the sender has received load reports.
    ClusterLoads {
        /// Load at all endpoints, in mean connections.
        total: u32,
        /// Short tags and loads of the endpoints that carry the most load for their weight.
        rows: Vec<([u8; 2], u16)>,
    },
    /// The interval between the cluster's polls of discovery. Relays of earlier versions ignore it.
    PollRate {
        /// Milliseconds between two polls.
        interval_ms: u16,
        /// How long the poll took from which the interval is derived, in milliseconds.
        call_duration_ms: u16,
    },
    /// Reports that the endpoint of this short tag was late to accept an attempt of the sender's. Relays of
    /// earlier versions ignore it.
    OverloadNotice([u8; 2]),
    /// Endpoints that are draining or removed, as of a revision of discovery's endpoint list. Relays of
    /// earlier versions ignore it.
    Draining {
        /// The list's revision.
        revision: u64,
        /// At most [`DRAINING_PER_MESSAGE`] endpoints.
        endpoints: Vec<EndpointHash>,
    },
    /// Queries the endpoints that have begun to drain or were removed since the sender's revision of the
    /// endpoint list, 0 where the sender has no list. Relays of earlier versions ignore it.
    DrainQuery(u64),
}

impl ClusterMessage {
    /// Encodes the message as text; `None` where the text would be too long, which does not happen to
    /// messages that this crate creates.
    pub fn encode(&self) -> Option<String> {
        sandgw_datagram::binary::encode(VERSION, self)
    }

    /// Decodes a message; `None` where the text is not a valid message.
    pub fn decode(text: &str) -> Option<ClusterMessage> {
        sandgw_datagram::binary::decode(VERSION, text)
    }
}
