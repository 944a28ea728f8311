//! The scopes of several windows, taken together.

use std::collections::{BTreeMap, BTreeSet};

use crate::{CapacityShare, GrantedWindow, Scope, Tag};

/// What is drained by several windows.
#[derive(Default)]
pub(super) struct DrainedScopes {
    zones: BTreeSet<Tag>,
    endpoints: BTreeSet<Tag>,
    /// Capacity drained of zones that are not drained as a whole, in thousandths.
    pub parts: BTreeMap<Tag, u64>,
}

impl DrainedScopes {
    pub fn of(granted: &[GrantedWindow]) -> DrainedScopes {
        let mut drained = DrainedScopes::default();
        for entry in granted {
            drained.add(entry.scope);
        }
        drained
    }

    pub fn add(&mut self, scope: Scope) {
        match scope {
            Scope::Zone(zone, CapacityShare::All) => {
                self.zones.insert(zone);
            }
            Scope::Zone(zone, CapacityShare::Part(part)) => {
                *self.parts.entry(zone).or_default() += u64::from(part);
            }
            Scope::Endpoint(id) => {
                self.endpoints.insert(id);
            }
            // A relay has no part in the capacity of the list.
            Scope::Relay(_) => {}
        }
    }

    /// Whether an endpoint is drained as a whole, by itself or with its zone.
    pub fn covers(&self, id: Tag, zone: Tag) -> bool {
        self.zones.contains(&zone) || self.endpoints.contains(&id)
    }
}
