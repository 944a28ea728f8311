//! The load balancer's state, and which rule takes which event.
//!
//! A state machine without I/O: it is handed events with the time and appends actions, in the order in
//! which they are to be carried out. Every decision is in a module of its own; see the table in
//! [`crate::policy`].

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
use super::hashing::{slot_of_key, unit_of_hash};
use super::placements::Placements;
use super::request_table::{Stage, TrackedRequest};
use super::retry::RetryBudgetUse;
use super::slow_start::SlowStart;

/// Token of the timer for the steps in which clients of draining endpoints are asked to reconnect. Request
/// ids, which are tokens too, stay far below.
pub(super) const DRAIN_TIMER: u64 = 1 << 62;
/// Token of the timers of [`ClusterState`].
const CLUSTER_TIMER: u64 = DRAIN_TIMER + 1;
/// Arrivals that the groups' sizes count for at the most, as other relays or a store report them.
const MAX_REPORTED_ARRIVALS: f64 = SAMPLE_SIZE / 2.0;
/// A request's deadline is brought forward by this many readings of the clock, so that the outcome of its
/// last attempt is still answered in time.
const DEADLINE_MARGIN_READINGS: f64 = 2.0;
/// Connect time-outs between two cuts of the concurrency limit by other relays' notices.
const NOTICE_SPAN_CONNECT_TIMEOUTS: f64 = 2.0;

/// The decisions of one relay.
#[derive(Default)]
pub struct LoadBalancer {
    pub(super) settings: Settings,
    /// What random numbers go on from.
    pub(super) random_state: u64,
    /// Until when the list may be used for new attempts.
    pub(super) list_valid_until: Millis,
    /// Endpoints, requests, and which is placed where.
    pub(crate) placements: Placements,
    /// Requests that wait for their turn.
    pub(crate) queue: BTreeSet<RequestId>,
    /// Requests that wait until the list may be used.
    pub(super) awaiting_list: BTreeSet<RequestId>,
    /// Which endpoints serve which group.
    pub(super) assignment: GroupAssignment,
    /// Own arrivals by group.
    pub(super) group_sample: GroupSample,
    /// The sum of several relays' arrivals by group.
    pub(crate) merged_sample: MergedSample,
    /// Mean of the work, in ms a second, that connections report: the unit that loads are counted in.
    pub(super) reported_work: RunningMean,
    /// Message delays are reported: load limits follow them better than an even distribution can. Set by
    /// the first report, and never cleared.
    pub(super) latency_is_reported: bool,
    /// Where clients and groups are held, and what relays exchange about it.
    pub(crate) cluster: ClusterState,
    /// How many set-ups may be out at once while a fault is common to all endpoints.
    pub(super) concurrency_limit: ConcurrencyLimit,
    /// Whether own connections broke off lately by their endpoint's fault: from 1 (all) to -1 (none).
    pub(super) endpoint_fault_score: f64,
    /// The timer of the drain steps is set.
    pub(super) drain_timer_is_set: bool,
    /// Own sends to endpoints that warm up.
    pub(super) slow_start: SlowStart,
    /// Requests and retries within the retry budget's window.
    pub(super) retry_budget_use: RetryBudgetUse,
}

impl LoadBalancer {
    /// A load balancer without any state but its settings. Its first event is the list as last held. `seed`
    /// is this relay's own; the same seed and events give the same actions.
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

