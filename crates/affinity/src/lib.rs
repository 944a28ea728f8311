//! What a relay remembers of where clients' connections stand and which endpoints hold which groups.
//!
//! [`Affinity`] owns both tables within a fixed number of bytes. It is fed placements, the list of endpoints,
//! what other relays tell ([`replication`]) and what a store has kept ([`Record`]), each with the time; it gives
//! holders that are ready now, the groups' estimated sizes, and the changes to be kept. It never does I/O, never
//! decides where a connection goes, and never names an endpoint that the list does not name as ready: entries point at
//! incarnations, see [`endpoint_registry`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod codec;
pub mod endpoint_registry;
pub mod replication;
pub mod table;

use std::cell::Cell;
use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use codec::{BUCKETS, Client, ClusterMessage, GroupRow, Kind, StickyClients};
use endpoint_registry::{EndpointName, EndpointRegistry, EndpointTag, State, StickyEndpoint};
use table::{Evicted, Table};

pub use sandgw_units::Millis;

/// A tick of the tables' clock. They count from the greatest age before they were made, so that what is loaded
/// has a time of its own.
const TICK: Millis = 100.0;
/// Most holders that a group's entry names; the lightest gives way.
pub const MOST_HOLDERS: usize = 6;
/// Load under which a holder is as good as none, in mean connections.
const NOTHING: f32 = 0.05;
/// Entries looked at with every change, for those that have aged.
const SWEEP: usize = 2;

/// What the tables may take up and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of everything: both tables, and what is being told to other relays.
    pub bytes: usize,
    /// Entries not set for this long are forgotten.
    pub max_age: Millis,
    /// Mean life of a connection: loads fade with it, so that their sum is about what stands.
    pub life: Millis,
    /// Relays of the tier, this one included.
    pub relays: u32,
    /// Number of this one.
    pub local_index: u32,
    /// Bytes that are told to other relays, in any second at the most, but for news.
    pub rate: f64,
}

impl Default for Limits {
    /// A table for some ten thousand clients, for connections of the usual length.
    fn default() -> Self {
        let (bytes, rate) = (1 << 20, 65_536.0);
        Limits { bytes, max_age: 900_000.0, life: 55_000.0, relays: 1, local_index: 0, rate }
    }
}

/// An endpoint's part of a group.
#[derive(Clone, Copy, Default)]
struct Share {
    holder: StickyEndpoint,
    /// Load that this relay placed there, and load that the others told of, as of the tick.
    own: f32,
    told: f32,
    at: u32,
}

/// A group's entry.
#[derive(Clone, Copy, Default)]
struct Group {
    shares: [Share; MOST_HOLDERS],
    len: u8,
}

impl Group {
    fn shares(&self) -> &[Share] {
        &self.shares[..usize::from(self.len)]
    }
}

/// One entry as it is kept: times are the caller's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A client and its holder.
    Session {
        /// The client's key.
        key: u64,
        /// Its holder.
        holder: EndpointTag,
        /// When it was placed.
        at: Millis,
    },
    /// A group and its holders, with the load that this relay had there at that time.
    Group {
        /// The group's key.
        key: u64,
        /// Holders and loads, in mean connections.
        holders: Vec<(EndpointTag, f32)>,
        /// When it was last changed.
        at: Millis,
    },
}

impl Record {
    /// Which table it is of, and its key: what it is kept under.
    pub fn key(&self) -> (Kind, u64) {
        match self {
            Record::Session { key, .. } => (Kind::Sessions, *key),
            Record::Group { key, .. } => (Kind::Groups, *key),
        }
    }

    /// When it was last set.
    pub fn at(&self) -> Millis {
        match self {
            Record::Session { at, .. } | Record::Group { at, .. } => *at,
        }
    }
}

/// What has changed since it was last asked for, to be kept or dropped.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Entries as they are now.
    pub set: Vec<Record>,
    /// Keys that are no longer there.
    pub gone: Vec<(Kind, u64)>,
    /// What their holders' tags stand for, where that has not been said before.
    pub names: Vec<EndpointName>,
}

