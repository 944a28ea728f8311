//! Versions of the state that relays share: which version is written while processes of several releases
//! run side by side, and the conversion between neighbouring versions.
//!
//! - [`SchemaVersion`] is the number of a version, [`SupportedVersions`] the range that one process reads.
//! - [`version_negotiator`] decides which version a process writes: the newest that all live processes
//!   support.
//! - [`version_advertisement`] is the text with which a process announces the versions that it supports.
//! - [`versioned_message`] is a version 2 datagram, and its conversion from and to version 1.
//! - [`quota_rows`] is the part of a version 2 datagram that reports the usage of tenants.
//! - [`versioned_channel`] converts a relay's messages to datagrams and received datagrams to messages.
//!
//! The crate does no I/O, and callers pass the time, in milliseconds. It never interprets a version 1 text
//! and never decides where a connection goes. `docs/forms.md` compares the designs that were considered.
//!
//! Version 1 is the format that relays exchanged and stored before versions had numbers. A process that
//! advertises nothing supports version 1 only. Operators' settings, calls and messages call a schema version
//! a form.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
pub mod quota_rows;
pub mod version_advertisement;
pub mod version_negotiator;
pub mod versioned_channel;
pub mod versioned_message;

use std::fmt;
use std::ops::RangeInclusive;

pub use error::SchemaVersionError;

pub use sandgw_units::Millis;

/// The number of a schema version, from 1 to 35: a datagram holds it in one base-36 digit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SchemaVersion(u8);

impl SchemaVersion {
    /// The version that was written before versions had numbers.
    pub const FIRST: SchemaVersion = SchemaVersion(1);
    /// The first version that carries the usage of tenants.
    pub const SECOND: SchemaVersion = SchemaVersion(2);
    /// The newest version that this program supports.
    pub const NEWEST: SchemaVersion = SchemaVersion::SECOND;
    /// The version with the greatest number that a datagram can hold.
    pub const MAX: SchemaVersion = SchemaVersion(35);

    /// Returns the version with this number.
    ///
    /// ```
    /// use sandgw_schema_version::SchemaVersion;
    /// assert_eq!(SchemaVersion::new(1)?, SchemaVersion::FIRST);
    /// assert!(SchemaVersion::new(0).is_err() && SchemaVersion::new(36).is_err());
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    ///
    /// # Errors
    /// [`SchemaVersionError::InvalidNumber`] if the number is 0 or above [`SchemaVersion::MAX`].
    pub fn new(number: u64) -> Result<SchemaVersion, SchemaVersionError> {
        let valid = SchemaVersion::FIRST.0..=SchemaVersion::MAX.0;
        let version = u8::try_from(number).ok().filter(|number| valid.contains(number));
        version.map(SchemaVersion).ok_or(SchemaVersionError::InvalidNumber { number })
    }

    /// Returns the number of this version.
    pub fn number(self) -> u8 {
        self.0
    }
}

impl fmt::Display for SchemaVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The contiguous range of versions that a process reads. The process writes one of them, which the
/// [`version_negotiator`] chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupportedVersions {
    oldest: SchemaVersion,
    newest: SchemaVersion,
}

impl SupportedVersions {
    /// The versions that a process supports if it advertises nothing.
    pub const UNADVERTISED: SupportedVersions =
        SupportedVersions { oldest: SchemaVersion::FIRST, newest: SchemaVersion::FIRST };

    /// Returns the range from `oldest` to `newest`, both included.
    ///
    /// ```
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
    /// let supported = SupportedVersions::new(SchemaVersion::FIRST, SchemaVersion::SECOND)?;
    /// assert!(supported.contains(SchemaVersion::SECOND));
    /// assert!(!SupportedVersions::UNADVERTISED.contains(SchemaVersion::SECOND));
    /// assert!(SupportedVersions::new(SchemaVersion::SECOND, SchemaVersion::FIRST).is_err());
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    ///
    /// # Errors
    /// [`SchemaVersionError::EmptyRange`] if `oldest` is newer than `newest`.
    pub fn new(
        oldest: SchemaVersion,
        newest: SchemaVersion,
    ) -> Result<SupportedVersions, SchemaVersionError> {
        if oldest > newest {
            return Err(SchemaVersionError::EmptyRange { oldest, newest });
        }
        Ok(SupportedVersions { oldest, newest })
    }

    /// Returns the versions that this program supports if its operator allows versions up to `newest`.
    ///
    /// # Errors
    /// [`SchemaVersionError::TooNew`] if this program does not support `newest`.
    pub fn up_to(newest: SchemaVersion) -> Result<SupportedVersions, SchemaVersionError> {
        if newest > SchemaVersion::NEWEST {
            return Err(SchemaVersionError::TooNew { version: newest, newest: SchemaVersion::NEWEST });
        }
        SupportedVersions::new(SchemaVersion::FIRST, newest)
    }

    /// Returns the oldest version of the range.
    pub fn oldest(self) -> SchemaVersion {
        self.oldest
    }

    /// Returns the newest version of the range.
    pub fn newest(self) -> SchemaVersion {
        self.newest
    }

    /// Returns whether a version is in the range.
    pub fn contains(self, version: SchemaVersion) -> bool {
        self.versions().contains(&version)
    }

    /// Returns the versions of the range.
    pub fn versions(self) -> RangeInclusive<SchemaVersion> {
        self.oldest..=self.newest
    }

    /// Returns the newest version that both ranges contain, or `None` if they have none in common.
    ///
    /// ```
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
    /// let new = SupportedVersions::up_to(SchemaVersion::SECOND)?;
    /// assert_eq!(new.newest_common(SupportedVersions::UNADVERTISED), Some(SchemaVersion::FIRST));
    /// assert_eq!(new.newest_common(new), Some(SchemaVersion::SECOND));
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn newest_common(self, other: SupportedVersions) -> Option<SchemaVersion> {
        let newest = self.newest.min(other.newest);
        let oldest = self.oldest.max(other.oldest);
        (newest >= oldest).then_some(newest)
    }
}

impl fmt::Display for SupportedVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {}", self.oldest, self.newest)
    }
}
