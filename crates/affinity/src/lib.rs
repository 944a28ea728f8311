//! A relay's tables of which endpoint holds each client's connection and which endpoints hold each group.
//!
//! [`Affinity`] owns both tables within a fixed number of bytes. Its inputs are placements, the endpoint
//! list, cluster messages of other relays ([`replication`]) and stored entries ([`Record`]), each with the
//! time in milliseconds. Its outputs are the holders that are ready now, the groups' estimated sizes, and the
//! changes to be stored. The crate does no I/O and does not decide which endpoint a connection goes to. It
//! never returns an endpoint that the endpoint list does not name as ready: entries refer to incarnations,
//! see [`endpoint_registry`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod affinity;
mod clock;
pub mod codec;
mod decay;
pub mod endpoint_registry;
mod group;
mod limits;
pub mod outbox;
pub mod position;
mod record;
pub mod replication;
mod statistics;
pub mod table;

pub use affinity::Affinity;
pub use group::MAX_HOLDERS;
pub use limits::Limits;
pub use record::{Changes, Record, RestoreSummary};
pub use sandgw_units::Millis;
pub use statistics::{GroupSize, HolderLoad, LoadEstimate, Statistics, TableBytes};
