//! When a request is sent on, held or rejected.
//!
//! Inputs: a queued request, how many attempts are out, the concurrency limit on set-ups
//! (`sandgw_cluster`), and what `retry` and `selection` say. Outputs: an attempt, a timer after which the
//! request is looked at again, or its final answer. A request that can't be served in time is answered at
//! once, so that its client knows and can retry. Only one that requests of a higher priority overtake again
//! and again may be held until its deadline.
//!
//! A request gets its final answer here because, in this order:
//! 1. another attempt is not allowed ([`LoadBalancer::dispatch`], `retry`): its deadline has passed, it may
//!    have run and a repeat would not be recognized, the retry budget is spent, or it has had all its
//!    attempts;
//! 2. its turn at the concurrency limit is not expected before a set-up would be too late
//!    ([`LoadBalancer::hold_for_turn`]);
//! 3. no endpoint may take it within its latency objective, or the list may not be used so long
//!    ([`LoadBalancer::wait_for_endpoint`], [`LoadBalancer::wait_for_list`]).
//!
//! It is a rejection where a retry of the client is harmless, else a failure. Elsewhere: a connection that
//! ends without its client's doing fails (`attempt_outcome`); the core rejects requests of tenants over
//! their quota, and the driver those that there is no descriptor for.

use super::api::*;
use super::load_balancer::LoadBalancer;
use super::request_table::{Stage, TrackedRequest};
use super::retry::AttemptPermission;

/// How often within a connect time-out a request without an endpoint looks for one again.
const RECHECKS_PER_CONNECT_TIMEOUT: f64 = 4.0;

impl LoadBalancer {
    /// Sends a queued request on, `delay` ms from now, holds it, or gives its final answer.
    pub(super) fn dispatch(&mut self, now: Millis, id: RequestId, delay: Millis, actions: &mut Actions) {
        let within_budget = self.is_within_retry_budget(now);
        let Some(tracked) = self.queued(id) else { return };
        let permission = self.attempt_permission(now, tracked, delay, within_budget);
        if !permission.is_allowed {
            return self.answer_finally(id, permission.is_safe_to_reject, actions);
        }
        if delay > 0.0 {
            return actions.push(Action::SetTimer { after: delay, token: id.0 });
        }
        let turn_in = self.time_to_turn(now, tracked);
        if turn_in > 0.0 {
            return self.hold_for_turn(now, id, turn_in, permission.is_safe_to_reject, actions);
        }
        self.queue.remove(&id);
        self.update_assignment(now);
        if self.await_location(now, id, actions) {
            return;
        }
        let Some(tracked) = self.queued(id) else { return };
        if !self.may_use_list(now, tracked) {
            return self.wait_for_list(now, id, &permission, actions);
        }
        match self.select_endpoint(now, tracked, self.idempotency(&tracked.request)) {
            Some(endpoint) => self.start_attempt(now, id, endpoint, permission.begin_by, actions),
            None => self.wait_for_endpoint(now, id, &permission, actions),
        }
    }

    /// Sends queued requests on as far as the concurrency limit allows, those of the highest priority first.
    pub(super) fn dispatch_queue(&mut self, now: Millis, actions: &mut Actions) {
        while let Some(id) = self.highest_priority_queued() {
            let requests = &self.placements.requests;
            let objective = requests.by_id.get(&id).map_or(0.0, |tracked| self.latency_objective(tracked));
            if self.concurrency_limit.time_until_slot(now, requests.attempts_out, objective) > 0.0 {
                return;
            }
            self.queue.remove(&id);
            self.dispatch(now, id, 0.0, actions);
        }
    }

    /// The final answer of a request that no endpoint is to get: rejected where a retry is harmless, else
    /// failed.
    fn answer_finally(&mut self, id: RequestId, is_safe_to_reject: bool, actions: &mut Actions) {
        self.forget(id);
        actions.push(if is_safe_to_reject {
            Action::Reject { request: id, retry_after: self.settings.max_retry_after }
        } else {
            Action::Fail(id)
        });
    }

    /// Whether the list may be used for this request's attempt. Its endpoints may have left otherwise, which
    /// is no harm to a connection that continues mid-flow: the one that holds it serves it while it drains.
    fn may_use_list(&self, now: Millis, tracked: &TrackedRequest) -> bool {
        now <= self.list_valid_until || tracked.continues_mid_flow()
    }

    fn queued(&self, id: RequestId) -> Option<&TrackedRequest> {
        self.placements.requests.by_id.get(&id).filter(|tracked| tracked.stage == Stage::Pending)
    }

    /// In how long the concurrency limit allows this request's attempt, in ms: not positive where it does
    /// now. A connection that continues mid-flow sets nothing up.
    fn time_to_turn(&self, now: Millis, tracked: &TrackedRequest) -> Millis {
        if tracked.continues_mid_flow() {
            return 0.0;
        }
        let attempts_out = self.placements.requests.attempts_out;
        self.concurrency_limit.time_until_slot(now, attempts_out, self.latency_objective(tracked))
    }

