//! Tenants' quotas at this relay: applies the settings, and counts its connections by tenant.
//!
//! The counting and the decision are in `sandgw-quota`.

use sandgw_quota::policy::{ScarcitySignals, Verdict};
use sandgw_quota::usage_table::OutgoingReport;
use sandgw_quota::{ClusterPosition, QuotaManager};

use crate::policy::api::*;

/// A tenant's weight over its quota from which on quotas have no effect.
const FULL_WEIGHT: f64 = 1.0;

/// The usage of tenants; empty where quotas are not enforced.
#[derive(Default)]
pub(crate) struct TenantQuotas(Option<QuotaManager>);

impl TenantQuotas {
    /// For these settings. Nothing is counted without a limit, or where a connection over quota weighs as
    /// much as one within it.
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

    /// Whether a new connection is rejected. One that is not counts until [`TenantQuotas::closed`].
    pub fn rejects(
        &mut self,
        now: Millis,
        tenant: &str,
        is_returning: bool,
        signals: impl FnOnce() -> ScarcitySignals,
    ) -> bool {
        let Some(manager) = &mut self.0 else { return false };
        manager.admit(now, tenant, is_returning, signals()) == Verdict::Reject
    }

    /// Counts a connection without a decision: it is established already.
    pub fn adopt(&mut self, tenant: &str) {
        if let Some(manager) = &mut self.0 {
            manager.adopt(tenant);
        }
    }

    /// A counted connection is established.
    pub fn established(&mut self, tenant: &str) {
        if let Some(manager) = &mut self.0 {
            manager.established(tenant);
        }
    }

    /// A counted connection has ended.
    pub fn closed(&mut self, tenant: &str, was_established: bool) {
        if let Some(manager) = &mut self.0 {
            manager.closed(tenant, was_established);
        }
    }

    /// An endpoint has rejected a connection.
    pub fn endpoint_rejected(&mut self, now: Millis) {
        if let Some(manager) = &mut self.0 {
            manager.endpoint_rejected(now);
        }
    }

    /// The load balancer has rejected a connection without an attempt.
    pub fn rejected_without_attempt(&mut self, now: Millis) {
        if let Some(manager) = &mut self.0 {
            manager.rejected_without_attempt(now);
        }
    }

    /// Handles another relay's report; what is to be sent in reply is added to `out`.
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

    /// Adds the reports that are due to `out`; returns in how long to call again, if at all.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) -> Option<Millis> {
        self.0.as_mut().map(|manager| manager.poll(now, out))
    }

    /// Connections rejected so far because their tenant was over its quota.
    pub fn rejections(&self) -> u64 {
        self.0.as_ref().map_or(0, QuotaManager::rejections)
    }
}
