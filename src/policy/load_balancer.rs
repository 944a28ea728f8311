//! The load balancer's state, and the dispatch of events to the modules that handle them.
//!
//! The load balancer is a state machine without I/O: [`LoadBalancer::handle`] takes an event with the current
//! time and appends actions, in the order in which the relay carries them out. Each decision is made in a
//! module of its own; see the table in [`crate::policy`].

use std::collections::BTreeSet;

use sandgw_cluster::concurrency_limit::ConcurrencyLimit;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::api::*;
use super::attempt_outcome::AttemptEnd;
use super::cluster_state::ClusterState;
use super::endpoint_table::Endpoint;
use super::estimates::RunningMean;
use super::group_assignment::GroupAssignment;
use super::group_sample::{GroupSample, MergedSample, SAMPLE_SIZE};
use super::hashing::{slot_of_key, unit_fraction_of_hash};
use super::placements::Placements;
use super::request_table::{Stage, TrackedRequest};
use super::retry::RetryBudgetUse;
use super::slow_start::SlowStart;

/// Token of the timer for the steps in which clients of draining endpoints are asked to reconnect. Request
/// ids, which serve as tokens too, stay far below this value.
pub(super) const DRAIN_TIMER: u64 = 1 << 62;
/// Token of the timers of [`ClusterState`].
const CLUSTER_TIMER: u64 = DRAIN_TIMER + 1;
/// Maximum number of arrivals that group sizes count for when other relays or a store report them.
const MAX_REPORTED_ARRIVALS: f64 = SAMPLE_SIZE / 2.0;
/// Number of clock resolutions by which a request's deadline is brought forward, so that the outcome of its
/// last attempt is still answered in time.
const DEADLINE_MARGIN_CLOCK_TICKS: f64 = 2.0;
/// Minimum time between two cuts of the concurrency limit by other relays' notices, as a multiple of the
/// connect time-out.
const NOTICE_SETTLE_CONNECT_TIMEOUTS: f64 = 2.0;

/// The load balancer of one relay: its state and all its decisions.
#[derive(Default)]
pub struct LoadBalancer {
    pub(super) settings: Settings,
    /// State of the pseudo-random number generator.
    pub(super) random_state: u64,
    /// End of the list lease: until then the endpoint list may be used for new attempts.
    pub(super) list_valid_until: Millis,
    /// Endpoints, requests, and which request is placed at which endpoint.
    pub(crate) placements: Placements,
    /// Requests that wait until the concurrency limit admits them.
    pub(crate) queue: BTreeSet<RequestId>,
    /// Requests that wait until the endpoint list may be used.
    pub(super) awaiting_list: BTreeSet<RequestId>,
    /// The assignment of groups to endpoints.
    pub(super) assignment: GroupAssignment,
    /// Arrivals at this relay by group.
    pub(super) group_sample: GroupSample,
    /// Arrivals by group, summed over several relays.
    pub(crate) merged_sample: MergedSample,
    /// Mean of the work, in ms per second, that connections report: the unit in which loads are counted.
    pub(super) reported_work: RunningMean,
    /// Whether message delays are reported. If they are, load limits track the endpoints better than an even
    /// distribution of load can. The flag is set by the first report of a message delay, and never cleared.
    pub(super) latency_is_reported: bool,
    /// Which endpoints hold which clients and groups, and the messages that relays exchange about that.
    pub(crate) cluster: ClusterState,
    /// Limit on the number of set-ups in flight while a fault is common to all endpoints.
    pub(super) concurrency_limit: ConcurrencyLimit,
    /// Endpoint fault score: whether this relay's connections recently broke through the fault of their
    /// endpoint, from 1 (all of them) to -1 (none).
    pub(super) endpoint_fault_score: f64,
    /// Whether the timer is set for the next step in which clients of draining endpoints are asked to
    /// reconnect.
    pub(super) drain_timer_is_set: bool,
    /// State of the slow start: this relay's sends to endpoints that are warming up.
    pub(super) slow_start: SlowStart,
    /// Requests and retries within the window of the retry budget.
    pub(super) retry_budget_use: RetryBudgetUse,
}

