//! The PROXY protocol, version 2, as a trusted front speaks it before a client's bytes: whose connection it
//! is and, where its packets have moved here mid-stream, the keys that find the endpoint that holds it.

use std::net::{IpAddr, SocketAddr};

use bytes::{BufMut, BytesMut};

/// What a header begins with.
pub const SIGNATURE: [u8; 12] = *b"\r\n\r\n\0\r\nQUIT\n";
/// Type of the entry that marks a mid-stream arrival, in the range that the protocol leaves to applications.
/// Its value is the connection's key, a space, and the group's key.
pub const MID_STREAM: u8 = 0xe0;
/// Longest header.
const LONGEST: usize = 1024;

/// What a header tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The client, where the header names one.
    pub client: Option<SocketAddr>,
    /// The connection's and the group's key of a mid-stream arrival.
    pub mid_stream: Option<(String, String)>,
}

/// Reads a header at the start of the input: its length and what it tells, nothing as long as it is not
/// whole, or an error where it is malformed.
pub fn read(input: &[u8]) -> Result<Option<(usize, Header)>, ()> {
    let shared = input.len().min(SIGNATURE.len());
    if input[..shared] != SIGNATURE[..shared] {
        return Err(());
    }
    let Some(fixed) = input.get(SIGNATURE.len()..16) else { return Ok(None) };
    let length = 16 + usize::from(u16::from_be_bytes([fixed[2], fixed[3]]));
    if !matches!(fixed[0], 0x20 | 0x21) || length > LONGEST {
        return Err(());
    }
    let Some(rest) = input.get(16..length) else { return Ok(None) };
    let port = |at: usize| u16::from_be_bytes([rest[at], rest[at + 1]]);
    let ip4 = rest.first_chunk::<4>().map(|b| IpAddr::from(*b));
    let ip6 = rest.first_chunk::<16>().map(|b| IpAddr::from(*b));
    let (addresses, client) = match fixed[1] {
        0x11 if rest.len() >= 12 => (12, ip4.map(|ip| SocketAddr::new(ip, port(8)))),
        0x21 if rest.len() >= 36 => (36, ip6.map(|ip| SocketAddr::new(ip, port(32)))),
        0x00 => (0, None),
        _ => return Err(()),
    };
    let mut header = Header { client: client.filter(|_| fixed[0] == 0x21), mid_stream: None };
    let mut entries = &rest[addresses..];
    while let Some(head) = entries.first_chunk::<3>() {
        let end = 3 + usize::from(u16::from_be_bytes([head[1], head[2]]));
        let value = entries.get(3..end).ok_or(())?;
        if head[0] == MID_STREAM {
            let text = std::str::from_utf8(value).map_err(|_| ())?;
            let (connection, group) = text.split_once(' ').ok_or(())?;
            header.mid_stream = Some((connection.to_owned(), group.to_owned()));
        }
        entries = &entries[end..];
    }
    if entries.is_empty() { Ok(Some((length, header))) } else { Err(()) }
}

/// Writes a header that marks a mid-stream arrival, without addresses.
pub fn write_mid_stream(out: &mut BytesMut, connection: &str, group: &str) {
    let value = format!("{connection} {group}");
    out.put_slice(&SIGNATURE);
    out.put_slice(&[0x21, 0x00]);
    out.put_u16((3 + value.len()) as u16);
    out.put_u8(MID_STREAM);
    out.put_u16(value.len() as u16);
    out.put_slice(value.as_bytes());
}
