//! Tests the exact encoding of maintenance datagrams, which relays of other versions have to read, and that
//! malformed datagrams are ignored.

use sandgw_maintenance::codec::{MAX_BYTES, decode, encode};
use sandgw_maintenance::replicated_ledger::{AcceptedLedger, Decision, Message, Term};
use sandgw_maintenance::{CapacityShare, GrantedWindow, RefusalReason, Scope, Window, WindowId};

const TERM: Term = Term { round: 1_790_000_000_000, relay: 11, incarnation: 1_789_999_000_000 };
const EARLIER_TERM: Term = Term { round: 7, relay: 2, incarnation: 40 };
const ID: WindowId = WindowId { requested_at: 1_790_000_000_123, relay: 3 };
const OTHER_ID: WindowId = WindowId { requested_at: 36, relay: 0 };
const WINDOW: Window = Window {
    id: ID,
    scope: Scope::Endpoint(35),
    not_before: 0,
    duration: 600_000,
    requested_end: None,
    overrides_floor: false,
};

fn entries() -> Vec<GrantedWindow> {
    vec![
        GrantedWindow {
            id: ID,
            scope: Scope::Zone(4_000_000_000, CapacityShare::All),
            end: 1_790_000_060_000,
            overrides_floor: false,
        },
        GrantedWindow {
            id: OTHER_ID,
            scope: Scope::Zone(71, CapacityShare::Part(2500)),
            end: 99,
            overrides_floor: true,
        },
    ]
}

fn assert_encodes(message: Message, text: &str) {
    assert_eq!(encode(&message), text);
    assert_eq!(decode(text), Some(message));
}

#[test]
fn election_messages_have_a_stable_encoding() {
    assert_encodes(Message::RequestVote { term: EARLIER_TERM }, "m1 c 7.2.14");
    assert_encodes(
        Message::Vote { term: TERM, incarnation: 40, accepted: AcceptedLedger::default() },
        "m1 v mubbs7i8.b.mubb6rwg 14 - 0",
    );
    let accepted = AcceptedLedger { term: Some(EARLIER_TERM), seq: 36, entries: entries() };
    assert_encodes(
        Message::Vote { term: TERM, incarnation: 40, accepted },
        "m1 v mubbs7i8.b.mubb6rwg 14 7.2.14 10 3.mubbs7ln:h1u5hvr4:nmubbthsw 0.10:p1z/1xg:f2r",
    );
}

#[test]
fn ledger_writes_and_acknowledgements_have_a_stable_encoding() {
    assert_encodes(Message::Write { term: TERM, seq: 0, entries: Vec::new() }, "m1 w mubbs7i8.b.mubb6rwg 0");
    assert_encodes(
        Message::Write { term: TERM, seq: 1, entries: entries() },
        "m1 w mubbs7i8.b.mubb6rwg 1 3.mubbs7ln:h1u5hvr4:nmubbthsw 0.10:p1z/1xg:f2r",
    );
    assert_encodes(
        Message::WriteAck { term: TERM, seq: 35, incarnation: 36 },
        "m1 k mubbs7i8.b.mubb6rwg z 10",
    );
}

#[test]
fn window_requests_have_a_stable_encoding() {
    assert_encodes(Message::RequestWindow(WINDOW), "m1 a 3.mubbs7ln sz 0 cuyo - n");
    let extended = Window {
        scope: Scope::Relay(10),
        not_before: 5,
        requested_end: Some(1_790_000_600_000),
        overrides_floor: true,
        ..WINDOW
    };
    assert_encodes(Message::RequestWindow(extended), "m1 a 3.mubbs7ln ra 5 cuyo mubc52gw f");
    assert_encodes(Message::CloseWindow(ID), "m1 x 3.mubbs7ln");
}

#[test]
fn decisions_have_a_stable_encoding() {
    let message = |decision| Message::Decision { id: ID, decision };
    let granted = Decision::Granted { until: 1_790_000_002_900, end: 1_790_000_060_000 };
    assert_encodes(message(granted), "m1 t 3.mubbs7ln g mubbs9qs mubbthsw");
    assert_encodes(message(Decision::Waits { ahead: 36, first: None }), "m1 t 3.mubbs7ln w 10 -");
    let waits = Decision::Waits { ahead: 0, first: Some(OTHER_ID) };
    assert_encodes(message(waits), "m1 t 3.mubbs7ln w 0 0.10");
}

#[test]
fn refusals_have_a_stable_encoding() {
    let codes = ["r 0", "r 1", "r 2", "r 3", "r 4", "r 5", "r 6", "r 7", "r 8", "r 9", "r a", "n 0.0"];
    assert_eq!(codes.len(), RefusalReason::ALL.len());
    for (reason, code) in RefusalReason::ALL.into_iter().zip(codes) {
        let message = Message::Decision { id: ID, decision: Decision::Refused(reason) };
        assert_encodes(message, &format!("m1 t 3.mubbs7ln {code}"));
    }
}

#[test]
fn malformed_datagrams_are_ignored() {
    let too_long = format!("m1 c 7.2.{}", "1".repeat(MAX_BYTES));
    let six_entries = format!("m1 w 7.2.14 1{}", " 0.10:sz:f2r".repeat(6));
    for text in [
        "",
        "m1",
        "m2 c 7.2.14",
        "m1 z 7.2.14",
        "m1 c",
        "m1 c 7.2",
        "m1 c 7.2.14.1",
        "m1 c 7.2.14 1",
        "m1  c 7.2.14",
        "m1 c 7.2.1Z",
        "m1 c 7.1z141z4.14",
        "m1 v 7.2.14 14 -",
        "m1 k 7.2.14 z",
        "m1 w 7.2.14 1 0.10:sz",
        "m1 w 7.2.14 1 0.10:sz:f2r:1",
        "m1 w 7.2.14 1 0.10:xz:f2r",
        "m1 w 7.2.14 1 0.10:é:f2r",
        "m1 w 7.2.14 1 0.10:sz:x2r",
        "m1 a 3.10 sz 0 1 -",
        "m1 x 310",
        "m1 t 3.10 r c",
        "m1 t 3.10 g 1",
        &too_long,
        &six_entries,
    ] {
        assert_eq!(decode(text), None, "{text}");
    }
}
