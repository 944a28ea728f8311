//! Many relays and one discovery service that takes polls in turn: how many have a list, how soon, and what
//! it costs.

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::outbox::Outbox;
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::poll_scheduler::{PollScheduler, PollSettings, delay_after_silent_watch};

/// A poll that has waited so long fails, and costs its turn all the same.
const SERVICE_TIMEOUT_MS: f64 = 2000.0;
/// One in so many datagrams is lost.
const LOSS: f64 = 0.1;
/// The time that a datagram takes.
const DATAGRAM_DELAY_MS: f64 = 10.0;
/// How long is simulated.
const END_MS: u32 = 60_000;

/// What a service is like.
#[derive(Clone, Copy)]
struct Service {
    /// Milliseconds that a poll takes it.
    cost: f64,
    /// Until when it is down and each poll fails at once.
    down: f64,
}

/// Relays that start together; all others start within the first second.
#[derive(Clone, Copy)]
struct LateStart {
    /// How many.
    relays: u32,
    /// When.
    at: f64,
}

const NO_LATE_START: LateStart = LateStart { relays: 0, at: 0.0 };

/// An announcement of the poll rate on its way.
struct Announcement {
    arrives_at: f64,
    peer: u32,
    interval: f64,
    call_duration: f64,
}

/// A poll that waits for the service.
struct Poll {
    relay: u32,
    sent_at: f64,
}

#[derive(Default)]
struct Outcome {
    /// When each relay was first answered, sorted.
    answered_at: Vec<f64>,
    polls: usize,
    failed: usize,
    announcements: usize,
    polls_by_second: BTreeMap<u64, usize>,
}

impl Outcome {
    /// When the last relay was answered.
    fn all_by(&self, relays: u32) -> f64 {
        if self.answered_at.len() == relays as usize {
            self.answered_at[self.answered_at.len() - 1]
        } else {
            f64::INFINITY
        }
    }
}

struct Relay {
    scheduler: PollScheduler,
    starts_at: Option<f64>,
    answered_at: Option<f64>,
}

struct Simulation {
    seed: u64,
    service: Service,
    /// Whether the relays announce the poll rate to each other.
    announces: bool,
    dice: StdRng,
    relays: Vec<Relay>,
    /// Polls that wait for the service, and for how long it is busy.
    queue: VecDeque<Poll>,
    busy_ms: f64,
    datagrams: VecDeque<Announcement>,
    outcome: Outcome,
}

fn play(relays: u32, late_start: LateStart, service: Service, announces: bool, seed: u64) -> Outcome {
    let mut dice = StdRng::seed_from_u64(seed);
    let mut relay = |local_index| {
        let is_late = local_index < late_start.relays;
        let starts_at = if is_late { late_start.at } else { dice.random_range(0.0..1000.0) };
        let scheduler = PollScheduler::new(seed * 1000 + u64::from(local_index));
        Relay { scheduler, starts_at: Some(starts_at), answered_at: None }
    };
    let relays: Vec<Relay> = (0..relays).map(&mut relay).collect();
    let mut simulation = Simulation {
        seed,
        service,
        announces,
        dice,
        relays,
        queue: VecDeque::new(),
        busy_ms: 0.0,
        datagrams: VecDeque::new(),
        outcome: Outcome::default(),
    };
    for ms in 0..END_MS {
        simulation.step(f64::from(ms));
    }
    simulation.into_outcome()
}

impl Simulation {
    fn step(&mut self, now: f64) {
        let mut out = Outbox::new();
        for local_index in 0..self.relays.len() as u32 {
            self.run_relay(now, local_index, &mut out);
        }
        self.run_service(now, &mut out);
        if self.announces {
            self.send(now, out);
        }
        while self.datagrams.front().is_some_and(|datagram| datagram.arrives_at <= now)
            && let Some(arrived) = self.datagrams.pop_front()
        {
            let Announcement { peer, interval, call_duration, .. } = arrived;
            let settings = self.settings(peer);
            let scheduler = &mut self.relays[peer as usize].scheduler;
            scheduler.receive_poll_rate(now, interval, call_duration, &settings);
        }
    }

