//! Decides whether a request is sent to an endpoint, held, or rejected.
//!
//! Inputs: a queued request, the number of attempts in flight, the concurrency limit on connection set-ups
//! (`sandgw_cluster`), and the decisions of `retry` and `selection`. Outputs: an attempt, a timer after which
//! the request is considered again, or the request's final answer. A request that can't be served in time is
//! answered at once, so that its client knows and can retry. Only a request that requests of a higher
//! priority repeatedly overtake may be held until its deadline.
//!
//! A request gets its final answer here for one of these reasons, checked in this order:
//! 1. another attempt is not allowed ([`LoadBalancer::dispatch`], `retry`): the request's deadline has
//!    passed, an earlier attempt may have had an effect and a repeat would not be recognized, the retry
//!    budget is spent, or the request has used all its attempts;
//! 2. the concurrency limit is not expected to admit the request early enough for a set-up before its
//!    deadline ([`LoadBalancer::hold_for_slot`]);
//! 3. no endpoint may take the request within its latency objective, or the endpoint list may not be used for
//!    that long ([`LoadBalancer::wait_for_endpoint`], [`LoadBalancer::wait_for_list`]).
//!
//! The final answer is a rejection if a retry by the client is harmless, otherwise a failure. Other modules
//! answer requests too: `attempt_outcome` fails a connection that ends for a reason other than its client,
//! the core rejects requests of tenants over their quota, and the driver rejects requests for which no file
//! descriptor is available.

use super::api::*;
use super::load_balancer::LoadBalancer;
use super::request_table::{Stage, TrackedRequest};
use super::retry::AttemptPermission;

/// Number of times per connect time-out that a request without an endpoint looks for one.
const RECHECKS_PER_CONNECT_TIMEOUT: f64 = 4.0;

impl LoadBalancer {
    /// Starts an attempt for a queued request `delay` ms from now, holds the request, or gives its final
    /// answer.
    pub(super) fn dispatch(&mut self, now: Millis, id: RequestId, delay: Millis, actions: &mut Actions) {
        let within_budget = self.is_within_retry_budget(now);
        let Some(tracked) = self.pending_request(id) else { return };
        let permission = self.attempt_permission(now, tracked, delay, within_budget);
        if !permission.is_allowed {
            return self.send_local_reply(id, permission.is_safe_to_reject, actions);
        }
        if delay > 0.0 {
            return actions.push(Action::SetTimer { after: delay, token: id.0 });
        }
        let slot_wait = self.time_until_attempt_slot(now, tracked);
        if slot_wait > 0.0 {
            return self.hold_for_slot(now, id, slot_wait, permission.is_safe_to_reject, actions);
        }
        self.queue.remove(&id);
        self.update_assignment(now);
        if self.await_location(now, id, actions) {
            return;
        }
        let Some(tracked) = self.pending_request(id) else { return };
        if !self.may_use_list(now, tracked) {
            return self.wait_for_list(now, id, &permission, actions);
        }
        match self.select_endpoint(now, tracked, self.idempotency(&tracked.request)) {
            Some(endpoint) => self.start_attempt(now, id, endpoint, permission.begin_by, actions),
            None => self.wait_for_endpoint(now, id, &permission, actions),
        }
    }

    /// Dispatches queued requests as far as the concurrency limit allows, in descending order of priority.
    pub(super) fn dispatch_queue(&mut self, now: Millis, actions: &mut Actions) {
        while let Some(id) = self.highest_priority_queued() {
            let requests = &self.placements.requests;
            let objective = requests.by_id.get(&id).map_or(0.0, |tracked| self.latency_objective(tracked));
            if self.concurrency_limit.time_until_slot(now, requests.attempts_in_flight, objective) > 0.0 {
                return;
            }
            self.queue.remove(&id);
            self.dispatch(now, id, 0.0, actions);
        }
    }

    /// Gives a request its final answer without a further attempt: a rejection if a retry is harmless,
    /// otherwise a failure.
    fn send_local_reply(&mut self, id: RequestId, is_safe_to_reject: bool, actions: &mut Actions) {
        self.forget(id);
        actions.push(if is_safe_to_reject {
            Action::Reject { request: id, retry_after: self.settings.max_retry_after }
        } else {
            Action::Fail(id)
        });
    }

    /// Whether the endpoint list may be used for this request's attempt. If the list lease has expired,
    /// endpoints may have left since. That does not harm a connection that continues mid-flow: the endpoint
    /// that holds the connection serves it while draining.
    fn may_use_list(&self, now: Millis, tracked: &TrackedRequest) -> bool {
        now <= self.list_valid_until || tracked.continues_mid_flow()
    }

    fn pending_request(&self, id: RequestId) -> Option<&TrackedRequest> {
        self.placements.requests.by_id.get(&id).filter(|tracked| tracked.stage == Stage::Pending)
    }

    /// Time until the concurrency limit allows this request's attempt, in ms; zero or less if it is allowed
    /// now. A connection that continues mid-flow needs no set-up.
    fn time_until_attempt_slot(&self, now: Millis, tracked: &TrackedRequest) -> Millis {
        if tracked.continues_mid_flow() {
            return 0.0;
        }
        let attempts_in_flight = self.placements.requests.attempts_in_flight;
        self.concurrency_limit.time_until_slot(now, attempts_in_flight, self.latency_objective(tracked))
    }

