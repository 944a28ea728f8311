//! Translates between the simulator's protocol and the load balancer's interface. It makes no decisions.
//!
//! Each line is one JSON array. A batch opens with `ROUND`, holds one event on each line and closes with
//! `GO`; the reply holds one action on each line and closes with `FINISHED`. The names of the simulator's
//! protocol are used in this module only.

mod adapter;
mod codec;
mod errors;
mod fields;
mod settings;
mod settings_errors;

pub use adapter::Adapter;
pub use errors::{WireError, WireFault};
pub use settings_errors::{SettingError, SettingFault};

pub(crate) use settings::{class_names, read_settings, tenant_names};
