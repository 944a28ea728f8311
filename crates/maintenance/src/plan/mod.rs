//! What the list of endpoints can spare.
//!
//! It is fed the list and holds the floors. It says what would be left if everything granted were drained, beside what is
//! down or cold by the list; it knows nothing of who asks.

use std::collections::{BTreeMap, BTreeSet};

use crate::{CapacityShare, Entry, Refused, Scope, Tag, Timing, WholeMillis, tag};

/// An endpoint as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name in the list.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its size, in thousandths of the list's unit.
    pub size: u64,
    /// Whether it takes work; it drains where it does not.
    pub ready: bool,
    /// When it started; 0 when long ago.
    pub started: WholeMillis,
}

/// What must be left, and how much may be drained at once.
#[derive(Clone, Debug, PartialEq)]
pub struct Floors {
    /// Thousandths of capacity that must be left in all.
    pub all: u64,
    /// The same by zones, of those that have a floor.
    pub zones: BTreeMap<String, u64>,
    /// Relays that must be left.
    pub relays: u32,
    /// Most windows at once.
    pub most: usize,
    /// The longest window.
    pub longest: WholeMillis,
    /// Share of its size that an endpoint is worth when it has just started, in thousandths, and when it is worth all.
    pub cold: (u64, WholeMillis),
}

/// What is left of capacity, in thousandths.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Left {
    /// In all.
    pub all: u64,
    /// By zone.
    pub zones: BTreeMap<Tag, u64>,
}

#[derive(Clone, Debug)]
struct Known {
    zone: Tag,
    size: u64,
    ready: bool,
    started: WholeMillis,
}

/// The list, and what must be left of it.
#[derive(Clone, Debug)]
pub struct CapacityPlan {
    /// What must be left.
    pub floors: Floors,
    floor_of: BTreeMap<Tag, u64>,
    relays: u32,
    endpoints: BTreeMap<Tag, Known>,
    names: BTreeMap<Tag, String>,
    told: Option<WholeMillis>,
}

impl CapacityPlan {
    /// A plan for a tier of so many relays, without a list yet.
    pub fn new(floors: Floors, relays: u32) -> CapacityPlan {
        let floor_of = floors.zones.iter().map(|(zone, floor)| (tag(zone), *floor)).collect();
        let names = floors.zones.keys().map(|zone| (tag(zone), zone.clone())).collect();
        CapacityPlan { floors, floor_of, relays, endpoints: BTreeMap::new(), names, told: None }
    }

    /// Discovery has answered: the list is true as of now.
    pub fn confirmed(&mut self, now: WholeMillis) {
        self.told = Some(now);
    }

    /// Forgets the list, before a whole one.
    pub fn clear(&mut self) {
        self.endpoints.clear();
    }

    /// Takes an entry of the list.
    pub fn put(&mut self, endpoint: &Endpoint) {
        let (id, zone) = (tag(&endpoint.id), tag(&endpoint.zone));
        self.names.insert(id, endpoint.id.clone());
        self.names.entry(zone).or_insert_with(|| endpoint.zone.clone());
        let Endpoint { size, ready, started, .. } = *endpoint;
        self.endpoints.insert(id, Known { zone, size, ready, started });
    }

    /// An endpoint is no longer in the list.
    pub fn gone(&mut self, id: &str) {
        self.endpoints.remove(&tag(id));
        self.names.remove(&tag(id));
    }

    /// Whether the list is new enough to grant by.
    pub fn is_fresh(&self, now: WholeMillis, timing: &Timing) -> bool {
        self.told.is_some_and(|told| now <= told + timing.list)
    }

    /// What a tag stands for, or its number where that is not known.
    pub fn name(&self, of: Tag) -> String {
        self.names.get(&of).cloned().unwrap_or_else(|| format!("#{of:x}"))
    }

    /// What is to be drained, in words.
    pub fn says(&self, what: Scope) -> String {
        match what {
            Scope::Zone(zone, CapacityShare::All) => format!("hall {} all", self.name(zone)),
            Scope::Zone(zone, CapacityShare::Part(part)) => {
                format!("hall {} {}", self.name(zone), f64::from(part) / 1000.0)
            }
            Scope::Endpoint(id) => format!("streamer {}", self.name(id)),
            Scope::Relay(relay) => format!("relay {relay}"),
        }
    }

    /// What would be left if all these were drained now, beside what is down or cold by the list.
    pub fn left(&self, now: WholeMillis, granted: &[Entry]) -> Left {
        let drained = Drained::of(granted);
        self.sum(|known| if known.ready { self.warm(now, known) } else { 0 }, &drained, true)
    }

    /// What would be left of the list if all of it were up and warm.
    fn at_best(&self, what: Scope) -> Left {
        let mut drained = Drained::default();
        drained.add(what);
        self.sum(|known| known.size, &drained, false)
    }

