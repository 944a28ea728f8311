//! Pins every decision of the load balancer over a long seeded run as a digest.
//!
//! Clients, endpoints and peers are simulated from fixed seeds, and their events are sent to the real adapter
//! program: lists, requests, outcomes, measurements, peers' messages, and the timers that the adapter has
//! set. The digest of the replies and the counts of events and actions are snapshots. A change that is not
//! meant to alter decisions must not alter the snapshots.

#![allow(clippy::too_many_lines, reason = "one simulation, its steps in order")]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use serde_json::{Value, json};
use xxhash_rust::xxh3::Xxh3;

/// Simulated time between two batches, in ms.
const ROUND_MS: f64 = 8.0;
const ROUNDS: u64 = 2500;
const ENDPOINTS: usize = 12;

/// SplitMix64 (Steele et al. 2014): a few lines whose sequence no library update changes.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

/// The running adapter program and the pipes to it.
struct Adapter {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Adapter {
    fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sandgw-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = child.stdin.take().expect("a pipe");
        let output = BufReader::new(child.stdout.take().expect("a pipe"));
        Adapter { child, input, output }
    }

    /// Sends one batch and returns the reply's lines.
    fn round(&mut self, now: f64, number: u64, events: &[Value]) -> Vec<String> {
        let mut text = format!("{}\n", json!(["ROUND", now, number]));
        for event in events {
            text += &format!("{event}\n");
        }
        text += "[\"GO\"]\n";
        self.input.write_all(text.as_bytes()).expect("the adapter reads");
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            assert!(self.output.read_line(&mut line).expect("a reply") > 0, "the adapter ended");
            let finished = line.starts_with("[\"FINISHED\"");
            lines.push(line);
            if finished {
                return lines;
            }
        }
    }

    fn end(mut self) {
        drop(self.input);
        assert!(self.child.wait().expect("the adapter ends").success());
    }
}

/// A simulated endpoint.
struct Endpoint {
    id: String,
    weight: f64,
    started: f64,
    /// As in the list: 0 removed, 1 ready, 2 draining.
    state: u64,
    /// How the endpoint handles attempts and connections at present.
    condition: Condition,
}

#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Healthy,
    Slow,
    Refusing,
    Resetting,
}

/// An event that is to be delivered to a relay at its time.
struct Pending {
    at: f64,
    /// Order of scheduling, for events that fall due at the same time.
    order: u64,
    event: Value,
    follow_up: FollowUp,
}

/// The change to the simulation once an event has been delivered.
#[derive(Clone)]
enum FollowUp {
    Nothing,
    Established { relay: usize, request: u64, attempt: u64, endpoint: usize },
    Ended { relay: usize, request: u64 },
}

struct Simulation {
    random: Random,
    relays: usize,
    pushed_lists: bool,
    classes: Vec<&'static str>,
    endpoints: Vec<Endpoint>,
    pending: Vec<Pending>,
    order: u64,
    next_request: u64,
    /// Established connections: relay and request to attempt and endpoint.
    established: BTreeMap<(usize, u64), (u64, usize)>,
    open_attempts: BTreeSet<(usize, u64)>,
    attempts: BTreeMap<(usize, u64), u64>,
    clients: BTreeMap<(usize, u64), usize>,
    /// Whether each relay is subscribed to changes of the list.
    subscribed: Vec<bool>,
}

fn instance_name(relay: usize) -> String {
    format!("balancer_{relay}")
}

impl Simulation {
    fn new(seed: u64, relays: usize, pushed_lists: bool, classes: Vec<&'static str>) -> Self {
        let mut random = Random(seed);
        let endpoint = |i: usize| Endpoint {
            id: format!("10.0.{}.{}:80", i / 250, i % 250 + 1),
            weight: [1.0, 2.0, 0.5, 1.5][random.below(4)],
            started: 0.0,
            state: 1,
            condition: Condition::Healthy,
        };
        let endpoints = (0..ENDPOINTS).map(endpoint).collect();
        Simulation {
            random,
            relays,
            pushed_lists,
            classes,
            endpoints,
            pending: Vec::new(),
            order: 0,
            next_request: 1,
            established: BTreeMap::new(),
            open_attempts: BTreeSet::new(),
            attempts: BTreeMap::new(),
            clients: BTreeMap::new(),
            subscribed: vec![pushed_lists; relays],
        }
    }

