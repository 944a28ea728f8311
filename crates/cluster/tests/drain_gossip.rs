//! Many relays, one discovery service that takes calls in turn, and faults: when each relay has been told of each
//! change, by an answer or by another's word, in virtual time.

use std::collections::{BTreeSet, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_affinity::codec::{ClusterMessage, EndpointHash};
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::drain_gossip::{DiscoveryAnswer, DrainGossip, ListChange};
use sandgw_cluster::poll_scheduler::{
    PollScheduler, PollSettings, delay_after_broken_watch, delay_after_silent_watch,
};

/// Milliseconds from one look to the next, and a datagram's way.
const STEP: f64 = 5.0;
const WAY: f64 = 20.0;
/// A call that has waited so long is turned away, and costs its turn all the same; a caller waits no longer than that.
const PATIENCE: f64 = 2000.0;
const GIVES_UP: f64 = 2500.0;
/// A watch that has fallen silent is noticed after this long at the most.
const NOTICED: f64 = 3500.0;
/// When the fault begins, and how long is outcome.
const FAULT: f64 = 2000.0;
const LONG: f64 = 60_000.0;
/// From then on a change counts as told.
const TOLD: f64 = 6000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// For so long each call is refused at once.
    Refuses(f64),
    /// For so long calls are accepted and never answered.
    Silent(f64),
    /// All watches are reset, and all is well.
    Resets,
    /// All watches fall silent, and all is well.
    WatchesSilent,
    /// Seven in ten relays are killed and start again together, with the list from before.
    Restarts,
}

impl Fault {
    /// When the service is back.
    fn back(self) -> f64 {
        FAULT + if let Fault::Refuses(long) | Fault::Silent(long) = self { long } else { 0.0 }
    }
}

#[derive(Clone, Copy, Debug)]
struct Plan {
    relays: u32,
    fault: Fault,
    /// What a call costs the service that begins.
    cost: f64,
    loss: f64,
    /// Whether relays may tell each other of endpoints that leave.
    gossips: bool,
    seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The next call is the load balancer's.
    Waits,
    /// A call is made then, without the load balancer's pause.
    Anew(f64),
    /// A call is out since then; nobody will answer it where it is lost.
    Out { since: f64, lost: bool },
    /// A watch goes on; it has fallen silent where that is to be noticed then.
    Watches { noticed: Option<f64> },
}

struct Relay {
    scheduler: PollScheduler,
    gossip: DrainGossip,
    stage: Stage,
    revision: u64,
    /// Endpoints that it sends nothing to.
    avoids: BTreeSet<EndpointHash>,
    /// When it was told of each change.
    told: Vec<Option<f64>>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// How long after a change could have been had each relay was told of it, the latest last.
    after: Vec<f64>,
    /// Relays that were told late of some change.
    late: usize,
    messages: usize,
    bytes: usize,
    calls: usize,
}

/// Datagrams on their way: when each arrives, from whom, at whom.
#[derive(Default)]
struct Network {
    in_flight: VecDeque<(f64, u32, u32, ClusterMessage)>,
    loss: f64,
    messages: usize,
    bytes: usize,
}

impl Network {
    fn send(&mut self, now: f64, local_index: u32, out: &mut Outbox, dice: &mut StdRng) {
        for OutgoingMessage { peer, message } in out.drain(..) {
            assert_ne!(peer, local_index, "it sends to itself");
            if matches!(message, ClusterMessage::Draining { .. } | ClusterMessage::DrainQuery(_)) {
                self.messages += 1;
                self.bytes += message.encode().expect("it fits").len();
            }
            if !dice.random_bool(self.loss) {
                self.in_flight.push_back((now + WAY, local_index, peer, message));
            }
        }
    }
}

fn endpoint(n: u64) -> EndpointHash {
    EndpointHash::of(&format!("s{n}"))
}

