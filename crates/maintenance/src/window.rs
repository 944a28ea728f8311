//! What a window is, and by what it is named.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use crate::WholeMillis;

/// A zone's or an endpoint's short tag: four bytes of a hash of its name. Two of the same are taken for one.
pub type Tag = u32;

/// The tag of a name.
pub fn tag(name: &str) -> Tag {
    xxh3_64(name.as_bytes()) as Tag
}

/// A window's name: the relay at which it was asked for, and when, in milliseconds of its clock. A relay never gives
/// the same twice, whatever its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WindowId {
    /// When it was asked for: who waits longest is first.
    pub asked: WholeMillis,
    /// The relay's number.
    pub relay: u32,
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.relay, sandgw_datagram::base36::encode(self.asked))
    }
}

impl FromStr for WindowId {
    type Err = ();

    /// Reads what [`Display`](fmt::Display) writes.
    ///
    /// ```
    /// let id: sandgw_maintenance::WindowId = "3.rs".parse().unwrap();
    /// assert_eq!((id.relay, id.asked, id.to_string().as_str()), (3, 1000, "3.rs"));
    /// ```
    fn from_str(text: &str) -> Result<Self, ()> {
        let (relay, asked) = text.split_once('.').ok_or(())?;
        Ok(WindowId {
            relay: relay.parse().map_err(|_| ())?,
            asked: sandgw_datagram::base36::decode(asked).ok_or(())?,
        })
    }
}

/// How much of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CapacityShare {
    /// All that it has.
    All,
    /// So many thousandths of the list's unit of size.
    Part(u32),
}

/// What is to be drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// A zone, or a part of its capacity whichever endpoints that is.
    Zone(Tag, CapacityShare),
    /// One endpoint.
    Endpoint(Tag),
    /// One relay, by its number.
    Relay(u32),
}

/// A window as it is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Window {
    /// Its name.
    pub id: WindowId,
    /// What is to be drained.
    pub what: Scope,
    /// Not before this.
    pub from: WholeMillis,
    /// For how long.
    pub length: WholeMillis,
    /// The end that is asked for by name: of a window that is granted already.
    pub end: Option<WholeMillis>,
    /// Whether somebody who may has put it over the floor.
    pub forced: bool,
}

/// A window that is granted: what the ledger holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// The window's name.
    pub id: WindowId,
    /// What it drains.
    pub what: Scope,
    /// When it ends.
    pub end: WholeMillis,
    /// Whether it was put over the floor.
    pub forced: bool,
}
