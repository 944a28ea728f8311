//! Advice for operators on errors.
//!
//! Each error variant has two texts: the part of its message that never varies, by which an operator finds it
//! in `docs/operators/errors.md`, and the advice that is listed there. An error's message says what happened
//! and with which value. The caller that prints the message adds the file, key or peer, and the advice.

use std::fmt;

/// The stable text and the advice of one error variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelpEntry {
    /// The part of the error's message that never varies.
    pub stable_text: &'static str,
    /// What an operator can do.
    pub help: &'static str,
}

/// An error with advice. The `help!` macro implements this trait, so that an error type with a new variant
/// does not compile until the variant has its texts.
pub trait Help {
    /// The texts of all variants.
    const ALL: &'static [HelpEntry];
    /// The part of this error's message that is the same for all values.
    fn stable_text(&self) -> &'static str;
    /// What an operator can do.
    fn help(&self) -> &'static str;
}

/// Displays an error and its advice in one line.
///
/// ```
/// use sandgw::help::with_help;
/// use sandgw::discovery::CallError;
///
/// let line = with_help(&CallError::Status(503)).to_string();
/// assert!(line.starts_with("status 503; "), "{line}");
/// ```
pub fn with_help<E: Help + fmt::Display>(error: &E) -> WithHelp<'_, E> {
    WithHelp(error)
}

/// Displays an error with its advice; created by [`with_help`].
pub struct WithHelp<'a, E>(&'a E);

impl<E: Help + fmt::Display> fmt::Display for WithHelp<'_, E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.0, self.0.help())
    }
}

/// Implements [`Help`] for an error type. Each variant is listed with its stable text and its advice;
/// variants that wrap an error with its own advice are listed after `of`.
macro_rules! help {
    ($error:ident { $($variant:ident: $text:literal => $help:literal,)* } $(of $($nested:ident),*)?) => {
        impl crate::help::Help for $error {
            const ALL: &'static [crate::help::HelpEntry] =
                &[$(crate::help::HelpEntry { stable_text: $text, help: $help }),*];

            fn stable_text(&self) -> &'static str {
                match self {
                    $($error::$variant { .. } => $text,)*
                    $($($error::$nested(error) => error.stable_text(),)*)?
                }
            }

            fn help(&self) -> &'static str {
                match self {
                    $($error::$variant { .. } => $help,)*
                    $($($error::$nested(error) => error.help(),)*)?
                }
            }
        }
    };
}
pub(crate) use help;

#[cfg(test)]
mod tests;
