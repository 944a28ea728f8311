//! Tests of a discovery service that answers late, with real processes: relays stop sending to an endpoint
//! that drains although the answer is late or has not come, and they go on serving where they may.

mod common;

use std::time::{Duration, Instant};

use common::*;

/// A change counts as known this long after discovery had it.
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// Added to the limit, for the grace of drains and the delays of a busy machine.
const SLACK: Duration = Duration::from_millis(2500);
/// After this time no watch is open that began before answers were late.
const LONGEST_WATCH: Duration = Duration::from_secs(3);
/// How long clients connect after the change.
const OBSERVED: Duration = Duration::from_secs(14);
/// Pause between two rounds of clients.
const CLIENT_INTERVAL: Duration = Duration::from_millis(50);
/// The largest number of calls that a relay may have open: one that is late, and another one.
const MAX_OPEN_CALLS: usize = 2;

/// A cluster whose discovery service answers late.
#[derive(Clone, Copy, Debug)]
struct SlowCase {
    relays: usize,
    peer_messages: bool,
    /// Whether lists are pushed: the service is then an agent on the relay's machine.
    pushed: bool,
    latency: Latency,
    /// Whether answers are late from the start of the relays on, and not only later.
    from_start: bool,
}

impl SlowCase {
    /// A service that delays calls that begin a subscription, and answers the watches after them at once.
    fn late_calls(relays: usize, delay_ms: u64) -> SlowCase {
        let latency = Latency { calls: Duration::from_millis(delay_ms), watches: Duration::ZERO };
        SlowCase { relays, peer_messages: false, pushed: false, latency, from_start: true }
    }

    /// A service that delays all calls, from some time after the start of the relays on.
    fn late_later(relays: usize, delay_ms: u64) -> SlowCase {
        let delay = Duration::from_millis(delay_ms);
        let latency = Latency { calls: delay, watches: delay };
        SlowCase { relays, peer_messages: false, pushed: false, latency, from_start: false }
    }

    fn with_peer_messages(self) -> SlowCase {
        SlowCase { peer_messages: true, ..self }
    }

    fn with_pushed_lists(self) -> SlowCase {
        SlowCase { pushed: true, ..self }
    }

    /// Lets an endpoint drain while answers are late. Checks that nothing is sent to that endpoint once the
    /// change counts as known, and that calls do not accumulate. Returns how many clients were served.
    fn check(self) -> usize {
        let list = Discovery::start();
        let endpoints = ["UP 1\r\n", "UP 2\r\n"].map(Endpoint::lines);
        for (i, endpoint) in endpoints.iter().enumerate() {
            list.set(&format!("s-{i}"), &endpoint.address, "Ready", 0);
        }
        if self.from_start {
            list.set_latency(self.latency);
        }
        let relays = self.start_relays(&list);
        for relay in &relays {
            until("the relay is ready", || relay.client().send("PING\r\n").line() == "PONG");
        }
        if !self.from_start {
            list.set_latency(self.latency);
            std::thread::sleep(LONGEST_WATCH);
        }
        let drained_at = list.set("s-0", &endpoints[0].address, "Terminating", 0);
        let mut served = 0;
        while drained_at.elapsed() < OBSERVED {
            served += relays.iter().filter(|relay| relay.client().open("").line().starts_with("UP")).count();
            std::thread::sleep(CLIENT_INTERVAL);
        }
        let limit = drained_at + KNOWN_WITHIN + SLACK;
        let is_late = |entry: &&(Instant, String)| entry.0 > limit && entry.1.starts_with("OPEN");
        let late = endpoints[0].log.lock().unwrap().iter().filter(is_late).count();
        assert_eq!(late, 0, "requests were sent to the draining endpoint, {self:?}: {}", relays[0].log());
        let calls = list.calls();
        assert!(calls.max_open <= MAX_OPEN_CALLS * self.relays, "{self:?}: {calls:?}");
        served
    }

