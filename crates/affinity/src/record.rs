//! Entries of the tables in the form in which they are stored and restored. Times are the caller's clock's.

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::codec::TableKind;
use crate::endpoint_registry::{EndpointName, EndpointTag};

/// A stored entry of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A client and the endpoint that holds its connection.
    Session {
        /// The client's key.
        key: u64,
        /// The tag of the endpoint that holds the client's connection.
        holder: EndpointTag,
        /// When the connection was placed, in milliseconds.
        at: Millis,
    },
    /// A group and its holders, with the load that this relay had placed on each as of `at`.
    Group {
        /// The group's key.
        key: u64,
        /// Holders and loads, in mean connections.
        holders: Vec<(EndpointTag, f32)>,
        /// When the entry was last changed, in milliseconds.
        at: Millis,
    },
}

impl Record {
    /// The table that the record belongs to, and its key in that table. The store files the record under
    /// both.
    pub fn key(&self) -> (TableKind, u64) {
        match self {
            Record::Session { key, .. } => (TableKind::Sessions, *key),
            Record::Group { key, .. } => (TableKind::Groups, *key),
        }
    }

    /// When the entry was last set, in milliseconds.
    pub fn at(&self) -> Millis {
        match self {
            Record::Session { at, .. } | Record::Group { at, .. } => *at,
        }
    }
}

/// The changes of the tables since changes were last taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Entries that were set, with their current values.
    pub updated: Vec<Record>,
    /// Keys of entries that were removed.
    pub removed: Vec<(TableKind, u64)>,
    /// The names behind the holders' tags, as far as earlier changes did not include them.
    pub names: Vec<EndpointName>,
}

impl Changes {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.updated.is_empty() && self.removed.is_empty() && self.names.is_empty()
    }
}

/// How many restored entries were accepted or not, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoreSummary {
    /// Entries accepted. Lookups return them once the endpoint list names their holders.
    pub accepted: u64,
    /// Entries dropped because they were too old.
    pub expired: u64,
    /// Entries whose time lies in the future because the clock was stepped back. They are accepted as set
    /// now.
    pub in_future: u64,
    /// Entries dropped for lack of room.
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
