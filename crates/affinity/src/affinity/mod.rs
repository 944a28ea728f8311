//! The two tables and what they share: the clock, the registry of endpoints and the estimate of the
//! cluster's load.
//!
//! [`sessions`] and [`groups`] are the tables' own operations, [`sync`] is what relays exchange of them,
//! [`changes`] is what a store gets and gives back.

mod changes;
mod groups;
mod sessions;
mod sync;

use std::cell::Cell;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::TickClock;
use crate::codec::{Client, TableKind};
use crate::decay::{DecayingSum, decay_factor};
use crate::endpoint_registry::{EndpointRegistry, ListedEndpoint, StickyEndpoint};
use crate::group::GroupEntry;
use crate::position::ClusterPosition;
use crate::statistics::{LoadEstimate, Statistics, TableBytes};
use crate::table::Table;
use crate::{Limits, Millis};

pub(crate) use sync::by_bucket;

/// Entries that are checked for their age with every change of a table.
const SWEPT_PER_CHANGE: usize = 2;
/// Load under which a holder counts as none, in mean connections.
const NEGLIGIBLE_LOAD: f32 = 0.05;

/// Which endpoints hold clients and groups; see the crate's documentation.
pub struct Affinity {
    limits: Limits,
    registry: EndpointRegistry,
    sessions: Table<StickyEndpoint>,
    groups: Table<GroupEntry>,
    clock: TickClock,
    /// Other relays whose loads are included.
    included_relays: DecayingSum,
    /// When a store or a relay last reported loads.
    learned_at: Option<Millis>,
    /// All loads placed, reported and restored, whether or not their groups are still known.
    counted_load: DecayingSum,
    /// Removed keys that were not given to the store yet.
    removed_keys: Vec<(TableKind, u64)>,
    tracks_changes: bool,
    stale_lookups: Cell<u64>,
}

impl Affinity {
    /// Empty tables.
    pub fn new(limits: Limits, now: Millis) -> Self {
        // A quarter is for what is being sent to other relays and for removed keys. The rest is shared
        // evenly: there are many clients to a group, but a group's entry is four times as large.
        let table_bytes = limits.bytes / 4 * 3;
        Affinity {
            limits,
            registry: EndpointRegistry::default(),
            sessions: Table::with_byte_budget(table_bytes / 2),
            groups: Table::with_byte_budget(table_bytes / 2),
            clock: TickClock::new(now, limits.max_age),
            included_relays: DecayingSum::new(now),
            learned_at: None,
            counted_load: DecayingSum::new(now),
            removed_keys: Vec::new(),
            tracks_changes: false,
            stale_lookups: Cell::default(),
        }
    }

    /// The limits as of now.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// This relay's place in the cluster.
    pub fn position(&self) -> ClusterPosition {
        self.limits.position
    }

    /// The cluster was resized, or this relay has another index in it.
    pub fn set_position(&mut self, position: ClusterPosition) {
        self.limits.position = position;
    }

    /// The key of a client in the table of sessions.
    pub fn client_key(name: &[u8]) -> u64 {
        xxh3_64(name) & Client::KEY_MASK
    }

    /// Takes a list of endpoints, the full one or changes to it.
    pub fn apply_list<'a>(
        &mut self,
        now: Millis,
        is_full: bool,
        entries: impl Iterator<Item = ListedEndpoint<'a>>,
    ) {
        self.clock.advance(now);
        self.registry.apply_list(self.clock.now(), is_full, entries);
    }

    /// An estimate of the load that is established on the whole cluster, and how much to trust it: it rests
    /// on what a store or other relays reported, and loses weight as connections end. Without a report the
    /// confidence is 0.
    pub fn estimated_load(&self, now: Millis) -> LoadEstimate {
        let confidence = self.learned_at.map_or(0.0, |at| self.decay(now - at));
        LoadEstimate { load: self.counted_load(now) * self.scale_to_cluster(now), confidence }
    }

    /// Connections that all sizes rest on, decayed like them.
    pub fn counted_load(&self, now: Millis) -> f64 {
        self.counted_load.value_at(now, self.limits.mean_lifetime)
    }

    /// Counters and gauges of both tables.
    pub fn statistics(&self) -> Statistics {
        let sessions = self.sessions.losses();
        let groups = self.groups.losses();
        Statistics {
            sessions: self.sessions.len() as u64,
            groups: self.groups.len() as u64,
            max_bytes: self.limits.bytes as u64,
            evicted: sessions.evicted + groups.evicted,
            not_admitted: sessions.not_admitted + groups.not_admitted,
            expired: sessions.expired + groups.expired,
            stale_lookups: self.stale_lookups.get(),
            resent_chunks: 0,
        }
    }

    /// Bytes that the tables take at most.
    pub fn max_table_bytes(&self) -> TableBytes {
        TableBytes {
            sessions: Table::<StickyEndpoint>::bytes_for(self.sessions.capacity()),
            groups: Table::<GroupEntry>::bytes_for(self.groups.capacity()),
        }
    }

    /// The loads of this many other relays are now included.
    pub(crate) fn include_relays(&mut self, now: Millis, relays: f64) {
        let now = self.clock.now().max(now);
        self.included_relays.add(now, relays, self.limits.mean_lifetime);
        self.learned_at = Some(now);
    }

    /// Counts load that came to be known.
    fn count_load(&mut self, load: f64) {
        self.counted_load.add(self.clock.now(), load, self.limits.mean_lifetime);
    }

    /// How many times the loads known here the cluster carries: known are those of this relay, which after
    /// its restart are few because the others carry them, and those of the included relays. Reported loads
    /// decay; what arrives after them is known at this relay alone.
    fn scale_to_cluster(&self, now: Millis) -> f64 {
        let relay_count = f64::from(self.limits.position.relay_count);
        relay_count / (1.0 + self.included_relays.value_at(now, self.limits.mean_lifetime))
    }

    fn decay(&self, span: Millis) -> f64 {
        decay_factor(span, self.limits.mean_lifetime)
    }

    fn count_stale_lookups(&self, lookups: usize) {
        self.stale_lookups.set(self.stale_lookups.get() + lookups as u64);
    }

    /// Entries set before this tick are expired.
    fn oldest_tick(&self) -> u32 {
        self.clock.tick_of(self.clock.now() - self.limits.max_age)
    }

    fn ready_id(&self, endpoint: StickyEndpoint) -> Option<Arc<str>> {
        self.registry.ready_id(endpoint).cloned()
    }
}
