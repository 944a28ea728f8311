//! Checks the log of a run against the four rules: which relay violated which, with the events that show it.
//!
//! Its inputs are the events, the figures of the rules and the classes; it gives the violations and who was
//! served. It owns nothing and reads no clock: the verdict rests on the log alone. It does not check what
//! the log does not show: lines that are held back, and what a relay would have done next.

mod answered;
mod drain;
mod list_knowledge;
mod no_repeat;
mod run_log;
mod slow_start;
mod verdict;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::Millis;
use crate::log::{AttemptOutcome, Event, EventKind};
use crate::service_levels::{ClassAndTenant, ServedCount, ServiceLevels};
use crate::settings::RuleSettings;
use list_knowledge::ListKnowledge;
use run_log::RunLog;
pub use verdict::{Idempotency, MidFlowCounts, RepeatScope, Rule, Verdict, Violation};

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
