//! Applies tenants' quotas to a relay's connections, with the usage table and the admission policy.
//!
//! Inputs: connections' events, scarcity signals, peers' reports, and the time in milliseconds. Outputs: a
//! verdict on each new connection, at once or a moment later, and reports to peers.

use sandgw_units::Millis;

use crate::cluster_position::ClusterPosition;
use crate::grant_client::{GrantClient, GrantOutcome, Ticket};
use crate::policy::{Assessment, QuotaPolicy, RejectReason, ScarcitySignals, Verdict};
use crate::tenants::Tenants;
use crate::usage_gossip::{GrantRow, MAX_ROWS, UsageReport};
use crate::usage_table::{OutgoingReport, StoredUsage, UsageTable};
use crate::usage_view::UsageView;

/// Returning clients may exceed a tenant's connection limit by this fraction of the limit, and by at least
/// one connection.
const RETURNING_TOLERANCE: f64 = 0.05;

/// When this fraction of a tenant's limit or less is left, the coordinator is promptly notified of
/// connections that end.
const NEAR_LIMIT_FRACTION: f64 = 0.25;
/// A prompt report is delayed by this time, so that it includes connections that end together.
const PROMPT_REPORT_DELAY_MS: Millis = 20.0;
/// The least time between two prompt reports.
const MIN_PROMPT_REPORT_INTERVAL_MS: Millis = 500.0;

/// A new connection.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The name of the connection's tenant.
    pub tenant: &'a str,
    /// Whether the client was counted before.
    pub is_returning: bool,
    /// How long the connection can wait for a decision, in milliseconds.
    pub max_wait: Millis,
}

/// A connection that waited, and the decision whether it is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayedDecision {
    /// The connection.
    pub ticket: Ticket,
    /// The decision: [`Verdict::Admit`] or [`Verdict::Reject`].
    pub verdict: Verdict,
}

/// Connections rejected so far, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejections {
    /// Connections rejected for [`RejectReason::OverQuota`].
    pub over_quota: u64,
    /// Connections rejected for [`RejectReason::OverLocalPart`].
    pub over_local_part: u64,
    /// Connections rejected for [`RejectReason::NotGranted`].
    pub not_granted: u64,
}

impl Rejections {
    /// The number of rejected connections, whatever the reason.
    pub fn total(self) -> u64 {
        self.over_quota + self.over_local_part + self.not_granted
    }

    fn count(&mut self, reason: RejectReason) {
        match reason {
            RejectReason::OverQuota => self.over_quota += 1,
            RejectReason::OverLocalPart => self.over_local_part += 1,
            RejectReason::NotGranted => self.not_granted += 1,
        }
    }
}

/// Counts connections by tenant and decides about new ones.
///
/// ```
/// use sandgw_quota::policy::{RejectReason, ScarcitySignals, Verdict};
/// use sandgw_quota::tenants::{Tenant, Tenants};
/// use sandgw_quota::{Arrival, ClusterPosition, QuotaManager};
///
/// let acme = Tenant { name: "acme".into(), connections: Some(1.0), per_s: None };
/// let position = ClusterPosition { local_index: 0, relay_count: 1, peer_messages: false };
/// let mut quotas = QuotaManager::new(Tenants::new(vec![acme]).unwrap(), position, 1.0);
/// let full = ScarcitySignals { endpoints: true, ..ScarcitySignals::default() };
/// let free = ScarcitySignals::default();
/// let arrival = Arrival { tenant: "acme", is_returning: false, max_wait: 400.0 };
/// assert_eq!(quotas.admit(10.0, arrival, full), Verdict::Admit);
/// assert_eq!(quotas.admit(20.0, arrival, full), Verdict::Reject(RejectReason::OverQuota), "at the limit");
/// assert_eq!(quotas.admit(9000.0, arrival, free), Verdict::Admit, "capacity is not scarce");
/// ```
pub struct QuotaManager {
    usage: UsageTable,
    policy: QuotaPolicy,
    grants: GrantClient,
    decided: Vec<DelayedDecision>,
    /// When the coordinator is to be notified of connections that have ended.
    prompt_report_at: Option<Millis>,
    last_prompt_report: Millis,
    rejections: Rejections,
}

impl QuotaManager {
    /// Creates the manager of a relay that starts now. The time is the relay's incarnation number: a later
    /// start must have a later time.
    pub fn new(tenants: Tenants, position: ClusterPosition, now: Millis) -> Self {
        let policy = QuotaPolicy::new(tenants.len(), now);
        QuotaManager {
            usage: UsageTable::new(tenants, position, now),
            policy,
            grants: GrantClient::default(),
            decided: Vec::new(),
            prompt_report_at: None,
            last_prompt_report: f64::NEG_INFINITY,
            rejections: Rejections::default(),
        }
    }

