//! The events of a run by what they concern: requests, relays, and changes of the endpoint list.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::Millis;
use crate::log::{Event, EventKind, RelayIndex, RequestId};
use crate::settings::RuleSettings;

/// How a client sent a request.
pub(super) struct SentRequest {
    pub(super) relay: RelayIndex,
    /// How long the client waits.
    pub(super) wait_ms: Millis,
    pub(super) class: Arc<str>,
    pub(super) at_ms: Millis,
}

/// One request's part of the log.
#[derive(Default)]
pub(super) struct RequestLog<'a> {
    /// How it was sent, where the log shows it.
    pub(super) sent: Option<SentRequest>,
    /// All its events, in order.
    pub(super) events: Vec<&'a Event>,
}

/// A time in which a relay's process was paused.
struct Pause {
    from_ms: Millis,
    to_ms: Millis,
}

/// The log of a run, indexed.
pub(super) struct RunLog<'a> {
    pub(super) rules: &'a RuleSettings,
    pub(super) events: &'a [Event],
    pub(super) requests: BTreeMap<RequestId, RequestLog<'a>>,
    /// Starts and deaths of each relay, and its calls of discovery.
    pub(super) relay_events: HashMap<RelayIndex, Vec<&'a Event>>,
    /// Changes of the endpoint list by revision.
    pub(super) list_changes: BTreeMap<u64, &'a Event>,
    pauses: HashMap<RelayIndex, Vec<Pause>>,
}

impl<'a> RunLog<'a> {
    /// Indexes the events, which are in the order of their times.
    pub(super) fn read(events: &'a [Event], rules: &'a RuleSettings) -> RunLog<'a> {
        let mut log = RunLog {
            rules,
            events,
            requests: BTreeMap::new(),
            relay_events: HashMap::new(),
            list_changes: BTreeMap::new(),
            pauses: HashMap::new(),
        };
        for event in events {
            if let Some(id) = request_of(&event.kind) {
                log.add_request_event(id, event);
            }
            if let Some(relay) = relay_of(&event.kind) {
                log.relay_events.entry(relay).or_default().push(event);
            }
            match &event.kind {
                EventKind::EndpointListed { revision, .. } => {
                    log.list_changes.insert(*revision, event);
                }
                EventKind::RelayPaused(relay) => {
                    let pause = Pause { from_ms: event.at_ms, to_ms: f64::INFINITY };
                    log.pauses.entry(*relay).or_default().push(pause);
                }
                EventKind::RelayResumed(relay) => log.end_pause(*relay, event.at_ms),
                _ => {}
            }
        }
        log
    }

    fn add_request_event(&mut self, id: RequestId, event: &'a Event) {
        let request = self.requests.entry(id).or_default();
        if let EventKind::RequestSent { relay, wait_ms, class, .. } = &event.kind {
            request.sent = Some(SentRequest {
                relay: *relay,
                wait_ms: *wait_ms,
                class: class.clone(),
                at_ms: event.at_ms,
            });
        }
        request.events.push(event);
    }

    fn end_pause(&mut self, relay: RelayIndex, at_ms: Millis) {
        if let Some(pause) = self.pauses.get_mut(&relay).and_then(|pauses| pauses.last_mut()) {
            pause.to_ms = at_ms;
        }
    }

    /// The time of the last event.
    pub(super) fn end_ms(&self) -> Millis {
        self.events.last().map_or(0.0, |event| event.at_ms)
    }

    /// The relay that a request was sent to, where the log shows it.
    pub(super) fn relay_of_request(&self, id: RequestId) -> Option<RelayIndex> {
        self.requests.get(&id)?.sent.as_ref().map(|sent| sent.relay)
    }

    /// Whether a relay was paused at some time between these.
    pub(super) fn was_paused_within(&self, relay: RelayIndex, from_ms: Millis, to_ms: Millis) -> bool {
        let mut pauses = self.pauses.get(&relay).into_iter().flatten();
        pauses.any(|pause| pause.from_ms <= to_ms && pause.to_ms >= from_ms)
    }

    /// Whether a relay died at some time between these.
    pub(super) fn died_within(&self, relay: RelayIndex, from_ms: Millis, to_ms: Millis) -> bool {
        let mut events = self.relay_events.get(&relay).into_iter().flatten();
        events.any(|event| {
            matches!(event.kind, EventKind::RelayDied(_)) && event.at_ms >= from_ms && event.at_ms <= to_ms
        })
    }

    /// When a relay can act on what reached it at this time: once it is resumed, if it was paused.
    pub(super) fn running_from(&self, relay: RelayIndex, at_ms: Millis) -> Millis {
        let pauses = self.pauses.get(&relay).into_iter().flatten();
        let containing = pauses.filter(|pause| (pause.from_ms..pause.to_ms).contains(&at_ms));
        containing.map(|pause| pause.to_ms).fold(at_ms, f64::max)
    }

    /// The zone of an endpoint.
    pub(super) fn zone(&self, id: &str) -> Option<&Arc<str>> {
        self.list_changes.values().find_map(|event| match &event.kind {
            EventKind::EndpointListed { endpoint, zone, .. } if &**endpoint == id => Some(zone),
            _ => None,
        })
    }
}

fn request_of(kind: &EventKind) -> Option<RequestId> {
    match kind {
        EventKind::RequestSent { id, .. }
        | EventKind::ReplyReceived { id, .. }
        | EventKind::RequestAbandoned { id }
        | EventKind::AttemptReceived { id, .. }
        | EventKind::AttemptEnded { id, .. } => Some(*id),
        _ => None,
    }
}

/// The relay whose knowledge of the list this event concerns.
fn relay_of(kind: &EventKind) -> Option<RelayIndex> {
    match kind {
        EventKind::RelayStarted { relay, .. }
        | EventKind::DiscoveryCalled { relay, .. }
        | EventKind::DiscoveryAnswered { relay, .. }
        | EventKind::DiscoveryFailed { relay, .. }
        | EventKind::RelayDied(relay) => Some(*relay),
        _ => None,
    }
}
