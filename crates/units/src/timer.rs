//! Timers for components that do no I/O: each timer requests a wake-up from its driver, and does not request
//! the same wake-up twice.
//!
//! Both types take the time and the next deadline in milliseconds. They return the delay after which the
//! driver is to call, or `None` if an early enough wake-up is already pending. They never cancel a wake-up; a
//! call that comes too early is harmless.

use crate::Millis;

/// Deadlines this close together share one wake-up.
const COALESCE_MS: Millis = 1.0;

/// A timer that considers a pending wake-up as delivered once its time has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OneShotTimer {
    armed_for: Millis,
}

impl OneShotTimer {
    /// Returns the delay of the wake-up for `deadline`, at least `min_delay`; `None` if an early enough
    /// wake-up is pending.
    pub fn arm(&mut self, now: Millis, deadline: Millis, min_delay: Millis) -> Option<Millis> {
        let expired = self.armed_for <= now;
        let earlier = deadline + COALESCE_MS < self.armed_for;
        if !expired && !earlier {
            return None;
        }
        self.armed_for = deadline.max(now + min_delay);
        Some(self.armed_for - now)
    }
}

/// A timer that is pending until its driver reports the wake-up, or until the wake-up is overdue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AcknowledgedTimer {
    armed_for: Option<Millis>,
}

impl AcknowledgedTimer {
    /// Records that the driver has called: a wake-up that is due by now is no longer pending.
    pub fn acknowledge(&mut self, now: Millis) {
        if self.armed_for.is_some_and(|at| now + COALESCE_MS >= at) {
            self.armed_for = None;
        }
    }

    /// Returns the delay of the wake-up for `deadline`; `None` if an early enough wake-up is pending. A
    /// pending wake-up that is overdue by more than `lost_after` counts as lost.
    pub fn arm(&mut self, now: Millis, deadline: Millis, lost_after: Millis) -> Option<Millis> {
        let pending = self.armed_for.is_some_and(|at| at <= deadline + COALESCE_MS && at >= now - lost_after);
        if pending {
            return None;
        }
        self.armed_for = Some(deadline);
        Some((deadline - now).max(1.0))
    }
}
