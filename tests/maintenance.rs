//! Maintenance windows through the real program: twelve relays in four zones, and faults between them.

mod common;

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const RELAYS: usize = 12;
const LEASE: Duration = Duration::from_secs(4);

/// Of twelve endpoints in four zones eight are left.
const SECTION: &str = r#"
[maintenance]
floor = 8.0
most = 3
longest_s = 120
lease_s = 4
clock_bound_ms = 50
override = ["eve"]
"#;

/// The network between the relays: one socket for each stands in for it at all others.
struct Network {
    /// Groups of relays as bits; datagrams go within one only. All are in one where there is no cut.
    side: Arc<AtomicU32>,
    told: Arc<Mutex<Vec<(usize, usize, String)>>>,
}

/// Sockets that stand in, by relay.
fn stand_ins() -> Vec<UdpSocket> {
    (0..RELAYS).map(|_| UdpSocket::bind((host(), 7946)).unwrap()).collect()
}

impl Network {
    fn start(sockets: Vec<UdpSocket>, hosts: &[String]) -> Network {
        let network = Network { side: Arc::default(), told: Arc::default() };
        let sockets: Arc<Vec<UdpSocket>> = Arc::new(sockets);
        let hosts: Arc<Vec<String>> = Arc::new(hosts.to_vec());
        for to in 0..RELAYS {
            let (sockets, hosts) = (sockets.clone(), hosts.clone());
            let (side, told) = (network.side.clone(), network.told.clone());
            thread::spawn(move || {
                let mut buffer = [0; 300];
                while let Ok((length, from)) = sockets[to].recv_from(&mut buffer) {
                    let from = hosts.iter().position(|host| *host == from.ip().to_string());
                    let Some(from) = from else { continue };
                    let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                    told.lock().unwrap().push((from, to, text));
                    let cut = side.load(Ordering::SeqCst);
                    if cut >> from & 1 == cut >> to & 1 {
                        // Whoever is dead does not take it.
                        let _ = sockets[from].send_to(&buffer[..length], (hosts[to].as_str(), 7946));
                    }
                }
            });
        }
        network
    }

    fn cut(&self, relays: impl IntoIterator<Item = usize>) {
        let side = relays.into_iter().fold(0, |side, relay| side | 1 << relay);
        self.side.store(side, Ordering::SeqCst);
    }
}

struct Tier {
    discovery: Discovery,
    relays: Vec<Relay>,
    network: Network,
}

impl Tier {
    fn start(section: &str) -> Tier {
        let discovery = Discovery::start();
        for n in 0..RELAYS {
            Self::endpoint(&discovery, n, "Ready");
        }
        let (sockets, hosts): (Vec<UdpSocket>, Vec<String>) =
            (stand_ins(), (0..RELAYS).map(|_| host()).collect());
        let seen: Vec<String> = sockets.iter().map(|s| s.local_addr().unwrap().ip().to_string()).collect();
        let network = Network::start(sockets, &hosts);
        let relays = (0..RELAYS)
            .map(|local_index| {
                Relay::start_seen(&discovery, &hosts[local_index], &seen, local_index, section)
            })
            .collect();
        Tier { discovery, relays, network }
    }

    fn endpoint(discovery: &Discovery, n: usize, phase: &str) {
        let zone = char::from(b'a' + (n / 3) as u8).to_string();
        discovery.set_in(&format!("s-{n}"), "127.0.0.1:9", phase, 0, &zone);
    }

    /// What a relay says to a call, without `done` where it is.
    fn call(&self, relay: usize, call: &str) -> String {
        self.relays[relay].call(format!("{call}\n").as_bytes())
    }

