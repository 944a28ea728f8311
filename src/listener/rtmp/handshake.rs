//! The RTMP handshake, as client or as server: feeds the bytes of an input buffer to the library's state
//! machine.

use bytes::BytesMut;
use rml_rtmp::handshake::{Handshake, HandshakeProcessResult};

use super::chunks::Malformed;

/// Length of the relay's first two handshake packets (P0, the version, and P1, the first block). The relay's
/// second block follows once the client's first block has arrived.
pub const HANDSHAKE_P0_P1_BYTES: usize = 1537;

/// Feeds the input to a handshake and writes the reply; returns whether the handshake is complete. Bytes that
/// follow a complete handshake are left in the input.
///
/// # Errors
///
/// [`Malformed`] where the bytes are not an RTMP handshake.
pub fn advance_handshake(
    handshake: &mut Handshake,
    input: &mut BytesMut,
    out: &mut BytesMut,
) -> Result<bool, Malformed> {
    let result = handshake.process_bytes(input);
    input.clear();
    match result.map_err(|_| Malformed)? {
        HandshakeProcessResult::InProgress { response_bytes } => {
            out.extend_from_slice(&response_bytes);
            Ok(false)
        }
        HandshakeProcessResult::Completed { response_bytes, remaining_bytes } => {
            out.extend_from_slice(&response_bytes);
            input.extend_from_slice(&remaining_bytes);
            Ok(true)
        }
    }
}
