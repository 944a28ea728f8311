//! Tests: a small world around one load balancer: it plays events, keeps books of its own, and checks the
//! four rules at every action.

#![allow(clippy::too_many_lines, reason = "the books check every action in one place")]

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::api::*;
use super::super::endpoint_table::Endpoint;
use super::super::load_balancer::LoadBalancer;

impl LoadBalancer {
    /// Nothing is counted of any connection any more.
    pub(crate) fn at_rest(&self) -> bool {
        let (endpoints, requests) = (&self.placements.endpoints, &self.placements.requests);
        let empty =
            |s: &Endpoint| s.placed_requests.is_empty() && s.load == 0.0 && s.state != EndpointState::Removed;
        requests.by_id.is_empty()
            && requests.attempts_in_flight == 0
            && endpoints.by_id.values().all(empty)
            && requests.placed_load.abs() < 1e-6
    }
}

pub(crate) fn endpoint(i: usize) -> EndpointId {
    EndpointId(Arc::from(format!("s{i}")))
}

pub(crate) fn entry(i: usize, state: EndpointState, started: Millis) -> EndpointEntry {
    let zone = Zone(Arc::from(if i.is_multiple_of(2) { "even" } else { "odd" }));
    EndpointEntry { id: endpoint(i), state, weight: 1.0, started, zone, cell: (i % 3) as u64 }
}

pub(crate) fn class(repeat: Idempotency) -> Class {
    Class {
        idempotency: repeat,
        latency_objective: 300.0,
        message_latency_objective: Some(60.0),
        priority_weight: 1.0,
    }
}

pub(crate) fn keyed(group: DeduplicationScope) -> Class {
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

pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent: Millis,
    pub(crate) until: Millis,
    pub(crate) open: bool,
    pub(crate) ended: Option<Outcome>,
}

/// Independent books: what was asked, sent and answered.
pub(crate) struct Ask {
    pub(crate) class: Option<usize>,
    pub(crate) deadline: Millis,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    /// The client left, or the stream ended: nothing is owed, nothing may be sent.
    pub(crate) over: bool,
}

pub(crate) struct World {
    pub(crate) load_balancer: LoadBalancer,
    pub(crate) settings: Settings,
    pub(crate) now: Millis,
    pub(crate) asks: BTreeMap<RequestId, Ask>,
    pub(crate) timers: Vec<(Millis, u64)>,
    pub(crate) list: BTreeMap<EndpointId, EndpointEntry>,
    pub(crate) cold_sends: BTreeMap<EndpointId, Millis>,
    pub(crate) taken: Vec<Millis>,
    pub(crate) further: Vec<Millis>,
    pub(crate) log: Vec<Action>,
}

pub(crate) const START: Millis = 100_000.0;

impl World {
    pub(crate) fn new(settings: Settings, endpoints: &[EndpointEntry]) -> Self {
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

    pub(crate) fn give_list(&mut self, kind: ListKind, endpoints: &[EndpointEntry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.list.clear();
        }
        self.list.extend(endpoints.iter().map(|e| (e.id.clone(), e.clone())));
        self.handle(Event::List { kind, endpoints: endpoints.to_vec() });
    }

    pub(crate) fn ask(
        &mut self,
        id: u64,
        class: Option<usize>,
        group: Option<&str>,
        client: &str,
        within: Millis,
    ) {
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
            is_returning: false,
        });
    }

    pub(crate) fn arrive(&mut self, request: Request) {
        let (class, deadline) = (request.class.map(|c| c.0), request.deadline);
        self.taken.push(self.now);
        let ask = Ask { class, deadline, attempts: Vec::new(), answered: false, over: false };
        self.asks.insert(request.id, ask);
        self.handle(Event::Request(request));
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.load_balancer.handle(self.now, event, &mut out);
        for action in &out {
            self.check(action);
        }
        self.log.extend(out);
    }

    pub(crate) fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { request, endpoint, give_up_at, .. } => {
                let ask = self.asks.get_mut(request).expect("a send for a request that was never given");
                assert!(!ask.answered && !ask.over, "a send after the end");
                assert!(ask.attempts.iter().all(|a| a.ended.is_some()), "two attempts at once");
                assert!(ask.attempts.len() < self.settings.max_attempts as usize, "too many attempts");
                assert!(*give_up_at <= ask.deadline, "an attempt past the deadline");
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
                    until: *give_up_at,
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

    pub(crate) fn answer(&mut self, id: RequestId) {
        let ask = self.asks.get_mut(&id).expect("an answer to a request that was never given");
        assert!(!ask.answered && !ask.over, "a second answer");
        assert!(self.now <= ask.deadline + 16.0, "an answer {} ms late", self.now - ask.deadline);
        assert!(ask.attempts.iter().all(|a| a.ended.is_some()), "an answer with an attempt out");
        ask.answered = true;
    }

    /// The `pick`-th request with an attempt out that is (not) open.
    pub(crate) fn out(&self, pick: usize, open: bool) -> Option<RequestId> {
        let is = |a: &Ask| a.attempts.last().is_some_and(|t| t.ended.is_none() && t.open == open);
        let ids: Vec<_> = self.asks.iter().filter(|(_, a)| is(a)).map(|(id, _)| *id).collect();
        (!ids.is_empty()).then(|| ids[pick % ids.len()])
    }

    pub(crate) fn establish(&mut self, id: RequestId, elapsed: Millis) {
        let ask = self.asks.get_mut(&id).unwrap();
        ask.attempts.last_mut().unwrap().open = true;
        let attempt = AttemptId(ask.attempts.len() as u32 - 1);
        self.handle(Event::Established { request: id, attempt, elapsed });
    }

    pub(crate) fn end(&mut self, id: RequestId, outcome: Outcome) {
        let ask = self.asks.get_mut(&id).unwrap();
        let attempt = AttemptId(ask.attempts.len() as u32 - 1);
        let last = ask.attempts.last_mut().unwrap();
        last.ended = Some(outcome);
        let (endpoint, finished) = (last.endpoint.clone(), last.open || outcome == Outcome::Ok || ask.over);
        ask.over |= finished;
        self.handle(Event::AttemptEnded { request: id, attempt, endpoint, outcome, finished });
    }

    pub(crate) fn expire(&mut self, id: RequestId) {
        self.asks.get_mut(&id).unwrap().over = true;
        self.handle(Event::ClientDisconnected(id));
    }

    /// Lets time pass in readings of the clock: time-outs and timers come due.
    pub(crate) fn pass(&mut self, span: Millis) {
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
    pub(crate) fn finish(&mut self) {
        self.pass(4000.0);
        while let Some(id) = self.out(0, true) {
            self.end(id, Outcome::Ok);
        }
        assert!(self.asks.values().all(|a| a.answered || a.over), "a request without an answer");
        assert!(self.load_balancer.at_rest());
        assert!(self.timers.len() < 20, "timers pile up");
    }

    pub(crate) fn sends(&self, id: u64) -> Vec<EndpointId> {
        self.asks[&RequestId(id)].attempts.iter().map(|a| a.endpoint.clone()).collect()
    }
}

pub(crate) fn ready(n: usize) -> Vec<EndpointEntry> {
    (0..n).map(|i| entry(i, EndpointState::Ready, 0.0)).collect()
}

/// So many balancers with 240 connections to ten servers.
pub(crate) fn fleet(relay_count: u32) -> Vec<World> {
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
