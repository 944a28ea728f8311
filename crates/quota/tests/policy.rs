//! Who is refused: a flood of one tenant on a cluster whose endpoints are full.

mod common;

use common::{Cluster, Opening, tenant_name};
use rand::RngExt;
use sandgw_quota::policy::ScarcitySignals;
use sandgw_quota::tenants::Tenant;

/// Places of all endpoints together, and what the tenants are entitled to: all of them.
const PLACES: f64 = 400.0;
const SHARES: [f64; 4] = [178.0, 120.0, 68.0, 34.0];
/// How long a connection stands, in the mean.
const STANDS: f64 = 20_000.0;

/// What they use of their shares.
const USUAL: f64 = 0.8;

/// What tenants had of the places, in the mean, and the part of their arrivals within their shares that was
/// served.
struct Served {
    held: [f64; 4],
    part: [f64; 4],
}

/// Members arrive for four fifths of their shares, the first for so many times as much. A connection that
/// is not refused by share gets a place while there is one. With the limit, or without it.
fn flood(relays: u32, times: f64, limit: bool, seed: u64) -> Served {
    let share = |(i, c): (usize, &f64)| Tenant { name: tenant_name(i), connections: Some(*c), per_s: None };
    let mut cluster = Cluster::new(relays, SHARES.iter().enumerate().map(share).collect(), seed);
    (cluster.loss, cluster.duplication) = (0.2, 0.1);
    let (mut came, mut taken, mut held, mut n) = ([0.0; 4], [0.0; 4], [0.0; 4], 0.0);
    // Of the clients that wait for a decision, when those arrived that count.
    let mut counted: Vec<(usize, f64)> = Vec::new();
    for second in 0..120 {
        cluster.run(1000.0, |cluster| {
            for tenant in 0..4 {
                let standing = cluster.truth(tenant);
                if cluster.rng.random::<f64>() < standing * common::STEP / STANDS {
                    cluster.close(tenant);
                }
            }
            let first = cluster.rng.random_range(0..4);
            for tenant in (0..4).map(|i| (first + i) % 4) {
                let more = if tenant == 0 { times } else { USUAL };
                if cluster.rng.random::<f64>() >= SHARES[tenant] * more / STANDS * common::STEP {
                    continue;
                }
                let all: f64 = (0..4).map(|k| cluster.truth(k)).sum();
                // What the relay sees: endpoints at their bound turn connections away from a little before
                // they are full.
                let full = ScarcitySignals { endpoints: all >= 0.97 * PLACES, ..ScarcitySignals::default() };
                let signals = if limit { full } else { ScarcitySignals::default() };
                let at = cluster.rng.random_range(0..relays as usize);
                let opening = (all < PLACES).then(|| cluster.open_at(at, tenant, false, signals));
                // By chance a tenant has more than its share at times: what is within counts.
                if second >= 60 && (tenant == 0 || cluster.truth(tenant) < 0.95 * SHARES[tenant]) {
                    came[tenant] += 1.0;
                    taken[tenant] += f64::from(u8::from(opening == Some(Opening::Admitted)));
                    counted.extend((opening == Some(Opening::Waiting)).then_some((tenant, cluster.now)));
                }
            }
            for settled in std::mem::take(&mut cluster.settled) {
                let waited = counted.iter().position(|of| *of == (settled.tenant, settled.since));
                let Some(waited) = waited else { continue };
                counted.swap_remove(waited);
                taken[settled.tenant] += f64::from(u8::from(settled.is_admitted));
            }
            if second >= 60 {
                n += 1.0;
                (0..4).for_each(|tenant| held[tenant] += cluster.truth(tenant));
            }
        });
    }
    let part = [0, 1, 2, 3].map(|k| taken[k] / f64::max(came[k], 1.0));
    Served { held: held.map(|h| h / n), part }
}

