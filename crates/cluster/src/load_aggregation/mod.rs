//! Aggregates the load of each endpoint over all relays of the cluster from the relays' load reports.
//!
//! [`LoadAggregation`] holds this relay's reporting schedule and, if this relay is the collector, the reports
//! of the other relays. Its inputs are this relay's load by endpoint and other relays' messages, with the
//! time in milliseconds; its outputs are messages to send and each newly received load of the cluster. It
//! decides nothing about connections.
//!
//! In a cluster of hundreds, each relay carries a dozen connections and does not know the load of most
//! endpoints. Each relay reports its load to one relay, the collector, which answers with the sums of the
//! endpoints that carry most relative to their weight. The report and the answer are one datagram each. A
//! relay reports when connections have arrived since its last report, and otherwise at a longer interval; its
//! first intervals are shorter, while all loads are new. Any relay can be the collector: a relay that gets no
//! answer tries the next index, and a collector that has just started has the reports of a part of the
//! cluster, which give the same proportions with more noise.

mod reports;

use std::collections::BTreeMap;

use sandgw_affinity::codec::{ClusterMessage, LOADS_PER_MESSAGE};
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_units::timer::OneShotTimer;

use crate::{ClusterPosition, Millis};
use reports::ReportTable;

/// An endpoint's short tag: two bytes of a hash of its name. Two endpoints with the same tag are treated as
/// one.
pub type Tag = [u8; 2];

/// The shortest interval between two reports.
const FIRST_REPORT_INTERVAL_MS: Millis = 400.0;
/// Factor by which each interval between reports exceeds the previous interval.
const REPORT_INTERVAL_GROWTH: f64 = 1.5;
/// The longest interval between reports while connections arrive.
const MAX_REPORT_INTERVAL_MS: Millis = 1500.0;
/// The interval between reports while no connections arrive.
const IDLE_REPORT_INTERVAL_MS: Millis = 6000.0;
/// Reports without an answer before the next collector is tried.
const MAX_UNANSWERED_REPORTS: u32 = 2;
/// The first collector is tried again with each report whose number is a multiple of this.
const REPORTS_PER_FAILBACK: u32 = 8;
/// Timers are never shorter than this.
const MIN_TIMER_MS: Millis = 1.0;

/// The load of the cluster by endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterLoad {
    /// Load of all endpoints, in mean connections, over the relays whose reports the collector has.
    pub total: f64,
    /// Load by endpoint tag, of the endpoints that carry most relative to their weight.
    pub loads: BTreeMap<Tag, f64>,
}

/// One relay's part in aggregating the load of each endpoint over all relays, as reporter and as collector.
///
/// ```
/// use sandgw_affinity::codec::ClusterMessage;
/// use sandgw_affinity::outbox::Outbox;
/// use sandgw_cluster::ClusterPosition;
/// use sandgw_cluster::load_aggregation::LoadAggregation;
///
/// let (mut collector, mut reporter) = (LoadAggregation::default(), LoadAggregation::default());
/// let (endpoint, position) = ([1, 0], ClusterPosition { local_index: 5, relay_count: 20 });
/// assert!(LoadAggregation::is_needed(20) && !LoadAggregation::is_needed(4));
///
/// // A connection has arrived at relay 5, which reports its load to relay 0 in one datagram.
/// let mut out = Outbox::new();
/// reporter.record_connection();
/// reporter.report(1000.0, position, || vec![(endpoint, 12.0)], &mut out);
/// let sent = out.pop().expect("a report");
/// let (0, ClusterMessage::LoadReport(rows)) = (sent.peer, sent.message) else { panic!("no report") };
///
/// // Relay 0 answers with the sums; endpoints' weights are looked up by their tags.
/// collector.handle_report(1010.0, 5, 20, rows, |_| 1.0, &mut out);
/// let sent = out.pop().expect("an answer");
/// let (5, ClusterMessage::ClusterLoads { total, rows }) = (sent.peer, sent.message) else {
///     panic!("no answer")
/// };
/// reporter.handle_cluster_loads(0, total, &rows);
/// let load = reporter.take_cluster_load().expect("the sums");
/// assert_eq!((load.total, load.loads[&endpoint]), (12.0, 12.0));
/// assert!(reporter.take_cluster_load().is_none(), "nothing new has arrived");
/// assert!(reporter.timer(1010.0).is_some(), "the next report is scheduled");
/// ```
#[derive(Default)]
pub struct LoadAggregation {
    /// The reports of which this relay is the collector.
    reports: ReportTable,
    /// Index of the relay to which this relay reports.
    collector: u32,
    unanswered_reports: u32,
    total_reports: u32,
    last_report_at: Option<Millis>,
    report_interval: Millis,
    connections_since_report: u32,
    timer: OneShotTimer,
    cluster_load: Option<ClusterLoad>,
}

