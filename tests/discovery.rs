//! Tests of discovery's timing, with real processes: however earlier polls failed, a relay polls again and
//! receives a changed list within 6 s once the service can be reached.

#![allow(clippy::too_many_lines, reason = "one scenario, its steps in order")]

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Within this time of the service's return, each relay must have received a change.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// The same limit after a SIGHUP that names another service.
const NOTIFICATION_LIMIT_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Added to the limits, for the delays of a busy machine.
const SLACK: Duration = Duration::from_millis(1500);
/// Longest simulated outage: a test fails where it lasts longer.
const MAX_OUTAGE: Duration = Duration::from_secs(90);
/// After this many failed polls a pause that doubles has reached its maximum.
const FAILURES_TO_MAX_PAUSE: usize = 6;

/// How a discovery service handles polls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServiceMode {
    Up,
    /// Nothing listens.
    Refuses,
    /// The connection is accepted and reset.
    Resets,
    /// Each poll is answered with 503.
    Unavailable,
    /// Each poll is accepted and never answered, even if the mode changes later.
    Silent,
    /// The connection is closed in the middle of the body.
    Truncates,
    /// The answer begins and never ends: it continues with single blanks.
    Trickles,
    /// The next answer is unusual in this way, and later ones are normal.
    Once(UnusualAnswer),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum UnusualAnswer {
    Indented,
    SecondAnswerAppended,
    LengthTooLarge,
    LengthTooSmall,
    NoLength,
    NotJson,
    Reset,
    Unavailable,
    Truncated,
}

struct State {
    mode: ServiceMode,
    /// When each poll arrived.
    polls: Vec<Instant>,
    /// When the latest unusual answer was begun, and how many polls had arrived by then.
    unusual: Option<(Instant, usize)>,
    /// When each complete answer was written, and its revision.
    complete_answers: Vec<(Instant, u64)>,
}

/// The discovery service that one relay polls. Several services may have the same list.
#[derive(Clone)]
struct Service {
    address: String,
    list: Discovery,
    state: Arc<Mutex<State>>,
}

impl Service {
    fn start(list: &Discovery) -> Service {
        let address = format!("{}:8500", host());
        let state =
            State { mode: ServiceMode::Up, polls: Vec::new(), unusual: None, complete_answers: Vec::new() };
        let service = Service { address, list: list.clone(), state: Arc::new(Mutex::new(state)) };
        let (served, first) = (service.clone(), TcpListener::bind(&service.address).unwrap());
        thread::spawn(move || served.listen(first));
        service
    }

