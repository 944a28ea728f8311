//! Tests which ids a client may use.

use std::rc::Rc;

use bytes::BytesMut;

use super::connection_ids::{ConnectionIds, MAX_FINISHED_IDS};
use super::{AcceptedNames, LineProtocol, LineProtocolState};
use crate::listener::{AttemptAnswer, ClientProtocol, ReadProgress};
use crate::policy::api::Outcome;
use crate::relay::{AcceptedClass, ServingMode};

fn rules() -> Rc<LineProtocolState> {
    let classes = vec![AcceptedClass { name: "chat".into(), accepted_until: None }];
    Rc::new(LineProtocolState::new(AcceptedNames { classes, ..AcceptedNames::default() }))
}

/// Reads a request with the id `ID`; `None` where it is rejected.
fn request(rules: &Rc<LineProtocolState>, more: &str) -> Option<LineProtocol> {
    let mut protocol = LineProtocol::new(rules.clone(), 1000.0);
    let mut input = BytesMut::from(format!("OPEN ID KEY c=chat,d=2000{more}\r\n").as_str());
    let progress = protocol.read_request(0.0, ServingMode::Active, &mut input, &mut BytesMut::new());
    matches!(progress, ReadProgress::Request(_)).then_some(protocol)
}

fn answer(protocol: &mut LineProtocol, line: &str) -> AttemptAnswer {
    protocol.begin_attempt(1000.0, &mut BytesMut::new());
    protocol.read_answer(&mut BytesMut::from(line), &mut BytesMut::new())
}

/// Guards against an id that runs twice, since it came again after its client had left.
#[test]
fn an_id_that_may_have_run_is_rejected_when_it_comes_again() {
    for line in ["", "UP 1\r\n", "ERR\r\n", "BYE\r\n"] {
        let rules = rules();
        let mut first = request(&rules, "").unwrap();
        answer(&mut first, line);
        drop(first);
        assert!(request(&rules, "").is_none(), "answered {line:?}");
        assert!(request(&rules, ",mid=1").is_some(), "the connection may arrive mid-flow, answered {line:?}");
    }
}

#[test]
fn an_id_that_never_ran_may_come_again() {
    let rules = rules();
    drop(request(&rules, "").unwrap());
    let mut turned_away = request(&rules, "").unwrap();
    assert_eq!(answer(&mut turned_away, "BUSY\r\n"), AttemptAnswer::Ended(Outcome::Rejected));
    drop(turned_away);
    let mut second_attempt = request(&rules, "").unwrap();
    answer(&mut second_attempt, "");
    answer(&mut second_attempt, "BUSY\r\n");
    drop(second_attempt);
    assert!(request(&rules, "").is_none(), "the first of two attempts may have run");
}

/// Guards against an id that is free to others while its connection is still open here.
#[test]
fn an_id_stays_in_use_until_the_last_of_its_connections_ends() {
    let mut ids = ConnectionIds::default();
    assert!(ids.register("ID", "KEY", false));
    assert!(ids.register("ID", "KEY", true), "the connection arrives mid-flow where it was opened");
    assert!(!ids.register("ID", "OTHER", true) && !ids.register("ID", "KEY", false));
    ids.release("ID", false);
    assert_eq!(ids.key("ID"), Some("KEY"));
    assert!(!ids.register("ID", "KEY", false));
    ids.release("ID", false);
    assert!(ids.register("ID", "KEY", false));
}

/// Guards against memory that grows with every id that a client makes up.
#[test]
fn the_memory_for_finished_ids_is_bounded_and_keeps_the_latest() {
    let mut ids = ConnectionIds::default();
    let names: Vec<String> = (0..10 * MAX_FINISHED_IDS).map(|n| format!("{n:016x}")).collect();
    for name in &names {
        assert!(ids.register(name, "KEY", false));
        ids.release(name, true);
    }
    let latest = &names[names.len() - MAX_FINISHED_IDS..];
    assert!(latest.iter().all(|name| !ids.register(name, "KEY", false)), "the latest are remembered");
    ids.track_hashes();
    let kept = ids.take_hashes(usize::MAX).len();
    assert!(kept <= 2 * MAX_FINISHED_IDS, "{kept} hashes are kept");
}

/// Guards against an id that runs again at the other process of an upgrade.
#[test]
fn the_ids_of_another_process_are_rejected() {
    let (mut old, mut new) = (ConnectionIds::default(), ConnectionIds::default());
    old.register("open", "KEY", false);
    old.register("finished", "KEY", false);
    old.release("finished", true);
    old.track_hashes();
    old.register("later", "KEY", false);
    loop {
        let hashes = old.take_hashes(2);
        if hashes.is_empty() {
            break;
        }
        new.add_finished(hashes);
    }
    let rejected = ["open", "finished", "later"].map(|id| !new.register(id, "KEY", false));
    assert_eq!(rejected, [true; 3]);
    assert!(new.register("another", "KEY", false));
}

/// Guards against hashes that are collected for a successor process that has died.
#[test]
fn no_hashes_are_collected_once_the_successor_has_gone() {
    let mut ids = ConnectionIds::default();
    ids.track_hashes();
    ids.register("first", "KEY", false);
    ids.stop_tracking_hashes();
    ids.register("second", "KEY", false);
    assert_eq!(ids.take_hashes(usize::MAX), Vec::<u64>::new());
}
