//! The configured capacity floors, and the effective capacity of endpoints in slow start.

use std::collections::BTreeMap;

use crate::WholeMillis;

/// The number of thousandths in a whole.
const WHOLE_THOUSANDTHS: u64 = 1000;

/// The capacity that must remain, and the limits on what is drained at once.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityFloors {
    /// The capacity that must remain in all zones together, in thousandths of the endpoint list's unit.
    pub total: u64,
    /// The capacity that must remain in single zones, by zone name, for zones that have a floor of their own.
    pub zones: BTreeMap<String, u64>,
    /// The number of relays that must remain.
    pub min_relays: u32,
    /// The configured limit on windows granted at once. The ledger holds at most `MAX_GRANTED_WINDOWS`,
    /// whatever limit is configured.
    pub max_windows: usize,
    /// The maximum duration of a window.
    pub max_window_duration: WholeMillis,
    /// How the capacity of endpoints that have just started is counted.
    pub slow_start: SlowStart,
}

/// How the capacity of an endpoint grows after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    /// The fraction of its capacity that an endpoint has when it starts, in thousandths.
    pub initial_fraction: u64,
    /// How long it takes until the endpoint has its full capacity.
    pub warm_up_time: WholeMillis,
}

impl SlowStart {
    /// Returns the capacity of an endpoint of the given age. It grows linearly until the warm-up time is
    /// over.
    pub(super) fn effective_capacity(&self, capacity: u64, age: WholeMillis) -> u64 {
        let warm_up_time = self.warm_up_time;
        if age >= warm_up_time {
            return capacity;
        }
        let initial = self.initial_fraction.min(WHOLE_THOUSANDTHS);
        let warm_up_progress = initial * warm_up_time + (WHOLE_THOUSANDTHS - initial) * age;
        capacity * warm_up_progress / (WHOLE_THOUSANDTHS * warm_up_time)
    }
}
