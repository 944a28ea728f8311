//! Decodes datagrams into messages.

use sandgw_datagram::base36;

use super::{ABSENT, MAX_BYTES, OVERRIDES_FLOOR, PREFIX, RESPECTS_FLOOR, decision, kind, scope};
use crate::replicated_ledger::{AcceptedLedger, Decision, Message, Term};
use crate::{
    CapacityShare, GrantedWindow, MAX_GRANTED_WINDOWS, RefusalReason, Scope, WholeMillis, Window, WindowId,
};

/// Decodes a message. Returns `None` if the text is too long, has another prefix, is malformed or truncated,
/// or has extra words after the message.
pub fn decode(text: &str) -> Option<Message> {
    if text.len() > MAX_BYTES {
        return None;
    }
    let mut words = text.split(' ');
    (words.next()? == PREFIX).then_some(())?;
    let words = &mut words;
    let message = match words.next()? {
        kind::REQUEST_VOTE => Message::RequestVote { term: decode_term(words.next()?)? },
        kind::VOTE => decode_vote(words)?,
        kind::WRITE => Message::Write {
            term: decode_term(words.next()?)?,
            seq: base36::decode(words.next()?)?,
            entries: decode_entries(words)?,
        },
        kind::WRITE_ACK => Message::WriteAck {
            term: decode_term(words.next()?)?,
            seq: base36::decode(words.next()?)?,
            incarnation: base36::decode(words.next()?)?,
        },
        kind::REQUEST_WINDOW => Message::RequestWindow(decode_window_request(words)?),
        kind::CLOSE_WINDOW => Message::CloseWindow(decode_id(words.next()?)?),
        kind::DECISION => {
            Message::Decision { id: decode_id(words.next()?)?, decision: decode_decision(words)? }
        }
        _ => return None,
    };
    words.next().is_none().then_some(message)
}

fn decode_vote<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Message> {
    let term = decode_term(words.next()?)?;
    let incarnation = base36::decode(words.next()?)?;
    let accepted = AcceptedLedger {
        term: decode_optional(words.next()?, decode_term)?,
        seq: base36::decode(words.next()?)?,
        entries: decode_entries(words)?,
    };
    Some(Message::Vote { term, incarnation, accepted })
}

fn decode_window_request<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Window> {
    Some(Window {
        id: decode_id(words.next()?)?,
        scope: decode_scope(words.next()?)?,
        not_before: base36::decode(words.next()?)?,
        duration: base36::decode(words.next()?)?,
        requested_end: decode_optional::<WholeMillis>(words.next()?, base36::decode)?,
        overrides_floor: decode_overrides_floor(words.next()?)?,
    })
}

fn decode_decision<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Decision> {
    Some(match words.next()? {
        decision::GRANTED => {
            Decision::Granted { until: base36::decode(words.next()?)?, end: base36::decode(words.next()?)? }
        }
        decision::WAITS => Decision::Waits {
            ahead: decode_u32(words.next()?)?,
            first: decode_optional(words.next()?, decode_id)?,
        },
        decision::BLOCKS_WAITING => {
            Decision::Refused(RefusalReason::BlocksWaiting(decode_id(words.next()?)?))
        }
        decision::REFUSED => {
            let code = base36::decode(words.next()?)? as usize;
            Decision::Refused(*RefusalReason::ALL.get(code)?)
        }
        _ => return None,
    })
}

/// Decodes an optional field. Returns the outer `None` if the field is malformed.
fn decode_optional<T>(text: &str, decode: impl FnOnce(&str) -> Option<T>) -> Option<Option<T>> {
    if text == ABSENT { Some(None) } else { decode(text).map(Some) }
}

fn decode_u32(text: &str) -> Option<u32> {
    base36::decode(text).and_then(|number| u32::try_from(number).ok())
}

fn decode_id(text: &str) -> Option<WindowId> {
    text.parse().ok()
}

fn decode_term(text: &str) -> Option<Term> {
    let mut parts = text.split('.');
    let term = Term {
        round: base36::decode(parts.next()?)?,
        relay: decode_u32(parts.next()?)?,
        incarnation: base36::decode(parts.next()?)?,
    };
    parts.next().is_none().then_some(term)
}

fn decode_scope(text: &str) -> Option<Scope> {
    let (letter, rest) = text.split_at_checked(1)?;
    Some(match letter {
        scope::ZONE => Scope::Zone(decode_u32(rest)?, CapacityShare::All),
        scope::PART_OF_ZONE => {
            let (zone, part) = rest.split_once('/')?;
            Scope::Zone(decode_u32(zone)?, CapacityShare::Part(decode_u32(part)?))
        }
        scope::ENDPOINT => Scope::Endpoint(decode_u32(rest)?),
        scope::RELAY => Scope::Relay(decode_u32(rest)?),
        _ => return None,
    })
}

fn decode_overrides_floor(text: &str) -> Option<bool> {
    match text {
        OVERRIDES_FLOOR => Some(true),
        RESPECTS_FLOOR => Some(false),
        _ => None,
    }
}

/// Decodes all remaining words as entries of a ledger.
fn decode_entries<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Vec<GrantedWindow>> {
    let entries: Vec<GrantedWindow> = words.map(decode_entry).collect::<Option<_>>()?;
    (entries.len() <= MAX_GRANTED_WINDOWS).then_some(entries)
}

fn decode_entry(text: &str) -> Option<GrantedWindow> {
    let mut parts = text.split(':');
    let id = decode_id(parts.next()?)?;
    let scope = decode_scope(parts.next()?)?;
    let (floor, end) = parts.next()?.split_at_checked(1)?;
    let entry = GrantedWindow {
        id,
        scope,
        end: base36::decode(end)?,
        overrides_floor: decode_overrides_floor(floor)?,
    };
    parts.next().is_none().then_some(entry)
}
