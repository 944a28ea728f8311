//! Estimates how much load an endpoint can manage, from the times when it was slow.
//!
//! Inputs: this relay's load at the endpoint, in mean connections, and signs that the endpoint is slow or
//! overloaded. Output: a limit on this relay's own load there. The limit is set to the present load when
//! messages are slow, and is reduced further when messages come too late to be useful or connections are shed
//! (multiplicative decrease). The limit grows while the endpoint is healthy, so that a limit learned in a bad
//! minute does not last.

use super::api::Millis;

/// An endpoint is healthy if it was not reported slow for this long. A slow endpoint is reported once a
/// second.
const SLOW_REPORT_TTL_MS: Millis = 1500.0;
/// Factor by which the limit grows in each second in which the endpoint is healthy.
const GROWTH_PER_HEALTHY_SECOND: f64 = 1.08;
/// Milliseconds in a second.
const SECOND_MS: Millis = 1000.0;

/// A limit on this relay's own load at one endpoint, in mean connections.
pub(crate) struct LoadLimit {
    /// The limit as of `slow_at`; infinite until a limit is learned.
    pub limit: f64,
    /// When the endpoint was last slow.
    pub slow_at: Millis,
    /// When the limit was last reduced below the load of that time.
    pub reduced_at: Millis,
}

impl Default for LoadLimit {
    fn default() -> Self {
        LoadLimit { limit: f64::INFINITY, slow_at: f64::NEG_INFINITY, reduced_at: f64::NEG_INFINITY }
    }
}

impl LoadLimit {
    /// The current limit. `load_per_endpoint` is this relay's mean load per endpoint: this load is part of
    /// what grows, so that a limit near zero recovers too.
    pub fn current(&self, now: Millis, load_per_endpoint: f64) -> f64 {
        if !self.limit.is_finite() {
            return self.limit;
        }
        let healthy_seconds = (now - self.slow_at - SLOW_REPORT_TTL_MS).max(0.0) / SECOND_MS;
        (self.limit + load_per_endpoint) * GROWTH_PER_HEALTHY_SECOND.powf(healthy_seconds) - load_per_endpoint
    }

    /// Records that the endpoint is slow at this load. If `limits_load` is set, the limit becomes at most
    /// this load.
    pub fn record_slow(&mut self, now: Millis, load_per_endpoint: f64, load: f64, limits_load: bool) {
        if limits_load {
            self.limit = self.current(now, load_per_endpoint).min(load);
        }
        self.slow_at = now;
    }

    /// Records that the endpoint is overloaded: messages come too late to be useful, or it drops connections.
    /// The limit is reduced to `factor` times the present load or limit, whichever is less, once in a burst
    /// of such signs.
    pub fn record_overload(&mut self, now: Millis, load_per_endpoint: f64, load: f64, factor: f64) {
        self.limit = self.current(now, load_per_endpoint);
        self.slow_at = now;
        if now - self.reduced_at > SLOW_REPORT_TTL_MS {
            self.limit = self.limit.min(load) * factor;
            self.reduced_at = now;
        }
    }

    /// Whether the endpoint was not reported slow recently.
    pub fn is_healthy(&self, now: Millis) -> bool {
        now - self.slow_at > SLOW_REPORT_TTL_MS
    }
}
