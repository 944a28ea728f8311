//! A table of fixed size, keyed by hash, that a flood of new keys can't empty.
//!
//! It owns its entries, an index and the ghost keys; all are of a size settled when it is made, so its
//! bytes are bounded whatever comes. Inputs are lookups and inserts, with the time in ticks of the
//! caller's; outputs are values, and the entry that was evicted. It never allocates after it is made beyond
//! the room reserved then, and no operation's cost grows with the entries it holds.
//!
//! Admission is S3-FIFO (Yang et al., SOSP 2023): a new key enters a small queue of a tenth of the capacity
//! and moves on to the main queue only if it was looked up meanwhile, or if it returns soon after its
//! eviction, while it is a ghost. A flood of keys that are seen once passes through the small queue and
//! leaves the main queue alone. `docs/affinity.md` compares it with other policies.

mod ghost;
mod rows;

use std::collections::VecDeque;
use std::mem::size_of;

use ghost::GhostKeys;
pub use rows::{Evicted, Losses, Stored, TableEntry};

/// Lookups that count; more say nothing more.
const MAX_FREQUENCY: u8 = 3;
/// The small queue takes this part of the capacity.
const SMALL_QUEUE_DIVISOR: usize = 10;
/// No entry: the end of a queue.
const NIL: u32 = u32::MAX;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    Free,
    Small,
    Main,
}

struct Entry<V> {
    key: u64,
    /// Neighbours in the queue, toward its newest and its oldest end.
    newer: u32,
    older: u32,
    /// In the caller's ticks.
    set_at: u32,
    frequency: u8,
    queue: Queue,
    /// Set since it was last given by [`Table::next_changed`], and whether it is in the queue of changes.
    is_changed: bool,
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
    /// Entry numbers plus one, zero where free; linear probing.
    index: Vec<u32>,
    ghosts: GhostKeys,
    small: QueueEnds,
    main: QueueEnds,
    free: Vec<u32>,
    /// Entries set since they were last given as changed, oldest first, each at most once; some may be
    /// dropped already.
    changed: VecDeque<u32>,
    sweep_position: usize,
    losses: Losses,
}

impl<V: Copy> Table<V> {
    /// The bytes that a table of so many entries takes at most.
    pub fn bytes_for(capacity: usize) -> usize {
        // An entry, its place in the queue of changes and in the list of free ones, index and ghosts.
        capacity * (size_of::<Entry<V>>() + 2 * size_of::<u32>())
            + (Self::index_slots_for(capacity) + GhostKeys::slots_for(capacity)) * size_of::<u32>()
    }

    /// At most two thirds of the index are used, so that probes stay short.
    fn index_slots_for(capacity: usize) -> usize {
        (capacity + capacity / 2 + 1).next_power_of_two()
    }

    /// The largest table that stays within so many bytes; of one entry at least.
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

