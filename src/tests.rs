//! Tests of the load balancer alone: the table, the four rules over generated events, and each failure found.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::policy::api::*;
use crate::policy::hashing::SLOTS;
use crate::policy::load_balancer::{LoadBalancer, fill};
use crate::policy::state::Endpoint;
use crate::relay::{Command, ConnectionCommand, IncomingRequest, LocalReply, Relay};

// --- the table ---

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("10.0.{i}.7:80")).collect()
}

fn shares(table: &[u16], n: usize) -> Vec<usize> {
    let mut counts = vec![0; n];
    table.iter().for_each(|at| counts[usize::from(*at)] += 1);
    counts
}

#[test]
fn table_is_full_and_fair() {
    for n in [1, 2, 3, 12, 100] {
        let names = names(n);
        let endpoints: Vec<_> = names.iter().map(|id| (id.as_str(), 1.0)).collect();
        let table = fill(&endpoints);
        assert_eq!(table.len(), SLOTS);
        let counts = shares(&table, n);
        assert!(counts.iter().max().unwrap() - counts.iter().min().unwrap() <= 1, "{n} servers: {counts:?}");
    }
    assert!(fill(&[]).is_empty());
}

#[test]
fn table_follows_weights() {
    let table = fill(&[("a", 1.0), ("b", 1.5), ("c", 3.0), ("d", 0.0)]);
    let counts = shares(&table, 4);
    for (count, wanted) in counts.iter().zip([1.0, 1.5, 3.0, 0.0]) {
        assert!((*count as f64 - wanted / 5.5 * SLOTS as f64).abs() <= 4.0, "{counts:?}");
    }
    // No weight at all counts as equal weights.
    let counts = shares(&fill(&[("a", 0.0), ("b", 0.0)]), 2);
    assert!(counts[0].abs_diff(counts[1]) <= 1);
}

#[test]
fn removal_moves_few_keys_of_the_others() {
    let names = names(12);
    let all: Vec<_> = names.iter().map(|id| (id.as_str(), 1.0)).collect();
    let before = fill(&all);
    let less = [&all[..5], &all[6..]].concat();
    let after = fill(&less);
    let moved = (0..SLOTS)
        .filter(|i| before[*i] != 5 && all[usize::from(before[*i])] != less[usize::from(after[*i])]);
    let share = moved.count() as f64 / SLOTS as f64;
    assert!(share < 0.05, "{share} of the slots moved without need");
}

// --- a small world around one balancer ---

impl LoadBalancer {
    /// Nothing is counted of any connection any more.
    pub(crate) fn at_rest(&self) -> bool {
        let ledger = &self.ledger;
        let empty = |s: &Endpoint| s.conns.is_empty() && s.load == 0.0 && s.state != EndpointState::Removed;
        ledger.conns.is_empty()
            && ledger.trying == 0
            && ledger.endpoints.values().all(empty)
            && ledger.total.abs() < 1e-6
    }
}

pub(crate) fn endpoint(i: usize) -> EndpointId {
    EndpointId(Arc::from(format!("s{i}")))
}

pub(crate) fn entry(i: usize, state: EndpointState, started: Millis) -> EndpointEntry {
    let zone = Zone(Arc::from(if i.is_multiple_of(2) { "even" } else { "odd" }));
    EndpointEntry { id: endpoint(i), state, weight: 1.0, started, zone, cell: (i % 3) as u64 }
}

fn class(repeat: Idempotency) -> Class {
    Class {
        idempotency: repeat,
        latency_objective: 300.0,
        message_latency_objective: Some(60.0),
        priority_weight: 1.0,
    }
}

fn keyed(group: DeduplicationScope) -> Class {
    class(Idempotency::Keyed { scope: group, window: 900.0 })
}

pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Safe),
            keyed(DeduplicationScope::All),
            keyed(DeduplicationScope::Zone),
            keyed(DeduplicationScope::Cell),
            class(Idempotency::Unsafe),
        ],
        discovery: Discovery::OnRequest,
        relay_count: 3,
        max_attempts: 4,
        resolution: 4.0,
        ..Settings::default()
    }
}

struct Attempt {
    endpoint: EndpointId,
    sent: Millis,
    until: Millis,
    open: bool,
    ended: Option<Outcome>,
}

/// Independent books: what was asked, sent and answered.
struct Ask {
    class: Option<usize>,
    deadline: Millis,
    attempts: Vec<Attempt>,
    answered: bool,
    /// The client left, or the stream ended: nothing is owed, nothing may be sent.
    over: bool,
}

struct World {
    load_balancer: LoadBalancer,
    settings: Settings,
    now: Millis,
    asks: BTreeMap<RequestId, Ask>,
    timers: Vec<(Millis, u64)>,
    list: BTreeMap<EndpointId, EndpointEntry>,
    cold_sends: BTreeMap<EndpointId, Millis>,
    taken: Vec<Millis>,
    further: Vec<Millis>,
    log: Vec<Action>,
}

pub(crate) const START: Millis = 100_000.0;

impl World {
    fn new(settings: Settings, endpoints: &[EndpointEntry]) -> Self {
        let mut world = World {
            load_balancer: LoadBalancer::new(settings.clone(), 7, START),
            settings,
            now: START,
            asks: BTreeMap::new(),
            timers: Vec::new(),
            list: BTreeMap::new(),
            cold_sends: BTreeMap::new(),
            taken: Vec::new(),
            further: Vec::new(),
            log: Vec::new(),
        };
        world.give_list(ListKind::Cached, endpoints);
        world
    }

    fn give_list(&mut self, kind: ListKind, endpoints: &[EndpointEntry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.list.clear();
        }
        self.list.extend(endpoints.iter().map(|e| (e.id.clone(), e.clone())));
        self.handle(Event::List { kind, endpoints: endpoints.to_vec() });
    }

    fn ask(&mut self, id: u64, class: Option<usize>, group: Option<&str>, client: &str, within: Millis) {
        self.arrive(Request {
            id: RequestId(id),
            class: class.map(ClassId),
            client: Some(Key(Arc::from(client))),
            group: group.map(|g| Key(Arc::from(g))),
            deadline: self.now + within,
            setup_time_used: 0.0,
            drained_by_endpoint: true,
            load: None,
            mid_flow: false,
            returned: false,
        });
    }

