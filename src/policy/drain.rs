//! Which clients are asked to reconnect because their endpoint drains. One of three causes of a migration,
//! beside `overload` and `rebalance`.
//!
//! Inputs: since when endpoints are listed as draining or removed, and their established connections whose
//! clients the endpoint does not notify itself. Output: the clients to be asked now, evenly over
//! [`NOTICE_SPAN_MS`] after the list said so, since all of them at once would fall on few other endpoints.
//! One row of timers serves all endpoints.

use super::api::*;
use super::load_balancer::{DRAIN_TIMER, LoadBalancer};
use super::request_table::TrackedRequest;

/// All clients of a draining endpoint are asked within this span of the notice.
const NOTICE_SPAN_MS: Millis = 1000.0;
/// Span between two steps.
const STEP_MS: Millis = 100.0;

impl LoadBalancer {
    /// Starts the steps, if an endpoint has begun to drain that has clients to be asked, and none are under
    /// way.
    pub(super) fn start_drain_steps(&mut self, now: Millis, actions: &mut Actions) {
        if self.placements.mark_draining(now) && !self.drain_timer_is_set {
            self.set_drain_timer(actions);
        }
    }

    /// One step: asks the next share of the clients of endpoints that drain to reconnect.
    pub(super) fn migrate_draining_clients(&mut self, now: Millis, actions: &mut Actions) {
        let mut has_more = false;
        for (id, endpoint) in &self.placements.endpoints.by_id {
            let Some(since) = endpoint.draining_since else { continue };
            let asks_now =
                |tracked: &TrackedRequest| tracked.is_established() && tracked.needs_drain_notice();
            let clients = self.placements.placed_at(id, asks_now);
            let count = clients_of_step(clients.len(), since + NOTICE_SPAN_MS - now);
            actions.extend(clients.into_iter().take(count).map(Action::Migrate));
            // A request that is still being set up there will be established later.
            has_more |= !self.placements.placed_at(id, TrackedRequest::needs_drain_notice).is_empty();
        }
        self.drain_timer_is_set = false;
        if has_more {
            self.set_drain_timer(actions);
        }
    }

    fn set_drain_timer(&mut self, actions: &mut Actions) {
        self.drain_timer_is_set = true;
        actions.push(Action::SetTimer { after: STEP_MS, token: DRAIN_TIMER });
    }
}

/// How many of so many clients are asked in this step, with `time_left` ms for all of them.
fn clients_of_step(clients: usize, time_left: Millis) -> usize {
    let steps_left = (time_left / STEP_MS).floor().max(1.0);
    (clients as f64 / steps_left).ceil() as usize
}
