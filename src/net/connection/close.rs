//! Closes a client's connection so that the client can still read its last reply.
//!
//! A socket that is closed with unread bytes sends a reset, which may destroy a reply that the peer has not
//! read yet. So the streams of both the client and the endpoint are read to their end before they are closed,
//! within limits of time and bytes.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{ClientConnection, read_more};
use crate::listener::ClientProtocol;
use crate::net::pool::PooledBuffer;

/// Timeout for writing the last reply, and again for the client to close after it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that are read from a client after its last reply. A client that sends on without reading is
/// closed nevertheless.
const MAX_CLIENT_DISCARD_BYTES: usize = 64 * 1024;
/// Most bytes that are read from an endpoint whose connection is being closed.
const MAX_UPSTREAM_DISCARD_BYTES: usize = 1024 * 1024;
/// Most bytes that one system call reads from a connection that is being evicted.
const DISCARD_CHUNK_BYTES: usize = 4096;

impl<F: ClientProtocol> ClientConnection<F> {
    /// Writes the last reply and closes the client's connection gracefully.
    pub(super) async fn close(&mut self) -> io::Result<()> {
        self.permit.release_upstream();
        self.is_answered = true;
        close_gracefully(&self.client, &self.protocol, &mut self.input, &mut self.reply).await
    }

    /// Writes as much of the last reply as the socket takes and ends the connection without waiting, since
    /// another connection waits for the descriptor. Bytes that have arrived by now are read, so that the
    /// close does not send a reset.
    pub(super) fn close_evicted(&mut self) -> io::Result<()> {
        self.reply.flush(&self.client)?;
        let client = SockRef::from(&self.client);
        client.shutdown(Shutdown::Write)?;
        let mut total_bytes = 0;
        while total_bytes < MAX_CLIENT_DISCARD_BYTES {
            match client.recv(&mut [MaybeUninit::uninit(); DISCARD_CHUNK_BYTES]) {
                Ok(read) if read > 0 => total_bytes += read,
                _ => break,
            }
        }
        Ok(())
    }

    /// Closes a client's connection whose last reply is in the reply buffer, and the upstream connection at
    /// the same time. The upstream connection is read to its end as well, since a reset would destroy bytes
    /// that the client has sent just before.
    pub(super) async fn close_with_upstream(&mut self, upstream: TcpStream) -> io::Result<()> {
        self.is_answered = true;
        let ClientConnection { client, protocol, input, reply, permit, shared, .. } = self;
        let mut discarded = shared.pool.get();
        let close_upstream = async move {
            // The shutdown fails only if the endpoint has closed the connection as well.
            let _ = SockRef::from(&upstream).shutdown(Shutdown::Write);
            discard_input(&upstream, &mut discarded, MAX_UPSTREAM_DISCARD_BYTES).await;
            drop(upstream);
            permit.release_upstream();
        };
        let (client_closed, ()) =
            tokio::join!(close_gracefully(client, protocol, input, reply), close_upstream);
        client_closed
    }
}

/// Makes the stream send a reset when it is closed.
pub(super) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Writes the reply, shuts the sending side down, and discards what the client sends until the client closes.
/// A protocol may ask for a reset instead.
async fn close_gracefully<F: ClientProtocol>(
    client: &TcpStream,
    protocol: &F,
    input: &mut PooledBuffer,
    reply: &mut PooledBuffer,
) -> io::Result<()> {
    if protocol.closes_by_reset() {
        return reset_on_close(client);
    }
    let write_reply = async {
        while !reply.is_empty() {
            client.writable().await?;
            reply.flush(client)?;
        }
        io::Result::Ok(())
    };
    timeout(CLOSE_TIMEOUT, write_reply).await??;
    SockRef::from(client).shutdown(Shutdown::Write)?;
    discard_input(client, input, MAX_CLIENT_DISCARD_BYTES).await;
    Ok(())
}

/// Reads a stream and discards the bytes until the stream ends or [`CLOSE_TIMEOUT`] has passed. After
/// `max_bytes` nothing more is read, and the function waits for the rest of the timeout.
async fn discard_input(stream: &TcpStream, buffer: &mut PooledBuffer, max_bytes: usize) {
    let read_to_end = async {
        let mut total_bytes = 0;
        while total_bytes < max_bytes {
            buffer.clear();
            match read_more(stream, buffer).await {
                Ok(read) if read > 0 => total_bytes += read,
                _ => return,
            }
        }
        std::future::pending().await
    };
    let _ = timeout(CLOSE_TIMEOUT, read_to_end).await;
}
