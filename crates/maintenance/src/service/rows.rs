//! Formats windows for replies to operators.

use super::MaintenanceService;
use crate::event::whole_seconds;
use crate::plan::in_list_units;
use crate::replicated_ledger::{LocalWindow, WindowStatus};
use crate::{GrantedWindow, WholeMillis, WindowId};

/// A window in a reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowRow {
    /// The window's id.
    pub id: WindowId,
    /// What the window drains, as text.
    pub scope: String,
    /// The window's status, as text.
    pub status: String,
}

impl MaintenanceService {
    /// Returns the row of a window that was requested at this relay.
    pub fn window_row(&self, id: WindowId, now: WholeMillis) -> Option<WindowRow> {
        self.ledger.local_windows().get(&id).map(|local| self.local_row(local, now))
    }

    /// Returns the rows of all windows that this relay knows of: first those requested at this relay, then
    /// the other granted windows.
    pub fn window_rows(&self, now: WholeMillis) -> Vec<WindowRow> {
        let local_windows = self.ledger.local_windows();
        let local = local_windows.values().map(|local| self.local_row(local, now));
        let granted = self.ledger.granted().iter();
        let others = granted.filter(|entry| !local_windows.contains_key(&entry.id) && now < entry.end);
        local.chain(others.map(|entry| self.granted_row(entry, now))).collect()
    }

    /// Describes the capacity that remains if all windows that this relay knows to be granted are drained,
    /// and the floor of the total capacity.
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
            let refusal = local.extension_refusal;
            let extension = refusal.map(|reason| format!(", not extended: {reason}")).unwrap_or_default();
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

/// Returns the whole seconds until a time, or 0 if the time has passed.
fn seconds_until(time: WholeMillis, now: WholeMillis) -> WholeMillis {
    whole_seconds(time.saturating_sub(now))
}
