//! Messages between relays. Any of them may be lost, late, repeated or of a sender that has restarted since.

use sandgw_affinity::codec::ClusterMessage;
use sandgw_quota::usage_gossip::UsageReport;

/// A message from one relay to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// How many connections of each group have arrived lately.
    GroupSizes(GroupSizes),
    /// What relays' tables of clients, groups and loads exchange.
    Cluster(ClusterMessage),
    /// Tenants' use of the cluster. It is for the core, not for the load balancer.
    Quota(UsageReport),
}

/// A sample of arrivals by group, or the sum of several relays' samples.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupSizes {
    /// The sum over all relays that the sender has heard of, in answer to the receiver's own sample.
    pub is_sum: bool,
    /// Arrivals of all groups.
    pub total: f64,
    /// The largest groups, the largest first.
    pub groups: Vec<GroupArrivals>,
}

/// Arrivals of one group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupArrivals {
    /// Slot of the group's key in the Maglev table.
    pub group_slot: u32,
    /// Its arrivals; older ones count less.
    pub arrivals: f64,
}

impl GroupSizes {
    /// Most groups in one message.
    pub const MAX_GROUPS: usize = 24;
}
