//! The rate of arrivals, averaged with exponential decay.

use sandgw_units::Millis;

/// Time constant of the decay: after this time an arrival has 1/e of its initial weight.
pub const DECAY_TIME_MS: Millis = 10_000.0;
const MS_PER_S: Millis = 1000.0;
/// Standard deviations of the sampling error that are allowed for: 19 of 20 measurements lie within them.
const SAMPLING_ERROR_SIGMAS: f64 = 2.0;

/// A rate of arrivals, measured with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    /// Arrivals, each weighted by its age at `updated_at`.
    weight: f64,
    updated_at: Millis,
}

impl ArrivalRate {
    /// Records an arrival.
    pub fn record(&mut self, now: Millis) {
        self.weight = self.decayed_weight(now) + 1.0;
        self.updated_at = now;
    }

    /// The rate, in arrivals per second.
    ///
    /// ```
    /// let mut rate = sandgw_quota::rate::ArrivalRate::default();
    /// (0..600).for_each(|i| rate.record(f64::from(i) * 100.0));
    /// assert!((rate.per_s(60_000.0) - 10.0).abs() < 0.2);
    /// ```
    pub fn per_s(&self, now: Millis) -> f64 {
        self.decayed_weight(now) / DECAY_TIME_MS * MS_PER_S
    }

    fn decayed_weight(&self, now: Millis) -> f64 {
        self.weight * (-(now - self.updated_at).max(0.0) / DECAY_TIME_MS).exp()
    }
}

/// How far a measured rate may differ from the true rate by chance, in arrivals per second.
pub fn sampling_error(per_s: f64) -> f64 {
    SAMPLING_ERROR_SIGMAS * (per_s.max(0.0) / (2.0 * DECAY_TIME_MS / MS_PER_S)).sqrt()
}
