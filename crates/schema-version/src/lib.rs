//! Numbered forms of shared state: which of them the relays of a tier write while old and new processes run side by
//! side, and the steps between neighbouring forms.
//!
//! A [`Form`] is a number, a [`Range`] what one process reads. [`version_negotiator`] decides which form is written: the newest
//! that all alive can read. [`version_advertisement`] is how a process tells its range, [`versioned_message`] a datagram of form 2 and the
//! steps between it and form 1, [`versioned_channel`] what a relay asks before it sends and when it has received. All is free of
//! I/O, with the time passed in; it never reads what a form 1 text says, and never decides where a flow goes.
//! `docs/forms.md` names the ways weighed.
//!
//! Form 1 is what relays told and kept before there were numbers. Who says nothing of a range reads form 1 only.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod compatibility_table;
mod error;
pub mod version_advertisement;
pub mod version_negotiator;
pub mod versioned_channel;
pub mod versioned_message;

use std::fmt;
use std::ops::RangeInclusive;

pub use error::FormError;

/// Milliseconds, as a point on the caller's clock or as a span.
pub type Millis = f64;

/// The number of a form, 1 to 35: one character of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Form(u8);

impl Form {
    /// What is written since before forms had numbers.
    pub const FIRST: Form = Form(1);
    /// The one that carries the members' shares.
    pub const SECOND: Form = Form(2);
    /// The newest that this program knows.
    pub const NEWEST: Form = Form::SECOND;
    /// The greatest number that a datagram can name.
    pub const GREATEST: Form = Form(35);

    /// The form of this number.
    ///
    /// ```
    /// use sandgw_schema_version::Form;
    /// assert_eq!(Form::new(1)?, Form::FIRST);
    /// assert!(Form::new(0).is_err() && Form::new(36).is_err());
    /// # Ok::<(), sandgw_schema_version::FormError>(())
    /// ```
    pub fn new(number: u64) -> Result<Form, FormError> {
        let known = u8::try_from(number).ok().filter(|n| (1..=Form::GREATEST.0).contains(n));
        known.map(Form).ok_or(FormError::NoForm { number })
    }

    /// Its number.
    pub fn number(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The forms that a process reads: all from its oldest to its newest. It writes one of them, as the [`version_negotiator`] says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    oldest: Form,
    newest: Form,
}

impl Range {
    /// What a process reads that says nothing of it.
    pub const SILENT: Range = Range { oldest: Form::FIRST, newest: Form::FIRST };

    /// All forms from one to another.
    ///
    /// ```
    /// use sandgw_schema_version::{Form, Range};
    /// let range = Range::new(Form::FIRST, Form::SECOND)?;
    /// assert!(range.reads(Form::SECOND) && !Range::SILENT.reads(Form::SECOND));
    /// assert!(Range::new(Form::SECOND, Form::FIRST).is_err());
    /// # Ok::<(), sandgw_schema_version::FormError>(())
    /// ```
    pub fn new(oldest: Form, newest: Form) -> Result<Range, FormError> {
        let range = Range { oldest, newest };
        if oldest <= newest { Ok(range) } else { Err(FormError::Backwards { oldest, newest }) }
    }

    /// What this program reads and may write where an operator lets it go so far.
    pub fn up_to(most: Form) -> Result<Range, FormError> {
        if most > Form::NEWEST {
            return Err(FormError::Future { form: most, newest: Form::NEWEST });
        }
        Range::new(Form::FIRST, most)
    }

    /// The oldest that it reads.
    pub fn oldest(self) -> Form {
        self.oldest
    }

    /// The newest.
    pub fn newest(self) -> Form {
        self.newest
    }

    /// Whether it reads a form.
    pub fn reads(self, form: Form) -> bool {
        self.forms().contains(&form)
    }

    /// The forms that it reads.
    pub fn forms(self) -> RangeInclusive<Form> {
        self.oldest..=self.newest
    }

    /// The newest form that both read, where there is one.
    ///
    /// ```
    /// use sandgw_schema_version::{Form, Range};
    /// let new = Range::up_to(Form::SECOND)?;
    /// assert_eq!(new.both(Range::SILENT), Some(Form::FIRST));
    /// assert_eq!(new.both(new), Some(Form::SECOND));
    /// # Ok::<(), sandgw_schema_version::FormError>(())
    /// ```
    pub fn both(self, other: Range) -> Option<Form> {
        let newest = self.newest.min(other.newest);
        (newest >= self.oldest.max(other.oldest)).then_some(newest)
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {}", self.oldest, self.newest)
    }
}
