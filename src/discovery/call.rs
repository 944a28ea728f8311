//! What the end of a call to discovery shows: as of when an answer confirms the list, and whether a call
//! without an answer means that discovery can't be reached.

use std::fmt;

use super::CallError;
use crate::policy::api::Millis;

/// A call that is refused sooner than this was not queued by an overloaded service: discovery is down.
pub const MIN_QUEUED_MS: Millis = 100.0;

/// A call as it was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentCall {
    /// When the call was sent.
    pub sent_at: Millis,
    /// For how long discovery may hold the call, in ms; 0 unless the call is a watch.
    pub wait: Millis,
}

impl SentCall {
    /// Whether discovery may hold the call until the list changes.
    pub fn is_watch(&self) -> bool {
        self.wait > 0.0
    }

    /// The latest time as of which an answer at `answered_at` certainly shows the list. How long the answer
    /// was under way is unknown, so this is when the call was sent, or when discovery may have ended its hold
    /// at the earliest.
    pub fn confirmed_at(&self, answered_at: Millis) -> Millis {
        let was_held = answered_at - self.sent_at >= self.wait;
        if was_held { self.sent_at + self.wait } else { self.sent_at }
    }

    /// How long the answer took beyond the hold; `None` where a change has ended the hold, so that its length
    /// is unknown.
    pub fn latency(&self, answered_at: Millis) -> Option<Millis> {
        let latency = answered_at - self.sent_at - self.wait;
        (latency >= 0.0).then_some(latency)
    }
}

/// What a call that brought no list shows about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Discovery can't be reached, so no relay can have received a change since the call was sent.
    Unreachable,
    /// Discovery can be reached, or nothing shows that it can't: it may have changed the list.
    PossiblyReachable,
}

impl fmt::Display for Reachability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reachability::Unreachable => "counts as unreachable",
            Reachability::PossiblyReachable => "may have changed the list",
        })
    }
}

/// A call that brought no list.
#[derive(Debug)]
pub struct FailedCall {
    /// Why there is no list.
    pub error: CallError,
    /// Whether the connection to discovery was opened.
    pub has_connected: bool,
    /// Whether the call failed for want of this machine's own resources, such as descriptors.
    pub is_local: bool,
    /// The time since the call was sent, in ms.
    pub elapsed: Millis,
}

impl FailedCall {
    /// What the failure shows. Discovery counts as unreachable where no connection was opened, or where the
    /// call broke off or was refused at once. A call that is refused only after a wait has reached a service
    /// that is overloaded, and a call without an answer may still be queued.
    pub fn reachability(&self) -> Reachability {
        let is_broken_or_refused =
            matches!(self.error, CallError::Io(_) | CallError::Truncated(_) | CallError::Status(_));
        let is_refused_at_once = is_broken_or_refused && self.elapsed < MIN_QUEUED_MS;
        if !self.is_local && (!self.has_connected || is_refused_at_once) {
            Reachability::Unreachable
        } else {
            Reachability::PossiblyReachable
        }
    }
}
