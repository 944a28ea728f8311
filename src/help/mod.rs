//! What an operator can do about an error.
//!
//! Owns two texts for each error: the part of its message that never varies, by which it is found in
//! `docs/operators/errors.md`, and the advice listed there. An error's message says what happened and with
//! which value; the caller that prints it adds file, key or peer, and the advice. Nothing here decides
//! anything.

use std::fmt;

/// The texts of one variant of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelpEntry {
    /// The part of the error's message that never varies.
    pub stable_text: &'static str,
    /// What an operator can do.
    pub help: &'static str,
}

/// An error with advice. Implemented by the `help!` macro, so that an error that gains a variant does not
/// build until the variant has its texts.
pub trait Help {
    /// The texts of all variants.
    const ALL: &'static [HelpEntry];
    /// The part of this error's message that is the same whatever value it is about.
    fn stable_text(&self) -> &'static str;
    /// What an operator can do.
    fn help(&self) -> &'static str;
}

/// An error in one line, followed by its advice.
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

/// The display of an error with its advice, from [`with_help`].
pub struct WithHelp<'a, E>(&'a E);

impl<E: Help + fmt::Display> fmt::Display for WithHelp<'_, E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.0, self.0.help())
    }
}

/// Implements [`Help`]: each variant with its stable text and its advice; variants that contain an error
/// with advice of its own are listed after `of`.
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
