//! The state of the service: the queue of calls, the list, and when a call can be answered.
//!
//! It does no input or output; times are milliseconds of the log's clock.

use std::collections::HashMap;
use std::sync::Mutex;

use serde_json::Value;
use tokio::sync::watch;

use super::body::BodyStyle;
use super::list::EndpointList;
use super::model::ServiceModel;
use crate::log::{DiscoveryRequest, EventKind, RelayIndex};
use crate::{Log, Millis, lock};

/// A watch that begins this long after the answer to the one before continues it.
const CONTINUATION_WINDOW_MS: Millis = 200.0;

/// The service as all its connections share it.
pub(super) struct Service {
    pub(super) log: Log,
    pub(super) state: Mutex<State>,
    /// Counts changes, so that open calls check again whether they can be answered.
    pub(super) changes: watch::Sender<u64>,
}

pub(super) struct State {
    pub(super) model: ServiceModel,
    /// When the service has taken all calls that wait now.
    pub(super) free_at_ms: Millis,
    /// The number of calls so far.
    calls: u64,
    /// When each relay's last watch was answered.
    pub(super) last_watch_answered_ms: HashMap<RelayIndex, Millis>,
    pub(super) list: EndpointList,
    /// How often open watches were silenced.
    pub(super) silences: u64,
    /// Counts up when all open calls have to end.
    pub(super) generation: u64,
}

/// A call that was taken into the queue.
pub(super) struct QueuedCall {
    /// Its number.
    pub(super) call: u64,
    /// The silences before it: a later one applies to it.
    pub(super) silences_before: u64,
    pub(super) turn: Turn,
}

/// When a call's turn is.
pub(super) enum Turn {
    /// After so many milliseconds.
    After(Millis),
    /// Never: it fails after so many milliseconds.
    TimesOutAfter(Millis),
}

/// Whether an open call can be answered.
pub(super) enum CallState {
    /// Now.
    Answer(Answer),
    /// Once there is something newer, or its own time limit is over.
    Waiting,
    /// Never, unless the service changes.
    Silent,
}

/// The answer to a call.
pub(super) struct Answer {
    pub(super) list: Value,
    pub(super) revision: u64,
    pub(super) style: BodyStyle,
}

impl Service {
    pub(super) fn new(model: ServiceModel, log: &Log) -> Service {
        let state = State {
            model,
            free_at_ms: 0.0,
            calls: 0,
            last_watch_answered_ms: HashMap::new(),
            list: EndpointList::default(),
            silences: 0,
            generation: 0,
        };
        Service { log: log.clone(), state: Mutex::new(state), changes: watch::channel(0).0 }
    }

    /// Lets open calls check again whether they can be answered.
    pub(super) fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// The number of a new call.
    pub(super) fn next_call(&self) -> u64 {
        let mut state = lock(&self.state);
        state.calls += 1;
        state.calls
    }

    /// Takes a call into the queue and records it.
    pub(super) fn begin_call(&self, relay: RelayIndex, request: DiscoveryRequest) -> QueuedCall {
        let call = self.next_call();
        let now_ms = self.log.now();
        let mut state = lock(&self.state);
        let silences_before = state.silences;
        let last_answer_ms = state.last_watch_answered_ms.get(&relay).copied();
        let continues = matches!(request, DiscoveryRequest::Watch { .. })
            && last_answer_ms.is_some_and(|answered_ms| now_ms - answered_ms <= CONTINUATION_WINDOW_MS);
        self.log.record(EventKind::DiscoveryCalled { relay, call, request, queued: !continues });
        let turn = if continues { state.continued_turn() } else { state.enqueue(now_ms) };
        QueuedCall { call, silences_before, turn }
    }

    /// Whether an open call can be answered; `timed_out` if its own time limit is over.
    pub(super) fn check_call(
        &self,
        request: DiscoveryRequest,
        silences_before: u64,
        timed_out: bool,
    ) -> CallState {
        let state = lock(&self.state);
        let waits_for_change = matches!(request, DiscoveryRequest::Watch { wait_ms: 1.., .. });
        if state.model.unresponsive || waits_for_change && state.silences > silences_before {
            return CallState::Silent;
        }
        let visible_at_ms = self.log.now() - state.model.staleness_ms;
        let revision = state.list.revision_at(visible_at_ms);
        let after = if let DiscoveryRequest::Watch { after, .. } = request { Some(after) } else { None };
        if !timed_out && after.is_some_and(|after| revision <= after) {
            return CallState::Waiting;
        }
        // A revision that the service has not made is answered with the whole list.
        let after = after.filter(|after| *after <= revision);
        CallState::Answer(Answer {
            list: state.list.to_json(after, revision),
            revision,
            style: state.model.body_style,
        })
    }

    /// Records that a call was answered.
    pub(super) fn record_answer(
        &self,
        relay: RelayIndex,
        call: u64,
        request: DiscoveryRequest,
        revision: u64,
    ) {
        self.log.record(EventKind::DiscoveryAnswered { relay, call, revision });
        if matches!(request, DiscoveryRequest::Watch { .. }) {
            let now_ms = self.log.now();
            lock(&self.state).last_watch_answered_ms.insert(relay, now_ms);
        }
    }
}

impl State {
    /// When a watch that continues another has its turn.
    fn continued_turn(&self) -> Turn {
        let ServiceModel { answer_delay_ms, delays_continued_watches, .. } = self.model;
        Turn::After(if delays_continued_watches { answer_delay_ms } else { 0.0 })
    }

    /// Takes a call into the queue. It costs the same where it times out.
    fn enqueue(&mut self, now_ms: Millis) -> Turn {
        let wait_ms = (self.free_at_ms - now_ms).max(0.0);
        let ServiceModel { call_cost_ms, cost_per_queued_call_ms, queue_timeout_ms, answer_delay_ms, .. } =
            self.model;
        let queued_calls = if call_cost_ms > 0.0 { wait_ms / call_cost_ms } else { 0.0 };
        let cost_ms = call_cost_ms + cost_per_queued_call_ms * queued_calls;
        self.free_at_ms = now_ms + wait_ms + cost_ms;
        if wait_ms > queue_timeout_ms {
            Turn::TimesOutAfter(queue_timeout_ms)
        } else {
            Turn::After(wait_ms + cost_ms + answer_delay_ms)
        }
    }
}
