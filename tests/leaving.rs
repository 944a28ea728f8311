//! Drain gossip: how a relay's core handles `Draining` messages of its peers, and how real processes use them
//! when discovery can't answer all of them in time.

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

/// A relay in a cluster of 300 that has four endpoints from revision 40 of the endpoint list.
fn relay(with_peer_messages: bool) -> Relay {
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
        peer_messages: with_peer_messages,
        ..Settings::default()
    };
    let mut relay = Relay::new(settings, vec!["safe".into()], 7, START);
    relay.load_cached_list(START, Some(40), ready(4));
    relay.take_commands();
    relay
}

/// The endpoints at which the relay starts attempts for a hundred clients, each of which disconnects again.
fn attempted_endpoints(relay: &mut Relay, now: Millis) -> BTreeSet<String> {
    let mut attempted = BTreeSet::new();
    for client in 0..100 {
        let client = Some(Key(format!("c{client}").into()));
        let request = IncomingRequest {
            class: "safe".into(),
            client,
            deadline: now + 500.0,
            ..IncomingRequest::default()
        };
        let id = relay.accept_request(now, request);
        attempted.extend(relay.take_commands().into_iter().filter_map(|c| match c {
            Command::Connection(_, ConnectionCommand::StartAttempt(Attempt { endpoint, .. })) => {
                Some(endpoint.0.to_string())
            }
            _ => None,
        }));
        relay.client_disconnected(now, id);
        relay.take_commands();
    }
    attempted
}

fn draining_message(revision: u64, endpoints: &[u64]) -> PeerMessage {
    let endpoints = endpoints.iter().map(|n| EndpointHash::of(&format!("s{n}"))).collect();
    PeerMessage::Cluster(ClusterMessage::Draining { revision, endpoints })
}

/// The `Draining` and `DrainQuery` messages that the relay sends, each with its peer.
fn drain_messages_sent(relay: &mut Relay) -> Vec<(u32, ClusterMessage)> {
    let cluster_message = |c| match c {
        Command::SendToPeer { peer, message: PeerMessage::Cluster(body) } => Some((peer, body)),
        _ => None,
    };
    let mut sent: Vec<_> = relay.take_commands().into_iter().filter_map(cluster_message).collect();
    sent.retain(|(_, body)| matches!(body, ClusterMessage::Draining { .. } | ClusterMessage::DrainQuery(_)));
    sent
}

fn endpoint_names(numbers: &[u64]) -> BTreeSet<String> {
    numbers.iter().map(|n| format!("s{n}")).collect()
}

#[test]
fn a_draining_message_stops_attempts_and_is_passed_to_a_few_peers() {
    let mut relay = relay(true);
    assert_eq!(attempted_endpoints(&mut relay, START), endpoint_names(&[0, 1, 2, 3]));
    relay.receive_peer_message(START, 3, draining_message(41, &[2]));
    let messages = drain_messages_sent(&mut relay);
    assert!(!messages.is_empty() && messages.len() <= 4, "{messages:?}");
    assert!(messages.iter().all(|(peer, _)| *peer != 7 && *peer < 300), "{messages:?}");
    assert!(!relay.is_ready(&EndpointId("s2".into())));
    assert_eq!(attempted_endpoints(&mut relay, START), endpoint_names(&[0, 1, 3]));
    relay.receive_peer_message(START, 4, draining_message(41, &[2]));
    assert!(drain_messages_sent(&mut relay).is_empty(), "a message is passed on once");
}

#[test]
fn a_draining_message_migrates_the_connections_of_its_endpoint() {
    let mut relay = relay(true);
    let request =
        IncomingRequest { class: "safe".into(), deadline: START + 500.0, ..IncomingRequest::default() };
    let id = relay.accept_request(START, request);
    let endpoint = relay.take_commands().into_iter().find_map(|c| match c {
        Command::Connection(_, ConnectionCommand::StartAttempt(Attempt { endpoint, .. })) => {
            Some(endpoint.0[1..].parse().unwrap())
        }
        _ => None,
    });
    relay.connection_established(START, id, 5.0);
    relay.receive_peer_message(START, 3, draining_message(41, &[endpoint.expect("an attempt starts")]));
    let mut migrated = false;
    for ms in 0..2000 {
        let now = START + f64::from(ms);
        for command in relay.take_commands() {
            match command {
                Command::SetTimer { token, .. } => relay.timer_fired(now, token),
                Command::Connection(_, ConnectionCommand::Migrate) => migrated = true,
                _ => {}
            }
        }
    }
    assert!(migrated, "the connection was not migrated");
}

