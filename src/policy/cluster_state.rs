//! The relay's part of the cluster's state: the tables of clients and groups, and what is exchanged of
//! them, of loads and of polls with the other relays.
//!
//! Inputs are placements, lists, other relays' messages and stored records, with the time in milliseconds;
//! outputs are messages and timers (by [`ClusterState::flush`]), locations, sizes and loads. It is
//! bookkeeping only: what follows from it is decided by the load balancer.

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

/// Groups whose learned sizes are taken over: those beyond them are small.
const MAX_LEARNED_GROUPS: usize = 512;
/// The list may go without a poll for this fraction of its maximum age.
const MAX_POLL_INTERVAL_DIVISOR: f64 = 2.0;

/// What this relay knows of the cluster, and its part in every exchange with the other relays.
pub(crate) struct ClusterState {
    affinity: Affinity,
    replication: Replication,
    location_gossip: LocationGossip,
    load_aggregation: LoadAggregation,
    poll_scheduler: PollScheduler,
    overload_gossip: OverloadGossip,
    poll_settings: PollSettings,
    /// Whether the list has to be polled.
    polls_discovery: bool,
    /// Whether clients' locations matter.
    packet_passthrough: bool,
    /// Whether the relays may send each other messages.
    peer_messages: bool,
    /// Nothing is placed before the first poll has ended.
    serves_after_first_poll: bool,
    has_restored_sizes: bool,
    outbox: Outbox,
}

impl Default for ClusterState {
    fn default() -> Self {
        ClusterState::new(&Settings::default(), 0, 0.0)
    }
}

impl ClusterState {
    /// Empty tables.
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

    /// Takes new settings; the size of the tables stays as it was.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.packet_passthrough = settings.packet_passthrough;
        self.peer_messages = settings.peer_messages;
        self.poll_settings = poll_settings(settings);
        self.polls_discovery = polls_discovery(settings);
        self.affinity.set_position(position(settings));
    }

    /// Takes a list or changes to it. With the cached list, which is the first, the other relays' tables
    /// are requested.
    pub fn apply_list(&mut self, now: Millis, kind: ListKind, entries: &[EndpointEntry]) {
        let is_full = matches!(kind, ListKind::Full | ListKind::Cached);
        self.affinity.apply_list(now, is_full, entries.iter().map(listed_endpoint));
        match kind {
            ListKind::Full | ListKind::Delta => {
                self.poll_scheduler.record_answer(now, &self.poll_settings, &mut self.outbox);
            }
            ListKind::Cached if self.polls_discovery => {
                if self.serves_after_first_poll {
                    self.poll_scheduler.start_soon(now, &self.poll_settings);
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

    /// Nothing is placed before the first poll has ended: it is made soon.
    pub fn serve_after_first_poll(&mut self) {
        self.serves_after_first_poll = true;
    }

    /// A poll of the list has failed, or its watch broke off.
    pub fn list_poll_failed(&mut self, now: Millis) {
        self.poll_scheduler.record_failure(now, &self.poll_settings, &mut self.outbox);
    }

    /// A set-up was late at an endpoint.
    pub fn report_late_setup(&mut self, now: Millis, endpoint: &EndpointId) {
        let tag = endpoint_tag(&endpoint.0);
        let position = self.poll_settings.position;
        self.overload_gossip.report_late_setup(now, tag, position, &mut self.outbox);
    }

    /// Another relay's set-up was late; whether that is common to all endpoints.
    pub fn receive_overload_notice(&mut self, now: Millis, endpoint: Tag) -> bool {
        self.overload_gossip.receive_notice(now, endpoint)
    }

    /// A connection is established. Its location is sent to the other relays.
    pub fn record_established(&mut self, now: Millis, request: &Request, load: f64, endpoint: &EndpointId) {
        let is_new = self.record_location(now, request, load, endpoint);
        // The location of a connection that arrived mid-flow is sent even if it is known here: its replicas
        // may have restarted since.
        let is_mid_flow = self.packet_passthrough && request.mid_flow;
        if (is_new || is_mid_flow) && self.peer_messages {
            self.location_gossip.queue_update(now, Affinity::client_key(&request.client_key()));
        }
    }

    /// A connection is established, since before the start or as of now; whether its client's location is
    /// new. Locations from before the start are sent in answer to queries only: all at once they would be
    /// many messages.
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

    /// The ready endpoint that holds a client's connection, if that is known.
    pub fn sticky_endpoint(&self, request: &Request) -> Option<EndpointId> {
        let client = Affinity::client_key(&request.client_key());
        self.affinity.session(client).map(EndpointId)
    }

    /// In how long to look again for the holder of a connection that arrives mid-flow, if other relays are
    /// queried.
    pub fn query_location(&mut self, now: Millis, request: &Request) -> Option<Millis> {
        if !self.peer_messages {
            return None;
        }
        let client = Affinity::client_key(&request.client_key());
        self.location_gossip.query(&self.affinity, now, client, &mut self.outbox)
    }

    /// Takes another relay's message.
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

    /// Takes another relay's load report, and answers it with the cluster's load.
    pub fn receive_load_report(
        &mut self,
        now: Millis,
        peer: u32,
        rows: Vec<(Tag, u8)>,
        sizes: &BTreeMap<Tag, f64>,
    ) {
        if !self.aggregates_load() {
            return;
        }
        let relay_count = self.affinity.position().relay_count;
        let weight = |tag| sizes.get(&tag).copied().unwrap_or_default();
        self.load_aggregation.handle_report(now, peer, relay_count, rows, weight, &mut self.outbox);
    }

    /// A connection has arrived; this relay's load may be reported.
    pub fn count_request(&mut self) {
        self.load_aggregation.record_connection();
    }

    /// Reports this relay's load by endpoint where that is due; gives the cluster's load, once it is known
    /// anew.
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

    /// A timer of [`ClusterState::flush`] is due.
    pub fn on_timer(&mut self, now: Millis) {
        self.replication.on_timer(&self.affinity, now, &mut self.outbox);
        self.location_gossip.on_timer(&self.affinity, now, &mut self.outbox);
    }

    /// Messages to be sent, a poll that is due, and the timers for the next call.
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

    /// The groups' sizes by slot, once after other relays or a store have reported them: as a sample of as
    /// many arrivals as they rest on, at most `max_arrivals`.
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

    /// The load of the cluster as other relays or a store have reported it, and how much to trust it over
    /// this relay's own count, from 0 to 1.
    pub fn fleet_load(&self, now: Millis) -> (f64, f64) {
        let estimate = self.affinity.estimated_load(now);
        (estimate.load, estimate.confidence)
    }

    /// From now on changes are tracked for [`ClusterState::take_changes`], of which all that is known is
    /// the first.
    pub fn track_changes(&mut self) {
        self.affinity.track_changes();
    }

    /// Changes since the last call, at most `max_entries` entries.
    pub fn take_changes(&mut self, now: Millis, max_entries: usize) -> Changes {
        self.affinity.take_changes(now, max_entries)
    }

    /// Takes stored entries.
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
