//! Operations on the table of groups: the endpoints that hold each group, with their loads.

use super::{Affinity, NEGLIGIBLE_LOAD, SWEPT_PER_CHANGE};
use crate::Millis;
use crate::codec::{GroupRow, TableKind};
use crate::group::{GroupEntry, Holder, MAX_HOLDERS};
use crate::statistics::{GroupSize, HolderLoad};
use crate::table::Evicted;

/// Loads are sent in units of a fraction of a mean connection; this many units make one connection.
pub(super) const LOAD_UNITS_PER_CONNECTION: f32 = 16.0;

impl Affinity {
    /// Records a connection of a group on an endpoint, with its load in mean connections.
    pub fn record_group_connection(&mut self, now: Millis, group: u64, endpoint: &str, load: f64) {
        let tick = self.clock.advance(now);
        let Some(endpoint) = self.registry.listed(endpoint) else { return };
        self.count_load(load);
        // The lookup counts as a use, so that a group with further connections stays in the table.
        let entry = self.groups.get(group).map(|stored| stored.value).unwrap_or_default();
        let added = Holder { endpoint, local_load: load as f32, reported_load: 0.0, updated_at: tick };
        let entry = self.with_added(&entry, added, tick);
        self.set_group(tick, group, entry);
    }

    /// The endpoints that hold a group and are ready, the one with the most load of the group first.
    pub fn group_holders(&self, now: Millis, group: u64) -> Vec<HolderLoad> {
        let tick = self.clock.tick_no_earlier(now);
        let Some(stored) = self.groups.peek(group).filter(|stored| stored.set_at >= self.oldest_tick())
        else {
            return Vec::new();
        };
        let holders = stored.value.decayed_holders(tick, self.limits.mean_lifetime);
        let mut ready: Vec<HolderLoad> = holders
            .filter_map(|holder| {
                let endpoint = self.ready_id(holder.endpoint)?;
                Some(HolderLoad { endpoint, load: f64::from(holder.load()) })
            })
            .collect();
        self.count_stale_lookups(stored.value.holders().len() - ready.len());
        ready.sort_by(|a, b| b.load.total_cmp(&a.load).then_with(|| a.endpoint.cmp(&b.endpoint)));
        ready
    }

    /// Estimates of the largest groups' load across the whole cluster, the largest first. Each relay places
    /// only some of a group's connections. After a start, the loads reported by other relays represent their
    /// connections until this relay has observed connections for as long itself.
    pub fn group_sizes(&self, now: Millis, max_groups: usize) -> Vec<GroupSize> {
        let tick = self.clock.tick_no_earlier(now);
        let scale = self.scale_to_cluster(now);
        let all = self.groups.iter().map(|entry| (entry.key, self.total_load(entry.value, tick)));
        let mut sizes: Vec<(u64, f32)> = all.filter(|(_, load)| *load > NEGLIGIBLE_LOAD).collect();
        let by_size = |a: &(u64, f32), b: &(u64, f32)| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0));
        if sizes.len() > max_groups && max_groups > 0 {
            sizes.select_nth_unstable_by(max_groups - 1, by_size);
            sizes.truncate(max_groups);
        }
        sizes.sort_by(by_size);
        let scaled = |(group, load)| GroupSize { group, load: f64::from(load) * scale };
        sizes.into_iter().map(scaled).collect()
    }

    /// Adds a group's load on each of its holders, as another relay reported it, to the group's entry.
    pub(crate) fn merge_group(&mut self, now: Millis, row: &GroupRow) {
        let tick = self.clock.advance(now);
        let group = u64::from_le_bytes(row.key);
        let mut entry = self.groups.peek(group).map(|stored| stored.value).unwrap_or_default();
        for holder in row.holders.iter().take(MAX_HOLDERS) {
            let Some(endpoint) = self.registry.find_or_add(self.clock.now(), holder.tag) else { continue };
            let reported_load = f32::from(holder.load_units) / LOAD_UNITS_PER_CONNECTION;
            self.count_load(f64::from(reported_load));
            let added = Holder { endpoint, local_load: 0.0, reported_load, updated_at: tick };
            entry = self.with_added(&entry, added, tick);
        }
        if !entry.is_empty() {
            self.set_group(tick, group, entry);
        }
    }

    pub(super) fn with_added(&self, entry: &GroupEntry, added: Holder, tick: u32) -> GroupEntry {
        entry.with_added(added, tick, self.limits.mean_lifetime, &self.registry)
    }

    pub(super) fn set_group(&mut self, tick: u32, group: u64, entry: GroupEntry) {
        let evicted = self.groups.insert(tick, group, entry);
        self.track_removed(TableKind::Groups, evicted.map(|evicted| evicted.key));
        let oldest = self.oldest_tick();
        let registry = &self.registry;
        let has_ended =
            |entry: &GroupEntry| entry.holders().iter().all(|holder| registry.has_ended(holder.endpoint));
        let mut swept: Vec<Evicted<GroupEntry>> = Vec::new();
        self.groups.sweep(SWEPT_PER_CHANGE, oldest, has_ended, &mut swept);
        self.track_removed(TableKind::Groups, swept.iter().map(|evicted| evicted.key));
    }

    fn total_load(&self, entry: &GroupEntry, tick: u32) -> f32 {
        entry.decayed_holders(tick, self.limits.mean_lifetime).map(|holder| holder.load()).sum()
    }
}
