//! The RTMP chunk stream (Adobe's specification, section 5.3): a reader that follows the chunks of a
//! connection without changing them, and a writer for the relay's own messages.
//!
//! The library's reader is not used for two reasons. It has one payload buffer for all chunk streams, so it
//! misreads interleaved messages, and it does not report where a chunk ends. Both matter here: the relay may
//! insert a message only between two chunks, and on a chunk stream that is not in the middle of a message.

use std::collections::BTreeMap;

use bytes::{BufMut, BytesMut};

/// Longest payload of a chunk until the sender sets another chunk size.
pub const DEFAULT_CHUNK_BYTES: usize = 128;
/// Most chunk streams of one connection. Encoders use fewer than ten.
const MAX_STREAMS: usize = 64;
/// Length of the longest message whose body is stored.
const MAX_STORED_BODY_BYTES: usize = 4096;

/// Id of the first chunk stream that messages other than control messages may use.
pub const FIRST_MESSAGE_STREAM: u32 = 3;
/// Message type id of Set Chunk Size.
const SET_CHUNK_SIZE: u8 = 1;
/// Message type id of Abort Message.
const ABORT: u8 = 2;
/// Message type id of a command in AMF0.
pub const COMMAND: u8 = 20;

/// The error for bytes that are not valid RTMP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// A complete message. Its body is stored only for the types that the relay reads, and up to a length limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The message type id.
    pub kind: u8,
    /// The body; empty where it was not stored.
    pub body: Vec<u8>,
}

/// The state of one chunk stream: the header of its current message and how much of that message has arrived.
#[derive(Default)]
struct ChunkStream {
    kind: u8,
    length: usize,
    received: usize,
    /// Whether the chunk headers carry an extended timestamp.
    extended_timestamp: bool,
    body: Vec<u8>,
}

/// A chunk whose payload is being received.
#[derive(Clone, Copy)]
struct CurrentChunk {
    /// Id of the chunk stream that the chunk belongs to.
    stream: u32,
    bytes_left: usize,
}

/// The basic header of a chunk.
struct BasicHeader {
    /// Id of the chunk stream that the chunk belongs to.
    stream: u32,
    /// Length of the basic header in bytes.
    length: usize,
}

/// The result of [`ChunkReader::next`].
#[derive(Debug, PartialEq, Eq)]
pub struct Progress {
    /// How many bytes were consumed.
    pub consumed: usize,
    /// The message that ends with the consumed bytes; `None` where more bytes are needed.
    pub message: Option<Message>,
}

/// Reads the chunks of one direction of a connection.
pub struct ChunkReader {
    chunk_size: usize,
    streams: BTreeMap<u32, ChunkStream>,
    /// The part of the current chunk's header that has been received.
    header: Vec<u8>,
    /// The chunk whose header is complete and whose payload is incomplete.
    current_chunk: Option<CurrentChunk>,
    /// Number of bytes since the end of the last complete chunk.
    bytes_since_boundary: usize,
}

impl Default for ChunkReader {
    fn default() -> Self {
        ChunkReader {
            chunk_size: DEFAULT_CHUNK_BYTES,
            streams: BTreeMap::new(),
            header: Vec::new(),
            current_chunk: None,
            bytes_since_boundary: 0,
        }
    }
}

impl ChunkReader {
    /// The chunk size that the sender uses.
    pub fn chunk_size(&self) -> usize {
        self.chunk_size
    }

    /// Number of bytes since the end of the last complete chunk.
    pub fn bytes_since_boundary(&self) -> usize {
        self.bytes_since_boundary
    }

    /// Id of a chunk stream that is not in the middle of a message. Chunk stream 2 is never returned: it is
    /// reserved for control messages.
    pub fn idle_stream(&self) -> u32 {
        let idle = |id: &u32| self.streams.get(id).is_none_or(|stream| stream.received == 0);
        (FIRST_MESSAGE_STREAM..64).find(idle).unwrap_or(FIRST_MESSAGE_STREAM)
    }

    /// Reads bytes up to the end of the next message, or all of them where no message ends.
    ///
    /// # Errors
    ///
    /// [`Malformed`] where the bytes are not a valid chunk stream.
    pub fn next(&mut self, bytes: &[u8]) -> Result<Progress, Malformed> {
        let mut consumed = 0;
        loop {
            let chunk = match self.current_chunk {
                Some(chunk) => chunk,
                None => {
                    let Some(byte) = bytes.get(consumed) else {
                        return Ok(Progress { consumed, message: None });
                    };
                    consumed += 1;
                    let message = self.read_header_byte(*byte)?;
                    if message.is_some() {
                        return Ok(Progress { consumed, message });
                    }
                    continue;
                }
            };
            let count = chunk.bytes_left.min(bytes.len() - consumed);
            if count == 0 {
                return Ok(Progress { consumed, message: None });
            }
            let message = self.read_payload(chunk, &bytes[consumed..consumed + count])?;
            consumed += count;
            if message.is_some() {
                return Ok(Progress { consumed, message });
            }
        }
    }

    /// Reads one byte of a chunk's header. A message with an empty body ends with its header.
    fn read_header_byte(&mut self, byte: u8) -> Result<Option<Message>, Malformed> {
        self.header.push(byte);
        self.bytes_since_boundary += 1;
        if self.header_complete()? {
            self.begin_chunk()?;
        }
        match self.current_chunk {
            Some(CurrentChunk { stream, bytes_left: 0 }) => self.end_chunk(stream),
            _ => Ok(None),
        }
    }

