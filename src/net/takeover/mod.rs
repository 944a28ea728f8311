//! Drives the hand-over between two processes of a relay, over a Unix socket in a folder that both are
//! configured with.
//!
//! - `link`: sends and receives messages and descriptors over the socket.
//! - `successor`: the side of the starting process, which takes the relay over.
//! - `predecessor`: the side of the running process, which offers the relay.
//! - `outgoing`: one hand-over of the running process, which sends its state and afterwards its connections.
//!
//! The state machines in `crate::handover` decide what each side does next.

mod link;
mod outgoing;
mod predecessor;
mod successor;

use std::time::Duration;

pub use self::predecessor::offer;
pub use self::successor::{Predecessor, TakeoverFailure, follow_predecessor, request_snapshot, take_over};
use super::Shared;
use crate::handover::FIRST_PROTOCOL_VERSION;

/// File name of the hand-over's socket in the folder that both processes are configured with.
const SOCKET_NAME: &str = "sandgw-handover";
/// How long the other process may take to read a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the newest protocol version of hand-over messages that this process supports.
fn newest_version(shared: &Shared) -> u32 {
    let Some(channel) = &shared.peer_channel else { return FIRST_PROTOCOL_VERSION };
    channel.borrow().negotiator.supported().newest().number().into()
}