/// Each change is one endpoint that leaves; the list's version counts them.
fn play(plan: Plan, changes: &[f64]) -> Outcome {
    let Plan { relays, fault, cost, loss, gossips, seed } = plan;
    let mut dice = StdRng::seed_from_u64(seed);
    let settings = |local_index| PollSettings {
        position: ClusterPosition { local_index, relay_count: relays },
        first_backoff: 200.0,
        max_interval: 5_000.0,
    };
    let position =
        |local_index| ClusterPosition { local_index, relay_count: if gossips { relays } else { 0 } };
    let fresh = |local_index: u32, life: u64| {
        let seed = seed * 1000 + u64::from(local_index) + life * 500_000;
        let mut gossip = DrainGossip::new(seed);
        gossip.set_revision(Some(0));
        let (stage, told) = (Stage::Watches { noticed: None }, vec![None; changes.len()]);
        Relay {
            scheduler: PollScheduler::new(seed),
            gossip,
            stage,
            revision: 0,
            avoids: BTreeSet::new(),
            told,
        }
    };
    let mut all: Vec<Relay> = (0..relays).map(|local_index| fresh(local_index, 0)).collect();
    let (mut turn, mut busy): (VecDeque<(u32, f64)>, f64) = (VecDeque::new(), 0.0);
    let mut network = Network { loss, ..Network::default() };
    let (mut outcome, mut begun) = (Outcome::default(), false);
    let mut now = 0.0;
    while now < LONG {
        now += STEP;
        let revision = changes.iter().filter(|at| **at <= now).count() as u64;
        let down = now >= FAULT && now < fault.back();
        if now >= FAULT && !std::mem::replace(&mut begun, true) {
            turn.clear();
            for local_index in 0..relays {
                let one = &mut all[local_index as usize];
                let broken_off =
                    |dice: &mut StdRng| Stage::Anew(now + delay_after_broken_watch(relays, dice.random()));
                match fault {
                    Fault::Refuses(_) | Fault::Resets => {
                        one.stage = broken_off(&mut dice);
                        one.gossip.discovery_failed(now, position(local_index));
                    }
                    Fault::Silent(_) | Fault::WatchesSilent => {
                        one.stage =
                            Stage::Watches { noticed: Some(now + NOTICED * dice.random_range(0.6..1.0)) };
                    }
                    Fault::Restarts if dice.random_bool(0.7) => {
                        *one = fresh(local_index, 1);
                        one.stage = Stage::Waits;
                        one.scheduler.start(now, &settings(local_index));
                        one.gossip.discovery_failed(now, position(local_index));
                    }
                    Fault::Restarts => {}
                }
            }
        }
        let mut out = Vec::new();
        let mut answered = Vec::new();
        for local_index in 0..relays {
            let one = &mut all[local_index as usize];
            one.gossip.on_timer(now, position(local_index), &mut out);
            let calls = match one.stage {
                Stage::Anew(at) => at <= now,
                Stage::Waits => one.scheduler.take_due(now),
                Stage::Out { since, .. } => {
                    if now - since > GIVES_UP {
                        one.stage = Stage::Waits;
                        one.scheduler.record_failure(now, &settings(local_index), &mut out);
                        one.gossip.discovery_failed(now, position(local_index));
                    }
                    false
                }
                Stage::Watches { noticed: Some(at) } if at <= now => {
                    one.stage = Stage::Anew(now + delay_after_silent_watch(relays, dice.random()));
                    one.gossip.discovery_failed(now, position(local_index));
                    false
                }
                Stage::Watches { noticed: None } if !down && one.revision < revision => {
                    answered.push((local_index, now - 1000.0));
                    false
                }
                Stage::Watches { .. } => false,
            };
            if calls {
                outcome.calls += 1;
                match fault {
                    Fault::Refuses(_) if down => {
                        one.stage = Stage::Waits;
                        one.scheduler.record_failure(now, &settings(local_index), &mut out);
                        one.gossip.discovery_failed(now, position(local_index));
                    }
                    Fault::Silent(_) if down => one.stage = Stage::Out { since: now, lost: true },
                    _ => {
                        one.stage = Stage::Out { since: now, lost: false };
                        turn.push_back((local_index, now));
                    }
                }
            }
            network.send(now, local_index, &mut out, &mut dice);
        }
        busy = (busy - STEP).max(-STEP);
        while busy <= 0.0
            && let Some((local_index, since)) = turn.pop_front()
        {
            if all[local_index as usize].stage != (Stage::Out { since, lost: false }) {
                // Its caller has left; it costs its turn.
                busy += cost;
                continue;
            }
            busy += cost;
            if now - since > PATIENCE {
                let one = &mut all[local_index as usize];
                one.stage = Stage::Waits;
                one.scheduler.record_failure(now, &settings(local_index), &mut out);
                one.gossip.discovery_failed(now, position(local_index));
                network.send(now, local_index, &mut out, &mut dice);
            } else {
                answered.push((local_index, since));
            }
        }
        for (local_index, asked) in answered {
            let one = &mut all[local_index as usize];
            let left: Vec<_> = (one.revision..revision).map(endpoint).collect();
            one.stage = Stage::Watches { noticed: None };
            one.scheduler.record_answer(now, &settings(local_index), &mut out);
            let answer = DiscoveryAnswer { revision, requested_at: asked, is_full: false };
            let change = ListChange { departed: &left, ready: &[] };
            let back = one.gossip.apply_answer(now, position(local_index), answer, change, &mut out);
            assert!(back.is_empty(), "relay {local_index} takes back what has left: {back:?}");
            one.revision = revision;
            one.avoids.extend(left);
            for told in &mut one.told[..revision as usize] {
                told.get_or_insert(now);
            }
            network.send(now, local_index, &mut out, &mut dice);
        }
        while network.in_flight.front().is_some_and(|d| d.0 <= now)
            && let Some((_, from, local_index, message)) = network.in_flight.pop_front()
        {
            let one = &mut all[local_index as usize];
            if let ClusterMessage::PollRate { interval_ms, call_duration_ms } = message {
                let (interval, call_duration) = (f64::from(interval_ms), f64::from(call_duration_ms));
                one.scheduler.receive_poll_rate(now, interval, call_duration, &settings(local_index));
                continue;
            }
            let avoids = &one.avoids;
            let fresh = one.gossip.receive(
                now,
                position(local_index),
                from,
                message,
                |s| !avoids.contains(&s),
                &mut out,
            );
            for s in &fresh {
                let n = (0..changes.len()).find(|n| endpoint(*n as u64) == *s).expect("one that left");
                assert!(changes[n] <= now, "a word of what has not happened");
                one.told[n].get_or_insert(now);
            }
            one.avoids.extend(fresh);
            network.send(now, local_index, &mut out, &mut dice);
        }
    }
    for one in &all {
        let after = |(told, at): (&Option<f64>, &f64)| told.unwrap_or(LONG) - at.max(fault.back());
        let after: Vec<_> = one.told.iter().zip(changes).map(after).collect();
        outcome.late += usize::from(after.iter().any(|after| *after > TOLD));
        outcome.after.extend(after);
    }
    outcome.after.sort_by(f64::total_cmp);
    outcome.messages = network.messages;
    outcome.bytes = network.bytes;
    outcome
}