    fn arrive(&mut self, request: Request) {
        let (class, deadline) = (request.class.map(|c| c.0), request.deadline);
        self.taken.push(self.now);
        let ask = Ask { class, deadline, attempts: Vec::new(), answered: false, over: false };
        self.asks.insert(request.id, ask);
        self.handle(Event::Request(request));
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.load_balancer.handle(self.now, event, &mut out);
        for action in &out {
            self.check(action);
        }
        self.log.extend(out);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { request, endpoint, until, .. } => {
                let ask = self.asks.get_mut(request).expect("a send for a request that was never given");
                assert!(!ask.answered && !ask.over, "a send after the end");
                assert!(ask.attempts.iter().all(|a| a.ended.is_some()), "two attempts at once");
                assert!(ask.attempts.len() < self.settings.max_attempts as usize, "too many attempts");
                assert!(*until <= ask.deadline, "an attempt past the deadline");
                if let Some(budget) = self.settings.retry_budget.filter(|_| !ask.attempts.is_empty()) {
                    self.further.push(self.now);
                    let start = self.now - budget.window;
                    let further = self.further.iter().filter(|at| **at >= start).count();
                    let taken = self.taken.iter().filter(|at| **at > start).count();
                    let allowed = budget.min_retries + budget.retry_ratio * taken as f64;
                    assert!(further as f64 <= allowed, "{further} further attempts of {allowed}");
                }
                let entry = self.list.get(endpoint).expect("a send to a server that was never listed");
                assert_eq!(entry.state, EndpointState::Ready, "a send to a draining or gone server");
                let ran = ask.attempts.iter().find(|a| a.ended.is_some_and(Outcome::may_have_run));
                if let Some(first) = ran {
                    match ask.class.map(|c| self.settings.classes[c].idempotency) {
                        Some(Idempotency::Safe) => {}
                        Some(Idempotency::Keyed { scope: group, window }) => {
                            assert!(self.now - first.sent <= window, "a repeat after the window");
                            let place = |id: &EndpointId| {
                                let i: usize = id.0[1..].parse().unwrap();
                                match group {
                                    DeduplicationScope::All => 0,
                                    DeduplicationScope::Zone => i % 2,
                                    DeduplicationScope::Cell => i % 3,
                                }
                            };
                            assert_eq!(
                                place(&first.endpoint),
                                place(endpoint),
                                "a repeat outside of its group"
                            );
                        }
                        _ => panic!("an unsafe request was sent again"),
                    }
                }
                if entry.started > 0.0 && self.now - entry.started < self.settings.warm_up_time {
                    let last = self.cold_sends.insert(endpoint.clone(), self.now);
                    let asks = self.asks.values();
                    let held = asks.filter(|a| a.attempts.iter().any(|a| a.ended.is_none())).count();
                    let pause =
                        self.settings.warm_up_time / self.settings.overload_multiple / (held + 1) as f64;
                    let gap = self.now - last.unwrap_or(f64::NEG_INFINITY);
                    assert!(gap >= pause * 0.9, "cold server sent to again after {gap} ms, {held} held");
                }
                let attempt = Attempt {
                    endpoint: endpoint.clone(),
                    sent: self.now,
                    until: *until,
                    open: false,
                    ended: None,
                };
                self.asks.get_mut(request).unwrap().attempts.push(attempt);
            }
            Action::Reject { request, .. } => {
                self.answer(*request);
                let ask = &self.asks[request];
                let ran = ask.attempts.iter().any(|a| a.ended.is_some_and(Outcome::may_have_run));
                let everywhere = match ask.class.map(|c| self.settings.classes[c].idempotency) {
                    Some(Idempotency::Safe) => true,
                    Some(Idempotency::Keyed { scope: group, .. }) => group == DeduplicationScope::All,
                    _ => false,
                };
                assert!(!ran || everywhere, "a refusal of what may have run");
            }
            Action::Fail(request) => self.answer(*request),
            Action::Migrate(request) => {
                assert!(self.asks[request].attempts.last().is_some_and(|a| a.open && a.ended.is_none()));
            }
            Action::SetTimer { after, token } => {
                assert!(*after >= 0.0);
                self.timers.push((self.now + after, *token));
            }
            Action::Subscribe | Action::SendToPeer { .. } => {}
        }
    }

    fn answer(&mut self, id: RequestId) {
        let ask = self.asks.get_mut(&id).expect("an answer to a request that was never given");
        assert!(!ask.answered && !ask.over, "a second answer");
        assert!(self.now <= ask.deadline + 16.0, "an answer {} ms late", self.now - ask.deadline);
        assert!(ask.attempts.iter().all(|a| a.ended.is_some()), "an answer with an attempt out");
        ask.answered = true;
    }

    /// The `pick`-th request with an attempt out that is (not) open.
    fn out(&self, pick: usize, open: bool) -> Option<RequestId> {
        let is = |a: &Ask| a.attempts.last().is_some_and(|t| t.ended.is_none() && t.open == open);
        let ids: Vec<_> = self.asks.iter().filter(|(_, a)| is(a)).map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[pick % ids.len()])
    }

    fn establish(&mut self, id: RequestId, elapsed: Millis) {
        let ask = self.asks.get_mut(&id).unwrap();
        ask.attempts.last_mut().unwrap().open = true;
        let attempt = AttemptId(ask.attempts.len() as u32 - 1);
        self.handle(Event::Established { request: id, attempt, elapsed });
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let ask = self.asks.get_mut(&id).unwrap();
        let attempt = AttemptId(ask.attempts.len() as u32 - 1);
        let last = ask.attempts.last_mut().unwrap();
        last.ended = Some(outcome);
        let (endpoint, finished) = (last.endpoint.clone(), last.open || outcome == Outcome::Ok || ask.over);
        ask.over |= finished;
        self.handle(Event::AttemptEnded { request: id, attempt, endpoint, outcome, finished });
    }

    fn expire(&mut self, id: RequestId) {
        self.asks.get_mut(&id).unwrap().over = true;
        self.handle(Event::ClientGone(id));
    }

    /// Lets time pass in readings of the clock: time-outs and timers come due.
    fn pass(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += self.settings.resolution;
            let now = self.now;
            let late =
                |a: &Ask| a.attempts.last().is_some_and(|t| t.ended.is_none() && !t.open && t.until <= now);
            let late: Vec<_> = self.asks.iter().filter(|(_, a)| late(a)).map(|(id, _)| *id).collect();
            late.into_iter().for_each(|id| self.end(id, Outcome::TimedOut));
            let due: Vec<_> = self.timers.extract_if(.., |(at, _)| *at <= now).collect();
            due.into_iter().for_each(|(_, token)| self.handle(Event::Timer(token)));
        }
    }

    /// All is answered, and nothing of it is left behind.
    fn finish(&mut self) {
        self.pass(4000.0);
        while let Some(id) = self.out(0, true) {
            self.end(id, Outcome::Ok);
        }
        assert!(self.asks.values().all(|a| a.answered || a.over), "a request without an answer");
        assert!(self.load_balancer.at_rest());
        assert!(self.timers.len() < 20, "timers pile up");
    }

    fn sends(&self, id: u64) -> Vec<EndpointId> {
        self.asks[&RequestId(id)].attempts.iter().map(|a| a.endpoint.clone()).collect()
    }
}

// --- the four rules over generated events ---

#[derive(Clone, Debug)]
enum Step {
    Ask { class: usize, group: Option<u8>, client: u8, within: u16 },
    Pass(u16),
    Establish(usize, u16),
    End(usize, usize),
    Close(usize, usize),
    Expire(usize),
    List(usize, usize),
    Full(u8),
    ListFails,
    Slow(usize, u16),
}