#[test]
fn a_draining_message_makes_no_endpoint_ready_and_adds_none() {
    let mut relay = relay(true);
    relay.apply_discovery_answer(
        START,
        DiscoveryAnswer { revision: 41, requested_at: START, is_full: false },
        vec![entry(1, EndpointState::Draining)],
    );
    relay.receive_peer_message(START, 3, draining_message(42, &[77]));
    relay.receive_peer_message(START, 3, draining_message(42, &[1]));
    assert_eq!(attempted_endpoints(&mut relay, START), endpoint_names(&[0, 2, 3]));
    assert_eq!(relay.endpoints().count(), 4);
}

#[test]
fn a_draining_message_of_a_revision_that_is_not_newer_is_ignored() {
    let mut relay = relay(true);
    relay.receive_peer_message(START, 3, draining_message(40, &[2]));
    relay.receive_peer_message(START, 3, draining_message(7, &[1]));
    assert_eq!(attempted_endpoints(&mut relay, START), endpoint_names(&[0, 1, 2, 3]));
}

#[test]
fn relays_without_peer_messages_neither_accept_nor_send_draining_messages() {
    let mut relay = relay(false);
    relay.receive_peer_message(START, 3, draining_message(41, &[2]));
    assert_eq!(attempted_endpoints(&mut relay, START), endpoint_names(&[0, 1, 2, 3]));
    relay.apply_discovery_answer(
        START,
        DiscoveryAnswer { revision: 41, requested_at: START, is_full: false },
        vec![entry(1, EndpointState::Draining)],
    );
    assert!(drain_messages_sent(&mut relay).is_empty());
}

#[test]
fn attempts_resume_once_a_discovery_answer_overrides_the_draining_message() {
    let all = endpoint_names(&[0, 1, 2, 3]);
    let answer = |revision, call_time, full_list| DiscoveryAnswer {
        revision,
        requested_at: call_time,
        is_full: full_list,
    };
    // An answer overrides the message if its revision is at least the message's. So does an answer of any
    // revision to a call that was made after the message arrived, as the message may stem from another
    // discovery service.
    for answer in
        [answer(41, START - 1.0, false), answer(45, START - 1.0, false), answer(40, START + 5.0, false)]
    {
        let mut relay = relay(true);
        relay.receive_peer_message(START, 3, draining_message(41, &[2]));
        relay.apply_discovery_answer(START + 10.0, answer, Vec::new());
        assert_eq!(attempted_endpoints(&mut relay, START + 10.0), all, "{answer:?}");
        relay.receive_peer_message(START + 20.0, 4, draining_message(41, &[2]));
        assert_eq!(
            attempted_endpoints(&mut relay, START + 20.0),
            all,
            "{answer:?}: after the same message again"
        );
    }
    let mut relay = relay(true);
    relay.receive_peer_message(START, 3, draining_message(41, &[2]));
    relay.apply_discovery_answer(START + 10.0, answer(41, START - 1.0, true), ready(4));
    assert_eq!(attempted_endpoints(&mut relay, START + 10.0), all, "after a full list");
}

#[test]
fn an_endpoint_is_avoided_while_the_draining_message_is_newer_than_the_answer() {
    let mut relay = relay(true);
    relay.receive_peer_message(START, 3, draining_message(42, &[2]));
    let answer = DiscoveryAnswer { revision: 41, requested_at: START - 1.0, is_full: false };
    relay.apply_discovery_answer(START + 10.0, answer, vec![entry(0, EndpointState::Removed)]);
    assert_eq!(attempted_endpoints(&mut relay, START + 10.0), endpoint_names(&[1, 3]));
    let answer = DiscoveryAnswer { revision: 42, requested_at: START - 1.0, is_full: false };
    relay.apply_discovery_answer(START + 20.0, answer, vec![entry(2, EndpointState::Draining)]);
    assert_eq!(
        attempted_endpoints(&mut relay, START + 20.0),
        endpoint_names(&[1, 3]),
        "after the list says that the endpoint is draining"
    );
    let answer = DiscoveryAnswer { revision: 43, requested_at: START + 20.0, is_full: false };
    relay.apply_discovery_answer(START + 30.0, answer, Vec::new());
    assert_eq!(
        attempted_endpoints(&mut relay, START + 30.0),
        endpoint_names(&[1, 3]),
        "after a newer list that does not change the endpoint"
    );
}

