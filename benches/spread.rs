//! Measures over how many endpoints groups are spread when relays restart and the affinity table is lost,
//! restored from the folder, or restored from the other relays. Simulates the core of four relays in virtual
//! time, with 14 endpoints, group sizes from a Zipf distribution, and packet passthrough: a stopped relay's
//! connections arrive at the others. Prints one row per scenario. Run it with `cargo bench --bench spread`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use sandgw::policy::api::RequestId;
use sandgw::policy::api::*;
use sandgw::relay::{Attempt, Command, ConnectionCommand, IncomingRequest, Relay};
use sandgw_affinity::Record;
use sandgw_affinity::codec::TableKind;

/// Number of relays.
const RELAYS: u32 = 4;
/// Number of endpoints.
const ENDPOINTS: usize = 14;
/// Number of groups.
const GROUPS: u64 = 120;
/// New connections a second.
const ARRIVALS_PER_S: f64 = 12.0;
/// Mean duration of a connection.
const MEAN_DURATION_S: f64 = 55.0;
/// Unix time of the start.
const START_MS: Millis = 1.7e12;
/// Time before anything restarts.
const WARM_UP_MS: Millis = 180_000.0;
/// How long a relay is down.
const DOWNTIME_MS: Millis = 1_000.0;

/// The source from which a restarted relay restores its affinity table. The names are printed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TableSource {
    /// No relay restarts, which shows how the spread changes over time alone.
    Calm,
    /// The table is lost.
    Nothing,
    /// The relay's folder.
    Folder,
    /// The other relays.
    Peers,
}

/// An event of the simulation.
#[derive(Debug)]
enum Event {
    IncomingRequest,
    Timer(usize, u64, u32),
    Established(usize, RequestId, u32),
    ConnectionEnds(u64),
    Message(usize, u32, PeerMessage),
    Kill(usize),
    Start(usize),
}

/// A request whose connection is not established yet.
struct PendingRequest {
    mid_flow: bool,
}

/// A connection, its endpoint, and the relay that serves it with its id there.
struct ActiveConnection {
    client: u64,
    group: u64,
    endpoint: EndpointId,
    relay: usize,
    request: RequestId,
}

struct Simulation {
    now: Millis,
    /// Draws arrivals: the same ones in every scenario of a seed.
    arrivals_rng: StdRng,
    /// Draws everything else.
    rng: StdRng,
    source: TableSource,
    relays: Vec<Option<Relay>>,
    /// How often each relay has started: timers of an earlier incarnation are ignored.
    incarnations: Vec<u32>,
    stores: Vec<BTreeMap<(TableKind, u64), Record>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    /// Number of the event scheduled last.
    last_event: u64,
    /// Connections by number.
    active: BTreeMap<u64, ActiveConnection>,
    /// Requests without an established connection, by relay and request.
    pending: HashMap<(usize, RequestId), PendingRequest>,
    connections: u64,
    /// Connections placed since the first restart, and `copies`: those that brought their group to an
    /// endpoint without it.
    placed: u64,
    copies: u64,
    rejected: u64,
    /// Whether placed connections are counted.
    counting: bool,
}

fn settings(local_index: u32, source: TableSource) -> Settings {
    Settings {
        classes: vec![Class {
            idempotency: Idempotency::Safe,
            latency_objective: 500.0,
            message_latency_objective: Some(150.0),
            priority_weight: 1.0,
        }],
        discovery: Discovery::OnRequest,
        relay_count: RELAYS,
        local_index,
        peer_messages: source == TableSource::Peers || source == TableSource::Calm,
        packet_passthrough: true,
        max_attempts: 5,
        connect_timeout: 200.0,
        resolution: 2.0,
        max_retry_after: Some(1500.0),
        initial_capacity_fraction: 0.31,
        warm_up_time: 8600.0,
        overload_multiple: 3.0,
        ..Settings::default()
    }
}

