//! The encoding of a value in a table: a checksum, then the value in postcard format.

use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

/// Length of the checksum that precedes each value.
const CHECKSUM_BYTES: usize = 4;

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    (xxh3_64(bytes) as u32).to_le_bytes()
}

/// Encodes a value, preceded by its checksum.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_extend(value, vec![0; CHECKSUM_BYTES])?;
    let (head, body) = bytes.split_at_mut(CHECKSUM_BYTES);
    head.copy_from_slice(&checksum(body));
    Ok(bytes)
}

/// Decodes a value; `None` where the checksum is wrong, the bytes are not a valid value, or bytes follow the
/// value.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (head, body) = bytes.split_first_chunk::<CHECKSUM_BYTES>()?;
    if checksum(body) != *head {
        return None;
    }
    let (value, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(value)
}
