//! Which incarnations of endpoints there are, and which of them may be handed out.
//!
//! An incarnation is an endpoint's id and the time of its start. Entries of the tables name one by a small
//! number ([`StickyEndpoint`]) that is worth nothing once the incarnation has gone: so one look tells whether an entry
//! still counts, and an endpoint's end costs the same however many entries name it. Fed lists and tags; gives
//! numbers and names. It never hands out an endpoint that the list does not name as ready.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

/// Incarnations told of by others or loaded, that no list has named yet; more are refused.
const MOST_UNLISTED: usize = 4096;
/// How long one of them may wait for a list to name it. Lists come seconds late.
const WAITS: Millis = 60_000.0;

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Ready,
    /// It completes work and takes nothing new.
    Draining,
    /// It is not there any more.
    Removed,
}

/// An incarnation as other relays and the store name it: a hash of id and start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct EndpointTag(pub [u8; 4]);

impl EndpointTag {
    /// The tag of an endpoint that started then, in milliseconds; 0 for long past.
    pub fn of(id: &str, started: Millis) -> EndpointTag {
        // Whole milliseconds: the same however the list's number was read.
        let start = started.max(0.0).round() as u64;
        EndpointTag((xxh3_64_with_seed(id.as_bytes(), start) as u32).to_le_bytes())
    }
}

/// What a tag stands for.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EndpointName {
    /// The tag.
    pub tag: EndpointTag,
    /// The endpoint's id.
    pub id: String,
    /// When it started, in milliseconds; 0 for long past.
    pub started: Millis,
}

/// An incarnation as entries name it: the number of its place, and how often that was given away before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StickyEndpoint {
    slot: u16,
    generation: u16,
}

struct Slot {
    generation: u16,
    tag: EndpointTag,
    /// Nothing while no list has named it, and the time when it was first heard of.
    id: Option<Arc<str>>,
    since: Millis,
    started: Millis,
    state: State,
    /// Its name has been given out by [`EndpointRegistry::names`].
    named: bool,
}

/// The members; see the load balancer's text.
#[derive(Default)]
pub struct EndpointRegistry {
    slots: Vec<Slot>,
    free: Vec<u16>,
    tags: HashMap<EndpointTag, u16>,
    ids: HashMap<Arc<str>, u16>,
    unlisted: usize,
}

impl EndpointRegistry {
    /// Takes a list, whole or changes to it: each endpoint's id, start and state.
    pub fn list<'a>(
        &mut self,
        now: Millis,
        whole: bool,
        entries: impl Iterator<Item = (&'a Arc<str>, Millis, State)>,
    ) {
        let mut named = vec![false; if whole { self.slots.len() } else { 0 }];
        for (id, started, state) in entries {
            let tag = EndpointTag::of(id, started);
            if let Some(old) = self.ids.get(id).copied() {
                let slot = &self.slots[usize::from(old)];
                if slot.tag != tag && started < slot.started {
                    // News of an earlier incarnation, come late.
                    named.get_mut(usize::from(old)).into_iter().for_each(|n| *n = true);
                    continue;
                }
                if slot.tag != tag || state == State::Removed {
                    self.retire(old);
                }
            }
            if state == State::Removed {
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
            let waited = slot.id.is_none() && slot.state != State::Removed && now - slot.since > WAITS;
            if missing || waited {
                self.retire(at as u16);
            }
        }
    }

    /// The name for entries of a listed endpoint.
    pub fn of(&self, id: &str) -> Option<StickyEndpoint> {
        self.ids.get(id).map(|at| self.holder(*at))
    }

    /// The name for entries of an incarnation that was told of or loaded. It counts once a list names it.
    pub fn tagged(&mut self, now: Millis, tag: EndpointTag) -> Option<StickyEndpoint> {
        let at = self.slot(now, tag)?;
        Some(self.holder(at))
    }

    /// The endpoint, if it is the incarnation meant and ready.
    pub fn live(&self, holder: StickyEndpoint) -> Option<&Arc<str>> {
        let slot = self.current(holder)?;
        slot.id.as_ref().filter(|_| slot.state == State::Ready)
    }

    /// Names of incarnations that a list has named since the last call.
    pub fn names(&mut self) -> impl Iterator<Item = EndpointName> {
        self.slots.iter_mut().filter_map(|s| {
            let id = s.id.as_ref()?.to_string();
            let fresh = !std::mem::replace(&mut s.named, true);
            fresh.then_some(EndpointName { tag: s.tag, id, started: s.started })
        })
    }

    /// All names are given out again.
    pub fn unname(&mut self) {
        self.slots.iter_mut().for_each(|s| s.named = false);
    }

    /// Whether nothing will ever come of it.
    pub fn dead(&self, holder: StickyEndpoint) -> bool {
        self.current(holder).is_none()
    }

    /// How others are told of it; nothing of one that has gone.
    pub fn tag(&self, holder: StickyEndpoint) -> Option<EndpointTag> {
        self.current(holder).map(|s| s.tag)
    }

    fn current(&self, holder: StickyEndpoint) -> Option<&Slot> {
        let slot = self.slots.get(usize::from(holder.slot))?;
        (slot.generation == holder.generation && slot.state != State::Removed).then_some(slot)
    }

    fn holder(&self, at: u16) -> StickyEndpoint {
        StickyEndpoint { slot: at, generation: self.slots[usize::from(at)].generation }
    }

    /// The place of an incarnation, a new one where it has none.
    fn slot(&mut self, now: Millis, tag: EndpointTag) -> Option<u16> {
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
        slot.state = State::Removed;
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
