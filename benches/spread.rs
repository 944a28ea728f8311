//! How far groups scatter over the endpoints when relays restart: with the table lost, from the folder,
//! from the other relays. Four cores of relays in virtual time, 14 endpoints, group sizes by Zipf, packets
//! passing through: a dead relay's connections go on through the others. `cargo bench --bench spread`

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

const RELAYS: u32 = 4;
const ENDPOINTS: usize = 14;
const GROUPS: u64 = 120;
/// New connections a second, and their mean life in seconds.
const RATE: f64 = 12.0;
const LIFE: f64 = 55.0;
/// Unix time of the start, in milliseconds, and the time before anything restarts.
const START: Millis = 1.7e12;
const WARM_UP: Millis = 180_000.0;
/// How long a relay is down.
const DOWN: Millis = 1_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum From {
    /// Nothing restarts: what the spread does by itself.
    Calm,
    Nothing,
    Folder,
    Peers,
}

#[derive(Debug)]
enum Due {
    IncomingRequest,
    Timer(usize, u64, u32),
    Stands(usize, RequestId, u32),
    Ends(u64),
    Message(usize, u32, PeerMessage),
    Kill(usize),
    Start(usize),
}

/// A connection: where it is held, its group, and which relay carries it under which id.
struct Held {
    client: u64,
    group: u64,
    endpoint: EndpointId,
    relay: usize,
    request: RequestId,
}

struct Day {
    now: Millis,
    /// Of arrivals, the same whatever restarts; and of all else.
    dice: StdRng,
    other: StdRng,
    from: From,
    relays: Vec<Option<Relay>>,
    /// How often each has started: timers of an earlier life are void.
    lives: Vec<u32>,
    stores: Vec<BTreeMap<(TableKind, u64), Record>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    due: HashMap<u64, Due>,
    number: u64,
    held: BTreeMap<u64, Held>,
    asked: HashMap<(usize, RequestId), (u64, u64, bool)>,
    connections: u64,
    /// Connections placed since the first restart, and those that brought their group to an endpoint
    /// without it.
    placed: u64,
    copies: u64,
    refused: u64,
    counts: bool,
}

fn settings(local_index: u32, from: From) -> Settings {
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
        peer_messages: from == From::Peers || from == From::Calm,
        packet_passthrough: true,
        max_attempts: 5,
        connect_timeout: 200.0,
        resolution: 2.0,
        max_retry_after: Some(1500.0),
        cold_capacity_fraction: 0.31,
        warm_up_time: 8600.0,
        overload_multiple: 3.0,
        ..Settings::default()
    }
}

