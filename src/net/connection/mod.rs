//! Drives one client's connection and the upstream connection to its endpoint.
//!
//! A connection passes through these phases, each in a file of its own:
//! - `handshake`: reads from the client until its request is complete and registered with the core.
//! - `attempt`: carries out the attempts that the core starts, until one succeeds or a local reply is due.
//! - `tunnel`: forwards bytes both ways until both sides have closed, the client migrates, or the connection
//!   is transferred to another process.
//! - `close`: writes the last reply, and reads from the client until it closes.
//!
//! `adopt` enters the tunnel phase with a connection that the predecessor process established. The core makes
//! the decisions; these drivers read, write and wait. Nothing here borrows the core's state across an await.

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
use super::pool::PooledBuffer;
use crate::listener::ClientProtocol;
use crate::policy::api::{Millis, Outcome, RequestId};
use crate::relay::{ConnectionCommand, LocalReply};

/// Serves a client until its connection has ended, or is evicted to free its descriptor for another client.
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
        debug!("client connection failed: {e}");
    }
}

/// A client's connection, with its input and reply buffers. The tunnel takes the input buffer over.
struct ClientConnection<F> {
    shared: Rc<Shared>,
    client: TcpStream,
    protocol: F,
    /// Bytes that were read from the client and are not parsed or forwarded yet.
    input: PooledBuffer,
    /// Bytes that are still to be written to the client.
    reply: PooledBuffer,
    permit: DescriptorPermit,
    /// Whether the client's final reply has been decided, so that an eviction adds no other reply.
    is_answered: bool,
}

impl<F: ClientProtocol> ClientConnection<F> {
    /// Takes the connection through its phases, from the handshake to the close.
    async fn run(&mut self, accepted_at: Millis) -> io::Result<()> {
        let Some(request) = self.read_request(accepted_at).await? else { return Ok(()) };
        let deadline = request.deadline;
        let (registration, mut commands) = self.register(request);
        let id = registration.id;
        self.shared.run_pending_commands();
        match self.run_attempts(id, deadline, &mut commands).await? {
            Placement::Established { upstream, first_bytes } => {
                let now = self.shared.clock.now();
                self.protocol.observe_client_bytes(now, &self.input);
                self.protocol.observe_endpoint_bytes(now, &first_bytes);
                self.run_tunnel(id, upstream, first_bytes, &mut commands).await
            }
            Placement::Answered(response) => {
                debug!("connection {}: local reply {response:?}", id.0);
                self.protocol.write_local_reply(response, &mut self.reply);
                self.close().await
            }
            Placement::ClientDisconnected => {
                // The core frees the request's place now and not only when the close has finished.
                self.shared.with_core(|relay, now| relay.client_disconnected(now, id));
                // The client may have closed only its sending side, and may still read.
                self.protocol.write_local_reply(LocalReply::Failed, &mut self.reply);
                self.close().await
            }
        }
    }

    /// Appends to the reply buffer the local reply that the relay accepts no connection now.
    fn reply_rejected(&mut self) {
        let retry_after = self.shared.retry_after();
        self.protocol.write_local_reply(LocalReply::Rejected(retry_after), &mut self.reply);
    }
}

/// A connection's entry in the table through which the core's commands are sent. Dropping the registration,
/// which happens however the driver ends, removes the entry and reports the connection's end to the core.
struct Registration {
    shared: Rc<Shared>,
    id: RequestId,
}

impl Registration {
    /// Registers a connection that the core knows by `id`. Returns the registration and the receiver of the
    /// core's commands for the connection.
    fn new(shared: &Rc<Shared>, id: RequestId) -> (Self, UnboundedReceiver<ConnectionCommand>) {
        let (sender, commands) = unbounded_channel();
        shared.connections.borrow_mut().insert(id, sender);
        (Registration { shared: shared.clone(), id }, commands)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.shared.connections.borrow_mut().remove(&self.id);
        self.shared.with_core(|relay, now| {
            relay.client_disconnected(now, self.id);
            relay.attempt_ended(now, self.id, Outcome::Cancelled);
        });
    }
}

/// Waits for more bytes and reads them into the buffer; returns their number, 0 at the end of the stream.
async fn read_more(stream: &TcpStream, buffer: &mut PooledBuffer) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        if let Some(read) = buffer.fill(stream)? {
            return Ok(read);
        }
    }
}
