//! Warns the relays of a large cluster that set-ups are late at all endpoints before each relay has observed
//! it itself.
//!
//! [`OverloadGossip`] holds the notices that were received recently and the time at which this relay last
//! sent one. Its inputs are the late set-ups of this relay and the notices of other relays, with the time in
//! milliseconds; its outputs are notices to send and whether the fault is common to all endpoints. It decides
//! nothing about set-ups: that is the task of [`crate::concurrency_limit`].
//!
//! When a thousand clients arrive within two seconds, each of three hundred relays receives only a handful:
//! all their set-ups are in flight before any relay has observed three late ones. A relay that observes one
//! late set-up therefore notifies a few random peers and names the endpoint. Notices soon reach every relay
//! when hundreds of relays send them, and hardly any relay while one endpoint is slow, so no relay needs to
//! know the total number of notices: notices about several endpoints within a second mean a fault that these
//! endpoints share. A notice is five bytes long.

use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_units::random::SeededRandom;

use crate::load_aggregation::Tag;
use crate::{ClusterPosition, Millis};

/// How many relays are drawn at random to be notified of a late set-up.
const NOTICE_FANOUT: u64 = 4;
/// The shortest time between two rounds of notices of late set-ups from one relay.
const NOTICE_INTERVAL_MS: Millis = 250.0;
/// Notices about this many endpoints within [`NOTICE_TTL_MS`] mean a fault common to all endpoints.
const COMMON_FAULT_ENDPOINTS: usize = 3;
/// How long a notice of a late set-up counts after it was received.
const NOTICE_TTL_MS: Millis = 1000.0;
/// The largest number of notices of late set-ups that are stored.
const MAX_STORED_NOTICES: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Notice {
    received_at: Millis,
    endpoint: Tag,
}

/// One relay's state of the overload gossip: the notices that it received, and when it last sent one.
///
/// ```
/// use sandgw_cluster::overload_gossip::OverloadGossip;
///
/// let mut gossip = OverloadGossip::new(7);
/// // Notices about a single endpoint: that endpoint may be slow.
/// assert!(!gossip.receive_notice(0.0, [1, 1]) && !gossip.receive_notice(10.0, [1, 1]));
/// // Notices about three endpoints within a second: the fault is common to all endpoints.
/// assert!(!gossip.receive_notice(20.0, [2, 2]) && gossip.receive_notice(30.0, [3, 3]));
/// assert!(!gossip.receive_notice(5_000.0, [4, 4]), "the earlier notices have expired");
/// ```
#[derive(Clone, Debug)]
pub struct OverloadGossip {
    notices: Vec<Notice>,
    last_sent_at: Millis,
    random: SeededRandom,
}

impl OverloadGossip {
    /// Creates a state in which no notice was sent or received yet. `seed` is the relay's own.
    pub fn new(seed: u64) -> Self {
        OverloadGossip {
            notices: Vec::new(),
            last_sent_at: f64::NEG_INFINITY,
            random: SeededRandom::new(seed),
        }
    }

    /// Records that a set-up of this relay was late at `endpoint`, and notifies some other relays.
    pub fn report_late_setup(
        &mut self,
        now: Millis,
        endpoint: Tag,
        position: ClusterPosition,
        out: &mut Outbox,
    ) {
        if !position.is_large() || now - self.last_sent_at < NOTICE_INTERVAL_MS {
            return;
        }
        self.last_sent_at = now;
        for _ in 0..NOTICE_FANOUT {
            let peer = (self.random.next_u64() % u64::from(position.relay_count)) as u32;
            if peer != position.local_index {
                out.push(OutgoingMessage::new(peer, ClusterMessage::OverloadNotice(endpoint)));
            }
        }
    }

    /// Records another relay's notice of a late set-up at `endpoint`, and returns whether the fault is common
    /// to all endpoints.
    pub fn receive_notice(&mut self, now: Millis, endpoint: Tag) -> bool {
        self.notices
            .retain(|notice| now - notice.received_at <= NOTICE_TTL_MS && notice.endpoint != endpoint);
        if self.notices.len() < MAX_STORED_NOTICES {
            self.notices.push(Notice { received_at: now, endpoint });
        }
        self.notices.len() >= COMMON_FAULT_ENDPOINTS
    }
}