/// An endpoint is draining in revision 41, removed in 42, and ready after a restart in 43. In whatever order
/// the messages about its drain and the relay's own discovery answers arrive, the relay sends requests to it
/// again, and stops when it drains anew.
#[test]
fn draining_messages_about_an_earlier_start_do_not_affect_a_restarted_endpoint() {
    let restarted = || EndpointEntry { started: START - 100.0, ..entry(2, EndpointState::Ready) };
    let answer = |revision| DiscoveryAnswer { revision, requested_at: START - 1.0, is_full: false };
    let (drain_message, removal_message) = (|| draining_message(41, &[2]), || draining_message(42, &[2]));
    let id = EndpointId("s2".into());
    type Step<'a> = &'a dyn Fn(&mut Relay);
    let receive_drain: Step = &|relay| relay.receive_peer_message(START + 1.0, 3, drain_message());
    let receive_removal: Step = &|relay| relay.receive_peer_message(START + 2.0, 4, removal_message());
    let list_drain: Step = &|relay| {
        relay.apply_discovery_answer(START + 3.0, answer(41), vec![entry(2, EndpointState::Draining)])
    };
    let list_removal: Step = &|relay| {
        relay.apply_discovery_answer(START + 4.0, answer(42), vec![entry(2, EndpointState::Removed)])
    };
    let list_restart: Step =
        &|relay| relay.apply_discovery_answer(START + 5.0, answer(43), vec![restarted()]);
    let orders: [&[Step]; 8] = [
        &[list_restart, receive_drain, receive_removal],
        &[receive_drain, list_restart, receive_removal],
        &[receive_drain, receive_removal, list_restart],
        &[receive_removal, receive_drain, list_restart],
        &[receive_removal, list_restart, receive_drain],
        &[list_drain, receive_removal, list_restart, receive_drain],
        &[receive_drain, list_drain, list_removal, receive_removal, list_restart, receive_removal],
        &[list_removal, receive_drain, list_restart, receive_drain, receive_removal],
    ];
    for (n, steps) in orders.iter().enumerate() {
        let mut relay = relay(true);
        steps.iter().for_each(|step| step(&mut relay));
        assert!(relay.is_ready(&id), "order {n}");
        relay.receive_peer_message(START + 20.0, 5, draining_message(44, &[2]));
        assert!(!relay.is_ready(&id), "order {n}: after a message about a new drain");
        relay.apply_discovery_answer(START + 30.0, answer(44), vec![entry(2, EndpointState::Draining)]);
        assert!(!relay.is_ready(&id), "order {n}: after the list says so too");
    }
}

#[test]
fn draining_messages_of_the_former_service_have_no_effect_after_a_change() {
    let mut relay = relay(true);
    let answer = |revision, call_time, full_list| DiscoveryAnswer {
        revision,
        requested_at: call_time,
        is_full: full_list,
    };
    relay.apply_discovery_answer(START, answer(40, START, false), Vec::new());
    relay.receive_peer_message(START, 3, draining_message(2000, &[2]));
    relay.discovery_changed(START + 10.0);
    relay.apply_discovery_answer(START + 20.0, answer(5, START + 15.0, true), ready(4));
    assert_eq!(
        attempted_endpoints(&mut relay, START + 20.0),
        endpoint_names(&[0, 1, 2, 3]),
        "message before the change of service"
    );
    relay.receive_peer_message(START + 30.0, 3, draining_message(2001, &[1]));
    relay.apply_discovery_answer(START + 40.0, answer(5, START + 25.0, false), Vec::new());
    relay.apply_discovery_answer(START + 50.0, answer(6, START + 45.0, false), Vec::new());
    assert_eq!(
        attempted_endpoints(&mut relay, START + 50.0),
        endpoint_names(&[0, 1, 2, 3]),
        "message after the change of service"
    );
}