fn step() -> impl Strategy<Value = Step> {
    let ask = (0..6usize, prop::option::of(0..3u8), any::<u8>(), 0..2500u16)
        .prop_map(|(class, group, client, within)| Step::Ask { class, group, client, within });
    prop_oneof![
        6 => ask,
        3 => (1..600u16).prop_map(Step::Pass),
        3 => (any::<usize>(), 0..900u16).prop_map(|(i, t)| Step::Establish(i, t)),
        4 => (any::<usize>(), 0..8usize).prop_map(|(i, o)| Step::End(i, o)),
        1 => (any::<usize>(), 0..3usize).prop_map(|(i, o)| Step::Close(i, o)),
        1 => any::<usize>().prop_map(Step::Expire),
        1 => (0..6usize, 0..4usize).prop_map(|(i, s)| Step::List(i, s)),
        1 => any::<u8>().prop_map(Step::Full),
        1 => Just(Step::ListFails),
        2 => (any::<usize>(), 1..200u16).prop_map(|(i, l)| Step::Slow(i, l)),
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Ok,
];

fn play(steps: &[Step], settings: Settings) -> Vec<Action> {
    let ready: Vec<_> = (0..4).map(|i| entry(i, EndpointState::Ready, 0.0)).collect();
    let mut world = World::new(settings, &ready);
    let mut next = 0;
    for step in steps {
        match step.clone() {
            Step::Ask { class, group, client, within } => {
                next += 1;
                let class = (class < 5).then_some(class);
                let group = group.map(|g| format!("g{g}"));
                world.ask(next, class, group.as_deref(), &format!("c{client}"), within.into());
            }
            Step::Pass(span) => world.pass(span.into()),
            Step::Establish(i, took) => {
                if let Some(id) = world.out(i, false) {
                    world.establish(id, took.into());
                }
            }
            Step::End(i, outcome) => {
                if let Some(id) = world.out(i, false) {
                    world.end(id, OUTCOMES[outcome]);
                }
            }
            Step::Close(i, outcome) => {
                if let Some(id) = world.out(i, true) {
                    world.end(id, [Outcome::Ok, Outcome::Reset, Outcome::Cancelled][outcome]);
                }
            }
            Step::Expire(i) => {
                if let Some(id) = world.out(i, false) {
                    world.expire(id);
                }
            }
            Step::List(i, state) => {
                let now = world.now;
                let entry = match state {
                    0 => entry(i, EndpointState::Draining, 0.0),
                    1 => entry(i, EndpointState::Removed, 0.0),
                    2 => entry(i, EndpointState::Ready, 0.0),
                    _ => entry(i, EndpointState::Ready, now),
                };
                world.give_list(ListKind::Delta, &[entry]);
            }
            Step::Full(mask) => {
                let some: Vec<_> = (0..6).filter(|i| mask & (1 << i) != 0).collect();
                let some: Vec<_> = some.into_iter().map(|i| entry(i, EndpointState::Ready, 0.0)).collect();
                world.give_list(ListKind::Full, &some);
            }
            Step::ListFails => world.handle(Event::List { kind: ListKind::Failed, endpoints: Vec::new() }),
            Step::Slow(i, level) => {
                if let Some(request) = world.out(i, true) {
                    world.handle(Event::Measured {
                        request,
                        measurement: Measurement::MessageDelay(level.into()),
                    });
                }
            }
        }
    }
    world.finish();
    world.log
}

#[test]
fn generated_events_keep_the_rules_and_repeat_exactly() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = prop::collection::vec(step(), 1..120);
    let outcome = runner.run(&steps, |steps| {
        prop_assert_eq!(play(&steps, settings()), play(&steps, settings()));
        for (window, free, share) in [(1500.0, 1.0, 0.05), (700.0, 0.0, 0.5), (4000.0, 2.0, 0.0)] {
            play(
                &steps,
                Settings {
                    retry_budget: Some(RetryBudget { window, min_retries: free, retry_ratio: share }),
                    ..settings()
                },
            );
        }
        Ok(())
    });
    outcome.unwrap();
}

// --- the ordinary path ---

fn ready(n: usize) -> Vec<EndpointEntry> {
    (0..n).map(|i| entry(i, EndpointState::Ready, 0.0)).collect()
}

#[test]
fn balancers_place_a_key_alike_whatever_the_order_of_their_lists() {
    let mut list = ready(9);
    let mut one = World::new(settings(), &list);
    list.reverse();
    list.push(list[0].clone());
    let mut other = World::new(settings(), &list);
    for id in 0..200 {
        let client = format!("c{id}");
        one.ask(id, Some(0), None, &client, 2000.0);
        other.ask(id, Some(0), None, &client, 2000.0);
        assert_eq!(one.sends(id), other.sends(id));
        // Without load there is no exception, and a group decides in place of the client.
        one.end(RequestId(id), Outcome::Ok);
        other.end(RequestId(id), Outcome::Ok);
    }
    let used: BTreeSet<_> = (0..200).flat_map(|id| one.sends(id)).collect();
    assert_eq!(used.len(), 9);
    for id in 200..220 {
        one.ask(id, Some(0), Some("form"), &format!("c{id}"), 2000.0);
        one.end(RequestId(id), Outcome::Ok);
    }
    let used: BTreeSet<_> = (200..220).flat_map(|id| one.sends(id)).collect();
    assert_eq!(used.len(), 1);
}

#[test]
fn an_empty_list_holds_requests_and_refuses_them_in_time() {
    let mut world = World::new(settings(), &[]);
    world.ask(1, Some(4), Some("g"), "c", 700.0);
    world.ask(2, None, None, "c", 300.0);
    world.finish();
    assert!(world.log.iter().any(|a| matches!(a, Action::Reject { request: RequestId(1), .. })));
    assert!(world.sends(1).is_empty());
}

/// The steps stopped once when no connection stood while one was still being set up: it was never told.
#[test]
fn clients_that_their_leaving_server_does_not_send_away_are_told_even_if_they_stand_later() {
    let mut world = World::new(settings(), &ready(1));
    for (id, drained_by_endpoint) in [(1, false), (2, true), (3, false)] {
        let request = RequestId(id);
        let (class, client, deadline) = (Some(ClassId(0)), None, world.now + 2000.0);
        let (setup_time_used, load, mid_flow, returned, group) = (0.0, None, false, false, None);
        let connection = Request {
            id: request,
            class,
            client,
            group,
            deadline,
            setup_time_used,
            load,
            mid_flow,
            returned,
            drained_by_endpoint,
        };
        world.arrive(connection);
    }
    world.establish(RequestId(1), 5.0);
    world.establish(RequestId(2), 5.0);
    let leaving = [entry(0, EndpointState::Draining, 0.0)];
    world.handle(Event::List { kind: ListKind::Delta, endpoints: leaving.to_vec() });
    let moved = |w: &World, id| w.log.contains(&Action::Migrate(RequestId(id)));
    world.pass(150.0);
    world.end(RequestId(1), Outcome::Cancelled);
    world.pass(120.0);
    world.establish(RequestId(3), 270.0);
    world.pass(300.0);
    assert_eq!([1, 2, 3].map(|id| moved(&world, id)), [true, false, true]);
}

/// Each list that began a drain armed steps of its own, and all of them sent a share of every leaving server's clients
/// away: overlapping drains emptied servers in a fraction of the time.
#[test]
fn overlapping_drains_keep_the_pace_of_one() {
    let moved_early = |also: &[usize]| {
        let mut world = World::new(settings(), &ready(6));
        for id in 0..240 {
            world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
            world.load_balancer.ledger.conns.get_mut(&RequestId(id)).unwrap().request.drained_by_endpoint =
                false;
            world.establish(RequestId(id), 5.0);
        }
        let first: BTreeSet<_> = (0..240).filter(|id| world.sends(*id)[0] == endpoint(0)).collect();
        let mut moved = BTreeSet::new();
        for step in 0..40 {
            if let Some(i) = [0].iter().chain(also).nth(step) {
                world.give_list(ListKind::Delta, &[entry(*i, EndpointState::Draining, 0.0)]);
            }
            world.pass(10.0);
            for action in std::mem::take(&mut world.log) {
                if let Action::Migrate(id) = action {
                    world.end(id, Outcome::Cancelled);
                    moved.extend(first.contains(&id.0).then_some(id.0));
                }
            }
        }
        moved.len() as f64 / first.len() as f64
    };
    let (alone, overlapping) = (moved_early(&[]), moved_early(&[1, 2, 3, 4]));
    assert!((0.3..=0.55).contains(&alone), "{alone} of the clients were told after 0.4 s");
    assert!((overlapping - alone).abs() < 0.05, "{overlapping} beside {alone} were told after 0.4 s");
}

