//! What this relay knows about endpoints: the list's entries, this relay's own load at each endpoint, and
//! what the relay has learned about it.
//!
//! This module only keeps records. The decisions that read them are in `selection`, `group_assignment`,
//! `slow_start`, `drain` and `rebalance`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sandgw_cluster::load_aggregation::{ClusterLoad, Tag};

use super::api::*;
use super::hashing::endpoint_tag;
use super::load_limit::LoadLimit;
use super::outlier::Ejection;

/// Weight of an endpoint for which the list gives no usable weight.
const DEFAULT_WEIGHT: f64 = 1.0;
/// A slow endpoint outvotes this many healthy ones, so all endpoints count as slow once over a third of them
/// are.
const SLOW_ENDPOINT_VOTES: i32 = 2;

/// The quickest connection set-up at an endpoint within a span. Set-ups that run at the same time wait for
/// each other, so the quickest set-up shows the endpoint's own set-up time best.
#[derive(Clone, Copy)]
pub(crate) struct QuickestSetup {
    /// When the span began.
    pub span_started_at: Millis,
    /// Duration of the quickest set-up since the span began, in ms.
    pub elapsed: Millis,
}

impl Default for QuickestSetup {
    fn default() -> Self {
        QuickestSetup { span_started_at: f64::NEG_INFINITY, elapsed: 0.0 }
    }
}

impl QuickestSetup {
    /// Records a set-up. A new span begins if the present span is longer than `span`.
    pub fn record(&mut self, now: Millis, elapsed: Millis, span: Millis) {
        if now - self.span_started_at > span {
            *self = QuickestSetup { span_started_at: now, elapsed };
        } else {
            self.elapsed = self.elapsed.min(elapsed);
        }
    }
}

/// One endpoint, as this relay knows it.
pub(crate) struct Endpoint {
    /// State of the endpoint in the list.
    pub state: EndpointState,
    /// Short tag that identifies the endpoint in load reports between relays.
    pub tag: Tag,
    /// Listed weight, in the list's unit.
    pub weight: f64,
    /// When the endpoint's process started, as listed or as inferred here; 0 if that is long past.
    pub started: Millis,
    /// Zone of the endpoint.
    pub zone: Zone,
    /// Cell of the endpoint.
    pub cell: u64,
    /// This relay's requests that are placed at the endpoint: attempts in flight and established connections.
    pub placed_requests: BTreeSet<RequestId>,
    /// Load of the placed requests, in mean connections.
    pub load: f64,
    /// When this relay last sent an attempt to the endpoint.
    pub last_attempt_at: Millis,
    /// Load of all relays at the endpoint, as last reported, plus what this relay has placed there since.
    /// Connections that have ended since the report still count.
    pub cluster_load: f64,
    /// How much of this relay's load the endpoint seems to manage.
    pub load_limit: LoadLimit,
    /// The endpoint's quickest recent set-up.
    pub quickest_setup: QuickestSetup,
    /// The endpoint's consecutive failures, and until when it is ejected for them.
    pub ejection: Ejection,
    /// Whether connects to the endpoint have failed. If it answers again, its process has just started.
    pub refuses_connections: bool,
    /// When the endpoint was first listed as draining or removed.
    pub draining_since: Option<Millis>,
}

