//! RTMP's chunk stream (Adobe's specification, section 5.3): a reader that follows the chunks of a stream
//! without changing it, and a writer for the relay's own messages.
//!
//! The library's reader has one payload buffer for all chunk streams, so it misreads interleaved messages,
//! and it does not report where a chunk ends. Both matter here: the relay may insert a message only between
//! two chunks, and on a chunk stream that is not in the middle of a message.

use std::collections::BTreeMap;

use bytes::{BufMut, BytesMut};

/// Longest payload of a chunk until the sender sets another.
pub const DEFAULT_CHUNK_BYTES: usize = 128;
/// Most chunk streams of one connection; encoders use under ten.
const MAX_STREAMS: usize = 64;
/// Longest message whose body is stored.
const MAX_STORED_BODY_BYTES: usize = 4096;

/// First chunk stream that messages other than control messages may use.
pub const FIRST_MESSAGE_STREAM: u32 = 3;
/// Type of a message: set chunk size.
const SET_CHUNK_SIZE: u8 = 1;
/// Type of a message: abort.
const ABORT: u8 = 2;
/// Type of a message: a command in AMF0.
pub const COMMAND: u8 = 20;

/// The bytes are not a chunk stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// A whole message, with its body where its type is read here and it is not too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its type.
    pub kind: u8,
    /// Its body; empty where it was not stored.
    pub body: Vec<u8>,
}

#[derive(Default)]
struct Stream {
    kind: u8,
    length: usize,
    received: usize,
    extended: bool,
    body: Vec<u8>,
}

/// A chunk whose payload is being received.
#[derive(Clone, Copy)]
struct CurrentChunk {
    stream: u32,
    bytes_left: usize,
}

/// The basic header of a chunk.
struct BasicHeader {
    stream: u32,
    length: usize,
}

/// The result of [`Reader::next`].
#[derive(Debug, PartialEq, Eq)]
pub struct Progress {
    /// How many bytes were consumed.
    pub consumed: usize,
    /// The message that ends with them; `None` where more bytes are needed.
    pub message: Option<Message>,
}

/// Follows one direction of a connection.
pub struct Reader {
    chunk_size: usize,
    streams: BTreeMap<u32, Stream>,
    /// The bytes received so far of the current chunk's header.
    header: Vec<u8>,
    /// The chunk whose header is complete and whose payload is not.
    current: Option<CurrentChunk>,
    /// Bytes since the last end of a chunk.
    bytes_since_boundary: usize,
}

impl Default for Reader {
    fn default() -> Self {
        Reader {
            chunk_size: DEFAULT_CHUNK_BYTES,
            streams: BTreeMap::new(),
            header: Vec::new(),
            current: None,
            bytes_since_boundary: 0,
        }
    }
}

impl Reader {
    /// The sender's chunk size.
    pub fn chunk_size(&self) -> usize {
        self.chunk_size
    }

    /// Bytes since the last end of a chunk.
    pub fn bytes_since_boundary(&self) -> usize {
        self.bytes_since_boundary
    }

    /// A chunk stream that is not in the middle of a message; 2 is reserved for control messages.
    pub fn idle_stream(&self) -> u32 {
        let idle = |id: &u32| self.streams.get(id).is_none_or(|stream| stream.received == 0);
        (FIRST_MESSAGE_STREAM..64).find(idle).unwrap_or(FIRST_MESSAGE_STREAM)
    }

