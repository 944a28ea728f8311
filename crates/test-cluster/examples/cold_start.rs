//! Starts many relays together before a slow discovery and endpoints with one store, and prints how they
//! fare.
//!
//! `cargo run --release -p sandgw-test-cluster --example cold_start -- target/release/sandgw --relays 250`

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use sandgw_test_cluster::fault_proxy::DatagramCounts;
use sandgw_test_cluster::load_clients::{LoadPlan, LoadResults, Weighted};
use sandgw_test_cluster::log::{Event, EventKind};
use sandgw_test_cluster::stub_discovery::ServiceModel;
use sandgw_test_cluster::{ClusterConfig, Millis, TestCluster, TestClusterError, duration};
use tokio::time::sleep;

/// Within how long the relays are started.
const START_MS: Millis = 900.0;
/// Within how long the clients arrive.
const ARRIVAL_MS: Millis = 4000.0;
/// When the datagrams of the start are counted.
const DATAGRAM_COUNT_S: f64 = 5.0;
/// The seconds after which it is printed how many relays have the list.
const LIST_SECONDS: [u32; 13] = [1, 2, 3, 5, 8, 10, 13, 16, 20, 25, 30, 45, 60];

#[derive(Parser)]
struct Arguments {
    /// The program to measure.
    binary: PathBuf,
    /// Relays.
    #[arg(long, default_value_t = 250)]
    relays: usize,
    /// Clients that arrive within 4 s of the start.
    #[arg(long, default_value_t = 1000)]
    clients: usize,
    /// What a call that begins costs discovery, in milliseconds.
    #[arg(long = "cost", default_value_t = 50.0)]
    call_cost_ms: Millis,
    /// What it costs more for each call that waits before it.
    #[arg(long = "slower", default_value_t = 0.0)]
    cost_per_queued_call_ms: Millis,
    /// How long to measure, in seconds.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    /// Discovery is down for so many seconds from the start.
    #[arg(long = "down", default_value_t = 0.0)]
    down_s: f64,
    /// What a call costs once discovery is up again, if not the same.
    #[arg(long = "back-cost")]
    call_cost_after_ms: Option<Millis>,
    /// Discovery never answers.
    #[arg(long = "mute")]
    unresponsive: bool,
    /// Relays know no list at their start.
    #[arg(long)]
    unknown: bool,
    /// Set-ups a second at the store.
    #[arg(long = "store", default_value_t = 120.0)]
    store_setups_per_s: f64,
    /// Warm endpoints.
    #[arg(long = "warm", default_value_t = 12)]
    warm_endpoints: usize,
    /// Endpoints that start with the relays.
    #[arg(long = "cold", default_value_t = 18)]
    cold_endpoints: usize,
    /// Set-ups a second that one warm endpoint takes.
    #[arg(long = "rate", default_value_t = 20.0)]
    setups_per_s: f64,
    /// Kill a fraction of the relays at once after so many seconds and start them again.
    #[arg(long = "again-after")]
    restart_after_s: Option<f64>,
    /// That fraction.
    #[arg(long = "again-share", default_value_t = 0.7)]
    restart_fraction: f64,
    /// The seed of everything that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Arguments {
    fn cluster_config(&self) -> ClusterConfig {
        let discovery = ServiceModel {
            call_cost_ms: self.call_cost_ms,
            cost_per_queued_call_ms: self.cost_per_queued_call_ms,
            down: self.down_s > 0.0,
            unresponsive: self.unresponsive,
            ..ServiceModel::default()
        };
        ClusterConfig {
            cold_endpoints: self.cold_endpoints,
            setups_per_s: self.setups_per_s,
            store_setups_per_s: Some(self.store_setups_per_s),
            discovery,
            seed: self.seed,
            list_known_at_start: !self.unknown,
            ..ClusterConfig::new(&self.binary, self.relays, self.warm_endpoints)
        }
    }

