//! Hand-over of a relay from one process to the next: the messages, and each side's state machine.
//!
//! At most one of the two processes accepts requests at any time. Between [`Message::AcceptingStopped`] and
//! [`Message::OwnershipGranted`] neither accepts; the predecessor's time-out limits this period. The
//! predecessor process ([`PredecessorProcess`]) stops accepting before it announces the stop. The successor
//! ([`SuccessorProcess`]) accepts only after it was granted ownership.
//!
//! If the successor ends or the predecessor gives it up, the predecessor resumes accepting, and never
//! accepts beside a successor: before the stop it never ceased to accept, between stop and grant the
//! successor can't have begun, and after the grant the successor no longer runs. A predecessor that was told
//! to terminate does not resume once it has granted ownership.
//!
//! The state machines use neither sockets nor a clock. A driver carries out their actions, and reports
//! messages, time-outs and the end of the link. Times are in milliseconds.

mod codec;
mod message;
mod predecessor;
mod successor;

pub use self::codec::{DecodeError, MessageDecoder, encode};
pub use self::message::{Message, negotiate_version};
pub use self::predecessor::{PredecessorAction, PredecessorProcess, RefusalReason};
pub use self::successor::{SuccessorAction, SuccessorProcess, TakeoverError};

/// First protocol version, which every process speaks. Two processes use the newest version that both speak.
pub const FIRST_PROTOCOL_VERSION: u32 = 1;
/// The version that a successor states if it reads [`Message::ConnectionIds`], with or without schema versions.
pub const CONNECTION_IDS_VERSION: u32 = 3;
/// Reason that a process gives when it does not speak the requested protocol version.
pub const VERSION_MISMATCH: &str = "it speaks another form";
/// Maximum number of affinity records in one message.
pub const MAX_RECORDS_PER_MESSAGE: usize = 512;
/// Maximum number of hashes of connection ids in one message.
pub const MAX_IDS_PER_MESSAGE: usize = 4096;
/// Maximum number of entries of the endpoint list in one message.
pub const MAX_LIST_ENTRIES_PER_MESSAGE: usize = 64;
/// Maximum number of listening sockets that are passed.
pub const MAX_PASSED_SOCKETS: usize = 8;
/// Maximum number of established connections whose transfer is requested at a time.
pub const MAX_TRANSFERS_AT_A_TIME: usize = 64;
