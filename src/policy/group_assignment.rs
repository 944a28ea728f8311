//! Which endpoints serve which group of connections, and in which order a request tries endpoints.
//!
//! Every endpoint that holds any connection of a group pays [`GROUP_COPY_COST`] for it once, so a group is
//! kept on few endpoints: it fills the headroom along its own order in the Maglev table, and the largest
//! groups are assigned first. Inputs: the ready endpoints with weights and warm-up factors, the groups'
//! sizes as far as they are known, the load of the whole tier, and endpoints' load limits. Output: for each
//! group the endpoints that it is assigned to, with the load that each is to take. All loads here are of
//! the tier as a whole, in mean connections. Relays that know the same make the same assignment without
//! talking to each other.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::api::*;
use super::group_sample::GroupSample;
use super::hashing::{DRAW_SEED, slot_of_key, unit_of_hash};
use super::load_balancer::LoadBalancer;
use super::maglev::MaglevTable;

/// Mean connections that a group costs each endpoint that holds any of it.
const GROUP_COPY_COST: f64 = 2.0;
/// Arrivals of other groups that are taken as seen besides those of a sample: a group met once among few
/// arrivals is large, but not as large as its part of them.
const UNSEEN_ARRIVALS: f64 = 6.0;
/// An endpoint may carry this multiple of its fair load before its keys overflow to the next.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// Bounded load (Mirrokni et al., "Consistent Hashing with Bounded Loads"), with slack for chance, which is
/// of the order of the load's square root. Loads in mean connections.
pub(super) fn bounded_load(fair_load: f64) -> f64 {
    BOUNDED_LOAD_FACTOR * fair_load + fair_load.sqrt()
}

/// A part of a group: an endpoint, and the load that it is to take.
#[derive(Clone, Copy)]
struct GroupPart {
    /// Position of the endpoint among the ready ones.
    position: usize,
    /// Load of the tier that it is to take, in mean connections.
    load: f64,
}

/// A group and its load in the tier, in mean connections.
struct GroupLoad {
    /// Slot of the group's key.
    group: u32,
    load: f64,
}

/// Headroom of an endpoint while groups are assigned.
struct Headroom {
    bound: f64,
    remaining: f64,
}

/// The endpoints that a request may try, in order.
pub(super) struct CandidateOrder {
    /// Positions among the ready endpoints.
    pub positions: Vec<usize>,
    /// How many of them, from the first, the request's group is assigned to; 0 without a group.
    pub assigned: usize,
}

/// The present assignment, and the Maglev table that it follows.
#[derive(Default)]
pub(crate) struct GroupAssignment {
    /// The ready endpoints, sorted by id.
    pub ready_endpoints: Vec<EndpointId>,
    /// Sum of their listed weights.
    pub total_weight: f64,
    /// What they could do when groups were last assigned, by weight and warm-up factor.
    pub capacity: f64,
    table: MaglevTable,
    parts_by_group: BTreeMap<u32, Vec<GroupPart>>,
    /// When groups were last assigned; negative infinity when that is to be done anew.
    assigned_at: Millis,
}

impl GroupAssignment {
    /// Has the groups assigned anew before the next request is placed.
    pub fn invalidate(&mut self) {
        self.assigned_at = f64::NEG_INFINITY;
    }

    /// Takes the ready endpoints of a new list, sorted by id.
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

    /// Positions of the ready endpoints in the order in which the table offers them from a slot on.
    fn probe_order(&self, slot: u32) -> impl Iterator<Item = usize> {
        self.table.probe_order(slot, self.ready_endpoints.len())
    }

    /// The order in which a request tries endpoints: those that its group is assigned to, then along the
    /// table.
    pub(super) fn candidate_order(&self, request: &Request) -> CandidateOrder {
        let client = request.client_key();
        let Some(group) = &request.group else {
            return CandidateOrder {
                positions: self.probe_order(slot_of_key(&client)).collect(),
                assigned: 0,
            };
        };
        let group = slot_of_key(group.0.as_bytes());
        let mut positions: Vec<usize> = self.probe_order(group).collect();
        let Some(parts) = self.parts_by_group.get(&group) else {
            return CandidateOrder { positions, assigned: 1 };
        };
        let own = part_of_client(parts, &client);
        let is_assigned = |position: &usize| parts.iter().any(|part| part.position == *position);
        positions.sort_by_cached_key(|position| (Some(*position) != own, !is_assigned(position)));
        CandidateOrder { positions, assigned: parts.len().max(1) }
    }
}

/// The part of its group that a client falls to. Nested: one more part draws a share of clients from each
/// of the others, so relays that count parts differently agree on most clients.
fn part_of_client(parts: &[GroupPart], client: &[u8]) -> Option<usize> {
    let mut own = None;
    let mut load_so_far = 0.0;
    for (index, part) in parts.iter().enumerate() {
        load_so_far += part.load;
        let draw = || unit_of_hash(xxh3_64_with_seed(client, DRAW_SEED + index as u64));
        if index == 0 || draw() * load_so_far < part.load {
            own = Some(part.position);
        }
    }
    own
}

