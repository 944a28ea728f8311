//! How large the groups of connections are, as far as arrivals show it.
//!
//! Input: arrivals here, by the slot of their group's key, and the samples of other relays. Output: each
//! group's part of the arrivals. In a tier of many relays each sees too few to tell; so relays send their
//! samples to one of them, the collector, which answers with the sum. Any message may be lost; the
//! collector may be down, and the next in number does it then.

use std::collections::BTreeMap;

use super::api::*;

/// Arrivals that a sample remembers: each fades as later ones come.
pub(crate) const SAMPLE_SIZE: f64 = 256.0;
/// What is left of a group's arrivals when they are dropped.
const MIN_ARRIVALS: f64 = 0.05;
/// A relay reports its sample again once its size divided by this has come anew.
const REPORT_DIVISOR: f64 = 3.0;

/// Arrivals by the slot of their group's key; older ones count less.
#[derive(Clone, Default)]
pub(crate) struct GroupSample {
    /// Arrivals by slot.
    pub arrivals: BTreeMap<u32, f64>,
}

impl GroupSample {
    /// Counts one arrival; all earlier ones keep what makes [`SAMPLE_SIZE`] of them count in the long run.
    pub fn record(&mut self, group: u32) {
        let kept_part = 1.0 - 1.0 / SAMPLE_SIZE;
        self.arrivals.values_mut().for_each(|count| *count *= kept_part);
        self.arrivals.retain(|_, count| *count > MIN_ARRIVALS);
        *self.arrivals.entry(group).or_default() += 1.0;
    }

    /// Arrivals of all groups.
    pub fn total(&self) -> f64 {
        self.arrivals.values().sum()
    }

    /// The largest groups, as many as fit a message.
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

/// The sum of several relays' samples: this relay's part in making it, as sender and as collector.
#[derive(Default)]
pub(crate) struct MergedSample {
    /// The relay that adds up.
    pub collector: u32,
    /// When it was last sent a sample that it has not answered.
    unanswered_since: Option<Millis>,
    /// Its latest answer, or what this relay has added up itself.
    pub sum: GroupSizes,
    /// Samples that others have sent here, by relay.
    received: BTreeMap<u32, Vec<GroupArrivals>>,
    /// Own arrivals since a sample was last sent.
    arrivals_since_report: f64,
}

impl MergedSample {
    /// Counts an arrival. Gives the sample to be sent to the collector where that is due: ever more seldom,
    /// and not at all once own arrivals tell enough by themselves.
    pub fn record_arrival(&mut self, now: Millis, own: &GroupSample, settings: &Settings) -> Option<Action> {
        self.arrivals_since_report += 1.0;
        let own_total = own.total();
        // One own arrival for each relay tells enough.
        if own_total > f64::from(settings.relay_count) {
            self.sum = GroupSizes::default();
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
        let has_enough_new = self.arrivals_since_report > 1.0 + own_total / REPORT_DIVISOR;
        has_enough_new && self.unanswered_since.is_none_or(|sent| now - sent > answer_timeout)
    }

    /// A collector that has not answered may be down: the next in number adds up.
    fn choose_collector(&mut self, relay_count: u32) {
        let has_missed = self.unanswered_since.take().is_some();
        self.collector = (self.collector + u32::from(has_missed)) % relay_count;
    }

    /// Takes another relay's sample, which is answered with the sum, or the collector's answer.
    pub fn receive(
        &mut self,
        peer: u32,
        message: GroupSizes,
        own: &GroupSample,
        settings: &Settings,
    ) -> Option<Action> {
        if message.is_sum {
            if peer == self.collector {
                self.sum = message;
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
        self.sum = sum.to_message(true);
        Some(Action::SendToPeer { peer, message: PeerMessage::GroupSizes(self.sum.clone()) })
    }
}
