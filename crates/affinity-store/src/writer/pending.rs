//! The changes that are not written yet, with the latest value of each entry.

use std::collections::{BTreeMap, HashMap};

use sandgw_affinity::codec::TableKind;
use sandgw_affinity::endpoint_registry::{EndpointName, EndpointTag};
use sandgw_affinity::{Changes, Record};

/// Most entries that wait for a failing disk; they take a few MB. Further entries are dropped until they
/// change again.
const MAX_PENDING_ENTRIES: usize = 16_384;

#[derive(Default)]
pub(super) struct Pending {
    /// Changed entries by table and key; `None` where the entry is to be removed.
    entries: BTreeMap<(TableKind, u64), Option<Record>>,
    names: HashMap<EndpointTag, EndpointName>,
}

impl Pending {
    /// Adds a batch; returns the number of entries dropped for lack of room.
    pub fn add(&mut self, changes: Changes) -> u64 {
        let removed = changes.removed.into_iter().map(|key| (key, None));
        let set = changes.updated.into_iter().map(|record| (record.key(), Some(record)));
        let mut dropped = 0;
        for (key, entry) in removed.chain(set) {
            if self.entries.len() < MAX_PENDING_ENTRIES || self.entries.contains_key(&key) {
                self.entries.insert(key, entry);
            } else {
                dropped += 1;
            }
        }
        self.names.extend(changes.names.into_iter().map(|name| (name.tag, name)));
        dropped
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.names.is_empty()
    }

    /// The number of entries, without endpoint names.
    pub fn entry_count(&self) -> u64 {
        self.entries.len() as u64
    }

    /// All pending changes as one batch.
    pub fn changes(&self) -> Changes {
        let removed = self.entries.iter().filter(|(_, record)| record.is_none());
        Changes {
            updated: self.entries.values().flatten().cloned().collect(),
            removed: removed.map(|(key, _)| *key).collect(),
            names: self.names.values().cloned().collect(),
        }
    }
}
