//! A relay's position in its cluster, from which follows with whom it exchanges what.

/// Up to this many relays, each is sent all that is placed: a connection then costs no more datagrams than
/// a query would. In larger clusters no relay knows all clients, and one that starts asks a few relays for
/// their groups only.
pub const FULL_MESH_RELAYS: u32 = 8;

/// This relay's place among the relays of the cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClusterPosition {
    /// Index of this relay, from 0.
    pub local_index: u32,
    /// Relays of the cluster, this one included; 0 where they may not send each other messages.
    pub relay_count: u32,
}

impl ClusterPosition {
    /// Whether the cluster is too large for every relay to be sent everything.
    pub fn is_large(&self) -> bool {
        self.relay_count > FULL_MESH_RELAYS
    }

    /// The indices of all other relays.
    pub fn peers(&self) -> impl Iterator<Item = u32> + use<> {
        let local_index = self.local_index;
        (0..self.relay_count).filter(move |peer| *peer != local_index)
    }
}
