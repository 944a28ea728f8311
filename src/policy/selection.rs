//! Selects the endpoint for a request's next attempt.
//!
//! Inputs: the request's candidate order (`group_assignment`), and for each candidate its warm-up, ejection,
//! load limit, load and health. Output: an endpoint, or none if the request has to wait. The normal choice is
//! the first candidate. Every exception moves on to the next candidates in the same order, so that relays
//! that skip the same endpoint also choose the same replacement.
//!
//! An endpoint is excluded for one of these reasons, in the order of the filters. The endpoint
//!
//! 1. is not ready, or has no weight while others have one (`endpoint_table`);
//! 2. is outside the deduplication scope in which a repeat is safe;
//! 3. has already failed this request;
//! 4. is warming up (`slow_start`);
//! 5. is ejected (`outlier`), unless all candidates are;
//! 6. is at its load limit (`load_limit`);
//! 7. is not assigned to the request's group, while an endpoint that is assigned can take the request
//!    (`group_assignment`).
//!
//! An endpoint is not excluded, only ranked lower, if it is slow (`load_limit`), carries more than its
//! bounded load of what all relays hold (known in clusters of more than `FULL_MESH_RELAYS` relays), carries
//! more than an even part of this relay's load, or comes late in the candidate order. Filters 5 to 7 do not
//! apply to a connection that arrives mid-flow. No attempt at all is sent while the concurrency limit is
//! closed (`admission`).

use std::cell::{LazyCell, OnceCell};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::api::*;
use super::endpoint_table::Endpoint;
use super::group_assignment::{CandidateOrder, bounded_load};
use super::hashing::{SLOT_SEED, unit_fraction_of_key};
use super::load_balancer::LoadBalancer;
use super::request_table::TrackedRequest;

/// Multiple of its fair part of this relay's load that an endpoint may carry while no message delays tell
/// which endpoint is slow.
const EVEN_LOAD_FACTOR: f64 = 1.15;
/// Time for which a report of the load of all relays is used, in ms.
const CLUSTER_LOAD_TTL_MS: Millis = 10_000.0;

/// An endpoint that may take the request.
struct Candidate<'a> {
    /// Position in the candidate order, from 0.
    rank: usize,
    id: &'a EndpointId,
    endpoint: &'a Endpoint,
}

/// The inputs of one selection.
struct Selection<'a> {
    balancer: &'a LoadBalancer,
    now: Millis,
    tracked: &'a TrackedRequest,
    idempotency: Idempotency,
    /// Pseudo-random number in `[0, 1)` derived from the client key.
    key_draw: f64,
    /// This relay's mean load per endpoint.
    load_per_endpoint: f64,
    /// Whether the load is too high for all endpoints; computed when first needed.
    widely_slow: OnceCell<bool>,
}

impl LoadBalancer {
    /// Selects the endpoint for a request's next attempt, or none if no endpoint may take the request now.
    /// The Maglev table and the group assignment must be up to date.
    pub(super) fn select_endpoint(
        &self,
        now: Millis,
        tracked: &TrackedRequest,
        idempotency: Idempotency,
    ) -> Option<EndpointId> {
        let selection = Selection {
            balancer: self,
            now,
            tracked,
            idempotency,
            key_draw: unit_fraction_of_key(&tracked.request.client_key()),
            load_per_endpoint: self
                .placements
                .requests
                .capped_load_per_endpoint(self.assignment.ready_endpoints.len()),
            widely_slow: OnceCell::new(),
        };
        selection.select()
    }
}

