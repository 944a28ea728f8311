//! How a process announces which versions it supports: a short text at the head of each version 2 datagram,
//! and a datagram of its own before a version 1 datagram to a relay that may not know yet.
//!
//! Layout: [`PREFIX`], then the oldest and newest supported version and the finalized one, a base-36 digit
//! each. Then, for each version below the newest of which an older process was seen lately, three digits:
//! the version, and the age of that sighting in tenths of a second.
//!
//! All versions to come keep this layout, so that a process can tell from any advertisement that it is too
//! old itself. Releases before version 2 ignore a datagram with this prefix, as they do everything that
//! they can't read.

use sandgw_datagram::base36::{BASE, digit, digit_value};

use crate::{Millis, SchemaVersion, SchemaVersionError, SupportedVersions};

/// First character of an advertisement; version 1 texts begin with others.
pub const PREFIX: char = '3';
/// Unit of an encoded age: a tenth of a second.
const AGE_UNIT_MS: Millis = 100.0;
/// The greatest age, in units, that two digits can hold.
const MAX_AGE_UNITS: u32 = BASE * BASE - 1;

/// Evidence that a process was alive which supports no version newer than `version`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OlderSighting {
    /// The newest version that the process supports.
    pub version: SchemaVersion,
    /// Time since it was last seen.
    pub age_ms: Millis,
}

/// What a process announces.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionAdvertisement {
    /// The versions that it supports.
    pub supported: SupportedVersions,
    /// The version below which nothing is written any more.
    pub finalized: SchemaVersion,
    /// Sightings of older processes, by version.
    pub older: Vec<OlderSighting>,
}

/// An advertisement at the head of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct AdvertisementHead<'a> {
    /// The advertisement.
    pub advertisement: VersionAdvertisement,
    /// What follows its separator, if there is one.
    pub rest: Option<&'a str>,
}

impl VersionAdvertisement {
    /// The advertisement as text.
    ///
    /// ```
    /// use sandgw_schema_version::version_advertisement::{OlderSighting, VersionAdvertisement};
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
    /// let supported = SupportedVersions::up_to(SchemaVersion::SECOND)?;
    /// let older = vec![OlderSighting { version: SchemaVersion::FIRST, age_ms: 1500.0 }];
    /// let advertisement = VersionAdvertisement { supported, finalized: SchemaVersion::FIRST, older };
    /// assert_eq!(advertisement.encode(), "312110g");
    /// let head = VersionAdvertisement::decode("312110g|more")?;
    /// assert_eq!((head.advertisement.supported, head.rest), (supported, Some("more")));
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn encode(&self) -> String {
        let mut text = self.encode_without_sightings();
        for sighting in &self.older {
            let age = age_units(sighting.age_ms);
            text.extend([digit(sighting.version.0.into()), digit(age / BASE), digit(age % BASE)]);
        }
        text
    }

    /// The advertisement without sightings of older processes, for a datagram that has no room for them.
    pub fn encode_without_sightings(&self) -> String {
        let versions = [self.supported.oldest, self.supported.newest, self.finalized];
        [PREFIX].into_iter().chain(versions.map(|version| digit(version.0.into()))).collect()
    }

    /// Reads the advertisement at the head of a datagram.
    ///
    /// # Errors
    /// [`SchemaVersionError::Malformed`], [`SchemaVersionError::InvalidNumber`] or
    /// [`SchemaVersionError::EmptyRange`].
    pub fn decode(text: &str) -> Result<AdvertisementHead<'_>, SchemaVersionError> {
        let (head, rest) = match text.split_once('|') {
            Some((head, rest)) => (head, Some(rest)),
            None => (text, None),
        };
        let malformed = || SchemaVersionError::Malformed { bytes: text.len(), part: "the word" };
        let digits = head.strip_prefix(PREFIX).ok_or_else(malformed)?;
        let digits: Vec<u32> =
            digits.chars().map(digit_value).collect::<Option<_>>().ok_or_else(malformed)?;
        let ([oldest, newest, finalized], sightings) =
            digits.split_first_chunk::<3>().ok_or_else(malformed)?;
        let supported = SupportedVersions::new(version(*oldest)?, version(*newest)?)?;
        let mut older = Vec::new();
        for sighting in sightings.chunks(3) {
            let [number, high, low] = sighting else { return Err(malformed()) };
            let age_ms = f64::from(high * BASE + low) * AGE_UNIT_MS;
            older.push(OlderSighting { version: version(*number)?, age_ms });
        }
        let finalized = version(*finalized)?;
        let advertisement = VersionAdvertisement { supported, finalized, older };
        Ok(AdvertisementHead { advertisement, rest })
    }
}

fn version(number: u32) -> Result<SchemaVersion, SchemaVersionError> {
    SchemaVersion::new(u64::from(number))
}

/// An age in units, rounded up and one unit more: so an age that is passed on and on grows by more than the
/// transit time that each relay leaves out, and a sighting that circulates expires.
fn age_units(age_ms: Millis) -> u32 {
    ((age_ms.max(0.0) / AGE_UNIT_MS).ceil() + 1.0).min(f64::from(MAX_AGE_UNITS)) as u32
}
