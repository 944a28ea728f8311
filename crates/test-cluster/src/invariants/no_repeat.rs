//! Rule 2: no effect is repeated. A request has one attempt at a time, and one that may have been executed
//! is repeated only where its class admits it.

use std::collections::HashMap;
use std::sync::Arc;

use super::run_log::{RequestLog, RunLog};
use super::verdict::{Idempotency, RepeatScope, Rule, Violation};
use crate::Millis;
use crate::log::{AttemptOutcome, Event, EventKind, Reply};

/// How long an endpoint may take to see that an attempt was cancelled, at least.
const MIN_CANCELLATION_GRACE_MS: Millis = 50.0;

/// All violations of the rule.
pub(super) fn check(log: &RunLog, classes: &HashMap<Arc<str>, Idempotency>) -> Vec<Violation> {
    log.requests.values().filter_map(|request| check_request(log, request, classes)).collect()
}

fn check_request(
    log: &RunLog,
    request: &RequestLog,
    classes: &HashMap<Arc<str>, Idempotency>,
) -> Option<Violation> {
    let class = request.sent.as_ref().and_then(|sent| classes.get(&sent.class));
    let idempotency = class.copied().unwrap_or(Idempotency::Safe);
    let mut history =
        AttemptHistory { log, request, idempotency, pending_since_ms: None, possibly_executed: None };
    let description = request.events.iter().find_map(|event| history.apply(event))?;
    let relay = request.sent.as_ref().map(|sent| sent.relay);
    Some(Violation::new(Rule::NoRepeat, relay, description, request.events.iter().copied()))
}

/// The first attempt that may have been executed.
struct PossibleExecution {
    endpoint: Arc<str>,
    at_ms: Millis,
}

/// What the attempts of a request have done so far.
struct AttemptHistory<'a> {
    log: &'a RunLog<'a>,
    request: &'a RequestLog<'a>,
    idempotency: Idempotency,
    /// Since when an attempt has been pending.
    pending_since_ms: Option<Millis>,
    possibly_executed: Option<PossibleExecution>,
}

impl AttemptHistory<'_> {
    /// Applies the next event; returns what it violates, if anything.
    fn apply(&mut self, event: &Event) -> Option<String> {
        match &event.kind {
            EventKind::AttemptReceived { endpoint, first_byte_ms, .. } => {
                self.apply_attempt(event, endpoint, *first_byte_ms)
            }
            EventKind::AttemptEnded { outcome, .. } => {
                self.pending_since_ms = None;
                // A rejected attempt was not executed, nor were those before it if all were rejected.
                if *outcome == AttemptOutcome::Rejected && self.all_rejected_by(event.at_ms) {
                    self.possibly_executed = None;
                }
                None
            }
            EventKind::ReplyReceived { reply: Reply::Rejected(_), .. } => self.apply_rejection(),
            _ => None,
        }
    }

    fn apply_attempt(&mut self, event: &Event, endpoint: &Arc<str>, first_byte_ms: Millis) -> Option<String> {
        // The relay may have cancelled the pending attempt before its endpoint sees it.
        let is_concurrent = self.pending_since_ms.is_some_and(|since_ms| first_byte_ms - since_ms > 0.0);
        if is_concurrent && !self.other_attempt_ends_soon(event, endpoint) {
            return Some("a second attempt while one was pending".into());
        }
        if let Some(first) = &self.possibly_executed
            && let Some(description) = self.find_forbidden_repeat(first, endpoint, event.at_ms)
        {
            return Some(description);
        }
        self.pending_since_ms = Some(event.at_ms);
        self.possibly_executed
            .get_or_insert(PossibleExecution { endpoint: endpoint.clone(), at_ms: event.at_ms });
        None
    }

    /// A rejection says that the request was not executed.
    fn apply_rejection(&self) -> Option<String> {
        let is_repeatable = matches!(
            self.idempotency,
            Idempotency::Safe | Idempotency::Keyed { scope: RepeatScope::AnyEndpoint, .. }
        );
        let is_wrong = self.possibly_executed.is_some() && !is_repeatable;
        is_wrong.then(|| "rejected as safe to retry though it may have been executed".into())
    }

    /// What forbids another attempt after the first one that may have been executed, if anything.
    fn find_forbidden_repeat(
        &self,
        first: &PossibleExecution,
        endpoint: &str,
        at_ms: Millis,
    ) -> Option<String> {
        match self.idempotency {
            Idempotency::Safe => None,
            Idempotency::Unsafe => Some("sent again though it may have been executed".into()),
            Idempotency::Keyed { window_ms, .. }
                if at_ms > first.at_ms + window_ms + self.log.rules.grace_ms =>
            {
                let elapsed_ms = at_ms - first.at_ms;
                Some(format!("sent again {elapsed_ms:.0} ms after it may have been executed"))
            }
            Idempotency::Keyed { scope: RepeatScope::Zone, .. }
                if self.log.zone(&first.endpoint) != self.log.zone(endpoint) =>
            {
                Some(format!("sent to {endpoint} though it may have been executed at {}", first.endpoint))
            }
            Idempotency::Keyed { .. } => None,
        }
    }

    /// Whether an attempt at another endpoint ends within the grace after this one was received.
    fn other_attempt_ends_soon(&self, attempt: &Event, endpoint: &Arc<str>) -> bool {
        let grace_ms = self.log.rules.grace_ms.max(MIN_CANCELLATION_GRACE_MS);
        let is_soon =
            |event: &&&Event| event.at_ms >= attempt.at_ms && event.at_ms - attempt.at_ms <= grace_ms;
        self.request.events.iter().filter(is_soon).any(|event| {
            matches!(&event.kind, EventKind::AttemptEnded { endpoint: other, .. } if other != endpoint)
        })
    }

    /// Whether all attempts that ended by this time were rejected.
    fn all_rejected_by(&self, at_ms: Millis) -> bool {
        let until = self.request.events.iter().filter(|event| event.at_ms <= at_ms);
        let mut outcomes = until.filter_map(|event| match &event.kind {
            EventKind::AttemptEnded { outcome, .. } => Some(*outcome),
            _ => None,
        });
        outcomes.all(|outcome| outcome == AttemptOutcome::Rejected)
    }
}
