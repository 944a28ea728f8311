//! Tests of the operators' address and of standby with the real program.

mod common;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// An application's settings with which connections end at the relay instead of passing through.
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

fn start_relay(more: &str) -> (Endpoint, Discovery, Relay) {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start_more(&discovery, 1024, &[host()], 0, more);
    (endpoint, discovery, relay)
}

fn establish(relay: &Relay) -> Client {
    let mut client = relay.client();
    assert_eq!(client.open("").line(), "UP 1");
    client
}

fn echoes(client: &mut Client, text: &str) -> bool {
    client.send(&format!("{text}\r\n")).line() == text
}

#[test]
fn each_call_has_one_answer() {
    let (_endpoint, _discovery, relay) = start_relay("");
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
    // The rejected calls had no effect.
    assert_eq!(relay.call(b"status\n"), "done active, 0 standing");
    // A call that ends within its line, and one that arrives in two parts.
    let mut caller = connect(&relay.ops);
    caller.write_all(b"stand").unwrap();
    caller.shutdown(Shutdown::Write).unwrap();
    assert_eq!(Client(std::io::BufReader::new(caller)).line(), "error the call has no end");
    let mut caller = Client(std::io::BufReader::new(connect(&relay.ops)));
    caller.send("sta");
    thread::sleep(Duration::from_millis(50));
    assert_eq!(caller.send("tus\n").line(), "done active, 0 standing");
}

/// More calls arrive than there are descriptors for callers before the relay reads the first. A caller whose
/// connection is closed to free its descriptor has already sent its call, which must be answered. Guards
/// against connections that are closed with the call unread, and against accepting more callers than the
/// limit before the first is closed.
#[test]
fn calls_that_arrive_together_are_all_answered_by_a_few_descriptors() {
    /// The callers that may be connected at a time, the next caller, and the descriptor reserved for them.
    const DESCRIPTORS: u64 = 8 + 1 + 1;
    let (_endpoint, discovery, relay) = start_relay("");
    drop(relay);
    let relay = Relay::start_limited(&discovery, "set -- \"$@\" --verbose", 1024, &[host()], 0, "");
    until("the first list has arrived", || relay.log().contains("list: "));
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
        "{answered} of 400 calls answered, {} descriptor errors: {:?}",
        short.len(),
        short.first()
    );
}

/// Each call is answered, however many callers are connected that have sent nothing or half a call.
#[test]
fn silent_callers_keep_no_other_caller_out() {
    let (_endpoint, _discovery, relay) = start_relay("");
    let mut silent: Vec<TcpStream> = (0..40).map(|_| connect(&relay.ops)).collect();
    // A caller that is still sending is not disconnected in favour of silent ones.
    let mut slow = Client(std::io::BufReader::new(connect(&relay.ops)));
    slow.send("st");
    for round in 0..30 {
        silent.push(connect(&relay.ops));
        assert_eq!(relay.call(b"status\n"), "done active, 0 standing", "call {round}");
    }
    assert_eq!(slow.send("atus\n").line(), "done active, 0 standing");
    // Among callers with half a call, the relay disconnects some to accept others.
    let halves: Vec<_> = (0..20).map(|_| connect(&relay.ops)).collect();
    halves.iter().for_each(|mut half| half.write_all(b"act").unwrap());
    assert_eq!(relay.call(b"status\n"), "done active, 0 standing");
}

/// A process that has fewer descriptors than its configuration says has none left: clients wait, and
/// operators are answered at once.
#[test]
fn operators_are_answered_without_a_descriptor_left() {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start_limited(&discovery, "ulimit -n 80", 1024, &[host()], 0, "");
    let clients: Vec<TcpStream> = (0..200).map(|_| connect(&relay.line)).collect();
    until("no descriptor is left", || relay.log().contains("accept:"));
    for _ in 0..10 {
        let start = Instant::now();
        assert_eq!(relay.call(b"status\n"), "done active, 0 standing");
        assert!(start.elapsed() < Duration::from_secs(1), "answered after {:?}", start.elapsed());
    }
    drop(clients);
}

