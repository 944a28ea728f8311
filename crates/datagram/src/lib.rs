//! What all text datagrams between relays have in common.
//!
//! A datagram is at most [`MAX_BYTES`] of plain text; its first character or word says of which kind and
//! version it is. Whatever is too long, malformed or of another kind reads as no datagram at all: it may
//! come from a relay of another version, and is no fault of this one. [`binary`] is for bodies in binary,
//! [`base36`] for numbers in plain digits.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod base36;
pub mod binary;

/// Most bytes of a datagram.
pub const MAX_BYTES: usize = 256;
