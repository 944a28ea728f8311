//! Small building blocks that all parts of the relay share: units of time, timers and seeded random numbers.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod random;
pub mod timer;

/// Milliseconds, as a point on the caller's clock (of arbitrary origin) or as a span.
pub type Millis = f64;

/// Whole milliseconds since the Unix epoch, or a span of them, used where states are compared and hashed.
pub type WholeMillis = u64;
