//! Races while an attempt is made: the client disconnects, the deduplication scope expires, or the endpoint
//! list changes. A race is forced by stopping the relay until both events have arrived, or by a stub that
//! waits for the other event.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use socket2::{Domain, Socket, Type};

/// A signal that a stub waits for before it continues.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    fn pass(&self) {
        let result = self.0.1.wait_timeout_while(self.0.0.lock().unwrap(), LONG, |open| !*open).unwrap();
        assert!(!result.1.timed_out(), "the test never opened the gate");
    }
}

/// An endpoint that does not accept connections until `accepts` is opened: its accept queue is full, so that
/// the operating system drops each SYN, which the client repeats after a second.
struct DelayedEndpoint {
    address: String,
    log: Log,
    accepts: Gate,
    /// Connections that fill the accept queue.
    _queued: Vec<Socket>,
}

impl DelayedEndpoint {
    fn start(answer: &'static str) -> DelayedEndpoint {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let address: SocketAddr = format!("{}:8443", host()).parse().unwrap();
        listener.bind(&address.into()).unwrap();
        listener.listen(0).unwrap();
        // An accept queue with a backlog of 0 holds one connection; the second one remains in the SYN-SENT
        // state.
        let queued = (0..2).map(|_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&address.into());
            socket
        });
        let queued = queued.collect();
        let (log, accepts) = (Log::default(), Gate::default());
        let (shared_log, accept_gate) = (log.clone(), accepts.clone());
        thread::spawn(move || {
            accept_gate.pass();
            loop {
                let stream: TcpStream = listener.accept().unwrap().0.into();
                let shared_log = shared_log.clone();
                thread::spawn(move || {
                    let mut line = String::new();
                    let read = BufReader::new(&stream).read_line(&mut line);
                    if read.is_ok_and(|n| n > 0) {
                        note(&shared_log, line.trim_end());
                        let _ = (&stream).write_all(answer.as_bytes());
                        let _ = (&stream).read(&mut [0]);
                    }
                });
            }
        });
        DelayedEndpoint { address: address.to_string(), log, accepts, _queued: queued }
    }

    fn open_lines(&self) -> Vec<String> {
        self.log.lock().unwrap().iter().map(|(_, text)| text.clone()).collect()
    }
}

/// The number of connections to an address that are in the SYN-SENT state, by the kernel's table.
fn connecting_to(address: &str) -> usize {
    let at: SocketAddr = address.parse().unwrap();
    let SocketAddr::V4(at) = at else { unreachable!() };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    fields.filter(|f| f.get(2) == Some(&&*remote) && f.get(3) == Some(&"02")).count()
}

/// The number of connections to an address that are in the ESTABLISHED state, by the kernel's table.
fn established_to(address: &str) -> usize {
    let at: SocketAddr = address.parse().unwrap();
    let SocketAddr::V4(at) = at else { unreachable!() };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    fields.filter(|f| f.get(2) == Some(&&*remote) && f.get(3) == Some(&"01")).count()
}

/// Closes a client's connection at once. A drop closes it only once no other process holds the descriptor,
/// and a process that another test starts at this moment inherits it for a short time.
fn disconnect(client: Client) {
    client.0.get_ref().shutdown(Shutdown::Both).unwrap();
}

fn count_opens(seen: &[String]) -> usize {
    seen.iter().filter(|line| line.starts_with("OPEN")).count()
}

/// Settings whose time-outs are long enough for an attempt to last until the race is forced.
const LONG_TIMEOUTS: [(&str, &str); 2] = [
    ("\"connectTimeoutMs\":200.0", "\"connectTimeoutMs\":15000.0"),
    ("\"aimMs\":500.0", "\"aimMs\":15000.0"),
];

