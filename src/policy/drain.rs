//! Decides which clients are asked to reconnect because their endpoint is draining. This is one of the three
//! causes of a migration, beside `overload` and `rebalance`.
//!
//! Inputs: since when each endpoint is listed as draining or removed, and its established connections whose
//! clients the endpoint does not notify itself. Output: the clients to ask now. They are spread evenly over
//! [`MIGRATION_SPAN_MS`] after the list marked the endpoint, because all of them at once would load the few
//! other endpoints too much. One timer serves all endpoints.

use super::api::*;
use super::load_balancer::{DRAIN_TIMER, LoadBalancer};
use super::request_table::TrackedRequest;

/// All clients of a draining endpoint are asked to reconnect within this span after it is listed as draining.
const MIGRATION_SPAN_MS: Millis = 1000.0;
/// Interval between two steps, in each of which a part of the clients of draining endpoints is asked to
/// reconnect.
const STEP_INTERVAL_MS: Millis = 100.0;

impl LoadBalancer {
    /// Starts the steps if an endpoint has begun to drain, it has clients to ask, and no step is scheduled
    /// yet.
    pub(super) fn start_drain_steps(&mut self, now: Millis, actions: &mut Actions) {
        if self.placements.mark_draining(now) && !self.drain_timer_is_set {
            self.set_drain_timer(actions);
        }
    }

    /// Performs one step: asks the next part of the clients of draining endpoints to reconnect.
    pub(super) fn migrate_draining_clients(&mut self, now: Millis, actions: &mut Actions) {
        let mut has_more = false;
        for (id, endpoint) in &self.placements.endpoints.by_id {
            let Some(draining_since) = endpoint.draining_since else { continue };
            let is_due_now =
                |tracked: &TrackedRequest| tracked.is_established() && tracked.needs_drain_notice();
            let clients = self.placements.placed_at(id, is_due_now);
            let count = clients_to_ask_in_step(clients.len(), draining_since + MIGRATION_SPAN_MS - now);
            actions.extend(clients.into_iter().take(count).map(Action::Migrate));
            // A request that is still being set up at the endpoint becomes established later and is asked
            // then.
            has_more |= !self.placements.placed_at(id, TrackedRequest::needs_drain_notice).is_empty();
        }
        self.drain_timer_is_set = false;
        if has_more {
            self.set_drain_timer(actions);
        }
    }

    fn set_drain_timer(&mut self, actions: &mut Actions) {
        self.drain_timer_is_set = true;
        actions.push(Action::SetTimer { after: STEP_INTERVAL_MS, token: DRAIN_TIMER });
    }
}

/// How many of the remaining clients are asked in this step, if all of them are to be asked within
/// `time_left` ms.
fn clients_to_ask_in_step(remaining_clients: usize, time_left: Millis) -> usize {
    let steps_left = (time_left / STEP_INTERVAL_MS).floor().max(1.0);
    (remaining_clients as f64 / steps_left).ceil() as usize
}
