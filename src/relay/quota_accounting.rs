//! Counts connections for tenants' quotas, holds requests until it is decided whether they are within their
//! tenant's quota, rejects those that are not, and reports usage to other relays. All uses of
//! [`TenantQuotas`] are here.

use std::collections::BTreeMap;

use log::{debug, warn};
use sandgw_quota::policy::{RejectReason, ScarcitySignals, Verdict};
use sandgw_quota::usage_table::OutgoingReport;
use sandgw_quota::{Arrival, DelayedDecision, Rejections, Ticket};

use super::Relay;
use super::commands::{Command, LocalReply};
use super::connections::Connection;
use super::incoming::IncomingRequest;
use super::quotas::TenantQuotas;
use super::timers::CoreTimer;
use crate::policy::api::{Event, Key, Millis, PeerMessage, Request, RequestId, Settings, UsageReport};

/// A request waits for a quota decision for this fraction of the time until its client's deadline.
const DECISION_WAIT_FRACTION: f64 = 0.25;
/// Time from the end of a connection to the next poll of grants.
const GRANT_POLL_MS: Millis = 20.0;
/// Longest time after which a client may retry whose request was not decided about in time.
const NOT_GRANTED_RETRY_MS: Millis = 500.0;

/// The counts of tenants' connections, the requests that wait for quota decisions, and the state of usage
/// reports.
pub(super) struct QuotaAccounting {
    tenant_quotas: TenantQuotas,
    report_timer_set: bool,
    /// Requests that wait for the decision whether their tenant is within its quota.
    undecided: BTreeMap<Ticket, UndecidedRequest>,
    grant_timer_set: bool,
    /// Rejections that have been logged, by reason.
    logged_rejections: Rejections,
}

/// A request that waits for the decision whether its tenant is within its quota.
struct UndecidedRequest {
    request: Request,
    tenant: Key,
    waiting_since: Millis,
}

impl QuotaAccounting {
    pub(super) fn new(settings: &Settings, now: Millis) -> Self {
        QuotaAccounting {
            tenant_quotas: TenantQuotas::new(settings, now),
            report_timer_set: false,
            undecided: BTreeMap::new(),
            grant_timer_set: false,
            logged_rejections: Rejections::default(),
        }
    }
}

/// Whether connections are counted and usage is reported in the same way under both settings.
fn has_same_accounting(left: &Settings, right: &Settings) -> bool {
    left.quotas == right.quotas
        && left.local_index == right.local_index
        && left.relay_count == right.relay_count
        && left.peer_messages == right.peer_messages
}

impl Relay {
    /// Counts the present connections anew where tenants, their quotas or the cluster differ from the
    /// settings in force. To be called while the load balancer still has the old settings.
    pub(super) fn apply_quota_settings(&mut self, now: Millis, settings: &Settings) {
        if has_same_accounting(settings, self.load_balancer.settings()) {
            return;
        }
        self.place_undecided();
        let mut tenant_quotas = TenantQuotas::new(settings, now);
        for connection in self.connections.values() {
            let Some(tenant) = &connection.tenant else { continue };
            tenant_quotas.adopt(&tenant.0);
            if connection.counted_established {
                tenant_quotas.established(&tenant.0);
            }
        }
        self.quota.tenant_quotas = tenant_quotas;
        if !self.quota.report_timer_set {
            self.send_due_usage_reports(now);
        }
    }

    /// Places the requests that wait for a quota decision: the counts on which the decision would be based
    /// are void.
    fn place_undecided(&mut self) {
        for UndecidedRequest { request, tenant, .. } in
            std::mem::take(&mut self.quota.undecided).into_values()
        {
            let Some(connection) = self.connections.get_mut(request.id) else { continue };
            connection.tenant = Some(tenant);
            self.events.push_back(Event::Request(request));
        }
    }

    /// Reports tenants' usage to the other relays where a report is due, and sets the timer for the next
    /// report.
    pub(super) fn send_due_usage_reports(&mut self, now: Millis) {
        let mut reports = Vec::new();
        let next_after = self.quota.tenant_quotas.poll(now, &mut reports);
        self.send_usage_reports(reports);
        self.quota.report_timer_set = next_after.is_some();
        if let Some(after) = next_after {
            self.set_timer(after, CoreTimer::UsageReport);
        }
    }

    /// Applies another relay's usage report.
    pub(super) fn receive_usage_report(&mut self, now: Millis, peer: u32, report: UsageReport) {
        let mut replies = Vec::new();
        self.quota.tenant_quotas.handle_report(now, peer, report, &mut replies);
        self.send_usage_reports(replies);
        self.apply_quota_decisions(now);
    }

    /// Sends the grant requests that are due, decides about requests that can't wait any longer, and sets the
    /// timer for the next poll of grants.
    pub(super) fn advance_quota_grants(&mut self, now: Millis) {
        let mut requests = Vec::new();
        let next_after = self.quota.tenant_quotas.poll_grants(now, &mut requests);
        self.send_usage_reports(requests);
        self.quota.grant_timer_set = next_after.is_some();
        if let Some(after) = next_after {
            self.set_timer(after, CoreTimer::QuotaGrant);
        }
        self.apply_quota_decisions(now);
    }

