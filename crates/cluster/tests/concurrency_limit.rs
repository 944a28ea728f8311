//! Many relays at one store that takes calls in turn: what they serve while it is slow, and how soon they
//! serve all again once it is quick.

use std::collections::VecDeque;

use sandgw_cluster::concurrency_limit::ConcurrencyLimit;

/// The wanted time of a set-up, and how long a client waits.
const OBJECTIVE_MS: f64 = 500.0;
const GIVE_UP: f64 = 3000.0;
const STEP: f64 = 5.0;

/// A connection that waits at its relay, is out, or whose client comes again later.
struct Connection {
    relay: usize,
    came: f64,
    sent: Option<f64>,
    again: f64,
}

/// Clients of so many relays, each of which comes again until it is served; how many are served in time or
/// late by each second. The store answers `rate` calls a second, those of clients that have left too.
fn play(relays: usize, clients: usize, rate: impl Fn(f64) -> f64, is_limited: bool) -> Vec<usize> {
    let mut limits: Vec<ConcurrencyLimit> = (0..relays).map(|_| ConcurrencyLimit::new(0.0)).collect();
    let come = |n: usize| n as f64 * 6000.0 / clients as f64;
    let mut connections: Vec<Option<Connection>> = (0..clients)
        .map(|n| Some(Connection { relay: n % relays, came: come(n), sent: None, again: come(n) }))
        .collect();
    // The store's turn: a connection, and when it was sent.
    let mut store: VecDeque<(usize, f64)> = VecDeque::new();
    let (mut served, mut credit, mut now) = (Vec::new(), 0.0, 0.0);
    let mut trying = vec![0u32; relays];
    while now < 30_000.0 {
        now += STEP;
        credit = (credit + rate(now) * STEP / 1000.0).min(10.0);
        while credit >= 1.0 && !store.is_empty() {
            credit -= 1.0;
            let Some((n, sent)) = store.pop_front() else { break };
            let Some(connection) = connections[n].as_ref().filter(|f| f.sent == Some(sent)) else { continue };
            let (relay, took) = (connection.relay, now - sent);
            trying[relay] -= 1;
            if took <= OBJECTIVE_MS {
                limits[relay].record_in_time(now, took / OBJECTIVE_MS);
            } else {
                limits[relay].record_late(now, n as u64, trying[relay], 200.0);
            }
            connections[n] = None;
            served.push(now);
        }
        for (n, connection) in connections.iter_mut().enumerate() {
            let Some(connection) = connection.as_mut().filter(|f| f.again <= now) else { continue };
            let limit = &mut limits[connection.relay];
            match connection.sent {
                // Alone taken for the endpoint's fault, and given up after the wanted time.
                Some(sent) if now - sent > OBJECTIVE_MS && !limit.fault_is_common(now) => {
                    trying[connection.relay] -= 1;
                    limit.record_late(now, n as u64, trying[connection.relay], 200.0);
                    connection.sent = None;
                }
                Some(sent) if now - connection.came > GIVE_UP => {
                    trying[connection.relay] -= 1;
                    limit.record_late(now, n as u64, trying[connection.relay], 200.0);
                    let again = sent.max(now) + 500.0;
                    (connection.sent, connection.came, connection.again) = (None, again, again);
                }
                Some(_) => {}
                None if is_limited
                    && limit.time_until_slot(now, trying[connection.relay], OBJECTIVE_MS) > 0.0 =>
                {
                    let wait = limit.expected_wait(now, trying[connection.relay], 0, OBJECTIVE_MS);
                    if now + wait + OBJECTIVE_MS > connection.came + GIVE_UP {
                        (connection.came, connection.again) = (now + 1000.0, now + 1000.0);
                    }
                }
                None => {
                    connection.sent = Some(now);
                    trying[connection.relay] += 1;
                    limit.record_attempt(now, connection.relay as u64);
                    store.push_back((n, now));
                }
            }
        }
    }
    (1..=30).map(|s| served.iter().filter(|at| **at <= f64::from(s) * 1000.0).count()).collect()
}

/// 1,200 clients come within six seconds to a store that answers 80 a second. Without a limit nearly all
/// calls are of clients that have left; with windows of one and more it would be so too, with 100 relays.
/// With three hundred, which see four clients each, all are out before any relay has seen three come late.
#[test]
fn a_slow_store_serves_what_it_can_with_up_to_a_hundred_relays() {
    for relays in [4, 32, 100] {
        let (with, without) = (play(relays, 1200, |_| 80.0, true), play(relays, 1200, |_| 80.0, false));
        println!("{relays} relays: {} served in 20 s, {} without a limit", with[19], without[19]);
        assert!(
            with[19] >= 400 && with[19] >= 3 * without[19],
            "{relays} relays: {} served in 20 s",
            with[19]
        );
    }
}

/// The store is quick again after 8 s: what waits is served at once, and nobody is left.
#[test]
fn a_store_that_is_quick_again_soon_serves_all() {
    for relays in [4, 312] {
        let served = play(relays, 1200, |now| if now < 8000.0 { 20.0 } else { 1000.0 }, true);
        println!("{relays} relays: {} by 8 s, {} by 14 s", served[7], served[13]);
        assert_eq!(served[19], 1200, "{relays} relays: {served:?}");
    }
}

/// Lateness at a single endpoint is that endpoint's: nothing waits for it.
#[test]
fn one_late_streamer_closes_no_window() {
    let mut limit = ConcurrencyLimit::new(0.0);
    for n in 0..50 {
        limit.record_late(f64::from(n) * 300.0, 1, 5, 200.0);
    }
    assert!(!limit.fault_is_common(15_000.0));
    assert_eq!(limit.time_until_slot(15_000.0, 50, OBJECTIVE_MS), 0.0);
}

/// A window that was closed as far as it goes opens by itself where nothing more is heard.
#[test]
fn a_closed_window_opens_again() {
    let mut limit = ConcurrencyLimit::new(0.0);
    (0..50u32).for_each(|n| limit.record_late(f64::from(n) * 300.0, u64::from(n), 1, 200.0));
    limit.record_attempt(15_000.0, 1);
    assert!(limit.time_until_slot(15_100.0, 0, OBJECTIVE_MS) > 1000.0);
    assert_eq!(limit.time_until_slot(50_000.0, 0, OBJECTIVE_MS), 0.0);
    limit.record_in_time(50_000.0, 0.1);
    assert_eq!(limit.time_until_slot(50_001.0, 0, OBJECTIVE_MS), 0.0, "a quick set-up has met no queue");
}
