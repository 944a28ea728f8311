//! The cold budget with 20 and 30 processes of the program: endpoints start again cold and new ones join under load,
//! while relays are killed, end as planned and start again. What counts is what all processes together send.

use sandgw_test_cluster::fault_schedule::{Fault, Script};
use sandgw_test_cluster::invariants::Rule;
use sandgw_test_cluster::load_clients::Plan;
use sandgw_test_cluster::log::What;
use sandgw_test_cluster::{Size, TestCluster};
use tokio::sync::Mutex;

/// Endpoints at the start, all of them warm.
const WARM: usize = 6;
/// Set-ups a second that a warm endpoint bears, by which its cold budget goes, and the clients that come a second: a
/// little more than those bear, so that one that is cold is well over its budget if it gets its share of them.
const CAPACITY: f64 = 6.0;
const CLIENTS: f64 = 40.0;
const LENGTH: f64 = 15_000.0;

fn script(relays: usize) -> Script {
    let killed: Vec<_> = (0..relays).filter(|n| n % 3 == 0).collect();
    let steps = vec![
        (3000.0, Fault::EndpointDies(0)),
        (3000.0, Fault::EndpointDies(1)),
        // Two start again, and one joins.
        (4000.0, Fault::EndpointStarts(0)),
        (4000.0, Fault::EndpointStarts(1)),
        (4000.0, Fault::EndpointJoins),
        (5500.0, Fault::Kill(killed.clone())),
        (5800.0, Fault::Restart(killed)),
        // The next one joins while others are half warm.
        (8800.0, Fault::EndpointJoins),
        (8800.0, Fault::Terminate(vec![1, 2])),
        (9800.0, Fault::Restart(vec![1, 2])),
    ];
    Script { steps }
}

/// One tier at a time: together they would keep the machine from letting each go on.
static ALONE: Mutex<()> = Mutex::const_new(());

async fn all_spare_cold_endpoints(relays: usize) {
    let _alone = ALONE.lock().await;
    let mut size = Size::new(env!("CARGO_BIN_EXE_sandgw"), relays, WARM);
    size.rate = CAPACITY;
    let mut rig = TestCluster::new(size).await.unwrap();
    rig.ready().await.unwrap();
    let count = (CLIENTS * LENGTH / 1000.0) as usize;
    let plan = Plan { count, over_ms: LENGTH, stay_ms: 4000.0, groups: 400, ..Plan::default() };
    let clients = rig.clients(plan);
    rig.run(&script(relays)).await.unwrap();
    let results = clients.end(20_000.0).await;
    let verdict = rig.verdict();
    println!("{verdict}");
    // The rule is about relays that were told of the start; the most, and the fall of a stand-in, about all that came.
    let fell = rig.log.count(|w| matches!(w, What::Fell(_)));
    let spared = verdict.kept(Rule::FailBack) && verdict.coldest <= 1.0 && fell == 0;
    assert!(spared, "{fell} fell, {:.2} of the budget at most: {verdict}", verdict.coldest);
    // They were cold under load: else there was nothing to spare.
    let came = |id: &str| rig.log.count(|w| matches!(w, What::Attempt { endpoint, .. } if &**endpoint == id));
    assert!(["s006", "s007"].iter().all(|id| came(id) >= 4), "nobody found those that joined: {verdict}");
    assert!(results.all.served * 10 >= results.all.all() * 8, "{results:?}");
    assert!(verdict.shares.hold(0.5).is_ok(), "{verdict}");
    for relay in &mut rig.relays {
        assert!(relay.runs(), "relay {} has ended: {}", relay.number, relay.logged());
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
