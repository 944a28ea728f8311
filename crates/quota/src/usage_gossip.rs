//! What relays tell each other of members' use: one datagram each, of at most 256 bytes of plain text.
//!
//! It is postcard in base64 behind a letter of its own, which relays that do not count shares pass over as they do
//! any kind that they do not know. What is malformed or too long reads as nothing.

use serde::{Deserialize, Serialize};

use crate::tenants::Tag;

/// First letter of the text.
pub const KIND: char = 'm';
pub use sandgw_datagram::MAX_BYTES as MOST_BYTES;
/// Most rows in one: each takes 8 bytes at the most, and what stands before them 16.
pub const ROWS: usize = 20;
/// The largest figure of a row: what three bytes hold.
const MOST: u32 = (1 << 21) - 1;

/// One member's use, of one relay or of many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The member.
    pub member: Tag,
    /// Its open connections.
    pub open: u32,
    /// Its arrivals, in tenths a second.
    pub tenths: u32,
}

impl Row {
    /// A row, cut to what it can hold.
    pub fn new(member: Tag, open: f64, per_s: f64) -> Row {
        let cut = |n: f64| (n.round().max(0.0) as u32).min(MOST);
        Row { member, open: cut(open), tenths: cut(per_s * 10.0) }
    }

    /// Arrivals a second.
    pub fn per_s(&self) -> f64 {
        f64::from(self.tenths) / 10.0
    }
}

/// A datagram. `life` grows with every start of its teller, `number` with every datagram of that life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageReport {
    /// What the teller has itself.
    Own {
        /// The teller's life.
        life: u64,
        /// The datagram's number.
        number: u32,
        /// Members: those that are not named have what was told last of them.
        rows: Vec<Row>,
    },
    /// What all others have but the one that is told, as far as the teller has heard.
    Others {
        /// The teller's life.
        life: u64,
        /// The datagram's number.
        number: u32,
        /// Relays that it rests on, the teller among them.
        heard: u16,
        /// Sums by member.
        rows: Vec<Row>,
    },
}

impl UsageReport {
    /// As text; nothing where it would be too long, which none with at most [`ROWS`] rows is.
    ///
    /// ```
    /// use sandgw_quota::{tenants::Tag, usage_gossip::{Row, UsageReport}};
    /// let rows = vec![Row::new(Tag([1, 2]), 3.0, 0.5)];
    /// let told = UsageReport::Own { life: 17, number: 1, rows };
    /// assert_eq!(UsageReport::read(&told.text().unwrap()), Some(told));
    /// ```
    pub fn text(&self) -> Option<String> {
        sandgw_datagram::binary::encode(KIND, self)
    }

    /// Reads a text; nothing of what is none.
    pub fn read(text: &str) -> Option<UsageReport> {
        sandgw_datagram::binary::decode(KIND, text)
    }
}
