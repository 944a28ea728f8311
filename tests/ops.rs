//! The operators' address and standby through the real program.

mod common;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// An application's settings under which connections end at the relay.
const PROXY: &str = r#"
[settings]
discovery = "on_request"
nInstances = 1
me = 0
resolutionMs = 2.0
realms = [{ name = "acme" }]
lanes = [{ name = "subtitle-stream", semantics = "safe", aimMs = 500.0, hardLimitMs = 3000.0, worth = 1.0 }]
limits = { maxAttempts = 5, connectTimeoutMs = 200.0, retryAfter = true, maxRetryAfterMs = 1500.0 }
rules = { askEveryMs = 10000.0, coldFrom = 0.31, warmWithinMs = 8600.0, tipMultiple = 3.0 }
domain = { mode = "proxy", groups = true, messageAimMs = [150.0] }
"#;

fn one(more: &str) -> (Endpoint, Discovery, Relay) {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start_more(&discovery, 1024, &[host()], 0, more);
    (endpoint, discovery, relay)
}

fn stand(relay: &Relay) -> Client {
    let mut client = relay.client();
    assert_eq!(client.open("").line(), "UP 1");
    client
}

fn echoes(client: &mut Client, text: &str) -> bool {
    client.send(&format!("{text}\r\n")).line() == text
}

#[test]
fn each_call_has_one_answer() {
    let (_endpoint, _discovery, relay) = one("");
    for (call, answer) in [
        (&b"status\n"[..], "done active, 0 standing"),
        (b"status\r\n", "done active, 0 standing"),
        (b"standby\n", "done standby, 0 standing"),
        (b"standby\n", "done standby, 0 standing"),
        (b"status\n", "done standby, 0 standing"),
        (b"active\n", "done active, 0 standing"),
        (b"active\n", "done active, 0 standing"),
        (b"Status\n", "error an unknown call; known are status, standby, active"),
        (b"\xff\xff\n", "error an unknown call; known are status, standby, active"),
        (b"\n", "error an empty call; known are status, standby, active"),
        (b"standby\nstandby\n", "error one call to a connection"),
        (&[b'x'; 100_000], "error a call is at most 64 bytes long"),
    ] {
        assert_eq!(relay.call(call), answer, "{:?}", &call[..call.len().min(20)]);
    }
    // What was refused was not done.
    assert_eq!(relay.call(b"status\n"), "done active, 0 standing");
    // Ended in the middle, and in two parts.
    let mut caller = connect(&relay.ops);
    caller.write_all(b"stand").unwrap();
    caller.shutdown(Shutdown::Write).unwrap();
    assert_eq!(Client(std::io::BufReader::new(caller)).line(), "error the call has no end");
    let mut caller = Client(std::io::BufReader::new(connect(&relay.ops)));
    caller.send("sta");
    thread::sleep(Duration::from_millis(50));
    assert_eq!(caller.send("tus\n").line(), "done active, 0 standing");
}

/// Far more calls have arrived than there are seats before the relay reads the first: who makes room has
/// asked already, and is answered. He was closed on unread; and more were accepted than are counted before
/// the first was let go.
#[test]
fn calls_that_arrive_together_are_all_answered_by_a_few_descriptors() {
    /// Callers that may be there at a time, the next one, and what is held back for them.
    const DESCRIPTORS: u64 = 8 + 1 + 1;
    let (_endpoint, discovery, relay) = one("");
    drop(relay);
    let relay = Relay::start_limited(&discovery, "set -- \"$@\" --verbose", 1024, &[host()], 0, "");
    until("the first client has gone", || relay.log().contains("list: "));
    thread::sleep(Duration::from_millis(200));
    relay.limit_descriptors(relay.descriptors() as u64 + DESCRIPTORS);
    relay.freeze();
    let mut callers: Vec<_> =
        (0..400).map(|_| Client(std::io::BufReader::new(connect(&relay.ops)))).collect();
    for caller in &mut callers {
        caller.send("status\n");
    }
    relay.signal("CONT");
    let answers: Vec<_> = callers.iter_mut().map(Client::line).collect();
    let log = relay.log();
    let short = log.lines().filter(|line| line.contains("os error 24")).collect::<Vec<_>>();
    let answered = answers.iter().filter(|answer| *answer == "done active, 0 standing").count();
    assert!(
        answered == 400 && short.is_empty(),
        "{answered} of 400 answered, {} faults: {:?}",
        short.len(),
        short.first()
    );
}

/// Whoever calls is answered however many are there already who say nothing, or half of something.
#[test]
fn silent_callers_keep_nobody_out() {
    let (_endpoint, _discovery, relay) = one("");
    let mut silent: Vec<TcpStream> = (0..40).map(|_| connect(&relay.ops)).collect();
    // One who is still at it is not cut off for those who say nothing.
    let mut slow = Client(std::io::BufReader::new(connect(&relay.ops)));
    slow.send("st");
    for round in 0..30 {
        silent.push(connect(&relay.ops));
        assert_eq!(relay.call(b"status\n"), "done active, 0 standing", "call {round}");
    }
    assert_eq!(slow.send("atus\n").line(), "done active, 0 standing");
    // Those with half a call make room for each other.
    let halves: Vec<_> = (0..20).map(|_| connect(&relay.ops)).collect();
    halves.iter().for_each(|mut half| half.write_all(b"act").unwrap());
    assert_eq!(relay.call(b"status\n"), "done active, 0 standing");
}

