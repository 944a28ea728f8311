//! The tables of clients and groups beside the load balancer: what is remembered over restarts, with its
//! exchange between relays. Bookkeeping only; what follows from it is decided in the modules beside it.

use std::collections::BTreeMap;

use sandgw_affinity::endpoint_registry::State;
use sandgw_affinity::replication::{Replication, Sends};
use sandgw_affinity::{Affinity, Changes, Figures, Limits, Record, Restored};
use sandgw_cluster::load_aggregation::{ClusterLoad, LoadAggregation, Tag};
use sandgw_cluster::location_gossip::LocationGossip;
use sandgw_cluster::overload_gossip::OverloadGossip;
use sandgw_cluster::poll_scheduler::{ClusterView, PollScheduler};

use super::group_sample::GroupSample;
use super::hashing::{endpoint_tag, key_hash, slot_of_hash};
use crate::policy::api::*;

/// Groups whose sizes a plan starts from: those beyond them are small.
const MOST_SIZES: usize = 512;

/// Where clients and groups are held, as far as it is known.
pub(crate) struct ClusterState {
    affinity: Affinity,
    tier: Replication,
    news: LocationGossip,
    census: LoadAggregation,
    asking: PollScheduler,
    storm: OverloadGossip,
    among: ClusterView,
    /// Whether the list has to be asked for.
    asks: bool,
    /// Whether clients' places matter, and whether others may be told.
    packet_passthrough: bool,
    peers: bool,
    sizes_learned: bool,
    sends: Sends,
}

impl Default for ClusterState {
    fn default() -> Self {
        ClusterState::new(&Settings::default(), 0, 0.0)
    }
}

impl ClusterState {
    /// Empty tables.
    pub fn new(settings: &Settings, seed: u64, now: Millis) -> Self {
        let limits = Limits {
            relays: settings.relay_count,
            local_index: settings.local_index,
            ..settings.affinity_limits
        };
        let (affinity, tier) = (Affinity::new(limits, now), Replication::new(seed));
        let (packet_passthrough, peers) = (settings.packet_passthrough, settings.peer_messages);
        let (news, census, sends) = (LocationGossip::default(), LoadAggregation::default(), Sends::new());
        let (asking, storm) = (PollScheduler::new(seed), OverloadGossip::new(seed));
        let (among, asks) = (among(settings), asks(settings));
        ClusterState {
            affinity,
            tier,
            news,
            census,
            asking,
            storm,
            among,
            asks,
            packet_passthrough,
            peers,
            sizes_learned: false,
            sends,
        }
    }

    /// Takes new settings; what the tables may take up stays as it was.
    pub fn apply_settings(&mut self, settings: &Settings) {
        (self.packet_passthrough, self.peers) = (settings.packet_passthrough, settings.peer_messages);
        (self.among, self.asks) = (among(settings), asks(settings));
        self.affinity.renumber(settings.relay_count, settings.local_index);
    }

    /// Takes news of the list. With the list as last held, which is the first, the others are asked.
    pub fn apply_list(&mut self, now: Millis, kind: ListKind, entries: &[EndpointEntry]) {
        let state = |e: &EndpointEntry| match e.state {
            EndpointState::Ready => State::Ready,
            EndpointState::Draining => State::Draining,
            EndpointState::Removed => State::Removed,
        };
        let entries = entries.iter().map(|e| (&e.id.0, e.started, state(e)));
        self.affinity.list(now, matches!(kind, ListKind::Full | ListKind::Cached), entries);
        match kind {
            ListKind::Full | ListKind::Delta => self.asking.answered(now, &self.among, &mut self.sends),
            ListKind::Cached if self.asks => self.asking.start(now, &self.among),
            ListKind::Cached | ListKind::Failed | ListKind::Gossip => {}
        }
        if kind == ListKind::Cached && self.peers {
            self.tier.recover(&self.affinity, now, &mut self.sends);
        }
    }

    /// A call of the list has failed, or its watch broke off.
    pub fn list_poll_failed(&mut self, now: Millis) {
        self.asking.failed(now, &self.among, &mut self.sends);
    }

    /// A set-up has come late at a server.
    pub fn report_late_setup(&mut self, now: Millis, endpoint: &EndpointId) {
        let of = (self.among.local_index, self.among.relays);
        self.storm.late(now, endpoint_tag(&endpoint.0), of, &mut self.sends);
    }

    /// Another balancer's set-up has come late; whether that is common to all servers.
    pub fn receive_overload_notice(&mut self, now: Millis, endpoint: Tag) -> bool {
        self.storm.heard(now, endpoint)
    }

    /// A connection has come to stand. Where, is told to the others.
    pub fn record_established(&mut self, now: Millis, request: &Request, load: f64, endpoint: &EndpointId) {
        // Of one that arrived mid-flow too: who keeps its place may have started again since.
        if (self.record_location(now, request, load, endpoint) || self.packet_passthrough && request.mid_flow)
            && self.peers
        {
            self.news.tell(now, Affinity::client(&request.client_key()));
        }
    }

    /// A connection stands, since before the start or as of now; whether its client's place is news. Those
    /// of before the start are told to who asks only: all at once they would be many messages.
    pub fn record_location(
        &mut self,
        now: Millis,
        request: &Request,
        load: f64,
        endpoint: &EndpointId,
    ) -> bool {
        if let Some(group) = &request.group {
            self.affinity.place(now, key_hash(group.0.as_bytes()), &endpoint.0, load);
        }
        self.packet_passthrough
            && self.affinity.note(now, Affinity::client(&request.client_key()), &endpoint.0)
    }