    fn settings(&self, local_index: u32) -> PollSettings {
        settings(local_index, self.relays.len() as u32)
    }

    fn run_relay(&mut self, now: f64, local_index: u32, out: &mut Outbox) {
        let settings = self.settings(local_index);
        let relay = &mut self.relays[local_index as usize];
        if relay.starts_at.take_if(|starts_at| *starts_at <= now).is_some() {
            relay.scheduler = PollScheduler::new(self.seed * 1000 + 500 + u64::from(local_index));
            relay.answered_at = None;
            relay.scheduler.start(now, &settings);
        }
        if !relay.scheduler.take_due(now) {
            return;
        }
        self.outcome.polls += 1;
        *self.outcome.polls_by_second.entry(now as u64 / 1000).or_default() += 1;
        if now < self.service.down {
            self.outcome.failed += 1;
            relay.scheduler.record_failure(now, &settings, out);
        } else {
            self.queue.push_back(Poll { relay: local_index, sent_at: now });
        }
    }

    fn run_service(&mut self, now: f64, out: &mut Outbox) {
        self.busy_ms = (self.busy_ms - 1.0).max(-1.0);
        while self.busy_ms <= 0.0
            && let Some(poll) = self.queue.pop_front()
        {
            self.busy_ms += self.service.cost;
            let settings = self.settings(poll.relay);
            let relay = &mut self.relays[poll.relay as usize];
            if now - poll.sent_at > SERVICE_TIMEOUT_MS {
                self.outcome.failed += 1;
                relay.scheduler.record_failure(now, &settings, out);
            } else {
                relay.scheduler.record_answer(now, &settings, out);
                relay.answered_at.get_or_insert(now);
            }
        }
    }

    fn send(&mut self, now: f64, out: Outbox) {
        for sent in out {
            let ClusterMessage::PollRate { interval_ms, call_duration_ms } = sent.message else {
                panic!("{sent:?}")
            };
            self.outcome.announcements += 1;
            if !self.dice.random_bool(LOSS) {
                self.datagrams.push_back(Announcement {
                    arrives_at: now + DATAGRAM_DELAY_MS,
                    peer: sent.peer,
                    interval: f64::from(interval_ms),
                    call_duration: f64::from(call_duration_ms),
                });
            }
        }
    }

    fn into_outcome(self) -> Outcome {
        let mut answered_at: Vec<f64> = self.relays.iter().filter_map(|relay| relay.answered_at).collect();
        answered_at.sort_by(f64::total_cmp);
        Outcome { answered_at, ..self.outcome }
    }
}

/// The settings of one relay.
fn settings(local_index: u32, relay_count: u32) -> PollSettings {
    let position = ClusterPosition { local_index, relay_count };
    PollSettings { position, first_backoff: 200.0, max_interval: 5_000.0 }
}

#[test]
fn hundreds_that_start_together_all_get_their_list_whatever_the_service_bears() {
    for (relays, cost) in [(100, 50.0), (250, 30.0), (250, 50.0), (250, 100.0), (312, 20.0)] {
        for seed in 0..5 {
            let outcome = play(relays, NO_LATE_START, Service { cost, down: 0.0 }, true, seed);
            let (all, least) = (outcome.all_by(relays), f64::from(relays) * cost + 1000.0);
            let failed = outcome.failed as f64 / outcome.polls as f64;
            eprintln!(
                "{relays} at {cost} ms, seed {seed}: all after {:.2} of the least, {failed:.3} failed, \
                {:.1} datagrams a relay",
                all / least,
                outcome.announcements as f64 / f64::from(relays)
            );
            // Half of what the aims are for may take longer, but does not collapse.
            let (late, lost) = if cost > 50.0 { (2.2, 0.5) } else { (1.3, 0.1) };
            assert!(all < late * least.max(6000.0), "{relays} at {cost} ms, seed {seed}: {all} of {least}");
            assert!(failed < lost, "{relays} at {cost} ms, seed {seed}: {failed} failed");
        }
    }
}

