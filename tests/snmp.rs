//! Tests of the SNMP agent with the real program, compared with the MIB's text.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::UdpSocket;

use common::*;
use rasn::types::{Integer, ObjectIdentifier, OctetString};
use rasn_snmp::v2::{BulkPdu, GetBulkRequest, GetNextRequest, GetRequest, Pdu, Pdus, VarBind, VarBindValue};
use rasn_snmp::v2c::Message;

struct Manager(UdpSocket);

impl Manager {
    fn send_request(&self, community: &str, data: Pdus) -> Option<Pdu> {
        let community = OctetString::from(community.as_bytes().to_vec());
        let message = Message { version: Integer::from(1), community, data };
        self.0.send(&rasn::ber::encode(&message).unwrap()).unwrap();
        let mut buffer = [0; 4096];
        let n = self.0.recv(&mut buffer).ok()?;
        let answer: Message<Pdus> = rasn::ber::decode(&buffer[..n]).unwrap();
        let Pdus::Response(response) = answer.data else { panic!("the agent did not send a response PDU") };
        Some(response.0)
    }
}

fn pdu(name: &[u32]) -> Pdu {
    let name = ObjectIdentifier::new(name.to_vec()).unwrap();
    let variable_bindings = vec![VarBind { name, value: VarBindValue::Unspecified }];
    Pdu { request_id: 7, error_status: 0, error_index: 0, variable_bindings }
}

/// The names of the objects that the MIB's text declares as read-only, by identifier.
fn readable() -> BTreeMap<Vec<u32>, String> {
    let text = include_str!("../mibs/SANDGW-MIB.txt");
    let mut known = BTreeMap::from([("enterprises".to_owned(), vec![1, 3, 6, 1, 4, 1])]);
    let (mut name, mut access, mut found) = (String::new(), false, BTreeMap::new());
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            [first, "OBJECT-TYPE" | "MODULE-IDENTITY", ..] | [first, "OBJECT", "IDENTIFIER", ..] => {
                (name, access) = (first.to_owned(), false);
            }
            ["MAX-ACCESS", kind] => access = kind == "read-only",
            _ => {}
        }
        let Some((_, position)) = line.split_once("::= {") else { continue };
        let mut position = position.trim_end_matches([' ', '}']).split_whitespace();
        let Some(parent) = position.next().and_then(|p| known.get(p)) else { continue };
        let own: Vec<u32> = parent.iter().copied().chain(position.map(|n| n.parse().unwrap())).collect();
        if access {
            found.insert(own.clone(), name.clone());
        }
        known.insert(name.clone(), own);
    }
    found
}

#[test]
fn the_agent_shows_what_the_mib_names_and_nothing_else() {
    let endpoint = Endpoint::lines("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start(&discovery);
    assert_eq!(relay.client().open("").line(), "UP 1");
    let mut established = relay.client();
    assert_eq!(established.open("").line(), "UP 1");
    let socket = UdpSocket::bind((host(), 0)).unwrap();
    socket.connect(&relay.snmp).unwrap();
    socket.set_read_timeout(Some(LONG)).unwrap();
    let manager = Manager(socket);
    let connections = |column: u32| pdu(&[1, 3, 6, 1, 4, 1, 32473, 1, 1, column, 0]);
    let ended = || manager.send_request("hall", Pdus::GetRequest(GetRequest(connections(6)))).unwrap();
    until("a connection has ended", || format!("{:?}", ended().variable_bindings[0].value).contains("(1)"));

    let (mibs, mut seen, mut walk) = (readable(), BTreeSet::new(), Vec::new());
    let mut at = vec![1, 3, 6, 1, 4, 1];
    loop {
        let answer = manager.send_request("hall", Pdus::GetNextRequest(GetNextRequest(pdu(&at)))).unwrap();
        let bind = &answer.variable_bindings[0];
        if bind.value == VarBindValue::EndOfMibView {
            break;
        }
        at = bind.name.to_vec();
        let (object, name) = mibs.iter().find(|(o, _)| at.starts_with(o)).expect("an object of the MIB");
        seen.insert(object.clone());
        walk.push(format!("{name} {:?} = {:?}", &at[object.len()..], bind.value));
    }
    assert_eq!(seen, mibs.into_keys().collect());
    insta::assert_debug_snapshot!(walk);

    let bulk = BulkPdu {
        request_id: 8,
        non_repeaters: 0,
        max_repetitions: 5,
        variable_bindings: pdu(&[1, 3, 6, 1]).variable_bindings,
    };
    let answer = manager.send_request("hall", Pdus::GetBulkRequest(GetBulkRequest(bulk))).unwrap();
    assert_eq!((answer.request_id, answer.variable_bindings.len()), (8, 5));
    let set = Pdus::SetRequest(rasn_snmp::v2::SetRequest(connections(1)));
    assert_eq!(manager.send_request("hall", set).unwrap().error_status, Pdu::ERROR_STATUS_NOT_WRITABLE);
    // Malformed datagrams and requests with another community get no answer, and the agent continues.
    manager.0.send(b"\x30\x82").unwrap();
    manager.0.set_read_timeout(Some(std::time::Duration::from_millis(300))).unwrap();
    assert!(manager.send_request("other", Pdus::GetRequest(GetRequest(connections(1)))).is_none());
    manager.0.set_read_timeout(Some(LONG)).unwrap();
    assert!(manager.send_request("hall", Pdus::GetRequest(GetRequest(connections(1)))).is_some());
}