    fn schedule(&mut self, at: f64, event: Value, follow_up: FollowUp) {
        self.order += 1;
        self.pending.push(Pending { at, order: self.order, event, follow_up });
    }

    fn list(&self, relay: usize, kind: u64, only: Option<usize>) -> Value {
        let chosen = self.endpoints.iter().enumerate().filter(|(i, _)| only.is_none_or(|o| o == *i));
        let rows = chosen.map(|(i, e)| {
            let zone = if i % 2 == 0 { "north" } else { "south" };
            json!([i / 4, e.weight, "kind", e.id, e.started, e.state, zone])
        });
        json!(["MEMBERSHIP", instance_name(relay), kind, 1, rows.collect::<Vec<_>>()])
    }

    /// Changes an endpoint at random: its condition, a drain, a removal, a restart, or its weight.
    fn change_endpoints(&mut self, now: f64) {
        let i = self.random.below(ENDPOINTS);
        match self.random.below(16) {
            0..=3 | 12..=15 => self.endpoints[i].condition = Condition::Healthy,
            4 | 5 => self.endpoints[i].condition = Condition::Slow,
            6 => self.endpoints[i].condition = Condition::Refusing,
            7 => self.endpoints[i].condition = Condition::Resetting,
            8 if self.endpoints.iter().filter(|e| e.state == 1).count() > 6 => self.endpoints[i].state = 2,
            9 if self.endpoints[i].state == 2 => self.endpoints[i].state = 0,
            10 if self.endpoints[i].state != 1 => {
                (self.endpoints[i].state, self.endpoints[i].started) = (1, now);
                self.endpoints[i].condition = Condition::Healthy;
            }
            11 => self.endpoints[i].weight = [1.0, 2.0, 0.0, 3.0][self.random.below(4)],
            _ => {}
        }
        for relay in 0..self.relays {
            let delay = self.random.between(0.0, 300.0);
            if self.subscribed[relay] {
                let event = self.list(relay, 0, Some(i));
                self.schedule(now + delay, event, FollowUp::Nothing);
            }
            if self.subscribed[relay] && !self.pushed_lists && self.random.chance(0.05) {
                self.subscribed[relay] = false;
                let event = json!(["MEMBERSHIP", instance_name(relay), 3, 1, []]);
                self.schedule(now + delay + 1.0, event, FollowUp::Nothing);
            }
        }
    }

    fn schedule_request(&mut self, now: f64, client: usize, returned: bool, mid_flow: bool) {
        let relay = self.random.below(self.relays);
        let id = self.next_request;
        self.next_request += 1;
        let marks = 1 | if returned { 2 } else { 0 } | if mid_flow { 8 } else { 0 };
        // A few groups are large, most are small, and some clients have no group.
        let draw = self.random.unit();
        let group =
            if draw < 0.1 { Value::Null } else { json!(format!("film:{}", (draw.powi(3) * 40.0) as u64)) };
        let class = self.classes[self.random.below(self.classes.len())];
        let key = if self.random.chance(0.05) { Value::Null } else { json!(format!("user:{client}")) };
        let load = self.random.between(1.0, 20.0);
        let time_limit = self.random.between(400.0, 3000.0);
        self.clients.insert((relay, id), client);
        let event = json!([
            "KNOCK",
            instance_name(relay),
            id,
            load,
            null,
            marks,
            now + time_limit,
            group,
            class,
            key
        ]);
        self.schedule(now, event, FollowUp::Nothing);
        if self.random.chance(0.04) {
            let gone = now + self.random.between(1.0, time_limit);
            self.schedule(
                gone,
                json!(["EXPIRED", instance_name(relay), id]),
                FollowUp::Ended { relay, request: id },
            );
        }
    }

