//! This relay's part of the cluster state: its tables of clients and groups, and its exchange of those
//! tables, of loads and of poll rates with the other relays.
//!
//! Inputs: placements, endpoint lists, messages from other relays and stored records, each with the time in
//! milliseconds. Outputs: messages and timers (through [`ClusterState::flush`]), client locations, group
//! sizes and loads. This module only keeps records; the load balancer makes the decisions that follow from
//! them.

use std::collections::BTreeMap;

use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::endpoint_registry::{ListedEndpoint, ListedState};
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_affinity::replication::Replication;
use sandgw_affinity::{Affinity, Changes, Limits, Record, RestoreSummary, Statistics};
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::load_aggregation::{ClusterLoad, LoadAggregation, Tag};
use sandgw_cluster::location_gossip::LocationGossip;
use sandgw_cluster::overload_gossip::OverloadGossip;
use sandgw_cluster::poll_scheduler::{PollScheduler, PollSettings};

use super::api::*;
use super::group_sample::GroupSample;
use super::hashing::{endpoint_tag, key_hash, slot_of_hash};

/// Only the largest groups' learned sizes are taken over, at most this many; the groups after them are small.
const MAX_LEARNED_GROUPS: usize = 512;
/// The longest interval between polls is the maximum age of the endpoint list divided by this.
const MAX_POLL_INTERVAL_DIVISOR: f64 = 2.0;

/// What this relay knows about the cluster, and its side of every exchange with the other relays.
pub(crate) struct ClusterState {
    affinity: Affinity,
    replication: Replication,
    location_gossip: LocationGossip,
    load_aggregation: LoadAggregation,
    poll_scheduler: PollScheduler,
    overload_gossip: OverloadGossip,
    poll_settings: PollSettings,
    /// Whether this relay polls discovery for the endpoint list.
    polls_discovery: bool,
    /// Whether packets pass through. Only then are the locations of clients recorded.
    packet_passthrough: bool,
    /// Whether the relays may send each other messages.
    peer_messages: bool,
    /// Whether no request is placed before the first poll has ended.
    serves_after_first_poll: bool,
    /// Whether stored records were restored since group sizes were last taken.
    has_restored_sizes: bool,
    outbox: Outbox,
}

impl Default for ClusterState {
    fn default() -> Self {
        ClusterState::new(&Settings::default(), 0, 0.0)
    }
}

impl ClusterState {
    /// Creates empty tables.
    pub fn new(settings: &Settings, seed: u64, now: Millis) -> Self {
        let limits = Limits { position: position(settings), ..settings.affinity_limits };
        ClusterState {
            affinity: Affinity::new(limits, now),
            replication: Replication::new(seed),
            location_gossip: LocationGossip::default(),
            load_aggregation: LoadAggregation::default(),
            poll_scheduler: PollScheduler::new(seed),
            overload_gossip: OverloadGossip::new(seed),
            poll_settings: poll_settings(settings),
            polls_discovery: polls_discovery(settings),
            packet_passthrough: settings.packet_passthrough,
            peer_messages: settings.peer_messages,
            serves_after_first_poll: false,
            has_restored_sizes: false,
            outbox: Outbox::new(),
        }
    }

