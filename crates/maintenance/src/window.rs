//! Maintenance windows, their ids and their scopes.

use std::fmt;
use std::str::FromStr;

use sandgw_datagram::base36;
use xxhash_rust::xxh3::xxh3_64;

use crate::{ParseWindowIdError, WholeMillis};

/// Identifies a zone or an endpoint in datagrams: the lower four bytes of a hash of its name. Names with the
/// same tag cannot be distinguished.
pub type Tag = u32;

/// Returns the tag of a name.
pub fn tag(name: &str) -> Tag {
    xxh3_64(name.as_bytes()) as Tag
}

/// Identifies a window: the relay at which the window was requested and the time of the request, in
/// milliseconds of that relay's clock. A relay never assigns the same id twice, not even after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WindowId {
    /// When the window was requested. The queue is ordered by this time.
    pub requested_at: WholeMillis,
    /// The number of the relay at which the window was requested.
    pub relay: u32,
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.relay, base36::encode(self.requested_at))
    }
}

impl FromStr for WindowId {
    type Err = ParseWindowIdError;

    /// Parses the text that [`Display`](fmt::Display) writes.
    ///
    /// # Errors
    ///
    /// Returns a [`ParseWindowIdError`] that says which part is malformed.
    ///
    /// ```
    /// let id: sandgw_maintenance::WindowId = "3.rs".parse().unwrap();
    /// assert_eq!((id.relay, id.requested_at, id.to_string().as_str()), (3, 1000, "3.rs"));
    /// ```
    fn from_str(text: &str) -> Result<Self, ParseWindowIdError> {
        let (relay, requested_at) = text.split_once('.').ok_or(ParseWindowIdError::NoSeparator)?;
        Ok(WindowId {
            relay: relay.parse().map_err(ParseWindowIdError::Relay)?,
            requested_at: base36::decode(requested_at).ok_or(ParseWindowIdError::RequestedAt)?,
        })
    }
}

/// How much of a zone is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CapacityShare {
    /// The whole capacity of the zone.
    All,
    /// A part of the capacity, in thousandths of the endpoint list's unit.
    Part(u32),
}

/// What a window drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// A zone, or a part of its capacity. The window does not say which endpoints provide that part.
    Zone(Tag, CapacityShare),
    /// One endpoint.
    Endpoint(Tag),
    /// One relay, by its number.
    Relay(u32),
}

impl Scope {
    /// Returns the relay if the scope is a relay.
    pub(crate) fn relay(self) -> Option<u32> {
        if let Scope::Relay(relay) = self { Some(relay) } else { None }
    }
}

/// A requested window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Window {
    /// The window's id.
    pub id: WindowId,
    /// What is to be drained.
    pub scope: Scope,
    /// The earliest time at which the window may start.
    pub not_before: WholeMillis,
    /// How long the window lasts once granted.
    pub duration: WholeMillis,
    /// The requested end of a window that was granted before and is to be extended or has lapsed. It takes
    /// the place of the duration.
    pub requested_end: Option<WholeMillis>,
    /// Whether the window may be granted even if the remaining capacity is then below a floor, the configured
    /// least capacity in total or of a zone.
    pub overrides_floor: bool,
}

/// A granted window: an entry of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantedWindow {
    /// The window's id.
    pub id: WindowId,
    /// What the window drains.
    pub scope: Scope,
    /// When the window ends.
    pub end: WholeMillis,
    /// Whether the window was granted without regard to the capacity floors.
    pub overrides_floor: bool,
}

impl GrantedWindow {
    /// Returns the ledger entry of a window that is granted now.
    pub fn starting_at(now: WholeMillis, window: &Window) -> GrantedWindow {
        GrantedWindow {
            id: window.id,
            scope: window.scope,
            end: window.requested_end.unwrap_or(now + window.duration),
            overrides_floor: window.overrides_floor,
        }
    }
}
