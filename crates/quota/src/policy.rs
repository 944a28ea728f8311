//! Decides which new connections are rejected where capacity is scarce: those of tenants over their quota.
//!
//! Inputs: scarcity signals, endpoints' replies, and the tenant's usage for each new connection. Output: a
//! verdict on that connection. Established connections are never closed, and while capacity is not scarce
//! all new connections are admitted.
//!
//! The connections of a tenant over its rate limit are admitted at that rate. A tenant over its connection
//! limit has no connection admitted until it has fewer. Near that limit a relay cannot know by itself whether
//! one more connection is within the limit: a burst reaches all relays before they know of each other's part
//! of it. So a relay admits only a small part of the remaining connections by itself, and requests grants for
//! the rest (`grant_client`).

use sandgw_units::Millis;

use crate::grant_client::Ticket;
use crate::rate::sampling_error;
use crate::usage_view::UsageView;

/// Capacity counts as scarce for this time after the last signal of scarcity, since these signals come and go
/// with each connection.
const SCARCITY_HOLD_MS: Millis = 5000.0;
/// For this time after [`SCARCITY_HOLD_MS`], connections over quota are admitted at a rate that keeps
/// doubling. While the quotas themselves prevent scarcity there are no signals of scarcity, and without this
/// recovery a flood would take all free capacity at once.
const RECOVERY_MS: Millis = 5000.0;
/// The rate at which the recovery begins, in connections per second.
const FIRST_RECOVERY_PER_S: f64 = 1.0;
/// The time in which the rate of the recovery doubles.
const RECOVERY_DOUBLING_MS: Millis = 1000.0;
/// Endpoints count as saturated above this ratio of rejected attempts.
const SATURATED_REJECT_RATIO: f64 = 0.5;
/// Each attempt moves the reject ratio toward the attempt's outcome by one part in this number.
const REJECT_RATIO_SMOOTHING: f64 = 4.0;
/// Burst that a tenant's rate limiter allows, as the time in which as many connections arrive at its rate.
const RATE_BURST_MS: Millis = 2000.0;
/// Smallest burst that a tenant's rate limiter allows, in connections.
const MIN_RATE_BURST: f64 = 1.0;
const MS_PER_S: Millis = 1000.0;
/// All relays together may admit this fraction of a limit's remaining connections without a grant, before
/// they know of each other's connections.
const UNGRANTED_FRACTION: f64 = 0.25;

/// Signals at this relay that capacity is scarce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScarcitySignals {
    /// The concurrency limit is reduced, or connections are queued for it.
    pub concurrency_limit_reduced: bool,
    /// Endpoints are at their limit.
    pub endpoints: bool,
    /// File descriptors are nearly used up.
    pub descriptors: bool,
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The tenant has used up the connections, or the arrivals, of its quota.
    OverQuota,
    /// The tenant has used up the part of its quota that this relay may decide about while it receives
    /// reports from no more than half of the cluster.
    OverLocalPart,
    /// The coordinator did not answer in time whether the connection is within the quota.
    NotGranted,
}

/// The decision on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The tenant is within its quota, or capacity is not scarce.
    Admit,
    /// The coordinator is asked whether the connection is within the quota; for the decision see
    /// [`QuotaManager::take_decided`](crate::QuotaManager::take_decided).
    Wait(Ticket),
    /// Capacity is scarce, and the tenant is over its quota or the coordinator did not answer in time.
    Reject(RejectReason),
}

/// What this relay can decide about a connection by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Assessment {
    Admit,
    Reject(RejectReason),
    /// The connection is within the quota as far as this relay knows, but other relays may have used up the
    /// quota by now.
    NeedsGrant,
}

/// A tenant's rate limiter (token bucket), and the number of its connections admitted without a grant.
#[derive(Clone, Copy, Debug)]
struct TenantLimiter {
    tokens: f64,
    refilled_at: Millis,
    /// Whether the tenant was over its rate at its last arrival.
    is_over_rate: bool,
    /// Connections admitted without a grant since `ungranted_since`; other relays may not know of them.
    ungranted: f64,
    ungranted_since: Millis,
}

