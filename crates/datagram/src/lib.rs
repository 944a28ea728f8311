//! The common format of all text datagrams between relays.
//!
//! A datagram is at most [`MAX_BYTES`] of plain text; its first character or word gives its kind and version.
//! Text that is too long, malformed or of another kind decodes to `None`: it may come from a relay of another
//! version and is not a fault of this relay. [`binary`] encodes binary bodies, [`base36`] encodes numbers as
//! plain digits.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod base36;
pub mod binary;

/// The largest size of a datagram, in bytes.
pub const MAX_BYTES: usize = 256;
