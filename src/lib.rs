#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod discovery;
pub mod handover;
pub mod help;
pub mod listener;
pub mod logger;
pub mod net;
pub mod peers;
pub mod policy;
pub mod relay;
pub mod schema_status;
pub mod simulator;
pub mod snmp;

pub use policy::LoadBalancer;

#[cfg(test)]
mod properties;
#[cfg(test)]
mod tests;
