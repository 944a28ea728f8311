//! The known incarnations of endpoints, and which of them are ready.
//!
//! An incarnation is an endpoint's id and the time of its start. Entries of the tables refer to an
//! incarnation by a small handle ([`StickyEndpoint`]) that becomes void once the incarnation has ended: one
//! lookup tells whether an entry is still valid, and the end of an incarnation costs the same however many
//! entries refer to it. Inputs are endpoint lists and tags; outputs are handles and names. The registry never
//! returns an endpoint that the endpoint list does not name as ready.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

/// Most incarnations, reported by other relays or restored, that no endpoint list has named yet. Further ones
/// are refused.
const MAX_UNLISTED: usize = 4096;
/// How long such an incarnation may wait for an endpoint list to name it. Lists arrive seconds late.
const UNLISTED_TTL_MS: Millis = 60_000.0;

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The endpoint accepts connections.
    Ready,
    /// The endpoint completes its connections and accepts no new ones.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint<'a> {
    /// The endpoint's id.
    pub id: &'a Arc<str>,
    /// When the endpoint started, in milliseconds; 0 for long past.
    pub started: Millis,
    /// Its state.
    pub state: ListedState,
}

/// The identifier of an incarnation in cluster messages and in the store: a hash of its id and start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct EndpointTag(pub [u8; 4]);

impl EndpointTag {
    /// The tag of an endpoint that started at the given time, in milliseconds; 0 for long past.
    pub fn of(id: &str, started: Millis) -> EndpointTag {
        // Rounded to whole milliseconds, so that the tag does not depend on how the list's number was parsed.
        let start = started.max(0.0).round() as u64;
        EndpointTag((xxh3_64_with_seed(id.as_bytes(), start) as u32).to_le_bytes())
    }
}

/// The endpoint id and start that a tag identifies.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EndpointName {
    /// The tag.
    pub tag: EndpointTag,
    /// The endpoint's id.
    pub id: String,
    /// When the endpoint started, in milliseconds; 0 for long past.
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
    /// `None` while no endpoint list has named the incarnation.
    id: Option<Arc<str>>,
    added_at: Millis,
    started: Millis,
    state: ListedState,
    /// Whether [`EndpointRegistry::take_new_names`] has returned the incarnation's name.
    name_given: bool,
}

impl Slot {
    /// The slot of an incarnation that no endpoint list has named yet.
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

/// The incarnations that entries of the tables may refer to.
#[derive(Default)]
pub struct EndpointRegistry {
    slots: Vec<Slot>,
    free: Vec<u16>,
    by_tag: HashMap<EndpointTag, u16>,
    by_id: HashMap<Arc<str>, u16>,
    unlisted: usize,
}

impl EndpointRegistry {
    /// Applies an endpoint list, either the full list or changes to it.
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
            let is_unlisted = slot.id.is_some() && is_named.get(index) == Some(&false);
            if is_unlisted || slot.has_waited_too_long(now) {
                self.release(index as u16);
            }
        }
    }

    /// The handle of a listed endpoint.
    pub fn listed(&self, id: &str) -> Option<StickyEndpoint> {
        self.by_id.get(id).map(|slot| self.handle(*slot))
    }

    /// The handle of an incarnation that was reported or restored; `None` if too many incarnations wait for
    /// an endpoint list to name them. The handle is valid for lookups once a list names the incarnation.
    pub fn find_or_add(&mut self, now: Millis, tag: EndpointTag) -> Option<StickyEndpoint> {
        let slot = self.find_or_allocate(now, tag)?;
        Some(self.handle(slot))
    }

    /// The endpoint's id, if the incarnation is the current one and ready.
    pub fn ready_id(&self, endpoint: StickyEndpoint) -> Option<&Arc<str>> {
        let slot = self.current(endpoint)?;
        slot.id.as_ref().filter(|_| slot.state == ListedState::Ready)
    }

    /// Returns the names of incarnations that an endpoint list has named since the last call.
    pub fn take_new_names(&mut self) -> impl Iterator<Item = EndpointName> {
        self.slots.iter_mut().filter_map(|slot| {
            let id = slot.id.as_ref()?.to_string();
            let is_new = !std::mem::replace(&mut slot.name_given, true);
            is_new.then_some(EndpointName { tag: slot.tag, id, started: slot.started })
        })
    }

    /// Marks all names as new again, so that [`EndpointRegistry::take_new_names`] returns them once more.
    pub fn forget_given_names(&mut self) {
        for slot in &mut self.slots {
            slot.name_given = false;
        }
    }

    /// Whether the incarnation has ended, so that entries that refer to it stay void for ever.
    pub fn has_ended(&self, endpoint: StickyEndpoint) -> bool {
        self.current(endpoint).is_none()
    }

    /// The tag of an incarnation; `None` once the incarnation has ended.
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

    /// Applies an entry of an endpoint list; returns the slot of the endpoint that the entry names.
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

    /// The slot of an incarnation; allocates a new slot where the incarnation has none.
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

    /// Frees a slot, which voids all entries that refer to its incarnation.
    fn release(&mut self, index: u16) {
        let slot = &mut self.slots[usize::from(index)];
        slot.state = ListedState::Removed;
        self.by_tag.remove(&slot.tag);
        match slot.id.take() {
            Some(id) => drop(self.by_id.remove(&id)),
            None => self.unlisted -= 1,
        }
        // A slot whose generations are used up is not reused: an old entry would become valid again.
        if slot.generation < u16::MAX {
            slot.generation += 1;
            self.free.push(index);
        }
    }
}
