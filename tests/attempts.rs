//! What comes between two lines while a connection is placed: its client's end, its window, the list. A
//! crossing is forced by stopping the process until both events are there, or by a stand-in that waits for
//! the other one.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use socket2::{Domain, Socket, Type};

/// What a stand-in waits for before it goes on.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    fn pass(&self) {
        let shut = self.0.1.wait_timeout_while(self.0.0.lock().unwrap(), LONG, |open| !*open).unwrap();
        assert!(!shut.1.timed_out(), "the test never opened the gate");
    }
}

/// An endpoint whose connections do not come up until it is told: its queue of connections is full, so that
/// the system drops each attempt to connect, which is repeated after a second.
struct Late {
    address: String,
    log: Log,
    accepts: Gate,
    /// Connections that fill the queue.
    _queued: Vec<Socket>,
}

impl Late {
    fn start(answer: &'static str) -> Late {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let address: SocketAddr = format!("{}:8443", host()).parse().unwrap();
        listener.bind(&address.into()).unwrap();
        listener.listen(0).unwrap();
        // A queue of none holds one; the second is on its way for good.
        let queued = (0..2).map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        });
        let queued = queued.collect();
        let (log, accepts) = (Log::default(), Gate::default());
        let (seen, gate) = (log.clone(), accepts.clone());
        thread::spawn(move || {
            gate.pass();
            loop {
                let stream: TcpStream = listener.accept().unwrap().0.into();
                let seen = seen.clone();
                thread::spawn(move || {
                    let mut line = String::new();
                    let read = BufReader::new(&stream).read_line(&mut line);
                    if read.is_ok_and(|n| n > 0) {
                        note(&seen, line.trim_end());
                        let _ = (&stream).write_all(answer.as_bytes());
                        let _ = (&stream).read(&mut [0]);
                    }
                });
            }
        });
        Late { address: address.to_string(), log, accepts, _queued: queued }
    }

    fn opened(&self) -> Vec<String> {
        self.log.lock().unwrap().iter().map(|(_, text)| text.clone()).collect()
    }
}

/// How many of the connections at an address are on their way and not up, by the system's table.
fn on_their_way(address: &str) -> usize {
    let at: SocketAddr = address.parse().unwrap();
    let SocketAddr::V4(at) = at else { unreachable!() };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    fields.filter(|f| f.get(2) == Some(&&*remote) && f.get(3) == Some(&"02")).count()
}

/// How many connections with an address at the far end have come up.
fn up_at(address: &str) -> usize {
    let at: SocketAddr = address.parse().unwrap();
    let SocketAddr::V4(at) = at else { unreachable!() };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    fields.filter(|f| f.get(2) == Some(&&*remote) && f.get(3) == Some(&"01")).count()
}

/// Ends a client's connection now. A drop alone ends it once nobody else has it, and a process that another
/// test starts just then has it for a moment.
fn leaves(client: Client) {
    client.0.get_ref().shutdown(Shutdown::Both).unwrap();
}

fn opens(seen: &[String]) -> usize {
    seen.iter().filter(|line| line.starts_with("OPEN")).count()
}

/// Attempts that last until all is forced.
const PATIENT: [(&str, &str); 2] = [
    ("\"connectTimeoutMs\":200.0", "\"connectTimeoutMs\":15000.0"),
    ("\"aimMs\":500.0", "\"aimMs\":15000.0"),
];

/// A relay with other settings than the usual.
fn with(discovery: &Discovery, from: &[(&str, &str)]) -> Relay {
    let relay = Relay::start(discovery);
    let changed = from.iter().fold(relay.configuration(), |text, (old, new)| {
        assert!(text.contains(old), "{old}");
        text.replace(old, new)
    });
    relay.configure(&changed);
    relay
}