/// The table went on with the sizes of processes that had gone.
#[test]
fn a_server_that_comes_back_larger_gets_a_larger_share() {
    let mut world = World::new(settings(), &ready(4));
    let back = EndpointEntry { weight: 3.0, ..entry(0, EndpointState::Ready, world.now) };
    world.ask(1, Some(0), None, "c", 2000.0);
    world.end(RequestId(1), Outcome::Ok);
    world.give_list(ListKind::Delta, &[back]);
    world.now += world.settings.warm_up_time;
    for id in 1000..1400 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
        world.end(RequestId(id), Outcome::Ok);
    }
    let share = (1000..1400).filter(|id| world.sends(*id)[0] == endpoint(0)).count();
    assert!((180..=220).contains(&share), "{share} of 400 go to half of the capacity");
}

#[test]
fn a_mid_flow_arrival_goes_to_the_server_of_its_key() {
    let mut one = World::new(settings(), &ready(9));
    let mut other = World::new(settings(), &ready(9));
    one.ask(1, Some(0), Some("form"), "c", 2000.0);
    let holder = one.sends(1)[0].clone();
    other.ask(1, Some(0), Some("form"), "c", 2000.0);
    other.establish(RequestId(1), 5.0);
    // The holder is slow and at its cap by now; the open connection is still found there.
    other.handle(Event::Measured { request: RequestId(1), measurement: Measurement::MessageDelay(500.0) });
    other.arrive(Request {
        id: RequestId(2),
        class: Some(ClassId(0)),
        client: Some(Key(Arc::from("c"))),
        group: Some(Key(Arc::from("form"))),
        deadline: other.now + 900.0,
        setup_time_used: 0.0,
        drained_by_endpoint: true,
        load: None,
        mid_flow: true,
        returned: false,
    });
    assert_eq!(other.sends(2), [holder]);
}

// --- failures found ---

/// A store behind all servers jams: attempts at once after errors (189 a request) kept it jammed.
#[test]
fn an_error_is_not_answered_by_another_attempt_at_once() {
    let mut world = World::new(settings(), &ready(6));
    world.ask(1, Some(0), None, "c", 2500.0);
    world.end(RequestId(1), Outcome::Error);
    assert_eq!(world.sends(1).len(), 1);
    world.pass(400.0);
    assert_eq!(world.sends(1).len(), 2);
}

/// A connect failure is no sign of a jam: the next server along the table takes over at once.
#[test]
fn a_connect_failure_fails_over_at_once_and_the_server_is_skipped() {
    let mut world = World::new(settings(), &ready(6));
    world.ask(1, Some(0), Some("g"), "c", 2500.0);
    world.end(RequestId(1), Outcome::ConnectFailed);
    let sends = world.sends(1);
    assert_eq!(sends.len(), 2);
    world.ask(2, Some(0), Some("g"), "c", 2500.0);
    assert_eq!(world.sends(2)[0], sends[1]);
    // It is tried again after a while.
    world.pass(300.0);
    world.ask(3, Some(0), Some("g"), "c", 2500.0);
    assert_eq!(world.sends(3)[0], sends[0]);
}

/// Late set-ups at several servers are a common fault: none is struck off, and the set-ups out are few.
#[test]
fn a_common_fault_strikes_no_server_and_closes_the_window() {
    let mut world = World::new(settings(), &ready(6));
    for id in 0..24 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2500.0);
    }
    for id in 0..12 {
        world.end(RequestId(id), Outcome::Error);
        world.pass(24.0);
    }
    let out =
        |w: &World| w.asks.values().filter(|a| a.attempts.last().is_some_and(|t| t.ended.is_none())).count();
    let before = out(&world);
    for id in 100..120 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2500.0);
    }
    assert_eq!(out(&world), before, "the window let new set-ups out");
    assert!(world.load_balancer.ledger.endpoints.values().all(|s| s.failures == 0));
}

/// Further attempts beyond the budget (5 in 10 s where 73 requests allowed 4.7): each is asked for, whatever
/// ended the one before, and what can't have one gets its answer at once.
#[test]
fn further_attempts_keep_the_budget_to_the_edges_of_its_window() {
    let budget = |free, share| Settings {
        retry_budget: Some(RetryBudget { window: 2000.0, min_retries: free, retry_ratio: share }),
        ..settings()
    };
    let refused = |w: &World, id| {
        let is = |a: &Action| matches!(a, Action::Reject { request, .. } if *request == RequestId(id));
        w.log.iter().any(is)
    };
    let fails_over = |w: &mut World, id| {
        w.ask(id, Some(0), None, &format!("c{id}"), 9000.0);
        w.end(RequestId(id), Outcome::ConnectFailed);
        assert!(refused(w, id) || w.sends(id).len() == 2);
        w.sends(id).len() == 2
    };
    // Nothing free and no share: no further attempt at all.
    let mut world = World::new(budget(0.0, 0.0), &ready(6));
    assert!((0..4).all(|id| !fails_over(&mut world, id)));
    // One free: again only once the first is out of the window, and not on its edge.
    let mut world = World::new(budget(1.0, 0.0), &ready(6));
    assert!(fails_over(&mut world, 0) && !fails_over(&mut world, 1));
    world.pass(2000.0);
    assert!(!fails_over(&mut world, 2));
    world.pass(8.0);
    assert!(fails_over(&mut world, 3));
    // A share of those taken, refused ones too; what has left the window counts no more.
    let mut world = World::new(budget(0.0, 0.25), &ready(6));
    assert_eq!((0..4).filter(|id| fails_over(&mut world, *id)).count(), 1);
    assert_eq!((4..8).filter(|id| fails_over(&mut world, *id)).count(), 1);
    world.pass(2008.0);
    assert!(!fails_over(&mut world, 8));
    // A paced retry that the budget can't bear is not waited for.
    let mut world = World::new(budget(0.0, 0.0), &ready(6));
    world.ask(1, Some(0), None, "c", 2500.0);
    world.end(RequestId(1), Outcome::Error);
    assert!(refused(&world, 1));
    // What may have run and can't be repeated harmlessly fails instead.
    world.ask(2, Some(2), None, "c", 2500.0);
    world.end(RequestId(2), Outcome::Error);
    assert!(world.log.contains(&Action::Fail(RequestId(2))));
    // Waits and the queue ask too.
    let mut world = World::new(budget(1.0, 0.0), &ready(6));
    for id in 0..2 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2500.0);
        world.end(RequestId(id), Outcome::Reset);
    }
    world.pass(600.0);
    assert_eq!(world.further.len(), 1);
}

