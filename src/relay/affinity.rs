//! Access to the cluster's affinity tables of clients and groups, for the affinity store and for monitoring.

use sandgw_affinity::{Changes, Record, RestoreSummary, Statistics};

use super::Relay;
use crate::policy::api::Millis;

impl Relay {
    /// Restores the stored records of clients and groups, before the first list is applied.
    pub fn restore_affinity(&mut self, now: Millis, records: impl Iterator<Item = Record>) -> RestoreSummary {
        self.load_balancer.cluster_state_mut().restore(now, records)
    }

    /// Starts to track changes for [`Relay::take_affinity_changes`]: removed keys are recorded from now on,
    /// and all entries count as changed.
    pub fn track_affinity_changes(&mut self) {
        self.load_balancer.cluster_state_mut().track_changes();
    }

    /// Takes the changes to clients and groups since the last call, at most `max_entries` entries.
    pub fn take_affinity_changes(&mut self, now: Millis, max_entries: usize) -> Changes {
        self.load_balancer.cluster_state_mut().take_changes(now, max_entries)
    }

    /// Statistics of the tables of clients and groups.
    pub fn affinity_statistics(&self) -> Statistics {
        self.load_balancer.cluster_state().statistics()
    }
}