/// A client's line and its end had both arrived before the relay read either: the line was taken, and an
/// attempt was made for nobody.
#[test]
fn a_client_that_had_left_before_it_was_read_is_not_placed() {
    let endpoint = Endpoint::lines("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start(&discovery);
    for round in 0..4 {
        relay.signal("STOP");
        for _ in 0..25 {
            let mut client = relay.client();
            client.open("");
            match round % 2 {
                0 => client.0.get_ref().shutdown(Shutdown::Write).unwrap(),
                _ => leaves(client),
            }
        }
        relay.signal("CONT");
        // Who comes after them is served, so all of them have been read.
        assert_eq!(relay.client().open(",g=after").line(), "UP 1");
    }
    let seen = endpoint.seen();
    let placed = seen.iter().filter(|line| line.starts_with("OPEN") && !line.contains("g=after")).count();
    assert_eq!(placed, 0, "attempts for clients that had left: {seen:?}");
}

/// A connection to an endpoint that comes up late, and the client's end, are there together: chance decided
/// which of them was looked at first, and the line was written for a client that had gone.
#[test]
fn an_attempt_whose_connection_comes_up_with_its_clients_end_does_not_begin() {
    let late = Late::start("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &late.address, "Ready", 0);
    let relay = with(&discovery, &PATIENT);
    let mut clients: Vec<_> = (0..64).map(|_| relay.client()).collect();
    clients.iter_mut().for_each(|c| {
        c.send(&line_with(19_000, ""));
    });
    until("all connect", || on_their_way(&late.address) >= 65);
    relay.signal("STOP");
    late.accepts.open();
    until("all connections are up", || up_at(&late.address) >= 65);
    clients.into_iter().for_each(leaves);
    relay.signal("CONT");
    // The relay's connections end; what was written on them is read before that.
    until("the relay has let go", || up_at(&late.address) <= 2);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(late.opened(), Vec::<String>::new());
}

fn line_with(deadline: u32, more: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("OPEN 5c0f{id:08x} 7f3a9c21e0b4d655 c=subtitle-stream,t=acme,d={deadline}{more}\r\n")
}

/// The window of a connection that may be repeated was looked at when the repeat was decided: a connection
/// that came up later let it begin outside. It is given up when its window ends, and answered at once.
#[test]
fn a_repeat_whose_window_ends_while_it_connects_does_not_begin() {
    const WINDOW: Duration = Duration::from_millis(3400);
    let reset = Gate::default();
    let resets = reset.clone();
    let first = Endpoint::start(move |stream, log| {
        let mut line = String::new();
        let _ = BufReader::new(&stream).read_line(&mut line);
        note(log, line.trim_end());
        resets.pass();
    });
    let late = Late::start("UP 2\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &first.address, "Ready", 0);
    // A repeat comes a quarter to three quarters of the wanted time after its attempt has ended, and has
    // all of it.
    let keyed = [
        ("\"connectTimeoutMs\":200.0", "\"connectTimeoutMs\":15000.0"),
        ("\"semantics\":\"safe\"", "\"semantics\":\"keyed\",\"group\":\"all\",\"windowMs\":3400.0"),
        ("\"aimMs\":500.0", "\"aimMs\":4000.0"),
    ];
    let relay = with(&discovery, &keyed);
    let mut clients: Vec<_> = (0..8).map(|_| relay.client()).collect();
    clients.iter_mut().for_each(|c| {
        c.send(&line_with(18_000, ""));
    });
    until("all have begun", || opens(&first.seen()) == 8);
    let begun = Instant::now();
    discovery.set("s-1", &first.address, "Terminating", 0);
    discovery.set("s-2", &late.address, "Ready", 0);
    reset.open();
    let answers =
        clients.into_iter().map(|mut client| thread::spawn(move || (client.line(), Instant::now())));
    let answers: Vec<_> = answers.collect();
    // Every window is over by now, and the system repeats each connect that is on its way once more.
    thread::sleep((WINDOW + Duration::from_millis(100)).saturating_sub(begun.elapsed()));
    late.accepts.open();
    let answers = answers.into_iter().map(|a| a.join().unwrap());
    let answers: Vec<_> = answers.map(|(answer, at)| (answer, at - begun)).collect();
    assert_eq!(late.opened(), Vec::<String>::new(), "begun outside of the window: {answers:?}");
    let told = |(answer, took): &(String, Duration)| answer == "ERR" && *took < 2 * WINDOW;
    assert!(answers.iter().all(told), "{answers:?}");
}

/// The list changes while a connection is on its way: nothing begins at an endpoint that leaves, or whose
/// place another has taken.
#[test]
fn an_attempt_does_not_begin_where_the_list_has_changed_while_it_connects() {
    for change in ["Terminating", "Gone", "moves"] {
        let late = Late::start("UP 1\r\n");
        let elsewhere = Endpoint::lines("UP 2\r\n");
        let discovery = Discovery::start();
        discovery.set("s-1", &late.address, "Ready", 0);
        let relay = with(&discovery, &PATIENT);
        let mut clients: Vec<_> = (0..4).map(|_| relay.client()).collect();
        clients.iter_mut().for_each(|c| {
            c.send(&line_with(12_000, ""));
        });
        until("all connect", || on_their_way(&late.address) >= 5);
        match change {
            "moves" => discovery.set("s-1", &elsewhere.address, "Ready", 0),
            phase => discovery.set("s-1", &late.address, phase, 0),
        };
        discovery.set("s-2", &elsewhere.address, "Ready", 0);
        // Served by the new one: so the list has been taken.
        until("the list is there", || relay.client().open("").line() == "UP 2");
        late.accepts.open();
        let answers: Vec<_> = clients.iter_mut().map(|c| c.line()).collect();
        assert!(answers.iter().all(|a| a == "UP 2"), "{change}: {answers:?}");
        assert_eq!(late.opened(), Vec::<String>::new(), "{change}");
    }
}

/// The end of a first attempt and of its client are there together: no further attempt is made, of one or
/// of many.
#[test]
fn no_further_attempt_begins_for_clients_that_leave_as_their_first_ends() {
    let answer = Gate::default();
    let answers = answer.clone();
    let first = Endpoint::start(move |stream, log| {
        let mut line = String::new();
        let _ = BufReader::new(&stream).read_line(&mut line);
        note(log, line.trim_end());
        answers.pass();
        let _ = (&stream).write_all(b"BUSY\r\n");
        drop(stream);
        note(log, "answered");
    });
    let second = Endpoint::lines("UP 2\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &first.address, "Ready", 0);
    discovery.set("s-2", &second.address, "Ready", 0);
    let relay = with(&discovery, &PATIENT);
    let mut clients: Vec<_> = (0..40).map(|_| relay.client()).collect();
    for (group, client) in clients.iter_mut().enumerate() {
        client.send(&line_with(19_000, &format!(",g={group}")));
    }
    until("all are at either", || opens(&first.seen()) + opens(&second.seen()) == 40);
    let (out, before) = (opens(&first.seen()), opens(&second.seen()));
    assert!(out > 5, "groups are not spread");
    relay.signal("STOP");
    answer.open();
    until("all are answered", || first.seen().iter().filter(|l| *l == "answered").count() == out);
    clients.into_iter().for_each(leaves);
    relay.signal("CONT");
    until("others are served", || relay.client().open(",g=after").line() == "UP 2");
    thread::sleep(Duration::from_millis(300));
    let seen = second.seen();
    let more = opens(&seen[before..]) - seen.iter().filter(|l| l.contains("g=after")).count();
    assert_eq!(more, 0, "{seen:?}");
}

/// A client that ends its sending while it waits, or says more than its line, is answered at once, and its
/// attempt is given up: the endpoint sees the end.
#[test]
fn an_attempt_is_given_up_as_soon_as_its_client_leaves() {
    let endpoint = Endpoint::start(|stream, log| {
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
            note(log, line.trim_end());
            line.clear();
        }
        note(log, "end");
    });
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = with(&discovery, &PATIENT);
    for (n, way) in ["half", "whole", "reset", "speaks"].into_iter().enumerate() {
        let mut client = relay.client();
        client.send(&line_with(19_000, ""));
        until("the attempt is out", || opens(&endpoint.seen()) == n + 1);
        let left = Instant::now();
        match way {
            "half" => client.0.get_ref().shutdown(Shutdown::Write).unwrap(),
            "whole" => drop(client),
            "reset" => {
                let socket = Socket::from(client.0.into_inner());
                socket.set_linger(Some(Duration::ZERO)).unwrap();
            }
            _ => assert_eq!(client.send("more\r\n").line(), "ERR"),
        }
        until("it is given up", || endpoint.seen().iter().filter(|l| *l == "end").count() == n + 1);
        assert!(left.elapsed() < LONG / 4, "{way}: {:?}", left.elapsed());
    }
    assert_eq!(opens(&endpoint.seen()), 4, "{:?}", endpoint.seen());
}

/// An endpoint answers, and again some milliseconds later, while other connections are placed: nobody gets
/// the second answer, be it with the first one, on its own, or in place of the end of one that is cut in
/// the middle.
#[test]
fn a_second_answer_reaches_nobody() {
    for first in ["BUSY\r\n", "ERR\r\n", "MOVE\r\n", "BYE\r\n", "UP", "BUSY 20\r\nUP 8\r\n"] {
        let bad = Endpoint::start(move |stream, log| {
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            note(log, line.trim_end());
            let _ = (&stream).write_all(first.as_bytes());
            thread::sleep(Duration::from_millis(15));
            let _ = (&stream).write_all(b"\r\nUP 9\r\n");
            let _ = (&stream).read(&mut [0]);
        });
        let good = Endpoint::lines("UP 1\r\n");
        let discovery = Discovery::start();
        discovery.set("s-1", &bad.address, "Ready", 0);
        discovery.set("s-2", &good.address, "Ready", 0);
        let relay = Relay::start(&discovery);
        let mut served = 0;
        for group in 0..12 {
            let mut clients: Vec<_> = (0..4).map(|_| relay.client()).collect();
            for client in &mut clients {
                client.open(&format!(",g={group}"));
            }
            for client in &mut clients {
                let answer = client.line();
                assert!(
                    ["UP 1", "UP", "ERR"].contains(&&*answer) || answer.starts_with("BUSY"),
                    "{first:?}: {answer}"
                );
                if answer == "UP 1" {
                    assert_eq!(client.send("mine\r\n").line(), "mine", "{first:?}");
                    served += 1;
                }
            }
        }
        assert!(
            served > 6 && opens(&bad.seen()) > 0,
            "{first:?}: {served} served, {} tried",
            opens(&bad.seen())
        );
    }
}

/// Answers arrive as their attempts are given up for being late, and the process sees both at once: each
/// client has one answer, and stands at one endpoint at the most.
#[test]
fn an_answer_that_crosses_the_end_of_its_attempt_leaves_nothing_behind() {
    let answer = Gate::default();
    let answers = answer.clone();
    let echoes = |name: &'static str, late: Option<Gate>| {
        Endpoint::start(move |stream, log| {
            let mut reader = BufReader::new(&stream);
            let mut line = String::new();
            let _ = reader.read_line(&mut line);
            note(log, line.trim_end());
            late.iter().for_each(Gate::pass);
            let _ = (&stream).write_all(format!("UP {name}\r\n").as_bytes());
            note(log, "answered");
            line.clear();
            while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                let _ = (&stream).write_all(format!("{name} {line}").as_bytes());
                line.clear();
            }
            note(log, "end");
        })
    };
    let (first, second) = (echoes("1", Some(answers)), echoes("2", None));
    let discovery = Discovery::start();
    discovery.set("s-1", &first.address, "Ready", 0);
    discovery.set("s-2", &second.address, "Ready", 0);
    // The wanted time is the usual 500 ms.
    let relay = Relay::start(&discovery);
    let mut clients: Vec<_> = (0..24).map(|_| relay.client()).collect();
    for (group, client) in clients.iter_mut().enumerate() {
        client.send(&line_with(3000, &format!(",g={group}")));
    }
    until("all are at either", || opens(&first.seen()) + opens(&second.seen()) >= 24);
    relay.freeze();
    let out = opens(&first.seen());
    answer.open();
    until("all are answered", || first.seen().iter().filter(|l| *l == "answered").count() >= out);
    thread::sleep(Duration::from_millis(700));
    relay.signal("CONT");
    let mut at = [0, 0];
    for client in &mut clients {
        match client.line().as_str() {
            "UP 1" => at[0] += usize::from(client.send("mine\r\n").line() == "1 mine"),
            "UP 2" => at[1] += usize::from(client.send("mine\r\n").line() == "2 mine"),
            other => assert!(other == "ERR" || other.starts_with("BUSY"), "{other}"),
        }
    }
    let ended = |s: &Endpoint| s.seen().iter().filter(|l| *l == "end").count();
    for (endpoint, here) in [(&first, at[0]), (&second, at[1])] {
        until("all others are let go of", || opens(&endpoint.seen()) - ended(endpoint) == here);
    }
    assert!(out > 2 && at[0] + at[1] > 12, "{out} were out, {at:?} stand");
}

/// An endpoint resets a request long after it has begun: it is tried again only where that may be, and once.
#[test]
fn a_reset_long_after_a_request_has_begun_is_repeated_only_where_it_may_be() {
    let window = "\"semantics\":\"keyed\",\"group\":\"all\",\"windowMs\":500.0";
    for (semantics, answer) in
        [("\"semantics\":\"safe\"", "UP 2"), ("\"semantics\":\"unsafe\"", "ERR"), (window, "ERR")]
    {
        let reset = Gate::default();
        let resets = reset.clone();
        let first = Endpoint::start(move |stream, log| {
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            note(log, line.trim_end());
            resets.pass();
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        });
        let second = Endpoint::lines("UP 2\r\n");
        let discovery = Discovery::start();
        discovery.set("s-1", &first.address, "Ready", 0);
        let relay = with(&discovery, &[PATIENT[0], PATIENT[1], ("\"semantics\":\"safe\"", semantics)]);
        let mut clients: Vec<_> = (0..4).map(|_| relay.client()).collect();
        clients.iter_mut().for_each(|c| {
            c.send(&line_with(8000, ""));
        });
        until("all have begun", || opens(&first.seen()) == 4);
        discovery.set("s-1", &first.address, "Terminating", 0);
        discovery.set("s-2", &second.address, "Ready", 0);
        // Past the window.
        thread::sleep(Duration::from_millis(1000));
        reset.open();
        for client in &mut clients {
            assert_eq!(client.line(), answer, "{semantics}");
        }
        let again = if answer == "ERR" { 0 } else { 4 };
        assert_eq!((opens(&first.seen()), opens(&second.seen())), (4, again), "{semantics}");
    }
}
