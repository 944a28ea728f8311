//! The two tables, and the clock, the endpoint registry and the estimate of the cluster's load that they
//! share.
//!
//! [`sessions`] and [`groups`] implement the operations on each table, [`sync`] prepares the table content
//! that relays exchange, and [`changes`] exchanges entries with a store.

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

/// Entries whose age is checked with each change of a table.
const SWEPT_PER_CHANGE: usize = 2;
/// A holder with less load than this, in mean connections, is treated as having none.
const NEGLIGIBLE_LOAD: f32 = 0.05;

/// The tables of which endpoints hold clients and groups; see the crate's documentation.
pub struct Affinity {
    limits: Limits,
    registry: EndpointRegistry,
    sessions: Table<StickyEndpoint>,
    groups: Table<GroupEntry>,
    clock: TickClock,
    /// Number of other relays whose loads are included in the tables; it decays like those loads.
    included_relays: DecayingSum,
    /// When loads were last restored from a store or reported by another relay.
    learned_at: Option<Millis>,
    /// Sum of all loads placed, reported and restored, whether or not their groups are still in the table.
    counted_load: DecayingSum,
    /// Removed keys that [`Affinity::take_changes`] has not returned yet.
    removed_keys: Vec<(TableKind, u64)>,
    tracks_changes: bool,
    stale_lookups: Cell<u64>,
}

impl Affinity {
    /// Creates empty tables.
    pub fn new(limits: Limits, now: Millis) -> Self {
        // A quarter of the bytes is reserved for answers being sent to other relays and for removed keys.
        // Each table gets half of the rest: there are more clients than groups, but a group's entry is four
        // times as large.
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

    /// The current limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// This relay's cluster position.
    pub fn position(&self) -> ClusterPosition {
        self.limits.position
    }

    /// Sets the cluster position, after the cluster was resized or this relay got another index in it.
    pub fn set_position(&mut self, position: ClusterPosition) {
        self.limits.position = position;
    }

    /// The key of the client of this name in the table of sessions.
    pub fn client_key(name: &[u8]) -> u64 {
        xxh3_64(name) & Client::KEY_MASK
    }

    /// Applies an endpoint list, either the full list or changes to it.
    pub fn apply_list<'a>(
        &mut self,
        now: Millis,
        is_full: bool,
        entries: impl Iterator<Item = ListedEndpoint<'a>>,
    ) {
        self.clock.advance(now);
        self.registry.apply_list(self.clock.now(), is_full, entries);
    }

    /// Estimates the load of the connections established across the whole cluster, and how much to trust the
    /// estimate. It relies on loads from a store or from other relays, and its confidence falls as the
    /// connections behind them end. Without such loads the confidence is 0.
    pub fn estimated_load(&self, now: Millis) -> LoadEstimate {
        let confidence = self.learned_at.map_or(0.0, |at| self.decay(now - at));
        LoadEstimate { load: self.counted_load(now) * self.scale_to_cluster(now), confidence }
    }

    /// The decayed sum of all loads that this relay knows, on which the estimates are based.
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

    /// Most bytes that each table may take.
    pub fn max_table_bytes(&self) -> TableBytes {
        TableBytes {
            sessions: Table::<StickyEndpoint>::bytes_for(self.sessions.capacity()),
            groups: Table::<GroupEntry>::bytes_for(self.groups.capacity()),
        }
    }

    /// Records that the loads of this many other relays are now included in the tables.
    pub(crate) fn include_relays(&mut self, now: Millis, relays: f64) {
        let now = self.clock.now().max(now);
        self.included_relays.add(now, relays, self.limits.mean_lifetime);
        self.learned_at = Some(now);
    }

    /// Adds load that was placed, reported or restored to the sum of counted load.
    fn count_load(&mut self, load: f64) {
        self.counted_load.add(self.clock.now(), load, self.limits.mean_lifetime);
    }

    /// The factor from the loads known at this relay to those of the whole cluster. Known loads are this
    /// relay's own, which are few after a restart because the other relays carry the connections, and those
    /// of the included relays. Reported loads decay; of the connections placed since the reports, this relay
    /// knows only its own.
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

    /// The tick before which entries have expired.
    fn oldest_tick(&self) -> u32 {
        self.clock.tick_of(self.clock.now() - self.limits.max_age)
    }

    fn ready_id(&self, endpoint: StickyEndpoint) -> Option<Arc<str>> {
        self.registry.ready_id(endpoint).cloned()
    }
}
