//! Which incarnations of streamers there are, and which of them may be handed out.
//!
//! An incarnation is a streamer's id and the time of its start. Entries of the tables name one by a small
//! number ([`Holder`]) that is worth nothing once the incarnation has gone: so one look tells whether an entry
//! still counts, and a streamer's end costs the same however many entries name it. Fed lists and tags; gives
//! numbers and names. It never hands out a streamer that the list does not name as ready.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

/// Incarnations told of by others or loaded, that no list has named yet; more are refused.
const MOST_UNLISTED: usize = 4096;
/// How long one of them may wait for a list to name it. Lists come seconds late.
const WAITS: Millis = 60_000.0;

/// What the list says of a streamer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Ready,
    /// It completes work and takes nothing new.
    Draining,
    /// It is not there any more.
    Gone,
}

/// An incarnation as other relays and the store name it: a hash of id and start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct Tag(pub [u8; 4]);

impl Tag {
    /// The tag of a streamer that started then, in milliseconds; 0 for long past.
    pub fn of(id: &str, started: Millis) -> Tag {
        // Whole milliseconds: the same however the list's number was read.
        let start = started.max(0.0).round() as u64;
        Tag((xxh3_64_with_seed(id.as_bytes(), start) as u32).to_le_bytes())
    }
}

/// What a tag stands for.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Name {
    /// The tag.
    pub tag: Tag,
    /// The streamer's id.
    pub id: String,
    /// When it started, in milliseconds; 0 for long past.
    pub started: Millis,
}

/// An incarnation as entries name it: the number of its place, and how often that was given away before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holder {
    slot: u16,
    generation: u16,
}

struct Slot {
    generation: u16,
    tag: Tag,
    /// Nothing while no list has named it, and the time when it was first heard of.
    id: Option<Arc<str>>,
    since: Millis,
    started: Millis,
    state: State,
    /// Its name has been given out by [`Members::names`].
    named: bool,
}

/// The members; see the module's text.
#[derive(Default)]
pub struct Members {
    slots: Vec<Slot>,
    free: Vec<u16>,
    tags: HashMap<Tag, u16>,
    ids: HashMap<Arc<str>, u16>,
    unlisted: usize,
}

impl Members {
    /// Takes a list, whole or changes to it: each streamer's id, start and state.
    pub fn list<'a>(
        &mut self,
        now: Millis,
        whole: bool,
        entries: impl Iterator<Item = (&'a Arc<str>, Millis, State)>,
    ) {
        let mut named = vec![false; if whole { self.slots.len() } else { 0 }];
        for (id, started, state) in entries {
            let tag = Tag::of(id, started);
            if let Some(old) = self.ids.get(id).copied() {
                let slot = &self.slots[usize::from(old)];
                if slot.tag != tag && started < slot.started {
                    // News of an earlier incarnation, come late.
                    named.get_mut(usize::from(old)).into_iter().for_each(|n| *n = true);
                    continue;
                }
                if slot.tag != tag || state == State::Gone {
                    self.retire(old);
                }
            }
            if state == State::Gone {
                continue;
            }
            let Some(at) = self.slot(now, tag) else { continue };
            let slot = &mut self.slots[usize::from(at)];
            if slot.id.is_none() {
                self.unlisted -= 1;
                slot.id = Some(id.clone());
                slot.started = started;
                self.ids.insert(id.clone(), at);
            }
            slot.state = state;
            named.get_mut(usize::from(at)).into_iter().for_each(|n| *n = true);
        }
        for at in 0..self.slots.len() {
            let slot = &self.slots[at];
            let missing = slot.id.is_some() && named.get(at) == Some(&false);
            let waited = slot.id.is_none() && slot.state != State::Gone && now - slot.since > WAITS;
            if missing || waited {
                self.retire(at as u16);
            }
        }
    }

    /// The name for entries of a listed streamer.
    pub fn of(&self, id: &str) -> Option<Holder> {
        self.ids.get(id).map(|at| self.holder(*at))
    }

    /// The name for entries of an incarnation that was told of or loaded. It counts once a list names it.
    pub fn tagged(&mut self, now: Millis, tag: Tag) -> Option<Holder> {
        let at = self.slot(now, tag)?;
        Some(self.holder(at))
    }

    /// The streamer, if it is the incarnation meant and ready.
    pub fn live(&self, holder: Holder) -> Option<&Arc<str>> {
        let slot = self.current(holder)?;
        slot.id.as_ref().filter(|_| slot.state == State::Ready)
    }

    /// Names of incarnations that a list has named since the last call.
    pub fn names(&mut self) -> impl Iterator<Item = Name> {
        self.slots.iter_mut().filter_map(|s| {
            let id = s.id.as_ref()?.to_string();
            let fresh = !std::mem::replace(&mut s.named, true);
            fresh.then_some(Name { tag: s.tag, id, started: s.started })
        })
    }

    /// All names are given out again.
    pub fn unname(&mut self) {
        self.slots.iter_mut().for_each(|s| s.named = false);
    }

    /// Whether nothing will ever come of it.
    pub fn dead(&self, holder: Holder) -> bool {
        self.current(holder).is_none()
    }

    /// How others are told of it; nothing of one that has gone.
    pub fn tag(&self, holder: Holder) -> Option<Tag> {
        self.current(holder).map(|s| s.tag)
    }

    fn current(&self, holder: Holder) -> Option<&Slot> {
        let slot = self.slots.get(usize::from(holder.slot))?;
        (slot.generation == holder.generation && slot.state != State::Gone).then_some(slot)
    }

    fn holder(&self, at: u16) -> Holder {
        Holder { slot: at, generation: self.slots[usize::from(at)].generation }
    }

    /// The place of an incarnation, a new one where it has none.
    fn slot(&mut self, now: Millis, tag: Tag) -> Option<u16> {
        if let Some(at) = self.tags.get(&tag) {
            return Some(*at);
        }
        if self.unlisted >= MOST_UNLISTED {
            return None;
        }
        let slot = |generation| Slot {
            generation,
            tag,
            id: None,
            since: now,
            started: 0.0,
            state: State::Draining,
            named: false,
        };
        let at = match self.free.pop() {
            Some(at) => {
                let generation = self.slots[usize::from(at)].generation;
                self.slots[usize::from(at)] = slot(generation);
                at
            }
            None => {
                let at = u16::try_from(self.slots.len()).ok()?;
                self.slots.push(slot(0));
                at
            }
        };
        self.unlisted += 1;
        self.tags.insert(tag, at);
        Some(at)
    }

    /// Voids all entries that name it.
    fn retire(&mut self, at: u16) {
        let slot = &mut self.slots[usize::from(at)];
        slot.state = State::Gone;
        self.tags.remove(&slot.tag);
        match slot.id.take() {
            Some(id) => drop(self.ids.remove(&id)),
            None => self.unlisted -= 1,
        }
        // A place given away too often would make an old entry count again: it is not used any more.
        if slot.generation < u16::MAX {
            slot.generation += 1;
            self.free.push(at);
        }
    }
}
