//! Estimates a tenant's usage of the whole cluster, with bounds, from local counts and other relays' reports.
//!
//! This module is pure arithmetic: it owns no state and reads no clock.

use sandgw_units::Millis;

use crate::cluster_position::ClusterPosition;
use crate::report_schedule::{COLLECTOR_INTERVAL_MS, FULL_MESH_INTERVAL_MS};
use crate::tenants::Tenant;
use crate::usage_gossip::Usage;

const MS_PER_S: Millis = 1000.0;
/// A part of the cluster that is larger than this fraction may use the whole quota: two parts of a partition
/// cannot both be that large.
const MAJORITY: f64 = 0.5;
/// Lowest connection limit of a relay, however few other relays report to it.
const MIN_LIMIT: f64 = 1.0;
/// Standard deviations allowed for in the changes since the other relays reported.
const CHANGE_SIGMAS: f64 = 2.0;
/// Standard deviations allowed for in the usage of relays that have not reported.
const UNREPORTED_SIGMAS: f64 = 3.0;
/// In a cluster with a collector, the mean number of report intervals until all relays know of a connection.
const COLLECTOR_PROPAGATION_INTERVALS: f64 = 1.5;

/// A tenant's usage, as far as this relay knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageView {
    /// Open connections of this relay, pending ones included.
    pub local: f64,
    /// Open connections of the cluster: this relay's, and the other relays' as reported.
    pub connections: f64,
    /// The part of `connections` that may have ended with their relay, because that relay's report is
    /// overdue.
    pub overdue: f64,
    /// `connections` with the expected growth since the other relays reported. Admission without a grant
    /// compares this number to the limit.
    pub expected: f64,
    /// Lower bound of the true number of connections.
    pub min: f64,
    /// Upper bound of the true number of connections.
    pub max: f64,
    /// Connection limit for the part of the cluster that reports; infinite if the tenant has no limit.
    pub limit: f64,
    /// Whether `limit` is less than the whole quota, because too few relays report.
    pub is_limit_partial: bool,
    /// Arrivals per second at this relay.
    pub local_per_s: f64,
    /// Arrivals per second in the whole cluster.
    pub per_s: f64,
    /// Limit of arrivals per second for the part of the cluster that reports; `None` for no limit.
    pub per_s_limit: Option<f64>,
    /// Number of other relays whose usage is included.
    pub reporters: f64,
    /// Mean age of the other relays' reports, in milliseconds.
    pub age_ms: Millis,
    /// Number of relays in the cluster.
    pub relay_count: f64,
    /// Time until all other relays know of a new connection of this relay, in milliseconds.
    pub propagation_ms: Millis,
}

/// A tenant's usage summed over the other relays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RemoteUsage {
    pub usage: Usage,
    /// Mean age of the reports, in milliseconds.
    pub age_ms: Millis,
    /// Number of relays whose usage is included.
    pub reporters: f64,
    /// The part of the connections in `usage` that may have ended with their relay, because that relay's
    /// report is overdue.
    pub overdue: f64,
}

impl UsageView {
    /// Connections that the limit still allows; overdue connections are not counted.
    pub(crate) fn remaining(&self) -> f64 {
        self.limit - self.connections + self.overdue
    }

    /// Estimates the usage of one tenant; without a tenant there are no limits.
    pub(crate) fn estimate(
        local: Usage,
        remote: RemoteUsage,
        tenant: Option<&Tenant>,
        position: ClusterPosition,
    ) -> UsageView {
        let RemoteUsage { usage: others, age_ms, reporters, overdue } = remote;
        let relay_count = f64::from(position.relay_count.max(1));
        let per_s_limit = tenant.and_then(|tenant| tenant.per_s);
        let limit = tenant.and_then(|tenant| tenant.connections).unwrap_or(f64::INFINITY);
        let fraction = quota_fraction(reporters, relay_count);
        let connections = local.connections + others.connections;
        let growth = others.per_s.min(per_s_limit.unwrap_or(f64::INFINITY)) * age_ms / MS_PER_S;
        let change = max_change(others.per_s, age_ms);
        UsageView {
            local: local.connections,
            connections,
            overdue,
            expected: connections + growth,
            min: local.connections + (others.connections - change).max(0.0),
            max: connections + change + max_unreported(connections, reporters, relay_count, limit),
            limit: (limit * fraction).max(MIN_LIMIT),
            is_limit_partial: fraction < 1.0,
            local_per_s: local.per_s,
            per_s: local.per_s + others.per_s,
            per_s_limit: per_s_limit.map(|limit| limit * fraction),
            reporters,
            age_ms,
            relay_count,
            propagation_ms: propagation_ms(position),
        }
    }
}

/// The fraction of a quota that this relay and the relays whose usage it knows may use together.
fn quota_fraction(reporters: f64, relay_count: f64) -> f64 {
    let fraction = (reporters + 1.0) / relay_count;
    if fraction > MAJORITY { 1.0 } else { fraction }
}

/// How much the other relays' connections may have changed since their reports. The reports in a collector's
/// sums are older by up to one interval, which is added to the age.
fn max_change(per_s: f64, age_ms: Millis) -> f64 {
    let change = per_s * (age_ms + COLLECTOR_INTERVAL_MS) / MS_PER_S;
    change + CHANGE_SIGMAS * change.sqrt()
}

/// Upper bound of the connections of relays without a report. Each is assumed to have the mean of the other
/// relays or an equal part of the limit, whichever is greater.
fn max_unreported(connections: f64, reporters: f64, relay_count: f64, limit: f64) -> f64 {
    let mean = connections / (reporters + 1.0);
    let limit_per_relay = if limit.is_finite() { limit / relay_count } else { 0.0 };
    let unreported = (relay_count - 1.0 - reporters).max(0.0) * mean.max(limit_per_relay);
    let variance = unreported * (1.0 + unreported / (connections + 1.0));
    unreported + UNREPORTED_SIGMAS * variance.sqrt()
}

fn propagation_ms(position: ClusterPosition) -> Millis {
    if position.is_full_mesh() {
        FULL_MESH_INTERVAL_MS
    } else {
        COLLECTOR_PROPAGATION_INTERVALS * COLLECTOR_INTERVAL_MS
    }
}
