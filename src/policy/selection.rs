//! Which endpoint a request's next attempt goes to.
//!
//! Inputs: the request's candidate order (`group_assignment`), and of each candidate its warm-up, ejection,
//! load limit, load and health. Output: one endpoint, or none where the request has to wait. The ordinary
//! choice is the first candidate; every exception takes the next ones in the same order, so that relays
//! that skip an endpoint alike also choose alike.
//!
//! An endpoint that gets nothing is excluded, from the first filter to the last, because it
//!
//! 1. is not ready, or has no weight while others have (`endpoint_table`);
//! 2. is outside the scope in which a repeat is safe;
//! 3. failed this request already;
//! 4. warms up (`slow_start`);
//! 5. is ejected (`outlier`), unless all are;
//! 6. is at its load limit (`load_limit`);
//! 7. is not assigned to the request's group, while one that is can take it (`group_assignment`).
//!
//! It is only ranked lower because it is slow (`load_limit`), carries more than its bounded part of what
//! all relays hold (known above `FULL_MESH_RELAYS` relays), carries more than an even part of this relay's
//! load, or comes late in the candidate order. A connection that arrives mid-flow passes filters 5 to 7 by.
//! Nothing at all is sent while the concurrency limit is closed (`admission`).

use std::cell::{LazyCell, OnceCell};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::api::*;
use super::endpoint_table::Endpoint;
use super::group_assignment::{CandidateOrder, bounded_load};
use super::hashing::{SLOT_SEED, unit_of_key};
use super::load_balancer::LoadBalancer;
use super::request_table::TrackedRequest;

/// An endpoint may carry this multiple of its fair part of this relay's load, where no message tells which
/// endpoint is slow.
const EVEN_LOAD_FACTOR: f64 = 1.15;
/// How long a report of what all relays hold counts, in ms.
const CLUSTER_LOAD_TTL_MS: Millis = 10_000.0;

/// An endpoint that may take the request.
struct Candidate<'a> {
    /// Its place in the candidate order, from 0.
    rank: usize,
    id: &'a EndpointId,
    endpoint: &'a Endpoint,
}

/// What one selection is about.
struct Selection<'a> {
    balancer: &'a LoadBalancer,
    now: Millis,
    tracked: &'a TrackedRequest,
    idempotency: Idempotency,
    /// The client key's number in `[0, 1)`.
    key_draw: f64,
    /// This relay's mean load of an endpoint.
    load_per_endpoint: f64,
    /// Whether the load is too high for all endpoints, once that was needed.
    widely_slow: OnceCell<bool>,
}

