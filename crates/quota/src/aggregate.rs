//! A collector's report of the usage of all other relays, and how its coverage is discounted with its age.

use std::collections::BTreeMap;

use sandgw_units::Millis;

use crate::peer_reports::is_later;
use crate::tenants::TenantTag;
use crate::usage_gossip::Usage;

/// Two aggregates have about the same coverage if one includes at least this ratio of the other's relays.
pub(crate) const SIMILAR_COVERAGE_RATIO: f64 = 0.97;
/// An aggregate is used for this time after it was received.
pub(crate) const AGGREGATE_TTL_MS: Millis = 9000.0;
/// For this time an aggregate covers all relays that it includes; later its effective coverage decreases.
const AGGREGATE_FRESH_MS: Millis = 3000.0;

/// The process that sent an aggregate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AggregateSource {
    pub peer: u32,
    pub incarnation: u64,
}

impl AggregateSource {
    /// Usage that was stored before a restart, rather than reported.
    pub const STORED: AggregateSource = AggregateSource { peer: u32::MAX, incarnation: 0 };
}

/// Sums of the other relays' usage, by tenant.
#[derive(Clone, Debug)]
pub(crate) struct Aggregate {
    pub source: AggregateSource,
    pub sequence: u32,
    pub received_at: Millis,
    /// Number of relays whose usage is included, the sender among them.
    pub reporters: f64,
    pub rows: BTreeMap<TenantTag, Usage>,
}

impl Aggregate {
    /// The number of relays that the aggregate covers, this relay added, discounted by the aggregate's age.
    pub fn effective_coverage(&self, now: Millis) -> f64 {
        (self.reporters + 1.0) * freshness(now - self.received_at)
    }

    /// Whether a new aggregate replaces this one. From the same process, any later aggregate does. From
    /// another process, whose aggregate may lack other relays, an aggregate does if it includes about as many
    /// relays as this one still effectively covers.
    pub fn is_superseded_by(&self, new: &Aggregate) -> bool {
        if self.source == new.source {
            return is_later(new.sequence, self.sequence);
        }
        new.reporters + 1.0 >= SIMILAR_COVERAGE_RATIO * self.effective_coverage(new.received_at)
    }
}

/// The fraction of its coverage that an aggregate of this age retains.
fn freshness(age_ms: Millis) -> f64 {
    (1.0 - (age_ms - AGGREGATE_FRESH_MS) / (2.0 * (AGGREGATE_TTL_MS - AGGREGATE_FRESH_MS))).clamp(0.0, 1.0)
}
