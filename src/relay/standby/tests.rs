//! Tests which connections migrate off a relay that is to end, and when.

use super::super::commands::{Command, ConnectionCommand};
use super::super::{IncomingRequest, Relay};
use super::MIGRATION_STEP_MS;
use crate::policy::api::*;
use crate::tests::{START, ready, settings};

const CONNECTIONS: usize = 20;
/// The platform kills a process at the earliest this long after SIGTERM, in ms.
const TERMINATION_MS: Millis = 3700.0;

/// A relay with established connections that the network can reroute, if `packet_passthrough`.
fn relay_with_connections(packet_passthrough: bool) -> Relay {
    let settings = Settings { packet_passthrough, ..settings() };
    let mut relay = Relay::new(settings, vec!["safe".into()], 7, START);
    relay.apply_list(START, ListKind::Full, ready(4));
    for client in 0..CONNECTIONS {
        let request = IncomingRequest {
            class: "safe".into(),
            client: Some(Key(format!("c{client}").into())),
            deadline: START + 2000.0,
            reroutable: true,
            ..IncomingRequest::default()
        };
        let id = relay.accept_request(START, request);
        relay.connection_established(START, id, 5.0);
    }
    relay.take_commands();
    relay
}

/// Runs the migration steps from `start` to the kill. Returns how many clients each step asks to reconnect.
fn migrations_by_step(relay: &mut Relay, start: Millis) -> Vec<usize> {
    let steps = (TERMINATION_MS / MIGRATION_STEP_MS) as usize;
    let migrated_in_step = |step: usize| {
        relay.run_migration_step(start + step as f64 * MIGRATION_STEP_MS);
        let is_migration =
            |command: &&Command| matches!(command, Command::Connection(_, ConnectionCommand::Migrate));
        relay.take_commands().iter().filter(is_migration).count()
    };
    (1..steps).map(migrated_in_step).collect()
}

fn is_spread(migrations: &[usize]) -> bool {
    migrations.iter().all(|migrated| *migrated <= 1)
}

/// Guards against connections that are still held when the platform kills the process.
#[test]
fn sigterm_migrates_connections_that_end_with_the_process() {
    let mut relay = relay_with_connections(false);
    relay.terminate(START + 10.0);
    let migrations = migrations_by_step(&mut relay, START + 10.0);
    assert_eq!(migrations.iter().sum::<usize>(), CONNECTIONS);
    assert!(is_spread(&migrations), "{migrations:?}");
}

#[test]
fn sigterm_leaves_connections_that_pass_through() {
    let mut relay = relay_with_connections(true);
    relay.terminate(START + 10.0);
    assert_eq!(migrations_by_step(&mut relay, START + 10.0).iter().sum::<usize>(), 0);
}

/// Guards against a call of operators that stops the migrations of a process that will be killed.
#[test]
fn the_call_active_does_not_end_the_migrations_after_sigterm() {
    let mut relay = relay_with_connections(false);
    relay.terminate(START + 10.0);
    relay.enter_standby(START + 20.0);
    relay.activate();
    assert_eq!(migrations_by_step(&mut relay, START + 10.0).iter().sum::<usize>(), CONNECTIONS);
}

/// Guards against clients that are all asked to reconnect at once since the hand-over was long ago.
#[test]
fn migrations_after_a_hand_over_are_spread_from_sigterm_on() {
    let mut relay = relay_with_connections(false);
    relay.hand_over();
    let terminated_at = START + 60_000.0;
    relay.terminate(terminated_at);
    // The connections can't be transferred, as if they were RTMP's.
    relay.connections.sorted_ids(|_| true).into_iter().for_each(|id| {
        relay.connections.get_mut(id).unwrap().reroutable = false;
    });
    let migrations = migrations_by_step(&mut relay, terminated_at);
    assert_eq!(migrations.iter().sum::<usize>(), CONNECTIONS);
    assert!(is_spread(&migrations), "{migrations:?}");
}
