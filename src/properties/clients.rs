//! Clients: their requests, what they do with replies, and how they leave.

use rand::RngExt;

use super::checks::Rule;
use super::internals::{BalancerState, balancer_state};
use super::timeline::{RequestRef, ScheduledEvent};
use super::world::{CLASSES, ObservedConnection, REPLY_SLACK_MS, RETRY_AFTER_MS, RelayProcess, World};
use crate::policy::api::{Key, Outcome, RequestId};
use crate::relay::{IncomingRequest, LocalReply};

const SURGE_FACTOR: f64 = 5.0;
/// Classes by how often they are drawn.
const DRAWN_CLASSES: [usize; 8] = [0, 0, 0, 0, 1, 2, 3, 4];
/// The first classes: their clients retry after every reply, others only after a rejection.
const RETRIED_CLASSES: usize = 2;

fn numbered_key(name: &str, number: u32) -> Option<Key> {
    Some(Key(format!("{name}{number}").into()))
}

impl World {
    pub(super) fn add_client(&mut self) {
        let relay = self.random_relay();
        let client = self.next_client;
        self.next_client += 1;
        self.send_request(relay, client, false);
        let rate = if self.surge { SURGE_FACTOR * self.rate } else { self.rate };
        let pause = self.random_exponential(1000.0 / rate);
        self.after(pause, ScheduledEvent::NewClient);
    }

    /// A client sends a request to a relay, or to another where that does not run.
    pub(super) fn send_request(&mut self, relay: usize, client: u32, is_returning: bool) {
        let relay = self.running_relay(relay);
        let class = DRAWN_CLASSES[self.random.random_range(0..DRAWN_CLASSES.len())];
        let deadline = self.now + self.random_span(300.0, 3_000.0);
        let drained_by_endpoint = self.random.random_bool(0.5);
        let incoming = IncomingRequest {
            class: CLASSES[class].into(),
            client: numbered_key("client", client),
            // Some groups are far larger than others.
            group: numbered_key("group", (client % 12) * (client % 5)),
            deadline,
            is_returning,
            drained_by_endpoint,
            ..IncomingRequest::default()
        };
        let id = self.relays[relay].relay.accept_request(self.now, incoming);
        let connection = ObservedConnection {
            client,
            deadline,
            attempts: 0,
            attempting: None,
            established: None,
            answered: false,
            client_gone: false,
            migrated: false,
            drained_by_endpoint,
            class,
        };
        self.relays[relay].connections.insert(id, connection);
        let request = RequestRef { relay, id };
        self.after(deadline + REPLY_SLACK_MS - self.now, ScheduledEvent::Deadline(request));
        if self.random.random_bool(0.03) {
            let soon = self.random_span(1.0, 300.0);
            self.after(soon, ScheduledEvent::ClientLeaves(request));
        }
        self.call(relay, |_, _| {});
    }

    /// This relay if it runs, or else one of those that do.
    fn running_relay(&mut self, relay: usize) -> usize {
        if self.relays[relay].running {
            return relay;
        }
        let running = self.running_relays();
        running[self.random.random_range(0..running.len())]
    }

    pub(super) fn running_relays(&self) -> Vec<usize> {
        (0..self.relays.len()).filter(|relay| self.relays[*relay].running).collect()
    }

    pub(super) fn receive_reply(&mut self, request: RequestRef, reply: LocalReply) {
        let RequestRef { relay, id } = request;
        let now = self.now;
        let Some(connection) = self.relays[relay].connections.get_mut(&id) else {
            return self.violation(Rule::OneAnswer, format!("{id:?} is answered after its end"));
        };
        let idle = connection.established.is_none() && connection.attempting.is_none();
        let holds = connection.is_open() && idle && now <= connection.deadline + REPLY_SLACK_MS;
        connection.answered = true;
        let client = connection.client;
        let class = connection.class;
        self.check(Rule::OneAnswer, holds, || {
            format!("{id:?} is answered {reply:?} again, late or while an attempt is out")
        });
        if let LocalReply::Rejected(after) = reply {
            let holds = after == Some(RETRY_AFTER_MS);
            self.check(Rule::GivenUp, holds, || format!("{id:?} rejected: {after:?}"));
        }
        if class < RETRIED_CLASSES || matches!(reply, LocalReply::Rejected(_)) {
            let pause = RETRY_AFTER_MS + self.random_span(0.0, 200.0);
            let to = self.random_relay();
            self.after(pause, ScheduledEvent::Request { relay: to, client, is_returning: true });
        }
    }

