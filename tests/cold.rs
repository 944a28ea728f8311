//! The cold budget with 20 and 30 processes of the program: endpoints start again cold and new ones join
//! under load, while relays are killed, end as planned and start again. What counts is what all processes
//! together send.

use sandgw_test_cluster::fault_schedule::{Fault, FaultSchedule, FaultStep};
use sandgw_test_cluster::invariants::Rule;
use sandgw_test_cluster::load_clients::LoadPlan;
use sandgw_test_cluster::log::EventKind;
use sandgw_test_cluster::{ClusterConfig, TestCluster};
use tokio::sync::Mutex;

/// Endpoints at the start, all of them warm.
const WARM_ENDPOINTS: usize = 6;
/// Set-ups a second that a warm endpoint takes, by which its budget while cold is computed.
const SETUPS_PER_S: f64 = 6.0;
/// Clients that arrive a second: a little more than the warm endpoints take, so that a cold endpoint is
/// well over its budget if it gets an equal part of them.
const CLIENTS_PER_S: f64 = 40.0;
const SCHEDULE_MS: f64 = 15_000.0;

fn schedule(relays: usize) -> FaultSchedule {
    let killed: Vec<_> = (0..relays).filter(|n| n % 3 == 0).collect();
    let steps = vec![
        step(3000.0, Fault::KillEndpoint(0)),
        step(3000.0, Fault::KillEndpoint(1)),
        // Two start again, and one joins.
        step(4000.0, Fault::StartEndpoint(0)),
        step(4000.0, Fault::StartEndpoint(1)),
        step(4000.0, Fault::AddEndpoint),
        step(5500.0, Fault::KillRelays(killed.clone())),
        step(5800.0, Fault::StartRelays(killed)),
        // The next one joins while others are half warm.
        step(8800.0, Fault::AddEndpoint),
        step(8800.0, Fault::TerminateRelays(vec![1, 2])),
        step(9800.0, Fault::StartRelays(vec![1, 2])),
    ];
    FaultSchedule { steps }
}

fn step(at_ms: f64, fault: Fault) -> FaultStep {
    FaultStep { at_ms, fault }
}

/// One cluster at a time: together they would overload the machine.
static ALONE: Mutex<()> = Mutex::const_new(());

async fn all_spare_cold_endpoints(relays: usize) {
    let _alone = ALONE.lock().await;
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
    // The rule is about relays that were informed of the start; the load fraction and the overload of a
    // stand-in are about all requests that arrived.
    let overloaded = cluster.log.count(|w| matches!(w, EventKind::EndpointOverloaded(_)));
    let satisfied =
        verdict.satisfies(Rule::SlowStart) && verdict.max_cold_load_fraction <= 1.0 && overloaded == 0;
    assert!(
        satisfied,
        "{overloaded} overloaded, {:.2} of the budget at most: {verdict}",
        verdict.max_cold_load_fraction
    );
    // They were cold under load: else the check shows nothing.
    let attempts = |id: &str| {
        cluster.log.count(|w| matches!(w, EventKind::AttemptReceived { endpoint, .. } if &**endpoint == id))
    };
    assert!(
        ["s006", "s007"].iter().all(|id| attempts(id) >= 4),
        "too few attempts at those that joined: {verdict}"
    );
    assert!(results.all.served * 10 >= results.all.total() * 8, "{results:?}");
    assert!(verdict.service_levels.check_minimum(0.5).is_ok(), "{verdict}");
    for relay in &mut cluster.relays {
        assert!(relay.is_running(), "relay {} has ended: {}", relay.index, relay.log_text());
    }
}

#[tokio::test]
async fn twenty_relays_spare_streamers_that_start_again_and_join_while_relays_restart() {
    all_spare_cold_endpoints(20).await;
}

#[tokio::test]
async fn thirty_relays_spare_streamers_that_start_again_and_join_while_relays_restart() {
    all_spare_cold_endpoints(30).await;
}
