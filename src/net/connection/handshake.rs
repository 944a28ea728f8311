//! Reads from a client until its request is complete, and registers the request with the core.
//!
//! Input: the client's bytes, and the protocol's handshake timeout in milliseconds. Output: the request, or
//! nothing if the connection was closed before. Nothing is sent to an endpoint here.

use std::io;

use log::{Level, debug, log_enabled};
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, timeout_at};

use super::attempt::has_client_disconnected;
use super::{ClientConnection, Registration, read_more};
use crate::listener::{ClientProtocol, ReadProgress};
use crate::policy::api::{Key, Millis};
use crate::relay::{ConnectionCommand, IncomingRequest, LocalReply};

/// The result of waiting for more of a client's handshake.
enum HandshakeRead {
    More,
    Closed,
    TimedOut,
}

impl<F: ClientProtocol> ClientConnection<F> {
    /// Reads the client's request, and reserves a descriptor for its upstream connection. Returns `None` if
    /// the connection has been closed instead.
    pub(super) async fn read_request(&mut self, accepted_at: Millis) -> io::Result<Option<IncomingRequest>> {
        let limit = self.shared.clock.instant_at(accepted_at + self.protocol.handshake_timeout());
        let Some(mut request) = self.handshake(limit).await? else { return Ok(None) };
        if !self.permit.acquire_upstream().await {
            self.reply_rejected();
            self.close().await?;
            return Ok(None);
        }
        // The client may have disconnected after its request, and both the request and the disconnection may
        // have arrived before either was read. In that case no attempt is made at an endpoint.
        if has_client_disconnected(&self.client, &mut self.input, self.protocol.early_data()) {
            self.protocol.write_local_reply(LocalReply::Failed, &mut self.reply);
            self.close().await?;
            return Ok(None);
        }
        request.descriptors_short = self.permit.are_descriptors_short();
        Ok(Some(request))
    }

    /// Exchanges the protocol's handshake with the client until its request is complete.
    async fn handshake(&mut self, limit: Instant) -> io::Result<Option<IncomingRequest>> {
        let mut has_client_sent = false;
        loop {
            let now = self.shared.clock.now();
            let serving_mode = self.shared.relay.borrow().serving_mode();
            let progress = self.protocol.read_request(now, serving_mode, &mut self.input, &mut self.reply);
            let written = timeout_at(limit, self.client.write_all_buf(&mut *self.reply)).await;
            match progress {
                _ if written.is_err() => return Ok(None),
                ReadProgress::Request(request) => return Ok(Some(request)),
                ReadProgress::Close => {
                    self.close().await?;
                    return Ok(None);
                }
                ReadProgress::Incomplete => written??,
            }
            if has_client_sent {
                self.permit.record_activity(self.protocol.request_begun(&self.input));
            }
            match self.read_handshake(limit).await {
                HandshakeRead::More => has_client_sent = true,
                HandshakeRead::Closed => return Ok(None),
                HandshakeRead::TimedOut => {
                    self.protocol.write_local_reply(LocalReply::Failed, &mut self.reply);
                    self.close().await?;
                    return Ok(None);
                }
            }
        }
    }

    /// Waits until `limit` for more bytes of the handshake.
    async fn read_handshake(&mut self, limit: Instant) -> HandshakeRead {
        match timeout_at(limit, read_more(&self.client, &mut self.input)).await {
            Ok(Ok(read)) if read > 0 => HandshakeRead::More,
            Ok(_) => HandshakeRead::Closed,
            // Bytes that arrived just at the limit are still parsed before the client gets an answer.
            Err(_) if matches!(self.input.fill_unpolled(&self.client), Ok(Some(read)) if read > 0) => {
                HandshakeRead::More
            }
            Err(_) => HandshakeRead::TimedOut,
        }
    }

    /// Passes the request to the core, and registers the connection to receive the core's commands.
    pub(super) fn register(
        &mut self,
        request: IncomingRequest,
    ) -> (Registration, UnboundedReceiver<ConnectionCommand>) {
        // The description is made before the core takes ownership of the request, and is logged once the
        // request has an identifier.
        let description = log_enabled!(Level::Debug).then(|| describe_request(&request)).unwrap_or_default();
        let now = self.shared.clock.now();
        let id = self.shared.relay.borrow_mut().accept_request(now, request);
        let registered = Registration::new(&self.shared, id);
        debug!("connection {}: received the request of {description}", id.0);
        registered
    }
}

/// Describes a request for the log.
fn describe_request(request: &IncomingRequest) -> String {
    let key_or_dash = |key: &Option<Key>| key.as_ref().map_or("-".into(), |key| key.0.clone());
    let client = key_or_dash(&request.client);
    let group = key_or_dash(&request.group);
    format!(
        "client {client}, group {group}, mid-flow {}, returning client {}",
        request.mid_flow, request.is_returning
    )
}
