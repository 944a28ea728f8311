//! Messages as bytes: the length of the body in four bytes, little endian, then the body in postcard.

use bytes::{Buf, BytesMut};
use thiserror::Error;

use super::{Message, VERSION_MISMATCH};

/// Longest body. Bodies that are sent are far shorter.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Length of the body's length.
const LENGTH_BYTES: usize = 4;

/// Why bytes are no message. The peer learns that it speaks another version: no other sender sends such
/// bytes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The body would be longer than any.
    #[error("{VERSION_MISMATCH}")]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The body is no message.
    #[error("{VERSION_MISMATCH}")]
    InvalidBody(#[source] postcard::Error),
}

/// Encodes a message with its length.
pub fn encode(message: &Message) -> Vec<u8> {
    // It fails for want of memory only.
    let body = postcard::to_allocvec(message).unwrap_or_default();
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame
}

/// Decodes messages as their bytes arrive.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    buffer: BytesMut,
}

impl MessageDecoder {
    /// Takes more bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that are not part of a decoded message.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next message, if it has arrived whole.
    ///
    /// # Errors
    ///
    /// Where the bytes are no message; what follows them can't be decoded either.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let bytes = u32::from_le_bytes(*length) as usize;
        if bytes > MAX_BODY_BYTES {
            return Err(DecodeError::TooLong { bytes });
        }
        if self.buffer.len() < LENGTH_BYTES + bytes {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(bytes);
        postcard::from_bytes(&body).map(Some).map_err(DecodeError::InvalidBody)
    }
}
