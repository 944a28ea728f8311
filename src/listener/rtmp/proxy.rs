//! Headers of the PROXY protocol, version 2, which a trusted proxy sends before a client's bytes.
//!
//! A header names the client and, for a connection that arrives mid-stream, the keys by which its endpoint
//! is found. Reads headers from a buffer and writes the one for an endpoint; does no I/O.

use std::net::{IpAddr, SocketAddr};

use bytes::{BufMut, BytesMut};

/// The bytes that a header begins with.
pub const SIGNATURE: [u8; 12] = *b"\r\n\r\n\0\r\nQUIT\n";
/// Type of the entry that marks a mid-stream arrival, in the range that the protocol leaves to applications.
/// Its value is the connection's key, a space, and the group's key.
pub const MID_STREAM: u8 = 0xe0;
/// Length of the signature, the version and command, the address family and the length.
const FIXED_BYTES: usize = 16;
/// Version 2, command LOCAL: a connection of the proxy's own.
const LOCAL: u8 = 0x20;
/// Version 2, command PROXY: a connection of a client.
const PROXY: u8 = 0x21;
/// Address family unspecified: no addresses follow.
const UNSPECIFIED: u8 = 0x00;
/// TCP over IPv4.
const TCP_IPV4: u8 = 0x11;
/// TCP over IPv6.
const TCP_IPV6: u8 = 0x21;
/// Longest header that is accepted.
const MAX_HEADER_BYTES: usize = 1024;

/// The keys of a connection that arrives mid-stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MidStreamKeys {
    /// Key of the connection.
    pub connection: String,
    /// Key of its group.
    pub group: String,
}

/// A header that does not follow the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedHeader;

/// A whole header and its length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedHeader {
    /// Length in bytes, from the signature to the end of the last entry.
    pub length: usize,
    /// The contents.
    pub header: Header,
}

/// The contents of a header.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The client, where the header names one.
    pub client: Option<SocketAddr>,
    /// The keys of a mid-stream arrival.
    pub mid_stream: Option<MidStreamKeys>,
}

/// Reads a header at the start of the input; `None` as long as it is incomplete.
///
/// # Errors
///
/// [`MalformedHeader`] where the input starts with anything else.
pub fn read(input: &[u8]) -> Result<Option<ParsedHeader>, MalformedHeader> {
    let shared = input.len().min(SIGNATURE.len());
    if input[..shared] != SIGNATURE[..shared] {
        return Err(MalformedHeader);
    }
    let Some(fixed) = input.get(SIGNATURE.len()..FIXED_BYTES) else { return Ok(None) };
    let command = fixed[0];
    let family = fixed[1];
    let length = FIXED_BYTES + usize::from(u16::from_be_bytes([fixed[2], fixed[3]]));
    if !matches!(command, LOCAL | PROXY) || length > MAX_HEADER_BYTES {
        return Err(MalformedHeader);
    }
    let Some(rest) = input.get(FIXED_BYTES..length) else { return Ok(None) };
    let addresses = Addresses::read(family, rest)?;
    let header = Header {
        client: addresses.client.filter(|_| command == PROXY),
        mid_stream: read_entries(&rest[addresses.length..])?,
    };
    Ok(Some(ParsedHeader { length, header }))
}

/// The addresses of a header, of which only the client's is of interest.
struct Addresses {
    length: usize,
    client: Option<SocketAddr>,
}

impl Addresses {
    fn read(family: u8, rest: &[u8]) -> Result<Self, MalformedHeader> {
        let port = |at: usize| u16::from_be_bytes([rest[at], rest[at + 1]]);
        match family {
            TCP_IPV4 if rest.len() >= 12 => {
                let ip = rest.first_chunk::<4>().map(|bytes| IpAddr::from(*bytes));
                Ok(Addresses { length: 12, client: ip.map(|ip| SocketAddr::new(ip, port(8))) })
            }
            TCP_IPV6 if rest.len() >= 36 => {
                let ip = rest.first_chunk::<16>().map(|bytes| IpAddr::from(*bytes));
                Ok(Addresses { length: 36, client: ip.map(|ip| SocketAddr::new(ip, port(32))) })
            }
            UNSPECIFIED => Ok(Addresses { length: 0, client: None }),
            _ => Err(MalformedHeader),
        }
    }
}

/// Reads the entries (type, length, value) up to the end of the header; unknown types are skipped.
fn read_entries(mut entries: &[u8]) -> Result<Option<MidStreamKeys>, MalformedHeader> {
    let mut mid_stream = None;
    while let Some(head) = entries.first_chunk::<3>() {
        let end = 3 + usize::from(u16::from_be_bytes([head[1], head[2]]));
        let value = entries.get(3..end).ok_or(MalformedHeader)?;
        if head[0] == MID_STREAM {
            let text = std::str::from_utf8(value).map_err(|_| MalformedHeader)?;
            let (connection, group) = text.split_once(' ').ok_or(MalformedHeader)?;
            mid_stream = Some(MidStreamKeys { connection: connection.to_owned(), group: group.to_owned() });
        }
        entries = &entries[end..];
    }
    if entries.is_empty() { Ok(mid_stream) } else { Err(MalformedHeader) }
}

/// Writes a header that marks a mid-stream arrival, without addresses.
pub fn write_mid_stream(out: &mut BytesMut, keys: &MidStreamKeys) {
    let value = format!("{} {}", keys.connection, keys.group);
    out.put_slice(&SIGNATURE);
    out.put_slice(&[PROXY, UNSPECIFIED]);
    out.put_u16((3 + value.len()) as u16);
    out.put_u8(MID_STREAM);
    out.put_u16(value.len() as u16);
    out.put_slice(value.as_bytes());
}
