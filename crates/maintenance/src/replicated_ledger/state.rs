//! The data types of the protocol state. The transitions are in the other modules of the protocol.

use std::collections::{BTreeMap, BTreeSet};

use super::{AcceptedLedger, Term};
use crate::{GrantedWindow, RefusalReason, WholeMillis, Window, WindowId};

/// The role of a relay, with the state of that role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// Neither candidate nor leader. Relays that are not voters always have this role.
    Follower,
    /// The relay has started an election and waits for votes.
    Candidate(CandidateState),
    /// The relay has won an election and writes the ledger.
    Leader(LeaderState),
}

/// A vote, as the candidate receives it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Vote {
    /// The voter's incarnation.
    pub incarnation: u64,
    /// The ledger that the voter accepted last.
    pub accepted: AcceptedLedger,
}

/// The state of a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CandidateState {
    pub term: Term,
    /// The votes by voter, including the candidate's own vote.
    pub votes: BTreeMap<u32, Vote>,
    pub started_at: WholeMillis,
    /// When votes were requested last.
    pub requested_at: WholeMillis,
}

/// A write of the ledger that a majority has not acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingWrite {
    /// When the write was first sent. The leases that it grants start at this time.
    pub written_at: WholeMillis,
    /// When the write was last sent.
    pub sent_at: WholeMillis,
    /// The voters that have acknowledged the write.
    pub acknowledged_by: BTreeSet<u32>,
}

/// The state of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    pub term: Term,
    /// The voters that elected this leader, with their incarnations. Only their acknowledgements count.
    pub electors: BTreeMap<u32, u64>,
    pub elected_at: WholeMillis,
    /// The sequence number of the last write.
    pub seq: u64,
    /// The ledger that was written last.
    pub written: Vec<GrantedWindow>,
    /// The ledger that is to be written next.
    pub next: Vec<GrantedWindow>,
    pub pending: Option<PendingWrite>,
    /// When the last committed ledger was written.
    pub committed_at: Option<WholeMillis>,
}

/// A requested window that is not granted yet, as a voter knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct WaitingWindow {
    pub window: Window,
    /// When the request arrived last.
    pub requested_at: WholeMillis,
}

/// A notice to the voters that a window is over, which is still to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CloseNotice {
    /// How many more times the notice is sent.
    pub remaining_sends: u32,
    pub next_send_at: WholeMillis,
}

/// The status of a window, at the relay where it was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WindowStatus {
    /// The window was requested; no leader has answered yet.
    Requested,
    /// The window waits.
    Waits {
        /// How many waiting windows that the leader knows of have earlier ids.
        ahead: u32,
        /// The first window in the queue that waits for granted windows to end.
        first: Option<WindowId>,
    },
    /// The window is granted.
    Granted {
        /// When the lease expires unless it is renewed.
        until: WholeMillis,
        /// When the window ends.
        end: WholeMillis,
    },
    /// The window's lease has expired without a renewal: the drain has to end. The window is requested again.
    Lapsed {
        /// When the window would have ended.
        end: WholeMillis,
    },
    /// The window was refused.
    Refused(RefusalReason),
    /// The window has reached its end.
    Ended,
    /// The window was cancelled, or its work is done.
    Closed,
}

impl WindowStatus {
    /// Whether the status is final.
    pub fn is_over(self) -> bool {
        matches!(self, WindowStatus::Refused(_) | WindowStatus::Ended | WindowStatus::Closed)
    }
}

/// A window that was requested at this relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalWindow {
    /// The window, with the end that was requested last.
    pub window: Window,
    /// The window's status.
    pub status: WindowStatus,
    /// Why the last extension was refused, if it was.
    pub extension_refusal: Option<RefusalReason>,
    /// When the request is sent next.
    pub(super) next_request_at: WholeMillis,
    /// When the status last changed.
    pub(super) status_since: WholeMillis,
}

impl LocalWindow {
    /// Whether the request has to be sent: the window is open and not granted, or is to be extended.
    pub(super) fn needs_request(&self) -> bool {
        match self.status {
            WindowStatus::Requested | WindowStatus::Waits { .. } | WindowStatus::Lapsed { .. } => true,
            WindowStatus::Granted { .. } => self.awaits_extension(),
            WindowStatus::Refused(_) | WindowStatus::Ended | WindowStatus::Closed => false,
        }
    }

    /// Whether the window is granted and a later end is requested.
    pub fn awaits_extension(&self) -> bool {
        let WindowStatus::Granted { end, .. } = self.status else { return false };
        self.window.requested_end.is_some_and(|requested| requested > end)
    }

    pub(super) fn set_status(&mut self, status: WindowStatus, now: WholeMillis) {
        self.status = status;
        self.status_since = now;
    }
}

/// A write of the ledger, as a voter receives it.
#[derive(Clone, Debug)]
pub(super) struct LedgerWrite {
    pub term: Term,
    pub seq: u64,
    pub entries: Vec<GrantedWindow>,
}

/// The acknowledgement of a write, as the leader receives it.
#[derive(Clone, Copy, Debug)]
pub(super) struct WriteAck {
    pub term: Term,
    pub seq: u64,
    /// The voter's incarnation.
    pub incarnation: u64,
}
