//! Narrow moments of starts, descriptors and floods, with real processes over loopback: relays that are
//! restarted together while discovery is up, slow or down; idle clients that fill every descriptor; clients
//! that send everything at once, next to nothing, or nothing. Limits of time are the page's with room for a
//! busy machine.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use sandgw_test_cluster::stub_discovery::ServiceModel;
use sandgw_test_cluster::{ClusterConfig, TestCluster, free_address};

/// What a busy machine may be late by.
const SLACK: Duration = Duration::from_secs(3);
/// When a bad client has its error or is closed on.
const ENDED: Duration = Duration::from_secs(3);

/// These tests load the machine: one at a time.
fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Relays that are restarted together.
const RESTARTED: usize = 20;
/// When nine in ten of them are ready, in milliseconds.
const READY: f64 = 10_000.0;

/// Restarts all relays at once; how long each took until it answered `PING`, those that never did left out.
async fn restarted(rig: &mut TestCluster) -> Vec<f64> {
    rig.relays.iter_mut().for_each(|relay| relay.kill());
    let start = rig.log.now();
    rig.start(0.0).await.unwrap();
    let mut took = Vec::new();
    for relay in &rig.relays {
        // The first is waited for longest: what one of them took is at most what is counted here.
        if relay.wait_ready((start + READY - rig.log.now()).max(100.0)).await.is_ok() {
            took.push(rig.log.now() - start);
        }
    }
    took
}

/// Discovery is as told while all of them start, with a list as last held or without any.
async fn ready_whatever_discovery_does(service: ServiceModel, known: bool) {
    let mut size = ClusterConfig::new(env!("CARGO_BIN_EXE_sandgw"), RESTARTED, 4);
    (size.discovery, size.list_known_at_start) = (service, known);
    let mut rig = TestCluster::new(size).await.unwrap();
    let took = restarted(&mut rig).await;
    let (ready, service) = (took.iter().filter(|took| **took <= READY).count(), &rig.config.discovery);
    assert!(
        ready * 10 >= RESTARTED * 9,
        "{ready} of {RESTARTED} ready, known {known}, {service:?}: {took:?}"
    );
}