fn fleet() -> Vec<EndpointEntry> {
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

impl Day {
    fn new(seed: u64, from: From) -> Day {
        let mut day = Day {
            now: START,
            dice: StdRng::seed_from_u64(seed),
            other: StdRng::seed_from_u64(seed + 1000),
            from,
            relays: (0..RELAYS).map(|_| None).collect(),
            lives: vec![0; RELAYS as usize],
            stores: vec![BTreeMap::new(); RELAYS as usize],
            queue: BinaryHeap::new(),
            due: HashMap::new(),
            number: 0,
            held: BTreeMap::new(),
            asked: HashMap::new(),
            connections: 0,
            placed: 0,
            copies: 0,
            refused: 0,
            counts: false,
        };
        (0..RELAYS as usize).for_each(|at| day.start(at));
        day.after(0.0, Due::IncomingRequest);
        day
    }

    fn after(&mut self, span: Millis, due: Due) {
        self.number += 1;
        // Microseconds, and a number that keeps the order of equal times.
        self.queue.push(Reverse((((self.now + span - START) * 1000.0) as u64, self.number)));
        self.due.insert(self.number, due);
    }

    fn start(&mut self, at: usize) {
        self.lives[at] += 1;
        let seed = self.other.random();
        let mut relay = Relay::new(settings(at as u32, self.from), vec!["c".into()], seed, self.now);
        let kept =
            if self.from == From::Folder { self.stores[at].values().cloned().collect() } else { Vec::new() };
        relay.track_affinity_changes();
        if !kept.is_empty() {
            relay.restore_affinity(self.now, kept.into_iter());
        }
        relay.apply_list(self.now, ListKind::Cached, fleet());
        self.relays[at] = Some(relay);
        self.settle(at);
    }

    /// Its connections go on: their packets arrive at the others.
    fn kill(&mut self, at: usize) {
        self.relays[at] = None;
        let orphans: Vec<u64> = self.held.iter().filter(|(_, h)| h.relay == at).map(|(c, _)| *c).collect();
        for connection in orphans {
            if let Some(h) = self.held.remove(&connection) {
                self.ask(h.client, h.group, true, connection);
            }
        }
    }

    fn ask(&mut self, client: u64, group: u64, mid_flow: bool, connection: u64) {
        let up: Vec<usize> = (0..self.relays.len()).filter(|at| self.relays[*at].is_some()).collect();
        let at = up[self.other.random_range(0..up.len())];
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
        self.asked.insert((at, request), (client, group, mid_flow));
        // The connection's number outlives its relays: its end is set once.
        self.connections = self.connections.max(connection + 1);
        self.asked.entry((at, request)).and_modify(|a| a.0 = client);
        self.connections_by_connection(at, request, connection);
        self.settle(at);
    }

    fn connections_by_connection(&mut self, relay: usize, request: RequestId, connection: u64) {
        let (client, group, _) = self.asked[&(relay, request)];
        let held = Held { client, group, endpoint: EndpointId(Arc::from("")), relay, request };
        self.held.insert(connection, held);
    }

    fn settle(&mut self, at: usize) {
        let Some(relay) = &mut self.relays[at] else { return };
        for command in relay.take_commands() {
            match command {
                Command::Connection(request, ConnectionCommand::StartAttempt(Attempt { endpoint, .. })) => {
                    if let Some(h) = self.held.values_mut().find(|h| h.relay == at && h.request == request) {
                        h.endpoint = endpoint;
                    }
                    let life = self.lives[at];
                    self.after(20.0, Due::Stands(at, request, life));
                }
                Command::Connection(request, ConnectionCommand::Reply(_)) => {
                    self.refused += 1;
                    self.held.retain(|_, h| !(h.relay == at && h.request == request));
                }
                Command::Connection(_, ConnectionCommand::Migrate | ConnectionCommand::Transfer)
                | Command::Subscribe => {}
                Command::SetTimer { after, token } => {
                    self.after(after, Due::Timer(at, token, self.lives[at]))
                }
                Command::SendToPeer { peer, message } => {
                    let delay = self.other.random_range(1.6..32.0);
                    self.after(delay, Due::Message(peer as usize, at as u32, message));
                }
            }
        }
    }

    fn run(&mut self, until: Millis) {
        let zipf = Zipf::new(GROUPS as f64, 0.9).expect("a valid distribution");
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if START + at as f64 / 1000.0 > until {
                break;
            }
            self.queue.pop();
            self.now = START + at as f64 / 1000.0;
            let now = self.now;
            match self.due.remove(&number) {
                Some(Due::IncomingRequest) => {
                    let (client, group) = (self.dice.random(), zipf.sample(&mut self.dice) as u64);
                    let connection = self.connections;
                    self.connections += 1;
                    let life = Exp::new(1.0 / LIFE).expect("a valid rate").sample(&mut self.dice) * 1000.0;
                    self.after(life, Due::Ends(connection));
                    self.ask(client, group, false, connection);
                    let pause = Exp::new(RATE).expect("a valid rate").sample(&mut self.dice) * 1000.0;
                    self.after(pause, Due::IncomingRequest);
                }
                Some(Due::Timer(at, token, life)) if self.lives[at] == life => {
                    if let Some(relay) = &mut self.relays[at] {
                        relay.timer_fired(now, token);
                    }
                    self.settle(at);
                }
                Some(Due::Stands(at, request, life)) if self.lives[at] == life => self.stands(at, request),
                Some(Due::Ends(connection)) => {
                    if let Some(h) = self.held.remove(&connection) {
                        if let Some(relay) = &mut self.relays[h.relay] {
                            relay.attempt_ended(now, h.request, Outcome::Ok);
                        }
                        self.settle(h.relay);
                    }
                }
                Some(Due::Message(to, from, message)) => {
                    if let Some(relay) = &mut self.relays[to] {
                        relay.receive_peer_message(now, from, message);
                    }
                    self.settle(to);
                }
                Some(Due::Kill(at)) => self.kill(at),
                Some(Due::Start(at)) => self.start(at),
                _ => {}
            }
        }
        self.now = until;
    }

    fn stands(&mut self, at: usize, request: RequestId) {
        let now = self.now;
        let Some(relay) = &mut self.relays[at] else { return };
        relay.connection_established(now, request, 20.0);
        // As the writer does, but at once.
        let changes = relay.take_affinity_changes(now, usize::MAX);
        let store = &mut self.stores[at];
        changes.removed.iter().for_each(|key| drop(store.remove(key)));
        store.extend(changes.updated.into_iter().map(|r| (r.key(), r)));
        self.settle(at);
        let Some((_, _, mid_flow)) = self.asked.remove(&(at, request)) else { return };
        let Some(own) = self.held.values().find(|h| h.relay == at && h.request == request) else { return };
        if self.counts && !mid_flow {
            let same = |h: &&Held| h.group == own.group && h.endpoint == own.endpoint;
            self.placed += 1;
            self.copies += u64::from(self.held.values().filter(same).count() == 1);
        }
    }

    /// Endpoints a group, weighted by the group's connections.
    fn spread(&self) -> f64 {
        let mut groups: HashMap<u64, (f64, HashSet<&EndpointId>)> = HashMap::new();
        for h in self.held.values() {
            let (connections, at) = groups.entry(h.group).or_default();
            *connections += 1.0;
            at.insert(&h.endpoint);
        }
        let all: f64 = groups.values().map(|(connections, _)| connections).sum();
        groups.values().map(|(connections, at)| connections * at.len() as f64).sum::<f64>() / all
    }
}

