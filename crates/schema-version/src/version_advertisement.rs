//! How a process tells what it reads: a few plain characters, at the head of each datagram of form 2 and alone
//! where a datagram of form 1 goes to somebody who may not know.
//!
//! `3`, then the oldest and the newest form that it reads and the finalized one, a character each (1 to 9, a to z).
//! Then, for each form below its newest, how long ago a process was last heard of that reads no more than that:
//! the form and two characters of tenths of a second; nothing where that is longer ago than anybody asks.
//! This layout is kept by all forms to come, so that a process can tell from any word whether it is too old. A
//! process of before it passes a datagram that begins so over, as it does all that it can't read.

use sandgw_datagram::base36::{digit, digit_value as value};

use crate::{Millis, SchemaVersion, SchemaVersionError, SupportedVersions};

/// First character of a word: neither of form 1's two.
pub const MARK: char = '3';
/// A tenth of a second: the unit of ages.
const UNIT: Millis = 100.0;
/// The greatest age that two characters can name.
const OLDEST: u32 = 36 * 36 - 1;

/// What a process tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionAdvertisement {
    /// What it reads.
    pub range: SupportedVersions,
    /// Below this nothing is written any more.
    pub finalized: SchemaVersion,
    /// Forms below its newest, and how long ago a process was alive that reads no newer one.
    pub older: Vec<(SchemaVersion, Millis)>,
}

impl VersionAdvertisement {
    /// The word as text.
    ///
    /// ```
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions, version_advertisement::VersionAdvertisement};
    /// let range = SupportedVersions::up_to(SchemaVersion::SECOND)?;
    /// let word = VersionAdvertisement { range, finalized: SchemaVersion::FIRST, older: vec![(SchemaVersion::FIRST, 1500.0)] };
    /// assert_eq!(word.text(), "312110g");
    /// let (read, rest) = VersionAdvertisement::read("312110g|more")?;
    /// assert_eq!((read.range, rest), (range, Some("more")));
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn text(&self) -> String {
        let mut text = self.short();
        for (form, ago) in &self.older {
            // Rounded up by a whole unit: told on and on, an age grows by more than a datagram's way takes from it.
            let age = ((ago.max(0.0) / UNIT).ceil() + 1.0).min(f64::from(OLDEST)) as u32;
            text.extend([digit(form.0.into()), digit(age / 36), digit(age % 36)]);
        }
        text
    }

    /// Without older processes: for a datagram that has no room.
    pub fn short(&self) -> String {
        let forms = [self.range.oldest, self.range.newest, self.finalized];
        [MARK].into_iter().chain(forms.map(|f| digit(f.0.into()))).collect()
    }

    /// Reads the word that a datagram begins with; gives what follows it, if something does.
    pub fn read(text: &str) -> Result<(VersionAdvertisement, Option<&str>), SchemaVersionError> {
        let (head, rest) = text.split_once('|').map_or((text, None), |(head, rest)| (head, Some(rest)));
        let cut = SchemaVersionError::Cut { bytes: text.len(), part: "the word" };
        let digits: Option<Vec<u32>> = head.strip_prefix(MARK).and_then(|d| d.chars().map(value).collect());
        let digits = digits.ok_or_else(|| cut.clone())?;
        let (Some([oldest, newest, finalized]), ages) = (digits.first_chunk(), digits.get(3..)) else {
            return Err(cut);
        };
        let form = |n: &u32| SchemaVersion::new(u64::from(*n));
        let range = SupportedVersions::new(form(oldest)?, form(newest)?)?;
        let ages = ages.unwrap_or_default().chunks(3);
        let older = ages.map(|part| match part {
            [of, high, low] => Ok((form(of)?, f64::from(high * 36 + low) * UNIT)),
            _ => Err(cut.clone()),
        });
        let older = older.collect::<Result<_, _>>()?;
        Ok((VersionAdvertisement { range, finalized: form(finalized)?, older }, rest))
    }
}
