//! Tests of maintenance windows with the real program: twelve relays, twelve endpoints in four zones, and
//! faults between the relays.

mod common;

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const RELAYS: usize = 12;
const LEASE: Duration = Duration::from_secs(4);

/// Settings with which eight of twelve endpoints must remain in service.
const SECTION: &str = r#"
[maintenance]
floor = 8.0
most = 3
longest_s = 120
lease_s = 4
clock_bound_ms = 50
override = ["eve"]
"#;

/// For how long it is observed that no second window is granted: whatever was granted before has
/// lapsed by then.
const OBSERVATION: Duration = Duration::from_secs(2 * LEASE.as_secs());

/// The network between the relays: one socket represents each relay to all others and forwards what it
/// receives.
struct Network {
    /// The side of a partition of each relay, as bits; datagrams are forwarded within a side only.
    partition: Arc<AtomicU32>,
    /// The texts of all datagrams.
    datagrams: Arc<Mutex<Vec<String>>>,
}

/// The sockets that represent the relays, by relay.
fn proxy_sockets() -> Vec<UdpSocket> {
    (0..RELAYS).map(|_| UdpSocket::bind((host(), 7946)).unwrap()).collect()
}

impl Network {
    fn start(sockets: Vec<UdpSocket>, hosts: &[String]) -> Network {
        let network = Network { partition: Arc::default(), datagrams: Arc::default() };
        let sockets: Arc<Vec<UdpSocket>> = Arc::new(sockets);
        let hosts: Arc<Vec<String>> = Arc::new(hosts.to_vec());
        for to in 0..RELAYS {
            let (sockets, hosts) = (sockets.clone(), hosts.clone());
            let partition = network.partition.clone();
            let datagrams = network.datagrams.clone();
            thread::spawn(move || {
                let mut buffer = [0; 300];
                while let Ok((length, from)) = sockets[to].recv_from(&mut buffer) {
                    let from = hosts.iter().position(|host| *host == from.ip().to_string());
                    let Some(from) = from else { continue };
                    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                    datagrams.lock().unwrap().push(text);
                    let sides = partition.load(Ordering::SeqCst);
                    if sides >> from & 1 == sides >> to & 1 {
                        // A relay that was killed does not receive it.
                        let _ = sockets[from].send_to(&buffer[..length], (hosts[to].as_str(), 7946));
                    }
                }
            });
        }
        network
    }

    /// Cuts relays off from the others; an empty list heals the network.
    fn cut_off(&self, relays: impl IntoIterator<Item = usize>) {
        let sides = relays.into_iter().fold(0, |sides, relay| sides | 1 << relay);
        self.partition.store(sides, Ordering::SeqCst);
    }

    /// Whether any datagram about windows was sent.
    fn has_window_datagrams(&self) -> bool {
        self.datagrams.lock().unwrap().iter().any(|text| text.starts_with("m1 "))
    }
}

struct TestCluster {
    discovery: Discovery,
    relays: Vec<Relay>,
    network: Network,
}

impl TestCluster {
    fn start(section: &str) -> TestCluster {
        let discovery = Discovery::start();
        for n in 0..RELAYS {
            Self::endpoint(&discovery, n, "Ready");
        }
        let sockets = proxy_sockets();
        let hosts: Vec<String> = (0..RELAYS).map(|_| host()).collect();
        let proxies: Vec<String> = sockets.iter().map(|s| s.local_addr().unwrap().ip().to_string()).collect();
        let network = Network::start(sockets, &hosts);
        let relays = (0..RELAYS)
            .map(|local_index| {
                Relay::start_seen(&discovery, &hosts[local_index], &proxies, local_index, section)
            })
            .collect();
        TestCluster { discovery, relays, network }
    }

    fn endpoint(discovery: &Discovery, n: usize, phase: &str) {
        let zone = char::from(b'a' + (n / 3) as u8).to_string();
        discovery.set_in(&format!("s-{n}"), "127.0.0.1:9", phase, 0, &zone);
    }