    /// Applies new settings. The size of the tables doesn't change.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.packet_passthrough = settings.packet_passthrough;
        self.peer_messages = settings.peer_messages;
        self.poll_settings = poll_settings(settings);
        self.polls_discovery = polls_discovery(settings);
        self.affinity.set_position(position(settings));
    }

    /// Applies an endpoint list or changes to it. The cached list is the first one: with it, this relay
    /// requests the other relays' tables.
    pub fn apply_list(&mut self, now: Millis, kind: ListKind, entries: &[EndpointEntry]) {
        let is_full = matches!(kind, ListKind::Full | ListKind::Cached);
        self.affinity.apply_list(now, is_full, entries.iter().map(listed_endpoint));
        match kind {
            ListKind::Full | ListKind::Delta => {
                self.poll_scheduler.record_answer(now, &self.poll_settings, &mut self.outbox);
            }
            ListKind::Cached if self.polls_discovery => {
                if self.serves_after_first_poll {
                    self.poll_scheduler.start_before_serving(now, &self.poll_settings);
                } else {
                    self.poll_scheduler.start(now, &self.poll_settings);
                }
            }
            ListKind::Cached | ListKind::Failed | ListKind::Gossip => {}
        }
        if kind == ListKind::Cached && self.peer_messages {
            self.replication.recover(&self.affinity, now, &mut self.outbox);
        }
    }

    /// Notes that no request is placed before the first poll has ended, so that this poll is made soon.
    pub fn serve_after_first_poll(&mut self) {
        self.serves_after_first_poll = true;
    }

    /// Handles a failed poll of the endpoint list, or a watch that broke off.
    pub fn record_list_poll_failure(&mut self, now: Millis) {
        self.poll_scheduler.record_failure(now, &self.poll_settings, &mut self.outbox);
    }

    /// Notifies other relays that a connection set-up at this endpoint was late.
    pub fn report_late_setup(&mut self, now: Millis, endpoint: &EndpointId) {
        let tag = endpoint_tag(&endpoint.0);
        let position = self.poll_settings.position;
        self.overload_gossip.report_late_setup(now, tag, position, &mut self.outbox);
    }

    /// Takes another relay's notice of a late set-up. Returns whether late set-ups are common to all
    /// endpoints.
    pub fn receive_overload_notice(&mut self, now: Millis, endpoint: Tag) -> bool {
        self.overload_gossip.receive_notice(now, endpoint)
    }

    /// Records an established connection, and sends the location of its client to the other relays.
    pub fn record_established(&mut self, now: Millis, request: &Request, load: f64, endpoint: &EndpointId) {
        let is_new = self.record_location(now, request, load, endpoint);
        // The location of a connection that arrived mid-flow is sent even if this relay knows it already: the
        // relays that hold replicas of it may have restarted since.
        let is_mid_flow = self.packet_passthrough && request.mid_flow;
        if (is_new || is_mid_flow) && self.peer_messages {
            self.location_gossip.queue_update(now, Affinity::client_key(&request.client_key()));
        }
    }

    /// Records a connection that has just been established, or that was established before this relay
    /// started. Returns whether the location of its client is new. Locations from before the start are sent
    /// in answer to queries only: sending all of them at once would take many messages.
    pub fn record_location(
        &mut self,
        now: Millis,
        request: &Request,
        load: f64,
        endpoint: &EndpointId,
    ) -> bool {
        if let Some(group) = &request.group {
            let group = key_hash(group.0.as_bytes());
            self.affinity.record_group_connection(now, group, &endpoint.0, load);
        }
        if !self.packet_passthrough {
            return false;
        }
        let client = Affinity::client_key(&request.client_key());
        self.affinity.record_session(now, client, &endpoint.0)
    }

    /// The ready endpoint that holds this client's connection, if it is known.
    pub fn sticky_endpoint(&self, request: &Request) -> Option<EndpointId> {
        let client = Affinity::client_key(&request.client_key());
        self.affinity.session(client).map(EndpointId)
    }

    /// Queries other relays for the endpoint of a connection that arrives mid-flow. Returns in how many
    /// milliseconds to look again; `None` if no other relay is queried.
    pub fn query_location(&mut self, now: Millis, request: &Request) -> Option<Millis> {
        if !self.peer_messages {
            return None;
        }
        let client = Affinity::client_key(&request.client_key());
        self.location_gossip.query(&self.affinity, now, client, &mut self.outbox)
    }

    /// Handles a message from another relay.
    pub fn receive(&mut self, now: Millis, peer: u32, message: ClusterMessage) {
        match message {
            ClusterMessage::LocationQuery(clients) => {
                self.location_gossip.handle_query(&self.affinity, peer, &clients, &mut self.outbox);
            }
            ClusterMessage::PollRate { interval_ms, call_duration_ms } => {
                let interval = f64::from(interval_ms);
                let call_duration = f64::from(call_duration_ms);
                self.poll_scheduler.receive_poll_rate(now, interval, call_duration, &self.poll_settings);
            }
            ClusterMessage::ClusterLoads { total, rows } => {
                self.load_aggregation.handle_cluster_loads(peer, total, &rows);
            }
            message => {
                self.replication.receive(&mut self.affinity, now, peer, message, &mut self.outbox);
            }
        }
    }

    /// Handles another relay's load report and answers it with the load of the cluster.
    pub fn receive_load_report(
        &mut self,
        now: Millis,
        peer: u32,
        rows: Vec<(Tag, u8)>,
        weights: &BTreeMap<Tag, f64>,
    ) {
        if !self.aggregates_load() {
            return;
        }
        let relay_count = self.affinity.position().relay_count;
        let weight = |tag| weights.get(&tag).copied().unwrap_or_default();
        self.load_aggregation.handle_report(now, peer, relay_count, rows, weight, &mut self.outbox);
    }

    /// Counts an arrived request, which may make a report of this relay's load due.
    pub fn count_request(&mut self) {
        self.load_aggregation.record_connection();
    }

    /// Reports this relay's load by endpoint if a report is due. Returns the load of the cluster if a new
    /// value has arrived since the last call.
    pub fn take_cluster_load(
        &mut self,
        now: Millis,
        local_load: impl FnOnce() -> Vec<(Tag, f64)>,
    ) -> Option<ClusterLoad> {
        if !self.aggregates_load() {
            return None;
        }
        let position = self.affinity.position();
        self.load_aggregation.report(now, position, local_load, &mut self.outbox);
        self.load_aggregation.take_cluster_load()
    }

    /// Handles a timer that [`ClusterState::flush`] has set.
    pub fn on_timer(&mut self, now: Millis) {
        self.replication.on_timer(&self.affinity, now, &mut self.outbox);
        self.location_gossip.on_timer(&self.affinity, now, &mut self.outbox);
    }

    /// Appends the messages to be sent, a subscription if a poll is due, and the timers for the next call.
    pub fn flush(&mut self, now: Millis, token: u64, out: &mut Actions) {
        if self.poll_scheduler.take_due(now) {
            out.push(Action::Subscribe);
        }
        if !self.peer_messages {
            self.outbox.clear();
        }
        out.extend(self.outbox.drain(..).map(send_to_peer));
        let timers = [
            self.replication.timer(now),
            self.location_gossip.timer(now),
            self.load_aggregation.timer(now),
            self.poll_scheduler.timer(now),
        ];
        let timers = timers.into_iter().flatten();
        out.extend(timers.map(|after| Action::SetTimer { after, token }));
    }

    /// The groups' sizes by slot. Returned once each time other relays or a store have reported sizes, as a
    /// sample that counts for as many arrivals as the sizes rest on, but at most `max_arrivals`.
    pub fn take_learned_sizes(&mut self, now: Millis, max_arrivals: f64) -> Option<GroupSample> {
        let has_learned = std::mem::take(&mut self.has_restored_sizes) || self.replication.take_learned();
        if !has_learned {
            return None;
        }
        let sizes = self.affinity.group_sizes(now, MAX_LEARNED_GROUPS);
        let total: f64 = sizes.iter().map(|size| size.load).sum();
        let arrivals = self.affinity.counted_load(now).min(max_arrivals);
        let mut sample = GroupSample::default();
        for size in sizes {
            *sample.arrivals.entry(slot_of_hash(size.group)).or_default() += size.load / total * arrivals;
        }
        (total > 0.0).then_some(sample)
    }

    /// The load of the cluster that other relays or a store have reported, and the confidence in it relative
    /// to this relay's own count, from 0 to 1.
    pub fn reported_cluster_load(&self, now: Millis) -> (f64, f64) {
        let estimate = self.affinity.estimated_load(now);
        (estimate.load, estimate.confidence)
    }

    /// Starts tracking changes for [`ClusterState::take_changes`]. The first changes are all records that are
    /// known now.
    pub fn track_changes(&mut self) {
        self.affinity.track_changes();
    }

    /// Takes the changes since the last call, at most `max_entries` of them.
    pub fn take_changes(&mut self, now: Millis, max_entries: usize) -> Changes {
        self.affinity.take_changes(now, max_entries)
    }

    /// Restores stored records.
    pub fn restore(&mut self, now: Millis, records: impl Iterator<Item = Record>) -> RestoreSummary {
        self.has_restored_sizes = true;
        self.affinity.restore(now, records)
    }

    /// Counters and gauges of the tables.
    pub fn statistics(&self) -> Statistics {
        Statistics { resent_chunks: self.replication.resent_chunks(), ..self.affinity.statistics() }
    }

    fn aggregates_load(&self) -> bool {
        self.peer_messages && LoadAggregation::is_needed(self.affinity.position().relay_count)
    }
}

fn position(settings: &Settings) -> ClusterPosition {
    ClusterPosition { local_index: settings.local_index, relay_count: settings.relay_count }
}

fn poll_settings(settings: &Settings) -> PollSettings {
    PollSettings {
        position: position(settings),
        first_backoff: settings.connect_timeout,
        max_interval: settings.list_max_age / MAX_POLL_INTERVAL_DIVISOR,
    }
}

fn polls_discovery(settings: &Settings) -> bool {
    settings.discovery == Discovery::OnRequest
}

fn listed_endpoint(entry: &EndpointEntry) -> ListedEndpoint<'_> {
    let state = match entry.state {
        EndpointState::Ready => ListedState::Ready,
        EndpointState::Draining => ListedState::Draining,
        EndpointState::Removed => ListedState::Removed,
    };
    ListedEndpoint { id: &entry.id.0, started: entry.started, state }
}

fn send_to_peer(outgoing: OutgoingMessage) -> Action {
    let message = PeerMessage::Cluster(outgoing.message);
    Action::SendToPeer { peer: outgoing.peer, message }
}