    /// Waits until a relay's windows say something.
    fn until(&self, relay: usize, what: &str) -> String {
        let start = Instant::now();
        loop {
            let says = self.call(relay, "windows");
            if says.contains(what) {
                return says;
            }
            if start.elapsed() >= LONG {
                let all: Vec<String> = [0, 1, 3, 5].iter().map(|r| self.call(*r, "windows")).collect();
                panic!("relay {relay} never says {what:?}: {says}; at voters {all:?}");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Windows that relays believe to be granted, by what they say; those that are stopped or dead are not asked.
    fn granted(&self, relays: &[usize]) -> Vec<String> {
        let said = relays.iter().flat_map(|relay| {
            let says = self.call(*relay, "windows");
            let own = says.split("; ").filter(|row| row.contains("granted until")).map(str::to_owned);
            own.collect::<Vec<_>>()
        });
        said.collect()
    }

    /// Who said last that it grants the windows now.
    fn granter(&self) -> usize {
        let office = |relay: &Relay| {
            let log = relay.log();
            log.matches("grants the windows now").count() > log.matches("grants no windows any more").count()
        };
        self.relays.iter().position(office).expect("nobody is in office")
    }
}

fn id(says: &str) -> String {
    says.split(' ').nth(1).unwrap().to_owned()
}

#[test]
fn windows_hold_the_floor_through_a_cut_a_kill_and_a_stop() {
    let mut tier = Tier::start(SECTION);
    let all: Vec<usize> = (0..RELAYS).collect();
    // Nobody has asked: nothing is told of windows.
    assert!(!tier.network.told.lock().unwrap().iter().any(|(.., text)| text.starts_with("m1 ")));
    thread::sleep(LEASE);

    // At three relays at once: a zone fits, of two that do not go together one waits.
    let says: Vec<String> = thread::scope(|scope| {
        let calls = [(2, "a"), (7, "b"), (11, "c")];
        let asked = calls.map(|(relay, zone)| {
            let call = format!("window hall {zone} all 60");
            let tier = &tier;
            scope.spawn(move || tier.call(relay, &call))
        });
        asked.map(|asked| asked.join().unwrap()).to_vec()
    });
    assert_eq!(says.iter().filter(|says| says.contains("granted until")).count(), 1, "{says:?}");
    assert_eq!(says.iter().filter(|says| says.contains("waits behind")).count(), 2, "{says:?}");
    let holder = [2, 7, 11][says.iter().position(|says| says.contains("granted until")).unwrap()];

    // The granter is killed: another goes on, the window that is granted stays so, and none comes beside it.
    let killed = tier.granter();
    tier.relays[killed].signal("KILL");
    let live: Vec<usize> = all.iter().copied().filter(|relay| *relay != killed).collect();
    let start = Instant::now();
    while start.elapsed() < 2 * LEASE {
        assert!(tier.granted(&live).len() <= 1, "{:?}", tier.granted(&live));
        thread::sleep(Duration::from_millis(100));
    }
    if holder != killed {
        assert!(tier.call(holder, "windows").contains("granted until"));
    }

    // The new one is stopped for longer than its lease and wakes: it grants nothing on its own.
    let stopped = tier.granter_but(killed);
    tier.relays[stopped].signal("STOP");
    let awake: Vec<usize> = live.iter().copied().filter(|relay| *relay != stopped).collect();
    let start = Instant::now();
    while start.elapsed() < 2 * LEASE {
        assert!(tier.granted(&awake).len() <= 1);
        thread::sleep(Duration::from_millis(100));
    }
    tier.relays[stopped].signal("CONT");
    for _ in 0..20 {
        assert!(tier.granted(&live).len() <= 1, "{:?}", tier.granted(&live));
        thread::sleep(Duration::from_millis(50));
    }

    // Five are cut off, with the window's relay: there it lapses, and nothing is granted.
    let away = if holder == killed { awake[0] } else { holder };
    let cut: Vec<usize> = (0..5).map(|n| (away + n) % RELAYS).collect();
    tier.network.cut(cut.iter().copied());
    let says = tier.call(away, "window streamer s-11 5");
    assert!(!says.contains("granted"), "{says}");
    if holder != killed {
        tier.until(holder, "lapsed");
    }
    assert!(tier.granted(&cut.iter().copied().filter(|r| *r != killed).collect::<Vec<_>>()).is_empty());
    tier.network.cut([]);

    // Done, and the next is through.
    if holder != killed {
        let own = tier.until(holder, "granted until");
        let row = own
            .split("; ")
            .find(|row| row.contains("granted until") && row.contains(" hall "))
            .unwrap()
            .to_owned();
        assert!(
            tier.call(
                holder,
                &format!("done {}", row.split(' ').next().unwrap().trim_start_matches("done "))
            )
            .starts_with("done")
        );
    }
    let waits: Vec<usize> = [2, 7, 11].into_iter().filter(|r| *r != holder && *r != killed).collect();
    let start = Instant::now();
    while !waits.iter().any(|relay| tier.call(*relay, "windows").contains("granted until")) {
        assert!(start.elapsed() < 3 * LONG, "the next is never granted");
        thread::sleep(Duration::from_millis(100));
    }
    // No datagram was too long, whatever went on.
    assert!(tier.network.told.lock().unwrap().iter().all(|(.., text)| text.len() <= 256));
    tier.relays.clear();
}

impl Tier {
    fn granter_but(&self, dead: usize) -> usize {
        let office = |relay: usize| {
            let log = self.relays[relay].log();
            log.matches("grants the windows now").count() > log.matches("grants no windows any more").count()
        };
        (0..RELAYS).find(|relay| *relay != dead && office(*relay)).expect("nobody is in office")
    }
}

#[test]
fn a_hall_that_is_lost_is_taken_out_of_what_is_granted_and_said() {
    let tier = Tier::start(SECTION);
    thread::sleep(LEASE);
    assert!(tier.call(1, "window streamer s-0 100").contains("granted until"));
    assert_eq!(
        tier.call(4, "window hall b all 100 by bob"),
        "error this name may not override the floor; ask one of those in maintenance.override"
    );
    let never = tier.call(4, "window hall nowhere all 10");
    assert!(never.starts_with("error no such hall in the list"), "{never}");
    // Zone c drains and nobody has asked: two endpoints of a sudden.
    for n in [6, 7] {
        Tier::endpoint(&tier.discovery, n, "Terminating");
    }
    tier.until(1, "2 of hall c drain and nobody has asked for it");
    // Twelve less three leave nine: one more fits, a second does not.
    assert!(tier.call(4, "window streamer s-3 100").contains("granted until"));
    let says = tier.call(9, "window streamer s-4 100");
    assert!(says.contains("waits behind 0"), "{says}");
    // The rest of the zone is lost: too little is left, and it is said.
    for n in [6, 7, 8] {
        Tier::endpoint(&tier.discovery, n, "Gone");
    }
    tier.until(1, "less than the floor");
    assert!(tier.call(9, "windows").contains("waits behind"));
    // Who may puts a window over the floor.
    let forced = tier.call(9, "window streamer s-5 100 by eve");
    assert!(forced.contains("granted until"), "{forced}");
    // It is back, and the forced one done: the one that waited is through.
    for n in [6, 7, 8] {
        Tier::endpoint(&tier.discovery, n, "Ready");
    }
    assert!(tier.call(9, &format!("done {}", id(&forced))).contains("closed"));
    tier.until(9, "streamer s-4: granted until");
}

#[test]
fn off_without_the_section() {
    let tier = Tier::start("");
    let unknown = "error an unknown call; known are status, standby, active";
    for call in ["windows", "window hall a all 60", "window", "done 1.a"] {
        assert_eq!(tier.call(0, call), unknown, "{call}");
    }
    assert!(!tier.network.told.lock().unwrap().iter().any(|(.., text)| text.starts_with("m1 ")));
}
