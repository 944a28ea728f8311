//! What is known of endpoints: the list's entries, this relay's own load there, and what was learned of them.
//!
//! Bookkeeping only. Decisions that read it: `selection`, `group_assignment`, `slow_start`, `drain`,
//! `rebalance`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sandgw_cluster::load_aggregation::{ClusterLoad, Tag};

use super::api::*;
use super::hashing::endpoint_tag;
use super::load_limit::LoadLimit;
use super::outlier::Ejection;

/// Where the list gives no usable weight.
const DEFAULT_WEIGHT: f64 = 1.0;
/// A slow endpoint outvotes this many healthy ones, so over a third have to be slow for all to count as
/// slow.
const SLOW_ENDPOINT_VOTES: i32 = 2;

/// The quickest set-up at an endpoint within a span: several set-ups at once wait for each other, so the
/// quickest tells the endpoint's own time.
#[derive(Clone, Copy)]
pub(crate) struct QuickestSetup {
    /// When the span began.
    pub since: Millis,
    /// The quickest set-up since then.
    pub elapsed: Millis,
}

impl Default for QuickestSetup {
    fn default() -> Self {
        QuickestSetup { since: f64::NEG_INFINITY, elapsed: 0.0 }
    }
}

impl QuickestSetup {
    /// Counts a set-up; a new span begins where the present one is longer than `span`.
    pub fn record(&mut self, now: Millis, elapsed: Millis, span: Millis) {
        if now - self.since > span {
            *self = QuickestSetup { since: now, elapsed };
        } else {
            self.elapsed = self.elapsed.min(elapsed);
        }
    }
}

/// One endpoint.
pub(crate) struct Endpoint {
    /// Its state in the list.
    pub state: EndpointState,
    /// What stands for it in load reports between relays.
    pub tag: Tag,
    /// Its listed size, in the list's unit.
    pub weight: f64,
    /// When its process started, as listed or inferred; 0 when long past.
    pub started: Millis,
    /// Its zone.
    pub zone: Zone,
    /// Its cell.
    pub cell: u64,
    /// Own requests that are placed here: attempts that are out, and established connections.
    pub placed: BTreeSet<RequestId>,
    /// Their load, in mean connections.
    pub load: f64,
    /// When an attempt was last sent here.
    pub last_attempt_at: Millis,
    /// Load of all relays here, as last reported, with own placements since; what has ended since still
    /// counts.
    pub cluster_load: f64,
    /// How much own load it seems to manage.
    pub load_limit: LoadLimit,
    /// Its quickest set-up lately.
    pub quickest_setup: QuickestSetup,
    /// Its failures in a row, and until when it is skipped for them.
    pub ejection: Ejection,
    /// Connects have failed: if it answers again, its process has just started.
    pub refuses_connections: bool,
    /// When it was first listed as draining or removed.
    pub draining_since: Option<Millis>,
}

impl Endpoint {
    /// An endpoint of which only the list's entry is known.
    pub fn new(entry: &EndpointEntry) -> Self {
        let has_weight = entry.weight.is_finite() && entry.weight >= 0.0;
        Endpoint {
            state: entry.state,
            tag: endpoint_tag(&entry.id.0),
            weight: if has_weight { entry.weight } else { DEFAULT_WEIGHT },
            started: entry.started,
            zone: entry.zone.clone(),
            cell: entry.cell,
            placed: BTreeSet::new(),
            load: 0.0,
            last_attempt_at: f64::NEG_INFINITY,
            cluster_load: 0.0,
            load_limit: LoadLimit::default(),
            quickest_setup: QuickestSetup::default(),
            ejection: Ejection::default(),
            refuses_connections: false,
            draining_since: None,
        }
    }

    /// The same endpoint after its process has restarted: what was learned of the old one is void, and the
    /// old one's connections end by themselves.
    fn restarted(&mut self, entry: &EndpointEntry) -> Self {
        let placed = std::mem::take(&mut self.placed);
        Endpoint { placed, load: self.load, ..Endpoint::new(entry) }
    }
}

/// All endpoints that the list names or that still hold own connections.
pub(crate) struct EndpointTable {
    /// The endpoints by id.
    pub by_id: BTreeMap<EndpointId, Endpoint>,
    /// Load of all relays at all endpoints, in mean connections, as last reported.
    pub cluster_load: f64,
    /// When that was reported.
    pub cluster_load_at: Millis,
}

