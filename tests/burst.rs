//! A burst of connections in a full house, in a file of its own: a process starts with as many places for
//! descriptors as the one that starts it has ever needed, and what the relay takes is read from its places.

mod common;

use std::thread;
use std::time::Duration;

use common::*;

/// All who are heard ask in the same moment: each connection takes a second descriptor, which somebody else
/// has to give back first. The process is stopped for so long that it reads all of them at once. Gives how
/// many were served, and the process, which is told that it may hold so many and is held to `limit`; of one
/// that is held to more, what it takes beyond what it is told is seen.
fn burst(sockets: usize, limit: usize) -> (usize, Relay) {
    let endpoint = Endpoint::lines("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay =
        Relay::start_limited(&discovery, &format!("ulimit -n {limit}"), sockets as u32, &[host()], 0, "");
    let at_start = relay.descriptor_places();
    let mut clients: Vec<_> = (0..sockets).map(|_| relay.client()).collect();
    until("the house is full", || relay.descriptors() > sockets * 3 / 4);
    thread::sleep(Duration::from_millis(300));
    relay.signal("STOP");
    // The longest silent, who are to make room, speak last.
    for client in clients.iter_mut().rev() {
        client.open("");
    }
    relay.signal("CONT");
    let answers: Vec<_> = clients.iter_mut().map(Client::line).collect();
    let served = answers.iter().filter(|answer| *answer == "UP 1").count();
    assert!(served > sockets / 4, "{served} served: {answers:?}");
    let places = relay.descriptor_places();
    // Where more is held than told, what is taken beyond that shows.
    assert!(limit <= sockets || at_start <= sockets, "{at_start} places at the start");
    assert!(limit <= sockets || places <= sockets, "{places} places for {sockets}");
    (served, relay)
}

#[test]
fn a_burst_of_flows_in_a_full_house_takes_no_more_than_there_is() {
    const SOCKETS: usize = 256;
    let (free, relay) = burst(SOCKETS, 4 * SOCKETS);
    drop(relay);
    let (held, relay) = burst(SOCKETS, SOCKETS);
    assert!(held + 5 > free, "{held} served with {SOCKETS}, {free} with more");
    let log = relay.log();
    assert!(!log.contains("accept:") && !log.contains("os error 24"), "{log}");
}
