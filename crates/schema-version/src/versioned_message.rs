//! A datagram of form 2, and the steps between it and form 1.
//!
//! `WORD|TEXT|ROWS`: the sender's word, a text of form 1 as it stands, and rows of the members' shares. Either of the last two may be missing. [`down`] is the step to form 1: it gives the text, and aside
//! what form 1 can't say; [`up`] puts both together again. Both are pure: what one takes apart the other joins,
//! character by character.

use crate::compatibility_table::{ROWS, Shares};
use crate::version_advertisement::Word;
use crate::{Form, FormError};

/// Most bytes of a datagram.
pub const MOST_BYTES: usize = 256;
/// First characters of form 1: of samples and of pieces.
const FIRST_FORM: [char; 2] = ['1', '2'];

/// A datagram of form 2.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// What its sender reads.
    pub word: Word,
    /// What form 1 says too.
    pub text: Option<String>,
    /// The members' shares.
    pub shares: Option<Shares>,
}

/// What form 1 can't say of a datagram of form 2.
#[derive(Clone, Debug, PartialEq)]
pub struct Aside {
    /// The word.
    pub word: Word,
    /// The members' shares.
    pub shares: Option<Shares>,
}

/// The step down: a text of form 1, if there is one, and what is kept aside.
pub fn down(envelope: Envelope) -> (Option<String>, Aside) {
    (envelope.text, Aside { word: envelope.word, shares: envelope.shares })
}

/// The step up: a text of form 1 with what was kept aside.
///
/// ```
/// use sandgw_schema_version::{Form, Range, versioned_message::{Envelope, down, up}, version_advertisement::Word};
/// let word = Word { range: Range::up_to(Form::SECOND)?, finalized: Form::FIRST, older: Vec::new() };
/// let whole = Envelope { word, text: Some("1s a".into()), shares: None };
/// let (text, aside) = down(whole.clone());
/// assert_eq!(up(text, aside), whole);
/// # Ok::<(), sandgw_schema_version::FormError>(())
/// ```
pub fn up(text: Option<String>, aside: Aside) -> Envelope {
    Envelope { word: aside.word, text, shares: aside.shares }
}

impl Envelope {
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
    pub fn read(text: &str) -> Result<Envelope, (Option<Word>, FormError)> {
        if text.len() > MOST_BYTES {
            return Err((None, FormError::Cut { bytes: text.len(), part: "what is over 256 bytes" }));
        }
        let (word, rest) = Word::read(text).map_err(|e| (None, e))?;
        let mut envelope = Envelope { word, text: None, shares: None };
        for part in rest.into_iter().flat_map(|rest| rest.split('|')) {
            if let Err(e) = envelope.take(part) {
                return Err((Some(envelope.word), e));
            }
        }
        Ok(envelope)
    }

    fn take(&mut self, part: &str) -> Result<(), FormError> {
        let bytes = part.len();
        let cut = |part: &'static str| FormError::Cut { bytes, part };
        match part.chars().next() {
            Some(letter) if FIRST_FORM.contains(&letter) => {
                if self.text.replace(part.to_owned()).is_some() {
                    return Err(cut("a second text"));
                }
            }
            Some(ROWS) => {
                if self.shares.replace(Shares::new(part)?).is_some() {
                    return Err(cut("a second set of rows"));
                }
            }
            Some(letter) => return Err(FormError::Unknown { letter, newest: Form::NEWEST }),
            None => return Err(cut("what follows a |")),
        }
        Ok(())
    }
}
