//! Runs drawn clusters of real processes through drawn faults, and says of each seed what was drawn, what was
//! served and whether a rule was broken.
//!
//! `cargo run --release -p sandgw-test-cluster --example soak -- --first-seed 1 --seeds 50`

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use sandgw_test_cluster::TestClusterError;
use sandgw_test_cluster::soak::{SoakReport, SoakScenario, run};

#[derive(Parser)]
struct Arguments {
    /// The program of the relays.
    #[arg(long, default_value = "target/release/sandgw")]
    binary: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// How many seeds, each a run of its own.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// How long the faults of one run go on, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=3600))]
    seconds: u32,
    /// Also print the faults that are drawn.
    #[arg(long)]
    verbose: bool,
}

/// Sums over all seeds.
#[derive(Default)]
struct Totals {
    broken: Vec<u64>,
    served: u64,
    arrived: u64,
    faults: usize,
}

fn print_report(scenario: &SoakScenario, report: &SoakReport) {
    let verdict = if report.faults.is_empty() { "kept" } else { "BROKEN" };
    println!("{scenario}: served {} of {}: {verdict}", report.results.served, report.results.total());
    for fault in &report.faults {
        println!("  {fault}");
    }
    if let Some(folder) = &report.log_folder {
        println!("  logs: {}", folder.display());
    }
}

async fn soak(arguments: &Arguments) -> Result<Totals, TestClusterError> {
    let mut totals = Totals::default();
    let duration_ms = f64::from(arguments.seconds) * 1000.0;
    for seed in arguments.first_seed..arguments.first_seed + arguments.seeds {
        let scenario = SoakScenario::draw(seed, duration_ms);
        if arguments.verbose {
            print!("{}", scenario.schedule);
        }
        let report = run(&scenario, &arguments.binary).await?;
        print_report(&scenario, &report);
        totals.served += report.results.served;
        totals.arrived += report.results.total();
        totals.faults += scenario.schedule.steps.len();
        totals.broken.extend((!report.faults.is_empty()).then_some(seed));
    }
    Ok(totals)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match soak(&arguments).await {
        Ok(totals) => {
            println!(
                "{} seeds, {} fault steps, served {} of {}; broken: {:?}",
                arguments.seeds, totals.faults, totals.served, totals.arrived, totals.broken
            );
            if totals.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("soak: {e}");
            ExitCode::FAILURE
        }
    }
}