impl Changes {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.gone.is_empty() && self.names.is_empty()
    }
}

/// What came of loading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Entries taken. They count once the list names their holders.
    pub taken: u64,
    /// Entries too old.
    pub old: u64,
    /// Entries whose time lies ahead: the clock was stepped back. They are taken as set now.
    pub ahead: u64,
    /// Entries for which there was no room.
    pub over: u64,
}

impl std::ops::AddAssign for Restored {
    fn add_assign(&mut self, more: Restored) {
        self.taken += more.taken;
        self.old += more.old;
        self.ahead += more.ahead;
        self.over += more.over;
    }
}

/// Totals since the start and figures of now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Clients known now.
    pub sessions: u64,
    /// Groups known now.
    pub groups: u64,
    /// Most bytes that it takes.
    pub bytes: u64,
    /// Entries in use that had to make room.
    pub evicted: u64,
    /// Entries met once that were not admitted.
    pub refused: u64,
    /// Entries that had grown too old.
    pub aged: u64,
    /// Lookups that met an entry whose holder is not ready: they would have gone wrong.
    pub stale: u64,
    /// Pieces that were asked for again.
    pub repeated: u64,
}

/// Where clients and groups are held; see the crate's text.
pub struct Affinity {
    limits: Limits,
    members: EndpointRegistry,
    sessions: Table<StickyEndpoint>,
    groups: Table<Group>,
    /// Time of tick 0, and the latest time: time never goes back here.
    base: Millis,
    now: Millis,
    /// Relays whose loads are in, as of then; and when a store or a relay last told of loads.
    told: f64,
    told_at: Millis,
    learned_at: Option<Millis>,
    /// Sum of all loads placed, told and restored, whether or not their groups are still known, as of then.
    load: f64,
    load_at: Millis,
    /// Keys no longer there that the store has not been told of.
    gone: Vec<(Kind, u64)>,
    keeps: bool,
    stale: Cell<u64>,
}

impl Affinity {
    /// Empty tables.
    pub fn new(limits: Limits, now: Millis) -> Self {
        // A quarter is for what is being told to others and for keys on their way out. Of the rest most is for
        // clients: there are many to a group, but a group's entry is four times as large.
        let tables = limits.bytes / 4 * 3;
        Affinity {
            limits,
            members: EndpointRegistry::default(),
            sessions: Table::within(tables / 2),
            groups: Table::within(tables / 2),
            base: now - limits.max_age,
            now,
            told: 0.0,
            told_at: now,
            learned_at: None,
            load: 0.0,
            load_at: now,
            gone: Vec::new(),
            keeps: false,
            stale: Cell::default(),
        }
    }

    /// What it was made with.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// There are now so many relays, of which this one has that number.
    pub fn renumber(&mut self, relays: u32, local_index: u32) {
        (self.limits.relays, self.limits.local_index) = (relays, local_index);
    }

    /// The key of a client in the table of sessions.
    pub fn client(key: &[u8]) -> u64 {
        xxh3_64(key) & ((1 << Client::BITS) - 1)
    }

    /// Takes a list of endpoints, whole or changes to it.
    pub fn list<'a>(
        &mut self,
        now: Millis,
        whole: bool,
        entries: impl Iterator<Item = (&'a Arc<str>, Millis, State)>,
    ) {
        self.tick(now);
        self.members.list(self.now, whole, entries);
    }

    /// Notes where a client's connection stands; whether that is news.
    pub fn note(&mut self, now: Millis, client: u64, endpoint: &str) -> bool {
        let tick = self.tick(now);
        let Some(holder) = self.members.of(endpoint) else { return false };
        let before = self.sessions.peek(client).map(|(holder, _)| holder);
        self.set_session(tick, client, holder);
        before != Some(holder)
    }

    /// The endpoint that a client's connection stands at, if that is known and it is ready.
    pub fn session(&self, client: u64) -> Option<Arc<str>> {
        // Not a use that keeps the client: each is placed once, and what is older goes first.
        let (holder, _) = self.sessions.peek(client).filter(|(_, set)| *set >= self.oldest())?;
        let live = self.members.live(holder).cloned();
        self.stale.set(self.stale.get() + u64::from(live.is_none()));
        live
    }