#[test]
fn answers_of_an_uninterrupted_subscription_are_sent_only_to_peers_that_query() {
    let mut relay = relay(true);
    let answer = |revision| DiscoveryAnswer { revision, requested_at: START, is_full: false };
    relay.apply_discovery_answer(START, answer(41), Vec::new());
    drain_messages_sent(&mut relay);
    relay.apply_discovery_answer(START + 100.0, answer(42), vec![entry(1, EndpointState::Draining)]);
    assert!(drain_messages_sent(&mut relay).is_empty(), "without a query of a peer");
    relay.receive_peer_message(START + 200.0, 99, PeerMessage::Cluster(ClusterMessage::DrainQuery(40)));
    let [(99, ClusterMessage::Draining { revision: 42, endpoints })] = &drain_messages_sent(&mut relay)[..]
    else {
        panic!("the peer that sent a query got no answer")
    };
    assert_eq!(*endpoints, [EndpointHash::of("s1")]);
    relay.apply_discovery_answer(START + 300.0, answer(43), vec![entry(2, EndpointState::Removed)]);
    let [(99, ClusterMessage::Draining { revision: 43, endpoints })] = &drain_messages_sent(&mut relay)[..]
    else {
        panic!("the peer that sent a query was not notified of a later change")
    };
    assert_eq!(*endpoints, [EndpointHash::of("s2")]);
    relay.apply_discovery_answer(START + 60_000.0, answer(44), vec![entry(3, EndpointState::Removed)]);
    assert!(drain_messages_sent(&mut relay).is_empty(), "a minute later");
}

/// Additional time that is allowed on a busy machine, in milliseconds.
const GRACE_MS: f64 = 1500.0;

fn count_attempts(events: &[Event], at: &str, since: f64) -> usize {
    let attempt =
        |e: &&Event| matches!(&e.kind, EventKind::AttemptReceived { endpoint, .. } if **endpoint == *at);
    events.iter().filter(|e| e.at_ms > since).filter(attempt).count()
}

/// Discovery returns after a failure with a draining endpoint, and answers so slowly that most relays would
/// wait for half a minute. All relays stop sending to the endpoint within 6 s of the first answer.
#[tokio::test]
async fn relays_that_discovery_cannot_answer_in_time_learn_of_a_drain_by_gossip() {
    const RELAYS: usize = 20;
    let mut config = ClusterConfig::new(env!("CARGO_BIN_EXE_sandgw"), RELAYS, 4);
    config.rules.grace_ms = GRACE_MS;
    let mut cluster = TestCluster::new(config).await.unwrap();
    cluster.start_and_wait().await.unwrap();
    let answered_relays = |events: &[Event], min_revision: u64| {
        let is_answered = |relay: usize| {
            let is_answer = |e: &Event| matches!(e.kind, EventKind::DiscoveryAnswered { relay: r, revision, .. } if r == relay && revision >= min_revision);
            events.iter().any(is_answer)
        };
        (0..RELAYS).filter(|relay| is_answered(*relay)).count()
    };
    let all_answered = |events: &[Event]| answered_relays(events, 0) == RELAYS;
    assert!(cluster.log.wait_until(20_000.0, all_answered).await, "not all relays have an endpoint list");
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.discovery.update(|s| s.down = true);
    tokio::time::sleep(Duration::from_millis(4000)).await;
    cluster.apply(&Fault::DrainEndpoint { endpoint: 0, within_ms: 30_000.0 }).await.unwrap();
    cluster.discovery.update(|s| (s.down, s.call_cost_ms) = (false, 1500.0));
    let returned_at = cluster.log.now();
    let first_answer = |events: &[Event]| answered_relays(events, 5) > 0;
    assert!(cluster.log.wait_until(20_000.0, first_answer).await, "discovery answered no relay");
    let first_answer = cluster.log.now();
    // The time counts from the first answer, since no relay can know of the drain before it.
    tokio::time::sleep(Duration::from_millis((6000.0 + GRACE_MS) as u64)).await;
    let (since, answered) = (cluster.log.now(), answered_relays(&cluster.log.events(), 5));
    eprintln!(
        "first answer {:.0} ms after discovery returned, {answered} relays answered in time",
        first_answer - returned_at
    );
    assert!(
        answered * 2 < RELAYS,
        "{answered} of {RELAYS} relays were answered: too many for gossip to be tested"
    );
    let plan = sandgw_test_cluster::load_clients::LoadPlan {
        count: 200,
        over_ms: 2000.0,
        stay_ms: 300.0,
        ..Default::default()
    };
    let results = cluster.start_clients(plan).finish(20_000.0).await;
    assert!(results.all.served * 10 >= results.all.total() * 9, "{results:?}");
    let events = cluster.log.events();
    assert_eq!(count_attempts(&events, "s000", since), 0, "attempts at an endpoint that drains");
    assert!(count_attempts(&events, "s001", since) > 0);
    let verdict = cluster.verdict();
    assert!(verdict.violations.is_empty(), "{verdict}");
}