#[test]
fn a_flood_at_a_full_tier_leaves_the_others_their_part() {
    for relays in [4, 32, 100, 312] {
        let calm = flood(relays, USUAL, true, 1);
        let without = flood(relays, 6.0, false, 1);
        let with = flood(relays, 6.0, true, 1);
        for (what, s) in [("no flood", &calm), ("a flood, no limit", &without), ("a flood, limited", &with)] {
            let part = s.part.map(|p| (p * 100.0).round());
            println!(
                "{relays} relays, {what}: held {:.0?} of {SHARES:?}, served {part:?}% of arrivals",
                s.held
            );
        }
        assert!(
            without.part[1..].iter().all(|p| *p < 0.5),
            "{relays}: the flood hurts where nothing is done"
        );
        for tenant in 1..4 {
            let lost = calm.part[tenant] - with.part[tenant];
            assert!(lost <= 0.05, "{relays}: member {tenant} lost {lost}");
        }
        // Its own share is its, however much comes beyond.
        assert!(with.held[0] >= 0.9 * SHARES[0], "{relays}: {:?}", with.held);
    }
}

#[test]
fn nobody_is_refused_where_places_are_free() {
    for relays in [4, 32] {
        let share = Tenant { name: tenant_name(0), connections: Some(10.0), per_s: Some(1.0) };
        let mut cluster = Cluster::new(relays, vec![share], 2);
        for _ in 0..200 {
            cluster.run(100.0, |_| {});
            let at = cluster.rng.random_range(0..relays as usize);
            let opening = cluster.open_at(at, 0, false, ScarcitySignals::default());
            assert_eq!(opening, Opening::Admitted, "{relays}");
        }
        // Twenty times its connections and ten times its rate: so it is refused as soon as they are short.
        let full = ScarcitySignals { window: true, ..ScarcitySignals::default() };
        assert!(matches!(cluster.open_at(0, 0, false, full), Opening::Rejected(_)), "{relays}");
        // And no more once they have not been for five seconds.
        cluster.run(4900.0, |_| {});
        let opening = cluster.open_at(0, 0, false, ScarcitySignals::default());
        assert!(matches!(opening, Opening::Rejected(_)), "{relays}: it does not flap");
        cluster.run(200.0, |_| {});
        let opening = cluster.open_at(0, 0, false, ScarcitySignals::default());
        assert_eq!(opening, Opening::Admitted, "{relays}");
    }
}

/// Beyond its rate a tenant is served at its rate, with all relays together, and within it is not touched.
#[test]
fn a_member_beyond_its_rate_has_its_rate() {
    for relays in [4, 32, 100] {
        let shares = [3.0, 3.0].iter().enumerate();
        let shares = shares.map(|(i, r)| Tenant { name: tenant_name(i), connections: None, per_s: Some(*r) });
        let mut cluster = Cluster::new(relays, shares.collect(), 3);
        let full = ScarcitySignals { descriptors: true, ..ScarcitySignals::default() };
        let (mut taken, mut came) = ([0.0; 2], [0.0; 2]);
        for second in 0..90 {
            cluster.run(1000.0, |cluster| {
                for (tenant, per_s) in [(0, 30.0), (1, 2.5)] {
                    if cluster.rng.random::<f64>() < per_s * common::STEP / 1000.0 {
                        let at = cluster.rng.random_range(0..relays as usize);
                        let served = cluster.open_at(at, tenant, false, full);
                        if second >= 30 {
                            came[tenant] += 1.0;
                            taken[tenant] += f64::from(u8::from(served == Opening::Admitted));
                        }
                    }
                }
            });
        }
        let (beyond, within) = (taken[0] / 60.0, taken[1] / came[1]);
        println!(
            "{relays} relays: 30 a second of 3 come, {beyond:.2} are served; within {within:.3} of all are"
        );
        assert!((2.0..=4.5).contains(&beyond) && within > 0.95, "{relays}: {beyond} {within}");
    }
}

#[test]
fn errors_have_their_advice() {
    use sandgw_quota::tenants::{MAX_TENANTS, Tenants, TenantsError};
    let named = |n: usize, name: fn(usize) -> String| {
        Tenants::new((0..n).map(|i| Tenant { name: name(i), ..Tenant::default() }).collect()).unwrap_err()
    };
    let all = [named(MAX_TENANTS + 1, tenant_name), named(2, |_| "one".into()), named(1, |_| String::new())];
    let wanted = [
        TenantsError::TooMany(MAX_TENANTS + 1),
        TenantsError::DuplicateName("one".into()),
        TenantsError::MissingName(0),
    ];
    assert_eq!(all, wanted);
    assert!(all.iter().all(|e| !e.help().is_empty() && e.to_string() != e.help()));
}
