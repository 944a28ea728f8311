//! Decides which endpoints serve which group of connections, and in which order a request tries endpoints.
//!
//! Every endpoint that holds any connection of a group bears [`GROUP_COPY_COST`] for the group once, so each
//! group is kept on few endpoints: it fills the headroom of the endpoints in its own probe order of the
//! Maglev table, and the largest groups are assigned first. Inputs: the ready endpoints with their weights
//! and warm-up factors, the sizes of the groups as far as they are known, the load of the whole cluster, and
//! the load limits of the endpoints. Output: for each group, the endpoints that it is assigned to, and the
//! load that each of them is to take. All loads in this module are loads of the whole cluster, in mean
//! connections. Relays with the same information make the same assignment without exchanging messages about
//! it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::api::*;
use super::group_sample::GroupSample;
use super::hashing::{KEY_RANDOM_SEED, slot_of_key, unit_fraction_of_hash};
use super::load_balancer::LoadBalancer;
use super::maglev::MaglevTable;

/// Load that a group adds to each endpoint that holds any of its connections, in mean connections.
const GROUP_COPY_COST: f64 = 2.0;
/// Arrivals that are assumed to have come from groups missing in the sample. A group that was seen once among
/// few arrivals is large, but not as large as its part of those arrivals.
const UNSEEN_GROUP_ARRIVALS: f64 = 6.0;
/// An endpoint may carry this multiple of its fair load before its keys overflow to the next endpoint.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// Upper bound on an endpoint's load (Mirrokni et al., "Consistent Hashing with Bounded Loads"). The bound
/// allows for random variation of the load, which is of the order of the square root of the load. Loads are
/// in mean connections.
pub(super) fn bounded_load(fair_load: f64) -> f64 {
    BOUNDED_LOAD_FACTOR * fair_load + fair_load.sqrt()
}

/// The part of a group that one endpoint takes.
#[derive(Clone, Copy)]
struct GroupPart {
    /// Position of the endpoint among the ready endpoints.
    position: usize,
    /// Load of the cluster that the endpoint is to take, in mean connections.
    load: f64,
}

/// A group and its load in the cluster, in mean connections.
struct GroupLoad {
    /// Slot of the group's key.
    slot: u32,
    load: f64,
}

/// Headroom of an endpoint while groups are being assigned, in mean connections.
struct Headroom {
    bound: f64,
    remaining: f64,
}

/// The endpoints that a request may try, in this order.
pub(super) struct CandidateOrder {
    /// Positions among the ready endpoints.
    pub positions: Vec<usize>,
    /// How many of these endpoints, from the first, the request's group is assigned to; 0 for a request
    /// without a group.
    pub assigned_count: usize,
}

/// The current assignment, and the Maglev table that it follows.
#[derive(Default)]
pub(crate) struct GroupAssignment {
    /// The ready endpoints, sorted by id.
    pub ready_endpoints: Vec<EndpointId>,
    /// Sum of the listed weights of the ready endpoints.
    pub total_weight: f64,
    /// Total capacity of the ready endpoints when groups were last assigned: the sum over weight times
    /// warm-up factor.
    pub ready_capacity: f64,
    table: MaglevTable,
    parts_by_group: BTreeMap<u32, Vec<GroupPart>>,
    /// When groups were last assigned; negative infinity if they must be assigned again.
    assigned_at: Millis,
}

impl GroupAssignment {
    /// Has the groups assigned again before the next request is placed.
    pub fn invalidate(&mut self) {
        self.assigned_at = f64::NEG_INFINITY;
    }

