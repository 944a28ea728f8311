//! Many relays, one discovery service that takes polls in turn, and a fault, in virtual time.

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

/// The simulation's time step.
const STEP_MS: f64 = 5.0;
/// The time that a datagram takes.
const DATAGRAM_DELAY_MS: f64 = 20.0;
/// A poll that has waited so long is turned away, and costs its turn all the same.
const SERVICE_TIMEOUT_MS: f64 = 2000.0;
/// A relay waits for an answer no longer than this.
const RELAY_TIMEOUT_MS: f64 = 2500.0;
/// A watch that has fallen silent is noticed after this long at most.
const MAX_SILENCE_MS: f64 = 3500.0;
/// How long before an answer its watch was begun.
const WATCH_AGE_MS: f64 = 1000.0;
/// When the fault begins, and how long is simulated.
pub const FAULT_AT_MS: f64 = 2000.0;
const END_MS: f64 = 60_000.0;
/// A relay that learns of a change later than this after it could have is late.
pub const DEADLINE_MS: f64 = 6000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// For so long each poll is refused at once.
    Refuses(f64),
    /// For so long polls are accepted and never answered.
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
    pub fn ends_at(self) -> f64 {
        FAULT_AT_MS + if let Fault::Refuses(long) | Fault::Silent(long) = self { long } else { 0.0 }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub relays: u32,
    pub fault: Fault,
    /// What a poll costs the service that takes it, in milliseconds.
    pub cost: f64,
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// Whether relays may send each other which endpoints leave.
    pub gossips: bool,
    pub seed: u64,
}

impl Plan {
    fn settings(&self, local_index: u32) -> PollSettings {
        PollSettings {
            position: ClusterPosition { local_index, relay_count: self.relays },
            first_backoff: 200.0,
            max_interval: 5_000.0,
        }
    }

    fn gossip_position(&self, local_index: u32) -> ClusterPosition {
        ClusterPosition { local_index, relay_count: if self.gossips { self.relays } else { 0 } }
    }

