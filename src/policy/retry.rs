//! Decides whether a request may have another attempt, and after which backoff.
//!
//! Inputs: the request's class (the effect of a repeat), its attempts so far, the configured maximum number
//! of attempts and the retry budget. Outputs: whether another attempt is allowed, and the time before which
//! it has to begin; whether the request may be rejected with the promise that a retry by its client is
//! harmless; and the backoff after a failed attempt.

use super::api::*;
use super::estimates::SlidingWindowCounter;
use super::load_balancer::LoadBalancer;
use super::request_table::TrackedRequest;

/// The retry budget if the settings state none.
const UNLIMITED_BUDGET: RetryBudget =
    RetryBudget { window: 0.0, min_retries: f64::INFINITY, retry_ratio: 0.0 };
/// The backoff is the backoff step times the sum of this number and a random number in `[0, 1)`, so 0.5 to
/// 1.5 steps.
const MIN_JITTER: f64 = 0.5;

/// Counters from which the use of the retry budget is computed.
#[derive(Default)]
pub(crate) struct RetryBudgetUse {
    /// Requests that arrived within the window.
    pub requests: SlidingWindowCounter,
    /// Attempts within the window beyond the first of each request.
    pub retries: SlidingWindowCounter,
}

/// Whether a request may have another attempt, and how it may be answered otherwise.
pub(super) struct AttemptPermission {
    /// Whether another attempt may be made.
    pub is_allowed: bool,
    /// The attempt has to begin before this time, so that a repeat is recognized as such.
    pub begin_by: Millis,
    /// Whether the request may be rejected with the promise that a retry by its client is harmless.
    pub is_safe_to_reject: bool,
}

impl LoadBalancer {
    /// The effect of repeating a request. A class that the settings do not define is treated as unsafe, since
    /// its requests may be of any kind.
    pub(super) fn idempotency(&self, request: &Request) -> Idempotency {
        self.class(request).map_or(Idempotency::Unsafe, |class| class.idempotency)
    }

    /// Whether a request may have an attempt `delay` ms from now. `within_budget` is the result of
    /// [`Self::is_within_retry_budget`].
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
        let has_retry_budget = tracked.attempts == 0 || within_budget;
        let has_attempts_left = tracked.attempts < self.settings.max_attempts;
        AttemptPermission {
            is_allowed: is_in_time && is_repeatable && has_retry_budget && has_attempts_left,
            begin_by,
            is_safe_to_reject: tracked.possibly_executed.is_none()
                || (is_deduplicated_everywhere(idempotency) && is_repeatable),
        }
    }

    /// Whether another attempt beyond a request's first is within the retry budget. This is checked for every
    /// such attempt, whatever ended the previous one. The edges of the window err on the safe side by one
    /// clock resolution.
    pub(super) fn is_within_retry_budget(&mut self, now: Millis) -> bool {
        let RetryBudget { window, min_retries, retry_ratio } =
            self.settings.retry_budget.unwrap_or(UNLIMITED_BUDGET);
        let window_start = now - window;
        let requests = self.retry_budget_use.requests.count_since(window_start + self.settings.resolution);
        let retries = self.retry_budget_use.retries.count_since(window_start - self.settings.resolution);
        retries + 1.0 <= min_retries + retry_ratio * requests
    }

    /// Backoff before the next attempt after an attempt with this outcome, in ms. An endpoint that answers
    /// late or with errors is overloaded, often because of a store that all endpoints depend on: an immediate
    /// attempt would add to the load. The backoff is jittered, grows with every attempt, and takes at most
    /// half of the time left.
    pub(super) fn retry_backoff(&mut self, now: Millis, id: RequestId, outcome: Outcome) -> Millis {
        let is_paced = indicates_overload(outcome) || outcome == Outcome::Reset;
        let Some(tracked) = self.placements.requests.by_id.get(&id).filter(|_| is_paced) else { return 0.0 };
        let backoff_step = self.latency_objective(tracked) * f64::from(tracked.attempts) / 2.0;
        let time_left = tracked.request.deadline - now;
        let jittered = backoff_step * (MIN_JITTER + self.random());
        jittered.min(time_left / 2.0)
    }
}

/// Whether this outcome indicates that the endpoint has too much load.
pub(super) fn indicates_overload(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::Error)
}

/// The time before which the next attempt has to begin so that endpoints recognize it as a repeat of an
/// earlier attempt that may have had an effect.
fn repeat_deadline(idempotency: Idempotency, tracked: &TrackedRequest) -> Millis {
    match (idempotency, &tracked.possibly_executed) {
        (_, None) | (Idempotency::Safe, _) => f64::INFINITY,
        (Idempotency::Keyed { window, .. }, Some(executed)) => executed.sent_at + window,
        (Idempotency::Unsafe, Some(_)) => f64::NEG_INFINITY,
    }
}

/// Whether a repeat is harmless at every endpoint: a retry by the client may reach any of them.
fn is_deduplicated_everywhere(idempotency: Idempotency) -> bool {
    matches!(idempotency, Idempotency::Safe | Idempotency::Keyed { scope: DeduplicationScope::All, .. })
}
