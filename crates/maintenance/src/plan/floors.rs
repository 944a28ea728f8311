//! What must remain, and what an endpoint in slow start counts for.

use std::collections::BTreeMap;

use crate::WholeMillis;

/// Thousandths that are the whole of a fraction.
const WHOLE_THOUSANDTHS: u64 = 1000;

/// What must remain, and how much may be drained at once.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityFloors {
    /// Capacity that must remain in all zones together, in thousandths.
    pub total: u64,
    /// The same by the name of a zone, for zones that have a floor of their own.
    pub zones: BTreeMap<String, u64>,
    /// The number of relays that must remain.
    pub min_relays: u32,
    /// The configured limit of windows granted at once. The ledger holds `MAX_GRANTED_WINDOWS` at most,
    /// whatever is configured.
    pub max_windows: usize,
    /// The longest window.
    pub max_window_duration: WholeMillis,
    /// What endpoints that have just started count for.
    pub slow_start: SlowStart,
}

/// How the capacity of an endpoint grows after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    /// The fraction of its capacity that an endpoint has when it starts, in thousandths.
    pub initial_fraction: u64,
    /// How long it takes until it has all of it.
    pub warm_up_time: WholeMillis,
}

impl SlowStart {
    /// The capacity of an endpoint of a certain age, growing linearly until the warm-up time is over.
    pub(super) fn effective_capacity(&self, capacity: u64, age: WholeMillis) -> u64 {
        let warm_up_time = self.warm_up_time;
        if age >= warm_up_time {
            return capacity;
        }
        let initial = self.initial_fraction.min(WHOLE_THOUSANDTHS);
        let grown = initial * warm_up_time + (WHOLE_THOUSANDTHS - initial) * age;
        capacity * grown / (WHOLE_THOUSANDTHS * warm_up_time)
    }
}
