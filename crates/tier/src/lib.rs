//! What the relays of one tier tell each other beside their tables, so that what it costs a flow is the same in
//! a tier of ten and of three hundred.
//!
//! [`news`] tells where clients' connections stand; [`census`] is what they hold together at each
//! streamer, and [`level`] which of them carry too much; [`pace`] is how many set-ups a relay may have out while
//! something shared is slow; [`asking`] is when it asks discovery for the list, and [`leaving`] what it tells
//! of that to those whom discovery can't answer in time. All is free of I/O, with the time
//! passed in; which streamer a flow goes to is decided by the module. `docs/tier.md` names the ways weighed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod asking;
pub mod census;
pub mod leaving;
pub mod level;
pub mod news;
pub mod pace;
pub mod storm;

/// Milliseconds, as a point on the caller's clock or as a span.
pub type Millis = f64;
