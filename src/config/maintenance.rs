//! Reads the section `maintenance`, which configures maintenance windows.

use std::collections::{BTreeMap, BTreeSet};

use sandgw_maintenance::plan::{CapacityFloors, SlowStart};
use sandgw_maintenance::{MAX_GRANTED_WINDOWS, MaintenanceService, Timing, WholeMillis};
use serde_json::Value;

use super::Maintenance;
use super::errors::Fault;
use super::reader::Reader;
use crate::policy::api::Settings;

/// The largest value of a capacity floor, in the endpoint list's unit of capacity.
const MAX_FLOOR: f64 = 4e6;
const LONGEST_WINDOW_LIMIT_S: f64 = 604_800.0;
const DEFAULT_LONGEST_WINDOW_S: f64 = 3600.0;
const DEFAULT_MAX_WINDOWS: f64 = 2.0;
const MAX_LEASE_S: f64 = 3600.0;
const DEFAULT_LEASE_S: f64 = 30.0;
const MAX_CLOCK_BOUND_MS: f64 = 600_000.0;
const DEFAULT_CLOCK_BOUND_MS: f64 = 500.0;
/// The bound on clock differences is subtracted from every grant, so a lease must be at least this many times
/// as long as the bound.
const MIN_LEASE_IN_CLOCK_BOUNDS: u64 = 4;
/// Converts capacities to thousandths, and seconds to milliseconds.
const MILLIS_PER_UNIT: f64 = 1000.0;

/// Reads the capacity floors, in the endpoint list's unit of capacity, and how relays agree on windows.
pub(super) fn maintenance(
    section: &mut Reader<'_>,
    settings: &Settings,
    relay_count: u32,
) -> Option<Maintenance> {
    section.check_known_keys(&[
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
    let min_remaining_relays = min_remaining_relays(section, relay_count);
    let max_windows = section.number("most", 1.0..=MAX_GRANTED_WINDOWS as f64).unwrap_or(DEFAULT_MAX_WINDOWS);
    let max_window_s =
        section.number("longest_s", 1.0..=LONGEST_WINDOW_LIMIT_S).unwrap_or(DEFAULT_LONGEST_WINDOW_S);
    let timing = timing(section);
    let zones = zone_floors(section);
    let voters = voters(section, relay_count);
    let may_override = section.list("override", "a name").unwrap_or_default();
    let floors = CapacityFloors {
        total: (floor * MILLIS_PER_UNIT) as u64,
        zones,
        min_relays: min_remaining_relays,
        max_windows: max_windows as usize,
        max_window_duration: (max_window_s * MILLIS_PER_UNIT) as WholeMillis,
        slow_start: SlowStart {
            initial_fraction: (settings.initial_capacity_fraction * MILLIS_PER_UNIT) as u64,
            warm_up_time: settings.warm_up_time as WholeMillis,
        },
    };
    Some(Maintenance { floors, timing, voters, may_override })
}

/// Reads the number of relays that must remain; by default all but one.
fn min_remaining_relays(section: &mut Reader<'_>, relay_count: u32) -> u32 {
    let all_but_one = relay_count.saturating_sub(1).max(1);
    let configured = section.number("relays", 0.0..=f64::from(relay_count));
    configured.unwrap_or(f64::from(all_but_one)) as u32
}

fn timing(section: &mut Reader<'_>) -> Timing {
    let lease = section.number("lease_s", 1.0..=MAX_LEASE_S).unwrap_or(DEFAULT_LEASE_S);
    let clock_bound = section.number("clock_bound_ms", 0.0..=MAX_CLOCK_BOUND_MS);
    let lease = (lease * MILLIS_PER_UNIT) as WholeMillis;
    let clock_bound = clock_bound.unwrap_or(DEFAULT_CLOCK_BOUND_MS) as WholeMillis;
    if clock_bound * MIN_LEASE_IN_CLOCK_BOUNDS > lease {
        section.fault("clock_bound_ms", Fault::ClockBoundTooLarge);
    }
    Timing::for_lease(lease, clock_bound)
}

fn voters(section: &mut Reader<'_>, relay_count: u32) -> Vec<u32> {
    let configured = section.list("voters", "a relay's number");
    let voters = configured.unwrap_or_else(|| MaintenanceService::default_voters(relay_count));
    let distinct: BTreeSet<u32> = voters.iter().copied().collect();
    let has_unknown = voters.iter().any(|voter| *voter >= relay_count);
    if voters.is_empty() || distinct.len() < voters.len() || has_unknown {
        section.fault("voters", Fault::InvalidVoters(relay_count));
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
            Some(floor) => drop(floors.insert(zone.clone(), (floor * MILLIS_PER_UNIT) as u64)),
            None => {
                let fault = Fault::OutOfRange { value: value.clone(), min: 0.0, max: MAX_FLOOR };
                section.fault(&format!("halls.{zone}"), fault);
            }
        }
    }
    floors
}
