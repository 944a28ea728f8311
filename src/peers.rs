//! Messages between relays as datagrams: plain text of at most [`MAX_BYTES`].
//!
//! The first character says of which kind a datagram is: `SAMPLE` and `MERGED_SAMPLE` are group sizes,
//! written here; the others are written by the crates that own them. What is too long, malformed or of
//! another version reads as nothing: it is no fault of this relay and is ignored.

use sandgw_affinity::codec::VERSION as CLUSTER_KIND;
use sandgw_datagram::MAX_BYTES;
use sandgw_quota::usage_gossip::KIND as QUOTA_KIND;

use crate::policy::api::{ClusterMessage, GroupArrivals, GroupSizes, PeerMessage, UsageReport};

/// First word of a sample of group sizes: the version and the kind.
const SAMPLE: &str = "1s";
/// First word of the sum of several relays' samples.
const MERGED_SAMPLE: &str = "1t";
/// Arrivals are written as whole multiples of one in so many.
const ARRIVALS_PER_UNIT: f64 = 10.0;
/// Numbers are written in hexadecimal digits.
const RADIX: u32 = 16;

/// A buffer for a datagram, one byte larger than allowed, so that a longer one shows as such.
pub const BUFFER: usize = MAX_BYTES + 1;

/// Writes a message as a datagram. No message is made that does not fit; an empty text reads as no message.
pub fn encode(message: &PeerMessage) -> String {
    match message {
        PeerMessage::Cluster(message) => message.encode().unwrap_or_default(),
        PeerMessage::Quota(report) => report.encode().unwrap_or_default(),
        PeerMessage::GroupSizes(sizes) => encode_group_sizes(sizes),
    }
}

/// Reads a datagram; `None` where it is no message.
pub fn decode(text: &str) -> Option<PeerMessage> {
    if text.starts_with(CLUSTER_KIND) {
        return ClusterMessage::decode(text).map(PeerMessage::Cluster);
    }
    if text.starts_with(QUOTA_KIND) {
        return UsageReport::decode(text).map(PeerMessage::Quota);
    }
    decode_group_sizes(text).map(PeerMessage::GroupSizes)
}

/// As many groups as fit, the largest first.
fn encode_group_sizes(sizes: &GroupSizes) -> String {
    let kind = if sizes.is_sum { MERGED_SAMPLE } else { SAMPLE };
    let mut text = format!("{kind} {:x}", arrivals_to_units(sizes.total));
    for GroupArrivals { group_slot, arrivals } in &sizes.groups {
        let word = format!(" {group_slot:x}:{:x}", arrivals_to_units(*arrivals));
        if text.len() + word.len() <= MAX_BYTES {
            text.push_str(&word);
        }
    }
    text
}

fn decode_group_sizes(text: &str) -> Option<GroupSizes> {
    let mut words = text.split(' ').filter(|_| text.len() <= MAX_BYTES);
    let is_sum = match words.next()? {
        SAMPLE => false,
        MERGED_SAMPLE => true,
        _ => return None,
    };
    let total = units_to_arrivals(words.next()?)?;
    let mut groups = Vec::new();
    for word in words.take(GroupSizes::MAX_GROUPS) {
        let (group, arrivals) = word.split_once(':')?;
        let group_slot = u32::from_str_radix(group, RADIX).ok()?;
        groups.push(GroupArrivals { group_slot, arrivals: units_to_arrivals(arrivals)? });
    }
    Some(GroupSizes { is_sum, total, groups })
}

fn arrivals_to_units(arrivals: f64) -> u32 {
    (arrivals * ARRIVALS_PER_UNIT).round() as u32
}

fn units_to_arrivals(digits: &str) -> Option<f64> {
    let units = u32::from_str_radix(digits, RADIX).ok()?;
    Some(f64::from(units) / ARRIVALS_PER_UNIT)
}
