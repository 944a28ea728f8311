//! The quota of a relay's connections: the usage table and the policy over it.
//!
//! Inputs: connections' events, scarcity signals, peers' reports, and the time in milliseconds. Outputs: a
//! verdict for each new connection, and reports to peers.

use sandgw_units::Millis;

use crate::cluster_position::ClusterPosition;
use crate::policy::{QuotaPolicy, ScarcitySignals, Verdict};
use crate::tenants::Tenants;
use crate::usage_gossip::UsageReport;
use crate::usage_table::{OutgoingReport, StoredUsage, UsageTable};
use crate::usage_view::UsageView;

/// Returning clients may exceed a tenant's connection limit by this fraction of it, and by one connection
/// at least.
const RETURNING_TOLERANCE: f64 = 0.05;

/// Counts connections by tenant and decides about new ones.
///
/// ```
/// use sandgw_quota::policy::{ScarcitySignals, Verdict};
/// use sandgw_quota::tenants::{Tenant, Tenants};
/// use sandgw_quota::{ClusterPosition, QuotaManager};
///
/// let acme = Tenant { name: "acme".into(), connections: Some(1.0), per_s: None };
/// let position = ClusterPosition { local_index: 0, relay_count: 1, peer_messages: false };
/// let mut quotas = QuotaManager::new(Tenants::new(vec![acme]).unwrap(), position, 1.0);
/// let full = ScarcitySignals { endpoints: true, ..ScarcitySignals::default() };
/// let free = ScarcitySignals::default();
/// assert_eq!(quotas.admit(10.0, "acme", false, full), Verdict::Admit);
/// assert_eq!(quotas.admit(20.0, "acme", false, full), Verdict::Reject, "it has one already");
/// assert_eq!(quotas.admit(9000.0, "acme", false, free), Verdict::Admit, "capacity is not scarce");
/// ```
pub struct QuotaManager {
    usage: UsageTable,
    policy: QuotaPolicy,
}

impl QuotaManager {
    /// For a relay that starts now. A later start must have a later time: it is the relay's incarnation
    /// number.
    pub fn new(tenants: Tenants, position: ClusterPosition, now: Millis) -> Self {
        let policy = QuotaPolicy::new(tenants.len(), now, u64::from(position.local_index));
        QuotaManager { usage: UsageTable::new(tenants, position, now), policy }
    }

    /// Decides about a new connection. `is_returning` is one whose client was counted before. An admitted
    /// connection counts as pending until [`QuotaManager::established`] or [`QuotaManager::closed`].
    pub fn admit(
        &mut self,
        now: Millis,
        tenant: &str,
        is_returning: bool,
        signals: ScarcitySignals,
    ) -> Verdict {
        self.policy.observe_signals(now, signals);
        let Some(index) = self.usage.index_of(tenant) else { return Verdict::Admit };
        if !is_returning {
            self.usage.record_arrival(now, index);
        }
        let mut view = self.usage.view(now, index);
        if is_returning {
            // The relay that the client comes from may still count it.
            view.limit += (view.limit * RETURNING_TOLERANCE).max(1.0);
        }
        let verdict = self.policy.decide(now, index, &view);
        if verdict == Verdict::Admit {
            self.usage.add_pending(index);
        }
        verdict
    }

    /// Counts a connection without a decision: it is established already, at another relay or at an endpoint.
    pub fn adopt(&mut self, tenant: &str) {
        if let Some(index) = self.usage.index_of(tenant) {
            self.usage.add_pending(index);
        }
    }

    /// A counted connection is established.
    pub fn established(&mut self, tenant: &str) {
        self.policy.record_endpoint_accept();
        if let Some(index) = self.usage.index_of(tenant) {
            self.usage.establish(index);
        }
    }

    /// A counted connection has ended, established or not.
    pub fn closed(&mut self, tenant: &str, was_established: bool) {
        if let Some(index) = self.usage.index_of(tenant) {
            self.usage.close(index, was_established);
        }
    }

    /// An endpoint has rejected a connection.
    pub fn endpoint_rejected(&mut self, now: Millis) {
        self.policy.record_endpoint_reject(now);
    }

    /// A connection was rejected for lack of capacity, without an attempt.
    pub fn rejected_without_attempt(&mut self, now: Millis) {
        self.policy.record_scarcity(now);
    }

    /// Handles another relay's report; what is to be sent in reply is added to `out`.
    pub fn handle_report(
        &mut self,
        now: Millis,
        peer: u32,
        report: UsageReport,
        out: &mut Vec<OutgoingReport>,
    ) {
        self.usage.handle_report(now, peer, report, out);
    }

    /// Adds the reports that are due to `out`; returns in how many milliseconds to call again.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) -> Millis {
        self.usage.poll(now, out)
    }

    /// Whether capacity is scarce.
    pub fn is_scarce(&self, now: Millis) -> bool {
        self.policy.is_scarce(now)
    }

    /// Connections rejected so far because their tenant was over its quota.
    pub fn rejections(&self) -> u64 {
        self.policy.rejections()
    }

    /// What a tenant uses of the cluster; `None` of one without a name here.
    pub fn view(&self, now: Millis, tenant: &str) -> Option<UsageView> {
        Some(self.usage.view(now, self.usage.index_of(tenant)?))
    }

    /// What is worth storing over a restart.
    pub fn snapshot(&self, now: Millis) -> StoredUsage {
        self.usage.snapshot(now)
    }

    /// Applies what was stored `age_ms` ago.
    pub fn restore(&mut self, now: Millis, age_ms: Millis, stored: StoredUsage) {
        self.usage.restore(now, age_ms, stored);
    }
}
