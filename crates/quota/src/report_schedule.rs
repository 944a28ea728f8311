//! Decides when this relay reports, and to which relays.
//!
//! [`ReportSchedule`] owns the timers and the choice of the collector. Inputs: the time in milliseconds,
//! collectors' replies, and how many relays report here. Output: the receivers of each round of reports. It
//! sends nothing itself.
//!
//! In a small cluster each relay reports to all others. In a larger one it reports to the current
//! collector, the first of an order that is the same at all relays, and gets an aggregate in reply. After
//! [`MAX_UNANSWERED_REPORTS`] without a reply the next one becomes current. Earlier ones are probed in
//! turn, and one that replies with about as much as the current one knows becomes current again, so that
//! all relays end up with the same collector.

use sandgw_units::Millis;

use crate::aggregate::{AggregateSource, SIMILAR_COVERAGE_RATIO};
use crate::cluster_position::ClusterPosition;

/// Interval between reports where each relay reports to all.
pub(crate) const FULL_MESH_INTERVAL_MS: Millis = 600.0;
/// Interval between reports to a collector.
pub(crate) const COLLECTOR_INTERVAL_MS: Millis = 1000.0;
/// Interval between reports while a reply is missing.
const RETRY_INTERVAL_MS: Millis = 250.0;
/// Reports without a reply before the next collector becomes current.
const MAX_UNANSWERED_REPORTS: u32 = 6;
/// Reports without a reply, of any collector, before they are sent at the ordinary interval.
const BACKOFF_AFTER_REPORTS: u32 = 60;
/// An earlier collector becomes current again once it includes this ratio of what the aggregate here is
/// worth.
const FAILBACK_COVERAGE_RATIO: f64 = 0.9;
/// An earlier collector that replied counts as recovering for this time: it is probed at each report.
const RECOVERY_MS: Millis = 2.0 * COLLECTOR_INTERVAL_MS;
/// Distance of neighbours in the collector order, per mille of the cluster: the golden ratio spreads them
/// evenly.
const COLLECTOR_STRIDE_PER_MILLE: u64 = 618;

/// The receivers of a report, and when the next one is due.
pub(crate) struct ReportRound {
    pub receivers: Vec<u32>,
    pub next_in_ms: Millis,
}

/// The process that replied last, and the most relays that it has included.
#[derive(Clone, Copy, Debug)]
struct Responder {
    source: AggregateSource,
    max_reporters: f64,
}

/// An earlier collector in the order that is probed.
#[derive(Clone, Copy, Debug)]
struct Probe {
    /// Its rank in the collector order.
    rank: u32,
    sent_at: Millis,
    /// When an earlier collector last replied.
    replied_at: Millis,
}

/// When and to whom this relay reports; see the module documentation.
pub(crate) struct ReportSchedule {
    position: ClusterPosition,
    next_at: Millis,
    last_sent_at: Millis,
    /// Rank of the current collector in the collector order.
    current_rank: u32,
    /// Reports to the current collector since its last reply.
    unanswered: u32,
    /// Reports since the last reply of any collector.
    unanswered_by_any: u32,
    last_responder: Option<Responder>,
    probe: Probe,
}

impl ReportSchedule {
    /// A schedule whose first report is within one retry interval, at a phase that differs from relay to
    /// relay.
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

    /// In how many milliseconds the next report is due; `None` where it is due now.
    pub fn remaining_ms(&self, now: Millis) -> Option<Millis> {
        (now < self.next_at).then(|| (self.next_at - now).max(1.0))
    }

    /// The interval between a relay's reports.
    pub fn interval_ms(&self) -> Millis {
        if self.position.is_full_mesh() { FULL_MESH_INTERVAL_MS } else { COLLECTOR_INTERVAL_MS }
    }

    /// Whether this relay sums up the others' reports by itself.
    pub fn is_collector(&self) -> bool {
        self.position.is_full_mesh() || self.collector(self.current_rank) == self.position.local_index
    }

    /// The relay that grants connections: the current collector; in a full mesh the first of the collectors'
    /// order that is alive.
    pub fn coordinator(&self, is_alive: impl Fn(u32) -> bool) -> u32 {
        if !self.position.is_full_mesh() {
            return self.collector(self.current_rank);
        }
        let mut order = (0..self.position.relay_count).map(|rank| self.collector(rank));
        let is_present = |relay: &u32| *relay == self.position.local_index || is_alive(*relay);
        order.find(is_present).unwrap_or(self.position.local_index)
    }

    /// The collector of a rank. The order is the same at all relays, and neighbours in it are far apart, so
    /// that each side of a partition has one of the first few.
    fn collector(&self, rank: u32) -> u32 {
        let relay_count = u64::from(self.position.relay_count.max(1));
        let min_stride = relay_count * COLLECTOR_STRIDE_PER_MILLE / 1000;
        let stride = (min_stride..).find(|stride| gcd((*stride).max(1), relay_count) == 1);
        let stride = stride.unwrap_or(1).max(1);
        (u64::from(rank) * stride % relay_count) as u32
    }

    /// The receivers of a report that is sent now; `reporters` is the number of relays that report here.
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

    /// The earlier collector that is probed now: in turn, or the same one while it is recovering.
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

    /// Whether the relays that report here are about all. A collector that has just become one knows less
    /// than the next one may.
    pub fn covers_cluster(&self, reporters: usize) -> bool {
        reporters as f64 + 1.0 >= SIMILAR_COVERAGE_RATIO * f64::from(self.position.relay_count)
    }

    /// The collector of a rank, unless that is this relay.
    fn other_collector(&self, rank: u32) -> Option<u32> {
        let collector = self.collector(rank);
        (collector != self.position.local_index).then_some(collector)
    }

    /// Handles a collector's reply with usage of so many relays; `known_worth` is the worth of the
    /// aggregate that is known here. Returns whether the sender is a collector that this relay may have
    /// reported to.
    pub fn handle_reply(
        &mut self,
        now: Millis,
        source: AggregateSource,
        reporters: f64,
        known_worth: Option<f64>,
    ) -> bool {
        // A relay that collects itself may have reported to the next one.
        let Some(rank) = (0..=self.current_rank + 1).find(|rank| self.collector(*rank) == source.peer) else {
            return false;
        };
        let is_failback = rank < self.current_rank
            && known_worth.is_none_or(|worth| reporters + 1.0 >= FAILBACK_COVERAGE_RATIO * worth);
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

    /// Puts the next report off after a reply. A collector whose coverage still grows is asked sooner.
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
