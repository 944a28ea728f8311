//! Events for the log and for operators.

use std::fmt;

use crate::plan::in_list_units;
use crate::replicated_ledger::WindowStatus;
use crate::{WholeMillis, WindowId};

/// An event to be logged. The messages of some alarms are also part of replies to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The status of a window that was requested at this relay has changed.
    StatusChanged {
        /// The window.
        id: WindowId,
        /// The window's new status.
        status: WindowStatus,
    },
    /// A window has ended, but the endpoint list shows that its scope is still draining.
    DrainsPastEnd(WindowId),
    /// Endpoints of a zone are draining without a window.
    UnplannedDrain {
        /// The zone's name.
        zone: String,
        /// The capacity of these endpoints, in thousandths of the endpoint list's unit.
        capacity: u64,
    },
    /// The remaining capacity is below a capacity floor.
    BelowFloor {
        /// The remaining capacity in total, in thousandths of the endpoint list's unit.
        remaining: u64,
    },
    /// This relay has become the leader.
    BecameLeader,
    /// This relay is no longer the leader.
    LostLeadership,
}

impl Event {
    /// Whether the event needs an operator's attention.
    pub fn is_alarm(&self) -> bool {
        match self {
            Event::StatusChanged { status, .. } => {
                matches!(status, WindowStatus::Lapsed { .. } | WindowStatus::Refused(_))
            }
            Event::DrainsPastEnd(_) | Event::UnplannedDrain { .. } | Event::BelowFloor { .. } => true,
            Event::BecameLeader | Event::LostLeadership => false,
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::StatusChanged { id, status } => write_status(f, *id, *status),
            Event::DrainsPastEnd(id) => write!(
                f,
                "window {id} has ended, and it still drains: end the drain, or ask for a new window"
            ),
            Event::UnplannedDrain { zone, capacity } => {
                write!(f, "{} of hall {zone} drain and nobody has asked for it", in_list_units(*capacity))
            }
            Event::BelowFloor { remaining } => write!(
                f,
                "{} are left, less than the floor: end what windows can be ended",
                in_list_units(*remaining)
            ),
            Event::BecameLeader => f.write_str("this relay grants the windows now"),
            Event::LostLeadership => f.write_str("this relay grants no windows any more"),
        }
    }
}

fn write_status(f: &mut fmt::Formatter<'_>, id: WindowId, status: WindowStatus) -> fmt::Result {
    match status {
        WindowStatus::Lapsed { .. } => {
            write!(f, "window {id} has lapsed: end its drain; it is asked for again")
        }
        WindowStatus::Refused(reason) => write!(f, "window {id} refused: {reason}; {}", reason.help()),
        WindowStatus::Granted { end, .. } => {
            write!(f, "window {id} granted, ends at {}", whole_seconds(end))
        }
        WindowStatus::Ended => write!(f, "window {id} has ended"),
        WindowStatus::Closed => write!(f, "window {id} is closed"),
        WindowStatus::Waits { .. } | WindowStatus::Requested => write!(f, "window {id} waits"),
    }
}

/// Converts milliseconds to whole seconds, rounded down.
pub(crate) fn whole_seconds(time: WholeMillis) -> WholeMillis {
    time / 1000
}
