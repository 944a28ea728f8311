//! The drivers' clock, which converts between Unix time in milliseconds, as the core uses it, and the
//! runtime's instants.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::policy::api::Millis;

/// The duration for a number of milliseconds that no [`Duration`] can represent, such as infinity.
const MAX_DURATION: Duration = Duration::MAX.checked_div(4).unwrap();

/// A clock of Unix time in milliseconds that never goes back, even if the system's clock is set.
#[derive(Clone, Copy)]
pub struct Clock {
    /// The Unix time in milliseconds at which the clock was created.
    unix_start: Millis,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the system's present time.
    pub fn new() -> Self {
        let unix_start =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { unix_start, start: Instant::now() }
    }

    /// The Unix time in milliseconds.
    pub fn now(&self) -> Millis {
        self.unix_start + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// The runtime's instant for a Unix time in milliseconds.
    pub fn instant_at(&self, time: Millis) -> tokio::time::Instant {
        (self.start + duration_from_millis(time - self.unix_start)).into()
    }
}

/// Converts a number of milliseconds to a duration, which is zero for a negative number.
pub fn duration_from_millis(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).unwrap_or(MAX_DURATION)
}
