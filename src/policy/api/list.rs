//! The list of endpoints, as discovery or another relay gives it.

use sandgw_units::Millis;

use super::ids::{EndpointId, Zone};

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new connections.
    Ready,
    /// Finishes what it has, takes nothing new.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Its state.
    pub state: EndpointState,
    /// Its listed size, comparable across endpoints.
    pub weight: f64,
    /// When its process last started; 0 when long past.
    pub started: Millis,
    /// Its zone.
    pub zone: Zone,
    /// Its cell: the small set of endpoints that share the keys they have seen.
    pub cell: u64,
}

/// What a message about the list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last stored, possibly stale.
    Cached,
    /// A poll failed or the subscription dropped; nothing is said of the endpoints.
    Failed,
    /// Some entries as another relay reports them; no poll was answered.
    Gossip,
}