    fn relay(&self, local_index: u32, incarnation: u64, changes: usize) -> Relay {
        let seed = self.seed * 1000 + u64::from(local_index) + incarnation * 500_000;
        let mut gossip = DrainGossip::new(seed);
        gossip.set_revision(Some(0));
        Relay {
            scheduler: PollScheduler::new(seed),
            gossip,
            stage: Stage::Watching { silence_noticed_at: None },
            revision: 0,
            avoided: BTreeSet::new(),
            learned_at: vec![None; changes],
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The next poll is the scheduler's.
    Scheduled,
    /// A poll is made then, without the scheduler's backoff.
    Delayed(f64),
    /// A poll is in flight since then; nobody will answer it where it is lost.
    Polling { since: f64, lost: bool },
    /// A watch goes on; it has fallen silent where that is to be noticed then.
    Watching { silence_noticed_at: Option<f64> },
}

struct Relay {
    scheduler: PollScheduler,
    gossip: DrainGossip,
    stage: Stage,
    revision: u64,
    /// Endpoints that it sends nothing to.
    avoided: BTreeSet<EndpointHash>,
    /// When it learned of each change.
    learned_at: Vec<Option<f64>>,
}

impl Relay {
    fn poll_failed(&mut self, now: f64, plan: &Plan, local_index: u32, out: &mut Outbox) {
        self.stage = Stage::Scheduled;
        self.scheduler.record_failure(now, &plan.settings(local_index), out);
        self.gossip.discovery_failed(now, plan.gossip_position(local_index));
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// How long after a change could have been had each relay learned of it, the latest last.
    pub delays: Vec<f64>,
    /// Relays that were late for some change.
    pub late: usize,
    pub messages: usize,
    pub bytes: usize,
    pub polls: usize,
}

struct Datagram {
    arrives_at: f64,
    from: u32,
    to: u32,
    message: ClusterMessage,
}

#[derive(Default)]
struct Network {
    in_flight: VecDeque<Datagram>,
    loss: f64,
    messages: usize,
    bytes: usize,
}

impl Network {
    fn send(&mut self, now: f64, from: u32, out: &mut Outbox, dice: &mut StdRng) {
        for OutgoingMessage { peer, message } in out.drain(..) {
            assert_ne!(peer, from, "it sends to itself");
            if matches!(message, ClusterMessage::Draining { .. } | ClusterMessage::DrainQuery(_)) {
                self.messages += 1;
                self.bytes += message.encode().expect("it fits").len();
            }
            if !dice.random_bool(self.loss) {
                let arrives_at = now + DATAGRAM_DELAY_MS;
                self.in_flight.push_back(Datagram { arrives_at, from, to: peer, message });
            }
        }
    }

    fn next_arrival(&mut self, now: f64) -> Option<Datagram> {
        let has_arrived = self.in_flight.front().is_some_and(|datagram| datagram.arrives_at <= now);
        if has_arrived { self.in_flight.pop_front() } else { None }
    }
}

/// A poll at the service, or its answer: whose, and when it was sent.
#[derive(Clone, Copy)]
struct Poll {
    relay: u32,
    sent_at: f64,
}

struct Simulation<'a> {
    plan: Plan,
    /// When each change happens.
    changes: &'a [f64],
    dice: StdRng,
    relays: Vec<Relay>,
    /// Polls that wait for the service, and for how long it is busy.
    queue: VecDeque<Poll>,
    busy_ms: f64,
    network: Network,
    outcome: Outcome,
    now: f64,
    /// The revision of the service's list as of now.
    revision: u64,
    has_fault_begun: bool,
}

/// Plays a fault. Each change is one endpoint that leaves; the list's revision counts them.
pub fn play(plan: Plan, changes: &[f64]) -> Outcome {
    let relay = |local_index| plan.relay(local_index, 0, changes.len());
    let mut simulation = Simulation {
        plan,
        changes,
        dice: StdRng::seed_from_u64(plan.seed),
        relays: (0..plan.relays).map(relay).collect(),
        queue: VecDeque::new(),
        busy_ms: 0.0,
        network: Network { loss: plan.loss, ..Network::default() },
        outcome: Outcome::default(),
        now: 0.0,
        revision: 0,
        has_fault_begun: false,
    };
    while simulation.now < END_MS {
        simulation.step();
    }
    simulation.into_outcome()
}

pub fn endpoint(n: u64) -> EndpointHash {
    EndpointHash::of(&format!("s{n}"))
}

impl Simulation<'_> {
    fn step(&mut self) {
        self.now += STEP_MS;
        self.revision = self.changes.iter().filter(|at| **at <= self.now).count() as u64;
        if self.now >= FAULT_AT_MS && !std::mem::replace(&mut self.has_fault_begun, true) {
            self.begin_fault();
        }
        let mut answered = Vec::new();
        for local_index in 0..self.plan.relays {
            self.run_relay(local_index, &mut answered);
        }
        self.run_service(&mut answered);
        for answer in answered {
            self.deliver_answer(answer);
        }
        while let Some(datagram) = self.network.next_arrival(self.now) {
            self.deliver_datagram(datagram);
        }
    }

    fn is_down(&self) -> bool {
        self.now >= FAULT_AT_MS && self.now < self.plan.fault.ends_at()
    }

    fn send(&mut self, from: u32, out: &mut Outbox) {
        self.network.send(self.now, from, out, &mut self.dice);
    }

    fn begin_fault(&mut self) {
        let (plan, now) = (self.plan, self.now);
        self.queue.clear();
        for local_index in 0..plan.relays {
            let relay = &mut self.relays[local_index as usize];
            match plan.fault {
                Fault::Refuses(_) | Fault::Resets => {
                    let delay = delay_after_broken_watch(plan.relays, self.dice.random());
                    relay.stage = Stage::Delayed(now + delay);
                    relay.gossip.discovery_failed(now, plan.gossip_position(local_index));
                }
                Fault::Silent(_) | Fault::WatchesSilent => {
                    let noticed_at = now + MAX_SILENCE_MS * self.dice.random_range(0.6..1.0);
                    relay.stage = Stage::Watching { silence_noticed_at: Some(noticed_at) };
                }
                Fault::Restarts if self.dice.random_bool(0.7) => {
                    *relay = plan.relay(local_index, 1, self.changes.len());
                    relay.stage = Stage::Scheduled;
                    relay.scheduler.start(now, &plan.settings(local_index));
                    relay.gossip.discovery_failed(now, plan.gossip_position(local_index));
                }
                Fault::Restarts => {}
            }
        }
    }

    fn run_relay(&mut self, local_index: u32, answered: &mut Vec<Poll>) {
        let (plan, now) = (self.plan, self.now);
        let has_news = !self.is_down() && self.relays[local_index as usize].revision < self.revision;
        let relay = &mut self.relays[local_index as usize];
        let mut out = Vec::new();
        relay.gossip.on_timer(now, plan.gossip_position(local_index), &mut out);
        let polls = match relay.stage {
            Stage::Delayed(at) => at <= now,
            Stage::Scheduled => relay.scheduler.take_due(now),
            Stage::Polling { since, .. } => {
                if now - since > RELAY_TIMEOUT_MS {
                    relay.poll_failed(now, &plan, local_index, &mut out);
                }
                false
            }
            Stage::Watching { silence_noticed_at: Some(at) } if at <= now => {
                let delay = delay_after_silent_watch(plan.relays, self.dice.random());
                relay.stage = Stage::Delayed(now + delay);
                relay.gossip.discovery_failed(now, plan.gossip_position(local_index));
                false
            }
            Stage::Watching { silence_noticed_at: None } if has_news => {
                answered.push(Poll { relay: local_index, sent_at: now - WATCH_AGE_MS });
                false
            }
            Stage::Watching { .. } => false,
        };
        if polls {
            self.poll(local_index, &mut out);
        }
        self.send(local_index, &mut out);
    }

    fn poll(&mut self, local_index: u32, out: &mut Outbox) {
        let (plan, now) = (self.plan, self.now);
        let is_down = self.is_down();
        self.outcome.polls += 1;
        let relay = &mut self.relays[local_index as usize];
        match plan.fault {
            Fault::Refuses(_) if is_down => relay.poll_failed(now, &plan, local_index, out),
            Fault::Silent(_) if is_down => relay.stage = Stage::Polling { since: now, lost: true },
            _ => {
                relay.stage = Stage::Polling { since: now, lost: false };
                self.queue.push_back(Poll { relay: local_index, sent_at: now });
            }
        }
    }

    fn run_service(&mut self, answered: &mut Vec<Poll>) {
        let (plan, now) = (self.plan, self.now);
        self.busy_ms = (self.busy_ms - STEP_MS).max(-STEP_MS);
        while self.busy_ms <= 0.0
            && let Some(poll) = self.queue.pop_front()
        {
            // A poll whose relay has given up costs its turn all the same.
            self.busy_ms += plan.cost;
            let relay = &mut self.relays[poll.relay as usize];
            if relay.stage != (Stage::Polling { since: poll.sent_at, lost: false }) {
                continue;
            }
            if now - poll.sent_at > SERVICE_TIMEOUT_MS {
                let mut out = Vec::new();
                relay.poll_failed(now, &plan, poll.relay, &mut out);
                self.send(poll.relay, &mut out);
            } else {
                answered.push(poll);
            }
        }
    }

    fn deliver_answer(&mut self, poll: Poll) {
        let (plan, now, revision) = (self.plan, self.now, self.revision);
        let relay = &mut self.relays[poll.relay as usize];
        let mut out = Vec::new();
        let departed: Vec<_> = (relay.revision..revision).map(endpoint).collect();
        relay.stage = Stage::Watching { silence_noticed_at: None };
        relay.scheduler.record_answer(now, &plan.settings(poll.relay), &mut out);
        let answer = DiscoveryAnswer { revision, requested_at: poll.sent_at, is_full: false };
        let change = ListChange { departed: &departed, ready: &[] };
        let position = plan.gossip_position(poll.relay);
        let restored = relay.gossip.apply_answer(now, position, answer, change, &mut out);
        assert!(restored.is_empty(), "relay {} takes back what has left: {restored:?}", poll.relay);
        relay.revision = revision;
        relay.avoided.extend(departed);
        for learned_at in &mut relay.learned_at[..revision as usize] {
            learned_at.get_or_insert(now);
        }
        self.send(poll.relay, &mut out);
    }

    fn deliver_datagram(&mut self, datagram: Datagram) {
        let (plan, now) = (self.plan, self.now);
        let Datagram { from, to, message, .. } = datagram;
        let relay = &mut self.relays[to as usize];
        if let ClusterMessage::PollRate { interval_ms, call_duration_ms } = message {
            let (interval, call_duration) = (f64::from(interval_ms), f64::from(call_duration_ms));
            relay.scheduler.receive_poll_rate(now, interval, call_duration, &plan.settings(to));
            return;
        }
        let mut out = Vec::new();
        let avoided = &relay.avoided;
        let is_ready = |endpoint| !avoided.contains(&endpoint);
        let position = plan.gossip_position(to);
        let reported = relay.gossip.receive(now, position, from, message, is_ready, &mut out);
        for reported in &reported {
            let is_reported = |n: &usize| endpoint(*n as u64) == *reported;
            let change = (0..self.changes.len()).find(is_reported).expect("one that left");
            assert!(self.changes[change] <= now, "a report of what has not happened");
            relay.learned_at[change].get_or_insert(now);
        }
        relay.avoided.extend(reported);
        self.send(to, &mut out);
    }

    fn into_outcome(self) -> Outcome {
        let mut outcome = self.outcome;
        let available_at = self.plan.fault.ends_at();
        for relay in &self.relays {
            let changes = relay.learned_at.iter().zip(self.changes);
            let delays: Vec<f64> = changes
                .map(|(learned_at, changed_at)| learned_at.unwrap_or(END_MS) - changed_at.max(available_at))
                .collect();
            outcome.late += usize::from(delays.iter().any(|delay| *delay > DEADLINE_MS));
            outcome.delays.extend(delays);
        }
        outcome.delays.sort_by(f64::total_cmp);
        outcome.messages = self.network.messages;
        outcome.bytes = self.network.bytes;
        outcome
    }
}
