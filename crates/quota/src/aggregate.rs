//! A collector's report of what all other relays use, and how much it is worth as it ages.

use std::collections::BTreeMap;

use sandgw_units::Millis;

use crate::peer_reports::is_later;
use crate::tenants::TenantTag;
use crate::usage_gossip::Usage;

/// An aggregate that includes this ratio of the relays that another one does is about as good.
pub(crate) const SIMILAR_COVERAGE_RATIO: f64 = 0.97;
/// An aggregate is used for this time.
pub(crate) const AGGREGATE_TTL_MS: Millis = 9000.0;
/// For this time an aggregate is worth all relays that it includes, then less and less.
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

/// Sums over other relays by tenant.
#[derive(Clone, Debug)]
pub(crate) struct Aggregate {
    pub source: AggregateSource,
    pub sequence: u32,
    pub received_at: Millis,
    /// Number of relays that are included, the sender among them.
    pub reporters: f64,
    pub rows: BTreeMap<TenantTag, Usage>,
}

impl Aggregate {
    /// The number of relays that it is still worth, and one for this relay.
    pub fn worth(&self, now: Millis) -> f64 {
        (self.reporters + 1.0) * freshness(now - self.received_at)
    }

    /// Whether a newer aggregate is to replace it: from the same process any later one; from another
    /// process, which has other gaps, one that includes about as many relays as this one is still worth.
    pub fn is_superseded_by(&self, new: &Aggregate) -> bool {
        if self.source == new.source {
            return is_later(new.sequence, self.sequence);
        }
        new.reporters + 1.0 >= SIMILAR_COVERAGE_RATIO * self.worth(new.received_at)
    }
}

/// The fraction of its worth that an aggregate of this age has left.
fn freshness(age_ms: Millis) -> f64 {
    (1.0 - (age_ms - AGGREGATE_FRESH_MS) / (2.0 * (AGGREGATE_TTL_MS - AGGREGATE_FRESH_MS))).clamp(0.0, 1.0)
}
