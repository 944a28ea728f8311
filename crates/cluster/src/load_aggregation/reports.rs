//! The load reports that a collector has received, and their sums by endpoint.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use sandgw_affinity::codec::LOADS_PER_MESSAGE;

use super::{ClusterLoad, Tag};
use crate::Millis;

/// How long a report counts after it was received.
const REPORT_TTL_MS: Millis = 15_000.0;
/// Sums up to this value are rounding errors left by subtracted reports.
const MIN_SUM: f64 = 0.5;

struct Report {
    received_at: Millis,
    rows: Vec<(Tag, u8)>,
}

/// The latest report of each relay, and the sums over all relays.
#[derive(Default)]
pub(super) struct ReportTable {
    reports: BTreeMap<u32, Report>,
    sums: BTreeMap<Tag, f64>,
}

impl ReportTable {
    /// Replaces a relay's report, and removes expired reports of other relays.
    pub fn insert(&mut self, now: Millis, peer: u32, rows: Vec<(Tag, u8)>) {
        let expired: Vec<u32> = self
            .reports
            .iter()
            .filter(|(_, report)| now - report.received_at > REPORT_TTL_MS)
            .map(|(peer, _)| *peer)
            .collect();
        for outdated in expired.into_iter().chain([peer]) {
            self.remove(outdated);
        }
        self.sums.retain(|_, sum| *sum > MIN_SUM);
        for (tag, load) in &rows {
            *self.sums.entry(*tag).or_default() += f64::from(*load);
        }
        self.reports.insert(peer, Report { received_at: now, rows });
    }

    /// Returns the sums of the endpoints that carry most relative to their weight, as many as a datagram
    /// holds.
    pub fn heaviest(&self, weight: impl Fn(Tag) -> f64) -> ClusterLoad {
        let mut rows: Vec<(Tag, f64)> = self.sums.iter().map(|(tag, load)| (*tag, *load)).collect();
        let total = rows.iter().map(|(_, load)| load).sum();
        rows.sort_by_cached_key(|(tag, load)| {
            let load_per_weight = load / weight(*tag).max(f64::MIN_POSITIVE);
            (Reverse((load_per_weight * 1000.0) as u64), *tag)
        });
        rows.truncate(LOADS_PER_MESSAGE);
        ClusterLoad { total, loads: rows.into_iter().collect() }
    }

    fn remove(&mut self, peer: u32) {
        let Some(report) = self.reports.remove(&peer) else { return };
        for (tag, load) in report.rows {
            if let Some(sum) = self.sums.get_mut(&tag) {
                *sum -= f64::from(load);
            }
        }
    }
}
