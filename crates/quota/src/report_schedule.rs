//! Decides when this relay reports, and to which relays.
//!
//! [`ReportSchedule`] owns the timers and the choice of the collector. Inputs: the time in milliseconds,
//! collectors' replies, and how many relays report to this one. Output: the receivers of each round of
//! reports. The schedule sends nothing itself.
//!
//! In a small cluster each relay reports to all others. In a larger one it reports to the current collector
//! and gets an aggregate in reply. At the start that is the first collector of an order that is the same at
//! all relays. After [`MAX_UNANSWERED_REPORTS`] without a reply the next collector in the order becomes
//! current. Collectors that come before the current collector in the order are probed in turn, and a
//! collector whose reply covers about as many relays as the current aggregate becomes current again, so that
//! all relays end up with the same collector.

use sandgw_units::Millis;

use crate::aggregate::{AggregateSource, SIMILAR_COVERAGE_RATIO};
use crate::cluster_position::ClusterPosition;

/// Interval between reports in a full mesh, where each relay reports to all others.
pub(crate) const FULL_MESH_INTERVAL_MS: Millis = 600.0;
/// Interval between reports to a collector.
pub(crate) const COLLECTOR_INTERVAL_MS: Millis = 1000.0;
/// Interval between reports while a collector's reply is missing.
const RETRY_INTERVAL_MS: Millis = 250.0;
/// Number of reports without a reply after which the next collector becomes current.
const MAX_UNANSWERED_REPORTS: u32 = 6;
/// Number of reports without a reply from any collector after which reports are sent at the ordinary
/// interval.
const BACKOFF_AFTER_REPORTS: u32 = 60;
/// A collector that comes before the current collector in the collector order becomes current again once its
/// aggregate includes this ratio of the effective coverage of the aggregate that is known here.
const FAILBACK_COVERAGE_RATIO: f64 = 0.9;
/// A collector that comes before the current collector in the collector order and has replied counts as
/// recovering for this time, in which it is probed with each report.
const RECOVERY_MS: Millis = 2.0 * COLLECTOR_INTERVAL_MS;
/// Distance between neighbours in the collector order, per mille of the cluster: the golden ratio spreads the
/// collectors evenly.
const COLLECTOR_STRIDE_PER_MILLE: u64 = 618;

/// The receivers of a report, and when the next report is due.
pub(crate) struct ReportRound {
    pub receivers: Vec<u32>,
    pub next_in_ms: Millis,
}

/// The collector's process that replied last, and the greatest number of relays that its replies have
/// included.
#[derive(Clone, Copy, Debug)]
struct Responder {
    source: AggregateSource,
    max_reporters: f64,
}

/// The probes of collectors that come before the current collector in the collector order.
#[derive(Clone, Copy, Debug)]
struct Probe {
    /// Rank of the probed collector in the collector order.
    rank: u32,
    sent_at: Millis,
    /// When a collector that comes before the current collector in the collector order last replied.
    replied_at: Millis,
}

/// When and to whom this relay reports; see the module documentation.
pub(crate) struct ReportSchedule {
    position: ClusterPosition,
    next_at: Millis,
    last_sent_at: Millis,
    /// Rank of the current collector in the collector order.
    current_rank: u32,
    /// Number of reports to the current collector since its last reply.
    unanswered: u32,
    /// Number of reports since the last reply of any collector.
    unanswered_by_any: u32,
    last_responder: Option<Responder>,
    probe: Probe,
}

impl ReportSchedule {
    /// Creates a schedule whose first report is due within one retry interval, at a phase that differs from
    /// relay to relay.
    pub fn new(position: ClusterPosition, now: Millis) -> Self {
        let phase = f64::from(position.local_index) / f64::from(position.relay_count.max(1));
        ReportSchedule {
            position,
            next_at: now + phase * RETRY_INTERVAL_MS,
            last_sent_at: f64::NEG_INFINITY,
            current_rank: 0,
            unanswered: 0,
            unanswered_by_any: 0,
            last_responder: None,
            probe: Probe { rank: 0, sent_at: f64::NEG_INFINITY, replied_at: f64::NEG_INFINITY },
        }
    }

    /// In how many milliseconds the next report is due; `None` if it is due now.
    pub fn remaining_ms(&self, now: Millis) -> Option<Millis> {
        (now < self.next_at).then(|| (self.next_at - now).max(1.0))
    }

    /// The ordinary interval between a relay's reports.
    pub fn interval_ms(&self) -> Millis {
        if self.position.is_full_mesh() { FULL_MESH_INTERVAL_MS } else { COLLECTOR_INTERVAL_MS }
    }

    /// Whether this relay sums up the other relays' reports itself.
    pub fn is_collector(&self) -> bool {
        self.position.is_full_mesh() || self.collector(self.current_rank) == self.position.local_index
    }

    /// The relay that grants connections: the current collector, or in a full mesh the first relay in the
    /// collector order that is alive.
    pub fn coordinator(&self, is_alive: impl Fn(u32) -> bool) -> u32 {
        if !self.position.is_full_mesh() {
            return self.collector(self.current_rank);
        }
        let mut order = (0..self.position.relay_count).map(|rank| self.collector(rank));
        let is_present = |relay: &u32| *relay == self.position.local_index || is_alive(*relay);
        order.find(is_present).unwrap_or(self.position.local_index)
    }