/// A request with no time left for another attempt was held up to its deadline: it is answered at once.
#[test]
fn what_has_no_time_for_another_attempt_is_answered_at_once() {
    let mut world = World::new(settings(), &ready(6));
    world.ask(1, Some(0), None, "c", 60.0);
    world.end(RequestId(1), Outcome::Error);
    world.pass(40.0);
    assert_eq!(world.sends(1).len(), 2, "half of the time left is time for another");
    world.end(RequestId(1), Outcome::Error);
    world.pass(8.0);
    assert!(world.sends(1).len() < 4 && world.asks[&RequestId(1)].deadline > world.now);
    world.end(RequestId(1), Outcome::ConnectFailed);
    world.end(RequestId(1), Outcome::ConnectFailed);
    assert!(matches!(world.log.last(), Some(Action::Reject { request: RequestId(1), .. })));
}

/// Connections for which there was no endpoint were held until a moment before their clients gave up. What is not expected
/// to be placed within the wanted time is refused, and a place that comes free before is taken at once.
#[test]
fn a_flow_is_held_for_a_streamer_no_longer_than_its_set_up_may_take() {
    for deadline in [200.0, 300.0, 900.0, 3000.0] {
        let mut world = World::new(settings(), &[]);
        let came = world.now;
        world.ask(1, Some(0), None, "c", deadline);
        let refused = |w: &World| w.log.iter().any(|a| matches!(a, Action::Reject { .. }));
        while !refused(&world) && world.now < came + deadline {
            world.pass(4.0);
        }
        let held = world.now - came;
        assert!(held <= (deadline / 2.0).min(300.0), "held for {held} of {deadline} ms");
        assert!(held >= (deadline / 2.0).min(300.0) - 75.0, "held for {held} ms only");
    }
    // Of a class that the settings do not name nobody knows what is wanted: half of its client's patience.
    let mut world = World::new(settings(), &[]);
    world.ask(1, None, None, "c", 3000.0);
    world.pass(1600.0);
    assert!(matches!(world.log.last(), Some(Action::Reject { .. })), "held to the end");
    let mut world = World::new(settings(), &[]);
    world.ask(1, Some(0), None, "c", 2000.0);
    world.pass(100.0);
    world.give_list(ListKind::Full, &ready(1));
    world.pass(70.0);
    assert_eq!(world.sends(1).len(), 1, "a streamer that comes is used soon");
}

/// Groups were sent back to a failing server by every balancer that had not met it: a client that comes again
/// draws anew, unless own connections show that no server was at fault, or that too many are slow.
#[test]
fn a_client_that_comes_again_draws_among_the_servers_of_its_walk() {
    let comes_again = |world: &mut World, ids: std::ops::Range<u64>, mid_flow: bool| {
        let mut used = BTreeSet::new();
        for id in ids {
            world.arrive(Request {
                id: RequestId(id),
                class: Some(ClassId(0)),
                client: Some(Key(Arc::from("c"))),
                group: Some(Key(Arc::from("g"))),
                deadline: world.now + 2000.0,
                setup_time_used: 0.0,
                drained_by_endpoint: true,
                load: None,
                mid_flow,
                returned: true,
            });
            used.extend(world.sends(id));
            if !world.sends(id).is_empty() {
                world.end(RequestId(id), Outcome::Ok);
            }
        }
        used.len()
    };
    let mut world = World::new(settings(), &ready(9));
    assert!((2..=9).contains(&comes_again(&mut world, 100..140, false)));
    // Packets of a connection that stands are looked for at the server of its key.
    assert_eq!(comes_again(&mut world, 200..240, true), 1);
    // A storm: clients leave of themselves, and no server is at fault.
    for id in 0..4 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
        world.end(RequestId(id), Outcome::Cancelled);
    }
    assert_eq!(comes_again(&mut world, 300..340, false), 1);
    // Too many own servers are slow: copies of the group would cost more than they gain.
    let mut world = World::new(settings(), &ready(9));
    for id in 0..60 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
    }
    (0..60).for_each(|id| {
        world
            .handle(Event::Measured { request: RequestId(id), measurement: Measurement::MessageDelay(30.0) });
    });
    (0..20).for_each(|id| world.end(RequestId(id), Outcome::Ok));
    assert!(comes_again(&mut world, 100..140, false) <= 1);
}

/// So many balancers with 240 connections to ten servers.
fn fleet(relay_count: u32) -> Vec<World> {
    let of = Settings { relay_count, ..settings() };
    let mut worlds: Vec<_> = (0..relay_count)
        .map(|local_index| World::new(Settings { local_index, ..of.clone() }, &ready(10)))
        .collect();
    for id in 0..240 {
        let world = &mut worlds[(id % u64::from(relay_count)) as usize];
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
    }
    worlds
}

/// Each of many balancers had a budget of less than one connection for each server that came back: a group of
/// servers that restarted together got next to nothing while the others jammed. One budget serves them all.
#[test]
fn servers_that_restart_together_are_filled_as_they_warm() {
    let mut worlds = fleet(240);
    for world in &mut worlds {
        let back: Vec<_> = (0..4).map(|i| entry(i, EndpointState::Ready, world.now)).collect();
        world.give_list(ListKind::Delta, &back);
    }
    // Half of all connections come again in the time that it takes to warm.
    let mut sent = [0; 2];
    for id in 1000..1120 {
        worlds.iter_mut().for_each(|w| w.now += 20_000.0 / 120.0);
        let world = &mut worlds[(id % 240) as usize];
        world.ask(id, Some(0), None, &format!("d{id}"), 2000.0);
        let cold = world.sends(id).iter().any(|s| (0..4).any(|i| *s == endpoint(i)));
        sent[usize::from(id >= 1060)] += usize::from(cold);
    }
    assert!(sent[0] <= 12 && (10..=30).contains(&sent[1]), "{sent:?} to servers that warm");
}

/// A jammed server was flooded again by every balancer: requests over its cap are held meanwhile.
#[test]
fn a_jammed_server_gets_nothing_until_it_has_room() {
    let mut world = World::new(settings(), &ready(1));
    for id in 0..4 {
        world.ask(id, Some(0), Some("g"), &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
    }
    world.handle(Event::Measured { request: RequestId(0), measurement: Measurement::MessageDelay(150.0) });
    let moves = world.log.iter().filter(|a| matches!(a, Action::Migrate(_))).count();
    assert_eq!(moves, 1);
    world.ask(9, Some(0), Some("g"), "c", 1000.0);
    world.pass(100.0);
    assert!(world.sends(9).is_empty());
    // Once enough has left it is let in again.
    world.end(RequestId(0), Outcome::Cancelled);
    world.end(RequestId(1), Outcome::Cancelled);
    world.pass(300.0);
    assert_eq!(world.sends(9), [endpoint(0)]);
}

/// After a mass reconnect caps at their floor kept servers all but idle for half a minute; resets in one
/// burst count once.
#[test]
fn a_low_cap_recovers_and_a_burst_of_resets_cuts_it_once() {
    let mut world = World::new(settings(), &ready(1));
    for id in 0..4 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
    }
    (0..4).for_each(|id| world.end(RequestId(id), Outcome::Reset));
    assert_eq!(world.load_balancer.ledger.endpoints[&endpoint(0)].cap, 3.0);
    world.load_balancer.ledger.endpoints.get_mut(&endpoint(0)).unwrap().cap = 0.5;
    world.pass(12_000.0);
    assert!(world.load_balancer.ledger.endpoints[&endpoint(0)].cap(world.now, 1.0) > 1.5);
}

