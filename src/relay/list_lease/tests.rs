//! Tests when the lease keeps a relay from placing connections, and when a relay is ready for clients.

use super::super::commands::{Command, ConnectionCommand};
use super::super::{IncomingRequest, Relay, ServingMode};
use crate::policy::api::*;
use crate::tests::{START, ready, settings};

/// A relay that has loaded its cached list. `peer_messages` says whether relays may send each other messages.
fn started_relay(peer_messages: bool) -> Relay {
    let settings = Settings { peer_messages, discovery: Discovery::OnRequest, ..settings() };
    let mut relay = Relay::new(settings, vec!["safe".into()], 7, START);
    relay.load_cached_list(START, Some(1), ready(2));
    relay.track_list_lease(START);
    relay.take_commands();
    relay
}

/// Whether a request that arrives now gets an attempt at once.
fn places_request(relay: &mut Relay, now: Millis) -> bool {
    let incoming =
        IncomingRequest { class: "safe".into(), deadline: now + 2000.0, ..IncomingRequest::default() };
    let id = relay.accept_request(now, incoming);
    let is_start = |command: &Command| matches!(command, Command::Connection(connection, ConnectionCommand::StartAttempt(_)) if *connection == id);
    let is_placed = relay.take_commands().iter().any(is_start);
    relay.client_disconnected(now, id);
    is_placed
}

/// Guards against connections that are placed by an old list although changes to it already count as known.
#[test]
fn a_list_is_used_for_six_seconds_after_each_answer() {
    let mut relay = started_relay(false);
    assert!(!places_request(&mut relay, START), "the cached list is of unknown age");
    relay.discovery_answered(START + 50.0, START + 50.0);
    assert!(places_request(&mut relay, START + 6050.0));
    assert!(!places_request(&mut relay, START + 6051.0));
    relay.discovery_poll_failed(START + 6100.0);
    assert!(!places_request(&mut relay, START + 6101.0), "an overloaded service may have changes");
    relay.discovery_unreachable(START + 7000.0, START + 7000.0);
    assert!(
        places_request(&mut relay, START + 13_000.0),
        "changes that no relay can request count as known later"
    );
    assert!(!places_request(&mut relay, START + 13_001.0));
}

#[test]
fn a_relay_is_ready_after_its_first_poll_is_answered_or_fails() {
    let answered: fn(&mut Relay, Millis) = |relay, now| relay.discovery_answered(now, now);
    let unreachable: fn(&mut Relay, Millis) = |relay, now| relay.discovery_unreachable(now, now);
    for poll_ended in [answered, unreachable, Relay::discovery_poll_failed] {
        let mut relay = started_relay(false);
        assert_eq!(relay.serving_mode(), ServingMode::Starting);
        poll_ended(&mut relay, START + 50.0);
        assert_eq!(relay.serving_mode(), ServingMode::Active);
        assert!(places_request(&mut relay, START + 60.0));
    }
}

/// Guards against a lease that begins when a late answer arrives: the answer may be as old as its request.
#[test]
fn a_late_answer_confirms_the_list_as_of_its_request_at_the_earliest() {
    let mut relay = started_relay(false);
    relay.discovery_answered(START + 5000.0, START);
    assert!(places_request(&mut relay, START + 6000.0));
    relay.discovery_answered(START + 5900.0, START - 1000.0);
    assert!(places_request(&mut relay, START + 6000.0), "an older confirmation does not end the lease");
    assert!(!places_request(&mut relay, START + 6001.0));
}

#[test]
fn the_list_is_used_without_answers_where_relays_gossip_about_departures() {
    let mut relay = started_relay(true);
    assert_eq!(relay.serving_mode(), ServingMode::Active);
    assert!(places_request(&mut relay, START) && places_request(&mut relay, START + 60_000.0));
}
