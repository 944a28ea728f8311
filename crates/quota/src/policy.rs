//! Decides which new connections are rejected where capacity is scarce: those of tenants over their quota.
//!
//! Inputs: scarcity signals, endpoints' replies, and the tenant's usage for each new connection. Output: a
//! verdict on that connection. Established connections are never touched, and while capacity is not scarce
//! all are admitted.
//!
//! A tenant over its rate is admitted at that rate; one over its connection limit, once it has fewer. A
//! burst reaches all relays before they know of each other's part of it, so each would admit the whole
//! remainder of the quota: therefore connections of a burst that exceeds the remainder are admitted at
//! random.

use sandgw_units::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rate::sampling_error;
use crate::usage_view::UsageView;

/// Capacity counts as scarce for this time after the last signal: signals come and go with each connection.
const SCARCITY_HOLD_MS: Millis = 5000.0;
/// Above this ratio of rejected attempts endpoints are saturated.
const SATURATED_REJECT_RATIO: f64 = 0.5;
/// Each attempt moves the reject ratio by one part in so many toward its own outcome.
const REJECT_RATIO_SMOOTHING: f64 = 4.0;
/// Burst that a tenant's rate limiter allows, as a span of its rate.
const RATE_BURST_MS: Millis = 2000.0;
/// Least burst that a tenant's rate limiter allows, in connections.
const MIN_RATE_BURST: f64 = 1.0;
const MS_PER_S: Millis = 1000.0;

/// Signals at this relay that capacity is scarce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScarcitySignals {
    /// The concurrency window is reduced, or connections are queued for it.
    pub window: bool,
    /// Endpoints are at their limit.
    pub endpoints: bool,
    /// File descriptors are nearly used up.
    pub descriptors: bool,
}

/// The decision on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its tenant is within its quota, or capacity is not scarce.
    Admit,
    /// Capacity is scarce and its tenant is over its quota.
    Reject,
}

/// A tenant's rate limiter (token bucket) and the count of its current burst.
#[derive(Clone, Copy, Debug)]
struct TenantLimiter {
    tokens: f64,
    refilled_at: Millis,
    /// Whether the tenant was over its rate at its last connection.
    is_over_rate: bool,
    /// Connections since `burst_since`, within the time that the other relays take to know of them.
    burst: u32,
    burst_since: Millis,
}

/// The admission policy; see the module documentation.
#[derive(Clone, Debug)]
pub struct QuotaPolicy {
    scarce_at: Millis,
    /// Moving average of attempts that endpoints reject.
    reject_ratio: f64,
    limiters: Vec<TenantLimiter>,
    rejections: u64,
    random_state: u64,
}

impl QuotaPolicy {
    /// A policy for so many tenants. The seed should differ from relay to relay.
    pub fn new(tenant_count: usize, now: Millis, seed: u64) -> Self {
        let limiter = TenantLimiter {
            tokens: MIN_RATE_BURST,
            refilled_at: now,
            is_over_rate: false,
            burst: 0,
            burst_since: now,
        };
        QuotaPolicy {
            scarce_at: f64::NEG_INFINITY,
            reject_ratio: 0.0,
            limiters: vec![limiter; tenant_count],
            rejections: 0,
            random_state: seed,
        }
    }

    /// Applies scarcity signals.
    pub fn observe_signals(&mut self, now: Millis, signals: ScarcitySignals) {
        if signals != ScarcitySignals::default() {
            self.record_scarcity(now);
        }
    }

    /// Capacity is scarce now: for example, a connection was rejected for lack of it.
    pub fn record_scarcity(&mut self, now: Millis) {
        self.scarce_at = now;
    }

    /// An endpoint has accepted a connection.
    pub fn record_endpoint_accept(&mut self) {
        self.reject_ratio -= self.reject_ratio / REJECT_RATIO_SMOOTHING;
    }

    /// An endpoint has rejected a connection: where most do, capacity is scarce.
    pub fn record_endpoint_reject(&mut self, now: Millis) {
        self.reject_ratio += (1.0 - self.reject_ratio) / REJECT_RATIO_SMOOTHING;
        if self.reject_ratio > SATURATED_REJECT_RATIO {
            self.record_scarcity(now);
        }
    }

    /// Whether capacity is scarce.
    pub fn is_scarce(&self, now: Millis) -> bool {
        now - self.scarce_at < SCARCITY_HOLD_MS
    }

    /// Connections rejected so far.
    pub fn rejections(&self) -> u64 {
        self.rejections
    }

    /// Decides about a connection of the tenant at this index, given its usage.
    pub fn decide(&mut self, now: Millis, index: usize, view: &UsageView) -> Verdict {
        // Updated without scarcity too: a tenant within its rate then has its burst when scarcity begins.
        let is_within_rate = self.is_within_rate(now, index, view);
        let is_within_quota = is_within_rate && self.is_within_connections(now, index, view);
        if is_within_quota || !self.is_scarce(now) {
            self.take_token(index);
            return Verdict::Admit;
        }
        self.rejections += 1;
        Verdict::Reject
    }

    /// Whether the tenant's rate allows one more connection at this relay. The tenant is over its rate from
    /// the limit plus the sampling error until it is below the limit; meanwhile this relay allows a part of
    /// the limit in proportion to the arrivals that reach it.
    fn is_within_rate(&mut self, now: Millis, index: usize, view: &UsageView) -> bool {
        let Some(limiter) = self.limiters.get_mut(index) else { return true };
        let Some(limit) = view.per_s_limit else { return true };
        let threshold = if limiter.is_over_rate { limit } else { limit + sampling_error(limit) };
        limiter.is_over_rate = view.per_s > threshold;
        let local_limit = limit * (view.local_per_s / view.per_s.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        let max_tokens = (local_limit * RATE_BURST_MS / MS_PER_S).max(MIN_RATE_BURST);
        let refill = local_limit * (now - limiter.refilled_at).max(0.0) / MS_PER_S;
        limiter.tokens = (limiter.tokens + refill).min(max_tokens);
        limiter.refilled_at = now;
        !limiter.is_over_rate || limiter.tokens >= 1.0
    }

    /// Whether the remainder of the tenant's connection limit allows one more, by chance where a burst
    /// exceeds it.
    fn is_within_connections(&mut self, now: Millis, index: usize, view: &UsageView) -> bool {
        let Some(limiter) = self.limiters.get_mut(index) else { return true };
        if !view.limit.is_finite() {
            return true;
        }
        if now - limiter.burst_since >= view.propagation_ms {
            limiter.burst_since = now;
            limiter.burst = 0;
        }
        // Steady arrivals are in the view's expectation. More than two at once are a burst: the other
        // relays are taken to have as many each, of which none has reported yet.
        let burst = f64::from(limiter.burst.saturating_sub(1)) * view.relay_count;
        limiter.burst = limiter.burst.saturating_add(1);
        self.random_fraction(now) * burst < view.limit - view.expected
    }

    /// A pseudo-random number from 0 to 1, without 1.
    fn random_fraction(&mut self, now: Millis) -> f64 {
        const MANTISSA_BITS: u32 = 53;
        self.random_state = xxh3_64_with_seed(&now.to_bits().to_le_bytes(), self.random_state);
        (self.random_state >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }

    fn take_token(&mut self, index: usize) {
        if let Some(limiter) = self.limiters.get_mut(index) {
            limiter.tokens = (limiter.tokens - 1.0).max(0.0);
        }
    }
}
