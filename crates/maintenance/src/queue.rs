//! The order in which waiting windows are granted. Inputs: the time and the time-outs, the plan, the
//! granted and the waiting windows. Outputs: the windows to grant now, and the first that is blocked. The
//! ledger is changed by the caller.
//!
//! The window that has waited longest is first. If it does not fit, a later one may overtake it
//! only if that ends before the first one could start anyway. Windows that override the floor come
//! before all others and wait for nothing but a place in the ledger.

use std::cmp::Reverse;

use crate::plan::CapacityPlan;
use crate::{GrantedWindow, MAX_GRANTED_WINDOWS, Timing, WholeMillis, Window, WindowId};

/// A window that has to wait until others end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedWindow {
    /// The window.
    pub id: WindowId,
    /// When it fits, if all granted windows end on time.
    pub fits_at: WholeMillis,
}

/// What may be granted now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Windows to be granted.
    pub granted: Vec<GrantedWindow>,
    /// The first window that has to wait for others to end.
    pub first_blocked: Option<BlockedWindow>,
}

/// Selects the waiting windows that may be granted now beside those that are granted already.
pub fn select(
    now: WholeMillis,
    timing: &Timing,
    plan: &CapacityPlan,
    granted: &[GrantedWindow],
    waiting: impl Iterator<Item = Window>,
) -> Selection {
    let mut selection = Selection::default();
    let mut all = granted.to_vec();
    for window in in_queue_order(now, waiting) {
        let entry = GrantedWindow::starting_at(now, &window);
        all.push(entry);
        let fits = window.overrides_floor || plan.fits(now, &all);
        let may_overtake = window.overrides_floor
            || selection
                .first_blocked
                .is_none_or(|blocked| entry.end + timing.clock_skew_bound <= blocked.fits_at);
        if all.len() <= MAX_GRANTED_WINDOWS && fits && may_overtake {
            selection.granted.push(entry);
            continue;
        }
        all.pop();
        if selection.first_blocked.is_none() {
            let fits_at = fits_once_others_end(now, timing, plan, &all, entry);
            selection.first_blocked = fits_at.map(|fits_at| BlockedWindow { id: window.id, fits_at });
        }
    }
    selection
}

/// The waiting windows that may start by now, in the order in which they are considered.
fn in_queue_order(now: WholeMillis, waiting: impl Iterator<Item = Window>) -> Vec<Window> {
    let mut windows: Vec<Window> = waiting.filter(|window| window.not_before <= now).collect();
    windows
        .sort_by_key(|window| (!window.overrides_floor, window.id.requested_at, window.duration, window.id));
    windows
}

/// When a window fits, if all granted windows end on time; `None` where it is not they that it waits for.
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
