//! Checks the log of a run against the four rules: which relay violated which, with the events that show it.
//!
//! Its inputs are the events, the figures of the rules and the classes; it gives the violations and who was served. It
//! owns nothing and reads no clock: the verdict rests on the log alone. It does not check what the log does not show:
//! lines that are held back, and what a relay would have done next.

mod answered;
mod drain;
mod list_knowledge;
mod no_repeat;
mod run_log;
mod slow_start;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use crate::Millis;
use crate::log::{AttemptOutcome, Event, EventKind, RelayIndex};
use crate::service_levels::{ClassAndTenant, ServedCount, ServiceLevels};
use crate::settings::RuleSettings;
use list_knowledge::ListKnowledge;
use run_log::RunLog;

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
    fn new<'a>(
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
    /// The longest stall of the stand-ins' thread: what arrived meanwhile is recorded as of one moment. It excuses
    /// nothing.
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

/// Checks a log. Requests of classes that are not named may always be repeated.
pub fn check_invariants(
    events: &[Event],
    rules: &RuleSettings,
    classes: &HashMap<Arc<str>, Idempotency>,
) -> Verdict {
    let log = RunLog::read(events, rules);
    let mut knowledge = ListKnowledge::new(&log);
    let mut violations = answered::check(&log);
    violations.extend(no_repeat::check(&log, classes));
    violations.extend(drain::check(&log, &mut knowledge));
    let slow_start = slow_start::check(&log, &mut knowledge);
    violations.extend(slow_start.violations);
    Verdict {
        violations,
        served: count_served(events),
        service_levels: ServiceLevels::from_events(events),
        mid_flow: count_mid_flow(&log),
        max_cold_load_fraction: slow_start.max_load_fraction,
        max_stall_ms: max_stall_ms(events),
    }
}

fn count_served(events: &[Event]) -> BTreeMap<ClassAndTenant, ServedCount> {
    let mut counts = BTreeMap::<_, ServedCount>::new();
    for event in events {
        if let EventKind::ClientFinished { class, tenant, served, .. } = &event.kind {
            let of = ClassAndTenant { class: class.clone(), tenant: tenant.clone() };
            let count = counts.entry(of).or_default();
            count.served += u64::from(*served);
            count.arrived += 1;
        }
    }
    counts
}

fn count_mid_flow(log: &RunLog) -> MidFlowCounts {
    let mut counts = MidFlowCounts::default();
    for request in log.requests.values() {
        let is_mid_flow =
            |event: &&Event| matches!(event.kind, EventKind::AttemptReceived { mid_flow: true, .. });
        if !request.events.iter().any(is_mid_flow) {
            continue;
        }
        let first_outcome = request.events.iter().find_map(|event| match &event.kind {
            EventKind::AttemptEnded { outcome, .. } => Some(*outcome),
            _ => None,
        });
        counts.attempted += 1;
        counts.found_at_once += u64::from(first_outcome == Some(AttemptOutcome::Established));
    }
    counts
}

fn max_stall_ms(events: &[Event]) -> Millis {
    let stalls = events.iter().filter_map(|event| match event.kind {
        EventKind::ClusterStalled { stall_ms } => Some(stall_ms),
        _ => None,
    });
    stalls.fold(0.0, f64::max)
}
