//! What can go wrong with forms, and what an operator can do about each.

use crate::{Millis, SchemaVersion, SupportedVersions};

/// Why a form can't be read, written or made final.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SchemaVersionError {
    /// A number that no form has.
    #[error("{number} is no form; forms are numbered from 1 to 35")]
    NoForm {
        /// The number.
        number: u64,
    },
    /// A range that ends before it begins.
    #[error("a range from form {oldest} to form {newest} has nothing in it")]
    Backwards {
        /// Where it begins.
        oldest: SchemaVersion,
        /// Where it ends.
        newest: SchemaVersion,
    },
    /// It is of a form that came after this program.
    #[error("it is of form {form}, and this process reads up to form {newest}")]
    Future {
        /// Its form.
        form: SchemaVersion,
        /// The newest that is read here.
        newest: SchemaVersion,
    },
    /// A part of a datagram is of a kind that came after this program.
    #[error("it begins with {letter:?}, which no form up to {newest} has")]
    Unknown {
        /// Its first letter.
        letter: char,
        /// The newest that is read here.
        newest: SchemaVersion,
    },
    /// It was cut short or altered.
    #[error("it is cut short or altered: {bytes} bytes, and {part} can't be read")]
    Cut {
        /// How long it is.
        bytes: usize,
        /// What can't be read.
        part: &'static str,
    },
    /// The tier can't go back to what this process reads.
    #[error("the tier is finalized at form {finalized}, and this process reads form {range}")]
    Finalized {
        /// The form below which nothing is written any more.
        finalized: SchemaVersion,
        /// What this process reads.
        range: SupportedVersions,
    },
    /// An older process is alive, so nothing can be made final.
    #[error("a process that reads no more than form {form} was heard of {ago:.0} ms ago")]
    OlderAlive {
        /// The newest form that it reads.
        form: SchemaVersion,
        /// How long ago.
        ago: Millis,
    },
    /// It is not known yet whether an older process is alive.
    #[error("this process has listened for older ones for too short a time: {left:.0} ms are left")]
    TooEarly {
        /// How long it listens yet.
        left: Millis,
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
            SchemaVersionError::NoForm { .. } => "set forms.most to a form that this program knows",
            SchemaVersionError::Backwards { .. } => {
                "look at the process that told it: it is not of this program"
            }
            SchemaVersionError::Future { .. } => {
                "upgrade this process, or set forms.most of the newer ones to what all read; nothing was changed"
            }
            SchemaVersionError::Unknown { .. } => {
                "upgrade this process if newer ones run; otherwise something else sends to peer_listen"
            }
            SchemaVersionError::Cut { .. } => {
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