    fn sum(&self, worth: impl Fn(&Known) -> u64, drained: &Drained, heeds: bool) -> Left {
        let mut zones: BTreeMap<Tag, u64> = self.endpoints.values().map(|k| (k.zone, 0)).collect();
        let open = self.endpoints.iter().filter(|(id, known)| !drained.covers(**id, known.zone));
        for (_, known) in open {
            *zones.entry(known.zone).or_default() += worth(known);
        }
        for (zone, part) in &drained.parts {
            // What drains there already is a part of what was granted.
            let begun = if heeds { self.draining(drained, *zone) } else { 0 };
            let left = zones.entry(*zone).or_default();
            *left = left.saturating_sub(part.saturating_sub(begun));
        }
        Left { all: zones.values().sum(), zones }
    }

    fn draining(&self, drained: &Drained, zone: Tag) -> u64 {
        let draining = self.endpoints.iter().filter(|(_, k)| !k.ready && k.zone == zone);
        draining.filter(|(id, _)| !drained.covers(**id, zone)).map(|(_, k)| k.size).sum()
    }

    fn warm(&self, now: WholeMillis, known: &Known) -> u64 {
        let (from, within) = self.floors.cold;
        let age = now.saturating_sub(known.started).min(within);
        if known.started == 0 || age == within {
            return known.size;
        }
        known.size * (from.min(1000) * within + (1000 - from.min(1000)) * age) / (1000 * within)
    }

    /// Whether what is left is enough.
    pub fn holds(&self, left: &Left) -> bool {
        let zone = |(zone, floor): (&Tag, &u64)| left.zones.get(zone).copied().unwrap_or(0) >= *floor;
        left.all >= self.floors.all && self.floor_of.iter().all(zone)
    }

    /// Whether all these may be granted together.
    pub fn fits(&self, now: WholeMillis, granted: &[Entry]) -> bool {
        let drained: BTreeSet<u32> = granted.iter().filter_map(|e| relay(e.what)).collect();
        let relays = self.relays.saturating_sub(drained.len() as u32);
        let only_relays = granted.iter().all(|e| relay(e.what).is_some());
        granted.len() <= self.floors.most
            && (drained.is_empty() || relays >= self.floors.relays)
            && (only_relays || self.holds(&self.left(now, granted)))
    }

    /// Why a window could never be granted.
    pub fn never(&self, what: Scope, length: WholeMillis, forced: bool) -> Option<Refused> {
        let zone = |of: Tag| self.endpoints.values().any(|k| k.zone == of);
        Some(match what {
            _ if length > self.floors.longest || length == 0 => Refused::TooLong,
            Scope::Zone(of, _) if !zone(of) => Refused::NoZone,
            Scope::Endpoint(of) if !self.endpoints.contains_key(&of) => Refused::NoEndpoint,
            Scope::Relay(of) if of >= self.relays => Refused::NoRelay,
            _ if forced => return None,
            Scope::Relay(_) if self.relays.saturating_sub(1) < self.floors.relays => Refused::Never,
            Scope::Zone(..) | Scope::Endpoint(_) if !self.holds(&self.at_best(what)) => Refused::Never,
            _ => return None,
        })
    }

    /// What drains by the list and nobody has asked for, by zone.
    pub fn unasked(&self, granted: &[Entry]) -> BTreeMap<Tag, u64> {
        let drained = Drained::of(granted);
        let zones: BTreeSet<Tag> = self.endpoints.values().map(|k| k.zone).collect();
        let part = |zone: Tag| drained.parts.get(&zone).copied().unwrap_or(0);
        let rows =
            zones.into_iter().map(|zone| (zone, self.draining(&drained, zone).saturating_sub(part(zone))));
        rows.filter(|(_, size)| *size > 0).collect()
    }

    /// Whether the list shows any of this draining.
    pub fn drains(&self, what: Scope) -> bool {
        self.endpoints.iter().any(|(id, known)| {
            !known.ready
                && match what {
                    Scope::Zone(zone, _) => known.zone == zone,
                    Scope::Endpoint(of) => *id == of,
                    Scope::Relay(_) => false,
                }
        })
    }
}

fn relay(what: Scope) -> Option<u32> {
    if let Scope::Relay(relay) = what { Some(relay) } else { None }
}

/// What is granted, taken together.
#[derive(Default)]
struct Drained {
    zones: BTreeSet<Tag>,
    endpoints: BTreeSet<Tag>,
    parts: BTreeMap<Tag, u64>,
}

impl Drained {
    fn of(granted: &[Entry]) -> Drained {
        let mut drained = Drained::default();
        granted.iter().for_each(|entry| drained.add(entry.what));
        drained
    }

    fn add(&mut self, what: Scope) {
        match what {
            Scope::Zone(zone, CapacityShare::All) => drop(self.zones.insert(zone)),
            Scope::Zone(zone, CapacityShare::Part(part)) => {
                *self.parts.entry(zone).or_default() += u64::from(part)
            }
            Scope::Endpoint(id) => drop(self.endpoints.insert(id)),
            Scope::Relay(_) => {}
        }
    }

    fn covers(&self, id: Tag, zone: Tag) -> bool {
        self.zones.contains(&zone) || self.endpoints.contains(&id)
    }
}