impl LoadBalancer {
    /// Brings the table and the assignment up to date, where they are not. Done when a request is placed,
    /// not when the list changes: a large tier that restarts changes its list many times between two
    /// requests.
    pub(super) fn update_assignment(&mut self, now: Millis) {
        if self.assignment.table.is_empty() {
            let endpoints = &self.placements.endpoints.by_id;
            let ready = self.assignment.ready_endpoints.iter();
            let weights: Vec<_> = ready.map(|id| (&*id.0, endpoints[id].weight)).collect();
            self.assignment.table.populate(&weights);
        }
        // It follows load limits and warm-up, but not with every request of a burst.
        if now - self.assignment.assigned_at > self.settings.connect_timeout {
            self.assign_groups(now);
        }
    }

    /// Assigns all groups anew, the largest first.
    fn assign_groups(&mut self, now: Millis) {
        let tier_load = self.tier_load(now);
        let groups = self.group_loads(tier_load);
        let ready = || self.assignment.ready_endpoints.iter().map(|id| &self.placements.endpoints.by_id[id]);
        let capacity = ready().map(|endpoint| self.effective_capacity(now, endpoint)).sum::<f64>();
        let capacity = capacity.max(f64::MIN_POSITIVE);
        let load_per_capacity = tier_load / capacity;
        let load_per_endpoint =
            self.placements.requests.capped_load_per_endpoint(self.assignment.ready_endpoints.len());
        let relay_count = f64::from(self.settings.relay_count);
        let headroom = ready().map(|endpoint| {
            let fair_load = load_per_capacity * self.effective_capacity(now, endpoint);
            // The limit is on this relay's load; the others are taken to have found the same.
            let limit = endpoint.load_limit.current(now, load_per_endpoint) * relay_count;
            let bound = bounded_load(fair_load).min(limit);
            Headroom { bound, remaining: bound }
        });
        let mut headroom: Vec<Headroom> = headroom.collect();
        let assign = |group: GroupLoad| {
            let order = self.assignment.probe_order(group.group);
            (group.group, pack_group(group.load, order, &mut headroom))
        };
        let parts_by_group = groups.into_iter().map(assign).collect();
        self.assignment.parts_by_group = parts_by_group;
        self.assignment.capacity = capacity;
        self.assignment.assigned_at = now;
    }

    /// Load of all relays, in mean connections. After a restart the own count says little yet of what the
    /// others go on carrying: what they reported, or a store has kept, counts until the own count is known
    /// well enough.
    fn tier_load(&self, now: Millis) -> f64 {
        let own_load = self.placements.requests.placed_load.max(1.0);
        let extrapolated = own_load * f64::from(self.settings.relay_count);
        let (reported, confidence) = self.cluster.fleet_load(now);
        extrapolated + (reported - extrapolated).max(0.0) * confidence
    }

    /// The groups' loads, the largest first. Sizes are compared by their order of magnitude only, so that
    /// relays whose samples differ a little assign groups in the same order.
    fn group_loads(&self, tier_load: f64) -> Vec<GroupLoad> {
        let own_total = self.group_sample.total();
        // A sample of nearly all connections is what it is; the smaller it is, the more is by chance.
        let chance = (f64::from(self.settings.relay_count) / own_total.max(1.0)).min(1.0);
        let MergedArrivals { sample, scale } = self.merged_arrivals(own_total);
        let load_per_arrival = tier_load / (own_total * scale + UNSEEN_ARRIVALS * scale.sqrt() * chance);
        let load =
            |(group, arrivals): (&u32, &f64)| GroupLoad { group: *group, load: arrivals * load_per_arrival };
        let mut groups: Vec<GroupLoad> = sample.arrivals.iter().map(load).collect();
        groups.sort_by_cached_key(|group| (Reverse(group.load.log2().round() as i64), group.group));
        groups
    }

    /// The own sample, scaled up and completed by the collector's sum where that tells more.
    fn merged_arrivals(&self, own_total: f64) -> MergedArrivals {
        let mut sample = self.group_sample.clone();
        let merged = &self.merged_sample.sum;
        // A sum of less than the own sample is of a collector that has just started.
        let smallest_named = merged.groups.last().filter(|_| merged.total > own_total);
        let Some(smallest_named) = smallest_named else {
            return MergedArrivals { sample, scale: 1.0 };
        };
        let scale = merged.total / own_total.max(1.0);
        // A group that the sum had no place for is no larger than those that it names.
        let scaled = |arrivals: f64| (arrivals * scale).min(smallest_named.arrivals.max(arrivals));
        sample.arrivals.values_mut().for_each(|arrivals| *arrivals = scaled(*arrivals));
        let named = merged.groups.iter().filter(|named| named.arrivals > 0.0);
        sample.arrivals.extend(named.map(|named| (named.group_slot, named.arrivals)));
        MergedArrivals { sample, scale }
    }
}

/// Arrivals of the tier by group, and how many of the tier's arrivals stand for one of the own sample.
struct MergedArrivals {
    sample: GroupSample,
    scale: f64,
}

/// Assigns one group: it takes headroom in its order until its load has a place.
fn pack_group(
    load: f64,
    mut order: impl Iterator<Item = usize>,
    headroom: &mut [Headroom],
) -> Vec<GroupPart> {
    let mut parts = Vec::new();
    let mut unassigned = load;
    while unassigned > 0.0 {
        let Some(position) = order.next() else { break };
        let Headroom { bound, remaining } = &mut headroom[position];
        if *remaining >= (unassigned + GROUP_COPY_COST).min(*bound / 2.0) {
            let taken = (*remaining - GROUP_COPY_COST).min(unassigned).max(0.0);
            *remaining -= taken + GROUP_COPY_COST;
            unassigned -= taken;
            parts.push(GroupPart { position, load: taken });
        }
    }
    parts
}
