//! The token bucket that bounds the bytes sent to other relays.

use crate::Millis;
use crate::codec::ClusterMessage;
use crate::outbox::{Outbox, OutgoingMessage};

/// Bytes that may be sent at once after a rest, as a fraction of a second's.
const BURST_FRACTION_OF_RATE: f64 = 0.25;
const MS_PER_S: f64 = 1000.0;

/// A token bucket of bytes.
pub(super) struct SendBudget {
    /// Bytes that may be sent now; below zero after messages that are not held back.
    available: f64,
    refilled_at: Millis,
}

impl Default for SendBudget {
    /// An empty bucket that the first refill fills.
    fn default() -> Self {
        SendBudget { available: 0.0, refilled_at: f64::NEG_INFINITY }
    }
}

impl SendBudget {
    pub fn refill(&mut self, now: Millis, bytes_per_s: f64) {
        let refilled = (now - self.refilled_at).max(0.0) / MS_PER_S * bytes_per_s;
        self.available = (self.available + refilled).min(bytes_per_s * BURST_FRACTION_OF_RATE);
        self.refilled_at = now;
    }

    pub fn is_available(&self) -> bool {
        self.available > 0.0
    }

    /// Sends a message. Requests and plans are few and not held back; they count all the same.
    pub fn send(&mut self, peer: u32, message: ClusterMessage, out: &mut Outbox) {
        self.available -= message.encode().map_or(0, |text| text.len()) as f64;
        out.push(OutgoingMessage::new(peer, message));
    }
}
