//! The clock of the tables: ticks of a tenth of a second, which never go back.

use crate::Millis;

/// The length of a tick.
pub(crate) const TICK_MS: Millis = 100.0;

/// Converts times to ticks. Ticks count from the maximum age of an entry before the clock was made, so that
/// a restored entry has a tick of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TickClock {
    /// Time of tick 0.
    origin: Millis,
    /// The latest time.
    now: Millis,
}

impl TickClock {
    pub fn new(now: Millis, max_age: Millis) -> Self {
        TickClock { origin: now - max_age, now }
    }

    /// Takes a new time, unless it is before the latest one; gives the tick as of now.
    pub fn advance(&mut self, now: Millis) -> u32 {
        self.now = self.now.max(now);
        self.tick_of(self.now)
    }

    /// The latest time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Time of tick 0: what is older can't be stored.
    pub fn origin(&self) -> Millis {
        self.origin
    }

    pub fn tick_of(&self, time: Millis) -> u32 {
        ((time - self.origin) / TICK_MS) as u32
    }

    /// The tick of a query's time, which may lie before the latest time.
    pub fn tick_no_earlier(&self, time: Millis) -> u32 {
        self.tick_of(time.max(self.now))
    }

    pub fn time_of(&self, tick: u32) -> Millis {
        self.origin + f64::from(tick) * TICK_MS
    }
}
