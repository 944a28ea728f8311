//! A relay's position in its cluster, which determines what it exchanges with which peers.

/// In clusters of up to this many relays, each relay is sent the locations of all clients: a connection then
/// costs no more datagrams than a location query would. In larger clusters no relay knows all clients, and a
/// relay that starts requests only groups, from a few peers.
pub const FULL_MESH_RELAYS: u32 = 8;

/// This relay's position among the relays of the cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClusterPosition {
    /// Index of this relay, from 0.
    pub local_index: u32,
    /// Number of relays in the cluster, this relay included; 0 where relays may not send each other messages.
    pub relay_count: u32,
}

impl ClusterPosition {
    /// Whether the cluster is too large for each relay to be sent the locations of all clients.
    pub fn is_large(&self) -> bool {
        self.relay_count > FULL_MESH_RELAYS
    }

    /// The indices of all other relays.
    pub fn peers(&self) -> impl Iterator<Item = u32> + use<> {
        let local_index = self.local_index;
        (0..self.relay_count).filter(move |peer| *peer != local_index)
    }
}
