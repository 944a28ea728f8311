//! The drivers, which connect the core ([`crate::relay`]) to sockets and timers. They read, write and wait;
//! the core makes the decisions.
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

use self::clock::{Clock, duration_from_millis};
use self::shared::Shared;
use crate::config::{Config, ConfigError};

/// Runs a relay. Returns when the relay can't start, or when it has handed over to a successor process and
/// has no work left. `load` reads the relay's configuration again.
///
/// # Errors
/// The relay can't start, for the reason that the error gives.
pub fn run(config: Config, load: impl Fn() -> Result<Config, Vec<ConfigError>> + 'static) -> io::Result<()> {
    // The passed socket is taken before anything opens a descriptor, which could otherwise get the same
    // number.
    let passed = config.passed_socket.map(sandgw_socket_activation::take).transpose();
    let passed = passed.map_err(|e| io::Error::new(e.kind(), format!("PROXY_PASSED_SOCKET: {e}")))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, startup::serve(config, passed, load))
}

/// Whether a socket could not be opened or connected because this host lacks a resource, such as descriptors,
/// memory or ports. Then the other side is not at fault, and nothing was sent.
fn is_local_shortage(e: &io::Error) -> bool {
    use libc::{EADDRNOTAVAIL, EAGAIN, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC};
    matches!(e.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM | EADDRNOTAVAIL | EAGAIN | ENOSPC))
}
