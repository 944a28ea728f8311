//! A rig for tests: many relays as real processes, stand-ins for all that is round them, and faults between.
//!
//! It owns the processes, their folders and the stand-ins' sockets; it is fed a plan and a script of faults, and
//! gives a log of what every stand-in saw, which [`invariants`] reads against the four rules. It decides nothing for a
//! relay and knows nothing of its insides: what it can't see on a socket it does not know. Everything runs on one
//! thread of tokio, on loopback addresses alone; it is for tests and measurements, never for a deployment.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cluster;
pub mod fault_proxy;
pub mod fault_schedule;
pub mod invariants;
pub mod load_clients;
pub mod log;
pub mod process;
pub mod service_levels;
pub mod settings;
pub mod stub_discovery;
pub mod stub_endpoints;

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::{TcpListener, TcpStream};

pub use cluster::{Size, TestCluster};
pub use log::Log;

pub use sandgw_units::Millis;

/// What keeps the rig itself from working; faults of relays are no errors but entries in the log.
#[derive(Debug, thiserror::Error)]
pub enum TestClusterError {
    /// A stand-in has no address to listen on.
    #[error("no socket at {at}: {cause}")]
    Socket {
        /// The address.
        at: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// A relay's process could not be started.
    #[error("relay {relay} can't be started from {}: {cause}", binary.display())]
    Start {
        /// The relay's number.
        relay: usize,
        /// The program.
        binary: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// A relay's folder or one of its files could not be written.
    #[error("the folder of relay {relay} can't be written: {cause}")]
    Folder {
        /// The relay's number.
        relay: usize,
        /// Why.
        cause: io::Error,
    },
    /// A relay's process could not be told something.
    #[error("relay {relay} takes no signal: {cause}")]
    Signal {
        /// The relay's number.
        relay: usize,
        /// Why.
        cause: io::Error,
    },
    /// A relay has not answered `PING` in time.
    #[error("relay {relay} is not ready after {after_ms:.0} ms; its log ends: {end}")]
    NotReady {
        /// The relay's number.
        relay: usize,
        /// How long it was waited for.
        after_ms: Millis,
        /// The end of its log.
        end: String,
    },
    /// The system admits fewer descriptors than the rig needs.
    #[error("{needed} descriptors are needed and the system admits {most}")]
    Descriptors {
        /// What the rig needs.
        needed: u64,
        /// The hard limit.
        most: u64,
    },
}

impl TestClusterError {
    /// What who runs the rig can do.
    pub fn help(&self) -> &'static str {
        match self {
            TestClusterError::Socket { .. } => {
                "end what listens there, or run again: the rig draws its ports anew"
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

/// The lock on shared state. What a task that panicked left behind is as good as any.
pub(crate) fn locked<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A duration of so many milliseconds; none of what is no time.
pub fn span(ms: Millis) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}

/// Unix time in milliseconds, which discovery's entries are written in.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// A loopback address that nobody else in this process is given, and hardly anybody in another.
///
/// ```
/// assert!(sandgw_test_cluster::host().is_loopback());
/// assert_ne!(sandgw_test_cluster::host(), sandgw_test_cluster::host());
/// ```
pub fn host() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (n, pid) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    Ipv4Addr::new(127, 64 + (pid % 128) as u8, (n / 250 % 250) as u8, 1 + (n % 250) as u8).into()
}

/// An address of its own with a port that is free now, for a process that is to listen there itself.
pub fn free_address() -> Result<SocketAddr, TestClusterError> {
    let at = SocketAddr::new(host(), 0);
    let listener = std::net::TcpListener::bind(at);
    listener.and_then(|l| l.local_addr()).map_err(|cause| TestClusterError::Socket { at, cause })
}

/// Listens at an address of its own.
pub(crate) async fn listen() -> Result<(SocketAddr, TcpListener), TestClusterError> {
    listen_at(SocketAddr::new(host(), 0)).await
}

pub(crate) async fn listen_at(at: SocketAddr) -> Result<(SocketAddr, TcpListener), TestClusterError> {
    let bound = async {
        let socket = tokio::net::TcpSocket::new_v4()?;
        // It takes its place again though connections of its life before linger.
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        let listener = socket.listen(4096)?;
        Ok((listener.local_addr()?, listener))
    };
    bound.await.map_err(|cause| TestClusterError::Socket { at, cause })
}

/// Ends a connection as a machine does whose process has died.
pub(crate) fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Raises this process's limit of descriptors as far as the system admits, which has to be what is needed.
pub fn raise_descriptors(needed: u64) -> Result<(), TestClusterError> {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    let most = limit.maximum.unwrap_or(u64::MAX);
    limit.current = limit.maximum;
    match setrlimit(Resource::Nofile, limit) {
        Ok(()) if most >= needed => Ok(()),
        _ => Err(TestClusterError::Descriptors { needed, most }),
    }
}