    /// Holds a request until it is decided whether its tenant is within its quota.
    pub(super) fn await_quota_decision(
        &mut self,
        now: Millis,
        ticket: Ticket,
        request: Request,
        tenant: Key,
    ) {
        self.quota.undecided.insert(ticket, UndecidedRequest { request, tenant, waiting_since: now });
        if !self.quota.grant_timer_set {
            self.advance_quota_grants(now);
        }
    }

    fn apply_quota_decisions(&mut self, now: Millis) {
        for DelayedDecision { ticket, verdict } in self.quota.tenant_quotas.take_decided() {
            if let Some(undecided) = self.quota.undecided.remove(&ticket) {
                self.apply_quota_decision(now, undecided, verdict);
            }
        }
        self.handle_queued_events(now);
    }

    fn apply_quota_decision(&mut self, now: Millis, undecided: UndecidedRequest, verdict: Verdict) {
        let UndecidedRequest { mut request, tenant, waiting_since } = undecided;
        let connection = self.connections.get_mut(request.id);
        match (verdict, connection) {
            (Verdict::Reject(reason), _) => self.reject_over_quota(now, request.id, reason),
            // The client has left while its request waited for a quota decision.
            (_, None) => self.quota.tenant_quotas.closed(now, &tenant.0, false),
            (_, Some(connection)) => {
                connection.tenant = Some(tenant);
                request.setup_time_used += now - waiting_since;
                self.events.push_back(Event::Request(request));
            }
        }
    }

    pub(super) fn reject_over_quota(&mut self, now: Millis, id: RequestId, reason: RejectReason) {
        debug!("connection {}: request rejected because of its tenant's quota: {reason:?}", id.0);
        let max_retry_after = self.load_balancer.settings().max_retry_after;
        let retry_after = match reason {
            RejectReason::OverQuota | RejectReason::OverLocalPart => max_retry_after,
            RejectReason::NotGranted => max_retry_after.map(|longest| longest.min(NOT_GRANTED_RETRY_MS)),
        };
        self.reply(id, LocalReply::Rejected(retry_after));
        self.remove_connection(now, id);
    }

    fn send_usage_reports(&mut self, reports: Vec<OutgoingReport>) {
        for outgoing in reports {
            let message = PeerMessage::Quota(outgoing.report);
            self.commands.push(Command::SendToPeer { peer: outgoing.peer, message });
        }
    }

    /// Decides whether a request's tenant is within its quota, where capacity is short. A connection that
    /// goes on at the endpoint where it is established needs no set-up and is never rejected, but it counts
    /// all the same.
    pub(super) fn decide_quota(&mut self, now: Millis, incoming: &IncomingRequest) -> Verdict {
        let Some(tenant) = &incoming.tenant else { return Verdict::Admit };
        if incoming.mid_flow || incoming.existing_endpoint.is_some() {
            self.quota.tenant_quotas.adopt(&tenant.0);
            return Verdict::Admit;
        }
        let load_balancer = &self.load_balancer;
        let descriptors = incoming.descriptors_short;
        let scarcity = || ScarcitySignals { descriptors, ..load_balancer.scarcity_signals(now) };
        let max_wait = (incoming.deadline - now) * DECISION_WAIT_FRACTION;
        let arrival = Arrival { tenant: &tenant.0, is_returning: incoming.is_returning, max_wait };
        self.quota.tenant_quotas.decide(now, arrival, scarcity)
    }

    /// Counts a connection as established.
    pub(super) fn count_established(&mut self, id: RequestId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(tenant) = &connection.tenant else { return };
        connection.counted_established = true;
        self.quota.tenant_quotas.established(&tenant.0);
    }

    /// Stops counting a request or connection that has ended.
    pub(super) fn count_removed(&mut self, now: Millis, connection: &Connection) {
        let Some(tenant) = &connection.tenant else { return };
        self.quota.tenant_quotas.closed(now, &tenant.0, connection.counted_established);
        if !self.quota.grant_timer_set && self.quota.tenant_quotas.awaits_grant_poll(now) {
            self.quota.grant_timer_set = true;
            self.set_timer(GRANT_POLL_MS, CoreTimer::QuotaGrant);
        }
    }

    /// Records that an endpoint has rejected an attempt.
    pub(super) fn count_endpoint_rejection(&mut self, now: Millis) {
        self.quota.tenant_quotas.endpoint_rejected(now);
    }

    /// Records that the load balancer rejects a request: this counts as a sign of scarcity where no attempt
    /// was made.
    pub(super) fn count_policy_rejection(&mut self, now: Millis, id: RequestId) {
        if self.connections.get(id).is_some_and(|connection| connection.attempts == 0) {
            self.quota.tenant_quotas.rejected_without_attempt(now);
        }
    }

    /// Logs the rejections since the last call, if there were any.
    pub(super) fn log_quota_rejections(&mut self) {
        let total = self.quota.tenant_quotas.rejections();
        let logged = std::mem::replace(&mut self.quota.logged_rejections, total);
        let rejected = total.total().saturating_sub(logged.total());
        if rejected > 0 {
            warn!(
                "quota: capacity is short, and {rejected} connections of tenants over their quota were rejected: \
                 {} over the quota, {} over this relay's part of it, {} because no grant came in time",
                total.over_quota.saturating_sub(logged.over_quota),
                total.over_local_part.saturating_sub(logged.over_local_part),
                total.not_granted.saturating_sub(logged.not_granted),
            );
        }
    }
}
