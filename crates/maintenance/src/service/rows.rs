//! Windows as they are listed in replies to operators.

use super::MaintenanceService;
use crate::event::whole_seconds;
use crate::plan::in_list_units;
use crate::replicated_ledger::{LocalWindow, WindowStatus};
use crate::{GrantedWindow, WholeMillis, WindowId};

/// One window as it is listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowRow {
    /// Its id.
    pub id: WindowId,
    /// What it drains, in words.
    pub scope: String,
    /// Its status, in words.
    pub status: String,
}

impl MaintenanceService {
    /// A window that was requested here.
    pub fn window_row(&self, id: WindowId, now: WholeMillis) -> Option<WindowRow> {
        self.ledger.local_windows().get(&id).map(|local| self.local_row(local, now))
    }

    /// All windows that this relay knows: those requested here first, then the others that are granted.
    pub fn window_rows(&self, now: WholeMillis) -> Vec<WindowRow> {
        let local_windows = self.ledger.local_windows();
        let local = local_windows.values().map(|local| self.local_row(local, now));
        let granted = self.ledger.granted().iter();
        let others = granted.filter(|entry| !local_windows.contains_key(&entry.id) && now < entry.end);
        local.chain(others.map(|entry| self.granted_row(entry, now))).collect()
    }

    /// What remains if everything is drained that is granted as far as this relay knows, in words.
    pub fn describe_remaining(&self, now: WholeMillis) -> String {
        let remaining = self.plan.remaining_capacity(now, self.ledger.granted());
        let floor = self.plan.floors.total;
        format!("left {} floor {}", in_list_units(remaining.total), in_list_units(floor))
    }

    fn granted_row(&self, entry: &GrantedWindow, now: WholeMillis) -> WindowRow {
        let status = format!("granted, ends in {} s", seconds_until(entry.end, now));
        WindowRow { id: entry.id, scope: self.plan.describe(entry.scope), status }
    }

    fn local_row(&self, local: &LocalWindow, now: WholeMillis) -> WindowRow {
        let window = &local.window;
        WindowRow {
            id: window.id,
            scope: self.plan.describe(window.scope),
            status: describe_status(local, now),
        }
    }
}

fn describe_status(local: &LocalWindow, now: WholeMillis) -> String {
    let window = &local.window;
    match local.status {
        WindowStatus::Requested | WindowStatus::Waits { .. } if now < window.not_before => {
            format!("waits to begin in {} s", seconds_until(window.not_before, now))
        }
        WindowStatus::Requested => "asked, nobody has answered yet".into(),
        WindowStatus::Waits { first: Some(first), ahead } if first != window.id => {
            format!("waits behind {ahead}, first {first}")
        }
        WindowStatus::Waits { ahead, .. } => {
            format!("waits behind {ahead}, for windows to end or streamers to be back")
        }
        WindowStatus::Granted { until, end } => {
            let refused = local.extension_refused;
            let extension = refused.map(|reason| format!(", not extended: {reason}")).unwrap_or_default();
            format!(
                "granted until {} ends {} ({} s){extension}",
                whole_seconds(until),
                whole_seconds(end),
                seconds_until(end, now)
            )
        }
        WindowStatus::Lapsed { .. } => "lapsed, end its drain; asked for again".into(),
        WindowStatus::Refused(reason) => format!("refused, {reason}"),
        WindowStatus::Ended => "ended".into(),
        WindowStatus::Closed => "closed".into(),
    }
}

/// Whole seconds until a time; 0 where it has passed.
fn seconds_until(time: WholeMillis, now: WholeMillis) -> WholeMillis {
    whole_seconds(time.saturating_sub(now))
}
