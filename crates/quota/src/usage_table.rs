//! Each tenant's usage of the cluster, from local counts and other relays' reports.
//!
//! [`UsageTable`] owns this relay's counts, which are exact, and the other relays' reports. Inputs:
//! connections' events, reports and the time in milliseconds. Outputs: reports to send and, for a tenant, a
//! [`UsageView`].
//!
//! In a small cluster each relay reports to all others. In a larger one each reports to a collector, which
//! replies with the sums over all relays except the receiver. The receiver adds its own current counts, so
//! that none of its own connections is counted twice or late. A connection that continues at another relay is
//! counted at that relay only.

use sandgw_units::Millis;
use serde::{Deserialize, Serialize};

use crate::aggregate::{AGGREGATE_TTL_MS, Aggregate, AggregateSource};
use crate::cluster_position::ClusterPosition;
use crate::grant_ledger::{GrantDemand, GrantLedger};
use crate::peer_reports::{PEER_TIMEOUT_MS, PeerReports, ReportId};
use crate::rate::ArrivalRate;
use crate::report_schedule::ReportSchedule;
use crate::tenants::{TenantTag, Tenants};
use crate::usage_gossip::{
    GrantRequestRow, GrantRow, MAX_ROWS, SCARCITY_TAG, Usage, UsageReport, UsageRow, to_row_value,
};
use crate::usage_view::{RemoteUsage, UsageView};

/// More reporters than a cluster can have: a stored number of reporters that is not below this is invalid.
const REPORTERS_END: f64 = 65_536.0;

/// A report to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingReport {
    /// The receiving relay.
    pub peer: u32,
    /// The report itself.
    pub report: UsageReport,
}

/// One tenant's usage at this relay.
#[derive(Clone, Copy, Debug, Default)]
struct LocalUsage {
    established: u32,
    pending: u32,
    arrivals: ArrivalRate,
}

impl LocalUsage {
    /// The open connections and the arrival rate. Pending connections are included, so that admitted
    /// connections count at the other relays too.
    fn open(&self, now: Millis) -> Usage {
        Usage { connections: f64::from(self.established + self.pending), per_s: self.arrivals.per_s(now) }
    }
}

/// The other relays' usage as it is stored over a restart. The age of this usage reduces its coverage, as
/// with any aggregate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredUsage {
    /// How old the usage was when it was stored, in milliseconds.
    pub age_ms: Millis,
    /// Number of relays whose usage is included.
    pub reporters: f64,
    /// Sums by tenant.
    pub rows: Vec<UsageRow>,
}

/// The usage of all tenants; see the module documentation.
pub struct UsageTable {
    tenants: Tenants,
    tags: Vec<TenantTag>,
    position: ClusterPosition,
    /// This relay's incarnation, and the sequence number of its last report.
    last_report: ReportId,
    /// This relay's own usage, by tenant index.
    local: Vec<LocalUsage>,
    peer_reports: PeerReports,
    aggregate: Option<Aggregate>,
    schedule: ReportSchedule,
    /// Connections that this relay has granted as the coordinator.
    grants: GrantLedger,
    /// Whether this relay finds endpoints short of capacity; `None` until this relay or a relay that reports
    /// to this relay has found a shortage once.
    local_scarcity: Option<bool>,
    /// Since when the other relays report to this relay, if they do: in a full mesh since this relay started,
    /// otherwise since this relay became the collector.
    collecting_since: Option<Millis>,
}

impl UsageTable {
    /// Creates an empty table. The time is this relay's incarnation number: a later start must have a later
    /// time.
    pub fn new(tenants: Tenants, position: ClusterPosition, now: Millis) -> Self {
        UsageTable {
            tags: tenants.tags().collect(),
            local: vec![LocalUsage::default(); tenants.len()],
            tenants,
            position,
            last_report: ReportId { incarnation: now.max(0.0) as u64, sequence: 0 },
            peer_reports: PeerReports::default(),
            aggregate: None,
            schedule: ReportSchedule::new(position, now),
            grants: GrantLedger::default(),
            local_scarcity: None,
            collecting_since: position.is_full_mesh().then_some(now),
        }
    }

