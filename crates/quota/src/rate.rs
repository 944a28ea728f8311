//! Arrivals a second over a decayed window: each counts for less the longer it is ago.

use crate::Millis;

/// After this long an arrival counts for a third of what it did.
pub const WINDOW: Millis = 10_000.0;

/// A rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    sum: f64,
    at: Millis,
}

impl Rate {
    /// Something has arrived.
    pub fn add(&mut self, now: Millis) {
        (self.sum, self.at) = (self.left(now) + 1.0, now);
    }

    /// Arrivals a second.
    ///
    /// ```
    /// let mut rate = sandgw_quota::rate::Rate::default();
    /// (0..600).for_each(|i| rate.add(f64::from(i) * 100.0));
    /// assert!((rate.per_s(60_000.0) - 10.0).abs() < 0.2);
    /// ```
    pub fn per_s(&self, now: Millis) -> f64 {
        self.left(now) / WINDOW * 1000.0
    }

    fn left(&self, now: Millis) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / WINDOW).exp()
    }

    /// How far a true rate may be missed by chance, in 19 of 20 cases.
    pub fn chance(per_s: f64) -> f64 {
        2.0 * (per_s.max(0.0) / (2.0 * WINDOW / 1000.0)).sqrt()
    }
}
