//! Decides which new connections are rejected where capacity is scarce: those of tenants over their quota.
//!
//! Inputs: scarcity signals, endpoints' replies, and the tenant's usage for each new connection. Output: a
//! verdict on that connection. Established connections are never touched, and while capacity is not scarce
//! all are admitted.
//!
//! A tenant over its rate is admitted at that rate; one over its connection limit, once it has fewer. Near
//! that limit a relay can't know by itself whether one more is within it: a burst reaches all relays before
//! they know of each other's part of it. So a relay admits only a small part of what is left by itself, and
//! has the rest granted (`grant_client`).

use sandgw_units::Millis;

use crate::grant_client::Ticket;
use crate::rate::sampling_error;
use crate::usage_view::UsageView;

/// Capacity counts as scarce for this time after the last signal: signals come and go with each connection.
const SCARCITY_HOLD_MS: Millis = 5000.0;
/// After that, connections over quota are admitted at a rate that doubles, for this time. Where quotas are
/// what keeps capacity from being short, there are no signals, and a flood would take all of it at once.
const RECOVERY_MS: Millis = 5000.0;
/// The rate, in connections a second, at which the recovery begins.
const FIRST_RECOVERY_PER_S: f64 = 1.0;
/// The time in which it doubles.
const RECOVERY_DOUBLING_MS: Millis = 1000.0;
/// Above this ratio of rejected attempts endpoints are saturated.
const SATURATED_REJECT_RATIO: f64 = 0.5;
/// Each attempt moves the reject ratio by one part in so many toward its own outcome.
const REJECT_RATIO_SMOOTHING: f64 = 4.0;
/// Burst that a tenant's rate limiter allows, as a span of its rate.
const RATE_BURST_MS: Millis = 2000.0;
/// Least burst that a tenant's rate limiter allows, in connections.
const MIN_RATE_BURST: f64 = 1.0;
const MS_PER_S: Millis = 1000.0;
/// All relays together may admit this fraction of what is left of a limit without a grant, before they know
/// of each other's connections.
const UNGRANTED_FRACTION: f64 = 0.25;

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

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// Its tenant has all the connections, or all the arrivals, of its quota.
    OverQuota,
    /// Its tenant has all of the part of its quota that this relay may decide about, while it hears from no
    /// more than half of the cluster.
    OverPart,
    /// The coordinator did not answer in time whether it is within the quota.
    NotGranted,
}

/// The decision on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its tenant is within its quota, or capacity is not scarce.
    Admit,
    /// Whether its tenant is within its quota is known in a moment: see
    /// [`QuotaManager::take_decided`](crate::QuotaManager::take_decided).
    Wait(Ticket),
    /// Capacity is scarce and its tenant is over its quota.
    Reject(RejectReason),
}

/// What this relay can say of a connection by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Assessment {
    Admit,
    Reject(RejectReason),
    /// It is within the quota by all that is known here, which others may have used up by now.
    NeedsGrant,
}

/// A tenant's rate limiter (token bucket), and what was admitted without a grant.
#[derive(Clone, Copy, Debug)]
struct TenantLimiter {
    tokens: f64,
    refilled_at: Millis,
    /// Whether the tenant was over its rate at its last connection.
    is_over_rate: bool,
    /// Connections admitted without a grant since `ungranted_since`, of which the other relays may not know.
    ungranted: f64,
    ungranted_since: Millis,
}

/// Whether quotas are enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scarcity {
    Present,
    /// There has been no signal for a while: connections over quota are admitted little by little.
    Receding,
    Absent,
}

/// The admission policy; see the module documentation.
#[derive(Clone, Debug)]
pub struct QuotaPolicy {
    scarce_at: Millis,
    /// When endpoints were last found short of capacity, here.
    endpoints_short_at: Millis,
    /// Other relays find endpoints short of capacity.
    is_scarce_elsewhere: bool,
    /// Connections over quota that may be admitted while scarcity recedes.
    recovery_tokens: f64,
    recovery_refilled_at: Millis,
    /// Moving average of attempts that endpoints reject.
    reject_ratio: f64,
    limiters: Vec<TenantLimiter>,
}

impl QuotaPolicy {
    /// A policy for so many tenants.
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

