//! Which tenants' connections are rejected when one tenant floods a cluster whose endpoints are full.

mod common;

use common::{Cluster, Outcome, tenant_name};
use rand::RngExt;
use sandgw_quota::policy::ScarcitySignals;
use sandgw_quota::tenants::Tenant;

/// Connections that all endpoints together can hold.
const ENDPOINT_CAPACITY: f64 = 400.0;
/// The tenants' quotas of connections; together they are the whole capacity.
const QUOTAS: [f64; 4] = [178.0, 120.0, 68.0, 34.0];
/// Mean duration of a connection, in milliseconds.
const MEAN_CONNECTION_MS: f64 = 20_000.0;

/// The ratio of its quota that a tenant usually uses.
const USUAL_LOAD: f64 = 0.8;

/// The mean number of open connections of each tenant, and the ratio of its arrivals within its quota that
/// were admitted.
struct FloodResult {
    mean_open: [f64; 4],
    admitted_ratio: [f64; 4],
}

/// Clients of each tenant arrive at a rate that uses four fifths of the tenant's quota; those of the first
/// tenant arrive at a rate that would use `first_tenant_load` times its quota. A connection that the relay
/// does not reject is accepted as long as the endpoints have capacity. Unless `are_quotas_enforced`, the
/// relays get no scarcity signals, and so enforce no quotas.
fn flood(relays: u32, first_tenant_load: f64, are_quotas_enforced: bool, seed: u64) -> FloodResult {
    let tenant = |(i, connections): (usize, &f64)| Tenant {
        name: tenant_name(i),
        connections: Some(*connections),
        per_s: None,
    };
    let mut cluster = Cluster::new(relays, QUOTAS.iter().enumerate().map(tenant).collect(), seed);
    (cluster.loss, cluster.duplication) = (0.2, 0.1);
    let (mut arrived, mut admitted, mut mean_open, mut n) = ([0.0; 4], [0.0; 4], [0.0; 4], 0.0);
    // The clients that wait for a decision and are counted in the result: their tenant, and when they
    // arrived.
    let mut counted: Vec<(usize, f64)> = Vec::new();
    for second in 0..120 {
        cluster.run(1000.0, |cluster| {
            for tenant in 0..4 {
                let open = cluster.true_connections(tenant);
                if cluster.rng.random::<f64>() < open * common::STEP_MS / MEAN_CONNECTION_MS {
                    cluster.close(tenant);
                }
            }
            let first = cluster.rng.random_range(0..4);
            for tenant in (0..4).map(|i| (first + i) % 4) {
                let load = if tenant == 0 { first_tenant_load } else { USUAL_LOAD };
                if cluster.rng.random::<f64>() >= QUOTAS[tenant] * load / MEAN_CONNECTION_MS * common::STEP_MS
                {
                    continue;
                }
                let total_open: f64 = (0..4).map(|k| cluster.true_connections(k)).sum();
                // The signal that the relay gets: endpoints near their limit reject connections shortly
                // before they are full.
                let full = ScarcitySignals {
                    endpoints: total_open >= 0.97 * ENDPOINT_CAPACITY,
                    ..ScarcitySignals::default()
                };
                let signals = if are_quotas_enforced { full } else { ScarcitySignals::default() };
                let at = cluster.rng.random_range(0..relays as usize);
                let outcome =
                    (total_open < ENDPOINT_CAPACITY).then(|| cluster.open_at(at, tenant, false, signals));
                // A tenant sometimes exceeds its quota by chance: only arrivals within the quota are counted.
                if second >= 60 && (tenant == 0 || cluster.true_connections(tenant) < 0.95 * QUOTAS[tenant]) {
                    arrived[tenant] += 1.0;
                    admitted[tenant] += f64::from(u8::from(outcome == Some(Outcome::Admitted)));
                    counted.extend((outcome == Some(Outcome::Waiting)).then_some((tenant, cluster.now)));
                }
            }
            for decided in std::mem::take(&mut cluster.decided) {
                let waited =
                    counted.iter().position(|arrival| *arrival == (decided.tenant, decided.arrived_at));
                let Some(waited) = waited else { continue };
                counted.swap_remove(waited);
                admitted[decided.tenant] += f64::from(u8::from(decided.is_admitted));
            }
            if second >= 60 {
                n += 1.0;
                (0..4).for_each(|tenant| mean_open[tenant] += cluster.true_connections(tenant));
            }
        });
    }
    let admitted_ratio = [0, 1, 2, 3].map(|k| admitted[k] / f64::max(arrived[k], 1.0));
    FloodResult { mean_open: mean_open.map(|open| open / n), admitted_ratio }
}

