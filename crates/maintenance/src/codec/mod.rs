//! The datagram encoding of maintenance messages: plain text of at most 256 bytes.
//!
//! A datagram is a sequence of words separated by single spaces. The first word is [`PREFIX`], which no other
//! kind of datagram starts with, and the second word is the kind of the message. Numbers are in base 36.

mod decode;
mod encode;

pub use decode::decode;
pub use encode::encode;
pub use sandgw_datagram::MAX_BYTES;

/// The first word of every maintenance datagram: the kind of datagram and the version of its encoding.
pub const PREFIX: &str = "m1";

/// The words that identify the kinds of messages.
mod kind {
    pub const REQUEST_VOTE: &str = "c";
    pub const VOTE: &str = "v";
    pub const WRITE: &str = "w";
    pub const WRITE_ACK: &str = "k";
    pub const REQUEST_WINDOW: &str = "a";
    pub const CLOSE_WINDOW: &str = "x";
    pub const DECISION: &str = "t";
}

/// The words that identify the kinds of decisions.
mod decision {
    pub const GRANTED: &str = "g";
    pub const WAITS: &str = "w";
    /// Refused because another window waits; the id of that window follows.
    pub const BLOCKS_WAITING: &str = "n";
    /// Refused for any other reason; its position in [`RefusalReason::ALL`](crate::RefusalReason::ALL)
    /// follows.
    pub const REFUSED: &str = "r";
}

/// The letters that identify the kinds of scopes.
mod scope {
    pub const ZONE: &str = "h";
    pub const PART_OF_ZONE: &str = "p";
    pub const ENDPOINT: &str = "s";
    pub const RELAY: &str = "r";
}

/// Encodes an optional field that has no value.
const ABSENT: &str = "-";
/// Marks a window that overrides the capacity floors.
const OVERRIDES_FLOOR: &str = "f";
/// Marks a window that does not override the capacity floors.
const RESPECTS_FLOOR: &str = "n";
