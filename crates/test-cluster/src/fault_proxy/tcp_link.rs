//! A link before one TCP address: a listener that forwards connections there, with faults.

use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::TestClusterError;
use crate::network::{Listening, listen, listen_at, reset};

/// The size of the buffer each way.
const BUFFER_BYTES: usize = 4096;
/// Connections that fill the queue of a listener whose backlog is 0.
const QUEUE_FILLING_CONNECTIONS: usize = 4;

/// What happens to connections on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// They pass.
    Forward,
    /// New ones are refused; those that are open pass.
    Refuse,
    /// New ones are never established; those that are open pass.
    NeverEstablish,
    /// So many bytes pass towards the caller on each connection, then nothing more, and the connection stays.
    StallAfter(usize),
    /// So many bytes pass towards the caller on each connection, then it is reset.
    ResetAfter(usize),
    /// Nothing passes on any connection, old or new, and none ends.
    Silent,
}

/// A link before one address: what connects to [`TcpLink::address`] is forwarded there. It ends when dropped.
pub struct TcpLink {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    task: AbortHandle,
}

impl TcpLink {
    /// A link to this address, without any fault.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Socket`] if its listener can't be opened.
    pub async fn new(target: SocketAddr) -> Result<TcpLink, TestClusterError> {
        let Listening { address, listener } = listen().await?;
        let (mode, receiver) = watch::channel(LinkMode::Forward);
        let task = tokio::spawn(accept(address, listener, target, receiver)).abort_handle();
        Ok(TcpLink { address, mode, task })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What happens to connections from now on.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for TcpLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What is at a link's address.
enum Door {
    /// A listener that accepts.
    Open(TcpListener),
    /// Nothing: connections are refused.
    Closed,
    /// A listener with its queue full: the system drops the first packet of every connection.
    Blocked(#[expect(dead_code, reason = "the sockets only have to stay open")] FullQueue),
}

impl Door {
    /// The door for a mode. What can't be opened now is tried again with the next change or connection.
    async fn for_mode(self, mode: LinkMode, address: SocketAddr) -> Door {
        match (mode, self) {
            (LinkMode::Refuse, _) => Door::Closed,
            (LinkMode::NeverEstablish, door @ Door::Blocked(_)) => door,
            (LinkMode::NeverEstablish, door) => {
                // The address has to be free before it can be bound again.
                drop(door);
                FullQueue::new(address).map_or(Door::Closed, Door::Blocked)
            }
            (_, door @ Door::Open(_)) => door,
            (_, door) => {
                drop(door);
                listen_at(address).await.map_or(Door::Closed, |listening| Door::Open(listening.listener))
            }
        }
    }

    /// The next connection; never one where none is accepted.
    async fn accept(&self) -> io::Result<TcpStream> {
        match self {
            Door::Open(listener) => listener.accept().await.map(|(caller, _)| caller),
            Door::Closed | Door::Blocked(_) => std::future::pending().await,
        }
    }
}

async fn accept(
    address: SocketAddr,
    listener: TcpListener,
    target: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
) {
    let mut door = Door::Open(listener);
    loop {
        let present_mode = *mode.borrow_and_update();
        door = door.for_mode(present_mode, address).await;
        tokio::select! {
            changed = mode.changed() => if changed.is_err() { return },
            accepted = door.accept() => if let Ok(caller) = accepted {
                tokio::spawn(forward(caller, target, mode.clone()));
            },
        }
    }
}

/// A listener that accepts nothing, and connections that fill its queue.
struct FullQueue {
    _listener: socket2::Socket,
    _connections: Vec<socket2::Socket>,
}

impl FullQueue {
    fn new(address: SocketAddr) -> io::Result<FullQueue> {
        use socket2::{Domain, Socket, Type};
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        listener.bind(&address.into())?;
        listener.listen(0)?;
        let connect = || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            // It is under way, or the queue is full already.
            let _ = socket.connect(&address.into());
            Ok(socket)
        };
        let connections = (0..QUEUE_FILLING_CONNECTIONS).map(|_| connect()).collect::<io::Result<_>>()?;
        Ok(FullQueue { _listener: listener, _connections: connections })
    }
}

/// How many bytes may pass towards the caller now, if `sent` have passed.
fn allowance(mode: LinkMode, sent: usize) -> usize {
    match mode {
        LinkMode::StallAfter(limit) | LinkMode::ResetAfter(limit) => {
            limit.saturating_sub(sent).min(BUFFER_BYTES)
        }
        LinkMode::Silent => 0,
        LinkMode::Forward | LinkMode::Refuse | LinkMode::NeverEstablish => BUFFER_BYTES,
    }
}

/// Forwards one connection both ways until both sides have ended.
async fn forward(mut caller: TcpStream, target: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    let Ok(mut called) = TcpStream::connect(target).await else { return reset(caller) };
    let _ = caller.set_nodelay(true);
    let _ = called.set_nodelay(true);
    let mut to_called = [0; BUFFER_BYTES];
    let mut to_caller = [0; BUFFER_BYTES];
    let mut sent_to_caller = 0;
    let mut caller_ended = false;
    let mut called_ended = false;
    while !caller_ended || !called_ended {
        let present_mode = *mode.borrow_and_update();
        if matches!(present_mode, LinkMode::ResetAfter(limit) if sent_to_caller >= limit) {
            return reset(caller);
        }
        let allowed = allowance(present_mode, sent_to_caller);
        let silent = present_mode == LinkMode::Silent;
        tokio::select! {
            changed = mode.changed() => if changed.is_err() { return },
            read = caller.read(&mut to_called), if !silent && !caller_ended => match read {
                Ok(0) => {
                    caller_ended = true;
                    let _ = called.shutdown().await;
                }
                Ok(n) => if called.write_all(&to_called[..n]).await.is_err() { return reset(caller) },
                Err(_) => return reset(called),
            },
            read = called.read(&mut to_caller[..allowed.max(1)]), if allowed > 0 && !called_ended => match read {
                Ok(0) => {
                    called_ended = true;
                    let _ = caller.shutdown().await;
                }
                Ok(n) => {
                    sent_to_caller += n;
                    if caller.write_all(&to_caller[..n]).await.is_err() { return reset(called) }
                }
                Err(_) => return reset(caller),
            },
        }
    }
}