impl Default for EndpointTable {
    fn default() -> Self {
        EndpointTable { by_id: BTreeMap::new(), cluster_load: 0.0, cluster_load_at: f64::NEG_INFINITY }
    }
}

impl EndpointTable {
    /// Takes the entries of a list. Returns whether a restarted endpoint came back with another weight.
    pub fn apply_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) -> bool {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.by_id.values_mut().for_each(|endpoint| endpoint.state = EndpointState::Removed);
        }
        let mut weight_changed = false;
        for entry in entries {
            match self.by_id.get_mut(&entry.id) {
                // Not `!=`: a start that was inferred here is a little later than the listed one.
                Some(known) if entry.started <= known.started => known.state = entry.state,
                Some(known) => {
                    // Only a restart changes the weight: a running process may be listed with a size that
                    // follows its load, and the table would never rest.
                    let weight_before = known.weight;
                    *known = known.restarted(&entry);
                    weight_changed |= known.weight != weight_before;
                }
                None => drop(self.by_id.insert(entry.id.clone(), Endpoint::new(&entry))),
            }
        }
        let is_needed =
            |endpoint: &Endpoint| endpoint.state != EndpointState::Removed || !endpoint.placed.is_empty();
        self.by_id.retain(|_, endpoint| is_needed(endpoint));
        weight_changed
    }

    /// The ready endpoints, sorted by id: those with a weight, or all where none has one.
    pub fn ready(&self) -> impl Iterator<Item = &EndpointId> + Clone {
        let ready = self.by_id.iter().filter(|(_, endpoint)| endpoint.state == EndpointState::Ready);
        let any_weight = ready.clone().any(|(_, endpoint)| endpoint.weight > 0.0);
        ready.filter(move |(_, endpoint)| endpoint.weight > 0.0 || !any_weight).map(|(id, _)| id)
    }

    /// Whether all endpoints are ready: none drains, and none that was removed still has own connections.
    pub fn none_leaving(&self) -> bool {
        self.by_id.values().all(|endpoint| endpoint.state == EndpointState::Ready)
    }

    /// Own load by endpoints' tags, for a report to other relays.
    pub fn load_report(&self) -> Vec<(Tag, f64)> {
        let used = self.by_id.values().filter(|endpoint| !endpoint.placed.is_empty());
        used.map(|endpoint| (endpoint.tag, endpoint.load)).collect()
    }

    /// Weights by endpoints' tags.
    pub fn weights_by_tag(&self) -> BTreeMap<Tag, f64> {
        self.by_id.values().map(|endpoint| (endpoint.tag, endpoint.weight)).collect()
    }

    /// Takes what all relays hold. Of endpoints that it does not name they hold little.
    pub fn apply_cluster_load(&mut self, now: Millis, reported: &ClusterLoad) {
        self.cluster_load = reported.total;
        self.cluster_load_at = now;
        for endpoint in self.by_id.values_mut() {
            endpoint.cluster_load = reported.loads.get(&endpoint.tag).copied().unwrap_or(0.0);
        }
    }

    /// Whether over a third of the endpoints that hold own connections are slow: then the load is too high
    /// for all, and moving it to others would only make these slow too.
    pub fn is_widely_slow(&self, now: Millis) -> bool {
        let used = self.by_id.values().filter(|endpoint| !endpoint.placed.is_empty());
        let vote = |endpoint: &Endpoint| {
            if endpoint.load_limit.is_healthy(now) { 1 } else { -SLOW_ENDPOINT_VOTES }
        };
        used.map(vote).sum::<i32>() < 0
    }

    /// The median of the quickest set-ups at these endpoints, in ms, of those measured after `since`;
    /// infinite where there is none.
    pub fn median_setup(&self, ids: &[EndpointId], since: Millis) -> Millis {
        let known = ids.iter().filter_map(|id| self.by_id.get(id)).map(|endpoint| endpoint.quickest_setup);
        let recent = known.filter(|setup| setup.since > since);
        let mut times: Vec<Millis> = recent.map(|setup| setup.elapsed).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(f64::INFINITY)
    }
}