    /// The index of a tenant.
    pub fn index_of(&self, tenant: &str) -> Option<usize> {
        self.tenants.index_of(tenant)
    }

    /// Records the arrival of a connection that was not counted before.
    pub fn record_arrival(&mut self, now: Millis, index: usize) {
        if let Some(local) = self.local.get_mut(index) {
            local.arrivals.record(now);
        }
    }

    /// Counts a connection as pending.
    pub fn add_pending(&mut self, index: usize) {
        if let Some(local) = self.local.get_mut(index) {
            local.pending += 1;
        }
    }

    /// Counts a pending connection as established.
    pub fn establish(&mut self, index: usize) {
        if let Some(local) = self.local.get_mut(index) {
            local.pending = local.pending.saturating_sub(1);
            local.established += 1;
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, index: usize, was_established: bool) {
        if let Some(local) = self.local.get_mut(index) {
            let count = if was_established { &mut local.established } else { &mut local.pending };
            *count = count.saturating_sub(1);
        }
    }

    /// The usage of the tenant at this index.
    pub fn view(&self, now: Millis, index: usize) -> UsageView {
        let local = self.local.get(index).copied().unwrap_or_default();
        let tag = self.tags.get(index).copied().unwrap_or_default();
        UsageView::estimate(local.open(now), self.remote(now, tag), self.tenants.get(index), self.position)
    }

    /// Sets whether this relay finds endpoints short of capacity, for its next reports.
    pub(crate) fn set_local_scarcity(&mut self, is_scarce: bool) {
        if is_scarce || self.local_scarcity.is_some() {
            self.local_scarcity = Some(is_scarce);
        }
    }

    /// Whether any other relay finds endpoints short of capacity.
    pub(crate) fn is_scarce_elsewhere(&self, now: Millis) -> bool {
        self.remote(now, SCARCITY_TAG).usage.connections > 0.0
    }

    /// The row with the number of relays that find endpoints short of capacity: `others`, and this relay if
    /// it does. There is no row until endpoints have been found short of capacity once.
    fn scarcity_row(&self, others: f64) -> Option<UsageRow> {
        let is_scarce = self.local_scarcity?;
        let connections = others + f64::from(u8::from(is_scarce));
        Some(UsageRow::new(SCARCITY_TAG, Usage { connections, per_s: 0.0 }))
    }

    /// This relay's open connections of the tenant at this index, pending ones included.
    pub(crate) fn open(&self, index: usize) -> f64 {
        self.local.get(index).map_or(0.0, |local| f64::from(local.established + local.pending))
    }

    /// The relay that grants connections to the others; `None` where relays may not send each other messages.
    pub(crate) fn coordinator(&self, now: Millis) -> Option<u32> {
        let may_ask = self.position.peer_messages && self.position.relay_count > 1;
        may_ask.then(|| self.schedule.coordinator(|peer| self.peer_reports.is_live(now, peer)))
    }

    pub(crate) fn is_coordinator(&self, now: Millis) -> bool {
        self.coordinator(now) == Some(self.position.local_index)
    }

    /// Whether this relay knows enough to grant connections as the coordinator: nearly all relays report to
    /// it, or the other relays have been silent for so long that they no longer count.
    pub(crate) fn can_grant(&self, now: Millis) -> bool {
        let has_waited = self.collecting_since.is_some_and(|since| now - since >= PEER_TIMEOUT_MS);
        self.is_coordinator(now) && (has_waited || self.schedule.covers_cluster(self.peer_reports.len()))
    }

    /// How many connections of the tenant this relay may still admit by itself as the coordinator.
    pub(crate) fn free_connections(&self, now: Millis, index: usize) -> f64 {
        let Some(tag) = self.tags.get(index) else { return f64::INFINITY };
        let view = self.view(now, index);
        let reported = |peer| self.peer_reports.usage_of(peer, *tag).connections;
        view.remaining() - self.grants.unreported(now, *tag, None, reported)
    }

    /// A report of local usage, for the coordinator; `None` if there is no coordinator or this
    /// relay is the coordinator.
    pub(crate) fn prompt_report(&mut self, now: Millis) -> Option<OutgoingReport> {
        let peer = self.coordinator(now).filter(|_| !self.is_coordinator(now))?;
        Some(OutgoingReport { peer, report: self.local_report(now) })
    }

    /// Creates a request for grants, from each tenant's index and number of wanted connections. Returns the
    /// request's sequence number and the request.
    pub(crate) fn grant_request(&mut self, wanted: &[(usize, usize)]) -> (u32, UsageReport) {
        let ReportId { incarnation, sequence } = self.next_report_id();
        let row = |(index, wanted): &(usize, usize)| GrantRequestRow {
            tenant: self.tags.get(*index).copied().unwrap_or_default(),
            open: to_row_value(self.open(*index)),
            wanted: to_row_value(*wanted as f64),
        };
        let rows = wanted.iter().take(MAX_ROWS).map(row).collect();
        (sequence, UsageReport::GrantRequest { incarnation, sequence, rows })
    }

    /// The index of the tenant with this tag.
    pub(crate) fn index_of_tag(&self, tag: TenantTag) -> Option<usize> {
        self.tags.iter().position(|known| *known == tag)
    }

    /// Answers another relay's request, if this relay can grant connections as the coordinator.
    fn handle_grant_request(
        &mut self,
        now: Millis,
        peer: u32,
        id: ReportId,
        rows: Vec<GrantRequestRow>,
    ) -> Option<OutgoingReport> {
        if !self.can_grant(now) || !self.grants.is_new_request(peer, id) {
            return None;
        }
        let rows = rows.into_iter().take(MAX_ROWS).filter_map(|row| self.grant(now, peer, row)).collect();
        Some(OutgoingReport { peer, report: UsageReport::Grant { sequence: id.sequence, rows } })
    }

    fn grant(&mut self, now: Millis, peer: u32, row: GrantRequestRow) -> Option<GrantRow> {
        let tag = row.tenant;
        let view = self.view(now, self.index_of_tag(tag)?);
        let demand = GrantDemand { tenant: tag, open: f64::from(row.open), wanted: f64::from(row.wanted) };
        let reported = |peer| self.peer_reports.usage_of(peer, tag).connections;
        let unreported = self.grants.unreported(now, tag, Some(peer), reported);
        let free_connections = view.remaining() + reported(peer) - demand.open - unreported;
        let ceiling = self.grants.grant(now, peer, demand, free_connections);
        Some(GrantRow { tenant: tag, ceiling: to_row_value(ceiling) })
    }

    /// The other relays' usage. The usage is taken from an aggregate, unless there is no aggregate or this
    /// relay is a collector and the reports that it receives cover as many relays.
    fn remote(&self, now: Millis, tag: TenantTag) -> RemoteUsage {
        let coverage = self.peer_reports.coverage(now);
        let reporters = coverage.reporters;
        let is_collector = self.schedule.is_collector();
        let is_usable = |aggregate: &&Aggregate| {
            (!is_collector || aggregate.effective_coverage(now) > reporters + 1.0)
                && now - aggregate.received_at <= AGGREGATE_TTL_MS
        };
        if let Some(aggregate) = self.aggregate.as_ref().filter(is_usable) {
            return RemoteUsage {
                usage: aggregate.rows.get(&tag).copied().unwrap_or_default(),
                age_ms: (now - aggregate.received_at).max(0.0),
                reporters: aggregate.reporters,
                overdue: 0.0,
            };
        }
        // The sums include silent relays until the next poll removes them. Without any relay that has
        // reported recently, the sums do not count.
        let usage = if reporters > 0.0 { self.peer_reports.sum(tag) } else { Usage::default() };
        let overdue = self.peer_reports.overdue(now, tag, self.schedule.interval_ms());
        RemoteUsage { usage, age_ms: coverage.mean_age_ms, reporters, overdue }
    }

    /// Adds the reports that are due to `out`; returns in how many milliseconds to call again.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) -> Millis {
        self.peer_reports.remove_silent(now);
        if !self.position.is_full_mesh() {
            self.collecting_since = self.collecting_since.or(Some(now)).filter(|_| self.is_coordinator(now));
        }
        if !self.position.peer_messages || self.position.relay_count < 2 {
            return AGGREGATE_TTL_MS;
        }
        if let Some(remaining_ms) = self.schedule.remaining_ms(now) {
            return remaining_ms;
        }
        let report = self.local_report(now);
        let round = self.schedule.next_round(now, self.peer_reports.len());
        let reports = round.receivers.into_iter().map(|peer| OutgoingReport { peer, report: report.clone() });
        out.extend(reports);
        round.next_in_ms
    }