/// Whether capacity is scarce, so that quotas are enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scarcity {
    Present,
    /// There has been no signal of scarce capacity for [`SCARCITY_HOLD_MS`]: connections over quota are
    /// admitted at an increasing rate.
    Receding,
    Absent,
}

/// The admission policy; see the module documentation.
#[derive(Clone, Debug)]
pub struct QuotaPolicy {
    scarce_at: Millis,
    /// When this relay last found endpoints short of capacity.
    endpoints_short_at: Millis,
    /// Whether other relays find endpoints short of capacity.
    is_scarce_elsewhere: bool,
    /// Connections over quota that may be admitted while scarcity recedes.
    recovery_tokens: f64,
    recovery_refilled_at: Millis,
    /// Moving average of the ratio of attempts that endpoints reject.
    reject_ratio: f64,
    limiters: Vec<TenantLimiter>,
}

impl QuotaPolicy {
    /// Creates a policy for `tenant_count` tenants.
    pub fn new(tenant_count: usize, now: Millis) -> Self {
        let limiter = TenantLimiter {
            tokens: MIN_RATE_BURST,
            refilled_at: now,
            is_over_rate: false,
            ungranted: 0.0,
            ungranted_since: now,
        };
        QuotaPolicy {
            scarce_at: f64::NEG_INFINITY,
            endpoints_short_at: f64::NEG_INFINITY,
            is_scarce_elsewhere: false,
            recovery_tokens: 1.0,
            recovery_refilled_at: now,
            reject_ratio: 0.0,
            limiters: vec![limiter; tenant_count],
        }
    }

    /// Applies scarcity signals.
    pub fn observe_signals(&mut self, now: Millis, signals: ScarcitySignals) {
        if signals.endpoints {
            self.endpoints_short_at = now;
        }
        if signals != ScarcitySignals::default() {
            self.record_scarcity(now);
        }
    }

    /// Records whether other relays find endpoints short of capacity. When they no longer do, scarcity
    /// recedes at this relay as it does after a signal of its own.
    pub(crate) fn observe_scarcity_elsewhere(&mut self, now: Millis, is_scarce: bool) {
        if is_scarce && now - self.scarce_at > SCARCITY_HOLD_MS {
            self.record_scarcity(now - SCARCITY_HOLD_MS);
        }
        self.is_scarce_elsewhere = is_scarce;
    }

    /// Whether this relay has recently found endpoints short of capacity.
    pub(crate) fn finds_endpoints_short(&self, now: Millis) -> bool {
        now - self.endpoints_short_at < SCARCITY_HOLD_MS
    }

    /// Records that capacity is scarce now: for example, a connection was rejected for lack of it.
    pub fn record_scarcity(&mut self, now: Millis) {
        self.scarce_at = now;
        self.recovery_tokens = 1.0;
        self.recovery_refilled_at = now + SCARCITY_HOLD_MS;
    }

    /// Records that an endpoint has accepted a connection.
    pub fn record_endpoint_accept(&mut self) {
        self.reject_ratio -= self.reject_ratio / REJECT_RATIO_SMOOTHING;
    }

    /// Records that an endpoint has rejected a connection. If endpoints reject most attempts, capacity is
    /// scarce.
    pub fn record_endpoint_reject(&mut self, now: Millis) {
        self.reject_ratio += (1.0 - self.reject_ratio) / REJECT_RATIO_SMOOTHING;
        if self.reject_ratio > SATURATED_REJECT_RATIO {
            self.endpoints_short_at = now;
            self.record_scarcity(now);
        }
    }

    /// Whether capacity is scarce, or was until recently.
    pub fn is_scarce(&self, now: Millis) -> bool {
        self.scarcity(now) != Scarcity::Absent
    }

    fn scarcity(&self, now: Millis) -> Scarcity {
        let since = now - self.scarce_at;
        if since < SCARCITY_HOLD_MS || self.is_scarce_elsewhere {
            Scarcity::Present
        } else if since < SCARCITY_HOLD_MS + RECOVERY_MS {
            Scarcity::Receding
        } else {
            Scarcity::Absent
        }
    }

