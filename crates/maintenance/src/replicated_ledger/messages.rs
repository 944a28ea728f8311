//! What relays send each other about maintenance windows: typed messages, without their encoding
//! (see [`codec`](crate::codec)).

use crate::{GrantedWindow, RefusalReason, WholeMillis, Window, WindowId};

/// A term of leadership. Terms are ordered by round, then by relay, then by incarnation; a later
/// term supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term {
    /// When the election started, by the candidate's clock, and later than any round that the candidate knew.
    pub round: u64,
    /// The candidate.
    pub relay: u32,
    /// The candidate's incarnation.
    pub incarnation: u64,
}

/// The ledger that a voter has accepted last.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AcceptedLedger {
    /// The term in which it was written; `None` before the first write.
    pub term: Option<Term>,
    /// Its sequence number within the term.
    pub seq: u64,
    /// The windows granted by it.
    pub entries: Vec<GrantedWindow>,
}

/// What the leader has decided about a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Decision {
    /// Granted under a lease, which is renewed until the window's end.
    Granted {
        /// When the lease expires unless it is renewed.
        until: WholeMillis,
        /// When the window ends in any case.
        end: WholeMillis,
    },
    /// The window has to wait.
    Waits {
        /// How many known waiting windows have earlier ids. It is not the place in the queue: windows that
        /// override the floor come first.
        ahead: u32,
        /// The first window in the queue that waits for granted windows to end.
        first: Option<WindowId>,
    },
    /// Not granted, or not extended.
    Refused(RefusalReason),
}

/// What relays send each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A candidate asks for a vote.
    RequestVote {
        /// The term that starts if the candidate is elected.
        term: Term,
    },
    /// A vote: the promise to accept nothing of an earlier term.
    Vote {
        /// The term voted for.
        term: Term,
        /// The voter's incarnation.
        incarnation: u64,
        /// The ledger that the voter has accepted last.
        accepted: AcceptedLedger,
    },
    /// The leader replicates its ledger.
    Write {
        /// The leader's term.
        term: Term,
        /// The ledger's sequence number within the term.
        seq: u64,
        /// All windows granted.
        entries: Vec<GrantedWindow>,
    },
    /// A voter has accepted a write.
    WriteAck {
        /// The leader's term.
        term: Term,
        /// The sequence number of the write.
        seq: u64,
        /// The voter's incarnation.
        incarnation: u64,
    },
    /// A window is requested, is still wanted, or is to last longer.
    RequestWindow(Window),
    /// A window is over, or not wanted any more.
    CloseWindow(WindowId),
    /// The leader's decision, for the relay at which the window was requested.
    Decision {
        /// The window.
        id: WindowId,
        /// What was decided.
        decision: Decision,
    },
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutgoingMessage {
    /// The relay that it is for.
    pub to: u32,
    /// What is sent.
    pub message: Message,
}

/// Messages to be sent, in order.
pub type Outbox = Vec<OutgoingMessage>;
