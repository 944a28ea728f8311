//! The section of maintenance windows.

use std::collections::{BTreeMap, BTreeSet};

use sandgw_maintenance::plan::{CapacityFloors, SlowStart};
use sandgw_maintenance::{MAX_GRANTED_WINDOWS, MaintenanceService, Timing, WholeMillis};
use serde_json::Value;

use super::Maintenance;
use super::errors::Fault;
use super::reader::Reader;
use crate::policy::api::Settings;

/// The largest floor, in the unit of the list's sizes.
const MAX_FLOOR: f64 = 4e6;
const MAX_WINDOW_S: f64 = 604_800.0;
const DEFAULT_WINDOW_S: f64 = 3600.0;
const DEFAULT_WINDOWS: f64 = 2.0;
const MAX_LEASE_S: f64 = 3600.0;
const DEFAULT_LEASE_S: f64 = 30.0;
const MAX_CLOCK_BOUND_MS: f64 = 600_000.0;
const DEFAULT_CLOCK_BOUND_MS: f64 = 500.0;
/// The bound on clocks is subtracted from every grant: it may be this part of a lease at the most.
const MIN_LEASE_IN_CLOCK_BOUNDS: u64 = 4;
/// Sizes are counted in thousandths, and times in milliseconds.
const THOUSAND: f64 = 1000.0;

/// Reads what must be left of capacity, in the list's sizes, and how windows are agreed on.
pub(super) fn maintenance(
    section: &mut Reader<'_>,
    settings: &Settings,
    relay_count: u32,
) -> Option<Maintenance> {
    section.known_keys(&[
        "floor",
        "halls",
        "relays",
        "most",
        "longest_s",
        "override",
        "lease_s",
        "clock_bound_ms",
        "voters",
    ]);
    if section.table["floor"].is_null() {
        section.fault("floor", Fault::Missing);
    }
    let floor = section.number("floor", 0.0..=MAX_FLOOR).unwrap_or(0.0);
    let relays_left = relays_left(section, relay_count);
    let windows = section.number("most", 1.0..=MAX_GRANTED_WINDOWS as f64).unwrap_or(DEFAULT_WINDOWS);
    let longest = section.number("longest_s", 1.0..=MAX_WINDOW_S).unwrap_or(DEFAULT_WINDOW_S);
    let timing = timing(section);
    let zones = zone_floors(section);
    let voters = voters(section, relay_count);
    let may_override = section.list("override", "a name").unwrap_or_default();
    let floors = CapacityFloors {
        total: (floor * THOUSAND) as u64,
        zones,
        min_relays: relays_left,
        max_windows: windows as usize,
        max_window_duration: (longest * THOUSAND) as WholeMillis,
        slow_start: SlowStart {
            initial_fraction: (settings.cold_capacity_fraction * THOUSAND) as u64,
            warm_up_time: settings.warm_up_time as WholeMillis,
        },
    };
    Some(Maintenance { floors, timing, voters, may_override })
}

/// Relays that must be left: all but one, where nothing is said.
fn relays_left(section: &mut Reader<'_>, relay_count: u32) -> u32 {
    let all_but_one = relay_count.saturating_sub(1).max(1);
    let relays = section.number("relays", 0.0..=f64::from(relay_count));
    relays.unwrap_or(f64::from(all_but_one)) as u32
}

fn timing(section: &mut Reader<'_>) -> Timing {
    let lease = section.number("lease_s", 1.0..=MAX_LEASE_S).unwrap_or(DEFAULT_LEASE_S);
    let clock_bound = section.number("clock_bound_ms", 0.0..=MAX_CLOCK_BOUND_MS);
    let lease = (lease * THOUSAND) as WholeMillis;
    let clock_bound = clock_bound.unwrap_or(DEFAULT_CLOCK_BOUND_MS) as WholeMillis;
    if clock_bound * MIN_LEASE_IN_CLOCK_BOUNDS > lease {
        section.fault("clock_bound_ms", Fault::Bound);
    }
    Timing::for_lease(lease, clock_bound)
}

fn voters(section: &mut Reader<'_>, relay_count: u32) -> Vec<u32> {
    let named = section.list("voters", "a relay's number");
    let voters = named.unwrap_or_else(|| MaintenanceService::default_voters(relay_count));
    let distinct: BTreeSet<u32> = voters.iter().copied().collect();
    let has_unknown = voters.iter().any(|voter| *voter >= relay_count);
    if voters.is_empty() || distinct.len() < voters.len() || has_unknown {
        section.fault("voters", Fault::Voters(relay_count));
    }
    voters
}

fn zone_floors(section: &mut Reader<'_>) -> BTreeMap<String, u64> {
    let table: &Value = &section.table["halls"];
    if !table.is_null() && !table.is_object() {
        section.fault("halls", Fault::NotTable);
    }
    let mut floors = BTreeMap::new();
    for (zone, value) in table.as_object().into_iter().flatten() {
        match value.as_f64().filter(|floor| (0.0..=MAX_FLOOR).contains(floor)) {
            Some(floor) => drop(floors.insert(zone.clone(), (floor * THOUSAND) as u64)),
            None => {
                let fault = Fault::Number { value: value.clone(), min: 0.0, max: MAX_FLOOR };
                section.fault(&format!("halls.{zone}"), fault);
            }
        }
    }
    floors
}
