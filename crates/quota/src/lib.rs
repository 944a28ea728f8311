//! Quotas of tenants over a whole cluster of relays: what each tenant uses, and whose connections are
//! rejected first where capacity is scarce.
//!
//! - [`tenants`] names the tenants and their quotas.
//! - [`usage_gossip`] defines the reports that relays send each other, in datagrams of at most 256 bytes.
//! - [`usage_table`] combines this relay's own counts, which are exact, with the reports of the other relays,
//!   whose age is known.
//! - [`usage_view`] estimates a tenant's usage, with bounds.
//! - [`policy`] decides which connections are rejected.
//! - `grant_client` and `grant_ledger`: near a tenant's limit one coordinator grants connections to the
//!   relays, since each relay's own guess at the others' part of a burst would be wrong.
//! - [`QuotaManager`] combines these modules for the relay.
//!
//! The crate does no I/O; time is an argument, in milliseconds. The crate never closes an established
//! connection. `docs/shares.md` compares the designs that were considered.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod aggregate;
mod cluster_position;
mod grant_client;
mod grant_ledger;
mod manager;
mod peer_reports;
pub mod policy;
pub mod rate;
mod report_schedule;
pub mod tenants;
pub mod usage_gossip;
pub mod usage_table;
pub mod usage_view;

pub use cluster_position::{ClusterPosition, FULL_MESH_RELAYS};
pub use grant_client::Ticket;
pub use manager::{Arrival, DelayedDecision, QuotaManager, Rejections};
pub use sandgw_units::Millis;
