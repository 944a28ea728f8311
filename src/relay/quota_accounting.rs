//! How the core counts connections for tenants' quotas, rejects what is over a quota, and reports usage to
//! other relays. All uses of [`TenantQuotas`] are here.

use log::warn;
use sandgw_quota::policy::ScarcitySignals;
use sandgw_quota::usage_table::OutgoingReport;

use super::Relay;
use super::commands::Command;
use super::connections::Connection;
use super::incoming::IncomingRequest;
use super::quotas::TenantQuotas;
use super::timers::CoreTimer;
use crate::policy::api::{Millis, PeerMessage, RequestId, Settings, UsageReport};

/// The counts, and the state of their reports.
pub(super) struct QuotaAccounting {
    counts: TenantQuotas,
    report_timer_set: bool,
    /// Rejections that were logged.
    logged_rejections: u64,
}

impl QuotaAccounting {
    pub(super) fn new(settings: &Settings, now: Millis) -> Self {
        QuotaAccounting {
            counts: TenantQuotas::new(settings, now),
            report_timer_set: false,
            logged_rejections: 0,
        }
    }
}

/// Whether two settings count and report alike.
fn count_alike(one: &Settings, other: &Settings) -> bool {
    one.quotas == other.quotas
        && one.local_index == other.local_index
        && one.relay_count == other.relay_count
        && one.peer_messages == other.peer_messages
}

impl Relay {
    /// Counts anew, by the connections of now, where tenants, their quotas or the cluster differ from those
    /// before. To be called while the load balancer still has the settings before.
    pub(super) fn apply_quota_settings(&mut self, now: Millis, settings: &Settings) {
        if count_alike(settings, self.load_balancer.settings()) {
            return;
        }
        let mut counts = TenantQuotas::new(settings, now);
        for connection in self.connections.values() {
            let Some(tenant) = &connection.tenant else { continue };
            counts.adopt(&tenant.0);
            if connection.counted_established {
                counts.established(&tenant.0);
            }
        }
        self.quota.counts = counts;
        if !self.quota.report_timer_set {
            self.send_due_usage_reports(now);
        }
    }

    /// Reports tenants' usage to the other relays where that is due, and sets the timer for the next report.
    pub(super) fn send_due_usage_reports(&mut self, now: Millis) {
        let mut reports = Vec::new();
        let next_after = self.quota.counts.poll(now, &mut reports);
        self.send_usage_reports(reports);
        self.quota.report_timer_set = next_after.is_some();
        if let Some(after) = next_after {
            self.set_timer(after, CoreTimer::UsageReport);
        }
    }

    /// Takes another relay's usage.
    pub(super) fn receive_usage_report(&mut self, now: Millis, peer: u32, report: UsageReport) {
        let mut replies = Vec::new();
        self.quota.counts.handle_report(now, peer, report, &mut replies);
        self.send_usage_reports(replies);
    }

    fn send_usage_reports(&mut self, reports: Vec<OutgoingReport>) {
        for outgoing in reports {
            let message = PeerMessage::Quota(outgoing.report);
            self.commands.push(Command::SendToPeer { peer: outgoing.peer, message });
        }
    }

    /// Whether a request is rejected since its tenant is over its quota and capacity is short. One that
    /// goes on where it is established sets nothing up and is never rejected; it counts all the same.
    pub(super) fn exceeds_quota(&mut self, now: Millis, incoming: &IncomingRequest) -> bool {
        let Some(tenant) = &incoming.tenant else { return false };
        if incoming.mid_flow || incoming.existing_endpoint.is_some() {
            self.quota.counts.adopt(&tenant.0);
            return false;
        }
        let load_balancer = &self.load_balancer;
        let descriptors = incoming.descriptors_short;
        let scarcity = || ScarcitySignals { descriptors, ..load_balancer.scarcity_signals(now) };
        self.quota.counts.rejects(now, &tenant.0, incoming.returned, scarcity)
    }

    /// A connection was established.
    pub(super) fn count_established(&mut self, id: RequestId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(tenant) = &connection.tenant else { return };
        connection.counted_established = true;
        self.quota.counts.established(&tenant.0);
    }

    /// A request or connection has ended.
    pub(super) fn count_removed(&mut self, connection: &Connection) {
        if let Some(tenant) = &connection.tenant {
            self.quota.counts.closed(&tenant.0, connection.counted_established);
        }
    }

    /// An endpoint has rejected an attempt.
    pub(super) fn count_endpoint_rejection(&mut self, now: Millis) {
        self.quota.counts.endpoint_rejected(now);
    }

    /// The load balancer rejects a request: it counts as a sign of scarcity where no attempt was made.
    pub(super) fn count_policy_rejection(&mut self, now: Millis, id: RequestId) {
        if self.connections.get(id).is_some_and(|connection| connection.attempts == 0) {
            self.quota.counts.rejected_without_attempt(now);
        }
    }

    /// Logs rejections since the last call, if there were any.
    pub(super) fn log_quota_rejections(&mut self) {
        let total = self.quota.counts.rejections();
        let logged = std::mem::replace(&mut self.quota.logged_rejections, total);
        if total > logged {
            let rejected = total - logged;
            warn!(
                "quota: capacity is short, and {rejected} connections of tenants over their quota were rejected"
            );
        }
    }
}