/// Operators are answered without a descriptor left, also where time passes between the calls and both
/// listeners need a descriptor at the same moment. Guards against clients that take the descriptor which a
/// caller has freed; for seconds they also took each descriptor that was freed by closing another client.
#[test]
fn a_descriptor_that_a_caller_frees_goes_to_the_next_caller() {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start_limited(&discovery, "ulimit -n 80", 1024, &[host()], 0, "");
    let mut clients: Vec<TcpStream> = (0..900).map(|_| connect(&relay.line)).collect();
    until("no descriptor is left", || relay.log().contains("accept:"));
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

/// With packet passthrough the front redirects established connections itself: migrating them would break
/// connections that work.
#[test]
fn on_standby_the_front_is_told_and_connections_that_pass_through_stay() {
    let (_endpoint, discovery, relay) = start_relay("");
    let mut front = relay.client();
    assert_eq!(front.send("PING\r\n").line(), "PONG");
    let mut held = establish(&relay);
    relay.call(b"standby\n");
    assert_eq!(front.send("PING\r\n").line(), "STANDBY");
    assert_eq!(relay.client().send("PING\r\n").line(), "STANDBY");
    // A client that arrives nevertheless is served.
    let mut late = establish(&relay);
    // Neither SIGHUP nor SIGTERM ends standby.
    relay.reload(Some(&discovery));
    relay.terminate();
    until("both signals are logged", || relay.log().contains("SIGHUP") && relay.log().contains("SIGTERM"));
    assert_eq!(relay.client().send("PING\r\n").line(), "STANDBY");
    thread::sleep(Duration::from_secs(4));
    assert!(echoes(&mut held, "still") && echoes(&mut late, "here"));
    assert_eq!(relay.call(b"active\n"), "done active, 2 standing");
    assert_eq!(relay.client().send("PING\r\n").line(), "PONG");
    assert!(echoes(&mut held, "on") && echoes(&mut late, "on"));
}

/// Where connections end at the relay, all are migrated, also those that are established meanwhile, no later
/// than 4 s after the call, which leaves time for a slow machine.
#[test]
fn on_standby_connections_that_end_at_the_relay_are_migrated_in_time() {
    let (_endpoint, _discovery, relay) = start_relay(PROXY);
    let mut clients: Vec<Client> = (0..30).map(|_| establish(&relay)).collect();
    relay.call(b"standby\n");
    let start = Instant::now();
    clients.push(establish(&relay));
    let moved: Vec<_> = clients.iter_mut().map(|c| (c.line(), c.line(), start.elapsed())).collect();
    assert!(moved.iter().all(|(reply, end, _)| reply == "MOVE" && end == "(end)"), "{moved:?}");
    let (first, last) = (moved.iter().map(|m| m.2).min(), moved[30].2);
    assert!(
        first > Some(Duration::from_millis(200)) && last < Duration::from_secs(4),
        "{first:?} to {last:?}"
    );
    until("no connection is left", || relay.call(b"status\n") == "done standby, 0 standing");
    // The call `active` ends the migrations for good.
    relay.call(b"active\n");
    let mut back = establish(&relay);
    thread::sleep(Duration::from_millis(500));
    assert!(echoes(&mut back, "here"));
}

/// The platform kills a process at the earliest this long after SIGTERM, with longest deadlines of up to 3 s.
const TERMINATION_TIME: Duration = Duration::from_millis(3700);
/// New connections still arrive for this long after SIGTERM.
const LATE_ARRIVALS: Duration = Duration::from_millis(400);
/// The largest part of the connections that may be told to move at one time.
const MAX_MIGRATED_AT_ONCE: usize = 10;

/// Guards against a planned restart that cuts off all connections that end with the process.
#[test]
fn after_sigterm_connections_that_end_with_the_process_are_told_to_move_one_after_the_other() {
    let (_endpoint, _discovery, relay) = start_relay(PROXY);
    let clients: Vec<Client> = (0..60).map(|_| establish(&relay)).collect();
    let start = Instant::now();
    // Each client reads from the signal on, so that the time is that at which it is told.
    let read = |mut client: Client| {
        thread::spawn(move || {
            let told = client.line();
            (told, start.elapsed(), client.line())
        })
    };
    let mut readers: Vec<_> = clients.into_iter().map(read).collect();
    relay.terminate();
    while start.elapsed() < LATE_ARRIVALS {
        readers.push(read(establish(&relay)));
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(relay.client().send("PING\r\n").line(), "PONG", "the process serves on");
    let moved: Vec<_> = readers.into_iter().map(|reader| reader.join().unwrap()).collect();
    let in_time = |(told, at, end): &(String, Duration, String)| {
        told == "MOVE" && end == "(end)" && *at < TERMINATION_TIME
    };
    assert!(moved.iter().all(in_time), "{moved:?}: {}", relay.log());
    let window = Duration::from_millis(100);
    let within =
        |from: Duration| moved.iter().filter(|(_, at, _)| (from..from + window).contains(at)).count();
    let most = moved.iter().map(|(_, at, _)| within(*at)).max().unwrap();
    assert!(most <= MAX_MIGRATED_AT_ONCE, "{most} of {} at once: {moved:?}", moved.len());
}

/// Guards against clients that are told to move although their packets pass through a planned restart.
#[test]
fn after_sigterm_connections_that_pass_through_stay() {
    let (_endpoint, _discovery, relay) = start_relay("");
    let mut held = establish(&relay);
    relay.terminate();
    let mut late = establish(&relay);
    thread::sleep(TERMINATION_TIME);
    assert!(echoes(&mut held, "still") && echoes(&mut late, "here"));
}

#[test]
fn going_active_again_ends_the_migrations() {
    let (_endpoint, _discovery, relay) = start_relay(PROXY);
    let mut clients: Vec<Client> = (0..60).map(|_| establish(&relay)).collect();
    relay.call(b"standby\n");
    assert_eq!(clients[0].line(), "MOVE", "the oldest connection is not migrated first");
    relay.call(b"active\n");
    let before: usize = relay.call(b"status\n").split(' ').nth(2).unwrap().parse().unwrap();
    assert!(before > 30, "{before} connections remain in the middle of the migrations");
    thread::sleep(Duration::from_secs(4));
    let now: usize = relay.call(b"status\n").split(' ').nth(2).unwrap().parse().unwrap();
    // Some clients had already been told to migrate and were about to leave.
    assert!(now + 5 > before, "{before} connections then, {now} now");
    assert!(echoes(&mut clients[59], "here"));
}
