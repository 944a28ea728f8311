//! Settings of the load balancer.

use sandgw_affinity::Limits;
use sandgw_quota::tenants::Tenants;
use sandgw_units::Millis;

/// The endpoints within which repeats of a keyed request are recognized and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// Effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Safe,
    /// Repeats are dropped for a limited time by endpoints that share which keys they have seen.
    Keyed {
        /// The endpoints that share the keys that they have seen.
        scope: DeduplicationScope,
        /// How long these endpoints remember a key, in ms from the first attempt that may have had an effect.
        window: Millis,
    },
    /// A repeat may take effect a second time.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Effect of repeating a request of this class.
    pub idempotency: Idempotency,
    /// Target for the time until the connection is established, in ms.
    pub latency_objective: Millis,
    /// Target for the time that a message takes on an established connection, in ms; `None` if the class has
    /// no such target.
    pub message_latency_objective: Option<Millis>,
    /// Priority of a request of this class relative to those of other classes.
    pub priority_weight: f64,
}

/// How the endpoint list reaches this relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery pushes changes.
    Pushed,
    /// Discovery sends the list only after [`Action::Subscribe`](super::Action::Subscribe).
    OnRequest,
}

/// Limit on the attempts that one relay makes beyond the first attempt of each request, within any window of
/// a given length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Length of the window, in ms.
    pub window: Millis,
    /// Retries that are allowed in a window regardless of the number of requests.
    pub min_retries: f64,
    /// Additional retries that are allowed per request that arrived in the window.
    pub retry_ratio: f64,
}

/// Settings of the load balancer. They are passed in at the start and replaced by
/// [`Event::Settings`](super::Event::Settings).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; [`ClassId`](super::ClassId) is the position in this list.
    pub classes: Vec<Class>,
    /// How the endpoint list reaches this relay.
    pub discovery: Discovery,
    /// Number of relays in the cluster, this one included.
    pub relay_count: u32,
    /// Index of this relay among the relays of the cluster, from 0.
    pub local_index: u32,
    /// Whether relays may send messages to each other.
    pub peer_messages: bool,
    /// Whether the relays pass packets through: when the set of relays changes, the packets of established
    /// connections arrive at a different relay.
    pub packet_passthrough: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Time after which a connection that is not established counts as failed, in ms.
    pub connect_timeout: Millis,
    /// Resolution of this relay's clock: the smallest difference between two readings, in ms.
    pub resolution: Millis,
    /// The longest retry hint that clients respect, in ms; `None` if hints do not reach the clients.
    pub max_retry_after: Option<Millis>,
    /// Time after which a list without a subscription counts as stale, in ms.
    pub list_max_age: Millis,
    /// Minimum fraction of its capacity that an endpoint has when it starts.
    pub initial_capacity_fraction: f64,
    /// Time after which an endpoint is warm at the latest, in ms.
    pub warm_up_time: Millis,
    /// Load, as a multiple of its present capacity, above which an endpoint that is warming up fails.
    pub overload_multiple: f64,
    /// Limit on attempts beyond the first of each request; `None` if retries are not limited.
    pub retry_budget: Option<RetryBudget>,
    /// Size limits of the tables of clients and groups. For the relays and their numbers, `relay_count` and
    /// `local_index` above apply.
    pub affinity_limits: Limits,
    /// Tenants' quotas, and whether they are enforced.
    pub quotas: QuotaSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            discovery: Discovery::Pushed,
            relay_count: 1,
            local_index: 0,
            peer_messages: false,
            packet_passthrough: false,
            max_attempts: 3,
            connect_timeout: 250.0,
            resolution: 1.0,
            max_retry_after: None,
            list_max_age: 10_000.0,
            initial_capacity_fraction: 0.1,
            warm_up_time: 20_000.0,
            overload_multiple: 2.0,
            retry_budget: None,
            affinity_limits: Limits::default(),
            quotas: QuotaSettings::default(),
        }
    }
}

/// Whether quotas are enforced if no operator's configuration file says so. Without enforcement, usage is
/// neither counted nor reported.
const ENFORCED_BY_DEFAULT: bool = false;

/// Tenants' quotas.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// The tenants and their quotas.
    pub tenants: Tenants,
    /// Value of a connection over its tenant's quota, as a fraction of the value of a connection within the
    /// quota.
    pub over_quota_weight: f64,
    /// Whether connections of tenants over their quota are rejected first when capacity is scarce.
    pub enforce: bool,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings { tenants: Tenants::default(), over_quota_weight: 0.0, enforce: ENFORCED_BY_DEFAULT }
    }
}

impl QuotaSettings {
    /// Whether any tenant has a quota for its connections or its connection rate.
    pub fn has_limits(&self) -> bool {
        let mut tenants = (0..self.tenants.len()).filter_map(|position| self.tenants.get(position));
        tenants.any(|tenant| tenant.connections.is_some() || tenant.per_s.is_some())
    }
}
