//! Other relays' reports of their own usage, and their running sums by tenant.
//!
//! A report counts until its relay sends another or has been silent for [`PEER_TIMEOUT_MS`]. A report of a
//! later incarnation replaces all reports of the earlier incarnation. Duplicate and overtaken reports are
//! recognized by their sequence number.

use std::collections::BTreeMap;

use sandgw_units::Millis;

use crate::tenants::{MAX_TENANTS, TenantTag};
use crate::usage_gossip::{MAX_ROWS, Usage, UsageRow};

/// A relay that sends no report for this time no longer counts: by then its clients have reconnected to other
/// relays.
pub(crate) const PEER_TIMEOUT_MS: Millis = 2400.0;
/// A relay's next report is overdue after this number of report intervals.
const OVERDUE_INTERVALS: f64 = 1.25;
/// A sum that is below both of these values is a rounding error and is removed.
const MIN_SUM_CONNECTIONS: f64 = 0.5;
const MIN_SUM_PER_S: f64 = 0.05;

/// Identifies a report of one relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReportId {
    pub incarnation: u64,
    pub sequence: u32,
}

impl ReportId {
    /// Whether this report was sent after the other report.
    pub(crate) fn is_after(self, other: ReportId) -> bool {
        self.incarnation > other.incarnation
            || self.incarnation == other.incarnation && is_later(self.sequence, other.sequence)
    }
}

/// Whether a sequence number is later than another; the numbers wrap around.
pub(crate) fn is_later(sequence: u32, than: u32) -> bool {
    (1..1 << 31).contains(&sequence.wrapping_sub(than))
}

/// The usage that one relay last reported, by tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReport {
    pub id: ReportId,
    received_at: Millis,
    pub rows: BTreeMap<TenantTag, Usage>,
}

/// How many relays have reported recently, and the mean age of their reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Coverage {
    pub reporters: f64,
    pub mean_age_ms: Millis,
}

/// The reports of all other relays.
#[derive(Default)]
pub(crate) struct PeerReports {
    reports: BTreeMap<u32, PeerReport>,
    sums: BTreeMap<TenantTag, Usage>,
}

impl PeerReports {
    /// The number of relays with a report.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// The last report of a relay.
    pub fn get(&self, peer: u32) -> Option<&PeerReport> {
        self.reports.get(&peer)
    }

    /// Connections of a tenant that may have ended: a relay whose report is overdue may have failed, and its
    /// clients reconnect to other relays. The fraction of its connections that this function counts grows
    /// until the relay itself no longer counts.
    pub fn overdue(&self, now: Millis, tenant: TenantTag, interval_ms: Millis) -> f64 {
        let due_ms = OVERDUE_INTERVALS * interval_ms;
        let overdue_connections = |report: &PeerReport| {
            let late_ms = (now - report.received_at - due_ms).max(0.0);
            let fraction = (late_ms / (PEER_TIMEOUT_MS - due_ms)).min(1.0);
            report.rows.get(&tenant).map_or(0.0, |usage| usage.connections * fraction)
        };
        self.reports.values().map(overdue_connections).sum()
    }

    /// Whether a relay has reported within [`PEER_TIMEOUT_MS`].
    pub fn is_live(&self, now: Millis, peer: u32) -> bool {
        self.reports.get(&peer).is_some_and(|report| now - report.received_at <= PEER_TIMEOUT_MS)
    }

    /// The usage of a tenant that a relay last reported.
    pub fn usage_of(&self, peer: u32, tenant: TenantTag) -> Usage {
        let report = self.reports.get(&peer);
        report.and_then(|report| report.rows.get(&tenant)).copied().unwrap_or_default()
    }

    /// The sum of all reports for a tenant.
    pub fn sum(&self, tenant: TenantTag) -> Usage {
        self.sums.get(&tenant).copied().unwrap_or_default()
    }

    /// Whether no report of the relay is known, or only one of an earlier incarnation.
    pub fn is_new_incarnation(&self, peer: u32, incarnation: u64) -> bool {
        self.reports.get(&peer).is_none_or(|report| report.id.incarnation < incarnation)
    }

    /// Merges a report. A report of an earlier incarnation, a duplicate or an overtaken report changes
    /// nothing.
    pub fn merge(&mut self, now: Millis, peer: u32, id: ReportId, rows: Vec<UsageRow>) {
        if let Some(known) = self.reports.get(&peer).map(|report| report.id) {
            if !id.is_after(known) {
                return;
            }
            if id.incarnation > known.incarnation {
                self.remove(peer);
            }
        }
        let report = self.reports.entry(peer).or_default();
        report.id = id;
        report.received_at = now;
        for row in rows.into_iter().take(MAX_ROWS) {
            // Limits the number of tenants whose usage is stored for a relay, whatever tenant tags its
            // reports contain.
            if report.rows.len() >= MAX_TENANTS && !report.rows.contains_key(&row.tenant) {
                continue;
            }
            let new = row.usage();
            let old = report.rows.insert(row.tenant, new).unwrap_or_default();
            let sum = self.sums.entry(row.tenant).or_default();
            sum.connections = sum.connections + new.connections - old.connections;
            sum.per_s = sum.per_s + new.per_s - old.per_s;
        }
    }

    /// Removes the reports of relays that have been silent for longer than [`PEER_TIMEOUT_MS`].
    pub fn remove_silent(&mut self, now: Millis) {
        let is_silent = |report: &PeerReport| now - report.received_at > PEER_TIMEOUT_MS;
        let silent = self.reports.iter().filter(|(_, report)| is_silent(report)).map(|(peer, _)| *peer);
        for peer in silent.collect::<Vec<_>>() {
            self.remove(peer);
        }
    }

    fn remove(&mut self, peer: u32) {
        let rows = self.reports.remove(&peer).map(|report| report.rows).unwrap_or_default();
        for (tenant, usage) in rows {
            if let Some(sum) = self.sums.get_mut(&tenant) {
                sum.connections -= usage.connections;
                sum.per_s -= usage.per_s;
            }
        }
        self.sums.retain(|_, sum| sum.connections > MIN_SUM_CONNECTIONS || sum.per_s > MIN_SUM_PER_S);
    }

    /// How many relays have reported within [`PEER_TIMEOUT_MS`], and the mean age of their reports.
    pub fn coverage(&self, now: Millis) -> Coverage {
        let mut reporters = 0.0;
        let mut total_age_ms = 0.0;
        for report in self.reports.values() {
            if now - report.received_at <= PEER_TIMEOUT_MS {
                reporters += 1.0;
                total_age_ms = total_age_ms + now - report.received_at;
            }
        }
        let mean_age_ms = if reporters > 0.0 { total_age_ms / reporters } else { 0.0 };
        Coverage { reporters, mean_age_ms }
    }
}
