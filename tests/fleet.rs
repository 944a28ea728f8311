//! Several processes of the program with faults between them. What counts is the judge's verdict on the log of all
//! stand-ins, and counts; limits of time are the rules' own and a second of grace for a busy machine.

use std::time::Duration;

use sandgw_test_cluster::fault_schedule::{Bounds, Fault, Script};
use sandgw_test_cluster::load_clients::Plan;
use sandgw_test_cluster::log::{Event, What};
use sandgw_test_cluster::{Size, TestCluster};

/// What a busy machine may be late by, in milliseconds.
const GRACE: f64 = 1500.0;
/// The floor of runs in which nine in ten are served in all.
const HALF: f64 = 0.5;

fn size(relays: usize, endpoints: usize) -> Size {
    let mut size = Size::new(env!("CARGO_BIN_EXE_sandgw"), relays, endpoints);
    size.rules.grace_ms = GRACE;
    size.classes = vec!["stream", "query"];
    size
}

/// Clients of all classes and tenants.
fn crowd() -> Plan {
    let classes = [("stream", 2.0), ("query", 1.0)].map(|(name, weight)| (name.into(), weight));
    let tenants = [("acme", 3.0), ("luna", 2.0), ("nova", 1.0)].map(|(name, weight)| (name.into(), weight));
    Plan { classes: classes.into(), tenants: tenants.into(), ..Plan::default() }
}

async fn ready(size: Size) -> TestCluster {
    let mut rig = TestCluster::new(size).await.unwrap();
    rig.ready().await.unwrap();
    rig
}

