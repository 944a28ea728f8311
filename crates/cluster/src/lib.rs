//! Protocols by which the relays of a cluster share state other than their affinity tables. Their cost per
//! connection does not grow with the number of relays.
//!
//! [`location_gossip`] replicates the locations of clients. [`load_aggregation`] sums the load of each
//! endpoint over all relays, and [`rebalance`] finds the endpoints that carry too much of it.
//! [`concurrency_limit`] bounds the set-ups of connections that a relay has in flight while a dependency
//! shared by all endpoints is slow, and [`overload_gossip`] warns other relays of such a fault.
//! [`poll_scheduler`] decides when a relay polls discovery for the endpoint list, [`list_lease`] for how long
//! a relay may use that list, and [`drain_gossip`] passes changes of the list on to relays that discovery
//! cannot answer in time.
//!
//! Nothing in this crate does I/O: time is an argument, and messages to send are returned. The load balancer
//! decides which endpoint a connection goes to. `docs/tier.md` describes the alternatives that were
//! considered.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod concurrency_limit;
pub mod drain_gossip;
pub mod list_lease;
pub mod load_aggregation;
pub mod location_gossip;
pub mod overload_gossip;
pub mod poll_scheduler;
pub mod rebalance;

pub use sandgw_affinity::position::ClusterPosition;
pub use sandgw_units::Millis;
