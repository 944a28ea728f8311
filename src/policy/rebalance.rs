//! Decides which clients are asked to reconnect because their endpoint carries too much of the cluster's
//! load. This is one of the three causes of a migration, beside `drain` and `overload`.
//!
//! Input: the load of all relays at each endpoint, in mean connections, whenever a new report of it arrives.
//! Output: a fraction of this relay's clients at the endpoints that carry more than their fair load
//! (`sandgw_cluster::rebalance`). No client is migrated while set-ups queue, while an endpoint is draining,
//! or if the report covers only few relays.

use sandgw_cluster::rebalance::{EndpointLoad, migration_fractions};

use super::api::*;
use super::load_balancer::LoadBalancer;

/// A report of the load of all relays is ignored if its total is below this fraction of this relay's load
/// times the number of relays: such a report covers few relays, because its collector has just started.
const MIN_REPORTED_FRACTION: f64 = 0.25;
/// The client of a connection whose attempt was sent within this span, in ms, is not asked to reconnect.
const SETTLING_TIME_MS: Millis = 4000.0;

impl LoadBalancer {
    /// Asks some of this relay's clients at endpoints that carry too much to reconnect, unless the cluster is
    /// busy or changing.
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
        let min_reported_load = own_load * MIN_REPORTED_FRACTION * f64::from(self.settings.relay_count);
        let covers_enough_relays = self.placements.endpoints.cluster_load >= min_reported_load;
        covers_enough_relays
            && !self.concurrency_limit.latest_setup_was_queued()
            && self.placements.endpoints.all_ready()
    }
}
