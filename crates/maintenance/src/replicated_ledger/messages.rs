//! The messages that relays exchange about maintenance windows. [`codec`](crate::codec) has their encoding.

use crate::{GrantedWindow, RefusalReason, WholeMillis, Window, WindowId};

/// A term of leadership. Terms are ordered by round, then by relay, then by incarnation; a later
/// term supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term {
    /// The start of the election by the candidate's clock, or a later value where a term that the candidate
    /// had promised has the same or a later round.
    pub round: u64,
    /// The candidate's number.
    pub relay: u32,
    /// The candidate's incarnation.
    pub incarnation: u64,
}

/// The ledger that a voter accepted last.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AcceptedLedger {
    /// The term in which the ledger was written; `None` before the first write.
    pub term: Option<Term>,
    /// The ledger's sequence number within the term.
    pub seq: u64,
    /// The windows in the ledger.
    pub entries: Vec<GrantedWindow>,
}

/// The leader's decision about a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Decision {
    /// The window is granted under a lease, which is renewed until the window ends.
    Granted {
        /// When the lease expires unless it is renewed.
        until: WholeMillis,
        /// When the window ends in any case.
        end: WholeMillis,
    },
    /// The window has to wait.
    Waits {
        /// How many waiting windows that the leader knows of have earlier ids. This is not the position in
        /// the queue, since windows that override the capacity floors come first.
        ahead: u32,
        /// The first window in the queue that waits for granted windows to end.
        first: Option<WindowId>,
    },
    /// The window is not granted, or not extended.
    Refused(RefusalReason),
}

/// A message between relays.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A candidate requests a vote.
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
        /// The ledger that the voter accepted last.
        accepted: AcceptedLedger,
    },
    /// The leader replicates its ledger.
    Write {
        /// The leader's term.
        term: Term,
        /// The ledger's sequence number within the term.
        seq: u64,
        /// All granted windows.
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
    /// A window is requested for the first time or again, or is to be extended.
    RequestWindow(Window),
    /// A window is over, or is no longer wanted.
    CloseWindow(WindowId),
    /// The leader's decision, sent to the relay at which the window was requested.
    Decision {
        /// The window.
        id: WindowId,
        /// What was decided.
        decision: Decision,
    },
}

/// A message and its recipient.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OutgoingMessage {
    /// The number of the relay that receives the message.
    pub to: u32,
    /// The message.
    pub message: Message,
}

/// Messages to be sent, in order.
pub type Outbox = Vec<OutgoingMessage>;
