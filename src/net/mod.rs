//! The drivers: sockets, timers and buffers round the core. They read, write and wait; they decide nothing.
//!
//! Everything runs on one thread. The core's state is one [`RefCell`](std::cell::RefCell), borrowed for the
//! length of one call and never across an await.

mod accept;
mod admission;
mod affinity_store;
mod clock;
mod connection;
mod discovery;
pub(crate) mod http_call;
mod maintenance;
mod operators;
mod peers;
mod pool;
mod schema_version;
mod shared;
mod signals;
mod snmp;
mod sockets;
mod startup;
mod takeover;

use std::io;

use tokio::task::LocalSet;

use self::clock::{Clock, span};
use self::shared::Shared;
use crate::config::{Config, ConfigError};

/// Runs a relay; returns when it cannot start, or has handed over and has nothing left. `load` reads its
/// configuration anew.
///
/// # Errors
/// What keeps it from starting.
pub fn run(config: Config, load: impl Fn() -> Result<Config, Vec<ConfigError>> + 'static) -> io::Result<()> {
    // Before anything opens a descriptor, which could have the same number.
    let passed = config.passed_socket.map(sandgw_socket_activation::take).transpose();
    let passed = passed.map_err(|e| io::Error::new(e.kind(), format!("PROXY_PASSED_SOCKET: {e}")))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, startup::serve(config, passed, load))
}

/// Whether a socket could not be had or connected for want of something here: descriptors, memory, ports.
/// It is no fault of the other side, and nothing was sent.
fn local_shortage(e: &io::Error) -> bool {
    use libc::{EADDRNOTAVAIL, EAGAIN, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC};
    matches!(e.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM | EADDRNOTAVAIL | EAGAIN | ENOSPC))
}
