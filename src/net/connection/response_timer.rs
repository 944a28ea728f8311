//! Decides when a message that an endpoint has not answered is reported as slow, and when the endpoint counts
//! as silent.

use crate::policy::api::Millis;

/// An endpoint that leaves a message unanswered for this long counts as silent, and its client is asked to
/// reconnect. The client has to be asked within 7 s after the endpoint falls silent, and clients send a
/// message only every 2 s.
pub const SILENCE_TIMEOUT_MS: Millis = 4500.0;
/// How often the age of an unanswered message is reported to the core as a round-trip time.
const SLOW_REPORT_INTERVAL_MS: Millis = 1000.0;

/// Schedules reports of the age of the oldest unanswered message.
#[derive(Default)]
pub struct ResponseTimer {
    unanswered_since: Millis,
    next_report: Millis,
}

impl ResponseTimer {
    /// When the next report is due for a message unanswered since `unanswered`; `None` if there is no such
    /// message.
    pub fn next_report(&mut self, unanswered: Option<Millis>) -> Option<Millis> {
        let since = unanswered?;
        if since != self.unanswered_since {
            self.unanswered_since = since;
            self.next_report = since + SLOW_REPORT_INTERVAL_MS;
        }
        Some(self.next_report)
    }

    /// Whether a report is due. If so, schedules the next report, or an earlier report for the moment at
    /// which the message's age reaches [`SILENCE_TIMEOUT_MS`].
    pub fn is_due(&mut self, now: Millis) -> bool {
        let is_due = now >= self.next_report;
        if is_due {
            let silent_at = self.unanswered_since + SILENCE_TIMEOUT_MS;
            let next = now + SLOW_REPORT_INTERVAL_MS;
            self.next_report = if now < silent_at { silent_at.min(next) } else { next };
        }
        is_due
    }
}
