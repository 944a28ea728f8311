//! Rule 4: relays that are informed of the start of an endpoint do not overload it while it is cold.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::list_knowledge::ListKnowledge;
use super::run_log::RunLog;
use super::verdict::{Rule, Violation};
use crate::Millis;
use crate::log::{Event, EventKind, RelayIndex};
use crate::settings::RuleSettings;

/// How long before an endpoint's start its entry may have been listed.
const LISTED_BEFORE_START_MS: Millis = 1000.0;

/// What the check found.
#[derive(Default)]
pub(super) struct SlowStartResult {
    pub(super) violations: Vec<Violation>,
    /// The most that arrived at a cold endpoint within one window, as a fraction of its budget.
    pub(super) max_load_fraction: f64,
}

/// Checks every cold start of the log.
pub(super) fn check(log: &RunLog, knowledge: &mut ListKnowledge) -> SlowStartResult {
    let mut result = SlowStartResult::default();
    for event in log.events {
        if let EventKind::ColdStart { endpoint, setups_per_s } = &event.kind {
            let start = ColdStart { endpoint, setups_per_s: *setups_per_s, at_ms: event.at_ms };
            check_start(log, knowledge, &start, &mut result);
        }
    }
    result
}

/// A cold start of an endpoint.
struct ColdStart<'a> {
    endpoint: &'a Arc<str>,
    /// Set-ups a second that it takes when warm.
    setups_per_s: f64,
    at_ms: Millis,
}

/// An attempt at a cold endpoint.
struct ColdAttempt<'a> {
    event: &'a Event,
    relay: RelayIndex,
}

/// Checks every window after a cold start, until the endpoint is warm or a violation is found.
fn check_start(log: &RunLog, knowledge: &mut ListKnowledge, start: &ColdStart, result: &mut SlowStartResult) {
    let attempts = cold_attempts(log, start);
    let mut first = 0;
    for (last, attempt) in attempts.iter().enumerate() {
        let end_ms = attempt.event.at_ms;
        while end_ms - attempts[first].event.at_ms > log.rules.overload_window_ms {
            first += 1;
        }
        let window = &attempts[first..=last];
        let begin_ms = window[0].event.at_ms;
        // The capacity is that of the middle of the window.
        let age_ms = (end_ms + begin_ms) / 2.0 - start.at_ms;
        let budget = RuleSettings::overload_budget(log.rules.allowed_requests(start.setups_per_s, age_ms));
        result.max_load_fraction = result.max_load_fraction.max(window.len() as f64 / budget);
        if window.len() as f64 > budget
            && let Some(violation) = check_window(log, knowledge, start, window, budget)
        {
            result.violations.push(violation);
            return;
        }
    }
}

/// The attempts at an endpoint while it is cold, in order.
fn cold_attempts<'a>(log: &RunLog<'a>, start: &ColdStart) -> Vec<ColdAttempt<'a>> {
    let is_cold =
        |event: &&Event| event.at_ms > start.at_ms && event.at_ms - start.at_ms < log.rules.warm_up_ms;
    let cold = log.events.iter().filter(is_cold);
    let attempts = cold.filter_map(|event| match &event.kind {
        EventKind::AttemptReceived { id, endpoint, .. } if endpoint == start.endpoint => {
            Some(ColdAttempt { event, relay: log.relay_of_request(*id)? })
        }
        _ => None,
    });
    attempts.collect()
}

/// A window with more attempts than the budget is a violation if more than two thirds of them are by relays
/// that were informed of the start.
fn check_window(
    log: &RunLog,
    knowledge: &mut ListKnowledge,
    start: &ColdStart,
    window: &[ColdAttempt],
    budget: f64,
) -> Option<Violation> {
    let mut changes = log.list_changes.iter();
    let (revision, listed) = changes.find(|(_, event)| lists_start(event, start))?;
    let informed: Vec<_> = window
        .iter()
        .filter(|attempt| knowledge.informed_at(attempt.relay, *revision, attempt.event.at_ms).is_some())
        .collect();
    if informed.len() * 3 <= window.len() * 2 {
        return None;
    }
    let relays: BTreeSet<_> = informed.iter().map(|attempt| attempt.relay).collect();
    let description = format!(
        "{} to {} within its window, {} by relays informed of its start; it bears {budget:.0}",
        window.len(),
        start.endpoint,
        informed.len()
    );
    let events = [*listed].into_iter().chain(window.iter().map(|attempt| attempt.event));
    Some(Violation::new(Rule::SlowStart, relays, description, events))
}

/// Whether this change of the list reports the start.
fn lists_start(event: &Event, start: &ColdStart) -> bool {
    let is_start = matches!(
        &event.kind,
        EventKind::EndpointListed { endpoint, recently_started: true, .. } if endpoint == start.endpoint
    );
    is_start && event.at_ms >= start.at_ms - LISTED_BEFORE_START_MS
}
