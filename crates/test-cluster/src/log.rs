//! What the stand-ins have seen, in one log with one clock.
//!
//! It owns the events and the clock; it is fed by every stand-in and read by [`crate::invariants`] and by whoever counts.
//! It draws no conclusions.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::{Millis, locked};

/// Most events that are kept; a run that sees more has lost its way, and the log says so by [`Log::full`].
const MOST: usize = 4_000_000;

/// A relay's number in the tier.
pub type Relay = usize;

/// What a client was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It stands: with this receipt.
    Up(String),
    /// It is to come again after so many milliseconds, if any are named.
    Busy(Option<u64>),
    /// Any other line.
    Failed(String),
    /// The connection ended without an answer.
    Cut,
}

/// How an attempt ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It stands.
    Up,
    /// Turned away: it has never run.
    Busy,
    /// An error; it may have run.
    Error,
    /// The endpoint broke the connection; it may have run.
    Reset,
    /// The relay gave it up; it may have run.
    GivenUp,
}

/// What a call of discovery asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The whole list.
    List,
    /// What is newer than a revision, for so many milliseconds at the most.
    Watch {
        /// The revision.
        after: u64,
        /// How long it may wait.
        wait_ms: u64,
    },
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A relay's process was started; it knows the list as of this revision.
    Started {
        /// Which.
        relay: Relay,
        /// The revision of its `known`.
        known: u64,
    },
    /// A relay answered `PING` for the first time since its start.
    Ready(Relay),
    /// A relay's process was killed, or has ended after SIGTERM: what it still owed is its clients' loss.
    Died(Relay),
    /// A relay was told to end.
    Terminated(Relay),
    /// A relay's process stands still from now on.
    Stopped(Relay),
    /// It goes on.
    Continued(Relay),
    /// A client's first line is written to a relay that accepted it.
    Asked {
        /// The connection's id, fresh for each try.
        id: u64,
        /// At which relay.
        relay: Relay,
        /// How long the client waits.
        wait_ms: Millis,
        /// Its class.
        class: Arc<str>,
        /// Its tenant.
        tenant: Arc<str>,
        /// It arrives mid-flow.
        mid: bool,
    },
    /// A relay's answer to it.
    Answered {
        /// The connection's id.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// The client left before it was answered.
    Left {
        /// The connection's id.
        id: u64,
    },
    /// A standing connection was told to move.
    Moved {
        /// The connection's id.
        id: u64,
    },
    /// A standing connection broke without `MOVE`.
    Broke {
        /// The connection's id.
        id: u64,
    },
    /// A client arrives, before its first try.
    Arrived {
        /// Its number in this process, whichever rig it is of.
        client: u64,
        /// Its class.
        class: Arc<str>,
        /// Its tenant.
        tenant: Arc<str>,
    },
    /// A client is done: it was served in time or was not, over all its tries.
    Done {
        /// Its number.
        client: u64,
        /// Its class.
        class: Arc<str>,
        /// Its tenant.
        tenant: Arc<str>,
        /// Whether it was served.
        served: bool,
    },
    /// A first line has arrived at an endpoint.
    Attempt {
        /// The connection's id.
        id: u64,
        /// The endpoint.
        endpoint: Arc<str>,
        /// When the line's first byte came.
        first_byte: Millis,
        /// It is of a connection that connections already.
        mid: bool,
    },
    /// That attempt has ended, or stands.
    AttemptEnded {
        /// The connection's id.
        id: u64,
        /// The endpoint.
        endpoint: Arc<str>,
        /// How.
        end: End,
        /// The receipt of one that stands.
        receipt: Option<String>,
    },
    /// An endpoint that may take so many set-ups a second when warm has started cold.
    ColdStart {
        /// The endpoint.
        endpoint: Arc<str>,
        /// Set-ups a second that it bears when warm.
        rate: f64,
    },
    /// An endpoint fell over.
    Fell(Arc<str>),
    /// The list has changed.
    Listed {
        /// The list's revision from now on.
        revision: u64,
        /// The endpoint.
        endpoint: Arc<str>,
        /// Its zone.
        zone: Arc<str>,
        /// `Ready`, `Terminating` or `Gone`.
        phase: &'static str,
        /// It has just started, by its entry.
        fresh: bool,
    },
    /// The rig's own thread has stood still until now: what came meanwhile is noted only after it.
    Stalled {
        /// For how long.
        ms: Millis,
    },
    /// A relay calls discovery.
    Called {
        /// Which relay.
        relay: Relay,
        /// The number of the call.
        call: u64,
        /// What it asks for.
        what: Call,
        /// It has to be served in turn, at the service's cost; a watch that goes on has not.
        begins: bool,
    },
    /// The call was answered with the list as of this revision.
    Told {
        /// Which relay.
        relay: Relay,
        /// The number of the call.
        call: u64,
        /// The revision.
        revision: u64,
    },
    /// The call failed, or its caller left before the answer.
    NotTold {
        /// Which relay.
        relay: Relay,
        /// The number of the call.
        call: u64,
    },
}

/// Something that happened, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Milliseconds since the rig began.
    pub at: Millis,
    /// What.
    pub what: What,
}

/// The log that all stand-ins of a rig share.
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
    /// Milliseconds since the rig began.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Notes what happens now.
    pub fn note(&self, what: What) {
        let mut events = locked(&self.events);
        // Under the lock, so that the log is in the order of time.
        let at = self.now();
        if events.len() < MOST {
            events.push(Event { at, what });
        }
    }

    /// Whether events were left out.
    pub fn full(&self) -> bool {
        locked(&self.events).len() >= MOST
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        locked(&self.events).clone()
    }

    /// How many events so far are of a kind.
    pub fn count(&self, of: impl Fn(&What) -> bool) -> usize {
        locked(&self.events).iter().filter(|e| of(&e.what)).count()
    }

    /// Waits until something holds of the log, for so long at the most; whether it does.
    pub async fn until(&self, most: Millis, holds: impl Fn(&[Event]) -> bool) -> bool {
        let end = self.now() + most;
        loop {
            if holds(&locked(&self.events)) {
                return true;
            }
            if self.now() > end {
                return false;
            }
            tokio::time::sleep(crate::span(20.0)).await;
        }
    }
}
