//! Rows of tenants' usage as a version 2 datagram carries them.
//!
//! The rows are opaque here: [`QuotaRows`] checks their alphabet and length, `sandgw-quota` gives them a
//! meaning.

use sandgw_datagram::MAX_BYTES;

use crate::SchemaVersionError;

/// First character of encoded rows.
pub const ROWS_PREFIX: char = 'm';
/// Longest encoded rows in bytes, so that a datagram holds them beside an advertisement and its separator.
pub const MAX_ROWS_BYTES: usize = MAX_BYTES - 5;

/// What one relay reports of tenants' usage: [`ROWS_PREFIX`], then base64.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRows(String);

impl QuotaRows {
    /// Checks a text and wraps it.
    ///
    /// ```
    /// use sandgw_schema_version::quota_rows::QuotaRows;
    /// assert_eq!(QuotaRows::new("mAAEC")?.text(), "mAAEC");
    /// assert!(QuotaRows::new("2AAEC").is_err() && QuotaRows::new("m|").is_err());
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    ///
    /// # Errors
    /// [`SchemaVersionError::Malformed`] where the text has another prefix, another alphabet, no body, or
    /// more than [`MAX_ROWS_BYTES`].
    pub fn new(text: &str) -> Result<QuotaRows, SchemaVersionError> {
        let is_body = |body: &str| !body.is_empty() && body.chars().all(is_base64);
        let is_valid = text.len() <= MAX_ROWS_BYTES && text.strip_prefix(ROWS_PREFIX).is_some_and(is_body);
        if !is_valid {
            return Err(SchemaVersionError::Malformed { bytes: text.len(), part: "the rows of shares" });
        }
        Ok(QuotaRows(text.to_owned()))
    }

    /// The encoded text.
    pub fn text(&self) -> &str {
        &self.0
    }
}

fn is_base64(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '+' || character == '/'
}