impl<'a> Selection<'a> {
    fn select(&self) -> Option<EndpointId> {
        let order = self.candidate_order_for_request();
        let mut candidates = self.eligible_candidates(&order);
        let first_eligible = candidates.first().map(|candidate| candidate.id.clone());
        if self.tracked.continues_mid_flow() {
            // If the connection's endpoint is not known, the Maglev table most likely chose the first
            // candidate. Neither ejection nor load matters here.
            return self.balancer.cluster.sticky_endpoint(&self.tracked.request).or(first_eligible);
        }
        candidates.retain(|candidate| !candidate.endpoint.ejection.is_ejected(self.now));
        let Some(first) = candidates.first() else {
            // If all candidates are ejected, the fault is more likely common to them, or lies at this relay,
            // so ejection is ignored.
            return first_eligible;
        };
        let preferred_ranks =
            if first.rank < order.assigned_count { order.assigned_count } else { order.positions.len() };
        candidates.retain(|candidate| self.is_within_load_limit(candidate.endpoint));
        self.retain_preferred(&mut candidates, preferred_ranks);
        self.best(&candidates).map(|candidate| candidate.id.clone())
    }

    /// The request's candidate order. For a client that reconnects because its connection broke or was
    /// migrated, the order is changed: relays that do not know of the fault would send the client to the same
    /// endpoint again and again. Half of the returning clients keep the order, a quarter start one endpoint
    /// further, an eighth two endpoints further, and so on; the endpoints that are passed over follow
    /// directly after the new first one.
    fn candidate_order_for_request(&self) -> CandidateOrder {
        let request = &self.tracked.request;
        let mut order = self.balancer.assignment.candidate_order(request);
        let changes_order =
            request.is_returning && !request.mid_flow && self.balancer.endpoint_fault_score >= 0.0;
        if changes_order && order.positions.len() > 1 && !self.is_widely_slow() {
            let draw = xxh3_64_with_seed(&request.id.0.to_le_bytes(), SLOT_SEED);
            let first_rank = (draw.trailing_ones() as usize).min(order.positions.len() - 1);
            order.positions[..=first_rank].rotate_right(1);
            order.assigned_count = order.assigned_count.max(first_rank + 1);
        }
        order
    }