    fn listen(&self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if self.mode() == ServiceMode::Refuses {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(&self.address).ok();
            }
            if let Some(listener) = &listener {
                listener.set_nonblocking(true).unwrap();
                while let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(false).unwrap();
                    let service = self.clone();
                    thread::spawn(move || service.answer(stream));
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn mode(&self) -> ServiceMode {
        self.state.lock().unwrap().mode
    }

    fn set(&self, mode: ServiceMode) {
        self.state.lock().unwrap().mode = mode;
    }

    fn polls(&self) -> usize {
        self.state.lock().unwrap().polls.len()
    }

    /// Records that the unusual answer begins now, and returns to normal answers.
    fn end_unusual_answer(&self) {
        let mut state = self.state.lock().unwrap();
        (state.mode, state.unusual) = (ServiceMode::Up, Some((Instant::now(), state.polls.len())));
    }

    /// The time from the beginning of the latest unusual answer to the next poll.
    fn next_poll_delay(&self) -> Option<Duration> {
        let state = self.state.lock().unwrap();
        let (unusual, polls) = state.unusual?;
        state.polls.get(polls).map(|poll| *poll - unusual)
    }

    /// When an answer with this revision or a later one was first written.
    fn answered_at(&self, revision: u64) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        state.complete_answers.iter().find(|(_, to)| *to >= revision).map(|(at, _)| *at)
    }

    /// Answers one poll. The request stays unread until the answer, so that closing the socket resets the
    /// connection.
    fn answer(&self, mut stream: TcpStream) {
        let (mut head, mut length) = ([0; 4096], 0);
        while !head[..length].windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.peek(&mut head) {
                Ok(0) | Err(_) => return,
                Ok(n) => length = n,
            }
        }
        let request = String::from_utf8_lossy(&head[..length]).into_owned();
        let number = |name: &str| -> u64 {
            let text = request.split(name).nth(1).unwrap_or("0");
            text.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("0").parse().unwrap_or(0)
        };
        let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=")));
        self.state.lock().unwrap().polls.push(Instant::now());
        let start = Instant::now();
        while self.mode() == ServiceMode::Up && self.list.revision() <= after && start.elapsed() < wait {
            thread::sleep(Duration::from_millis(2));
        }
        let (mode, body, revision) = (self.mode(), self.list.json(after), self.list.revision());
        if matches!(mode, ServiceMode::Once(UnusualAnswer::Reset)) {
            self.end_unusual_answer();
        }
        if matches!(
            mode,
            ServiceMode::Refuses | ServiceMode::Resets | ServiceMode::Once(UnusualAnswer::Reset)
        ) {
            return;
        }
        stream.read_exact(&mut head[..length]).unwrap();
        let whole = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let sized = |n: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {n}\r\n\r\n");
        let unavailable = || "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned();
        let truncated = || sized(body.len()) + &body[..body.len() / 2];
        let text = match mode {
            ServiceMode::Up => whole(&body),
            ServiceMode::Unavailable => unavailable(),
            ServiceMode::Truncates => truncated(),
            ServiceMode::Silent => String::new(),
            ServiceMode::Trickles => sized(1 << 20) + "{",
            ServiceMode::Once(unusual) => {
                self.end_unusual_answer();
                match unusual {
                    UnusualAnswer::Indented => whole(&body.replace(',', ",\n  ").replace('{', "{\n    ")),
                    UnusualAnswer::SecondAnswerAppended => whole(&body) + &whole(&self.list.json(0)),
                    UnusualAnswer::LengthTooLarge => sized(body.len() + 10) + &body,
                    UnusualAnswer::LengthTooSmall => sized(body.len() - 10) + &body,
                    UnusualAnswer::NoLength => format!("HTTP/1.1 200 OK\r\n\r\n{body}"),
                    UnusualAnswer::NotJson => whole("revision: 7"),
                    UnusualAnswer::Unavailable => unavailable(),
                    UnusualAnswer::Truncated => truncated(),
                    UnusualAnswer::Reset => return,
                }
            }
            ServiceMode::Refuses | ServiceMode::Resets => return,
        };
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        match mode {
            ServiceMode::Up
            | ServiceMode::Once(
                UnusualAnswer::Indented | UnusualAnswer::SecondAnswerAppended | UnusualAnswer::NoLength,
            ) => {
                self.state.lock().unwrap().complete_answers.push((Instant::now(), revision));
            }
            ServiceMode::Trickles => {
                while stream.write_all(b" ").is_ok() {
                    thread::sleep(Duration::from_millis(50));
                }
            }
            // Waits until the relay closes the connection, even if the mode has changed meanwhile.
            ServiceMode::Silent => drop(stream.read(&mut head)),
            _ => {}
        }
    }
}

/// Relays, each with a discovery service of its own, and two endpoints.
struct TestCluster {
    list: Discovery,
    endpoints: [Endpoint; 2],
    services: Vec<Service>,
    relays: Vec<Relay>,
}

impl TestCluster {
    /// Starts relays and waits for each one's long poll. Their settings would let pauses grow to 20 s.
    fn start(relays: usize) -> TestCluster {
        Self::start_with(relays, 800)
    }

    /// Like [`Self::start`], with this connect time-out, which is also the shortest first pause.
    fn start_with(relays: usize, connect_ms: u32) -> TestCluster {
        Self::start_as(relays, connect_ms, "on_request")
    }