    /// Notes a connection of a group, with its load in mean connections.
    pub fn place(&mut self, now: Millis, group: u64, endpoint: &str, load: f64) {
        let tick = self.tick(now);
        let Some(holder) = self.members.of(endpoint) else { return };
        self.count(load);
        // Asked for: one more connection is what keeps a group.
        let known = self.groups.get(group).map(|(group, _)| group).unwrap_or_default();
        let placed = Share { holder, own: load as f32, told: 0.0, at: tick };
        self.set_group(tick, group, self.with(known, tick, placed));
    }

    /// The endpoints that hold a group and are ready, the heaviest first, with their load in mean connections as
    /// far as it is known here.
    pub fn holders(&self, now: Millis, group: u64) -> Vec<(Arc<str>, f64)> {
        let tick = self.at(now.max(self.now));
        let Some((entry, _)) = self.groups.peek(group).filter(|(_, set)| *set >= self.oldest()) else {
            return Vec::new();
        };
        let faded = entry.shares().iter().map(|s| self.faded(s, tick));
        let live = |s: Share| Some((self.members.live(s.holder)?.clone(), f64::from(s.own + s.told)));
        let mut found: Vec<_> = faded.filter_map(live).collect();
        self.stale.set(self.stale.get() + (entry.shares().len() - found.len()) as u64);
        found.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        found
    }

