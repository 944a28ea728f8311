//! What each tenant uses of the cluster, from local counts and other relays' reports.
//!
//! [`UsageTable`] owns this relay's counts, which are exact, and what others have reported. Inputs:
//! connections' events, reports and the time in milliseconds. Outputs: reports to send and, for a tenant, a
//! [`UsageView`].
//!
//! In a small cluster each relay reports to all others. In a larger one each reports to a collector, which
//! replies with the sums of all relays but the receiver. The receiver adds its own counts as they are then,
//! so none of its own connections is counted twice or late. A connection that continues at another relay is
//! counted there only.

use sandgw_units::Millis;
use serde::{Deserialize, Serialize};

use crate::aggregate::{AGGREGATE_TTL_MS, Aggregate, AggregateSource};
use crate::cluster_position::ClusterPosition;
use crate::peer_reports::{PeerReports, ReportId};
use crate::rate::ArrivalRate;
use crate::report_schedule::ReportSchedule;
use crate::tenants::{TenantTag, Tenants};
use crate::usage_gossip::{MAX_ROWS, Usage, UsageReport, UsageRow};
use crate::usage_view::{RemoteUsage, UsageView};

/// More reporters than a cluster can have; a stored number from here on is invalid.
const REPORTERS_END: f64 = 65_536.0;

/// A report to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingReport {
    /// The receiving relay.
    pub peer: u32,
    /// Its content.
    pub report: UsageReport,
}

/// This relay's usage by one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct LocalUsage {
    established: u32,
    pending: u32,
    arrivals: ArrivalRate,
}

impl LocalUsage {
    /// Open connections, pending ones included.
    fn open(&self, now: Millis) -> Usage {
        Usage { connections: f64::from(self.established + self.pending), per_s: self.arrivals.per_s(now) }
    }

    /// What other relays are to count.
    fn reported(&self, now: Millis) -> Usage {
        Usage { connections: f64::from(self.established), per_s: self.arrivals.per_s(now) }
    }
}

/// The other relays' usage as it is stored over a restart. It counts by its age like any aggregate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredUsage {
    /// How old it was when it was stored.
    pub age_ms: Millis,
    /// Number of relays that are included.
    pub reporters: f64,
    /// Sums by tenant.
    pub rows: Vec<UsageRow>,
}

/// The usage of all tenants; see the module documentation.
pub struct UsageTable {
    tenants: Tenants,
    tags: Vec<TenantTag>,
    position: ClusterPosition,
    /// Incarnation of this relay, and sequence number of its last report.
    last_report: ReportId,
    /// By tenant index.
    local: Vec<LocalUsage>,
    peer_reports: PeerReports,
    aggregate: Option<Aggregate>,
    schedule: ReportSchedule,
}

impl UsageTable {
    /// An empty table. The time is this relay's incarnation number: a later start must have a later time.
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

    /// What the tenant at this index uses.
    pub fn view(&self, now: Millis, index: usize) -> UsageView {
        let local = self.local.get(index).copied().unwrap_or_default();
        let tag = self.tags.get(index).copied().unwrap_or_default();
        UsageView::estimate(local.open(now), self.remote(now, tag), self.tenants.get(index), self.position)
    }

    /// What the other relays use: by their own reports, or by an aggregate while that includes more relays.
    fn remote(&self, now: Millis, tag: TenantTag) -> RemoteUsage {
        let coverage = self.peer_reports.coverage(now);
        let reporters = coverage.reporters;
        let is_collector = self.schedule.is_collector();
        let is_usable = |aggregate: &&Aggregate| {
            (!is_collector || aggregate.worth(now) > reporters + 1.0)
                && now - aggregate.received_at <= AGGREGATE_TTL_MS
        };
        if let Some(aggregate) = self.aggregate.as_ref().filter(is_usable) {
            return RemoteUsage {
                usage: aggregate.rows.get(&tag).copied().unwrap_or_default(),
                age_ms: (now - aggregate.received_at).max(0.0),
                reporters: aggregate.reporters,
            };
        }
        // Sums include silent relays until the next poll; without any reporter nothing counts from now on.
        let usage = if reporters > 0.0 { self.peer_reports.sum(tag) } else { Usage::default() };
        RemoteUsage { usage, age_ms: coverage.mean_age_ms, reporters }
    }

