//! Other relays' reports of their own usage, and their running sums by tenant.
//!
//! A report counts until its relay sends another or has been silent for [`PEER_TIMEOUT_MS`]. A report of a
//! later incarnation replaces all of the earlier one's; duplicate and overtaken reports are known by their
//! sequence number.

use std::collections::BTreeMap;

use sandgw_units::Millis;

use crate::tenants::{MAX_TENANTS, TenantTag};
use crate::usage_gossip::{MAX_ROWS, Usage, UsageRow};

/// A relay without a report for this time no longer counts: by then its clients have reconnected elsewhere.
pub(crate) const PEER_TIMEOUT_MS: Millis = 2400.0;
/// A report is overdue after so many intervals.
const OVERDUE_INTERVALS: f64 = 1.25;
/// Sums below both of these are rounding remainders and are dropped.
const MIN_SUM_CONNECTIONS: f64 = 0.5;
const MIN_SUM_PER_S: f64 = 0.05;

/// Identifies a report of one relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReportId {
    pub incarnation: u64,
    pub sequence: u32,
}

impl ReportId {
    /// Whether it was sent after another.
    pub(crate) fn is_after(self, other: ReportId) -> bool {
        self.incarnation > other.incarnation
            || self.incarnation == other.incarnation && is_later(self.sequence, other.sequence)
    }
}

/// Whether a sequence number is later than another, with wrap-around.
pub(crate) fn is_later(sequence: u32, than: u32) -> bool {
    (1..1 << 31).contains(&sequence.wrapping_sub(than))
}

/// What one relay reported last, by tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReport {
    pub id: ReportId,
    received_at: Millis,
    pub rows: BTreeMap<TenantTag, Usage>,
}

/// How many relays have reported lately, and how long ago in the mean.
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

    /// What a relay reported last.
    pub fn get(&self, peer: u32) -> Option<&PeerReport> {
        self.reports.get(&peer)
    }

    /// Connections of a tenant that may have ended: relays whose reports are overdue may have died, and their
    /// clients arrive elsewhere. More and more of theirs, until they count no longer.
    pub fn overdue(&self, now: Millis, tenant: TenantTag, interval_ms: Millis) -> f64 {
        let due_ms = OVERDUE_INTERVALS * interval_ms;
        let overdue_of = |report: &PeerReport| {
            let late_ms = (now - report.received_at - due_ms).max(0.0);
            let fraction = (late_ms / (PEER_TIMEOUT_MS - due_ms)).min(1.0);
            report.rows.get(&tenant).map_or(0.0, |usage| usage.connections * fraction)
        };
        self.reports.values().map(overdue_of).sum()
    }

    /// Whether a relay has reported lately.
    pub fn is_live(&self, now: Millis, peer: u32) -> bool {
        self.reports.get(&peer).is_some_and(|report| now - report.received_at <= PEER_TIMEOUT_MS)
    }

    /// What a relay reported last of a tenant.
    pub fn usage_of(&self, peer: u32, tenant: TenantTag) -> Usage {
        let report = self.reports.get(&peer);
        report.and_then(|report| report.rows.get(&tenant)).copied().unwrap_or_default()
    }

    /// The sum of all reports for a tenant.
    pub fn sum(&self, tenant: TenantTag) -> Usage {
        self.sums.get(&tenant).copied().unwrap_or_default()
    }

    /// Whether an incarnation is the first, or later than the known one, of its relay.
    pub fn is_new_incarnation(&self, peer: u32, incarnation: u64) -> bool {
        self.reports.get(&peer).is_none_or(|report| report.id.incarnation < incarnation)
    }

    /// Merges a report; one of an earlier incarnation, a duplicate or an overtaken one changes nothing.
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
            // Bounded, whatever tags a peer makes up.
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

    /// Removes relays that are silent.
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

    /// How many relays have reported lately.
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
