//! Numbered forms of shared state: which of them the relays of a tier write while old and new processes run side by
//! side, and the steps between neighbouring forms.
//!
//! A [`SchemaVersion`] is a number, a [`SupportedVersions`] what one process reads. [`version_negotiator`] decides which form is written: the newest
//! that all alive can read. [`version_advertisement`] is how a process tells its range, [`versioned_message`] a datagram of form 2 and the
//! steps between it and form 1, [`versioned_channel`] what a relay asks before it sends and when it has received. All is free of
//! I/O, with the time passed in; it never reads what a form 1 text says, and never decides where a connection goes.
//! `docs/forms.md` names the ways weighed.
//!
//! Form 1 is what relays told and kept before there were numbers. Who says nothing of a range reads form 1 only.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod compatibility_table;
mod error;
pub mod version_advertisement;
pub mod version_negotiator;
pub mod versioned_channel;
pub mod versioned_message;

use std::fmt;
use std::ops::RangeInclusive;

pub use error::SchemaVersionError;

pub use sandgw_units::Millis;

/// The number of a form, 1 to 35: one character of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SchemaVersion(u8);

impl SchemaVersion {
    /// What is written since before forms had numbers.
    pub const FIRST: SchemaVersion = SchemaVersion(1);
    /// The one that carries the members' shares.
    pub const SECOND: SchemaVersion = SchemaVersion(2);
    /// The newest that this program knows.
    pub const NEWEST: SchemaVersion = SchemaVersion::SECOND;
    /// The greatest number that a datagram can name.
    pub const GREATEST: SchemaVersion = SchemaVersion(35);

    /// The form of this number.
    ///
    /// ```
    /// use sandgw_schema_version::SchemaVersion;
    /// assert_eq!(SchemaVersion::new(1)?, SchemaVersion::FIRST);
    /// assert!(SchemaVersion::new(0).is_err() && SchemaVersion::new(36).is_err());
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn new(number: u64) -> Result<SchemaVersion, SchemaVersionError> {
        let known = u8::try_from(number).ok().filter(|n| (1..=SchemaVersion::GREATEST.0).contains(n));
        known.map(SchemaVersion).ok_or(SchemaVersionError::NoForm { number })
    }

    /// Its number.
    pub fn number(self) -> u8 {
        self.0
    }
}

impl fmt::Display for SchemaVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The forms that a process reads: all from its oldest to its newest. It writes one of them, as the [`version_negotiator`] says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupportedVersions {
    oldest: SchemaVersion,
    newest: SchemaVersion,
}

impl SupportedVersions {
    /// What a process reads that says nothing of it.
    pub const SILENT: SupportedVersions =
        SupportedVersions { oldest: SchemaVersion::FIRST, newest: SchemaVersion::FIRST };

    /// All forms from one to another.
    ///
    /// ```
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
    /// let range = SupportedVersions::new(SchemaVersion::FIRST, SchemaVersion::SECOND)?;
    /// assert!(range.reads(SchemaVersion::SECOND) && !SupportedVersions::SILENT.reads(SchemaVersion::SECOND));
    /// assert!(SupportedVersions::new(SchemaVersion::SECOND, SchemaVersion::FIRST).is_err());
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn new(
        oldest: SchemaVersion,
        newest: SchemaVersion,
    ) -> Result<SupportedVersions, SchemaVersionError> {
        let range = SupportedVersions { oldest, newest };
        if oldest <= newest { Ok(range) } else { Err(SchemaVersionError::Backwards { oldest, newest }) }
    }

    /// What this program reads and may write where an operator lets it go so far.
    pub fn up_to(most: SchemaVersion) -> Result<SupportedVersions, SchemaVersionError> {
        if most > SchemaVersion::NEWEST {
            return Err(SchemaVersionError::Future { form: most, newest: SchemaVersion::NEWEST });
        }
        SupportedVersions::new(SchemaVersion::FIRST, most)
    }

    /// The oldest that it reads.
    pub fn oldest(self) -> SchemaVersion {
        self.oldest
    }

    /// The newest.
    pub fn newest(self) -> SchemaVersion {
        self.newest
    }

    /// Whether it reads a form.
    pub fn reads(self, form: SchemaVersion) -> bool {
        self.forms().contains(&form)
    }

    /// The forms that it reads.
    pub fn forms(self) -> RangeInclusive<SchemaVersion> {
        self.oldest..=self.newest
    }

    /// The newest form that both read, where there is one.
    ///
    /// ```
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
    /// let new = SupportedVersions::up_to(SchemaVersion::SECOND)?;
    /// assert_eq!(new.both(SupportedVersions::SILENT), Some(SchemaVersion::FIRST));
    /// assert_eq!(new.both(new), Some(SchemaVersion::SECOND));
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn both(self, other: SupportedVersions) -> Option<SchemaVersion> {
        let newest = self.newest.min(other.newest);
        (newest >= self.oldest.max(other.oldest)).then_some(newest)
    }
}

impl fmt::Display for SupportedVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {}", self.oldest, self.newest)
    }
}
