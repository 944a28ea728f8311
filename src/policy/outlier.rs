//! Outlier ejection: an endpoint whose attempts fail gets no new attempts for a while.
//!
//! Inputs: attempts that failed through the fault of the endpoint, and attempts that succeeded. Output: the
//! time until which the endpoint is ejected. The ejection time doubles with each consecutive failure, as in
//! exponential backoff. If all candidates of a request are ejected, their fault is more likely a common one,
//! and `selection` uses them regardless.

use super::api::{Millis, Outcome};

/// Maximum number of times that the ejection time doubles.
const MAX_DOUBLINGS: u32 = 4;

/// An endpoint's consecutive failures and its ejection.
pub(crate) struct Ejection {
    /// Number of consecutive failures.
    pub consecutive_failures: u32,
    /// The endpoint is ejected until this time.
    pub ejected_until: Millis,
}

impl Default for Ejection {
    fn default() -> Self {
        Ejection { consecutive_failures: 0, ejected_until: f64::NEG_INFINITY }
    }
}

impl Ejection {
    /// Whether the endpoint is ejected now.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Records a failure, unless the endpoint is already ejected. `base_ejection_time` is the ejection time
    /// after the first failure.
    pub fn record_failure(&mut self, now: Millis, base_ejection_time: Millis) {
        if self.is_ejected(now) {
            return;
        }
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        self.ejected_until = now + base_ejection_time * f64::from(1u32 << doublings);
        self.consecutive_failures += 1;
    }

    /// Records an attempt that succeeded.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }
}

/// Whether an outcome counts as a failure of its endpoint. A time-out does not count while set-ups are late
/// at all endpoints (`fault_is_common`), because then something that all endpoints share is slow.
pub(crate) fn is_endpoint_failure(outcome: Outcome, was_established: bool, fault_is_common: bool) -> bool {
    match outcome {
        Outcome::Reset => true,
        Outcome::ConnectFailed => !was_established,
        Outcome::TimedOut => !was_established && !fault_is_common,
        // An endpoint that answers with errors or rejections is reachable but has too much load: `retry`
        // delays further attempts instead.
        Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => false,
    }
}