impl LoadAggregation {
    /// Whether a cluster of `relay_count` relays needs to aggregate its load: a full mesh does not.
    pub fn is_needed(relay_count: u32) -> bool {
        ClusterPosition { local_index: 0, relay_count }.is_large()
    }

    /// Records that a connection has arrived at this relay.
    pub fn record_connection(&mut self) {
        self.connections_since_report = self.connections_since_report.saturating_add(1);
    }

    /// Returns the delay until [`LoadAggregation::report`] is to be called; `None` before the first report,
    /// or if the call was requested before. An arriving connection may bring the next report forward.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        self.timer.arm(now, self.next_report_at()?, MIN_TIMER_MS)
    }

    /// Reports this relay's load by endpoint tags, if a report is due.
    pub fn report(
        &mut self,
        now: Millis,
        position: ClusterPosition,
        local_load: impl FnOnce() -> Vec<(Tag, f64)>,
        out: &mut Outbox,
    ) {
        if !self.is_report_due(now) {
            return;
        }
        self.schedule_next_report(now);
        self.select_collector(position.relay_count);
        let rows = report_rows(local_load());
        if self.collector == position.local_index {
            self.reports.insert(now, position.local_index, rows);
            self.cluster_load = Some(self.reports.heaviest(|_| 1.0));
        } else {
            self.unanswered_reports += 1;
            out.push(OutgoingMessage::new(self.collector, ClusterMessage::LoadReport(rows)));
        }
    }

    /// Records another relay's report and answers it. `weight` returns an endpoint's weight by its tag.
    pub fn handle_report(
        &mut self,
        now: Millis,
        peer: u32,
        relay_count: u32,
        rows: Vec<(Tag, u8)>,
        weight: impl Fn(Tag) -> f64,
        out: &mut Outbox,
    ) {
        if peer >= relay_count {
            return;
        }
        self.reports.insert(now, peer, rows);
        let sums = self.reports.heaviest(weight);
        let rows = sums.loads.iter().map(|(tag, load)| (*tag, load.round() as u16)).collect();
        let answer = ClusterMessage::ClusterLoads { total: sums.total.round() as u32, rows };
        out.push(OutgoingMessage::new(peer, answer));
    }

    /// Records the cluster's load from the collector's answer.
    pub fn handle_cluster_loads(&mut self, peer: u32, total: u32, rows: &[(Tag, u16)]) {
        if peer != self.collector {
            return;
        }
        self.unanswered_reports = 0;
        let loads = rows.iter().map(|(tag, load)| (*tag, f64::from(*load))).collect();
        self.cluster_load = Some(ClusterLoad { total: f64::from(total), loads });
    }

    /// Returns the cluster's load, if a new value of the load arrived since the last call.
    pub fn take_cluster_load(&mut self) -> Option<ClusterLoad> {
        self.cluster_load.take()
    }

    /// When this relay reports next if no further connections arrive.
    fn next_report_at(&self) -> Option<Millis> {
        let has_connections = self.connections_since_report > 0;
        let interval = if has_connections { self.report_interval } else { IDLE_REPORT_INTERVAL_MS };
        self.last_report_at.map(|at| at + interval)
    }

    /// The first report is due with the first connection.
    fn is_report_due(&self, now: Millis) -> bool {
        match self.next_report_at() {
            Some(at) => now >= at,
            None => self.connections_since_report > 0,
        }
    }

    fn schedule_next_report(&mut self, now: Millis) {
        self.report_interval = match self.last_report_at {
            None => FIRST_REPORT_INTERVAL_MS,
            Some(_) => (self.report_interval * REPORT_INTERVAL_GROWTH).min(MAX_REPORT_INTERVAL_MS),
        };
        self.last_report_at = Some(now);
        self.connections_since_report = 0;
        self.total_reports += 1;
    }

    /// Fails over to the next collector after unanswered reports, and periodically back to the first.
    fn select_collector(&mut self, relay_count: u32) {
        if self.unanswered_reports >= MAX_UNANSWERED_REPORTS {
            self.collector = (self.collector + 1) % relay_count;
            self.unanswered_reports = 0;
        }
        if self.total_reports.is_multiple_of(REPORTS_PER_FAILBACK) {
            self.collector = 0;
            self.unanswered_reports = 0;
        }
    }
}

/// The largest loads that fit a datagram, rounded up to whole mean connections.
fn report_rows(mut loads: Vec<(Tag, f64)>) -> Vec<(Tag, u8)> {
    loads.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    let heaviest = loads.into_iter().take(LOADS_PER_MESSAGE);
    heaviest.map(|(tag, load)| (tag, load.ceil().clamp(0.0, 255.0) as u8)).collect()
}
