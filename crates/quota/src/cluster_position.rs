//! A relay's position in its cluster, and how the cluster exchanges reports.

/// Up to this number of relays, each relay reports to all others; in a larger cluster, to a collector.
pub const FULL_MESH_RELAYS: u32 = 8;

/// A relay's position in its cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterPosition {
    /// The relay's index, from 0.
    pub local_index: u32,
    /// The number of relays in the cluster.
    pub relay_count: u32,
    /// Whether relays may send each other messages.
    pub peer_messages: bool,
}

impl ClusterPosition {
    /// Whether each relay reports to all others.
    pub fn is_full_mesh(self) -> bool {
        self.relay_count <= FULL_MESH_RELAYS
    }

    /// Whether `peer` is another relay of this cluster.
    pub(crate) fn is_other_relay(self, peer: u32) -> bool {
        peer < self.relay_count && peer != self.local_index
    }
}
