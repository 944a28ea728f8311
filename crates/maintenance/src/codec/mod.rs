//! The encoding of messages about windows: plain text of at most 256 bytes.
//!
//! A datagram is a sequence of words separated by single spaces. The first is [`PREFIX`], which no
//! other kind of datagram starts with, and the second says which message it is; numbers are in base
//! 36.

mod decode;
mod encode;

pub use decode::decode;
pub use encode::encode;
pub use sandgw_datagram::MAX_BYTES;

/// The first word of every datagram: its kind and version.
pub const PREFIX: &str = "m1";

/// The words by which messages are told apart.
mod kind {
    pub const REQUEST_VOTE: &str = "c";
    pub const VOTE: &str = "v";
    pub const WRITE: &str = "w";
    pub const WRITE_ACK: &str = "k";
    pub const REQUEST_WINDOW: &str = "a";
    pub const CLOSE_WINDOW: &str = "x";
    pub const DECISION: &str = "t";
}

/// The words by which decisions are told apart.
mod decision {
    pub const GRANTED: &str = "g";
    pub const WAITS: &str = "w";
    /// Refused because another window waits, which is named.
    pub const BLOCKS_WAITING: &str = "n";
    /// Refused for another reason, by its position in [`RefusalReason::ALL`](crate::RefusalReason::ALL).
    pub const REFUSED: &str = "r";
}

/// The letters by which scopes are told apart.
mod scope {
    pub const ZONE: &str = "h";
    pub const PART_OF_ZONE: &str = "p";
    pub const ENDPOINT: &str = "s";
    pub const RELAY: &str = "r";
}

/// Stands for an optional field that has no value.
const ABSENT: &str = "-";
/// Marks a window that overrides the floor.
const OVERRIDES_FLOOR: &str = "f";
/// Marks a window that does not.
const HEEDS_FLOOR: &str = "n";
