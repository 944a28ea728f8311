//! Which clients are asked to reconnect because their endpoint carries too much of the cluster's load. One
//! of three causes of a migration, beside `drain` and `overload`.
//!
//! Input: what all relays hold at each endpoint, in mean connections, whenever it is reported anew. Output:
//! a share of the own clients of endpoints that hold more than their fair load
//! (`sandgw_cluster::rebalance`). Nobody is moved while set-ups queue, while an endpoint drains, or by a
//! report that only few relays are in.

use sandgw_cluster::rebalance::{EndpointLoad, migration_fractions};

use super::api::*;
use super::load_balancer::LoadBalancer;

/// A report is ignored whose total is below this part of the own load times the number of relays: it comes
/// of few of them, since its collector has just started.
const MIN_REPORTING_PART: f64 = 0.25;
/// A connection whose attempt was sent within this span, in ms, is not asked.
const SETTLING_TIME_MS: Millis = 4000.0;

impl LoadBalancer {
    /// Asks some own clients of endpoints that carry too much to reconnect, in calm times.
    pub(super) fn rebalance(&mut self, now: Millis, actions: &mut Actions) {
        if !self.may_rebalance() {
            return;
        }
        let ready = self.assignment.ready_endpoints.iter().map(|id| &self.placements.endpoints.by_id[id]);
        let loads: Vec<EndpointLoad> = ready
            .map(|endpoint| EndpointLoad {
                load: endpoint.cluster_load,
                capacity: self.effective_capacity(now, endpoint),
            })
            .collect();
        let settled_before = now - SETTLING_TIME_MS;
        for (position, fraction) in migration_fractions(&loads).into_iter().enumerate() {
            if fraction <= 0.0 {
                continue;
            }
            let id = &self.assignment.ready_endpoints[position];
            let clients = self.placements.placed_at(id, |tracked| {
                tracked.is_established() && tracked.attempt_sent_at < settled_before
            });
            actions.extend(clients.into_iter().filter(|_| self.random() < fraction).map(Action::Migrate));
        }
    }

    fn may_rebalance(&self) -> bool {
        let own_load = self.placements.requests.placed_load;
        let least_reported = own_load * MIN_REPORTING_PART * f64::from(self.settings.relay_count);
        let is_of_most_relays = self.placements.endpoints.cluster_load >= least_reported;
        is_of_most_relays
            && !self.concurrency_limit.latest_met_queue()
            && self.placements.endpoints.none_leaving()
    }
}
