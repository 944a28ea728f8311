//! Opens the sockets at which clients, other relays and SNMP managers reach this relay.
//!
//! A socket is inherited from the predecessor process if that process had a socket for the same setting and
//! address; otherwise it is bound. The platform may pass the line protocol's listener to the process instead.

use std::cell::Ref;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;

use log::warn;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

use super::shared::{InheritableSocket, Shared};
use crate::config::Config;

/// Most connections that the system queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// The opened sockets, except for the socket for datagrams between relays, which is in [`Shared`].
pub struct Sockets {
    /// Listener for clients of the line protocol.
    pub line: Option<TcpListener>,
    /// Listener for clients of RTMP.
    pub rtmp: Option<TcpListener>,
    /// The SNMP agent's socket, at which managers send their queries.
    pub snmp: Option<UdpSocket>,
}

/// Opens all sockets except for the operators' listener.
///
/// # Errors
/// A socket can't be bound or used; the error's text names the setting.
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
    let snmp = agent_address.map(|address| opener.datagram_socket("snmp.listen", address)).transpose()?;
    if let Some(address) = opener.config.peer_listen {
        let _ = shared.peer_socket.set(opener.datagram_socket("peer_listen", address)?);
    }
    Ok(Sockets { line, rtmp, snmp })
}

/// Binds a listener at an address.
///
/// # Errors
/// The system refuses the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // After a planned restart the relay binds the same address again while the system still holds old
    // connections at it.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

struct SocketOpener<'a> {
    shared: &'a Shared,
    config: Ref<'a, Config>,
    inherited: Vec<InheritableSocket>,
}

impl SocketOpener<'_> {
    /// Opens the line protocol's listener. A socket that the platform passed takes precedence over the
    /// configured address.
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
        let listener = listener.map_err(|e| with_setting_name(setting, e))?;
        self.add_inheritable(setting, address, listener.as_fd())?;
        Ok(listener)
    }

    fn datagram_socket(&mut self, setting: &str, address: SocketAddr) -> io::Result<UdpSocket> {
        let socket = match self.take_inherited(setting, address) {
            Some(socket) => socket.into(),
            None => std::net::UdpSocket::bind(address).map_err(|e| with_setting_name(setting, e))?,
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
        if self.config.handover_folder.is_some() {
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

/// Adds the key of the setting that an error concerns to its text.
pub fn with_setting_name(setting: &str, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{setting}: {error}"))
}
