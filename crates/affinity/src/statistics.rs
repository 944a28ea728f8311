//! Counters, sizes and estimates of the tables.

use std::sync::Arc;

/// Totals since the start, and current gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Clients in the table now.
    pub sessions: u64,
    /// Groups in the table now.
    pub groups: u64,
    /// Most bytes that the tables may take.
    pub max_bytes: u64,
    /// Entries evicted from the main queue to make room for others.
    pub evicted: u64,
    /// Entries evicted from the small queue without having been admitted to the main queue.
    pub not_admitted: u64,
    /// Entries dropped because of their age.
    pub expired: u64,
    /// Lookups of entries whose holder is not ready: a connection sent to that holder would have failed.
    pub stale_lookups: u64,
    /// Replicated chunks that were requested again.
    pub resent_chunks: u64,
}

/// Most bytes that each table may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableBytes {
    /// Bytes of the table of clients.
    pub sessions: usize,
    /// Bytes of the table of groups.
    pub groups: usize,
}

/// An endpoint that holds some of a group's connections.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderLoad {
    /// The endpoint's id.
    pub endpoint: Arc<str>,
    /// The group's load on the endpoint, in mean connections, as far as this relay knows it.
    pub load: f64,
}

/// A group and its estimated load across the whole cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupSize {
    /// The group's key.
    pub group: u64,
    /// The group's load, in mean connections.
    pub load: f64,
}

/// An estimate of the load across the whole cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// The estimated load, in mean connections.
    pub load: f64,
    /// How much to trust the estimate over this relay's own counts, from 0 to 1.
    pub confidence: f64,
}
