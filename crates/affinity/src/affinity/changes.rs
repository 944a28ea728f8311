//! The changes that the tables give to a store, and the records that they restore from it at the start.

use super::Affinity;
use crate::Millis;
use crate::codec::{Client, TableKind};
use crate::endpoint_registry::EndpointTag;
use crate::group::{GroupEntry, Holder};
use crate::record::{Changes, Record, RestoreSummary};

/// Removed keys may take one part in this many of the byte limit.
const REMOVED_KEYS_DIVISOR: usize = 16;

impl Affinity {
    /// Starts to track removed keys for [`Affinity::take_changes`], and marks all entries and names as
    /// changed. Called when a store is attached, and when a store has lost entries.
    pub fn track_changes(&mut self) {
        self.tracks_changes = true;
        self.sessions.mark_all_changed();
        self.groups.mark_all_changed();
        self.registry.forget_given_names();
    }

    /// Returns the changes since the last call, with at most `max_entries` updated entries; the next call
    /// returns the rest.
    pub fn take_changes(&mut self, now: Millis, max_entries: usize) -> Changes {
        let tick = self.clock.advance(now);
        let mut updated = Vec::new();
        self.take_changed_groups(tick, max_entries, &mut updated);
        self.take_changed_sessions(max_entries, &mut updated);
        let mut removed = std::mem::take(&mut self.removed_keys);
        // An entry that was removed and then set again has to stay in the store.
        removed.retain(|(table, key)| !self.contains(*table, *key));
        let names = self.registry.take_new_names().collect();
        Changes { updated, removed, names }
    }

    /// Restores stored records at the start. A lookup returns a restored entry only once the endpoint list
    /// names its holder as ready.
    pub fn restore(&mut self, now: Millis, records: impl Iterator<Item = Record>) -> RestoreSummary {
        self.clock.advance(now);
        let mut summary = RestoreSummary::default();
        let mut has_groups = false;
        for record in records {
            let at = record.at();
            // Neither a clock that was stepped back nor an invalid number may make an entry that never
            // expires.
            let in_future = !at.is_finite() || at > self.clock.now();
            summary.in_future += u64::from(in_future);
            let at = if in_future { self.clock.now() } else { at };
            if at < self.clock.origin() {
                summary.expired += 1;
                continue;
            }
            has_groups |= matches!(record, Record::Group { .. });
            if self.restore_record(record, at) {
                summary.accepted += 1;
            } else {
                summary.rejected += 1;
            }
        }
        if has_groups {
            self.learned_at = Some(self.clock.now());
        }
        summary
    }

    /// Tracks keys that the store has to remove. The room for these keys is limited, but changes are taken
    /// far more often than it fills up; entries whose keys exceed it stay in the store until they are too
    /// old.
    pub(super) fn track_removed(&mut self, table: TableKind, keys: impl IntoIterator<Item = u64>) {
        if !self.tracks_changes {
            return;
        }
        let max_keys = self.limits.bytes / REMOVED_KEYS_DIVISOR / size_of::<(TableKind, u64)>();
        let room = max_keys.saturating_sub(self.removed_keys.len());
        self.removed_keys.extend(keys.into_iter().take(room).map(|key| (table, key)));
    }

    fn take_changed_groups(&mut self, tick: u32, max_entries: usize, updated: &mut Vec<Record>) {
        while updated.len() < max_entries {
            let Some(changed) = self.groups.next_changed() else { break };
            let loaded = self.locally_loaded(&changed.value, tick);
            let stored = |holder: Holder| Some((self.registry.tag(holder.endpoint)?, holder.local_load));
            let holders: Vec<(EndpointTag, f32)> = loaded.filter_map(stored).collect();
            if !holders.is_empty() {
                let at = self.clock.time_of(changed.set_at.max(tick));
                updated.push(Record::Group { key: changed.key, holders, at });
            }
        }
    }

    fn take_changed_sessions(&mut self, max_entries: usize, updated: &mut Vec<Record>) {
        while updated.len() < max_entries {
            let Some(changed) = self.sessions.next_changed() else { break };
            if let Some(holder) = self.registry.tag(changed.value) {
                let at = self.clock.time_of(changed.set_at);
                updated.push(Record::Session { key: changed.key, holder, at });
            }
        }
    }

    fn contains(&self, table: TableKind, key: u64) -> bool {
        match table {
            TableKind::Sessions => self.sessions.peek(key).is_some(),
            TableKind::Groups => self.groups.peek(key).is_some(),
        }
    }

    /// Restores one record; returns whether there was room for it.
    fn restore_record(&mut self, record: Record, at: Millis) -> bool {
        let tick = self.clock.tick_of(at);
        match record {
            Record::Session { key, holder, .. } => {
                let Some(holder) = self.registry.find_or_add(self.clock.now(), holder) else { return false };
                self.set_session(tick, key & Client::KEY_MASK, holder);
                true
            }
            Record::Group { key, holders, .. } => self.restore_group(key, &holders, at, tick),
        }
    }

    fn restore_group(&mut self, key: u64, holders: &[(EndpointTag, f32)], at: Millis, tick: u32) -> bool {
        let now = self.clock.now();
        let mut entry = GroupEntry::default();
        for (tag, load) in holders.iter().filter(|(_, load)| load.is_finite() && *load >= 0.0) {
            let Some(endpoint) = self.registry.find_or_add(now, *tag) else { continue };
            let decayed = f64::from(*load) * self.decay(now - at);
            self.count_load(decayed);
            let added = Holder { endpoint, local_load: *load, reported_load: 0.0, updated_at: tick };
            entry = self.with_added(&entry, added, tick);
        }
        if entry.is_empty() {
            return false;
        }
        self.set_group(tick, key, entry);
        true
    }
}