    /// Decides the outcome of an attempt.
    fn attempt(&mut self, now: f64, relay: usize, request: u64, endpoint: &str) {
        let attempts = self.attempts.entry((relay, request)).or_default();
        let attempt = *attempts;
        *attempts += 1;
        self.open_attempts.insert((relay, request));
        let at = self.endpoints.iter().position(|e| e.id == endpoint).expect("a listed endpoint");
        let (condition, state) = (self.endpoints[at].condition, self.endpoints[at].state);
        let (ok, setup) = match condition {
            Condition::Healthy => (0.97, self.random.between(5.0, 60.0)),
            Condition::Slow => (0.7, self.random.between(100.0, 900.0)),
            Condition::Refusing => (0.2, self.random.between(1.0, 20.0)),
            Condition::Resetting => (0.4, self.random.between(5.0, 80.0)),
        };
        if state != 0 && self.random.chance(ok) {
            let event = json!(["OPENED", instance_name(relay), request, setup, attempt]);
            self.schedule(
                now + setup,
                event,
                FollowUp::Established { relay, request, attempt, endpoint: at },
            );
            return;
        }
        let outcome = match condition {
            Condition::Healthy => [20, 30, 50][self.random.below(3)],
            Condition::Slow => [20, 40, 40][self.random.below(3)],
            Condition::Refusing => [30, 50, 80][self.random.below(3)],
            Condition::Resetting => [60, 60, 70][self.random.below(3)],
        };
        self.close(now + setup, relay, request, attempt, at, (outcome, false));
    }

    fn close(&mut self, at: f64, relay: usize, request: u64, attempt: u64, to: usize, end: (u64, bool)) {
        let id = &self.endpoints[to].id;
        let event = json!(["CLOSED_ATTEMPT", instance_name(relay), request, id, null, attempt, end.0, end.1]);
        self.schedule(at, event, FollowUp::Ended { relay, request });
    }

    /// Schedules the measurements and the end of an established connection.
    fn establish(&mut self, now: f64, relay: usize, request: u64, attempt: u64, at: usize) {
        self.open_attempts.remove(&(relay, request));
        self.established.insert((relay, request), (attempt, at));
        let duration = self.random.between(200.0, 6000.0);
        let mut when = now;
        while when < now + duration {
            when += self.random.between(150.0, 900.0);
            let slow = self.endpoints[at].condition == Condition::Slow;
            let (kind, level) = match self.random.below(2) {
                0 => (1, self.random.between(500.0, 30_000.0)),
                _ => {
                    (2, if slow { self.random.between(10.0, 150.0) } else { self.random.between(1.0, 21.0) })
                }
            };
            let event = json!(["PROGRESS", instance_name(relay), request, null, null, kind, level]);
            self.schedule(when, event, FollowUp::Nothing);
        }
        let resets = self.endpoints[at].condition == Condition::Resetting || self.random.chance(0.05);
        let (outcome, finished) =
            if resets { (60, self.random.chance(0.3)) } else { ([10, 10, 70][self.random.below(3)], true) };
        self.close(now + duration, relay, request, attempt, at, (outcome, finished));
    }

    /// Removes the events that are due and returns them in order, after applying each one's change.
    fn take_due_events(&mut self, now: f64) -> Vec<Value> {
        let (mut due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| p.at <= now);
        self.pending = later;
        due.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.order.cmp(&b.order)));
        let mut events = Vec::new();
        for Pending { event, follow_up, .. } in due {
            match follow_up {
                FollowUp::Nothing => {}
                FollowUp::Established { relay, request, attempt, endpoint } => {
                    self.establish(now, relay, request, attempt, endpoint);
                }
                FollowUp::Ended { relay, request } => {
                    self.open_attempts.remove(&(relay, request));
                    self.established.remove(&(relay, request));
                }
            }
            events.push(event);
        }
        events
    }

    /// Applies one action of a relay.
    fn apply_action(&mut self, now: f64, action: &Value) {
        let kind = action[0].as_str().expect("a name");
        let who = action[1].as_str().unwrap_or_default();
        let relay: usize = who.trim_start_matches("balancer_").parse().unwrap_or_default();
        let request = action[2].as_u64().unwrap_or_default();
        match kind {
            "DELIVER" => self.attempt(now, relay, request, action[3].as_str().expect("an endpoint")),
            "ARM" => {
                let after = action[2].as_f64().expect("a duration");
                let event = json!(["TICK_DUE", who, action[3]]);
                self.schedule(now + after, event, FollowUp::Nothing);
            }
            "TAIL" => {
                let failed = self.random.chance(0.25);
                self.subscribed[relay] |= !failed;
                let event =
                    if failed { json!(["MEMBERSHIP", who, 3, 1, []]) } else { self.list(relay, 1, None) };
                let delay = self.random.between(20.0, 400.0);
                self.schedule(now + delay, event, FollowUp::Nothing);
            }
            "MOVE" => {
                let Some((attempt, at)) = self.established.remove(&(relay, request)) else { return };
                self.pending.retain(|p| p.event[1] != who || p.event[2] != request);
                let gap = self.random.between(20.0, 200.0);
                self.close(now + gap, relay, request, attempt, at, (70, true));
                let client = self.clients[&(relay, request)];
                self.schedule_request(now + 2.0 * gap, client, true, false);
            }
            "NOT_NOW" | "FAIL" if self.random.chance(0.5) => {
                let client = self.clients[&(relay, request)];
                let gap = self.random.between(50.0, 500.0);
                self.schedule_request(now + gap, client, true, false);
            }
            "MEMO_TO" => {
                let text = &action[3];
                let peer = action[2].as_u64().expect("a number") as usize;
                // Messages to peers that this run does not simulate go to one that it does; some messages are
                // lost or duplicated.
                let to = peer % self.relays;
                let copies = [0, 1, 1, 1, 1, 2][self.random.below(6)];
                for _ in 0..copies {
                    let delay = self.random.between(1.0, 60.0);
                    let event = json!(["MAIL", instance_name(to), relay, text]);
                    self.schedule(now + delay, event, FollowUp::Nothing);
                }
            }
            _ => {}
        }
    }
}

