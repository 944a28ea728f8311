//! Assigns positions to classes. Connections, the core and the load balancer refer to a class by its position
//! in the settings, so a position must mean the same class for as long as anything refers to it, whatever
//! settings are applied in between.
//!
//! Inputs are the classes of new settings and the positions that connections refer to, with times in
//! milliseconds; outputs are the classes by position, and the position of a name. A class is never moved to
//! another position.

use std::collections::BTreeSet;

use crate::policy::api::{Class, ClassId, Idempotency, Millis};

/// For how long new requests may still name a class that was dropped from the settings: clients learn of new
/// settings up to 1.2 s later, and then take their time to send a request.
const DROPPED_CLASS_GRACE_MS: Millis = 2000.0;
/// Number of dropped classes that are kept though no connection here refers to them: connections of such a
/// class may still arrive mid-flow.
const MAX_UNUSED_DROPPED_CLASSES: usize = 8;

/// A class that requests may name.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedClass {
    /// Name of the class.
    pub name: String,
    /// For a class that was dropped from the settings, the time until which a new request may still name it.
    /// A connection that arrives mid-flow may name the class even later.
    pub accepted_until: Option<Millis>,
}

/// A class at its position, with its name.
#[derive(Clone, Debug, PartialEq)]
struct NamedClass {
    name: String,
    class: Class,
    /// When the class was dropped from the settings, if it was.
    dropped_at: Option<Millis>,
}

impl NamedClass {
    fn matches(&self, name: &str, class: &Class) -> bool {
        self.name == name && self.class == *class
    }
}

/// A dropped class that no connection refers to.
struct UnusedClass {
    position: usize,
    dropped_at: Millis,
}

/// Classes by position: those of the settings, and dropped ones that a connection may still refer to.
#[derive(Debug, Default)]
pub(super) struct ClassTable {
    /// `None` where a position is free.
    slots: Vec<Option<NamedClass>>,
}

impl ClassTable {
    /// Applies the classes of new settings; `in_use` are the positions that connections refer to.
    pub(super) fn apply_settings(
        &mut self,
        now: Millis,
        names: &[String],
        classes: &[Class],
        in_use: &BTreeSet<ClassId>,
    ) {
        self.mark_dropped(now, names, classes);
        self.free_unused(in_use);
        for (name, class) in names.iter().zip(classes) {
            if !self.slots.iter().flatten().any(|slot| slot.matches(name, class)) {
                self.add(NamedClass { name: name.clone(), class: class.clone(), dropped_at: None });
            }
        }
    }

    fn mark_dropped(&mut self, now: Millis, names: &[String], classes: &[Class]) {
        for slot in self.slots.iter_mut().flatten() {
            let listed = names.iter().zip(classes).any(|(name, class)| slot.matches(name, class));
            slot.dropped_at = if listed { None } else { Some(slot.dropped_at.unwrap_or(now)) };
        }
    }

    /// Frees the positions of dropped classes that no connection refers to, except for the classes that were
    /// dropped last.
    fn free_unused(&mut self, in_use: &BTreeSet<ClassId>) {
        let mut unused = self.unused(in_use);
        unused.sort_by(|a, b| b.dropped_at.total_cmp(&a.dropped_at));
        for class in unused.into_iter().skip(MAX_UNUSED_DROPPED_CLASSES) {
            self.slots[class.position] = None;
        }
    }

    fn unused(&self, in_use: &BTreeSet<ClassId>) -> Vec<UnusedClass> {
        let mut unused = Vec::new();
        for (position, slot) in self.slots.iter().enumerate() {
            let dropped_at = slot.as_ref().and_then(|slot| slot.dropped_at);
            if let Some(dropped_at) = dropped_at.filter(|_| !in_use.contains(&ClassId(position))) {
                unused.push(UnusedClass { position, dropped_at });
            }
        }
        unused
    }

    /// Puts a class into the first free position.
    fn add(&mut self, class: NamedClass) {
        match self.slots.iter_mut().find(|slot| slot.is_none()) {
            Some(free) => *free = Some(class),
            None => self.slots.push(Some(class)),
        }
    }

    /// The classes that requests may name, by position.
    pub(super) fn accepted(&self) -> Vec<AcceptedClass> {
        let accepted = |slot: &NamedClass| AcceptedClass {
            name: slot.name.clone(),
            accepted_until: slot.dropped_at.map(|at| at + DROPPED_CLASS_GRACE_MS),
        };
        self.slots.iter().flatten().map(accepted).collect()
    }

    /// The position of the class with this name: the class in force, or else the class of this name that was
    /// dropped last.
    pub(super) fn position(&self, name: &str) -> Option<ClassId> {
        let dropped_at = |slot: &NamedClass| slot.dropped_at.unwrap_or(f64::INFINITY);
        let slots = self.slots.iter().enumerate().filter_map(|(i, slot)| Some((ClassId(i), slot.as_ref()?)));
        let named = slots.filter(|(_, slot)| slot.name == name);
        let latest = named.max_by(|(_, a), (_, b)| dropped_at(a).total_cmp(&dropped_at(b)));
        latest.map(|(position, _)| position)
    }

    /// The name of a class.
    pub(super) fn name(&self, class: ClassId) -> Option<&str> {
        self.slots.get(class.0)?.as_ref().map(|slot| slot.name.as_str())
    }

    /// The classes for the load balancer, by position. A free position holds a placeholder that no request
    /// can name.
    pub(super) fn by_position(&self) -> Vec<Class> {
        let placeholder = Class {
            idempotency: Idempotency::Unsafe,
            latency_objective: f64::INFINITY,
            message_latency_objective: None,
            priority_weight: 0.0,
        };
        let class =
            |slot: &Option<NamedClass>| slot.as_ref().map_or(&placeholder, |slot| &slot.class).clone();
        self.slots.iter().map(class).collect()
    }
}

#[cfg(test)]
mod tests;