impl Endpoint {
    /// Creates an endpoint of which only the list's entry is known.
    pub fn new(entry: &EndpointEntry) -> Self {
        let has_weight = entry.weight.is_finite() && entry.weight >= 0.0;
        Endpoint {
            state: entry.state,
            tag: endpoint_tag(&entry.id.0),
            weight: if has_weight { entry.weight } else { DEFAULT_WEIGHT },
            started: entry.started,
            zone: entry.zone.clone(),
            cell: entry.cell,
            placed_requests: BTreeSet::new(),
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

    /// The same endpoint after its process has restarted. What was learned about the old process no longer
    /// holds. The old process's connections stay counted; each of them ends by itself.
    fn after_restart(&mut self, entry: &EndpointEntry) -> Self {
        let placed_requests = std::mem::take(&mut self.placed_requests);
        Endpoint { placed_requests, load: self.load, ..Endpoint::new(entry) }
    }
}

/// All endpoints that the list names or that still hold connections of this relay.
pub(crate) struct EndpointTable {
    /// The endpoints by id.
    pub by_id: BTreeMap<EndpointId, Endpoint>,
    /// Load of all relays at all endpoints, in mean connections, as last reported.
    pub cluster_load: f64,
    /// When the load of all relays was last reported.
    pub cluster_load_at: Millis,
}

impl Default for EndpointTable {
    fn default() -> Self {
        EndpointTable { by_id: BTreeMap::new(), cluster_load: 0.0, cluster_load_at: f64::NEG_INFINITY }
    }
}

impl EndpointTable {
    /// Applies the entries of a list. Returns whether an endpoint has restarted with another weight.
    pub fn apply_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) -> bool {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.by_id.values_mut().for_each(|endpoint| endpoint.state = EndpointState::Removed);
        }
        let mut weight_changed = false;
        for entry in entries {
            match self.by_id.get_mut(&entry.id) {
                // The comparison isn't `!=`: a start time that this relay inferred is a little later than the
                // listed start time.
                Some(known) if entry.started <= known.started => known.state = entry.state,
                Some(known) => {
                    // Only a restart changes the weight. A list may give a running process a weight that
                    // follows its load, and the Maglev table would then be refilled all the time.
                    let weight_before = known.weight;
                    *known = known.after_restart(&entry);
                    weight_changed |= known.weight != weight_before;
                }
                None => drop(self.by_id.insert(entry.id.clone(), Endpoint::new(&entry))),
            }
        }
        let is_needed = |endpoint: &Endpoint| {
            endpoint.state != EndpointState::Removed || !endpoint.placed_requests.is_empty()
        };
        self.by_id.retain(|_, endpoint| is_needed(endpoint));
        weight_changed
    }

    /// The ready endpoints, sorted by id. Endpoints of weight 0 are left out, unless all ready endpoints have
    /// weight 0.
    pub fn ready(&self) -> impl Iterator<Item = &EndpointId> + Clone {
        let ready = self.by_id.iter().filter(|(_, endpoint)| endpoint.state == EndpointState::Ready);
        let any_weight = ready.clone().any(|(_, endpoint)| endpoint.weight > 0.0);
        ready.filter(move |(_, endpoint)| endpoint.weight > 0.0 || !any_weight).map(|(id, _)| id)
    }

    /// Whether all endpoints are ready: no endpoint is draining, and no removed endpoint still holds
    /// connections of this relay.
    pub fn all_ready(&self) -> bool {
        self.by_id.values().all(|endpoint| endpoint.state == EndpointState::Ready)
    }

    /// This relay's load by endpoint tag, for a load report to other relays.
    pub fn load_report(&self) -> Vec<(Tag, f64)> {
        let used = self.by_id.values().filter(|endpoint| !endpoint.placed_requests.is_empty());
        used.map(|endpoint| (endpoint.tag, endpoint.load)).collect()
    }

    /// Weights by endpoint tag.
    pub fn weights_by_tag(&self) -> BTreeMap<Tag, f64> {
        self.by_id.values().map(|endpoint| (endpoint.tag, endpoint.weight)).collect()
    }

    /// Applies the reported load of all relays. Endpoints that the report does not name carry little.
    pub fn apply_cluster_load(&mut self, now: Millis, reported: &ClusterLoad) {
        self.cluster_load = reported.total;
        self.cluster_load_at = now;
        for endpoint in self.by_id.values_mut() {
            endpoint.cluster_load = reported.loads.get(&endpoint.tag).copied().unwrap_or(0.0);
        }
    }

    /// Whether over a third of the endpoints that hold connections of this relay are slow. The load is then
    /// too high for all endpoints, and moving load to other endpoints would only make those slow too.
    pub fn is_widely_slow(&self, now: Millis) -> bool {
        let used = self.by_id.values().filter(|endpoint| !endpoint.placed_requests.is_empty());
        let vote = |endpoint: &Endpoint| {
            if endpoint.load_limit.is_healthy(now) { 1 } else { -SLOW_ENDPOINT_VOTES }
        };
        used.map(vote).sum::<i32>() < 0
    }

    /// The median of the quickest set-up times at these endpoints, in ms, among those measured after `since`.
    /// The median is infinite if there is no such measurement.
    pub fn median_setup_time(&self, ids: &[EndpointId], since: Millis) -> Millis {
        let known = ids.iter().filter_map(|id| self.by_id.get(id)).map(|endpoint| endpoint.quickest_setup);
        let recent = known.filter(|setup| setup.span_started_at > since);
        let mut times: Vec<Millis> = recent.map(|setup| setup.elapsed).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(f64::INFINITY)
    }
}
