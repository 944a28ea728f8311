//! A burst of requests at a relay that is at capacity. The test reads the relay's use of descriptors from the
//! size of its descriptor table, which a process inherits from the one that starts it. It is in a file of its
//! own so that other tests do not enlarge the table.

mod common;

use std::thread;
use std::time::Duration;

use common::*;

/// Sends a request on all connections of a relay at the same moment. Each admitted connection needs a second
/// descriptor, which another connection has to release first. The relay is stopped meanwhile, so that it
/// reads all requests at once. Returns the number of served clients, and the relay, which is configured for
/// `sockets` descriptors and limited to `limit` by the operating system. If `limit` is the larger one, the
/// size of the descriptor table shows whether the relay uses more than it is configured for.
fn send_burst(sockets: usize, limit: usize) -> (usize, Relay) {
    let endpoint = Endpoint::lines("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay =
        Relay::start_limited(&discovery, &format!("ulimit -n {limit}"), sockets as u32, &[host()], 0, "");
    let table_size_at_start = relay.descriptor_table_size();
    let mut clients: Vec<_> = (0..sockets).map(|_| relay.client()).collect();
    until("the relay is at capacity", || relay.descriptors() > sockets * 3 / 4);
    thread::sleep(Duration::from_millis(300));
    relay.signal("STOP");
    // The clients that have been idle longest, which are evicted first, send their requests last.
    for client in clients.iter_mut().rev() {
        client.open("");
    }
    relay.signal("CONT");
    let answers: Vec<_> = clients.iter_mut().map(Client::line).collect();
    let served = answers.iter().filter(|answer| *answer == "UP 1").count();
    assert!(served > sockets / 4, "{served} served: {answers:?}");
    let table_size = relay.descriptor_table_size();
    // Only with a limit above the configured number does the table show a use beyond it.
    assert!(
        limit <= sockets || table_size_at_start <= sockets,
        "descriptor table of {table_size_at_start} entries at the start"
    );
    assert!(
        limit <= sockets || table_size <= sockets,
        "descriptor table of {table_size} entries for {sockets} descriptors"
    );
    (served, relay)
}

#[test]
fn a_burst_of_requests_at_capacity_stays_within_the_descriptor_limit() {
    const SOCKETS: usize = 256;
    let (served_with_higher_limit, relay) = send_burst(SOCKETS, 4 * SOCKETS);
    drop(relay);
    let (served_at_limit, relay) = send_burst(SOCKETS, SOCKETS);
    assert!(
        served_at_limit + 5 > served_with_higher_limit,
        "{served_at_limit} served with a limit of {SOCKETS}, {served_with_higher_limit} with a higher one"
    );
    let log = relay.log();
    assert!(!log.contains("accept:") && !log.contains("os error 24"), "{log}");
}
