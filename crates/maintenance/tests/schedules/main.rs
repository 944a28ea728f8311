//! Runs random schedules in an in-memory cluster of twelve relays and four zones. Faults are injected, and
//! invariants are checked after every step.

mod tier;

use rand::RngExt;
use sandgw_maintenance::call::NamedScope;
use sandgw_maintenance::replicated_ledger::WindowStatus;
use sandgw_maintenance::{CapacityShare, Timing, WindowId, codec};

use tier::{CLOCK_SKEW_BOUND, Cluster, LEASE, MANY_FAULTS, NO_FAULTS};

/// The result of a schedule.
struct Outcome {
    violations: u32,
    granted: usize,
    longest_datagram: usize,
}

/// Runs one random schedule with faults.
fn run_with_faults(seed: u64, timing: Timing) -> Outcome {
    let mut cluster = Cluster::new(seed, MANY_FAULTS, timing);
    cluster.run(LEASE + 200);
    for _ in 0..15 {
        cluster.random_call();
        cluster.run(1000);
    }
    cluster.run(12_000);
    Outcome {
        violations: cluster.violations,
        granted: cluster.granted_at.len(),
        longest_datagram: cluster.longest_datagram,
    }
}

fn timing() -> Timing {
    Timing::for_lease(LEASE, CLOCK_SKEW_BOUND)
}

#[test]
fn no_invariant_is_violated_in_200_random_schedules() {
    let mut granted_windows = 0;
    for seed in 0..200 {
        let outcome = run_with_faults(seed, timing());
        assert_eq!(outcome.violations, 0, "seed {seed}");
        assert!(outcome.longest_datagram <= codec::MAX_BYTES, "{} bytes", outcome.longest_datagram);
        granted_windows += outcome.granted;
    }
    println!("{granted_windows} windows granted in 200 schedules");
    assert!(granted_windows > 400, "{granted_windows} windows granted: too few for a meaningful test");
}

/// Checks that the invariants can detect violations: runs the same schedules with voters that do not abstain
/// after a restart.
#[test]
fn without_abstention_some_schedules_violate_an_invariant() {
    let timing = Timing { abstention: 0, ..timing() };
    assert!((0..200).any(|seed| run_with_faults(seed, timing).violations > 0));
}

#[test]
fn without_faults_windows_end_within_110_percent_of_the_minimum_time() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(seed, NO_FAULTS, timing());
        cluster.run(LEASE + 200);
        let started_at = cluster.now;
        let mut min_span = 0;
        // Three relays request windows at the same time. Windows of different zones fit only one at a time,
        // while windows of the same zone could be granted together.
        let mut ids = Vec::new();
        for n in 0..4u32 {
            let duration = cluster.rng.random_range(10_000..30_000);
            let scope = NamedScope::Zone(format!("hall-{n}"), CapacityShare::All);
            ids.push(cluster.request([1, 5, 10][n as usize % 3], scope, duration).unwrap());
            min_span += duration;
        }
        let all_ended = |cluster: &Cluster| {
            // A window that ended long ago is no longer listed.
            let status = |id: &WindowId| {
                let ledger = cluster.services[id.relay as usize].ledger();
                ledger.local_windows().get(id).map(|local| local.status)
            };
            ids.iter().all(|id| status(id).is_none_or(|status| status == WindowStatus::Ended))
        };
        while !all_ended(&cluster) && cluster.now < started_at + 2 * min_span {
            cluster.step();
        }
        let span = cluster.now - started_at;
        println!("seed {seed}: {span} ms of at least {min_span}, {} datagrams", cluster.datagrams);
        assert_eq!(cluster.violations, 0);
        assert!(span as f64 <= 1.1 * min_span as f64, "{span} ms, but the minimum is {min_span} ms");
    }
}

/// A window for a whole zone waits while windows for single endpoints are requested so often that they could
/// delay the zone's window forever.
#[test]
fn a_zone_window_is_not_starved_by_smaller_windows() {
    let mut cluster = Cluster::new(1, NO_FAULTS, timing());
    cluster.run(LEASE + 200);
    let mut zone_window = None;
    for n in 0..60u32 {
        // The durations differ, so that the windows do not end at the same time by chance.
        let relay = [1, 5][n as usize % 2];
        let endpoint = [0, 3, 9, 1, 4, 10, 2, 5, 11][n as usize % 9];
        let duration = 4000 + u64::from(n) * 977 % 2900;
        cluster.request(relay, NamedScope::Endpoint(format!("s-{endpoint}")), duration);
        if n == 15 {
            zone_window = cluster.request(10, NamedScope::Zone("hall-2".into(), CapacityShare::All), 5000);
        }
        cluster.run(1200);
    }
    let zone_window = zone_window.unwrap();
    let granted_at = &cluster.granted_at;
    let started_at = granted_at.get(&zone_window).expect("the zone's window was never granted");
    let overtook = granted_at
        .iter()
        .filter(|(id, at)| id.requested_at > zone_window.requested_at && *at < started_at)
        .count();
    let waited = started_at - zone_window.requested_at;
    println!("the zone's window started {waited} ms after its request, {overtook} windows overtook it");
    // The earlier windows need two rounds to finish, and the zone's window needs three of the four places at
    // once.
    assert!(waited <= 15_000, "{waited} ms");
    assert_eq!(cluster.violations, 0);
}

/// A cluster without open windows sends no datagrams.
#[test]
fn a_cluster_without_open_windows_sends_no_datagrams() {
    let mut cluster = Cluster::new(1, NO_FAULTS, timing());
    cluster.run(20_000);
    assert_eq!(cluster.datagrams, 0);
    let id = cluster.request(3, NamedScope::Endpoint("s-1".into()), 2000).unwrap();
    cluster.run(20_000);
    assert!(cluster.granted_at.contains_key(&id));
    let datagrams = cluster.datagrams;
    cluster.run(20_000);
    assert_eq!(cluster.datagrams, datagrams, "datagrams were sent without an open window");
}
