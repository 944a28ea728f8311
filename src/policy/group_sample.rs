//! Estimates how large the groups of connections are, from their arrivals.
//!
//! Inputs: arrivals at this relay, by the slot of their group's key, and the samples of other relays. Output:
//! each group's part of the arrivals. In a cluster of many relays each relay sees too few arrivals for an
//! estimate, so the relays send their samples to one of them, the collector, which answers with the sum. Any
//! message may be lost. If the collector is down, the relay with the next number takes its place.

use std::collections::BTreeMap;

use super::api::*;

/// The total that a sample's arrivals tend to in the long run, since each arrival counts less with every
/// later one.
pub(crate) const SAMPLE_SIZE: f64 = 256.0;
/// A group whose count of arrivals has decayed to this is dropped from the sample.
const MIN_ARRIVALS: f64 = 0.05;
/// A relay reports its sample again once as many new arrivals have come as the sample's total divided by this
/// number.
const REPORT_DIVISOR: f64 = 3.0;

/// A sample of arrivals by the slot of their group's key. Older arrivals count less.
#[derive(Clone, Default)]
pub(crate) struct GroupSample {
    /// Arrivals by the slot of their group's key.
    pub arrivals: BTreeMap<u32, f64>,
}

impl GroupSample {
    /// Counts one arrival. All earlier arrivals decay, so that the total tends to [`SAMPLE_SIZE`] in the long
    /// run.
    pub fn record(&mut self, group: u32) {
        let decay_factor = 1.0 - 1.0 / SAMPLE_SIZE;
        self.arrivals.values_mut().for_each(|count| *count *= decay_factor);
        self.arrivals.retain(|_, count| *count > MIN_ARRIVALS);
        *self.arrivals.entry(group).or_default() += 1.0;
    }

    /// Total arrivals of all groups.
    pub fn total(&self) -> f64 {
        self.arrivals.values().sum()
    }

    /// A message with the sizes of the largest groups, as many as fit into the message.
    pub fn to_message(&self, is_sum: bool) -> GroupSizes {
        let arrivals = self.arrivals.iter();
        let mut groups: Vec<GroupArrivals> = arrivals
            .map(|(group, arrivals)| GroupArrivals { group_slot: *group, arrivals: *arrivals })
            .collect();
        groups.sort_by(|a, b| b.arrivals.total_cmp(&a.arrivals));
        groups.truncate(GroupSizes::MAX_GROUPS);
        GroupSizes { is_sum, total: self.total(), groups }
    }
}

/// The sum of several relays' samples, and this relay's part in making that sum, as sender and as collector.
#[derive(Default)]
pub(crate) struct MergedSample {
    /// The relay that adds up the samples.
    pub collector: u32,
    /// When this relay sent the collector the sample that is still unanswered; `None` if there is none.
    unanswered_since: Option<Millis>,
    /// The collector's latest answer, or the sum that this relay has made as the collector.
    /// The samples of arrivals by group that other relays have sent to this relay, by the sending relay.
    pub merged_sizes: GroupSizes,
    received: BTreeMap<u32, Vec<GroupArrivals>>,
    /// Arrivals at this relay since it last sent a sample.
    arrivals_since_report: f64,
}

impl MergedSample {
    /// Counts an arrival. Returns the message with this relay's sample if a report to the collector is due.
    /// Reports become rarer as this relay's sample grows, and stop once the sample is large enough by itself.
    pub fn record_arrival(&mut self, now: Millis, own: &GroupSample, settings: &Settings) -> Option<Action> {
        self.arrivals_since_report += 1.0;
        let own_total = own.total();
        // The sample is large enough by itself once it has one arrival for each relay of the cluster.
        if own_total > f64::from(settings.relay_count) {
            self.merged_sizes = GroupSizes::default();
            return None;
        }
        if !settings.peer_messages || !self.is_report_due(now, own_total, settings.connect_timeout) {
            return None;
        }
        self.choose_collector(settings.relay_count);
        self.arrivals_since_report = 0.0;
        if self.collector == settings.local_index {
            return None;
        }
        self.unanswered_since = Some(now);
        Some(Action::SendToPeer {
            peer: self.collector,
            message: PeerMessage::GroupSizes(own.to_message(false)),
        })
    }

    fn is_report_due(&self, now: Millis, own_total: f64, answer_timeout: Millis) -> bool {
        let has_enough_new_arrivals = self.arrivals_since_report > 1.0 + own_total / REPORT_DIVISOR;
        has_enough_new_arrivals && self.unanswered_since.is_none_or(|sent_at| now - sent_at > answer_timeout)
    }

    /// Moves on to the relay with the next number if the collector has not answered, since it may be down.
    fn choose_collector(&mut self, relay_count: u32) {
        let has_timed_out = self.unanswered_since.take().is_some();
        self.collector = (self.collector + u32::from(has_timed_out)) % relay_count;
    }

    /// Handles another relay's sample, and returns the sum as the answer; or handles the collector's answer.
    pub fn receive(
        &mut self,
        peer: u32,
        message: GroupSizes,
        own: &GroupSample,
        settings: &Settings,
    ) -> Option<Action> {
        if message.is_sum {
            if peer == self.collector {
                self.merged_sizes = message;
                self.unanswered_since = None;
            }
            return None;
        }
        if peer >= settings.relay_count {
            return None;
        }
        self.received.insert(peer, message.groups);
        let mut sum = own.clone();
        for received in self.received.values().flatten() {
            *sum.arrivals.entry(received.group_slot).or_default() += received.arrivals;
        }
        self.merged_sizes = sum.to_message(true);
        Some(Action::SendToPeer { peer, message: PeerMessage::GroupSizes(self.merged_sizes.clone()) })
    }
}
