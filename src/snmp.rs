//! A read-only SNMP agent (version 2c, RFC 3416) for `mibs/SANDGW-MIB.txt`.
//!
//! Builds the objects of the MIB from the relay's counters, and answers one datagram with another. This
//! module does no I/O and changes nothing: a SetRequest is refused.

use std::collections::BTreeMap;
use std::ops::Bound;

use rasn::types::{Integer, ObjectIdentifier, OctetString};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};
use rasn_snmp::v2::{BulkPdu, Pdu, Pdus, Response, VarBind, VarBindValue};
use rasn_snmp::v2c::Message;

use sandgw_affinity_store::writer::WriterStats;

use crate::policy::api::EndpointState;
use crate::relay::{EndpointStatus, Relay};

/// iso.org.dod.internet.private.enterprises.32473.1: the example enterprise of RFC 5612.
pub const BASE: [u32; 8] = [1, 3, 6, 1, 4, 1, 32473, 1];
/// Maximum number of repetitions in the response to one GetBulkRequest, so that the response fits into one
/// datagram.
const MAX_REPETITIONS: u32 = 32;
/// Number of variable bindings from which on no further repetition is added to a response.
const MAX_BINDINGS: usize = 64;
/// Version number of SNMPv2c on the wire.
const VERSION_2C: u32 = 1;

/// The agent's objects, in the order of their identifiers.
pub type View = BTreeMap<Vec<u32>, ObjectSyntax>;

/// Builds the agent's objects from the relay's current state; `writer_stats` counts the writes of the
/// affinity store.
pub fn view(relay: &Relay, writer_stats: WriterStats) -> View {
    let mut view = View::new();
    put_connections(&mut view, relay);
    put_affinity(&mut view, relay, writer_stats);
    for row in relay.endpoints() {
        put_endpoint(&mut view, &row);
    }
    view
}

fn put(view: &mut View, suffix: &[u32], value: ObjectSyntax) {
    view.insert([&BASE[..], suffix].concat(), value);
}

fn counter(value: u64) -> ObjectSyntax {
    ObjectSyntax::ApplicationWide(ApplicationSyntax::BigCounter(Counter64(value)))
}

fn gauge(value: u64) -> ObjectSyntax {
    let gauge = rasn_smi::v1::Gauge(value.try_into().unwrap_or(u32::MAX));
    ObjectSyntax::ApplicationWide(ApplicationSyntax::Unsigned(gauge))
}

/// Adds the connection counters (subtree 1) and the attempts by outcome (subtree 2).
fn put_connections(view: &mut View, relay: &Relay) {
    let counters = relay.counters();
    let scalars =
        [counters.connections, counters.established, counters.rejected, counters.failed, counters.migrations];
    for (object, value) in (1..).zip(scalars) {
        put(view, &[1, object, 0], counter(value));
    }
    put(view, &[1, 6, 0], gauge(relay.established_connections()));
    for (outcome, value) in (1..).zip(counters.attempts) {
        put(view, &[2, 1, 2, outcome], counter(value));
    }
}

/// Adds the statistics of the affinity tables (`sandgwAffinity`, subtree 5 of the MIB).
fn put_affinity(view: &mut View, relay: &Relay, writer_stats: WriterStats) {
    let affinity = relay.affinity_statistics();
    for (object, value) in (1..).zip([affinity.sessions, affinity.groups, affinity.max_bytes]) {
        put(view, &[5, object, 0], gauge(value));
    }
    let totals = [
        affinity.evicted,
        affinity.not_admitted,
        affinity.expired,
        affinity.stale_lookups,
        affinity.resent_chunks,
        writer_stats.entries,
        writer_stats.failures,
    ];
    for (object, value) in (4..).zip(totals) {
        put(view, &[5, object, 0], counter(value));
    }
}