    /// Takes a token for one more connection over quota while scarcity recedes; returns whether there was a
    /// token.
    fn take_recovery_token(&mut self, now: Millis) -> bool {
        let doublings = (now - self.scarce_at - SCARCITY_HOLD_MS) / RECOVERY_DOUBLING_MS;
        let per_s = FIRST_RECOVERY_PER_S * doublings.exp2();
        let refill = per_s * (now - self.recovery_refilled_at).max(0.0) / MS_PER_S;
        self.recovery_tokens = (self.recovery_tokens + refill).min(per_s.max(1.0));
        self.recovery_refilled_at = now;
        let is_available = self.recovery_tokens >= 1.0;
        if is_available {
            self.recovery_tokens -= 1.0;
        }
        is_available
    }

    /// Assesses a connection of the tenant at this index, given the tenant's usage.
    pub(crate) fn assess(&mut self, now: Millis, index: usize, view: &UsageView) -> Assessment {
        // The rate limiter is updated without scarcity too, so that a tenant within its rate has its full
        // burst when scarcity begins.
        let is_within_rate = self.is_within_rate(now, index, view);
        let assessment = Self::assess_quota(is_within_rate, view);
        let is_over = matches!(assessment, Assessment::Reject(_));
        match self.scarcity(now) {
            Scarcity::Absent => Assessment::Admit,
            Scarcity::Receding if is_over && self.take_recovery_token(now) => Assessment::Admit,
            Scarcity::Receding | Scarcity::Present => assessment,
        }
    }

    /// Assesses a connection for the case that capacity is scarce.
    fn assess_quota(is_within_rate: bool, view: &UsageView) -> Assessment {
        if !is_within_rate {
            return Assessment::Reject(RejectReason::OverQuota);
        }
        if !view.limit.is_finite() {
            return Assessment::Admit;
        }
        if view.remaining() < 1.0 {
            let reason =
                if view.is_limit_partial { RejectReason::OverLocalPart } else { RejectReason::OverQuota };
            return Assessment::Reject(reason);
        }
        // A relay that receives no reports decides by itself about its own part of the limit.
        if view.reporters > 0.0 { Assessment::NeedsGrant } else { Assessment::Admit }
    }

    /// Whether this relay may admit one more connection without a grant; if so, counts the connection.
    pub(crate) fn take_ungranted(&mut self, now: Millis, index: usize, view: &UsageView) -> bool {
        self.take_fraction_of_remaining(now, index, view, UNGRANTED_FRACTION)
    }

    /// Whether this relay may admit one more connection after the coordinator has not answered: all relays
    /// have equal parts of the remaining connections. If so, counts the connection.
    pub(crate) fn take_equal_part(&mut self, now: Millis, index: usize, view: &UsageView) -> bool {
        self.take_fraction_of_remaining(now, index, view, 1.0)
    }

    fn take_fraction_of_remaining(
        &mut self,
        now: Millis,
        index: usize,
        view: &UsageView,
        fraction: f64,
    ) -> bool {
        let Some(limiter) = self.limiters.get_mut(index) else { return true };
        // Connections admitted without a grant count until the other relays' reports date from a time at
        // which those relays knew of them.
        let reported_at = now - view.age_ms;
        if reported_at - limiter.ungranted_since >= view.propagation_ms {
            limiter.ungranted_since = now;
            limiter.ungranted = 0.0;
        }
        // The remaining connections, before those that this relay has admitted without a grant.
        let remaining = view.limit - view.expected + limiter.ungranted;
        let is_within = limiter.ungranted + 1.0 <= remaining * fraction / view.relay_count;
        if is_within {
            limiter.ungranted += 1.0;
        }
        is_within
    }

    /// Whether the tenant's rate limit allows one more connection at this relay. The tenant counts as over
    /// its rate once its rate exceeds the limit plus the sampling error, and until its rate is within the
    /// limit. Meanwhile this relay allows a part of the limit in proportion to the arrivals that reach this
    /// relay.
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

    /// Takes a token from the tenant's rate limiter for an admitted connection.
    pub(crate) fn take_token(&mut self, index: usize) {
        if let Some(limiter) = self.limiters.get_mut(index) {
            limiter.tokens = (limiter.tokens - 1.0).max(0.0);
        }
    }
}
