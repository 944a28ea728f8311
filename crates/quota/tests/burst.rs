//! Bursts of one tenant that reach several relays before the relays know of each other's part of the burst.

mod common;

use common::{Cluster, Outcome, tenant_name};
use sandgw_quota::policy::ScarcitySignals;
use sandgw_quota::tenants::Tenant;

/// The tenant's quota of connections.
const LIMIT: usize = 60;
/// Connections that arrive at the same time.
const BURST: usize = 240;
const ENDPOINTS_FULL: ScarcitySignals =
    ScarcitySignals { concurrency_limit_reduced: false, endpoints: true, descriptors: false };

/// The relays that a burst reaches.
#[derive(Clone, Copy, Debug)]
enum Reach {
    All,
    Half,
    One,
}

impl Reach {
    fn relays(self, relay_count: usize) -> usize {
        match self {
            Reach::All => relay_count,
            Reach::Half => relay_count.div_ceil(2),
            Reach::One => 1,
        }
    }
}

/// A cluster in which all of the quota except `remaining` connections is in use, at random relays, and all
/// relays know of it.
fn settled_cluster(relay_count: u32, remaining: usize, seed: u64) -> Cluster {
    let tenant = Tenant { name: tenant_name(0), connections: Some(LIMIT as f64), per_s: None };
    let mut cluster = Cluster::new(relay_count, vec![tenant], seed);
    (remaining..LIMIT).for_each(|_| cluster.open(0, false, ScarcitySignals::default()));
    // By then the initial arrivals no longer count in the rates, and all relays have reported.
    cluster.run(60_000.0, |_| {});
    cluster.sent = 0;
    cluster
}

/// Connections arrive at the same time, in turn at the `reached` relays from `first` on.
fn burst(cluster: &mut Cluster, arrivals: usize, first: usize, reached: usize) {
    let relays = cluster.relays.len();
    for i in 0..arrivals {
        cluster.open_at((first + i % reached) % relays, 0, false, ENDPOINTS_FULL);
    }
}

/// The mean over seeds of two results of a burst: the ratio of the connections admitted within a second to
/// those that remained of the quota, and the datagrams per relay beyond those of a second without a burst.
fn measure_burst(relays: u32, reach: Reach, remaining: usize, loss: f64) -> (f64, f64) {
    const SEEDS: u64 = 5;
    let (mut admitted, mut datagrams) = (0.0, 0.0);
    for seed in 0..SEEDS {
        let mut cluster = settled_cluster(relays, remaining, seed);
        (cluster.loss, cluster.duplication) = (loss, loss);
        let baseline_datagrams =
            f64::from(relays) * if relays <= 8 { f64::from(relays - 1) / 0.6 } else { 2.0 };
        let first = seed as usize * 7 % relays as usize;
        burst(&mut cluster, BURST, first, reach.relays(relays as usize));
        cluster.run(1000.0, |_| {});
        admitted += cluster.true_connections(0) - (LIMIT - remaining) as f64;
        datagrams += cluster.sent as f64 - baseline_datagrams;
    }
    let runs = SEEDS as f64;
    (admitted / runs / remaining as f64, datagrams / runs / f64::from(relays))
}

/// Guards against relays that each admit all that remains of a quota, since each has to guess the others'
/// part of the burst.
#[test]
fn a_burst_is_admitted_up_to_the_quota_however_many_relays_it_reaches() {
    let mut failures = Vec::new();
    for loss in [0.0, 0.2] {
        for relays in [3, 8, 20, 100, 300] {
            for reach in [Reach::All, Reach::Half, Reach::One] {
                for remaining in [10, 40] {
                    let (admitted, datagrams) = measure_burst(relays, reach, remaining, loss);
                    let row = format!(
                        "{relays} relays, {reach:?}, {remaining} remaining, {loss} lost: \
                         {admitted:.2} of these admitted, {datagrams:.2} additional datagrams per relay"
                    );
                    println!("{row}");
                    let max_admitted = if relays <= 8 { 1.25 } else { 1.5 };
                    if !(0.7..=max_admitted).contains(&admitted) {
                        failures.push(row);
                    }
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against the rejection of clients within their quota because they all arrive at one relay.
#[test]
fn clients_within_their_quota_are_admitted_at_whichever_relay_they_arrive() {
    for relays in [3, 8, 20, 100, 300] {
        let (mut arrived, mut admitted) = (0, 0);
        for seed in 0..10 {
            let mut cluster = settled_cluster(relays, 15, seed);
            let at = seed as usize * 7 % relays as usize;
            for _ in 0..6 {
                arrived += 1;
                admitted += usize::from(cluster.open_at(at, 0, false, ENDPOINTS_FULL) == Outcome::Admitted);
            }
            cluster.run(1000.0, |_| {});
            admitted += cluster.decided.iter().filter(|decided| decided.is_admitted).count();
        }
        let admitted_ratio = admitted as f64 / arrived as f64;
        println!("{relays} relays: {admitted_ratio:.3} of the clients within their quota admitted");
        assert!(admitted_ratio >= 0.97, "{relays}: {admitted_ratio}");
    }
}

/// Guards against wrong admissions after the coordinator is killed, in case its grants, or the connections of
/// killed relays, are forgotten with it.
#[test]
fn a_burst_after_the_coordinator_is_killed_fills_the_quota_within_bounds() {
    for relays in [3, 8, 20, 100, 300] {
        for seed in 0..5 {
            let mut cluster = settled_cluster(relays, 20, seed);
            // The first relay in the collector order, relay 0, is the coordinator.
            cluster.kill(0);
            let open = cluster.true_connections(0);
            for _ in 0..10 {
                burst(&mut cluster, BURST / 10, 1, relays as usize - 1);
                cluster.run(400.0, |_| {});
            }
            let admitted = cluster.true_connections(0) - open;
            let free = LIMIT as f64 - open;
            println!("{relays} relays, seed {seed}: {admitted} of {free} admitted in 4 s after the kill");
            assert!((0.7 * free..=1.5 * free).contains(&admitted), "{relays}: {admitted} of {free}");
        }
    }
}

/// Guards against a partition in which each half admits the whole quota.
#[test]
fn the_halves_of_a_partition_admit_no_more_than_the_quota() {
    for relays in [4, 8, 20, 100, 300] {
        let mut cluster = settled_cluster(relays, LIMIT, 1);
        cluster.relays.iter_mut().skip(relays as usize / 2).for_each(|relay| relay.side = 1);
        cluster.run(12_000.0, |_| {});
        for _ in 0..5 {
            burst(&mut cluster, BURST, 0, relays as usize);
            cluster.run(1000.0, |_| {});
        }
        let open = cluster.true_connections(0);
        println!("{relays} relays partitioned in halves: {open} of {LIMIT} connections open");
        assert!(open <= LIMIT as f64 * 1.1 && open >= LIMIT as f64 * 0.5, "{relays}: {open}");
    }
}
