//! The order in which waiting windows are granted. [`select`] takes the time, the timeouts, the capacity
//! plan, and the granted and the waiting windows; it returns the windows to grant now and the first blocked
//! window. The caller changes the ledger.
//!
//! The window that was requested first is considered first. If this window does not fit, a later window may
//! overtake it only if the later window ends before the blocked window could start anyway. Windows that
//! override the floor come before all others and wait only for a free entry in the ledger.

use std::cmp::Reverse;

use crate::plan::CapacityPlan;
use crate::{GrantedWindow, MAX_GRANTED_WINDOWS, Timing, WholeMillis, Window, WindowId};

/// A window that has to wait until granted windows end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedWindow {
    /// The window.
    pub id: WindowId,
    /// When the window fits, if all granted windows end on time.
    pub fits_at: WholeMillis,
}

/// The windows that may be granted now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// The windows to grant.
    pub granted: Vec<GrantedWindow>,
    /// The first window in the queue that has to wait for granted windows to end.
    pub first_blocked: Option<BlockedWindow>,
}

/// Selects the waiting windows that may be granted now, in addition to those that are granted already.
pub fn select(
    now: WholeMillis,
    timing: &Timing,
    plan: &CapacityPlan,
    granted: &[GrantedWindow],
    waiting: impl Iterator<Item = Window>,
) -> Selection {
    let mut selection = Selection::default();
    let mut granted_and_selected = granted.to_vec();
    for window in in_queue_order(now, waiting) {
        let entry = GrantedWindow::starting_at(now, &window);
        granted_and_selected.push(entry);
        let fits = window.overrides_floor || plan.fits(now, &granted_and_selected);
        let may_overtake = window.overrides_floor
            || selection
                .first_blocked
                .is_none_or(|blocked| entry.end + timing.clock_skew_bound <= blocked.fits_at);
        if granted_and_selected.len() <= MAX_GRANTED_WINDOWS && fits && may_overtake {
            selection.granted.push(entry);
            continue;
        }
        granted_and_selected.pop();
        if selection.first_blocked.is_none() {
            let fits_at = fits_once_others_end(now, timing, plan, &granted_and_selected, entry);
            selection.first_blocked = fits_at.map(|fits_at| BlockedWindow { id: window.id, fits_at });
        }
    }
    selection
}

/// Returns the waiting windows that may start by now, in the order in which they are considered.
fn in_queue_order(now: WholeMillis, waiting: impl Iterator<Item = Window>) -> Vec<Window> {
    let mut windows: Vec<Window> = waiting.filter(|window| window.not_before <= now).collect();
    windows
        .sort_by_key(|window| (!window.overrides_floor, window.id.requested_at, window.duration, window.id));
    windows
}

/// Returns when a window fits if all granted windows end on time, or `None` if it would not fit even then.
fn fits_once_others_end(
    now: WholeMillis,
    timing: &Timing,
    plan: &CapacityPlan,
    granted: &[GrantedWindow],
    entry: GrantedWindow,
) -> Option<WholeMillis> {
    let mut remaining = granted.to_vec();
    remaining.sort_by_key(|other| Reverse(other.end));
    while let Some(ending) = remaining.pop() {
        remaining.push(entry);
        let fits = plan.fits(now, &remaining);
        remaining.pop();
        if fits {
            return Some(ending.end + timing.clock_skew_bound);
        }
    }
    None
}
