//! A pool of buffers of one size, and reading and writing sockets by them.

use std::cell::RefCell;
use std::io::{self, Read};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use bytes::{Buf, BufMut, BytesMut};
use socket2::SockRef;
use tokio::net::TcpStream;

/// Size of a buffer: holds the longest line twice.
pub const BUFFER_BYTES: usize = 8192;
/// Most bytes that are read at once without the poller: mostly there are none.
const UNPOLLED_READ_BYTES: usize = 512;
/// Most free buffers that are kept for later.
const MAX_FREE_BUFFERS: usize = 1024;

/// Buffers that are not in use.
#[derive(Default)]
pub struct Pool {
    free: RefCell<Vec<BytesMut>>,
}

impl Pool {
    /// An empty buffer.
    pub fn get(self: &Rc<Self>) -> Pooled {
        let free = self.free.borrow_mut().pop();
        let bytes = free.unwrap_or_else(|| BytesMut::with_capacity(BUFFER_BYTES));
        Pooled { bytes, pool: self.clone() }
    }
}

/// A buffer that goes back to its pool when dropped.
pub struct Pooled {
    bytes: BytesMut,
    pool: Rc<Pool>,
}

impl Pooled {
    /// How many more bytes it may take from a socket.
    pub fn spare_capacity(&self) -> usize {
        BUFFER_BYTES.saturating_sub(self.bytes.len())
    }

    /// Reads what a socket has; 0 at its end. Gives `None` where nothing is there to read.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn fill(&mut self, stream: &TcpStream) -> io::Result<Option<usize>> {
        let spare = self.spare_capacity();
        self.bytes.reserve(spare);
        match stream.try_read_buf(&mut (&mut self.bytes).limit(spare)) {
            Ok(read) => Ok(Some(read)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// As [`Pooled::fill`], but by a system call whatever the poller has reported: its latest report may
    /// not have been processed yet.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn fill_unpolled(&mut self, stream: &TcpStream) -> io::Result<Option<usize>> {
        let mut bytes = [0; UNPOLLED_READ_BYTES];
        let max = self.spare_capacity().min(UNPOLLED_READ_BYTES);
        match (&*SockRef::from(stream)).read(&mut bytes[..max]) {
            Ok(read) => {
                self.bytes.extend_from_slice(&bytes[..read]);
                Ok(Some(read))
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Writes as much as a socket takes now.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        self.flush_except(stream, 0)
    }

    /// Writes as much as a socket takes now, but for the last `withheld` bytes.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn flush_except(&mut self, stream: &TcpStream, withheld: usize) -> io::Result<()> {
        while self.bytes.len() > withheld {
            match stream.try_write(&self.bytes[..self.bytes.len() - withheld]) {
                Ok(written) => self.bytes.advance(written),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

impl Deref for Pooled {
    type Target = BytesMut;

    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl DerefMut for Pooled {
    fn deref_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }
}

impl Drop for Pooled {
    fn drop(&mut self) {
        let mut free = self.pool.free.borrow_mut();
        if free.len() < MAX_FREE_BUFFERS {
            let mut bytes = std::mem::take(&mut self.bytes);
            bytes.clear();
            bytes.reserve(BUFFER_BYTES);
            free.push(bytes);
        }
    }
}

#[cfg(test)]
mod tests;
