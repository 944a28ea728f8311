//! Headers of the PROXY protocol, version 2, which a trusted proxy sends before a client's bytes.
//!
//! A header names the client and, for a connection that arrives mid-flow, the keys by which its endpoint is
//! found. This module reads headers from a buffer and writes the header that is sent to an endpoint. It does
//! no I/O.

use std::net::{IpAddr, SocketAddr};

use bytes::{BufMut, BytesMut};

/// The bytes with which every header begins.
pub const SIGNATURE: [u8; 12] = *b"\r\n\r\n\0\r\nQUIT\n";
/// Type of the TLV (type-length-value field) that marks a connection that arrives mid-flow, in the range
/// that the protocol leaves to applications. Its value is the connection's key, a space, and the group's key.
pub const MID_FLOW_TLV: u8 = 0xe0;
/// Length of the fixed part of a header: signature, version and command, address family and length field.
const FIXED_HEADER_BYTES: usize = 16;
/// Version 2, command LOCAL: the proxy itself opened the connection.
const LOCAL: u8 = 0x20;
/// Version 2, command PROXY: the proxy opened the connection for a client.
const PROXY: u8 = 0x21;
/// Address family unspecified: no addresses follow.
const UNSPECIFIED: u8 = 0x00;
/// TCP over IPv4.
const TCP_IPV4: u8 = 0x11;
/// TCP over IPv6.
const TCP_IPV6: u8 = 0x21;
/// Longest header that is accepted.
const MAX_HEADER_BYTES: usize = 1024;

/// The keys of a connection that arrives mid-flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MidFlowKeys {
    /// Key of the connection.
    pub connection: String,
    /// Key of the connection's group.
    pub group: String,
}

/// The error for a header that does not follow the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedHeader;

/// A complete header and its length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedHeader {
    /// Length in bytes, from the signature to the end of the last TLV.
    pub length: usize,
    /// The contents of the header.
    pub header: Header,
}

/// The contents of a header.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The client's address; `None` where the header names no client.
    pub client: Option<SocketAddr>,
    /// The keys of a connection that arrives mid-flow; `None` for other connections.
    pub mid_flow: Option<MidFlowKeys>,
}

/// Reads a header at the start of the input; `None` while the header is incomplete.
///
/// # Errors
///
/// [`MalformedHeader`] where the input does not start with a valid header.
pub fn read(input: &[u8]) -> Result<Option<ParsedHeader>, MalformedHeader> {
    let compared = input.len().min(SIGNATURE.len());
    if input[..compared] != SIGNATURE[..compared] {
        return Err(MalformedHeader);
    }
    let Some(fixed) = input.get(SIGNATURE.len()..FIXED_HEADER_BYTES) else { return Ok(None) };
    let command = fixed[0];
    let family = fixed[1];
    let length = FIXED_HEADER_BYTES + usize::from(u16::from_be_bytes([fixed[2], fixed[3]]));
    if !matches!(command, LOCAL | PROXY) || length > MAX_HEADER_BYTES {
        return Err(MalformedHeader);
    }
    let Some(variable_part) = input.get(FIXED_HEADER_BYTES..length) else { return Ok(None) };
    let addresses = Addresses::read(family, variable_part)?;
    let header = Header {
        client: addresses.client.filter(|_| command == PROXY),
        mid_flow: read_tlvs(&variable_part[addresses.length..])?,
    };
    Ok(Some(ParsedHeader { length, header }))
}

/// The address block of a header. Only the client's address is used.
struct Addresses {
    length: usize,
    client: Option<SocketAddr>,
}

impl Addresses {
    fn read(family: u8, variable_part: &[u8]) -> Result<Self, MalformedHeader> {
        let port = |at: usize| u16::from_be_bytes([variable_part[at], variable_part[at + 1]]);
        match family {
            TCP_IPV4 if variable_part.len() >= 12 => {
                let ip = variable_part.first_chunk::<4>().map(|bytes| IpAddr::from(*bytes));
                Ok(Addresses { length: 12, client: ip.map(|ip| SocketAddr::new(ip, port(8))) })
            }
            TCP_IPV6 if variable_part.len() >= 36 => {
                let ip = variable_part.first_chunk::<16>().map(|bytes| IpAddr::from(*bytes));
                Ok(Addresses { length: 36, client: ip.map(|ip| SocketAddr::new(ip, port(32))) })
            }
            UNSPECIFIED => Ok(Addresses { length: 0, client: None }),
            _ => Err(MalformedHeader),
        }
    }
}

/// Reads the TLVs up to the end of the header and skips unknown types.
fn read_tlvs(mut tlvs: &[u8]) -> Result<Option<MidFlowKeys>, MalformedHeader> {
    let mut mid_flow = None;
    while let Some(head) = tlvs.first_chunk::<3>() {
        let end = 3 + usize::from(u16::from_be_bytes([head[1], head[2]]));
        let value = tlvs.get(3..end).ok_or(MalformedHeader)?;
        if head[0] == MID_FLOW_TLV {
            let text = std::str::from_utf8(value).map_err(|_| MalformedHeader)?;
            let (connection, group) = text.split_once(' ').ok_or(MalformedHeader)?;
            mid_flow = Some(MidFlowKeys { connection: connection.to_owned(), group: group.to_owned() });
        }
        tlvs = &tlvs[end..];
    }
    if tlvs.is_empty() { Ok(mid_flow) } else { Err(MalformedHeader) }
}

/// Writes a header that marks a mid-flow connection, without addresses.
pub fn write_mid_flow(out: &mut BytesMut, keys: &MidFlowKeys) {
    let value = format!("{} {}", keys.connection, keys.group);
    out.put_slice(&SIGNATURE);
    out.put_slice(&[PROXY, UNSPECIFIED]);
    out.put_u16((3 + value.len()) as u16);
    out.put_u8(MID_FLOW_TLV);
    out.put_u16(value.len() as u16);
    out.put_slice(value.as_bytes());
}
