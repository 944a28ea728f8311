//! What a maintenance window is, and how it is identified.

use std::fmt;
use std::str::FromStr;

use sandgw_datagram::base36;
use xxhash_rust::xxh3::xxh3_64;

use crate::{ParseWindowIdError, WholeMillis};

/// A short tag of a zone or an endpoint: the lower four bytes of a hash of its name. Names with the
/// same tag are not told apart.
pub type Tag = u32;

/// The tag of a name.
pub fn tag(name: &str) -> Tag {
    xxh3_64(name.as_bytes()) as Tag
}

/// Identifies a window: the relay at which it was requested and when, in milliseconds of that
/// relay's clock. A relay never gives the same id twice, in whatever incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WindowId {
    /// When it was requested: the earliest is first in the queue.
    pub requested_at: WholeMillis,
    /// The relay's number.
    pub relay: u32,
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.relay, base36::encode(self.requested_at))
    }
}

impl FromStr for WindowId {
    type Err = ParseWindowIdError;

    /// Reads what [`Display`](fmt::Display) writes.
    ///
    /// # Errors
    ///
    /// A [`ParseWindowIdError`] that says which part is malformed.
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
    /// The whole capacity.
    All,
    /// So many thousandths of the list's unit of capacity.
    Part(u32),
}

/// What is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// A zone, or a part of its capacity, on whichever endpoints that is.
    Zone(Tag, CapacityShare),
    /// One endpoint.
    Endpoint(Tag),
    /// One relay, by its number.
    Relay(u32),
}

impl Scope {
    /// The relay, where that is what is drained.
    pub(crate) fn relay(self) -> Option<u32> {
        if let Scope::Relay(relay) = self { Some(relay) } else { None }
    }
}

/// A window as it is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Window {
    /// Its id.
    pub id: WindowId,
    /// What is to be drained.
    pub scope: Scope,
    /// The earliest start.
    pub not_before: WholeMillis,
    /// How long it lasts once granted.
    pub duration: WholeMillis,
    /// The end of a window that was granted before, in place of a duration: of one that is extended
    /// or has lapsed.
    pub requested_end: Option<WholeMillis>,
    /// Whether it may be granted though the floor is not met.
    pub overrides_floor: bool,
}

/// A window that is granted: an entry of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantedWindow {
    /// The window's id.
    pub id: WindowId,
    /// What it drains.
    pub scope: Scope,
    /// When it ends.
    pub end: WholeMillis,
    /// Whether it was granted though the floor is not met.
    pub overrides_floor: bool,
}

impl GrantedWindow {
    /// A window as it is granted if that happens now.
    pub fn starting_at(now: WholeMillis, window: &Window) -> GrantedWindow {
        GrantedWindow {
            id: window.id,
            scope: window.scope,
            end: window.requested_end.unwrap_or(now + window.duration),
            overrides_floor: window.overrides_floor,
        }
    }
}
