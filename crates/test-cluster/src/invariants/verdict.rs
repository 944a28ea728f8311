//! The rules and what a check of them finds.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::Millis;
use crate::log::{Event, RelayIndex};
use crate::service_levels::{ClassAndTenant, ServedCount, ServiceLevels};

/// The largest number of events that a violation shows.
const MAX_SHOWN_EVENTS: usize = 40;

/// Where a request that may have been executed may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatScope {
    /// At any endpoint.
    AnyEndpoint,
    /// At endpoints of the same zone.
    Zone,
}

/// Whether requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Always.
    Safe,
    /// For a time, by a key that endpoints know.
    Keyed {
        /// Where the key is known.
        scope: RepeatScope,
        /// For how long after the first attempt that may have been executed.
        window_ms: Millis,
    },
    /// Only where no attempt may have been executed.
    Unsafe,
}

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request is answered once and in time, with what an endpoint made for it.
    Answered,
    /// No effect is repeated.
    NoRepeat,
    /// Nothing new goes to an endpoint that is known to drain or to be removed.
    Drain,
    /// A cold endpoint is not overloaded.
    SlowStart,
}

/// A rule that was violated.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The relays that violated it.
    pub relays: BTreeSet<RelayIndex>,
    /// What was done.
    pub description: String,
    /// The events that show it.
    pub events: Vec<Event>,
}

impl Violation {
    pub(super) fn new<'a>(
        rule: Rule,
        relays: impl IntoIterator<Item = RelayIndex>,
        description: String,
        events: impl Iterator<Item = &'a Event>,
    ) -> Violation {
        Violation {
            rule,
            relays: relays.into_iter().collect(),
            description,
            events: events.take(MAX_SHOWN_EVENTS).cloned().collect(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:?} violated by {:?}: {}", self.rule, self.relays, self.description)?;
        self.events.iter().try_for_each(|event| writeln!(f, "    {:>10.1}  {:?}", event.at_ms, event.kind))
    }
}

/// Requests of clients that were established before, at another relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MidFlowCounts {
    /// Requests that were sent to an endpoint.
    pub attempted: u64,
    /// Those whose first attempt found the endpoint that holds the connection.
    pub found_at_once: u64,
}

/// What a log shows.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The violations, in the order of the rules.
    pub violations: Vec<Violation>,
    /// Clients that were served, by class and tenant.
    pub served: BTreeMap<ClassAndTenant, ServedCount>,
    /// What was served in each third, of each class and of each tenant.
    pub service_levels: ServiceLevels,
    /// Requests that arrived mid-flow.
    pub mid_flow: MidFlowCounts,
    /// The most that arrived at a cold endpoint within one window, as a fraction of its budget.
    pub max_cold_load_fraction: f64,
    /// The longest stall of the stand-ins' thread: what arrived meanwhile is recorded as of one moment. It
    /// excuses nothing.
    pub max_stall_ms: Millis,
}

impl Verdict {
    /// Whether no relay violated this rule.
    pub fn satisfies(&self, rule: Rule) -> bool {
        self.violations.iter().all(|violation| violation.rule != rule)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.violations.iter().try_for_each(|violation| write!(f, "{violation}"))?;
        if self.violations.is_empty() {
            let fraction = self.max_cold_load_fraction;
            writeln!(f, "no rule violated; at most {fraction:.2} of a cold endpoint's budget")?;
        }
        let MidFlowCounts { attempted, found_at_once } = self.mid_flow;
        writeln!(f, "mid-flow: {attempted}, found at once {found_at_once}")?;
        writeln!(f, "the stand-ins' thread stalled for {:.0} ms at most", self.max_stall_ms)?;
        write!(f, "{}", self.service_levels)?;
        self.served.iter().try_for_each(|(ClassAndTenant { class, tenant }, count)| {
            writeln!(f, "{class} {tenant}: served {} of {}", count.served, count.arrived)
        })
    }
}
