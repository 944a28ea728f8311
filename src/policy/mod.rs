//! Every decision of the relay: a state machine without I/O that is handed events and gives actions.

pub mod api;
pub(crate) mod cluster_state;
pub(crate) mod hashing;
pub mod learned_state;
pub(crate) mod load_balancer;
pub(crate) mod scarcity;
pub(crate) mod state;

pub use load_balancer::LoadBalancer;
