//! Many relays and one discovery service that takes polls in turn: how many have a list, how soon, and what it costs.

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_affinity::codec::ClusterMessage;
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::poll_scheduler::{PollScheduler, PollSettings, delay_after_silent_watch};

/// A call that has waited so long fails, and costs its turn all the same.
const SERVICE_TIMEOUT_MS: f64 = 2000.0;
/// One in so many datagrams is lost.
const LOSS: f64 = 0.1;

/// What a service is like: milliseconds a call, and until when it is down, when each call fails at once.
#[derive(Clone, Copy)]
struct Service {
    cost: f64,
    down: f64,
}

/// An announcement of the poll rate on its way.
#[derive(Clone, Copy)]
struct Announcement {
    arrives_at: f64,
    peer: u32,
    interval: f64,
    call_duration: f64,
}

#[derive(Default)]
struct Outcome {
    /// When each relay was first answered, sorted.
    had: Vec<f64>,
    calls: usize,
    failed: usize,
    announced: usize,
    /// Calls by second.
    by_second: BTreeMap<u64, usize>,
}

impl Outcome {
    fn all_by(&self, relays: u32) -> f64 {
        if self.had.len() == relays as usize { self.had[self.had.len() - 1] } else { f64::INFINITY }
    }
}

/// Relays that start within a second, all but so many; the rest start together later. `announces`: they announce the poll rate.
fn play(relays: u32, (later, at): (u32, f64), service: Service, announces: bool, seed: u64) -> Outcome {
    let mut dice = StdRng::seed_from_u64(seed);
    let settings = |local_index| settings(local_index, relays);
    let mut schedulers: Vec<PollScheduler> =
        (0..relays).map(|local_index| PollScheduler::new(seed * 1000 + u64::from(local_index))).collect();
    let starts =
        (0..relays).map(|local_index| if local_index < later { at } else { dice.random_range(0.0..1000.0) });
    let mut starts: Vec<Option<f64>> = starts.map(Some).collect();
    let (mut turn, mut busy): (VecDeque<(u32, f64)>, f64) = (VecDeque::new(), 0.0);
    let mut datagrams: VecDeque<Announcement> = VecDeque::new();
    let (mut had, mut out, mut outcome) = (vec![None; relays as usize], Vec::new(), Outcome::default());
    for ms in 0..60_000_u32 {
        let now = f64::from(ms);
        for local_index in 0..relays {
            let one = &mut schedulers[local_index as usize];
            if starts[local_index as usize].take_if(|start| *start <= now).is_some() {
                *one = PollScheduler::new(seed * 1000 + 500 + u64::from(local_index));
                had[local_index as usize] = None;
                one.start(now, &settings(local_index));
            }
            if !one.take_due(now) {
                continue;
            }
            outcome.calls += 1;
            *outcome.by_second.entry(u64::from(ms) / 1000).or_default() += 1;
            if now < service.down {
                outcome.failed += 1;
                one.record_failure(now, &settings(local_index), &mut out);
            } else {
                turn.push_back((local_index, now));
            }
        }
        busy = (busy - 1.0).max(-1.0);
        while busy <= 0.0
            && let Some((local_index, since)) = turn.pop_front()
        {
            busy += service.cost;
            if now - since > SERVICE_TIMEOUT_MS {
                outcome.failed += 1;
                schedulers[local_index as usize].record_failure(now, &settings(local_index), &mut out);
            } else {
                schedulers[local_index as usize].record_answer(now, &settings(local_index), &mut out);
                had[local_index as usize].get_or_insert(now);
            }
        }
        for sent in out.drain(..).filter(|_| announces) {
            let ClusterMessage::PollRate { interval_ms, call_duration_ms } = sent.message else {
                panic!("{sent:?}")
            };
            outcome.announced += 1;
            if !dice.random_bool(LOSS) {
                let (interval, call_duration) = (f64::from(interval_ms), f64::from(call_duration_ms));
                datagrams.push_back(Announcement {
                    arrives_at: now + 10.0,
                    peer: sent.peer,
                    interval,
                    call_duration,
                });
            }
        }
        while let Some(arrived) = datagrams.front().copied().filter(|datagram| datagram.arrives_at <= now) {
            datagrams.pop_front();
            let Announcement { peer, interval, call_duration, .. } = arrived;
            schedulers[peer as usize].receive_poll_rate(now, interval, call_duration, &settings(peer));
        }
    }
    outcome.had = had.into_iter().flatten().collect();
    outcome.had.sort_by(f64::total_cmp);
    outcome
}

/// The settings of one relay in tests.
fn settings(local_index: u32, relay_count: u32) -> PollSettings {
    let position = ClusterPosition { local_index, relay_count };
    PollSettings { position, first_backoff: 200.0, max_interval: 5_000.0 }
}

const TOGETHER: (u32, f64) = (0, 0.0);

#[test]
fn hundreds_that_start_together_all_get_their_list_whatever_the_service_bears() {
    for (relays, cost) in [(100, 50.0), (250, 30.0), (250, 50.0), (250, 100.0), (312, 20.0)] {
        for seed in 0..5 {
            let outcome = play(relays, TOGETHER, Service { cost, down: 0.0 }, true, seed);
            let (all, least) = (outcome.all_by(relays), f64::from(relays) * cost + 1000.0);
            let failed = outcome.failed as f64 / outcome.calls as f64;
            eprintln!(
                "{relays} at {cost} ms, seed {seed}: all after {:.2} of the least, {failed:.3} failed, \
                {:.1} datagrams a relay",
                all / least,
                outcome.announced as f64 / f64::from(relays)
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
    let outcome = play(250, TOGETHER, Service { cost: 100.0, down: 0.0 }, false, 1);
    assert!(outcome.failed * 3 > outcome.calls, "{} of {} failed", outcome.failed, outcome.calls);
}

#[test]
fn a_service_that_is_down_is_asked_at_a_rate_that_does_not_grow_with_the_tier_and_found_again_soon() {
    for relays in [100, 312] {
        for seed in 0..5 {
            let service = Service { cost: 30.0, down: 8_000.0 };
            let outcome = play(relays, TOGETHER, service, true, seed);
            let politely = (3..8).map(|second| outcome.by_second.get(&second).copied().unwrap_or(0)).max();
            eprintln!(
                "{relays}, seed {seed}: {politely:?} a second at most, first {}, all {}",
                outcome.had[0],
                outcome.all_by(relays)
            );
            assert!(politely < Some(20), "{relays}, seed {seed}: {politely:?} calls a second");
            assert!(outcome.had[0] < 9_500.0, "{relays}, seed {seed}: first at {}", outcome.had[0]);
            let least = 8_000.0 + 30.0 * f64::from(relays);
            assert!(outcome.all_by(relays) < 8_000.0 + 3.5 * (least - 8_000.0), "{}", outcome.all_by(relays));
        }
    }
}

#[test]
fn seven_in_ten_that_start_again_together_have_their_list_within_seconds() {
    for seed in 0..5 {
        let outcome = play(250, (175, 13_000.0), Service { cost: 50.0, down: 0.0 }, true, seed);
        let all = outcome.all_by(250) - 13_000.0;
        eprintln!("seed {seed}: {all}, {} of {} failed", outcome.failed, outcome.calls);
        assert!(all < 1.5 * 175.0 * 50.0, "seed {seed}: after {all}");
        assert!(outcome.failed * 10 < outcome.calls, "{} of {}", outcome.failed, outcome.calls);
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
    assert!(out.is_empty(), "a handful tells nobody");
    assert_eq!(delay_after_silent_watch(4, 0.9), 0.0);
}