/// A large group would outgrow one server; scattered over all it would cost each of them.
#[test]
fn a_large_group_splits_over_few_servers() {
    let mut world = World::new(settings(), &ready(12));
    for id in 0..120 {
        let group = if id % 3 == 0 { "large".to_owned() } else { format!("g{}", id % 40) };
        world.ask(id, Some(0), Some(&group), &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
    }
    let used: BTreeSet<_> = (0..120).filter(|id| id % 3 == 0).flat_map(|id| world.sends(id)).collect();
    assert!((2..=7).contains(&used.len()), "{} servers", used.len());
}

/// Many balancers with a handful of connections each: their plans differed, and a group was scattered over
/// the fleet. Sizes are told from a sample with a prior, and a client picks among the parts by a nested choice.
#[test]
fn many_balancers_with_few_connections_place_a_group_alike() {
    let many = Settings { relay_count: 200, ..settings() };
    let mut worlds: Vec<_> = (0..40).map(|_| World::new(many.clone(), &ready(80))).collect();
    let mut used = BTreeMap::<EndpointId, usize>::new();
    let (mut alike, mut of) = (0, 0);
    for (i, world) in worlds.iter_mut().enumerate() {
        // Each meets the group in another number among others: a twelfth to a third of what it sees.
        for id in 0..12 {
            let group = if id % (3 + i as u64 % 10) == 0 { "large".to_owned() } else { format!("g{i}-{id}") };
            world.ask(id, Some(0), Some(&group), &format!("c{i}-{id}"), 2000.0);
            world.establish(RequestId(id), 5.0);
        }
        for id in 100..130 {
            world.ask(id, Some(0), Some("large"), &format!("same{id}"), 2000.0);
            *used.entry(world.sends(id)[0].clone()).or_default() += 1;
            world.end(RequestId(id), Outcome::Ok);
        }
    }
    for id in 100..130 {
        let at: Vec<_> = worlds.iter().map(|w| w.sends(id)[0].clone()).collect();
        let most = at.iter().map(|s| at.iter().filter(|t| *t == s).count()).max().unwrap();
        (alike, of) = (alike + most, of + at.len());
    }
    assert!(alike * 3 > of * 2, "{alike} of {of} first sends on the server that most balancers pick");
    assert!((2..=50).contains(&used.len()), "{} of 80 servers", used.len());
}

/// With a handful of connections each, balancers that pool their samples plan alike: one adds up and answers.
/// Other peers' answers and unknown senders change nothing; without leave nothing is sent.
#[test]
fn a_sample_goes_to_one_peer_and_its_answer_sizes_the_groups() {
    let pool = Settings { relay_count: 100, local_index: 7, peer_messages: true, ..settings() };
    let mut world = World::new(pool.clone(), &ready(40));
    for id in 0..3 {
        world.ask(id, Some(0), Some("g0"), &format!("c{id}"), 2000.0);
    }
    let sample =
        |a: &&Action| matches!(a, Action::SendToPeer { peer: 0, message } if message.cluster.is_none());
    let tells = |w: &World| w.log.iter().filter(sample).count();
    assert_eq!(tells(&world), 1, "one sample while its answer is out");
    let group = |w: &World| {
        let told = w.log.iter().find_map(|a| match a {
            Action::SendToPeer { message, .. } => message.group_sizes.first().map(|(group, _)| *group),
            _ => None,
        });
        told.unwrap()
    };
    let sizes = vec![(group(&world), 900.0), (1, 100.0)];
    let message = PeerMessage { merged: true, total: 1000.0, group_sizes: sizes, ..PeerMessage::default() };
    let spread = |world: &mut World, from: u64| {
        for id in from..from + 60 {
            world.ask(id, Some(0), Some("g0"), &format!("c{id}"), 2000.0);
            world.end(RequestId(id), Outcome::Ok);
        }
        (from..from + 60).flat_map(|id| world.sends(id)).collect::<BTreeSet<_>>().len()
    };
    let mut stranger = World::new(pool.clone(), &ready(40));
    stranger.handle(Event::PeerMessage { peer: 9, message: message.clone() });
    stranger.ask(1, Some(0), Some("g9"), "c", 2000.0);
    assert!(stranger.load_balancer.ledger.endpoints.len() == 40);
    stranger.log.clear();
    stranger.handle(Event::PeerMessage { peer: 100, message: PeerMessage::default() });
    assert!(stranger.log.is_empty(), "an answer to an unknown balancer");
    // Nor does an answer that counts less than the own sample, or nothing, change a placement.
    let (mut told, mut untold) = (World::new(pool.clone(), &ready(40)), World::new(pool.clone(), &ready(40)));
    told.handle(Event::PeerMessage {
        peer: 0,
        message: PeerMessage { total: 0.0, group_sizes: vec![(9, 0.0)], ..message.clone() },
    });
    for id in 0..20 {
        told.ask(id, Some(0), Some(&format!("g{}", id % 3)), &format!("c{id}"), 2000.0);
        untold.ask(id, Some(0), Some(&format!("g{}", id % 3)), &format!("c{id}"), 2000.0);
        assert_eq!(told.sends(id), untold.sends(id));
    }
    let peer = world.load_balancer.pool.collector;
    world.handle(Event::PeerMessage { peer, message });
    assert!(spread(&mut world, 1000) > 10, "nine tenths of all connections need many servers");
    // A sample is answered with the sum, whatever it holds and however often it comes.
    world.log.clear();
    let sample =
        PeerMessage { merged: false, total: 5.0, group_sizes: vec![(77, 5.0)], ..PeerMessage::default() };
    (0..2).for_each(|_| world.handle(Event::PeerMessage { peer: 3, message: sample.clone() }));
    let answer = world.log.last().cloned();
    let Some(Action::SendToPeer { peer: 3, message }) = answer else { panic!("no answer") };
    assert!(message.merged && message.group_sizes.contains(&(77, 5.0)));
    let mut alone = World::new(Settings { peer_messages: false, ..pool }, &ready(40));
    (0..20).for_each(|id| alone.ask(id, Some(0), Some("g"), &format!("c{id}"), 2000.0));
    assert_eq!(tells(&alone), 0);
}

/// Each of many balancers might send a server that has just started one connection: together they pushed it
/// over. What a fleet sends it stays the same, however many balancers it is spread over.
#[test]
fn many_balancers_together_spare_a_cold_server() {
    for relay_count in [1u64, 4, 40, 240] {
        let mut worlds = fleet(relay_count as u32);
        // Server 0 restarts, and half as many connections more arrive in two seconds.
        for world in &mut worlds {
            let now = world.now;
            world.give_list(ListKind::Delta, &[entry(0, EndpointState::Ready, now)]);
        }
        let mut sent = 0;
        for id in 1000..1120 {
            worlds.iter_mut().for_each(|w| w.now += 16.0);
            let world = &mut worlds[(id % relay_count) as usize];
            world.ask(id, Some(0), None, &format!("d{id}"), 2000.0);
            sent += usize::from(world.sends(id).contains(&endpoint(0)));
        }
        // A warm server's part would be 12; it can do a tenth of that at first, and twice as much is borne.
        assert!(sent <= 3, "{sent} to a cold server by {relay_count} balancers");
    }
}

/// The same for a burst at the very start, when no balancer has sent it anything yet: of many, some have a connection
/// for it at once, and each alone would be within its pace.
#[test]
fn many_balancers_do_not_all_begin_with_a_cold_server_at_once() {
    let mut worlds = fleet(240);
    let mut sent = 0;
    for (local_index, world) in (0..).zip(&mut worlds) {
        let now = world.now;
        world.give_list(ListKind::Delta, &[entry(0, EndpointState::Ready, now)]);
        for id in 1000..1010 {
            world.ask(id, Some(0), None, &format!("d{local_index}-{id}"), 2000.0);
            sent += usize::from(world.sends(id).contains(&endpoint(0)));
        }
    }
    assert!(sent <= 3, "{sent} to a cold server in one moment");
}

/// The same for balancers that start anew beside a server that is still cold: what they have sent it before is forgotten,
/// and each took its point of the pause to have long passed.
#[test]
fn many_balancers_that_start_anew_do_not_all_begin_with_a_cold_server_at_once() {
    let mut list = ready(10);
    list[0] = entry(0, EndpointState::Ready, START - 15_000.0);
    let mut sent = 0;
    for local_index in 0..240 {
        let mut world = World::new(Settings { relay_count: 240, local_index, ..settings() }, &list);
        for id in 1000..1010 {
            world.ask(id, Some(0), None, &format!("d{local_index}-{id}"), 2000.0);
            sent += usize::from(world.sends(id).contains(&endpoint(0)));
        }
    }
    assert!(sent <= 3, "{sent} to a cold server in one moment");
}

/// The list is late: a server that refused connections and answers again has just started.
#[test]
fn a_server_that_comes_back_is_taken_as_cold_before_the_list_says_so() {
    let mut world = World::new(settings(), &ready(1));
    world.ask(1, Some(0), None, "c", 2500.0);
    world.end(RequestId(1), Outcome::ConnectFailed);
    world.pass(100.0);
    assert_eq!(world.sends(1).len(), 2);
    world.establish(RequestId(1), 5.0);
    world.give_list(ListKind::Delta, &[entry(0, EndpointState::Ready, 0.0)]);
    world.ask(2, Some(0), None, "c", 1000.0);
    world.ask(3, Some(0), None, "d", 1000.0);
    assert!(world.sends(2).is_empty() && world.sends(3).is_empty());
}

/// An endpoint whose clock is wrong, and with it its start, got nothing until that time had come.
#[test]
fn a_start_far_ahead_counts_as_one_of_now() {
    let ahead = entry(0, EndpointState::Ready, START + 3_600_000.0);
    let mut world = World::new(settings(), &[ahead]);
    for id in 0..100 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
    }
    world.pass(1_900.0);
    let sent = (0..100).filter(|id| !world.sends(*id).is_empty()).count();
    assert!((1..=3).contains(&sent), "{sent} of 100 sent to it, which is as good as cold");
}

