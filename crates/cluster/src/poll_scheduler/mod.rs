//! When a relay polls discovery for the list, so that a cluster of hundreds is answered at all.
//!
//! Owns one relay's next poll and its copy of the cluster's poll rate. Inputs are the time, how polls ended
//! and the rate that other relays announce, all times in milliseconds; outputs are when to poll, and
//! announcements to send. It never polls itself.
//!
//! Discovery takes the polls of all relays in turn, and one that it turns away or that waits too long has
//! cost it as much as one that it answers. Hundreds of polls at once, retried a moment after they failed,
//! keep it busy with polls of which none succeeds. A watch that goes on costs next to nothing: only its
//! start has to be spread. A relay knows how many relays there are, but neither what discovery bears nor
//! how many are polling. So the cluster shares one rate, adapted like a congestion window (`shared_rate`),
//! and every relay moves its pending poll to it. `docs/cold-start.md` describes the alternatives that were
//! weighed.

mod shared_rate;

use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_units::random::SeededRandom;
use sandgw_units::timer::OneShotTimer;

use crate::{ClusterPosition, Millis};
use shared_rate::{PollObservation, SharedRate};

/// The longest backoff of one relay after failures. A change must reach a relay within 6 s after discovery
/// had it and could be reached: a poll that was out when discovery came back may last for another 2.5 s,
/// then comes this backoff, and the answer takes its time too.
const MAX_BACKOFF_MS: Millis = 2000.0;
/// The longest time over which a cluster spreads its polls after watches have fallen silent. Silence is
/// noticed seconds late.
const MAX_SILENT_WATCH_SPREAD_MS: Millis = 1500.0;
/// The same for watches that were reset or turned away, which shows at once.
const MAX_BROKEN_WATCH_SPREAD_MS: Millis = 3500.0;
/// Time that each relay adds to the spread.
const SPREAD_PER_RELAY_MS: Millis = 20.0;
/// A poll that was turned away faster than this was refused: the service is down, not slow.
const REFUSED_WITHIN_MS: Millis = 100.0;

/// In how long to poll anew after a watch has fallen silent: what it has missed has to be known soon, so
/// this is far less than a backoff after a failure. `draw` is a fresh random number from 0 to 1.
///
/// ```
/// use sandgw_cluster::poll_scheduler::delay_after_silent_watch;
///
/// assert_eq!(delay_after_silent_watch(4, 0.9), 0.0, "a handful polls at once");
/// assert!(delay_after_silent_watch(300, 0.1) < delay_after_silent_watch(300, 0.9));
/// assert!(delay_after_silent_watch(300, 1.0) <= 1500.0);
/// ```
pub fn delay_after_silent_watch(relay_count: u32, draw: f64) -> Millis {
    spread_delay(relay_count, draw, MAX_SILENT_WATCH_SPREAD_MS)
}

/// In how long to poll anew after a watch that had been going on was reset, cut or turned away. Only if
/// that poll fails too, discovery is taken for down or overloaded. `draw` as in
/// [`delay_after_silent_watch`].
///
/// ```
/// use sandgw_cluster::poll_scheduler::delay_after_broken_watch;
///
/// assert_eq!(delay_after_broken_watch(4, 0.9), 0.0, "a handful polls at once");
/// assert!(delay_after_broken_watch(100, 1.0) <= 2000.0 && delay_after_broken_watch(300, 1.0) <= 3500.0);
/// ```
pub fn delay_after_broken_watch(relay_count: u32, draw: f64) -> Millis {
    spread_delay(relay_count, draw, MAX_BROKEN_WATCH_SPREAD_MS)
}

fn spread_delay(relay_count: u32, draw: f64, max_spread: Millis) -> Millis {
    let position = ClusterPosition { local_index: 0, relay_count };
    if position.is_large() {
        draw * (SPREAD_PER_RELAY_MS * f64::from(relay_count)).min(max_spread)
    } else {
        0.0
    }
}

/// What a relay's polling depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollSettings {
    /// The relay's place among those that poll the same service.
    pub position: ClusterPosition,
    /// The backoff after a first failure, in milliseconds.
    pub first_backoff: Millis,
    /// How long the list may go without a poll, in milliseconds.
    pub max_interval: Millis,
}

/// One relay's polls of discovery.
///
/// ```
/// use sandgw_cluster::ClusterPosition;
/// use sandgw_cluster::poll_scheduler::{PollScheduler, PollSettings};
///
/// let position = ClusterPosition { local_index: 7, relay_count: 300 };
/// let settings = PollSettings { position, first_backoff: 200.0, max_interval: 5000.0 };
/// let (mut scheduler, mut out) = (PollScheduler::new(7), Vec::new());
/// scheduler.start(0.0, &settings);
/// let at = scheduler.timer(0.0).expect("the first poll is due");
/// assert!(scheduler.take_due(at) && !scheduler.take_due(at), "it is made once");
/// scheduler.record_answer(at + 900.0, &settings, &mut out);
/// assert_eq!(out.len(), 299, "it took long: a longer interval is announced to all");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PollScheduler {
    consecutive_failures: i32,
    /// When to poll next. `None`: not started; or a poll is in flight; or discovery has answered and the
    /// subscription goes on.
    next_poll_at: Option<Millis>,
    /// When the poll that is in flight was sent.
    in_flight_since: Option<Millis>,
    started_at: Millis,
    rate: SharedRate,
    timer: OneShotTimer,
    random: SeededRandom,
}

