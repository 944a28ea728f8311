//! Which incarnations of endpoints there are, and which of them may be given out.
//!
//! An incarnation is an endpoint's id and the time of its start. Entries of the tables name one by a small
//! handle ([`StickyEndpoint`]) that is void once the incarnation has ended: so one lookup tells whether an
//! entry still counts, and an endpoint's end costs the same however many entries name it. Inputs are lists
//! and tags; outputs are handles and names. It never gives out an endpoint that the list does not name as
//! ready.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

/// Incarnations, reported by others or restored, that no list has named yet; more are refused.
const MAX_UNLISTED: usize = 4096;
/// How long one of them may wait for a list to name it. Lists come seconds late.
const UNLISTED_TTL_MS: Millis = 60_000.0;

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It accepts connections.
    Ready,
    /// It completes its connections and accepts none.
    Draining,
    /// It is no longer there.
    Removed,
}

/// An entry of the list of endpoints.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint<'a> {
    /// The endpoint's id.
    pub id: &'a Arc<str>,
    /// When it started, in milliseconds; 0 for long past.
    pub started: Millis,
    /// Its state.
    pub state: ListedState,
}

/// An incarnation as other relays and the store name it: a hash of id and start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct EndpointTag(pub [u8; 4]);

impl EndpointTag {
    /// The tag of an endpoint that started then, in milliseconds; 0 for long past.
    pub fn of(id: &str, started: Millis) -> EndpointTag {
        // Whole milliseconds: the same however the list's number was parsed.
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

/// A handle of an incarnation: the index of its slot, and how often the slot was reused before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StickyEndpoint {
    slot: u16,
    generation: u16,
}

struct Slot {
    generation: u16,
    tag: EndpointTag,
    /// None while no list has named it.
    id: Option<Arc<str>>,
    added_at: Millis,
    started: Millis,
    state: ListedState,
    /// Its name has been given out by [`EndpointRegistry::take_new_names`].
    name_given: bool,
}

impl Slot {
    /// A slot that no list has named yet.
    fn unlisted(generation: u16, tag: EndpointTag, now: Millis) -> Slot {
        Slot {
            generation,
            tag,
            id: None,
            added_at: now,
            started: 0.0,
            state: ListedState::Draining,
            name_given: false,
        }
    }

    fn has_waited_too_long(&self, now: Millis) -> bool {
        self.id.is_none() && self.state != ListedState::Removed && now - self.added_at > UNLISTED_TTL_MS
    }
}

/// The incarnations that entries of the tables may name.
#[derive(Default)]
pub struct EndpointRegistry {
    slots: Vec<Slot>,
    free: Vec<u16>,
    by_tag: HashMap<EndpointTag, u16>,
    by_id: HashMap<Arc<str>, u16>,
    unlisted: usize,
}

impl EndpointRegistry {
    /// Takes a list of endpoints, the full one or changes to it.
    pub fn apply_list<'a>(
        &mut self,
        now: Millis,
        is_full: bool,
        entries: impl Iterator<Item = ListedEndpoint<'a>>,
    ) {
        let mut is_named = vec![false; if is_full { self.slots.len() } else { 0 }];
        for entry in entries {
            let slot = self.apply_entry(now, entry);
            if let Some(is_named) = slot.and_then(|slot| is_named.get_mut(usize::from(slot))) {
                *is_named = true;
            }
        }
        for index in 0..self.slots.len() {
            let slot = &self.slots[index];
            let is_missing = slot.id.is_some() && is_named.get(index) == Some(&false);
            if is_missing || slot.has_waited_too_long(now) {
                self.release(index as u16);
            }
        }
    }

    /// The handle of a listed endpoint.
    pub fn listed(&self, id: &str) -> Option<StickyEndpoint> {
        self.by_id.get(id).map(|slot| self.handle(*slot))
    }

    /// The handle of an incarnation that was reported or restored; nothing if too many wait for a list to
    /// name them. It counts once a list does.
    pub fn find_or_add(&mut self, now: Millis, tag: EndpointTag) -> Option<StickyEndpoint> {
        let slot = self.find_or_allocate(now, tag)?;
        Some(self.handle(slot))
    }

