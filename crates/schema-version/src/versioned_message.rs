//! Version 2 datagrams, and their conversion from and to version 1.
//!
//! The layout is `ADVERTISEMENT|TEXT|ROWS`: the sender's advertisement, an unchanged version 1 text, and
//! rows with the usage of tenants. The text, the rows or both may be missing. [`downgrade`] separates the
//! version 1 text from the other parts, and [`upgrade`] joins them again. Both are pure functions and lose
//! nothing.

use sandgw_datagram::MAX_BYTES;

use crate::quota_rows::{QuotaRows, ROWS_PREFIX};
use crate::version_advertisement::VersionAdvertisement;
use crate::{SchemaVersion, SchemaVersionError};

/// The first characters of version 1 texts, which are load samples or binary messages.
pub const FIRST_VERSION_PREFIXES: [char; 2] = ['1', '2'];

/// A version 2 datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedMessage {
    /// The versions that the sender supports.
    pub advertisement: VersionAdvertisement,
    /// The version 1 text, if there is one.
    pub text: Option<String>,
    /// The usage of tenants, if it is reported.
    pub rows: Option<QuotaRows>,
}

/// The parts of a version 2 datagram that version 1 does not have.
#[derive(Clone, Debug, PartialEq)]
pub struct SecondVersionParts {
    /// The sender's advertisement.
    pub advertisement: VersionAdvertisement,
    /// The usage of tenants, if it is reported.
    pub rows: Option<QuotaRows>,
}

/// A datagram converted to version 1, and the parts that version 1 can't carry.
#[derive(Clone, Debug, PartialEq)]
pub struct Downgraded {
    /// The version 1 text, if there is one.
    pub text: Option<String>,
    /// The parts that version 1 does not have.
    pub parts: SecondVersionParts,
}

/// Why a datagram can't be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{source}")]
pub struct DecodeError {
    /// The advertisement at the head of the datagram, if it can be read: it shows that the sender is alive,
    /// even if the rest of the datagram is unreadable.
    pub advertisement: Option<VersionAdvertisement>,
    /// The reason why the datagram can't be read.
    pub source: SchemaVersionError,
}

/// Converts a datagram to version 1, and keeps the parts that version 1 can't carry beside the text.
pub fn downgrade(message: VersionedMessage) -> Downgraded {
    let parts = SecondVersionParts { advertisement: message.advertisement, rows: message.rows };
    Downgraded { text: message.text, parts }
}

/// Joins a version 1 text and the parts that version 1 does not have.
///
/// ```
/// use sandgw_schema_version::version_advertisement::VersionAdvertisement;
/// use sandgw_schema_version::versioned_message::{VersionedMessage, downgrade, upgrade};
/// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
/// let supported = SupportedVersions::up_to(SchemaVersion::SECOND)?;
/// let advertisement = VersionAdvertisement {
///     supported,
///     finalized: SchemaVersion::FIRST,
///     older_sightings: Vec::new(),
/// };
/// let message = VersionedMessage { advertisement, text: Some("1s a".into()), rows: None };
/// assert_eq!(upgrade(downgrade(message.clone())), message);
/// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
/// ```
pub fn upgrade(downgraded: Downgraded) -> VersionedMessage {
    let SecondVersionParts { advertisement, rows } = downgraded.parts;
    VersionedMessage { advertisement, text: downgraded.text, rows }
}

impl VersionedMessage {
    /// Encodes the datagram; returns `None` if it would be too long. If the sightings of older processes
    /// alone make the datagram too long, it is encoded without them.
    pub fn encode(&self) -> Option<String> {
        let mut rest = String::new();
        for part in self.text.as_deref().into_iter().chain(self.rows.as_ref().map(QuotaRows::text)) {
            rest.extend(["|", part]);
        }
        let datagram = self.advertisement.encode() + &rest;
        if datagram.len() <= MAX_BYTES {
            return Some(datagram);
        }
        let without_sightings = self.advertisement.encode_without_sightings() + &rest;
        (without_sightings.len() <= MAX_BYTES).then_some(without_sightings)
    }

    /// Decodes a whole datagram. If only a part can be read, the datagram is rejected, and the error holds
    /// the advertisement if that was readable.
    ///
    /// # Errors
    /// [`DecodeError`] if the datagram is malformed, too long or of a newer version.
    pub fn decode(text: &str) -> Result<VersionedMessage, DecodeError> {
        let without_advertisement = |source| DecodeError { advertisement: None, source };
        if text.len() > MAX_BYTES {
            let part = "the part beyond 256 bytes";
            return Err(without_advertisement(SchemaVersionError::Malformed { bytes: text.len(), part }));
        }
        let head = VersionAdvertisement::decode(text).map_err(without_advertisement)?;
        let mut message = VersionedMessage { advertisement: head.advertisement, text: None, rows: None };
        for part in head.rest.into_iter().flat_map(|rest| rest.split('|')) {
            if let Err(source) = message.add_part(part) {
                return Err(DecodeError { advertisement: Some(message.advertisement), source });
            }
        }
        Ok(message)
    }

    fn add_part(&mut self, part: &str) -> Result<(), SchemaVersionError> {
        let malformed = |description| SchemaVersionError::Malformed { bytes: part.len(), part: description };
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
            None => return Err(malformed("an empty part after a separator")),
        }
        Ok(())
    }
}