async fn wait(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// The rules are kept, each third of the run, each class and each tenant was served this share of what it asked, and no
/// relay has ended by itself.
fn kept(rig: &mut TestCluster, floor: f64) {
    let verdict = rig.verdict();
    println!("{verdict}");
    assert!(verdict.breaches.is_empty(), "{verdict}");
    let held = verdict.shares.hold(floor);
    assert!(held.is_ok(), "{}\n{verdict}", held.unwrap_err());
    for relay in &mut rig.relays {
        assert!(relay.runs(), "relay {} has ended: {}", relay.number, relay.logged());
    }
}

fn told(events: &[Event], relays: usize) -> usize {
    let told =
        |relay: &usize| events.iter().any(|e| matches!(&e.what, What::Told { relay: r, .. } if r == relay));
    (0..relays).filter(told).count()
}

#[tokio::test]
async fn a_watch_that_falls_silent_is_asked_anew_before_its_relay_counts_as_told() {
    const RELAYS: usize = 16;
    let mut rig = ready(size(RELAYS, 4)).await;
    let watches = |events: &[Event]| told(events, RELAYS) == RELAYS;
    assert!(rig.log.until(20_000.0, watches).await);
    wait(500).await;
    rig.discovery.silence();
    let silent = rig.log.now();
    // It tells of this to nobody whose watch is silent.
    rig.apply(&Fault::Drain(0, 3000.0)).await.unwrap();
    let clients = rig.clients(Plan { count: 300, over_ms: 9000.0, stay_ms: 300.0, ..crowd() });
    let asks = |events: &[Event], relay: usize| {
        let anew =
            |e: &&Event| matches!(&e.what, What::Called { relay: r, .. } if *r == relay) && e.at > silent;
        events.iter().find(anew).map(|e| e.at - silent)
    };
    let all = |events: &[Event]| (0..RELAYS).all(|relay| asks(events, relay).is_some());
    assert!(rig.log.until(20_000.0, all).await, "a silent watch is held for ever");
    let events = rig.log.events();
    for relay in 0..RELAYS {
        // The watch was out already when it fell silent: 6 s from then at the most, and a second to stop.
        let after = asks(&events, relay).unwrap();
        assert!(after < 7000.0 + GRACE, "relay {relay} asks anew after {after:.0} ms");
    }
    let results = clients.end(20_000.0).await;
    assert!(results.all.served * 10 >= results.all.all() * 9, "{results:?}");
    kept(&mut rig, HALF);
}

#[tokio::test]
async fn clients_find_their_streamers_after_most_relays_were_killed_at_once() {
    let mut rig = ready(size(8, 8)).await;
    // Clients are placed by five endpoints and come back to eight: what the table says now is not where they are.
    for n in 0..3 {
        rig.apply(&Fault::EndpointDies(n)).await.unwrap();
    }
    wait(1000).await;
    let plan =
        Plan { count: 120, over_ms: 1500.0, stay_ms: 12_000.0, deadline_ms: 6000.0, tries: 20, ..crowd() };
    let clients = rig.clients(plan);
    wait(4000).await;
    let before = clients.results();
    assert!(before.standing >= 110, "{before:?}");
    for n in 0..3 {
        rig.apply(&Fault::EndpointStarts(n)).await.unwrap();
    }
    wait(1000).await;
    let most: Vec<_> = (2..8).collect();
    rig.apply(&Fault::Kill(most.clone())).await.unwrap();
    wait(500).await;
    rig.apply(&Fault::Restart(most)).await.unwrap();
    wait(5000).await;
    let after = clients.results();
    assert!(after.mid_flow >= 60, "{after:?}");
    let (all, found) = rig.verdict().mid_flow;
    assert!(found * 10 >= all * 9, "{found} of {all} found at once, {after:?}");
    kept(&mut rig, HALF);
}

#[tokio::test]
async fn rules_are_kept_over_links_that_lose_double_reorder_and_are_cut() {
    let mut rig = ready(size(12, 8)).await;
    rig.apply(&Fault::Noise { loss: 0.3, doubled: 0.3, delay_ms: 300.0 }).await.unwrap();
    let plan = Plan { count: 300, over_ms: 9000.0, stay_ms: 3000.0, ..crowd() };
    let clients = rig.clients(plan);
    wait(1500).await;
    let sent = rig.mesh.counts().all();
    assert!(sent > 0, "the relays tell each other nothing");
    rig.apply(&Fault::Cut((0..6).collect())).await.unwrap();
    rig.apply(&Fault::Drain(0, 1500.0)).await.unwrap();
    rig.apply(&Fault::EndpointDies(1)).await.unwrap();
    wait(3000).await;
    rig.apply(&Fault::Heal).await.unwrap();
    rig.apply(&Fault::EndpointStarts(1)).await.unwrap();
    let results = clients.end(20_000.0).await;
    assert!(results.all.served * 10 >= results.all.all() * 9, "{results:?}");
    assert_eq!(rig.mesh.counts().too_long, 0);
    assert!(results.moved > 0, "the streamer that drains sent nobody away: {results:?}");
    kept(&mut rig, HALF);
}

#[tokio::test]
async fn a_relay_that_stood_still_for_seconds_goes_on() {
    let mut rig = ready(size(4, 4)).await;
    let clients = rig.clients(Plan { count: 200, over_ms: 8000.0, stay_ms: 1000.0, tries: 8, ..crowd() });
    wait(1000).await;
    rig.apply(&Fault::Stop(1)).await.unwrap();
    wait(1000).await;
    rig.apply(&Fault::Drain(0, 500.0)).await.unwrap();
    wait(2000).await;
    rig.apply(&Fault::GoOn(1)).await.unwrap();
    let woke = rig.log.now();
    let results = clients.end(20_000.0).await;
    assert!(results.all.served * 10 >= results.all.all() * 7, "{results:?}");
    let after = rig.log.count(|w| matches!(w, What::Asked { relay: 1, .. }));
    let events = rig.log.events();
    let asked = events.iter().any(|e| e.at > woke && matches!(e.what, What::Asked { relay: 1, .. }));
    assert!(asked && after > 10, "the front never came back to it");
    kept(&mut rig, 1.0 / 3.0);
}

#[tokio::test]
async fn relays_that_start_without_discovery_serve_and_learn_once_it_is_back() {
    const RELAYS: usize = 16;
    let mut size = size(RELAYS, 6);
    (size.service.down, size.service.cost) = (true, 50.0);
    let mut rig = ready(size).await;
    let clients = rig.clients(Plan { count: 150, over_ms: 3000.0, stay_ms: 1000.0, ..crowd() });
    wait(4000).await;
    let results = clients.end(20_000.0).await;
    assert_eq!(told(&rig.log.events(), RELAYS), 0);
    assert!(results.all.served * 10 >= results.all.all() * 9, "{results:?}");
    // At half its rate.
    rig.discovery.set(|s| (s.down, s.cost) = (false, 100.0));
    let all = |events: &[Event]| told(events, RELAYS) == RELAYS;
    assert!(rig.log.until(30_000.0, all).await, "{} have the list", told(&rig.log.events(), RELAYS));
    kept(&mut rig, HALF);
}

#[tokio::test]
async fn rules_are_kept_through_a_drawn_script() {
    for seed in [1, 2] {
        let bounds = Bounds { relays: 6, endpoints: 6, length_ms: 20_000.0, faults: 10 };
        let script = Script::draw(seed, &bounds);
        let mut rig = ready(size(6, 6)).await;
        let plan = Plan { count: 500, over_ms: 20_000.0, stay_ms: 2000.0, seed, tries: 8, ..crowd() };
        let clients = rig.clients(plan);
        rig.run(&script).await.unwrap();
        let results = clients.end(20_000.0).await;
        assert!(results.all.served * 2 >= results.all.all(), "{script}{results:?}");
        let verdict = rig.verdict();
        println!("seed {seed}\n{verdict}");
        assert!(verdict.breaches.is_empty(), "seed {seed}\n{script}{verdict}");
        let held = verdict.shares.hold(1.0 / 3.0);
        assert!(held.is_ok(), "seed {seed}: {}\n{script}{verdict}", held.unwrap_err());
    }
}
