//! The token bucket that limits the bytes sent to other relays.

use crate::Millis;
use crate::codec::ClusterMessage;
use crate::outbox::{Outbox, OutgoingMessage};

/// Size of the bucket as a fraction of the bytes that may be sent within a second: the burst allowed after an
/// idle time.
const BURST_FRACTION_OF_RATE: f64 = 0.25;
const MS_PER_S: f64 = 1000.0;

/// A token bucket of bytes.
pub(super) struct SendBudget {
    /// Bytes that may be sent now; negative after messages that are sent regardless of the budget.
    available: f64,
    refilled_at: Millis,
}

impl Default for SendBudget {
    /// Creates an empty bucket, which the first refill fills.
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

    /// Sends a message and charges its bytes to the budget. Requests and plans are few, so they are sent even
    /// without budget left, but are charged too.
    pub fn send(&mut self, peer: u32, message: ClusterMessage, out: &mut Outbox) {
        self.available -= message.encode().map_or(0, |text| text.len()) as f64;
        out.push(OutgoingMessage::new(peer, message));
    }
}
