//! Passes queued events to the load balancer and turns its actions into commands.

use log::error;

use super::Relay;
use super::commands::{Attempt, Command, ConnectionCommand, LocalReply};
use super::connections::ConnectionStage;
use crate::policy::api::{Action, Actions, AttemptId, EndpointId, Event, Millis, Outcome, RequestId};

impl Relay {
    /// Passes queued events to the load balancer until none is left, and runs the actions of each event in
    /// order.
    pub(super) fn handle_queued_events(&mut self, now: Millis) {
        let mut actions = Actions::new();
        while let Some(event) = self.events.pop_front() {
            self.load_balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.run_action(now, action);
            }
        }
    }

    fn run_action(&mut self, now: Millis, action: Action) {
        match action {
            Action::StartAttempt { request, endpoint, give_up_at, write_by } => {
                let was_ready = self.is_ready(&endpoint);
                let attempt = Attempt { number: 0, endpoint, was_ready, give_up_at, write_by };
                self.start_attempt(request, attempt);
            }
            Action::Reject { request, retry_after } => {
                self.count_policy_rejection(now, request);
                self.reply(request, LocalReply::Rejected(retry_after));
                self.remove_connection(now, request);
            }
            Action::Fail(request) => {
                self.reply(request, LocalReply::Failed);
                self.remove_connection(now, request);
            }
            Action::Migrate(request) => self.migrate_connection(request),
            Action::SetTimer { after, token } => self.commands.push(Command::SetTimer { after, token }),
            Action::Subscribe => self.commands.push(Command::Subscribe),
            Action::SendToPeer { peer, message } => self.commands.push(Command::SendToPeer { peer, message }),
        }
    }

    /// Commands an attempt with the next number, unless it would break a guarantee or the limit on attempts.
    fn start_attempt(&mut self, id: RequestId, attempt: Attempt) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let allowed = connection.stage == ConnectionStage::Queued
            && !connection.answered
            && connection.attempts < self.max_attempts;
        if !allowed {
            return self.refuse_attempt(id, attempt.endpoint);
        }
        let attempt = Attempt { number: connection.attempts, ..attempt };
        connection.attempts += 1;
        connection.stage = ConnectionStage::Attempting(attempt.endpoint.clone());
        self.endpoints.attempt_started(&attempt.endpoint);
        self.command(id, ConnectionCommand::StartAttempt(attempt));
    }

    /// Reports an attempt as not sent because it would break a guarantee, whatever the load balancer decided.
    fn refuse_attempt(&mut self, id: RequestId, endpoint: EndpointId) {
        let Some(connection) = self.connections.get(id) else { return };
        error!(
            "connection {}: attempt to {} not sent: the request is answered, not queued or out of attempts",
            id.0, endpoint.0
        );
        let attempt = AttemptId(connection.attempts);
        let finished = connection.answered;
        let outcome = Outcome::NotSent;
        self.events.push_back(Event::AttemptEnded { request: id, attempt, endpoint, outcome, finished });
    }

    /// Adds a command for one connection.
    pub(super) fn command(&mut self, id: RequestId, command: ConnectionCommand) {
        self.commands.push(Command::Connection(id, command));
    }
}