    /// Applies the ready endpoints of a new list, sorted by id.
    pub fn set_ready_endpoints<'a>(
        &mut self,
        ready: impl Iterator<Item = &'a EndpointId> + Clone,
        weight_changed: bool,
    ) {
        if weight_changed || !ready.clone().eq(self.ready_endpoints.iter()) {
            self.ready_endpoints = ready.cloned().collect();
            self.table.invalidate();
        }
        self.invalidate();
    }

    /// Positions of the ready endpoints in the probe order of this slot.
    fn probe_order(&self, slot: u32) -> impl Iterator<Item = usize> {
        self.table.probe_order(slot, self.ready_endpoints.len())
    }

    /// The order in which a request tries endpoints: first the endpoints that the request's group is assigned
    /// to, then the other endpoints in probe order.
    pub(super) fn candidate_order(&self, request: &Request) -> CandidateOrder {
        let client = request.client_key();
        let Some(group) = &request.group else {
            return CandidateOrder {
                positions: self.probe_order(slot_of_key(&client)).collect(),
                assigned_count: 0,
            };
        };
        let group = slot_of_key(group.0.as_bytes());
        let mut positions: Vec<usize> = self.probe_order(group).collect();
        let Some(parts) = self.parts_by_group.get(&group) else {
            return CandidateOrder { positions, assigned_count: 1 };
        };
        let client_position = position_of_client(parts, &client);
        let is_assigned = |position: &usize| parts.iter().any(|part| part.position == *position);
        positions.sort_by_cached_key(|position| (Some(*position) != client_position, !is_assigned(position)));
        CandidateOrder { positions, assigned_count: parts.len().max(1) }
    }
}

/// Position of the endpoint that takes the client's part of its group. Parts are nested: an additional part
/// takes a fraction of the clients from each of the parts before it, so relays that split a group into
/// different numbers of parts agree on most clients.
fn position_of_client(parts: &[GroupPart], client: &[u8]) -> Option<usize> {
    let mut client_position = None;
    let mut cumulative_load = 0.0;
    for (index, part) in parts.iter().enumerate() {
        cumulative_load += part.load;
        let draw = || unit_fraction_of_hash(xxh3_64_with_seed(client, KEY_RANDOM_SEED + index as u64));
        if index == 0 || draw() * cumulative_load < part.load {
            client_position = Some(part.position);
        }
    }
    client_position
}

impl LoadBalancer {
    /// Updates the Maglev table and the assignment if they are out of date. This happens when a request is
    /// placed, not when the list changes, because the list of a large cluster that restarts changes many
    /// times between two requests.
    pub(super) fn update_assignment(&mut self, now: Millis) {
        if self.assignment.table.is_empty() {
            let endpoints = &self.placements.endpoints.by_id;
            let ready = self.assignment.ready_endpoints.iter();
            let weights: Vec<_> = ready.map(|id| (&*id.0, endpoints[id].weight)).collect();
            self.assignment.table.populate(&weights);
        }
        // The assignment follows load limits and warm-up factors, but isn't repeated with every request of a
        // burst.
        if now - self.assignment.assigned_at > self.settings.connect_timeout {
            self.assign_groups(now);
        }
    }

    /// Assigns all groups again, the largest first.
    fn assign_groups(&mut self, now: Millis) {
        let cluster_load = self.estimated_cluster_load(now);
        let groups = self.group_loads(cluster_load);
        let ready = || self.assignment.ready_endpoints.iter().map(|id| &self.placements.endpoints.by_id[id]);
        let capacity = ready().map(|endpoint| self.effective_capacity(now, endpoint)).sum::<f64>();
        let capacity = capacity.max(f64::MIN_POSITIVE);
        let load_per_capacity = cluster_load / capacity;
        let load_per_endpoint =
            self.placements.requests.capped_load_per_endpoint(self.assignment.ready_endpoints.len());
        let relay_count = f64::from(self.settings.relay_count);
        let headroom = ready().map(|endpoint| {
            let fair_load = load_per_capacity * self.effective_capacity(now, endpoint);
            // The load limit is for this relay's load alone. The other relays are assumed to have learned the
            // same limit.
            let limit = endpoint.load_limit.current(now, load_per_endpoint) * relay_count;
            let bound = bounded_load(fair_load).min(limit);
            Headroom { bound, remaining: bound }
        });
        let mut headroom: Vec<Headroom> = headroom.collect();
        let assign = |group: GroupLoad| {
            let order = self.assignment.probe_order(group.slot);
            (group.slot, pack_group(group.load, order, &mut headroom))
        };
        let parts_by_group = groups.into_iter().map(assign).collect();
        self.assignment.parts_by_group = parts_by_group;
        self.assignment.ready_capacity = capacity;
        self.assignment.assigned_at = now;
    }

