//! Tests of resource shortage with real processes over loopback: relays that are restarted together while
//! discovery is up, slow or down; idle clients that use up all descriptors; clients that send megabytes at
//! once, a byte a second, or nothing. Time limits are the documented ones plus `SLACK` for a busy machine.

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

/// Additional time that is allowed on a busy machine.
const SLACK: Duration = Duration::from_secs(3);
/// Time within which a misbehaving client gets an error or is disconnected.
const DISCONNECT_LIMIT: Duration = Duration::from_secs(3);

/// Makes these tests run one at a time, as each of them loads the machine.
fn acquire_test_lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Number of relays that are restarted together.
const RESTARTED_RELAYS: usize = 20;
/// Time within which nine in ten of the restarted relays are ready, in milliseconds.
const READY_LIMIT_MS: f64 = 10_000.0;

/// Restarts all relays at once. Returns the time in milliseconds that each took until it answered `PING`,
/// without the relays that never did.
async fn restart_all(cluster: &mut TestCluster) -> Vec<f64> {
    cluster.relays.iter_mut().for_each(|relay| relay.kill());
    let start = cluster.log.now();
    cluster.start(0.0).await.unwrap();
    let mut took = Vec::new();
    for relay in &cluster.relays {
        // The relays are awaited one after the other, so the time measured for a relay is an upper bound of
        // the time that it took.
        if relay.wait_ready((start + READY_LIMIT_MS - cluster.log.now()).max(100.0)).await.is_ok() {
            took.push(cluster.log.now() - start);
        }
    }
    took
}

/// Checks that the relays are ready in time while discovery behaves like `service`. `has_cached_list` says
/// whether they start with a cached endpoint list.
async fn check_restart(service: ServiceModel, has_cached_list: bool) {
    let mut config = ClusterConfig::new(env!("CARGO_BIN_EXE_sandgw"), RESTARTED_RELAYS, 4);
    (config.discovery, config.list_known_at_start) = (service, has_cached_list);
    let mut cluster = TestCluster::new(config).await.unwrap();
    let took = restart_all(&mut cluster).await;
    let (ready, service) =
        (took.iter().filter(|took| **took <= READY_LIMIT_MS).count(), &cluster.config.discovery);
    assert!(
        ready * 10 >= RESTARTED_RELAYS * 9,
        "{ready} of {RESTARTED_RELAYS} ready, cached list: {has_cached_list}, {service:?}: {took:?}"
    );
}

