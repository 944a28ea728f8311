//! What becomes of attempts, and the rules that each of them is checked against.

use rand::RngExt;

use super::checks::Rule;
use super::timeline::{AttemptRef, RequestRef, ScheduledEvent};
use super::world::{
    CLASSES, COLD_CAPACITY_FRACTION, FAULTS_MS, MAX_ATTEMPTS, OVERLOAD_MULTIPLE, ObservedConnection,
    Placement, WARM_UP_CAPACITY_FRACTION, WARM_UP_MS, World,
};
use crate::policy::api::{EndpointId, EndpointState, Millis, Outcome};
use crate::relay::Attempt;
use crate::tests::START;

/// An endpoint that drains gets nothing new after this.
const STOP_WITHIN_MS: Millis = 1_000.0;
/// New connections a second that a warm endpoint can take for good, by which the rule of cold endpoints is
/// measured.
const CAPACITY_PER_S: f64 = 12.0;
const COLD_WINDOW_MS: Millis = 1_000.0;
/// Slack for chance of that rule: of a few relays in connections, of a large cluster in roots of the bound
/// and connections.
const FEW_RELAYS: usize = 4;
const FEW_RELAYS_SLACK: f64 = 2.0;
const SLACK_ROOTS: f64 = 2.0;
const SLACK_CONNECTIONS: f64 = 2.0;
/// Mean time that a connection is established.
const CONNECTION_MS: Millis = 8_000.0;

/// The index of an endpoint.
fn index_of(endpoint: &EndpointId) -> usize {
    endpoint.0[1..].parse().expect("an endpoint of these runs")
}

/// Whether an attempt of this number is allowed now.
fn attempt_allowed(connection: &ObservedConnection, attempt: &Attempt) -> bool {
    let idle = connection.attempting.is_none() && connection.established.is_none();
    let next = connection.attempts == attempt.number && attempt.number < MAX_ATTEMPTS;
    connection.is_open() && idle && next && attempt.give_up_at <= connection.deadline
}

impl World {
    pub(super) fn start_attempt(&mut self, request: RequestRef, attempt: Attempt) {
        let RequestRef { relay, id } = request;
        let now = self.now;
        let Some(connection) = self.relays[relay].connections.get_mut(&id) else {
            return self.violation(Rule::OneAttempt, format!("{id:?} is attempted after its end"));
        };
        let allowed = attempt_allowed(connection, &attempt);
        connection.attempts += 1;
        connection.attempting = Some(Placement { endpoint: attempt.endpoint.clone(), since: now });
        let Attempt { number, endpoint, give_up_at, .. } = attempt;
        self.check(Rule::OneAttempt, allowed, || format!("{id:?}: attempt {number}, until {give_up_at}"));
        self.check_draining(request, &endpoint);
        self.check_cold(relay, &endpoint);
        let attempt = AttemptRef { request, number };
        self.after((give_up_at - now).max(0.0), ScheduledEvent::AttemptTimeout(attempt));
        if self.relays[relay].descriptors_short {
            return self.after(0.0, ScheduledEvent::AttemptEnds { attempt, outcome: Outcome::NotSent });
        }
        self.draw_outcome(attempt, index_of(&endpoint));
    }

    fn check_draining(&mut self, request: RequestRef, endpoint: &EndpointId) {
        let since = self.relays[request.relay].draining.get(endpoint).copied();
        let holds = since.is_none_or(|since| self.now - since <= STOP_WITHIN_MS);
        self.check(Rule::Draining, holds, || {
            format!("{:?} attempted to {endpoint:?}, told {since:?} that it drains", request.id)
        });
    }

    fn check_cold(&mut self, relay: usize, id: &EndpointId) {
        let now = self.now;
        let endpoint = &mut self.endpoints[index_of(id)];
        let age = now - endpoint.started;
        let known = self.relays[relay].starts.get(id) == Some(&endpoint.started);
        let cold = endpoint.started > 0.0 && age < WARM_UP_MS;
        if !cold || !known || endpoint.state != EndpointState::Ready {
            return;
        }
        endpoint.cold_attempts.push(now);
        let recent =
            endpoint.cold_attempts.iter().filter(|sent| now - **sent < COLD_WINDOW_MS).count() as f64;
        let max = self.max_cold_attempts(age);
        self.check(Rule::Cold, recent <= max, || format!("{recent} to {id:?}, {age:.0} ms old, of {max}"));
    }

