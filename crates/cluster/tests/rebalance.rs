//! The combined effect of relays that each migrate a fraction of their connections.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_cluster::rebalance::{EndpointLoad, migration_fractions};

fn endpoint(load: f64, capacity: f64) -> EndpointLoad {
    EndpointLoad { load, capacity }
}

#[test]
fn returned_endpoints_fill_up_with_few_surplus_migrations() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        // The connections of a hundred relays: nine endpoints are full, three have just returned.
        let mut connections: Vec<(u32, usize)> = (0..540).map(|n| (n as u32 % 100, n % 9)).collect();
        let mut migrated = 0;
        for _ in 0..8 {
            let load = |index| connections.iter().filter(|(_, placed_at)| *placed_at == index).count() as f64;
            let loads: Vec<EndpointLoad> = (0..12).map(|index| endpoint(load(index), 8.0)).collect();
            let fractions = migration_fractions(&loads);
            // Each relay draws for its own connections; a migrated connection goes to one of the three that
            // have returned.
            for (_, placed_at) in &mut connections {
                if rng.random::<f64>() < fractions[*placed_at] {
                    *placed_at = 9 + rng.random_range(0..3);
                    migrated += 1;
                }
            }
        }
        let max_connections = (0..12)
            .map(|index| connections.iter().filter(|(_, placed_at)| *placed_at == index).count())
            .max();
        assert!(
            max_connections.is_some_and(|max_connections| max_connections <= 58),
            "seed {seed}: {max_connections:?}"
        );
        // The nine full endpoints carry 135 connections too many.
        assert!((90..190).contains(&migrated), "seed {seed}: {migrated}");
    }
}

#[test]
fn random_imbalance_is_tolerated() {
    let loads = [endpoint(46.0, 8.0), endpoint(44.0, 8.0), endpoint(12.0, 2.0), endpoint(0.0, 0.0)];
    assert_eq!(migration_fractions(&loads), [0.0; 4]);
    assert!(migration_fractions(&[]).is_empty());
    assert_eq!(migration_fractions(&[endpoint(0.0, 8.0), endpoint(0.0, 0.0)]), [0.0; 2]);
}

#[test]
fn an_endpoint_of_less_capacity_may_carry_less() {
    let fractions = migration_fractions(&[endpoint(50.0, 8.0), endpoint(50.0, 2.0)]);
    assert_eq!(fractions[0], 0.0);
    assert!(fractions[1] > 0.1 && fractions[1] < 0.3, "{fractions:?}");
}
