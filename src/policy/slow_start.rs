//! Slow start: an endpoint that warms up gets no more than it can bear, from all relays together.
//!
//! Inputs: when an endpoint's process started, the settings' warm-up time and the share of its capacity
//! that it has at first, this relay's load, and the number of relays. Outputs: an endpoint's warm-up
//! factor, whether a request may be sent to it now, and the pause between sends. Relays do not coordinate:
//! each paces its own sends so that the sum of all stays under the rule (`overload_multiple` of the present
//! capacity), since all see like shares of the traffic.

use sandgw_affinity::replication::FULL_MESH_RELAYS;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::api::*;
use super::endpoint_table::Endpoint;
use super::hashing::evenly_spread_point;
use super::load_balancer::LoadBalancer;

/// This relay's own rate of sends to endpoints that warm up, as a multiple of the rate that fills them: few
/// requests are ready to be sent just when they may.
const SEND_RATE_FACTOR: f64 = 1.35;
/// The rate to one such endpoint, as a multiple of its share of the rate to all.
const SINGLE_ENDPOINT_RATE_FACTOR: f64 = 2.5;
/// No span and no denominator is shorter, in ms.
const MIN_SPAN_MS: Millis = 1.0;

/// What this relay remembers of its own sends to endpoints that warm up.
#[derive(Default)]
pub(crate) struct SlowStart {
    /// No request goes to any such endpoint before this.
    pub next_send_at: Millis,
    /// This relay's start: since then it is known what was sent.
    pub relay_started_at: Millis,
}

impl LoadBalancer {
    /// Share of its capacity that an endpoint has at the least, from `cold_capacity_fraction` at its start
    /// to 1 when it is warm.
    pub(super) fn warm_up_factor(&self, now: Millis, endpoint: &Endpoint) -> f64 {
        let initial = self.settings.cold_capacity_fraction.min(1.0);
        let warm_up_time = self.settings.warm_up_time.max(MIN_SPAN_MS);
        let progress = if endpoint.started > 0.0 { (now - endpoint.started) / warm_up_time } else { 1.0 };
        (initial + (1.0 - initial) * progress).clamp(initial, 1.0)
    }

    /// Whether an endpoint is warm.
    pub(super) fn is_warm(&self, now: Millis, endpoint: &Endpoint) -> bool {
        self.warm_up_factor(now, endpoint) >= 1.0
    }

    /// What an endpoint can do at present, in the unit of the list's weights.
    pub(super) fn effective_capacity(&self, now: Millis, endpoint: &Endpoint) -> f64 {
        endpoint.weight * self.warm_up_factor(now, endpoint)
    }

    /// Whether a request may go to an endpoint that warms up. `key_draw` is the client key's number in `[0,
    /// 1)`: the endpoint takes a share of the keys that grows as it warms. `common_interval` is the pause
    /// between sends to all such endpoints, computed where it is needed.
    pub(super) fn admits_slow_start(
        &self,
        now: Millis,
        id: &EndpointId,
        key_draw: f64,
        common_interval: impl Fn() -> Millis,
    ) -> bool {
        let endpoint = &self.placements.endpoints.by_id[id];
        // Many relays send one request each now and then, and the pace alone bounds them: a share of the
        // keys besides would have all others crowd on the endpoints that are warm.
        let is_large_tier = self.settings.relay_count > FULL_MESH_RELAYS;
        let key_share = if is_large_tier { 1.0 } else { self.warm_up_factor(now, endpoint) };
        if key_draw >= key_share {
            return false;
        }
        let own_interval = self.slow_start_interval(now, std::slice::from_ref(id));
        let first_send_at = self.first_slow_start_send(now, endpoint, own_interval, common_interval);
        let next_here = endpoint.last_attempt_at + own_interval / SINGLE_ENDPOINT_RATE_FACTOR;
        now >= self.slow_start.next_send_at.max(first_send_at).max(next_here)
    }

    /// When this relay's first send to an endpoint may be. Each relay has a point of its own within the first
    /// interval: else all would send at once, when the list names the endpoint.
    fn first_slow_start_send(
        &self,
        now: Millis,
        endpoint: &Endpoint,
        own_interval: Millis,
        common_interval: impl Fn() -> Millis,
    ) -> Millis {
        let warm_up_time = self.settings.warm_up_time;
        // A start that lies far ahead is of a wrong clock: it says only that the endpoint may be cold.
        if endpoint.started - now >= warm_up_time {
            return now;
        }
        let seed = xxh3_64_with_seed(&[], endpoint.started.to_bits());
        let phase = evenly_spread_point(seed, self.settings.local_index);
        let known_since = endpoint.started.max(self.slow_start.relay_started_at);
        known_since + phase * own_interval.min(warm_up_time).max(common_interval())
    }

    /// Pause between own sends to those of these endpoints that warm up, in ms: the rate at which endpoints
    /// of their present capacity are filled within a warm-up, by this relay's share of the traffic.
    ///
    /// One budget for all of them: split by endpoint it would be less than one connection in a warm-up.
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

    /// Counts a send to an endpoint, for the pause before the next to one that warms up.
    pub(super) fn record_slow_start_send(&mut self, now: Millis, id: &EndpointId) {
        if !self.is_warm(now, &self.placements.endpoints.by_id[id]) {
            let interval = self.slow_start_interval(now, &self.assignment.ready_endpoints);
            self.slow_start.next_send_at = now + interval;
        }
    }

    /// How long from now no new connection may go to an endpoint that warms up, in ms; negative where it may.
    pub(crate) fn slow_start_pause(&self, now: Millis) -> Millis {
        self.slow_start.next_send_at - now
    }
}