    /// Like [`Self::start_with`], with this value of the `discovery` setting.
    fn start_as(relays: usize, connect_ms: u32, discovery: &str) -> TestCluster {
        let list = Discovery::start();
        let endpoints = ["UP 1\r\n", "UP 2\r\n"].map(Endpoint::lines);
        for (i, endpoint) in endpoints.iter().enumerate() {
            list.set(&format!("s-{i}"), &endpoint.address, "Ready", 0);
        }
        let services: Vec<_> = (0..relays).map(|_| Service::start(&list)).collect();
        let hosts: Vec<_> = (0..relays).map(|_| host()).collect();
        let start = |local_index: usize| {
            let settings = settings(relays, local_index, connect_ms).replace("on_request", discovery);
            let relay = Relay::start_more(&list, 1024, &hosts, local_index, &settings);
            relay.configure(&relay.configuration().replace(&list.address, &services[local_index].address));
            relay
        };
        let relays = (0..relays).map(start).collect();
        let test_cluster = TestCluster { list, endpoints, services, relays };
        for service in &test_cluster.services {
            until("the long poll is open", || service.answered_at(2).is_some() && service.polls() > 1);
        }
        test_cluster
    }

    /// Lists the first endpoint as draining; returns the list's new revision.
    fn drain(&self) -> u64 {
        self.list.set("s-0", &self.endpoints[0].address, "Terminating", 0);
        self.list.revision()
    }

    /// Checks that each relay received the list in time and sends nothing to the draining endpoint.
    fn assert_notified(&self, returned_at: Instant, revision: u64, within: Duration) {
        for (service, relay) in self.services.iter().zip(&self.relays) {
            until("the relay receives the list", || service.answered_at(revision).is_some());
            let after = service.answered_at(revision).unwrap().saturating_duration_since(returned_at);
            assert!(after < within + SLACK, "notified {after:?} after discovery was back: {}", relay.log());
        }
        thread::sleep(Duration::from_secs(1));
        let sent = || self.endpoints[0].seen().iter().filter(|line| line.starts_with("OPEN")).count();
        let before = sent();
        for relay in &self.relays {
            for _ in 0..5 {
                assert!(relay.client().open("").line().starts_with("UP"));
            }
            assert!(!relay.has_ended());
        }
        assert_eq!(sent(), before, "a request was sent to the draining endpoint");
    }
}

fn settings(relays: usize, local_index: usize, connect_ms: u32) -> String {
    let relays = relays.max(2);
    format!(
        r#"
[settings]
discovery = "on_request"
nInstances = {relays}
me = {local_index}
resolutionMs = 2.0
realms = [{{ name = "acme" }}]
lanes = [{{ name = "subtitle-stream", semantics = "safe", aimMs = 500.0, hardLimitMs = 3000.0, worth = 1.0 }}]
limits = {{ maxAttempts = 5, connectTimeoutMs = {connect_ms}.0, peerMessages = true }}
rules = {{ askEveryMs = 40000.0, coldFrom = 0.31, warmWithinMs = 8600.0, tipMultiple = 3.0 }}
domain = {{ mode = "pass", groups = true, messageAimMs = [150.0] }}
"#
    )
}

/// Lets the service fail in one way until each relay's pause would have grown to its maximum. The service
/// then returns with a change, right after a failed poll or during a poll that will fail.
fn check_recovery(mode: ServiceMode, relays: usize) {
    let test_cluster = TestCluster::start(relays);
    let failures = |relay: &Relay| relay.log().matches("discovery at ").count();
    let before: Vec<_> = test_cluster.relays.iter().map(failures).collect();
    test_cluster.services.iter().for_each(|service| service.set(mode));
    let start = Instant::now();
    let failed = |i: usize| failures(&test_cluster.relays[i]) - before[i];
    while (0..relays).any(|i| failed(i) < FAILURES_TO_MAX_PAUSE) {
        assert!(start.elapsed() < MAX_OUTAGE, "{mode:?}: {:?}", (0..relays).map(failed).collect::<Vec<_>>());
        thread::sleep(Duration::from_millis(2));
    }
    if matches!(mode, ServiceMode::Silent | ServiceMode::Trickles) {
        let (last, polls) = (&test_cluster.services[relays - 1], test_cluster.services[relays - 1].polls());
        while last.polls() == polls {
            assert!(start.elapsed() < MAX_OUTAGE, "{mode:?}: no further poll");
            thread::sleep(Duration::from_millis(2));
        }
    }
    let revision = test_cluster.drain();
    let returned_at = Instant::now();
    test_cluster.services.iter().for_each(|service| service.set(ServiceMode::Up));
    test_cluster.assert_notified(returned_at, revision, NOTIFICATION_LIMIT);
}