    /// A relay's reply to a call.
    fn call(&self, relay: usize, call: &str) -> String {
        self.relays[relay].call(format!("{call}\n").as_bytes())
    }

    /// Waits until a relay's list of windows has a text.
    fn wait_for(&self, relay: usize, expected: &str) -> String {
        let start = Instant::now();
        loop {
            let windows = self.call(relay, "windows");
            if windows.contains(expected) {
                return windows;
            }
            if start.elapsed() >= LONG {
                let all: Vec<String> = [0, 1, 3, 5].iter().map(|r| self.call(*r, "windows")).collect();
                panic!("relay {relay} never lists {expected:?}: {windows}; at voters {all:?}");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// The windows of these relays that each of them lists as granted. None of the relays may be stopped or
    /// killed.
    fn granted(&self, relays: &[usize]) -> Vec<String> {
        let mut granted = Vec::new();
        for relay in relays {
            let windows = self.call(*relay, "windows");
            let rows = windows.split("; ").filter(|row| row.contains("granted until"));
            granted.extend(rows.map(str::to_owned));
        }
        granted
    }

    /// Checks for two leases that these relays never list more than one window as granted.
    fn assert_at_most_one_granted(&self, relays: &[usize]) {
        let start = Instant::now();
        while start.elapsed() < OBSERVATION {
            let granted = self.granted(relays);
            assert!(granted.len() <= 1, "{granted:?}");
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// The first relay, other than the excluded one, whose latest log line about leadership says that it is
    /// the leader.
    fn leader_except(&self, excluded: Option<usize>) -> usize {
        let is_leader = |relay: &usize| {
            let log = self.relays[*relay].log();
            log.matches("grants the windows now").count() > log.matches("grants no windows any more").count()
        };
        let mut candidates = (0..RELAYS).filter(|relay| Some(*relay) != excluded);
        candidates.find(is_leader).expect("there is no leader")
    }
}

/// The id of the window in a reply.
fn id(reply: &str) -> String {
    reply.split(' ').nth(1).unwrap().to_owned()
}

#[test]
fn windows_keep_the_floor_through_a_partition_a_kill_and_a_stop() {
    let mut cluster = TestCluster::start(SECTION);
    let all: Vec<usize> = (0..RELAYS).collect();
    // No window has been requested: no datagram about windows is sent.
    assert!(!cluster.network.has_window_datagrams());
    thread::sleep(LEASE);

    // Three zones are requested at three relays at once: the floor allows one window, and two wait.
    let replies: Vec<String> = thread::scope(|scope| {
        let calls = [(2, "a"), (7, "b"), (11, "c")];
        let requests = calls.map(|(relay, zone)| {
            let call = format!("window hall {zone} all 60");
            let cluster = &cluster;
            scope.spawn(move || cluster.call(relay, &call))
        });
        requests.map(|request| request.join().unwrap()).to_vec()
    });
    assert_eq!(replies.iter().filter(|reply| reply.contains("granted until")).count(), 1, "{replies:?}");
    assert_eq!(replies.iter().filter(|reply| reply.contains("waits behind")).count(), 2, "{replies:?}");
    let holder = [2, 7, 11][replies.iter().position(|reply| reply.contains("granted until")).unwrap()];

    // The leader is killed: another is elected, the granted window stays granted, and none is
    // granted beside it.
    let killed = cluster.leader_except(None);
    cluster.relays[killed].signal("KILL");
    let live: Vec<usize> = all.iter().copied().filter(|relay| *relay != killed).collect();
    cluster.assert_at_most_one_granted(&live);
    if holder != killed {
        assert!(cluster.call(holder, "windows").contains("granted until"));
    }

    // The new leader is stopped for longer than its lease and continues: it grants nothing on its own.
    let stopped = cluster.leader_except(Some(killed));
    cluster.relays[stopped].signal("STOP");
    let awake: Vec<usize> = live.iter().copied().filter(|relay| *relay != stopped).collect();
    cluster.assert_at_most_one_granted(&awake);
    cluster.relays[stopped].signal("CONT");
    for _ in 0..20 {
        let granted = cluster.granted(&live);
        assert!(granted.len() <= 1, "{granted:?}");
        thread::sleep(Duration::from_millis(50));
    }

    // Five relays are cut off, among them the one with the granted window unless it was killed: there the
    // window lapses, and none is granted.
    let requester = if holder == killed { awake[0] } else { holder };
    let cut: Vec<usize> = (0..5).map(|n| (requester + n) % RELAYS).collect();
    cluster.network.cut_off(cut.iter().copied());
    let reply = cluster.call(requester, "window streamer s-11 5");
    assert!(!reply.contains("granted"), "{reply}");
    if holder != killed {
        cluster.wait_for(holder, "lapsed");
    }
    assert!(cluster.granted(&cut.iter().copied().filter(|r| *r != killed).collect::<Vec<_>>()).is_empty());
    cluster.network.cut_off([]);

    // The window is done, and the next is granted.
    if holder != killed {
        let windows = cluster.wait_for(holder, "granted until");
        let mut rows = windows.split("; ");
        let row = rows.find(|row| row.contains("granted until") && row.contains(" hall ")).unwrap();
        let id = row.split(' ').next().unwrap().trim_start_matches("done ");
        assert!(cluster.call(holder, &format!("done {id}")).starts_with("done"));
    }
    let waiting: Vec<usize> = [2, 7, 11].into_iter().filter(|r| *r != holder && *r != killed).collect();
    let start = Instant::now();
    while !waiting.iter().any(|relay| cluster.call(*relay, "windows").contains("granted until")) {
        assert!(start.elapsed() < 3 * LONG, "the next window is never granted");
        thread::sleep(Duration::from_millis(100));
    }
    // No datagram was too long.
    assert!(cluster.network.datagrams.lock().unwrap().iter().all(|text| text.len() <= 256));
    cluster.relays.clear();
}

#[test]
fn a_lost_zone_counts_against_the_floor_and_is_reported() {
    let cluster = TestCluster::start(SECTION);
    thread::sleep(LEASE);
    assert!(cluster.call(1, "window streamer s-0 100").contains("granted until"));
    assert_eq!(
        cluster.call(4, "window hall b all 100 by bob"),
        "error this name may not override the floor; ask one of those in maintenance.override"
    );
    let never = cluster.call(4, "window hall nowhere all 10");
    assert!(never.starts_with("error no such hall in the list"), "{never}");
    // Two endpoints of zone c drain without a window.
    for n in [6, 7] {
        TestCluster::endpoint(&cluster.discovery, n, "Terminating");
    }
    cluster.wait_for(1, "2 of hall c drain and nobody has asked for it");
    // Twelve endpoints less three leave nine: one more window fits, a second does not.
    assert!(cluster.call(4, "window streamer s-3 100").contains("granted until"));
    let reply = cluster.call(9, "window streamer s-4 100");
    assert!(reply.contains("waits behind 0"), "{reply}");
    // The rest of the zone is lost: fewer endpoints remain than the floor, which is listed as an alarm.
    for n in [6, 7, 8] {
        TestCluster::endpoint(&cluster.discovery, n, "Gone");
    }
    cluster.wait_for(1, "less than the floor");
    assert!(cluster.call(9, "windows").contains("waits behind"));
    // An operator who may override the floor gets a window.
    let forced = cluster.call(9, "window streamer s-5 100 by eve");
    assert!(forced.contains("granted until"), "{forced}");
    // The zone is back and the forced window done: the waiting window is granted.
    for n in [6, 7, 8] {
        TestCluster::endpoint(&cluster.discovery, n, "Ready");
    }
    assert!(cluster.call(9, &format!("done {}", id(&forced))).contains("closed"));
    cluster.wait_for(9, "streamer s-4: granted until");
}

#[test]
fn window_calls_are_unknown_without_the_section() {
    let cluster = TestCluster::start("");
    let unknown = "error an unknown call; known are status, standby, active";
    for call in ["windows", "window hall a all 60", "window", "done 1.a"] {
        assert_eq!(cluster.call(0, call), unknown, "{call}");
    }
    assert!(!cluster.network.has_window_datagrams());
}
