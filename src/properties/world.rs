//! The relays, endpoints and clients of a run, and the loop that lets its events happen.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::checks::{Checks, Rule};
use super::timeline::{RequestRef, ScheduledEvent, Timeline};
use crate::policy::api::{
    EndpointEntry, EndpointId, EndpointState, ListKind, Millis, Outcome, RequestId, Settings,
};
use crate::relay::{Command, ConnectionCommand, Relay};
use crate::tests::{START, entry, settings};

pub(super) const ENDPOINTS: usize = 8;
pub(super) const CLASSES: [&str; 5] = ["safe", "all", "zone", "cell", "unsafe"];
pub(super) const MAX_ATTEMPTS: u32 = 5;
/// Faults and new clients last for so long; then the clients leave.
pub(super) const FAULTS_MS: Millis = 14_000.0;
pub(super) const RECOVERY_MS: Millis = 12_000.0;
pub(super) const RETRY_AFTER_MS: Millis = 1_500.0;
pub(super) const REPLY_SLACK_MS: Millis = 8.0;
/// Part of its capacity that an endpoint has when it starts.
pub(super) const COLD_CAPACITY_FRACTION: f64 = 0.31;
/// What it gains until it is warm.
pub(super) const WARM_UP_CAPACITY_FRACTION: f64 = 0.69;
pub(super) const WARM_UP_MS: Millis = 8_600.0;
/// An endpoint fails when it is sent more than this multiple of its capacity.
pub(super) const OVERLOAD_MULTIPLE: f64 = 3.0;
const FIRST_FAULT_MS: Millis = 1_500.0;
pub(super) const TICK_MS: Millis = 1_000.0;

/// An endpoint of an attempt or a connection.
pub(super) struct Placement {
    pub(super) endpoint: EndpointId,
    /// When the attempt was sent, or the connection established.
    pub(super) since: Millis,
}

/// A connection as an independent observer records it.
pub(super) struct ObservedConnection {
    pub(super) client: u32,
    pub(super) deadline: Millis,
    pub(super) attempts: u32,
    /// The attempt that is out.
    pub(super) attempting: Option<Placement>,
    pub(super) established: Option<Placement>,
    pub(super) answered: bool,
    /// Its client has left.
    pub(super) client_gone: bool,
    pub(super) migrated: bool,
    pub(super) drained_by_endpoint: bool,
    pub(super) class: usize,
}

impl ObservedConnection {
    /// Neither answered nor left by its client.
    pub(super) fn is_open(&self) -> bool {
        !self.answered && !self.client_gone
    }

    /// Whether the relay has to do something for it yet.
    fn is_waiting(&self) -> bool {
        self.is_open() && self.attempting.is_none() && self.established.is_none()
    }
}

/// A relay's process, with what an observer knows that it was told.
pub(super) struct RelayProcess {
    pub(super) relay: Relay,
    pub(super) running: bool,
    pub(super) connections: BTreeMap<RequestId, ObservedConnection>,
    /// The list as it was received last.
    pub(super) list: BTreeMap<EndpointId, EndpointEntry>,
    /// Endpoints that it was told drain or were removed, since when.
    pub(super) draining: BTreeMap<EndpointId, Millis>,
    /// Starts of endpoints that it was told of.
    pub(super) starts: BTreeMap<EndpointId, Millis>,
    /// Timers that are set, by token.
    pub(super) timers: HashMap<u64, u32>,
    /// When the latest message about the list arrives: they keep their order.
    pub(super) last_list_at: Millis,
    pub(super) descriptors_short: bool,
}

/// An endpoint as it is, whatever relays know of it.
pub(super) struct SimulatedEndpoint {
    pub(super) state: EndpointState,
    pub(super) started: Millis,
    /// Attempts to it while it was cold.
    pub(super) cold_attempts: Vec<Millis>,
}

/// Clients that left while their request was in this stage.
#[derive(Clone, Copy, Default)]
pub(super) struct ClientsGone {
    pub(super) queued: u64,
    /// Neither queued nor attempted.
    pub(super) pending: u64,
    pub(super) attempting: u64,
}

