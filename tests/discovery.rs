//! Discovery's clock, with real processes: whatever a call ran into before, the relay has asked again and
//! was answered 6 s after the service had a change and could be reached.

#![allow(clippy::too_many_lines, reason = "one scenario, told in order")]

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// From then on a change counts as told.
const TOLD: Duration = Duration::from_secs(6);
/// After SIGHUP it is less.
const TOLD_MOVED: Duration = Duration::from_secs(4);
/// What a busy machine may be late by.
const SLACK: Duration = Duration::from_millis(1500);
/// Only a failing test waits so long.
const OUTAGE: Duration = Duration::from_secs(90);
/// After so many failed calls a pause that doubles has reached its most.
const FAILURES: usize = 6;

/// What a service does with calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Up,
    /// Nothing listens.
    Refuses,
    /// The connection is accepted and reset.
    Resets,
    /// Each call is answered with 503.
    Unavailable,
    /// Each call is accepted and never answered, then or later.
    Silent,
    /// The answer ends in its body.
    Cuts,
    /// The answer has begun and goes on for ever, a blank at a time.
    Trickles,
    /// The next answer is written in this way, those after it well.
    Odd(Odd),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Odd {
    Indented,
    SecondBehind,
    LengthTooLarge,
    LengthTooSmall,
    NoLength,
    NoJson,
    Reset,
    Unavailable,
    Cut,
}

struct State {
    mode: Mode,
    /// When each call came.
    calls: Vec<Instant>,
    /// When the latest odd answer was begun, and how many calls had come by then.
    odd: Option<(Instant, usize)>,
    /// When an answer was written whole, and up to which revision.
    told: Vec<(Instant, u64)>,
}

/// One relay's way to a list that it may share with others.
#[derive(Clone)]
struct Service {
    address: String,
    list: Discovery,
    state: Arc<Mutex<State>>,
}

impl Service {
    fn start(list: &Discovery) -> Service {
        let address = format!("{}:8500", host());
        let state = State { mode: Mode::Up, calls: Vec::new(), odd: None, told: Vec::new() };
        let service = Service { address, list: list.clone(), state: Arc::new(Mutex::new(state)) };
        let (served, first) = (service.clone(), TcpListener::bind(&service.address).unwrap());
        thread::spawn(move || served.listen(first));
        service
    }

    fn listen(&self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if self.mode() == Mode::Refuses {
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

    fn mode(&self) -> Mode {
        self.state.lock().unwrap().mode
    }

    fn set(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    fn calls(&self) -> usize {
        self.state.lock().unwrap().calls.len()
    }

    /// The answer that begins now is the odd one, those after it are well.
    fn well_again(&self) {
        let mut state = self.state.lock().unwrap();
        (state.mode, state.odd) = (Mode::Up, Some((Instant::now(), state.calls.len())));
    }

    /// How long after the latest odd answer was begun the next call came.
    fn anew(&self) -> Option<Duration> {
        let state = self.state.lock().unwrap();
        let (odd, calls) = state.odd?;
        state.calls.get(calls).map(|call| *call - odd)
    }

    /// When an answer with this revision, or a later one, was first written.
    fn told(&self, revision: u64) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        state.told.iter().find(|(_, to)| *to >= revision).map(|(at, _)| *at)
    }

    /// Answers one call. What was asked stays unread until the answer, so that a drop resets the connection.
    fn answer(&self, mut stream: TcpStream) {
        let (mut head, mut length) = ([0; 4096], 0);
        while !head[..length].windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.peek(&mut head) {
                Ok(0) | Err(_) => return,
                Ok(n) => length = n,
            }
        }
        let asked = String::from_utf8_lossy(&head[..length]).into_owned();
        let number = |name: &str| -> u64 {
            let text = asked.split(name).nth(1).unwrap_or("0");
            text.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("0").parse().unwrap_or(0)
        };
        let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=")));
        self.state.lock().unwrap().calls.push(Instant::now());
        let start = Instant::now();
        while self.mode() == Mode::Up && self.list.revision() <= after && start.elapsed() < wait {
            thread::sleep(Duration::from_millis(2));
        }
        let (mode, body, revision) = (self.mode(), self.list.json(after), self.list.revision());
        if matches!(mode, Mode::Odd(Odd::Reset)) {
            self.well_again();
        }
        if matches!(mode, Mode::Refuses | Mode::Resets | Mode::Odd(Odd::Reset)) {
            return;
        }
        stream.read_exact(&mut head[..length]).unwrap();
        let whole = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let sized = |n: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {n}\r\n\r\n");
        let unavailable = || "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned();
        let cut = || sized(body.len()) + &body[..body.len() / 2];
        let text = match mode {
            Mode::Up => whole(&body),
            Mode::Unavailable => unavailable(),
            Mode::Cuts => cut(),
            Mode::Silent => String::new(),
            Mode::Trickles => sized(1 << 20) + "{",
            Mode::Odd(odd) => {
                self.well_again();
                match odd {
                    Odd::Indented => whole(&body.replace(',', ",\n  ").replace('{', "{\n    ")),
                    Odd::SecondBehind => whole(&body) + &whole(&self.list.json(0)),
                    Odd::LengthTooLarge => sized(body.len() + 10) + &body,
                    Odd::LengthTooSmall => sized(body.len() - 10) + &body,
                    Odd::NoLength => format!("HTTP/1.1 200 OK\r\n\r\n{body}"),
                    Odd::NoJson => whole("revision: 7"),
                    Odd::Unavailable => unavailable(),
                    Odd::Cut => cut(),
                    Odd::Reset => return,
                }
            }
            Mode::Refuses | Mode::Resets => return,
        };
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        match mode {
            Mode::Up | Mode::Odd(Odd::Indented | Odd::SecondBehind | Odd::NoLength) => {
                self.state.lock().unwrap().told.push((Instant::now(), revision));
            }
            Mode::Trickles => {
                while stream.write_all(b" ").is_ok() {
                    thread::sleep(Duration::from_millis(50));
                }
            }
            // Until the caller hangs up, also where the service is well again long since.
            Mode::Silent => drop(stream.read(&mut head)),
            _ => {}
        }
    }
}

/// What a stand-in and clients see of relays and two endpoints.
struct Tier {
    list: Discovery,
    endpoints: [Endpoint; 2],
    services: Vec<Service>,
    relays: Vec<Relay>,
}

impl Tier {
    /// So many relays, each on its watch. Their settings would let pauses grow to 20 s.
    fn start(relays: usize) -> Tier {
        Self::start_with(relays, 800)
    }

