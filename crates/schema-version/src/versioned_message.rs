//! A datagram of form 2, and the steps between it and form 1.
//!
//! `WORD|TEXT|ROWS`: the sender's word, a text of form 1 as it stands, and rows of the members' shares. Either of the last two may be missing. [`down`] is the step to form 1: it gives the text, and aside
//! what form 1 can't say; [`up`] puts both together again. Both are pure: what one takes apart the other joins,
//! character by character.

use crate::compatibility_table::{QuotaRows, ROWS};
use crate::version_advertisement::VersionAdvertisement;
use crate::{SchemaVersion, SchemaVersionError};

pub use sandgw_datagram::MAX_BYTES as MOST_BYTES;
/// First characters of form 1: of samples and of pieces.
const FIRST_FORM: [char; 2] = ['1', '2'];

/// A datagram of form 2.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedMessage {
    /// What its sender reads.
    pub word: VersionAdvertisement,
    /// What form 1 says too.
    pub text: Option<String>,
    /// The members' shares.
    pub shares: Option<QuotaRows>,
}

/// What form 1 can't say of a datagram of form 2.
#[derive(Clone, Debug, PartialEq)]
pub struct Aside {
    /// The word.
    pub word: VersionAdvertisement,
    /// The members' shares.
    pub shares: Option<QuotaRows>,
}

/// The step down: a text of form 1, if there is one, and what is kept aside.
pub fn down(envelope: VersionedMessage) -> (Option<String>, Aside) {
    (envelope.text, Aside { word: envelope.word, shares: envelope.shares })
}

/// The step up: a text of form 1 with what was kept aside.
///
/// ```
/// use sandgw_schema_version::{SchemaVersion, SupportedVersions, versioned_message::{VersionedMessage, down, up}, version_advertisement::VersionAdvertisement};
/// let word = VersionAdvertisement { range: SupportedVersions::up_to(SchemaVersion::SECOND)?, finalized: SchemaVersion::FIRST, older: Vec::new() };
/// let whole = VersionedMessage { word, text: Some("1s a".into()), shares: None };
/// let (text, aside) = down(whole.clone());
/// assert_eq!(up(text, aside), whole);
/// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
/// ```
pub fn up(text: Option<String>, aside: Aside) -> VersionedMessage {
    VersionedMessage { word: aside.word, text, shares: aside.shares }
}

impl VersionedMessage {
    /// The datagram; nothing where it would be too long. Where only the ages of older processes are too much it goes
    /// without them.
    pub fn write(&self) -> Option<String> {
        let mut rest = String::new();
        self.text.iter().for_each(|text| rest.extend(["|", text.as_str()]));
        self.shares.iter().for_each(|shares| rest.extend(["|", shares.text()]));
        let whole = [self.word.text(), self.word.short()].map(|word| word + &rest);
        whole.into_iter().find(|text| text.len() <= MOST_BYTES)
    }

    /// Reads a datagram. What is malformed, cut short or of a form to come is an error, and nothing of it counts but
    /// its word, where that is whole.
    pub fn read(text: &str) -> Result<VersionedMessage, (Option<VersionAdvertisement>, SchemaVersionError)> {
        if text.len() > MOST_BYTES {
            return Err((
                None,
                SchemaVersionError::Cut { bytes: text.len(), part: "what is over 256 bytes" },
            ));
        }
        let (word, rest) = VersionAdvertisement::read(text).map_err(|e| (None, e))?;
        let mut envelope = VersionedMessage { word, text: None, shares: None };
        for part in rest.into_iter().flat_map(|rest| rest.split('|')) {
            if let Err(e) = envelope.take(part) {
                return Err((Some(envelope.word), e));
            }
        }
        Ok(envelope)
    }

    fn take(&mut self, part: &str) -> Result<(), SchemaVersionError> {
        let bytes = part.len();
        let cut = |part: &'static str| SchemaVersionError::Cut { bytes, part };
        match part.chars().next() {
            Some(letter) if FIRST_FORM.contains(&letter) => {
                if self.text.replace(part.to_owned()).is_some() {
                    return Err(cut("a second text"));
                }
            }
            Some(ROWS) => {
                if self.shares.replace(QuotaRows::new(part)?).is_some() {
                    return Err(cut("a second set of rows"));
                }
            }
            Some(letter) => {
                return Err(SchemaVersionError::Unknown { letter, newest: SchemaVersion::NEWEST });
            }
            None => return Err(cut("what follows a |")),
        }
        Ok(())
    }
}
