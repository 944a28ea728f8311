//! Translation between the simulator's wire and the load balancer's interface; no decisions.
//!
//! One JSON array a line: a batch opens with `ROUND`, holds one event a line and closes with `GO`; the
//! reply holds one action a line and closes with `FINISHED`. The wire's field names meet ours here and
//! nowhere else.

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