impl PollScheduler {
    /// Nothing is known of the service. `seed` is the relay's own.
    pub fn new(seed: u64) -> Self {
        PollScheduler { random: SeededRandom::new(seed), ..PollScheduler::default() }
    }

    /// Schedules the first poll.
    pub fn start(&mut self, now: Millis, settings: &PollSettings) {
        let round = self.poll_round(now, settings);
        let delay = if settings.position.is_large() { self.random.next_fraction() * round } else { 0.0 };
        self.started_at = now;
        self.next_poll_at = Some(now + delay);
    }

    /// The same for a relay that takes no clients before its first poll has ended.
    pub fn start_soon(&mut self, now: Millis, settings: &PollSettings) {
        let draw = self.random.next_fraction();
        self.started_at = now;
        self.next_poll_at = Some(now + delay_after_silent_watch(settings.position.relay_count, draw));
    }

    /// A poll has failed, or a watch was broken off: schedules the next one. The backoff is jittered, so
    /// that relays that were turned away together do not come back together.
    pub fn record_failure(&mut self, now: Millis, settings: &PollSettings, out: &mut Outbox) {
        let backoff = self.next_backoff(settings);
        if let Some(sent_at) = self.in_flight_since.take() {
            let refused = now - sent_at < REFUSED_WITHIN_MS;
            let duration = if refused {
                shared_rate::REFUSED_COUNTS_AS_MS
            } else {
                shared_rate::TURNED_AWAY_COUNTS_AS_MS
            };
            self.observe(now, sent_at, duration, settings, out);
        }
        let round = self.poll_round(now, settings);
        let delay = if settings.position.is_large() {
            backoff.max((0.5 + self.random.next_fraction()) * round)
        } else {
            backoff.min(settings.max_interval)
        };
        self.next_poll_at = Some(now + delay);
    }

    /// Discovery has answered.
    pub fn record_answer(&mut self, now: Millis, settings: &PollSettings, out: &mut Outbox) {
        self.consecutive_failures = 0;
        self.next_poll_at = None;
        if let Some(sent_at) = self.in_flight_since.take() {
            self.observe(now, sent_at, now - sent_at, settings, out);
        }
    }

    /// Another relay announces the interval between the cluster's polls, and how long the poll took that it
    /// is derived from.
    pub fn receive_poll_rate(
        &mut self,
        now: Millis,
        interval: Millis,
        poll_duration: Millis,
        settings: &PollSettings,
    ) {
        let interval = self.rate.merge_announced(now, interval, poll_duration, settings);
        self.adopt(now, interval, poll_duration, settings);
    }

    /// Whether the next poll is due; it is then in flight.
    pub fn take_due(&mut self, now: Millis) -> bool {
        let due = self.next_poll_at.take_if(|at| *at <= now).is_some();
        if due {
            self.in_flight_since = Some(now);
        }
        due
    }

    /// In how long to call [`PollScheduler::take_due`], unless that was requested before.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        self.timer.arm(now, self.next_poll_at?, 0.0)
    }

    /// Exponential backoff with full jitter on top.
    fn next_backoff(&mut self, settings: &PollSettings) -> Millis {
        let exponential = settings.first_backoff * 2_f64.powi(self.consecutive_failures);
        let jitter = 1.0 + self.random.next_fraction();
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        exponential.min(MAX_BACKOFF_MS / 2.0) * jitter
    }

    /// The time in which every relay polls once.
    fn poll_round(&self, now: Millis, settings: &PollSettings) -> Millis {
        self.rate.interval(now, settings) * f64::from(settings.position.relay_count)
    }

    /// Adapts the cluster's rate to how long a poll took, and announces it to all others.
    fn observe(
        &mut self,
        now: Millis,
        sent_at: Millis,
        duration: Millis,
        settings: &PollSettings,
        out: &mut Outbox,
    ) {
        let observation = PollObservation { sent_at, duration, polling_since: self.started_at };
        let Some(interval) = self.rate.adapt(now, observation, settings) else { return };
        self.adopt(now, interval, duration, settings);
        let announcement = ClusterMessage::PollRate {
            interval_ms: whole_millis(interval),
            call_duration_ms: whole_millis(duration),
        };
        let peers = settings.position.peers();
        out.extend(peers.map(|peer| OutgoingMessage::new(peer, announcement.clone())));
    }

    /// Moves the pending poll to another rate.
    fn adopt(&mut self, now: Millis, interval: Millis, poll_duration: Millis, settings: &PollSettings) {
        let factor = self.rate.adopt(now, interval, poll_duration, settings);
        if let Some(next) = self.next_poll_at.as_mut().filter(|next| **next > now) {
            *next = now + (*next - now) * factor;
        }
    }
}

fn whole_millis(span: Millis) -> u16 {
    span.round().clamp(0.0, f64::from(u16::MAX)) as u16
}