    fn max_cold_attempts(&self, age: Millis) -> f64 {
        let warmth = COLD_CAPACITY_FRACTION + WARM_UP_CAPACITY_FRACTION * age / WARM_UP_MS;
        let bound = OVERLOAD_MULTIPLE * warmth * CAPACITY_PER_S * COLD_WINDOW_MS / 1000.0;
        // Hundreds of relays send each by itself: the count is as uneven as that of any independent arrivals.
        let chance = SLACK_ROOTS * bound.sqrt() + SLACK_CONNECTIONS;
        bound + if self.relays.len() > FEW_RELAYS { chance } else { FEW_RELAYS_SLACK }
    }

    fn draw_outcome(&mut self, attempt: AttemptRef, endpoint: usize) {
        let kind = self.random.random_range(0..100);
        let recovering = self.now > START + FAULTS_MS;
        let took = if recovering { self.random_span(5.0, 40.0) } else { self.random_span(5.0, 400.0) };
        let ends = |outcome| ScheduledEvent::AttemptEnds { attempt, outcome };
        match (self.endpoints[endpoint].state, kind) {
            (EndpointState::Removed, 0..70) => self.after(1.0, ends(Outcome::ConnectFailed)),
            (EndpointState::Removed, _) => self.after(200.0, ends(Outcome::ConnectFailed)),
            (EndpointState::Draining, 0..60) => self.after(2.0, ends(Outcome::Rejected)),
            _ if recovering => self.after(took, ScheduledEvent::Established(attempt)),
            (_, 0..6) => self.after(took, ends(Outcome::Error)),
            (_, 6..12) => self.after(2.0, ends(Outcome::Rejected)),
            (_, 12..16) => self.after(1.0, ends(Outcome::ConnectFailed)),
            (_, 16..20) => self.after(took, ends(Outcome::Reset)),
            // Silence: its time runs out.
            (_, 20..26) => {}
            _ => self.after(took, ScheduledEvent::Established(attempt)),
        }
    }

    /// Whether this attempt of a connection is still out; then it no longer is.
    fn take_attempt(&mut self, attempt: AttemptRef) -> Option<Placement> {
        let RequestRef { relay, id } = attempt.request;
        let connection = self.relays[relay].connections.get_mut(&id)?;
        let attempts = connection.attempts;
        connection.attempting.take_if(|_| attempts == attempt.number + 1)
    }

    pub(super) fn establish(&mut self, attempt: AttemptRef) {
        let RequestRef { relay, id } = attempt.request;
        let now = self.now;
        let Some(Placement { endpoint, since: sent }) = self.take_attempt(attempt) else { return };
        let removed = self.endpoints[index_of(&endpoint)].state == EndpointState::Removed;
        let Some(connection) = self.relays[relay].connections.get_mut(&id) else { return };
        if removed {
            connection.attempting = Some(Placement { endpoint, since: sent });
            return self.end_attempt(attempt, Outcome::Reset);
        }
        connection.established = Some(Placement { endpoint, since: now });
        self.call(relay, |relay, now| relay.connection_established(now, id, now - sent));
        let duration = self.random_exponential(CONNECTION_MS);
        let outcome = if self.random.random_bool(0.5) { Outcome::Ok } else { Outcome::Cancelled };
        self.after(duration, ScheduledEvent::Close { request: attempt.request, outcome });
    }

    pub(super) fn end_attempt(&mut self, attempt: AttemptRef, outcome: Outcome) {
        let RequestRef { relay, id } = attempt.request;
        if self.take_attempt(attempt).is_none() {
            return;
        }
        self.call(relay, |relay, now| relay.attempt_ended(now, id, outcome));
        let connection = &self.relays[relay].connections[&id];
        let answered = connection.answered;
        // A repeat might act twice: an unsafe connection that may have run is given up as well.
        let unsafe_to_repeat = CLASSES[connection.class] == "unsafe" && outcome.may_have_run();
        if attempt.number + 1 >= MAX_ATTEMPTS || unsafe_to_repeat {
            self.check(Rule::GivenUp, answered, || format!("{id:?} is given up and not answered at once"));
        }
    }
}
