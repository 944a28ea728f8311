//! Maintenance windows: permissions to drain a zone, an endpoint or a relay for a limited time. Windows are
//! granted so that the remaining capacity never falls below the configured capacity floors.
//!
//! Relays store nothing on disk and exchange datagrams of at most 256 bytes that may be lost,
//! delayed, duplicated and reordered. A few relays, the voters, replicate the ledger of granted windows;
//! one of them, the leader, is elected by a majority and writes the ledger. A window is granted for one lease
//! once a majority of the voters has acknowledged a ledger that contains the window ([`replicated_ledger`]).
//! A voter that has restarted abstains for one lease: by then, every lease that it acknowledged before the
//! restart and no longer knows of has expired.
//!
//! [`plan`] computes the remaining capacity from the endpoint list, [`queue`] selects the waiting windows
//! that are granted next, [`codec`] encodes messages as datagrams, [`call`] parses operators' calls, and
//! [`liveness`] tracks which relays are alive. [`MaintenanceService`] combines these modules for one relay.
//! The crate does no I/O, reads no clock and drains nothing itself. All times are in milliseconds of a
//! relay's clock. `docs/maintenance.md` compares the designs that were considered.

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

/// The maximum number of windows granted at once: no more entries of the ledger fit into one datagram.
pub const MAX_GRANTED_WINDOWS: usize = 5;
/// The maximum number of windows requested at one relay that are not over yet.
pub const MAX_LOCAL_WINDOWS: usize = 16;
/// The maximum number of waiting windows that one voter keeps.
pub const MAX_WAITING_WINDOWS: usize = 64;
