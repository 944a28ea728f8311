//! Words of endpoints that leave: what the core makes of them, and real processes that discovery can't all
//! answer.

use std::collections::BTreeSet;
use std::time::Duration;

use sandgw::policy::api::{
    Class, ClusterMessage, Discovery, EndpointEntry, EndpointId, EndpointState, Idempotency, Key, Millis,
    PeerMessage, Settings, Zone,
};
use sandgw::relay::{Attempt, Command, ConnectionCommand, IncomingRequest, Relay};
use sandgw_affinity::codec::EndpointHash;
use sandgw_cluster::drain_gossip::DiscoveryAnswer;
use sandgw_test_cluster::fault_schedule::Fault;
use sandgw_test_cluster::log::{Event, EventKind};
use sandgw_test_cluster::{ClusterConfig, TestCluster};

const START: Millis = 1000.0;

fn entry(n: u64, state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(format!("s{n}").into()),
        state,
        weight: 1.0,
        started: 0.0,
        zone: Zone("a".into()),
        cell: 0,
    }
}

fn ready(n: u64) -> Vec<EndpointEntry> {
    (0..n).map(|n| entry(n, EndpointState::Ready)).collect()
}

/// One of 300 relays that holds four endpoints as of version 40.
fn relay(peers: bool) -> Relay {
    let class = Class {
        idempotency: Idempotency::Safe,
        latency_objective: 500.0,
        message_latency_objective: None,
        priority_weight: 1.0,
    };
    let settings = Settings {
        classes: vec![class],
        discovery: Discovery::OnRequest,
        relay_count: 300,
        local_index: 7,
        peer_messages: peers,
        ..Settings::default()
    };
    let mut relay = Relay::new(settings, vec!["safe".into()], 7, START);
    relay.load_cached_list(START, Some(40), ready(4));
    relay.take_commands();
    relay
}

/// Where a hundred clients are sent, each of which leaves again.
fn sent(relay: &mut Relay, now: Millis) -> BTreeSet<String> {
    let mut all = BTreeSet::new();
    for client in 0..100 {
        let client = Some(Key(format!("c{client}").into()));
        let arrival = IncomingRequest {
            class: "safe".into(),
            client,
            deadline: now + 500.0,
            ..IncomingRequest::default()
        };
        let id = relay.accept_request(now, arrival);
        all.extend(relay.take_commands().into_iter().filter_map(|c| match c {
            Command::Connection(_, ConnectionCommand::StartAttempt(Attempt { endpoint, .. })) => {
                Some(endpoint.0.to_string())
            }
            _ => None,
        }));
        relay.client_disconnected(now, id);
        relay.take_commands();
    }
    all
}

fn word(revision: u64, endpoints: &[u64]) -> PeerMessage {
    let endpoints = endpoints.iter().map(|n| EndpointHash::of(&format!("s{n}"))).collect();
    PeerMessage::Cluster(ClusterMessage::Draining { revision, endpoints })
}

/// To whom words or questions are sent.
fn tells(relay: &mut Relay) -> Vec<(u32, ClusterMessage)> {
    let told = |c| match c {
        Command::SendToPeer { peer, message: PeerMessage::Cluster(piece) } => Some((peer, piece)),
        _ => None,
    };
    let mut all: Vec<_> = relay.take_commands().into_iter().filter_map(told).collect();
    all.retain(|(_, piece)| matches!(piece, ClusterMessage::Draining { .. } | ClusterMessage::DrainQuery(_)));
    all
}

fn names(all: &[u64]) -> BTreeSet<String> {
    all.iter().map(|n| format!("s{n}")).collect()
}

#[test]
fn nothing_is_sent_to_a_streamer_on_a_word_and_a_few_others_are_told() {
    let mut relay = relay(true);
    assert_eq!(sent(&mut relay, START), names(&[0, 1, 2, 3]));
    relay.receive_peer_message(START, 3, word(41, &[2]));
    let told = tells(&mut relay);
    assert!(!told.is_empty() && told.len() <= 4, "{told:?}");
    assert!(told.iter().all(|(peer, _)| *peer != 7 && *peer < 300), "{told:?}");
    assert!(!relay.is_ready(&EndpointId("s2".into())));
    assert_eq!(sent(&mut relay, START), names(&[0, 1, 3]));
    relay.receive_peer_message(START, 4, word(41, &[2]));
    assert!(tells(&mut relay).is_empty(), "a word is passed on once");
}

