//! Signs that places are short, for whoever decides about tenants over their quota.

use sandgw_quota::policy::ScarcitySignals;

use super::api::EndpointId;
use super::load_balancer::LoadBalancer;
use crate::policy::api::Millis;

impl LoadBalancer {
    /// Signs that places are short: the window of set-ups is cut, or no server has room by what is known of it.
    pub(crate) fn scarcity_signals(&self, now: Millis) -> ScarcitySignals {
        let each = self.ledger.per_endpoint(self.ring.len());
        let room =
            |id: &EndpointId| self.ledger.endpoints.get(id).is_some_and(|s| s.load + 1.0 <= s.cap(now, each));
        ScarcitySignals {
            window: !self.queue.is_empty() || self.pace.fault_is_common(now),
            endpoints: !self.ring.iter().any(room) || self.ledger.crowded(now),
            descriptors: false,
        }
    }
}
