//! Messages between relays. Any message may be lost, delayed or duplicated, or come from a sender that has
//! restarted since it sent the message.

use sandgw_affinity::codec::ClusterMessage;
use sandgw_quota::usage_gossip::UsageReport;

/// A message from one relay to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// How many connections of each group have arrived recently.
    GroupSizes(GroupSizes),
    /// Messages that the relays exchange about their tables of clients, groups and loads.
    Cluster(ClusterMessage),
    /// Tenants' usage of the cluster's capacity. The core handles this message, not the load balancer.
    Quota(UsageReport),
}

/// A sample of arrivals by group, or the sum of the samples of several relays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupSizes {
    /// Whether this is the sum over all relays that the sender has samples of, sent as the reply to the
    /// receiver's own sample.
    pub is_sum: bool,
    /// Number of arrivals of all groups.
    pub total: f64,
    /// The largest groups, in descending order of size.
    pub groups: Vec<GroupArrivals>,
}

/// Number of arrivals of one group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupArrivals {
    /// Slot of the group's key in the Maglev table.
    pub group_slot: u32,
    /// Arrivals of the group; older arrivals count less.
    pub arrivals: f64,
}

impl GroupSizes {
    /// Maximum number of groups in one message.
    pub const MAX_GROUPS: usize = 24;
}
