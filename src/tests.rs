//! Tests of the core over the load balancer: slow endpoints by their round trips, and new settings.

use crate::policy::api::*;
pub(crate) use crate::policy::tests::world::{START, class, endpoint, entry, ready, settings};
use crate::relay::{Command, ConnectionCommand, IncomingRequest, LocalReply, Relay};

/// On sockets nobody but the relay's own tick tells that an endpoint's messages take long.
#[test]
fn a_streamer_whose_round_trips_are_long_gets_nothing_new_until_they_are_short() {
    let mut relay = Relay::new(settings(), vec!["safe".into()], 7, START);
    relay.apply_list(START, ListKind::Cached, ready(2));
    let now = std::cell::Cell::new(START);
    let place = |relay: &mut Relay, client: u64| {
        let client = Some(Key(format!("c{client}").into()));
        let deadline = now.get() + 200.0;
        let id = relay.accept_request(
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
        relay.connection_established(now.get(), id, 5.0);
        standing.push((id, endpoint.unwrap()));
    }
    let new_connections = |relay: &mut Relay, trip: Millis, clients: std::ops::Range<u64>| {
        for (id, _) in standing.iter().filter(|(_, at)| *at == endpoint(0)) {
            relay.record_round_trip(*id, trip);
        }
        relay.tick(now.get());
        let placed = clients.filter_map(|client| {
            let (id, endpoint) = place(relay, client);
            relay.client_disconnected(now.get(), id);
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
        relay.apply_list(START, ListKind::Cached, ready(6));
        Core { relay, now: START, told: Vec::new() }
    }

    fn retune(&mut self, classes: &[(&str, Idempotency)], attempts: u32) {
        let (settings, names) = named(classes, attempts);
        self.relay.apply_settings(self.now, settings, &names);
    }

    fn arrive(&mut self, class: &str) -> RequestId {
        let deadline = self.now + 2000.0;
        let id = self.relay.accept_request(
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
                    self.relay.attempt_ended(self.now, id, outcome);
                }
                None => {
                    self.now += 10.0;
                    self.relay.timer_fired(self.now, id.0);
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

/// What a connection may do holds from its start to its end, wherever its class stands in the settings
/// meanwhile.
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
