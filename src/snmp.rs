//! A read-only SNMP agent (version 2c, RFC 3416) for `mibs/SANDGW-MIB.txt`: fed datagrams, knows no socket.

use std::collections::BTreeMap;

use rasn::types::{Integer, ObjectIdentifier, OctetString};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax, SimpleSyntax};
use rasn_snmp::v2::{Pdu, Pdus, Response, VarBind, VarBindValue};
use rasn_snmp::v2c::Message;

use sandgw_affinity_store::writer::WriterStats;

use crate::policy::api::EndpointState;
use crate::relay::Relay;

/// iso.org.dod.internet.private.enterprises.32473.1: the example enterprise of RFC 5612.
pub const BASE: [u32; 8] = [1, 3, 6, 1, 4, 1, 32473, 1];
/// Most rows that one GETBULK is answered with; keeps answers in one datagram.
const MOST_REPETITIONS: u32 = 32;
const MOST_BINDINGS: usize = 64;

/// Objects of the agent in the order of their identifiers.
pub type View = BTreeMap<Vec<u32>, ObjectSyntax>;

/// What the relay shows now.
pub fn view(relay: &Relay, written: WriterStats) -> View {
    let mut view = View::new();
    let mut put = |tail: &[u32], value: ObjectSyntax| {
        view.insert([&BASE[..], tail].concat(), value);
    };
    let counter = |n: u64| ObjectSyntax::ApplicationWide(ApplicationSyntax::BigCounter(Counter64(n)));
    let gauge = |n: u64| {
        ObjectSyntax::ApplicationWide(ApplicationSyntax::Unsigned(rasn_smi::v1::Gauge(
            n.try_into().unwrap_or(u32::MAX),
        )))
    };
    let c = relay.counters();
    let scalars = [c.connections, c.established, c.rejected, c.failed, c.migrations];
    for (i, n) in (1..).zip(scalars) {
        put(&[1, i, 0], counter(n));
    }
    put(&[1, 6, 0], gauge(relay.established_connections()));
    for (i, n) in (1..).zip(c.attempts) {
        put(&[2, 1, 2, i], counter(n));
    }
    let a = relay.affinity_statistics();
    for (i, n) in (1..).zip([a.sessions, a.groups, a.max_bytes]) {
        put(&[5, i, 0], gauge(n));
    }
    let totals = [
        a.evicted,
        a.not_admitted,
        a.expired,
        a.stale_lookups,
        a.resent_chunks,
        written.entries,
        written.failures,
    ];
    for (i, n) in (4..).zip(totals) {
        put(&[5, i, 0], counter(n));
    }
    for row in relay.endpoints() {
        // The id is the index, as its length and its bytes: it needs no column of its own to be read.
        let id = row.id.0.as_bytes();
        let index: Vec<u32> =
            std::iter::once(id.len() as u32).chain(id.iter().map(|b| u32::from(*b))).collect();
        let state = match row.state {
            EndpointState::Ready => 1,
            EndpointState::Draining => 2,
            EndpointState::Removed => 3,
        };
        put(
            &[&[3, 1, 2][..], &index].concat(),
            ObjectSyntax::Simple(SimpleSyntax::Integer(Integer::from(state))),
        );
        put(&[&[3, 1, 3][..], &index].concat(), gauge(row.established));
        put(&[&[3, 1, 4][..], &index].concat(), counter(row.attempts));
    }
    view
}

/// Answers a datagram; nothing where it is malformed or of another community, as the protocol wants.
pub fn answer(datagram: &[u8], community: &str, view: &View) -> Option<Vec<u8>> {
    let message: Message<Pdus> = rasn::ber::decode(datagram).ok()?;
    if message.version != Integer::from(1) || &message.community[..] != community.as_bytes() {
        return None;
    }
    let oid = |b: &VarBind| b.name.to_vec();
    let bind = |name: &[u32], value| Some(VarBind { name: ObjectIdentifier::new(name.to_vec())?, value });
    let get = |b: &VarBind| {
        let value = view.get(&oid(b)).map_or(VarBindValue::NoSuchObject, |v| VarBindValue::Value(v.clone()));
        Some(VarBind { name: b.name.clone(), value })
    };
    let next = |b: &VarBind| {
        let after = (std::ops::Bound::Excluded(oid(b)), std::ops::Bound::Unbounded);
        match view.range(after).next() {
            Some((name, value)) => bind(name, VarBindValue::Value(value.clone())),
            None => Some(VarBind { name: b.name.clone(), value: VarBindValue::EndOfMibView }),
        }
    };
    let mut status = (Pdu::ERROR_STATUS_NO_ERROR, 0);
    let (id, bindings) = match message.data {
        Pdus::GetRequest(r) => (r.0.request_id, r.0.variable_bindings.iter().filter_map(get).collect()),
        Pdus::GetNextRequest(r) => (r.0.request_id, r.0.variable_bindings.iter().filter_map(next).collect()),
        Pdus::GetBulkRequest(r) => {
            let asked = &r.0.variable_bindings;
            let (once, repeated) = asked.split_at(asked.len().min(r.0.non_repeaters as usize));
            let mut found: Vec<VarBind> = once.iter().filter_map(next).collect();
            let mut row = repeated.to_vec();
            for _ in 0..r.0.max_repetitions.min(MOST_REPETITIONS) {
                row = row.iter().filter_map(next).collect();
                found.extend(row.iter().cloned());
                let ended = row.iter().all(|b| b.value == VarBindValue::EndOfMibView);
                if ended || found.len() >= MOST_BINDINGS {
                    break;
                }
            }
            (r.0.request_id, found)
        }
        // Read only.
        Pdus::SetRequest(r) => {
            status = (Pdu::ERROR_STATUS_NOT_WRITABLE, 1);
            (r.0.request_id, r.0.variable_bindings)
        }
        _ => return None,
    };
    let (error_status, error_index) = status;
    let data = Pdus::Response(Response(Pdu {
        request_id: id,
        error_status,
        error_index,
        variable_bindings: bindings,
    }));
    let community = OctetString::from(community.as_bytes().to_vec());
    rasn::ber::encode(&Message { version: Integer::from(1), community, data }).ok()
}