    /// Decides about a new connection. An admitted connection counts as pending until
    /// [`QuotaManager::established`] or [`QuotaManager::closed`] is called; [`QuotaManager::take_decided`]
    /// returns the decision on a connection that waits.
    pub fn admit(&mut self, now: Millis, arrival: Arrival<'_>, signals: ScarcitySignals) -> Verdict {
        self.policy.observe_signals(now, signals);
        self.policy.observe_scarcity_elsewhere(now, self.usage.is_scarce_elsewhere(now));
        let Some(index) = self.usage.index_of(arrival.tenant) else { return Verdict::Admit };
        if !arrival.is_returning {
            self.usage.record_arrival(now, index);
        }
        let mut view = self.usage.view(now, index);
        if arrival.is_returning {
            // The relay that the client was connected to may still count the client.
            view.limit += (view.limit * RETURNING_TOLERANCE).max(1.0);
        }
        match self.policy.assess(now, index, &view) {
            Assessment::Admit => self.admitted(index),
            Assessment::Reject(reason) => self.rejected(reason),
            // The client was counted before: admitting it adds nothing to the cluster's usage.
            Assessment::NeedsGrant if arrival.is_returning => self.admitted(index),
            Assessment::NeedsGrant => self.decide_by_grant(now, index, &view, arrival.max_wait),
        }
    }

    /// Decides about a connection that is within its tenant's quota as far as this relay knows.
    fn decide_by_grant(&mut self, now: Millis, index: usize, view: &UsageView, max_wait: Millis) -> Verdict {
        if self.usage.is_coordinator(now) {
            return self.decide_as_coordinator(now, index, view);
        }
        let open = self.usage.open(index);
        if self.grants.allows(now, index, open) || self.policy.take_ungranted(now, index, view) {
            return self.admitted(index);
        }
        if self.grants.is_refused(now, index) {
            return self.rejected(RejectReason::OverQuota);
        }
        Verdict::Wait(self.grants.enqueue(now, index, max_wait))
    }

    fn admitted(&mut self, index: usize) -> Verdict {
        self.policy.take_token(index);
        self.usage.add_pending(index);
        Verdict::Admit
    }

    fn rejected(&mut self, reason: RejectReason) -> Verdict {
        self.rejections.count(reason);
        Verdict::Reject(reason)
    }

    /// Returns the decisions made since the last call on connections that waited.
    pub fn take_decided(&mut self) -> Vec<DelayedDecision> {
        std::mem::take(&mut self.decided)
    }

    /// Adds the requests for grants that are due to `out`, and decides about connections that cannot wait any
    /// longer. Returns in how many milliseconds to call again, if that is needed.
    pub fn poll_grants(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) -> Option<Millis> {
        for (index, ticket) in self.grants.take_expired(now) {
            let view = self.usage.view(now, index);
            let verdict = self.decide_without_grant(now, index, &view);
            self.decided.push(DelayedDecision { ticket, verdict });
        }
        if self.usage.is_coordinator(now) {
            self.decide_waiting_as_coordinator(now);
        }
        self.send_prompt_report(now, out);
        self.send_grant_request(now, out);
        self.next_grant_poll(now)
    }

    /// In how many milliseconds to call [`QuotaManager::poll_grants`], if that is needed.
    pub fn next_grant_poll(&self, now: Millis) -> Option<Millis> {
        let prompt = self.prompt_report_at.map(|at| (at - now).max(1.0));
        let grants = self.grants.next_in_ms(now);
        prompt.into_iter().chain(grants).min_by(f64::total_cmp)
    }

    fn send_prompt_report(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) {
        if self.prompt_report_at.take_if(|at| *at <= now).is_some() {
            self.last_prompt_report = now;
            out.extend(self.usage.prompt_report(now));
        }
    }

    /// Decides about the waiting connections when this relay has become the coordinator in the meantime.
    fn decide_waiting_as_coordinator(&mut self, now: Millis) {
        for (index, ticket) in self.grants.take_all() {
            let view = self.usage.view(now, index);
            let verdict = self.decide_as_coordinator(now, index, &view);
            self.decided.push(DelayedDecision { ticket, verdict });
        }
    }

    fn decide_as_coordinator(&mut self, now: Millis, index: usize, view: &UsageView) -> Verdict {
        if !self.usage.can_grant(now) {
            return self.decide_without_grant(now, index, view);
        }
        let is_free = self.usage.free_connections(now, index) >= 1.0;
        if is_free { self.admitted(index) } else { self.rejected(RejectReason::OverQuota) }
    }