    fn start_relays(self, list: &Discovery) -> Vec<Relay> {
        let hosts: Vec<_> = (0..self.relays).map(|_| host()).collect();
        let start = |local_index| {
            let settings = self.settings(local_index);
            Relay::start_unready(list, 256, &hosts, local_index, &settings)
        };
        (0..self.relays).map(start).collect()
    }

    fn settings(self, local_index: usize) -> String {
        let SlowCase { relays, peer_messages, .. } = self;
        let discovery = if self.pushed { "pushed" } else { "on_request" };
        let relay_count = relays.max(2);
        format!(
            r#"
[settings]
discovery = "{discovery}"
nInstances = {relay_count}
me = {local_index}
resolutionMs = 2.0
realms = [{{ name = "acme" }}]
lanes = [{{ name = "subtitle-stream", semantics = "safe", aimMs = 500.0, hardLimitMs = 3000.0, worth = 1.0 }}]
limits = {{ maxAttempts = 5, connectTimeoutMs = 200.0, peerMessages = {peer_messages} }}
rules = {{ askEveryMs = 10000.0, coldFrom = 0.31, warmWithinMs = 8600.0, tipMultiple = 3.0 }}
domain = {{ mode = "pass", groups = true, messageAimMs = [150.0] }}
"#
        )
    }
}

/// Guards against relays that give up each late answer, take it for an outage, and go on sending to draining
/// endpoints.
#[test]
fn an_answer_that_is_late_for_a_relay_still_stops_sends_to_a_draining_endpoint() {
    assert!(SlowCase::late_calls(4, 2800).check() > 0, "nobody was served");
}

/// Guards against the same where relays may send each other messages.
#[test]
fn an_answer_that_is_late_for_relays_with_messages_still_stops_sends_to_a_draining_endpoint() {
    assert!(SlowCase::late_calls(4, 2800).with_peer_messages().check() > 0, "nobody was served");
}

/// Guards against watches that a slow service never answers within their time.
#[test]
fn a_service_that_becomes_slow_still_stops_sends_to_a_draining_endpoint() {
    assert!(SlowCase::late_later(2, 2800).check() > 0, "nobody was served");
}

/// Guards against a list that is used on and on because no answer comes.
#[test]
fn a_service_that_becomes_slower_than_the_lease_stops_sends_to_a_draining_endpoint() {
    SlowCase::late_later(2, 8000).check();
}

/// Guards against an agent of pushed lists that is never heard since each of its answers is late.
#[test]
fn a_slow_agent_of_pushed_lists_still_stops_sends_to_a_draining_endpoint() {
    assert!(SlowCase::late_calls(1, 2800).with_pushed_lists().check() > 0, "nobody was served");
}

/// Guards against the same in a small cluster whose relays may send each other messages: it has no gossip
/// about draining endpoints.
#[test]
fn a_small_cluster_with_messages_stops_sends_by_a_list_that_no_answer_confirms() {
    SlowCase::late_later(4, 8000).with_peer_messages().check();
}

/// Guards against a successor process that takes the list of its predecessor, which no answer has confirmed
/// for long, for a confirmed one.
#[test]
fn a_hand_over_confirms_no_list() {
    let list = Discovery::start();
    let endpoints = ["UP 1\r\n", "UP 2\r\n"].map(Endpoint::lines);
    for (i, endpoint) in endpoints.iter().enumerate() {
        list.set(&format!("s-{i}"), &endpoint.address, "Ready", 0);
    }
    let folder = tempfile::tempdir().unwrap();
    let case = SlowCase::late_later(1, 60_000);
    let more = format!("[relay]\nhandover = {:?}\n{}", folder.path(), case.settings(0));
    let relay = Relay::start_more(&list, 256, &[host()], 0, &more);
    until("the relay serves", || relay.client().open("").line().starts_with("UP"));
    list.set_latency(case.latency);
    std::thread::sleep(LONGEST_WATCH);
    list.set("s-0", &endpoints[0].address, "Terminating", 0);
    std::thread::sleep(KNOWN_WITHIN + SLACK);
    let attempts = || endpoints[0].seen().iter().filter(|line| line.starts_with("OPEN")).count();
    let before = attempts();
    let successor = relay.beside();
    for _ in 0..10 {
        let answer = successor.client().open("").line();
        assert!(!answer.starts_with("UP"), "{answer}: {}", successor.log());
    }
    assert_eq!(attempts(), before, "a request was sent to the draining endpoint");
}

