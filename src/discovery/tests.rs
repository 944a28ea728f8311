//! Tests what the end of a call shows about discovery, and how watches allow for a slow service.

use super::*;

/// A list that has been answered after `latency` ms, at the time 0.
fn answered_list(latency: Millis) -> EndpointList {
    let mut list = EndpointList::default();
    list.next_request();
    let call = list.sent_call(-latency);
    list.apply_answer(br#"{"revision":1,"complete":true,"members":[]}"#).expect("a list");
    list.record_answer_time(call, 0.0);
    list
}

fn failed_call(error: CallError, elapsed: Millis) -> FailedCall {
    FailedCall { error, has_connected: true, is_local: false, elapsed }
}

/// Guards against an answer that is late, or a rejection by a busy service, that counts as an outage.
#[test]
fn only_a_refusal_at_once_or_a_missing_connection_counts_as_an_outage() {
    for elapsed in [2500.0, 3500.0, 30_000.0] {
        let late = failed_call(CallError::TimedOut, elapsed);
        assert_eq!(late.reachability(), Reachability::PossiblyReachable, "{elapsed}");
    }
    assert_eq!(failed_call(CallError::Status(503), 2000.0).reachability(), Reachability::PossiblyReachable);
    assert_eq!(failed_call(CallError::Status(503), 5.0).reachability(), Reachability::Unreachable);
    let unconnected = FailedCall { has_connected: false, ..failed_call(CallError::TimedOut, 1500.0) };
    assert_eq!(unconnected.reachability(), Reachability::Unreachable);
    let shortage = FailedCall { is_local: true, ..unconnected };
    assert_eq!(shortage.reachability(), Reachability::PossiblyReachable);
}

#[test]
fn an_answer_confirms_the_list_as_of_the_end_of_the_wait_or_of_the_request() {
    let watch = SentCall { sent_at: 1000.0, wait: 2000.0 };
    assert_eq!((watch.confirmed_at(3010.0), watch.latency(3010.0)), (3000.0, Some(10.0)));
    assert_eq!((watch.confirmed_at(1500.0), watch.latency(1500.0)), (1000.0, None));
    let immediate = SentCall { sent_at: 1000.0, wait: 0.0 };
    assert_eq!((immediate.confirmed_at(3800.0), immediate.latency(3800.0)), (1000.0, Some(2800.0)));
}

/// Guards against watches that a slow service never answers in time, and against a silent watch that is
/// noticed later for the allowance.
#[test]
fn a_watch_allows_for_the_latency_of_the_service() {
    for latency in [0.0, 800.0, 1900.0, 2800.0, 5000.0] {
        let mut list = answered_list(latency);
        list.next_request();
        let watch = list.sent_call(0.0);
        assert!(watch.is_watch());
        assert!(list.timeout() >= watch.wait + latency + ANSWER_GRACE_MS, "{latency}");
        assert!(
            watch.wait + latency <= MAX_WAIT_MS.max(latency + MIN_WAIT_AFTER_SLOW_ANSWER_MS),
            "{latency}"
        );
    }
    let mut list = answered_list(2800.0);
    list.next_request();
    let watch = list.sent_call(0.0);
    list.record_answer_time(watch, watch.wait + 1.0);
    list.next_request();
    assert!(list.sent_call(0.0).wait >= MIN_WAIT_MS, "prompt again");
}

/// Guards against a successor process that places no connection until the hold of its first watch ends.
#[test]
fn a_handed_over_list_is_confirmed_by_a_request_without_a_wait() {
    let mut list = EndpointList::default();
    list.import(Some(7), Vec::new()).expect("a list");
    assert!(list.next_request().ends_with("?after=7&wait_ms=0"));
}