    fn load_plan(&self) -> LoadPlan {
        let tenants =
            [("acme", 0.6), ("luna", 0.3), ("nova", 0.1)].map(|(name, weight)| Weighted::new(name, weight));
        LoadPlan {
            count: self.clients,
            over_ms: ARRIVAL_MS,
            seed: self.seed,
            stay_ms: self.seconds * 1000.0,
            tenants: tenants.into(),
            ..LoadPlan::default()
        }
    }

    /// What happens during the measurement, in order.
    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![
            Step { at_s: DATAGRAM_COUNT_S, action: Action::CountDatagrams },
            Step { at_s: self.seconds, action: Action::End },
        ];
        if self.down_s > 0.0 {
            steps.push(Step { at_s: self.down_s, action: Action::DiscoveryUp });
        }
        steps.extend(self.restart_after_s.map(|at_s| Step { at_s, action: Action::RestartRelays }));
        steps.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        steps
    }
}

/// Something that happens so many seconds after the begin.
struct Step {
    at_s: f64,
    action: Action,
}

enum Action {
    CountDatagrams,
    DiscoveryUp,
    RestartRelays,
    End,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let run = |runtime: tokio::runtime::Runtime| runtime.block_on(measure(&arguments));
    match runtime.map(run) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("{error}\n{}", error.help());
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("no runtime: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(arguments: &Arguments) -> Result<(), TestClusterError> {
    let mut cluster = TestCluster::new(arguments.cluster_config()).await?;
    let begin_ms = cluster.log.now();
    let clients = cluster.start_clients(arguments.load_plan());
    cluster.start(START_MS).await?;
    let early_datagrams = run_steps(&mut cluster, begin_ms, arguments).await?;
    let results = clients.results();
    let events = cluster.log.events();
    print_lists(&events, begin_ms, arguments);
    print_calls(&events, begin_ms, arguments);
    print_clients(&results, cluster.endpoints.store_setups(), arguments);
    print_datagrams(&early_datagrams, &cluster.mesh.counts(), arguments);
    print_memory(&mut cluster);
    print!("{}", cluster.verdict());
    Ok(())
}

/// Carries the steps out; returns the datagrams that were counted on the way.
async fn run_steps(
    cluster: &mut TestCluster,
    begin_ms: Millis,
    arguments: &Arguments,
) -> Result<DatagramCounts, TestClusterError> {
    let mut early_datagrams = DatagramCounts::default();
    for Step { at_s, action } in arguments.steps() {
        sleep(duration(begin_ms + at_s * 1000.0 - cluster.log.now())).await;
        match action {
            Action::CountDatagrams => early_datagrams = cluster.mesh.counts(),
            Action::DiscoveryUp => cluster.discovery.update(|service| {
                service.down = false;
                service.call_cost_ms = arguments.call_cost_after_ms.unwrap_or(arguments.call_cost_ms);
            }),
            Action::RestartRelays => {
                let count = (arguments.relays as f64 * arguments.restart_fraction) as usize;
                let relays = &mut cluster.relays[..count];
                relays.iter_mut().for_each(|relay| relay.kill());
                relays.iter_mut().try_for_each(|relay| relay.start())?;
            }
            Action::End => break,
        }
    }
    Ok(early_datagrams)
}

/// Prints when how many relays were ready and had the list.
fn print_lists(events: &[Event], begin_ms: Millis, arguments: &Arguments) {
    let mut first_answers_ms = BTreeMap::new();
    let mut ready_ms = Vec::new();
    for event in events {
        let at_ms = event.at_ms - begin_ms;
        match &event.kind {
            EventKind::DiscoveryAnswered { relay, .. } => {
                first_answers_ms.entry(*relay).or_insert(at_ms);
            }
            EventKind::RelayReady(_) => ready_ms.push(at_ms),
            _ => {}
        }
    }
    let last_ready_s = ready_ms.iter().fold(0.0_f64, |a, b| a.max(*b)) / 1000.0;
    println!("ready: {} after {last_ready_s:.1} s", ready_ms.len());
    let mut answered_ms: Vec<_> = first_answers_ms.into_values().collect();
    answered_ms.sort_by(f64::total_cmp);
    let mut line = format!("list at {} of {} relays:", answered_ms.len(), arguments.relays);
    for second in LIST_SECONDS.map(f64::from).iter().filter(|second| **second <= arguments.seconds) {
        let count = answered_ms.partition_point(|at_ms| *at_ms <= second * 1000.0);
        line += &format!(" {second} s {count},");
    }
    println!("{line} last {:.1} s", answered_ms.last().copied().unwrap_or(0.0) / 1000.0);
}

/// Prints how many calls began in each second, and how many of them failed.
fn print_calls(events: &[Event], begin_ms: Millis, arguments: &Arguments) {
    let mut begun = BTreeSet::new();
    let mut failed = 0;
    let mut by_second = vec![0_u32; arguments.seconds as usize + 2];
    for event in events {
        match &event.kind {
            EventKind::DiscoveryCalled { call, queued: true, .. } => {
                begun.insert(*call);
                let second = ((event.at_ms - begin_ms) / 1000.0).max(0.0) as usize;
                if let Some(count) = by_second.get_mut(second) {
                    *count += 1;
                }
            }
            EventKind::DiscoveryFailed { call, .. } => failed += u32::from(begun.contains(call)),
            _ => {}
        }
    }
    let max = by_second.iter().max().copied().unwrap_or(0);
    let is_over = |count: &&u32| f64::from(**count) * arguments.call_cost_ms > 1000.0;
    println!(
        "calls that begin: {}, {failed} failed ({:.0}%), at most {max} in a second, {} seconds over the rate",
        begun.len(),
        100.0 * f64::from(failed) / begun.len().max(1) as f64,
        by_second.iter().filter(is_over).count()
    );
    println!("calls by second: {by_second:?}");
}

/// Prints how clients fared, and how many set-ups that took.
fn print_clients(results: &LoadResults, store_setups: u64, arguments: &Arguments) {
    let all = &results.all;
    let mean_wait_ms = results.waits_ms.iter().sum::<f64>() / results.waits_ms.len().max(1) as f64;
    println!(
        "clients: {} of {} served after {mean_wait_ms:.0} ms in the mean, {} rejected, {} failed, {} unanswered, \
         {} unreached",
        all.served, arguments.clients, all.rejected, all.failed, all.unanswered, all.unreached
    );
    println!(
        "set-ups at the store: {store_setups}, {:.2} a served client; rejections {}",
        store_setups as f64 / all.served.max(1) as f64,
        results.rejections
    );
}

/// Prints how many datagrams were sent.
fn print_datagrams(early: &DatagramCounts, all: &DatagramCounts, arguments: &Arguments) {
    println!(
        "datagrams in {DATAGRAM_COUNT_S:.0} s: {}, {:.1} a relay (at most {}), {} bytes; in all {}, by kind {:?}",
        early.total(),
        early.total() as f64 / arguments.relays as f64,
        early.sent.iter().max().copied().unwrap_or(0),
        early.bytes.iter().sum::<u64>(),
        all.total(),
        all.by_kind
    );
}

/// Prints the memory of the relays that run.
fn print_memory(cluster: &mut TestCluster) {
    let mut memory_kib: Vec<_> = cluster.relays.iter().filter_map(|relay| relay.memory_kib()).collect();
    memory_kib.sort_unstable();
    let median_kib = memory_kib.get(memory_kib.len() / 2).copied().unwrap_or(0);
    let running = cluster.relays.iter_mut().filter_map(|relay| relay.is_running().then_some(())).count();
    println!("memory: {median_kib} KiB in the median, {:?} at most; {running} relays run", memory_kib.last());
}