    /// A table of at most so many entries.
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.clamp(1, NIL as usize - 1);
        Table {
            // Reserved, not filled: memory that is not used yet is not resident.
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

    /// Entries as of now.
    pub fn len(&self) -> usize {
        self.small.len + self.main.len
    }

    /// Whether it has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Entries that it ever has at most.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// What it has dropped so far.
    pub fn losses(&self) -> Losses {
        self.losses
    }

    /// A key's value. The lookup counts as a use, which is what keeps a key in the table.
    pub fn get(&mut self, key: u64) -> Option<Stored<V>> {
        let at = self.find(key)?;
        let entry = &mut self.entries[at as usize];
        entry.frequency = (entry.frequency + 1).min(MAX_FREQUENCY);
        Some(Stored { value: entry.value, set_at: entry.set_at })
    }

    /// A key's value, by a lookup that does not count as a use.
    pub fn peek(&self, key: u64) -> Option<Stored<V>> {
        let entry = &self.entries[self.find(key)? as usize];
        Some(Stored { value: entry.value, set_at: entry.set_at })
    }

    /// Sets a key's value; gives the entry that had to make room for it.
    pub fn insert(&mut self, now: u32, key: u64, value: V) -> Option<Evicted<V>> {
        if let Some(at) = self.find(key) {
            let entry = &mut self.entries[at as usize];
            entry.value = value;
            entry.set_at = now;
            self.mark_changed(at);
            return None;
        }
        let evicted = if self.len() >= self.capacity { Some(self.evict()) } else { None };
        let is_ghost = self.ghosts.take(key);
        let at = self.allocate(now, key, value);
        self.enqueue(at, if is_ghost { Queue::Main } else { Queue::Small });
        self.add_to_index(key, at);
        self.mark_changed(at);
        evicted
    }

    /// Removes a key.
    pub fn remove(&mut self, key: u64) -> Option<V> {
        let at = self.find(key)?;
        Some(self.remove_entry(at).value)
    }

    /// Checks the next `max_checked` entries and removes those that were set before `oldest` or are dead,
    /// as the caller sees it. Called now and then it passes all entries, at a bounded cost.
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

    /// The next entry that was set since it was last given here, the one that was set first.
    pub fn next_changed(&mut self) -> Option<TableEntry<V>> {
        while let Some(at) = self.changed.pop_front() {
            let entry = &mut self.entries[at as usize];
            entry.in_change_queue = false;
            if std::mem::take(&mut entry.is_changed) && entry.queue != Queue::Free {
                return Some(TableEntry { key: entry.key, value: entry.value, set_at: entry.set_at });
            }
        }
        None
    }

    /// All entries count as changed: a store that follows the changes has lost some.
    pub fn mark_all_changed(&mut self) {
        for at in 0..self.entries.len() {
            if self.entries[at].queue != Queue::Free {
                self.mark_changed(at as u32);
            }
        }
    }

    fn mark_changed(&mut self, at: u32) {
        let entry = &mut self.entries[at as usize];
        entry.is_changed = true;
        if !std::mem::replace(&mut entry.in_change_queue, true) {
            self.changed.push_back(at);
        }
    }

    /// A new entry in no queue yet.
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
            Some(at) => {
                // The slot's last entry may still be in the queue of changes: its place there is taken over.
                let in_change_queue = self.entries[at as usize].in_change_queue;
                self.entries[at as usize] = Entry { in_change_queue, ..entry };
                at
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

    fn add_to_index(&mut self, key: u64, at: u32) {
        let mut slot = self.home_slot(key);
        while self.index[slot] != 0 {
            slot = self.next_slot(slot);
        }
        self.index[slot] = at + 1;
    }

    fn find_slot(&self, key: u64) -> Option<usize> {
        let mut slot = self.home_slot(key);
        loop {
            match self.index[slot] {
                0 => return None,
                at if self.entries[at as usize - 1].key == key => return Some(slot),
                _ => slot = self.next_slot(slot),
            }
        }
    }

    fn find(&self, key: u64) -> Option<u32> {
        self.find_slot(key).map(|slot| self.index[slot] - 1)
    }

    /// Frees a slot of the index: what was probed past it moves back, so that no probe ends too soon.
    fn remove_from_index(&mut self, mut gap: usize) {
        let mask = self.index.len() - 1;
        let mut slot = gap;
        loop {
            slot = self.next_slot(slot);
            let at = self.index[slot];
            if at == 0 {
                break;
            }
            let home = self.home_slot(self.entries[at as usize - 1].key);
            // Whether its home lies outside of what is between the gap and it.
            if slot.wrapping_sub(home) & mask >= slot.wrapping_sub(gap) & mask {
                self.index[gap] = at;
                gap = slot;
            }
        }
        self.index[gap] = 0;
    }

    fn ends(&mut self, queue: Queue) -> &mut QueueEnds {
        if queue == Queue::Small { &mut self.small } else { &mut self.main }
    }

    fn enqueue(&mut self, at: u32, queue: Queue) {
        let ends = self.ends(queue);
        let before = std::mem::replace(&mut ends.newest, at);
        ends.len += 1;
        if before == NIL {
            ends.oldest = at;
        } else {
            self.entries[before as usize].newer = at;
        }
        let entry = &mut self.entries[at as usize];
        entry.older = before;
        entry.newer = NIL;
        entry.queue = queue;
    }

    fn dequeue(&mut self, at: u32) {
        let Entry { older, newer, queue, .. } = self.entries[at as usize];
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
    fn remove_entry(&mut self, at: u32) -> Evicted<V> {
        self.dequeue(at);
        let entry = &mut self.entries[at as usize];
        entry.queue = Queue::Free;
        let removed = Evicted { key: entry.key, value: entry.value };
        if let Some(slot) = self.find_slot(removed.key) {
            self.remove_from_index(slot);
        }
        self.free.push(at);
        removed
    }

    /// Makes room for one entry. Each step evicts one, or takes a use from one in the main queue, of which
    /// every lookup added one: over time no more steps than lookups and inserts.
    fn evict(&mut self) -> Evicted<V> {
        loop {
            let from_small = self.small.len > self.capacity / SMALL_QUEUE_DIVISOR || self.main.len == 0;
            let at = if from_small { self.small.oldest } else { self.main.oldest };
            let entry = &mut self.entries[at as usize];
            if entry.frequency == 0 {
                return self.evict_entry(at, from_small);
            }
            entry.frequency = if from_small { 0 } else { entry.frequency - 1 };
            self.dequeue(at);
            self.enqueue(at, Queue::Main);
        }
    }

    fn evict_entry(&mut self, at: u32, from_small: bool) -> Evicted<V> {
        let evicted = self.remove_entry(at);
        if from_small {
            self.losses.not_admitted += 1;
            self.ghosts.insert(evicted.key);
        } else {
            self.losses.evicted += 1;
        }
        evicted
    }
}
