//! Counts of tenants' connections in clusters of 4 to 312 relays, under loss, partitions and restarts.

mod common;

use common::{Cluster, ErrorStats};
use sandgw_quota::tenants::Tenant;

fn tenants() -> Vec<Tenant> {
    let quotas = [(178.0, 3.0), (172.0, 3.0), (34.0, 1.0)];
    let indexed = quotas.iter().enumerate();
    indexed
        .map(|(i, (connections, per_s))| Tenant {
            name: common::tenant_name(i),
            connections: Some(*connections),
            per_s: Some(*per_s),
        })
        .collect()
}

/// A cluster in which a tenant has 300 connections, at random relays, and all relays know of them.
fn settled_cluster(relays: u32, seed: u64, loss: f64) -> Cluster {
    let mut cluster = Cluster::new(relays, tenants(), seed);
    cluster.loss = loss;
    (0..300).for_each(|_| cluster.open(0, false, Default::default()));
    cluster.run(8000.0, |_| {});
    cluster.sent = 0;
    cluster
}

/// Runs the cluster while some connections open and close, and records the errors of the counts.
fn churn(cluster: &mut Cluster, duration_ms: f64, stats: &mut ErrorStats) {
    let mut step = 0;
    cluster.run(duration_ms, |cluster| {
        step += 1;
        if step % 5 == 0 {
            cluster.open(0, false, Default::default());
            cluster.close(0);
        }
        stats.observe(cluster, 0, 0.05);
    });
}

fn print_stats(label: &str, relays: u32, cluster: &Cluster, duration_ms: f64, stats: &ErrorStats) {
    let rate = cluster.sent as f64 / f64::from(relays) / duration_ms * 1000.0;
    println!(
        "{label}, {relays} relays: error above 5% for at most {:.0} ms, greatest error {:.1}%, \
         mean error {:.2}%, {:.1}% within bounds, {rate:.2} datagrams per relay per second",
        stats.longest_ms,
        100.0 * stats.max,
        100.0 * stats.mean(),
        100.0 * stats.fraction_within_bounds(),
    );
}

const CLUSTER_SIZES: [u32; 4] = [4, 32, 100, 312];

#[test]
fn counts_stay_accurate_despite_loss_duplicates_and_reordering() {
    for relays in CLUSTER_SIZES {
        let mut cluster = settled_cluster(relays, 1, 0.2);
        (cluster.duplication, cluster.max_delay_ms) = (0.2, 800.0);
        let mut stats = ErrorStats::default();
        churn(&mut cluster, 20_000.0, &mut stats);
        print_stats(
            "a fifth lost, a fifth duplicated, delayed by up to 800 ms",
            relays,
            &cluster,
            20_000.0,
            &stats,
        );
        assert!(stats.longest_ms <= 3000.0, "{relays}: {stats:?}");
    }
}

#[test]
fn rolling_restarts_neither_duplicate_nor_reset_the_counts() {
    for relays in CLUSTER_SIZES {
        let mut cluster = settled_cluster(relays, 2, 0.2);
        let mut stats = ErrorStats::default();
        let tenth = (relays as usize).div_ceil(10);
        let mut lowest_count = f64::INFINITY;
        for batch in 0..4 {
            let restarted: Vec<usize> = (batch * tenth..((batch + 1) * tenth).min(relays as usize)).collect();
            restarted.iter().for_each(|at| cluster.kill(*at));
            churn(&mut cluster, 1000.0, &mut stats);
            restarted.iter().for_each(|at| cluster.start(*at));
            churn(&mut cluster, 6000.0, &mut stats);
            lowest_count = cluster.views(0).map(|(_, v)| v.connections).fold(lowest_count, f64::min);
        }
        print_stats("a tenth of the relays killed and started at a time", relays, &cluster, 28_000.0, &stats);
        assert!(stats.longest_ms <= 3000.0 && lowest_count > 250.0, "{relays}: {lowest_count} {stats:?}");
    }
}

#[test]
fn another_collector_replaces_one_that_fails() {
    for relays in [32, 100, 312] {
        let mut cluster = settled_cluster(relays, 3, 0.2);
        let mut stats = ErrorStats::default();
        cluster.kill(0);
        churn(&mut cluster, 20_000.0, &mut stats);
        print_stats("collector killed", relays, &cluster, 20_000.0, &stats);
        assert!(stats.longest_ms <= 3000.0, "{relays}: {stats:?}");
        cluster.start(0);
        cluster.sent = 0;
        let mut stats = ErrorStats::default();
        churn(&mut cluster, 10_000.0, &mut stats);
        print_stats("collector restarted", relays, &cluster, 10_000.0, &stats);
        assert!(stats.longest_ms <= 3000.0, "after the collector's restart, {relays}: {stats:?}");
    }
}

/// During a partition neither half knows the usage of the other: the bounds allow for that, and the two
/// halves together admit no more than the quota. After the partition has healed, the counts are accurate
/// again.
#[test]
fn a_partitioned_cluster_stays_within_its_bounds_and_recovers() {
    for relays in CLUSTER_SIZES {
        let mut cluster = settled_cluster(relays, 4, 0.0);
        let half = relays / 2;
        cluster.relays.iter_mut().skip(half as usize).for_each(|r| r.side = 1);
        let mut partitioned = ErrorStats::default();
        churn(&mut cluster, 20_000.0, &mut partitioned);
        print_stats("partitioned in halves", relays, &cluster, 20_000.0, &partitioned);
        assert!(partitioned.fraction_within_bounds() > 0.95, "{relays}: {partitioned:?}");
        let limits: Vec<f64> = cluster.views(0).map(|(_, v)| v.limit).collect();
        assert!(limits.iter().all(|l| *l <= 0.5 * 178.0 + 1.0), "{limits:?}");
        cluster.relays.iter_mut().for_each(|r| r.side = 0);
        cluster.run(3000.0, |_| {});
        let mut healed = ErrorStats::default();
        churn(&mut cluster, 5000.0, &mut healed);
        print_stats("from 3 s after the partition healed", relays, &cluster, 28_000.0, &healed);
        assert!(healed.longest_ms < 500.0, "{relays}: {healed:?}");
    }
}

