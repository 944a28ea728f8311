//! Maintenance windows: permissions to drain a zone, an endpoint or a relay for a time, granted so
//! that the capacity that remains never falls below configured floors.
//!
//! Relays store nothing on disk and exchange datagrams of at most 256 bytes that may be lost,
//! delayed, duplicated and reordered. A few relays, the voters, keep the ledger of granted windows;
//! one of them, elected by a majority, writes it. A window is granted for a lease once a majority
//! has acknowledged the ledger that names it ([`replicated_ledger`]). A voter that has restarted
//! abstains for one lease, so that whatever it has forgotten has expired everywhere.
//!
//! [`plan`] computes what capacity remains by the list of endpoints, [`queue`] selects the waiting
//! windows that are granted next, [`codec`] encodes messages as datagrams, [`call`] parses
//! operators' calls, and [`liveness`] tracks which relays are alive. [`MaintenanceService`] joins
//! all of it for one relay. Nothing here does I/O, reads a clock or drains anything. All times are
//! in milliseconds of a relay's clock. `docs/maintenance.md` compares the designs that were
//! considered.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod call;
pub mod codec;
mod errors;
mod event;
pub mod liveness;
pub mod plan;
pub mod queue;
pub mod replicated_ledger;
mod service;
mod timing;
mod window;

pub use errors::{ParseWindowIdError, RefusalReason};
pub use event::Event;
pub use service::{MaintenanceService, ServiceConfig, WindowRow};
pub use timing::Timing;
pub use window::{CapacityShare, GrantedWindow, Scope, Tag, Window, WindowId, tag};

pub use sandgw_units::WholeMillis;

/// The maximum number of windows granted at once: so many fit into one datagram.
pub const MAX_GRANTED_WINDOWS: usize = 5;
/// The maximum number of windows of one relay that are requested or granted.
pub const MAX_LOCAL_WINDOWS: usize = 16;
/// The maximum number of windows that wait at a voter.
pub const MAX_WAITING_WINDOWS: usize = 64;
