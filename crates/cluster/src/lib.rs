//! What the relays of one tier tell each other beside their tables, so that what it costs a connection is the same in
//! a tier of ten and of three hundred.
//!
//! [`location_gossip`] tells where clients' connections stand; [`load_aggregation`] is what they hold together at each
//! endpoint, and [`rebalance`] which of them carry too much; [`concurrency_limit`] is how many set-ups a relay may have out while
//! something shared is slow; [`poll_scheduler`] is when it asks discovery for the list, and [`drain_gossip`] what it tells
//! of that to those whom discovery can't answer in time. All is free of I/O, with the time
//! passed in; which endpoint a connection goes to is decided by the load balancer. `docs/tier.md` names the ways weighed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod concurrency_limit;
pub mod drain_gossip;
pub mod load_aggregation;
pub mod location_gossip;
pub mod overload_gossip;
pub mod poll_scheduler;
pub mod rebalance;

pub use sandgw_units::Millis;
