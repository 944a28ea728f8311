//! A short soak test: clusters, loads and faults that are drawn at random from fixed seeds.
//! `crates/test-cluster/examples/soak.rs` runs any number of seeds.

use std::path::Path;

use sandgw_test_cluster::soak::{SoakScenario, run};

/// How long faults are injected in one run.
const DURATION_MS: f64 = 10_000.0;

async fn assert_invariants(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let scenario = SoakScenario::draw(seed, DURATION_MS);
        let report = run(&scenario, Path::new(env!("CARGO_BIN_EXE_sandgw"))).await.unwrap();
        println!("{scenario}: served {} of {}", report.results.served, report.results.total());
        let faults: String = report.faults.iter().map(|fault| format!("{fault}\n")).collect();
        assert!(faults.is_empty(), "{scenario}\n{}{faults}{:?}", scenario.schedule, report.log_folder);
    }
}

/// Guards against violated invariants and relays that exit, under restarts, kills, bursts of clients and
/// outages together.
#[tokio::test]
async fn random_clusters_keep_the_invariants_through_random_faults() {
    assert_invariants(101..104).await;
}
