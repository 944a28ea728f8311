//! Computes from the endpoint list which capacity remains while windows are granted.
//!
//! [`CapacityPlan`] holds the endpoint list as this relay knows it, and the capacity floors. It computes the
//! capacity that would remain if all granted windows were drained; endpoints that are down or in slow start
//! by the list are accounted for as well. It does not depend on who requests windows. Capacities are in
//! thousandths of the list's unit, times in milliseconds.

mod drained;
mod floors;

use std::collections::{BTreeMap, BTreeSet};

use crate::{CapacityShare, GrantedWindow, RefusalReason, Scope, Tag, Timing, WholeMillis, tag};

pub use floors::{CapacityFloors, SlowStart};

use drained::DrainedScopes;

/// The number of thousandths in one unit of the endpoint list's capacity.
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

/// Converts a capacity in thousandths to the endpoint list's unit.
pub(crate) fn in_list_units(thousandths: u64) -> f64 {
    thousandths as f64 / THOUSANDTHS_PER_UNIT
}

/// An endpoint in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The endpoint's id in the list.
    pub id: String,
    /// The endpoint's zone.
    pub zone: String,
    /// The endpoint's capacity, in thousandths of the list's unit.
    pub capacity: u64,
    /// Whether the endpoint takes new connections. Otherwise it is draining or down.
    pub is_ready: bool,
    /// When the endpoint started; 0 if that was long ago.
    pub started_at: WholeMillis,
}

/// The remaining capacity, in thousandths of the endpoint list's unit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RemainingCapacity {
    /// The remaining capacity of all zones together.
    pub total: u64,
    /// The remaining capacity by zone.
    pub by_zone: BTreeMap<Tag, u64>,
}

#[derive(Clone, Debug)]
struct EndpointState {
    zone: Tag,
    capacity: u64,
    is_ready: bool,
    started_at: WholeMillis,
}

/// The endpoint list, and the capacity floors that its remaining capacity must meet.
#[derive(Clone, Debug)]
pub struct CapacityPlan {
    /// The configured capacity floors and limits.
    pub floors: CapacityFloors,
    zone_floors: BTreeMap<Tag, u64>,
    relay_count: u32,
    endpoints: BTreeMap<Tag, EndpointState>,
    /// The names of zones and endpoints.
    names: BTreeMap<Tag, String>,
    /// When the list was last confirmed.
    confirmed_at: Option<WholeMillis>,
}

impl CapacityPlan {
    /// Returns a plan for a cluster of `relay_count` relays, without an endpoint list yet.
    pub fn new(floors: CapacityFloors, relay_count: u32) -> CapacityPlan {
        let zone_floors = floors.zones.iter().map(|(zone, floor)| (tag(zone), *floor)).collect();
        let names = floors.zones.keys().map(|zone| (tag(zone), zone.clone())).collect();
        CapacityPlan {
            floors,
            zone_floors,
            relay_count,
            endpoints: BTreeMap::new(),
            names,
            confirmed_at: None,
        }
    }

    /// Records that discovery has answered, so that the list is up to date as of now.
    pub fn confirm_list(&mut self, now: WholeMillis) {
        self.confirmed_at = Some(now);
    }

    /// Removes all endpoints, before a full list is applied.
    pub fn clear_endpoints(&mut self) {
        self.endpoints.clear();
    }

    /// Adds or updates an endpoint.
    pub fn upsert_endpoint(&mut self, endpoint: &Endpoint) {
        let id = tag(&endpoint.id);
        let zone = tag(&endpoint.zone);
        self.names.insert(id, endpoint.id.clone());
        self.names.entry(zone).or_insert_with(|| endpoint.zone.clone());
        let state = EndpointState {
            zone,
            capacity: endpoint.capacity,
            is_ready: endpoint.is_ready,
            started_at: endpoint.started_at,
        };
        self.endpoints.insert(id, state);
    }

    /// Removes an endpoint that is no longer in the list.
    pub fn remove_endpoint(&mut self, id: &str) {
        self.endpoints.remove(&tag(id));
        self.names.remove(&tag(id));
    }

