//! Messages of other relays, by what they are about: quotas and draining endpoints are the core's, all else
//! the load balancer's.

use super::Relay;
use crate::policy::api::{ClusterMessage, Event, Millis, PeerMessage};

impl Relay {
    /// A message from the relay of this index.
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