    fn next_report_id(&mut self) -> ReportId {
        self.last_report.sequence = self.last_report.sequence.wrapping_add(1);
        self.last_report
    }

    /// Creates a report of local usage, with the rows of as many tenants as a datagram holds.
    fn local_report(&mut self, now: Millis) -> UsageReport {
        let ReportId { incarnation, sequence } = self.next_report_id();
        let rows = self.local.iter().zip(&self.tags);
        let rows = rows.map(|(local, tag)| UsageRow::new(*tag, local.open(now)));
        let rows = self.scarcity_row(0.0).into_iter().chain(rows).collect();
        UsageReport::Local { incarnation, sequence, rows: page(sequence, rows) }
    }

    /// Handles another relay's report, and adds the reports to send in reply to `out`.
    pub fn handle_report(
        &mut self,
        now: Millis,
        peer: u32,
        report: UsageReport,
        out: &mut Vec<OutgoingReport>,
    ) {
        if !self.position.is_other_relay(peer) || !self.position.peer_messages {
            return;
        }
        match report {
            UsageReport::Local { incarnation, sequence, rows } => {
                let id = ReportId { incarnation, sequence };
                out.extend(self.handle_local_report(now, peer, id, rows));
            }
            UsageReport::Aggregate { incarnation, sequence, reporters, rows } => {
                let source = AggregateSource { peer, incarnation };
                let rows = rows.iter().take(MAX_ROWS).map(|row| (row.tenant, row.usage())).collect();
                let reporters = f64::from(reporters);
                self.handle_aggregate(Aggregate { source, sequence, received_at: now, reporters, rows });
            }
            UsageReport::GrantRequest { incarnation, sequence, rows } => {
                let id = ReportId { incarnation, sequence };
                out.extend(self.handle_grant_request(now, peer, id, rows));
            }
            // The manager handles grants, since it has the connections that wait for them.
            UsageReport::Grant { .. } => {}
        }
    }

