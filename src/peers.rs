//! What relays tell each other, as datagrams of at most 256 bytes.

use crate::policy::api::PeerMessage;
use crate::simulator;

/// Writes a message as a datagram of form 1.
pub fn encode(message: &PeerMessage) -> String {
    simulator::message_text(message)
}

/// Reads a datagram of form 1; nothing of a bad one, which is no fault of this relay and is ignored.
pub fn decode(text: &str) -> Option<PeerMessage> {
    simulator::message(text)
}

/// A buffer for a datagram, one byte larger than allowed, so that a longer one shows as such.
pub const BUFFER: usize = simulator::MESSAGE_BYTES + 1;