impl LoadBalancer {
    /// Chooses the endpoint of a request's next attempt; none where no endpoint may take it now. The table
    /// and the assignment have to be up to date.
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
            key_draw: unit_of_key(&tracked.request.client_key()),
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
        let order = self.order_for_return();
        let mut candidates = self.eligible_candidates(&order);
        let first_eligible = candidates.first().map(|candidate| candidate.id.clone());
        if self.tracked.continues_mid_flow() {
            // Where its endpoint is not known, the Maglev table most likely chose it: neither ejection nor
            // load counts.
            return self.balancer.cluster.sticky_endpoint(&self.tracked.request).or(first_eligible);
        }
        candidates.retain(|candidate| !candidate.endpoint.ejection.is_ejected(self.now));
        let Some(first) = candidates.first() else {
            // When all look failed the fault is more likely common to them, or here: they are used all the
            // same.
            return first_eligible;
        };
        let preferred_ranks =
            if first.rank < order.assigned { order.assigned } else { order.positions.len() };
        candidates.retain(|candidate| self.is_within_load_limit(candidate.endpoint));
        self.retain_preferred(&mut candidates, preferred_ranks);
        self.best(&candidates).map(|candidate| candidate.id.clone())
    }

    /// The request's candidate order. A client that reconnects because its endpoint broke or migrated it
    /// draws anew: relays that do not know of that would send it there again and again. Half of the returns
    /// keep the order, a quarter begin one endpoint further, an eighth two, and so on; those passed over
    /// come right after.
    fn order_for_return(&self) -> CandidateOrder {
        let request = &self.tracked.request;
        let mut order = self.balancer.assignment.candidate_order(request);
        let draws_anew = request.returned && !request.mid_flow && self.balancer.endpoint_fault_score >= 0.0;
        if draws_anew && order.positions.len() > 1 && !self.is_widely_slow() {
            let draw = xxh3_64_with_seed(&request.id.0.to_le_bytes(), SLOT_SEED);
            let first_rank = (draw.trailing_ones() as usize).min(order.positions.len() - 1);
            order.positions[..=first_rank].rotate_right(1);
            order.assigned = order.assigned.max(first_rank + 1);
        }
        order
    }

    /// Candidates that may take the request by the rules alone, whatever their load.
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

    /// Whether an attempt here is no unsafe repeat: what may have run before would be recognized here.
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

    /// Whether an endpoint is below its load limit with this request. One at its limit gets nothing until
    /// it has worked off what it holds. A limit under one connection is a share of the keys: many relays
    /// would send one each.
    fn is_within_load_limit(&self, endpoint: &Endpoint) -> bool {
        let key_share =
            if endpoint.placed.is_empty() { self.tracked.load * self.key_draw } else { self.tracked.load };
        endpoint.load + key_share <= endpoint.load_limit.current(self.now, self.load_per_endpoint)
    }

    /// Keeps a connection among the endpoints that its group is assigned to. One more copy of the group
    /// would cost its new endpoint more than the connection does; it is worth that only where none of them
    /// can take the connection and there is capacity to spare.
    fn retain_preferred(&self, candidates: &mut Vec<Candidate<'a>>, preferred_ranks: usize) {
        let is_preferred = |candidate: &Candidate<'_>| candidate.rank < preferred_ranks;
        let may_copy_group = self.may_even_out() || self.knows_cluster_load();
        let preferred_is_suitable = || {
            candidates.iter().any(|candidate| is_preferred(candidate) && self.is_suitable(candidate.endpoint))
        };
        if !may_copy_group || preferred_is_suitable() {
            candidates.retain(is_preferred);
        }
    }

    /// The best candidate: healthy, below its bounded load and carrying an even part; else the first
    /// healthy one below its bounded load; else the first healthy one; else the first.
    fn best<'c>(&self, candidates: &'c [Candidate<'a>]) -> Option<&'c Candidate<'a>> {
        let suitable = |candidate: &&Candidate<'_>| self.is_suitable(candidate.endpoint);
        let even =
            |candidate: &&Candidate<'_>| suitable(candidate) && self.carries_even_part(candidate.endpoint);
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

    /// Whether an endpoint carries less than its bounded part of what all relays hold, as far as that is
    /// known: it says more than this relay's part of it.
    fn is_below_bounded_load(&self, endpoint: &Endpoint) -> bool {
        if !self.knows_cluster_load() {
            return true;
        }
        let cluster_load = self.balancer.placements.endpoints.cluster_load;
        let fair_load = cluster_load / self.balancer.assignment.capacity
            * endpoint.weight
            * self.balancer.warm_up_factor(self.now, endpoint);
        endpoint.cluster_load + self.tracked.load <= bounded_load(fair_load)
    }

    /// Whether an endpoint carries no more than an even part of this relay's load. The assignment knows
    /// groups, not who else is here: of what one endpoint has too much, the next has less.
    fn carries_even_part(&self, endpoint: &Endpoint) -> bool {
        if !self.may_even_out() {
            return true;
        }
        let placed_load = self.balancer.placements.requests.placed_load.max(1.0);
        let load_per_capacity = placed_load / self.balancer.assignment.capacity;
        let warm_up_factor = self.balancer.warm_up_factor(self.now, endpoint);
        endpoint.load <= EVEN_LOAD_FACTOR * load_per_capacity * endpoint.weight * warm_up_factor + 1.0
    }

    /// Whether the load is too high for all endpoints.
    fn is_widely_slow(&self) -> bool {
        *self.widely_slow.get_or_init(|| self.balancer.placements.endpoints.is_widely_slow(self.now))
    }

    /// Whether load may be evened out: nothing reports slow endpoints one by one, and not all of them are
    /// slow.
    fn may_even_out(&self) -> bool {
        !self.balancer.latency_is_reported && !self.is_widely_slow()
    }

    /// Whether it is known what all relays hold.
    fn knows_cluster_load(&self) -> bool {
        self.now - self.balancer.placements.endpoints.cluster_load_at < CLUSTER_LOAD_TTL_MS
    }
}