/// Changes in the outage, as it ends and after it.
fn changes(fault: Fault) -> Vec<f64> {
    let back = fault.back();
    let mut all = vec![FAULT + 100.0, back - 50.0, back + 10.0, back + 500.0, back + 1500.0, back + 3000.0];
    all.sort_by(f64::total_cmp);
    all
}

fn told(fault: Fault, cost: f64, loss: f64, gossips: bool) -> Vec<(u32, usize, f64)> {
    let mut all = Vec::new();
    for relays in [1, 4, 8, 30, 100, 300] {
        let (mut late, mut latest) = (0, 0.0_f64);
        for seed in 0..5 {
            let outcome = play(Plan { relays, fault, cost, loss, gossips, seed }, &changes(fault));
            let median = outcome.after[outcome.after.len() / 2];
            let most = outcome.after[outcome.after.len() - 1];
            let each = |n: usize| n as f64 / f64::from(relays);
            eprintln!(
                "{fault:?}, {relays} relays, {cost} ms, {loss} lost, gossip {gossips}, seed {seed}: {} late, median \
                {median:.0}, latest {most:.0}, {:.1} calls, {:.1} messages, {:.0} bytes a relay",
                outcome.late,
                each(outcome.calls),
                each(outcome.messages),
                each(outcome.bytes),
            );
            late += outcome.late;
            latest = latest.max(most);
        }
        all.push((relays, late, latest));
    }
    all
}

const FAULTS: [Fault; 5] =
    [Fault::Refuses(8000.0), Fault::Silent(8000.0), Fault::Resets, Fault::WatchesSilent, Fault::Restarts];

#[test]
fn every_relay_is_told_in_time_whatever_the_fault_was() {
    for fault in FAULTS {
        for (relays, late, latest) in told(fault, 50.0, 0.1, true) {
            assert_eq!(late, 0, "{fault:?}: {late} of five times {relays} relays, the latest after {latest}");
        }
    }
}

#[test]
fn hardly_any_is_told_late_by_a_service_of_half_the_rate_and_with_a_fifth_of_all_words_lost() {
    for fault in FAULTS {
        for cost in [50.0, 100.0] {
            for (relays, late, latest) in told(fault, cost, 0.2, true) {
                // Of five times as many: up to 8 relays ask so soon that words don't matter.
                let most = if relays > 8 { relays / 50 } else { 0 };
                assert!(
                    late <= most as usize,
                    "{fault:?}, {cost} ms: {late} of five times {relays} relays late"
                );
                assert!(
                    latest < 2.5 * TOLD,
                    "{fault:?}, {cost} ms, {relays} relays: the latest after {latest}"
                );
            }
        }
    }
}

#[test]
fn without_words_most_of_hundreds_are_told_late() {
    // What the ones above guard against, and what is left where relays may not tell each other.
    for fault in FAULTS {
        for (relays, late, latest) in told(fault, 50.0, 0.1, false) {
            eprintln!(
                "{fault:?}: without words {late} of five times {relays} relays late, the latest after {latest}"
            );
            assert!(relays > 8 || late == 0, "{fault:?}: {late} of five times {relays} relays late");
            assert!(relays < 300 || late > 300, "{fault:?}: {late} of five times {relays} relays late");
        }
    }
}
