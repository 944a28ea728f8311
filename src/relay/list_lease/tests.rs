//! Tests when the lease keeps a relay from placing connections, and when a relay is ready for clients.

use super::super::commands::{Command, ConnectionCommand};
use super::super::timers::CoreTimer;
use super::super::{IncomingRequest, Relay, ServingMode};
use super::MAX_START_MS;
use crate::policy::api::*;
use crate::tests::{START, ready, settings};

/// The number of relays from which on a cluster gossips about departures.
const SMALLEST_LARGE_CLUSTER: u32 = 9;

fn without_messages() -> Settings {
    Settings { peer_messages: false, discovery: Discovery::OnRequest, ..settings() }
}

fn with_messages() -> Settings {
    Settings { peer_messages: true, ..without_messages() }
}

fn with_pushed_lists() -> Settings {
    Settings { discovery: Discovery::Pushed, ..with_messages() }
}

/// A relay that has just loaded its cached list.
fn starting(settings: Settings) -> Relay {
    let mut relay = Relay::new(settings, vec!["safe".into()], 7, START);
    relay.load_cached_list(START, Some(1), ready(2));
    relay.track_list_lease(START);
    relay
}

/// Like [`starting`], with the commands of the start taken.
fn started(settings: Settings) -> Relay {
    let mut relay = starting(settings);
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
    let mut relay = started(without_messages());
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

/// Lets the time of a start pass.
fn end_start(relay: &mut Relay) {
    let is_end_of_start = |command: &Command| matches!(command, Command::SetTimer { token, .. } if *token == CoreTimer::EndOfStart.token());
    assert!(relay.take_commands().iter().any(is_end_of_start));
    relay.timer_fired(START + MAX_START_MS, CoreTimer::EndOfStart.token());
}

#[test]
fn a_relay_is_ready_after_its_first_poll_is_answered_or_finds_discovery_down() {
    for poll_ended in [Relay::discovery_answered, Relay::discovery_unreachable] {
        let mut relay = started(without_messages());
        assert_eq!(relay.serving_mode(), ServingMode::Starting);
        poll_ended(&mut relay, START + 50.0, START + 40.0);
        assert_eq!(relay.serving_mode(), ServingMode::Active);
        assert!(places_request(&mut relay, START + 60.0));
    }
}

/// Guards against sends by the list of the last run after an overloaded discovery service has turned the
/// first poll away.
#[test]
fn a_first_poll_that_is_turned_away_confirms_no_list() {
    let mut relay = starting(without_messages());
    relay.discovery_poll_failed(START + 50.0);
    assert_eq!(relay.serving_mode(), ServingMode::Starting);
    end_start(&mut relay);
    assert_eq!(relay.serving_mode(), ServingMode::Active, "a process has to be ready in time");
    assert!(!places_request(&mut relay, START + 5060.0));
    relay.discovery_answered(START + 7000.0, START + 6990.0);
    assert!(places_request(&mut relay, START + 7010.0));
}

/// Guards against sends by the list of the old service after the changes of the new one count as known.
#[test]
fn a_new_address_of_discovery_shortens_the_lease() {
    let mut relay = started(without_messages());
    relay.discovery_answered(START + 50.0, START + 50.0);
    relay.discovery_changed(START + 1000.0);
    assert!(places_request(&mut relay, START + 5000.0));
    assert!(!places_request(&mut relay, START + 5001.0));
}

/// Guards against sends by the list of the last run where lists are pushed: what the agent has counts as
/// known, whether or not it has answered.
#[test]
fn a_process_uses_no_pushed_list_before_its_agent_has_answered() {
    let mut relay = starting(with_pushed_lists());
    assert_eq!(relay.serving_mode(), ServingMode::Starting);
    relay.discovery_poll_failed(START + 50.0);
    relay.discovery_unreachable(START + 60.0, START + 55.0);
    assert_eq!(
        relay.serving_mode(),
        ServingMode::Starting,
        "an agent that can't be reached may have changes"
    );
    end_start(&mut relay);
    assert_eq!(relay.serving_mode(), ServingMode::Active, "a process has to be ready in time");
    assert!(!places_request(&mut relay, START + 5060.0));
    relay.discovery_answered(START + 7000.0, START + 6990.0);
    assert!(places_request(&mut relay, START + 7010.0));
}

/// Guards against connections that are rejected in an outage of discovery: the agent is silent then and
/// learns nothing.
#[test]
fn a_pushed_list_stays_valid_while_its_agent_is_silent() {
    let mut relay = started(with_pushed_lists());
    relay.discovery_answered(START + 50.0, START + 50.0);
    assert_eq!(relay.serving_mode(), ServingMode::Active);
    relay.discovery_poll_failed(START + 3000.0);
    assert!(places_request(&mut relay, START + 60_000.0));
}

/// Guards against sends by the list of the old agent after what the new one has counts as known.
#[test]
fn a_new_address_of_the_agent_ends_the_validity_of_a_pushed_list() {
    let mut relay = started(with_pushed_lists());
    relay.discovery_answered(START + 50.0, START + 50.0);
    relay.discovery_changed(START + 1000.0);
    assert!(places_request(&mut relay, START + 5000.0));
    assert!(!places_request(&mut relay, START + 5001.0));
    relay.discovery_answered(START + 6000.0, START + 5990.0);
    assert!(places_request(&mut relay, START + 60_000.0));
}

/// Guards against a lease that begins when a late answer arrives: the answer may be as old as its request.
#[test]
fn a_late_answer_confirms_the_list_as_of_its_request_at_the_earliest() {
    let mut relay = started(without_messages());
    relay.discovery_answered(START + 5000.0, START);
    assert!(places_request(&mut relay, START + 6000.0));
    relay.discovery_answered(START + 5900.0, START - 1000.0);
    assert!(places_request(&mut relay, START + 6000.0), "an older confirmation does not end the lease");
    assert!(!places_request(&mut relay, START + 6001.0));
}

#[test]
fn the_list_is_used_without_answers_where_relays_gossip_about_departures() {
    let mut relay = started(Settings { relay_count: SMALLEST_LARGE_CLUSTER, ..with_messages() });
    assert_eq!(relay.serving_mode(), ServingMode::Active);
    assert!(places_request(&mut relay, START) && places_request(&mut relay, START + 60_000.0));
}

/// Guards against a list that is used without answers in a small cluster, where no relay gossips about
/// departures.
#[test]
fn a_small_cluster_with_messages_depends_on_answers_too() {
    for relay_count in [1, 2, SMALLEST_LARGE_CLUSTER - 1] {
        let mut relay = started(Settings { relay_count, ..with_messages() });
        assert_eq!(relay.serving_mode(), ServingMode::Starting);
        assert!(!places_request(&mut relay, START));
        relay.discovery_answered(START + 50.0, START + 50.0);
        assert!(places_request(&mut relay, START + 6050.0));
        assert!(!places_request(&mut relay, START + 6051.0));
    }
}
