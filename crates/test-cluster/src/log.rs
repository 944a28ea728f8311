//! The log of what the stand-ins have seen, in one order and with one clock.
//!
//! It owns the events and the clock, in milliseconds since the cluster began. Every stand-in records events
//! in it; [`crate::invariants`], [`crate::service_levels`] and tests read them. It draws no conclusions.

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::{Millis, duration, lock};

/// The largest number of events that are stored; see [`Log::is_truncated`].
const MAX_EVENTS: usize = 4_000_000;
/// How often [`Log::wait_until`] checks its condition.
const RECHECK_INTERVAL_MS: Millis = 20.0;

/// A relay's number in the cluster, from 0.
pub type RelayIndex = usize;

/// The id of a client's request and of the connection that it becomes, fresh for each try.
pub type RequestId = u64;

/// A relay's reply to a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The connection is established, with the endpoint's receipt.
    Established(String),
    /// The request is rejected; the client may retry after so many milliseconds, if any are named.
    Rejected(Option<u64>),
    /// Any other line.
    Failed(String),
    /// The connection ended without a reply.
    Closed,
}

/// How an attempt ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The connection is established.
    Established,
    /// The endpoint rejected it: it was not executed.
    Rejected,
    /// The endpoint answered an error; it may have been executed.
    Error,
    /// The endpoint broke the connection; it may have been executed.
    Reset,
    /// The relay cancelled it; it may have been executed.
    Cancelled,
}

/// What a call of discovery asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// The whole list.
    List,
    /// What is newer than a revision.
    Watch {
        /// The revision.
        after: u64,
        /// How long the answer may wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

/// An endpoint's phase, as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It takes requests.
    Ready,
    /// It drains.
    Terminating,
    /// It is removed, which only a watch reports.
    Gone,
}

impl EndpointPhase {
    /// The phase's name in discovery's format.
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointPhase::Ready => "Ready",
            EndpointPhase::Terminating => "Terminating",
            EndpointPhase::Gone => "Gone",
        }
    }
}