/// Starts a relay whose configuration has each first text of `replacements` replaced by the second.
fn start_with_settings(discovery: &Discovery, replacements: &[(&str, &str)]) -> Relay {
    let relay = Relay::start(discovery);
    let configuration = replacements.iter().fold(relay.configuration(), |text, (old, new)| {
        assert!(text.contains(old), "{old}");
        text.replace(old, new)
    });
    relay.configure(&configuration);
    relay
}

/// Guards against an attempt for a client that has disconnected: its line and its end both arrive before the
/// relay reads either.
#[test]
fn no_attempt_for_a_client_that_disconnected_before_it_was_read() {
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
                _ => disconnect(client),
            }
        }
        relay.signal("CONT");
        // A later client is served, so the relay has read all the earlier ones.
        assert_eq!(relay.client().open(",g=after").line(), "UP 1");
    }
    let seen = endpoint.seen();
    let attempts = seen.iter().filter(|line| line.starts_with("OPEN") && !line.contains("g=after")).count();
    assert_eq!(attempts, 0, "attempts for clients that had disconnected: {seen:?}");
}

/// A connect to an endpoint completes late, together with the client's end. The relay used to handle them in
/// random order, and could send the line of a client that had disconnected.
#[test]
fn no_attempt_begins_if_its_client_disconnects_as_the_connect_completes() {
    let delayed = DelayedEndpoint::start("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &delayed.address, "Ready", 0);
    let relay = start_with_settings(&discovery, &LONG_TIMEOUTS);
    let mut clients: Vec<_> = (0..64).map(|_| relay.client()).collect();
    clients.iter_mut().for_each(|c| {
        c.send(&open_line(19_000, ""));
    });
    until("all attempts are connecting", || connecting_to(&delayed.address) >= 65);
    relay.signal("STOP");
    delayed.accepts.open();
    until("all attempts are connected", || established_to(&delayed.address) >= 65);
    clients.into_iter().for_each(disconnect);
    relay.signal("CONT");
    // The relay closes its connections. The endpoint reads what was written to them before that.
    until("the relay has closed its connections", || established_to(&delayed.address) <= 2);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(delayed.open_lines(), Vec::<String>::new());
}

fn open_line(deadline: u32, extra_keys: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("OPEN 5c0f{id:08x} 7f3a9c21e0b4d655 c=subtitle-stream,t=acme,d={deadline}{extra_keys}\r\n")
}

/// Guards against a retry that begins outside its deduplication scope: the relay used to check the scope only
/// when it decided on the retry, and the connect could complete later. The retry is abandoned when the scope
/// expires, and the client is answered at once.
#[test]
fn a_retry_whose_deduplication_scope_expires_during_the_connect_does_not_begin() {
    const SCOPE_DURATION: Duration = Duration::from_millis(3400);
    let reset_gate = Gate::default();
    let stub_gate = reset_gate.clone();
    let first = Endpoint::start(move |stream, log| {
        let mut line = String::new();
        let _ = BufReader::new(&stream).read_line(&mut line);
        note(log, line.trim_end());
        stub_gate.pass();
    });
    let delayed = DelayedEndpoint::start("UP 2\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &first.address, "Ready", 0);
    // A retry begins a quarter to three quarters of the latency objective after its attempt has ended, and
    // may take the whole latency objective.
    let settings = [
        ("\"connectTimeoutMs\":200.0", "\"connectTimeoutMs\":15000.0"),
        ("\"semantics\":\"safe\"", "\"semantics\":\"keyed\",\"group\":\"all\",\"windowMs\":3400.0"),
        ("\"aimMs\":500.0", "\"aimMs\":4000.0"),
    ];
    let relay = start_with_settings(&discovery, &settings);
    let mut clients: Vec<_> = (0..8).map(|_| relay.client()).collect();
    clients.iter_mut().for_each(|c| {
        c.send(&open_line(18_000, ""));
    });
    until("all attempts have begun", || count_opens(&first.seen()) == 8);
    let begun_at = Instant::now();
    discovery.set("s-1", &first.address, "Terminating", 0);
    discovery.set("s-2", &delayed.address, "Ready", 0);
    reset_gate.open();
    let answers =
        clients.into_iter().map(|mut client| thread::spawn(move || (client.line(), Instant::now())));
    let answers: Vec<_> = answers.collect();
    // By now every deduplication scope has expired. The operating system still repeats the SYN of each
    // pending connect once more.
    thread::sleep((SCOPE_DURATION + Duration::from_millis(100)).saturating_sub(begun_at.elapsed()));
    delayed.accepts.open();
    let answers = answers.into_iter().map(|a| a.join().unwrap());
    let answers: Vec<_> = answers.map(|(answer, at)| (answer, at - begun_at)).collect();
    assert_eq!(
        delayed.open_lines(),
        Vec::<String>::new(),
        "begun outside of the deduplication scope: {answers:?}"
    );
    let answered_in_time =
        |(answer, took): &(String, Duration)| answer == "ERR" && *took < 2 * SCOPE_DURATION;
    assert!(answers.iter().all(answered_in_time), "{answers:?}");
}

/// The endpoint list changes during a connect: no attempt begins at an endpoint that is draining or removed,
/// or that now has another address.
#[test]
fn no_attempt_begins_at_an_endpoint_whose_entry_changed_during_the_connect() {
    for change in ["Terminating", "Gone", "moves"] {
        let delayed = DelayedEndpoint::start("UP 1\r\n");
        let other = Endpoint::lines("UP 2\r\n");
        let discovery = Discovery::start();
        discovery.set("s-1", &delayed.address, "Ready", 0);
        let relay = start_with_settings(&discovery, &LONG_TIMEOUTS);
        let mut clients: Vec<_> = (0..4).map(|_| relay.client()).collect();
        clients.iter_mut().for_each(|c| {
            c.send(&open_line(12_000, ""));
        });
        until("all attempts are connecting", || connecting_to(&delayed.address) >= 5);
        match change {
            "moves" => discovery.set("s-1", &other.address, "Ready", 0),
            phase => discovery.set("s-1", &delayed.address, phase, 0),
        };
        discovery.set("s-2", &other.address, "Ready", 0);
        // Once the new endpoint serves a client, the relay has applied the list.
        until("the relay has applied the list", || relay.client().open("").line() == "UP 2");
        delayed.accepts.open();
        let answers: Vec<_> = clients.iter_mut().map(|c| c.line()).collect();
        assert!(answers.iter().all(|a| a == "UP 2"), "{change}: {answers:?}");
        assert_eq!(delayed.open_lines(), Vec::<String>::new(), "{change}");
    }
}

/// A first attempt and its client end at the same time: the relay makes no further attempt, for one such
/// client or for many.
#[test]
fn no_retry_for_clients_that_disconnect_as_their_first_attempt_ends() {
    let answer_gate = Gate::default();
    let stub_gate = answer_gate.clone();
    let first = Endpoint::start(move |stream, log| {
        let mut line = String::new();
        let _ = BufReader::new(&stream).read_line(&mut line);
        note(log, line.trim_end());
        stub_gate.pass();
        let _ = (&stream).write_all(b"BUSY\r\n");
        drop(stream);
        note(log, "answered");
    });
    let second = Endpoint::lines("UP 2\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &first.address, "Ready", 0);
    discovery.set("s-2", &second.address, "Ready", 0);
    let relay = start_with_settings(&discovery, &LONG_TIMEOUTS);
    let mut clients: Vec<_> = (0..40).map(|_| relay.client()).collect();
    for (group, client) in clients.iter_mut().enumerate() {
        client.send(&open_line(19_000, &format!(",g={group}")));
    }
    until("all attempts have begun", || count_opens(&first.seen()) + count_opens(&second.seen()) == 40);
    let (at_first, at_second) = (count_opens(&first.seen()), count_opens(&second.seen()));
    assert!(at_first > 5, "groups are not spread over both endpoints");
    relay.signal("STOP");
    answer_gate.open();
    until("the answers are sent", || first.seen().iter().filter(|l| *l == "answered").count() == at_first);
    clients.into_iter().for_each(disconnect);
    relay.signal("CONT");
    until("a later client is served", || relay.client().open(",g=after").line() == "UP 2");
    thread::sleep(Duration::from_millis(300));
    let seen = second.seen();
    let retries = count_opens(&seen[at_second..]) - seen.iter().filter(|l| l.contains("g=after")).count();
    assert_eq!(retries, 0, "{seen:?}");
}

/// If a client closes its connection or its sending side while it waits, or sends more than its line, the
/// relay answers it at once and abandons the attempt, so that the endpoint sees the connection end.
#[test]
fn an_attempt_is_abandoned_as_soon_as_its_client_disconnects() {
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
    let relay = start_with_settings(&discovery, &LONG_TIMEOUTS);
    for (n, way) in ["half", "whole", "reset", "speaks"].into_iter().enumerate() {
        let mut client = relay.client();
        client.send(&open_line(19_000, ""));
        until("the attempt has reached the endpoint", || count_opens(&endpoint.seen()) == n + 1);
        let disconnected_at = Instant::now();
        match way {
            "half" => client.0.get_ref().shutdown(Shutdown::Write).unwrap(),
            "whole" => drop(client),
            "reset" => {
                let socket = Socket::from(client.0.into_inner());
                socket.set_linger(Some(Duration::ZERO)).unwrap();
            }
            _ => assert_eq!(client.send("more\r\n").line(), "ERR"),
        }
        until("the attempt is abandoned", || endpoint.seen().iter().filter(|l| *l == "end").count() == n + 1);
        assert!(disconnected_at.elapsed() < LONG / 4, "{way}: {:?}", disconnected_at.elapsed());
    }
    assert_eq!(count_opens(&endpoint.seen()), 4, "{:?}", endpoint.seen());
}

/// An endpoint answers twice, some milliseconds apart, while other attempts are made: no client gets the
/// second answer, whether it arrives together with the first, on its own, or as the continuation of a partial
/// answer.
#[test]
fn a_second_answer_reaches_no_client() {
    for first_answer in ["BUSY\r\n", "ERR\r\n", "MOVE\r\n", "BYE\r\n", "UP", "BUSY 20\r\nUP 8\r\n"] {
        let answers_twice = Endpoint::start(move |stream, log| {
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            note(log, line.trim_end());
            let _ = (&stream).write_all(first_answer.as_bytes());
            thread::sleep(Duration::from_millis(15));
            let _ = (&stream).write_all(b"\r\nUP 9\r\n");
            let _ = (&stream).read(&mut [0]);
        });
        let other = Endpoint::lines("UP 1\r\n");
        let discovery = Discovery::start();
        discovery.set("s-1", &answers_twice.address, "Ready", 0);
        discovery.set("s-2", &other.address, "Ready", 0);
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
                    "{first_answer:?}: {answer}"
                );
                if answer == "UP 1" {
                    assert_eq!(client.send("mine\r\n").line(), "mine", "{first_answer:?}");
                    served += 1;
                }
            }
        }
        assert!(
            served > 6 && count_opens(&answers_twice.seen()) > 0,
            "{first_answer:?}: {served} served, {} tried",
            count_opens(&answers_twice.seen())
        );
    }
}

