//! What relays that each migrate a fraction of their connections do together.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_cluster::rebalance::{EndpointLoad, migration_fractions};

fn endpoint(load: f64, capacity: f64) -> EndpointLoad {
    EndpointLoad { load, capacity }
}

#[test]
fn a_streamer_that_came_back_is_filled_by_moves_and_hardly_more_move_than_have_to() {
    for seed in 0..20 {
        let mut dice = StdRng::seed_from_u64(seed);
        // Where the connections of a hundred relays stand: nine endpoints full, three just back.
        let mut connections: Vec<(u32, usize)> = (0..540).map(|n| (n as u32 % 100, n % 9)).collect();
        let mut moved = 0;
        for _ in 0..8 {
            let load = |at| connections.iter().filter(|(_, on)| *on == at).count() as f64;
            let loads: Vec<EndpointLoad> = (0..12).map(|at| endpoint(load(at), 8.0)).collect();
            let fractions = migration_fractions(&loads);
            // Each relay draws for its own; who moves goes to the emptiest.
            for (_, on) in &mut connections {
                if dice.random::<f64>() < fractions[*on] {
                    *on = 9 + dice.random_range(0..3);
                    moved += 1;
                }
            }
        }
        let most = (0..12).map(|at| connections.iter().filter(|(_, on)| *on == at).count()).max();
        assert!(most.is_some_and(|most| most <= 58), "seed {seed}: {most:?}");
        // 135 are too much on the nine.
        assert!((90..190).contains(&moved), "seed {seed}: {moved}");
    }
}

#[test]
fn what_is_even_but_for_chance_stays() {
    let loads = [endpoint(46.0, 8.0), endpoint(44.0, 8.0), endpoint(12.0, 2.0), endpoint(0.0, 0.0)];
    assert_eq!(migration_fractions(&loads), [0.0; 4]);
    assert!(migration_fractions(&[]).is_empty());
    assert_eq!(migration_fractions(&[endpoint(0.0, 8.0), endpoint(0.0, 0.0)]), [0.0; 2]);
}

#[test]
fn a_streamer_that_can_do_less_may_hold_less() {
    let fractions = migration_fractions(&[endpoint(50.0, 8.0), endpoint(50.0, 2.0)]);
    assert_eq!(fractions[0], 0.0);
    assert!(fractions[1] > 0.1 && fractions[1] < 0.3, "{fractions:?}");
}
