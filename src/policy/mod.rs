//! Every decision of the relay. Nothing here does I/O or reads a clock: time is an argument.
//!
//! [`api`] has the settings, events and actions; [`LoadBalancer`] hands each
//! event to the rule that takes it. Each rule is a module that opens with its inputs, units and reason:
//!
//! | question | module |
//! |---|---|
//! | Why was this request rejected, held or answered late? | `admission`; whether a retry was allowed: `retry` |
//! | Why did this endpoint get this request? | `selection`, over the order of `group_assignment` and `maglev` |
//! | Why did this endpoint get nothing? | `selection` lists the filters in order |
//! | Why was this client asked to reconnect? | `drain` (its endpoint drains), `overload` (its endpoint is overloaded), `rebalance` (its endpoint carries too much of the tier's load) |
//! | What follows from an attempt's end, or from a slow message? | `attempt_outcome`, `overload` |
//!
//! Loads are counted in *mean connections*: 1.0 is the mean of the work that connections have reported so
//! far. What was counted before keeps its value when the mean moves.
//!
//! State: `placements` over `endpoint_table` and `request_table`; `estimates` and `group_sample` are what
//! is measured; `cluster_state` is what relays tell each other; `learned_state` is what a process hands to
//! the next; `scarcity` is what the core asks about quotas.

mod admission;
pub mod api;
mod attempt_outcome;
pub(crate) mod cluster_state;
mod drain;
pub(crate) mod endpoint_table;
mod estimates;
mod group_assignment;
pub(crate) mod group_sample;
pub(crate) mod hashing;
pub mod learned_state;
pub(crate) mod load_balancer;
mod load_limit;
pub(crate) mod maglev;
mod outlier;
mod overload;
mod placements;
mod rebalance;
pub(crate) mod request_table;
mod retry;
mod scarcity;
mod selection;
mod slow_start;

pub use load_balancer::LoadBalancer;

#[cfg(test)]
pub(crate) mod tests;
