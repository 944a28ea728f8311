//! A table of fixed size, keyed by hash, that a flood of new keys can't empty.
//!
//! A [`Table`] owns its entries, an index and the ghost keys. Their sizes are fixed at creation, so the
//! table's bytes are bounded whatever keys arrive. Inputs are lookups and inserts, with the time in the
//! caller's ticks; outputs are values, and the entry that was evicted. The table never allocates beyond the
//! room that it reserves at creation, and the cost of an operation does not grow with the number of entries.
//!
//! Admission is S3-FIFO (Yang et al., SOSP 2023): a new key enters a small queue of a tenth of the capacity
//! and moves on to the main queue only if it was looked up meanwhile, or if it is inserted again soon after
//! its eviction, while it is a ghost key. A flood of keys that are inserted only once passes through the
//! small queue and leaves the main queue unchanged. `docs/affinity.md` compares it with other policies.

mod ghost;
mod rows;

use std::collections::VecDeque;
use std::mem::size_of;

use ghost::GhostKeys;
pub use rows::{Evicted, Losses, Stored, TableEntry};

/// Most lookups that are counted for an entry; further ones have no effect on eviction.
const MAX_FREQUENCY: u8 = 3;
/// The small queue takes one part in this many of the capacity.
const SMALL_QUEUE_DIVISOR: usize = 10;
/// In place of an entry's number: no entry, the end of a queue.
const NIL: u32 = u32::MAX;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    Free,
    Small,
    Main,
}

struct Entry<V> {
    key: u64,
    /// Neighbours in the queue, towards its newest and its oldest end.
    newer: u32,
    older: u32,
    /// When the entry was set, in the caller's ticks.
    set_at: u32,
    frequency: u8,
    queue: Queue,
    /// Whether the entry was set since [`Table::next_changed`] last returned it.
    is_changed: bool,
    /// Whether the entry's number is in the queue of changes.
    in_change_queue: bool,
    value: V,
}

#[derive(Clone, Copy)]
struct QueueEnds {
    newest: u32,
    oldest: u32,
    len: usize,
}

impl QueueEnds {
    const EMPTY: QueueEnds = QueueEnds { newest: NIL, oldest: NIL, len: 0 };
}

/// A bounded hash table with S3-FIFO admission.
pub struct Table<V> {
    entries: Vec<Entry<V>>,
    capacity: usize,
    /// Entry numbers plus one, zero where a slot is free. Collisions are resolved by linear probing.
    index: Vec<u32>,
    ghosts: GhostKeys,
    small: QueueEnds,
    main: QueueEnds,
    free: Vec<u32>,
    /// Numbers of entries set since they were last returned as changed, the oldest change first, each at most
    /// once. Some of these entries may have been removed since.
    changed: VecDeque<u32>,
    sweep_position: usize,
    losses: Losses,
}

impl<V: Copy> Table<V> {
    /// Most bytes that a table of this capacity takes.
    pub fn bytes_for(capacity: usize) -> usize {
        // Each entry with its number in the queue of changes and in the list of free entries, then the index
        // and the ghost keys.
        capacity * (size_of::<Entry<V>>() + 2 * size_of::<u32>())
            + (Self::index_slots_for(capacity) + GhostKeys::slots_for(capacity)) * size_of::<u32>()
    }

    /// Number of index slots, of which at most two thirds are used so that probes stay short.
    fn index_slots_for(capacity: usize) -> usize {
        (capacity + capacity / 2 + 1).next_power_of_two()
    }

    /// Creates the largest table that stays within this many bytes, with a capacity of at least one entry.
    pub fn with_byte_budget(bytes: usize) -> Self {
        let mut fits = 1;
        let mut too_large = bytes / size_of::<Entry<V>>() + 2;
        while too_large - fits > 1 {
            let middle = fits.midpoint(too_large);
            if Self::bytes_for(middle) <= bytes {
                fits = middle;
            } else {
                too_large = middle;
            }
        }
        Self::new(fits)
    }

