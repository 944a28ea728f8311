//! Which request is placed at which endpoint, and the load that follows from it: the changes that concern
//! both tables.
//!
//! Bookkeeping only, and the one place where loads of endpoints and sums over requests are changed together.

use super::api::*;
use super::endpoint_table::EndpointTable;
use super::request_table::{RequestTable, Stage, TrackedRequest};

/// Endpoints and requests, with the load between them kept up to date.
#[derive(Default)]
pub(crate) struct Placements {
    /// The endpoints.
    pub endpoints: EndpointTable,
    /// The requests.
    pub requests: RequestTable,
}

impl Placements {
    /// Counts a request at an endpoint.
    pub fn assign(&mut self, id: RequestId, endpoint_id: EndpointId) {
        let Some(tracked) = self.requests.by_id.get_mut(&id) else { return };
        if let Some(endpoint) = self.endpoints.by_id.get_mut(&endpoint_id) {
            endpoint.placed.insert(id);
            endpoint.load += tracked.load;
            endpoint.cluster_load += tracked.load;
        }
        self.requests.placed_load += tracked.load;
        tracked.endpoint = Some(endpoint_id);
    }

    /// Counts an attempt that is sent now.
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

    /// Takes a request off its endpoint.
    pub fn release(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.by_id.get_mut(&id) else { return };
        let Some(endpoint_id) = tracked.endpoint.take() else { return };
        if let Some(endpoint) = self.endpoints.by_id.get_mut(&endpoint_id) {
            endpoint.placed.remove(&id);
            // Sums of many small numbers drift: an empty endpoint starts again from nothing.
            let is_empty = endpoint.placed.is_empty();
            endpoint.load = if is_empty { 0.0 } else { (endpoint.load - tracked.load).max(0.0) };
            if is_empty && endpoint.state == EndpointState::Removed {
                self.endpoints.by_id.remove(&endpoint_id);
            }
        }
        self.requests.placed_load = (self.requests.placed_load - tracked.load).max(0.0);
    }

    /// Changes what a request counts for, in mean connections.
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

    /// Drops a request and all that was counted for it.
    pub fn remove(&mut self, id: RequestId) {
        self.release(id);
        self.requests.set_stage(id, Stage::Pending);
        self.requests.by_id.remove(&id);
    }

    /// Own requests placed at an endpoint, those of them that are wanted.
    pub fn placed_at(&self, id: &EndpointId, wanted: impl Fn(&TrackedRequest) -> bool) -> Vec<RequestId> {
        let placed = self.endpoints.by_id.get(id).into_iter().flat_map(|endpoint| &endpoint.placed).copied();
        placed.filter(|id| self.requests.by_id.get(id).is_some_and(&wanted)).collect()
    }

    /// Notes since when endpoints are draining. Returns whether one is that was not, and has clients to be
    /// notified.
    pub fn mark_draining(&mut self, now: Millis) -> bool {
        let requests = &self.requests.by_id;
        let needs_notice = |id: &RequestId| requests.get(id).is_some_and(TrackedRequest::needs_drain_notice);
        let mut clients_to_notify = false;
        for endpoint in self.endpoints.by_id.values_mut() {
            if endpoint.state == EndpointState::Ready {
                endpoint.draining_since = None;
            } else if endpoint.draining_since.is_none() {
                endpoint.draining_since = Some(now);
                clients_to_notify |= endpoint.placed.iter().any(needs_notice);
            }
        }
        clients_to_notify
    }
}
