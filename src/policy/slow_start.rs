//! Slow start: an endpoint that is warming up gets no more load than it can bear, from all relays together.
//!
//! Inputs: when the endpoint's process started, the warm-up time and the fraction of its capacity that the
//! endpoint has at first (both from the settings), this relay's load, and the number of relays. Outputs: an
//! endpoint's warm-up factor, whether a request may be sent to the endpoint now, and the interval between
//! sends. The relays do not coordinate: each paces its own sends so that the sum over all relays stays within
//! `overload_multiple` times the endpoint's present capacity. This works because all relays see similar parts
//! of the traffic.

use sandgw_affinity::replication::FULL_MESH_RELAYS;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::api::*;
use super::endpoint_table::Endpoint;
use super::hashing::evenly_spread_point;
use super::load_balancer::LoadBalancer;

/// This relay's rate of sends to endpoints that are warming up, as a multiple of the rate that fills them.
/// The factor is above 1 because few requests are ready at just the moment at which a send is allowed.
const SEND_RATE_FACTOR: f64 = 1.35;
/// The rate of sends to a single endpoint that is warming up, as a multiple of that endpoint's part of the
/// rate of sends to all endpoints that are warming up.
const SINGLE_ENDPOINT_RATE_FACTOR: f64 = 2.5;
/// The shortest warm-up time that is used, in ms: the time is a divisor and must not be 0.
const MIN_WARM_UP_TIME_MS: Millis = 1.0;

/// What this relay remembers of its own sends to endpoints that are warming up.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// No request goes to any endpoint that is warming up before this time.
    pub next_send_at: Millis,
    /// When this relay started. What this relay has sent is known only since then.
    pub relay_started_at: Millis,
}

impl LoadBalancer {
    /// The least fraction of its capacity that an endpoint has now: from `initial_capacity_fraction` at its
    /// start up to 1 when it is warm.
    pub(super) fn warm_up_factor(&self, now: Millis, endpoint: &Endpoint) -> f64 {
        let initial = self.settings.initial_capacity_fraction.min(1.0);
        let warm_up_time = self.settings.warm_up_time.max(MIN_WARM_UP_TIME_MS);
        let progress = if endpoint.started > 0.0 { (now - endpoint.started) / warm_up_time } else { 1.0 };
        (initial + (1.0 - initial) * progress).clamp(initial, 1.0)
    }

    /// Whether an endpoint is warm.
    pub(super) fn is_warm(&self, now: Millis, endpoint: &Endpoint) -> bool {
        self.warm_up_factor(now, endpoint) >= 1.0
    }

    /// The present capacity of an endpoint, in the unit of the list's weights.
    pub(super) fn effective_capacity(&self, now: Millis, endpoint: &Endpoint) -> f64 {
        endpoint.weight * self.warm_up_factor(now, endpoint)
    }

    /// Whether a request may go to an endpoint that is warming up. `key_draw` is the client key's number in
    /// `[0, 1)`: the endpoint takes a fraction of the keys that grows as it warms up. `common_interval`
    /// computes the interval between sends to all endpoints that are warming up; it is called only where it
    /// is needed.
    pub(super) fn admits_slow_start(
        &self,
        now: Millis,
        id: &EndpointId,
        key_draw: f64,
        common_interval: impl Fn() -> Millis,
    ) -> bool {
        let endpoint = &self.placements.endpoints.by_id[id];
        // In a large cluster many relays send one request each from time to time, and the interval between
        // sends alone limits the load. Limiting the fraction of keys as well would crowd all other requests
        // on the warm endpoints.
        let is_large_cluster = self.settings.relay_count > FULL_MESH_RELAYS;
        let key_fraction = if is_large_cluster { 1.0 } else { self.warm_up_factor(now, endpoint) };
        if key_draw >= key_fraction {
            return false;
        }
        let endpoint_interval = self.slow_start_interval(now, std::slice::from_ref(id));
        let first_send_at = self.first_slow_start_send(now, endpoint, endpoint_interval, common_interval);
        let next_send_here_at = endpoint.last_attempt_at + endpoint_interval / SINGLE_ENDPOINT_RATE_FACTOR;
        now >= self.slow_start.next_send_at.max(first_send_at).max(next_send_here_at)
    }

    /// When this relay may first send to an endpoint that is warming up. Each relay has its own point within
    /// the first interval; otherwise all relays would send at once when the list names the endpoint.
    fn first_slow_start_send(
        &self,
        now: Millis,
        endpoint: &Endpoint,
        endpoint_interval: Millis,
        common_interval: impl Fn() -> Millis,
    ) -> Millis {
        let warm_up_time = self.settings.warm_up_time;
        // A start time that lies far in the future comes from a wrong clock. Such a start time shows only
        // that the endpoint may be warming up.
        if endpoint.started - now >= warm_up_time {
            return now;
        }
        let seed = xxh3_64_with_seed(&[], endpoint.started.to_bits());
        let phase = evenly_spread_point(seed, self.settings.local_index);
        let known_since = endpoint.started.max(self.slow_start.relay_started_at);
        known_since + phase * endpoint_interval.min(warm_up_time).max(common_interval())
    }

    /// Interval between this relay's sends to those of the given endpoints that are warming up, in ms. At
    /// this rate, this relay's part of the traffic fills endpoints of their present capacity within one
    /// warm-up time.
    ///
    /// There is one budget for all of these endpoints: split by endpoint, it would be less than one
    /// connection in a warm-up time.
    pub(super) fn slow_start_interval(&self, now: Millis, ids: &[EndpointId]) -> Millis {
        let endpoints = ids.iter().map(|id| &self.placements.endpoints.by_id[id]);
        let factors = endpoints.map(|endpoint| (endpoint.weight, self.warm_up_factor(now, endpoint)));
        let warming = factors.filter(|(_, factor)| *factor < 1.0);
        let capacity: f64 = warming.map(|(weight, factor)| weight * factor).sum();
        let own_load = self.placements.requests.recent_peak_load.max(1.0);
        let fair_load = own_load * capacity / self.assignment.total_weight.max(f64::MIN_POSITIVE);
        let sends_per_warm_up = SEND_RATE_FACTOR * fair_load * self.settings.overload_multiple;
        self.settings.warm_up_time / sends_per_warm_up.max(f64::MIN_POSITIVE)
    }

    /// Records a send to an endpoint. If the endpoint is warming up, this sets when the next send to any such
    /// endpoint may be.
    pub(super) fn record_slow_start_send(&mut self, now: Millis, id: &EndpointId) {
        if !self.is_warm(now, &self.placements.endpoints.by_id[id]) {
            let interval = self.slow_start_interval(now, &self.assignment.ready_endpoints);
            self.slow_start.next_send_at = now + interval;
        }
    }

    /// How long from now no new connection may go to an endpoint that is warming up, in ms; negative if a
    /// connection may go there now.
    pub(crate) fn slow_start_pause(&self, now: Millis) -> Millis {
        self.slow_start.next_send_at - now
    }
}