    /// Creates a table of this capacity, in entries.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.clamp(1, NIL as usize - 1);
        Table {
            // Reserved but not filled: memory that is not used yet is not resident.
            entries: Vec::with_capacity(capacity),
            capacity,
            index: vec![0; Self::index_slots_for(capacity)],
            ghosts: GhostKeys::for_capacity(capacity),
            small: QueueEnds::EMPTY,
            main: QueueEnds::EMPTY,
            free: Vec::with_capacity(capacity),
            changed: VecDeque::with_capacity(capacity),
            sweep_position: 0,
            losses: Losses::default(),
        }
    }

    /// The current number of entries.
    pub fn len(&self) -> usize {
        self.small.len + self.main.len
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Most entries that the table may hold.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// How many entries the table has dropped so far, and why.
    pub fn losses(&self) -> Losses {
        self.losses
    }

    /// A key's value. The lookup counts as a use, which is what keeps a key in the table.
    pub fn get(&mut self, key: u64) -> Option<Stored<V>> {
        let entry_index = self.find(key)?;
        let entry = &mut self.entries[entry_index as usize];
        entry.frequency = (entry.frequency + 1).min(MAX_FREQUENCY);
        Some(Stored { value: entry.value, set_at: entry.set_at })
    }

    /// A key's value, by a lookup that does not count as a use.
    pub fn peek(&self, key: u64) -> Option<Stored<V>> {
        let entry = &self.entries[self.find(key)? as usize];
        Some(Stored { value: entry.value, set_at: entry.set_at })
    }

    /// Sets a key's value; returns the entry that was evicted to make room for it.
    pub fn insert(&mut self, now: u32, key: u64, value: V) -> Option<Evicted<V>> {
        if let Some(entry_index) = self.find(key) {
            let entry = &mut self.entries[entry_index as usize];
            entry.value = value;
            entry.set_at = now;
            self.mark_changed(entry_index);
            return None;
        }
        let evicted = if self.len() >= self.capacity { Some(self.evict()) } else { None };
        let is_ghost = self.ghosts.take(key);
        let entry_index = self.allocate(now, key, value);
        self.enqueue(entry_index, if is_ghost { Queue::Main } else { Queue::Small });
        self.add_to_index(key, entry_index);
        self.mark_changed(entry_index);
        evicted
    }

    /// Removes a key; returns its value.
    pub fn remove(&mut self, key: u64) -> Option<V> {
        let entry_index = self.find(key)?;
        Some(self.remove_entry(entry_index).value)
    }

    /// Checks the next `max_checked` entries and removes those that were set before `oldest` or for which
    /// `is_dead` holds. Repeated calls check all entries in turn, each call at a bounded cost.
    pub fn sweep(
        &mut self,
        max_checked: usize,
        oldest: u32,
        is_dead: impl Fn(&V) -> bool,
        removed: &mut Vec<Evicted<V>>,
    ) {
        for _ in 0..max_checked.min(self.entries.len()) {
            let next = self.sweep_position + 1;
            self.sweep_position = if next < self.entries.len() { next } else { 0 };
            let entry = &self.entries[self.sweep_position];
            if entry.queue == Queue::Free {
                continue;
            }
            let is_expired = entry.set_at < oldest;
            if is_expired || is_dead(&entry.value) {
                self.losses.expired += u64::from(is_expired);
                removed.push(self.remove_entry(self.sweep_position as u32));
            }
        }
    }

    /// All entries, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = TableEntry<&V>> {
        let used = self.entries.iter().filter(|entry| entry.queue != Queue::Free);
        used.map(|entry| TableEntry { key: entry.key, value: &entry.value, set_at: entry.set_at })
    }

    /// The next entry that was set since this method last returned it, the one that was marked as changed
    /// first.
    pub fn next_changed(&mut self) -> Option<TableEntry<V>> {
        while let Some(entry_index) = self.changed.pop_front() {
            let entry = &mut self.entries[entry_index as usize];
            entry.in_change_queue = false;
            if std::mem::take(&mut entry.is_changed) && entry.queue != Queue::Free {
                return Some(TableEntry { key: entry.key, value: entry.value, set_at: entry.set_at });
            }
        }
        None
    }

    /// Marks all entries as changed, for a store that is new or has lost entries.
    pub fn mark_all_changed(&mut self) {
        for entry_index in 0..self.entries.len() {
            if self.entries[entry_index].queue != Queue::Free {
                self.mark_changed(entry_index as u32);
            }
        }
    }

    fn mark_changed(&mut self, entry_index: u32) {
        let entry = &mut self.entries[entry_index as usize];
        entry.is_changed = true;
        if !std::mem::replace(&mut entry.in_change_queue, true) {
            self.changed.push_back(entry_index);
        }
    }

    /// Allocates a new entry that is in no queue yet; returns its number.
    fn allocate(&mut self, now: u32, key: u64, value: V) -> u32 {
        let entry = Entry {
            key,
            newer: NIL,
            older: NIL,
            set_at: now,
            frequency: 0,
            queue: Queue::Small,
            is_changed: false,
            in_change_queue: false,
            value,
        };
        match self.free.pop() {
            Some(entry_index) => {
                // The number may still be in the queue of changes from the entry that used it before. The new
                // entry takes over that place in the queue.
                let in_change_queue = self.entries[entry_index as usize].in_change_queue;
                self.entries[entry_index as usize] = Entry { in_change_queue, ..entry };
                entry_index
            }
            None => {
                self.entries.push(entry);
                self.entries.len() as u32 - 1
            }
        }
    }

    /// The first slot of the index that is probed for a key.
    fn home_slot(&self, key: u64) -> usize {
        (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize & (self.index.len() - 1)
    }

    fn next_slot(&self, slot: usize) -> usize {
        (slot + 1) & (self.index.len() - 1)
    }

    fn add_to_index(&mut self, key: u64, entry_index: u32) {
        let mut slot = self.home_slot(key);
        while self.index[slot] != 0 {
            slot = self.next_slot(slot);
        }
        self.index[slot] = entry_index + 1;
    }

    fn find_slot(&self, key: u64) -> Option<usize> {
        let mut slot = self.home_slot(key);
        loop {
            match self.index[slot] {
                0 => return None,
                stored if self.entries[stored as usize - 1].key == key => return Some(slot),
                _ => slot = self.next_slot(slot),
            }
        }
    }

    fn find(&self, key: u64) -> Option<u32> {
        self.find_slot(key).map(|slot| self.index[slot] - 1)
    }

    /// Frees a slot of the index. Entries that were placed behind the slot because it was in use move back,
    /// so that no later probe ends too early at the gap.
    fn remove_from_index(&mut self, mut gap: usize) {
        let mask = self.index.len() - 1;
        let mut slot = gap;
        loop {
            slot = self.next_slot(slot);
            let stored = self.index[slot];
            if stored == 0 {
                break;
            }
            let home = self.home_slot(self.entries[stored as usize - 1].key);
            // The entry may move to the gap unless its home slot lies between the gap and its current slot.
            if slot.wrapping_sub(home) & mask >= slot.wrapping_sub(gap) & mask {
                self.index[gap] = stored;
                gap = slot;
            }
        }
        self.index[gap] = 0;
    }

    fn ends(&mut self, queue: Queue) -> &mut QueueEnds {
        if queue == Queue::Small { &mut self.small } else { &mut self.main }
    }

    fn enqueue(&mut self, entry_index: u32, queue: Queue) {
        let ends = self.ends(queue);
        let before = std::mem::replace(&mut ends.newest, entry_index);
        ends.len += 1;
        if before == NIL {
            ends.oldest = entry_index;
        } else {
            self.entries[before as usize].newer = entry_index;
        }
        let entry = &mut self.entries[entry_index as usize];
        entry.older = before;
        entry.newer = NIL;
        entry.queue = queue;
    }

    fn dequeue(&mut self, entry_index: u32) {
        let Entry { older, newer, queue, .. } = self.entries[entry_index as usize];
        match older {
            NIL => self.ends(queue).oldest = newer,
            older => self.entries[older as usize].newer = newer,
        }
        match newer {
            NIL => self.ends(queue).newest = older,
            newer => self.entries[newer as usize].older = older,
        }
        self.ends(queue).len -= 1;
    }

    /// Removes an entry from its queue and the index.
    fn remove_entry(&mut self, entry_index: u32) -> Evicted<V> {
        self.dequeue(entry_index);
        let entry = &mut self.entries[entry_index as usize];
        entry.queue = Queue::Free;
        let removed = Evicted { key: entry.key, value: entry.value };
        if let Some(slot) = self.find_slot(removed.key) {
            self.remove_from_index(slot);
        }
        self.free.push(entry_index);
        removed
    }

    /// Evicts one entry to make room. Each step evicts an entry, moves one from the small to the main queue,
    /// or takes one counted use from an entry in the main queue. As each lookup adds at most one use, there
    /// are over time no more steps than lookups and inserts.
    fn evict(&mut self) -> Evicted<V> {
        loop {
            let from_small = self.small.len > self.capacity / SMALL_QUEUE_DIVISOR || self.main.len == 0;
            let entry_index = if from_small { self.small.oldest } else { self.main.oldest };
            let entry = &mut self.entries[entry_index as usize];
            if entry.frequency == 0 {
                return self.evict_entry(entry_index, from_small);
            }
            entry.frequency = if from_small { 0 } else { entry.frequency - 1 };
            self.dequeue(entry_index);
            self.enqueue(entry_index, Queue::Main);
        }
    }

    fn evict_entry(&mut self, entry_index: u32, from_small: bool) -> Evicted<V> {
        let evicted = self.remove_entry(entry_index);
        if from_small {
            self.losses.not_admitted += 1;
            self.ghosts.insert(evicted.key);
        } else {
            self.losses.evicted += 1;
        }
        evicted
    }
}
