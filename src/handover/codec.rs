//! Encodes messages as frames: the length of the body in four bytes, little endian, then the body in
//! postcard.

use bytes::{Buf, BytesMut};
use thiserror::Error;

use super::{Message, VERSION_MISMATCH};

/// Longest body that the decoder accepts. The bodies that are sent are far shorter.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Size of the length field before each body.
const LENGTH_BYTES: usize = 4;

/// Why bytes can't be decoded as a message. The text for the other process is that of a version mismatch:
/// only a process of another version sends such bytes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The length field is greater than the longest body.
    #[error("{VERSION_MISMATCH}")]
    TooLong {
        /// The length in the frame.
        bytes: usize,
    },
    /// The body is not a message of this version.
    #[error("{VERSION_MISMATCH}")]
    InvalidBody(#[source] postcard::Error),
}

/// Encodes a message as a frame.
pub fn encode(message: &Message) -> Vec<u8> {
    // Encoding fails only if memory is exhausted.
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
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of received bytes that are not yet decoded.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next message, if all its bytes have arrived.
    ///
    /// # Errors
    ///
    /// The bytes are not a message. The bytes after them can't be decoded either.
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