    /// Decides about a connection when no coordinator has answered or can grant: this relay admits an equal
    /// part of the remaining connections.
    fn decide_without_grant(&mut self, now: Millis, index: usize, view: &UsageView) -> Verdict {
        let is_within = self.policy.take_equal_part(now, index, view);
        if is_within { self.admitted(index) } else { self.rejected(RejectReason::NotGranted) }
    }

    fn send_grant_request(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) {
        let mut due = self.grants.due_requests(now);
        due.truncate(MAX_ROWS);
        let Some(peer) = self.usage.coordinator(now).filter(|_| !due.is_empty()) else { return };
        let (sequence, report) = self.usage.grant_request(&due);
        for (index, _) in due {
            self.grants.record_sent(now, index, sequence, self.usage.open(index));
        }
        out.push(OutgoingReport { peer, report });
    }

    fn handle_grant(&mut self, now: Millis, sequence: u32, rows: &[GrantRow]) {
        for row in rows.iter().take(MAX_ROWS) {
            let Some(index) = self.usage.index_of_tag(row.tenant) else { continue };
            let open = self.usage.open(index);
            let outcome = self.grants.handle_grant(now, index, sequence, f64::from(row.ceiling), open);
            self.apply_grant_outcome(index, outcome);
        }
    }

    fn apply_grant_outcome(&mut self, index: usize, outcome: GrantOutcome) {
        for ticket in outcome.admitted {
            let verdict = self.admitted(index);
            self.decided.push(DelayedDecision { ticket, verdict });
        }
        for ticket in outcome.rejected {
            let verdict = self.rejected(RejectReason::OverQuota);
            self.decided.push(DelayedDecision { ticket, verdict });
        }
    }

    /// Counts a connection without a decision, because it is already established at another relay or at an
    /// endpoint.
    pub fn adopt(&mut self, tenant: &str) {
        if let Some(index) = self.usage.index_of(tenant) {
            self.usage.add_pending(index);
        }
    }

    /// Records that a counted connection is established.
    pub fn established(&mut self, tenant: &str) {
        self.policy.record_endpoint_accept();
        if let Some(index) = self.usage.index_of(tenant) {
            self.usage.establish(index);
        }
    }

    /// Records that a counted connection has ended, whether it was established or not.
    pub fn closed(&mut self, now: Millis, tenant: &str, was_established: bool) {
        let Some(index) = self.usage.index_of(tenant) else { return };
        self.usage.close(index, was_established);
        let view = self.usage.view(now, index);
        let is_near_limit = view.limit - view.connections <= NEAR_LIMIT_FRACTION * view.limit;
        if is_near_limit && self.policy.is_scarce(now) {
            let at =
                (now + PROMPT_REPORT_DELAY_MS).max(self.last_prompt_report + MIN_PROMPT_REPORT_INTERVAL_MS);
            self.prompt_report_at.get_or_insert(at);
        }
    }

    /// Records that an endpoint has rejected a connection.
    pub fn endpoint_rejected(&mut self, now: Millis) {
        self.policy.record_endpoint_reject(now);
    }

    /// Records that a connection was rejected for lack of capacity, without an attempt.
    pub fn rejected_without_attempt(&mut self, now: Millis) {
        self.policy.record_scarcity(now);
    }

    /// Handles another relay's report, and adds the reports to send in reply to `out`.
    pub fn handle_report(
        &mut self,
        now: Millis,
        peer: u32,
        report: UsageReport,
        out: &mut Vec<OutgoingReport>,
    ) {
        self.usage.set_local_scarcity(self.policy.finds_endpoints_short(now));
        if let UsageReport::Grant { sequence, rows } = report {
            return self.handle_grant(now, sequence, &rows);
        }
        self.usage.handle_report(now, peer, report, out);
    }

    /// Adds the reports that are due to `out`; returns in how many milliseconds to call again.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) -> Millis {
        self.usage.set_local_scarcity(self.policy.finds_endpoints_short(now));
        self.usage.poll(now, out)
    }

    /// Whether capacity is scarce, or was until recently.
    pub fn is_scarce(&self, now: Millis) -> bool {
        self.policy.is_scarce(now)
    }

    /// Connections rejected so far.
    pub fn rejections(&self) -> Rejections {
        self.rejections
    }

    /// A tenant's usage over the cluster; `None` for a tenant that the settings do not name.
    pub fn view(&self, now: Millis, tenant: &str) -> Option<UsageView> {
        Some(self.usage.view(now, self.usage.index_of(tenant)?))
    }

    /// The other relays' usage, to be stored over a restart.
    pub fn snapshot(&self, now: Millis) -> StoredUsage {
        self.usage.snapshot(now)
    }

    /// Restores the usage that was stored `age_ms` ago.
    pub fn restore(&mut self, now: Millis, age_ms: Millis, stored: StoredUsage) {
        self.usage.restore(now, age_ms, stored);
    }
}
