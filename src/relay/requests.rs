//! Handles what happens to one request or connection, from its acceptance to its end. Each handler turns one
//! occurrence into an event for the load balancer and keeps the two guarantees: exactly one final reply, and
//! at most one attempt in flight.

use log::warn;
use sandgw_quota::policy::Verdict;

use super::Relay;
use super::commands::{Attempt, ConnectionCommand, LocalReply};
use super::connections::{Connection, ConnectionStage};
use super::incoming::IncomingRequest;
use crate::policy::api::{EndpointId, Event, Millis, Outcome, Request, RequestId};

/// An attempt or an established connection that has ended.
struct EndedAttempt {
    endpoint: EndpointId,
    was_established: bool,
}

impl Connection {
    /// Moves the request back to the queue; `None` where no attempt was in flight and no connection
    /// established.
    fn end_attempt(&mut self) -> Option<EndedAttempt> {
        match std::mem::replace(&mut self.stage, ConnectionStage::Queued) {
            ConnectionStage::Queued => None,
            ConnectionStage::Attempting(endpoint) => Some(EndedAttempt { endpoint, was_established: false }),
            ConnectionStage::Established(endpoint) => Some(EndedAttempt { endpoint, was_established: true }),
        }
    }
}

impl Relay {
    /// Accepts a request. A connection that an endpoint already has is attempted at that endpoint and nowhere
    /// else.
    pub fn accept_request(&mut self, now: Millis, incoming: IncomingRequest) -> RequestId {
        let id = self.connections.allocate_id();
        self.counters.connections += 1;
        let verdict = self.decide_quota(now, &incoming);
        let request = self.policy_request(id, &incoming);
        let connection = Connection::queued(&incoming, request.class, verdict == Verdict::Admit);
        self.connections.insert(id, connection);
        match (verdict, incoming.existing_endpoint, incoming.tenant) {
            (Verdict::Reject(reason), ..) => self.reject_over_quota(now, id, reason),
            (Verdict::Wait(ticket), _, Some(tenant)) => {
                self.await_quota_decision(now, ticket, request, tenant);
            }
            (_, Some(endpoint), _) => self.attempt_existing_endpoint(request, endpoint),
            (_, None, _) => self.events.push_back(Event::Request(request)),
        }
        self.handle_queued_events(now);
        id
    }

    fn policy_request(&self, id: RequestId, incoming: &IncomingRequest) -> Request {
        Request {
            id,
            class: self.classes.position(&incoming.class),
            client: incoming.client.clone(),
            group: incoming.group.clone(),
            deadline: incoming.deadline,
            setup_time_used: incoming.setup_time_used,
            load: incoming.load,
            mid_flow: incoming.mid_flow,
            is_returning: incoming.is_returning,
            drained_by_endpoint: incoming.drained_by_endpoint,
        }
    }

    fn attempt_existing_endpoint(&mut self, request: Request, endpoint: EndpointId) {
        if let Some(connection) = self.connections.get_mut(request.id) {
            connection.attempts = 1;
            connection.stage = ConnectionStage::Attempting(endpoint.clone());
        }
        let attempt = Attempt {
            number: 0,
            endpoint: endpoint.clone(),
            was_ready: false,
            give_up_at: request.deadline,
            write_by: request.deadline,
        };
        self.command(request.id, ConnectionCommand::StartAttempt(attempt));
        self.events.push_back(Event::ExistingConnection { request, endpoint });
    }

    /// Handles the endpoint's acceptance of the connection, `elapsed` milliseconds after the attempt was
    /// sent: this acceptance is the final reply.
    pub fn connection_established(&mut self, now: Millis, id: RequestId, elapsed: Millis) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let ConnectionStage::Attempting(endpoint) = &connection.stage else { return };
        let endpoint = endpoint.clone();
        self.counters.established += 1;
        self.endpoints.connection_established(&endpoint);
        connection.stage = ConnectionStage::Established(endpoint);
        connection.answered = true;
        let attempt = connection.last_attempt();
        self.count_established(id);
        self.events.push_back(Event::Established { request: id, attempt, elapsed });
        self.handle_queued_events(now);
    }

    /// Handles the end of the attempt in flight, or of the established connection.
    pub fn attempt_ended(&mut self, now: Millis, id: RequestId, outcome: Outcome) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Some(EndedAttempt { endpoint, was_established }) = connection.end_attempt() else { return };
        let attempt = connection.last_attempt();
        let cannot_retry = connection.existing_endpoint_only && !was_established;
        let finished = was_established || cannot_retry || connection.answered;
        self.count_ended_attempt(now, &endpoint, outcome, was_established);
        if cannot_retry {
            self.reply(id, LocalReply::Failed);
        }
        if finished {
            self.remove_connection(now, id);
        }
        self.events.push_back(Event::AttemptEnded { request: id, attempt, endpoint, outcome, finished });
        self.handle_queued_events(now);
    }

    fn count_ended_attempt(
        &mut self,
        now: Millis,
        endpoint: &EndpointId,
        outcome: Outcome,
        was_established: bool,
    ) {
        self.counters.attempts[outcome as usize] += 1;
        if was_established {
            self.endpoints.connection_closed(endpoint);
        } else if outcome == Outcome::Rejected {
            self.count_endpoint_rejection(now);
        }
    }

    /// Handles a client that has left without a final reply, or got a final reply that the core did not
    /// command.
    pub fn client_disconnected(&mut self, now: Millis, id: RequestId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.answered {
            return;
        }
        connection.answered = true;
        let queued = connection.stage == ConnectionStage::Queued;
        self.events.push_back(Event::ClientDisconnected(id));
        if queued {
            self.remove_connection(now, id);
        }
        self.handle_queued_events(now);
        if !queued {
            self.attempt_ended(now, id, Outcome::Cancelled);
        }
    }

    /// The client is about to give up: the request is answered now, even if the load balancer still queues
    /// it.
    pub fn deadline_passed(&mut self, now: Millis, id: RequestId) {
        if self.connections.get(id).is_some_and(|connection| !connection.answered) {
            warn!(
                "connection {}: deadline passed without a final reply; the request is answered as failed",
                id.0
            );
            self.reply(id, LocalReply::Failed);
            self.client_disconnected(now, id);
        }
    }

    /// Commands the final reply, unless one was given. The request is not marked as answered: the caller
    /// removes the request or reports its client gone next.
    pub(super) fn reply(&mut self, id: RequestId, reply: LocalReply) {
        if self.connections.get(id).is_none_or(|connection| connection.answered) {
            return;
        }
        match reply {
            LocalReply::Rejected(_) => self.counters.rejected += 1,
            LocalReply::Failed => self.counters.failed += 1,
        }
        self.command(id, ConnectionCommand::Reply(reply));
    }

    /// Removes a request or connection that has ended.
    pub(super) fn remove_connection(&mut self, now: Millis, id: RequestId) {
        if let Some(connection) = self.connections.remove(id) {
            self.count_removed(now, &connection);
        }
    }
}