    /// Adds the reports that are due to `out`; returns in how many milliseconds to call again.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<OutgoingReport>) -> Millis {
        self.peer_reports.remove_silent(now);
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

    /// The report of local usage, with as many rows as a datagram holds.
    fn local_report(&mut self, now: Millis) -> UsageReport {
        let ReportId { incarnation, sequence } = self.next_report_id();
        let rows = self.local.iter().zip(&self.tags);
        let rows = rows.map(|(local, tag)| UsageRow::new(*tag, local.reported(now))).collect();
        UsageReport::Local { incarnation, sequence, rows: page(sequence, rows) }
    }

    /// Handles another relay's report; what is to be sent in reply is added to `out`.
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
        if !self.position.is_full_mesh() {
            return Some(OutgoingReport { peer, report: self.aggregate_report(now, peer) });
        }
        // A relay that has just started gets a report at once.
        has_restarted.then(|| OutgoingReport { peer, report: self.local_report(now) })
    }

    /// The sums of all relays but the receiver, with local usage as it is now.
    fn aggregate_report(&mut self, now: Millis, receiver: u32) -> UsageReport {
        let ReportId { incarnation, sequence } = self.next_report_id();
        let received = self.peer_reports.get(receiver);
        let rows = self.local.iter().zip(&self.tags).map(|(local, tag)| {
            let sum = self.peer_reports.sum(*tag);
            let excluded = received.and_then(|report| report.rows.get(tag)).copied().unwrap_or_default();
            let local = local.reported(now);
            let connections = sum.connections - excluded.connections + local.connections;
            let per_s = sum.per_s - excluded.per_s + local.per_s;
            UsageRow::new(*tag, Usage { connections, per_s })
        });
        // Paged by the receiver's own sequence, so that successive replies to one relay carry successive
        // pages.
        let rows = page(received.map_or(0, |report| report.id.sequence), rows.collect());
        let reporters = self.peer_reports.len() + 1 - usize::from(received.is_some());
        let reporters = u16::try_from(reporters).unwrap_or(u16::MAX);
        UsageReport::Aggregate { incarnation, sequence, reporters, rows }
    }

    fn handle_aggregate(&mut self, mut new: Aggregate) {
        let now = new.received_at;
        let known_worth = self.aggregate.as_ref().map(|known| known.worth(now));
        if !self.schedule.handle_reply(now, new.source, new.reporters, known_worth) {
            return;
        }
        if self.aggregate.as_ref().is_some_and(|known| !known.is_superseded_by(&new)) {
            return;
        }
        // Tenants on other pages keep the sums of the same collector; another collector's are dropped.
        if let Some(known) = self.aggregate.take().filter(|known| known.source == new.source) {
            let mut rows = known.rows;
            rows.append(&mut new.rows);
            new.rows = rows;
        }
        new.rows.retain(|tag, _| self.tags.contains(tag));
        self.aggregate = Some(new);
    }

    /// What is worth storing over a restart.
    pub fn snapshot(&self, now: Millis) -> StoredUsage {
        let remote: Vec<RemoteUsage> = self.tags.iter().map(|tag| self.remote(now, *tag)).collect();
        let first = remote.first().copied().unwrap_or_default();
        let rows = self.tags.iter().zip(&remote).map(|(tag, remote)| UsageRow::new(*tag, remote.usage));
        StoredUsage { age_ms: first.age_ms, reporters: first.reporters, rows: rows.collect() }
    }

    /// Applies what was stored `age_ms` ago. It counts like an aggregate of that age, until one is received.
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

/// One page of the rows, as many as a datagram holds; successive numbers give successive pages.
fn page(number: u32, mut rows: Vec<UsageRow>) -> Vec<UsageRow> {
    if rows.len() > MAX_ROWS {
        let page_count = rows.len().div_ceil(MAX_ROWS);
        let start = number as usize % page_count * MAX_ROWS;
        rows.rotate_left(start);
        rows.truncate(MAX_ROWS);
    }
    rows
}
