//! Reports changes since the last report: the status of windows, leadership, drains that the endpoint list
//! shows without a granted window, and remaining capacity below a capacity floor.

use std::mem::discriminant;

use super::MaintenanceService;
use crate::replicated_ledger::WindowStatus;
use crate::{Event, Scope, WholeMillis, WindowId};

/// The maximum number of pending events. Further events are dropped.
const MAX_PENDING_EVENTS: usize = 256;

/// A window that has ended, and whose drain must end as well.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedWindow {
    scope: Scope,
    /// When to check whether the drain has ended.
    check_at: WholeMillis,
}

/// A local window whose status has changed since the last report.
struct ChangedWindow {
    id: WindowId,
    status: WindowStatus,
    scope: Scope,
}

impl MaintenanceService {
    /// Returns the alarms that need an operator's attention now: unplanned drains, and remaining capacity
    /// below a capacity floor.
    pub fn alarms(&self, now: WholeMillis) -> Vec<String> {
        let granted = self.ledger.granted();
        let mut alarms = Vec::new();
        for (zone, capacity) in self.plan.unplanned_drains(granted) {
            let alarm = Event::UnplannedDrain { zone: self.plan.name_of(zone), capacity };
            alarms.push(alarm.to_string());
        }
        let remaining = self.plan.remaining_capacity(now, granted);
        if !self.plan.meets_floors(&remaining) {
            alarms.push(Event::BelowFloor { remaining: remaining.total }.to_string());
        }
        alarms
    }

    fn push_event(&mut self, event: Event) {
        if self.events.len() < MAX_PENDING_EVENTS {
            self.events.push_back(event);
        }
    }

    /// Reports changes in the status of local windows, and in leadership.
    pub(super) fn report_changes(&mut self, now: WholeMillis) {
        for ChangedWindow { id, status, scope } in self.changed_windows() {
            if status == WindowStatus::Ended {
                let check_at = now + self.timing.clock_skew_bound + self.timing.retry_interval;
                self.ended_windows.insert(id, EndedWindow { scope, check_at });
            }
            self.reported_status.insert(id, status);
            self.push_event(Event::StatusChanged { id, status });
        }
        let local_windows = self.ledger.local_windows();
        self.reported_status.retain(|id, _| local_windows.contains_key(id));
        self.report_leadership();
    }

    /// Returns the local windows whose status is of another kind than last reported. Renewed leases are not
    /// reported.
    fn changed_windows(&self) -> Vec<ChangedWindow> {
        let mut changed = Vec::new();
        for (id, local) in self.ledger.local_windows() {
            let reported = self.reported_status.get(id).map(discriminant);
            if reported != Some(discriminant(&local.status)) {
                let scope = local.window.scope;
                changed.push(ChangedWindow { id: *id, status: local.status, scope });
            }
        }
        changed
    }

    fn report_leadership(&mut self) {
        let is_leader = self.ledger.is_leader();
        if is_leader != self.reported_as_leader {
            self.reported_as_leader = is_leader;
            self.push_event(if is_leader { Event::BecameLeader } else { Event::LostLeadership });
        }
    }

    /// Compares the endpoint list with the granted windows. Only the leader reports findings about the whole
    /// cluster, so that each finding is logged once.
    pub(super) fn check_drains(&mut self, now: WholeMillis) {
        self.report_drains_past_end(now);
        if self.reported_as_leader {
            self.report_unplanned_drains();
            self.report_below_floor(now);
        }
    }

    fn report_drains_past_end(&mut self, now: WholeMillis) {
        for (id, ended) in std::mem::take(&mut self.ended_windows) {
            if ended.check_at > now {
                self.ended_windows.insert(id, ended);
            } else if self.plan.is_draining(ended.scope) {
                self.push_event(Event::DrainsPastEnd(id));
            }
        }
    }

    fn report_unplanned_drains(&mut self) {
        let unplanned = self.plan.unplanned_drains(self.ledger.granted());
        for (zone, capacity) in &unplanned {
            if self.reported_unplanned_drains.get(zone) != Some(capacity) {
                self.push_event(Event::UnplannedDrain {
                    zone: self.plan.name_of(*zone),
                    capacity: *capacity,
                });
            }
        }
        self.reported_unplanned_drains = unplanned;
    }

    fn report_below_floor(&mut self, now: WholeMillis) {
        let remaining = self.plan.remaining_capacity(now, self.ledger.granted());
        let is_below = !self.plan.meets_floors(&remaining);
        if is_below && !self.reported_below_floor {
            self.push_event(Event::BelowFloor { remaining: remaining.total });
        }
        self.reported_below_floor = is_below;
    }
}