    /// Reads bytes up to the end of the next message.
    ///
    /// # Errors
    ///
    /// [`Malformed`] where the bytes are not a chunk stream.
    pub fn next(&mut self, bytes: &[u8]) -> Result<Progress, Malformed> {
        let mut consumed = 0;
        loop {
            let chunk = match self.current {
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

    /// Reads one byte of a header. An empty message ends with its header.
    fn read_header_byte(&mut self, byte: u8) -> Result<Option<Message>, Malformed> {
        self.header.push(byte);
        self.bytes_since_boundary += 1;
        if self.header_complete()? {
            self.begin_chunk()?;
        }
        match self.current {
            Some(CurrentChunk { stream, bytes_left: 0 }) => self.end_chunk(stream),
            _ => Ok(None),
        }
    }

    /// Reads bytes of a chunk's payload, no more than it has left.
    fn read_payload(&mut self, chunk: CurrentChunk, bytes: &[u8]) -> Result<Option<Message>, Malformed> {
        let Some(stream) = self.streams.get_mut(&chunk.stream) else { return Err(Malformed) };
        let stored = matches!(stream.kind, SET_CHUNK_SIZE | ABORT | COMMAND);
        if stored && stream.length <= MAX_STORED_BODY_BYTES {
            stream.body.extend_from_slice(bytes);
        }
        stream.received += bytes.len();
        self.bytes_since_boundary += bytes.len();
        let bytes_left = chunk.bytes_left - bytes.len();
        self.current = Some(CurrentChunk { stream: chunk.stream, bytes_left });
        if bytes_left == 0 { self.end_chunk(chunk.stream) } else { Ok(None) }
    }

    /// The current chunk's basic header; `None` as long as it is incomplete.
    fn basic_header(&self) -> Option<BasicHeader> {
        match (self.header.first()? & 0x3f, self.header.get(1), self.header.get(2)) {
            (0, Some(a), _) => Some(BasicHeader { stream: 64 + u32::from(*a), length: 2 }),
            (1, Some(a), Some(b)) => {
                Some(BasicHeader { stream: 64 + u32::from(*a) + 256 * u32::from(*b), length: 3 })
            }
            (0 | 1, ..) => None,
            (id, ..) => Some(BasicHeader { stream: id.into(), length: 1 }),
        }
    }

    /// Length of the message header, by the format in the basic header's first bits.
    fn message_header_length(&self) -> usize {
        [11, 7, 3, 0][usize::from(self.header[0] >> 6)]
    }

    fn header_complete(&self) -> Result<bool, Malformed> {
        let Some(basic) = self.basic_header() else { return Ok(false) };
        let fields = self.message_header_length();
        if fields < 11 && !self.streams.contains_key(&basic.stream) {
            return Err(Malformed);
        }
        let fields_end = basic.length + fields;
        let Some(message_header) = self.header.get(basic.length..fields_end) else { return Ok(false) };
        let extended = match message_header.get(..3) {
            Some(timestamp) => timestamp == [0xff; 3],
            None => self.streams[&basic.stream].extended,
        };
        let extended_bytes = if extended { 4 } else { 0 };
        Ok(self.header.len() == fields_end + extended_bytes)
    }

    /// Begins the chunk whose header is complete.
    fn begin_chunk(&mut self) -> Result<(), Malformed> {
        let Some(basic) = self.basic_header() else { return Err(Malformed) };
        let id = basic.stream;
        let fields = self.message_header_length();
        if self.streams.len() >= MAX_STREAMS && !self.streams.contains_key(&id) {
            return Err(Malformed);
        }
        let stream = self.streams.entry(id).or_default();
        let message_header = &self.header[basic.length..];
        if fields > 0 {
            stream.extended = message_header[..3] == [0xff; 3];
            stream.received = 0;
            stream.body.clear();
        }
        if fields >= 7 {
            let length = &message_header[3..6];
            stream.length =
                usize::from(length[0]) << 16 | usize::from(length[1]) << 8 | usize::from(length[2]);
            stream.kind = message_header[6];
        }
        self.header.clear();
        let bytes_left = self.chunk_size.min(stream.length - stream.received);
        self.current = Some(CurrentChunk { stream: id, bytes_left });
        Ok(())
    }

    /// Ends the current chunk; returns the message that ends with it.
    fn end_chunk(&mut self, id: u32) -> Result<Option<Message>, Malformed> {
        self.current = None;
        self.bytes_since_boundary = 0;
        let Some(stream) = self.streams.get_mut(&id).filter(|s| s.received == s.length) else {
            return Ok(None);
        };
        stream.received = 0;
        let message = Message { kind: stream.kind, body: std::mem::take(&mut stream.body) };
        let number = || message.body.first_chunk().map(|b| u32::from_be_bytes(*b)).ok_or(Malformed);
        match message.kind {
            SET_CHUNK_SIZE => {
                self.chunk_size = usize::try_from(number()? & 0x7fff_ffff).map_err(|_| Malformed)?;
                if self.chunk_size == 0 {
                    return Err(Malformed);
                }
            }
            ABORT => {
                if let Some(aborted) = self.streams.get_mut(&number()?) {
                    aborted.received = 0;
                    aborted.body.clear();
                }
            }
            _ => {}
        }
        Ok(Some(message))
    }
}

/// Writes a command as one message on a chunk stream below 64.
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