    /// Candidates that may take the request, whatever their load: those that pass filters 2 to 4.
    fn eligible_candidates(&self, order: &CandidateOrder) -> Vec<Candidate<'a>> {
        let balancer = self.balancer;
        let ready = &balancer.assignment.ready_endpoints;
        let slow_start_interval = LazyCell::new(|| balancer.slow_start_interval(self.now, ready));
        let candidate = |(rank, position): (usize, &usize)| {
            let id = &ready[*position];
            Candidate { rank, id, endpoint: &balancer.placements.endpoints.by_id[id] }
        };
        let is_eligible = |candidate: &Candidate<'_>| {
            let may_repeat_here = self.is_in_deduplication_scope(candidate.endpoint);
            let has_failed = self.tracked.failed_endpoints.contains(candidate.id);
            let takes_load = balancer.is_warm(self.now, candidate.endpoint)
                || balancer.admits_slow_start(self.now, candidate.id, self.key_draw, || *slow_start_interval);
            may_repeat_here && !has_failed && takes_load
        };
        order.positions.iter().enumerate().map(candidate).filter(is_eligible).collect()
    }

    /// Whether an attempt at this endpoint is not an unsafe repeat: the endpoint would recognize an earlier
    /// attempt that may have had an effect.
    fn is_in_deduplication_scope(&self, endpoint: &Endpoint) -> bool {
        let (Idempotency::Keyed { scope, .. }, Some(executed)) =
            (self.idempotency, &self.tracked.possibly_executed)
        else {
            return true;
        };
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => endpoint.zone == executed.zone,
            DeduplicationScope::Cell => endpoint.cell == executed.cell,
        }
    }

    /// Whether an endpoint is within its load limit with this request. An endpoint at its limit gets no
    /// requests until it has worked off what it holds. A limit of less than one connection admits a fraction
    /// of the keys: otherwise many relays would send one connection each.
    fn is_within_load_limit(&self, endpoint: &Endpoint) -> bool {
        let required_headroom = if endpoint.placed_requests.is_empty() {
            self.tracked.load * self.key_draw
        } else {
            self.tracked.load
        };
        endpoint.load + required_headroom <= endpoint.load_limit.current(self.now, self.load_per_endpoint)
    }

    /// Keeps a connection at the endpoints to which its group is assigned. Adding the group to another
    /// endpoint would cost that endpoint more than the connection itself does. That is justified only if none
    /// of the assigned endpoints can take the connection and there is capacity to spare.
    fn retain_preferred(&self, candidates: &mut Vec<Candidate<'a>>, preferred_ranks: usize) {
        let is_preferred = |candidate: &Candidate<'_>| candidate.rank < preferred_ranks;
        let may_copy_group = self.may_balance_by_own_load() || self.knows_cluster_load();
        let preferred_is_suitable = || {
            candidates.iter().any(|candidate| is_preferred(candidate) && self.is_suitable(candidate.endpoint))
        };
        if !may_copy_group || preferred_is_suitable() {
            candidates.retain(is_preferred);
        }
    }

    /// The best candidate: the first that is healthy, below its bounded load and carries no more than an even
    /// part; else the first healthy candidate below its bounded load; else the first healthy candidate; else
    /// the first candidate.
    fn best<'c>(&self, candidates: &'c [Candidate<'a>]) -> Option<&'c Candidate<'a>> {
        let suitable = |candidate: &&Candidate<'_>| self.is_suitable(candidate.endpoint);
        let even =
            |candidate: &&Candidate<'_>| suitable(candidate) && self.is_within_even_load(candidate.endpoint);
        let healthy = |candidate: &&Candidate<'_>| self.is_healthy(candidate.endpoint);
        let best = candidates.iter().find(even).or_else(|| candidates.iter().find(suitable));
        best.or_else(|| candidates.iter().find(healthy)).or(candidates.first())
    }

    fn is_healthy(&self, endpoint: &Endpoint) -> bool {
        endpoint.load_limit.is_healthy(self.now)
    }

    fn is_suitable(&self, endpoint: &Endpoint) -> bool {
        self.is_healthy(endpoint) && self.is_below_bounded_load(endpoint)
    }

    /// Whether an endpoint is below its bounded load, by the load of all relays. If that load is not known,
    /// the endpoint counts as below it. The load of all relays tells more than this relay's part of it.
    fn is_below_bounded_load(&self, endpoint: &Endpoint) -> bool {
        if !self.knows_cluster_load() {
            return true;
        }
        let cluster_load = self.balancer.placements.endpoints.cluster_load;
        let fair_load = cluster_load / self.balancer.assignment.ready_capacity
            * endpoint.weight
            * self.balancer.warm_up_factor(self.now, endpoint);
        endpoint.cluster_load + self.tracked.load <= bounded_load(fair_load)
    }

    /// Whether an endpoint carries no more than an even part of this relay's load. The group assignment knows
    /// the sizes of groups but not which of their clients are connected through this relay: where one
    /// endpoint has too much of the load, the next has less.
    fn is_within_even_load(&self, endpoint: &Endpoint) -> bool {
        if !self.may_balance_by_own_load() {
            return true;
        }
        let placed_load = self.balancer.placements.requests.placed_load.max(1.0);
        let load_per_capacity = placed_load / self.balancer.assignment.ready_capacity;
        let warm_up_factor = self.balancer.warm_up_factor(self.now, endpoint);
        endpoint.load <= EVEN_LOAD_FACTOR * load_per_capacity * endpoint.weight * warm_up_factor + 1.0
    }

    /// Whether the load is too high for all endpoints.
    fn is_widely_slow(&self) -> bool {
        *self.widely_slow.get_or_init(|| self.balancer.placements.endpoints.is_widely_slow(self.now))
    }

    /// Whether load may be balanced by this relay's own load: no message delays are reported that tell which
    /// endpoint is slow, and not so many endpoints are slow that the load is too high for all.
    fn may_balance_by_own_load(&self) -> bool {
        !self.balancer.latency_is_reported && !self.is_widely_slow()
    }

    /// Whether the load of all relays is known.
    fn knows_cluster_load(&self) -> bool {
        self.now - self.balancer.placements.endpoints.cluster_load_at < CLUSTER_LOAD_TTL_MS
    }
}