/// Balancers turned away by the list service together must not come back together, nor too late.
#[test]
fn a_failed_list_call_is_repeated_with_jitter() {
    let mut world = World::new(settings(), &ready(2));
    assert!(world.log.contains(&Action::Subscribe));
    world.log.clear();
    for _ in 0..8 {
        world.handle(Event::List { kind: ListKind::Failed, endpoints: Vec::new() });
        let (before, list_max_age) = (world.log.len(), world.settings.list_max_age);
        world.pass(list_max_age / 2.0 + 8.0);
        assert!(world.log[before..].contains(&Action::Subscribe));
    }
}

/// A balancer that started again knew no group's size: all of a large group went to one server until it had met
/// enough of it anew. From what was kept it plans as before.
#[test]
fn a_balancer_that_starts_again_plans_from_what_was_kept() {
    let mut before = World::new(settings(), &ready(12));
    for id in 0..120 {
        let group = if id % 3 == 0 { "large".to_owned() } else { format!("g{}", id % 40) };
        before.ask(id, Some(0), Some(&group), &format!("c{id}"), 2000.0);
        before.establish(RequestId(id), 5.0);
    }
    let kept = before.load_balancer.cluster.take_changes(before.now, usize::MAX).updated;
    // A store that has lost some is given all of it again.
    before.load_balancer.cluster.track_changes();
    let again = before.load_balancer.cluster.take_changes(before.now, usize::MAX);
    assert!(again.updated.len() == kept.len() && again.names.len() == 12, "{again:?}");
    let places = |world: &mut World| -> Vec<EndpointId> {
        let place = |id: u64| {
            world.ask(id, Some(0), Some("large"), &format!("c{id}"), 2000.0);
            let at = world.sends(id)[0].clone();
            world.end(RequestId(id), Outcome::Ok);
            at
        };
        (1000..1040).map(place).collect()
    };
    let mut after = World::new(settings(), &ready(12));
    after.load_balancer.cluster.restore(after.now, kept.into_iter());
    let mut fresh = World::new(settings(), &ready(12));
    let set = |places: Vec<EndpointId>| places.into_iter().collect::<BTreeSet<_>>();
    let held: BTreeSet<_> = (0..120).filter(|id| id % 3 == 0).flat_map(|id| before.sends(id)).collect();
    let (after, fresh) = (places(&mut after), set(places(&mut fresh)));
    let kept = after.iter().filter(|at| held.contains(*at)).count();
    let after = set(after);
    assert!(after.len() > 1 && fresh.len() == 1, "{after:?} with what was kept, {fresh:?} without");
    assert!(kept >= 36, "{kept} of 40 go to those that hold the group: {after:?} of {held:?}");
}

// --- the core's tick ---

/// On sockets nobody but the relay's own tick tells that an endpoint's messages take long.
#[test]
fn a_streamer_whose_round_trips_are_long_gets_nothing_new_until_they_are_short() {
    let mut relay = Relay::new(settings(), vec!["safe".into()], 7, START);
    relay.list(START, ListKind::Cached, ready(2));
    let now = std::cell::Cell::new(START);
    let place = |relay: &mut Relay, client: u64| {
        let client = Some(Key(format!("c{client}").into()));
        let deadline = now.get() + 200.0;
        let id = relay.arrive(
            now.get(),
            IncomingRequest { class: "safe".into(), client, deadline, ..IncomingRequest::default() },
        );
        let command = relay.take_commands().into_iter().find_map(|c| match c {
            Command::Connection(of, ConnectionCommand::StartAttempt(attempt)) if of == id => {
                Some(attempt.endpoint)
            }
            _ => None,
        });
        (id, command)
    };
    let mut standing = Vec::new();
    for client in 0..40 {
        let (id, endpoint) = place(&mut relay, client);
        relay.established(now.get(), id, 5.0);
        standing.push((id, endpoint.unwrap()));
    }
    let new_connections = |relay: &mut Relay, trip: Millis, clients: std::ops::Range<u64>| {
        for (id, _) in standing.iter().filter(|(_, at)| *at == endpoint(0)) {
            relay.round_trip(*id, trip);
        }
        relay.tick(now.get());
        let placed = clients.filter_map(|client| {
            let (id, endpoint) = place(relay, client);
            relay.left(now.get(), id);
            endpoint
        });
        placed.filter(|at| *at == endpoint(0)).count()
    };
    let before = new_connections(&mut relay, 1.0, 100..140);
    let slow = new_connections(&mut relay, 50.0, 200..240);
    now.set(START + 30_000.0);
    let after = new_connections(&mut relay, 1.0, 300..340);
    assert!(before > 10 && slow == 0 && after > 10, "{before} before, {slow} while slow, {after} after");
}

