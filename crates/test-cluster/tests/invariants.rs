//! The invariants on logs of a relay that satisfies the rules, and of one that violates each of them.

use std::collections::HashMap;
use std::sync::Arc;

use sandgw_test_cluster::invariants::{Idempotency, RepeatScope, Rule, Verdict, check_invariants};
use sandgw_test_cluster::log::{AttemptOutcome, DiscoveryRequest, Event, EventKind, Reply};
use sandgw_test_cluster::settings::RuleSettings;
use sandgw_test_cluster::stub_discovery::EndpointPhase;

/// What the relay of a log does without care.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Careless {
    Nothing,
    /// It ends a client's connection without an answer.
    Cuts,
    /// It answers when the client has left.
    Late,
    /// It serves a client with a receipt of its own making.
    Forges,
    /// It sends what may have run once more.
    Repeats,
    /// It has two attempts out.
    Copies,
    /// It sends to another zone what may have run.
    Strays,
    /// It refuses what may have run as harmless.
    Disclaims,
    /// It sends to an endpoint that drains, as it was told.
    Ignores,
    /// It takes a silent watch for a list without changes.
    Sleeps,
    /// It throws a cold endpoint over.
    Floods,
}

use Careless::*;

struct Play {
    careless: Careless,
    now: f64,
    next: u64,
    log: Vec<Event>,
}

impl Play {
    fn record(&mut self, kind: EventKind) {
        self.log.push(Event { at_ms: self.now, kind });
    }

    fn asks(&mut self, class: &str) -> u64 {
        self.next += 1;
        let (id, class) = (self.next, class.into());
        self.record(EventKind::RequestSent {
            id,
            relay: 3,
            wait_ms: 2000.0,
            class,
            tenant: "acme".into(),
            mid_flow: false,
        });
        id
    }

    fn attempt(&mut self, id: u64, endpoint: &str) {
        self.now += 1.0;
        self.record(EventKind::AttemptReceived {
            id,
            endpoint: endpoint.into(),
            first_byte_ms: self.now,
            mid_flow: false,
        });
    }

    fn ended(&mut self, id: u64, endpoint: &str, outcome: AttemptOutcome) {
        self.now += 10.0;
        let receipt = (outcome == AttemptOutcome::Established).then(|| format!("{endpoint}/{id}"));
        self.record(EventKind::AttemptEnded { id, endpoint: endpoint.into(), outcome, receipt });
    }

    fn up(&mut self, id: u64, endpoint: &str) {
        self.attempt(id, endpoint);
        self.ended(id, endpoint, AttemptOutcome::Established);
        self.record(EventKind::ReplyReceived { id, reply: Reply::Established(format!("{endpoint}/{id}")) });
    }

    fn listed(&mut self, revision: u64, endpoint: &str, phase: EndpointPhase, recently_started: bool) {
        let zone = Arc::from(&endpoint[..1]);
        self.record(EventKind::EndpointListed {
            revision,
            endpoint: endpoint.into(),
            zone,
            phase,
            recently_started,
        });
    }

    fn is(&self, careless: Careless) -> bool {
        self.careless == careless
    }

    /// A connection each that is served, refused after `BUSY`, and told a failure after what may have run.
    fn answers(&mut self) {
        let id = self.asks("stream");
        self.attempt(id, "a1");
        self.ended(id, "a1", AttemptOutcome::Established);
        self.now += if self.is(Late) { 2500.0 } else { 0.0 };
        let receipt = if self.is(Forges) { "mine".to_owned() } else { format!("a1/{id}") };
        let reply = if self.is(Cuts) { Reply::Closed } else { Reply::Established(receipt) };
        self.record(EventKind::ReplyReceived { id, reply });
    }