    /// Holds a request until its turn, only while that is expected in time for a set-up: by how fast
    /// set-ups go, and how many requests wait.
    fn hold_for_turn(
        &mut self,
        now: Millis,
        id: RequestId,
        turn_in: Millis,
        is_safe_to_reject: bool,
        actions: &mut Actions,
    ) {
        self.queue.remove(&id);
        let Some(tracked) = self.queued(id) else { return };
        let deadline = tracked.request.deadline;
        let objective = self.latency_objective(tracked);
        let attempts_out = self.placements.requests.attempts_out;
        let expected_wait =
            self.concurrency_limit.expected_wait(now, attempts_out, self.queue.len(), objective);
        if now + expected_wait + objective > deadline {
            return self.answer_finally(id, is_safe_to_reject, actions);
        }
        self.queue.insert(id);
        actions.push(Action::SetTimer { after: turn_in.min(deadline - now), token: id.0 });
    }

    /// In a large cluster few relays know where a connection is: asks them for one that arrives mid-flow.
    /// Returns whether their answer is awaited; after that the Maglev table decides.
    fn await_location(&mut self, now: Millis, id: RequestId, actions: &mut Actions) -> bool {
        let Some(tracked) = self.placements.requests.by_id.get(&id) else { return false };
        if !tracked.continues_mid_flow() {
            return false;
        }
        let Some(after) = self.cluster.query_location(now, &tracked.request) else { return false };
        actions.push(Action::SetTimer { after, token: id.0 });
        true
    }

    /// The list may not be used until discovery has answered. It is waited for within the latency objective;
    /// beyond that nothing says when it will: the client is answered at once.
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
            return self.answer_finally(id, permission.is_safe_to_reject, actions);
        }
        self.awaiting_list.insert(id);
        actions.push(Action::SetTimer { after: until - now, token: id.0 });
    }

    /// The list may be used until another time: requests that wait for it are looked at again.
    pub(super) fn handle_list_lease(&mut self, now: Millis, valid_until: Millis, actions: &mut Actions) {
        self.list_valid_until = valid_until;
        if now > valid_until {
            self.cluster.serve_after_first_poll();
        }
        for id in std::mem::take(&mut self.awaiting_list) {
            self.dispatch(now, id, 0.0, actions);
        }
    }

    /// No endpoint may take the request. One that is ejected, warming up or at its load limit may do so
    /// soon, and those that failed the request may be tried again; beyond the latency objective nothing
    /// says that one will: the client is answered at once.
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
            return self.answer_finally(id, permission.is_safe_to_reject, actions);
        }
        self.placements.requests.by_id.entry(id).and_modify(|tracked| tracked.failed_endpoints.clear());
        self.dispatch(now, id, recheck_after, actions);
    }

    /// Starts an attempt at an endpoint.
    fn start_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        endpoint: EndpointId,
        begin_by: Millis,
        actions: &mut Actions,
    ) {
        let Some(tracked) = self.placements.requests.by_id.get(&id) else { return };
        let is_retry = tracked.attempts > 0;
        let until = tracked.request.deadline.min(now + self.attempt_timeout(now, tracked));
        if is_retry {
            self.retry_budget_use.retries.record(now);
        }
        self.placements.requests.update_recent_peak(now, self.settings.warm_up_time);
        self.record_slow_start_send(now, &endpoint);
        self.placements.count_attempt(now, id, endpoint.clone());
        self.concurrency_limit.record_attempt(now, self.random_state);
        actions.push(Action::StartAttempt { request: id, endpoint, until, begin_by });
    }

    /// How long an attempt may take, in ms. What can't be tried again is waited for; a set-up that is slow
    /// everywhere is too.
    fn attempt_timeout(&self, now: Millis, tracked: &TrackedRequest) -> Millis {
        let is_unsafe = self.idempotency(&tracked.request) == Idempotency::Unsafe;
        if is_unsafe || self.concurrency_limit.fault_is_common(now) {
            return f64::INFINITY;
        }
        let objective = self.latency_objective(tracked);
        // What a slow handshake has used of the set-up time is gone, for the first attempt.
        let time_used = if tracked.attempts == 0 { tracked.request.setup_time_used } else { 0.0 };
        objective.min((objective - time_used).max(self.settings.connect_timeout))
    }

    /// The queued request that is worth most for the load it brings; of equals the one that arrived first.
    fn highest_priority_queued(&self) -> Option<RequestId> {
        let requests = &self.placements.requests.by_id;
        let priority = |id: &RequestId| {
            requests.get(id).map_or(f64::INFINITY, |tracked| self.priority_per_load(tracked))
        };
        let by_priority = |a: &&RequestId, b: &&RequestId| priority(a).total_cmp(&priority(b));
        self.queue.iter().rev().max_by(by_priority).copied()
    }
}
