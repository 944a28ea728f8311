//! Encodes messages between relays as datagrams: plain text of at most [`MAX_BYTES`].
//!
//! The first characters tell of which kind a datagram is: `SAMPLE` and `MERGED_SAMPLE` are group sizes,
//! encoded here; the other kinds are encoded by the crates that own them. A datagram that is too long,
//! malformed or of another version decodes to `None`: this is no fault of this relay, which ignores the
//! datagram.

use sandgw_affinity::codec::VERSION as CLUSTER_KIND;
use sandgw_datagram::MAX_BYTES;
use sandgw_quota::usage_gossip::KIND as QUOTA_KIND;

use crate::policy::api::{ClusterMessage, GroupArrivals, GroupSizes, PeerMessage, UsageReport};

/// First field of a sample of group sizes: the version and the kind.
const SAMPLE: &str = "1s";
/// First field of the sum of several relays' samples.
const MERGED_SAMPLE: &str = "1t";
/// Numbers of arrivals are encoded as whole tenths.
const UNITS_PER_ARRIVAL: f64 = 10.0;
/// Radix of the encoded numbers.
const RADIX: u32 = 16;

/// Size of the receive buffer for a datagram: one byte more than allowed, so that a datagram that is too long
/// is recognized.
pub const RECEIVE_BUFFER_BYTES: usize = MAX_BYTES + 1;

/// Encodes a message as a datagram. Senders make no message that does not fit; an empty text decodes to no
/// message.
pub fn encode(message: &PeerMessage) -> String {
    match message {
        PeerMessage::Cluster(message) => message.encode().unwrap_or_default(),
        PeerMessage::Quota(report) => report.encode().unwrap_or_default(),
        PeerMessage::GroupSizes(sizes) => encode_group_sizes(sizes),
    }
}

/// Decodes a datagram; `None` where the datagram is not a valid message.
pub fn decode(text: &str) -> Option<PeerMessage> {
    if text.starts_with(CLUSTER_KIND) {
        return ClusterMessage::decode(text).map(PeerMessage::Cluster);
    }
    if text.starts_with(QUOTA_KIND) {
        return UsageReport::decode(text).map(PeerMessage::Quota);
    }
    decode_group_sizes(text).map(PeerMessage::GroupSizes)
}

/// Encodes as many groups as fit into a datagram, the largest first.
fn encode_group_sizes(sizes: &GroupSizes) -> String {
    let kind = if sizes.is_sum { MERGED_SAMPLE } else { SAMPLE };
    let mut text = format!("{kind} {:x}", arrivals_to_units(sizes.total));
    for GroupArrivals { group_slot, arrivals } in &sizes.groups {
        let field = format!(" {group_slot:x}:{:x}", arrivals_to_units(*arrivals));
        if text.len() + field.len() <= MAX_BYTES {
            text.push_str(&field);
        }
    }
    text
}

fn decode_group_sizes(text: &str) -> Option<GroupSizes> {
    let mut fields = text.split(' ').filter(|_| text.len() <= MAX_BYTES);
    let is_sum = match fields.next()? {
        SAMPLE => false,
        MERGED_SAMPLE => true,
        _ => return None,
    };
    let total = units_to_arrivals(fields.next()?)?;
    let mut groups = Vec::new();
    for field in fields.take(GroupSizes::MAX_GROUPS) {
        let (group, arrivals) = field.split_once(':')?;
        let group_slot = u32::from_str_radix(group, RADIX).ok()?;
        groups.push(GroupArrivals { group_slot, arrivals: units_to_arrivals(arrivals)? });
    }
    Some(GroupSizes { is_sum, total, groups })
}

fn arrivals_to_units(arrivals: f64) -> u32 {
    (arrivals * UNITS_PER_ARRIVAL).round() as u32
}

fn units_to_arrivals(digits: &str) -> Option<f64> {
    let units = u32::from_str_radix(digits, RADIX).ok()?;
    Some(f64::from(units) / UNITS_PER_ARRIVAL)
}
