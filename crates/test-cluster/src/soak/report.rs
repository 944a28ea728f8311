//! How a soak run went.

use std::fmt;
use std::fs;
use std::path::PathBuf;

use crate::TestCluster;
use crate::invariants::Violation;
use crate::load_clients::OutcomeCounts;
use crate::log::RelayIndex;
use crate::service_levels::ServiceLevelError;

/// What was wrong.
#[derive(Debug)]
pub enum SoakFault {
    /// A rule was broken.
    RuleViolated(Violation),
    /// Too few clients were served of a class, a tenant or a third.
    ServiceLevel(ServiceLevelError),
    /// A relay has ended by itself.
    RelayEnded(RelayIndex),
    /// A relay is not whole and quiet at the end.
    NotQuiet {
        /// The relay.
        relay: RelayIndex,
        /// What it answers an operator's `status`; empty if nothing.
        status: String,
    },
}

impl fmt::Display for SoakFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SoakFault::RuleViolated(violation) => write!(f, "{violation}"),
            SoakFault::ServiceLevel(error) => write!(f, "{error}"),
            SoakFault::RelayEnded(relay) => write!(f, "relay {relay} has ended by itself"),
            SoakFault::NotQuiet { relay, status } => {
                write!(f, "relay {relay} is not quiet at the end: {status:?}")
            }
        }
    }
}

/// How a soak run went.
#[derive(Debug)]
pub struct SoakReport {
    /// What became of the clients.
    pub results: OutcomeCounts,
    /// What was wrong.
    pub faults: Vec<SoakFault>,
    /// Where the relays' logs and the stand-ins' log are, if anything was wrong.
    pub log_folder: Option<PathBuf>,
}

/// Copies the logs to a folder of their own; none if that can't be made.
pub(super) fn keep_logs(seed: u64, cluster: &TestCluster) -> Option<PathBuf> {
    let folder = tempfile::Builder::new().prefix(&format!("soak-{seed}-")).tempdir().ok()?.keep();
    for relay in &cluster.relays {
        let _ = fs::write(folder.join(format!("{}.log", relay.name())), relay.log_text());
    }
    let events: String = cluster.log.events().iter().map(|event| format!("{event:?}\n")).collect();
    let _ = fs::write(folder.join("events.log"), events);
    Some(folder)
}