/// Spread before, 5 s and 30 s after the last start; new copies for 100 connections placed until then;
/// connections refused.
fn day(seed: u64, from: From, rolling: bool) -> [f64; 5] {
    let mut day = Day::new(seed, from);
    let end_of_warm_up = START + WARM_UP;
    day.run(end_of_warm_up);
    let before = day.spread();
    day.counts = true;
    let mut last = 0.0;
    if from != From::Calm {
        // One relay, or all of them two seconds after each other.
        for at in 0..if rolling { RELAYS as usize } else { 1 } {
            let kill = 2.0 * DOWN * at as f64;
            day.after(kill, Due::Kill(at));
            day.after(kill + DOWN, Due::Start(at));
            last = kill + DOWN;
        }
    } else {
        last = if rolling { 2.0 * DOWN * f64::from(RELAYS - 1) + DOWN } else { DOWN };
    }
    day.run(end_of_warm_up + last + 5_000.0);
    let soon = day.spread();
    day.run(end_of_warm_up + last + 30_000.0);
    let copies = 100.0 * day.copies as f64 / day.placed.max(1) as f64;
    [before, soon / before, day.spread() / before, copies, day.refused as f64]
}

fn main() {
    const SEEDS: u64 = 9;
    println!(
        "{RELAYS} relays, {ENDPOINTS} streamers, {GROUPS} groups by Zipf 0.9, {RATE}/s, median of {SEEDS} seeds (least to most)"
    );
    println!(
        "{:<34}{:>20}{:>24}{:>24}{:>20}{:>9}",
        "", "spread before", "5 s after / before", "30 s after / before", "copies per 100", "refused"
    );
    for (name, rolling) in [("one relay", false), ("all, one after another", true)] {
        for from in [From::Calm, From::Nothing, From::Folder, From::Peers] {
            let days: Vec<_> = (0..SEEDS).map(|seed| day(seed, from, rolling)).collect();
            let figure = |i: usize| {
                let mut all: Vec<f64> = days.iter().map(|d| d[i]).collect();
                all.sort_by(f64::total_cmp);
                format!("{:.3} ({:.3}-{:.3})", all[all.len() / 2], all[0], all[all.len() - 1])
            };
            let refused: f64 = days.iter().map(|d| d[4]).sum();
            let row = format!("{name}, {from:?}");
            println!(
                "{row:<34}{:>20}{:>24}{:>24}{:>20}{refused:>9}",
                figure(0),
                figure(1),
                figure(2),
                figure(3)
            );
        }
    }
}
