//! Whether a request may have another attempt, and after which pause.
//!
//! Inputs: the request's class (what a repeat may do), its attempts so far, the settings' limit of attempts
//! and the retry budget. Outputs: whether one more attempt is allowed and until when it has to begin;
//! whether the request may be rejected with the promise that a retry of its client is harmless; and the
//! pause after an attempt that failed.

use super::api::*;
use super::estimates::SlidingWindowCounter;
use super::load_balancer::LoadBalancer;
use super::request_table::TrackedRequest;

/// Where no budget is stated.
const UNLIMITED_BUDGET: RetryBudget =
    RetryBudget { window: 0.0, min_retries: f64::INFINITY, retry_ratio: 0.0 };
/// A pause lasts the backoff step times this plus a number drawn from `[0, 1)`: 0.5 to 1.5 steps.
const MIN_JITTER: f64 = 0.5;

/// What the retry budget is reckoned from.
#[derive(Default)]
pub(crate) struct RetryBudgetUse {
    /// Requests taken within the window.
    pub requests: SlidingWindowCounter,
    /// Attempts beyond each request's first within the window.
    pub retries: SlidingWindowCounter,
}

/// What may still be done for a request.
pub(super) struct AttemptPermission {
    /// Whether another attempt may be made at all.
    pub is_allowed: bool,
    /// Before when it has to begin, so that a repeat is recognized as such.
    pub begin_by: Millis,
    /// Whether the request may be rejected with the promise that its client's retry is harmless.
    pub is_safe_to_reject: bool,
}

impl LoadBalancer {
    /// What repeating a request may do. A class that the settings do not name may be of any kind.
    pub(super) fn idempotency(&self, request: &Request) -> Idempotency {
        self.class(request).map_or(Idempotency::Unsafe, |class| class.idempotency)
    }

    /// Whether a request may have an attempt `delay` ms from now. `within_budget` as
    /// [`Self::is_within_retry_budget`] says.
    pub(super) fn attempt_permission(
        &self,
        now: Millis,
        tracked: &TrackedRequest,
        delay: Millis,
        within_budget: bool,
    ) -> AttemptPermission {
        let idempotency = self.idempotency(&tracked.request);
        let begin_by = repeat_deadline(idempotency, tracked);
        let is_in_time = now + delay < tracked.request.deadline;
        let is_repeatable = now + delay < begin_by;
        let is_affordable = tracked.attempts == 0 || within_budget;
        let has_attempts_left = tracked.attempts < self.settings.max_attempts;
        AttemptPermission {
            is_allowed: is_in_time && is_repeatable && is_affordable && has_attempts_left,
            begin_by,
            is_safe_to_reject: tracked.possibly_executed.is_none()
                || (is_recognized_everywhere(idempotency) && is_repeatable),
        }
    }

    /// Whether one more attempt beyond a request's first is within the retry budget: asked for every such
    /// attempt, whatever ended the one before. The window's edges err on the safe side by one reading of
    /// the clock.
    pub(super) fn is_within_retry_budget(&mut self, now: Millis) -> bool {
        let RetryBudget { window, min_retries, retry_ratio } =
            self.settings.retry_budget.unwrap_or(UNLIMITED_BUDGET);
        let window_start = now - window;
        let requests = self.retry_budget_use.requests.count_since(window_start + self.settings.resolution);
        let retries = self.retry_budget_use.retries.count_since(window_start - self.settings.resolution);
        retries + 1.0 <= min_retries + retry_ratio * requests
    }

    /// Pause before the next attempt after one that ended so, in ms. An endpoint that answers late or with
    /// errors is busy, often because of a store behind all of them: an attempt at once would add to the
    /// load. The pause is jittered, longer with every attempt, and within half of the time left.
    pub(super) fn retry_pause(&mut self, now: Millis, id: RequestId, outcome: Outcome) -> Millis {
        let is_paced = is_sign_of_load(outcome) || outcome == Outcome::Reset;
        let Some(tracked) = self.placements.requests.by_id.get(&id).filter(|_| is_paced) else { return 0.0 };
        let step = self.latency_objective(tracked) * f64::from(tracked.attempts) / 2.0;
        let time_left = tracked.request.deadline - now;
        let jittered = step * (MIN_JITTER + self.random());
        jittered.min(time_left / 2.0)
    }
}

/// Whether an attempt that ended so met an endpoint that has too much to do.
pub(super) fn is_sign_of_load(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Error)
}

/// Before when the next attempt has to begin, so that what may have run is recognized as repeated.
fn repeat_deadline(idempotency: Idempotency, tracked: &TrackedRequest) -> Millis {
    match (idempotency, &tracked.possibly_executed) {
        (_, None) | (Idempotency::Safe, _) => f64::INFINITY,
        (Idempotency::Keyed { window, .. }, Some(executed)) => executed.sent_at + window,
        (Idempotency::Unsafe, Some(_)) => f64::NEG_INFINITY,
    }
}

/// Whether a repeat is harmless at any endpoint: a client's retry may reach any of them.
fn is_recognized_everywhere(idempotency: Idempotency) -> bool {
    matches!(idempotency, Idempotency::Safe | Idempotency::Keyed { scope: DeduplicationScope::All, .. })
}
