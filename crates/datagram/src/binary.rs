//! Binary bodies: postcard in base64 after one character that gives the kind.
//!
//! The platform's datagrams are text. Base64 makes binary data a third longer, whereas hexadecimal digits
//! would double its length.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::MAX_BYTES;

/// Encodes a value as a datagram; `None` if the datagram would be too long.
///
/// ```
/// use sandgw_datagram::binary::{decode, encode};
///
/// let text = encode('m', &(7_u32, true)).expect("the datagram is short");
/// assert!(text.starts_with('m'));
/// assert_eq!(decode('m', &text), Some((7_u32, true)));
/// assert_eq!(decode::<(u32, bool)>('n', &text), None, "the kind differs");
/// ```
pub fn encode<T: Serialize>(kind: char, value: &T) -> Option<String> {
    let bytes = postcard::to_allocvec(value).ok()?;
    let mut text = String::from(kind);
    STANDARD_NO_PAD.encode_string(bytes, &mut text);
    (text.len() <= MAX_BYTES).then_some(text)
}

/// Decodes what [`encode`] wrote; `None` if the text is too long, of another kind, malformed, or followed by
/// more data.
pub fn decode<T: DeserializeOwned>(kind: char, text: &str) -> Option<T> {
    let body = text.strip_prefix(kind).filter(|_| text.len() <= MAX_BYTES)?;
    let bytes = STANDARD_NO_PAD.decode(body).ok()?;
    match postcard::take_from_bytes::<T>(&bytes).ok()? {
        (value, []) => Some(value),
        _ => None,
    }
}
