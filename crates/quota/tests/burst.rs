//! Bursts of one tenant that reach several relays before they know of each other's part.

mod common;

use common::{Cluster, Opening, tenant_name};
use sandgw_quota::policy::ScarcitySignals;
use sandgw_quota::tenants::Tenant;

/// The tenant's quota of connections.
const LIMIT: usize = 60;
/// Connections that arrive in one instant.
const BURST: usize = 240;
const FULL: ScarcitySignals = ScarcitySignals { window: false, endpoints: true, descriptors: false };

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

/// A cluster in which all of the quota but `left` is in use, at random, and known to all.
fn settled(relay_count: u32, left: usize, seed: u64) -> Cluster {
    let tenant = Tenant { name: tenant_name(0), connections: Some(LIMIT as f64), per_s: None };
    let mut cluster = Cluster::new(relay_count, vec![tenant], seed);
    (left..LIMIT).for_each(|_| cluster.open(0, false, ScarcitySignals::default()));
    // The arrivals of the start have faded from the rates, and all reports are in.
    cluster.run(60_000.0, |_| {});
    cluster.sent = 0;
    cluster
}

/// So many arrive at once, in turn at the relays from `first` on that the burst reaches.
fn burst(cluster: &mut Cluster, arrivals: usize, first: usize, reached: usize) {
    let relays = cluster.relays.len();
    for i in 0..arrivals {
        cluster.open_at((first + i % reached) % relays, 0, false, FULL);
    }
}

/// The part of what was left that is admitted within a second after a burst, in the mean over seeds, and the
/// datagrams a relay that the second took beyond those of a calm one.
fn play(relays: u32, reach: Reach, left: usize, loss: f64) -> (f64, f64) {
    const SEEDS: u64 = 5;
    let (mut admitted, mut datagrams) = (0.0, 0.0);
    for seed in 0..SEEDS {
        let mut cluster = settled(relays, left, seed);
        (cluster.loss, cluster.duplication) = (loss, loss);
        let calm = f64::from(relays) * if relays <= 8 { f64::from(relays - 1) / 0.6 } else { 2.0 };
        let first = seed as usize * 7 % relays as usize;
        burst(&mut cluster, BURST, first, reach.relays(relays as usize));
        cluster.run(1000.0, |_| {});
        admitted += cluster.truth(0) - (LIMIT - left) as f64;
        datagrams += cluster.sent as f64 - calm;
    }
    let runs = SEEDS as f64;
    (admitted / runs / left as f64, datagrams / runs / f64::from(relays))
}

/// Guards against relays that each admit what is left of a quota, since each guesses at the others' part.
#[test]
fn a_burst_is_admitted_as_far_as_the_quota_has_room_however_many_relays_it_reaches() {
    let mut faults = Vec::new();
    for loss in [0.0, 0.2] {
        for relays in [3, 8, 20, 100, 300] {
            for reach in [Reach::All, Reach::Half, Reach::One] {
                for left in [10, 40] {
                    let (admitted, datagrams) = play(relays, reach, left, loss);
                    let row = format!(
                        "{relays} relays, {reach:?}, {left} left, {loss} lost: {admitted:.2} of it admitted, \
                         {datagrams:.2} datagrams a relay more"
                    );
                    println!("{row}");
                    let most = if relays <= 8 { 1.25 } else { 1.5 };
                    if !(0.7..=most).contains(&admitted) {
                        faults.push(row);
                    }
                }
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against clients within their quota that are rejected since they all come to one relay.
#[test]
fn clients_within_their_quota_are_served_wherever_they_arrive() {
    for relays in [3, 8, 20, 100, 300] {
        let (mut arrived, mut served) = (0, 0);
        for seed in 0..10 {
            let mut cluster = settled(relays, 15, seed);
            let at = seed as usize * 7 % relays as usize;
            for _ in 0..6 {
                arrived += 1;
                served += usize::from(cluster.open_at(at, 0, false, FULL) == Opening::Admitted);
            }
            cluster.run(1000.0, |_| {});
            served += cluster.settled.iter().filter(|settled| settled.is_admitted).count();
        }
        let part = served as f64 / arrived as f64;
        println!("{relays} relays: {part:.3} of those within their quota served");
        assert!(part >= 0.97, "{relays}: {part}");
    }
}

/// Guards against a grantor that takes its grants, or the connections of relays that died, with it.
#[test]
fn a_burst_beside_a_kill_is_bounded_and_what_the_dead_had_comes_back() {
    for relays in [3, 8, 20, 100, 300] {
        for seed in 0..5 {
            let mut cluster = settled(relays, 20, seed);
            // The first of the collectors' order is the coordinator.
            cluster.kill(0);
            let open = cluster.truth(0);
            for _ in 0..10 {
                burst(&mut cluster, BURST / 10, 1, relays as usize - 1);
                cluster.run(400.0, |_| {});
            }
            let admitted = cluster.truth(0) - open;
            let room = LIMIT as f64 - open;
            println!("{relays} relays, seed {seed}: {admitted} of {room} admitted in 4 s after the kill");
            assert!((0.7 * room..=1.5 * room).contains(&admitted), "{relays}: {admitted} of {room}");
        }
    }
}

/// Guards against rights that both halves of a partition have.
#[test]
fn the_halves_of_a_partition_admit_no_more_than_the_quota() {
    for relays in [4, 8, 20, 100, 300] {
        let mut cluster = settled(relays, LIMIT, 1);
        cluster.relays.iter_mut().skip(relays as usize / 2).for_each(|relay| relay.side = 1);
        cluster.run(12_000.0, |_| {});
        for _ in 0..5 {
            burst(&mut cluster, BURST, 0, relays as usize);
            cluster.run(1000.0, |_| {});
        }
        let open = cluster.truth(0);
        println!("{relays} relays in halves: {open} of {LIMIT}");
        assert!(open <= LIMIT as f64 * 1.1 && open >= LIMIT as f64 * 0.5, "{relays}: {open}");
    }
}