    /// Takes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Actions) {
        match event {
            Event::Settings(settings) => self.handle_settings(*settings, actions),
            Event::List { kind: ListKind::Failed, .. } => self.cluster.list_poll_failed(now),
            Event::List { kind, endpoints } => self.handle_list(now, kind, endpoints, actions),
            Event::ListValidUntil(end) => self.handle_list_lease(now, end, actions),
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
            Event::ClientGone(id) => self.forget(id),
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

    /// Takes new settings. The list is asked for anew where it reaches this relay in another way.
    fn handle_settings(&mut self, settings: Settings, actions: &mut Actions) {
        self.cluster.apply_settings(&settings);
        if settings.discovery != self.settings.discovery {
            actions.push(Action::Subscribe);
        }
        self.settings = settings;
        self.assignment.invalidate();
    }

    /// Takes a list of endpoints, or changes to it.
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

    /// Takes a request and sends it on, holds it or answers it.
    fn handle_request(&mut self, now: Millis, mut request: Request, actions: &mut Actions) {
        let id = request.id;
        request.deadline -= DEADLINE_MARGIN_READINGS * self.settings.resolution;
        self.retry_budget_use.requests.record(now);
        self.record_group_arrival(now, &request, actions);
        self.cluster.count_request();
        let tracked = self.track(now, request, Stage::Pending);
        self.placements.requests.by_id.insert(id, tracked);
        self.dispatch(now, id, 0.0, actions);
    }

    /// Takes a connection that was routed through here before the start.
    fn handle_existing_connection(&mut self, now: Millis, request: Request, endpoint: EndpointId) {
        let id = request.id;
        let tracked = TrackedRequest { attempts: 1, ..self.track(now, request, Stage::Established) };
        self.cluster.record_location(now, &tracked.request, tracked.load, &endpoint);
        self.placements.requests.by_id.insert(id, tracked);
        self.placements.assign(id, endpoint);
    }

    /// Takes a message from another relay.
    fn handle_peer_message(&mut self, now: Millis, peer: u32, message: PeerMessage, actions: &mut Actions) {
        match message {
            PeerMessage::Cluster(ClusterMessage::LoadReport(rows)) => {
                let weights = self.placements.endpoints.weights_by_tag();
                self.cluster.receive_load_report(now, peer, rows, &weights);
            }
            PeerMessage::Cluster(ClusterMessage::OverloadNotice(endpoint)) => {
                if self.cluster.receive_overload_notice(now, endpoint) {
                    let span = NOTICE_SPAN_CONNECT_TIMEOUTS * self.settings.connect_timeout;
                    self.concurrency_limit.record_peer_warning(
                        now,
                        self.placements.requests.attempts_out,
                        span,
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

    /// Takes what the cluster state has learned since the last event, and sends what it has for other relays.
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

    /// Counts an arrival for its group. Clients that come again would count groups in trouble double.
    fn record_group_arrival(&mut self, now: Millis, request: &Request, actions: &mut Actions) {
        let Some(group) = request.group.as_ref().filter(|_| !request.returned) else { return };
        self.group_sample.record(slot_of_key(group.0.as_bytes()));
        self.assignment.invalidate();
        let report = self.merged_sample.record_arrival(now, &self.group_sample, &self.settings);
        actions.extend(report);
    }

    /// A request as it is kept. Its load counts as a multiple of the mean, where both are known.
    fn track(&self, now: Millis, request: Request, stage: Stage) -> TrackedRequest {
        let load = request.load.zip(self.reported_work.mean()).map_or(1.0, |(load, mean)| load / mean);
        TrackedRequest::new(now, request, stage, load)
    }

    /// Drops a request and all that was counted for it.
    pub(super) fn forget(&mut self, id: RequestId) {
        self.placements.remove(id);
        self.queue.remove(&id);
        self.awaiting_list.remove(&id);
    }

    /// A request's class, where the settings name it.
    pub(super) fn class(&self, request: &Request) -> Option<&Class> {
        self.settings.classes.get(request.class?.0)
    }

    /// Wanted set-up time of a request, in ms: at most half of what its client waits, which is all that is
    /// known without a class.
    pub(super) fn latency_objective(&self, tracked: &TrackedRequest) -> Millis {
        let wanted = self.class(&tracked.request).map_or(f64::INFINITY, |class| class.latency_objective);
        wanted.min((tracked.request.deadline - tracked.arrived_at) / 2.0)
    }

    /// What a request is worth for the load that it brings.
    pub(super) fn priority_per_load(&self, tracked: &TrackedRequest) -> f64 {
        let weight = self.class(&tracked.request).map_or(0.0, |class| class.priority_weight);
        weight / tracked.load.max(f64::MIN_POSITIVE)
    }

    /// The next random number in `[0, 1)`.
    pub(super) fn random(&mut self) -> f64 {
        self.random_state = xxh3_64_with_seed(&[], self.random_state);
        unit_of_hash(self.random_state)
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A request as it arrived, or the one behind an established connection.
    pub(crate) fn request(&self, id: RequestId) -> Option<&Request> {
        self.placements.requests.by_id.get(&id).map(|tracked| &tracked.request)
    }

    /// Entries of the list as they are known, of the endpoints that are wanted, as if in this state.
    pub(crate) fn entries(
        &self,
        wanted: impl Fn(&EndpointId) -> bool,
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
        self.placements.endpoints.by_id.iter().filter(|(id, _)| wanted(id)).map(entry).collect()
    }

    /// Where clients and groups are held, and what relays exchange about it.
    pub(crate) fn cluster_state(&self) -> &ClusterState {
        &self.cluster
    }

    /// The same, to be changed.
    pub(crate) fn cluster_state_mut(&mut self) -> &mut ClusterState {
        &mut self.cluster
    }
}