#[test]
fn a_flood_at_full_endpoints_leaves_the_other_tenants_their_quota() {
    for relays in [4, 32, 100, 312] {
        let no_flood = flood(relays, USUAL_LOAD, true, 1);
        let without_quotas = flood(relays, 6.0, false, 1);
        let with_quotas = flood(relays, 6.0, true, 1);
        for (label, result) in [
            ("no flood", &no_flood),
            ("flood without quotas", &without_quotas),
            ("flood with quotas", &with_quotas),
        ] {
            let admitted_ratio = result.admitted_ratio.map(|ratio| (ratio * 100.0).round());
            println!(
                "{relays} relays, {label}: open {:.0?} of {QUOTAS:?}, admitted {admitted_ratio:?}%",
                result.mean_open
            );
        }
        assert!(
            without_quotas.admitted_ratio[1..].iter().all(|ratio| *ratio < 0.5),
            "{relays}: without quotas the flood does not reduce the other tenants' admissions below half"
        );
        for tenant in 1..4 {
            let decrease = no_flood.admitted_ratio[tenant] - with_quotas.admitted_ratio[tenant];
            assert!(
                decrease <= 0.05,
                "{relays}: the flood reduces the admitted ratio of tenant {tenant} by {decrease}"
            );
        }
        // The tenant that floods keeps its own quota, however many more of its clients arrive.
        assert!(with_quotas.mean_open[0] >= 0.9 * QUOTAS[0], "{relays}: {:?}", with_quotas.mean_open);
    }
}

#[test]
fn no_connection_is_rejected_while_capacity_is_not_scarce() {
    for relays in [4, 32] {
        let tenant = Tenant { name: tenant_name(0), connections: Some(10.0), per_s: Some(1.0) };
        let mut cluster = Cluster::new(relays, vec![tenant], 2);
        for _ in 0..200 {
            cluster.run(100.0, |_| {});
            let at = cluster.rng.random_range(0..relays as usize);
            let outcome = cluster.open_at(at, 0, false, ScarcitySignals::default());
            assert_eq!(outcome, Outcome::Admitted, "{relays}");
        }
        // The tenant has twenty times its quota of connections and ten times its rate, so it is rejected as
        // soon as capacity is scarce.
        let full = ScarcitySignals { concurrency_limit_reduced: true, ..ScarcitySignals::default() };
        assert!(matches!(cluster.open_at(0, 0, false, full), Outcome::Rejected(_)), "{relays}");
        // Connections are admitted again once capacity has not been scarce for five seconds.
        cluster.run(4900.0, |_| {});
        let outcome = cluster.open_at(0, 0, false, ScarcitySignals::default());
        assert!(
            matches!(outcome, Outcome::Rejected(_)),
            "{relays}: admitted too soon after the scarcity signal"
        );
        cluster.run(200.0, |_| {});
        let outcome = cluster.open_at(0, 0, false, ScarcitySignals::default());
        assert_eq!(outcome, Outcome::Admitted, "{relays}");
    }
}

/// A tenant over its rate is admitted at its rate over all relays together; a tenant within its rate is not
/// limited.
#[test]
fn a_tenant_over_its_rate_is_admitted_at_its_rate() {
    for relays in [4, 32, 100] {
        let quotas = [3.0, 3.0].iter().enumerate();
        let tenants =
            quotas.map(|(i, per_s)| Tenant { name: tenant_name(i), connections: None, per_s: Some(*per_s) });
        let mut cluster = Cluster::new(relays, tenants.collect(), 3);
        let full = ScarcitySignals { descriptors: true, ..ScarcitySignals::default() };
        let (mut admitted, mut arrived) = ([0.0; 2], [0.0; 2]);
        for second in 0..90 {
            cluster.run(1000.0, |cluster| {
                for (tenant, per_s) in [(0, 30.0), (1, 2.5)] {
                    if cluster.rng.random::<f64>() < per_s * common::STEP_MS / 1000.0 {
                        let at = cluster.rng.random_range(0..relays as usize);
                        let outcome = cluster.open_at(at, tenant, false, full);
                        if second >= 30 {
                            arrived[tenant] += 1.0;
                            admitted[tenant] += f64::from(u8::from(outcome == Outcome::Admitted));
                        }
                    }
                }
            });
        }
        let (over, within) = (admitted[0] / 60.0, admitted[1] / arrived[1]);
        println!(
            "{relays} relays: 30 arrivals per second of 3, {over:.2} admitted; within the rate {within:.3}"
        );
        assert!((2.0..=4.5).contains(&over) && within > 0.95, "{relays}: {over} {within}");
    }
}

#[test]
fn every_tenants_error_has_a_help_text() {
    use sandgw_quota::tenants::{MAX_TENANTS, Tenants, TenantsError};
    let named = |n: usize, name: fn(usize) -> String| {
        Tenants::new((0..n).map(|i| Tenant { name: name(i), ..Tenant::default() }).collect()).unwrap_err()
    };
    let all = [named(MAX_TENANTS + 1, tenant_name), named(2, |_| "one".into()), named(1, |_| String::new())];
    let expected = [
        TenantsError::TooMany(MAX_TENANTS + 1),
        TenantsError::DuplicateName("one".into()),
        TenantsError::MissingName(0),
    ];
    assert_eq!(all, expected);
    assert!(all.iter().all(|e| !e.help().is_empty() && e.to_string() != e.help()));
}
