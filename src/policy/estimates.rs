//! Small running estimates that several rules use.

use std::collections::VecDeque;

use super::api::Millis;

/// Counts events within a window that slides with the time.
#[derive(Default)]
pub(crate) struct SlidingWindowCounter {
    /// Times of the events, oldest first.
    times: VecDeque<Millis>,
}

impl SlidingWindowCounter {
    /// Counts one event.
    pub fn record(&mut self, now: Millis) {
        self.times.push_back(now);
    }

    /// Events at `start` or later. Earlier ones are dropped, so `start` must not go back.
    pub fn count_since(&mut self, start: Millis) -> f64 {
        while self.times.front().is_some_and(|time| *time < start) {
            self.times.pop_front();
        }
        self.times.len() as f64
    }
}

/// The mean of all values recorded.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMean {
    sum: f64,
    count: f64,
}

impl RunningMean {
    /// Adds a value.
    pub fn record(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    /// The mean; `None` before the first value, and where it is not positive.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0.0 && self.sum > 0.0).then(|| self.sum / self.count)
    }
}

/// Moves a score between -1 and 1 toward `target` by the given part of the way.
pub(crate) fn move_toward(score: &mut f64, target: f64, part: f64) {
    *score += (target - *score) * part;
}
