//! The errors of the test cluster itself. Faults of relays are no errors but events of the log.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::Millis;
use crate::log::RelayIndex;

/// What keeps the test cluster itself from working.
#[derive(Debug, thiserror::Error)]
pub enum TestClusterError {
    /// A stand-in can't open its socket.
    #[error("no socket at {address}: {source}")]
    Socket {
        /// The address to bind.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A relay's process can't be started.
    #[error("relay {relay} can't be started from {}: {source}", binary.display())]
    Start {
        /// The relay.
        relay: RelayIndex,
        /// The program.
        binary: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A relay's folder or one of its files can't be written.
    #[error("the folder of relay {relay} can't be written: {source}")]
    Folder {
        /// The relay.
        relay: RelayIndex,
        /// The system's error.
        source: io::Error,
    },
    /// A signal can't be sent to a relay's process.
    #[error("relay {relay} takes no signal: {source}")]
    Signal {
        /// The relay.
        relay: RelayIndex,
        /// The system's error.
        source: io::Error,
    },
    /// A relay has not answered `PING` in time.
    #[error("relay {relay} is not ready after {waited_ms:.0} ms; its log ends: {log_end}")]
    NotReady {
        /// The relay.
        relay: RelayIndex,
        /// How long its answer was awaited.
        waited_ms: Millis,
        /// The end of its log.
        log_end: String,
    },
    /// The system admits fewer descriptors than the cluster needs.
    #[error("{needed} descriptors are needed and the system admits {hard_limit}")]
    Descriptors {
        /// The number that the cluster needs.
        needed: u64,
        /// The hard limit of this process.
        hard_limit: u64,
    },
}

impl TestClusterError {
    /// What whoever runs the cluster can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            TestClusterError::Socket { .. } => {
                "end what listens there, or run again: the cluster draws its ports anew"
            }
            TestClusterError::Start { .. } => "build the program and give the path of its binary",
            TestClusterError::Folder { .. } => {
                "make room in the folder for temporary files, or set TMPDIR to another"
            }
            TestClusterError::Signal { .. } => "look into the relay's log: its process has ended by itself",
            TestClusterError::NotReady { .. } => {
                "look into the relay's log; on a busy machine run fewer relays"
            }
            TestClusterError::Descriptors { .. } => "raise the hard limit (ulimit -Hn), or run fewer relays",
        }
    }
}
