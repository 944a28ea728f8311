//! What is scheduled in virtual time, in order.

use std::collections::BTreeMap;

use crate::policy::api::{EndpointEntry, ListKind, Millis, Outcome, PeerMessage, RequestId};

/// A request at a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestRef {
    pub(super) relay: usize,
    pub(super) id: RequestId,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRef {
    pub(super) request: RequestRef,
    pub(super) number: u32,
}

#[derive(Debug)]
pub(super) enum ScheduledEvent {
    /// A client that was never here sends a request.
    NewClient,
    Request {
        relay: usize,
        client: u32,
        is_returning: bool,
    },
    Established(AttemptRef),
    AttemptEnds {
        attempt: AttemptRef,
        outcome: Outcome,
    },
    /// The attempt has had its time.
    AttemptTimeout(AttemptRef),
    /// The client has had its time.
    Deadline(RequestRef),
    /// An established connection ends.
    Close {
        request: RequestRef,
        outcome: Outcome,
    },
    /// A client that waits gives up early.
    ClientLeaves(RequestRef),
    Timer {
        relay: usize,
        token: u64,
    },
    List {
        relay: usize,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
    },
    PeerMessage {
        relay: usize,
        from: u32,
        message: PeerMessage,
    },
    Fault,
    /// New clients come more often, or no longer do.
    Surge(bool),
    DescriptorsFree {
        relay: usize,
    },
    /// An endpoint that drained or crashed is gone; whether its clients were to be migrated.
    EndpointRemoved {
        endpoint: usize,
        drained: bool,
    },
    EndpointReturns {
        endpoint: usize,
    },
    /// A relay that was killed starts as a new process.
    RelayStarts {
        relay: usize,
    },
    Tick,
}

impl ScheduledEvent {
    /// Whether it ends with this relay's process: its connections, its timers and what is on the way to it.
    fn ends_with_process(&self, killed: usize) -> bool {
        match self {
            ScheduledEvent::Established(attempt)
            | ScheduledEvent::AttemptEnds { attempt, .. }
            | ScheduledEvent::AttemptTimeout(attempt) => attempt.request.relay == killed,
            ScheduledEvent::Deadline(request)
            | ScheduledEvent::Close { request, .. }
            | ScheduledEvent::ClientLeaves(request) => request.relay == killed,
            ScheduledEvent::Timer { relay, .. }
            | ScheduledEvent::List { relay, .. }
            | ScheduledEvent::PeerMessage { relay, .. }
            | ScheduledEvent::DescriptorsFree { relay } => *relay == killed,
            _ => false,
        }
    }
}

/// Scheduled events by their time in microseconds and the order in which they were scheduled.
#[derive(Default)]
pub(super) struct Timeline {
    events: BTreeMap<(u64, u64), ScheduledEvent>,
    scheduled: u64,
}

impl Timeline {
    /// Schedules an event. Never early: a timer comes at its time or after it.
    pub(super) fn schedule(&mut self, at: Millis, event: ScheduledEvent) {
        self.scheduled += 1;
        self.events.insert(((at * 1000.0).ceil() as u64, self.scheduled), event);
    }

    /// The next event until this time, with its own.
    pub(super) fn next_until(&mut self, end: Millis) -> Option<(Millis, ScheduledEvent)> {
        let next = self.events.first_entry()?;
        let at = next.key().0 as f64 / 1000.0;
        (at <= end).then(|| (at, next.remove()))
    }

    /// Drops what ends with the process of a relay.
    pub(super) fn drop_process(&mut self, relay: usize) {
        self.events.retain(|_, event| !event.ends_with_process(relay));
    }
}
