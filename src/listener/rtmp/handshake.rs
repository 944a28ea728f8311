//! RTMP's handshake, as either side: advances the library's state machine on the bytes of an input buffer.

use bytes::BytesMut;
use rml_rtmp::handshake::{Handshake, HandshakeProcessResult};

use super::chunks::Malformed;

/// Bytes of the relay's first handshake packets (version and first block). Its second block follows the
/// client's.
pub const HANDSHAKE_P0_P1_BYTES: usize = 1537;

/// Feeds a handshake and writes its reply; returns whether it is complete. What follows it is left in the
/// input.
///
/// # Errors
///
/// [`Malformed`] where the bytes are not a handshake.
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
