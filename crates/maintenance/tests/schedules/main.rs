//! Random schedules in memory: twelve relays, four zones, faults between them, and invariants
//! checked after every step.

mod tier;

use rand::RngExt;
use sandgw_maintenance::call::NamedScope;
use sandgw_maintenance::replicated_ledger::WindowStatus;
use sandgw_maintenance::{CapacityShare, Timing, WindowId, codec};

use tier::{CLOCK_SKEW_BOUND, LEASE, MANY_FAULTS, NO_FAULTS, Tier};

/// What a schedule has shown.
struct Outcome {
    violations: u32,
    granted: usize,
    longest_datagram: usize,
}

/// Runs one random schedule with faults.
fn run_with_faults(seed: u64, timing: Timing) -> Outcome {
    let mut tier = Tier::new(seed, MANY_FAULTS, timing);
    tier.run(LEASE + 200);
    for _ in 0..15 {
        tier.random_call();
        tier.run(1000);
    }
    tier.run(12_000);
    Outcome {
        violations: tier.violations,
        granted: tier.granted_at.len(),
        longest_datagram: tier.longest_datagram,
    }
}

fn timing() -> Timing {
    Timing::for_lease(LEASE, CLOCK_SKEW_BOUND)
}

#[test]
fn the_floor_is_broken_in_none_of_200_drawn_schedules() {
    let mut windows = 0;
    for seed in 0..200 {
        let outcome = run_with_faults(seed, timing());
        assert_eq!(outcome.violations, 0, "seed {seed}");
        assert!(outcome.longest_datagram <= codec::MAX_BYTES, "{} bytes", outcome.longest_datagram);
        windows += outcome.granted;
    }
    println!("{windows} windows granted in 200 schedules");
    assert!(windows > 400, "{windows} windows granted: too few to show anything");
}

/// The invariants find faults: the same schedules with voters that take part at once after a restart.
#[test]
fn without_the_abstention_the_floor_breaks_in_some() {
    let timing = Timing { abstention: 0, ..timing() };
    assert!((0..200).any(|seed| run_with_faults(seed, timing).violations > 0));
}

#[test]
fn without_faults_all_are_through_in_the_time_that_capacity_allows() {
    for seed in 0..5 {
        let mut tier = Tier::new(seed, NO_FAULTS, timing());
        tier.run(LEASE + 200);
        let started_at = tier.now;
        let mut min_span = 0;
        // At three relays at once; of zones one fits at a time, and windows of the same could go together.
        let mut ids = Vec::new();
        for n in 0..4u32 {
            let duration = tier.rng.random_range(10_000..30_000);
            let scope = NamedScope::Zone(format!("hall-{n}"), CapacityShare::All);
            ids.push(tier.request([1, 5, 10][n as usize % 3], scope, duration).unwrap());
            min_span += duration;
        }
        let all_ended = |tier: &Tier| {
            // A window that ended long ago is not listed any more.
            let status = |id: &WindowId| {
                let ledger = tier.services[id.relay as usize].ledger();
                ledger.local_windows().get(id).map(|local| local.status)
            };
            ids.iter().all(|id| status(id).is_none_or(|status| status == WindowStatus::Ended))
        };
        while !all_ended(&tier) && tier.now < started_at + 2 * min_span {
            tier.step();
        }
        let span = tier.now - started_at;
        println!("seed {seed}: {span} ms of at least {min_span}, {} datagrams", tier.datagrams);
        assert_eq!(tier.violations, 0);
        assert!(span as f64 <= 1.1 * min_span as f64, "{span} ms, where {min_span} would do");
    }
}

/// A whole zone waits while single endpoints are drained in turn, of which there are always enough
/// to keep it out.
#[test]
fn who_waits_longest_is_not_kept_out_by_those_that_fit() {
    let mut tier = Tier::new(1, NO_FAULTS, timing());
    tier.run(LEASE + 200);
    let mut zone = None;
    for n in 0..60u32 {
        // Of many durations: their ends never come together by chance.
        let relay = [1, 5][n as usize % 2];
        let endpoint = [0, 3, 9, 1, 4, 10, 2, 5, 11][n as usize % 9];
        let duration = 4000 + u64::from(n) * 977 % 2900;
        tier.request(relay, NamedScope::Endpoint(format!("s-{endpoint}")), duration);
        if n == 15 {
            zone = tier.request(10, NamedScope::Zone("hall-2".into(), CapacityShare::All), 5000);
        }
        tier.run(1200);
    }
    let zone = zone.unwrap();
    let granted_at = &tier.granted_at;
    let started_at = granted_at.get(&zone).expect("the zone is never granted");
    let overtook =
        granted_at.iter().filter(|(id, at)| id.requested_at > zone.requested_at && *at < started_at).count();
    let waited = started_at - zone.requested_at;
    println!("the zone started {waited} ms after its request, {overtook} overtook it");
    // Those before it are through in two turns, and it needs three of four places at once.
    assert!(waited <= 15_000, "{waited} ms");
    assert_eq!(tier.violations, 0);
}

/// A tier in which nobody requests anything is silent.
#[test]
fn nothing_is_told_where_nothing_is_asked_for() {
    let mut tier = Tier::new(1, NO_FAULTS, timing());
    tier.run(20_000);
    assert_eq!(tier.datagrams, 0);
    let id = tier.request(3, NamedScope::Endpoint("s-1".into()), 2000).unwrap();
    tier.run(20_000);
    assert!(tier.granted_at.contains_key(&id));
    let datagrams = tier.datagrams;
    tier.run(20_000);
    assert_eq!(tier.datagrams, datagrams, "silent again");
}