/// A relay that receives no reports has its own part of the quota, of at least one connection, and its bounds
/// widen with time.
#[test]
fn an_isolated_relay_has_its_own_part_of_the_quota() {
    for relays in CLUSTER_SIZES {
        let mut cluster = settled_cluster(relays, 5, 0.0);
        cluster.relays[1].side = 1;
        let view = |cluster: &Cluster| cluster.views(0).find(|(i, _)| *i == 1).unwrap().1;
        let before = view(&cluster);
        cluster.run(2000.0, |_| {});
        let soon = view(&cluster);
        assert!(soon.max > before.max && soon.limit == 178.0, "{relays}: {before:?} {soon:?}");
        cluster.run(18_000.0, |_| {});
        let alone = view(&cluster);
        assert_eq!((alone.reporters, alone.connections), (0.0, alone.local), "{relays}");
        assert_eq!(alone.limit, (178.0 / f64::from(relays)).max(1.0));
        assert!(alone.min <= 300.0 && alone.max >= 178.0, "{relays}: {alone:?}");
    }
}

/// A client that returns to another relay is counted at that relay at once, and no longer at its old relay.
#[test]
fn a_client_that_returns_to_another_relay_is_counted_once() {
    for relays in CLUSTER_SIZES {
        let mut cluster = settled_cluster(relays, 6, 0.0);
        for _ in 0..50 {
            cluster.close(0);
            cluster.open(0, true, Default::default());
        }
        cluster.run(2500.0, |_| {});
        let counts: Vec<f64> = cluster.views(0).map(|(_, v)| v.connections).collect();
        assert!(counts.iter().all(|c| *c == 300.0), "{relays}: {counts:?}");
    }
}

#[test]
fn restored_usage_counts_by_its_age() {
    let mut cluster = settled_cluster(32, 7, 0.0);
    let stored = cluster.relays[5].quotas.as_ref().unwrap().snapshot(cluster.now);
    let before = cluster.views(0).find(|(i, _)| *i == 5).unwrap().1;
    let local_connections = before.local;
    cluster.start(5);
    cluster.now += 2000.0;
    let now = cluster.now;
    let quotas = cluster.relays[5].quotas.as_mut().unwrap();
    quotas.restore(now, 2000.0, stored.clone());
    let soon = quotas.view(now, "member-0").unwrap();
    assert_eq!(
        soon.connections,
        before.connections - local_connections,
        "all connections except those that ended with the relay"
    );
    assert_eq!(quotas.view(now + 8000.0, "member-0").unwrap().connections, 0.0, "restored usage expires");
    cluster.start(5);
    let quotas = cluster.relays[5].quotas.as_mut().unwrap();
    quotas.restore(now, 60_000.0, stored);
    assert_eq!(
        quotas.view(now, "member-0").unwrap().connections,
        0.0,
        "stored usage that is too old is not restored"
    );
}

/// When there are more tenants than a datagram holds, successive reports carry them in turn.
#[test]
fn tenants_beyond_one_datagram_are_reported_in_turn() {
    let tenants: Vec<Tenant> =
        (0..60).map(|i| Tenant { name: common::tenant_name(i), ..Tenant::default() }).collect();
    for relays in [4, 32] {
        let mut cluster = Cluster::new(relays, tenants.clone(), 8);
        (0..60).for_each(|tenant| (0..=tenant).for_each(|_| cluster.open(tenant, false, Default::default())));
        cluster.run(9000.0, |_| {});
        for tenant in 0..60 {
            let wrong_count =
                cluster.views(tenant).filter(|(_, v)| v.connections != tenant as f64 + 1.0).count();
            assert_eq!(wrong_count, 0, "{relays} relays, tenant {tenant}");
        }
    }
}

/// A report that is duplicate, overtaken, or of an earlier incarnation of its relay changes nothing.
#[test]
fn duplicate_overtaken_and_earlier_incarnation_reports_are_ignored() {
    use sandgw_quota::ClusterPosition;
    use sandgw_quota::tenants::Tenants;
    use sandgw_quota::usage_gossip::{Usage, UsageReport, UsageRow};
    let tenants = Tenants::new(tenants()).unwrap();
    let tag = tenants.tags().next().unwrap();
    let position = ClusterPosition { local_index: 0, relay_count: 4, peer_messages: true };
    let mut quotas = sandgw_quota::QuotaManager::new(tenants, position, 0.0);
    let local = |incarnation, sequence, connections| {
        let rows = vec![UsageRow::new(tag, Usage { connections, per_s: 0.0 })];
        UsageReport::Local { incarnation, sequence, rows }
    };
    let steps = [(7, 1, 5.0, 5.0), (7, 3, 9.0, 9.0), (7, 2, 7.0, 9.0), (7, 3, 1.0, 9.0), (8, 1, 2.0, 2.0)];
    for (incarnation, sequence, open, counted) in steps.into_iter().chain([(7, 4, 10.0, 2.0)]) {
        quotas.handle_report(100.0, 1, local(incarnation, sequence, open), &mut Vec::new());
        assert_eq!(quotas.view(100.0, "member-0").unwrap().connections, counted, "{incarnation} {sequence}");
    }
}
