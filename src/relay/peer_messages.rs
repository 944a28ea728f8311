//! Dispatches messages of other relays by their subject: quotas and draining endpoints are handled by the
//! core, everything else by the load balancer.

use super::Relay;
use crate::policy::api::{ClusterMessage, Event, Millis, PeerMessage};

impl Relay {
    /// Handles a message from the relay whose index is `peer`.
    pub fn receive_peer_message(&mut self, now: Millis, peer: u32, message: PeerMessage) {
        match message {
            PeerMessage::Quota(report) => self.receive_usage_report(now, peer, report),
            PeerMessage::Cluster(
                gossip @ (ClusterMessage::Draining { .. } | ClusterMessage::DrainQuery(_)),
            ) => self.receive_drain_gossip(now, peer, gossip),
            message => {
                self.events.push_back(Event::PeerMessage { peer, message });
                self.handle_queued_events(now);
            }
        }
    }
}