    fn handle_local_report(
        &mut self,
        now: Millis,
        peer: u32,
        id: ReportId,
        rows: Vec<UsageRow>,
    ) -> Option<OutgoingReport> {
        self.peer_reports.remove_silent(now);
        let has_restarted = self.peer_reports.is_new_incarnation(peer, id.incarnation);
        self.peer_reports.merge(now, peer, id, rows);
        if self.peer_reports.sum(SCARCITY_TAG).connections > 0.0 {
            // From now on this relay's reports include the scarcity row, so that the reports also say when
            // the scarcity has ended.
            self.local_scarcity.get_or_insert(false);
        }
        if !self.position.is_full_mesh() {
            return Some(OutgoingReport { peer, report: self.aggregate_report(now, peer) });
        }
        // A relay that has just started gets a report of this relay at once.
        has_restarted.then(|| OutgoingReport { peer, report: self.local_report(now) })
    }

    /// Creates a report of the sums over all relays except the receiver, with current local usage.
    fn aggregate_report(&mut self, now: Millis, receiver: u32) -> UsageReport {
        let ReportId { incarnation, sequence } = self.next_report_id();
        let received = self.peer_reports.get(receiver);
        let rows = self.local.iter().zip(&self.tags).map(|(local, tag)| {
            let sum = self.peer_reports.sum(*tag);
            let excluded = received.and_then(|report| report.rows.get(tag)).copied().unwrap_or_default();
            let local = local.open(now);
            let connections = sum.connections - excluded.connections + local.connections;
            let per_s = sum.per_s - excluded.per_s + local.per_s;
            UsageRow::new(*tag, Usage { connections, per_s })
        });
        // The receiver's sequence number selects the page, so that successive replies to one relay carry
        // successive pages.
        let excluded =
            received.and_then(|report| report.rows.get(&SCARCITY_TAG)).copied().unwrap_or_default();
        let scarce_elsewhere = self.peer_reports.sum(SCARCITY_TAG).connections - excluded.connections;
        let scarcity = self.scarcity_row(scarce_elsewhere);
        let rows =
            page(received.map_or(0, |report| report.id.sequence), scarcity.into_iter().chain(rows).collect());
        let reporters = self.peer_reports.len() + 1 - usize::from(received.is_some());
        let reporters = u16::try_from(reporters).unwrap_or(u16::MAX);
        UsageReport::Aggregate { incarnation, sequence, reporters, rows }
    }