#[test]
fn a_lone_relay_is_notified_in_time_after_a_service_that_refused() {
    check_recovery(ServiceMode::Refuses, 1);
}

#[test]
fn four_relays_are_notified_in_time_after_a_service_that_refused() {
    check_recovery(ServiceMode::Refuses, 4);
}

#[test]
fn relays_are_notified_in_time_after_a_service_that_reset_each_poll() {
    check_recovery(ServiceMode::Resets, 1);
    check_recovery(ServiceMode::Resets, 4);
}

#[test]
fn relays_are_notified_in_time_after_a_service_that_answered_503() {
    check_recovery(ServiceMode::Unavailable, 1);
    check_recovery(ServiceMode::Unavailable, 4);
}

#[test]
fn a_lone_relay_is_notified_in_time_after_a_service_that_did_not_answer() {
    check_recovery(ServiceMode::Silent, 1);
}

#[test]
fn four_relays_are_notified_in_time_after_a_service_that_did_not_answer() {
    check_recovery(ServiceMode::Silent, 4);
}

#[test]
fn relays_are_notified_in_time_after_a_service_that_truncated_its_answers() {
    check_recovery(ServiceMode::Truncates, 1);
    check_recovery(ServiceMode::Truncates, 4);
}

#[test]
fn a_lone_relay_is_notified_in_time_after_a_service_whose_answers_never_ended() {
    check_recovery(ServiceMode::Trickles, 1);
}

#[test]
fn four_relays_are_notified_in_time_after_a_service_whose_answers_never_ended() {
    check_recovery(ServiceMode::Trickles, 4);
}

/// A single long poll that breaks is no sign of a failed service: the relay polls again at once, not after a
/// pause, which would be at least a second with these settings.
#[test]
fn a_long_poll_that_breaks_once_is_repeated_without_a_pause() {
    let test_cluster = TestCluster::start_with(1, 2000);
    let service = &test_cluster.services[0];
    for unusual in [UnusualAnswer::Reset, UnusualAnswer::Unavailable, UnusualAnswer::Truncated] {
        // The relay does pause after the second of two long polls that break within seconds.
        thread::sleep(Duration::from_millis(3500));
        service.set(ServiceMode::Once(unusual));
        until("the long poll is broken", || service.mode() == ServiceMode::Up);
        // The service records the times, as the relay may have polled again before this thread checks.
        until("the relay polls again", || service.next_poll_delay().is_some());
        let after = service.next_poll_delay().unwrap();
        assert!(after < Duration::from_millis(900), "{unusual:?}: after {after:?}");
    }
    let revision = test_cluster.drain();
    test_cluster.assert_notified(Instant::now(), revision, NOTIFICATION_LIMIT);
}

#[test]
fn an_unusual_answer_is_applied_or_rejected_as_a_whole_and_the_next_poll_works() {
    let all = [
        UnusualAnswer::Indented,
        UnusualAnswer::SecondAnswerAppended,
        UnusualAnswer::LengthTooLarge,
        UnusualAnswer::LengthTooSmall,
        UnusualAnswer::NoLength,
        UnusualAnswer::NotJson,
    ];
    let test_cluster = TestCluster::start(1);
    for (n, unusual) in all.into_iter().enumerate() {
        test_cluster.services[0].set(ServiceMode::Once(unusual));
        test_cluster.list.set("s-1", &test_cluster.endpoints[1].address, "Ready", n as u64);
        let revision = test_cluster.list.revision();
        let start = Instant::now();
        until("the relay receives the list", || test_cluster.services[0].answered_at(revision).is_some());
        let after = test_cluster.services[0].answered_at(revision).unwrap() - start;
        assert!(after < NOTIFICATION_LIMIT + SLACK, "{unusual:?}: after {after:?}");
        assert!(test_cluster.relays[0].client().open("").line().starts_with("UP"), "{unusual:?}");
    }
    let revision = test_cluster.drain();
    test_cluster.assert_notified(Instant::now(), revision, NOTIFICATION_LIMIT);
}

