//! What follows when an attempt is established or ends.
//!
//! Inputs: the events [`Event::Established`](super::api::Event::Established) and
//! [`Event::AttemptEnded`](super::api::Event::AttemptEnded). Outputs: what is learned of the endpoint
//! (ejection, load limit, restart), of the tier (the concurrency limit), and for the request the next
//! attempt or its final answer.

use super::api::*;
use super::estimates::move_toward;
use super::hashing::key_hash;
use super::load_balancer::LoadBalancer;
use super::outlier::is_endpoint_failure;
use super::request_table::{PossibleExecution, Stage};
use super::retry::is_sign_of_load;

/// Several set-ups at once wait for each other: an endpoint's set-up time is the quickest within this span.
const QUICKEST_SETUP_SPAN_MS: Millis = 1000.0;
/// How long a set-up time says something of its endpoint.
const SETUP_TIME_TTL_MS: Millis = 5000.0;
/// Part of the latency objective by which a set-up has to exceed the usual one to count as slow; it has to
/// take twice the usual time, too.
const SLOW_SETUP_MARGIN: f64 = 0.1;
/// Factor of an endpoint's load that its limit is cut to when it drops connections.
pub(super) const OVERLOAD_DECREASE: f64 = 0.75;
/// Part of the way that the score of endpoints' faults moves with a connection that broke off or was ended.
const FAULT_SCORE_STEP: f64 = 1.0 / 8.0;

/// An attempt that has ended.
pub(super) struct AttemptEnd {
    pub request: RequestId,
    pub attempt: AttemptId,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    /// The request is finished with it.
    pub finished: bool,
}

impl LoadBalancer {
    /// An attempt's connection is established, `elapsed` ms after it was sent.
    pub(super) fn handle_established(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: AttemptId,
        elapsed: Millis,
    ) {
        let Some(tracked) =
            self.placements.requests.of_attempt(id, attempt).filter(|t| t.stage == Stage::Attempting)
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
            self.compare_setup_time(now, &endpoint_id, objective);
        }
    }

    /// An attempt has ended, or the connection that came of it.
    pub(super) fn handle_attempt_ended(&mut self, now: Millis, end: AttemptEnd, actions: &mut Actions) {
        let id = end.request;
        let Some(tracked) =
            self.placements.requests.of_attempt(id, end.attempt).filter(|t| t.stage != Stage::Pending)
        else {
            return;
        };
        let was_established = tracked.is_established();
        self.record_possible_execution(&end);
        self.record_fault_score(end.outcome, was_established);
        if is_sign_of_load(end.outcome) && !was_established {
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
        let pause = self.retry_pause(now, id, end.outcome);
        self.dispatch(now, id, pause, actions);
    }

    /// A set-up came late or in time, for the concurrency limit.
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

    /// A set-up came late, or ended in an error: this relay's concurrency limit takes it, and the other
    /// relays are told.
    fn record_late_setup(&mut self, now: Millis, endpoint: &EndpointId) {
        let endpoint_hash = key_hash(endpoint.0.as_bytes());
        let attempts_out = self.placements.requests.attempts_out;
        self.concurrency_limit.record_late(now, endpoint_hash, attempts_out, self.settings.connect_timeout);
        self.cluster.report_late_setup(now, endpoint);
    }

    /// An endpoint has answered an attempt.
    fn record_endpoint_answered(&mut self, now: Millis, id: &EndpointId, elapsed: Millis, is_new: bool) {
        let Some(endpoint) = self.placements.endpoints.by_id.get_mut(id) else { return };
        endpoint.ejection.record_success();
        if is_new {
            endpoint.quickest_setup.record(now, elapsed, QUICKEST_SETUP_SPAN_MS);
        }
        let was_down = std::mem::take(&mut endpoint.refuses_connections);
        if was_down && endpoint.started < now - self.settings.warm_up_time {
            // The list is late: an endpoint that was down and answers has just started, and is cold.
            endpoint.started = now;
        }
    }

    /// Compares an endpoint's set-up time with the usual one. What it takes longer is work piled up there,
    /// which messages wait behind as well; what a shared store adds is common to all. By itself it cuts no
    /// load limit, unless slow messages are reported too: one odd set-up of an endpoint that has just
    /// started would starve it.
    fn compare_setup_time(&mut self, now: Millis, id: &EndpointId, objective: Millis) {
        let ready = &self.assignment.ready_endpoints;
        let usual = self.placements.endpoints.median_setup(ready, now - SETUP_TIME_TTL_MS);
        let load_per_endpoint = self.placements.requests.capped_load_per_endpoint(ready.len());
        let Some(endpoint) = self.placements.endpoints.by_id.get_mut(id) else { return };
        let excess = endpoint.quickest_setup.elapsed - usual;
        if excess > usual.max(SLOW_SETUP_MARGIN * objective) {
            endpoint.load_limit.record_slow(now, load_per_endpoint, endpoint.load, self.latency_is_reported);
        }
    }

    /// Notes the first attempt that may have had an effect, and the endpoint that failed the request.
    fn record_possible_execution(&mut self, end: &AttemptEnd) {
        let endpoint = self.placements.endpoints.by_id.get(&end.endpoint);
        let Some(tracked) = self.placements.requests.by_id.get_mut(&end.request) else { return };
        let may_have_run = end.outcome.may_have_run() && !tracked.is_established();
        if may_have_run && tracked.possibly_executed.is_none() {
            let sent_at = tracked.attempt_sent_at;
            let executed = endpoint.map(|known| PossibleExecution {
                sent_at,
                zone: known.zone.clone(),
                cell: known.cell,
            });
            tracked.possibly_executed = Some(executed.unwrap_or_default());
        }
        tracked.failed_endpoints.push(end.endpoint.clone());
    }

    /// Follows whether established connections break off by their endpoint's fault. Clients that leave of
    /// themselves, as when many reconnect at once, come again without one.
    fn record_fault_score(&mut self, outcome: Outcome, was_established: bool) {
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

    /// What an attempt's end says of its endpoint.
    fn record_endpoint_outcome(&mut self, now: Millis, end: &AttemptEnd, was_established: bool) {
        let load_per_endpoint =
            self.placements.requests.capped_load_per_endpoint(self.assignment.ready_endpoints.len());
        let fault_is_common = self.concurrency_limit.fault_is_common(now);
        let Some(endpoint) = self.placements.endpoints.by_id.get_mut(&end.endpoint) else { return };
        if end.outcome == Outcome::Reset {
            endpoint.load_limit.record_overload(now, load_per_endpoint, endpoint.load, OVERLOAD_DECREASE);
        }
        endpoint.refuses_connections |= end.outcome == Outcome::ConnectFailed && !was_established;
        if is_endpoint_failure(end.outcome, was_established, fault_is_common) {
            endpoint.ejection.record_failure(now, self.settings.connect_timeout);
        }
    }
}
