//! A pool of buffers of one size, which read from and write to sockets.

use std::cell::RefCell;
use std::io::{self, Read};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use bytes::{Buf, BufMut, BytesMut};
use socket2::SockRef;
use tokio::net::TcpStream;

/// Size of a buffer, which holds the longest line of the line protocol twice.
pub const BUFFER_BYTES: usize = 8192;
/// Most bytes that one read without the poller takes. This limit is small since such a read mostly finds no
/// bytes.
const UNPOLLED_READ_BYTES: usize = 512;
/// Most free buffers that the pool keeps; further free buffers are deallocated.
const MAX_FREE_BUFFERS: usize = 1024;

/// A pool of buffers that are free to be used again.
#[derive(Default)]
pub struct BufferPool {
    free: RefCell<Vec<BytesMut>>,
}

impl BufferPool {
    /// Takes an empty buffer from the pool, or allocates one if none is free.
    pub fn get(self: &Rc<Self>) -> PooledBuffer {
        let free = self.free.borrow_mut().pop();
        let bytes = free.unwrap_or_else(|| BytesMut::with_capacity(BUFFER_BYTES));
        PooledBuffer { bytes, pool: self.clone() }
    }
}

/// A buffer that returns to its pool when it is dropped.
pub struct PooledBuffer {
    bytes: BytesMut,
    pool: Rc<BufferPool>,
}

impl PooledBuffer {
    /// How many more bytes the buffer may take from a socket.
    pub fn spare_capacity(&self) -> usize {
        BUFFER_BYTES.saturating_sub(self.bytes.len())
    }

    /// Reads the bytes that a socket has received, as many as the buffer has room for. Returns their number,
    /// 0 at the end of the stream, and `None` if there is nothing to read.
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

    /// Reads as [`PooledBuffer::fill`] does, but always makes the system call, whatever the poller has
    /// reported. The poller's latest report may not have been processed yet.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn fill_unpolled(&mut self, stream: &TcpStream) -> io::Result<Option<usize>> {
        let mut bytes = [0; UNPOLLED_READ_BYTES];
        let max_bytes = self.spare_capacity().min(UNPOLLED_READ_BYTES);
        match (&*SockRef::from(stream)).read(&mut bytes[..max_bytes]) {
            Ok(read) => {
                self.bytes.extend_from_slice(&bytes[..read]);
                Ok(Some(read))
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Writes as many bytes as the socket takes now.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        self.flush_except(stream, 0)
    }

    /// Writes as many bytes as the socket takes now, but never the last `withheld` bytes.
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

impl Deref for PooledBuffer {
    type Target = BytesMut;

    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl DerefMut for PooledBuffer {
    fn deref_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }
}

impl Drop for PooledBuffer {
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
