//! Small running estimates that several modules use.

use std::collections::VecDeque;

use super::api::Millis;

/// Counts events within a sliding window of time.
#[derive(Default)]
pub(crate) struct SlidingWindowCounter {
    /// Times of the events, oldest first.
    times: VecDeque<Millis>,
}

impl SlidingWindowCounter {
    /// Records an event.
    pub fn record(&mut self, now: Millis) {
        self.times.push_back(now);
    }

    /// Number of events at `start` or later. Earlier events are dropped, so `start` must not decrease between
    /// calls.
    pub fn count_since(&mut self, start: Millis) -> f64 {
        while self.times.front().is_some_and(|time| *time < start) {
            self.times.pop_front();
        }
        self.times.len() as f64
    }
}

/// The arithmetic mean of all recorded values.
#[derive(Clone, Copy, Default)]
pub(crate) struct RunningMean {
    sum: f64,
    count: f64,
}

impl RunningMean {
    /// Records a value.
    pub fn record(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    /// The mean; `None` before the first value, or if the mean is not positive.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0.0 && self.sum > 0.0).then(|| self.sum / self.count)
    }
}

/// Moves a score between -1 and 1 toward `target` by `fraction` of the distance.
pub(crate) fn move_toward(score: &mut f64, target: f64, fraction: f64) {
    *score += (target - *score) * fraction;
}