    fn repeats(&mut self) {
        let once = self.asks("once");
        self.attempt(once, "a1");
        self.ended(once, "a1", AttemptOutcome::Rejected);
        // Turned away, it never ran: it may go anywhere.
        self.attempt(once, "b1");
        self.ended(once, "b1", AttemptOutcome::Reset);
        if self.is(Repeats) {
            self.attempt(once, "a1");
            self.ended(once, "a1", AttemptOutcome::Error);
        }
        let reply = if self.is(Disclaims) { Reply::Rejected(None) } else { Reply::Failed("ERR".into()) };
        self.record(EventKind::ReplyReceived { id: once, reply });
        let keyed = self.asks("keyed");
        self.attempt(keyed, "a1");
        self.ended(keyed, "a1", AttemptOutcome::Cancelled);
        self.up(keyed, if self.is(Strays) { "b1" } else { "a2" });
        let copied = self.asks("stream");
        self.attempt(copied, "a1");
        if self.is(Copies) {
            self.now += 200.0;
            self.attempt(copied, "a2");
            self.now += 200.0;
        }
        self.ended(copied, "a1", AttemptOutcome::Cancelled);
        self.up(copied, "a2");
    }

    fn watch(&mut self, call: u64, after: u64) {
        self.record(EventKind::DiscoveryCalled {
            relay: 3,
            call,
            request: DiscoveryRequest::Watch { after, wait_ms: 4000 },
            queued: true,
        });
    }

    fn drains(&mut self) {
        self.watch(1, 3);
        self.listed(4, "a1", EndpointPhase::Terminating, false);
        self.now += 100.0;
        self.record(EventKind::DiscoveryAnswered { relay: 3, call: 1, revision: 4 });
        self.watch(2, 4);
        // What was on its way may still arrive.
        self.now += 900.0;
        let id = self.asks("stream");
        self.up(id, "a1");
        self.now += 200.0;
        if self.is(Ignores) {
            let id = self.asks("stream");
            self.up(id, "a1");
        }
        self.listed(5, "a2", EndpointPhase::Terminating, false);
        self.now += 7500.0;
        if self.is(Sleeps) {
            let id = self.asks("stream");
            self.up(id, "a2");
        }
        self.record(EventKind::DiscoveryFailed { relay: 3, call: 2 });
        self.watch(3, 5);
    }

    fn fails_back(&mut self) {
        self.record(EventKind::ColdStart { endpoint: "b2".into(), setups_per_s: 100.0 });
        self.listed(6, "b2", EndpointPhase::Ready, true);
        self.record(EventKind::DiscoveryAnswered { relay: 3, call: 3, revision: 6 });
        // 100 a second, of which 34% in the middle of it tripled are 102; for chance two roots of that and
        // two: 124.
        for _ in 0..if self.is(Floods) { 130 } else { 90 } {
            let id = self.asks("stream");
            self.record(EventKind::AttemptReceived {
                id,
                endpoint: "b2".into(),
                first_byte_ms: self.now,
                mid_flow: false,
            });
            self.now += 5.0;
            self.ended(id, "b2", AttemptOutcome::Rejected);
            self.now -= 10.0;
            self.record(EventKind::ReplyReceived { id, reply: Reply::Rejected(Some(100)) });
        }
    }
}

fn play(careless: Careless) -> Verdict {
    play_with(careless, None)
}

/// The same, with a stall of the stand-ins' thread in the middle of what arrived at the cold endpoint.
fn play_with(careless: Careless, stall: Option<f64>) -> Verdict {
    let mut play = Play { careless, now: 10.0, next: 0, log: Vec::new() };
    let endpoints = ["a1", "a2", "b1"];
    endpoints
        .iter()
        .zip(1..)
        .for_each(|(id, revision)| play.listed(revision, id, EndpointPhase::Ready, false));
    play.record(EventKind::RelayStarted { relay: 3, known_revision: 3 });
    play.answers();
    play.repeats();
    play.drains();
    let before = play.now;
    play.fails_back();
    play.log.extend(stall.map(|ms| Event {
        at_ms: (before + play.now) / 2.0,
        kind: EventKind::ClusterStalled { stall_ms: ms },
    }));
    play.log.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    play.now += 5000.0;
    play.record(EventKind::RelayReady(0));
    let classes = HashMap::from([
        (Arc::from("once"), Idempotency::Unsafe),
        (Arc::from("keyed"), Idempotency::Keyed { scope: RepeatScope::Zone, window_ms: 5000.0 }),
    ]);
    check_invariants(&play.log, &RuleSettings::default(), &classes)
}