    /// A client that is asked to reconnect does so.
    pub(super) fn migrate_client(&mut self, request: RequestRef) {
        let RequestRef { relay, id } = request;
        let Some(connection) = self.relays[relay].connections.get_mut(&id) else { return };
        let established = connection.established.is_some();
        let client = connection.client;
        connection.migrated = true;
        self.check(Rule::OneAnswer, established, || {
            format!("{id:?} is asked to reconnect and is not established")
        });
        let pause = self.random_span(20.0, 200.0);
        self.after(pause, ScheduledEvent::Close { request, outcome: Outcome::Cancelled });
        let to = self.random_relay();
        self.after(pause + 100.0, ScheduledEvent::Request { relay: to, client, is_returning: true });
    }

    /// A client whose connection broke comes again after a while.
    pub(super) fn reconnect(&mut self, client: u32, is_returning: bool) {
        let relay = self.random_relay();
        let pause = self.random_span(50.0, 400.0);
        self.after(pause, ScheduledEvent::Request { relay, client, is_returning });
    }

    pub(super) fn pass_deadline(&mut self, request: RequestRef) {
        let RequestRef { relay, id } = request;
        let Some(connection) = self.relays[relay].connections.get(&id) else { return };
        let established = connection.established.is_some();
        let answered = established || !connection.is_open();
        self.check(Rule::OneAnswer, answered, || format!("{id:?} has no answer in time"));
        if !established {
            self.relays[relay].connections.remove(&id);
        }
    }

    /// An established connection ends.
    pub(super) fn close(&mut self, request: RequestRef, outcome: Outcome) {
        let RequestRef { relay, id } = request;
        let connections = &mut self.relays[relay].connections;
        if connections.get(&id).is_some_and(|connection| connection.established.is_some()) {
            connections.remove(&id);
            self.call(relay, |relay, now| relay.attempt_ended(now, id, outcome));
        }
    }

    /// A client leaves, unless it is answered: then nothing is recorded of it, and all else is as before.
    pub(super) fn leave(&mut self, request: RequestRef) {
        let RequestRef { relay, id } = request;
        let process = &mut self.relays[relay];
        let Some(connection) = process.connections.get_mut(&id) else { return };
        if !connection.is_open() || connection.established.is_some() {
            return;
        }
        if balancer_state(&process.relay).queued.contains(&id) {
            self.clients_gone.queued += 1;
        } else if connection.attempting.is_some() {
            self.clients_gone.attempting += 1;
        } else {
            self.clients_gone.pending += 1;
        }
        connection.client_gone = true;
        connection.attempting = None;
        self.call(relay, |relay, now| relay.client_disconnected(now, id));
        self.check_client_gone(request);
    }

    fn check_client_gone(&mut self, request: RequestRef) {
        let process = &self.relays[request.relay];
        let open = ExpectedState::of(process);
        let state = balancer_state(&process.relay);
        let holds = open.matches(&state);
        self.check(Rule::ClientGone, holds, || {
            let (tracked, attempting) = (state.tracked.len(), state.attempting);
            format!(
                "after the client of {:?} left {tracked} connections are tracked, {attempting} of them attempted, \
                 and not {} with {} attempted",
                request.id,
                open.tracked.len(),
                open.attempting
            )
        });
    }
}

/// What a load balancer has to have recorded, by what an observer has seen.
struct ExpectedState {
    tracked: Vec<RequestId>,
    attempting: usize,
    /// Attempts and connections at endpoints.
    placed: usize,
}

impl ExpectedState {
    fn of(process: &RelayProcess) -> Self {
        let open = || process.connections.iter().filter(|(_, connection)| connection.is_open());
        let attempting = open().filter(|(_, c)| c.attempting.is_some()).count();
        let placed = open().filter(|(_, c)| c.attempting.is_some() || c.established.is_some()).count();
        ExpectedState { tracked: open().map(|(id, _)| *id).collect(), attempting, placed }
    }

    fn matches(&self, state: &BalancerState) -> bool {
        self.tracked == state.tracked
            && state.queued.iter().all(|id| state.tracked.contains(id))
            && state.attempting == self.attempting
            && (state.load - self.placed as f64).abs() < 1e-6
            && state.placed == self.placed
    }
}
