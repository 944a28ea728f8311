//! How the relays of a large tier learn that set-ups come late at all endpoints before each has seen it itself.
//!
//! Owns what was heard of late set-ups lately and when this relay last told; is fed its own late set-ups and others'
//! words; gives words to send and whether the fault is common to all. It decides nothing about set-ups: that is
//! [`crate::concurrency_limit`].
//!
//! A thousand clients that come within two seconds are a handful for each of three hundred relays: all their set-ups
//! are out before any relay has seen three of them come late. Who sees one come late tells a few others, drawn anew,
//! and of which endpoint. Few words reach everybody soon when hundreds tell, and hardly anybody while one endpoint is
//! slow, so no relay needs to know how many there are in all: words of several endpoints within a second are of a
//! fault that they share. A word is five bytes.

use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::replication::{FULL_MESH_RELAYS, Sends};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;
use crate::load_aggregation::Tag;

/// Others that are told of a late set-up, and how long a relay is silent then.
const TOLD: u64 = 4;
const SILENT: Millis = 250.0;
/// Words of so many endpoints within such a time are of a common fault.
const ENDPOINTS: usize = 3;
const WITHIN: Millis = 1000.0;
/// Words that are kept.
const KEPT: usize = 16;

/// One relay's part; see the load balancer's text.
///
/// ```
/// use sandgw_cluster::overload_gossip::OverloadGossip;
///
/// let mut storm = OverloadGossip::new(7);
/// assert!(!storm.heard(0.0, [1, 1]) && !storm.heard(10.0, [1, 1]), "one streamer may be slow");
/// assert!(!storm.heard(20.0, [2, 2]) && storm.heard(30.0, [3, 3]), "three at once share a fault");
/// assert!(!storm.heard(5_000.0, [4, 4]), "which is over by now");
/// ```
#[derive(Clone, Debug)]
pub struct OverloadGossip {
    heard: Vec<(Millis, Tag)>,
    told_at: Millis,
    seed: u64,
}

impl OverloadGossip {
    /// Nothing was heard yet. The seed is the relay's own.
    pub fn new(seed: u64) -> Self {
        OverloadGossip { heard: Vec::new(), told_at: f64::NEG_INFINITY, seed }
    }

    /// A set-up of this relay's has come late at an endpoint; some others of so many are told.
    pub fn late(&mut self, now: Millis, endpoint: Tag, (local_index, relays): (u32, u32), out: &mut Sends) {
        if relays <= FULL_MESH_RELAYS || now - self.told_at < SILENT {
            return;
        }
        self.told_at = now;
        for _ in 0..TOLD {
            self.seed = xxh3_64_with_seed(&[], self.seed);
            let peer = (self.seed % u64::from(relays)) as u32;
            if peer != local_index {
                out.push((peer, ClusterMessage::OverloadNotice(endpoint)));
            }
        }
    }

    /// Another relay's set-up has come late; whether the fault is common to all endpoints.
    pub fn heard(&mut self, now: Millis, endpoint: Tag) -> bool {
        self.heard.retain(|(at, tag)| now - at <= WITHIN && *tag != endpoint);
        if self.heard.len() < KEPT {
            self.heard.push((now, endpoint));
        }
        self.heard.len() >= ENDPOINTS
    }
}
