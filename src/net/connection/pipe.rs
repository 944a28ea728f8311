//! One direction of a tunnel: a buffer between the stream that is read and the stream that is written.

use std::io;
use std::net::Shutdown;

use socket2::SockRef;
use tokio::net::TcpStream;

use crate::net::Shared;
use crate::net::pool::Pooled;

/// One direction of a tunnel. It holds a buffer only while it has bytes, and reads no more while the
/// receiver is slower than the sender.
pub struct Pipe {
    buffer: Option<Pooled>,
    /// The sender has ended.
    pub eof: bool,
    /// The end has been passed on to the receiver.
    pub is_shut: bool,
    /// The receiver takes nothing any more.
    pub is_discarding: bool,
}

impl Pipe {
    /// A direction whose first bytes have been read.
    pub fn with(buffer: Pooled) -> Self {
        Pipe { buffer: Some(buffer), eof: false, is_shut: false, is_discarding: false }
    }

    /// The bytes that are not forwarded yet.
    pub fn bytes(&self) -> &[u8] {
        self.buffer.as_ref().map_or(&[], |buffer| &buffer[..])
    }

    /// How many bytes are not forwarded yet.
    pub fn len(&self) -> usize {
        self.bytes().len()
    }

    /// The last `count` bytes that were read.
    pub fn last(&self, count: usize) -> &[u8] {
        let bytes = self.bytes();
        &bytes[bytes.len() - count..]
    }

    /// Whether the sender is to be read.
    pub fn can_read(&self) -> bool {
        !self.eof
            && !self.is_discarding
            && self.buffer.as_ref().is_none_or(|buffer| buffer.spare_capacity() > 0)
    }

    /// Drops what the receiver no longer takes.
    pub fn discard(&mut self) {
        self.is_discarding = true;
        self.buffer = None;
    }

    /// Reads what the sender has sent; the number of bytes, 0 where there are none or the sender has ended.
    ///
    /// # Errors
    /// The sender's connection is broken.
    pub fn fill(&mut self, from: &TcpStream, shared: &Shared) -> io::Result<usize> {
        let buffer = self.buffer.get_or_insert_with(|| shared.pool.get());
        let read = buffer.fill(from)?;
        self.eof = read == Some(0);
        Ok(read.unwrap_or(0))
    }

    /// Writes what the receiver takes now, but for the last `withheld` bytes.
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

    /// Passes the sender's end on once all before it has been written; whether it did so now.
    pub fn shut_if_drained(&mut self, to: &TcpStream) -> bool {
        let is_due = self.eof && !self.is_shut && !self.is_discarding && self.len() == 0;
        if is_due {
            self.is_shut = true;
            // It fails only where the receiver has ended as well.
            let _ = SockRef::from(to).shutdown(Shutdown::Write);
        }
        is_due
    }
}
