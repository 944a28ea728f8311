//! Continues to forward an established connection that the predecessor process has transferred.

use std::rc::Rc;

use log::debug;
use tokio::net::TcpStream;

use super::{ClientConnection, Registration};
use crate::listener::ClientProtocol;
use crate::net::Shared;
use crate::net::admission::DescriptorPermit;
use crate::relay::TransferredConnection;

/// An established connection that the predecessor process has transferred to this process.
pub struct AdoptedConnection<F> {
    /// The core's record of the connection.
    pub connection: TransferredConnection,
    /// The client's protocol, in the state that the predecessor process left it in.
    pub protocol: F,
    /// The stream between the client and the relay.
    pub client: TcpStream,
    /// The stream between the relay and the endpoint.
    pub upstream: TcpStream,
    /// Bytes that were read from the client and are not forwarded yet.
    pub from_client: Vec<u8>,
    /// Bytes that were read from the endpoint and are not forwarded yet.
    pub from_upstream: Vec<u8>,
}

/// Forwards an adopted connection's bytes both ways until the connection has ended.
pub async fn adopt<F: ClientProtocol>(
    shared: Rc<Shared>,
    adopted: AdoptedConnection<F>,
    permit: DescriptorPermit,
) {
    let AdoptedConnection { connection, protocol, client, upstream, from_client, from_upstream } = adopted;
    let mut input = shared.pool.get();
    let mut upstream_input = shared.pool.get();
    let reply = shared.pool.get();
    input.extend_from_slice(&from_client);
    upstream_input.extend_from_slice(&from_upstream);
    let id = shared.relay.borrow_mut().adopt_connection(shared.clock.now(), connection);
    let (_registration, mut commands) = Registration::new(&shared, id);
    shared.run_pending_commands();
    let eviction = permit.eviction();
    let mut connection =
        ClientConnection { shared, client, protocol, input, reply, permit, is_answered: true };
    let ended = tokio::select! {
        biased;
        // The connection can be evicted only after its upstream connection is closed, while it still waits
        // for the client to close.
        () = eviction.notified() => connection.close_evicted(),
        ended = connection.run_tunnel(id, upstream, upstream_input, &mut commands) => ended,
    };
    if let Err(e) = ended {
        debug!("client connection failed: {e}");
    }
}
