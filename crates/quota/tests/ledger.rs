//! Members' counts in tiers of 4 to 312 relays, through loss, cuts and restarts.

mod common;

use common::{Tier, Watch};
use sandgw_quota::tenants::Tenant;

fn members() -> Vec<Tenant> {
    let share = [(178.0, 3.0), (172.0, 3.0), (34.0, 1.0)];
    let named = share.iter().enumerate();
    named
        .map(|(i, (c, r))| Tenant { name: common::member(i), connections: Some(*c), per_s: Some(*r) })
        .collect()
}

/// A tier in which a member has 300 connections, at random, and has been told all round.
fn settled(relays: u32, seed: u64, loss: f64) -> Tier {
    let mut tier = Tier::new(relays, members(), seed);
    tier.loss = loss;
    (0..300).for_each(|_| tier.arrives(0, false, Default::default()));
    tier.run(8000.0, |_| {});
    tier.sent = 0;
    tier
}

/// Goes on for a while with some coming and going, and watches.
fn churn(tier: &mut Tier, span: f64, watch: &mut Watch) {
    let mut step = 0;
    tier.run(span, |tier| {
        step += 1;
        if step % 5 == 0 {
            tier.arrives(0, false, Default::default());
            tier.leaves(0);
        }
        watch.look(tier, 0, 0.05);
    });
}

fn said(what: &str, relays: u32, tier: &Tier, span: f64, watch: &Watch) {
    let rate = tier.sent as f64 / f64::from(relays) / span * 1000.0;
    println!(
        "{what}, {relays} relays: over 5% off for {:.0} ms at the longest, {:.1}% at the most, {:.2}% in the mean, \
         {:.1}% within bounds, {rate:.2} datagrams a relay a second",
        watch.longest,
        100.0 * watch.most,
        100.0 * watch.mean(),
        100.0 * watch.within(),
    );
}

const TIERS: [u32; 4] = [4, 32, 100, 312];

#[test]
fn counts_hold_with_a_fifth_lost_some_doubled_and_overtaken() {
    for relays in TIERS {
        let mut tier = settled(relays, 1, 0.2);
        (tier.doubled, tier.late) = (0.2, 800.0);
        let mut watch = Watch::default();
        churn(&mut tier, 20_000.0, &mut watch);
        said("a fifth lost, a fifth doubled, late by up to 800 ms", relays, &tier, 20_000.0, &watch);
        assert!(watch.longest <= 3000.0, "{relays}: {watch:?}");
    }
}

#[test]
fn restarts_of_a_tenth_at_a_time_count_nobody_twice_or_from_zero() {
    for relays in TIERS {
        let mut tier = settled(relays, 2, 0.2);
        let mut watch = Watch::default();
        let tenth = (relays as usize).div_ceil(10);
        let mut least = f64::INFINITY;
        for part in 0..4 {
            let these: Vec<usize> = (part * tenth..((part + 1) * tenth).min(relays as usize)).collect();
            these.iter().for_each(|at| tier.kill(*at));
            churn(&mut tier, 1000.0, &mut watch);
            these.iter().for_each(|at| tier.start(*at));
            churn(&mut tier, 6000.0, &mut watch);
            least = tier.views(0).map(|(_, v)| v.open).fold(least, f64::min);
        }
        said("a tenth killed and started at a time", relays, &tier, 28_000.0, &watch);
        assert!(watch.longest <= 3000.0 && least > 250.0, "{relays}: {least} {watch:?}");
    }
}

#[test]
fn a_collector_that_dies_for_good_is_followed_by_another() {
    for relays in [32, 100, 312] {
        let mut tier = settled(relays, 3, 0.2);
        let mut watch = Watch::default();
        tier.kill(0);
        churn(&mut tier, 20_000.0, &mut watch);
        said("the collector gone", relays, &tier, 20_000.0, &watch);
        assert!(watch.longest <= 3000.0, "{relays}: {watch:?}");
        tier.start(0);
        tier.sent = 0;
        let mut watch = Watch::default();
        churn(&mut tier, 10_000.0, &mut watch);
        said("the collector back", relays, &tier, 10_000.0, &watch);
        assert!(watch.longest <= 3000.0, "it is back, {relays}: {watch:?}");
    }
}

/// While it is cut nobody knows what the other half has: the bounds say so, and the two halves together admit no more
/// than the share. Once it is whole again the counts are.
#[test]
fn a_tier_cut_in_halves_keeps_to_its_bounds_and_is_whole_once_healed() {
    for relays in TIERS {
        let mut tier = settled(relays, 4, 0.0);
        let half = relays / 2;
        tier.relays.iter_mut().skip(half as usize).for_each(|r| r.side = 1);
        let mut cut = Watch::default();
        churn(&mut tier, 20_000.0, &mut cut);
        said("cut in halves", relays, &tier, 20_000.0, &cut);
        assert!(cut.within() > 0.95, "{relays}: {cut:?}");
        let limits: Vec<f64> = tier.views(0).map(|(_, v)| v.limit).collect();
        assert!(limits.iter().all(|l| *l <= 0.5 * 178.0 + 1.0), "{limits:?}");
        tier.relays.iter_mut().for_each(|r| r.side = 0);
        tier.run(3000.0, |_| {});
        let mut healed = Watch::default();
        churn(&mut tier, 5000.0, &mut healed);
        said("healed, from 3 s after it", relays, &tier, 28_000.0, &healed);
        assert!(healed.longest < 500.0, "{relays}: {healed:?}");
    }
}

