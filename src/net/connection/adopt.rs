//! Continues an established connection that the predecessor process has transferred.

use std::rc::Rc;

use log::debug;
use tokio::net::TcpStream;

use super::{ClientConnection, Registration};
use crate::listener::ClientProtocol;
use crate::net::Shared;
use crate::net::admission::DescriptorPermit;
use crate::relay::TransferredConnection;

/// An established connection as the predecessor process has transferred it.
pub struct AdoptedConnection<F> {
    /// What the core knows of it.
    pub connection: TransferredConnection,
    /// The client's protocol, in the state that it was in.
    pub protocol: F,
    /// The stream to the client.
    pub client: TcpStream,
    /// The stream to the endpoint.
    pub upstream: TcpStream,
    /// Bytes from the client that are not forwarded yet.
    pub from_client: Vec<u8>,
    /// Bytes from the endpoint that are not forwarded yet.
    pub from_upstream: Vec<u8>,
}

/// Forwards an adopted connection's bytes until it has ended.
pub async fn adopt<F: ClientProtocol>(
    shared: Rc<Shared>,
    adopted: AdoptedConnection<F>,
    permit: DescriptorPermit,
) {
    let AdoptedConnection { connection, protocol, client, upstream, from_client, from_upstream } = adopted;
    let mut input = shared.pool.get();
    let mut first = shared.pool.get();
    let reply = shared.pool.get();
    input.extend_from_slice(&from_client);
    first.extend_from_slice(&from_upstream);
    let id = shared.relay.borrow_mut().adopt_connection(shared.clock.now(), connection);
    let (_registration, mut commands) = Registration::new(&shared, id);
    shared.settle();
    let eviction = permit.eviction();
    let mut connection =
        ClientConnection { shared, client, protocol, input, reply, permit, is_answered: true };
    let ended = tokio::select! {
        biased;
        // Once both sides have ended, it may have to make room while it waits for the client to close.
        () = eviction.notified() => connection.close_evicted(),
        ended = connection.run_tunnel(id, upstream, first, &mut commands) => ended,
    };
    if let Err(e) = ended {
        debug!("client: {e}");
    }
}
