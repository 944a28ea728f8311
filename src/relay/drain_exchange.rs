//! Exchanges messages with other relays about draining endpoints while discovery is slow to answer. All uses
//! of [`DrainGossip`](sandgw_cluster::drain_gossip::DrainGossip) are here.
//!
//! Another relay's message can make this relay stop sending to an endpoint, but never makes this relay send
//! anything to an endpoint.

use std::collections::BTreeSet;

use log::debug;
use sandgw_affinity::codec::EndpointHash;
use sandgw_affinity::outbox::Outbox;
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::drain_gossip::{DiscoveryAnswer, ListChange};

use super::Relay;
use super::commands::Command;
use super::timers::CoreTimer;
use crate::policy::api::{ClusterMessage, Discovery, EndpointState, ListKind, Millis, PeerMessage};

/// How the drain gossip changes with an answer of discovery.
pub(super) struct Reconciliation {
    /// Endpoints that were treated as draining only because of gossip, and are ready.
    pub(super) ready_again: Vec<EndpointHash>,
    /// Messages to other relays.
    pub(super) messages: Outbox,
}

impl Relay {
    /// Records that discovery is at another address from now on.
    pub fn discovery_changed(&mut self, now: Millis) {
        self.drain_gossip.discovery_replaced(now, self.gossip_cluster());
        self.send_drain_gossip(now, Outbox::new());
        self.limit_list_lease(now);
    }

    /// The subscription was lost and the list is requested anew: changes are unknown until that request is
    /// answered.
    pub fn subscription_lost(&mut self, now: Millis) {
        self.drain_gossip.start_querying_peers(now, self.gossip_cluster());
        self.send_drain_gossip(now, Outbox::new());
    }

    /// The relays that gossip about draining endpoints: all relays where they may send each other messages
    /// and each requests the list from discovery itself, otherwise none.
    fn gossip_cluster(&self) -> ClusterPosition {
        let settings = self.load_balancer.settings();
        let is_enabled = settings.peer_messages && settings.discovery == Discovery::OnRequest;
        let relay_count = if is_enabled { settings.relay_count } else { 0 };
        ClusterPosition { local_index: settings.local_index, relay_count }
    }

    pub(super) fn set_list_revision(&mut self, revision: Option<u64>) {
        self.drain_gossip.set_revision(revision);
    }

    /// Endpoints that were ready, or are treated as draining only because of gossip.
    pub(super) fn usable_endpoints(&self) -> impl Iterator<Item = EndpointHash> {
        self.endpoints.ready_or_matching(|endpoint| self.drain_gossip.is_reported_draining(endpoint))
    }

    pub(super) fn reconcile_drain_gossip(
        &mut self,
        now: Millis,
        answer: DiscoveryAnswer,
        departed: &[EndpointHash],
        ready: &[EndpointHash],
    ) -> Reconciliation {
        let cluster = self.gossip_cluster();
        let mut messages = Outbox::new();
        let change = ListChange { departed, ready };
        let ready_again = self.drain_gossip.apply_answer(now, cluster, answer, change, &mut messages);
        Reconciliation { ready_again, messages }
    }

    /// Applies another relay's message about draining endpoints, or answers its query.
    pub(super) fn receive_drain_gossip(&mut self, now: Millis, peer: u32, message: ClusterMessage) {
        let cluster = self.gossip_cluster();
        let mut messages = Outbox::new();
        let ready: BTreeSet<EndpointHash> = self.endpoints.ready_or_matching(|_| false).collect();
        let is_ready = |id: EndpointHash| ready.contains(&id);
        let draining = self.drain_gossip.receive(now, cluster, peer, message, is_ready, &mut messages);
        if !draining.is_empty() {
            debug!("relay {peer} reports {} draining endpoints", draining.len());
            let endpoints = self.entries_with_state(&draining, EndpointState::Draining);
            self.apply_list(now, ListKind::Gossip, endpoints);
        }
        self.send_drain_gossip(now, messages);
    }

    /// Sends the query that is due to another relay.
    pub(super) fn send_drain_query(&mut self, now: Millis) {
        let cluster = self.gossip_cluster();
        let mut messages = Outbox::new();
        self.drain_gossip.on_timer(now, cluster, &mut messages);
        self.send_drain_gossip(now, messages);
    }

    /// Sends messages to other relays, and sets the timer of the next query.
    pub(super) fn send_drain_gossip(&mut self, now: Millis, messages: Outbox) {
        for outgoing in messages {
            let message = PeerMessage::Cluster(outgoing.message);
            self.commands.push(Command::SendToPeer { peer: outgoing.peer, message });
        }
        if let Some(after) = self.drain_gossip.timer(now) {
            self.set_timer(after, CoreTimer::DrainQuery);
        }
    }
}