    /// The ready server that a client's connection stands at, if that is known.
    pub fn sticky_endpoint(&self, request: &Request) -> Option<EndpointId> {
        self.affinity.session(Affinity::client(&request.client_key())).map(EndpointId)
    }

    /// In how long to look again for the holder of a connection that arrives mid-flow, where others are
    /// asked for it.
    pub fn query_location(&mut self, now: Millis, request: &Request) -> Option<Millis> {
        let client = Affinity::client(&request.client_key());
        self.peers.then(|| self.news.ask(&self.affinity, now, client, &mut self.sends))?
    }

    /// Takes another balancer's piece.
    pub fn receive(&mut self, now: Millis, peer: u32, piece: ClusterMessage) {
        match piece {
            ClusterMessage::LocationQuery(clients) => {
                self.news.answer(&self.affinity, peer, &clients, &mut self.sends)
            }
            ClusterMessage::PollRate { each, took } => {
                self.asking.told(now, f64::from(each), f64::from(took), &self.among);
            }
            ClusterMessage::ClusterLoads { total, rows } => self.census.answered(peer, total, &rows),
            piece => self.tier.told(&mut self.affinity, now, peer, piece, &mut self.sends),
        }
    }

    /// Takes what another balancer holds, and answers it with what all hold.
    pub fn receive_load_report(
        &mut self,
        now: Millis,
        peer: u32,
        rows: Vec<(Tag, u8)>,
        sizes: &BTreeMap<Tag, f64>,
    ) {
        let relays = self.affinity.limits().relays;
        if self.peers && LoadAggregation::holds(relays) {
            let size = |tag| sizes.get(&tag).copied().unwrap_or_default();
            self.census.answer(now, peer, relays, rows, size, &mut self.sends);
        }
    }

    /// A connection has come; others may be told what stands here, by server.
    pub fn count_request(&mut self) {
        self.census.came();
    }

    /// Tells what stands here where that is due; gives what all balancers hold, once it is known anew.
    pub fn take_cluster_load(
        &mut self,
        now: Millis,
        holds: impl FnOnce() -> Vec<(Tag, f64)>,
    ) -> Option<ClusterLoad> {
        let of = (self.affinity.limits().local_index, self.affinity.limits().relays);
        if !self.peers || !LoadAggregation::holds(of.1) {
            return None;
        }
        self.census.tell(now, of, holds, &mut self.sends);
        self.census.take()
    }

    /// A timer of [`ClusterState::flush`] is due.
    pub fn on_timer(&mut self, now: Millis) {
        self.tier.due(&self.affinity, now, &mut self.sends);
        self.news.due(&self.affinity, now, &mut self.sends);
    }

    /// What is to be sent, and the timer that it wants.
    pub fn flush(&mut self, now: Millis, token: u64, out: &mut Actions) {
        if self.asking.due(now) {
            out.push(Action::Subscribe);
        }
        if !self.peers {
            self.sends.clear();
        }
        let message = PeerMessage::Cluster;
        out.extend(
            self.sends.drain(..).map(|(peer, piece)| Action::SendToPeer { peer, message: message(piece) }),
        );
        let timers =
            self.tier.timer(now).into_iter().chain(self.news.timer(now)).chain(self.census.timer(now));
        let timers = timers.chain(self.asking.timer(now));
        out.extend(timers.map(|after| Action::SetTimer { after, token }));
    }

    /// The groups' sizes, once after others or a store have told of them, by slot: as a sample of as many
    /// arrivals as they rest on, so many at the most.
    pub fn take_learned_sizes(&mut self, now: Millis, most: f64) -> Option<GroupSample> {
        if !std::mem::take(&mut self.sizes_learned) && !self.tier.take_learned() {
            return None;
        }
        let sizes = self.affinity.sizes(now, MOST_SIZES);
        let all: f64 = sizes.iter().map(|(_, n)| n).sum();
        let sum = self.affinity.counted(now).min(most);
        let mut sample = GroupSample::default();
        for (group, n) in sizes {
            *sample.arrivals.entry(slot_of_hash(group)).or_default() += n / all * sum;
        }
        (all > 0.0).then_some(sample)
    }

    /// What the fleet carries, by others' or a store's word, and how far that goes before the own count.
    pub fn fleet_load(&self, now: Millis) -> (f64, f64) {
        self.affinity.fleet(now)
    }

    /// From now on changes are kept for [`ClusterState::take_changes`], of which all that is known is the
    /// first.
    pub fn track_changes(&mut self) {
        self.affinity.keep();
    }

    /// Changes since the last call, so many at the most.
    pub fn take_changes(&mut self, now: Millis, most: usize) -> Changes {
        self.affinity.changes(now, most)
    }

    /// Takes what a store has kept.
    pub fn restore(&mut self, now: Millis, records: impl Iterator<Item = Record>) -> Restored {
        self.sizes_learned = true;
        self.affinity.restore(now, records)
    }

    /// Figures for those who ask.
    pub fn statistics(&self) -> Figures {
        Figures { repeated: self.tier.repeated(), ..self.affinity.figures() }
    }
}

/// Among whom the list is asked for.
fn among(settings: &Settings) -> ClusterView {
    let (relays, local_index) = (settings.relay_count, settings.local_index);
    ClusterView { relays, local_index, step: settings.connect_timeout, most: settings.list_max_age / 2.0 }
}

fn asks(settings: &Settings) -> bool {
    settings.discovery == Discovery::OnRequest
}
