//! Several relay processes with faults between them. The tests check the invariants on the log of all stubs,
//! and the numbers of served clients. Time limits are those of the rules plus `GRACE_MS` for a busy machine.

use std::time::Duration;

use sandgw_test_cluster::fault_schedule::{Fault, FaultSchedule, ScheduleBounds};
use sandgw_test_cluster::load_clients::{LoadPlan, Weighted};
use sandgw_test_cluster::log::{Event, EventKind};
use sandgw_test_cluster::{ClusterConfig, TestCluster};

/// Additional time that is allowed on a busy machine, in milliseconds.
const GRACE_MS: f64 = 1500.0;
/// The fraction of clients that must be served in each segment of a run. Over the whole run, nine in ten
/// clients must be served.
const MIN_SEGMENT_SERVED_FRACTION: f64 = 0.5;

fn config(relays: usize, endpoints: usize) -> ClusterConfig {
    let mut config = ClusterConfig::new(env!("CARGO_BIN_EXE_sandgw"), relays, endpoints);
    config.rules.grace_ms = GRACE_MS;
    config.classes = vec!["stream", "query"];
    config
}

/// Clients of all classes and tenants.
fn load_plan() -> LoadPlan {
    let classes = [("stream", 2.0), ("query", 1.0)].map(|(name, weight)| Weighted::new(name, weight));
    let tenants =
        [("acme", 3.0), ("luna", 2.0), ("nova", 1.0)].map(|(name, weight)| Weighted::new(name, weight));
    LoadPlan { classes: classes.into(), tenants: tenants.into(), ..LoadPlan::default() }
}

async fn start_cluster(config: ClusterConfig) -> TestCluster {
    let mut cluster = TestCluster::new(config).await.unwrap();
    cluster.start_and_wait().await.unwrap();
    cluster
}

async fn wait_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Checks that no rule is violated, that `min_served_fraction` of the clients of each class and tenant was
/// served in each third of the run, and that no relay has exited by itself.
fn assert_invariants(cluster: &mut TestCluster, min_served_fraction: f64) {
    let verdict = cluster.verdict();
    println!("{verdict}");
    assert!(verdict.violations.is_empty(), "{verdict}");
    let levels = verdict.service_levels.check_minimum(min_served_fraction);
    assert!(levels.is_ok(), "{}\n{verdict}", levels.unwrap_err());
    for relay in &mut cluster.relays {
        assert!(relay.is_running(), "relay {} has ended: {}", relay.index, relay.log_text());
    }
}

fn informed_relays(events: &[Event], relays: usize) -> usize {
    let is_informed = |relay: &usize| {
        events.iter().any(|e| matches!(&e.kind, EventKind::DiscoveryAnswered { relay: r, .. } if r == relay))
    };
    (0..relays).filter(is_informed).count()
}

#[tokio::test]
async fn a_silent_subscription_is_renewed_before_its_relay_counts_as_informed() {
    const RELAYS: usize = 16;
    let mut cluster = start_cluster(config(RELAYS, 4)).await;
    let all_informed = |events: &[Event]| informed_relays(events, RELAYS) == RELAYS;
    assert!(cluster.log.wait_until(20_000.0, all_informed).await);
    wait_ms(500).await;
    cluster.discovery.silence_watches();
    let silenced_at = cluster.log.now();
    // Discovery does not send this change to relays whose subscription is silent.
    cluster.apply(&Fault::DrainEndpoint { endpoint: 0, within_ms: 3000.0 }).await.unwrap();
    let clients =
        cluster.start_clients(LoadPlan { count: 300, over_ms: 9000.0, stay_ms: 300.0, ..load_plan() });
    let renewed_after = |events: &[Event], relay: usize| {
        let is_later_call = |e: &&Event| {
            matches!(&e.kind, EventKind::DiscoveryCalled { relay: r, .. } if *r == relay)
                && e.at_ms > silenced_at
        };
        events.iter().find(is_later_call).map(|e| e.at_ms - silenced_at)
    };
    let all_renewed = |events: &[Event]| (0..RELAYS).all(|relay| renewed_after(events, relay).is_some());
    assert!(
        cluster.log.wait_until(20_000.0, all_renewed).await,
        "a relay did not renew its silent subscription"
    );
    let events = cluster.log.events();
    for relay in 0..RELAYS {
        // The call was already pending when the subscription fell silent: it times out after 6 s at the most,
        // and the relay has another second to stop.
        let after = renewed_after(&events, relay).unwrap();
        assert!(after < 7000.0 + GRACE_MS, "relay {relay} called discovery again after {after:.0} ms");
    }
    let results = clients.finish(20_000.0).await;
    assert!(results.all.served * 10 >= results.all.total() * 9, "{results:?}");
    assert_invariants(&mut cluster, MIN_SEGMENT_SERVED_FRACTION);
}

