//! A short soak: fixed seeds of drawn clusters, loads and faults. `crates/test-cluster/examples/soak.rs` runs
//! any number of them.

use std::path::Path;

use sandgw_test_cluster::soak::{SoakScenario, run};

/// How long the faults of one run go on.
const DURATION_MS: f64 = 10_000.0;

async fn keep_rules(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let scenario = SoakScenario::draw(seed, DURATION_MS);
        let report = run(&scenario, Path::new(env!("CARGO_BIN_EXE_sandgw"))).await.unwrap();
        println!("{scenario}: served {} of {}", report.results.served, report.results.total());
        let faults: String = report.faults.iter().map(|fault| format!("{fault}\n")).collect();
        assert!(faults.is_empty(), "{scenario}\n{}{faults}{:?}", scenario.schedule, report.log_folder);
    }
}

/// Guards against broken rules and relays that end, through restarts, kills, crowds and outages together.
#[tokio::test]
async fn drawn_clusters_keep_the_rules_through_drawn_faults() {
    keep_rules(101..104).await;
}
