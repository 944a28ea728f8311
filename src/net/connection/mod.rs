//! Drives one client's connection and the upstream connection to its endpoint.
//!
//! A connection passes through these phases, a file each:
//! - `handshake`: the client is read until its request is known to the core.
//! - `attempt`: the attempts that the core starts are carried out, until one succeeds or a reply is due.
//! - `tunnel`: bytes are forwarded both ways until both sides have ended, the client migrates, or the
//!   connection is transferred to another process.
//! - `close`: the last reply is written, and the client is read to its end.
//!
//! `adopt` enters the tunnel with a connection that another process established. The core decides; these
//! drivers read, write and wait. Nothing here borrows the core's state across an await.

mod adopt;
mod attempt;
mod close;
mod handshake;
mod pipe;
mod response_timer;
mod tunnel;

use std::io;
use std::rc::Rc;

use log::debug;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

pub use self::adopt::{AdoptedConnection, adopt};
use self::attempt::Placement;
use super::Shared;
use super::admission::DescriptorPermit;
use super::pool::Pooled;
use crate::listener::ClientProtocol;
use crate::policy::api::{Millis, Outcome, RequestId};
use crate::relay::{ConnectionCommand, LocalReply};

/// Serves a client until its connection has ended, or has to make room for another.
pub async fn serve<F: ClientProtocol>(
    shared: Rc<Shared>,
    client: TcpStream,
    protocol: F,
    permit: DescriptorPermit,
) {
    let accepted_at = shared.clock.now();
    let _ = client.set_nodelay(true);
    let input = shared.pool.get();
    let reply = shared.pool.get();
    let eviction = permit.eviction();
    let mut connection =
        ClientConnection { shared, client, protocol, input, reply, permit, is_answered: false };
    let ended = tokio::select! {
        biased;
        () = eviction.notified() => {
            if !connection.is_answered {
                connection.reply_rejected();
            }
            connection.close_evicted()
        }
        ended = connection.run(accepted_at) => ended,
    };
    if let Err(e) = ended {
        debug!("client: {e}");
    }
}

/// A client's connection, with the buffers of both directions until the tunnel takes them over.
struct ClientConnection<F> {
    shared: Rc<Shared>,
    client: TcpStream,
    protocol: F,
    /// Bytes from the client that are not parsed or forwarded yet.
    input: Pooled,
    /// Bytes for the client.
    reply: Pooled,
    permit: DescriptorPermit,
    /// The client has its final reply.
    is_answered: bool,
}

impl<F: ClientProtocol> ClientConnection<F> {
    /// Takes the connection through its phases.
    async fn run(&mut self, accepted_at: Millis) -> io::Result<()> {
        let Some(request) = self.read_request(accepted_at).await? else { return Ok(()) };
        let deadline = request.deadline;
        let (registration, mut commands) = self.register(request);
        let id = registration.id;
        self.shared.settle();
        match self.run_attempts(id, deadline, &mut commands).await? {
            Placement::Established { upstream, first } => {
                let now = self.shared.clock.now();
                self.protocol.observe_client_bytes(now, &self.input);
                self.protocol.observe_endpoint_bytes(now, &first);
                self.run_tunnel(id, upstream, first, &mut commands).await
            }
            Placement::Answered(response) => {
                debug!("connection {}: local reply {response:?}", id.0);
                self.protocol.write_local_reply(response, &mut self.reply);
                self.close().await
            }
            Placement::ClientGone => {
                // The core frees its place now, not once the close has finished.
                self.shared.core(|relay, now| relay.client_gone(now, id));
                // The client may have ended its sending only, and still read.
                self.protocol.write_local_reply(LocalReply::Failed, &mut self.reply);
                self.close().await
            }
        }
    }

    /// Writes to the reply that the relay takes no connection now.
    fn reply_rejected(&mut self) {
        let retry_after = self.shared.retry_after();
        self.protocol.write_local_reply(LocalReply::Rejected(retry_after), &mut self.reply);
    }
}

/// A connection's entry in the table that the core's commands are sent by. Dropped, however the driver
/// ends, it takes the entry out and reports the end to the core.
struct Registration {
    shared: Rc<Shared>,
    id: RequestId,
}

impl Registration {
    /// Enters a connection that the core knows by this identifier; with it, the core's commands to it.
    fn new(shared: &Rc<Shared>, id: RequestId) -> (Self, UnboundedReceiver<ConnectionCommand>) {
        let (sender, commands) = unbounded_channel();
        shared.connections.borrow_mut().insert(id, sender);
        (Registration { shared: shared.clone(), id }, commands)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.shared.connections.borrow_mut().remove(&self.id);
        self.shared.core(|relay, now| {
            relay.client_gone(now, self.id);
            relay.attempt_ended(now, self.id, Outcome::Cancelled);
        });
    }
}

/// Waits for more bytes; 0 at the connection's end.
async fn read_more(stream: &TcpStream, buffer: &mut Pooled) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        if let Some(read) = buffer.fill(stream)? {
            return Ok(read);
        }
    }
}
