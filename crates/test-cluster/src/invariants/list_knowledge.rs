//! When a relay counts as informed of a change of the endpoint list: by an answer of discovery that reports
//! it, or by the time for which it may go without an answer.

use std::collections::HashMap;

use super::run_log::RunLog;
use crate::Millis;
use crate::log::{DiscoveryRequest, Event, EventKind, RelayIndex};
use crate::settings::RuleSettings;

/// How many poll intervals a relay may wait after a call that failed.
const POLL_INTERVALS_AFTER_FAILURE: f64 = 4.0;
/// How long after its own time a watch may remain unanswered.
const WATCH_GRACE_MS: Millis = 2000.0;
/// How long a call for the whole list may remain unanswered.
const LIST_TIMEOUT_MS: Millis = 6000.0;

/// One incarnation of a relay and one revision of the list.
#[derive(PartialEq, Eq, Hash)]
struct CacheKey {
    relay: RelayIndex,
    revision: u64,
    /// The place of its start among the relay's events.
    start: usize,
}

/// What relays know of the list. Results are cached.
pub(super) struct ListKnowledge<'a> {
    log: &'a RunLog<'a>,
    informed_ms: HashMap<CacheKey, Option<Millis>>,
}

impl<'a> ListKnowledge<'a> {
    pub(super) fn new(log: &'a RunLog<'a>) -> ListKnowledge<'a> {
        ListKnowledge { log, informed_ms: HashMap::new() }
    }

    /// When the incarnation of a relay that runs at `at_ms` counts as informed of a revision; none if not
    /// by then.
    pub(super) fn informed_at(&mut self, relay: RelayIndex, revision: u64, at_ms: Millis) -> Option<Millis> {
        let events = self.log.relay_events.get(&relay)?;
        let until = events.partition_point(|event| event.at_ms <= at_ms);
        let start = events[..until].iter().rposition(|event| is_start(event))?;
        let next_start = events[start + 1..].iter().position(|event| is_start(event));
        let end = next_start.map_or(events.len(), |offset| start + 1 + offset);
        let key = CacheKey { relay, revision, start };
        if !self.informed_ms.contains_key(&key) {
            let changed_ms = self.log.list_changes.get(&revision)?.at_ms;
            let informed_ms = informed_in(&events[start..end], self.log.rules, revision, changed_ms);
            let informed_ms = informed_ms.map(|informed_ms| self.log.running_from(relay, informed_ms));
            self.informed_ms.insert(CacheKey { relay, revision, start }, informed_ms);
        }
        self.informed_ms[&key].filter(|informed_ms| *informed_ms <= at_ms)
    }
}

fn is_start(event: &Event) -> bool {
    matches!(event.kind, EventKind::RelayStarted { .. })
}

/// What a relay is doing about the list.
enum Polling {
    /// No call is open.
    Idle {
        /// Since when.
        since_ms: Millis,
        /// Whether the last call failed.
        after_failure: bool,
    },
    /// A call is open.
    Open {
        /// Its number.
        call: u64,
        /// Since when.
        since_ms: Millis,
        /// What it asks for.
        request: DiscoveryRequest,
    },
}

impl Polling {
    fn is_open(&self, number: u64) -> bool {
        matches!(self, Polling::Open { call, .. } if *call == number)
    }

    /// Whether a watch is open, which waits for a change.
    fn is_watching(&self) -> bool {
        matches!(self, Polling::Open { request: DiscoveryRequest::Watch { wait_ms: 1.., .. }, .. })
    }

    /// When the relay counts as informed of a change if nothing more happens.
    fn deemed_informed_ms(&self, rules: &RuleSettings, changed_ms: Millis) -> Millis {
        match self {
            Polling::Idle { since_ms, after_failure } => {
                let intervals = if *after_failure { POLL_INTERVALS_AFTER_FAILURE } else { 1.0 };
                since_ms.max(changed_ms) + rules.poll_interval_ms * intervals
            }
            Polling::Open { since_ms, request: DiscoveryRequest::Watch { wait_ms, .. }, .. } => {
                (since_ms + *wait_ms as f64).max(changed_ms) + WATCH_GRACE_MS
            }
            Polling::Open { since_ms, request: DiscoveryRequest::List, .. } => {
                since_ms.max(changed_ms) + LIST_TIMEOUT_MS
            }
        }
    }
}

/// When one incarnation of a relay counts as informed of a change; none if it died before.
fn informed_in(
    incarnation: &[&Event],
    rules: &RuleSettings,
    revision: u64,
    changed_ms: Millis,
) -> Option<Millis> {
    let mut polling = Polling::Idle { since_ms: 0.0, after_failure: false };
    for event in incarnation {
        let at_ms = event.at_ms;
        let deemed_ms = polling.deemed_informed_ms(rules, changed_ms);
        if at_ms >= deemed_ms && !is_start(event) {
            return Some(deemed_ms);
        }
        match &event.kind {
            EventKind::RelayStarted { known_revision, .. } if *known_revision >= revision => {
                return Some(at_ms);
            }
            EventKind::RelayStarted { .. } => {
                polling = Polling::Idle { since_ms: at_ms, after_failure: false };
            }
            EventKind::DiscoveryCalled { call, request, .. } => {
                polling = Polling::Open { call: *call, since_ms: at_ms, request: *request };
            }
            EventKind::DiscoveryAnswered { revision: answered, .. } if *answered >= revision => {
                return Some(at_ms);
            }
            EventKind::DiscoveryAnswered { call, .. } if polling.is_open(*call) => {
                polling = Polling::Idle { since_ms: at_ms, after_failure: false };
            }
            EventKind::DiscoveryFailed { call, .. } if polling.is_open(*call) => {
                // A watch that its caller gave up has not failed.
                polling = Polling::Idle { since_ms: at_ms, after_failure: !polling.is_watching() };
            }
            EventKind::RelayDied(_) => return None,
            _ => {}
        }
    }
    Some(polling.deemed_informed_ms(rules, changed_ms))
}
