//! The simulator's messages as events, and actions as its messages. Its field names stay here.

use serde_json::{Value, json};

use super::errors::WireFault;
use super::fields::Fields;
use crate::peers;
use crate::policy::api::*;

/// Marks of a request: its load is known.
const MARK_HAS_LOAD: u64 = 1;
/// Marks of a request: its client retries, or reconnects after a break or a migration.
const MARKS_RETURNED: u64 = 2 | 16;
/// Marks of a request: packets of an established connection that now arrive here.
const MARK_MID_FLOW: u64 = 8;
/// Loads come in thousandths.
const LOAD_UNITS: f64 = 1000.0;

/// Reads an event; `None` of those that say nothing to the load balancer. `classes` are the names of the
/// settings' classes, by position.
pub(super) fn decode_event(fields: &Fields<'_>, classes: &[String]) -> Result<Option<Event>, WireFault> {
    let event = match fields.name {
        "KNOCK" => decode_request(fields, classes)?,
        "OPEN" => decode_existing_connection(fields, classes)?,
        "OPENED" => Event::Established {
            request: fields.request_id()?,
            elapsed: fields.number(2)?,
            attempt: fields.attempt(3)?,
        },
        "CLOSED_ATTEMPT" => Event::AttemptEnded {
            request: fields.request_id()?,
            endpoint: fields.endpoint(2)?,
            attempt: fields.attempt(4)?,
            outcome: fields.outcome(5)?,
            finished: fields.flag(6)?,
        },
        "EXPIRED" => Event::ClientGone(fields.request_id()?),
        "PROGRESS" => decode_measurement(fields)?,
        "TICK_DUE" => Event::Timer(fields.whole(1)?),
        "MEMBERSHIP" => decode_list(fields)?,
        // Never asked for: the load balancer does not probe.
        "HEALTH" => return Ok(None),
        "MAIL" => return decode_peer_message(fields),
        other => return Err(WireFault::Unknown(other.to_owned())),
    };
    Ok(Some(event))
}

fn decode_request(fields: &Fields<'_>, classes: &[String]) -> Result<Event, WireFault> {
    let marks = fields.number_or(4, 0.0)? as u64;
    Ok(Event::Request(Request {
        id: fields.request_id()?,
        load: decode_load(fields.number_or(2, 0.0)?, marks),
        mid_flow: marks & MARK_MID_FLOW != 0,
        returned: marks & MARKS_RETURNED != 0,
        deadline: fields.number(5)?,
        setup_time_used: 0.0,
        drained_by_endpoint: true,
        group: fields.key(6)?,
        class: fields.class(7, classes)?,
        client: fields.key(8)?,
    }))
}

fn decode_existing_connection(fields: &Fields<'_>, classes: &[String]) -> Result<Event, WireFault> {
    let marks = fields.number_or(8, 0.0)? as u64;
    Ok(Event::ExistingConnection {
        request: Request {
            id: fields.request_id()?,
            class: fields.class(2, classes)?,
            client: fields.key(4)?,
            deadline: fields.number(5)?,
            setup_time_used: 0.0,
            drained_by_endpoint: true,
            load: decode_load(fields.number_or(6, 0.0)?, marks),
            group: fields.key(7)?,
            mid_flow: false,
            returned: marks & MARKS_RETURNED != 0,
        },
        endpoint: fields.endpoint(9)?,
    })
}

fn decode_load(hint: f64, marks: u64) -> Option<f64> {
    (marks & MARK_HAS_LOAD != 0 && hint > 0.0).then_some(hint)
}

fn decode_measurement(fields: &Fields<'_>) -> Result<Event, WireFault> {
    let level = fields.number(5)?;
    let measurement = match fields.whole(4)? {
        1 => Measurement::Load(level / LOAD_UNITS),
        2 => Measurement::MessageDelay(level),
        _ => return Err(fields.wrong(4, "a known kind of note")),
    };
    Ok(Event::Measured { request: fields.request_id()?, measurement })
}

fn decode_list(fields: &Fields<'_>) -> Result<Event, WireFault> {
    let kind = match fields.whole(1)? {
        0 => ListKind::Delta,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        3 => ListKind::Failed,
        _ => return Err(fields.wrong(1, "a known kind of list")),
    };
    let entries = fields.at(3)?.as_array().map(Vec::as_slice).unwrap_or_default();
    let endpoints = entries.iter().map(decode_entry).collect::<Result<_, _>>()?;
    Ok(Event::List { kind, endpoints })
}

fn decode_entry(value: &Value) -> Result<EndpointEntry, WireFault> {
    let values = value.as_array().ok_or(WireFault::Entry)?;
    let fields = Fields { name: "MEMBERSHIP entry", values };
    Ok(EndpointEntry {
        cell: fields.number_or(0, 0.0)? as u64,
        weight: fields.number_or(1, 1.0)?,
        id: fields.endpoint(3)?,
        started: fields.number_or(4, 0.0)?,
        state: match fields.whole(5)? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            _ => return Err(fields.wrong(5, "a known state")),
        },
        zone: Zone(fields.at(6)?.as_str().unwrap_or_default().into()),
    })
}

/// Whatever a peer may send, it is no fault of the wire: what can't be read is passed over, as are reports
/// of quotas, which are for the core.
fn decode_peer_message(fields: &Fields<'_>) -> Result<Option<Event>, WireFault> {
    let Some(message) = peers::decode(fields.text(2)?) else { return Ok(None) };
    if matches!(message, PeerMessage::Quota(_)) {
        return Ok(None);
    }
    let peer = u32::try_from(fields.whole(1)?).unwrap_or(u32::MAX);
    Ok(Some(Event::PeerMessage { peer, message }))
}

/// Writes an action of an instance.
pub(super) fn encode_action(instance: &str, action: Action) -> Value {
    match action {
        Action::StartAttempt { request, endpoint, until, .. } => {
            json!(["DELIVER", instance, request.0, &*endpoint.0, until])
        }
        Action::Reject { request, retry_after } => json!(["NOT_NOW", instance, request.0, retry_after]),
        Action::Fail(request) => json!(["FAIL", instance, request.0]),
        Action::Migrate(request) => json!(["MOVE", instance, request.0]),
        Action::SetTimer { after, token } => json!(["ARM", instance, after, token]),
        Action::SendToPeer { peer, message } => {
            json!(["MEMO_TO", instance, peer, peers::encode(&message)])
        }
        Action::Subscribe => json!(["TAIL", instance, true]),
    }
}
