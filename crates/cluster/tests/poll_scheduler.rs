//! Simulates many relays and one discovery service that handles polls one at a time: how many relays get a
//! list, how soon, and at what cost.

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::outbox::Outbox;
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::poll_scheduler::{PollScheduler, PollSettings, delay_after_silent_subscription};

/// The service fails a poll that has waited this long; the poll takes up service time all the same.
const SERVICE_TIMEOUT_MS: f64 = 2000.0;
/// The fraction of datagrams that is lost.
const LOSS: f64 = 0.1;
/// The transit time of a datagram.
const DATAGRAM_DELAY_MS: f64 = 10.0;
/// How long is simulated.
const END_MS: u32 = 60_000;

/// The properties of the simulated service.
#[derive(Clone, Copy)]
struct Service {
    /// The time that the service spends on a poll, in milliseconds.
    cost: f64,
    /// Until when the service is down and each poll fails at once.
    down_until: f64,
}

/// Relays that start together; all others start within the first second.
#[derive(Clone, Copy)]
struct LateStart {
    /// How many relays start together.
    relays: u32,
    /// When they start.
    at: f64,
}

const NO_LATE_START: LateStart = LateStart { relays: 0, at: 0.0 };

/// An announcement of the poll rate in transit.
struct Announcement {
    arrives_at: f64,
    peer: u32,
    interval: f64,
    poll_duration: f64,
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
    /// When the last relay was answered; infinity if some relay was not.
    fn all_answered_at(&self, relays: u32) -> f64 {
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
    rng: StdRng,
    relays: Vec<Relay>,
    /// Polls that wait for the service; `busy_ms` is how long the service is still busy.
    queue: VecDeque<Poll>,
    busy_ms: f64,
    datagrams: VecDeque<Announcement>,
    outcome: Outcome,
}

fn simulate(relays: u32, late_start: LateStart, service: Service, announces: bool, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut relay = |local_index| {
        let is_late = local_index < late_start.relays;
        let starts_at = if is_late { late_start.at } else { rng.random_range(0.0..1000.0) };
        let scheduler = PollScheduler::new(seed * 1000 + u64::from(local_index));
        Relay { scheduler, starts_at: Some(starts_at), answered_at: None }
    };
    let relays: Vec<Relay> = (0..relays).map(&mut relay).collect();
    let mut simulation = Simulation {
        seed,
        service,
        announces,
        rng,
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
            let Announcement { peer, interval, poll_duration, .. } = arrived;
            let settings = self.settings(peer);
            let scheduler = &mut self.relays[peer as usize].scheduler;
            scheduler.receive_poll_rate(now, interval, poll_duration, &settings);
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
        if now < self.service.down_until {
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
            if !self.rng.random_bool(LOSS) {
                self.datagrams.push_back(Announcement {
                    arrives_at: now + DATAGRAM_DELAY_MS,
                    peer: sent.peer,
                    interval: f64::from(interval_ms),
                    poll_duration: f64::from(call_duration_ms),
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
fn hundreds_of_relays_that_start_together_all_get_their_list() {
    for (relays, cost) in [(100, 50.0), (250, 30.0), (250, 50.0), (250, 100.0), (312, 20.0)] {
        for seed in 0..5 {
            let outcome = simulate(relays, NO_LATE_START, Service { cost, down_until: 0.0 }, true, seed);
            let (all, minimum) = (outcome.all_answered_at(relays), f64::from(relays) * cost + 1000.0);
            let failed = outcome.failed as f64 / outcome.polls as f64;
            eprintln!(
                "{relays} at {cost} ms, seed {seed}: all after {:.2} of the minimum, {failed:.3} failed, \
                {:.1} datagrams a relay",
                all / minimum,
                outcome.announcements as f64 / f64::from(relays)
            );
            // A service of half the rate that the objectives assume may take longer, but must not collapse.
            let (max_delay_factor, max_failed) = if cost > 50.0 { (2.2, 0.5) } else { (1.3, 0.1) };
            assert!(
                all < max_delay_factor * minimum.max(6000.0),
                "{relays} at {cost} ms, seed {seed}: all after {all} ms, minimum {minimum} ms"
            );
            assert!(
                failed < max_failed,
                "{relays} at {cost} ms, seed {seed}: fraction {failed} of polls failed"
            );
        }
    }
}

#[test]
fn without_announcements_over_a_third_of_the_polls_fail() {
    // The failure that the test above guards against. It shows only because polls that were given up take up
    // service time all the same.
    let outcome = simulate(250, NO_LATE_START, Service { cost: 100.0, down_until: 0.0 }, false, 1);
    assert!(outcome.failed * 3 > outcome.polls, "{} of {} polls failed", outcome.failed, outcome.polls);
}

#[test]
fn a_service_that_is_down_is_polled_at_a_bounded_rate_and_found_again_soon() {
    for relays in [100, 312] {
        for seed in 0..5 {
            let service = Service { cost: 30.0, down_until: 8_000.0 };
            let outcome = simulate(relays, NO_LATE_START, service, true, seed);
            let max_polls_per_second =
                (3..8).map(|second| outcome.polls_by_second.get(&second).copied().unwrap_or(0)).max();
            eprintln!(
                "{relays}, seed {seed}: {max_polls_per_second:?} polls a second at most, first answer at {}, \
                last answer at {}",
                outcome.answered_at[0],
                outcome.all_answered_at(relays)
            );
            assert!(
                max_polls_per_second < Some(20),
                "{relays}, seed {seed}: {max_polls_per_second:?} polls a second"
            );
            assert!(
                outcome.answered_at[0] < 9_500.0,
                "{relays}, seed {seed}: first answer at {}",
                outcome.answered_at[0]
            );
            let minimum = 8_000.0 + 30.0 * f64::from(relays);
            assert!(
                outcome.all_answered_at(relays) < 8_000.0 + 3.5 * (minimum - 8_000.0),
                "{}",
                outcome.all_answered_at(relays)
            );
        }
    }
}

#[test]
fn seven_in_ten_relays_that_restart_together_get_their_list_within_seconds() {
    for seed in 0..5 {
        let outcome = simulate(
            250,
            LateStart { relays: 175, at: 13_000.0 },
            Service { cost: 50.0, down_until: 0.0 },
            true,
            seed,
        );
        let all = outcome.all_answered_at(250) - 13_000.0;
        eprintln!("seed {seed}: all after {all} ms, {} of {} polls failed", outcome.failed, outcome.polls);
        assert!(all < 1.5 * 175.0 * 50.0, "seed {seed}: all after {all} ms");
        assert!(outcome.failed * 10 < outcome.polls, "{} of {} polls failed", outcome.failed, outcome.polls);
    }
}

#[test]
fn a_relay_that_starts_alone_polls_within_the_longest_interval() {
    for seed in 0..20 {
        let settings = settings(3, 312);
        let mut scheduler = PollScheduler::new(seed);
        scheduler.start(0.0, &settings);
        assert!(scheduler.timer(0.0).is_some_and(|after| after <= 5_000.0));
    }
}

#[test]
fn a_small_cluster_polls_at_once_and_retries_soon() {
    let (settings, mut out) = (settings(1, 4), Vec::new());
    let mut scheduler = PollScheduler::new(1);
    scheduler.start(0.0, &settings);
    assert!(scheduler.take_due(0.0) && !scheduler.take_due(10_000.0));
    let mut now = 0.0;
    for failures in 0..8 {
        scheduler.record_failure(now, &settings, &mut out);
        let after = scheduler.timer(now).expect("a retry is scheduled");
        let minimum = (200.0 * 2_f64.powi(failures)).min(1_000.0);
        assert!(after >= minimum && after <= 2.0 * minimum + 0.1, "{failures}: {after}");
        now += after;
        assert!(scheduler.take_due(now) && !scheduler.take_due(now + 10_000.0));
    }
    assert!(out.is_empty(), "a small cluster announces nothing");
    assert_eq!(delay_after_silent_subscription(4, 0.9), 0.0);
}

/// Guards against relays that serve nobody for seconds after they have started.
#[test]
fn relays_that_take_no_clients_before_their_first_poll_poll_soon() {
    for seed in 0..300 {
        let mut scheduler = PollScheduler::new(u64::from(seed));
        scheduler.start_before_serving(1000.0, &settings(seed, 300));
        let delay = scheduler.timer(1000.0).unwrap_or(0.0);
        assert!((0.0..=1500.0).contains(&delay), "relay {seed} polls after {delay} ms");
    }
}