fn on_one_thread(test: impl Future<Output = ()>) {
    let _alone = alone();
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

#[test]
fn relays_restarted_together_are_ready_in_time_with_discovery_up_or_slow() {
    on_one_thread(async {
        // Calls queue, and who waits longer than the service bears is failed.
        let slow = ServiceModel { call_cost_ms: 100.0, queue_timeout_ms: 500.0, ..ServiceModel::default() };
        for known in [true, false] {
            ready_whatever_discovery_does(ServiceModel::default(), known).await;
            ready_whatever_discovery_does(slow.clone(), known).await;
        }
    });
}

#[test]
fn relays_restarted_together_are_ready_in_time_with_discovery_down_or_mute() {
    on_one_thread(async {
        let down = ServiceModel { down: true, ..ServiceModel::default() };
        let mute = ServiceModel { unresponsive: true, ..ServiceModel::default() };
        for known in [true, false] {
            ready_whatever_discovery_does(down.clone(), known).await;
            ready_whatever_discovery_does(mute.clone(), known).await;
        }
        // Nobody listens there.
        let mut rig =
            TestCluster::new(ClusterConfig::new(env!("CARGO_BIN_EXE_sandgw"), RESTARTED, 4)).await.unwrap();
        for relay in &mut rig.relays {
            relay.config.discovery = free_address().unwrap();
        }
        let took = restarted(&mut rig).await;
        assert!(took.len() * 10 >= RESTARTED * 9, "{} of {RESTARTED} ready: {took:?}", took.len());
    });
}

/// Something done again and again beside a test, until it is dropped.
struct Beside {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Beside {
    fn start(pause: Duration, mut step: impl FnMut() + Send + 'static) -> Beside {
        let over = Arc::new(AtomicBool::new(false));
        let seen = over.clone();
        let thread = Some(thread::spawn(move || {
            while !seen.load(Ordering::Relaxed) {
                step();
                thread::sleep(pause);
            }
        }));
        Beside { over, thread }
    }
}

impl Drop for Beside {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Keeps so many connections open that never ask for anything: silent ones, halves of a first line, and
/// such that had their last word and don't close. Whoever is closed on comes again.
fn crowd(relay: &Relay, clients: usize) -> Beside {
    let addresses = [relay.line.clone(), relay.rtmp.clone()];
    let words: [&[u8]; 5] = [b"", b"", b"OPEN 7 7 c=subti", b"what?\r\n", b"\x03\0\0"];
    let come = move |n: usize| {
        let mut stream = TcpStream::connect(&addresses[n % 2]).ok()?;
        stream.set_nonblocking(true).ok()?;
        stream.write_all(words[n % words.len()]).ok()?;
        Some((stream, Instant::now()))
    };
    let mut places: Vec<Option<(TcpStream, Instant)>> = (0..clients).map(&come).collect();
    Beside::start(Duration::from_millis(50), move || {
        for (n, place) in places.iter_mut().enumerate() {
            let stays = place.as_mut().is_some_and(|(stream, since)| match stream.read(&mut [0; 64]) {
                // The last word has come; it lingers for a while.
                Ok(n) if n > 0 => since.elapsed() < Duration::from_secs(2),
                Ok(_) => false,
                Err(e) => e.kind() == ErrorKind::WouldBlock,
            });
            if !stays {
                *place = come(n);
            }
        }
    })
}

/// Looks at a relay's descriptors all the time; the most that it was seen to hold.
fn most_descriptors(relay: &Arc<Relay>) -> (Beside, Arc<AtomicUsize>) {
    let most = Arc::new(AtomicUsize::new(0));
    let (relay, seen) = (relay.clone(), most.clone());
    let watch = Beside::start(Duration::from_millis(1), move || {
        seen.fetch_max(relay.descriptors(), Ordering::Relaxed);
    });
    (watch, most)
}

fn is_final(answer: &str) -> bool {
    answer == "UP 1" || answer == "UP 2" || answer == "BUSY 1500"
}

/// A connection's answer, which has to come whatever else goes on.
fn placed(relay: &Relay, what: &str) -> (Client, String) {
    let mut client = relay.client();
    client.0.get_ref().set_read_timeout(Some(LONG)).unwrap();
    let start = Instant::now();
    let answer = client.open("").line();
    assert!(is_final(&answer), "{what}: {answer:?} after {:?}", start.elapsed());
    assert!(start.elapsed() < Duration::from_secs(2) + SLACK, "{what}: answered after {:?}", start.elapsed());
    (client, answer)
}

/// Whether the RTMP listener is heard: it answers a handshake.
fn shakes_hands(relay: &Relay) -> bool {
    let mut stream = connect(&relay.rtmp);
    let hello = [&[3][..], &[0; 1536]].concat();
    stream.write_all(&hello).is_ok() && stream.read_exact(&mut [0; 1537]).is_ok()
}

fn filled(sockets: u32) {
    let _alone = alone();
    let endpoints = [Endpoint::lines("UP 1\r\n"), Endpoint::lines("UP 2\r\n")];
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoints[0].address, "Ready", 0);
    let relay = Arc::new(Relay::start_with(&discovery, sockets));
    let (watch, most) = most_descriptors(&relay);
    discovery.down(true);
    discovery.set("s-2", &endpoints[1].address, "Ready", 0);
    discovery.set("s-1", &endpoints[0].address, "Terminating", 0);
    let crowd = crowd(&relay, 2 * sockets as usize);
    // Operators take their share as well.
    let _callers: Vec<TcpStream> = (0..12).map(|_| connect(&relay.ops)).collect();
    let mut served = 0;
    let mut held = Vec::new();
    for n in 0..40 {
        let (client, answer) = placed(&relay, "while discovery is down");
        served += usize::from(answer == "UP 1");
        // A few stand all the time; the others make room for those who follow.
        if n < 4 {
            held.push(client);
        }
    }
    assert!(served >= 20, "{served} of 40 were served while discovery was down");
    assert!((0..10).filter(|_| shakes_hands(&relay)).count() >= 5, "the RTMP front is not heard");
    relay.configure(&relay.configuration());
    discovery.down(false);
    let back = Instant::now();
    until("a new flow goes where the new list says", || placed(&relay, "at the return").1 == "UP 2");
    let told = back.elapsed();
    assert!(told < Duration::from_secs(7) + SLACK, "the list came after {told:?}");
    let after: Vec<_> = (0..20).map(|_| placed(&relay, "after the return").1).collect();
    assert!(after.iter().filter(|answer| *answer == "UP 2").count() >= 10, "{after:?}");
    assert!(held.iter_mut().all(|connection| {
        let _ = connection.0.get_mut().write_all(b"still?\r\n");
        matches!(connection.line().as_str(), "still?" | "(end)")
    }));
    drop(crowd);
    drop(watch);
    let most = most.load(Ordering::Relaxed);
    println!("{most} descriptors of {sockets} at the most, {served} of 40 served, told after {told:?}");
    assert!(most <= sockets as usize, "{most} descriptors of {sockets}");
    let log = relay.log();
    assert!(!log.contains("accept:") && !log.contains("os error 24"), "{log}");
}

#[test]
fn idle_clients_leave_the_list_call_and_the_flows_a_descriptor() {
    filled(256);
}

/// The least that a configuration may name.
#[test]
fn the_smallest_process_has_a_descriptor_for_all_that_is_its_own() {
    filled(64);
}

/// Far more clients come together than there is room for, and have asked before the first is heard: who
/// makes room for the next is answered as well, and not closed on without a word.
#[test]
fn newcomers_who_make_room_for_each_other_are_answered() {
    let _alone = alone();
    let endpoint = Endpoint::lines("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start_limited(&discovery, "ulimit -n 1024", 64, &[host()], 0, "");
    let mut answers = Vec::new();
    for _ in 0..4 {
        relay.freeze();
        let mut clients: Vec<_> = (0..200).map(|_| relay.client()).collect();
        for client in &mut clients {
            client.open("");
        }
        relay.signal("CONT");
        answers.extend(clients.iter_mut().map(Client::line));
    }
    let unanswered = answers.iter().filter(|answer| !is_final(answer)).count();
    assert_eq!(unanswered, 0, "of {}: {answers:?}", answers.len());
}

/// In a full house clients ask and leave in one breath: they wait for a descriptor that somebody else has
/// to give back, and are gone by then. Each is answered at once, and nothing is sent for them.
#[test]
fn clients_that_leave_as_they_wait_for_a_descriptor_are_answered_and_not_placed() {
    const PLACES: usize = 32;
    let _alone = alone();
    let endpoint = Endpoint::lines("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start_limited(&discovery, "ulimit -n 1024", 64, &[host()], 0, "");
    let mut clients: Vec<_> = (0..PLACES).map(|_| relay.client()).collect();
    // All are there, and hold all places.
    clients.iter_mut().for_each(|client| assert_eq!(client.send("PING\r\n").line(), "PONG"));
    relay.freeze();
    for client in clients.iter_mut().rev().take(PLACES / 2) {
        client.open(",g=gone");
        client.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }
    relay.signal("CONT");
    let start = Instant::now();
    for client in clients.iter_mut().rev().take(PLACES / 2) {
        let answer = client.line();
        assert!(answer == "ERR" || answer == "BUSY 1500", "{answer}");
        assert_eq!(client.line(), "(end)");
    }
    assert!(start.elapsed() < SLACK, "answered after {:?}", start.elapsed());
    assert!(is_final(&relay.client().open(",g=after").line()));
    let seen = endpoint.seen();
    assert!(!seen.iter().any(|line| line.contains("g=gone")), "{seen:?}");
}

/// Those who send megabytes at once, a byte a second, or nothing until they are ended get their error or
/// are closed on in time; meanwhile connections are served.
#[test]
fn floods_are_ended_in_time_and_flows_are_served_meanwhile() {
    let _alone = alone();
    let endpoint = Endpoint::lines("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Arc::new(Relay::start_with(&discovery, 256));
    let mut bad = Vec::new();
    for n in 0..72 {
        let address = if n % 2 == 0 { relay.line.clone() } else { relay.rtmp.clone() };
        bad.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(40 * n as u64));
            let (stream, start) = (connect(&address), Instant::now());
            match n / 2 % 3 {
                0 => floods(stream),
                1 => drips(stream),
                _ => drop((&stream).read_to_end(&mut Vec::new())),
            }
            (n, start.elapsed())
        }));
    }
    let mut served = 0;
    for _ in 0..80 {
        let (_client, answer) = placed(&relay, "beside floods");
        served += usize::from(answer == "UP 1");
        thread::sleep(Duration::from_millis(50));
    }
    let ended: Vec<_> = bad.into_iter().map(|thread| thread.join().unwrap()).collect();
    let late: Vec<_> = ended.iter().filter(|(_, took)| *took > ENDED + SLACK).collect();
    assert!(late.is_empty(), "ended too late: {late:?}");
    assert!(served >= 72, "{served} of 80 flows were served beside floods");
    let log = relay.log();
    assert!(!log.contains("accept:"), "{log}");
}

/// Sends megabytes at once, and goes when nobody takes them any more.
fn floods(mut stream: TcpStream) {
    let _ = (0..8).try_for_each(|_| stream.write_all(&[b'k'; 1 << 20]));
}

/// Sends a byte a second until the connection is ended.
fn drips(mut stream: TcpStream) {
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    loop {
        if stream.write_all(b"O").is_err() {
            return;
        }
        match stream.read(&mut [0; 64]) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}