    /// The same, with this time for a connect, which is also the first pause at the least.
    fn start_with(relays: usize, connect_ms: u32) -> Tier {
        Self::start_as(relays, connect_ms, "on_request")
    }

    /// The same, where lists come in this way.
    fn start_as(relays: usize, connect_ms: u32, way: &str) -> Tier {
        let list = Discovery::start();
        let endpoints = ["UP 1\r\n", "UP 2\r\n"].map(Endpoint::lines);
        for (i, endpoint) in endpoints.iter().enumerate() {
            list.set(&format!("s-{i}"), &endpoint.address, "Ready", 0);
        }
        let services: Vec<_> = (0..relays).map(|_| Service::start(&list)).collect();
        let hosts: Vec<_> = (0..relays).map(|_| host()).collect();
        let start = |local_index: usize| {
            let settings = settings(relays, local_index, connect_ms).replace("on_request", way);
            let relay = Relay::start_more(&list, 1024, &hosts, local_index, &settings);
            relay.configure(&relay.configuration().replace(&list.address, &services[local_index].address));
            relay
        };
        let relays = (0..relays).map(start).collect();
        let tier = Tier { list, endpoints, services, relays };
        for service in &tier.services {
            until("the list is had, and watched", || service.told(2).is_some() && service.calls() > 1);
        }
        tier
    }

    /// Lists the first endpoint as one that drains; the list's revision then.
    fn drain(&self) -> u64 {
        self.list.set("s-0", &self.endpoints[0].address, "Terminating", 0);
        self.list.revision()
    }