pub(super) struct World {
    /// New connections a second.
    pub(super) rate: f64,
    pub(super) random: StdRng,
    pub(super) now: Millis,
    pub(super) timeline: Timeline,
    pub(super) relays: Vec<RelayProcess>,
    pub(super) endpoints: Vec<SimulatedEndpoint>,
    pub(super) surge: bool,
    pub(super) next_client: u32,
    pub(super) checks: Checks,
    pub(super) clients_gone: ClientsGone,
    /// Of all commands.
    pub(super) log: DefaultHasher,
}

/// A new process of a relay, as its settings have it.
pub(super) fn new_relay(relays: usize, local_index: usize, seed: u64, now: Millis) -> Relay {
    let settings = Settings {
        relay_count: relays as u32,
        local_index: local_index as u32,
        peer_messages: true,
        max_attempts: MAX_ATTEMPTS,
        connect_timeout: 200.0,
        resolution: 2.0,
        max_retry_after: Some(RETRY_AFTER_MS),
        initial_capacity_fraction: COLD_CAPACITY_FRACTION,
        warm_up_time: WARM_UP_MS,
        overload_multiple: OVERLOAD_MULTIPLE,
        ..settings()
    };
    Relay::new(settings, CLASSES.map(str::to_owned).to_vec(), seed, now)
}

impl World {
    pub(super) fn new(seed: u64, relays: usize, rate: f64) -> World {
        let endpoint =
            || SimulatedEndpoint { state: EndpointState::Ready, started: 0.0, cold_attempts: Vec::new() };
        let mut world = World {
            rate,
            random: StdRng::seed_from_u64(seed),
            now: START,
            timeline: Timeline::default(),
            relays: Vec::new(),
            endpoints: std::iter::repeat_with(endpoint).take(ENDPOINTS).collect(),
            surge: false,
            next_client: 0,
            checks: Checks::default(),
            clients_gone: ClientsGone::default(),
            log: DefaultHasher::new(),
        };
        for local_index in 0..relays {
            world.add_relay(seed, relays, local_index);
        }
        world.after(0.0, ScheduledEvent::NewClient);
        world.after(FIRST_FAULT_MS, ScheduledEvent::Fault);
        world.after(TICK_MS, ScheduledEvent::Tick);
        world
    }

    fn add_relay(&mut self, seed: u64, relays: usize, local_index: usize) {
        self.relays.push(RelayProcess {
            relay: new_relay(relays, local_index, seed * 64 + local_index as u64, START),
            running: true,
            connections: BTreeMap::new(),
            list: BTreeMap::new(),
            draining: BTreeMap::new(),
            starts: BTreeMap::new(),
            timers: HashMap::new(),
            last_list_at: START,
            descriptors_short: false,
        });
        let all = self.full_list();
        self.receive_list(local_index, ListKind::Cached, all);
    }

    /// Discovery's list.
    pub(super) fn full_list(&self) -> Vec<EndpointEntry> {
        let all = self.endpoints.iter().enumerate();
        let listed = all.filter(|(_, endpoint)| endpoint.state != EndpointState::Removed);
        listed.map(|(i, endpoint)| entry(i, endpoint.state, endpoint.started)).collect()
    }

    pub(super) fn after(&mut self, delay: Millis, event: ScheduledEvent) {
        self.timeline.schedule(self.now + delay, event);
    }

    pub(super) fn violation(&mut self, rule: Rule, what: String) {
        self.checks.violation(self.now, rule, what);
    }

    pub(super) fn check(&mut self, rule: Rule, holds: bool, what: impl FnOnce() -> String) {
        self.checks.check(self.now, rule, holds, what);
    }

    pub(super) fn random_span(&mut self, min: Millis, max: Millis) -> Millis {
        self.random.random_range(min..max)
    }

    pub(super) fn random_exponential(&mut self, mean: Millis) -> Millis {
        -mean * self.random.random_range(1e-9..1.0_f64).ln()
    }