#[test]
fn without_a_word_between_them_the_same_relays_keep_the_service_busy_for_nothing() {
    // What the one above guards against; with calls that cost nothing once given up it would prove nothing.
    let outcome = play(250, NO_LATE_START, Service { cost: 100.0, down: 0.0 }, false, 1);
    assert!(outcome.failed * 3 > outcome.polls, "{} of {} failed", outcome.failed, outcome.polls);
}

#[test]
fn a_service_that_is_down_is_asked_at_a_rate_that_does_not_grow_with_the_tier_and_found_again_soon() {
    for relays in [100, 312] {
        for seed in 0..5 {
            let service = Service { cost: 30.0, down: 8_000.0 };
            let outcome = play(relays, NO_LATE_START, service, true, seed);
            let politely =
                (3..8).map(|second| outcome.polls_by_second.get(&second).copied().unwrap_or(0)).max();
            eprintln!(
                "{relays}, seed {seed}: {politely:?} a second at most, first {}, all {}",
                outcome.answered_at[0],
                outcome.all_by(relays)
            );
            assert!(politely < Some(20), "{relays}, seed {seed}: {politely:?} calls a second");
            assert!(
                outcome.answered_at[0] < 9_500.0,
                "{relays}, seed {seed}: first at {}",
                outcome.answered_at[0]
            );
            let least = 8_000.0 + 30.0 * f64::from(relays);
            assert!(outcome.all_by(relays) < 8_000.0 + 3.5 * (least - 8_000.0), "{}", outcome.all_by(relays));
        }
    }
}

#[test]
fn seven_in_ten_that_start_again_together_have_their_list_within_seconds() {
    for seed in 0..5 {
        let outcome =
            play(250, LateStart { relays: 175, at: 13_000.0 }, Service { cost: 50.0, down: 0.0 }, true, seed);
        let all = outcome.all_by(250) - 13_000.0;
        eprintln!("seed {seed}: {all}, {} of {} failed", outcome.failed, outcome.polls);
        assert!(all < 1.5 * 175.0 * 50.0, "seed {seed}: after {all}");
        assert!(outcome.failed * 10 < outcome.polls, "{} of {}", outcome.failed, outcome.polls);
    }
}

#[test]
fn one_that_starts_alone_waits_no_longer_than_before() {
    for seed in 0..20 {
        let settings = settings(3, 312);
        let mut scheduler = PollScheduler::new(seed);
        scheduler.start(0.0, &settings);
        assert!(scheduler.timer(0.0).is_some_and(|after| after <= 5_000.0));
    }
}

#[test]
fn few_relays_ask_at_once_and_soon_again() {
    let (settings, mut out) = (settings(1, 4), Vec::new());
    let mut scheduler = PollScheduler::new(1);
    scheduler.start(0.0, &settings);
    assert!(scheduler.take_due(0.0) && !scheduler.take_due(10_000.0));
    let mut now = 0.0;
    for failures in 0..8 {
        scheduler.record_failure(now, &settings, &mut out);
        let after = scheduler.timer(now).expect("it asks again");
        let least = (200.0 * 2_f64.powi(failures)).min(1_000.0);
        assert!(after >= least && after <= 2.0 * least + 0.1, "{failures}: {after}");
        now += after;
        assert!(scheduler.take_due(now) && !scheduler.take_due(now + 10_000.0));
    }
    assert!(out.is_empty(), "a handful announces nothing");
    assert_eq!(delay_after_silent_watch(4, 0.9), 0.0);
}

/// Guards against relays that serve nobody for seconds after they have started.
#[test]
fn relays_that_serve_nobody_before_their_first_poll_make_it_soon() {
    for seed in 0..300 {
        let mut scheduler = PollScheduler::new(u64::from(seed));
        scheduler.start_soon(1000.0, &settings(seed, 300));
        let delay = scheduler.timer(1000.0).unwrap_or(0.0);
        assert!((0.0..=1500.0).contains(&delay), "relay {seed} polls after {delay} ms");
    }
}
