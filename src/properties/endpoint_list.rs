//! The list of endpoints as discovery's client has it: taken whole or not at all, whatever an answer says.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::discovery::{EndpointList, ListError};
use crate::policy::api::{EndpointEntry, ListKind, Millis};
use crate::tests::endpoint;

/// What an endpoint list has: its revision and entries, and where endpoints are.
fn contents(list: &EndpointList) -> (String, Vec<Option<SocketAddr>>) {
    let (revision, entries) = list.revision_and_entries();
    let entries: Vec<_> = entries.collect();
    (format!("{revision:?} {entries:?}"), (0..9).map(|i| list.address(&endpoint(i))).collect())
}

fn answer_body(revision: u64, complete: bool, entries: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, entries.join(","))
}

fn entry_json(i: usize, phase: &str, more: &str) -> String {
    format!(r#"{{"id":"s{i}","host_port":"127.0.0.1:{}","phase":"{phase}"{more}}}"#, 8000 + i)
}

fn request_and_answer(
    list: &mut EndpointList,
    body: &str,
) -> Result<(ListKind, Vec<EndpointEntry>), ListError> {
    list.next_request();
    list.apply_answer(body.as_bytes())
}

/// Answers that are wrong or end early anywhere: none of them changes anything, and the next good one is
/// taken.
#[test]
fn a_list_is_taken_whole_or_not_at_all() {
    let mut random = StdRng::seed_from_u64(1);
    let mut list = EndpointList::default();
    let all: Vec<_> = (0..6).map(|i| entry_json(i, "Ready", r#","size":1.0,"up_since_ms":0"#)).collect();
    assert_eq!(request_and_answer(&mut list, &answer_body(40, true, &all)).unwrap().0, ListKind::Full);
    let wrong = [
        r#","size":-1"#,
        r#","size":1e300"#,
        r#","size":"1""#,
        r#","up_since_ms":"1700000000000""#,
        r#","up_since_ms":-5"#,
        r#","up_since_ms":1e300"#,
        r#","phase":"ready""#,
        r#","host_port":"here""#,
        r#","id":7"#,
    ];
    for run in 0..400 {
        let before = contents(&list);
        let mut entries: Vec<_> = (0..6).map(|i| entry_json(i, "Terminating", "")).collect();
        let refused = if run % 2 == 0 {
            entries[random.random_range(0..6)] = entry_json(1, "Ready", wrong[run / 2 % wrong.len()]);
            request_and_answer(&mut list, &answer_body(50, run % 4 == 0, &entries))
        } else {
            let text = answer_body(50, true, &entries);
            let end = random.random_range(0..text.len());
            request_and_answer(&mut list, &text[..end])
        };
        assert!(refused.is_err(), "run {run} was taken");
        assert_eq!(contents(&list), before, "run {run} has left something behind");
    }
    let (kind, entries) =
        request_and_answer(&mut list, &answer_body(41, false, &[entry_json(7, "Ready", "")])).unwrap();
    assert_eq!((kind, entries.len(), list.address(&endpoint(7)).is_some()), (ListKind::Delta, 1, true));
}

/// The list as last held is gone on from with one call that is answered at once; one of a service that lies
/// behind it is not, and is asked for whole.
#[test]
fn the_first_call_goes_on_from_the_list_as_last_held_unless_the_service_lies_behind() {
    let known = serde_json::from_str(&answer_body(50, true, &[entry_json(1, "Ready", "")])).expect("a list");
    let start = || EndpointList::from_cached(&known).expect("a list as last held").0;
    let mut list = start();
    assert!(list.next_request().contains("?after=50&wait_ms=0"));
    let (kind, entries) =
        list.apply_answer(answer_body(52, false, &[entry_json(2, "Ready", "")]).as_bytes()).unwrap();
    assert_eq!((kind, entries.len()), (ListKind::Delta, 1));
    assert!(list.address(&endpoint(1)).is_some() && list.address(&endpoint(2)).is_some());
    let next = list.next_request();
    assert!(next.contains("?after=52&wait_ms=") && !next.contains("wait_ms=0"));

    let mut list = start();
    list.next_request();
    assert!(list.apply_answer(answer_body(3, false, &[]).as_bytes()).is_err());
    assert!(!list.next_request().contains("after"));
    assert!(list.apply_answer(answer_body(3, true, &[entry_json(2, "Ready", "")]).as_bytes()).is_ok());
    assert!(list.address(&endpoint(1)).is_none());
}

/// What a watch that has fallen silent misses counts as told 6 s later: it has to be noticed and asked anew
/// well before, by hundreds of relays at different times, and with a call that is answered at once.
#[test]
fn a_watch_that_has_fallen_silent_is_asked_anew_well_before_what_it_misses_counts_as_told() {
    let mut latest: Millis = 0.0;
    let mut noticed = BTreeSet::new();
    for seed in 0..300 {
        let mut list = EndpointList::default();
        list.reseed(seed);
        assert!(request_and_answer(&mut list, &answer_body(3, true, &[entry_json(1, "Ready", "")])).is_ok());
        assert!(!list.next_request().contains("wait_ms=0"));
        let silent = list.timeout();
        assert!(list.poll_failed(), "a watch that had been going on is broken");
        let again = silent + list.renewal_delay(300, true);
        assert!(list.next_request().ends_with("wait_ms=0") && list.timeout() <= 2_500.0);
        latest = latest.max(again);
        noticed.insert((again / 100.0) as u64);
        assert!(!list.poll_failed(), "what had not begun to go on has not fallen silent");
    }
    assert!(latest <= 5_000.0, "{latest}: a second before it counts as told, and the grace after it");
    assert!(noticed.len() >= 20, "in step: {noticed:?}");
}

/// Changes to a list that is not held, and an answer of the place that discovery has moved from, were
/// taken: the versions of one service then stood for another's.
#[test]
fn changes_without_their_list_and_answers_of_the_old_place_are_refused() {
    let mut list = EndpointList::default();
    assert!(request_and_answer(&mut list, &answer_body(3, false, &[entry_json(1, "Ready", "")])).is_err());
    assert!(request_and_answer(&mut list, &answer_body(90, true, &[entry_json(1, "Ready", "")])).is_ok());
    list.next_request();
    list.service_replaced();
    assert!(list.apply_answer(answer_body(91, true, &[]).as_bytes()).is_err());
    assert!(!list.next_request().contains("after"), "the new place is asked for its whole list");
    assert!(list.apply_answer(answer_body(5, true, &[entry_json(2, "Ready", "")]).as_bytes()).is_ok());
    // Back in its versions: what was missed is not known, and the whole list is asked for.
    assert!(request_and_answer(&mut list, &answer_body(4, false, &[entry_json(2, "Ready", "")])).is_err());
    assert!(!list.next_request().contains("after"));
}

/// Every deploy left the addresses of endpoints that had gone.
#[test]
fn addresses_of_streamers_that_have_gone_are_let_go() {
    let mut list = EndpointList::default();
    request_and_answer(
        &mut list,
        &answer_body(1, true, &[entry_json(1, "Ready", ""), entry_json(2, "Ready", "")]),
    )
    .unwrap();
    request_and_answer(&mut list, &answer_body(2, false, &[entry_json(1, "Gone", "")])).unwrap();
    assert!(list.address(&endpoint(1)).is_none() && list.address(&endpoint(2)).is_some());
    request_and_answer(&mut list, &answer_body(3, true, &[entry_json(3, "Ready", "")])).unwrap();
    assert!(list.address(&endpoint(2)).is_none() && list.address(&endpoint(3)).is_some());
}
