//! Tenants' quotas at this relay: applies the settings, and counts the relay's connections by tenant.
//!
//! Counting and decisions are implemented in `sandgw-quota`.

use sandgw_quota::policy::{ScarcitySignals, Verdict};
use sandgw_quota::usage_table::OutgoingReport;
use sandgw_quota::{Arrival, ClusterPosition, DelayedDecision, QuotaManager, Rejections};

use crate::policy::api::*;

/// The weight of a connection over quota from which on quotas have no effect.
const FULL_WEIGHT: f64 = 1.0;

/// Counts tenants' usage; `None` where quotas are not enforced.
#[derive(Default)]
pub(crate) struct TenantQuotas(Option<QuotaManager>);

impl TenantQuotas {
    /// Applies these settings. Nothing is counted without a limit, or where a connection over quota weighs as
    /// much as one within the quota.
    pub fn new(settings: &Settings, now: Millis) -> Self {
        let quotas = &settings.quotas;
        let is_enforced = quotas.enforce && quotas.over_quota_weight < FULL_WEIGHT && quotas.has_limits();
        if !is_enforced {
            return TenantQuotas(None);
        }
        let position = ClusterPosition {
            local_index: settings.local_index,
            relay_count: settings.relay_count,
            peer_messages: settings.peer_messages,
        };
        TenantQuotas(Some(QuotaManager::new(quotas.tenants.clone(), position, now)))
    }

    /// Decides about a new connection. A connection that is admitted counts until [`TenantQuotas::closed`].
    pub fn decide(
        &mut self,
        now: Millis,
        arrival: Arrival<'_>,
        signals: impl FnOnce() -> ScarcitySignals,
    ) -> Verdict {
        match &mut self.0 {
            Some(manager) => manager.admit(now, arrival, signals()),
            None => Verdict::Admit,
        }
    }

    /// Takes the decisions since the last call about connections that waited.
    pub fn take_decided(&mut self) -> Vec<DelayedDecision> {
        self.0.as_mut().map(QuotaManager::take_decided).unwrap_or_default()
    }

    /// Adds the grant requests that are due to `out`; returns the time after which to call again, if that is
    /// needed.
    pub fn poll_grants(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) -> Option<Millis> {
        self.0.as_mut().and_then(|manager| manager.poll_grants(now, out))
    }

    /// Counts a connection without a decision, since the connection is established already.
    pub fn adopt(&mut self, tenant: &str) {
        if let Some(manager) = &mut self.0 {
            manager.adopt(tenant);
        }
    }

    /// Records that a counted connection is established.
    pub fn established(&mut self, tenant: &str) {
        if let Some(manager) = &mut self.0 {
            manager.established(tenant);
        }
    }

    /// Records that a counted connection has ended.
    pub fn closed(&mut self, now: Millis, tenant: &str, was_established: bool) {
        if let Some(manager) = &mut self.0 {
            manager.closed(now, tenant, was_established);
        }
    }

    /// Whether grants have to be polled.
    pub fn awaits_grant_poll(&self, now: Millis) -> bool {
        self.0.as_ref().is_some_and(|manager| manager.next_grant_poll(now).is_some())
    }

    /// Records that an endpoint has rejected a connection.
    pub fn endpoint_rejected(&mut self, now: Millis) {
        if let Some(manager) = &mut self.0 {
            manager.endpoint_rejected(now);
        }
    }

    /// Records that the load balancer has rejected a connection without an attempt.
    pub fn rejected_without_attempt(&mut self, now: Millis) {
        if let Some(manager) = &mut self.0 {
            manager.rejected_without_attempt(now);
        }
    }

    /// Handles another relay's report; adds the replies to `out`.
    pub fn handle_report(
        &mut self,
        now: Millis,
        peer: u32,
        report: UsageReport,
        out: &mut Vec<OutgoingReport>,
    ) {
        if let Some(manager) = &mut self.0 {
            manager.handle_report(now, peer, report, out);
        }
    }

    /// Adds the usage reports that are due to `out`; returns the time after which to call again, if that is
    /// needed.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) -> Option<Millis> {
        self.0.as_mut().map(|manager| manager.poll(now, out))
    }

    /// Connections rejected so far, by reason.
    pub fn rejections(&self) -> Rejections {
        self.0.as_ref().map(QuotaManager::rejections).unwrap_or_default()
    }
}
