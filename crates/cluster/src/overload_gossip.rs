//! How the relays of a large cluster learn that set-ups are late at all endpoints before each has observed
//! it itself.
//!
//! Owns the notices that came in lately and when this relay last sent one. Inputs are its late set-ups and
//! other relays' notices, with the time in milliseconds; outputs are notices to send and whether the fault
//! is common to all endpoints. It decides nothing about set-ups: that is [`crate::concurrency_limit`].
//!
//! A thousand clients that arrive within two seconds are a handful for each of three hundred relays: all
//! their set-ups are in flight before any relay has observed three late ones. A relay that observes one
//! notifies a few others, drawn at random, and names the endpoint. Notices reach everybody soon when
//! hundreds of relays send them, and hardly anybody while one endpoint is slow, so no relay needs to know
//! how many there are in all: notices of several endpoints within a second mean a fault that they share. A
//! notice is five bytes.

use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_units::random::SeededRandom;

use crate::load_aggregation::Tag;
use crate::{ClusterPosition, Millis};

/// Relays that are notified of a late set-up.
const NOTICE_FANOUT: u64 = 4;
/// A relay sends no further notices for this long after one.
const NOTICE_INTERVAL_MS: Millis = 250.0;
/// Notices of this many endpoints within [`NOTICE_TTL_MS`] mean a common fault.
const COMMON_FAULT_ENDPOINTS: usize = 3;
/// How long a notice counts.
const NOTICE_TTL_MS: Millis = 1000.0;
/// Notices that are stored at most.
const MAX_STORED_NOTICES: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Notice {
    received_at: Millis,
    endpoint: Tag,
}

/// One relay's part in the exchange.
///
/// ```
/// use sandgw_cluster::overload_gossip::OverloadGossip;
///
/// let mut gossip = OverloadGossip::new(7);
/// assert!(!gossip.receive_notice(0.0, [1, 1]) && !gossip.receive_notice(10.0, [1, 1]), "one endpoint may be slow");
/// assert!(!gossip.receive_notice(20.0, [2, 2]) && gossip.receive_notice(30.0, [3, 3]), "three share a fault");
/// assert!(!gossip.receive_notice(5_000.0, [4, 4]), "which is over by now");
/// ```
#[derive(Clone, Debug)]
pub struct OverloadGossip {
    notices: Vec<Notice>,
    last_sent_at: Millis,
    random: SeededRandom,
}

impl OverloadGossip {
    /// No notice was sent or received yet. `seed` is the relay's own.
    pub fn new(seed: u64) -> Self {
        OverloadGossip {
            notices: Vec::new(),
            last_sent_at: f64::NEG_INFINITY,
            random: SeededRandom::new(seed),
        }
    }

    /// A set-up of this relay's was late at an endpoint: notifies some other relays.
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

    /// A set-up of another relay's was late at an endpoint; whether the fault is common to all endpoints.
    pub fn receive_notice(&mut self, now: Millis, endpoint: Tag) -> bool {
        self.notices
            .retain(|notice| now - notice.received_at <= NOTICE_TTL_MS && notice.endpoint != endpoint);
        if self.notices.len() < MAX_STORED_NOTICES {
            self.notices.push(Notice { received_at: now, endpoint });
        }
        self.notices.len() >= COMMON_FAULT_ENDPOINTS
    }
}