/// A relay that serves and can be taken over, with one endpoint.
struct TakeoverSetup {
    list: Discovery,
    relay: Relay,
    _endpoint: Endpoint,
    _folder: tempfile::TempDir,
}

impl TakeoverSetup {
    fn start(case: SlowCase) -> TakeoverSetup {
        let (list, endpoint) = (Discovery::start(), Endpoint::lines("UP 1\r\n"));
        list.set("s-0", &endpoint.address, "Ready", 0);
        let folder = tempfile::tempdir().unwrap();
        let more = format!("[relay]\nhandover = {:?}\n{}", folder.path(), case.settings(0));
        let relay = Relay::start_more(&list, 256, &[host()], 0, &more);
        until("the relay serves", || relay.client().open("").line().starts_with("UP"));
        TakeoverSetup { list, relay, _endpoint: endpoint, _folder: folder }
    }
}

/// How long clients connect while another process takes over.
const HAND_OVER: Duration = Duration::from_secs(4);

/// Guards against clients that are rejected since the list that was handed over is not confirmed at once.
#[test]
fn clients_are_served_throughout_a_hand_over() {
    let TakeoverSetup { relay, .. } = &TakeoverSetup::start(SlowCase::late_calls(1, 0));
    let successor = relay.beside();
    let start = Instant::now();
    while start.elapsed() < HAND_OVER {
        let answer = relay.client().open("").line();
        assert!(answer.starts_with("UP"), "{:?}: {answer}: {}", start.elapsed(), successor.log());
    }
}

/// Checks that clients are served while another process takes over, although discovery answers late.
fn check_hand_over_with_late_answers(case: SlowCase) {
    let TakeoverSetup { list, relay, .. } = &TakeoverSetup::start(case);
    list.set_latency(case.latency);
    let successor = relay.beside();
    let start = Instant::now();
    while start.elapsed() < LATE_HAND_OVER {
        let answer = relay.client().open("").line();
        assert!(answer.starts_with("UP"), "{:?}, {case:?}: {answer}: {}", start.elapsed(), successor.log());
    }
    assert!(successor.log().contains("this process serves"), "{case:?}: {}", successor.log());
}

/// How long clients connect while another process takes over and discovery answers late.
const LATE_HAND_OVER: Duration = Duration::from_secs(6);

/// Guards against a successor process that takes over before it may use its list, and rejects the clients that
/// its predecessor would serve.
#[test]
fn a_predecessor_serves_until_its_successor_may_use_its_list() {
    check_hand_over_with_late_answers(SlowCase::late_calls(1, 2800));
    check_hand_over_with_late_answers(SlowCase::late_calls(1, 2800).with_pushed_lists());
}

/// Guards against an upgrade while no answer comes that turns a relay that serves into one that rejects all
/// clients.
#[test]
fn a_successor_whose_agent_is_silent_leaves_the_relay_to_its_predecessor() {
    let case = SlowCase::late_later(1, 60_000).with_pushed_lists();
    let TakeoverSetup { list, relay, .. } = &TakeoverSetup::start(case);
    list.set_latency(case.latency);
    let successor = relay.beside();
    let start = Instant::now();
    while !successor.has_ended() {
        let answer = relay.client().open("").line();
        assert!(answer.starts_with("UP"), "{:?}: {answer}: {}", start.elapsed(), successor.log());
        assert!(start.elapsed() < LONG, "the successor waits on: {}", successor.log());
    }
    assert!(successor.log().contains("goes on serving"), "{}", successor.log());
    let answer = relay.client().open("").line();
    assert!(answer.starts_with("UP"), "{answer}: {}", relay.log());
}

