//! Closes a client's connection so that the client gets to read its last reply.
//!
//! A socket that is closed with unread bytes sends a reset, which may destroy a reply that the peer has not
//! read yet. So both sides are read to their end, within limits of time and bytes.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{ClientConnection, read_more};
use crate::listener::ClientProtocol;
use crate::net::pool::Pooled;

/// How long the last reply may take to be written, and the client to close after it.
const LINGER: Duration = Duration::from_millis(500);
/// Most bytes that are read of a client after its last reply. One that sends without reading is closed all
/// the same.
const MAX_CLIENT_DRAIN_BYTES: usize = 64 * 1024;
/// Most bytes that are read of an endpoint whose connection is closed.
const MAX_UPSTREAM_DRAIN_BYTES: usize = 1024 * 1024;
/// Most bytes that are read at once of a connection that has to make room.
const DRAIN_CHUNK_BYTES: usize = 4096;

impl<F: ClientProtocol> ClientConnection<F> {
    /// Writes the last reply and closes gracefully.
    pub(super) async fn close(&mut self) -> io::Result<()> {
        self.permit.release_upstream();
        self.is_answered = true;
        close_gracefully(&self.client, &self.protocol, &mut self.input, &mut self.reply).await
    }

    /// Writes the last reply and closes at once, since another connection waits for the descriptor. What has
    /// arrived by now is read, so that the close is no reset.
    pub(super) fn close_evicted(&mut self) -> io::Result<()> {
        self.reply.flush(&self.client)?;
        let client = SockRef::from(&self.client);
        client.shutdown(Shutdown::Write)?;
        let mut total = 0;
        while total < MAX_CLIENT_DRAIN_BYTES {
            match client.recv(&mut [MaybeUninit::uninit(); DRAIN_CHUNK_BYTES]) {
                Ok(read) if read > 0 => total += read,
                _ => break,
            }
        }
        Ok(())
    }

    /// Closes a connection whose last reply is written to the buffer, and its upstream connection at the
    /// same time. The latter is read to its end as well: a reset would destroy what the client has sent
    /// just before.
    pub(super) async fn close_with_upstream(&mut self, upstream: TcpStream) -> io::Result<()> {
        self.is_answered = true;
        let ClientConnection { client, protocol, input, reply, permit, shared, .. } = self;
        let mut discarded = shared.pool.get();
        let close_upstream = async move {
            // It fails only where the endpoint has ended as well.
            let _ = SockRef::from(&upstream).shutdown(Shutdown::Write);
            drain(&upstream, &mut discarded, MAX_UPSTREAM_DRAIN_BYTES).await;
            drop(upstream);
            permit.release_upstream();
        };
        let (closed, ()) = tokio::join!(close_gracefully(client, protocol, input, reply), close_upstream);
        closed
    }
}

/// Makes the close of a stream a reset.
pub(super) fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Writes the reply, ends the sending, and discards what the client sends until its end. A protocol may ask
/// for a reset instead.
async fn close_gracefully<F: ClientProtocol>(
    client: &TcpStream,
    protocol: &F,
    input: &mut Pooled,
    reply: &mut Pooled,
) -> io::Result<()> {
    if protocol.closes_by_reset() {
        return reset(client);
    }
    let written = async {
        while !reply.is_empty() {
            client.writable().await?;
            reply.flush(client)?;
        }
        io::Result::Ok(())
    };
    timeout(LINGER, written).await??;
    SockRef::from(client).shutdown(Shutdown::Write)?;
    drain(client, input, MAX_CLIENT_DRAIN_BYTES).await;
    Ok(())
}

/// Reads and discards until the stream's end, for [`LINGER`] at the most. After `max_bytes` nothing more is
/// read, and the time is waited out.
async fn drain(stream: &TcpStream, buffer: &mut Pooled, max_bytes: usize) {
    let read_to_end = async {
        let mut total = 0;
        while total < max_bytes {
            buffer.clear();
            match read_more(stream, buffer).await {
                Ok(read) if read > 0 => total += read,
                _ => return,
            }
        }
        std::future::pending().await
    };
    let _ = timeout(LINGER, read_to_end).await;
}
