//! Members' counts in tiers of 4 to 312 relays, through loss, cuts and restarts.

mod common;

use common::{Cluster, ErrorStats};
use sandgw_quota::tenants::Tenant;

fn tenants() -> Vec<Tenant> {
    let share = [(178.0, 3.0), (172.0, 3.0), (34.0, 1.0)];
    let named = share.iter().enumerate();
    named
        .map(|(i, (c, r))| Tenant { name: common::tenant_name(i), connections: Some(*c), per_s: Some(*r) })
        .collect()
}

/// A cluster in which a tenant has 300 connections, at random, and has been told all round.
fn settled(relays: u32, seed: u64, loss: f64) -> Cluster {
    let mut cluster = Cluster::new(relays, tenants(), seed);
    cluster.loss = loss;
    (0..300).for_each(|_| cluster.open(0, false, Default::default()));
    cluster.run(8000.0, |_| {});
    cluster.sent = 0;
    cluster
}

/// Goes on for a while with some coming and going, and watches.
fn churn(cluster: &mut Cluster, span: f64, stats: &mut ErrorStats) {
    let mut step = 0;
    cluster.run(span, |cluster| {
        step += 1;
        if step % 5 == 0 {
            cluster.open(0, false, Default::default());
            cluster.close(0);
        }
        stats.observe(cluster, 0, 0.05);
    });
}

fn report(what: &str, relays: u32, cluster: &Cluster, span: f64, stats: &ErrorStats) {
    let rate = cluster.sent as f64 / f64::from(relays) / span * 1000.0;
    println!(
        "{what}, {relays} relays: over 5% off for {:.0} ms at the longest, {:.1}% at the most, {:.2}% in the mean, \
         {:.1}% within bounds, {rate:.2} datagrams a relay a second",
        stats.longest_ms,
        100.0 * stats.max,
        100.0 * stats.mean(),
        100.0 * stats.within(),
    );
}

const TIERS: [u32; 4] = [4, 32, 100, 312];

#[test]
fn counts_hold_with_a_fifth_lost_some_doubled_and_overtaken() {
    for relays in TIERS {
        let mut cluster = settled(relays, 1, 0.2);
        (cluster.duplication, cluster.max_delay_ms) = (0.2, 800.0);
        let mut stats = ErrorStats::default();
        churn(&mut cluster, 20_000.0, &mut stats);
        report("a fifth lost, a fifth doubled, late by up to 800 ms", relays, &cluster, 20_000.0, &stats);
        assert!(stats.longest_ms <= 3000.0, "{relays}: {stats:?}");
    }
}

#[test]
fn restarts_of_a_tenth_at_a_time_count_nobody_twice_or_from_zero() {
    for relays in TIERS {
        let mut cluster = settled(relays, 2, 0.2);
        let mut stats = ErrorStats::default();
        let tenth = (relays as usize).div_ceil(10);
        let mut least = f64::INFINITY;
        for part in 0..4 {
            let these: Vec<usize> = (part * tenth..((part + 1) * tenth).min(relays as usize)).collect();
            these.iter().for_each(|at| cluster.kill(*at));
            churn(&mut cluster, 1000.0, &mut stats);
            these.iter().for_each(|at| cluster.start(*at));
            churn(&mut cluster, 6000.0, &mut stats);
            least = cluster.views(0).map(|(_, v)| v.connections).fold(least, f64::min);
        }
        report("a tenth killed and started at a time", relays, &cluster, 28_000.0, &stats);
        assert!(stats.longest_ms <= 3000.0 && least > 250.0, "{relays}: {least} {stats:?}");
    }
}

#[test]
fn a_collector_that_dies_for_good_is_followed_by_another() {
    for relays in [32, 100, 312] {
        let mut cluster = settled(relays, 3, 0.2);
        let mut stats = ErrorStats::default();
        cluster.kill(0);
        churn(&mut cluster, 20_000.0, &mut stats);
        report("the collector gone", relays, &cluster, 20_000.0, &stats);
        assert!(stats.longest_ms <= 3000.0, "{relays}: {stats:?}");
        cluster.start(0);
        cluster.sent = 0;
        let mut stats = ErrorStats::default();
        churn(&mut cluster, 10_000.0, &mut stats);
        report("the collector back", relays, &cluster, 10_000.0, &stats);
        assert!(stats.longest_ms <= 3000.0, "it is back, {relays}: {stats:?}");
    }
}

