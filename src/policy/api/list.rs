//! The endpoint list, as discovery or another relay provides it.

use sandgw_units::Millis;

use super::ids::{EndpointId, Zone};

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new connections.
    Ready,
    /// The endpoint finishes its established connections and accepts no new ones.
    Draining,
    /// The endpoint was removed from the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Listed size of the endpoint, in a unit that is comparable across endpoints.
    pub weight: f64,
    /// When the endpoint's process last started; 0 if that was long ago.
    pub started: Millis,
    /// Zone of the endpoint.
    pub zone: Zone,
    /// Cell of the endpoint: the small set of endpoints that share which deduplication keys they have seen.
    pub cell: u64,
}

/// Which entries a list event contains, and where they come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as it was last stored; this list may be stale.
    Cached,
    /// A poll of the list failed, or the subscription was dropped. Carries no information about the
    /// endpoints.
    Failed,
    /// Some entries of the list, as another relay reports them. These entries are not the answer to a poll.
    Gossip,
}