fn run_on_one_thread(test: impl Future<Output = ()>) {
    let _guard = acquire_test_lock();
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

#[test]
fn relays_restarted_together_are_ready_in_time_with_discovery_up_or_slow() {
    run_on_one_thread(async {
        // Calls queue at the service, and a call that waits longer than its queue time-out fails.
        let slow = ServiceModel { call_cost_ms: 100.0, queue_timeout_ms: 500.0, ..ServiceModel::default() };
        for has_cached_list in [true, false] {
            check_restart(ServiceModel::default(), has_cached_list).await;
            check_restart(slow.clone(), has_cached_list).await;
        }
    });
}

#[test]
fn relays_restarted_together_are_ready_in_time_with_discovery_down_or_unresponsive() {
    run_on_one_thread(async {
        let down = ServiceModel { down: true, ..ServiceModel::default() };
        let unresponsive = ServiceModel { unresponsive: true, ..ServiceModel::default() };
        for has_cached_list in [true, false] {
            check_restart(down.clone(), has_cached_list).await;
            check_restart(unresponsive.clone(), has_cached_list).await;
        }
        // No process listens at the discovery address.
        let mut cluster =
            TestCluster::new(ClusterConfig::new(env!("CARGO_BIN_EXE_sandgw"), RESTARTED_RELAYS, 4))
                .await
                .unwrap();
        for relay in &mut cluster.relays {
            relay.config.discovery = free_address().unwrap();
        }
        let took = restart_all(&mut cluster).await;
        assert!(
            took.len() * 10 >= RESTARTED_RELAYS * 9,
            "{} of {RESTARTED_RELAYS} ready: {took:?}",
            took.len()
        );
    });
}

/// Repeats a step on a thread of its own until dropped.
struct BackgroundTask {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundTask {
    fn start(pause: Duration, mut step: impl FnMut() + Send + 'static) -> BackgroundTask {
        let stopped = Arc::new(AtomicBool::new(false));
        let shared_stopped = stopped.clone();
        let thread = Some(thread::spawn(move || {
            while !shared_stopped.load(Ordering::Relaxed) {
                step();
                thread::sleep(pause);
            }
        }));
        BackgroundTask { stopped, thread }
    }
}

impl Drop for BackgroundTask {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Keeps `clients` connections open that never send a request: silent ones, ones that send part of a first
/// line, and ones that have got the final message and do not close. A client that the relay closes connects
/// again.
fn connect_idle_clients(relay: &Relay, clients: usize) -> BackgroundTask {
    let addresses = [relay.line.clone(), relay.rtmp.clone()];
    let first_bytes: [&[u8]; 5] = [b"", b"", b"OPEN 7 7 c=subti", b"what?\r\n", b"\x03\0\0"];
    let open_connection = move |n: usize| {
        let mut stream = TcpStream::connect(&addresses[n % 2]).ok()?;
        stream.set_nonblocking(true).ok()?;
        stream.write_all(first_bytes[n % first_bytes.len()]).ok()?;
        Some((stream, Instant::now()))
    };
    let mut connections: Vec<Option<(TcpStream, Instant)>> = (0..clients).map(&open_connection).collect();
    BackgroundTask::start(Duration::from_millis(50), move || {
        for (n, connection) in connections.iter_mut().enumerate() {
            let stays =
                connection.as_mut().is_some_and(|(stream, connected_at)| match stream.read(&mut [0; 64]) {
                    // The final message has arrived. The client keeps the connection open for a while.
                    Ok(n) if n > 0 => connected_at.elapsed() < Duration::from_secs(2),
                    Ok(_) => false,
                    Err(e) => e.kind() == ErrorKind::WouldBlock,
                });
            if !stays {
                *connection = open_connection(n);
            }
        }
    })
}

/// Counts a relay's descriptors every millisecond. Returns the sampler, and the largest number so far.
fn sample_descriptors(relay: &Arc<Relay>) -> (BackgroundTask, Arc<AtomicUsize>) {
    let most = Arc::new(AtomicUsize::new(0));
    let (relay, shared_most) = (relay.clone(), most.clone());
    let sampler = BackgroundTask::start(Duration::from_millis(1), move || {
        shared_most.fetch_max(relay.descriptors(), Ordering::Relaxed);
    });
    (sampler, most)
}

fn is_final(answer: &str) -> bool {
    answer == "UP 1" || answer == "UP 2" || answer == "BUSY 1500"
}

/// Sends a request, and checks that a final answer arrives in time whatever the load on the relay.
fn request_answer(relay: &Relay, context: &str) -> (Client, String) {
    let mut client = relay.client();
    client.0.get_ref().set_read_timeout(Some(LONG)).unwrap();
    let start = Instant::now();
    let answer = client.open("").line();
    assert!(is_final(&answer), "{context}: {answer:?} after {:?}", start.elapsed());
    assert!(
        start.elapsed() < Duration::from_secs(2) + SLACK,
        "{context}: answered after {:?}",
        start.elapsed()
    );
    (client, answer)
}

/// Whether the RTMP listener answers a handshake.
fn answers_handshake(relay: &Relay) -> bool {
    let mut stream = connect(&relay.rtmp);
    let handshake = [&[3][..], &[0; 1536]].concat();
    stream.write_all(&handshake).is_ok() && stream.read_exact(&mut [0; 1537]).is_ok()
}

fn check_full_relay(sockets: u32) {
    let _guard = acquire_test_lock();
    let endpoints = [Endpoint::lines("UP 1\r\n"), Endpoint::lines("UP 2\r\n")];
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoints[0].address, "Ready", 0);
    let relay = Arc::new(Relay::start_with(&discovery, sockets));
    let (sampler, most) = sample_descriptors(&relay);
    discovery.down(true);
    discovery.set("s-2", &endpoints[1].address, "Ready", 0);
    discovery.set("s-1", &endpoints[0].address, "Terminating", 0);
    let idle_clients = connect_idle_clients(&relay, 2 * sockets as usize);
    // Operators' calls use descriptors as well.
    let _callers: Vec<TcpStream> = (0..12).map(|_| connect(&relay.ops)).collect();
    let mut served = 0;
    let mut held = Vec::new();
    for n in 0..40 {
        let (client, answer) = request_answer(&relay, "while discovery is down");
        served += usize::from(answer == "UP 1");
        // A few connections stay established; the others are closed and leave room for the next ones.
        if n < 4 {
            held.push(client);
        }
    }
    assert!(served >= 20, "{served} of 40 were served while discovery was down");
    assert!((0..10).filter(|_| answers_handshake(&relay)).count() >= 5, "the RTMP listener does not answer");
    relay.configure(&relay.configuration());
    discovery.down(false);
    let back_at = Instant::now();
    until("requests use the new list", || request_answer(&relay, "when discovery is back").1 == "UP 2");
    let applied_after = back_at.elapsed();
    assert!(
        applied_after < Duration::from_secs(7) + SLACK,
        "the relay applied the new list after {applied_after:?}"
    );
    let after: Vec<_> = (0..20).map(|_| request_answer(&relay, "after discovery is back").1).collect();
    assert!(after.iter().filter(|answer| *answer == "UP 2").count() >= 10, "{after:?}");
    assert!(held.iter_mut().all(|connection| {
        let _ = connection.0.get_mut().write_all(b"still?\r\n");
        matches!(connection.line().as_str(), "still?" | "(end)")
    }));
    drop(idle_clients);
    drop(sampler);
    let most = most.load(Ordering::Relaxed);
    println!(
        "at most {most} of {sockets} descriptors, {served} of 40 served, new list after {applied_after:?}"
    );
    assert!(most <= sockets as usize, "{most} descriptors used of {sockets}");
    let log = relay.log();
    assert!(!log.contains("accept:") && !log.contains("os error 24"), "{log}");
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_and_requests() {
    check_full_relay(256);
}

/// Tests the lowest descriptor limit that a configuration may set.
#[test]
fn the_lowest_descriptor_limit_suffices_for_the_relay_itself() {
    check_full_relay(64);
}

/// More clients connect at once than the relay has capacity for, and all have sent their requests before the
/// relay reads the first: a client that is evicted for the next one gets an answer too, and is not closed
/// without one.
#[test]
fn clients_that_are_evicted_for_newer_clients_are_answered() {
    let _guard = acquire_test_lock();
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

/// Clients of a relay at capacity send a request and close their sending side at once, so that they have left
/// by the time another connection releases a descriptor. Each is answered at once, and none is forwarded.
#[test]
fn clients_that_leave_while_waiting_for_a_descriptor_are_answered_and_not_forwarded() {
    const CLIENT_CAPACITY: usize = 32;
    let _guard = acquire_test_lock();
    let endpoint = Endpoint::lines("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Relay::start_limited(&discovery, "ulimit -n 1024", 64, &[host()], 0, "");
    let mut clients: Vec<_> = (0..CLIENT_CAPACITY).map(|_| relay.client()).collect();
    // All clients are accepted, and use the whole capacity.
    clients.iter_mut().for_each(|client| assert_eq!(client.send("PING\r\n").line(), "PONG"));
    relay.freeze();
    for client in clients.iter_mut().rev().take(CLIENT_CAPACITY / 2) {
        client.open(",g=gone");
        client.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }
    relay.signal("CONT");
    let start = Instant::now();
    for client in clients.iter_mut().rev().take(CLIENT_CAPACITY / 2) {
        let answer = client.line();
        assert!(answer == "ERR" || answer == "BUSY 1500", "{answer}");
        assert_eq!(client.line(), "(end)");
    }
    assert!(start.elapsed() < SLACK, "answered after {:?}", start.elapsed());
    assert!(is_final(&relay.client().open(",g=after").line()));
    let seen = endpoint.seen();
    assert!(!seen.iter().any(|line| line.contains("g=gone")), "{seen:?}");
}

/// Clients that send megabytes at once, a byte a second, or nothing get an error or are disconnected in time,
/// and the relay serves connections meanwhile.
#[test]
fn misbehaving_clients_are_disconnected_in_time_and_requests_are_served_meanwhile() {
    let _guard = acquire_test_lock();
    let endpoint = Endpoint::lines("UP 1\r\n");
    let discovery = Discovery::start();
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let relay = Arc::new(Relay::start_with(&discovery, 256));
    let mut misbehaving = Vec::new();
    for n in 0..72 {
        let address = if n % 2 == 0 { relay.line.clone() } else { relay.rtmp.clone() };
        misbehaving.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(40 * n as u64));
            let (stream, start) = (connect(&address), Instant::now());
            match n / 2 % 3 {
                0 => send_flood(stream),
                1 => send_slowly(stream),
                _ => drop((&stream).read_to_end(&mut Vec::new())),
            }
            (n, start.elapsed())
        }));
    }
    let mut served = 0;
    for _ in 0..80 {
        let (_client, answer) = request_answer(&relay, "during floods");
        served += usize::from(answer == "UP 1");
        thread::sleep(Duration::from_millis(50));
    }
    let disconnected: Vec<_> = misbehaving.into_iter().map(|thread| thread.join().unwrap()).collect();
    let late: Vec<_> = disconnected.iter().filter(|(_, took)| *took > DISCONNECT_LIMIT + SLACK).collect();
    assert!(late.is_empty(), "disconnected too late: {late:?}");
    assert!(served >= 72, "{served} of 80 requests were served during floods");
    let log = relay.log();
    assert!(!log.contains("accept:"), "{log}");
}

/// Sends megabytes at once, and stops when the relay no longer reads them.
fn send_flood(mut stream: TcpStream) {
    let _ = (0..8).try_for_each(|_| stream.write_all(&[b'k'; 1 << 20]));
}

/// Sends a byte a second until the connection is closed.
fn send_slowly(mut stream: TcpStream) {
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
