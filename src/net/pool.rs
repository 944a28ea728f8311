//! Buffers of one size, used again.

use std::cell::RefCell;
use std::io::{self, Read};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use bytes::{Buf, BufMut, BytesMut};
use socket2::SockRef;
use tokio::net::TcpStream;

/// Size of a buffer: holds the longest line twice.
pub const SIZE: usize = 8192;
/// Most bytes that one look takes: mostly there are none.
const LOOK: usize = 512;
/// Most buffers kept for later.
const KEPT: usize = 1024;

/// Buffers that are not in use.
#[derive(Default)]
pub struct Pool(RefCell<Vec<BytesMut>>);

impl Pool {
    /// An empty buffer.
    pub fn get(self: &Rc<Self>) -> Pooled {
        let bytes = self.0.borrow_mut().pop().unwrap_or_else(|| BytesMut::with_capacity(SIZE));
        Pooled { bytes, pool: self.clone() }
    }
}

/// A buffer that goes back to its pool.
pub struct Pooled {
    bytes: BytesMut,
    pool: Rc<Pool>,
}

impl Pooled {
    /// How much more it may take from a socket.
    pub fn room(&self) -> usize {
        SIZE.saturating_sub(self.bytes.len())
    }

    /// Reads what a socket has; 0 at its end. Gives `None` where nothing is there to read.
    pub fn fill(&mut self, stream: &TcpStream) -> io::Result<Option<usize>> {
        let room = self.room();
        self.bytes.reserve(room);
        match stream.try_read_buf(&mut (&mut self.bytes).limit(room)) {
            Ok(n) => Ok(Some(n)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// As [`Pooled::fill`], but asks the system itself: what the poller was told last may not have been heard yet.
    pub fn look(&mut self, stream: &TcpStream) -> io::Result<Option<usize>> {
        let mut bytes = [0; LOOK];
        let room = self.room().min(LOOK);
        match (&*SockRef::from(stream)).read(&mut bytes[..room]) {
            Ok(n) => {
                self.bytes.extend_from_slice(&bytes[..n]);
                Ok(Some(n))
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Writes as much as a socket takes now.
    pub fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        self.flush_but(stream, 0)
    }

    /// The same, but keeps so many bytes at the end.
    pub fn flush_but(&mut self, stream: &TcpStream, kept: usize) -> io::Result<()> {
        while self.bytes.len() > kept {
            match stream.try_write(&self.bytes[..self.bytes.len() - kept]) {
                Ok(n) => self.bytes.advance(n),
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
        let mut free = self.pool.0.borrow_mut();
        if free.len() < KEPT {
            let mut bytes = std::mem::take(&mut self.bytes);
            bytes.clear();
            bytes.reserve(SIZE);
            free.push(bytes);
        }
    }
}

#[cfg(test)]
mod tests;