/// While it is cut nobody knows what the other half has: the bounds say so, and the two halves together
/// admit no more than the share. Once it is whole again the counts are.
#[test]
fn a_tier_cut_in_halves_keeps_to_its_bounds_and_is_whole_once_healed() {
    for relays in TIERS {
        let mut cluster = settled(relays, 4, 0.0);
        let half = relays / 2;
        cluster.relays.iter_mut().skip(half as usize).for_each(|r| r.side = 1);
        let mut cut = ErrorStats::default();
        churn(&mut cluster, 20_000.0, &mut cut);
        report("cut in halves", relays, &cluster, 20_000.0, &cut);
        assert!(cut.within() > 0.95, "{relays}: {cut:?}");
        let limits: Vec<f64> = cluster.views(0).map(|(_, v)| v.limit).collect();
        assert!(limits.iter().all(|l| *l <= 0.5 * 178.0 + 1.0), "{limits:?}");
        cluster.relays.iter_mut().for_each(|r| r.side = 0);
        cluster.run(3000.0, |_| {});
        let mut healed = ErrorStats::default();
        churn(&mut cluster, 5000.0, &mut healed);
        report("healed, from 3 s after it", relays, &cluster, 28_000.0, &healed);
        assert!(healed.longest_ms < 500.0, "{relays}: {healed:?}");
    }
}

/// Who hears nobody has its own part of the share, of one connection at the least, and the bounds grow with
/// time.
#[test]
fn who_hears_nobody_has_its_own_part() {
    for relays in TIERS {
        let mut cluster = settled(relays, 5, 0.0);
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

/// A client that returns at another relay is counted there, at once, and no more at the old one.
#[test]
fn a_client_that_returns_elsewhere_is_counted_once() {
    for relays in TIERS {
        let mut cluster = settled(relays, 6, 0.0);
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
fn what_a_folder_has_kept_counts_by_its_age() {
    let mut cluster = settled(32, 7, 0.0);
    let stored = cluster.relays[5].quotas.as_ref().unwrap().snapshot(cluster.now);
    let before = cluster.views(0).find(|(i, _)| *i == 5).unwrap().1;
    let own = before.local;
    cluster.start(5);
    cluster.now += 2000.0;
    let now = cluster.now;
    let quotas = cluster.relays[5].quotas.as_mut().unwrap();
    quotas.restore(now, 2000.0, stored.clone());
    let soon = quotas.view(now, "member-0").unwrap();
    assert_eq!(soon.connections, before.connections - own, "all but the flows that ended with it");
    assert_eq!(quotas.view(now + 8000.0, "member-0").unwrap().connections, 0.0, "for so long only");
    cluster.start(5);
    let quotas = cluster.relays[5].quotas.as_mut().unwrap();
    quotas.restore(now, 60_000.0, stored);
    assert_eq!(quotas.view(now, "member-0").unwrap().connections, 0.0, "too old");
}

/// More tenants than a datagram holds are told in turn.
#[test]
fn many_members_are_told_in_turn() {
    let many: Vec<Tenant> =
        (0..60).map(|i| Tenant { name: common::tenant_name(i), ..Tenant::default() }).collect();
    for relays in [4, 32] {
        let mut cluster = Cluster::new(relays, many.clone(), 8);
        (0..60).for_each(|tenant| (0..=tenant).for_each(|_| cluster.open(tenant, false, Default::default())));
        cluster.run(9000.0, |_| {});
        for tenant in 0..60 {
            let off = cluster.views(tenant).filter(|(_, v)| v.connections != tenant as f64 + 1.0).count();
            assert_eq!(off, 0, "{relays} relays, member {tenant}");
        }
    }
}

/// What is doubled, overtaken, or of a relay's life before changes nothing.
#[test]
fn what_is_overtaken_or_of_an_earlier_life_is_passed_over() {
    use sandgw_quota::ClusterPosition;
    use sandgw_quota::tenants::Tenants;
    use sandgw_quota::usage_gossip::{Usage, UsageReport, UsageRow};
    let tenants = Tenants::new(tenants()).unwrap();
    let tag = tenants.tags().next().unwrap();
    let place = ClusterPosition { local_index: 0, relay_count: 4, peer_messages: true };
    let mut quotas = sandgw_quota::QuotaManager::new(tenants, place, 0.0);
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