impl LoadBalancer {
    /// Creates a load balancer that has no state but its settings. Its first event must be the endpoint list
    /// as last stored. `seed` is this relay's own; the same seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        LoadBalancer {
            cluster: ClusterState::new(&settings, seed, now),
            settings,
            random_state: seed,
            list_valid_until: f64::INFINITY,
            concurrency_limit: ConcurrencyLimit::new(now),
            slow_start: SlowStart { relay_started_at: now, ..SlowStart::default() },
            ..LoadBalancer::default()
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Actions) {
        match event {
            Event::Settings(settings) => self.handle_settings(*settings, actions),
            Event::List { kind: ListKind::Failed, .. } => self.cluster.record_list_poll_failure(now),
            Event::List { kind, endpoints } => self.handle_list(now, kind, endpoints, actions),
            Event::ListValidUntil(valid_until) => self.handle_list_lease(now, valid_until, actions),
            Event::Request(request) => self.handle_request(now, request, actions),
            Event::ExistingConnection { request, endpoint } => {
                self.handle_existing_connection(now, request, endpoint);
            }
            Event::Established { request, attempt, elapsed } => {
                self.handle_established(now, request, attempt, elapsed);
            }
            Event::AttemptEnded { request, attempt, endpoint, outcome, finished } => {
                let end = AttemptEnd { request, attempt, endpoint, outcome, finished };
                self.handle_attempt_ended(now, end, actions);
            }
            Event::ClientDisconnected(id) => self.forget(id),
            Event::Measured { request, measurement } => {
                self.handle_measurement(now, request, measurement, actions);
            }
            Event::PeerMessage { peer, message } => self.handle_peer_message(now, peer, message, actions),
            Event::Timer(DRAIN_TIMER) => self.migrate_draining_clients(now, actions),
            Event::Timer(CLUSTER_TIMER) => self.cluster.on_timer(now),
            Event::Timer(token) => self.dispatch(now, RequestId(token), 0.0, actions),
        }
        self.apply_cluster_state(now, actions);
        self.dispatch_queue(now, actions);
    }

    /// Applies new settings. If the way in which the endpoint list reaches this relay has changed, subscribes
    /// to the list again.
    fn handle_settings(&mut self, settings: Settings, actions: &mut Actions) {
        self.cluster.apply_settings(&settings);
        if settings.discovery != self.settings.discovery {
            actions.push(Action::Subscribe);
        }
        self.settings = settings;
        self.assignment.invalidate();
    }

    /// Applies an endpoint list, or changes to it.
    fn handle_list(
        &mut self,
        now: Millis,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
        actions: &mut Actions,
    ) {
        self.cluster.apply_list(now, kind, &entries);
        let weight_changed = self.placements.endpoints.apply_list(kind, entries);
        self.start_drain_steps(now, actions);
        let endpoints = &self.placements.endpoints;
        self.assignment.set_ready_endpoints(endpoints.ready(), weight_changed);
        let ready = self.assignment.ready_endpoints.iter();
        self.assignment.total_weight = ready.map(|id| endpoints.by_id[id].weight).sum();
    }

    /// Tracks a new request, and starts an attempt for it, holds it or answers it.
    fn handle_request(&mut self, now: Millis, mut request: Request, actions: &mut Actions) {
        let id = request.id;
        request.deadline -= DEADLINE_MARGIN_CLOCK_TICKS * self.settings.resolution;
        self.retry_budget_use.requests.record(now);
        self.record_group_arrival(now, &request, actions);
        self.cluster.count_request();
        let tracked = self.tracked_request(now, request, Stage::Pending);
        self.placements.requests.by_id.insert(id, tracked);
        self.dispatch(now, id, 0.0, actions);
    }

    /// Tracks a connection that was already established through this relay before the load balancer started.
    fn handle_existing_connection(&mut self, now: Millis, request: Request, endpoint: EndpointId) {
        let id = request.id;
        let tracked =
            TrackedRequest { attempts: 1, ..self.tracked_request(now, request, Stage::Established) };
        self.cluster.record_location(now, &tracked.request, tracked.load, &endpoint);
        self.placements.requests.by_id.insert(id, tracked);
        self.placements.assign(id, endpoint);
    }

    /// Handles a message from another relay.
    fn handle_peer_message(&mut self, now: Millis, peer: u32, message: PeerMessage, actions: &mut Actions) {
        match message {
            PeerMessage::Cluster(ClusterMessage::LoadReport(rows)) => {
                let weights = self.placements.endpoints.weights_by_tag();
                self.cluster.receive_load_report(now, peer, rows, &weights);
            }
            PeerMessage::Cluster(ClusterMessage::OverloadNotice(endpoint)) => {
                if self.cluster.receive_overload_notice(now, endpoint) {
                    let settle_time = NOTICE_SETTLE_CONNECT_TIMEOUTS * self.settings.connect_timeout;
                    self.concurrency_limit.record_peer_warning(
                        now,
                        self.placements.requests.attempts_in_flight,
                        settle_time,
                    );
                }
            }
            PeerMessage::Cluster(message) => self.cluster.receive(now, peer, message),
            PeerMessage::GroupSizes(sizes) => {
                let reply = self.merged_sample.receive(peer, sizes, &self.group_sample, &self.settings);
                actions.extend(reply);
            }
            PeerMessage::Quota(_) => {}
        }
    }

    /// Applies what the cluster state has learned since the last event, and sends its pending messages to
    /// other relays.
    fn apply_cluster_state(&mut self, now: Millis, actions: &mut Actions) {
        let reported = self.cluster.take_learned_sizes(now, MAX_REPORTED_ARRIVALS);
        if let Some(sample) = reported.filter(|sample| sample.total() > self.group_sample.total()) {
            self.group_sample = sample;
            self.assignment.invalidate();
        }
        let cluster_load = self.cluster.take_cluster_load(now, || self.placements.endpoints.load_report());
        if let Some(cluster_load) = cluster_load {
            self.placements.endpoints.apply_cluster_load(now, &cluster_load);
            self.rebalance(now, actions);
        }
        self.cluster.flush(now, CLUSTER_TIMER, actions);
    }

    /// Counts an arrival for its group. Clients that return are not counted: they would make groups with
    /// failures appear larger than they are.
    fn record_group_arrival(&mut self, now: Millis, request: &Request, actions: &mut Actions) {
        let Some(group) = request.group.as_ref().filter(|_| !request.is_returning) else { return };
        self.group_sample.record(slot_of_key(group.0.as_bytes()));
        self.assignment.invalidate();
        let report = self.merged_sample.record_arrival(now, &self.group_sample, &self.settings);
        actions.extend(report);
    }

    /// Creates the tracked state of a request. Its load is a multiple of the mean load if both are known,
    /// otherwise 1.
    fn tracked_request(&self, now: Millis, request: Request, stage: Stage) -> TrackedRequest {
        let load = request.load.zip(self.reported_work.mean()).map_or(1.0, |(load, mean)| load / mean);
        TrackedRequest::new(now, request, stage, load)
    }

    /// Removes a request and everything that was counted for it.
    pub(super) fn forget(&mut self, id: RequestId) {
        self.placements.remove(id);
        self.queue.remove(&id);
        self.awaiting_list.remove(&id);
    }

    /// The class of a request, if the settings define it.
    pub(super) fn class(&self, request: &Request) -> Option<&Class> {
        self.settings.classes.get(request.class?.0)
    }

    /// The latency objective of a request, in ms: that of its class, but at most half of the time that its
    /// client waits. Without a class, the time that the client waits is all that is known.
    pub(super) fn latency_objective(&self, tracked: &TrackedRequest) -> Millis {
        let class_objective =
            self.class(&tracked.request).map_or(f64::INFINITY, |class| class.latency_objective);
        class_objective.min((tracked.request.deadline - tracked.arrived_at) / 2.0)
    }

    /// Priority weight of a request per unit of the load that it brings.
    pub(super) fn priority_per_load(&self, tracked: &TrackedRequest) -> f64 {
        let weight = self.class(&tracked.request).map_or(0.0, |class| class.priority_weight);
        weight / tracked.load.max(f64::MIN_POSITIVE)
    }

    /// The next pseudo-random number in `[0, 1)`.
    pub(super) fn random(&mut self) -> f64 {
        self.random_state = xxh3_64_with_seed(&[], self.random_state);
        unit_fraction_of_hash(self.random_state)
    }

    /// The settings in effect.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The request with this id as it arrived, pending or established.
    pub(crate) fn request(&self, id: RequestId) -> Option<&Request> {
        self.placements.requests.by_id.get(&id).map(|tracked| &tracked.request)
    }

    /// List entries of the endpoints that match `predicate`, as known here, with `state` as their state.
    pub(crate) fn entries(
        &self,
        predicate: impl Fn(&EndpointId) -> bool,
        state: EndpointState,
    ) -> Vec<EndpointEntry> {
        let entry = |(id, endpoint): (&EndpointId, &Endpoint)| EndpointEntry {
            id: id.clone(),
            state,
            weight: endpoint.weight,
            started: endpoint.started,
            zone: endpoint.zone.clone(),
            cell: endpoint.cell,
        };
        self.placements.endpoints.by_id.iter().filter(|(id, _)| predicate(id)).map(entry).collect()
    }

    /// Which endpoints hold which clients and groups, and the messages that relays exchange about that.
    pub(crate) fn cluster_state(&self) -> &ClusterState {
        &self.cluster
    }

    /// Mutable access to [`Self::cluster_state`].
    pub(crate) fn cluster_state_mut(&mut self) -> &mut ClusterState {
        &mut self.cluster
    }
}