#[test]
fn a_client_that_stands_at_a_streamer_is_told_when_a_word_says_that_it_leaves() {
    let mut relay = relay(true);
    let arrival =
        IncomingRequest { class: "safe".into(), deadline: START + 500.0, ..IncomingRequest::default() };
    let id = relay.accept_request(START, arrival);
    let endpoint = relay.take_commands().into_iter().find_map(|c| match c {
        Command::Connection(_, ConnectionCommand::StartAttempt(Attempt { endpoint, .. })) => {
            Some(endpoint.0[1..].parse().unwrap())
        }
        _ => None,
    });
    relay.connection_established(START, id, 5.0);
    relay.receive_peer_message(START, 3, word(41, &[endpoint.expect("it is sent on")]));
    let mut moved = false;
    for ms in 0..2000 {
        let now = START + f64::from(ms);
        for command in relay.take_commands() {
            match command {
                Command::SetTimer { token, .. } => relay.timer_fired(now, token),
                Command::Connection(_, ConnectionCommand::Migrate) => moved = true,
                _ => {}
            }
        }
    }
    assert!(moved, "its client was not told");
}

#[test]
fn a_word_makes_no_streamer_ready_and_none_known() {
    let mut relay = relay(true);
    relay.apply_discovery_answer(
        START,
        DiscoveryAnswer { revision: 41, requested_at: START, is_full: false },
        vec![entry(1, EndpointState::Draining)],
    );
    relay.receive_peer_message(START, 3, word(42, &[77]));
    relay.receive_peer_message(START, 3, word(42, &[1]));
    assert_eq!(sent(&mut relay, START), names(&[0, 2, 3]));
    assert_eq!(relay.endpoints().count(), 4);
}

#[test]
fn a_word_of_a_list_that_is_no_newer_is_not_taken() {
    let mut relay = relay(true);
    relay.receive_peer_message(START, 3, word(40, &[2]));
    relay.receive_peer_message(START, 3, word(7, &[1]));
    assert_eq!(sent(&mut relay, START), names(&[0, 1, 2, 3]));
}

#[test]
fn relays_that_may_not_tell_each_other_take_no_word_and_send_none() {
    let mut relay = relay(false);
    relay.receive_peer_message(START, 3, word(41, &[2]));
    assert_eq!(sent(&mut relay, START), names(&[0, 1, 2, 3]));
    relay.apply_discovery_answer(
        START,
        DiscoveryAnswer { revision: 41, requested_at: START, is_full: false },
        vec![entry(1, EndpointState::Draining)],
    );
    assert!(tells(&mut relay).is_empty());
}

#[test]
fn a_streamer_is_sent_to_again_once_an_answer_knows_better_than_a_word() {
    let all = names(&[0, 1, 2, 3]);
    let answer = |revision, asked, whole| DiscoveryAnswer { revision, requested_at: asked, is_full: whole };
    // Of the word's version or a later one, or to a call that was made after the word came, whatever its
    // version: the word may be of another service.
    for answer in
        [answer(41, START - 1.0, false), answer(45, START - 1.0, false), answer(40, START + 5.0, false)]
    {
        let mut relay = relay(true);
        relay.receive_peer_message(START, 3, word(41, &[2]));
        relay.apply_discovery_answer(START + 10.0, answer, Vec::new());
        assert_eq!(sent(&mut relay, START + 10.0), all, "{answer:?}");
        relay.receive_peer_message(START + 20.0, 4, word(41, &[2]));
        assert_eq!(sent(&mut relay, START + 20.0), all, "{answer:?}: the same word once more");
    }
    let mut relay = relay(true);
    relay.receive_peer_message(START, 3, word(41, &[2]));
    relay.apply_discovery_answer(START + 10.0, answer(41, START - 1.0, true), ready(4));
    assert_eq!(sent(&mut relay, START + 10.0), all, "the whole list");
}

