//! Entries of the tables as they are stored and restored, with times of the caller's clock.

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::codec::TableKind;
use crate::endpoint_registry::{EndpointName, EndpointTag};

/// One entry as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A client and its holder.
    Session {
        /// The client's key.
        key: u64,
        /// Its holder.
        holder: EndpointTag,
        /// When it was placed, in milliseconds.
        at: Millis,
    },
    /// A group and its holders, with the load that this relay had there at that time.
    Group {
        /// The group's key.
        key: u64,
        /// Holders and loads, in mean connections.
        holders: Vec<(EndpointTag, f32)>,
        /// When it was last changed, in milliseconds.
        at: Millis,
    },
}

impl Record {
    /// The table that it belongs to, and its key there: what it is stored under.
    pub fn key(&self) -> (TableKind, u64) {
        match self {
            Record::Session { key, .. } => (TableKind::Sessions, *key),
            Record::Group { key, .. } => (TableKind::Groups, *key),
        }
    }

    /// When it was last set, in milliseconds.
    pub fn at(&self) -> Millis {
        match self {
            Record::Session { at, .. } | Record::Group { at, .. } => *at,
        }
    }
}

/// What has changed since changes were last taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Entries that were set, as they are now.
    pub updated: Vec<Record>,
    /// Keys of entries that were removed.
    pub removed: Vec<(TableKind, u64)>,
    /// What the holders' tags stand for, where that was not given before.
    pub names: Vec<EndpointName>,
}

impl Changes {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.updated.is_empty() && self.removed.is_empty() && self.names.is_empty()
    }
}

/// What became of restored entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoreSummary {
    /// Entries taken. They count once the list names their holders.
    pub accepted: u64,
    /// Entries too old.
    pub expired: u64,
    /// Entries whose time lies in the future: the clock was stepped back. They are taken as set now.
    pub in_future: u64,
    /// Entries for which there was no room.
    pub rejected: u64,
}

impl std::ops::AddAssign for RestoreSummary {
    fn add_assign(&mut self, more: RestoreSummary) {
        self.accepted += more.accepted;
        self.expired += more.expired;
        self.in_future += more.in_future;
        self.rejected += more.rejected;
    }
}
