//! Signals that capacity is scarce, for the decisions about tenants over their quota.

use sandgw_quota::policy::ScarcitySignals;

use super::api::*;
use super::load_balancer::LoadBalancer;

impl LoadBalancer {
    /// Signals that capacity is scarce: set-ups are held back, or no endpoint has known headroom. Whether
    /// file descriptors are scarce is not known here.
    pub(crate) fn scarcity_signals(&self, now: Millis) -> ScarcitySignals {
        let endpoints = &self.placements.endpoints;
        let ready = &self.assignment.ready_endpoints;
        let load_per_endpoint = self.placements.requests.capped_load_per_endpoint(ready.len());
        let has_headroom = |id: &EndpointId| {
            let endpoint = endpoints.by_id.get(id);
            endpoint.is_some_and(|known| known.load + 1.0 <= known.load_limit.current(now, load_per_endpoint))
        };
        ScarcitySignals {
            concurrency_limit_reduced: !self.queue.is_empty() || self.concurrency_limit.fault_is_common(now),
            endpoints: !ready.iter().any(has_headroom) || endpoints.is_widely_slow(now),
            descriptors: false,
        }
    }
}
