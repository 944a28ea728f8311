//! The rows of a version 2 datagram that report the usage of tenants.
//!
//! This crate does not interpret the rows: [`QuotaRows`] checks only their alphabet and length, and
//! `sandgw-quota` encodes and decodes them.

use sandgw_datagram::MAX_BYTES;

use crate::SchemaVersionError;

/// The first character of encoded rows.
pub const ROWS_PREFIX: char = 'm';
/// The greatest length of encoded rows, in bytes. It leaves room in a datagram for an advertisement without
/// sightings and its separator.
pub const MAX_ROWS_BYTES: usize = MAX_BYTES - 5;

/// One relay's encoded report of the usage of tenants: [`ROWS_PREFIX`], then base64 characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRows(String);

impl QuotaRows {
    /// Wraps an encoded text after checking its prefix, alphabet and length.
    ///
    /// ```
    /// use sandgw_schema_version::quota_rows::QuotaRows;
    /// assert_eq!(QuotaRows::new("mAAEC")?.text(), "mAAEC");
    /// assert!(QuotaRows::new("2AAEC").is_err() && QuotaRows::new("m|").is_err());
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    ///
    /// # Errors
    /// [`SchemaVersionError::Malformed`] if the text has another prefix, a character that is not base64,
    /// nothing after the prefix, or more than [`MAX_ROWS_BYTES`].
    pub fn new(text: &str) -> Result<QuotaRows, SchemaVersionError> {
        let is_body = |body: &str| !body.is_empty() && body.chars().all(is_base64);
        let is_valid = text.len() <= MAX_ROWS_BYTES && text.strip_prefix(ROWS_PREFIX).is_some_and(is_body);
        if !is_valid {
            return Err(SchemaVersionError::Malformed {
                bytes: text.len(),
                part: "the rows of tenants' usage",
            });
        }
        Ok(QuotaRows(text.to_owned()))
    }

    /// Returns the encoded text, with its prefix.
    pub fn text(&self) -> &str {
        &self.0
    }
}

fn is_base64(character: char) -> bool {
    character.is_ascii_alphanumeric() || character == '+' || character == '/'
}