    /// Whether the list was confirmed recently enough to grant windows.
    pub fn is_fresh(&self, now: WholeMillis, timing: &Timing) -> bool {
        self.confirmed_at.is_some_and(|confirmed| now <= confirmed + timing.list_max_age)
    }

    /// Returns the name of a zone or an endpoint, or its tag if the name is not known.
    pub fn name_of(&self, tag: Tag) -> String {
        self.names.get(&tag).cloned().unwrap_or_else(|| format!("#{tag:x}"))
    }

    /// Describes a scope in the syntax of operators' calls.
    pub fn describe(&self, scope: Scope) -> String {
        match scope {
            Scope::Zone(zone, CapacityShare::All) => format!("hall {} all", self.name_of(zone)),
            Scope::Zone(zone, CapacityShare::Part(part)) => {
                format!("hall {} {}", self.name_of(zone), in_list_units(u64::from(part)))
            }
            Scope::Endpoint(id) => format!("streamer {}", self.name_of(id)),
            Scope::Relay(relay) => format!("relay {relay}"),
        }
    }

    /// Returns the capacity that would remain if all these windows were drained now. Endpoints that are
    /// not ready by the list count for nothing, and endpoints in slow start for their effective capacity.
    pub fn remaining_capacity(&self, now: WholeMillis, granted: &[GrantedWindow]) -> RemainingCapacity {
        let drained = DrainedScopes::of(granted);
        let mut by_zone = self.undrained_capacity(&drained, |endpoint| {
            if endpoint.is_ready { self.effective_capacity(now, endpoint) } else { 0 }
        });
        for (zone, part) in &drained.parts {
            // Capacity that already drains in the zone counts towards the granted part.
            let draining = self.not_ready_capacity(&drained, *zone);
            let remaining = by_zone.entry(*zone).or_default();
            *remaining = remaining.saturating_sub(part.saturating_sub(draining));
        }
        RemainingCapacity { total: by_zone.values().sum(), by_zone }
    }

    /// Returns the capacity that would remain if one scope were drained while all endpoints of the list were
    /// ready and past slow start.
    fn best_case_remaining(&self, scope: Scope) -> RemainingCapacity {
        let mut drained = DrainedScopes::default();
        drained.add(scope);
        let mut by_zone = self.undrained_capacity(&drained, |endpoint| endpoint.capacity);
        for (zone, part) in &drained.parts {
            let remaining = by_zone.entry(*zone).or_default();
            *remaining = remaining.saturating_sub(*part);
        }
        RemainingCapacity { total: by_zone.values().sum(), by_zone }
    }

    /// Returns by zone the capacity of all endpoints that no window drains as a whole.
    fn undrained_capacity(
        &self,
        drained: &DrainedScopes,
        capacity_of: impl Fn(&EndpointState) -> u64,
    ) -> BTreeMap<Tag, u64> {
        let mut by_zone: BTreeMap<Tag, u64> =
            self.endpoints.values().map(|endpoint| (endpoint.zone, 0)).collect();
        for (id, endpoint) in &self.endpoints {
            if !drained.covers(*id, endpoint.zone) {
                *by_zone.entry(endpoint.zone).or_default() += capacity_of(endpoint);
            }
        }
        by_zone
    }

    /// Returns the capacity of a zone's endpoints that are not ready and that no window drains as a whole.
    fn not_ready_capacity(&self, drained: &DrainedScopes, zone: Tag) -> u64 {
        let draining = self.endpoints.iter().filter(|(id, endpoint)| {
            !endpoint.is_ready && endpoint.zone == zone && !drained.covers(**id, zone)
        });
        draining.map(|(_, endpoint)| endpoint.capacity).sum()
    }

    fn effective_capacity(&self, now: WholeMillis, endpoint: &EndpointState) -> u64 {
        if endpoint.started_at == 0 {
            return endpoint.capacity;
        }
        let age = now.saturating_sub(endpoint.started_at);
        self.floors.slow_start.effective_capacity(endpoint.capacity, age)
    }

