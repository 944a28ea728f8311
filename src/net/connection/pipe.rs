//! One direction of a tunnel: a buffer between the stream that is read and the stream that is written.

use std::io;
use std::net::Shutdown;

use socket2::SockRef;
use tokio::net::TcpStream;

use crate::net::Shared;
use crate::net::pool::PooledBuffer;

/// One direction of a tunnel, from a sender to a receiver. The pipe holds a buffer only while bytes are
/// buffered, and reads no more from the sender while the buffer is full because the receiver is slower.
pub struct Pipe {
    buffer: Option<PooledBuffer>,
    /// The sender has closed its sending side, and all its bytes have been read.
    pub eof: bool,
    /// The sender's end of stream has been passed on to the receiver.
    pub is_shut: bool,
    /// The receiver accepts no more bytes, so they are discarded.
    pub is_discarding: bool,
}

impl Pipe {
    /// A direction whose first bytes are already in `buffer`.
    pub fn with_buffer(buffer: PooledBuffer) -> Self {
        Pipe { buffer: Some(buffer), eof: false, is_shut: false, is_discarding: false }
    }

    /// The bytes that have been read and are not forwarded yet.
    pub fn bytes(&self) -> &[u8] {
        self.buffer.as_ref().map_or(&[], |buffer| &buffer[..])
    }

    /// The number of bytes that have been read and are not forwarded yet.
    pub fn len(&self) -> usize {
        self.bytes().len()
    }

    /// The last `count` buffered bytes.
    pub fn last_bytes(&self, count: usize) -> &[u8] {
        let bytes = self.bytes();
        &bytes[bytes.len() - count..]
    }

    /// Whether bytes should be read from the sender now.
    pub fn can_read(&self) -> bool {
        !self.eof
            && !self.is_discarding
            && self.buffer.as_ref().is_none_or(|buffer| buffer.spare_capacity() > 0)
    }

    /// Discards the buffered bytes and stops reading, since the receiver accepts no more bytes.
    pub fn discard(&mut self) {
        self.is_discarding = true;
        self.buffer = None;
    }

    /// Reads the bytes that the sender has sent. Returns their number, which is 0 if there are none or the
    /// stream has ended.
    ///
    /// # Errors
    /// The sender's connection is broken.
    pub fn fill(&mut self, from: &TcpStream, shared: &Shared) -> io::Result<usize> {
        let buffer = self.buffer.get_or_insert_with(|| shared.pool.get());
        let read = buffer.fill(from)?;
        self.eof = read == Some(0);
        Ok(read.unwrap_or(0))
    }

    /// Writes as many buffered bytes as the receiver takes now, but never the last `withheld` bytes.
    ///
    /// # Errors
    /// The receiver's connection is broken.
    pub fn flush(&mut self, to: &TcpStream, withheld: usize) -> io::Result<()> {
        let Some(buffer) = &mut self.buffer else { return Ok(()) };
        buffer.flush_except(to, withheld)?;
        if buffer.is_empty() {
            self.buffer = None;
        }
        Ok(())
    }

    /// Passes the sender's end of stream on to the receiver once all bytes before it have been written.
    /// Returns whether this call has passed it on.
    pub fn shut_if_drained(&mut self, to: &TcpStream) -> bool {
        let is_due = self.eof && !self.is_shut && !self.is_discarding && self.len() == 0;
        if is_due {
            self.is_shut = true;
            // The shutdown fails only if the receiver has closed the connection as well.
            let _ = SockRef::from(to).shutdown(Shutdown::Write);
        }
        is_due
    }
}