/// Guards against a successor that gives up although its predecessor has died, so that nobody serves.
#[test]
fn a_successor_that_waits_for_its_list_serves_if_its_predecessor_dies() {
    let case = SlowCase::late_later(1, 8000).with_pushed_lists();
    let TakeoverSetup { list, relay, .. } = &TakeoverSetup::start(case);
    list.set_latency(case.latency);
    let successor = relay.beside();
    until("the successor waits", || successor.log().contains("operators call at"));
    std::thread::sleep(Duration::from_secs(1));
    relay.signal("KILL");
    until("the relay is ready", || relay.client().send("PING\r\n").line() == "PONG");
    until("the relay serves", || relay.client().open("").line().starts_with("UP"));
    assert!(!successor.has_ended(), "{}", successor.log());
}

/// Guards against a restarted relay that sends by the list of its last run while its agent, which has been
/// told of a drain, is silent.
#[test]
fn a_relay_that_starts_beside_a_silent_agent_uses_no_list_of_its_last_run() {
    let list = Discovery::start();
    let endpoint = Endpoint::lines("UP 1\r\n");
    list.set("s-0", &endpoint.address, "Ready", 0);
    let case = SlowCase::late_later(1, 60_000).with_pushed_lists();
    let relay = Relay::start_more(&list, 256, &[host()], 0, &case.settings(0));
    until("the relay serves", || relay.client().open("").line().starts_with("UP"));
    relay.signal("KILL");
    until("the relay has ended", || relay.has_ended());
    list.set("s-0", &endpoint.address, "Terminating", 0);
    list.set_latency(case.latency);
    let attempts = || endpoint.seen().iter().filter(|line| line.starts_with("OPEN")).count();
    let before = attempts();
    let relay = relay.beside();
    until("the relay listens", || std::net::TcpStream::connect(&relay.line).is_ok());
    until("the relay is ready", || relay.client().send("PING\r\n").line() == "PONG");
    for _ in 0..10 {
        let answer = relay.client().open("").line();
        assert!(answer.starts_with("BUSY"), "{answer}: {}", relay.log());
    }
    assert_eq!(attempts(), before, "a request was sent to the draining endpoint");
}

/// The grace of the rule on drains in these settings.
const DRAIN_GRACE: Duration = Duration::from_millis(1050);

/// Guards against a restarted relay that sends by the list of its last run in an outage that began after the
/// list's changes had come to count as known.
#[test]
fn a_relay_that_starts_in_an_outage_sends_to_no_endpoint_whose_drain_counts_as_known() {
    let list = Discovery::start();
    let endpoint = Endpoint::lines("UP 1\r\n");
    list.set("s-0", &endpoint.address, "Ready", 0);
    let relay = Relay::start_more(&list, 256, &[host()], 0, &SlowCase::late_calls(1, 0).settings(0));
    until("the relay serves", || relay.client().open("").line().starts_with("UP"));
    relay.signal("KILL");
    until("the relay has ended", || relay.has_ended());
    list.set("s-0", &endpoint.address, "Terminating", 0);
    std::thread::sleep(KNOWN_WITHIN);
    list.down(true);
    let relay = relay.beside();
    until("the relay listens", || std::net::TcpStream::connect(&relay.line).is_ok());
    until("the relay is ready", || relay.client().send("PING\r\n").line() == "PONG");
    let ready_at = Instant::now();
    while ready_at.elapsed() < 2 * DRAIN_GRACE {
        relay.client().open("").line();
    }
    let is_late =
        |entry: &&(Instant, String)| entry.0 > ready_at + DRAIN_GRACE && entry.1.starts_with("OPEN");
    let late = endpoint.log.lock().unwrap().iter().filter(is_late).count();
    assert_eq!(late, 0, "requests were sent to the draining endpoint: {}", relay.log());
}
