//! Updates state and decides the next step when an attempt is established or ends.
//!
//! Inputs: the events [`Event::Established`] and [`Event::AttemptEnded`]. Outputs: updates to the endpoint's
//! state (ejection, load limit, restart) and to the concurrency limit, which reflects the state of the whole
//! cluster, and for the request its next attempt or its final answer.

use super::api::*;
use super::estimates::move_toward;
use super::hashing::key_hash;
use super::load_balancer::LoadBalancer;
use super::outlier::is_endpoint_failure;
use super::request_table::{PossibleExecution, Stage};
use super::retry::indicates_overload;

/// Span over which set-up times are measured; the shortest of them counts as the endpoint's set-up time.
/// Concurrent set-ups delay each other, so the shortest tells most about the endpoint itself.
const QUICKEST_SETUP_SPAN_MS: Millis = 1000.0;
/// Time for which a measured set-up time is used to judge its endpoint.
const SETUP_TIME_TTL_MS: Millis = 5000.0;
/// A set-up counts as slow if it exceeds the median set-up time by this fraction of the latency objective,
/// and also takes at least twice the median.
const SLOW_SETUP_OBJECTIVE_FRACTION: f64 = 0.1;
/// When an endpoint drops connections, its load limit is cut to this fraction of its present load.
pub(super) const OVERLOAD_DECREASE_FACTOR: f64 = 0.75;
/// Fraction by which the endpoint fault score moves toward its target for each established connection that
/// was reset or cancelled.
const FAULT_SCORE_STEP: f64 = 1.0 / 8.0;

/// The end of an attempt, or of the connection that it established.
pub(super) struct AttemptEnd {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    /// Whether the request is finished, so that no further attempt is made for it.
    pub finished: bool,
}

impl LoadBalancer {
    /// Handles an attempt whose connection was established `elapsed` ms after the attempt was sent.
    pub(super) fn handle_established(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: AttemptId,
        elapsed: Millis,
    ) {
        let Some(tracked) = self
            .placements
            .requests
            .by_latest_attempt(id, attempt)
            .filter(|tracked| tracked.stage == Stage::Attempting)
        else {
            return;
        };
        let is_new = !tracked.request.mid_flow;
        let objective = self.latency_objective(tracked);
        let endpoint_id = tracked.endpoint.clone();
        if let Some(endpoint_id) = &endpoint_id {
            self.cluster.record_established(now, &tracked.request, tracked.load, endpoint_id);
        }
        if is_new {
            self.record_setup_time(now, endpoint_id.as_ref(), elapsed, objective);
        }
        if let Some(endpoint_id) = &endpoint_id {
            self.record_endpoint_answered(now, endpoint_id, elapsed, is_new);
        }
        self.placements.requests.set_stage(id, Stage::Established);
        if let Some(endpoint_id) = endpoint_id.filter(|_| is_new) {
            self.detect_slow_setup(now, &endpoint_id, objective);
        }
    }

    /// Handles the end of an attempt, or of the connection that it established.
    pub(super) fn handle_attempt_ended(&mut self, now: Millis, end: AttemptEnd, actions: &mut Actions) {
        let id = end.request;
        let Some(tracked) = self
            .placements
            .requests
            .by_latest_attempt(id, end.attempt)
            .filter(|tracked| tracked.stage != Stage::Pending)
        else {
            return;
        };
        let was_established = tracked.is_established();
        self.record_possible_execution(&end);
        self.update_fault_score(end.outcome, was_established);
        if indicates_overload(end.outcome) && !was_established {
            self.record_late_setup(now, &end.endpoint);
        }
        self.record_endpoint_outcome(now, &end, was_established);
        if end.finished {
            return self.forget(id);
        }
        self.placements.release(id);
        self.placements.requests.set_stage(id, Stage::Pending);
        if was_established {
            self.forget(id);
            return actions.push(Action::Fail(id));
        }
        let backoff = self.retry_backoff(now, id, end.outcome);
        self.dispatch(now, id, backoff, actions);
    }

    /// Records for the concurrency limit whether a set-up was late or in time.
    fn record_setup_time(
        &mut self,
        now: Millis,
        endpoint: Option<&EndpointId>,
        elapsed: Millis,
        objective: Millis,
    ) {
        match endpoint {
            Some(endpoint) if elapsed > objective => self.record_late_setup(now, endpoint),
            _ => self.concurrency_limit.record_in_time(now, elapsed / objective),
        }
    }

