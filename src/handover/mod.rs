//! How one process of a relay hands it over to the next: the messages, and each side's state machine.
//!
//! At most one of the two accepts requests at any time; from the stop to the grant neither does, until the
//! old one's time-out at most. The old one ([`PredecessorProcess`]) stops accepting before it says so; the
//! new one ([`SuccessorProcess`]) begins only once ownership was granted to it. If the new process ends or
//! is given up, the old one resumes, unless it was itself told to terminate: before the stop it never
//! ceased to accept, between stop and grant the new one can't have begun, and after the grant the new one
//! is gone.
//!
//! No socket and no clock: a driver sends what it is told to, and reports messages, timeouts and the end of
//! the link. Times are in milliseconds.

mod codec;
mod message;
mod predecessor;
mod successor;

pub use self::codec::{DecodeError, MessageDecoder, encode};
pub use self::message::{Message, negotiate_version};
pub use self::predecessor::{PredecessorAction, PredecessorProcess, RefusalReason};
pub use self::successor::{SuccessorAction, SuccessorProcess, TakeoverError};

/// First version of the messages, which every process speaks. Two processes use the newest that both speak.
pub const FIRST_PROTOCOL_VERSION: u32 = 1;
/// Text of a refusal by a process that does not speak the requested version.
pub const VERSION_MISMATCH: &str = "it speaks another form";
/// Affinity records in one message.
pub const MAX_RECORDS_PER_MESSAGE: usize = 512;
/// Entries of the endpoint list in one message.
pub const MAX_LIST_ENTRIES_PER_MESSAGE: usize = 64;
/// Listening sockets that are passed.
pub const MAX_PASSED_SOCKETS: usize = 8;
/// Established connections whose transfer is commanded at a time.
pub const MAX_TRANSFERS_AT_A_TIME: usize = 64;
