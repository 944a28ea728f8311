//! The rate at which all relays of a cluster together poll discovery, adapted like a congestion window.
//!
//! A relay whose poll was slow, or was turned away, lowers the rate; one whose poll met no queue raises it.
//! Only a poll that was sent since the latest change counts, since an older one shows the effect of the
//! rate before. Every change is announced to all relays.

use super::PollSettings;
use crate::Millis;

/// The shortest interval between two polls of the cluster, and the one while nothing is known of the
/// service.
const SHORTEST_INTERVAL_MS: Millis = 70.0;
/// The longest interval, however slow the service is. At this interval the load on a service that never
/// answers is bounded, whatever the size of the cluster.
const MAX_INTERVAL_MS: Millis = 150.0;
/// A poll that took at least this long has met a queue that is to shrink. Well below the 2 s after which
/// discovery fails a poll: what is in flight by then is still answered.
const SLOW_POLL_MS: Millis = 200.0;
/// A poll that took less than this has met no queue.
const QUICK_POLL_MS: Millis = 100.0;
/// What a poll counts as having taken that was turned away after a wait: as long as discovery lets one wait.
pub(super) const TURNED_AWAY_COUNTS_AS_MS: Millis = 2000.0;
/// What a poll counts as having taken that was refused at once. The service is down, not slow, and once it is
/// back the rate may rise at once.
pub(super) const REFUSED_COUNTS_AS_MS: Millis = 60_000.0;
/// Factor of the interval when a poll was slow.
const SLOW_FACTOR: f64 = 1.8;
/// The largest factor when the first slow poll shows how fast the queue grows.
const MAX_GROWTH_FACTOR: f64 = 8.0;
/// Factor of the interval when a poll was turned away.
const TURNED_AWAY_FACTOR: f64 = 2.5;
/// Factor of the interval when a poll met no queue.
const QUICK_FACTOR: f64 = 0.6;
/// Factor of the interval when a poll met no queue after the service was down.
const RECOVERED_FACTOR: f64 = 0.25;
/// A slow poll that took less than this fraction of the one before shows that the queue is shrinking already.
const SHRINKING_QUEUE_FRACTION: f64 = 0.95;
/// How long a rate stays before it rises: each change costs a datagram to every relay.
const MIN_TIME_BEFORE_SPEEDUP_MS: Millis = 300.0;
/// How often an unchanged rate is announced again, since datagrams are lost.
const MAX_REPEATED_ANNOUNCEMENTS: u32 = 3;
/// How long a rate counts without a further change.
const RATE_TTL_MS: Millis = 30_000.0;

/// How one poll went.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollObservation {
    pub sent_at: Millis,
    pub duration: Millis,
    /// When this relay began to poll.
    pub polling_since: Millis,
}

#[derive(Clone, Copy, Debug)]
struct AgreedInterval {
    interval: Millis,
    changed_at: Millis,
}

/// The interval between two polls of the cluster, as this relay knows it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SharedRate {
    agreed: Option<AgreedInterval>,
    /// How long the poll took that the interval is derived from.
    poll_duration: Millis,
    /// How often the same interval was adopted again.
    repeats: u32,
}

impl SharedRate {
    /// The interval between two polls of the cluster.
    pub fn interval(&self, now: Millis, settings: &PollSettings) -> Millis {
        let initial = shortest_interval(settings);
        match self.agreed.filter(|agreed| now - agreed.changed_at < RATE_TTL_MS) {
            Some(agreed) => agreed.interval.clamp(initial, MAX_INTERVAL_MS),
            None => initial,
        }
    }

    /// The interval to adopt after another relay's announcement. A relay that has missed an announcement
    /// may announce too short an interval: a queue is never a reason to poll more often.
    pub fn merge_announced(
        &self,
        now: Millis,
        interval: Millis,
        poll_duration: Millis,
        settings: &PollSettings,
    ) -> Millis {
        let interval = interval.clamp(shortest_interval(settings), MAX_INTERVAL_MS);
        let known = if poll_duration >= SLOW_POLL_MS { self.interval(now, settings) } else { 0.0 };
        interval.max(known)
    }

    /// The interval to adopt and announce after a poll of this relay, if it changes or has to be announced
    /// again.
    pub fn adapt(
        &self,
        now: Millis,
        observation: PollObservation,
        settings: &PollSettings,
    ) -> Option<Millis> {
        if !settings.position.is_large() || observation.sent_at < self.changed_at() {
            return None;
        }
        let factor = self.factor(now, observation);
        let before = self.interval(now, settings);
        let interval = (before * factor).clamp(shortest_interval(settings), MAX_INTERVAL_MS);
        let repeat = self.agreed.is_some() && factor < 1.0 && self.repeats < MAX_REPEATED_ANNOUNCEMENTS;
        (interval != before || repeat).then_some(interval)
    }

    /// Takes an interval and gives the factor by which it differs from the one before.
    pub fn adopt(
        &mut self,
        now: Millis,
        interval: Millis,
        poll_duration: Millis,
        settings: &PollSettings,
    ) -> f64 {
        let factor = interval / self.interval(now, settings);
        self.repeats = if factor == 1.0 { self.repeats + 1 } else { 0 };
        self.agreed = Some(AgreedInterval { interval, changed_at: now });
        self.poll_duration = poll_duration;
        factor
    }

    fn changed_at(&self) -> Millis {
        self.agreed.map_or(f64::NEG_INFINITY, |agreed| agreed.changed_at)
    }

    /// By how much the interval changes after a poll.
    fn factor(&self, now: Millis, observation: PollObservation) -> f64 {
        let duration = observation.duration;
        if duration >= TURNED_AWAY_COUNTS_AS_MS {
            TURNED_AWAY_FACTOR
        } else if duration >= SLOW_POLL_MS {
            self.slow_factor(observation)
        } else if duration < QUICK_POLL_MS && self.poll_duration >= REFUSED_COUNTS_AS_MS {
            RECOVERED_FACTOR
        } else if duration < QUICK_POLL_MS && now - self.changed_at() > MIN_TIME_BEFORE_SPEEDUP_MS {
            QUICK_FACTOR
        } else {
            1.0
        }
    }

    fn slow_factor(&self, observation: PollObservation) -> f64 {
        if self.agreed.is_none() {
            // The growth of a queue since all relays began to poll shows at once how many more poll than
            // are answered.
            let polling_for = (observation.sent_at - observation.polling_since).max(1.0);
            (observation.duration / polling_for).clamp(SLOW_FACTOR, MAX_GROWTH_FACTOR)
        } else if observation.duration > self.poll_duration * SHRINKING_QUEUE_FRACTION {
            SLOW_FACTOR
        } else {
            1.0
        }
    }
}

/// The shortest interval: lower than the constant where a round of all relays would otherwise exceed
/// `max_interval`.
fn shortest_interval(settings: &PollSettings) -> Millis {
    SHORTEST_INTERVAL_MS.min(settings.max_interval / f64::from(settings.position.relay_count))
}
