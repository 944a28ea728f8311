//! Loopback addresses, listeners and the limit of descriptors, for the stand-ins and the relays.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::TestClusterError;

/// Connections that may wait to be accepted by a stand-in.
const ACCEPT_BACKLOG: u32 = 4096;
/// Host numbers that are used in one block of 256 loopback addresses.
const HOSTS_PER_BLOCK: u32 = 250;

/// Returns a loopback address that is used by nothing else in this process, and hardly by another process.
///
/// ```
/// assert!(sandgw_test_cluster::loopback_host().is_loopback());
/// assert_ne!(sandgw_test_cluster::loopback_host(), sandgw_test_cluster::loopback_host());
/// ```
pub fn loopback_host() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process_block = 64 + (std::process::id() % 128) as u8;
    let block = (number / HOSTS_PER_BLOCK % HOSTS_PER_BLOCK) as u8;
    let host = 1 + (number % HOSTS_PER_BLOCK) as u8;
    Ipv4Addr::new(127, process_block, block, host).into()
}

/// Returns an unused address with a port that is free now, for a process that is to listen there itself.
///
/// # Errors
///
/// [`TestClusterError::Socket`] if no port can be bound.
pub fn free_address() -> Result<SocketAddr, TestClusterError> {
    let address = SocketAddr::new(loopback_host(), 0);
    let listener = std::net::TcpListener::bind(address);
    listener
        .and_then(|listener| listener.local_addr())
        .map_err(|source| TestClusterError::Socket { address, source })
}

/// A listener and where it listens.
pub(crate) struct Listening {
    pub address: SocketAddr,
    pub listener: TcpListener,
}

/// Listens at an unused address.
pub(crate) async fn listen() -> Result<Listening, TestClusterError> {
    listen_at(SocketAddr::new(loopback_host(), 0)).await
}

/// Listens at this address, also where connections of an earlier listener linger.
pub(crate) async fn listen_at(address: SocketAddr) -> Result<Listening, TestClusterError> {
    let bound = async {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(ACCEPT_BACKLOG)?;
        Ok(Listening { address: listener.local_addr()?, listener })
    };
    bound.await.map_err(|source| TestClusterError::Socket { address, source })
}

/// Ends a connection with a reset, as the system does for a process that has died.
pub(crate) fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Raises this process's limit of descriptors to its hard limit, which has to be at least `needed`.
///
/// # Errors
///
/// [`TestClusterError::Descriptors`] if the hard limit is lower or the limit can't be set.
pub fn raise_descriptor_limit(needed: u64) -> Result<(), TestClusterError> {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    let hard_limit = limit.maximum.unwrap_or(u64::MAX);
    limit.current = limit.maximum;
    match setrlimit(Resource::Nofile, limit) {
        Ok(()) if hard_limit >= needed => Ok(()),
        _ => Err(TestClusterError::Descriptors { needed, hard_limit }),
    }
}
