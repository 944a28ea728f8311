//! A table of fixed size, keyed by hash, that a flood of new keys can't empty.
//!
//! It owns its entries, an index and a memory of keys it has just let go; all are of a size settled when it is
//! made, so its bytes are bounded whatever comes. It is fed lookups and inserts, with the time in ticks of the
//! caller's; it gives values, and the entry that had to go. It never allocates after it is made beyond the room
//! reserved then, and no operation's cost grows with the entries it holds.
//!
//! Admission is S3-FIFO (Yang et al., SOSP 2023): a new key waits in a short queue of a tenth of the room and
//! passes on to the long one only if it was asked for meanwhile, or if it comes back soon after it was let go.
//! A flood of keys that are met once passes through the short queue and leaves the long one alone.
//! `docs/affinity.md` has the rivals and their figures.

use std::collections::VecDeque;
use std::mem::size_of;

/// Uses that count; more say nothing more.
const MOST_HITS: u8 = 3;
/// The short queue's share of the room.
const SMALL: usize = 10;
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
    /// When it was last set, in the caller's ticks.
    set: u32,
    hits: u8,
    queue: Queue,
    /// Set since it was last told, and whether it waits to be told; see [`Table::changed`].
    changed: bool,
    queued: bool,
    value: V,
}

#[derive(Clone, Copy)]
struct Ends {
    newest: u32,
    oldest: u32,
    len: usize,
}

impl Ends {
    const EMPTY: Ends = Ends { newest: NIL, oldest: NIL, len: 0 };
}

/// What a table has let go, and why, since it was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Entries in use that had to make room.
    pub evicted: u64,
    /// Entries that were met once and never admitted to the long queue.
    pub refused: u64,
    /// Entries that had grown too old.
    pub aged: u64,
}

/// An entry that is no longer there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted<V> {
    /// Its key.
    pub key: u64,
    /// Its value.
    pub value: V,
}

/// The table; see the load balancer's text.
pub struct Table<V> {
    entries: Vec<Entry<V>>,
    most: usize,
    /// Entry numbers plus one, zero where free; linear probing.
    index: Vec<u32>,
    /// Fingerprints of keys let go, each at its own place: a newer one takes an older one's.
    ghosts: Vec<u32>,
    small: Ends,
    main: Ends,
    free: Vec<u32>,
    /// Entries set since they were last told, oldest first, each at most once; some may be gone already.
    changed: VecDeque<u32>,
    hand: usize,
    losses: Losses,
}

impl<V: Copy> Table<V> {
    /// The bytes that a table of so many entries takes at the most.
    pub fn bytes_for(most: usize) -> usize {
        // An entry, its place in the queue of changes and in the list of free ones, index and ghosts.
        most * (size_of::<Entry<V>>() + 2 * size_of::<u32>())
            + (Self::index_for(most) + Self::ghosts_for(most)) * size_of::<u32>()
    }

    fn index_for(most: usize) -> usize {
        // At most two thirds full, so that probes stay short.
        (most + most / 2 + 1).next_power_of_two()
    }

    fn ghosts_for(most: usize) -> usize {
        // A key let go is remembered for two to four turnovers of the table.
        (2 * most).next_power_of_two()
    }

    /// The largest table that stays within so many bytes; of one entry at the least.
    pub fn within(bytes: usize) -> Self {
        let (mut fits, mut over) = (1, bytes / size_of::<Entry<V>>() + 2);
        while over - fits > 1 {
            let half = fits.midpoint(over);
            if Self::bytes_for(half) <= bytes { fits = half } else { over = half }
        }
        Self::new(fits)
    }

    /// A table of at most so many entries.
    pub fn new(most: usize) -> Self {
        let most = most.clamp(1, NIL as usize - 1);
        Table {
            // Reserved, not filled: memory that is not used yet is not resident.
            entries: Vec::with_capacity(most),
            most,
            index: vec![0; Self::index_for(most)],
            ghosts: vec![0; Self::ghosts_for(most)],
            small: Ends::EMPTY,
            main: Ends::EMPTY,
            free: Vec::with_capacity(most),
            changed: VecDeque::with_capacity(most),
            hand: 0,
            losses: Losses::default(),
        }
    }

