//! A version 2 datagram, and its conversion from and to version 1.
//!
//! Layout: `ADVERTISEMENT|TEXT|ROWS`: the sender's advertisement, a version 1 text as it is, and rows of
//! tenants' usage. Either of the last two may be missing. [`downgrade`] separates the version 1 text from
//! the rest, [`upgrade`] joins both again. Both are pure and lose nothing.

use sandgw_datagram::MAX_BYTES;

use crate::quota_rows::{QuotaRows, ROWS_PREFIX};
use crate::version_advertisement::VersionAdvertisement;
use crate::{SchemaVersion, SchemaVersionError};

/// First characters of version 1 texts: of load samples and of binary messages.
pub const FIRST_VERSION_PREFIXES: [char; 2] = ['1', '2'];

/// A version 2 datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedMessage {
    /// What its sender supports.
    pub advertisement: VersionAdvertisement,
    /// The part that version 1 has too.
    pub text: Option<String>,
    /// Tenants' usage.
    pub rows: Option<QuotaRows>,
}

/// The parts of a version 2 datagram that version 1 lacks.
#[derive(Clone, Debug, PartialEq)]
pub struct SecondVersionParts {
    /// The sender's advertisement.
    pub advertisement: VersionAdvertisement,
    /// Tenants' usage.
    pub rows: Option<QuotaRows>,
}

/// A datagram converted to version 1, with what that can't carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Downgraded {
    /// The version 1 text, if there is one.
    pub text: Option<String>,
    /// What version 1 lacks.
    pub parts: SecondVersionParts,
}

/// Why a datagram can't be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{source}")]
pub struct DecodeError {
    /// The advertisement at its head where that could be read: its sender is alive, whatever follows.
    pub advertisement: Option<VersionAdvertisement>,
    /// The cause.
    pub source: SchemaVersionError,
}

/// Converts a datagram to version 1.
pub fn downgrade(message: VersionedMessage) -> Downgraded {
    let parts = SecondVersionParts { advertisement: message.advertisement, rows: message.rows };
    Downgraded { text: message.text, parts }
}

/// Joins a version 1 text and what version 1 lacks.
///
/// ```
/// use sandgw_schema_version::version_advertisement::VersionAdvertisement;
/// use sandgw_schema_version::versioned_message::{VersionedMessage, downgrade, upgrade};
/// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
/// let supported = SupportedVersions::up_to(SchemaVersion::SECOND)?;
/// let advertisement = VersionAdvertisement { supported, finalized: SchemaVersion::FIRST, older: Vec::new() };
/// let message = VersionedMessage { advertisement, text: Some("1s a".into()), rows: None };
/// assert_eq!(upgrade(downgrade(message.clone())), message);
/// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
/// ```
pub fn upgrade(downgraded: Downgraded) -> VersionedMessage {
    let SecondVersionParts { advertisement, rows } = downgraded.parts;
    VersionedMessage { advertisement, text: downgraded.text, rows }
}

impl VersionedMessage {
    /// The datagram; `None` where it would be too long. Sightings of older processes are left out where
    /// only they make it too long.
    pub fn encode(&self) -> Option<String> {
        let mut rest = String::new();
        for part in self.text.as_deref().into_iter().chain(self.rows.as_ref().map(QuotaRows::text)) {
            rest.extend(["|", part]);
        }
        let whole = self.advertisement.encode() + &rest;
        if whole.len() <= MAX_BYTES {
            return Some(whole);
        }
        let short = self.advertisement.encode_without_sightings() + &rest;
        (short.len() <= MAX_BYTES).then_some(short)
    }

    /// Reads a datagram, whole or not at all; the advertisement survives in the error.
    ///
    /// # Errors
    /// [`DecodeError`] where it is malformed, too long or of a newer version.
    pub fn decode(text: &str) -> Result<VersionedMessage, DecodeError> {
        let unreadable = |source| DecodeError { advertisement: None, source };
        if text.len() > MAX_BYTES {
            let part = "what is over 256 bytes";
            return Err(unreadable(SchemaVersionError::Malformed { bytes: text.len(), part }));
        }
        let head = VersionAdvertisement::decode(text).map_err(unreadable)?;
        let mut message = VersionedMessage { advertisement: head.advertisement, text: None, rows: None };
        for part in head.rest.into_iter().flat_map(|rest| rest.split('|')) {
            if let Err(source) = message.add_part(part) {
                return Err(DecodeError { advertisement: Some(message.advertisement), source });
            }
        }
        Ok(message)
    }

    fn add_part(&mut self, part: &str) -> Result<(), SchemaVersionError> {
        let malformed = |what| SchemaVersionError::Malformed { bytes: part.len(), part: what };
        match part.chars().next() {
            Some(prefix) if FIRST_VERSION_PREFIXES.contains(&prefix) => {
                if self.text.replace(part.to_owned()).is_some() {
                    return Err(malformed("a second text"));
                }
            }
            Some(ROWS_PREFIX) => {
                if self.rows.replace(QuotaRows::new(part)?).is_some() {
                    return Err(malformed("a second set of rows"));
                }
            }
            Some(prefix) => {
                return Err(SchemaVersionError::UnknownPart { prefix, newest: SchemaVersion::NEWEST });
            }
            None => return Err(malformed("what follows a |")),
        }
        Ok(())
    }
}
