//! Settings of the load balancer.

use sandgw_affinity::Limits;
use sandgw_quota::tenants::Tenants;
use sandgw_units::Millis;

/// Which endpoints drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Repeating is harmless.
    Safe,
    /// Repeats are dropped within a scope of endpoints for a while.
    Keyed {
        /// The endpoints that share what they have seen.
        scope: DeduplicationScope,
        /// How long they remember, in ms from the first attempt that may have had an effect.
        window: Millis,
    },
    /// A repeat may act twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its effect when repeated.
    pub idempotency: Idempotency,
    /// Wanted set-up time, in ms.
    pub latency_objective: Millis,
    /// Wanted time of a message on an established connection, in ms.
    pub message_latency_objective: Option<Millis>,
    /// Weight of one request beside those of other classes.
    pub priority_weight: f64,
}

/// How the list of endpoints reaches this relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Pushed,
    /// Only after [`Action::Subscribe`](super::Action::Subscribe).
    OnRequest,
}

/// Limit on one relay's attempts beyond each request's first, in any window of a length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Length of the window, in ms.
    pub window: Millis,
    /// Attempts allowed however few requests came.
    pub min_retries: f64,
    /// Attempts allowed besides for each request taken in the window.
    pub retry_ratio: f64,
}

/// Settings, given at the start and anew in [`Event::Settings`](super::Event::Settings).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes by position.
    pub classes: Vec<Class>,
    /// How the list of endpoints arrives.
    pub discovery: Discovery,
    /// Relays that serve the same endpoints, this one included.
    pub relay_count: u32,
    /// Number of this one among them, from 0.
    pub local_index: u32,
    /// Whether relays may send each other messages.
    pub peer_messages: bool,
    /// Packets pass through: when the set of relays changes, established connections arrive at another one.
    pub packet_passthrough: bool,
    /// Attempts of one request at the most.
    pub max_attempts: u32,
    /// A connection that is not established after this long has failed, in ms.
    pub connect_timeout: Millis,
    /// Least spacing of this relay's clock readings, in ms.
    pub resolution: Millis,
    /// The longest retry hint that a client heeds, in ms; `None` where hints do not reach it.
    pub max_retry_after: Option<Millis>,
    /// A list that is not subscribed to counts as stale after this long, in ms.
    pub list_max_age: Millis,
    /// Share of its capacity that an endpoint has at the least when it starts.
    pub cold_capacity_fraction: f64,
    /// An endpoint is warm after this long at the latest, in ms.
    pub warm_up_time: Millis,
    /// An endpoint that warms up fails when it is sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// Limit on attempts beyond the first; `None` where none is stated.
    pub retry_budget: Option<RetryBudget>,
    /// What the tables of clients and groups may take up; relays and their numbers are those above.
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
            cold_capacity_fraction: 0.1,
            warm_up_time: 20_000.0,
            overload_multiple: 2.0,
            retry_budget: None,
            affinity_limits: Limits::default(),
            quotas: QuotaSettings::default(),
        }
    }
}

/// Whether quotas are enforced where no file of an operator says so. Nothing is counted or reported where
/// they are not.
const ENFORCED_BY_DEFAULT: bool = false;

/// Tenants' quotas.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// The tenants, with their quotas.
    pub tenants: Tenants,
    /// What a connection beyond its tenant's quota is worth, as a part of what it is worth within.
    pub over_quota_weight: f64,
    /// Whether a tenant over its quota is rejected first where places are short.
    pub enforce: bool,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings { tenants: Tenants::default(), over_quota_weight: 0.0, enforce: ENFORCED_BY_DEFAULT }
    }
}

impl QuotaSettings {
    /// Whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        let mut tenants = (0..self.tenants.len()).filter_map(|position| self.tenants.get(position));
        tenants.any(|tenant| tenant.connections.is_some() || tenant.per_s.is_some())
    }
}