#[test]
fn a_streamer_stays_avoided_while_the_word_is_newer_than_the_answer() {
    let mut relay = relay(true);
    relay.receive_peer_message(START, 3, word(42, &[2]));
    let answer = DiscoveryAnswer { revision: 41, requested_at: START - 1.0, is_full: false };
    relay.apply_discovery_answer(START + 10.0, answer, vec![entry(0, EndpointState::Removed)]);
    assert_eq!(sent(&mut relay, START + 10.0), names(&[1, 3]));
    let answer = DiscoveryAnswer { revision: 42, requested_at: START - 1.0, is_full: false };
    relay.apply_discovery_answer(START + 20.0, answer, vec![entry(2, EndpointState::Draining)]);
    assert_eq!(sent(&mut relay, START + 20.0), names(&[1, 3]), "the list says so too");
    let answer = DiscoveryAnswer { revision: 43, requested_at: START + 20.0, is_full: false };
    relay.apply_discovery_answer(START + 30.0, answer, Vec::new());
    assert_eq!(sent(&mut relay, START + 30.0), names(&[1, 3]), "and has not taken it back");
}

/// An endpoint left as of version 41 and is back, started anew, as of 43: whatever way the words of its
/// leaving cross the own list's answers, it is sent to, and leaves again when it does.
#[test]
fn words_of_a_start_before_do_no_harm_to_a_streamer_that_is_back() {
    let back = || EndpointEntry { started: START - 100.0, ..entry(2, EndpointState::Ready) };
    let answer = |revision| DiscoveryAnswer { revision, requested_at: START - 1.0, is_full: false };
    let (left, gone) = (|| word(41, &[2]), || word(42, &[2]));
    let id = EndpointId("s2".into());
    type Step<'a> = &'a dyn Fn(&mut Relay);
    let tell: Step = &|relay| relay.receive_peer_message(START + 1.0, 3, left());
    let tell_gone: Step = &|relay| relay.receive_peer_message(START + 2.0, 4, gone());
    let hear_left: Step = &|relay| {
        relay.apply_discovery_answer(START + 3.0, answer(41), vec![entry(2, EndpointState::Draining)])
    };
    let hear_gone: Step = &|relay| {
        relay.apply_discovery_answer(START + 4.0, answer(42), vec![entry(2, EndpointState::Removed)])
    };
    let hear_back: Step = &|relay| relay.apply_discovery_answer(START + 5.0, answer(43), vec![back()]);
    let crossings: [&[Step]; 8] = [
        &[hear_back, tell, tell_gone],
        &[tell, hear_back, tell_gone],
        &[tell, tell_gone, hear_back],
        &[tell_gone, tell, hear_back],
        &[tell_gone, hear_back, tell],
        &[hear_left, tell_gone, hear_back, tell],
        &[tell, hear_left, hear_gone, tell_gone, hear_back, tell_gone],
        &[hear_gone, tell, hear_back, tell, tell_gone],
    ];
    for (n, steps) in crossings.iter().enumerate() {
        let mut relay = relay(true);
        steps.iter().for_each(|step| step(&mut relay));
        assert!(relay.is_ready(&id), "crossing {n}");
        relay.receive_peer_message(START + 20.0, 5, word(44, &[2]));
        assert!(!relay.is_ready(&id), "crossing {n}: it leaves again");
        relay.apply_discovery_answer(START + 30.0, answer(44), vec![entry(2, EndpointState::Draining)]);
        assert!(!relay.is_ready(&id), "crossing {n}: as the list says");
    }
}

#[test]
fn words_of_the_service_before_do_no_harm_after_a_move() {
    let mut relay = relay(true);
    let answer = |revision, asked, whole| DiscoveryAnswer { revision, requested_at: asked, is_full: whole };
    relay.apply_discovery_answer(START, answer(40, START, false), Vec::new());
    relay.receive_peer_message(START, 3, word(2000, &[2]));
    relay.discovery_changed(START + 10.0);
    relay.apply_discovery_answer(START + 20.0, answer(5, START + 15.0, true), ready(4));
    assert_eq!(sent(&mut relay, START + 20.0), names(&[0, 1, 2, 3]), "taken before the move");
    relay.receive_peer_message(START + 30.0, 3, word(2001, &[1]));
    relay.apply_discovery_answer(START + 40.0, answer(5, START + 25.0, false), Vec::new());
    relay.apply_discovery_answer(START + 50.0, answer(6, START + 45.0, false), Vec::new());
    assert_eq!(sent(&mut relay, START + 50.0), names(&[0, 1, 2, 3]), "taken after the move");
}

