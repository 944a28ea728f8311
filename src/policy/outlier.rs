//! Outlier ejection: an endpoint whose attempts fail gets nothing new for a while.
//!
//! Inputs: attempts that failed by the endpoint's fault, and those that succeeded. Output: until when the
//! endpoint is skipped. The pause doubles with each failure in a row, as in exponential backoff. When all
//! candidates of a request are ejected the fault is more likely common to them, and selection uses them all
//! the same (`selection`).

use super::api::{Millis, Outcome};

/// Doublings of the pause at the most.
const MAX_DOUBLINGS: u32 = 4;

/// What is known of an endpoint's failures.
pub(crate) struct Ejection {
    /// Failures in a row.
    pub consecutive_failures: u32,
    /// The endpoint is skipped until then.
    pub ejected_until: Millis,
}

impl Default for Ejection {
    fn default() -> Self {
        Ejection { consecutive_failures: 0, ejected_until: f64::NEG_INFINITY }
    }
}

impl Ejection {
    /// Whether the endpoint is skipped now.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Counts a failure, unless the endpoint is ejected already. `base_pause` is the pause after the first.
    pub fn record_failure(&mut self, now: Millis, base_pause: Millis) {
        if self.is_ejected(now) {
            return;
        }
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        self.ejected_until = now + base_pause * f64::from(1u32 << doublings);
        self.consecutive_failures += 1;
    }

    /// An attempt has succeeded.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }
}

/// Whether an outcome counts against its endpoint. A time-out does not while set-ups are late everywhere
/// (`fault_is_common`): then something that all endpoints share is slow.
pub(crate) fn is_endpoint_failure(outcome: Outcome, was_established: bool, fault_is_common: bool) -> bool {
    match outcome {
        Outcome::Reset => true,
        Outcome::ConnectFailed => !was_established,
        Outcome::TimedOut => !was_established && !fault_is_common,
        // Errors and rejections show an endpoint that is there and has too much to do: `retry` paces
        // attempts for them.
        Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => false,
    }
}
