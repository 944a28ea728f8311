//! Tests of the decisions, a file a behaviour.

mod drain;
mod group_assignment;
mod invariants;
mod list;
mod load_limit;
mod maglev;
mod module_size;
mod placement;
mod rebalance;
mod retry;
mod slow_start;
pub(crate) mod world;
