//! Simulates many relays, one discovery service that handles polls one at a time, and a fault, in virtual
//! time.

use std::collections::{BTreeSet, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_affinity::codec::{ClusterMessage, EndpointHash};
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::drain_gossip::{DiscoveryAnswer, DrainGossip, ListChange};
use sandgw_cluster::poll_scheduler::{
    PollScheduler, PollSettings, delay_after_broken_subscription, delay_after_silent_subscription,
};

/// The simulation's time step.
const STEP_MS: f64 = 5.0;
/// The transit time of a datagram.
const DATAGRAM_DELAY_MS: f64 = 20.0;
/// The service turns a poll away once it has waited this long; the poll takes up service time all the same.
const SERVICE_TIMEOUT_MS: f64 = 2000.0;
/// How long a relay waits for an answer.
const RELAY_TIMEOUT_MS: f64 = 2500.0;
/// The longest time after which a relay notices that its subscription has fallen silent.
const MAX_SILENCE_MS: f64 = 3500.0;
/// How long before an answer its subscription began.
const SUBSCRIPTION_AGE_MS: f64 = 1000.0;
/// When the fault begins; `END_MS` is when the simulation ends.
pub const FAULT_AT_MS: f64 = 2000.0;
const END_MS: f64 = 60_000.0;
/// A relay is late if it learns of a change later than this after the change was available.
pub const DEADLINE_MS: f64 = 6000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The service refuses each poll at once for this many milliseconds.
    Refuses(f64),
    /// The service accepts polls but never answers them for this many milliseconds.
    Silent(f64),
    /// All subscriptions are reset, and the service works.
    Resets,
    /// All subscriptions fall silent, and the service works.
    SubscriptionsSilent,
    /// Seven in ten relays are killed and restart together, with the list from before.
    Restarts,
}

