//! Late answers of discovery in a soak run. They are drawn apart from the other faults, so that a seed draws
//! the same other faults as without them.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::Millis;
use crate::fault_schedule::{AnswerDelay, Fault, FaultSchedule, FaultStep};

/// Combined with the seed of a run, so that these draws do not depend on the others.
const SEED_MASK: u64 = 0x51_0a_5e_12;
/// The delay of a slow service: up to the longest time for which the sites let a call wait.
const DELAY_MS: std::ops::Range<Millis> = 200.0..3000.0;
/// The fraction of runs in which discovery is slow at some time.
const SLOW_RUNS: f64 = 0.6;
/// The fraction of these runs in which it is slow from the start to the end.
const SLOW_FROM_START: f64 = 0.4;

/// When and how late discovery answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowAnswers {
    /// By how much, and which calls.
    pub delay: AnswerDelay,
    /// When it begins; none if it is so from the start of the relays to the end.
    pub begin_ms: Option<Millis>,
    /// When it ends.
    pub end_ms: Millis,
}

impl SlowAnswers {
    /// Draws for a run of this length; none if answers are prompt.
    pub(super) fn draw(seed: u64, duration_ms: Millis) -> Option<SlowAnswers> {
        let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
        if !rng.random_bool(SLOW_RUNS) {
            return None;
        }
        let delay = AnswerDelay {
            delay_ms: rng.random_range(DELAY_MS),
            delays_continued_watches: rng.random_bool(0.5),
        };
        if rng.random_bool(SLOW_FROM_START) {
            return Some(SlowAnswers { delay, begin_ms: None, end_ms: duration_ms });
        }
        let begin_ms = rng.random_range(0.0..duration_ms * 0.6);
        let end_ms = rng.random_range(begin_ms + duration_ms * 0.2..duration_ms);
        Some(SlowAnswers { delay, begin_ms: Some(begin_ms), end_ms })
    }

    /// The delay with which the run starts.
    pub(super) fn delay_at_start(&self) -> AnswerDelay {
        if self.begin_ms.is_none() { self.delay } else { AnswerDelay::NONE }
    }

    /// Adds its beginning and its end to a schedule.
    pub(super) fn add_to(&self, schedule: &mut FaultSchedule) {
        let begin = self.begin_ms.map(|at_ms| FaultStep { at_ms, fault: Fault::DiscoverySlow(self.delay) });
        let end = FaultStep { at_ms: self.end_ms, fault: Fault::DiscoveryPrompt };
        schedule.steps.extend(begin);
        schedule.steps.push(end);
        schedule.steps.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    }
}
