//! What the relays of a cluster exchange beside their affinity tables, at a cost for each connection that
//! does not grow with the number of relays.
//!
//! [`location_gossip`] replicates where clients' connections are placed; [`load_aggregation`] sums the load
//! of each endpoint over all relays, and [`rebalance`] finds the endpoints that carry too much of it;
//! [`concurrency_limit`] bounds the set-ups that a relay has in flight while something shared is slow, and
//! [`overload_gossip`] warns other relays of that; [`poll_scheduler`] says when a relay polls discovery for
//! the list, and [`drain_gossip`] passes changes of it on to relays that discovery can't answer in time.
//!
//! Nothing here does I/O: time is an argument, messages are returned. Which endpoint a connection goes to
//! is decided by the load balancer. `docs/tier.md` describes the alternatives that were weighed.

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