impl Fault {
    /// When the service is available again.
    pub fn ends_at(self) -> f64 {
        FAULT_AT_MS
            + if let Fault::Refuses(duration) | Fault::Silent(duration) = self { duration } else { 0.0 }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub relays: u32,
    pub fault: Fault,
    /// The time that the service spends on each poll that it takes, in milliseconds.
    pub cost: f64,
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// Whether relays gossip which endpoints leave.
    pub gossips: bool,
    pub seed: u64,
}

impl Scenario {
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
            poll_state: PollState::Subscribed { silence_noticed_at: None },
            revision: 0,
            avoided: BTreeSet::new(),
            learned_at: vec![None; changes],
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PollState {
    /// The scheduler decides when the relay polls next.
    Scheduled,
    /// The relay polls at this time, without the scheduler's backoff.
    Delayed(f64),
    /// A poll has been in flight from `since` on; if `lost` is set, nobody will answer it.
    Polling { since: f64, lost: bool },
    /// The subscription continues; if it has fallen silent, the relay notices at `silence_noticed_at`.
    Subscribed { silence_noticed_at: Option<f64> },
}

struct Relay {
    scheduler: PollScheduler,
    gossip: DrainGossip,
    poll_state: PollState,
    revision: u64,
    /// Endpoints that the relay sends nothing to.
    avoided: BTreeSet<EndpointHash>,
    /// When the relay learned of each change.
    learned_at: Vec<Option<f64>>,
}

impl Relay {
    fn poll_failed(&mut self, now: f64, scenario: &Scenario, local_index: u32, out: &mut Outbox) {
        self.poll_state = PollState::Scheduled;
        self.scheduler.record_failure(now, &scenario.settings(local_index), out);
        self.gossip.start_querying_peers(now, scenario.gossip_position(local_index));
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// How long after each change was available each relay learned of it, in ascending order.
    pub delays: Vec<f64>,
    /// Relays that were late for at least one change.
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
    fn send(&mut self, now: f64, from: u32, out: &mut Outbox, rng: &mut StdRng) {
        for OutgoingMessage { peer, message } in out.drain(..) {
            assert_ne!(peer, from, "a relay sends to itself");
            if matches!(message, ClusterMessage::Draining { .. } | ClusterMessage::DrainQuery(_)) {
                self.messages += 1;
                self.bytes += message.encode().expect("the message fits a datagram").len();
            }
            if !rng.random_bool(self.loss) {
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

/// A poll that waits for the service or is being answered: which relay sent it, and when.
#[derive(Clone, Copy)]
struct Poll {
    relay: u32,
    sent_at: f64,
}

struct Simulation<'a> {
    scenario: Scenario,
    /// When each change happens.
    changes: &'a [f64],
    rng: StdRng,
    relays: Vec<Relay>,
    /// Polls that wait for the service; `busy_ms` is how long the service is still busy.
    queue: VecDeque<Poll>,
    busy_ms: f64,
    network: Network,
    outcome: Outcome,
    now: f64,
    /// The revision of the service's list as of now.
    revision: u64,
    has_fault_begun: bool,
}

/// Simulates a fault. With each change one endpoint leaves; the list's revision counts the changes.
pub fn simulate(scenario: Scenario, changes: &[f64]) -> Outcome {
    let relay = |local_index| scenario.relay(local_index, 0, changes.len());
    let mut simulation = Simulation {
        scenario,
        changes,
        rng: StdRng::seed_from_u64(scenario.seed),
        relays: (0..scenario.relays).map(relay).collect(),
        queue: VecDeque::new(),
        busy_ms: 0.0,
        network: Network { loss: scenario.loss, ..Network::default() },
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
        for local_index in 0..self.scenario.relays {
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
        self.now >= FAULT_AT_MS && self.now < self.scenario.fault.ends_at()
    }

    fn send(&mut self, from: u32, out: &mut Outbox) {
        self.network.send(self.now, from, out, &mut self.rng);
    }

    fn begin_fault(&mut self) {
        let (scenario, now) = (self.scenario, self.now);
        self.queue.clear();
        for local_index in 0..scenario.relays {
            let relay = &mut self.relays[local_index as usize];
            match scenario.fault {
                Fault::Refuses(_) | Fault::Resets => {
                    let delay = delay_after_broken_subscription(scenario.relays, self.rng.random());
                    relay.poll_state = PollState::Delayed(now + delay);
                    relay.gossip.start_querying_peers(now, scenario.gossip_position(local_index));
                }
                Fault::Silent(_) | Fault::SubscriptionsSilent => {
                    let noticed_at = now + MAX_SILENCE_MS * self.rng.random_range(0.6..1.0);
                    relay.poll_state = PollState::Subscribed { silence_noticed_at: Some(noticed_at) };
                }
                Fault::Restarts if self.rng.random_bool(0.7) => {
                    *relay = scenario.relay(local_index, 1, self.changes.len());
                    relay.poll_state = PollState::Scheduled;
                    relay.scheduler.start(now, &scenario.settings(local_index));
                    relay.gossip.start_querying_peers(now, scenario.gossip_position(local_index));
                }
                Fault::Restarts => {}
            }
        }
    }

    fn run_relay(&mut self, local_index: u32, answered: &mut Vec<Poll>) {
        let (scenario, now) = (self.scenario, self.now);
        let has_changes = !self.is_down() && self.relays[local_index as usize].revision < self.revision;
        let relay = &mut self.relays[local_index as usize];
        let mut out = Vec::new();
        relay.gossip.on_timer(now, scenario.gossip_position(local_index), &mut out);
        let polls = match relay.poll_state {
            PollState::Delayed(at) => at <= now,
            PollState::Scheduled => relay.scheduler.take_due(now),
            PollState::Polling { since, .. } => {
                if now - since > RELAY_TIMEOUT_MS {
                    relay.poll_failed(now, &scenario, local_index, &mut out);
                }
                false
            }
            PollState::Subscribed { silence_noticed_at: Some(at) } if at <= now => {
                let delay = delay_after_silent_subscription(scenario.relays, self.rng.random());
                relay.poll_state = PollState::Delayed(now + delay);
                relay.gossip.start_querying_peers(now, scenario.gossip_position(local_index));
                false
            }
            PollState::Subscribed { silence_noticed_at: None } if has_changes => {
                answered.push(Poll { relay: local_index, sent_at: now - SUBSCRIPTION_AGE_MS });
                false
            }
            PollState::Subscribed { .. } => false,
        };
        if polls {
            self.poll(local_index, &mut out);
        }
        self.send(local_index, &mut out);
    }

    fn poll(&mut self, local_index: u32, out: &mut Outbox) {
        let (scenario, now) = (self.scenario, self.now);
        let is_down = self.is_down();
        self.outcome.polls += 1;
        let relay = &mut self.relays[local_index as usize];
        match scenario.fault {
            Fault::Refuses(_) if is_down => relay.poll_failed(now, &scenario, local_index, out),
            Fault::Silent(_) if is_down => relay.poll_state = PollState::Polling { since: now, lost: true },
            _ => {
                relay.poll_state = PollState::Polling { since: now, lost: false };
                self.queue.push_back(Poll { relay: local_index, sent_at: now });
            }
        }
    }

    fn run_service(&mut self, answered: &mut Vec<Poll>) {
        let (scenario, now) = (self.scenario, self.now);
        self.busy_ms = (self.busy_ms - STEP_MS).max(-STEP_MS);
        while self.busy_ms <= 0.0
            && let Some(poll) = self.queue.pop_front()
        {
            // A poll whose relay has given up takes up service time all the same.
            self.busy_ms += scenario.cost;
            let relay = &mut self.relays[poll.relay as usize];
            if relay.poll_state != (PollState::Polling { since: poll.sent_at, lost: false }) {
                continue;
            }
            if now - poll.sent_at > SERVICE_TIMEOUT_MS {
                let mut out = Vec::new();
                relay.poll_failed(now, &scenario, poll.relay, &mut out);
                self.send(poll.relay, &mut out);
            } else {
                answered.push(poll);
            }
        }
    }

    fn deliver_answer(&mut self, poll: Poll) {
        let (scenario, now, revision) = (self.scenario, self.now, self.revision);
        let relay = &mut self.relays[poll.relay as usize];
        let mut out = Vec::new();
        let departed: Vec<_> = (relay.revision..revision).map(endpoint).collect();
        relay.poll_state = PollState::Subscribed { silence_noticed_at: None };
        relay.scheduler.record_answer(now, &scenario.settings(poll.relay), &mut out);
        let answer = DiscoveryAnswer { revision, requested_at: poll.sent_at, is_full: false };
        let change = ListChange { departed: &departed, ready: &[] };
        let position = scenario.gossip_position(poll.relay);
        let restored = relay.gossip.apply_answer(now, position, answer, change, &mut out);
        assert!(
            restored.is_empty(),
            "relay {} treats departed endpoints as ready again: {restored:?}",
            poll.relay
        );
        relay.revision = revision;
        relay.avoided.extend(departed);
        for learned_at in &mut relay.learned_at[..revision as usize] {
            learned_at.get_or_insert(now);
        }
        self.send(poll.relay, &mut out);
    }

    fn deliver_datagram(&mut self, datagram: Datagram) {
        let (scenario, now) = (self.scenario, self.now);
        let Datagram { from, to, message, .. } = datagram;
        let relay = &mut self.relays[to as usize];
        if let ClusterMessage::PollRate { interval_ms, call_duration_ms } = message {
            let (interval, poll_duration) = (f64::from(interval_ms), f64::from(call_duration_ms));
            relay.scheduler.receive_poll_rate(now, interval, poll_duration, &scenario.settings(to));
            return;
        }
        let mut out = Vec::new();
        let avoided = &relay.avoided;
        let is_ready = |endpoint| !avoided.contains(&endpoint);
        let position = scenario.gossip_position(to);
        let reported = relay.gossip.receive(now, position, from, message, is_ready, &mut out);
        for reported in &reported {
            let is_reported = |n: &usize| endpoint(*n as u64) == *reported;
            let change =
                (0..self.changes.len()).find(is_reported).expect("the report names an endpoint that leaves");
            assert!(self.changes[change] <= now, "a report precedes its change");
            relay.learned_at[change].get_or_insert(now);
        }
        relay.avoided.extend(reported);
        self.send(to, &mut out);
    }

    fn into_outcome(self) -> Outcome {
        let mut outcome = self.outcome;
        let available_at = self.scenario.fault.ends_at();
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