    fn handle_aggregate(&mut self, mut new: Aggregate) {
        let now = new.received_at;
        let known_coverage = self.aggregate.as_ref().map(|known| known.effective_coverage(now));
        if !self.schedule.handle_reply(now, new.source, new.reporters, known_coverage) {
            return;
        }
        if self.aggregate.as_ref().is_some_and(|known| !known.is_superseded_by(&new)) {
            return;
        }
        // Tenants on other pages keep their sums if those are from the same collector. The sums of another
        // collector are dropped.
        if let Some(known) = self.aggregate.take().filter(|known| known.source == new.source) {
            let mut rows = known.rows;
            rows.append(&mut new.rows);
            new.rows = rows;
        }
        new.rows.retain(|tag, _| *tag == SCARCITY_TAG || self.tags.contains(tag));
        self.aggregate = Some(new);
    }

    /// The other relays' usage, to be stored over a restart.
    pub fn snapshot(&self, now: Millis) -> StoredUsage {
        let remote: Vec<RemoteUsage> = self.tags.iter().map(|tag| self.remote(now, *tag)).collect();
        let first = remote.first().copied().unwrap_or_default();
        let rows = self.tags.iter().zip(&remote).map(|(tag, remote)| UsageRow::new(*tag, remote.usage));
        StoredUsage { age_ms: first.age_ms, reporters: first.reporters, rows: rows.collect() }
    }

    /// Restores the usage that was stored `age_ms` ago. The restored usage counts like an aggregate of its
    /// age until an aggregate is received.
    pub fn restore(&mut self, now: Millis, age_ms: Millis, stored: StoredUsage) {
        let is_valid =
            age_ms >= 0.0 && stored.age_ms >= 0.0 && (0.0..REPORTERS_END).contains(&stored.reporters);
        if self.aggregate.is_some() || !is_valid || age_ms + stored.age_ms >= AGGREGATE_TTL_MS {
            return;
        }
        self.aggregate = Some(Aggregate {
            source: AggregateSource::STORED,
            sequence: 0,
            received_at: now - age_ms - stored.age_ms,
            reporters: stored.reporters,
            rows: stored.rows.iter().map(|row| (row.tenant, row.usage())).collect(),
        });
    }
}

/// One page of the tenants' rows, with as many rows as a datagram holds. Successive numbers give successive
/// pages.
fn page(number: u32, mut rows: Vec<UsageRow>) -> Vec<UsageRow> {
    if rows.len() > MAX_ROWS {
        let page_count = rows.len().div_ceil(MAX_ROWS);
        let start = number as usize % page_count * MAX_ROWS;
        rows.rotate_left(start);
        rows.truncate(MAX_ROWS);
    }
    rows
}
