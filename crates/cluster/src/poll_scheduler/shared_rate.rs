//! The rate at which all relays of a cluster together poll discovery, adapted like a congestion window.
//!
//! A relay whose poll was slow or was turned away lowers the rate; a relay whose poll met no queue raises it.
//! Only a poll that was sent since the latest change counts, since an older poll shows the effect of the
//! previous rate. Every change is announced to all relays.

use super::PollSettings;
use crate::Millis;

/// The shortest interval between two polls of the cluster, which also applies while nothing is known about
/// the service.
const SHORTEST_INTERVAL_MS: Millis = 70.0;
/// The longest interval between two polls of the cluster, however slow the service is. This interval bounds
/// the load on a service that never answers, whatever the size of the cluster.
const MAX_INTERVAL_MS: Millis = 150.0;
/// A poll that took at least this long has met a queue that has to shrink. The value is well below the 2 s
/// after which discovery fails a poll, so that the polls in flight by then are still answered.
const SLOW_POLL_MS: Millis = 200.0;
/// A poll that took less than this has met no queue.
const QUICK_POLL_MS: Millis = 100.0;
/// The duration assumed for a poll that was turned away after a wait: the longest time that discovery lets a
/// poll wait.
pub(super) const TURNED_AWAY_DURATION_MS: Millis = 2000.0;
/// The duration assumed for a poll that was refused at once. The service is down, not slow, and the rate may
/// rise at once when the service is back.
pub(super) const REFUSED_DURATION_MS: Millis = 60_000.0;
/// Factor applied to the interval after a slow poll.
const SLOW_FACTOR: f64 = 1.8;
/// The largest factor applied to the interval when the first slow poll shows how fast the queue grows.
const MAX_GROWTH_FACTOR: f64 = 8.0;
/// Factor applied to the interval after a poll was turned away.
const TURNED_AWAY_FACTOR: f64 = 2.5;
/// Factor applied to the interval after a poll met no queue.
const QUICK_FACTOR: f64 = 0.6;
/// Factor applied to the interval after a poll met no queue for the first time since the service was down.
const RECOVERED_FACTOR: f64 = 0.25;
/// A slow poll that took less than this fraction of the previous poll shows that the queue is already
/// shrinking.
const SHRINKING_QUEUE_FRACTION: f64 = 0.95;
/// How long a rate stays before it may rise: each change costs a datagram to every relay.
const MIN_TIME_BEFORE_SPEEDUP_MS: Millis = 300.0;
/// How often an unchanged rate is announced again, since datagrams may be lost.
const MAX_REPEATED_ANNOUNCEMENTS: u32 = 3;
/// How long a rate applies without a further change.
const RATE_TTL_MS: Millis = 30_000.0;

/// When one poll was sent and how long the poll took.
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
    /// The duration of the poll from which the interval is derived.
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

    /// Returns the interval to adopt after another relay's announcement. A relay that has missed an
    /// announcement may announce an interval that is too short. If the announcing relay's poll met a queue,
    /// the known interval is therefore not shortened: a queue is never a reason to poll more often.
    pub fn merge_announced(
        &self,
        now: Millis,
        interval: Millis,
        poll_duration: Millis,
        settings: &PollSettings,
    ) -> Millis {
        let interval = interval.clamp(shortest_interval(settings), MAX_INTERVAL_MS);
        let min_interval = if poll_duration >= SLOW_POLL_MS { self.interval(now, settings) } else { 0.0 };
        interval.max(min_interval)
    }

    /// Returns the interval to adopt and announce after a poll of this relay; `None` if the interval neither
    /// changes nor has to be announced again.
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
        let previous = self.interval(now, settings);
        let interval = (previous * factor).clamp(shortest_interval(settings), MAX_INTERVAL_MS);
        let announces_again =
            self.agreed.is_some() && factor < 1.0 && self.repeats < MAX_REPEATED_ANNOUNCEMENTS;
        (interval != previous || announces_again).then_some(interval)
    }

    /// Adopts an interval, and returns the factor by which it differs from the previous one.
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

    /// Returns the factor by which the interval changes after a poll.
    fn factor(&self, now: Millis, observation: PollObservation) -> f64 {
        let duration = observation.duration;
        if duration >= TURNED_AWAY_DURATION_MS {
            TURNED_AWAY_FACTOR
        } else if duration >= SLOW_POLL_MS {
            self.slow_factor(observation)
        } else if duration < QUICK_POLL_MS && self.poll_duration >= REFUSED_DURATION_MS {
            RECOVERED_FACTOR
        } else if duration < QUICK_POLL_MS && now - self.changed_at() > MIN_TIME_BEFORE_SPEEDUP_MS {
            QUICK_FACTOR
        } else {
            1.0
        }
    }

    fn slow_factor(&self, observation: PollObservation) -> f64 {
        if self.agreed.is_none() {
            // The growth of the queue since the relays began to poll shows at once by how much polls exceed
            // answers.
            let polling_for = (observation.sent_at - observation.polling_since).max(1.0);
            (observation.duration / polling_for).clamp(SLOW_FACTOR, MAX_GROWTH_FACTOR)
        } else if observation.duration > self.poll_duration * SHRINKING_QUEUE_FRACTION {
            SLOW_FACTOR
        } else {
            1.0
        }
    }
}

/// Returns the shortest interval: less than `SHORTEST_INTERVAL_MS` if a round of all relays would otherwise
/// exceed `max_interval`.
fn shortest_interval(settings: &PollSettings) -> Millis {
    SHORTEST_INTERVAL_MS.min(settings.max_interval / f64::from(settings.position.relay_count))
}