/// Runs a simulation; returns the digest of all replies and the counts of events and actions.
fn simulate(seed: u64, settings: &Value, simulated_relays: usize, classes: Vec<&'static str>) -> String {
    let pushed = settings["discovery"] == "pushed";
    let mut simulation = Simulation::new(seed, simulated_relays, pushed, classes);
    let mut adapter = Adapter::start();
    let mut digest = Xxh3::new();
    let (mut events_by_kind, mut actions_by_kind) =
        (BTreeMap::<String, u64>::new(), BTreeMap::<String, u64>::new());
    let mut now = 100_000.0;
    for round in 0..ROUNDS {
        let mut events = Vec::new();
        if round == 0 {
            for relay in 0..simulated_relays {
                let mut own = settings.clone();
                own["me"] = json!(relay);
                events.push(json!(["START", instance_name(relay), 7 + relay, own]));
                events.push(simulation.list(relay, 2, None));
                for id in 0..3 {
                    let request = 1_000_000 + id;
                    let to = simulation.endpoints[id as usize].id.clone();
                    simulation.clients.insert((relay, request), 5000 + id as usize);
                    simulation.attempts.insert((relay, request), 1);
                    simulation.established.insert((relay, request), (0, id as usize));
                    let class = simulation.classes[0];
                    events.push(json!([
                        "OPEN",
                        instance_name(relay),
                        request,
                        class,
                        null,
                        format!("old:{id}"),
                        now + 9000.0,
                        4.0,
                        "film:1",
                        1,
                        to
                    ]));
                    simulation.close(now + 3000.0, relay, request, 0, id as usize, (10, true));
                }
                events.push(json!(["HEALTH", instance_name(relay), null]));
            }
        }
        // The load alternates between low and high, so that queues fill and empty again.
        let arrivals_per_round = if (round / 300) % 2 == 0 { 0.4 } else { 1.1 };
        while simulation.random.chance(arrivals_per_round / (arrivals_per_round + 1.0)) {
            let client = simulation.random.below(400);
            let mid_flow = settings["domain"]["mode"] == "pass" && simulation.random.chance(0.15);
            let returned = simulation.random.chance(0.1);
            simulation.schedule_request(now, client, returned, mid_flow);
        }
        if simulation.random.chance(0.05) {
            simulation.change_endpoints(now);
        }
        if simulation.random.chance(0.002) {
            let relay = simulation.random.below(simulated_relays);
            events.push(json!(["MAIL", instance_name(relay), 1, "no message of any version"]));
        }
        events.extend(simulation.take_due_events(now));
        for event in &events {
            *events_by_kind.entry(event[0].as_str().expect("a name").to_owned()).or_default() += 1;
        }
        let lines = adapter.round(now, round, &events);
        for line in &lines {
            digest.update(line.as_bytes());
            let action: Value = serde_json::from_str(line).expect("JSON");
            *actions_by_kind.entry(action[0].as_str().expect("a name").to_owned()).or_default() += 1;
            simulation.apply_action(now, &action);
        }
        now += ROUND_MS;
    }
    adapter.end();
    let total: u64 = events_by_kind.values().sum();
    assert!(total >= 10_000, "only {total} events");
    for kind in ["DELIVER", "NOT_NOW", "FAIL", "MOVE", "ARM"] {
        assert!(actions_by_kind.contains_key(kind), "no {kind} among {actions_by_kind:?}");
    }
    let counts = |kinds: &BTreeMap<String, u64>| {
        kinds.iter().map(|(kind, n)| format!("  {kind}: {n}\n")).collect::<String>()
    };
    let (events, actions) = (counts(&events_by_kind), counts(&actions_by_kind));
    format!("digest: {:016x}\nevents:\n{events}actions:\n{actions}", digest.digest())
}

