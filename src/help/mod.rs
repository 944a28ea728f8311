//! What an operator can do about an error.
//!
//! Owns the words that go with each error: a short piece of its text by which it is found in
//! `docs/operators/errors.md`, and the advice that stands there beside it. An error's own text says what happened
//! and with what; whoever prints it adds file, key or peer, and the advice. Nothing here decides anything.

use std::fmt;

/// An error that knows what can be done about it. Implemented by [`help!`](crate::help), so that an error
/// that gains a case does not build until the case has its words.
pub trait Help {
    /// What all cases say, and the advice on each.
    const ALL: &'static [(&'static str, &'static str)];
    /// The piece of this error's text that is the same whatever it happened to.
    fn said(&self) -> &'static str;
    /// What an operator can do.
    fn help(&self) -> &'static str;
}

/// An error in one line, with its advice behind it.
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

/// What [`with_help`] gives.
pub struct WithHelp<'a, E>(&'a E);

impl<E: Help + fmt::Display> fmt::Display for WithHelp<'_, E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.0, self.0.help())
    }
}

/// Implements [`Help`]: each case with what it says and the advice on it; cases that hold an error with advice of
/// its own are named behind `of`.
macro_rules! help {
    ($error:ident { $($case:ident: $said:literal => $help:literal,)* } $(of $($whole:ident),*)?) => {
        impl crate::help::Help for $error {
            const ALL: &'static [(&'static str, &'static str)] = &[$(($said, $help)),*];

            fn said(&self) -> &'static str {
                match self {
                    $($error::$case { .. } => $said,)*
                    $($($error::$whole(error) => error.said(),)*)?
                }
            }

            fn help(&self) -> &'static str {
                match self {
                    $($error::$case { .. } => $help,)*
                    $($($error::$whole(error) => error.help(),)*)?
                }
            }
        }
    };
}
pub(crate) use help;

#[cfg(test)]
mod tests;