/// Adds a row of the endpoint table (subtree 3). Its index is the endpoint's id, as length and bytes (SMIv2),
/// so the id needs no column.
fn put_endpoint(view: &mut View, row: &EndpointStatus) {
    let id = row.id.0.as_bytes();
    let length = std::iter::once(id.len() as u32);
    let index: Vec<u32> = length.chain(id.iter().map(|byte| u32::from(*byte))).collect();
    let column = |number: u32| [&[3, 1, number][..], &index].concat();
    let state = match row.state {
        EndpointState::Ready => 1,
        EndpointState::Draining => 2,
        EndpointState::Removed => 3,
    };
    put(view, &column(2), ObjectSyntax::Simple(SimpleSyntax::Integer(Integer::from(state))));
    put(view, &column(3), gauge(row.established));
    put(view, &column(4), counter(row.attempts));
}

/// Answers a datagram; `None` where the datagram is malformed or of another community, as the protocol
/// requires.
pub fn answer(datagram: &[u8], community: &str, view: &View) -> Option<Vec<u8>> {
    let message: Message<Pdus> = rasn::ber::decode(datagram).ok()?;
    if message.version != Integer::from(VERSION_2C) || &message.community[..] != community.as_bytes() {
        return None;
    }
    let pdu = match message.data {
        Pdus::GetRequest(request) => {
            let variables = &request.0.variable_bindings;
            let bindings = variables.iter().map(|variable| get(view, variable)).collect();
            response(request.0.request_id, bindings)
        }
        Pdus::GetNextRequest(request) => {
            let variables = &request.0.variable_bindings;
            let bindings = variables.iter().filter_map(|variable| get_next(view, variable)).collect();
            response(request.0.request_id, bindings)
        }
        Pdus::GetBulkRequest(request) => {
            let bindings = get_bulk(view, &request.0);
            response(request.0.request_id, bindings)
        }
        Pdus::SetRequest(request) => Pdu {
            error_status: Pdu::ERROR_STATUS_NOT_WRITABLE,
            error_index: 1,
            ..response(request.0.request_id, request.0.variable_bindings)
        },
        _ => return None,
    };
    let data = Pdus::Response(Response(pdu));
    let community = OctetString::from(community.as_bytes().to_vec());
    rasn::ber::encode(&Message { version: Integer::from(VERSION_2C), community, data }).ok()
}

/// Builds a response without an error.
fn response(request_id: i32, variable_bindings: Vec<VarBind>) -> Pdu {
    Pdu { request_id, error_status: Pdu::ERROR_STATUS_NO_ERROR, error_index: 0, variable_bindings }
}

/// Binds the variable to its value, or to `NoSuchObject` where the agent has no such object.
fn get(view: &View, variable: &VarBind) -> VarBind {
    let found = view.get(&variable.name.to_vec());
    let value = found.map_or(VarBindValue::NoSuchObject, |value| VarBindValue::Value(value.clone()));
    VarBind { name: variable.name.clone(), value }
}

/// Returns the first object after the variable in the order of identifiers.
fn get_next(view: &View, variable: &VarBind) -> Option<VarBind> {
    let after = (Bound::Excluded(variable.name.to_vec()), Bound::Unbounded);
    match view.range(after).next() {
        Some((name, value)) => {
            let name = ObjectIdentifier::new(name.clone())?;
            Some(VarBind { name, value: VarBindValue::Value(value.clone()) })
        }
        None => Some(VarBind { name: variable.name.clone(), value: VarBindValue::EndOfMibView }),
    }
}

/// Returns the next object of each of the first `non_repeaters` variables, then repeatedly the next objects
/// of the others.
fn get_bulk(view: &View, request: &BulkPdu) -> Vec<VarBind> {
    let variables = &request.variable_bindings;
    let non_repeaters = variables.len().min(request.non_repeaters as usize);
    let (non_repeated, repeated) = variables.split_at(non_repeaters);
    let next = |variable: &VarBind| get_next(view, variable);
    let mut bindings: Vec<VarBind> = non_repeated.iter().filter_map(next).collect();
    let mut row = repeated.to_vec();
    for _ in 0..request.max_repetitions.min(MAX_REPETITIONS) {
        row = row.iter().filter_map(next).collect();
        bindings.extend(row.iter().cloned());
        let at_end = row.iter().all(|binding| binding.value == VarBindValue::EndOfMibView);
        if at_end || bindings.len() >= MAX_BINDINGS {
            break;
        }
    }
    bindings
}