impl fmt::Display for EndpointPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// A relay's process was started.
    RelayStarted {
        /// The relay.
        relay: RelayIndex,
        /// The revision of the endpoint list in its configuration.
        known_revision: u64,
    },
    /// A relay answered `PING` for the first time since its start.
    RelayReady(RelayIndex),
    /// A relay's process was killed or has ended; its unanswered requests are excused.
    RelayDied(RelayIndex),
    /// A relay was sent SIGTERM.
    RelayTerminated(RelayIndex),
    /// A relay's process was sent SIGSTOP.
    RelayPaused(RelayIndex),
    /// A relay's process was sent SIGCONT.
    RelayResumed(RelayIndex),
    /// A client's first line was written to a relay that accepted its connection.
    RequestSent {
        /// The request.
        id: RequestId,
        /// The relay.
        relay: RelayIndex,
        /// How long the client waits for a reply.
        wait_ms: Millis,
        /// The request's class.
        class: Arc<str>,
        /// The client's tenant.
        tenant: Arc<str>,
        /// Whether the client was established before, at another relay.
        mid_flow: bool,
    },
    /// The client received the relay's reply.
    ReplyReceived {
        /// The request.
        id: RequestId,
        /// The reply.
        reply: Reply,
    },
    /// The client gave up before it received a reply.
    RequestAbandoned {
        /// The request.
        id: RequestId,
    },
    /// An established connection was asked to reconnect (`MOVE`).
    ReconnectRequested {
        /// The connection.
        id: RequestId,
    },
    /// An established connection broke without `MOVE`.
    ConnectionBroken {
        /// The connection.
        id: RequestId,
    },
    /// A client arrived, before its first try.
    ClientArrived {
        /// The client's number, unique in this process.
        client: u64,
        /// The class of its requests.
        class: Arc<str>,
        /// Its tenant.
        tenant: Arc<str>,
    },
    /// A client was served for the first time, or gave up after all its tries.
    ClientFinished {
        /// The client's number.
        client: u64,
        /// The class of its requests.
        class: Arc<str>,
        /// Its tenant.
        tenant: Arc<str>,
        /// Whether it was served.
        served: bool,
    },
    /// A request's first line has arrived at an endpoint.
    AttemptReceived {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: Arc<str>,
        /// When the line's first byte arrived.
        first_byte_ms: Millis,
        /// Whether the request is of a connection that was established before.
        mid_flow: bool,
    },
    /// That attempt has ended, or its connection is established.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: Arc<str>,
        /// How.
        outcome: AttemptOutcome,
        /// The receipt, where the connection is established.
        receipt: Option<String>,
    },
    /// An endpoint has started cold.
    ColdStart {
        /// The endpoint.
        endpoint: Arc<str>,
        /// Set-ups a second that it can take when warm.
        setups_per_s: f64,
    },
    /// A cold endpoint was overloaded and has died of it.
    EndpointOverloaded(Arc<str>),
    /// Discovery's list has changed.
    EndpointListed {
        /// The list's revision from now on.
        revision: u64,
        /// The endpoint.
        endpoint: Arc<str>,
        /// Its zone.
        zone: Arc<str>,
        /// Its phase.
        phase: EndpointPhase,
        /// Whether its entry names the time of a start.
        recently_started: bool,
    },
    /// The thread of the stand-ins did not run for a while; what arrived meanwhile is recorded only after it.
    ClusterStalled {
        /// For how long.
        stall_ms: Millis,
    },
    /// A relay called discovery.
    DiscoveryCalled {
        /// The relay.
        relay: RelayIndex,
        /// The number of the call.
        call: u64,
        /// What it asks for.
        request: DiscoveryRequest,
        /// Whether it is served in turn, at the service's cost; a watch that continues another is not.
        queued: bool,
    },
    /// The call was answered.
    DiscoveryAnswered {
        /// The relay.
        relay: RelayIndex,
        /// The number of the call.
        call: u64,
        /// The revision of the list in the answer.
        revision: u64,
    },
    /// The call failed, or its caller gave it up.
    DiscoveryFailed {
        /// The relay.
        relay: RelayIndex,
        /// The number of the call.
        call: u64,
    },
}

/// Something that happened, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Milliseconds since the cluster began.
    pub at_ms: Millis,
    /// What happened.
    pub kind: EventKind,
}

/// The log that all stand-ins of a cluster share.
#[derive(Clone)]
pub struct Log {
    start: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for Log {
    fn default() -> Self {
        Log { start: Instant::now(), events: Arc::default() }
    }
}

impl Log {
    /// Milliseconds since the cluster began.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Records what happens now.
    pub fn record(&self, kind: EventKind) {
        let mut events = lock(&self.events);
        // The clock is read under the lock, so that events are in the order of their times.
        let at_ms = self.now();
        if events.len() < MAX_EVENTS {
            events.push(Event { at_ms, kind });
        }
    }

    /// Whether the log has reached its limit, so that later events are missing.
    pub fn is_truncated(&self) -> bool {
        lock(&self.events).len() >= MAX_EVENTS
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        lock(&self.events).clone()
    }

    /// How many events so far match.
    pub fn count(&self, matches: impl Fn(&EventKind) -> bool) -> usize {
        lock(&self.events).iter().filter(|event| matches(&event.kind)).count()
    }

    /// Waits until a condition holds for the events, for at most `timeout_ms`; returns whether it does.
    pub async fn wait_until(&self, timeout_ms: Millis, condition: impl Fn(&[Event]) -> bool) -> bool {
        let end_ms = self.now() + timeout_ms;
        loop {
            if condition(&lock(&self.events)) {
                return true;
            }
            if self.now() > end_ms {
                return false;
            }
            tokio::time::sleep(duration(RECHECK_INTERVAL_MS)).await;
        }
    }
}
