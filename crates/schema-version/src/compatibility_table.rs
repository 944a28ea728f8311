//! Rows of the members' shares, as form 2 carries them: a text of whoever sums them, which is not looked into here.

use crate::SchemaVersionError;
use crate::versioned_message::MOST_BYTES;

/// First character of rows.
pub const ROWS: char = 'm';
/// Most bytes of rows: they fit a datagram beside a word.
pub const MOST_ROWS: usize = MOST_BYTES - 5;

/// What one relay tells of members' shares: `m`, then base64.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRows(String);

impl QuotaRows {
    /// Rows of this text. It fails where a datagram could not carry them.
    ///
    /// ```
    /// use sandgw_schema_version::compatibility_table::QuotaRows;
    /// assert_eq!(QuotaRows::new("mAAEC")?.text(), "mAAEC");
    /// assert!(QuotaRows::new("2AAEC").is_err() && QuotaRows::new("m|").is_err());
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn new(text: &str) -> Result<QuotaRows, SchemaVersionError> {
        let digit = |c: char| c.is_ascii_alphanumeric() || c == '+' || c == '/';
        let rows = text.strip_prefix(ROWS).filter(|rows| rows.chars().all(digit) && !rows.is_empty());
        let cut = SchemaVersionError::Cut { bytes: text.len(), part: "the rows of shares" };
        rows.filter(|_| text.len() <= MOST_ROWS).map(|_| QuotaRows(text.to_owned())).ok_or(cut)
    }

    /// Their text.
    pub fn text(&self) -> &str {
        &self.0
    }
}
