//! The advertisement with which a process announces the versions that it supports. It is a short text at the
//! head of each version 2 datagram. A relay that may not have it yet gets it in a separate datagram before a
//! version 1 datagram.
//!
//! Layout: [`PREFIX`], then the oldest supported, the newest supported and the finalized version, a base-36
//! digit each. A group of three digits follows for each older version that was recently the newest one that
//! some process supported: one digit for the version, and two for the age of the last sighting of such a
//! process, in tenths of a second.
//!
//! All later versions must keep this layout, so that a process can tell from any advertisement that it is
//! itself too old. Releases before version 2 ignore a datagram with this prefix, as they ignore every
//! datagram that they can't read.

use sandgw_datagram::base36::{BASE, digit, digit_value};

use crate::{Millis, SchemaVersion, SchemaVersionError, SupportedVersions};

/// The first character of an advertisement; version 1 texts begin with other characters.
pub const PREFIX: char = '3';
/// The unit of an encoded age: a tenth of a second.
const AGE_UNIT_MS: Millis = 100.0;
/// The greatest age that two digits can hold, in units of [`AGE_UNIT_MS`].
const MAX_AGE_UNITS: u32 = BASE * BASE - 1;

/// Evidence that a process which supports no version newer than `version` was alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OlderSighting {
    /// The newest version that the older process supports.
    pub version: SchemaVersion,
    /// The time since such a process was last seen.
    pub age_ms: Millis,
}

/// The versions that a process announces.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionAdvertisement {
    /// The versions that the process supports.
    pub supported: SupportedVersions,
    /// The finalized version: no process writes an older version any more.
    pub finalized: SchemaVersion,
    /// The latest sighting of an older process for each version.
    pub older_sightings: Vec<OlderSighting>,
}

/// An advertisement at the head of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct AdvertisementHead<'a> {
    /// The advertisement.
    pub advertisement: VersionAdvertisement,
    /// The text after the separator; `None` if the datagram has no separator.
    pub rest: Option<&'a str>,
}

impl VersionAdvertisement {
    /// Returns the advertisement as text.
    ///
    /// ```
    /// use sandgw_schema_version::version_advertisement::{OlderSighting, VersionAdvertisement};
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
    /// let supported = SupportedVersions::up_to(SchemaVersion::SECOND)?;
    /// let older_sightings = vec![OlderSighting { version: SchemaVersion::FIRST, age_ms: 1500.0 }];
    /// let advertisement =
    ///     VersionAdvertisement { supported, finalized: SchemaVersion::FIRST, older_sightings };
    /// assert_eq!(advertisement.encode(), "312110g");
    /// let head = VersionAdvertisement::decode("312110g|more")?;
    /// assert_eq!((head.advertisement.supported, head.rest), (supported, Some("more")));
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn encode(&self) -> String {
        let mut text = self.encode_without_sightings();
        for sighting in &self.older_sightings {
            let age = age_units(sighting.age_ms);
            text.extend([digit(sighting.version.0.into()), digit(age / BASE), digit(age % BASE)]);
        }
        text
    }

    /// Returns the advertisement without sightings of older processes, for a datagram that has no room for
    /// them.
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
        let malformed = || SchemaVersionError::Malformed { bytes: text.len(), part: "the advertisement" };
        let digits = head.strip_prefix(PREFIX).ok_or_else(malformed)?;
        let digits: Vec<u32> =
            digits.chars().map(digit_value).collect::<Option<_>>().ok_or_else(malformed)?;
        let ([oldest, newest, finalized], sightings) =
            digits.split_first_chunk::<3>().ok_or_else(malformed)?;
        let supported = SupportedVersions::new(version_from_digit(*oldest)?, version_from_digit(*newest)?)?;
        let mut older_sightings = Vec::new();
        for sighting in sightings.chunks(3) {
            let [number, high, low] = sighting else { return Err(malformed()) };
            let age_ms = f64::from(high * BASE + low) * AGE_UNIT_MS;
            older_sightings.push(OlderSighting { version: version_from_digit(*number)?, age_ms });
        }
        let finalized = version_from_digit(*finalized)?;
        let advertisement = VersionAdvertisement { supported, finalized, older_sightings };
        Ok(AdvertisementHead { advertisement, rest })
    }
}

fn version_from_digit(number: u32) -> Result<SchemaVersion, SchemaVersionError> {
    SchemaVersion::new(u64::from(number))
}

/// Converts an age to units, rounded up and increased by one unit. Relays pass sightings on without adding
/// the transit time. The extra unit is more than that time, so that a sighting which circulates among relays
/// still ages and expires.
fn age_units(age_ms: Millis) -> u32 {
    ((age_ms.max(0.0) / AGE_UNIT_MS).ceil() + 1.0).min(f64::from(MAX_AGE_UNITS)) as u32
}
