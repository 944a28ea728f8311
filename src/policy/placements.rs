//! Placement of requests at endpoints, and the resulting load: the updates that affect both tables.
//!
//! This module only keeps records. It is the only place where the loads of endpoints and the sums over
//! requests change together.

use super::api::*;
use super::endpoint_table::EndpointTable;
use super::request_table::{RequestTable, Stage, TrackedRequest};

/// The endpoints and requests, with the load of requests at endpoints kept up to date.
#[derive(Default)]
pub(crate) struct Placements {
    /// The endpoints.
    pub endpoints: EndpointTable,
    /// The requests.
    pub requests: RequestTable,
}

impl Placements {
    /// Places a request at an endpoint and counts its load there.
    pub fn assign(&mut self, id: RequestId, endpoint_id: EndpointId) {
        let Some(tracked) = self.requests.by_id.get_mut(&id) else { return };
        if let Some(endpoint) = self.endpoints.by_id.get_mut(&endpoint_id) {
            endpoint.placed_requests.insert(id);
            endpoint.load += tracked.load;
            endpoint.cluster_load += tracked.load;
        }
        self.requests.placed_load += tracked.load;
        tracked.endpoint = Some(endpoint_id);
    }

    /// Counts an attempt that is sent now, and places its request at the endpoint.
    pub fn count_attempt(&mut self, now: Millis, id: RequestId, endpoint_id: EndpointId) {
        if let Some(tracked) = self.requests.by_id.get_mut(&id) {
            tracked.attempts += 1;
            tracked.attempt_sent_at = now;
        }
        if let Some(endpoint) = self.endpoints.by_id.get_mut(&endpoint_id) {
            endpoint.last_attempt_at = now;
        }
        self.requests.set_stage(id, Stage::Attempting);
        self.assign(id, endpoint_id);
    }

    /// Removes a request and its load from its endpoint.
    pub fn release(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.by_id.get_mut(&id) else { return };
        let Some(endpoint_id) = tracked.endpoint.take() else { return };
        if let Some(endpoint) = self.endpoints.by_id.get_mut(&endpoint_id) {
            endpoint.placed_requests.remove(&id);
            // A sum of many small numbers accumulates rounding errors, so an empty endpoint is reset to zero.
            let is_empty = endpoint.placed_requests.is_empty();
            endpoint.load = if is_empty { 0.0 } else { (endpoint.load - tracked.load).max(0.0) };
            if is_empty && endpoint.state == EndpointState::Removed {
                self.endpoints.by_id.remove(&endpoint_id);
            }
        }
        self.requests.placed_load = (self.requests.placed_load - tracked.load).max(0.0);
    }

    /// Changes the load that a request counts for, in mean connections.
    pub fn set_load(&mut self, id: RequestId, load: f64) {
        let Some(tracked) = self.requests.by_id.get_mut(&id) else { return };
        let change = load - tracked.load;
        tracked.load = load;
        let Some(endpoint_id) = &tracked.endpoint else { return };
        if let Some(endpoint) = self.endpoints.by_id.get_mut(endpoint_id) {
            endpoint.load = (endpoint.load + change).max(0.0);
        }
        self.requests.placed_load = (self.requests.placed_load + change).max(0.0);
    }

    /// Removes a request and everything that was counted for it.
    pub fn remove(&mut self, id: RequestId) {
        self.release(id);
        self.requests.set_stage(id, Stage::Pending);
        self.requests.by_id.remove(&id);
    }

    /// Requests of this relay that are placed at an endpoint and match `predicate`.
    pub fn placed_at(&self, id: &EndpointId, predicate: impl Fn(&TrackedRequest) -> bool) -> Vec<RequestId> {
        let placed =
            self.endpoints.by_id.get(id).into_iter().flat_map(|endpoint| &endpoint.placed_requests).copied();
        placed.filter(|id| self.requests.by_id.get(id).is_some_and(&predicate)).collect()
    }

    /// Records when endpoints began to drain. Returns whether an endpoint has just begun to drain and has
    /// clients to be notified.
    pub fn mark_draining(&mut self, now: Millis) -> bool {
        let requests = &self.requests.by_id;
        let needs_notice = |id: &RequestId| requests.get(id).is_some_and(TrackedRequest::needs_drain_notice);
        let mut has_clients_to_notify = false;
        for endpoint in self.endpoints.by_id.values_mut() {
            if endpoint.state == EndpointState::Ready {
                endpoint.draining_since = None;
            } else if endpoint.draining_since.is_none() {
                endpoint.draining_since = Some(now);
                has_clients_to_notify |= endpoint.placed_requests.iter().any(needs_notice);
            }
        }
        has_clients_to_notify
    }
}
