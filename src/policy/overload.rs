//! What measurements of established connections say of their endpoints, and which clients an overloaded
//! endpoint sheds.
//!
//! Input: the event [`Event::Measured`](super::api::Event::Measured): a connection's load, or how long a
//! message takes at its endpoint. Outputs: loads of requests, endpoints' load limits, and now and then a
//! client that is asked to reconnect because its endpoint is overloaded.

use super::api::*;
use super::attempt_outcome::OVERLOAD_DECREASE;
use super::estimates::move_toward;
use super::load_balancer::LoadBalancer;
use super::request_table::TrackedRequest;

/// Divisor of the message objective over which a message counts as slow: the endpoint is to take no more
/// then.
const SLOW_MESSAGE_DIVISOR: f64 = 3.0;
/// Probability with which a report of an overloaded endpoint sheds one client, for each mean connection of
/// this relay's load there: it is certain from 2.0 on. It follows the own load, so that many relays
/// together do not empty the endpoint.
const SHED_PROBABILITY_PER_LOAD: f64 = 0.5;
/// Part of the way that the score of endpoints' faults moves with a client that is shed.
const SHED_FAULT_STEP: f64 = 1.0 / 4.0;

impl LoadBalancer {
    /// Takes a measurement of an established connection.
    pub(super) fn handle_measurement(
        &mut self,
        now: Millis,
        id: RequestId,
        measurement: Measurement,
        actions: &mut Actions,
    ) {
        match measurement {
            Measurement::Load(load) => self.record_load(id, load),
            Measurement::MessageDelay(delay) => self.record_message_delay(now, id, delay, actions),
        }
    }

    /// A connection's load, in work (ms) a second, counts as a multiple of the mean of all reported.
    fn record_load(&mut self, id: RequestId, load: f64) {
        if !self.placements.requests.by_id.contains_key(&id) {
            return;
        }
        self.reported_work.record(load);
        if let Some(mean) = self.reported_work.mean() {
            self.placements.set_load(id, load / mean);
        }
    }

    /// A message takes `delay` ms at this connection's endpoint: over a part of the objective it is slow,
    /// over the whole it is overloaded.
    fn record_message_delay(&mut self, now: Millis, id: RequestId, delay: Millis, actions: &mut Actions) {
        let Some(tracked) = self.placements.requests.by_id.get(&id) else { return };
        self.latency_is_reported = true;
        let objective = self.shortest_message_objective();
        let Some(endpoint_id) = tracked.endpoint.clone().filter(|_| delay > objective / SLOW_MESSAGE_DIVISOR)
        else {
            return;
        };
        let load_per_endpoint =
            self.placements.requests.capped_load_per_endpoint(self.assignment.ready_endpoints.len());
        let Some(endpoint) = self.placements.endpoints.by_id.get_mut(&endpoint_id) else { return };
        endpoint.load_limit.record_slow(now, load_per_endpoint, endpoint.load, true);
        if delay > objective {
            // The further the delay is over the objective, the further the limit is cut.
            let factor = OVERLOAD_DECREASE.min(2.0 * objective / delay);
            endpoint.load_limit.record_overload(now, load_per_endpoint, endpoint.load, factor);
            let own_load = endpoint.load;
            self.shed_client(&endpoint_id, own_load, actions);
        }
    }

    /// Asks a client of an overloaded endpoint to reconnect, as often as the rate allows: the one whose
    /// connection is worth least for the load it brings. Nothing on this endpoint is worth anything as it
    /// is.
    fn shed_client(&mut self, endpoint_id: &EndpointId, own_load: f64, actions: &mut Actions) {
        if self.random() >= SHED_PROBABILITY_PER_LOAD * own_load {
            return;
        }
        let requests = &self.placements.requests.by_id;
        let priority = |id: &RequestId| self.priority_per_load(&requests[id]);
        let established = self.placements.placed_at(endpoint_id, TrackedRequest::is_established);
        let lowest = established.into_iter().min_by(|a, b| priority(a).total_cmp(&priority(b)));
        actions.extend(lowest.map(Action::Migrate));
        // The connection's end will count once more: both together are a fault of the endpoint.
        move_toward(&mut self.endpoint_fault_score, 1.0, SHED_FAULT_STEP);
    }

    /// The shortest time that any class wants its messages answered in, in ms; infinite without one.
    fn shortest_message_objective(&self) -> Millis {
        let objectives = self.settings.classes.iter().filter_map(|class| class.message_latency_objective);
        objectives.fold(f64::INFINITY, f64::min)
    }
}
