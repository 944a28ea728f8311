//! Tests: when the lease keeps a relay from placing connections, and when it is ready for clients.

use super::super::commands::{Command, ConnectionCommand};
use super::super::{IncomingRequest, Relay, ServingMode};
use crate::policy::api::*;
use crate::tests::{START, ready, settings};

/// A relay that has loaded the list of its last run, where relays may (not) send each other messages.
fn started(peer_messages: bool) -> Relay {
    let settings = Settings { peer_messages, discovery: Discovery::OnRequest, ..settings() };
    let mut relay = Relay::new(settings, vec!["safe".into()], 7, START);
    relay.load_cached_list(START, Some(1), ready(2));
    relay.track_list_lease(START);
    relay.take_commands();
    relay
}

/// Whether a request that arrives now gets an attempt at once.
fn places(relay: &mut Relay, now: Millis) -> bool {
    let incoming =
        IncomingRequest { class: "safe".into(), deadline: now + 2000.0, ..IncomingRequest::default() };
    let id = relay.accept_request(now, incoming);
    let starts = |command: &Command| matches!(command, Command::Connection(of, ConnectionCommand::StartAttempt(_)) if *of == id);
    let is_placed = relay.take_commands().iter().any(starts);
    relay.client_gone(now, id);
    is_placed
}

/// Guards against connections that are placed by a list of which changes count as known already.
#[test]
fn a_list_is_used_for_six_seconds_after_each_answer() {
    let mut relay = started(false);
    assert!(!places(&mut relay, START), "nothing vouches for the list of the last run");
    relay.discovery_answered(START + 50.0);
    assert!(places(&mut relay, START + 6050.0));
    assert!(!places(&mut relay, START + 6051.0));
    relay.discovery_poll_failed(START + 6100.0);
    assert!(!places(&mut relay, START + 6101.0), "a crowded service has the changes");
    relay.discovery_unreachable(START + 7000.0);
    assert!(places(&mut relay, START + 13_000.0), "what nobody can ask for counts as known later");
    assert!(!places(&mut relay, START + 13_001.0));
}

#[test]
fn a_relay_is_ready_once_its_first_poll_has_ended_whichever_way() {
    for poll_ended in [Relay::discovery_answered, Relay::discovery_unreachable, Relay::discovery_poll_failed]
    {
        let mut relay = started(false);
        assert_eq!(relay.serving_mode(), ServingMode::Starting);
        poll_ended(&mut relay, START + 50.0);
        assert_eq!(relay.serving_mode(), ServingMode::Active);
        assert!(places(&mut relay, START + 60.0));
    }
}

#[test]
fn where_relays_tell_each_other_of_departures_the_list_is_used_without_answers() {
    let mut relay = started(true);
    assert_eq!(relay.serving_mode(), ServingMode::Active);
    assert!(places(&mut relay, START) && places(&mut relay, START + 60_000.0));
}