fn endpoint_list() -> Vec<EndpointEntry> {
    let entry = |i| EndpointEntry {
        id: EndpointId(Arc::from(format!("10.0.0.{i}:8443"))),
        state: EndpointState::Ready,
        weight: 1.0,
        started: 0.0,
        zone: Zone::default(),
        cell: 0,
    };
    (0..ENDPOINTS).map(entry).collect()
}

impl Simulation {
    fn new(seed: u64, source: TableSource) -> Simulation {
        let mut simulation = Simulation {
            now: START_MS,
            arrivals_rng: StdRng::seed_from_u64(seed),
            rng: StdRng::seed_from_u64(seed + 1000),
            source,
            relays: (0..RELAYS).map(|_| None).collect(),
            incarnations: vec![0; RELAYS as usize],
            stores: vec![BTreeMap::new(); RELAYS as usize],
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            active: BTreeMap::new(),
            pending: HashMap::new(),
            connections: 0,
            placed: 0,
            copies: 0,
            rejected: 0,
            counting: false,
        };
        (0..RELAYS as usize).for_each(|at| simulation.start(at));
        simulation.schedule(0.0, Event::IncomingRequest);
        simulation
    }

    fn schedule(&mut self, delay: Millis, event: Event) {
        self.last_event += 1;
        // The time in microseconds, and a number that keeps the order of events with equal times.
        self.queue.push(Reverse((((self.now + delay - START_MS) * 1000.0) as u64, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn start(&mut self, at: usize) {
        self.incarnations[at] += 1;
        let seed = self.rng.random();
        let mut relay = Relay::new(settings(at as u32, self.source), vec!["c".into()], seed, self.now);
        let stored = if self.source == TableSource::Folder {
            self.stores[at].values().cloned().collect()
        } else {
            Vec::new()
        };
        relay.track_affinity_changes();
        if !stored.is_empty() {
            relay.restore_affinity(self.now, stored.into_iter());
        }
        relay.apply_list(self.now, ListKind::Cached, endpoint_list());
        self.relays[at] = Some(relay);
        self.run_commands(at);
    }

    /// Stops a relay. Its connections' packets arrive at the other relays.
    fn kill(&mut self, at: usize) {
        self.relays[at] = None;
        let connections: Vec<u64> =
            self.active.iter().filter(|(_, h)| h.relay == at).map(|(c, _)| *c).collect();
        for connection in connections {
            if let Some(h) = self.active.remove(&connection) {
                self.send_request(h.client, h.group, true, connection);
            }
        }
    }

    fn send_request(&mut self, client: u64, group: u64, mid_flow: bool, connection: u64) {
        let up: Vec<usize> = (0..self.relays.len()).filter(|at| self.relays[*at].is_some()).collect();
        let at = up[self.rng.random_range(0..up.len())];
        let arrival = IncomingRequest {
            class: "c".into(),
            client: Some(Key(Arc::from(format!("client-{client}")))),
            group: Some(Key(Arc::from(format!("video-{group}/track")))),
            deadline: self.now + 3000.0,
            mid_flow,
            ..IncomingRequest::default()
        };
        let now = self.now;
        let Some(relay) = &mut self.relays[at] else { return };
        let request = relay.accept_request(now, arrival);
        self.pending.insert((at, request), PendingRequest { mid_flow });
        // A connection keeps its number when it moves to another relay: its end is scheduled once.
        self.connections = self.connections.max(connection + 1);
        let endpoint = EndpointId(Arc::from(""));
        let active = ActiveConnection { client, group, endpoint, relay: at, request };
        self.active.insert(connection, active);
        self.run_commands(at);
    }

    fn run_commands(&mut self, at: usize) {
        let Some(relay) = &mut self.relays[at] else { return };
        for command in relay.take_commands() {
            match command {
                Command::Connection(request, ConnectionCommand::StartAttempt(Attempt { endpoint, .. })) => {
                    if let Some(h) = self.active.values_mut().find(|h| h.relay == at && h.request == request)
                    {
                        h.endpoint = endpoint;
                    }
                    let incarnation = self.incarnations[at];
                    self.schedule(20.0, Event::Established(at, request, incarnation));
                }
                Command::Connection(request, ConnectionCommand::Reply(_)) => {
                    self.rejected += 1;
                    self.active.retain(|_, h| !(h.relay == at && h.request == request));
                }
                Command::Connection(_, ConnectionCommand::Migrate | ConnectionCommand::Transfer)
                | Command::Subscribe => {}
                Command::SetTimer { after, token } => {
                    self.schedule(after, Event::Timer(at, token, self.incarnations[at]))
                }
                Command::SendToPeer { peer, message } => {
                    let delay = self.rng.random_range(1.6..32.0);
                    self.schedule(delay, Event::Message(peer as usize, at as u32, message));
                }
            }
        }
    }

    fn run(&mut self, until: Millis) {
        let zipf = Zipf::new(GROUPS as f64, 0.9).expect("a valid distribution");
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if START_MS + at as f64 / 1000.0 > until {
                break;
            }
            self.queue.pop();
            self.now = START_MS + at as f64 / 1000.0;
            let now = self.now;
            match self.events.remove(&number) {
                Some(Event::IncomingRequest) => {
                    let client = self.arrivals_rng.random();
                    let group = zipf.sample(&mut self.arrivals_rng) as u64;
                    let connection = self.connections;
                    self.connections += 1;
                    let duration =
                        Exp::new(1.0 / MEAN_DURATION_S).expect("a valid rate").sample(&mut self.arrivals_rng)
                            * 1000.0;
                    self.schedule(duration, Event::ConnectionEnds(connection));
                    self.send_request(client, group, false, connection);
                    let pause =
                        Exp::new(ARRIVALS_PER_S).expect("a valid rate").sample(&mut self.arrivals_rng)
                            * 1000.0;
                    self.schedule(pause, Event::IncomingRequest);
                }
                Some(Event::Timer(at, token, incarnation)) if self.incarnations[at] == incarnation => {
                    if let Some(relay) = &mut self.relays[at] {
                        relay.timer_fired(now, token);
                    }
                    self.run_commands(at);
                }
                Some(Event::Established(at, request, incarnation))
                    if self.incarnations[at] == incarnation =>
                {
                    self.establish(at, request);
                }
                Some(Event::ConnectionEnds(connection)) => {
                    if let Some(h) = self.active.remove(&connection) {
                        if let Some(relay) = &mut self.relays[h.relay] {
                            relay.attempt_ended(now, h.request, Outcome::Ok);
                        }
                        self.run_commands(h.relay);
                    }
                }
                Some(Event::Message(to, from, message)) => {
                    if let Some(relay) = &mut self.relays[to] {
                        relay.receive_peer_message(now, from, message);
                    }
                    self.run_commands(to);
                }
                Some(Event::Kill(at)) => self.kill(at),
                Some(Event::Start(at)) => self.start(at),
                _ => {}
            }
        }
        self.now = until;
    }

    fn establish(&mut self, at: usize, request: RequestId) {
        let now = self.now;
        let Some(relay) = &mut self.relays[at] else { return };
        relay.connection_established(now, request, 20.0);
        // The real relay's state writer stores the changes in the same way, with a delay.
        let changes = relay.take_affinity_changes(now, usize::MAX);
        let store = &mut self.stores[at];
        changes.removed.iter().for_each(|key| drop(store.remove(key)));
        store.extend(changes.updated.into_iter().map(|r| (r.key(), r)));
        self.run_commands(at);
        let Some(PendingRequest { mid_flow }) = self.pending.remove(&(at, request)) else { return };
        let Some(placed) = self.active.values().find(|h| h.relay == at && h.request == request) else {
            return;
        };
        if self.counting && !mid_flow {
            let same = |h: &&ActiveConnection| h.group == placed.group && h.endpoint == placed.endpoint;
            self.placed += 1;
            self.copies += u64::from(self.active.values().filter(same).count() == 1);
        }
    }

    /// The mean number of endpoints per group, weighted by the group's connections.
    fn spread(&self) -> f64 {
        let mut groups: HashMap<u64, (f64, HashSet<&EndpointId>)> = HashMap::new();
        for h in self.active.values() {
            let (connections, at) = groups.entry(h.group).or_default();
            *connections += 1.0;
            at.insert(&h.endpoint);
        }
        let all: f64 = groups.values().map(|(connections, _)| connections).sum();
        groups.values().map(|(connections, at)| connections * at.len() as f64).sum::<f64>() / all
    }
}

/// The figures of one scenario.
struct Figures {
    /// Spread before the first restart.
    spread_before: f64,
    /// Spread 5 s after the last start, as a multiple of the spread before.
    spread_after_5_s: f64,
    /// Spread 30 s after the last start, as a multiple of the spread before.
    spread_after_30_s: f64,
    /// Connections that brought their group to another endpoint, per 100 connections placed.
    copies_per_100: f64,
    /// Rejected connections.
    rejected: f64,
}

fn run_scenario(seed: u64, source: TableSource, rolling: bool) -> Figures {
    let mut simulation = Simulation::new(seed, source);
    let end_of_warm_up = START_MS + WARM_UP_MS;
    simulation.run(end_of_warm_up);
    let before = simulation.spread();
    simulation.counting = true;
    let mut last = 0.0;
    if source != TableSource::Calm {
        // One relay restarts, or all of them at intervals of two seconds.
        for at in 0..if rolling { RELAYS as usize } else { 1 } {
            let kill = 2.0 * DOWNTIME_MS * at as f64;
            simulation.schedule(kill, Event::Kill(at));
            simulation.schedule(kill + DOWNTIME_MS, Event::Start(at));
            last = kill + DOWNTIME_MS;
        }
    } else {
        last = if rolling { 2.0 * DOWNTIME_MS * f64::from(RELAYS - 1) + DOWNTIME_MS } else { DOWNTIME_MS };
    }
    simulation.run(end_of_warm_up + last + 5_000.0);
    let after_5_s = simulation.spread();
    simulation.run(end_of_warm_up + last + 30_000.0);
    let copies = 100.0 * simulation.copies as f64 / simulation.placed.max(1) as f64;
    Figures {
        spread_before: before,
        spread_after_5_s: after_5_s / before,
        spread_after_30_s: simulation.spread() / before,
        copies_per_100: copies,
        rejected: simulation.rejected as f64,
    }
}

fn main() {
    const SEEDS: u64 = 9;
    println!(
        "{RELAYS} relays, {ENDPOINTS} endpoints, {GROUPS} groups by Zipf 0.9, {ARRIVALS_PER_S}/s, median of {SEEDS} seeds (least to most)"
    );
    println!(
        "{:<34}{:>20}{:>24}{:>24}{:>20}{:>9}",
        "", "spread before", "5 s after / before", "30 s after / before", "copies per 100", "rejected"
    );
    for (name, rolling) in [("one relay", false), ("all, one after another", true)] {
        for source in [TableSource::Calm, TableSource::Nothing, TableSource::Folder, TableSource::Peers] {
            let figures: Vec<_> = (0..SEEDS).map(|seed| run_scenario(seed, source, rolling)).collect();
            let median_and_range = |figure: fn(&Figures) -> f64| {
                let mut all: Vec<f64> = figures.iter().map(figure).collect();
                all.sort_by(f64::total_cmp);
                format!("{:.3} ({:.3}-{:.3})", all[all.len() / 2], all[0], all[all.len() - 1])
            };
            let rejected: f64 = figures.iter().map(|f| f.rejected).sum();
            let row = format!("{name}, {source:?}");
            println!(
                "{row:<34}{:>20}{:>24}{:>24}{:>20}{rejected:>9}",
                median_and_range(|f| f.spread_before),
                median_and_range(|f| f.spread_after_5_s),
                median_and_range(|f| f.spread_after_30_s),
                median_and_range(|f| f.copies_per_100)
            );
        }
    }
}
