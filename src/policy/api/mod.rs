//! The load balancer's interface: settings, events and actions.
//!
//! Times are milliseconds on a monotonic clock of arbitrary origin. Ids are opaque: the load balancer only
//! compares and hashes them.

mod actions;
mod events;
mod ids;
mod list;
mod messages;
mod request;
mod settings;

pub use sandgw_affinity::codec::ClusterMessage;
pub use sandgw_quota::usage_gossip::UsageReport;
pub use sandgw_units::Millis;

pub use actions::{Action, Actions};
pub use events::{Event, Measurement};
pub use ids::{AttemptId, ClassId, EndpointId, Key, RequestId, Zone};
pub use list::{EndpointEntry, EndpointState, ListKind};
pub use messages::{GroupArrivals, GroupSizes, PeerMessage};
pub use request::{Outcome, Request};
pub use settings::{Class, DeduplicationScope, Discovery, Idempotency, QuotaSettings, RetryBudget, Settings};
