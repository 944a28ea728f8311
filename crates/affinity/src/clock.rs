//! The clock of the tables. It counts ticks of a tenth of a second and never goes back.

use crate::Millis;

/// The length of a tick.
pub(crate) const TICK_MS: Millis = 100.0;

/// Converts times to ticks. Tick 0 lies the maximum age of an entry before the creation of the clock, so that
/// entries restored from the time before the start have ticks too.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TickClock {
    /// Time of tick 0.
    origin: Millis,
    /// The latest time that the clock was given.
    now: Millis,
}

impl TickClock {
    pub fn new(now: Millis, max_age: Millis) -> Self {
        TickClock { origin: now - max_age, now }
    }

    /// Advances the clock to a time, unless that is before the latest one; returns the current tick.
    pub fn advance(&mut self, now: Millis) -> u32 {
        self.now = self.now.max(now);
        self.tick_of(self.now)
    }

    /// The latest time that the clock was given.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Time of tick 0. Entries set before it can't be stored.
    pub fn origin(&self) -> Millis {
        self.origin
    }

    pub fn tick_of(&self, time: Millis) -> u32 {
        ((time - self.origin) / TICK_MS) as u32
    }

    /// The tick of a query's time; of the latest time where the query's time lies before it.
    pub fn tick_no_earlier(&self, time: Millis) -> u32 {
        self.tick_of(time.max(self.now))
    }

    pub fn time_of(&self, tick: u32) -> Millis {
        self.origin + f64::from(tick) * TICK_MS
    }
}
