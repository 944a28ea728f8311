//! The table content that relays exchange: rows, digests and location updates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::groups::LOAD_UNITS_PER_CONNECTION;
use super::{Affinity, NEGLIGIBLE_LOAD};
use crate::Millis;
use crate::clock::TICK_MS;
use crate::codec::{
    AGE_STEPS, BUCKETS, Client, ClusterMessage, GroupRow, HolderRow, LocatedClients, SessionRow,
    StickyClients, TableKind, pack_sessions,
};
use crate::group::{GroupEntry, Holder};

impl Affinity {
    /// Location updates of the given clients for other relays, split into messages that each fit a datagram.
    /// Clients that are not known, or whose holder's incarnation has ended, are left out.
    pub fn location_updates(&self, clients: &[u64]) -> Vec<ClusterMessage> {
        let row = |key: &u64| {
            let holder = self.sessions.peek(*key)?.value;
            Some(SessionRow { tag: self.registry.tag(holder)?, age: 0, key: *key })
        };
        let mut rows: Vec<SessionRow> = clients.iter().filter_map(row).collect();
        rows.sort_unstable();
        rows.dedup();
        pack_sessions(rows.into_iter()).into_iter().map(location_update).collect()
    }

    /// All clients with their holder and age, without those in the last age step, which expire soon.
    pub(crate) fn session_rows(&self, now: Millis) -> impl Iterator<Item = SessionRow> {
        let tick = self.clock.tick_of(now);
        let ticks_per_step = self.limits.max_age / f64::from(AGE_STEPS) / TICK_MS;
        self.sessions.iter().filter_map(move |entry| {
            let age = (f64::from(tick.saturating_sub(entry.set_at)) / ticks_per_step) as u8;
            let tag = self.registry.tag(*entry.value).filter(|_| age < AGE_STEPS - 1)?;
            Some(SessionRow { tag, age, key: entry.key })
        })
    }

    /// All groups with this relay's own load on each of their holders.
    pub(crate) fn local_group_rows(&self, now: Millis) -> impl Iterator<Item = GroupRow> {
        let tick = self.clock.tick_of(now);
        self.groups.iter().filter_map(move |entry| {
            let loaded = self.locally_loaded(entry.value, tick);
            let row = |holder: Holder| {
                let load_units = (holder.local_load * LOAD_UNITS_PER_CONNECTION).round() as u16;
                Some(HolderRow { tag: self.registry.tag(holder.endpoint)?, load_units })
            };
            let mut holders: Vec<HolderRow> = loaded.filter_map(row).collect();
            holders.sort_unstable();
            (!holders.is_empty()).then(|| GroupRow { key: entry.key.to_le_bytes(), holders })
        })
    }

    /// A digest of each bucket of clients, by which two relays compare their tables. The order of the entries
    /// does not matter.
    pub(crate) fn session_digests(&self, now: Millis) -> Vec<[u8; 4]> {
        let mut digests = vec![[0; 4]; BUCKETS];
        for row in self.session_rows(now) {
            let hash = (xxh3_64_with_seed(&row.tag.0, row.key) as u32).to_le_bytes();
            let digest = &mut digests[bucket(TableKind::Sessions, row.key)];
            digest.iter_mut().zip(hash).for_each(|(byte, hash)| *byte ^= hash);
        }
        digests
    }

    /// The holders of a group that carry more than negligible load of this relay, decayed until a tick.
    pub(super) fn locally_loaded(&self, entry: &GroupEntry, tick: u32) -> impl Iterator<Item = Holder> {
        entry
            .decayed_holders(tick, self.limits.mean_lifetime)
            .filter(|holder| holder.local_load > NEGLIGIBLE_LOAD)
    }
}

fn location_update(rows: Vec<StickyClients>) -> ClusterMessage {
    let located = |row: StickyClients| LocatedClients { tag: row.tag, clients: row.clients };
    ClusterMessage::LocationUpdate(rows.into_iter().map(located).collect())
}

/// The bucket of a key, which its upper bits determine.
fn bucket(table: TableKind, key: u64) -> usize {
    let bucket_bits = BUCKETS.ilog2();
    let key_bits = match table {
        TableKind::Sessions => Client::BITS,
        TableKind::Groups => u64::BITS,
    };
    (key >> (key_bits - bucket_bits)) as usize % BUCKETS
}

/// Sorts rows into buckets by their key.
pub(crate) fn by_bucket<T>(
    table: TableKind,
    rows: impl Iterator<Item = T>,
    key: impl Fn(&T) -> u64,
) -> Vec<Vec<T>> {
    let mut buckets: Vec<Vec<T>> = std::iter::repeat_with(Vec::new).take(BUCKETS).collect();
    for row in rows {
        buckets[bucket(table, key(&row))].push(row);
    }
    buckets
}