    /// Estimated load of all relays, in mean connections. After a restart this relay's own count says little
    /// about the load that the other relays still carry. The load that the others reported, or that a store
    /// has kept, therefore counts until this relay's own count is reliable enough.
    fn estimated_cluster_load(&self, now: Millis) -> f64 {
        let own_load = self.placements.requests.placed_load.max(1.0);
        let extrapolated = own_load * f64::from(self.settings.relay_count);
        let (reported, confidence) = self.cluster.reported_cluster_load(now);
        extrapolated + (reported - extrapolated).max(0.0) * confidence
    }

    /// The loads of the groups, the largest first. Sizes are compared by their order of magnitude only, so
    /// that relays with slightly different samples assign groups in the same order.
    fn group_loads(&self, cluster_load: f64) -> Vec<GroupLoad> {
        let own_total = self.group_sample.total();
        // A sample of nearly all connections is exact. The smaller the sample, the more of the differences in
        // size between its groups are due to chance.
        let sampling_uncertainty = (f64::from(self.settings.relay_count) / own_total.max(1.0)).min(1.0);
        let MergedArrivals { sample, scale } = self.merged_arrivals(own_total);
        let load_per_arrival =
            cluster_load / (own_total * scale + UNSEEN_GROUP_ARRIVALS * scale.sqrt() * sampling_uncertainty);
        let load =
            |(group, arrivals): (&u32, &f64)| GroupLoad { slot: *group, load: arrivals * load_per_arrival };
        let mut groups: Vec<GroupLoad> = sample.arrivals.iter().map(load).collect();
        groups.sort_by_cached_key(|group| (Reverse(group.load.log2().round() as i64), group.slot));
        groups
    }

    /// This relay's sample, scaled up and completed from the collector's sum if that sum rests on more
    /// arrivals than this relay's sample.
    fn merged_arrivals(&self, own_total: f64) -> MergedArrivals {
        let mut sample = self.group_sample.clone();
        let merged = &self.merged_sample.merged_sizes;
        // A sum that is smaller than this relay's sample comes from a collector that has just started.
        let smallest_in_sum = merged.groups.last().filter(|_| merged.total > own_total);
        let Some(smallest_in_sum) = smallest_in_sum else {
            return MergedArrivals { sample, scale: 1.0 };
        };
        let scale = merged.total / own_total.max(1.0);
        // A group that the sum had no room for is no larger than the groups in the sum.
        let scaled = |arrivals: f64| (arrivals * scale).min(smallest_in_sum.arrivals.max(arrivals));
        sample.arrivals.values_mut().for_each(|arrivals| *arrivals = scaled(*arrivals));
        let in_sum = merged.groups.iter().filter(|group| group.arrivals > 0.0);
        sample.arrivals.extend(in_sum.map(|group| (group.group_slot, group.arrivals)));
        MergedArrivals { sample, scale }
    }
}

/// Arrivals of the cluster by group. `scale` is how many arrivals of the cluster one arrival of this relay's
/// sample stands for.
struct MergedArrivals {
    sample: GroupSample,
    scale: f64,
}

/// Assigns one group: takes headroom from the endpoints in probe order until all of the group's load is
/// assigned.
fn pack_group(
    load: f64,
    mut probe_order: impl Iterator<Item = usize>,
    headroom: &mut [Headroom],
) -> Vec<GroupPart> {
    let mut parts = Vec::new();
    let mut unassigned_load = load;
    while unassigned_load > 0.0 {
        let Some(position) = probe_order.next() else { break };
        let Headroom { bound, remaining } = &mut headroom[position];
        if *remaining >= (unassigned_load + GROUP_COPY_COST).min(*bound / 2.0) {
            let assigned_load = (*remaining - GROUP_COPY_COST).min(unassigned_load).max(0.0);
            *remaining -= assigned_load + GROUP_COPY_COST;
            unassigned_load -= assigned_load;
            parts.push(GroupPart { position, load: assigned_load });
        }
    }
    parts
}