    pub(super) fn random_relay(&mut self) -> usize {
        self.random.random_range(0..self.relays.len())
    }

    /// Calls a relay, carries out what it commands and checks that no connection is forgotten.
    pub(super) fn call(&mut self, relay: usize, call: impl FnOnce(&mut Relay, Millis)) {
        call(&mut self.relays[relay].relay, self.now);
        for command in self.relays[relay].relay.take_commands() {
            format!("{relay} {command:?}").hash(&mut self.log);
            self.run_command(relay, command);
        }
        let process = &self.relays[relay];
        let timer_set = |id: &RequestId| process.timers.get(&id.0).is_some_and(|set| *set > 0);
        let waiting = process.connections.iter().filter(|(_, connection)| connection.is_waiting());
        let lost = waiting.map(|(id, _)| *id).find(|id| !timer_set(id));
        self.check(Rule::GivenUp, lost.is_none(), || format!("{lost:?} is neither answered nor waited for"));
    }

    fn run_command(&mut self, relay: usize, command: Command) {
        match command {
            Command::Connection(id, command) => {
                self.run_connection_command(RequestRef { relay, id }, command);
            }
            Command::SetTimer { after, token } => {
                *self.relays[relay].timers.entry(token).or_default() += 1;
                self.after(after.max(0.0), ScheduledEvent::Timer { relay, token });
            }
            Command::Subscribe => {}
            Command::SendToPeer { peer, message } => {
                let delay = self.random_span(1.0, 30.0);
                if self.random.random_bool(0.9) {
                    let from = relay as u32;
                    self.after(delay, ScheduledEvent::PeerMessage { relay: peer as usize, from, message });
                }
            }
        }
    }

    fn run_connection_command(&mut self, request: RequestRef, command: ConnectionCommand) {
        match command {
            ConnectionCommand::StartAttempt(attempt) => self.start_attempt(request, attempt),
            ConnectionCommand::Reply(reply) => self.receive_reply(request, reply),
            ConnectionCommand::Migrate => self.migrate_client(request),
            // No process hands over in these runs.
            ConnectionCommand::Transfer => {}
        }
    }

    pub(super) fn run_until(&mut self, end: Millis) {
        while let Some((at, event)) = self.timeline.next_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: ScheduledEvent) {
        let faults = self.now < START + FAULTS_MS;
        match event {
            ScheduledEvent::NewClient if faults => self.add_client(),
            ScheduledEvent::Request { relay, client, is_returning } if faults => {
                self.send_request(relay, client, is_returning);
            }
            ScheduledEvent::Established(attempt) => self.establish(attempt),
            ScheduledEvent::AttemptEnds { attempt, outcome } => self.end_attempt(attempt, outcome),
            ScheduledEvent::AttemptTimeout(attempt) => self.end_attempt(attempt, Outcome::TimedOut),
            ScheduledEvent::Deadline(request) => self.pass_deadline(request),
            ScheduledEvent::Close { request, outcome } => self.close(request, outcome),
            ScheduledEvent::ClientLeaves(request) => self.leave(request),
            ScheduledEvent::Timer { relay, token } => {
                self.relays[relay].timers.entry(token).and_modify(|set| *set -= 1);
                self.call(relay, |relay, now| relay.timer_fired(now, token));
            }
            ScheduledEvent::List { relay, kind, entries } if self.relays[relay].running => {
                self.receive_list(relay, kind, entries);
            }
            ScheduledEvent::PeerMessage { relay, from, message } if self.relays[relay].running => {
                self.call(relay, |relay, now| relay.receive_peer_message(now, from, message));
            }
            ScheduledEvent::Tick => self.tick(),
            event => self.handle_fault(event),
        }
    }

    fn tick(&mut self) {
        for relay in 0..self.relays.len() {
            if self.relays[relay].running {
                self.call(relay, |relay, now| relay.tick(now));
            }
        }
        self.after(TICK_MS, ScheduledEvent::Tick);
    }
}