    /// Whether the remaining capacity meets the floor of the total capacity and the floor of each zone that
    /// has a floor.
    pub fn meets_floors(&self, remaining: &RemainingCapacity) -> bool {
        let zone_is_met =
            |(zone, floor): (&Tag, &u64)| remaining.by_zone.get(zone).copied().unwrap_or(0) >= *floor;
        remaining.total >= self.floors.total && self.zone_floors.iter().all(zone_is_met)
    }

    /// Whether all these windows may be granted together.
    pub fn fits(&self, now: WholeMillis, granted: &[GrantedWindow]) -> bool {
        granted.len() <= self.floors.max_windows
            && self.leaves_enough_relays(granted)
            && self.leaves_enough_capacity(now, granted)
    }

    fn leaves_enough_relays(&self, granted: &[GrantedWindow]) -> bool {
        let drained: BTreeSet<u32> = granted.iter().filter_map(|entry| entry.scope.relay()).collect();
        let remaining = self.relay_count.saturating_sub(drained.len() as u32);
        drained.is_empty() || remaining >= self.floors.min_relays
    }

    fn leaves_enough_capacity(&self, now: WholeMillis, granted: &[GrantedWindow]) -> bool {
        // Relays do not count towards the list's capacity, so they may be drained even if a capacity floor is
        // not met.
        let only_relays = granted.iter().all(|entry| entry.scope.relay().is_some());
        only_relays || self.meets_floors(&self.remaining_capacity(now, granted))
    }

    /// Returns why a window could never be granted, if there is a reason.
    pub fn permanent_refusal(
        &self,
        scope: Scope,
        duration: WholeMillis,
        overrides_floor: bool,
    ) -> Option<RefusalReason> {
        if duration > self.floors.max_window_duration || duration == 0 {
            return Some(RefusalReason::TooLong);
        }
        let unknown = self.unknown_scope(scope);
        if unknown.is_some() || overrides_floor {
            return unknown;
        }
        let is_reachable = match scope {
            Scope::Relay(_) => self.relay_count.saturating_sub(1) >= self.floors.min_relays,
            Scope::Zone(..) | Scope::Endpoint(_) => self.meets_floors(&self.best_case_remaining(scope)),
        };
        (!is_reachable).then_some(RefusalReason::FloorUnreachable)
    }

    fn unknown_scope(&self, scope: Scope) -> Option<RefusalReason> {
        match scope {
            Scope::Zone(zone, _) => {
                let is_known = self.endpoints.values().any(|endpoint| endpoint.zone == zone);
                (!is_known).then_some(RefusalReason::UnknownZone)
            }
            Scope::Endpoint(id) => {
                (!self.endpoints.contains_key(&id)).then_some(RefusalReason::UnknownEndpoint)
            }
            Scope::Relay(relay) => (relay >= self.relay_count).then_some(RefusalReason::UnknownRelay),
        }
    }

    /// Returns by zone the capacity that drains by the list without a window. Zones without unplanned drains
    /// are left out.
    pub fn unplanned_drains(&self, granted: &[GrantedWindow]) -> BTreeMap<Tag, u64> {
        let drained = DrainedScopes::of(granted);
        let zones: BTreeSet<Tag> = self.endpoints.values().map(|endpoint| endpoint.zone).collect();
        let mut unplanned = BTreeMap::new();
        for zone in zones {
            let planned = drained.parts.get(&zone).copied().unwrap_or(0);
            let capacity = self.not_ready_capacity(&drained, zone).saturating_sub(planned);
            if capacity > 0 {
                unplanned.insert(zone, capacity);
            }
        }
        unplanned
    }

    /// Whether any endpoint of a scope is draining or down by the list.
    pub fn is_draining(&self, scope: Scope) -> bool {
        let is_in_scope = |id: Tag, endpoint: &EndpointState| match scope {
            Scope::Zone(zone, _) => endpoint.zone == zone,
            Scope::Endpoint(endpoint_id) => id == endpoint_id,
            Scope::Relay(_) => false,
        };
        self.endpoints.iter().any(|(id, endpoint)| !endpoint.is_ready && is_in_scope(*id, endpoint))
    }
}
