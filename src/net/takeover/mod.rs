//! Drives the hand-over between two processes of a relay: a Unix socket in a folder that both know.
//!
//! - `link`: messages and descriptors over the socket.
//! - `successor`: the process that starts, and takes the relay over.
//! - `predecessor`: the process that runs, offers the relay, and finishes what it has.
//!
//! What each side does next is decided by the state machines in `crate::handover`.

mod link;
mod predecessor;
mod successor;

use std::time::Duration;

pub use self::predecessor::offer;
pub use self::successor::{Predecessor, TakeoverError, follow_predecessor, request_snapshot, take_over};
use super::Shared;
use crate::handover::FIRST_PROTOCOL_VERSION;

/// The socket's name in the folder.
const SOCKET_NAME: &str = "sandgw-handover";
/// How long the other process may take to read a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// The newest version of messages that this process speaks.
fn newest_version(shared: &Shared) -> u32 {
    let Some(channel) = &shared.peer_channel else { return FIRST_PROTOCOL_VERSION };
    channel.borrow().negotiator.supported().newest().number().into()
}
