//! The clock of the drivers: Unix time in milliseconds, as the core takes it, and the runtime's instants.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::policy::api::Millis;

/// The longest duration that a number of milliseconds is converted to, where it has no other.
const MAX_SPAN: Duration = Duration::MAX.checked_div(4).unwrap();

/// Unix time in milliseconds that never goes back, whatever is done to the system's clock.
pub struct Clock {
    /// Unix time at the start.
    base: Millis,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the system's time.
    pub fn new() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { base, start: Instant::now() }
    }

    /// The Unix time in milliseconds.
    pub fn now(&self) -> Millis {
        self.base + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// The runtime's instant for a Unix time in milliseconds.
    pub fn at(&self, time: Millis) -> tokio::time::Instant {
        (self.start + span(time - self.base)).into()
    }
}

/// The duration of a number of milliseconds; zero for a negative one.
pub fn span(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).unwrap_or(MAX_SPAN)
}
