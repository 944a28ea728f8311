//! Decodes the simulator's messages to events and encodes actions as the simulator's messages. The
//! simulator's names for events and actions do not leave this module.

use serde_json::{Value, json};

use super::errors::WireFault;
use super::fields::Fields;
use crate::peers;
use crate::policy::api::*;

/// Request flag: the load of the request is known.
const FLAG_HAS_LOAD: u64 = 1;
/// Request flags: the client retries, or reconnects after its connection broke or was migrated.
const FLAGS_RETURNED: u64 = 2 | 16;
/// Request flag: the connection is established already, and its packets now arrive at this relay.
const FLAG_MID_FLOW: u64 = 8;
/// The simulator states measured loads in thousandths.
const LOAD_SCALE: f64 = 1000.0;

/// Decodes an event; `None` for messages that do not concern the load balancer. `classes` are the names of
/// the classes, in the order of the settings.
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
        "EXPIRED" => Event::ClientDisconnected(fields.request_id()?),
        "PROGRESS" => decode_measurement(fields)?,
        "TICK_DUE" => Event::Timer(fields.integer(1)?),
        "MEMBERSHIP" => decode_endpoint_list(fields)?,
        // The load balancer does not probe endpoints, so it never requests this message.
        "HEALTH" => return Ok(None),
        "MAIL" => return decode_peer_message(fields),
        other => return Err(WireFault::Unknown(other.to_owned())),
    };
    Ok(Some(event))
}

fn decode_request(fields: &Fields<'_>, classes: &[String]) -> Result<Event, WireFault> {
    let flags = fields.number_or(4, 0.0)? as u64;
    Ok(Event::Request(Request {
        id: fields.request_id()?,
        load: decode_load(fields.number_or(2, 0.0)?, flags),
        mid_flow: flags & FLAG_MID_FLOW != 0,
        is_returning: flags & FLAGS_RETURNED != 0,
        deadline: fields.number(5)?,
        setup_time_used: 0.0,
        drained_by_endpoint: true,
        group: fields.key(6)?,
        class: fields.class(7, classes)?,
        client: fields.key(8)?,
    }))
}

fn decode_existing_connection(fields: &Fields<'_>, classes: &[String]) -> Result<Event, WireFault> {
    let flags = fields.number_or(8, 0.0)? as u64;
    Ok(Event::ExistingConnection {
        request: Request {
            id: fields.request_id()?,
            class: fields.class(2, classes)?,
            client: fields.key(4)?,
            deadline: fields.number(5)?,
            setup_time_used: 0.0,
            drained_by_endpoint: true,
            load: decode_load(fields.number_or(6, 0.0)?, flags),
            group: fields.key(7)?,
            mid_flow: false,
            is_returning: flags & FLAGS_RETURNED != 0,
        },
        endpoint: fields.endpoint(9)?,
    })
}

fn decode_load(load_hint: f64, flags: u64) -> Option<f64> {
    (flags & FLAG_HAS_LOAD != 0 && load_hint > 0.0).then_some(load_hint)
}

fn decode_measurement(fields: &Fields<'_>) -> Result<Event, WireFault> {
    let level = fields.number(5)?;
    let measurement = match fields.integer(4)? {
        1 => Measurement::Load(level / LOAD_SCALE),
        2 => Measurement::MessageDelay(level),
        _ => return Err(fields.invalid_value(4, "a known kind of measurement")),
    };
    Ok(Event::Measured { request: fields.request_id()?, measurement })
}

fn decode_endpoint_list(fields: &Fields<'_>) -> Result<Event, WireFault> {
    let kind = match fields.integer(1)? {
        0 => ListKind::Delta,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        3 => ListKind::Failed,
        _ => return Err(fields.invalid_value(1, "a known kind of endpoint list")),
    };
    let entries = fields.at(3)?.as_array().map(Vec::as_slice).unwrap_or_default();
    let endpoints = entries.iter().map(decode_endpoint_entry).collect::<Result<_, _>>()?;
    Ok(Event::List { kind, endpoints })
}

fn decode_endpoint_entry(value: &Value) -> Result<EndpointEntry, WireFault> {
    let values = value.as_array().ok_or(WireFault::Entry)?;
    let fields = Fields { name: "MEMBERSHIP entry", values };
    Ok(EndpointEntry {
        cell: fields.number_or(0, 0.0)? as u64,
        weight: fields.number_or(1, 1.0)?,
        id: fields.endpoint(3)?,
        started: fields.number_or(4, 0.0)?,
        state: match fields.integer(5)? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            _ => return Err(fields.invalid_value(5, "a known endpoint state")),
        },
        zone: Zone(fields.at(6)?.as_str().unwrap_or_default().into()),
    })
}

/// Decodes a message of a peer. A malformed message of a peer is no fault of the simulator's input: it is
/// ignored. Quota reports are ignored too, as they are for the relay and not for the load balancer.
fn decode_peer_message(fields: &Fields<'_>) -> Result<Option<Event>, WireFault> {
    let Some(message) = peers::decode(fields.text(2)?) else { return Ok(None) };
    if matches!(message, PeerMessage::Quota(_)) {
        return Ok(None);
    }
    let peer = u32::try_from(fields.integer(1)?).unwrap_or(u32::MAX);
    Ok(Some(Event::PeerMessage { peer, message }))
}

/// Encodes an action of an instance.
pub(super) fn encode_action(instance: &str, action: Action) -> Value {
    match action {
        Action::StartAttempt { request, endpoint, give_up_at, .. } => {
            json!(["DELIVER", instance, request.0, &*endpoint.0, give_up_at])
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