/// Checks that the relay polls the service that a reload names, whatever the previous service does with the
/// open poll.
fn check_relocation(before: ServiceMode, twice: bool) {
    let test_cluster = TestCluster::start(1);
    let (old, relay) = (&test_cluster.services[0], &test_cluster.relays[0]);
    let polls = old.polls();
    if before != ServiceMode::Up {
        old.set(before);
        until("a poll is open", || old.polls() > polls);
    }
    let mut at = old.address.clone();
    let others: Vec<_> = (0..if twice { 3 } else { 1 }).map(|_| Service::start(&test_cluster.list)).collect();
    let revision = test_cluster.drain();
    let start = Instant::now();
    for next in &others {
        let text = relay.configuration().replace(&at, &next.address);
        at = next.address.clone();
        relay.configure(&text);
    }
    let last = others.last().unwrap();
    until("the last service answers a poll", || last.answered_at(revision).is_some());
    let after = last.answered_at(revision).unwrap() - start;
    assert!(after < NOTIFICATION_LIMIT_AFTER_RELOAD + SLACK, "{before:?}: after {after:?}");
    let polls = last.polls();
    until("the relay keeps polling the last service", || last.polls() > polls + 1);
}

#[test]
fn a_service_that_moves_is_polled_at_its_new_address_while_a_poll_is_open_at_the_old_one() {
    for before in [ServiceMode::Up, ServiceMode::Silent, ServiceMode::Trickles, ServiceMode::Resets] {
        check_relocation(before, false);
    }
}

#[test]
fn a_service_that_moves_again_at_once_is_polled_at_its_last_address() {
    for before in [ServiceMode::Up, ServiceMode::Silent] {
        check_relocation(before, true);
    }
}

#[test]
fn a_service_that_moves_right_as_it_answers_is_polled_at_its_new_address() {
    let list = Discovery::start();
    let endpoint = Endpoint::lines("UP 1\r\n");
    list.set("s-0", &endpoint.address, "Ready", 0);
    let services = [Service::start(&list), Service::start(&list)];
    let relay = Relay::start_more(&list, 1024, &[host()], 0, &settings(1, 0, 400));
    relay.configure(&relay.configuration().replace(&list.address, &services[1].address));
    for n in 0..8_usize {
        let (next, before) = (&services[n % 2], &services[(n + 1) % 2]);
        until("the previous service has answered", || before.answered_at(list.revision()).is_some());
        let polls = next.polls();
        let text = relay.configuration().replace(&before.address, &next.address);
        // The change ends the long poll just before the signal, or just after it.
        let change = || list.set("s-0", &endpoint.address, "Ready", n as u64);
        if n % 4 < 2 {
            change();
        }
        let start = Instant::now();
        relay.configure(&text);
        if n % 4 >= 2 {
            change();
        }
        until("the poll succeeds", || next.polls() > polls && next.answered_at(list.revision()).is_some());
        let after = next.answered_at(list.revision()).unwrap().saturating_duration_since(start);
        assert!(after < NOTIFICATION_LIMIT_AFTER_RELOAD + SLACK, "move {n}: after {after:?}");
    }
}

/// After the second of two long polls that break within seconds the load balancer pauses, and the list must
/// still arrive in time.
#[test]
fn relays_are_notified_in_time_where_two_long_polls_in_a_row_break() {
    for (unusual, relays) in
        [(UnusualAnswer::Reset, 1), (UnusualAnswer::Unavailable, 4), (UnusualAnswer::Truncated, 4)]
    {
        let test_cluster = TestCluster::start_with(relays, 2000);
        let broken = || {
            test_cluster.services.iter().for_each(|service| service.set(ServiceMode::Once(unusual)));
            for service in &test_cluster.services {
                until("the long poll is broken", || service.mode() == ServiceMode::Up);
            }
        };
        let polls: Vec<_> = test_cluster.services.iter().map(Service::polls).collect();
        broken();
        for (service, before) in test_cluster.services.iter().zip(polls) {
            until("the relay polls again and its long poll is open", || service.polls() >= before + 2);
        }
        broken();
        let revision = test_cluster.drain();
        test_cluster.assert_notified(Instant::now(), revision, NOTIFICATION_LIMIT);
    }
}

