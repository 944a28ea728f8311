//! Maintenance windows over zones: who may drain what, from when until when, so that what is left is never less
//! than an agreed floor.
//!
//! Relays keep nothing on a disk and tell each other datagrams of 256 bytes that may be lost, late, doubled and out
//! of order. A few of them, the voters, keep the ledger of windows granted; one of these, chosen by a majority, writes
//! it, and a window is granted for a lease once a majority has the ledger that names it ([`replicated_ledger`]). Who has started
//! abstains for one lease, so that what it has forgotten has lapsed everywhere. [`plan`] says what the list of
//! endpoints can spare, [`queue`] whose turn it is, [`codec`] how it is told, [`call`] how operators ask, [`liveness`]
//! who is alive; [`MaintenanceService`] is all of it for one relay. Nothing here does I/O or reads a clock, and nothing is drained
//! here: a window is leave to drain. `docs/maintenance.md` names the ways weighed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod call;
pub mod codec;
mod errors;
pub mod liveness;
pub mod plan;
pub mod queue;
pub mod replicated_ledger;
mod service;
mod window;

pub use errors::Refused;
pub use service::{Event, MaintenanceService, Row};
pub use window::{CapacityShare, Entry, Scope, Tag, Window, WindowId, tag};

pub use sandgw_units::WholeMillis;

/// Most windows at once: so many fit into one datagram with all that goes with them.
pub const MOST: usize = 5;
/// Most windows of one relay that are asked for or granted.
pub const MOST_OWN: usize = 16;
/// Most windows that wait at a voter.
pub const MOST_WAITING: usize = 64;

/// How long things last in the tier. The same at every relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// A window is granted for so long at a time, and renewed while it lasts.
    pub lease: WholeMillis,
    /// Two relays' clocks differ by no more than this.
    pub bound: WholeMillis,
    /// A voter takes no part for so long after it has started. Anything under a lease is unsafe.
    pub abstain: WholeMillis,
    /// An office not heard of for so long may be claimed by another voter.
    pub patience: WholeMillis,
    /// What each further voter waits beyond that, so that they do not claim together.
    pub step: WholeMillis,
    /// The ledger is written again after this long, so that what it grants does not lapse.
    pub renew: WholeMillis,
    /// Votes are waited for so long once there is a majority.
    pub gather: WholeMillis,
    /// What is not answered is sent again after this long.
    pub again: WholeMillis,
    /// What is still not answered after this long is given up.
    pub give_up: WholeMillis,
    /// An office grants nothing new for so long: who waits is to be heard first.
    pub settle: WholeMillis,
    /// The list of endpoints is too old to grant by after this long.
    pub list: WholeMillis,
}

impl Timing {
    /// The usual spans for a lease and a bound on clocks, both in milliseconds.
    ///
    /// ```
    /// let timing = sandgw_maintenance::Timing::of(30_000, 1_000);
    /// assert_eq!((timing.abstain, timing.again), (30_000, 2_000));
    /// ```
    pub fn of(lease: WholeMillis, bound: WholeMillis) -> Timing {
        let part = |n: WholeMillis| (lease / n).max(1);
        Timing {
            lease,
            bound,
            abstain: lease,
            patience: part(4),
            step: part(20),
            renew: part(3),
            gather: part(60),
            again: part(15),
            give_up: part(3),
            settle: part(10),
            list: 15_000.max(lease / 2),
        }
    }
}
