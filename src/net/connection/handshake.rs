//! Reads a client until its request is known, and registers it with the core.
//!
//! Input: the client's bytes, and the protocol's handshake timeout in milliseconds. Output: the request, or a
//! connection that is closed. Nothing is sent to an endpoint here.

use std::io;

use log::{Level, debug, log_enabled};
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, timeout_at};

use super::attempt::has_client_gone;
use super::{ClientConnection, Registration, read_more};
use crate::listener::{ClientProtocol, ReadProgress};
use crate::policy::api::{Key, Millis};
use crate::relay::{ConnectionCommand, IncomingRequest, LocalReply};

/// What reading more of a client's handshake came to.
enum HandshakeRead {
    More,
    Closed,
    TimedOut,
}

impl<F: ClientProtocol> ClientConnection<F> {
    /// Reads the client's request, and takes a descriptor for its upstream connection. Gives `None` where the
    /// connection has ended before, and is closed.
    pub(super) async fn read_request(&mut self, accepted_at: Millis) -> io::Result<Option<IncomingRequest>> {
        let limit = self.shared.clock.at(accepted_at + self.protocol.handshake_timeout());
        let Some(mut request) = self.handshake(limit).await? else { return Ok(None) };
        if !self.permit.acquire_upstream().await {
            self.reply_rejected();
            self.close().await?;
            return Ok(None);
        }
        // The client's end may have arrived with its request, before either was read: no endpoint is asked
        // then.
        if has_client_gone(&self.client, &mut self.input, self.protocol.accepts_early_data()) {
            self.protocol.write_local_reply(LocalReply::Failed, &mut self.reply);
            self.close().await?;
            return Ok(None);
        }
        request.descriptors_short = self.permit.is_short();
        Ok(Some(request))
    }

    /// Exchanges the protocol's handshake with the client, until its request is whole.
    async fn handshake(&mut self, limit: Instant) -> io::Result<Option<IncomingRequest>> {
        let mut has_sent = false;
        loop {
            let now = self.shared.clock.now();
            let serving_mode = self.shared.relay.borrow().serving_mode();
            let arrive = self.protocol.read_request(now, serving_mode, &mut self.input, &mut self.reply);
            let written = timeout_at(limit, self.client.write_all_buf(&mut *self.reply)).await;
            match arrive {
                _ if written.is_err() => return Ok(None),
                ReadProgress::Request(request) => return Ok(Some(request)),
                ReadProgress::Close => {
                    self.close().await?;
                    return Ok(None);
                }
                ReadProgress::Incomplete => written??,
            }
            if has_sent {
                self.permit.record_activity(self.protocol.request_begun(&self.input));
            }
            match self.read_handshake(limit).await {
                HandshakeRead::More => has_sent = true,
                HandshakeRead::Closed => return Ok(None),
                HandshakeRead::TimedOut => {
                    self.protocol.write_local_reply(LocalReply::Failed, &mut self.reply);
                    self.close().await?;
                    return Ok(None);
                }
            }
        }
    }

    /// Waits for more of the handshake until the limit.
    async fn read_handshake(&mut self, limit: Instant) -> HandshakeRead {
        match timeout_at(limit, read_more(&self.client, &mut self.input)).await {
            Ok(Ok(read)) if read > 0 => HandshakeRead::More,
            Ok(_) => HandshakeRead::Closed,
            // Bytes that arrived at the very limit are still parsed: the client is not answered unread.
            Err(_) if matches!(self.input.fill_unpolled(&self.client), Ok(Some(read)) if read > 0) => {
                HandshakeRead::More
            }
            Err(_) => HandshakeRead::TimedOut,
        }
    }

    /// Gives the request to the core, and enters the connection for the core's commands.
    pub(super) fn register(
        &mut self,
        request: IncomingRequest,
    ) -> (Registration, UnboundedReceiver<ConnectionCommand>) {
        // Described before the core takes it, and logged once it has an identifier.
        let description = log_enabled!(Level::Debug).then(|| describe(&request)).unwrap_or_default();
        let now = self.shared.clock.now();
        let id = self.shared.relay.borrow_mut().accept_request(now, request);
        let registered = Registration::new(&self.shared, id);
        debug!("connection {}: request of {description}", id.0);
        registered
    }
}

/// What the log says of a request.
fn describe(request: &IncomingRequest) -> String {
    let text = |key: &Option<Key>| key.as_ref().map_or("-".into(), |key| key.0.clone());
    let client = text(&request.client);
    let group = text(&request.group);
    format!("client {client}, group {group}, mid-flow {}, returned {}", request.mid_flow, request.returned)
}