#[tokio::test]
async fn clients_find_their_endpoints_after_most_relays_were_killed_at_once() {
    let mut cluster = start_cluster(config(8, 8)).await;
    // Clients are established at five endpoints and reconnect when there are eight: the current Maglev table
    // no longer maps them to their endpoints.
    for n in 0..3 {
        cluster.apply(&Fault::KillEndpoint(n)).await.unwrap();
    }
    wait_ms(1000).await;
    let plan = LoadPlan {
        count: 120,
        over_ms: 1500.0,
        stay_ms: 12_000.0,
        deadline_ms: 6000.0,
        max_tries: 20,
        ..load_plan()
    };
    let clients = cluster.start_clients(plan);
    wait_ms(4000).await;
    let before = clients.results();
    assert!(before.connected >= 110, "{before:?}");
    for n in 0..3 {
        cluster.apply(&Fault::StartEndpoint(n)).await.unwrap();
    }
    wait_ms(1000).await;
    let killed: Vec<_> = (2..8).collect();
    cluster.apply(&Fault::KillRelays(killed.clone())).await.unwrap();
    wait_ms(500).await;
    cluster.apply(&Fault::StartRelays(killed)).await.unwrap();
    wait_ms(5000).await;
    let after = clients.results();
    assert!(after.mid_flow >= 60, "{after:?}");
    let mid_flow = cluster.verdict().mid_flow;
    let (all, found) = (mid_flow.attempted, mid_flow.found_at_once);
    assert!(found * 10 >= all * 9, "{found} of {all} found at once, {after:?}");
    assert_invariants(&mut cluster, MIN_SEGMENT_SERVED_FRACTION);
}

#[tokio::test]
async fn invariants_hold_under_datagram_loss_duplication_reordering_and_partition() {
    let mut cluster = start_cluster(config(12, 8)).await;
    cluster
        .apply(&Fault::DatagramNoise { loss_fraction: 0.3, duplicate_fraction: 0.3, max_delay_ms: 300.0 })
        .await
        .unwrap();
    let plan = LoadPlan { count: 300, over_ms: 9000.0, stay_ms: 3000.0, ..load_plan() };
    let clients = cluster.start_clients(plan);
    wait_ms(1500).await;
    let messages_sent = cluster.mesh.counts().total();
    assert!(messages_sent > 0, "the relays sent each other no messages");
    cluster.apply(&Fault::Partition((0..6).collect())).await.unwrap();
    cluster.apply(&Fault::DrainEndpoint { endpoint: 0, within_ms: 1500.0 }).await.unwrap();
    cluster.apply(&Fault::KillEndpoint(1)).await.unwrap();
    wait_ms(3000).await;
    cluster.apply(&Fault::HealPartition).await.unwrap();
    cluster.apply(&Fault::StartEndpoint(1)).await.unwrap();
    let results = clients.finish(20_000.0).await;
    assert!(results.all.served * 10 >= results.all.total() * 9, "{results:?}");
    assert_eq!(cluster.mesh.counts().too_long, 0);
    assert!(results.reconnects_requested > 0, "the draining endpoint migrated no client: {results:?}");
    assert_invariants(&mut cluster, MIN_SEGMENT_SERVED_FRACTION);
}

