//! Encodes messages as datagrams.

use sandgw_datagram::base36;

use super::{ABSENT, OVERRIDES_FLOOR, PREFIX, RESPECTS_FLOOR, decision, kind, scope};
use crate::replicated_ledger::{AcceptedLedger, Decision, Message, Term};
use crate::{CapacityShare, GrantedWindow, MAX_GRANTED_WINDOWS, RefusalReason, Scope, WholeMillis, Window};

/// Encodes a message. No message of the protocol is longer than [`MAX_BYTES`](super::MAX_BYTES) when encoded.
///
/// ```
/// use sandgw_maintenance::replicated_ledger::{Message, Term};
/// use sandgw_maintenance::codec;
///
/// let message = Message::RequestVote { term: Term { round: 7, relay: 2, incarnation: 40 } };
/// assert_eq!(codec::encode(&message), "m1 c 7.2.14");
/// assert_eq!(codec::decode("m1 c 7.2.14"), Some(message));
/// ```
pub fn encode(message: &Message) -> String {
    let body = match message {
        Message::RequestVote { term } => format!("{} {}", kind::REQUEST_VOTE, encode_term(term)),
        Message::Vote { term, incarnation, accepted } => encode_vote(term, *incarnation, accepted),
        Message::Write { term, seq, entries } => {
            let seq = base36::encode(*seq);
            format!("{} {} {seq}{}", kind::WRITE, encode_term(term), encode_entries(entries))
        }
        Message::WriteAck { term, seq, incarnation } => {
            let seq = base36::encode(*seq);
            let incarnation = base36::encode(*incarnation);
            format!("{} {} {seq} {incarnation}", kind::WRITE_ACK, encode_term(term))
        }
        Message::RequestWindow(window) => encode_window_request(window),
        Message::CloseWindow(id) => format!("{} {id}", kind::CLOSE_WINDOW),
        Message::Decision { id, decision } => {
            format!("{} {id} {}", kind::DECISION, encode_decision(decision))
        }
    };
    format!("{PREFIX} {body}")
}

fn encode_vote(term: &Term, incarnation: u64, accepted: &AcceptedLedger) -> String {
    let term = encode_term(term);
    let incarnation = base36::encode(incarnation);
    let accepted_term = accepted.term.as_ref().map_or_else(|| ABSENT.into(), encode_term);
    let seq = base36::encode(accepted.seq);
    let entries = encode_entries(&accepted.entries);
    format!("{} {term} {incarnation} {accepted_term} {seq}{entries}", kind::VOTE)
}

fn encode_window_request(window: &Window) -> String {
    let id = window.id;
    let scope = encode_scope(window.scope);
    let not_before = base36::encode(window.not_before);
    let duration = base36::encode(window.duration);
    let requested_end = encode_optional_time(window.requested_end);
    let floor = encode_overrides_floor(window.overrides_floor);
    format!("{} {id} {scope} {not_before} {duration} {requested_end} {floor}", kind::REQUEST_WINDOW)
}

fn encode_optional_time(time: Option<WholeMillis>) -> String {
    time.map_or_else(|| ABSENT.into(), base36::encode)
}

fn encode_overrides_floor(overrides_floor: bool) -> &'static str {
    if overrides_floor { OVERRIDES_FLOOR } else { RESPECTS_FLOOR }
}

fn encode_term(term: &Term) -> String {
    let round = base36::encode(term.round);
    let incarnation = base36::encode(term.incarnation);
    format!("{round}.{}.{incarnation}", encode_u32(term.relay))
}

fn encode_u32(number: u32) -> String {
    base36::encode(u64::from(number))
}

fn encode_scope(scope: Scope) -> String {
    match scope {
        Scope::Zone(zone, CapacityShare::All) => format!("{}{}", scope::ZONE, encode_u32(zone)),
        Scope::Zone(zone, CapacityShare::Part(part)) => {
            format!("{}{}/{}", scope::PART_OF_ZONE, encode_u32(zone), encode_u32(part))
        }
        Scope::Endpoint(id) => format!("{}{}", scope::ENDPOINT, encode_u32(id)),
        Scope::Relay(relay) => format!("{}{}", scope::RELAY, encode_u32(relay)),
    }
}

/// Encodes the entries of a ledger, each with a leading space.
fn encode_entries(entries: &[GrantedWindow]) -> String {
    entries.iter().take(MAX_GRANTED_WINDOWS).map(|entry| format!(" {}", encode_entry(entry))).collect()
}

fn encode_entry(entry: &GrantedWindow) -> String {
    let scope = encode_scope(entry.scope);
    let floor = encode_overrides_floor(entry.overrides_floor);
    format!("{}:{scope}:{floor}{}", entry.id, base36::encode(entry.end))
}

fn encode_decision(decision: &Decision) -> String {
    match decision {
        Decision::Granted { until, end } => {
            format!("{} {} {}", decision::GRANTED, base36::encode(*until), base36::encode(*end))
        }
        Decision::Waits { ahead, first } => {
            let first = first.map_or_else(|| ABSENT.into(), |id| id.to_string());
            format!("{} {} {first}", decision::WAITS, encode_u32(*ahead))
        }
        Decision::Refused(RefusalReason::BlocksWaiting(id)) => {
            format!("{} {id}", decision::BLOCKS_WAITING)
        }
        Decision::Refused(reason) => {
            let code = RefusalReason::ALL.iter().position(|other| other == reason).unwrap_or(0);
            format!("{} {}", decision::REFUSED, base36::encode(code as u64))
        }
    }
}
