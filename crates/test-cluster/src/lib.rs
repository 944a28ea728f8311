//! A cluster for tests: many relays as real processes, stand-ins for everything around them, and faults
//! between.
//!
//! It owns the processes, their folders and the stand-ins' sockets. Its inputs are a [`ClusterConfig`] and
//! a schedule of faults; its output is the log of what every stand-in saw, which [`invariants`] checks
//! against the four rules. It decides nothing for a relay and sees only what passes a socket. Everything
//! runs on one thread of tokio, on loopback addresses alone; it is for tests and measurements, never for a
//! deployment.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cluster;
mod error;
pub mod fault_proxy;
pub mod fault_schedule;
pub mod invariants;
pub mod load_clients;
pub mod log;
mod network;
pub mod process;
pub mod service_levels;
pub mod settings;
pub mod soak;
pub mod stub_discovery;
pub mod stub_endpoints;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use cluster::{ClusterConfig, TestCluster};
pub use error::TestClusterError;
pub use log::Log;
pub use network::{free_address, loopback_host, raise_descriptor_limit};

pub use sandgw_units::Millis;

/// Locks shared state. State that a panicked task left behind is as good as any.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Converts milliseconds to a duration; what is no duration, such as a negative number, becomes zero.
pub fn duration(ms: Millis) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}

/// Unix time in milliseconds, the unit of discovery's entries.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
