//! Runs of whole clusters that are drawn from a seed: the same seed draws the same cluster, load and faults.
//!
//! [`SoakScenario::draw`] says what is run, [`run`] runs it, and a [`SoakReport`] says how it went. What real
//! processes make of it differs from run to run by their timing.

mod episodes;
mod report;
mod scenario;
mod slow_answers;

use std::path::Path;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

pub use report::{SoakFault, SoakReport};
pub use scenario::{ClassEffect, SoakScenario};
pub use slow_answers::SlowAnswers;

use crate::invariants::check_invariants;
use crate::load_clients::LoadPlan;
use crate::{Millis, TestCluster, TestClusterError, duration};

/// How long the last clients may take to leave once the faults are over.
const FINISH_TIMEOUT_MS: Millis = 20_000.0;
/// How long a relay may take until it holds no connection any more once all clients have left.
const QUIET_TIMEOUT_MS: Millis = 10_000.0;
/// How often a relay is asked whether it is quiet.
const QUIET_CHECK_INTERVAL_MS: Millis = 100.0;
/// The status of a relay that serves and holds no connection.
const QUIET_STATUS: &str = "done active, 0 standing";

/// Runs a scenario with relays of a program.
///
/// # Errors
///
/// What keeps the test cluster itself from working; faults of relays are in the report.
pub async fn run(scenario: &SoakScenario, binary: &Path) -> Result<SoakReport, TestClusterError> {
    let mut cluster = TestCluster::new(scenario.cluster_config(binary)).await?;
    for relay in &mut cluster.relays {
        scenario.apply_settings(&mut relay.config);
    }
    cluster.start_and_wait().await?;
    let clients = cluster.start_clients(scenario.load_plan());
    cluster.run(&scenario.schedule).await?;
    let results = clients.finish(FINISH_TIMEOUT_MS).await;
    let mut faults = find_unquiet_relays(&mut cluster).await;
    let verdict = check_invariants(&cluster.log.events(), &cluster.config.rules, &scenario.effects());
    faults.extend(verdict.violations.iter().cloned().map(SoakFault::RuleViolated));
    let levels = verdict.service_levels.check_minimum(scenario.min_served_fraction);
    faults.extend(levels.err().map(SoakFault::ServiceLevel));
    let log_folder = (!faults.is_empty()).then(|| report::keep_logs(scenario.seed, &cluster)).flatten();
    Ok(SoakReport { results: results.all, faults, log_folder })
}

/// Relays that have ended by themselves, or still hold connections although all clients have left.
async fn find_unquiet_relays(cluster: &mut TestCluster) -> Vec<SoakFault> {
    let mut faults = Vec::new();
    for relay in &mut cluster.relays {
        let number = relay.index;
        if relay.ended_by_itself() > 0 || !relay.is_running() {
            faults.push(SoakFault::RelayEnded(number));
            continue;
        }
        let address = relay.config.operators;
        let mut status = String::new();
        for _ in 0..(QUIET_TIMEOUT_MS / QUIET_CHECK_INTERVAL_MS) as usize {
            status = read_status(address).await.unwrap_or_default();
            if status == QUIET_STATUS {
                break;
            }
            sleep(duration(QUIET_CHECK_INTERVAL_MS)).await;
        }
        if status != QUIET_STATUS {
            faults.push(SoakFault::NotQuiet { relay: number, status });
        }
    }
    faults
}

/// A relay's answer to an operator's `status`.
async fn read_status(address: std::net::SocketAddr) -> std::io::Result<String> {
    let ask = async {
        let mut stream = BufReader::new(TcpStream::connect(address).await?);
        stream.write_all(b"status\n").await?;
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        Ok(line.trim_end().to_owned())
    };
    timeout(duration(1000.0), ask).await.unwrap_or_else(|late| Err(late.into()))
}

impl SoakScenario {
    fn load_plan(&self) -> LoadPlan {
        LoadPlan { count: self.clients, over_ms: self.duration_ms, seed: self.seed, ..self.load.clone() }
    }
}