    /// Holds a request until the concurrency limit admits it, provided that this is expected early enough for
    /// a set-up before the deadline. The expectation follows from how fast set-ups complete and how many
    /// requests wait.
    fn hold_for_slot(
        &mut self,
        now: Millis,
        id: RequestId,
        slot_wait: Millis,
        is_safe_to_reject: bool,
        actions: &mut Actions,
    ) {
        self.queue.remove(&id);
        let Some(tracked) = self.pending_request(id) else { return };
        let deadline = tracked.request.deadline;
        let objective = self.latency_objective(tracked);
        let attempts_in_flight = self.placements.requests.attempts_in_flight;
        let expected_wait =
            self.concurrency_limit.expected_wait(now, attempts_in_flight, self.queue.len(), objective);
        if now + expected_wait + objective > deadline {
            return self.send_local_reply(id, is_safe_to_reject, actions);
        }
        self.queue.insert(id);
        actions.push(Action::SetTimer { after: slot_wait.min(deadline - now), token: id.0 });
    }

    /// Queries other relays for the location of a connection that arrives mid-flow, since in a large cluster
    /// only few relays know it. Returns whether an answer is awaited; after that wait the Maglev table
    /// decides.
    fn await_location(&mut self, now: Millis, id: RequestId, actions: &mut Actions) -> bool {
        let Some(tracked) = self.placements.requests.by_id.get(&id) else { return false };
        if !tracked.continues_mid_flow() {
            return false;
        }
        let Some(after) = self.cluster.query_location(now, &tracked.request) else { return false };
        actions.push(Action::SetTimer { after, token: id.0 });
        true
    }

    /// Holds a request while the endpoint list may not be used because discovery has not answered. The
    /// request waits for the list for at most its latency objective. When discovery will answer is unknown,
    /// so after that the client gets its answer at once.
    fn wait_for_list(
        &mut self,
        now: Millis,
        id: RequestId,
        permission: &AttemptPermission,
        actions: &mut Actions,
    ) {
        let Some(tracked) = self.placements.requests.by_id.get(&id) else { return };
        let until = tracked.arrived_at + self.latency_objective(tracked);
        if now >= until {
            return self.send_local_reply(id, permission.is_safe_to_reject, actions);
        }
        self.awaiting_list.insert(id);
        actions.push(Action::SetTimer { after: until - now, token: id.0 });
    }

    /// Takes a new end of the list lease, and dispatches the requests that wait for the list.
    pub(super) fn handle_list_lease(&mut self, now: Millis, valid_until: Millis, actions: &mut Actions) {
        self.list_valid_until = valid_until;
        if now > valid_until {
            self.cluster.serve_after_first_poll();
        }
        for id in std::mem::take(&mut self.awaiting_list) {
            self.dispatch(now, id, 0.0, actions);
        }
    }

    /// Handles a request that no endpoint may take now. An endpoint that is ejected, warming up or at its
    /// load limit may take the request soon, and endpoints that failed it may be tried again. Beyond the
    /// latency objective nothing indicates that an endpoint will take the request, so the client is answered
    /// at once.
    fn wait_for_endpoint(
        &mut self,
        now: Millis,
        id: RequestId,
        permission: &AttemptPermission,
        actions: &mut Actions,
    ) {
        let recheck_after = self.settings.connect_timeout / RECHECKS_PER_CONNECT_TIMEOUT;
        let Some(tracked) = self.placements.requests.by_id.get(&id) else { return };
        if now + recheck_after > tracked.arrived_at + self.latency_objective(tracked) {
            return self.send_local_reply(id, permission.is_safe_to_reject, actions);
        }
        self.placements.requests.by_id.entry(id).and_modify(|tracked| tracked.failed_endpoints.clear());
        self.dispatch(now, id, recheck_after, actions);
    }

    /// Starts an attempt at the selected endpoint.
    fn start_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: EndpointId,
        write_by: Millis,
        actions: &mut Actions,
    ) {
        let Some(tracked) = self.placements.requests.by_id.get(&id) else { return };
        let is_retry = tracked.attempts > 0;
        let give_up_at = tracked.request.deadline.min(now + self.attempt_timeout(now, tracked));
        if is_retry {
            self.retry_budget_use.retries.record(now);
        }
        self.placements.requests.update_recent_peak(now, self.settings.warm_up_time);
        self.record_slow_start_send(now, &endpoint);
        self.placements.count_attempt(now, id, endpoint.clone());
        self.concurrency_limit.record_attempt(now, self.random_state);
        actions.push(Action::StartAttempt { request: id, endpoint, give_up_at, write_by });
    }

    /// Time that an attempt may take, in ms. Only the request's deadline limits it if the request can't be
    /// tried again, or if set-ups are slow at all endpoints.
    fn attempt_timeout(&self, now: Millis, tracked: &TrackedRequest) -> Millis {
        let is_unsafe = self.idempotency(&tracked.request) == Idempotency::Unsafe;
        if is_unsafe || self.concurrency_limit.fault_is_common(now) {
            return f64::INFINITY;
        }
        let objective = self.latency_objective(tracked);
        // The time that a slow client handshake used of the set-up time is subtracted for the first attempt.
        let setup_time_used = if tracked.attempts == 0 { tracked.request.setup_time_used } else { 0.0 };
        objective.min((objective - setup_time_used).max(self.settings.connect_timeout))
    }

    /// The queued request with the highest priority per load; among equals, the request that arrived first.
    fn highest_priority_queued(&self) -> Option<RequestId> {
        let requests = &self.placements.requests.by_id;
        let priority = |id: &RequestId| {
            requests.get(id).map_or(f64::INFINITY, |tracked| self.priority_per_load(tracked))
        };
        let by_ascending_priority = |a: &&RequestId, b: &&RequestId| priority(a).total_cmp(&priority(b));
        self.queue.iter().rev().max_by(by_ascending_priority).copied()
    }
}
