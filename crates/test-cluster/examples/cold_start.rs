//! Starts many relays together before a slow list service and endpoints with one store, and prints how they fare.
//!
//! `cargo run --release -p sandgw-rig --example cold_start -- target/release/sandgw --relays 250`

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use sandgw_test_cluster::load_clients::Plan as Crowd;
use sandgw_test_cluster::log::{Event, What};
use sandgw_test_cluster::stub_discovery::Service;
use sandgw_test_cluster::{Millis, Size, TestCluster, TestClusterError, span};

#[derive(Parser)]
struct Arguments {
    /// The program to measure.
    binary: PathBuf,
    /// Relays.
    #[arg(long, default_value_t = 250)]
    relays: usize,
    /// Clients that come within 4 s of the start.
    #[arg(long, default_value_t = 1000)]
    clients: usize,
    /// What a call that begins costs the list service, in milliseconds.
    #[arg(long, default_value_t = 50.0)]
    cost: Millis,
    /// What it costs more for each call that waits before it.
    #[arg(long, default_value_t = 0.0)]
    slower: Millis,
    /// How long to look, in seconds.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    /// The list service is down for so many seconds from the start.
    #[arg(long, default_value_t = 0.0)]
    down: f64,
    /// What a call costs once it is back, if not the same.
    #[arg(long)]
    back_cost: Option<Millis>,
    /// The list service never answers.
    #[arg(long)]
    mute: bool,
    /// Relays know no list at their start.
    #[arg(long)]
    unknown: bool,
    /// Set-ups a second at the store.
    #[arg(long, default_value_t = 120.0)]
    store: f64,
    /// Warm endpoints.
    #[arg(long, default_value_t = 12)]
    warm: usize,
    /// Endpoints that start with the relays.
    #[arg(long, default_value_t = 18)]
    cold: usize,
    /// Set-ups a second that one warm endpoint bears.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Kill this share of the relays at once after so many seconds and start them again.
    #[arg(long)]
    again_after: Option<f64>,
    /// That share.
    #[arg(long, default_value_t = 0.7)]
    again_share: f64,
    /// What all that is drawn depends on.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let run = |runtime: tokio::runtime::Runtime| runtime.block_on(measure(&arguments));
    match runtime.map(run) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(e)) => {
            eprintln!("{e}\n{}", e.help());
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("no runtime: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(a: &Arguments) -> Result<(), TestClusterError> {
    let service =
        Service { cost: a.cost, slower: a.slower, down: a.down > 0.0, mute: a.mute, ..Service::default() };
    let size = Size {
        cold: a.cold,
        rate: a.rate,
        store_rate: Some(a.store),
        service,
        seed: a.seed,
        known: !a.unknown,
        ..Size::new(&a.binary, a.relays, a.warm)
    };
    let mut rig = TestCluster::new(size).await?;
    let begin = rig.log.now();
    let tenants = [("acme", 0.6), ("luna", 0.3), ("nova", 0.1)].map(|(name, weight)| (name.into(), weight));
    let crowd = Crowd {
        count: a.clients,
        over_ms: 4000.0,
        seed: a.seed,
        stay_ms: a.seconds * 1000.0,
        tenants: tenants.into(),
        ..Crowd::default()
    };
    let clients = rig.clients(crowd);
    rig.start(900.0).await?;
    let until = |rig: &TestCluster, s: f64| tokio::time::sleep(span(begin + s * 1000.0 - rig.log.now()));
    let mut early = None;
    let mut moments = vec![(5.0, Moment::Count), (a.seconds, Moment::End)];
    moments.extend((a.down > 0.0).then_some((a.down, Moment::Back)));
    moments.extend(a.again_after.map(|s| (s, Moment::Again)));
    moments.sort_by(|x, y| x.0.total_cmp(&y.0));
    for (at, moment) in moments {
        until(&rig, at).await;
        match moment {
            Moment::Count => early = Some(rig.mesh.counts()),
            Moment::Back => rig.discovery.set(|s| (s.down, s.cost) = (false, a.back_cost.unwrap_or(a.cost))),
            Moment::Again => {
                let some = (a.relays as f64 * a.again_share) as usize;
                rig.relays[..some].iter_mut().for_each(|r| r.kill());
                rig.relays[..some].iter_mut().try_for_each(|r| r.start())?;
            }
            Moment::End => break,
        }
    }
    let results = clients.results();
    let events = rig.log.events();
    print_lists(&events, begin, a);
    print_calls(&events, begin, a);
    let (all, set_ups) = (&results.all, rig.fleet.set_ups());
    let each = set_ups as f64 / all.served.max(1) as f64;
    let waiting = results.waited_ms.iter().sum::<f64>() / results.waited_ms.len().max(1) as f64;
    println!(
        "clients: {} of {} served after {waiting:.0} ms in the mean, {} refused, {} failed, {} lost, {} unreached",
        all.served, a.clients, all.refused, all.failed, all.lost, all.unreached
    );
    println!("set-ups at the store: {set_ups}, {each:.2} a served client; refusals {}", results.refusals);
    let counts = rig.mesh.counts();
    let early = early.unwrap_or_default();
    let most = early.sent.iter().max().copied().unwrap_or(0);
    let (n, bytes) = (early.all(), early.bytes.iter().sum::<u64>());
    println!(
        "datagrams in 5 s: {n}, {:.1} a relay (most {most}), {bytes} bytes; in all {}, by kind {:?}",
        n as f64 / a.relays as f64,
        counts.all(),
        counts.kinds
    );
    let mut memory: Vec<_> = rig.relays.iter().filter_map(|r| r.memory_kib()).collect();
    memory.sort_unstable();
    let middle = memory.get(memory.len() / 2).copied().unwrap_or(0);
    let running = rig.relays.iter_mut().filter_map(|r| r.runs().then_some(())).count();
    println!("memory: {middle} KiB in the median, {:?} at the most; {running} relays run", memory.last());
    print!("{}", rig.verdict());
    Ok(())
}

enum Moment {
    Count,
    Back,
    Again,
    End,
}

/// When how many relays have the list.
fn print_lists(events: &[Event], begin: Millis, a: &Arguments) {
    let (mut first, mut times) = (BTreeMap::new(), Vec::new());
    for e in events {
        match &e.what {
            What::Told { relay, .. } => drop(first.entry(*relay).or_insert(e.at - begin)),
            What::Ready(_) => times.push(e.at - begin),
            _ => {}
        }
    }
    println!("ready: {} after {:.1} s", times.len(), times.iter().fold(0.0_f64, |a, b| a.max(*b)) / 1000.0);
    let mut told: Vec<_> = first.into_values().collect();
    told.sort_by(f64::total_cmp);
    let mut line = format!("list at {} of {} relays:", told.len(), a.relays);
    for second in
        [1, 2, 3, 5, 8, 10, 13, 16, 20, 25, 30, 45, 60].iter().filter(|s| f64::from(**s) <= a.seconds)
    {
        let n = told.partition_point(|at| *at <= f64::from(*second) * 1000.0);
        line += &format!(" {second} s {n},");
    }
    println!("{line} last {:.1} s", told.last().copied().unwrap_or(0.0) / 1000.0);
}

/// How many calls there were, and how fast those of relays that wait came.
fn print_calls(events: &[Event], begin: Millis, a: &Arguments) {
    let (mut begun, mut failed, mut last) = (BTreeMap::new(), 0, 0.0_f64);
    let mut seconds = vec![0_u32; a.seconds as usize + 2];
    for e in events {
        match &e.what {
            What::Called { call, begins: true, .. } => {
                begun.insert(*call, ());
                let second = ((e.at - begin) / 1000.0).max(0.0) as usize;
                if let Some(n) = seconds.get_mut(second) {
                    *n += 1;
                }
                last = last.max(e.at - begin);
            }
            What::NotTold { call, .. } => failed += u32::from(begun.contains_key(call)),
            _ => {}
        }
    }
    let most = seconds.iter().max().copied().unwrap_or(0);
    let over = seconds.iter().filter(|n| f64::from(**n) * a.cost > 1000.0).count();
    println!(
        "calls that begin: {}, {failed} failed ({:.0}%), most {most} in a second, {over} seconds over the rate",
        begun.len(),
        100.0 * f64::from(failed) / begun.len().max(1) as f64
    );
    println!("calls by second: {seconds:?}");
}
