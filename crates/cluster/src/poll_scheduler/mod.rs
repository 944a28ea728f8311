//! Schedules a relay's polls of discovery so that discovery can answer all relays of a cluster of hundreds.
//!
//! [`PollScheduler`] holds one relay's next poll and its copy of the cluster's poll rate. Its inputs are the
//! time, the outcome of polls and the rate that other relays announce, all times in milliseconds; its outputs
//! are when to poll, and announcements to send. It never polls itself.
//!
//! Discovery handles the polls of all relays one at a time, and a poll that it turns away or that waits too
//! long costs as much of its time as a poll that it answers. Hundreds of simultaneous polls, retried shortly
//! after they failed, keep discovery busy with polls of which none succeeds. A continuing subscription costs
//! almost nothing: only its start has to be spread over time. A relay knows how many relays there are, but
//! neither how many polls discovery can answer nor how many relays are polling. The cluster therefore shares
//! one rate, adapted like a congestion window (`shared_rate`), and every relay moves its pending poll
//! according to that rate. `docs/cold-start.md` describes the alternatives that were considered.

mod shared_rate;

use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_units::random::SeededRandom;
use sandgw_units::timer::OneShotTimer;

use crate::{ClusterPosition, Millis};
use shared_rate::{PollObservation, SharedRate};

/// The longest backoff of one relay after failures. A change must reach a relay within 6 s after discovery
/// had the change and could be reached. Within this time, a poll that was in flight when discovery came back
/// may last for another 2.5 s, then comes this backoff, and then the answer takes its time too.
const MAX_BACKOFF_MS: Millis = 2000.0;
/// The longest time over which a cluster spreads its polls after subscriptions have fallen silent. The time
/// is short because silence is noticed seconds late.
const MAX_SILENT_SUBSCRIPTION_SPREAD_MS: Millis = 1500.0;
/// The longest time over which a cluster spreads its polls after subscriptions were reset or turned away,
/// which relays notice at once.
const MAX_BROKEN_SUBSCRIPTION_SPREAD_MS: Millis = 3500.0;
/// Time that each relay adds to the spread.
const SPREAD_PER_RELAY_MS: Millis = 20.0;
/// A poll that fails sooner than this was refused: the service is down, not slow.
const REFUSED_WITHIN_MS: Millis = 100.0;

/// Returns the delay until the next poll after a subscription has fallen silent. The changes that were missed
/// have to be known soon, so the delay is far shorter than a backoff after a failure. `draw` is a fresh
/// random number from 0 to 1.
///
/// ```
/// use sandgw_cluster::poll_scheduler::delay_after_silent_subscription;
///
/// assert_eq!(delay_after_silent_subscription(4, 0.9), 0.0, "a small cluster polls at once");
/// assert!(delay_after_silent_subscription(300, 0.1) < delay_after_silent_subscription(300, 0.9));
/// assert!(delay_after_silent_subscription(300, 1.0) <= 1500.0);
/// ```
pub fn delay_after_silent_subscription(relay_count: u32, draw: f64) -> Millis {
    spread_delay(relay_count, draw, MAX_SILENT_SUBSCRIPTION_SPREAD_MS)
}

/// Returns the delay until the next poll after an established subscription was reset, cut or turned away.
/// Only if that poll fails too is discovery considered down or overloaded. `draw` is as in
/// [`delay_after_silent_subscription`].
///
/// ```
/// use sandgw_cluster::poll_scheduler::delay_after_broken_subscription;
///
/// assert_eq!(delay_after_broken_subscription(4, 0.9), 0.0, "a small cluster polls at once");
/// assert!(
///     delay_after_broken_subscription(100, 1.0) <= 2000.0
///         && delay_after_broken_subscription(300, 1.0) <= 3500.0
/// );
/// ```
pub fn delay_after_broken_subscription(relay_count: u32, draw: f64) -> Millis {
    spread_delay(relay_count, draw, MAX_BROKEN_SUBSCRIPTION_SPREAD_MS)
}

fn spread_delay(relay_count: u32, draw: f64, max_spread: Millis) -> Millis {
    let position = ClusterPosition { local_index: 0, relay_count };
    if position.is_large() {
        draw * (SPREAD_PER_RELAY_MS * f64::from(relay_count)).min(max_spread)
    } else {
        0.0
    }
}

/// The settings of a relay's polling.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollSettings {
    /// The relay's position among the relays that poll the same service.
    pub position: ClusterPosition,
    /// The backoff after a first failure, in milliseconds.
    pub first_backoff: Millis,
    /// The longest time that the list may go without a poll, in milliseconds.
    pub max_interval: Millis,
}

/// The schedule of one relay's polls of discovery.
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
/// assert!(scheduler.take_due(at) && !scheduler.take_due(at), "the poll is made once");
/// scheduler.record_answer(at + 900.0, &settings, &mut out);
/// assert_eq!(out.len(), 299, "a slow poll: a longer interval is announced to all");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PollScheduler {
    consecutive_failures: i32,
    /// When to poll next. `None` before the start, while a poll is in flight, and while a subscription
    /// continues after an answer.
    next_poll_at: Option<Millis>,
    /// When the poll in flight was sent.
    in_flight_since: Option<Millis>,
    started_at: Millis,
    rate: SharedRate,
    timer: OneShotTimer,
    random: SeededRandom,
}

impl PollScheduler {
    /// Creates a scheduler that knows nothing about the service. `seed` is the relay's own.
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

    /// Schedules the first poll of a relay that takes no clients before that poll has ended.
    pub fn start_before_serving(&mut self, now: Millis, settings: &PollSettings) {
        let draw = self.random.next_fraction();
        self.started_at = now;
        self.next_poll_at = Some(now + delay_after_silent_subscription(settings.position.relay_count, draw));
    }

    /// Records that a poll has failed or a subscription has broken, and schedules the next poll. The backoff
    /// is jittered, so that relays that were turned away together do not retry together.
    pub fn record_failure(&mut self, now: Millis, settings: &PollSettings, out: &mut Outbox) {
        let backoff = self.next_backoff(settings);
        if let Some(sent_at) = self.in_flight_since.take() {
            let refused = now - sent_at < REFUSED_WITHIN_MS;
            let duration =
                if refused { shared_rate::REFUSED_DURATION_MS } else { shared_rate::TURNED_AWAY_DURATION_MS };
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

    /// Records that discovery has answered.
    pub fn record_answer(&mut self, now: Millis, settings: &PollSettings, out: &mut Outbox) {
        self.consecutive_failures = 0;
        self.next_poll_at = None;
        if let Some(sent_at) = self.in_flight_since.take() {
            self.observe(now, sent_at, now - sent_at, settings, out);
        }
    }

    /// Applies another relay's announcement of the interval between the cluster's polls. `poll_duration` is
    /// the duration of the poll from which the interval is derived.
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

    /// Returns whether the next poll is due; if so, the poll is in flight from then on.
    pub fn take_due(&mut self, now: Millis) -> bool {
        let due = self.next_poll_at.take_if(|at| *at <= now).is_some();
        if due {
            self.in_flight_since = Some(now);
        }
        due
    }

    /// Returns the delay until [`PollScheduler::take_due`] is to be called; `None` if no poll is scheduled or
    /// the call was requested before.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        self.timer.arm(now, self.next_poll_at?, 0.0)
    }

    /// Returns the next backoff: exponential, plus a random part of up to its own length.
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

    /// Adapts the cluster's rate to the duration of a poll, and announces the rate to all other relays if it
    /// changes or has to be announced again.
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

    /// Adopts a rate, and moves the pending poll accordingly.
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