/// Answers arrive just as their attempts time out, and the relay sees both at once: each client gets one
/// answer, and is established at one endpoint at the most.
#[test]
fn an_answer_that_arrives_at_the_attempt_timeout_leaves_no_connection_behind() {
    let answer_gate = Gate::default();
    let stub_gate = answer_gate.clone();
    let echo_endpoint = |name: &'static str, gate: Option<Gate>| {
        Endpoint::start(move |stream, log| {
            let mut reader = BufReader::new(&stream);
            let mut line = String::new();
            let _ = reader.read_line(&mut line);
            note(log, line.trim_end());
            gate.iter().for_each(Gate::pass);
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
    let (first, second) = (echo_endpoint("1", Some(stub_gate)), echo_endpoint("2", None));
    let discovery = Discovery::start();
    discovery.set("s-1", &first.address, "Ready", 0);
    discovery.set("s-2", &second.address, "Ready", 0);
    // The latency objective is the default of 500 ms.
    let relay = Relay::start(&discovery);
    let mut clients: Vec<_> = (0..24).map(|_| relay.client()).collect();
    for (group, client) in clients.iter_mut().enumerate() {
        client.send(&open_line(3000, &format!(",g={group}")));
    }
    until("all attempts have begun", || count_opens(&first.seen()) + count_opens(&second.seen()) >= 24);
    relay.freeze();
    let at_first = count_opens(&first.seen());
    answer_gate.open();
    until("the answers are sent", || first.seen().iter().filter(|l| *l == "answered").count() >= at_first);
    thread::sleep(Duration::from_millis(700));
    relay.signal("CONT");
    let mut established = [0, 0];
    for client in &mut clients {
        match client.line().as_str() {
            "UP 1" => established[0] += usize::from(client.send("mine\r\n").line() == "1 mine"),
            "UP 2" => established[1] += usize::from(client.send("mine\r\n").line() == "2 mine"),
            other => assert!(other == "ERR" || other.starts_with("BUSY"), "{other}"),
        }
    }
    let ended = |endpoint: &Endpoint| endpoint.seen().iter().filter(|l| *l == "end").count();
    for (endpoint, expected) in [(&first, established[0]), (&second, established[1])] {
        until("all other connections end", || count_opens(&endpoint.seen()) - ended(endpoint) == expected);
    }
    assert!(
        at_first > 2 && established[0] + established[1] > 12,
        "{at_first} attempts at the first endpoint, {established:?} established"
    );
}

/// An endpoint resets a request long after it has begun: the relay retries it only if its class permits that,
/// and only once.
#[test]
fn a_reset_long_after_a_request_began_is_retried_only_if_its_class_permits() {
    let short_scope = "\"semantics\":\"keyed\",\"group\":\"all\",\"windowMs\":500.0";
    for (semantics, answer) in
        [("\"semantics\":\"safe\"", "UP 2"), ("\"semantics\":\"unsafe\"", "ERR"), (short_scope, "ERR")]
    {
        let reset_gate = Gate::default();
        let stub_gate = reset_gate.clone();
        let first = Endpoint::start(move |stream, log| {
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            note(log, line.trim_end());
            stub_gate.pass();
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        });
        let second = Endpoint::lines("UP 2\r\n");
        let discovery = Discovery::start();
        discovery.set("s-1", &first.address, "Ready", 0);
        let relay = start_with_settings(
            &discovery,
            &[LONG_TIMEOUTS[0], LONG_TIMEOUTS[1], ("\"semantics\":\"safe\"", semantics)],
        );
        let mut clients: Vec<_> = (0..4).map(|_| relay.client()).collect();
        clients.iter_mut().for_each(|c| {
            c.send(&open_line(8000, ""));
        });
        until("all attempts have begun", || count_opens(&first.seen()) == 4);
        discovery.set("s-1", &first.address, "Terminating", 0);
        discovery.set("s-2", &second.address, "Ready", 0);
        // The deduplication scope expires.
        thread::sleep(Duration::from_millis(1000));
        reset_gate.open();
        for client in &mut clients {
            assert_eq!(client.line(), answer, "{semantics}");
        }
        let retries = if answer == "ERR" { 0 } else { 4 };
        assert_eq!((count_opens(&first.seen()), count_opens(&second.seen())), (4, retries), "{semantics}");
    }
}