/// Who hears nobody has its own part of the share, of one connection at the least, and the bounds grow with time.
#[test]
fn who_hears_nobody_has_its_own_part() {
    for relays in TIERS {
        let mut tier = settled(relays, 5, 0.0);
        tier.relays[1].side = 1;
        let view = |tier: &Tier| tier.views(0).find(|(i, _)| *i == 1).unwrap().1;
        let before = view(&tier);
        tier.run(2000.0, |_| {});
        let soon = view(&tier);
        assert!(soon.most > before.most && soon.limit == 178.0, "{relays}: {before:?} {soon:?}");
        tier.run(18_000.0, |_| {});
        let alone = view(&tier);
        assert_eq!((alone.heard, alone.open), (0.0, alone.own), "{relays}");
        assert_eq!(alone.limit, (178.0 / f64::from(relays)).max(1.0));
        assert!(alone.least <= 300.0 && alone.most >= 178.0, "{relays}: {alone:?}");
    }
}

/// A client that returns at another relay is counted there, at once, and no more at the old one.
#[test]
fn a_client_that_returns_elsewhere_is_counted_once() {
    for relays in TIERS {
        let mut tier = settled(relays, 6, 0.0);
        for _ in 0..50 {
            tier.leaves(0);
            tier.arrives(0, true, Default::default());
        }
        tier.run(2500.0, |_| {});
        let counts: Vec<f64> = tier.views(0).map(|(_, v)| v.open).collect();
        assert!(counts.iter().all(|c| *c == 300.0), "{relays}: {counts:?}");
    }
}

#[test]
fn what_a_folder_has_kept_counts_by_its_age() {
    let mut tier = settled(32, 7, 0.0);
    let kept = tier.relays[5].shares.as_ref().unwrap().keep(tier.now);
    let before = tier.views(0).find(|(i, _)| *i == 5).unwrap().1;
    let own = before.own;
    tier.start(5);
    tier.now += 2000.0;
    let now = tier.now;
    let shares = tier.relays[5].shares.as_mut().unwrap();
    shares.restore(now, 2000.0, kept.clone());
    let soon = shares.view(now, "member-0").unwrap();
    assert_eq!(soon.open, before.open - own, "all but the flows that ended with it");
    assert_eq!(shares.view(now + 8000.0, "member-0").unwrap().open, 0.0, "for so long only");
    tier.start(5);
    let shares = tier.relays[5].shares.as_mut().unwrap();
    shares.restore(now, 60_000.0, kept);
    assert_eq!(shares.view(now, "member-0").unwrap().open, 0.0, "too old");
}

/// More members than a datagram holds are told in turn.
#[test]
fn many_members_are_told_in_turn() {
    let many: Vec<Tenant> =
        (0..60).map(|i| Tenant { name: common::member(i), ..Tenant::default() }).collect();
    for relays in [4, 32] {
        let mut tier = Tier::new(relays, many.clone(), 8);
        (0..60).for_each(|kind| (0..=kind).for_each(|_| tier.arrives(kind, false, Default::default())));
        tier.run(9000.0, |_| {});
        for kind in 0..60 {
            let off = tier.views(kind).filter(|(_, v)| v.open != kind as f64 + 1.0).count();
            assert_eq!(off, 0, "{relays} relays, member {kind}");
        }
    }
}

/// What is doubled, overtaken, or of a relay's life before changes nothing.
#[test]
fn what_is_overtaken_or_of_an_earlier_life_is_passed_over() {
    use sandgw_quota::tenants::Tenants;
    use sandgw_quota::usage_gossip::{Row, UsageReport};
    let members = Tenants::new(members()).unwrap();
    let tag = members.tags().next().unwrap();
    let place = sandgw_quota::usage_table::Place { local_index: 0, relays: 4, peers: true };
    let mut shares = sandgw_quota::QuotaManager::new(members, place, 0.0);
    let own = |life, number, open| UsageReport::Own { life, number, rows: vec![Row::new(tag, open, 0.0)] };
    let steps = [(7, 1, 5.0, 5.0), (7, 3, 9.0, 9.0), (7, 2, 7.0, 9.0), (7, 3, 1.0, 9.0), (8, 1, 2.0, 2.0)];
    for (life, number, open, counted) in steps.into_iter().chain([(7, 4, 10.0, 2.0)]) {
        shares.told(100.0, 1, own(life, number, open), &mut Vec::new());
        assert_eq!(shares.view(100.0, "member-0").unwrap().open, counted, "{life} {number}");
    }
}
