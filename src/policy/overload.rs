//! Evaluates measurements of established connections, and decides which clients an overloaded endpoint sheds.
//!
//! Input: the event [`Event::Measured`](super::api::Event::Measured), with a connection's load or the time
//! that a message takes at the connection's endpoint. Outputs: the loads of requests, the load limits of
//! endpoints, and from time to time a client that is asked to reconnect because its endpoint is overloaded.

use super::api::*;
use super::attempt_outcome::OVERLOAD_DECREASE_FACTOR;
use super::estimates::move_toward;
use super::load_balancer::LoadBalancer;
use super::request_table::TrackedRequest;

/// A message is slow if it takes longer than its latency objective divided by this. The endpoint's load limit
/// is then set to its present load.
const SLOW_MESSAGE_DIVISOR: f64 = 3.0;
/// Probability that a report of an overloaded endpoint sheds one client, for each mean connection of this
/// relay's load there: a client is certain to be shed from a load of 2.0 on. The probability follows this
/// relay's own load, so that many relays together do not empty the endpoint.
const SHED_PROBABILITY_PER_LOAD: f64 = 0.5;
/// Step by which `endpoint_fault_score` moves toward 1 with each shed client, as a fraction of the remaining
/// distance.
const SHED_FAULT_STEP: f64 = 1.0 / 4.0;

impl LoadBalancer {
    /// Handles a measurement of an established connection.
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

    /// Records a connection's load, in work (ms) a second. It counts as a multiple of the mean of all
    /// reported loads.
    fn record_load(&mut self, id: RequestId, load: f64) {
        if !self.placements.requests.by_id.contains_key(&id) {
            return;
        }
        self.reported_work.record(load);
        if let Some(mean) = self.reported_work.mean() {
            self.placements.set_load(id, load / mean);
        }
    }

    /// Handles a message that takes `delay` ms at this connection's endpoint. The endpoint is slow if the
    /// delay exceeds a part of the latency objective, and overloaded if it exceeds the whole objective.
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
            // The limit is reduced further the more the delay exceeds the objective.
            let factor = OVERLOAD_DECREASE_FACTOR.min(2.0 * objective / delay);
            endpoint.load_limit.record_overload(now, load_per_endpoint, endpoint.load, factor);
            let own_load = endpoint.load;
            self.shed_client(&endpoint_id, own_load, actions);
        }
    }

    /// Asks a client of an overloaded endpoint to reconnect, with a probability that follows this relay's
    /// load there. The client is the one whose connection has the lowest priority for the load that it
    /// brings: while the endpoint is overloaded, none of its connections is of use.
    fn shed_client(&mut self, endpoint_id: &EndpointId, own_load: f64, actions: &mut Actions) {
        if self.random() >= SHED_PROBABILITY_PER_LOAD * own_load {
            return;
        }
        let requests = &self.placements.requests.by_id;
        let priority = |id: &RequestId| self.priority_per_load(&requests[id]);
        let established = self.placements.placed_at(endpoint_id, TrackedRequest::is_established);
        let lowest_priority = established.into_iter().min_by(|a, b| priority(a).total_cmp(&priority(b)));
        actions.extend(lowest_priority.map(Action::Migrate));
        // The end of the connection moves the score once more; the two steps together stand for one fault of
        // the endpoint.
        move_toward(&mut self.endpoint_fault_score, 1.0, SHED_FAULT_STEP);
    }

    /// The shortest message latency objective of any class, in ms; infinite if no class has one.
    fn shortest_message_objective(&self) -> Millis {
        let objectives = self.settings.classes.iter().filter_map(|class| class.message_latency_objective);
        objectives.fold(f64::INFINITY, f64::min)
    }
}
