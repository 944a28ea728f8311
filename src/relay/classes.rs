//! The places of classes. Connections, the core and the load balancer hold a class by its position in the settings, so a position
//! must mean the same for as long as anybody holds it, whatever settings come in between.
//!
//! Fed each reading of the settings and the positions that connections hold; gives the classes by position, and the
//! position of a name. It never moves a class.

use std::collections::BTreeSet;

use crate::policy::api::{Class, ClassId, Idempotency, Millis};

/// New connections may name a dropped class for so long: clients learn of new settings up to 1.2 s later, and some take
/// their time to write.
const STILL_NAMED: Millis = 2000.0;
/// Dropped classes that are kept though no connection here holds them: connections of theirs may arrive mid-flow.
const DROPPED_KEPT: usize = 8;

#[derive(Clone, Debug, PartialEq)]
struct Place {
    name: String,
    class: Class,
    /// When it was dropped from the settings, if it was.
    dropped: Option<Millis>,
}

/// Classes by position, those of the settings and those dropped that somebody may hold yet.
#[derive(Debug, Default)]
pub struct Classes {
    places: Vec<Option<Place>>,
}

impl Classes {
    /// Takes the classes of new settings; `held` are the positions that connections hold.
    pub fn renew(&mut self, now: Millis, names: &[String], classes: &[Class], held: &BTreeSet<ClassId>) {
        let listed: Vec<(&String, &Class)> = names.iter().zip(classes).collect();
        for place in self.places.iter_mut().flatten() {
            let stays = listed.contains(&(&place.name, &place.class));
            place.dropped = if stays { None } else { Some(place.dropped.unwrap_or(now)) };
        }
        self.forget(held);
        for (name, class) in listed {
            let is = |p: &Place| p.name == *name && p.class == *class;
            if self.places.iter().flatten().any(is) {
                continue;
            }
            let place = Some(Place { name: name.clone(), class: class.clone(), dropped: None });
            match self.places.iter_mut().find(|p| p.is_none()) {
                Some(free) => *free = place,
                None => self.places.push(place),
            }
        }
    }

    /// Frees the places of dropped classes that no connection holds, but for the last few.
    fn forget(&mut self, held: &BTreeSet<ClassId>) {
        let dropped = |p: &Option<Place>| p.as_ref().and_then(|p| p.dropped);
        let mut idle: Vec<(usize, Millis)> =
            self.places.iter().enumerate().filter_map(|(i, p)| dropped(p).map(|at| (i, at))).collect();
        idle.retain(|(i, _)| !held.contains(&ClassId(*i)));
        idle.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (i, _) in idle.into_iter().skip(DROPPED_KEPT) {
            self.places[i] = None;
        }
    }

    /// Names that a connection may come with: each with until when a new one may, where it was dropped. One that arrives
    /// mid-flow may come with any of them.
    pub fn names(&self) -> Vec<(String, Option<Millis>)> {
        let until = |p: &Place| p.dropped.map(|at| at + STILL_NAMED);
        self.places.iter().flatten().map(|p| (p.name.clone(), until(p))).collect()
    }

    /// The position of a class: the one in force of that name, or else the one that was dropped last.
    pub fn position(&self, name: &str) -> Option<ClassId> {
        let named = |p: &&(usize, &Place)| p.1.name == name;
        let places = self.places.iter().enumerate().filter_map(|(i, p)| Some((i, p.as_ref()?)));
        let places: Vec<_> = places.collect();
        let latest = |p: &&(usize, &Place)| p.1.dropped.unwrap_or(f64::INFINITY);
        let found = places.iter().filter(named).max_by(|a, b| latest(a).total_cmp(&latest(b)));
        found.map(|(i, _)| ClassId(*i))
    }

    /// The name of a class.
    pub fn name(&self, class: ClassId) -> Option<&str> {
        self.places.get(class.0)?.as_ref().map(|p| p.name.as_str())
    }

    /// The classes for the load balancer, by position. A free place holds one that nobody can name.
    pub fn by_position(&self) -> Vec<Class> {
        let free = Class {
            idempotency: Idempotency::Unsafe,
            latency_objective: f64::INFINITY,
            message_latency_objective: None,
            priority_weight: 0.0,
        };
        self.places.iter().map(|p| p.as_ref().map_or_else(|| free.clone(), |p| p.class.clone())).collect()
    }
}

#[cfg(test)]
mod tests;
