//! Sums whose terms decay exponentially with the mean lifetime of a connection.

use crate::Millis;

/// The fraction of a load that remains after a span of time.
pub(crate) fn decay_factor(span: Millis, mean_lifetime: Millis) -> f64 {
    (-span.max(0.0) / mean_lifetime.max(1.0)).exp()
}

/// A decaying sum, stored with its value at its latest change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    value: f64,
    updated_at: Millis,
}

impl DecayingSum {
    pub fn new(now: Millis) -> Self {
        DecayingSum { value: 0.0, updated_at: now }
    }

    pub fn add(&mut self, now: Millis, amount: f64, mean_lifetime: Millis) {
        self.value = self.value_at(now, mean_lifetime) + amount;
        self.updated_at = now;
    }

    pub fn value_at(&self, now: Millis, mean_lifetime: Millis) -> f64 {
        self.value * decay_factor(now - self.updated_at, mean_lifetime)
    }
}