#[test]
fn what_comes_on_a_watch_that_goes_on_is_told_to_nobody_but_those_who_ask() {
    let mut relay = relay(true);
    let answer = |revision| DiscoveryAnswer { revision, requested_at: START, is_full: false };
    relay.apply_discovery_answer(START, answer(41), Vec::new());
    tells(&mut relay);
    relay.apply_discovery_answer(START + 100.0, answer(42), vec![entry(1, EndpointState::Draining)]);
    assert!(tells(&mut relay).is_empty(), "in calm times");
    relay.receive_peer_message(START + 200.0, 99, PeerMessage::Cluster(ClusterMessage::DrainQuery(40)));
    let [(99, ClusterMessage::Draining { revision: 42, endpoints })] = &tells(&mut relay)[..] else {
        panic!("who asks is not answered")
    };
    assert_eq!(*endpoints, [EndpointHash::of("s1")]);
    relay.apply_discovery_answer(START + 300.0, answer(43), vec![entry(2, EndpointState::Removed)]);
    let [(99, ClusterMessage::Draining { revision: 43, endpoints })] = &tells(&mut relay)[..] else {
        panic!("who has asked is not told what is new")
    };
    assert_eq!(*endpoints, [EndpointHash::of("s2")]);
    relay.apply_discovery_answer(START + 60_000.0, answer(44), vec![entry(3, EndpointState::Removed)]);
    assert!(tells(&mut relay).is_empty(), "a minute later");
}

/// What a busy machine may be late by, in milliseconds.
const GRACE: f64 = 1500.0;

fn attempts(events: &[Event], at: &str, since: f64) -> usize {
    let attempt =
        |e: &&Event| matches!(&e.kind, EventKind::AttemptReceived { endpoint, .. } if **endpoint == *at);
    events.iter().filter(|e| e.at_ms > since).filter(attempt).count()
}

/// Discovery was down, and is back with a change and at a rate that has most relays wait for half a minute:
/// by then all of them have stopped sending to the endpoint that leaves.
#[tokio::test]
async fn relays_that_discovery_cannot_answer_in_time_know_by_word_what_has_left() {
    const RELAYS: usize = 20;
    let mut size = ClusterConfig::new(env!("CARGO_BIN_EXE_sandgw"), RELAYS, 4);
    size.rules.grace_ms = GRACE;
    let mut rig = TestCluster::new(size).await.unwrap();
    rig.start_and_wait().await.unwrap();
    let told = |events: &[Event], to: u64| {
        let told = |relay: usize| {
            let has = |e: &Event| matches!(e.kind, EventKind::DiscoveryAnswered { relay: r, revision, .. } if r == relay && revision >= to);
            events.iter().any(has)
        };
        (0..RELAYS).filter(|relay| told(*relay)).count()
    };
    let all = |events: &[Event]| told(events, 0) == RELAYS;
    assert!(rig.log.wait_until(20_000.0, all).await, "not all have a list");
    tokio::time::sleep(Duration::from_millis(500)).await;
    rig.discovery.update(|s| s.down = true);
    tokio::time::sleep(Duration::from_millis(4000)).await;
    rig.apply(&Fault::DrainEndpoint { endpoint: 0, within_ms: 30_000.0 }).await.unwrap();
    rig.discovery.update(|s| (s.down, s.call_cost_ms) = (false, 1500.0));
    let back = rig.log.now();
    let first = |events: &[Event]| told(events, 5) > 0;
    assert!(rig.log.wait_until(20_000.0, first).await, "nobody was answered");
    let first = rig.log.now();
    // Counted from the first answer: before that nobody can know.
    tokio::time::sleep(Duration::from_millis((6000.0 + GRACE) as u64)).await;
    let (since, answered) = (rig.log.now(), told(&rig.log.events(), 5));
    eprintln!("first answer {:.0} ms after the return, {answered} answered by then", first - back);
    assert!(answered * 2 < RELAYS, "{answered} of {RELAYS} were answered: that proves nothing");
    let plan = sandgw_test_cluster::load_clients::LoadPlan {
        count: 200,
        over_ms: 2000.0,
        stay_ms: 300.0,
        ..Default::default()
    };
    let results = rig.start_clients(plan).finish(20_000.0).await;
    assert!(results.all.served * 10 >= results.all.total() * 9, "{results:?}");
    let events = rig.log.events();
    assert_eq!(attempts(&events, "s000", since), 0, "a streamer that leaves was sent to");
    assert!(attempts(&events, "s001", since) > 0);
    let verdict = rig.verdict();
    assert!(verdict.violations.is_empty(), "{verdict}");
}