#[tokio::test]
async fn a_relay_that_was_paused_for_seconds_continues_to_serve() {
    let mut cluster = start_cluster(config(4, 4)).await;
    let clients = cluster.start_clients(LoadPlan {
        count: 200,
        over_ms: 8000.0,
        stay_ms: 1000.0,
        max_tries: 8,
        ..load_plan()
    });
    wait_ms(1000).await;
    cluster.apply(&Fault::PauseRelay(1)).await.unwrap();
    wait_ms(1000).await;
    cluster.apply(&Fault::DrainEndpoint { endpoint: 0, within_ms: 500.0 }).await.unwrap();
    wait_ms(2000).await;
    cluster.apply(&Fault::ResumeRelay(1)).await.unwrap();
    let resumed_at = cluster.log.now();
    let results = clients.finish(20_000.0).await;
    assert!(results.all.served * 10 >= results.all.total() * 7, "{results:?}");
    let requests = cluster.log.count(|event| matches!(event, EventKind::RequestSent { relay: 1, .. }));
    let events = cluster.log.events();
    let got_request_after_resume = events
        .iter()
        .any(|e| e.at_ms > resumed_at && matches!(e.kind, EventKind::RequestSent { relay: 1, .. }));
    assert!(
        got_request_after_resume && requests > 10,
        "the load balancer sent the resumed relay no more requests"
    );
    assert_invariants(&mut cluster, 1.0 / 3.0);
}

#[tokio::test]
async fn relays_that_start_without_discovery_serve_and_get_the_list_once_it_is_back() {
    const RELAYS: usize = 16;
    let mut config = config(RELAYS, 6);
    (config.discovery.down, config.discovery.call_cost_ms) = (true, 50.0);
    let mut cluster = start_cluster(config).await;
    let clients =
        cluster.start_clients(LoadPlan { count: 150, over_ms: 3000.0, stay_ms: 1000.0, ..load_plan() });
    wait_ms(4000).await;
    let results = clients.finish(20_000.0).await;
    assert_eq!(informed_relays(&cluster.log.events(), RELAYS), 0);
    assert!(results.all.served * 10 >= results.all.total() * 9, "{results:?}");
    // Discovery answers at half its former rate.
    cluster.discovery.update(|s| (s.down, s.call_cost_ms) = (false, 100.0));
    let all_informed = |events: &[Event]| informed_relays(events, RELAYS) == RELAYS;
    assert!(
        cluster.log.wait_until(30_000.0, all_informed).await,
        "{} relays have the endpoint list",
        informed_relays(&cluster.log.events(), RELAYS)
    );
    assert_invariants(&mut cluster, MIN_SEGMENT_SERVED_FRACTION);
}

#[tokio::test]
async fn invariants_hold_through_a_random_fault_schedule() {
    for seed in [1, 2] {
        let bounds = ScheduleBounds { relays: 6, endpoints: 6, duration_ms: 20_000.0, faults: 10 };
        let schedule = FaultSchedule::draw(seed, &bounds);
        let mut cluster = start_cluster(config(6, 6)).await;
        let plan =
            LoadPlan { count: 500, over_ms: 20_000.0, stay_ms: 2000.0, seed, max_tries: 8, ..load_plan() };
        let clients = cluster.start_clients(plan);
        cluster.run(&schedule).await.unwrap();
        let results = clients.finish(20_000.0).await;
        assert!(results.all.served * 2 >= results.all.total(), "{schedule}{results:?}");
        let verdict = cluster.verdict();
        println!("seed {seed}\n{verdict}");
        assert!(verdict.violations.is_empty(), "seed {seed}\n{schedule}{verdict}");
        let levels = verdict.service_levels.check_minimum(1.0 / 3.0);
        assert!(levels.is_ok(), "seed {seed}: {}\n{schedule}{verdict}", levels.unwrap_err());
    }
}