    /// The endpoint's id, if the incarnation is the present one and ready.
    pub fn ready_id(&self, endpoint: StickyEndpoint) -> Option<&Arc<str>> {
        let slot = self.current(endpoint)?;
        slot.id.as_ref().filter(|_| slot.state == ListedState::Ready)
    }

    /// Names of incarnations that a list has named since the last call.
    pub fn take_new_names(&mut self) -> impl Iterator<Item = EndpointName> {
        self.slots.iter_mut().filter_map(|slot| {
            let id = slot.id.as_ref()?.to_string();
            let is_new = !std::mem::replace(&mut slot.name_given, true);
            is_new.then_some(EndpointName { tag: slot.tag, id, started: slot.started })
        })
    }

    /// All names count as new again.
    pub fn forget_given_names(&mut self) {
        for slot in &mut self.slots {
            slot.name_given = false;
        }
    }

    /// Whether the incarnation has ended, so that entries that name it will never count again.
    pub fn has_ended(&self, endpoint: StickyEndpoint) -> bool {
        self.current(endpoint).is_none()
    }

    /// The tag of an incarnation; nothing once it has ended.
    pub fn tag(&self, endpoint: StickyEndpoint) -> Option<EndpointTag> {
        self.current(endpoint).map(|slot| slot.tag)
    }

    fn current(&self, endpoint: StickyEndpoint) -> Option<&Slot> {
        let slot = self.slots.get(usize::from(endpoint.slot))?;
        let is_current = slot.generation == endpoint.generation && slot.state != ListedState::Removed;
        is_current.then_some(slot)
    }

    fn handle(&self, slot: u16) -> StickyEndpoint {
        StickyEndpoint { slot, generation: self.slots[usize::from(slot)].generation }
    }

    /// Takes an entry of a list; gives the slot that it names.
    fn apply_entry(&mut self, now: Millis, entry: ListedEndpoint<'_>) -> Option<u16> {
        let tag = EndpointTag::of(entry.id, entry.started);
        if let Some(known) = self.by_id.get(entry.id).copied() {
            let slot = &self.slots[usize::from(known)];
            let is_other_incarnation = slot.tag != tag;
            if is_other_incarnation && entry.started < slot.started {
                // An outdated entry of an earlier incarnation.
                return Some(known);
            }
            if is_other_incarnation || entry.state == ListedState::Removed {
                self.release(known);
            }
        }
        if entry.state == ListedState::Removed {
            return None;
        }
        let index = self.find_or_allocate(now, tag)?;
        let slot = &mut self.slots[usize::from(index)];
        if slot.id.is_none() {
            self.unlisted -= 1;
            slot.id = Some(entry.id.clone());
            slot.started = entry.started;
            self.by_id.insert(entry.id.clone(), index);
        }
        slot.state = entry.state;
        Some(index)
    }

    /// The slot of an incarnation, a new one where it has none.
    fn find_or_allocate(&mut self, now: Millis, tag: EndpointTag) -> Option<u16> {
        if let Some(slot) = self.by_tag.get(&tag) {
            return Some(*slot);
        }
        if self.unlisted >= MAX_UNLISTED {
            return None;
        }
        let index = match self.free.pop() {
            Some(index) => {
                let slot = &mut self.slots[usize::from(index)];
                *slot = Slot::unlisted(slot.generation, tag, now);
                index
            }
            None => {
                let index = u16::try_from(self.slots.len()).ok()?;
                self.slots.push(Slot::unlisted(0, tag, now));
                index
            }
        };
        self.unlisted += 1;
        self.by_tag.insert(tag, index);
        Some(index)
    }

    /// Frees a slot, which voids all entries that name its incarnation.
    fn release(&mut self, index: u16) {
        let slot = &mut self.slots[usize::from(index)];
        slot.state = ListedState::Removed;
        self.by_tag.remove(&slot.tag);
        match slot.id.take() {
            Some(id) => drop(self.by_id.remove(&id)),
            None => self.unlisted -= 1,
        }
        // A slot whose generations are used up is retired: reused, it would make an old entry count again.
        if slot.generation < u16::MAX {
            slot.generation += 1;
            self.free.push(index);
        }
    }
}