    /// The collector of a rank in the collector order. The order is the same at all relays. The indexes of
    /// neighbours in the order are far apart, so that each side of a partition has one of the first few
    /// collectors.
    fn collector(&self, rank: u32) -> u32 {
        let relay_count = u64::from(self.position.relay_count.max(1));
        let min_stride = relay_count * COLLECTOR_STRIDE_PER_MILLE / 1000;
        let stride = (min_stride..).find(|stride| gcd((*stride).max(1), relay_count) == 1);
        let stride = stride.unwrap_or(1).max(1);
        (u64::from(rank) * stride % relay_count) as u32
    }

    /// The receivers of a report that is sent now; `reporters` is the number of relays that report to this
    /// relay.
    pub fn next_round(&mut self, now: Millis, reporters: usize) -> ReportRound {
        let round = if self.position.is_full_mesh() {
            self.full_mesh_round()
        } else {
            self.collector_round(now, reporters)
        };
        self.next_at = now + round.next_in_ms;
        round
    }

    fn full_mesh_round(&self) -> ReportRound {
        let others = (0..self.position.relay_count).filter(|peer| *peer != self.position.local_index);
        ReportRound { receivers: others.collect(), next_in_ms: FULL_MESH_INTERVAL_MS }
    }

    fn collector_round(&mut self, now: Millis, reporters: usize) -> ReportRound {
        if self.unanswered >= MAX_UNANSWERED_REPORTS {
            self.current_rank = (self.current_rank + 1) % self.position.relay_count;
            self.unanswered = 0;
        }
        let collector = self.collector(self.current_rank);
        let awaits_reply = collector != self.position.local_index;
        let is_recovering = now - self.probe.replied_at < RECOVERY_MS;
        let mut receivers = Vec::new();
        if awaits_reply {
            receivers.push(collector);
            self.unanswered += 1;
            self.unanswered_by_any = self.unanswered_by_any.saturating_add(1);
        }
        receivers.extend(self.probe_earlier_collector(now, is_recovering));
        if !awaits_reply && !self.covers_cluster(reporters) {
            receivers.extend(self.other_collector(self.current_rank + 1));
        }
        self.last_sent_at = now;
        let is_unanswered = awaits_reply && self.unanswered_by_any < BACKOFF_AFTER_REPORTS;
        let is_retry = is_unanswered || self.current_rank > 0 && is_recovering;
        let next_in_ms = if is_retry { RETRY_INTERVAL_MS } else { COLLECTOR_INTERVAL_MS };
        ReportRound { receivers, next_in_ms }
    }

    /// The collector that is probed now, if any, among those that come before the current collector in the
    /// collector order. A collector that is recovering is probed again; otherwise these collectors take
    /// turns.
    fn probe_earlier_collector(&mut self, now: Millis, is_recovering: bool) -> Option<u32> {
        let is_due = is_recovering || now - self.probe.sent_at >= COLLECTOR_INTERVAL_MS;
        if self.current_rank == 0 || !is_due {
            return None;
        }
        let rank = if is_recovering { self.probe.rank } else { self.probe.rank + 1 };
        self.probe.rank = rank % self.current_rank;
        self.probe.sent_at = now;
        self.other_collector(self.probe.rank)
    }

    /// Whether nearly all relays report to this relay. A relay that has just become the collector may receive
    /// fewer reports than the next collector in the order does.
    pub fn covers_cluster(&self, reporters: usize) -> bool {
        reporters as f64 + 1.0 >= SIMILAR_COVERAGE_RATIO * f64::from(self.position.relay_count)
    }

    /// The collector of a rank, unless that is this relay.
    fn other_collector(&self, rank: u32) -> Option<u32> {
        let collector = self.collector(rank);
        (collector != self.position.local_index).then_some(collector)
    }

    /// Handles a collector's reply that includes the usage of `reporters` relays; `known_coverage` is the
    /// effective coverage of the aggregate that is known here. Returns whether the sender is a collector that
    /// this relay may have reported to.
    pub fn handle_reply(
        &mut self,
        now: Millis,
        source: AggregateSource,
        reporters: f64,
        known_coverage: Option<f64>,
    ) -> bool {
        // A relay that is the current collector itself may have reported to the next collector in the order.
        let Some(rank) = (0..=self.current_rank + 1).find(|rank| self.collector(*rank) == source.peer) else {
            return false;
        };
        let is_failback = rank < self.current_rank
            && known_coverage.is_none_or(|coverage| reporters + 1.0 >= FAILBACK_COVERAGE_RATIO * coverage);
        if rank == self.current_rank || is_failback {
            self.current_rank = rank;
            self.unanswered = 0;
        }
        let is_earlier = rank < self.current_rank;
        if is_earlier {
            self.probe.rank = rank;
            self.probe.replied_at = now;
        }
        self.unanswered_by_any = 0;
        self.reschedule(now, source, reporters, is_earlier);
        true
    }

    /// Postpones the next report after a reply. A collector whose coverage still grows gets the next report
    /// sooner.
    fn reschedule(&mut self, now: Millis, source: AggregateSource, reporters: f64, is_earlier: bool) {
        let known = self.last_responder.filter(|responder| responder.source == source);
        let known_reporters = known.map_or(0.0, |responder| responder.max_reporters);
        let is_prompt = now - self.last_sent_at < COLLECTOR_INTERVAL_MS;
        let is_growing = is_earlier || reporters * SIMILAR_COVERAGE_RATIO > known_reporters && is_prompt;
        self.last_responder = Some(Responder { source, max_reporters: reporters.max(known_reporters) });
        let interval = if is_growing { 2.0 * RETRY_INTERVAL_MS } else { COLLECTOR_INTERVAL_MS };
        self.next_at = self.next_at.max(self.last_sent_at + interval);
    }
}

fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { gcd(b, a % b) }
}