    /// Estimates of the largest groups' load on the whole tier, in mean connections, the largest first. Every
    /// relay sees a part of a group's connections; what others have told stands for theirs until the own past is
    /// as long.
    pub fn sizes(&self, now: Millis, most: usize) -> Vec<(u64, f64)> {
        let tick = self.at(now.max(self.now));
        let times = self.times(now);
        let load = |g: &Group| g.shares().iter().map(|s| self.faded(s, tick)).map(|s| s.own + s.told).sum();
        let all = self.groups.iter().map(|(key, group, _)| (key, load(group)));
        let mut sizes: Vec<(u64, f32)> = all.filter(|(_, load)| *load > NOTHING).collect();
        let by_size = |a: &(u64, f32), b: &(u64, f32)| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0));
        if sizes.len() > most && most > 0 {
            sizes.select_nth_unstable_by(most - 1, by_size);
            sizes.truncate(most);
        }
        sizes.sort_by(by_size);
        sizes.into_iter().map(|(key, load)| (key, f64::from(load) * times)).collect()
    }

    /// An estimate of the load that stands on the whole tier, in mean connections, and how much to believe it
    /// over what this relay holds itself, from 0 to 1: it rests on a store's or other relays' word, and loses
    /// weight as connections end. Without such word it is nothing.
    pub fn fleet(&self, now: Millis) -> (f64, f64) {
        let belief = self.learned_at.map_or(0.0, |at| self.fade(now - at));
        (self.counted(now) * self.times(now), belief)
    }

    /// Connections that all sizes rest on, faded like them.
    pub fn counted(&self, now: Millis) -> f64 {
        self.load * self.fade(now - self.load_at)
    }

    /// Counts load that came to be known.
    fn count(&mut self, load: f64) {
        self.load = self.load * self.fade(self.now - self.load_at) + load;
        self.load_at = self.now;
    }

    /// How many times the loads known here the tier carries: those of this relay, which after its restart are
    /// few because the others carry them, and those of the relays that have told. Told loads fade; what comes
    /// after them is seen at this relay alone.
    fn times(&self, now: Millis) -> f64 {
        f64::from(self.limits.relays) / (1.0 + self.told * self.fade(now - self.told_at))
    }

    /// So many relays' loads are in.
    pub(crate) fn heard(&mut self, now: Millis, relays: f64) {
        let now = self.now.max(now);
        (self.told, self.told_at) = (self.told * self.fade(now - self.told_at) + relays, now);
        self.learned_at = Some(now);
    }

    fn fade(&self, span: Millis) -> f64 {
        (-span.max(0.0) / self.limits.life.max(1.0)).exp()
    }

    fn faded(&self, share: &Share, tick: u32) -> Share {
        let left = self.fade(f64::from(tick.saturating_sub(share.at)) * TICK) as f32;
        Share { own: share.own * left, told: share.told * left, at: tick.max(share.at), ..*share }
    }

    /// A group's entry with one share more; those of holders that have gone are left out.
    fn with(&self, group: Group, tick: u32, add: Share) -> Group {
        let mut shares: Vec<Share> = Vec::with_capacity(MOST_HOLDERS + 1);
        let kept = group.shares().iter().filter(|s| !self.members.dead(s.holder));
        shares.extend(kept.map(|s| self.faded(s, tick)));
        match shares.iter_mut().find(|s| s.holder == add.holder) {
            Some(share) => {
                share.own += add.own;
                share.told += add.told;
            }
            None => shares.push(add),
        }
        if shares.len() > MOST_HOLDERS {
            let weight = |s: &Share| s.own + s.told;
            // The newcomer stays: what it is added for is now.
            let last = shares.len() - 1;
            let least = (0..last).min_by(|a, b| weight(&shares[*a]).total_cmp(&weight(&shares[*b])));
            least.map(|i| shares.swap_remove(i));
        }
        let mut entry = Group { len: shares.len() as u8, ..Group::default() };
        entry.shares[..shares.len()].copy_from_slice(&shares);
        entry
    }

    fn set_session(&mut self, tick: u32, key: u64, holder: StickyEndpoint) {
        let gone = self.sessions.set(tick, key, holder);
        self.lost(Kind::Sessions, gone.map(|g| g.key));
        let (oldest, members, mut gone) = (self.oldest(), &self.members, Vec::new());
        self.sessions.sweep(SWEEP, oldest, |h| members.dead(*h), &mut gone);
        self.lost(Kind::Sessions, gone.iter().map(|g: &Evicted<_>| g.key));
    }

    fn set_group(&mut self, tick: u32, key: u64, group: Group) {
        let gone = self.groups.set(tick, key, group);
        self.lost(Kind::Groups, gone.map(|g| g.key));
        let (oldest, members, mut gone) = (self.oldest(), &self.members, Vec::new());
        let dead = |g: &Group| g.shares().iter().all(|s| members.dead(s.holder));
        self.groups.sweep(SWEEP, oldest, dead, &mut gone);
        self.lost(Kind::Groups, gone.iter().map(|g: &Evicted<_>| g.key));
    }

    /// Remembers keys that the store is to drop. It is asked for its changes far more often than they fill the
    /// room for them; what is over stays in the store until it is too old.
    fn lost(&mut self, kind: Kind, keys: impl IntoIterator<Item = u64>) {
        let most = self.limits.bytes / 16 / size_of::<(Kind, u64)>();
        if self.keeps {
            let room = most.saturating_sub(self.gone.len());
            self.gone.extend(keys.into_iter().take(room).map(|key| (kind, key)));
        }
    }

    // --- what is told to and by other relays, see `tier` ---

    pub(crate) fn told_session(&mut self, now: Millis, key: u64, tag: EndpointTag, age: u8) {
        let tick = self.tick(now);
        let aged = f64::from(age) * self.limits.max_age / f64::from(codec::AGES) / TICK;
        let set = tick.saturating_sub(aged as u32);
        // What is known to be newer stays.
        let newer = self.sessions.peek(key).filter(|(_, at)| *at > set);
        if newer.is_some_and(|(holder, _)| !self.members.dead(holder)) {
            return;
        }
        let Some(holder) = self.members.tagged(self.now, tag) else { return };
        self.set_session(set, key, holder);
    }

    pub(crate) fn told_group(&mut self, now: Millis, row: &GroupRow) {
        let (tick, key) = (self.tick(now), u64::from_le_bytes(row.key));
        let mut group = self.groups.peek(key).map(|(group, _)| group).unwrap_or_default();
        for (tag, load) in row.holders.iter().take(MOST_HOLDERS) {
            if let Some(holder) = self.members.tagged(self.now, *tag) {
                let told = f32::from(*load) / 16.0;
                self.count(f64::from(told));
                group = self.with(group, tick, Share { holder, own: 0.0, told, at: tick });
            }
        }
        if group.len > 0 {
            self.set_group(tick, key, group);
        }
    }

    /// Clients to tell of: their holder, age and key.
    pub(crate) fn held(&self, now: Millis) -> impl Iterator<Item = (EndpointTag, u8, u64)> {
        let (tick, quarter) = (self.at(now), self.limits.max_age / f64::from(codec::AGES) / TICK);
        self.sessions.iter().filter_map(move |(key, holder, set)| {
            let age = (f64::from(tick.saturating_sub(set)) / quarter) as u8;
            let told = age < codec::AGES - 1;
            self.members.tag(*holder).filter(|_| told).map(|tag| (tag, age, key))
        })
    }

    /// Groups to tell of, with the own load on each of their holders.
    pub(crate) fn own_groups(&self, now: Millis) -> impl Iterator<Item = GroupRow> {
        let tick = self.at(now);
        self.groups.iter().filter_map(move |(key, group, _)| {
            let shares = group.shares().iter().map(|s| self.faded(s, tick)).filter(|s| s.own > NOTHING);
            let told = |s: Share| Some((self.members.tag(s.holder)?, (s.own * 16.0).round() as u16));
            let mut holders: Vec<(EndpointTag, u16)> = shares.filter_map(told).collect();
            holders.sort_unstable();
            (!holders.is_empty()).then(|| GroupRow { key: key.to_le_bytes(), holders })
        })
    }

    /// One number for each bucket of clients that tells two tables apart, whatever the order of their entries.
    pub(crate) fn digests(&self, now: Millis) -> Vec<[u8; 4]> {
        let mut digests = vec![[0; 4]; BUCKETS];
        for (tag, _, key) in self.held(now) {
            let hash = (xxh3_64_with_seed(&tag.0, key) as u32).to_le_bytes();
            digests[bucket(Kind::Sessions, key)].iter_mut().zip(hash).for_each(|(d, h)| *d ^= h);
        }
        digests
    }

    /// Places of clients as others are told them, cut into pieces that fit a datagram; of clients that are not
    /// known, or stand where the list names nobody ready, nothing.
    pub fn news(&self, clients: &[u64]) -> Vec<ClusterMessage> {
        let held = clients.iter().filter_map(|key| {
            let (holder, _) = self.sessions.peek(*key)?;
            Some((self.members.tag(holder)?, 0, *key))
        });
        let mut held: Vec<_> = held.collect();
        held.sort_unstable();
        held.dedup();
        let news = |rows: Vec<StickyClients>| {
            ClusterMessage::LocationUpdate(rows.into_iter().map(|h| (h.tag, h.clients)).collect())
        };
        codec::held_rows(held.into_iter()).into_iter().map(news).collect()
    }

    // --- what is kept ---

    /// From now on keys that go are remembered for [`Affinity::changes`], and all entries and names count as changed:
    /// whoever keeps them begins, or has lost some.
    pub fn keep(&mut self) {
        self.keeps = true;
        self.sessions.mark_all();
        self.groups.mark_all();
        self.members.unname();
    }

    /// What has changed since the last call, so many entries at the most; the rest comes with the next.
    pub fn changes(&mut self, now: Millis, most: usize) -> Changes {
        let tick = self.tick(now);
        let mut changes = Changes::default();
        while changes.set.len() < most {
            let Some((key, group, at)) = self.groups.changed() else { break };
            let shares = group.shares().iter().map(|s| self.faded(s, tick)).filter(|s| s.own > NOTHING);
            let holders = shares.filter_map(|s| Some((self.members.tag(s.holder)?, s.own)));
            let holders: Vec<_> = holders.collect();
            if !holders.is_empty() {
                let at = if at > tick { self.time(at) } else { self.time(tick) };
                changes.set.push(Record::Group { key, holders, at });
            }
        }
        while changes.set.len() < most {
            let Some((key, holder, at)) = self.sessions.changed() else { break };
            let holder = self.members.tag(holder);
            changes.set.extend(holder.map(|holder| Record::Session { key, holder, at: self.time(at) }));
        }
        // One that went and came again since is kept.
        let gone = std::mem::take(&mut self.gone).into_iter();
        let back = |(kind, key): &(Kind, u64)| match kind {
            Kind::Sessions => self.sessions.peek(*key).is_some(),
            Kind::Groups => self.groups.peek(*key).is_some(),
        };
        changes.gone = gone.filter(|key| !back(key)).collect();
        changes.names = self.members.names().collect();
        changes
    }

    /// Takes what was kept, at the start: nothing of it counts before the list names its holder as ready.
    pub fn restore(&mut self, now: Millis, records: impl Iterator<Item = Record>) -> Restored {
        self.tick(now);
        let (mut done, mut groups) = (Restored::default(), false);
        for record in records {
            let at = record.at();
            // Neither a clock stepped back nor a foreign number may make an entry that never ages.
            let ahead = !at.is_finite() || at > self.now;
            done.ahead += u64::from(ahead);
            let at = if ahead { self.now } else { at };
            if at < self.base {
                done.old += 1;
                continue;
            }
            let set = self.at(at);
            let taken = match record {
                Record::Session { key, holder, .. } => self.members.tagged(self.now, holder).map(|holder| {
                    self.set_session(set, key & ((1 << Client::BITS) - 1), holder);
                }),
                Record::Group { key, holders, .. } => {
                    groups = true;
                    let mut group = Group::default();
                    for (tag, load) in holders.iter().filter(|(_, l)| l.is_finite() && *l >= 0.0) {
                        if let Some(holder) = self.members.tagged(self.now, *tag) {
                            self.count(f64::from(*load) * self.fade(self.now - at));
                            group = self.with(group, set, Share { holder, own: *load, told: 0.0, at: set });
                        }
                    }
                    (group.len > 0).then(|| self.set_group(set, key, group))
                }
            };
            done.taken += u64::from(taken.is_some());
            done.over += u64::from(taken.is_none());
        }
        if groups {
            self.learned_at = Some(self.now);
        }
        done
    }

    /// Figures for those who ask.
    pub fn figures(&self) -> Figures {
        let (s, g) = (self.sessions.losses(), self.groups.losses());
        Figures {
            sessions: self.sessions.len() as u64,
            groups: self.groups.len() as u64,
            bytes: self.limits.bytes as u64,
            evicted: s.evicted + g.evicted,
            refused: s.refused + g.refused,
            aged: s.aged + g.aged,
            stale: self.stale.get(),
            repeated: 0,
        }
    }

    /// Most bytes that the tables take, by table.
    pub fn most_bytes(&self) -> (usize, usize) {
        (
            Table::<StickyEndpoint>::bytes_for(self.sessions.most()),
            Table::<Group>::bytes_for(self.groups.most()),
        )
    }

    fn tick(&mut self, now: Millis) -> u32 {
        self.now = self.now.max(now);
        self.at(self.now)
    }

    fn at(&self, time: Millis) -> u32 {
        ((time - self.base) / TICK) as u32
    }

    fn time(&self, tick: u32) -> Millis {
        self.base + f64::from(tick) * TICK
    }

    /// Entries set before this tick are forgotten.
    fn oldest(&self) -> u32 {
        self.at(self.now - self.limits.max_age)
    }
}

/// Which bucket a key falls into.
pub(crate) fn bucket(kind: Kind, key: u64) -> usize {
    let bits = BUCKETS.ilog2();
    let width = if kind == Kind::Sessions { Client::BITS } else { u64::BITS };
    (key >> (width - bits)) as usize % BUCKETS
}

/// Groups by their buckets, for whoever tells them.
pub(crate) fn by_bucket<T>(kind: Kind, rows: impl Iterator<Item = (u64, T)>) -> HashMap<usize, Vec<T>> {
    let mut buckets: HashMap<usize, Vec<T>> = HashMap::new();
    rows.for_each(|(key, row)| buckets.entry(bucket(kind, key)).or_default().push(row));
    buckets
}