#[test]
fn decisions_with_a_class_that_may_be_repeated_within_a_window() {
    let settings = json!({
        "discovery": "on_request", "nInstances": 4, "resolutionMs": 4.0,
        "lanes": [
            {"name": "keyed", "semantics": "keyed", "group": "zone", "windowMs": 900.0, "aimMs": 300.0, "worth": 3.0},
            {"name": "cell", "semantics": "keyed", "group": "cell", "windowMs": 700.0, "aimMs": 400.0, "worth": 1.0},
            {"name": "unsafe", "semantics": "unsafe", "aimMs": 500.0, "worth": 2.0}
        ],
        "limits": {"maxAttempts": 3, "connectTimeoutMs": 250.0, "peerMessages": true, "retryAfter": true, "maxRetryAfterMs": 800.0},
        "rules": {"askEveryMs": 3000.0, "coldFrom": 0.2, "warmWithinMs": 4000.0, "tipMultiple": 2.0,
                  "spareAttempts": 5, "furtherRatio": 0.2, "resendSpanMs": 2000.0},
        "domain": {"mode": "proxy", "messageAimMs": [60.0, 80.0, 100.0]}
    });
    insta::assert_snapshot!(simulate(11, &settings, 4, vec!["keyed", "cell", "unsafe", "unnamed"]));
}

#[test]
fn decisions_with_pushed_lists() {
    let settings = json!({
        "discovery": "pushed", "nInstances": 3, "resolutionMs": 1.0,
        "lanes": [
            {"name": "safe", "semantics": "safe", "aimMs": 250.0, "worth": 1.0},
            {"name": "all", "semantics": "keyed", "group": "all", "windowMs": 1500.0, "aimMs": 250.0, "worth": 4.0}
        ],
        "limits": {"maxAttempts": 4, "connectTimeoutMs": 200.0, "peerMessages": false, "retryAfter": false},
        "rules": {"askEveryMs": 2000.0, "coldFrom": 0.31, "warmWithinMs": 8600.0, "tipMultiple": 3.0},
        "domain": {"mode": "pass", "messageAimMs": [50.0, 70.0]}
    });
    insta::assert_snapshot!(simulate(23, &settings, 3, vec!["safe", "all"]));
}

#[test]
fn decisions_in_a_tier_of_hundreds() {
    let settings = json!({
        "discovery": "on_request", "nInstances": 300, "resolutionMs": 2.0,
        "lanes": [
            {"name": "a", "semantics": "safe", "aimMs": 500.0, "worth": 1.0},
            {"name": "b", "semantics": "keyed", "group": "cell", "windowMs": 1000.0, "aimMs": 500.0, "worth": 2.0}
        ],
        "limits": {"maxAttempts": 2, "connectTimeoutMs": 300.0, "peerMessages": true, "retryAfter": true, "maxRetryAfterMs": 1000.0},
        "rules": {"askEveryMs": 10000.0, "coldFrom": 0.31, "warmWithinMs": 8600.0, "tipMultiple": 3.0},
        "domain": {"mode": "pass", "messageAimMs": [70.0, 90.0]}
    });
    insta::assert_snapshot!(simulate(37, &settings, 5, vec!["a", "b"]));
}