// --- new settings ---

/// The core with two classes of settings, its clock, and what it commands of forwards and answers.
struct Core {
    relay: Relay,
    now: Millis,
    told: Vec<(RequestId, ConnectionCommand)>,
}

impl Core {
    fn new(classes: &[(&str, Idempotency)], attempts: u32) -> Core {
        let (settings, names) = named(classes, attempts);
        let mut relay = Relay::new(settings, names, 7, START);
        relay.list(START, ListKind::Cached, ready(6));
        Core { relay, now: START, told: Vec::new() }
    }

    fn retune(&mut self, classes: &[(&str, Idempotency)], attempts: u32) {
        let (settings, names) = named(classes, attempts);
        self.relay.retune(self.now, settings, &names);
    }

    fn arrive(&mut self, class: &str) -> RequestId {
        let deadline = self.now + 2000.0;
        let id = self.relay.arrive(
            self.now,
            IncomingRequest { class: class.into(), deadline, ..IncomingRequest::default() },
        );
        self.take();
        id
    }

    fn take(&mut self) {
        let connection =
            |c| if let Command::Connection(id, command) = c { Some((id, command)) } else { None };
        self.told.extend(self.relay.take_commands().into_iter().filter_map(connection));
    }

    /// Ends all forwards of a connection like this; how many there were, and its answer.
    fn fail(&mut self, id: RequestId, outcome: Outcome) -> (usize, LocalReply) {
        let mut attempts = 0;
        for _ in 0..100 {
            let own = self.told.iter().position(|(of, _)| *of == id);
            match own.map(|i| self.told.remove(i).1) {
                Some(ConnectionCommand::Reply(response)) => return (attempts, response),
                Some(_) => {
                    attempts += 1;
                    self.relay.ended(self.now, id, outcome);
                }
                None => {
                    self.now += 10.0;
                    self.relay.timer(self.now, id.0);
                }
            }
            self.take();
        }
        panic!("flow {} has no answer", id.0);
    }
}

fn named(classes: &[(&str, Idempotency)], max_attempts: u32) -> (Settings, Vec<String>) {
    let names = classes.iter().map(|(name, _)| name.to_string()).collect();
    let classes = classes.iter().map(|(_, repeat)| class(*repeat)).collect();
    (Settings { classes, max_attempts, ..settings() }, names)
}

/// What a connection may do holds from its start to its end, wherever its class stands in the settings meanwhile.
#[test]
fn a_flow_keeps_the_class_that_it_came_with() {
    let (safe, unsafe_) = (("safe", Idempotency::Safe), ("once", Idempotency::Unsafe));
    let mut core = Core::new(&[safe, unsafe_], 4);
    let (repeats, once) = (core.arrive("safe"), core.arrive("once"));
    // Turned round, then dropped, then back with the other's effect.
    core.retune(&[unsafe_, safe], 4);
    core.retune(&[("new", Idempotency::Safe)], 4);
    core.retune(&[("new", Idempotency::Safe), ("safe", Idempotency::Unsafe), ("once", Idempotency::Safe)], 4);
    assert_eq!(core.fail(repeats, Outcome::Reset).0, 4, "a safe one may be sent again");
    assert_eq!(core.fail(once, Outcome::Reset), (1, LocalReply::Failed), "it may have acted");
    // Those who come now are bound by what is in force now.
    let (now_once, now_safe) = (core.arrive("safe"), core.arrive("once"));
    assert_eq!(core.fail(now_once, Outcome::Reset), (1, LocalReply::Failed));
    assert_eq!(core.fail(now_safe, Outcome::Reset).0, 4);
}

#[test]
fn the_number_of_attempts_binds_from_the_change_on_waiting_flows_too() {
    let mut core = Core::new(&[("safe", Idempotency::Safe)], 5);
    let waiting = core.arrive("safe");
    core.retune(&[("safe", Idempotency::Safe)], 2);
    assert_eq!(core.fail(waiting, Outcome::ConnectFailed).0, 2);
    core.retune(&[("safe", Idempotency::Safe)], 6);
    let later = core.arrive("safe");
    assert_eq!(core.fail(later, Outcome::ConnectFailed).0, 6);
}

// --- moves in a large tier ---

/// Moves of a balancer that holds 40 connections on the first of four servers, once it is told what so many hold
/// there; with the third in this state, after a set-up that took so long.
fn moves(told: u16, third: EndpointState, took: Millis) -> usize {
    let many = Settings { relay_count: 100, local_index: 7, peer_messages: true, ..settings() };
    let (mut load_balancer, mut out) = (LoadBalancer::new(many, 1, START), Actions::new());
    let list =
        |state| (0..4).map(|i| entry(i, if i == 2 { state } else { EndpointState::Ready }, 0.0)).collect();
    let full = |state| Event::List { kind: ListKind::Full, endpoints: list(state) };
    load_balancer.handle(START, full(EndpointState::Ready), &mut out);
    let request = |id| Request {
        id: RequestId(id),
        class: Some(ClassId(0)),
        client: None,
        group: None,
        deadline: START + 3000.0,
        setup_time_used: 0.0,
        load: None,
        mid_flow: false,
        returned: false,
        drained_by_endpoint: false,
    };
    for id in 0..40 {
        load_balancer.handle(
            START,
            Event::ExistingConnection { request: request(id), endpoint: endpoint(0) },
            &mut out,
        );
    }
    load_balancer.handle(START, Event::Request(request(50)), &mut out);
    let (request, attempt) = (RequestId(50), AttemptId(0));
    load_balancer.handle(START + took, Event::Established { request, attempt, elapsed: took }, &mut out);
    load_balancer.handle(START + 5000.0, full(third), &mut out);
    out.clear();
    let tag = |i: usize| crate::policy::hashing::tag(&endpoint(i).0);
    let rows = (0..4).map(|i| (tag(i), if i == 0 { told } else { told / 5 })).collect();
    let piece = ClusterMessage::ClusterLoads { total: u32::from(told) * 8 / 5, rows };
    let message = PeerMessage { cluster: Some(piece), ..PeerMessage::default() };
    load_balancer.handle(START + 6000.0, Event::PeerMessage { peer: 0, message }, &mut out);
    out.iter().filter(|action| matches!(action, Action::Migrate(_))).count()
}

#[test]
fn clients_of_a_server_that_carries_too_much_are_moved_in_part() {
    let moved = moves(4000, EndpointState::Ready, 10.0);
    assert!((1..20).contains(&moved), "{moved} of 40");
}

/// Where a store behind all servers was slow, moved clients waited for it with all others.
#[test]
fn nobody_is_moved_behind_a_queue_or_beside_a_drain_or_by_the_word_of_a_few() {
    assert_eq!(moves(4000, EndpointState::Ready, 200.0), 0, "set-ups meet a queue");
    assert_eq!(moves(4000, EndpointState::Draining, 10.0), 0, "a server drains");
    assert_eq!(moves(200, EndpointState::Ready, 10.0), 0, "a collector that has just started");
}

// --- the load balancer's size ---

#[test]
fn the_module_stays_within_its_length() {
    let text = include_str!("policy/load_balancer.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines < 710, "{lines} lines");
    assert!(text.lines().all(|l| l.chars().count() <= 110));
}
