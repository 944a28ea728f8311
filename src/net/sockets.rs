//! Opens the sockets that clients, relays and managers reach this relay by.
//!
//! A socket is inherited from the predecessor process where it had one at the same address, passed by the
//! platform, or bound.

use std::cell::Ref;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;

use log::warn;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

use super::shared::{InheritableSocket, Shared};
use crate::config::Config;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// The sockets that are opened; the one for datagrams between relays is shared.
pub struct Sockets {
    /// Clients of the line protocol.
    pub line: Option<TcpListener>,
    /// Clients of RTMP.
    pub rtmp: Option<TcpListener>,
    /// The SNMP agent's managers.
    pub agent: Option<UdpSocket>,
}

/// Opens all sockets but the operators'.
///
/// # Errors
/// One of them can't be bound or used; the text names the setting.
pub fn open(
    shared: &Rc<Shared>,
    passed: Option<std::net::TcpListener>,
    inherited: Vec<InheritableSocket>,
) -> io::Result<Sockets> {
    let config = shared.config.borrow();
    let mut opener = SocketOpener { shared, config, inherited };
    let line = opener.line(passed)?;
    let rtmp_address = opener.config.rtmp.as_ref().map(|rtmp| rtmp.listen);
    let rtmp = rtmp_address.map(|address| opener.listener("rtmp.listen", address)).transpose()?;
    let agent_address = opener.config.snmp.as_ref().map(|snmp| snmp.listen);
    let agent = agent_address.map(|address| opener.datagrams("snmp.listen", address)).transpose()?;
    if let Some(address) = opener.config.peer_listen {
        let _ = shared.peers.set(opener.datagrams("peer_listen", address)?);
    }
    Ok(Sockets { line, rtmp, agent })
}

/// Binds and listens.
///
/// # Errors
/// The system refuses the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A planned restart comes back to the same address while old connections still linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

struct SocketOpener<'a> {
    shared: &'a Shared,
    config: Ref<'a, Config>,
    inherited: Vec<InheritableSocket>,
}

impl SocketOpener<'_> {
    /// The line protocol's listener; one that the platform passed goes before the configured address.
    fn line(&mut self, passed: Option<std::net::TcpListener>) -> io::Result<Option<TcpListener>> {
        let configured = self.config.listen;
        let Some(passed) = passed else {
            return configured.map(|address| self.listener("listen", address)).transpose();
        };
        let address = passed.local_addr()?;
        if configured.is_some_and(|configured| configured != address) {
            warn!("PROXY_PASSED_SOCKET listens on {address}, which the configuration does not name");
        }
        Ok(Some(TcpListener::from_std(passed)?))
    }

    fn listener(&mut self, setting: &str, address: SocketAddr) -> io::Result<TcpListener> {
        let listener = match self.take_inherited(setting, address) {
            Some(socket) => TcpListener::from_std(socket.into()),
            None => listen(address),
        };
        let listener = listener.map_err(|e| with_setting(setting, e))?;
        self.add_inheritable(setting, address, listener.as_fd())?;
        Ok(listener)
    }

    fn datagrams(&mut self, setting: &str, address: SocketAddr) -> io::Result<UdpSocket> {
        let socket = match self.take_inherited(setting, address) {
            Some(socket) => socket.into(),
            None => std::net::UdpSocket::bind(address).map_err(|e| with_setting(setting, e))?,
        };
        socket.set_nonblocking(true)?;
        self.add_inheritable(setting, address, socket.as_fd())?;
        UdpSocket::from_std(socket)
    }

    fn take_inherited(&mut self, setting: &str, address: SocketAddr) -> Option<OwnedFd> {
        let key = socket_key(setting, address);
        let position = self.inherited.iter().position(|inherited| inherited.key == key)?;
        Some(self.inherited.swap_remove(position).socket)
    }

    fn add_inheritable(&self, setting: &str, address: SocketAddr, socket: BorrowedFd<'_>) -> io::Result<()> {
        if self.config.handover.is_some() {
            let key = socket_key(setting, address);
            let socket = socket.try_clone_to_owned()?;
            self.shared.inheritable_sockets.borrow_mut().push(InheritableSocket { key, socket });
        }
        Ok(())
    }
}

fn socket_key(setting: &str, address: SocketAddr) -> String {
    format!("{setting} {address}")
}

/// The error with the setting that it is of.
pub fn with_setting(setting: &str, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{setting}: {error}"))
}
