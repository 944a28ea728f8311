//! What a relay remembers of where clients' connections are placed and which endpoints hold which groups.
//!
//! [`Affinity`] owns both tables within a fixed number of bytes. Its inputs are placements, the list of
//! endpoints, other relays' messages ([`replication`]) and stored entries ([`Record`]), each with the time
//! in milliseconds; its outputs are holders that are ready now, the groups' estimated sizes, and the
//! changes to be stored. It never does I/O, never decides where a connection goes, and never names an
//! endpoint that the list does not name as ready: entries point at incarnations, see [`endpoint_registry`].

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
