//! Tracks which relays of the cluster are alive, and their incarnations.
//!
//! Liveness is derived from the messages of the grant protocol; no heartbeats are sent.
//! `docs/maintenance.md` compares this with a separate liveness protocol. An incarnation is the time at which
//! a process started; a relay keeps no state across a restart.

use std::collections::BTreeMap;

use crate::WholeMillis;

/// How long a relay counts as alive after its last message. Load aggregation uses the same period.
pub const ALIVE_FOR_MS: WholeMillis = 15_000;

/// What this relay knows of one other relay.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    last_contact: WholeMillis,
    incarnation: Option<u64>,
}

/// The relays from which messages were received.
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
    /// Records a message of a relay, with the relay's incarnation if the message contains it. Returns whether
    /// the message shows that the relay has restarted since its earlier messages.
    pub fn record_contact(&mut self, relay: u32, incarnation: Option<u64>, now: WholeMillis) -> bool {
        let peer = self.peers.entry(relay).or_default();
        peer.last_contact = now.max(peer.last_contact);
        // A delayed message of an earlier incarnation does not replace the newer incarnation.
        let known = peer.incarnation;
        peer.incarnation = known.max(incarnation);
        known.zip(incarnation).is_some_and(|(known, received)| received > known)
    }

    /// Whether a message of a relay was received within [`ALIVE_FOR_MS`].
    pub fn is_alive(&self, relay: u32, now: WholeMillis) -> bool {
        self.peers.get(&relay).is_some_and(|peer| now <= peer.last_contact + ALIVE_FOR_MS)
    }

    /// Returns a relay's newest known incarnation, if any message has contained one.
    pub fn incarnation(&self, relay: u32) -> Option<u64> {
        self.peers.get(&relay).and_then(|peer| peer.incarnation)
    }
}
