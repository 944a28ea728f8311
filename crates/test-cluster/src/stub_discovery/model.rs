//! How the service behaves: its costs, its faults and how its answers are written.

use super::body::BodyStyle;
use crate::Millis;

/// How the service behaves.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    /// What a call that begins takes, in milliseconds.
    pub call_cost_ms: Millis,
    /// What it takes more for each call that waits before it.
    pub cost_per_queued_call_ms: Millis,
    /// A call that would wait longer fails after that long.
    pub queue_timeout_ms: Millis,
    /// How old the list is that it answers.
    pub staleness_ms: Millis,
    /// How much later it answers a call that begins, in milliseconds, however few calls there are.
    pub answer_delay_ms: Millis,
    /// Whether it delays watches too that continue another.
    pub delays_continued_watches: bool,
    /// Whether it is down: connections are reset.
    pub down: bool,
    /// Whether it takes calls and never answers any.
    pub unresponsive: bool,
    /// How answers are written.
    pub body_style: BodyStyle,
}

impl Default for ServiceModel {
    fn default() -> Self {
        ServiceModel {
            call_cost_ms: 0.0,
            cost_per_queued_call_ms: 0.0,
            queue_timeout_ms: 2000.0,
            staleness_ms: 0.0,
            answer_delay_ms: 0.0,
            delays_continued_watches: false,
            down: false,
            unresponsive: false,
            body_style: BodyStyle::default(),
        }
    }
}
