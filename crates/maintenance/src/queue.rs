//! Whose turn it is.
//!
//! Who waits longest is first. One that does not fit keeps others back, as far as they would keep it back: who comes later
//! is let through before it only if its window ends by the time at which the first one's turn comes anyway.

use crate::plan::CapacityPlan;
use crate::{Entry, Timing, WholeMillis, Window, WindowId};

/// What may be granted now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// Windows to be granted.
    pub granted: Vec<Entry>,
    /// The first that has to wait for others to end, and when they have.
    pub first: Option<(WindowId, WholeMillis)>,
}

/// Goes through who waits, longest first.
pub fn turn(
    now: WholeMillis,
    timing: &Timing,
    plan: &CapacityPlan,
    held: &[Entry],
    waiting: impl Iterator<Item = Window>,
) -> Turn {
    let (mut turn, mut all) = (Turn::default(), held.to_vec());
    let mut waiting: Vec<Window> = waiting.filter(|w| w.from <= now).collect();
    waiting.sort_by_key(|w| (!w.forced, w.id.asked, w.length, w.id));
    for window in waiting {
        let entry = granted(now, &window);
        all.push(entry);
        let free = window.forced || plan.fits(now, &all);
        let before = turn.first.is_none_or(|(_, at)| entry.end + timing.bound <= at);
        if all.len() <= crate::MOST && free && (before || window.forced) {
            turn.granted.push(entry);
            continue;
        }
        all.pop();
        if turn.first.is_none() {
            turn.first = opens(now, timing, plan, &all, entry).map(|at| (window.id, at));
        }
    }
    turn
}

/// A window as it would be granted now.
pub fn granted(now: WholeMillis, window: &Window) -> Entry {
    let end = window.end.unwrap_or(now + window.length);
    Entry { id: window.id, what: window.what, end, forced: window.forced }
}

/// When a window fits, if all that are granted end on time; nothing where it is not they that keep it back.
fn opens(
    now: WholeMillis,
    timing: &Timing,
    plan: &CapacityPlan,
    held: &[Entry],
    entry: Entry,
) -> Option<WholeMillis> {
    let mut held = held.to_vec();
    held.sort_by_key(|e| std::cmp::Reverse(e.end));
    while let Some(ends) = held.pop() {
        held.push(entry);
        let fits = plan.fits(now, &held);
        held.pop();
        if fits {
            return Some(ends.end + timing.bound);
        }
    }
    None
}
