//! Which relays of the tier are alive, and in which incarnation.
//!
//! It is fed the messages that are received anyway and sends nothing itself: `docs/maintenance.md`
//! compares that with a protocol of its own. An incarnation is the time at which a process started;
//! a restarted relay has forgotten everything.

use std::collections::BTreeMap;

use crate::WholeMillis;

/// A relay is taken to be alive for so long after its last message, as in the aggregation of load reports.
pub const ALIVE_FOR_MS: WholeMillis = 15_000;

/// What is known of one relay.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    last_contact: WholeMillis,
    incarnation: Option<u64>,
}

/// The relays that messages were received from.
///
/// ```
/// use sandgw_maintenance::liveness::Liveness;
///
/// let mut liveness = Liveness::default();
/// assert!(!liveness.record_contact(3, Some(100), 1_000));
/// assert!(liveness.record_contact(3, Some(900), 2_000), "a new incarnation");
/// assert_eq!((liveness.is_alive(3, 16_000), liveness.is_alive(3, 18_000)), (true, false));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    peers: BTreeMap<u32, PeerState>,
}

impl Liveness {
    /// Records a message of a relay, with the incarnation if the message names it. Returns whether
    /// the relay has restarted since.
    pub fn record_contact(&mut self, relay: u32, incarnation: Option<u64>, now: WholeMillis) -> bool {
        let peer = self.peers.entry(relay).or_default();
        peer.last_contact = now.max(peer.last_contact);
        // A delayed message of an earlier incarnation changes nothing.
        let known = peer.incarnation;
        peer.incarnation = known.max(incarnation);
        known.zip(incarnation).is_some_and(|(known, named)| named > known)
    }

    /// Whether a message of a relay was received lately.
    pub fn is_alive(&self, relay: u32, now: WholeMillis) -> bool {
        self.peers.get(&relay).is_some_and(|peer| now <= peer.last_contact + ALIVE_FOR_MS)
    }

    /// A relay's newest incarnation, where a message has named it.
    pub fn incarnation(&self, relay: u32) -> Option<u64> {
        self.peers.get(&relay).and_then(|peer| peer.incarnation)
    }
}
