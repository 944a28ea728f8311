//! Slow start with 20 and 30 relay processes: endpoints restart and new ones join under load, while relays
//! are killed, terminated and restarted. The tests check the total load that all relays put on a warming
//! endpoint.

use sandgw_test_cluster::fault_schedule::{Fault, FaultSchedule, FaultStep};
use sandgw_test_cluster::invariants::Rule;
use sandgw_test_cluster::load_clients::LoadPlan;
use sandgw_test_cluster::log::EventKind;
use sandgw_test_cluster::{ClusterConfig, TestCluster};
use tokio::sync::Mutex;

/// Number of endpoints at the start, none of them warming up.
const WARM_ENDPOINTS: usize = 6;
/// Set-ups per second that a warm endpoint accepts. Its budget during slow start is computed from this rate.
const SETUPS_PER_S: f64 = 6.0;
/// Clients that arrive per second: a little more than the warm endpoints accept, so that an equal part of
/// them would put a warming endpoint well over its budget.
const CLIENTS_PER_S: f64 = 40.0;
const SCHEDULE_MS: f64 = 15_000.0;

fn schedule(relays: usize) -> FaultSchedule {
    let killed_relays: Vec<_> = (0..relays).filter(|n| n % 3 == 0).collect();
    let steps = vec![
        step(3000.0, Fault::KillEndpoint(0)),
        step(3000.0, Fault::KillEndpoint(1)),
        // Two endpoints restart, and a new one joins.
        step(4000.0, Fault::StartEndpoint(0)),
        step(4000.0, Fault::StartEndpoint(1)),
        step(4000.0, Fault::AddEndpoint),
        step(5500.0, Fault::KillRelays(killed_relays.clone())),
        step(5800.0, Fault::StartRelays(killed_relays)),
        // Another endpoint joins while the others are halfway through their warm-up.
        step(8800.0, Fault::AddEndpoint),
        step(8800.0, Fault::TerminateRelays(vec![1, 2])),
        step(9800.0, Fault::StartRelays(vec![1, 2])),
    ];
    FaultSchedule { steps }
}

fn step(at_ms: f64, fault: Fault) -> FaultStep {
    FaultStep { at_ms, fault }
}

/// Makes the clusters run one at a time, as several would overload the machine.
static CLUSTER_LOCK: Mutex<()> = Mutex::const_new(());

async fn check_slow_start(relays: usize) {
    let _guard = CLUSTER_LOCK.lock().await;
    let mut config = ClusterConfig::new(env!("CARGO_BIN_EXE_sandgw"), relays, WARM_ENDPOINTS);
    config.setups_per_s = SETUPS_PER_S;
    let mut cluster = TestCluster::new(config).await.unwrap();
    cluster.start_and_wait().await.unwrap();
    let count = (CLIENTS_PER_S * SCHEDULE_MS / 1000.0) as usize;
    let plan = LoadPlan { count, over_ms: SCHEDULE_MS, stay_ms: 4000.0, groups: 400, ..LoadPlan::default() };
    let clients = cluster.start_clients(plan);
    cluster.run(&schedule(relays)).await.unwrap();
    let results = clients.finish(20_000.0).await;
    let verdict = cluster.verdict();
    println!("{verdict}");
    // The rule covers only relays that were informed of the endpoint's start; the load fraction and the
    // overload of a stub endpoint cover all requests that arrived.
    let overloaded = cluster.log.count(|event| matches!(event, EventKind::EndpointOverloaded(_)));
    let satisfied =
        verdict.satisfies(Rule::SlowStart) && verdict.max_cold_load_fraction <= 1.0 && overloaded == 0;
    assert!(
        satisfied,
        "{overloaded} overloaded endpoints, at most {:.2} of the slow-start budget: {verdict}",
        verdict.max_cold_load_fraction
    );
    // The check is only meaningful if the endpoints that joined were under load.
    let attempts = |id: &str| {
        cluster
            .log
            .count(|event| matches!(event, EventKind::AttemptReceived { endpoint, .. } if &**endpoint == id))
    };
    assert!(
        ["s006", "s007"].iter().all(|id| attempts(id) >= 4),
        "too few attempts at the endpoints that joined: {verdict}"
    );
    assert!(results.all.served * 10 >= results.all.total() * 8, "{results:?}");
    assert!(verdict.service_levels.check_minimum(0.5).is_ok(), "{verdict}");
    for relay in &mut cluster.relays {
        assert!(relay.is_running(), "relay {} has ended: {}", relay.index, relay.log_text());
    }
}

#[tokio::test]
async fn twenty_relays_keep_the_slow_start_budget_while_endpoints_and_relays_restart() {
    check_slow_start(20).await;
}

#[tokio::test]
async fn thirty_relays_keep_the_slow_start_budget_while_endpoints_and_relays_restart() {
    check_slow_start(30).await;
}
