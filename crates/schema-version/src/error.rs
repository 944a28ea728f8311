//! Errors of schema versions, each with what an operator can do about it.

use crate::{Millis, SchemaVersion, SupportedVersions};

/// Why a version or a datagram can't be read, written or finalized.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SchemaVersionError {
    /// The number is outside the range of versions.
    #[error("{number} is no form; forms are numbered from 1 to 35")]
    InvalidNumber {
        /// The number.
        number: u64,
    },
    /// A range whose end is before its start.
    #[error("a range from form {oldest} to form {newest} has nothing in it")]
    EmptyRange {
        /// Start of the range.
        oldest: SchemaVersion,
        /// End of the range.
        newest: SchemaVersion,
    },
    /// The version is newer than this program.
    #[error("it is of form {version}, and this process reads up to form {newest}")]
    TooNew {
        /// The version that was asked for.
        version: SchemaVersion,
        /// The newest that is supported here.
        newest: SchemaVersion,
    },
    /// A part of a datagram is of a kind that this program does not know.
    #[error("it begins with {prefix:?}, which no form up to {newest} has")]
    UnknownPart {
        /// First character of the part.
        prefix: char,
        /// The newest version that is supported here.
        newest: SchemaVersion,
    },
    /// The datagram was truncated or altered.
    #[error("it is cut short or altered: {bytes} bytes, and {part} can't be read")]
    Malformed {
        /// Length of what was read.
        bytes: usize,
        /// What can't be read.
        part: &'static str,
    },
    /// The cluster is finalized at a version that this process does not support.
    #[error("the tier is finalized at form {finalized}, and this process reads form {supported}")]
    Finalized {
        /// The version below which nothing is written any more.
        finalized: SchemaVersion,
        /// What this process supports.
        supported: SupportedVersions,
    },
    /// An older process is alive, so nothing can be finalized.
    #[error("a process that reads no more than form {version} was heard of {age_ms:.0} ms ago")]
    OlderAlive {
        /// The newest version that the process supports.
        version: SchemaVersion,
        /// Time since it was last seen.
        age_ms: Millis,
    },
    /// The quiet period is not over, so an older process may still be alive.
    #[error("this process has listened for older ones for too short a time: {remaining_ms:.0} ms are left")]
    TooEarly {
        /// Remaining part of the quiet period.
        remaining_ms: Millis,
    },
}

impl SchemaVersionError {
    /// What an operator can do.
    ///
    /// ```
    /// let error = sandgw_schema_version::SchemaVersion::new(99).unwrap_err();
    /// assert!(error.help().contains("forms.most"));
    /// ```
    pub fn help(&self) -> &'static str {
        match self {
            SchemaVersionError::InvalidNumber { .. } => "set forms.most to a form that this program knows",
            SchemaVersionError::EmptyRange { .. } => {
                "look at the process that told it: it is not of this program"
            }
            SchemaVersionError::TooNew { .. } => {
                "upgrade this process, or set forms.most of the newer ones to what all read; nothing was changed"
            }
            SchemaVersionError::UnknownPart { .. } => {
                "upgrade this process if newer ones run; otherwise something else sends to peer_listen"
            }
            SchemaVersionError::Malformed { .. } => {
                "nothing where it is seldom; otherwise look for what cuts datagrams under 256 bytes"
            }
            SchemaVersionError::Finalized { .. } => {
                "start a version that reads the finalized form, or raise forms.most to it; there is no way back"
            }
            SchemaVersionError::OlderAlive { .. } => {
                "upgrade or stop the older process, then ask again; the call `forms` names its number"
            }
            SchemaVersionError::TooEarly { .. } => "ask again after that time",
        }
    }
}
