//! The load balancer: every decision that the relay makes. No code in this module does I/O or reads a clock;
//! the current time is passed in as an argument.
//!
//! [`api`] defines the settings, events and actions. [`LoadBalancer`] passes each event to the module that
//! handles it. Each of these modules opens with its inputs, its outputs and the reason for its rules:
//!
//! | question | module |
//! |---|---|
//! | Why was this request rejected, held or answered late? | `admission`; whether a retry was allowed: `retry` |
//! | Why did this endpoint get this request? | `selection`, which follows the candidate order of `group_assignment` and `maglev` |
//! | Why did this endpoint get no requests? | `selection` lists the filters in order |
//! | Why was this client asked to reconnect? | `drain` (its endpoint is draining), `overload` (its endpoint is overloaded), `rebalance` (its endpoint carries too much of the cluster's load) |
//! | What does the end of an attempt, or a slow message, change? | `attempt_outcome`, `overload` |
//!
//! Loads are counted in *mean connections*: 1.0 is the mean of the work that connections have reported so
//! far. A load that has already been counted keeps its value when the mean changes.
//!
//! State: `placements` combines `endpoint_table` and `request_table`; `estimates` and `group_sample` hold
//! measurements; `cluster_state` holds what relays exchange; `learned_state` is what a process hands over to
//! its successor; `scarcity` answers the core's question whether capacity is scarce, for enforcing quotas.

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