/// With pushed lists, the local agent accepts polls and leaves them unanswered for a while: the relay
/// receives a change in time once the agent answers again.
#[test]
fn a_relay_is_notified_in_time_by_an_agent_that_did_not_answer_for_a_while() {
    let test_cluster = TestCluster::start_as(1, 800, "pushed");
    let (service, relay) = (&test_cluster.services[0], &test_cluster.relays[0]);
    service.set(ServiceMode::Silent);
    until("several polls have failed", || relay.log().matches("no answer in time").count() > 1);
    let polls = service.polls();
    until("a poll is open", || service.polls() > polls);
    let revision = test_cluster.drain();
    let returned_at = Instant::now();
    service.set(ServiceMode::Up);
    test_cluster.assert_notified(returned_at, revision, NOTIFICATION_LIMIT);
    println!("notified {:?} after the return", service.answered_at(revision).unwrap() - returned_at);
}

/// Guards against a relay that starts with the list of its last run and sends requests to endpoints that left
/// meanwhile.
#[test]
fn a_relay_that_starts_sends_to_no_endpoint_that_left_while_it_was_down() {
    let endpoints = ["UP 1\r\n", "UP 2\r\n"].map(Endpoint::lines);
    let [known, current] = [Discovery::start(), Discovery::start()];
    for list in [&known, &current] {
        for (i, endpoint) in endpoints.iter().enumerate() {
            list.set(&format!("s-{i}"), &endpoint.address, "Ready", 0);
        }
    }
    current.set("s-0", &endpoints[0].address, "Terminating", 0);
    let service = Service::start(&current);
    // The relay is one of many that poll in turn, and peers do not report which endpoints have left.
    let settings = settings(200, 7, 200).replace("peerMessages = true", "peerMessages = false");
    let relay = Relay::start_unready(&known.asked_at(&service.address), 1024, &[host()], 0, &settings);
    let mut clients: Vec<Client> = (0..20).map(|_| relay.client()).collect();
    for client in &mut clients {
        client.open(&format!(",g={:x}", unix_ms()));
    }
    let is_ready = || relay.client().send("PING\r\n").line() == "PONG";
    until("the relay has the list and is ready", || service.answered_at(3).is_some() && is_ready());
    for mut client in clients {
        let answer = client.line();
        assert!(answer == "UP 2" || answer.starts_with("BUSY"), "{answer}: {}", relay.log());
    }
    assert_eq!(relay.client().open("").line(), "UP 2");
    assert!(endpoints[0].seen().iter().all(|line| !line.starts_with("OPEN")), "{:?}", endpoints[0].seen());
}

/// How long discovery is down: longer than a list stays valid, and long enough for pauses between polls to
/// grow.
const LONG_OUTAGE: Duration = Duration::from_secs(20);

/// Guards against a relay that stops serving while discovery is down: in a large cluster its polls are further
/// apart than a list stays valid.
#[test]
fn a_relay_of_a_large_cluster_serves_on_while_discovery_is_down() {
    let list = Discovery::start();
    let endpoint = Endpoint::lines("UP 1\r\n");
    list.set("s-0", &endpoint.address, "Ready", 0);
    let service = Service::start(&list);
    let settings = settings(200, 7, 200).replace("peerMessages = true", "peerMessages = false");
    let relay = Relay::start_more(&list.asked_at(&service.address), 1024, &[host()], 0, &settings);
    until("the long poll is open", || service.answered_at(1).is_some() && service.polls() > 1);
    service.set(ServiceMode::Refuses);
    let down_since = Instant::now();
    while down_since.elapsed() < LONG_OUTAGE {
        let answer = relay.client().open("").line();
        assert!(answer.starts_with("UP"), "{:?}: {answer}: {}", down_since.elapsed(), relay.log());
        thread::sleep(Duration::from_millis(50));
    }
}
