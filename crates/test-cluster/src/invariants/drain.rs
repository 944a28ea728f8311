//! Rule 3: a relay sends nothing new to an endpoint that it knows to drain or to be removed.

use super::list_knowledge::ListKnowledge;
use super::run_log::RunLog;
use super::verdict::{Rule, Violation};
use crate::Millis;
use crate::log::{EndpointPhase, Event, EventKind, RequestId};

/// How long before the relay was informed a violation's events begin.
const SHOWN_BEFORE_MS: Millis = 20_000.0;

/// All violations of the rule.
pub(super) fn check(log: &RunLog, knowledge: &mut ListKnowledge) -> Vec<Violation> {
    let mut violations = Vec::new();
    for event in log.events {
        // The connection of a client that arrives mid-flow belongs to its endpoint, whether that drains or
        // not.
        if let EventKind::AttemptReceived { id, endpoint, first_byte_ms, mid_flow: false } = &event.kind {
            let attempt = Attempt { event, id: *id, endpoint, first_byte_ms: *first_byte_ms };
            violations.extend(check_attempt(log, knowledge, &attempt));
        }
    }
    violations
}

struct Attempt<'a> {
    event: &'a Event,
    id: RequestId,
    endpoint: &'a str,
    first_byte_ms: Millis,
}

fn check_attempt(log: &RunLog, knowledge: &mut ListKnowledge, attempt: &Attempt) -> Option<Violation> {
    let Attempt { endpoint, first_byte_ms, .. } = *attempt;
    let relay = log.relay_of_request(attempt.id)?;
    let change = unavailable_since(log, endpoint, first_byte_ms)?;
    let informed_ms = knowledge.informed_at(relay, change.revision, first_byte_ms)?;
    let late_ms = first_byte_ms - informed_ms - log.rules.stop_sending_ms - log.rules.grace_ms;
    if late_ms <= 0.0 {
        return None;
    }
    let description =
        format!("sent to {endpoint} {late_ms:.0} ms later than it may, informed at {informed_ms:.0}");
    let shown = informed_ms - SHOWN_BEFORE_MS..first_byte_ms;
    let relay_events = log.relay_events[&relay].iter().copied().filter(|event| shown.contains(&event.at_ms));
    let events = [change.event].into_iter().chain(relay_events).chain([attempt.event]);
    Some(Violation::new(Rule::Drain, [relay], description, events))
}

/// A change of the endpoint list.
struct ListChange<'a> {
    revision: u64,
    event: &'a Event,
}

/// The change since which an endpoint has not been ready, as of a time.
fn unavailable_since<'a>(log: &RunLog<'a>, id: &str, at_ms: Millis) -> Option<ListChange<'a>> {
    let mut since = None;
    for (revision, event) in log.list_changes.iter().filter(|(_, event)| event.at_ms <= at_ms) {
        if let EventKind::EndpointListed { endpoint, phase, .. } = &event.kind
            && &**endpoint == id
        {
            since = match phase {
                EndpointPhase::Ready => None,
                EndpointPhase::Terminating | EndpointPhase::Gone => {
                    since.or(Some(ListChange { revision: *revision, event }))
                }
            };
        }
    }
    since
}