    /// Entries held now.
    pub fn len(&self) -> usize {
        self.small.len + self.main.len
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Most entries that it ever holds.
    pub fn most(&self) -> usize {
        self.most
    }

    /// What it has let go so far.
    pub fn losses(&self) -> Losses {
        self.losses
    }

    /// The value of a key and when it was set. Asking is what keeps a key.
    pub fn get(&mut self, key: u64) -> Option<(V, u32)> {
        let at = self.find(key)?;
        let entry = &mut self.entries[at as usize];
        entry.hits = (entry.hits + 1).min(MOST_HITS);
        Some((entry.value, entry.set))
    }

    /// The same, where it is not the key's own use that asks.
    pub fn peek(&self, key: u64) -> Option<(V, u32)> {
        self.find(key).map(|at| (self.entries[at as usize].value, self.entries[at as usize].set))
    }

    /// Sets a key's value; gives the entry that had to make room for it.
    pub fn set(&mut self, now: u32, key: u64, value: V) -> Option<Evicted<V>> {
        if let Some(at) = self.find(key) {
            let entry = &mut self.entries[at as usize];
            (entry.value, entry.set) = (value, now);
            self.mark(at);
            return None;
        }
        let gone = if self.len() >= self.most { Some(self.evict()) } else { None };
        let ghost = self.ghost(key);
        let back = self.ghosts[ghost] == fingerprint(key);
        let (queue, changed, queued) = (Queue::Small, false, false);
        let entry = Entry { key, newer: NIL, older: NIL, set: now, hits: 0, queue, changed, queued, value };
        let at = match self.free.pop() {
            Some(at) => {
                // The one before may still wait to be told: the place in that queue is taken over.
                let queued = self.entries[at as usize].queued;
                self.entries[at as usize] = Entry { queued, ..entry };
                at
            }
            None => {
                self.entries.push(entry);
                self.entries.len() as u32 - 1
            }
        };
        if back {
            self.ghosts[ghost] = 0;
        }
        self.enqueue(at, if back { Queue::Main } else { Queue::Small });
        let mut place = self.home(key);
        while self.index[place] != 0 {
            place = (place + 1) & (self.index.len() - 1);
        }
        self.index[place] = at + 1;
        self.mark(at);
        gone
    }

    /// Takes a key out.
    pub fn remove(&mut self, key: u64) -> Option<V> {
        let at = self.find(key)?;
        Some(self.drop_entry(at).value)
    }

    /// Looks at the next few entries and takes out those that are not wanted any more: old ones and, as the
    /// caller sees it, dead ones. Called now and then it passes them all, at a cost settled by `few`.
    pub fn sweep(&mut self, few: usize, oldest: u32, dead: impl Fn(&V) -> bool, gone: &mut Vec<Evicted<V>>) {
        for _ in 0..few.min(self.entries.len()) {
            self.hand = if self.hand + 1 < self.entries.len() { self.hand + 1 } else { 0 };
            let entry = &self.entries[self.hand];
            if entry.queue == Queue::Free {
                continue;
            }
            let aged = entry.set < oldest;
            if aged || dead(&entry.value) {
                self.losses.aged += u64::from(aged);
                gone.push(self.drop_entry(self.hand as u32));
            }
        }
    }

    /// All entries: key, value and when it was set, in an order that says nothing.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &V, u32)> {
        let held = self.entries.iter().filter(|e| e.queue != Queue::Free);
        held.map(|e| (e.key, &e.value, e.set))
    }

    /// The next entry that was set since it was last told here, the longest ago first.
    pub fn changed(&mut self) -> Option<(u64, V, u32)> {
        while let Some(at) = self.changed.pop_front() {
            let entry = &mut self.entries[at as usize];
            entry.queued = false;
            if std::mem::take(&mut entry.changed) && entry.queue != Queue::Free {
                return Some((entry.key, entry.value, entry.set));
            }
        }
        None
    }

    /// All entries count as set since they were last told: whoever keeps them has lost some.
    pub fn mark_all(&mut self) {
        for at in 0..self.entries.len() {
            if self.entries[at].queue != Queue::Free {
                self.mark(at as u32);
            }
        }
    }

    fn mark(&mut self, at: u32) {
        let entry = &mut self.entries[at as usize];
        entry.changed = true;
        if !std::mem::replace(&mut entry.queued, true) {
            self.changed.push_back(at);
        }
    }

    fn home(&self, key: u64) -> usize {
        (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize & (self.index.len() - 1)
    }

    fn ghost(&self, key: u64) -> usize {
        (key.wrapping_mul(0xd6e8_feb8_6659_fd93) >> 32) as usize & (self.ghosts.len() - 1)
    }

    fn place(&self, key: u64) -> Option<usize> {
        let mut place = self.home(key);
        loop {
            match self.index[place] {
                0 => return None,
                at if self.entries[at as usize - 1].key == key => return Some(place),
                _ => place = (place + 1) & (self.index.len() - 1),
            }
        }
    }

    fn find(&self, key: u64) -> Option<u32> {
        self.place(key).map(|place| self.index[place] - 1)
    }

    fn ends(&mut self, queue: Queue) -> &mut Ends {
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
        (entry.older, entry.newer, entry.queue) = (before, NIL, queue);
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

    /// Takes an entry out of its queue and the index.
    fn drop_entry(&mut self, at: u32) -> Evicted<V> {
        self.dequeue(at);
        let entry = &mut self.entries[at as usize];
        entry.queue = Queue::Free;
        let gone = Evicted { key: entry.key, value: entry.value };
        if let Some(place) = self.place(gone.key) {
            self.close_gap(place);
        }
        self.free.push(at);
        gone
    }

    /// Frees a place of the index: what was probed past it moves back, so that no probe ends too soon.
    fn close_gap(&mut self, mut gap: usize) {
        let mask = self.index.len() - 1;
        let mut next = gap;
        loop {
            next = (next + 1) & mask;
            let at = self.index[next];
            if at == 0 {
                break;
            }
            let home = self.home(self.entries[at as usize - 1].key);
            // Whether its home lies outside of what is between the gap and it.
            if next.wrapping_sub(home) & mask >= next.wrapping_sub(gap) & mask {
                self.index[gap] = at;
                gap = next;
            }
        }
        self.index[gap] = 0;
    }

    /// Makes room for one. Each step lets one go, or takes a use from one in the long queue, of which every
    /// lookup gave one: over time no more steps than lookups and inserts.
    fn evict(&mut self) -> Evicted<V> {
        loop {
            let small = self.small.len > self.most / SMALL || self.main.len == 0;
            let at = if small { self.small.oldest } else { self.main.oldest };
            let entry = &mut self.entries[at as usize];
            if entry.hits == 0 {
                if small {
                    self.losses.refused += 1;
                } else {
                    self.losses.evicted += 1;
                }
                let gone = self.drop_entry(at);
                if small {
                    let ghost = self.ghost(gone.key);
                    self.ghosts[ghost] = fingerprint(gone.key);
                }
                return gone;
            }
            entry.hits = if small { 0 } else { entry.hits - 1 };
            self.dequeue(at);
            self.enqueue(at, Queue::Main);
        }
    }
}

/// Never zero, which stands for none.
fn fingerprint(key: u64) -> u32 {
    (key >> 32) as u32 ^ key as u32 | 1
}