    /// Whether other relays find endpoints short of capacity. Where they did until now, that recedes here as
    /// it does after a signal of this relay's own.
    pub(crate) fn observe_scarcity_elsewhere(&mut self, now: Millis, is_scarce: bool) {
        if is_scarce && now - self.scarce_at > SCARCITY_HOLD_MS {
            self.record_scarcity(now - SCARCITY_HOLD_MS);
        }
        self.is_scarce_elsewhere = is_scarce;
    }

    /// Whether this relay has found endpoints short of capacity lately.
    pub(crate) fn finds_endpoints_short(&self, now: Millis) -> bool {
        now - self.endpoints_short_at < SCARCITY_HOLD_MS
    }

    /// Capacity is scarce now: for example, a connection was rejected for lack of it.
    pub fn record_scarcity(&mut self, now: Millis) {
        self.scarce_at = now;
        self.recovery_tokens = 1.0;
        self.recovery_refilled_at = now + SCARCITY_HOLD_MS;
    }

    /// An endpoint has accepted a connection.
    pub fn record_endpoint_accept(&mut self) {
        self.reject_ratio -= self.reject_ratio / REJECT_RATIO_SMOOTHING;
    }

    /// An endpoint has rejected a connection: where most do, capacity is scarce.
    pub fn record_endpoint_reject(&mut self, now: Millis) {
        self.reject_ratio += (1.0 - self.reject_ratio) / REJECT_RATIO_SMOOTHING;
        if self.reject_ratio > SATURATED_REJECT_RATIO {
            self.endpoints_short_at = now;
            self.record_scarcity(now);
        }
    }

    /// Whether capacity is scarce, or was a moment ago.
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

    /// Whether one more connection over quota is admitted while scarcity recedes. Takes it.
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

    /// Assesses a connection of the tenant at this index, given its usage.
    pub(crate) fn assess(&mut self, now: Millis, index: usize, view: &UsageView) -> Assessment {
        // Updated without scarcity too: a tenant within its rate then has its burst when scarcity begins.
        let is_within_rate = self.is_within_rate(now, index, view);
        let assessment = Self::assess_quota(is_within_rate, view);
        let is_over = matches!(assessment, Assessment::Reject(_));
        match self.scarcity(now) {
            Scarcity::Absent => Assessment::Admit,
            Scarcity::Receding if is_over && self.take_recovery_token(now) => Assessment::Admit,
            Scarcity::Receding | Scarcity::Present => assessment,
        }
    }

    /// The same where capacity is scarce.
    fn assess_quota(is_within_rate: bool, view: &UsageView) -> Assessment {
        if !is_within_rate {
            return Assessment::Reject(RejectReason::OverQuota);
        }
        if !view.limit.is_finite() {
            return Assessment::Admit;
        }
        if view.remaining() < 1.0 {
            let reason = if view.is_limit_partial { RejectReason::OverPart } else { RejectReason::OverQuota };
            return Assessment::Reject(reason);
        }
        // Who hears nobody decides about its own part of the limit.
        if view.reporters > 0.0 { Assessment::NeedsGrant } else { Assessment::Admit }
    }

    /// Whether one more is within what this relay may admit without a grant. Takes it.
    pub(crate) fn take_ungranted(&mut self, now: Millis, index: usize, view: &UsageView) -> bool {
        self.take_part(now, index, view, UNGRANTED_FRACTION)
    }

    /// The same once the coordinator has not answered: an even part of what is left.
    pub(crate) fn take_even_part(&mut self, now: Millis, index: usize, view: &UsageView) -> bool {
        self.take_part(now, index, view, 1.0)
    }

    fn take_part(&mut self, now: Millis, index: usize, view: &UsageView, fraction: f64) -> bool {
        let Some(limiter) = self.limiters.get_mut(index) else { return true };
        // What was admitted counts until the others' reports are from after it was known to them.
        let reported_at = now - view.age_ms;
        if reported_at - limiter.ungranted_since >= view.propagation_ms {
            limiter.ungranted_since = now;
            limiter.ungranted = 0.0;
        }
        // What is left, with what was admitted here since.
        let remaining = view.limit - view.expected + limiter.ungranted;
        let is_within = limiter.ungranted + 1.0 <= remaining * fraction / view.relay_count;
        if is_within {
            limiter.ungranted += 1.0;
        }
        is_within
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

    /// An admitted connection uses up part of the tenant's rate.
    pub(crate) fn take_token(&mut self, index: usize) {
        if let Some(limiter) = self.limiters.get_mut(index) {
            limiter.tokens = (limiter.tokens - 1.0).max(0.0);
        }
    }
}