    /// Records a set-up that was late or ended in an error: in this relay's concurrency limit, and as a
    /// notice to the other relays.
    fn record_late_setup(&mut self, now: Millis, endpoint: &EndpointId) {
        let endpoint_hash = key_hash(endpoint.0.as_bytes());
        let attempts_in_flight = self.placements.requests.attempts_in_flight;
        self.concurrency_limit.record_late(
            now,
            endpoint_hash,
            attempts_in_flight,
            self.settings.connect_timeout,
        );
        self.cluster.report_late_setup(now, endpoint);
    }

    /// Records that an endpoint has answered an attempt.
    fn record_endpoint_answered(&mut self, now: Millis, id: &EndpointId, elapsed: Millis, is_new: bool) {
        let Some(endpoint) = self.placements.endpoints.by_id.get_mut(id) else { return };
        endpoint.ejection.record_success();
        if is_new {
            endpoint.quickest_setup.record(now, elapsed, QUICKEST_SETUP_SPAN_MS);
        }
        let refused_connections = std::mem::take(&mut endpoint.refuses_connections);
        if refused_connections && endpoint.started < now - self.settings.warm_up_time {
            // The list lags behind: an endpoint that refused connections and now answers has just restarted,
            // and is warming up.
            endpoint.started = now;
        }
    }

    /// Marks an endpoint as slow if its set-up time exceeds the median of all endpoints. The excess is work
    /// that is queued at this endpoint, and messages wait behind that work too; a delay from a shared store
    /// would be common to all endpoints. A slow set-up alone does not cut the load limit unless slow messages
    /// are reported too, since a single odd set-up of an endpoint that has just started would starve that
    /// endpoint.
    fn detect_slow_setup(&mut self, now: Millis, id: &EndpointId, objective: Millis) {
        let ready = &self.assignment.ready_endpoints;
        let median_setup_time = self.placements.endpoints.median_setup_time(ready, now - SETUP_TIME_TTL_MS);
        let load_per_endpoint = self.placements.requests.capped_load_per_endpoint(ready.len());
        let Some(endpoint) = self.placements.endpoints.by_id.get_mut(id) else { return };
        let excess = endpoint.quickest_setup.elapsed - median_setup_time;
        if excess > median_setup_time.max(SLOW_SETUP_OBJECTIVE_FRACTION * objective) {
            endpoint.load_limit.record_slow(now, load_per_endpoint, endpoint.load, self.latency_is_reported);
        }
    }

    /// Records the first attempt of a request that may have had an effect, and the endpoint that failed the
    /// request.
    fn record_possible_execution(&mut self, end: &AttemptEnd) {
        let endpoint = self.placements.endpoints.by_id.get(&end.endpoint);
        let Some(tracked) = self.placements.requests.by_id.get_mut(&end.request) else { return };
        let may_have_run = end.outcome.may_have_run() && !tracked.is_established();
        if may_have_run && tracked.possibly_executed.is_none() {
            let sent_at = tracked.attempt_sent_at;
            let executed = endpoint.map(|endpoint| PossibleExecution {
                sent_at,
                zone: endpoint.zone.clone(),
                cell: endpoint.cell,
            });
            tracked.possibly_executed = Some(executed.unwrap_or_default());
        }
        tracked.failed_endpoints.push(end.endpoint.clone());
    }

    /// Updates the score that says whether established connections break through the fault of their endpoint.
    /// When clients disconnect by themselves, as when many reconnect at once, their return is not a sign of
    /// such a fault.
    fn update_fault_score(&mut self, outcome: Outcome, was_established: bool) {
        match outcome {
            Outcome::Reset if was_established => {
                move_toward(&mut self.endpoint_fault_score, 1.0, FAULT_SCORE_STEP);
            }
            Outcome::Cancelled if was_established => {
                move_toward(&mut self.endpoint_fault_score, -1.0, FAULT_SCORE_STEP);
            }
            _ => {}
        }
    }

    /// Updates an endpoint's load limit and ejection from the outcome of an attempt.
    fn record_endpoint_outcome(&mut self, now: Millis, end: &AttemptEnd, was_established: bool) {
        let load_per_endpoint =
            self.placements.requests.capped_load_per_endpoint(self.assignment.ready_endpoints.len());
        let fault_is_common = self.concurrency_limit.fault_is_common(now);
        let Some(endpoint) = self.placements.endpoints.by_id.get_mut(&end.endpoint) else { return };
        if end.outcome == Outcome::Reset {
            endpoint.load_limit.record_overload(
                now,
                load_per_endpoint,
                endpoint.load,
                OVERLOAD_DECREASE_FACTOR,
            );
        }
        endpoint.refuses_connections |= end.outcome == Outcome::ConnectFailed && !was_established;
        if is_endpoint_failure(end.outcome, was_established, fault_is_common) {
            endpoint.ejection.record_failure(now, self.settings.connect_timeout);
        }
    }
}
