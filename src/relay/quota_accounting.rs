//! How the core counts connections for tenants' quotas, holds requests until it is decided whether they are
//! within one, rejects those that are not, and reports usage to other relays. All uses of [`TenantQuotas`] are here.

use std::collections::BTreeMap;

use log::{debug, warn};
use sandgw_quota::policy::{RejectReason, ScarcitySignals, Verdict};
use sandgw_quota::usage_table::OutgoingReport;
use sandgw_quota::{Arrival, Decided, Rejections, Ticket};

use super::Relay;
use super::commands::{Command, LocalReply};
use super::connections::Connection;
use super::incoming::IncomingRequest;
use super::quotas::TenantQuotas;
use super::timers::CoreTimer;
use crate::policy::api::{Event, Key, Millis, PeerMessage, Request, RequestId, Settings, UsageReport};

/// A request waits for a decision for this fraction of the time that its client has left.
const PATIENCE_FRACTION: f64 = 0.25;
/// How soon grants are polled after a connection has ended.
const GRANT_POLL_MS: Millis = 20.0;
/// After this time a client may try again whose request nobody has decided about in time.
const NOT_GRANTED_RETRY_MS: Millis = 500.0;

/// The counts, and the state of their reports.
pub(super) struct QuotaAccounting {
    counts: TenantQuotas,
    report_timer_set: bool,
    /// Requests that wait for a decision.
    undecided: BTreeMap<Ticket, UndecidedRequest>,
    grant_timer_set: bool,
    /// Rejections that were logged.
    logged_rejections: Rejections,
}

/// A request that waits for the decision whether its tenant is within its quota.
struct UndecidedRequest {
    request: Request,
    tenant: Key,
    since: Millis,
}

impl QuotaAccounting {
    pub(super) fn new(settings: &Settings, now: Millis) -> Self {
        QuotaAccounting {
            counts: TenantQuotas::new(settings, now),
            report_timer_set: false,
            undecided: BTreeMap::new(),
            grant_timer_set: false,
            logged_rejections: Rejections::default(),
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
        self.place_undecided();
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

    /// Places the requests that wait for a decision: the counts that it would rest on are void.
    fn place_undecided(&mut self) {
        for UndecidedRequest { request, tenant, .. } in
            std::mem::take(&mut self.quota.undecided).into_values()
        {
            let Some(connection) = self.connections.get_mut(request.id) else { continue };
            connection.tenant = Some(tenant);
            self.events.push_back(Event::Request(request));
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
        self.apply_quota_decisions(now);
    }

    /// Sends the requests for grants that are due, decides what can't wait, and sets the timer for the next.
    pub(super) fn advance_quota_grants(&mut self, now: Millis) {
        let mut requests = Vec::new();
        let next_after = self.quota.counts.poll_grants(now, &mut requests);
        self.send_usage_reports(requests);
        self.quota.grant_timer_set = next_after.is_some();
        if let Some(after) = next_after {
            self.set_timer(after, CoreTimer::QuotaGrant);
        }
        self.apply_quota_decisions(now);
    }

    /// Keeps a request until it is decided whether its tenant is within its quota.
    pub(super) fn await_quota_decision(
        &mut self,
        now: Millis,
        ticket: Ticket,
        request: Request,
        tenant: Key,
    ) {
        self.quota.undecided.insert(ticket, UndecidedRequest { request, tenant, since: now });
        if !self.quota.grant_timer_set {
            self.advance_quota_grants(now);
        }
    }

    fn apply_quota_decisions(&mut self, now: Millis) {
        for Decided { ticket, verdict } in self.quota.counts.take_decided() {
            if let Some(undecided) = self.quota.undecided.remove(&ticket) {
                self.apply_quota_decision(now, undecided, verdict);
            }
        }
        self.handle_queued_events(now);
    }

    fn apply_quota_decision(&mut self, now: Millis, undecided: UndecidedRequest, verdict: Verdict) {
        let UndecidedRequest { mut request, tenant, since } = undecided;
        let connection = self.connections.get_mut(request.id);
        match (verdict, connection) {
            (Verdict::Reject(reason), _) => self.reject_over_quota(now, request.id, reason),
            // Its client has left meanwhile.
            (_, None) => self.quota.counts.closed(now, &tenant.0, false),
            (_, Some(connection)) => {
                connection.tenant = Some(tenant);
                request.setup_time_used += now - since;
                self.events.push_back(Event::Request(request));
            }
        }
    }

    pub(super) fn reject_over_quota(&mut self, now: Millis, id: RequestId, reason: RejectReason) {
        debug!("connection {}: rejected for its tenant's quota: {reason:?}", id.0);
        let max_retry_after = self.load_balancer.settings().max_retry_after;
        let retry_after = match reason {
            RejectReason::OverQuota | RejectReason::OverPart => max_retry_after,
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

    /// Decides whether a request's tenant is within its quota, where capacity is short. One that goes on
    /// where it is established sets nothing up and is never rejected; it counts all the same.
    pub(super) fn decide_quota(&mut self, now: Millis, incoming: &IncomingRequest) -> Verdict {
        let Some(tenant) = &incoming.tenant else { return Verdict::Admit };
        if incoming.mid_flow || incoming.existing_endpoint.is_some() {
            self.quota.counts.adopt(&tenant.0);
            return Verdict::Admit;
        }
        let load_balancer = &self.load_balancer;
        let descriptors = incoming.descriptors_short;
        let scarcity = || ScarcitySignals { descriptors, ..load_balancer.scarcity_signals(now) };
        let patience = (incoming.deadline - now) * PATIENCE_FRACTION;
        let arrival = Arrival { tenant: &tenant.0, is_returning: incoming.returned, patience };
        self.quota.counts.decide(now, arrival, scarcity)
    }

    /// A connection was established.
    pub(super) fn count_established(&mut self, id: RequestId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(tenant) = &connection.tenant else { return };
        connection.counted_established = true;
        self.quota.counts.established(&tenant.0);
    }

    /// A request or connection has ended.
    pub(super) fn count_removed(&mut self, now: Millis, connection: &Connection) {
        let Some(tenant) = &connection.tenant else { return };
        self.quota.counts.closed(now, &tenant.0, connection.counted_established);
        if !self.quota.grant_timer_set && self.quota.counts.awaits_grant_poll(now) {
            self.quota.grant_timer_set = true;
            self.set_timer(GRANT_POLL_MS, CoreTimer::QuotaGrant);
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
        let rejected = total.total().saturating_sub(logged.total());
        if rejected > 0 {
            warn!(
                "quota: capacity is short, and {rejected} connections of tenants over their quota were rejected: \
                 {} over the quota, {} over this relay's part of it, {} since no grant came in time",
                total.over_quota.saturating_sub(logged.over_quota),
                total.over_part.saturating_sub(logged.over_part),
                total.not_granted.saturating_sub(logged.not_granted),
            );
        }
    }
}
