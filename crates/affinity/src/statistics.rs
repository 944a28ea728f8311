//! Counters, sizes and estimates of the tables.

use std::sync::Arc;

/// Totals since the start and gauges as of now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Clients known now.
    pub sessions: u64,
    /// Groups known now.
    pub groups: u64,
    /// Bytes that the tables take at most.
    pub max_bytes: u64,
    /// Entries in use that had to make room.
    pub evicted: u64,
    /// Entries seen once that were not admitted to the main queue.
    pub not_admitted: u64,
    /// Entries that were dropped for their age.
    pub expired: u64,
    /// Lookups of an entry whose holder is not ready: used, they would have gone wrong.
    pub stale_lookups: u64,
    /// Replicated chunks that were requested again.
    pub resent_chunks: u64,
}

/// Bytes that each table takes at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableBytes {
    /// Of the clients' table.
    pub sessions: usize,
    /// Of the groups' table.
    pub groups: usize,
}

/// An endpoint that holds a part of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderLoad {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// The group's load there, in mean connections, as far as it is known here.
    pub load: f64,
}

/// A group and its estimated load on the whole cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupSize {
    /// The group's key.
    pub group: u64,
    /// Its load, in mean connections.
    pub load: f64,
}

/// An estimate of the load on the whole cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// In mean connections.
    pub load: f64,
    /// How much to trust it over what this relay counts itself, from 0 to 1.
    pub confidence: f64,
}
