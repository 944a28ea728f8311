//! Rule 1: every request is answered once and in time, with what an endpoint made for it.

use super::run_log::{RequestLog, RunLog, SentRequest};
use super::verdict::{Rule, Violation};
use crate::Millis;
use crate::log::{Event, EventKind, Reply};

/// All violations of the rule.
pub(super) fn check(log: &RunLog) -> Vec<Violation> {
    log.requests.values().filter_map(|request| check_request(log, request)).collect()
}

fn check_request(log: &RunLog, request: &RequestLog) -> Option<Violation> {
    let sent = request.sent.as_ref()?;
    let due_ms = sent.at_ms + sent.wait_ms + log.rules.answer_slack_ms + log.rules.grace_ms;
    let ends: Vec<_> = request.events.iter().copied().filter(|event| is_end(event)).collect();
    if is_excused(log, sent, due_ms, ends.first().map_or(due_ms, |end| end.at_ms)) {
        return None;
    }
    let description = find_fault(log, request, &ends, due_ms)?;
    Some(Violation::new(Rule::Answered, [sent.relay], description, request.events.iter().copied()))
}

/// Whether an event ends the client's wait.
fn is_end(event: &Event) -> bool {
    matches!(event.kind, EventKind::ReplyReceived { .. } | EventKind::RequestAbandoned { .. })
}

/// Whether nobody owes an answer: the relay was paused or died meanwhile.
fn is_excused(log: &RunLog, sent: &SentRequest, due_ms: Millis, end_ms: Millis) -> bool {
    log.was_paused_within(sent.relay, sent.at_ms, due_ms) || log.died_within(sent.relay, sent.at_ms, end_ms)
}

/// What is wrong with the answer, if anything.
fn find_fault(log: &RunLog, request: &RequestLog, ends: &[&Event], due_ms: Millis) -> Option<String> {
    let Some(first) = ends.first() else {
        // The log may end before the answer was due.
        return (log.end_ms() > due_ms).then(|| "no answer".to_owned());
    };
    let EventKind::ReplyReceived { reply, .. } = &first.kind else {
        return Some("no answer".to_owned());
    };
    if *reply == Reply::Closed {
        return Some("ended without an answer".to_owned());
    }
    if first.at_ms > due_ms {
        return Some(format!("answered {:.0} ms too late", first.at_ms - due_ms));
    }
    if let Reply::Established(receipt) = reply
        && !has_receipt(request, receipt)
    {
        return Some(format!("served with {receipt:?}, which no endpoint made for it"));
    }
    (ends.len() > 1).then(|| "answered twice".to_owned())
}

/// Whether an endpoint made this receipt for the request.
fn has_receipt(request: &RequestLog, receipt: &str) -> bool {
    request.events.iter().any(
        |event| matches!(&event.kind, EventKind::AttemptEnded { receipt: Some(made), .. } if made == receipt),
    )
}