    /// Each relay was answered in time, and sends nothing to the endpoint that drains.
    fn told(&self, back: Instant, revision: u64, within: Duration) {
        for (service, relay) in self.services.iter().zip(&self.relays) {
            until("it asks again", || service.told(revision).is_some());
            let after = service.told(revision).unwrap().saturating_duration_since(back);
            assert!(after < within + SLACK, "told {after:?} after discovery was back: {}", relay.log());
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
        assert_eq!(sent(), before, "a streamer that drains was sent to");
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

/// The service fails in one way until each relay's pause would have grown to its most, and comes back with
/// a change right after a call that failed, or while one is out that will.
fn comes_back(mode: Mode, relays: usize) {
    let tier = Tier::start(relays);
    let failures = |relay: &Relay| relay.log().matches("discovery at ").count();
    let before: Vec<_> = tier.relays.iter().map(failures).collect();
    tier.services.iter().for_each(|service| service.set(mode));
    let start = Instant::now();
    let failed = |i: usize| failures(&tier.relays[i]) - before[i];
    while (0..relays).any(|i| failed(i) < FAILURES) {
        assert!(start.elapsed() < OUTAGE, "{mode:?}: {:?}", (0..relays).map(failed).collect::<Vec<_>>());
        thread::sleep(Duration::from_millis(2));
    }
    if matches!(mode, Mode::Silent | Mode::Trickles) {
        let (last, calls) = (&tier.services[relays - 1], tier.services[relays - 1].calls());
        while last.calls() == calls {
            assert!(start.elapsed() < OUTAGE, "{mode:?}: no further call");
            thread::sleep(Duration::from_millis(2));
        }
    }
    let revision = tier.drain();
    let back = Instant::now();
    tier.services.iter().for_each(|service| service.set(Mode::Up));
    tier.told(back, revision, TOLD);
}

#[test]
fn a_lone_relay_is_told_in_time_after_a_service_that_refused() {
    comes_back(Mode::Refuses, 1);
}

#[test]
fn four_relays_are_told_in_time_after_a_service_that_refused() {
    comes_back(Mode::Refuses, 4);
}

#[test]
fn relays_are_told_in_time_after_a_service_that_reset_each_call() {
    comes_back(Mode::Resets, 1);
    comes_back(Mode::Resets, 4);
}

#[test]
fn relays_are_told_in_time_after_a_service_that_answered_503() {
    comes_back(Mode::Unavailable, 1);
    comes_back(Mode::Unavailable, 4);
}

#[test]
fn a_lone_relay_is_told_in_time_after_a_service_that_said_nothing() {
    comes_back(Mode::Silent, 1);
}

#[test]
fn four_relays_are_told_in_time_after_a_service_that_said_nothing() {
    comes_back(Mode::Silent, 4);
}

#[test]
fn relays_are_told_in_time_after_a_service_that_cut_its_answers() {
    comes_back(Mode::Cuts, 1);
    comes_back(Mode::Cuts, 4);
}

#[test]
fn a_lone_relay_is_told_in_time_after_a_service_whose_answers_never_ended() {
    comes_back(Mode::Trickles, 1);
}

#[test]
fn four_relays_are_told_in_time_after_a_service_whose_answers_never_ended() {
    comes_back(Mode::Trickles, 4);
}

/// A watch that breaks once says nothing of the service: the call after it is made at once, not after a
/// pause, which would be of a second at the least with these settings.
#[test]
fn a_watch_that_breaks_once_is_asked_anew_without_a_pause() {
    let tier = Tier::start_with(1, 2000);
    let service = &tier.services[0];
    for odd in [Odd::Reset, Odd::Unavailable, Odd::Cut] {
        // Two that break within seconds are another matter.
        thread::sleep(Duration::from_millis(3500));
        service.set(Mode::Odd(odd));
        until("the watch is broken", || service.mode() == Mode::Up);
        // By the service's own record: the relay may have asked anew before this thread looks.
        until("it asks anew", || service.anew().is_some());
        let after = service.anew().unwrap();
        assert!(after < Duration::from_millis(900), "{odd:?}: after {after:?}");
    }
    let revision = tier.drain();
    tier.told(Instant::now(), revision, TOLD);
}

#[test]
fn an_answer_of_any_form_is_taken_or_refused_whole_and_the_next_call_works() {
    let all = [
        Odd::Indented,
        Odd::SecondBehind,
        Odd::LengthTooLarge,
        Odd::LengthTooSmall,
        Odd::NoLength,
        Odd::NoJson,
    ];
    let tier = Tier::start(1);
    for (n, odd) in all.into_iter().enumerate() {
        tier.services[0].set(Mode::Odd(odd));
        tier.list.set("s-1", &tier.endpoints[1].address, "Ready", n as u64);
        let revision = tier.list.revision();
        let start = Instant::now();
        until("it is told", || tier.services[0].told(revision).is_some());
        let after = tier.services[0].told(revision).unwrap() - start;
        assert!(after < TOLD + SLACK, "{odd:?}: after {after:?}");
        assert!(tier.relays[0].client().open("").line().starts_with("UP"), "{odd:?}");
    }
    let revision = tier.drain();
    tier.told(Instant::now(), revision, TOLD);
}

/// The relay asks the next service, whatever the one before does with the call that is out.
fn moves(before: Mode, twice: bool) {
    let tier = Tier::start(1);
    let (old, relay) = (&tier.services[0], &tier.relays[0]);
    let calls = old.calls();
    if before != Mode::Up {
        old.set(before);
        until("a call is out", || old.calls() > calls);
    }
    let mut at = old.address.clone();
    let others: Vec<_> = (0..if twice { 3 } else { 1 }).map(|_| Service::start(&tier.list)).collect();
    let revision = tier.drain();
    let start = Instant::now();
    for next in &others {
        let text = relay.configuration().replace(&at, &next.address);
        at = next.address.clone();
        relay.configure(&text);
    }
    let last = others.last().unwrap();
    until("the last service is asked", || last.told(revision).is_some());
    let after = last.told(revision).unwrap() - start;
    assert!(after < TOLD_MOVED + SLACK, "{before:?}: after {after:?}");
    let calls = last.calls();
    until("its watch goes on", || last.calls() > calls + 1);
}

#[test]
fn a_service_that_moves_is_asked_at_its_new_place_while_a_call_is_out_at_the_old_one() {
    for before in [Mode::Up, Mode::Silent, Mode::Trickles, Mode::Resets] {
        moves(before, false);
    }
}

#[test]
fn a_service_that_moves_again_at_once_is_asked_at_its_last_place() {
    for before in [Mode::Up, Mode::Silent] {
        moves(before, true);
    }
}

#[test]
fn a_service_that_moves_right_as_it_answers_is_asked_at_its_new_place() {
    let list = Discovery::start();
    let endpoint = Endpoint::lines("UP 1\r\n");
    list.set("s-0", &endpoint.address, "Ready", 0);
    let services = [Service::start(&list), Service::start(&list)];
    let relay = Relay::start_more(&list, 1024, &[host()], 0, &settings(1, 0, 400));
    relay.configure(&relay.configuration().replace(&list.address, &services[1].address));
    for n in 0..8_usize {
        let (next, before) = (&services[n % 2], &services[(n + 1) % 2]);
        until("the watch is out", || before.told(list.revision()).is_some());
        let calls = next.calls();
        let text = relay.configuration().replace(&before.address, &next.address);
        // The change wakes the watch just as the signal comes: before it, or after.
        let change = || list.set("s-0", &endpoint.address, "Ready", n as u64);
        if n % 4 < 2 {
            change();
        }
        let start = Instant::now();
        relay.configure(&text);
        if n % 4 >= 2 {
            change();
        }
        until("the new place is asked", || next.calls() > calls && next.told(list.revision()).is_some());
        let after = next.told(list.revision()).unwrap().saturating_duration_since(start);
        assert!(after < TOLD_MOVED + SLACK, "move {n}: after {after:?}");
    }
}

/// The second of two watches that break within seconds is followed by the load balancer's pause, of which
/// there is time for.
#[test]
fn relays_are_told_in_time_where_two_watches_in_a_row_break() {
    for (odd, relays) in [(Odd::Reset, 1), (Odd::Unavailable, 4), (Odd::Cut, 4)] {
        let tier = Tier::start_with(relays, 2000);
        let broken = || {
            tier.services.iter().for_each(|service| service.set(Mode::Odd(odd)));
            for service in &tier.services {
                until("its watch is broken", || service.mode() == Mode::Up);
            }
        };
        let calls: Vec<_> = tier.services.iter().map(Service::calls).collect();
        broken();
        for (service, before) in tier.services.iter().zip(calls) {
            until("it has asked anew, and watches again", || service.calls() >= before + 2);
        }
        broken();
        let revision = tier.drain();
        tier.told(Instant::now(), revision, TOLD);
    }
}

/// The agent of pushed lists accepts calls and says nothing for a while: what it has at its return is heard
/// in time.
#[test]
fn a_relay_is_told_in_time_by_an_agent_that_was_mute() {
    let tier = Tier::start_as(1, 800, "pushed");
    let (service, relay) = (&tier.services[0], &tier.relays[0]);
    service.set(Mode::Silent);
    until("calls fail", || relay.log().matches("no answer in time").count() > 1);
    let calls = service.calls();
    until("a call is out", || service.calls() > calls);
    let revision = tier.drain();
    let back = Instant::now();
    service.set(Mode::Up);
    tier.told(back, revision, TOLD);
    println!("told {:?} after the return", service.told(revision).unwrap() - back);
}

/// Guards against a relay that starts and sends by the list of its last run to endpoints that left meanwhile.
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
    // One of many relays, which poll in turn, and none tells another which endpoints have left.
    let settings = settings(200, 7, 200).replace("peerMessages = true", "peerMessages = false");
    let relay = Relay::start_more(&known.asked_at(&service.address), 1024, &[host()], 0, &settings);
    let mut clients: Vec<Client> = (0..20).map(|_| relay.client()).collect();
    for client in &mut clients {
        client.open(&format!(",g={:x}", unix_ms()));
    }
    let is_ready = || relay.client().send("PING\r\n").line() == "PONG";
    until("the list is had, and the relay is ready", || service.told(3).is_some() && is_ready());
    for mut client in clients {
        let answer = client.line();
        assert!(answer == "UP 2" || answer.starts_with("BUSY"), "{answer}: {}", relay.log());
    }
    assert_eq!(relay.client().open("").line(), "UP 2");
    assert!(endpoints[0].seen().iter().all(|line| !line.starts_with("OPEN")), "{:?}", endpoints[0].seen());
}