    /// Reads bytes of a chunk's payload. There are no more bytes than the chunk has left.
    fn read_payload(&mut self, chunk: CurrentChunk, bytes: &[u8]) -> Result<Option<Message>, Malformed> {
        let Some(stream) = self.streams.get_mut(&chunk.stream) else { return Err(Malformed) };
        let body_stored = matches!(stream.kind, SET_CHUNK_SIZE | ABORT | COMMAND);
        if body_stored && stream.length <= MAX_STORED_BODY_BYTES {
            stream.body.extend_from_slice(bytes);
        }
        stream.received += bytes.len();
        self.bytes_since_boundary += bytes.len();
        let bytes_left = chunk.bytes_left - bytes.len();
        self.current_chunk = Some(CurrentChunk { stream: chunk.stream, bytes_left });
        if bytes_left == 0 { self.end_chunk(chunk.stream) } else { Ok(None) }
    }

    /// The current chunk's basic header; `None` while it is incomplete.
    fn basic_header(&self) -> Option<BasicHeader> {
        match (self.header.first()? & 0x3f, self.header.get(1), self.header.get(2)) {
            (0, Some(second), _) => Some(BasicHeader { stream: 64 + u32::from(*second), length: 2 }),
            (1, Some(second), Some(third)) => {
                Some(BasicHeader { stream: 64 + u32::from(*second) + 256 * u32::from(*third), length: 3 })
            }
            (0 | 1, ..) => None,
            (id, ..) => Some(BasicHeader { stream: id.into(), length: 1 }),
        }
    }

    /// Length of the message header, given by the chunk format in the first two bits of the basic header.
    fn message_header_length(&self) -> usize {
        [11, 7, 3, 0][usize::from(self.header[0] >> 6)]
    }

    fn header_complete(&self) -> Result<bool, Malformed> {
        let Some(basic) = self.basic_header() else { return Ok(false) };
        let message_header_bytes = self.message_header_length();
        if message_header_bytes < 11 && !self.streams.contains_key(&basic.stream) {
            return Err(Malformed);
        }
        let fields_end = basic.length + message_header_bytes;
        let Some(message_header) = self.header.get(basic.length..fields_end) else { return Ok(false) };
        let extended_timestamp = match message_header.get(..3) {
            Some(timestamp) => timestamp == [0xff; 3],
            None => self.streams[&basic.stream].extended_timestamp,
        };
        let extended_bytes = if extended_timestamp { 4 } else { 0 };
        Ok(self.header.len() == fields_end + extended_bytes)
    }

    /// Begins the chunk whose header is complete.
    fn begin_chunk(&mut self) -> Result<(), Malformed> {
        let Some(basic) = self.basic_header() else { return Err(Malformed) };
        let id = basic.stream;
        let message_header_bytes = self.message_header_length();
        if self.streams.len() >= MAX_STREAMS && !self.streams.contains_key(&id) {
            return Err(Malformed);
        }
        let stream = self.streams.entry(id).or_default();
        let message_header = &self.header[basic.length..];
        if message_header_bytes > 0 {
            stream.extended_timestamp = message_header[..3] == [0xff; 3];
            stream.received = 0;
            stream.body.clear();
        }
        if message_header_bytes >= 7 {
            let length = &message_header[3..6];
            stream.length =
                usize::from(length[0]) << 16 | usize::from(length[1]) << 8 | usize::from(length[2]);
            stream.kind = message_header[6];
        }
        self.header.clear();
        let bytes_left = self.chunk_size.min(stream.length - stream.received);
        self.current_chunk = Some(CurrentChunk { stream: id, bytes_left });
        Ok(())
    }

    /// Ends the current chunk; returns the message, if the chunk is the last chunk of its message.
    fn end_chunk(&mut self, id: u32) -> Result<Option<Message>, Malformed> {
        self.current_chunk = None;
        self.bytes_since_boundary = 0;
        let Some(stream) = self.streams.get_mut(&id).filter(|s| s.received == s.length) else {
            return Ok(None);
        };
        stream.received = 0;
        let message = Message { kind: stream.kind, body: std::mem::take(&mut stream.body) };
        let body_number = || message.body.first_chunk().map(|b| u32::from_be_bytes(*b)).ok_or(Malformed);
        match message.kind {
            SET_CHUNK_SIZE => {
                self.chunk_size = usize::try_from(body_number()? & 0x7fff_ffff).map_err(|_| Malformed)?;
                if self.chunk_size == 0 {
                    return Err(Malformed);
                }
            }
            ABORT => {
                if let Some(aborted) = self.streams.get_mut(&body_number()?) {
                    aborted.received = 0;
                    aborted.body.clear();
                }
            }
            _ => {}
        }
        Ok(Some(message))
    }
}

/// Writes a command as one message on a chunk stream whose id is below 64.
pub fn write_command(out: &mut BytesMut, stream: u32, chunk_size: usize, body: &[u8]) {
    let id = (stream & 0x3f) as u8;
    out.put_u8(id);
    out.put_uint(0, 3);
    out.put_uint(body.len() as u64, 3);
    out.put_u8(COMMAND);
    out.put_u32_le(0);
    for (i, part) in body.chunks(chunk_size.max(1)).enumerate() {
        if i > 0 {
            out.put_u8(0xc0 | id);
        }
        out.put_slice(part);
    }
}
