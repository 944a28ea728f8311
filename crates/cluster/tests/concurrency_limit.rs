//! Simulates many relays before one store that handles calls one at a time: how many clients the relays serve
//! while the store is slow, and how soon they serve all clients once the store is quick again.

use std::collections::VecDeque;

use sandgw_cluster::concurrency_limit::ConcurrencyLimit;

/// The latency objective of a set-up; `CLIENT_TIMEOUT_MS` is how long a client waits.
const OBJECTIVE_MS: f64 = 500.0;
const CLIENT_TIMEOUT_MS: f64 = 3000.0;
const STEP_MS: f64 = 5.0;

/// A connection that waits at its relay, has a set-up in flight, or whose client retries later.
struct Connection {
    relay: usize,
    arrived: f64,
    sent: Option<f64>,
    retry_at: f64,
}

/// Simulates clients that retry at their relay until they are served. Returns how many clients were served by
/// the end of each second, in time or late. The store answers `rate` calls a second, including those of
/// clients that have left.
fn simulate(relays: usize, clients: usize, rate: impl Fn(f64) -> f64, is_limited: bool) -> Vec<usize> {
    let mut limits: Vec<ConcurrencyLimit> = (0..relays).map(|_| ConcurrencyLimit::new(0.0)).collect();
    let start = |n: usize| n as f64 * 6000.0 / clients as f64;
    let mut connections: Vec<Option<Connection>> = (0..clients)
        .map(|n| Some(Connection { relay: n % relays, arrived: start(n), sent: None, retry_at: start(n) }))
        .collect();
    // The store's queue: the index of a connection, and when its set-up was sent.
    let mut store: VecDeque<(usize, f64)> = VecDeque::new();
    let (mut served, mut credit, mut now) = (Vec::new(), 0.0, 0.0);
    let mut in_flight = vec![0u32; relays];
    while now < 30_000.0 {
        now += STEP_MS;
        credit = (credit + rate(now) * STEP_MS / 1000.0).min(10.0);
        while credit >= 1.0 && !store.is_empty() {
            credit -= 1.0;
            let Some((n, sent)) = store.pop_front() else { break };
            let Some(connection) = connections[n].as_ref().filter(|c| c.sent == Some(sent)) else { continue };
            let (relay, duration) = (connection.relay, now - sent);
            in_flight[relay] -= 1;
            if duration <= OBJECTIVE_MS {
                limits[relay].record_in_time(now, duration / OBJECTIVE_MS);
            } else {
                limits[relay].record_late(now, n as u64, in_flight[relay], 200.0);
            }
            connections[n] = None;
            served.push(now);
        }
        for (n, connection) in connections.iter_mut().enumerate() {
            let Some(connection) = connection.as_mut().filter(|c| c.retry_at <= now) else { continue };
            let limit = &mut limits[connection.relay];
            match connection.sent {
                // A single late set-up counts as the endpoint's fault and is given up after the latency
                // objective.
                Some(sent) if now - sent > OBJECTIVE_MS && !limit.fault_is_common(now) => {
                    in_flight[connection.relay] -= 1;
                    limit.record_late(now, n as u64, in_flight[connection.relay], 200.0);
                    connection.sent = None;
                }
                Some(sent) if now - connection.arrived > CLIENT_TIMEOUT_MS => {
                    in_flight[connection.relay] -= 1;
                    limit.record_late(now, n as u64, in_flight[connection.relay], 200.0);
                    let retry_at = sent.max(now) + 500.0;
                    (connection.sent, connection.arrived, connection.retry_at) = (None, retry_at, retry_at);
                }
                Some(_) => {}
                None if is_limited
                    && limit.time_until_slot(now, in_flight[connection.relay], OBJECTIVE_MS) > 0.0 =>
                {
                    let wait = limit.expected_wait(now, in_flight[connection.relay], 0, OBJECTIVE_MS);
                    if now + wait + OBJECTIVE_MS > connection.arrived + CLIENT_TIMEOUT_MS {
                        (connection.arrived, connection.retry_at) = (now + 1000.0, now + 1000.0);
                    }
                }
                None => {
                    connection.sent = Some(now);
                    in_flight[connection.relay] += 1;
                    limit.record_attempt(now, connection.relay as u64);
                    store.push_back((n, now));
                }
            }
        }
    }
    (1..=30).map(|s| served.iter().filter(|at| **at <= f64::from(s) * 1000.0).count()).collect()
}

/// 1,200 clients arrive within six seconds at a store that answers 80 calls a second. Without a limit nearly
/// all calls are those of clients that have left; with 100 relays, the same would happen if the limit were
/// never below one. With three hundred relays, which see four clients each, all set-ups are in flight before
/// any relay has observed three late ones.
#[test]
fn a_slow_store_serves_what_it_can_with_up_to_a_hundred_relays() {
    for relays in [4, 32, 100] {
        let (limited, unlimited) =
            (simulate(relays, 1200, |_| 80.0, true), simulate(relays, 1200, |_| 80.0, false));
        println!("{relays} relays: {} served in 20 s, {} without a limit", limited[19], unlimited[19]);
        assert!(
            limited[19] >= 400 && limited[19] >= 3 * unlimited[19],
            "{relays} relays: {} served in 20 s",
            limited[19]
        );
    }
}

/// The store is quick again after 8 s: the waiting clients are served at once, and all clients are served in
/// the end.
#[test]
fn a_store_that_has_recovered_soon_serves_all_clients() {
    for relays in [4, 312] {
        let served = simulate(relays, 1200, |now| if now < 8000.0 { 20.0 } else { 1000.0 }, true);
        println!("{relays} relays: {} by 8 s, {} by 14 s", served[7], served[13]);
        assert_eq!(served[19], 1200, "{relays} relays: {served:?}");
    }
}

/// Late set-ups at a single endpoint are that endpoint's fault: no set-up waits because of them.
#[test]
fn one_late_endpoint_does_not_cut_the_limit() {
    let mut limit = ConcurrencyLimit::new(0.0);
    for n in 0..50 {
        limit.record_late(f64::from(n) * 300.0, 1, 5, 200.0);
    }
    assert!(!limit.fault_is_common(15_000.0));
    assert_eq!(limit.time_until_slot(15_000.0, 50, OBJECTIVE_MS), 0.0);
}

/// A limit that was cut to its minimum rises by itself if nothing more is observed.
#[test]
fn a_cut_limit_rises_again() {
    let mut limit = ConcurrencyLimit::new(0.0);
    (0..50u32).for_each(|n| limit.record_late(f64::from(n) * 300.0, u64::from(n), 1, 200.0));
    limit.record_attempt(15_000.0, 1);
    assert!(limit.time_until_slot(15_100.0, 0, OBJECTIVE_MS) > 1000.0);
    assert_eq!(limit.time_until_slot(50_000.0, 0, OBJECTIVE_MS), 0.0);
    limit.record_in_time(50_000.0, 0.1);
    assert_eq!(
        limit.time_until_slot(50_001.0, 0, OBJECTIVE_MS),
        0.0,
        "a quick set-up has not waited in a queue"
    );
}
