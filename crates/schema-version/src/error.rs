//! Errors about schema versions, each with a help text that tells an operator what to do.
//!
//! The messages call a schema version a form, as the operators' settings and calls do.

use crate::{Millis, SchemaVersion, SupportedVersions};

/// Why a schema version can't be used or finalized, or why a datagram can't be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SchemaVersionError {
    /// The number is outside the range of version numbers.
    #[error("{number} is not the number of a form; forms are numbered from 1 to 35")]
    InvalidNumber {
        /// The number that was given.
        number: u64,
    },
    /// The end of a range is before its start.
    #[error("the range from form {oldest} to form {newest} is empty")]
    EmptyRange {
        /// The start of the range.
        oldest: SchemaVersion,
        /// The end of the range.
        newest: SchemaVersion,
    },
    /// The version is newer than this program.
    #[error("form {version} is too new, and this process reads up to form {newest}")]
    TooNew {
        /// The version that was requested.
        version: SchemaVersion,
        /// The newest version that this program supports.
        newest: SchemaVersion,
    },
    /// A datagram, or a part of it, is of a kind that this program does not know.
    #[error("the datagram or a part of it begins with {prefix:?}, which no form up to {newest} has")]
    UnknownPart {
        /// The first character of the datagram or of the part.
        prefix: char,
        /// The newest version that this program supports.
        newest: SchemaVersion,
    },
    /// A datagram or a part of it was truncated or altered.
    #[error("the text is truncated or altered: {bytes} bytes were examined, and {part} can't be read")]
    Malformed {
        /// The length of the text that was examined: of the datagram or of one part of it.
        bytes: usize,
        /// The part that can't be read.
        part: &'static str,
    },
    /// The cluster is finalized at a version that this process does not support.
    #[error("the cluster is finalized at form {finalized}, and this process reads form {supported}")]
    Finalized {
        /// The finalized version: no process writes an older version any more.
        finalized: SchemaVersion,
        /// The versions that this process supports.
        supported: SupportedVersions,
    },
    /// An older process is alive, so this process's newest version can't be finalized.
    #[error("a process that reads no more than form {version} was heard of {age_ms:.0} ms ago")]
    OlderAlive {
        /// The newest version that the older process supports.
        version: SchemaVersion,
        /// The time since the older process was last seen.
        age_ms: Millis,
    },
    /// The quiet period is not over, so an older process may still be alive.
    #[error("this process has listened for older ones for too short a time: {remaining_ms:.0} ms are left")]
    TooEarly {
        /// The remaining part of the quiet period.
        remaining_ms: Millis,
    },
}

impl SchemaVersionError {
    /// Returns what an operator can do about the error.
    ///
    /// ```
    /// let error = sandgw_schema_version::SchemaVersion::new(99).unwrap_err();
    /// assert!(error.help().contains("forms.most"));
    /// ```
    pub fn help(&self) -> &'static str {
        match self {
            SchemaVersionError::InvalidNumber { .. } => "set forms.most to a form that this program knows",
            SchemaVersionError::EmptyRange { .. } => {
                "look at the process that sent the range: it does not run this program"
            }
            SchemaVersionError::TooNew { .. } => {
                "upgrade this process, or set forms.most of newer processes to a form all read; nothing was changed"
            }
            SchemaVersionError::UnknownPart { .. } => {
                "upgrade this process if newer processes run; otherwise another program sends to peer_listen"
            }
            SchemaVersionError::Malformed { .. } => {
                "nothing if this is rare; otherwise look for what truncates datagrams to less than 256 bytes"
            }
            SchemaVersionError::Finalized { .. } => {
                "start a version that reads the finalized form, or raise forms.most to it; there is no way back"
            }
            SchemaVersionError::OlderAlive { .. } => {
                "upgrade or stop the older process, then repeat the call; `forms` lists the numbers of older relays"
            }
            SchemaVersionError::TooEarly { .. } => "repeat the call after that time",
        }
    }
}
