//! The only place of these tests that reads the load balancer's internals.

use std::collections::BTreeSet;

use crate::policy::api::RequestId;
use crate::relay::Relay;

/// What a relay's load balancer has recorded of requests and connections.
pub(super) struct BalancerState {
    /// All that it knows.
    pub(super) tracked: Vec<RequestId>,
    pub(super) queued: BTreeSet<RequestId>,
    /// Attempts that are out.
    pub(super) attempting: usize,
    /// Load of all attempts and connections.
    pub(super) load: f64,
    /// Attempts and connections at all endpoints.
    pub(super) placed: usize,
    /// Nothing is recorded of any connection.
    pub(super) at_rest: bool,
}

pub(super) fn balancer_state(relay: &Relay) -> BalancerState {
    let load_balancer = &relay.load_balancer;
    let requests = &load_balancer.placements.requests;
    let endpoints = &load_balancer.placements.endpoints.by_id;
    BalancerState {
        tracked: requests.by_id.keys().copied().collect(),
        queued: load_balancer.queue.iter().copied().collect(),
        attempting: requests.attempts_in_flight as usize,
        load: requests.placed_load,
        placed: endpoints.values().map(|endpoint| endpoint.placed_requests.len()).sum(),
        at_rest: load_balancer.at_rest(),
    }
}