/// A process that has fewer descriptors than it was told of has none left: clients wait, operators do not.
#[test]
fn operators_are_answered_without_a_descriptor_left() {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start_limited(&discovery, "ulimit -n 80", 1024, &[host()], 0, "");
    let clients: Vec<TcpStream> = (0..200).map(|_| connect(&relay.line)).collect();
    until("none is left", || relay.log().contains("accept:"));
    for _ in 0..10 {
        let start = Instant::now();
        assert_eq!(relay.call(b"status\n"), "done active, 0 standing");
        assert!(start.elapsed() < Duration::from_secs(1), "answered after {:?}", start.elapsed());
    }
    drop(clients);
}

/// The same where time passes between the calls, and both listeners look for a descriptor in the same
/// moment: one that a caller had given back was a client's by then, and so was each that clients made room
/// for, for seconds.
#[test]
fn a_descriptor_that_a_caller_gives_back_is_the_next_callers() {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start_limited(&discovery, "ulimit -n 80", 1024, &[host()], 0, "");
    let mut clients: Vec<TcpStream> = (0..900).map(|_| connect(&relay.line)).collect();
    until("none is left", || relay.log().contains("accept:"));
    let mut took = Vec::new();
    for _ in 0..40 {
        clients.extend((0..8).map(|_| connect(&relay.line)));
        thread::sleep(Duration::from_millis(45));
        relay.freeze();
        let mut caller = Client(std::io::BufReader::new(connect(&relay.ops)));
        caller.send("status\n");
        thread::sleep(Duration::from_millis(30));
        let start = Instant::now();
        relay.signal("CONT");
        assert_eq!(caller.line(), "done active, 0 standing");
        took.push(start.elapsed());
    }
    println!("{took:?}");
    let late: Vec<_> = took.iter().filter(|took| **took > Duration::from_secs(1)).collect();
    assert!(late.is_empty(), "answered after {late:?}");
}

/// Where packets pass through, the front leads standing connections elsewhere: to move them would break
/// what holds.
#[test]
fn on_standby_new_ones_are_told_off_and_those_who_pass_through_stay() {
    let (_endpoint, discovery, relay) = one("");
    let mut front = relay.client();
    assert_eq!(front.send("PING\r\n").line(), "PONG");
    let mut held = stand(&relay);
    relay.call(b"standby\n");
    assert_eq!(front.send("PING\r\n").line(), "STANDBY");
    assert_eq!(relay.client().send("PING\r\n").line(), "STANDBY");
    // Who comes all the same is served.
    let mut late = stand(&relay);
    // Neither of these is a way back.
    relay.reload(Some(&discovery));
    relay.terminate();
    until("both are heard", || relay.log().contains("SIGHUP") && relay.log().contains("SIGTERM"));
    assert_eq!(relay.client().send("PING\r\n").line(), "STANDBY");
    thread::sleep(Duration::from_secs(4));
    assert!(echoes(&mut held, "still") && echoes(&mut late, "here"));
    assert_eq!(relay.call(b"active\n"), "done active, 2 standing");
    assert_eq!(relay.client().send("PING\r\n").line(), "PONG");
    assert!(echoes(&mut held, "on") && echoes(&mut late, "on"));
}

/// Where connections end at the relay, all are told to move, also who comes to stand on the way; no later
/// than 4 s after the call, with room for a slow machine.
#[test]
fn on_standby_those_who_would_be_lost_are_moved_in_time() {
    let (_endpoint, _discovery, relay) = one(PROXY);
    let mut clients: Vec<Client> = (0..30).map(|_| stand(&relay)).collect();
    relay.call(b"standby\n");
    let start = Instant::now();
    clients.push(stand(&relay));
    let moved: Vec<_> = clients.iter_mut().map(|c| (c.line(), c.line(), start.elapsed())).collect();
    assert!(moved.iter().all(|(word, end, _)| word == "MOVE" && end == "(end)"), "{moved:?}");
    let (first, last) = (moved.iter().map(|m| m.2).min(), moved[30].2);
    assert!(
        first > Some(Duration::from_millis(200)) && last < Duration::from_secs(4),
        "{first:?} to {last:?}"
    );
    until("none is left", || relay.call(b"status\n") == "done standby, 0 standing");
    // The second call ends the drain for good.
    relay.call(b"active\n");
    let mut back = stand(&relay);
    thread::sleep(Duration::from_millis(500));
    assert!(echoes(&mut back, "here"));
}

#[test]
fn the_way_back_in_the_middle_ends_the_moves() {
    let (_endpoint, _discovery, relay) = one(PROXY);
    let mut clients: Vec<Client> = (0..60).map(|_| stand(&relay)).collect();
    relay.call(b"standby\n");
    assert_eq!(clients[0].line(), "MOVE", "the longest here is told first");
    relay.call(b"active\n");
    let told: usize = relay.call(b"status\n").split(' ').nth(2).unwrap().parse().unwrap();
    assert!(told > 30, "{told} stand in the middle of it");
    thread::sleep(Duration::from_secs(4));
    let now: usize = relay.call(b"status\n").split(' ').nth(2).unwrap().parse().unwrap();
    // Some had been told and were on their way out.
    assert!(now + 5 > told, "{told} then, {now} now");
    assert!(echoes(&mut clients[59], "here"));
}
