//! The combined scopes of several windows.

use std::collections::{BTreeMap, BTreeSet};

use crate::{CapacityShare, GrantedWindow, Scope, Tag};

/// What several windows drain together.
#[derive(Default)]
pub(super) struct DrainedScopes {
    zones: BTreeSet<Tag>,
    endpoints: BTreeSet<Tag>,
    /// The capacity that windows for a part of a zone drain, by zone, in thousandths.
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
            // The endpoint list's capacity does not include relays.
            Scope::Relay(_) => {}
        }
    }

    /// Whether a window drains the whole endpoint, by itself or together with its zone.
    pub fn covers(&self, id: Tag, zone: Tag) -> bool {
        self.zones.contains(&zone) || self.endpoints.contains(&id)
    }
}
