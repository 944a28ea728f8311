//! RTMP's chunk stream (Adobe's specification, section 5.3): a reader that follows the chunks of a stream it
//! does not change, and a writer for the few messages of the relay's own.
//!
//! The library's reader keeps one payload for all chunk streams, so it misreads interleaved messages, and it
//! does not tell where a chunk ends. Both matter here: a message of the relay's own may only be put in
//! between two chunks, and on a chunk stream that is not in the middle of a message.

use std::collections::BTreeMap;

use bytes::{BufMut, BytesMut};

/// A chunk's payload until the sender says otherwise.
const DEFAULT_CHUNK: usize = 128;
/// Chunk streams of one connection; encoders use under ten.
const MOST_STREAMS: usize = 64;
/// Longest message whose body is kept.
const KEPT_BODY: usize = 4096;

/// Type of a message: set chunk size.
const SET_CHUNK_SIZE: u8 = 1;
/// Type of a message: abort.
const ABORT: u8 = 2;
/// Type of a message: a command in AMF0.
pub const COMMAND: u8 = 20;

/// The bytes are no chunk stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// A whole message, with its body where it is of a kind that matters and not too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its type.
    pub kind: u8,
    /// Its body; empty where it was not kept.
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

/// Follows one direction of a connection.
pub struct Reader {
    chunk_size: usize,
    streams: BTreeMap<u32, Stream>,
    /// The header of the chunk that has begun.
    header: Vec<u8>,
    /// The chunk stream of the current chunk, and how much of its payload is to come.
    current: Option<(u32, usize)>,
    partial: usize,
}

impl Default for Reader {
    fn default() -> Self {
        Reader {
            chunk_size: DEFAULT_CHUNK,
            streams: BTreeMap::new(),
            header: Vec::new(),
            current: None,
            partial: 0,
        }
    }
}

impl Reader {
    /// The sender's chunk size.
    pub fn chunk_size(&self) -> usize {
        self.chunk_size
    }

    /// Bytes since the last end of a chunk.
    pub fn partial(&self) -> usize {
        self.partial
    }

    /// A chunk stream that is not in the middle of a message. 2 is for control messages.
    pub fn idle_stream(&self) -> u32 {
        let idle = |id: &u32| self.streams.get(id).is_none_or(|s| s.received == 0);
        (3..64).find(idle).unwrap_or(3)
    }

    /// Takes bytes up to the end of the next message: how many those were, and the message.
    pub fn next(&mut self, bytes: &[u8]) -> Result<(usize, Option<Message>), Malformed> {
        let mut at = 0;
        loop {
            let Some((id, left)) = self.current else {
                let Some(byte) = bytes.get(at) else { return Ok((at, None)) };
                self.header.push(*byte);
                self.partial += 1;
                at += 1;
                if self.header_whole()? {
                    self.begin()?;
                }
                // A message may be empty: it ends with its header.
                match self.current {
                    Some((id, 0)) => match self.end_of_chunk(id)? {
                        Some(message) => return Ok((at, Some(message))),
                        None => continue,
                    },
                    _ => continue,
                }
            };
            let take = left.min(bytes.len() - at);
            if take == 0 {
                return Ok((at, None));
            }
            let Some(stream) = self.streams.get_mut(&id) else { return Err(Malformed) };
            if matches!(stream.kind, SET_CHUNK_SIZE | ABORT | COMMAND) && stream.length <= KEPT_BODY {
                stream.body.extend_from_slice(&bytes[at..at + take]);
            }
            stream.received += take;
            self.partial += take;
            at += take;
            self.current = Some((id, left - take));
            if left == take
                && let Some(message) = self.end_of_chunk(id)?
            {
                return Ok((at, Some(message)));
            }
        }
    }

    /// The chunk stream's id and the length of the basic header.
    fn id(&self) -> Option<(u32, usize)> {
        match (self.header.first()? & 0x3f, self.header.get(1), self.header.get(2)) {
            (0, Some(a), _) => Some((64 + u32::from(*a), 2)),
            (1, Some(a), Some(b)) => Some((64 + u32::from(*a) + 256 * u32::from(*b), 3)),
            (0 | 1, ..) => None,
            (id, ..) => Some((id.into(), 1)),
        }
    }

    fn message_header(&self) -> usize {
        [11, 7, 3, 0][usize::from(self.header[0] >> 6)]
    }

    fn header_whole(&self) -> Result<bool, Malformed> {
        let Some((id, basic)) = self.id() else { return Ok(false) };
        let fields = self.message_header();
        if fields < 11 && !self.streams.contains_key(&id) {
            return Err(Malformed);
        }
        let Some(own) = self.header.get(basic..basic + fields) else { return Ok(false) };
        let extended = match own.get(..3) {
            Some(timestamp) => timestamp == [0xff; 3],
            None => self.streams[&id].extended,
        };
        Ok(self.header.len() == basic + fields + if extended { 4 } else { 0 })
    }

    /// Takes in a whole header.
    fn begin(&mut self) -> Result<(), Malformed> {
        let Some((id, basic)) = self.id() else { return Err(Malformed) };
        let fields = self.message_header();
        if self.streams.len() >= MOST_STREAMS && !self.streams.contains_key(&id) {
            return Err(Malformed);
        }
        let stream = self.streams.entry(id).or_default();
        let own = &self.header[basic..];
        if fields > 0 {
            stream.extended = own[..3] == [0xff; 3];
            stream.received = 0;
            stream.body.clear();
        }
        if fields >= 7 {
            stream.length = usize::from(own[3]) << 16 | usize::from(own[4]) << 8 | usize::from(own[5]);
            stream.kind = own[6];
        }
        self.header.clear();
        self.current = Some((id, self.chunk_size.min(stream.length - stream.received)));
        Ok(())
    }

    fn end_of_chunk(&mut self, id: u32) -> Result<Option<Message>, Malformed> {
        self.current = None;
        self.partial = 0;
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

/// Writes a command as a message of its own on a chunk stream below 64.
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