#[test]
fn a_careful_relay_keeps_all_rules() {
    let verdict = play(Nothing);
    assert!(verdict.violations.is_empty(), "{verdict}");
    assert!((0.5..1.0).contains(&verdict.max_cold_load_fraction), "{verdict}");
}

#[test]
fn a_careless_one_is_caught_for_each_rule_and_for_no_other() {
    let all = [
        (Cuts, Rule::Answered),
        (Late, Rule::Answered),
        (Forges, Rule::Answered),
        (Repeats, Rule::NoRepeat),
        (Copies, Rule::NoRepeat),
        (Strays, Rule::NoRepeat),
        (Disclaims, Rule::NoRepeat),
        (Ignores, Rule::Drain),
        (Sleeps, Rule::Drain),
        (Floods, Rule::SlowStart),
    ];
    for (careless, rule) in all {
        let verdict = play(careless);
        assert_eq!(verdict.violations.len(), 1, "{careless:?}: {verdict}");
        let violation = &verdict.violations[0];
        assert_eq!(
            (violation.rule, violation.relays.iter().eq([&3])),
            (rule, true),
            "{careless:?}: {verdict}"
        );
        assert!(violation.events.len() > 1 && !verdict.satisfies(rule), "{careless:?}: {verdict}");
    }
}

/// What arrived during a stall is recorded in one moment: the verdict names the stall, and excuses nothing
/// for it.
#[test]
fn a_stall_of_the_rig_is_told_and_excuses_nothing() {
    for careless in [Nothing, Floods] {
        let verdict = play_with(careless, Some(500.0));
        assert_eq!(
            (verdict.max_stall_ms, verdict.satisfies(Rule::SlowStart)),
            (500.0, careless == Nothing),
            "{verdict}"
        );
        assert!(verdict.to_string().contains("stalled for 500 ms"), "{verdict}");
    }
}

#[test]
fn what_a_relay_could_not_know_is_not_its_breach() {
    let untold = |change: &dyn Fn(&mut Vec<Event>)| {
        let mut play = Play { careless: Nothing, now: 10.0, next: 0, log: Vec::new() };
        play.listed(1, "a1", EndpointPhase::Ready, false);
        play.record(EventKind::RelayStarted { relay: 3, known_revision: 1 });
        play.listed(2, "a1", EndpointPhase::Terminating, false);
        play.now += 5000.0;
        let id = play.asks("stream");
        play.attempt(id, "a1");
        play.ended(id, "a1", AttemptOutcome::Rejected);
        play.now += 100.0;
        change(&mut play.log);
        play.now += 10_000.0;
        play.record(EventKind::RelayReady(0));
        check_invariants(&play.log, &RuleSettings::default(), &HashMap::new())
    };
    // It has not asked, and has still time to; and its client was lost with it, at the death that the log
    // shows.
    let dies = |log: &mut Vec<Event>| {
        let at_ms = log.last().map_or(0.0, |e| e.at_ms);
        log.push(Event { at_ms, kind: EventKind::RelayDied(3) });
        log.push(Event { at_ms, kind: EventKind::ReplyReceived { id: 1, reply: Reply::Closed } });
    };
    let verdict = untold(&dies);
    assert!(verdict.violations.is_empty(), "{verdict}");
    let verdict = untold(&|_| {});
    assert!(!verdict.satisfies(Rule::Answered) && verdict.satisfies(Rule::Drain), "{verdict}");
}
