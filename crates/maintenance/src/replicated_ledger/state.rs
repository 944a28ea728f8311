//! The protocol's state: the role of a relay and what it has to remember in that role. No transitions.

use std::collections::{BTreeMap, BTreeSet};

use super::{AcceptedLedger, Term};
use crate::{GrantedWindow, RefusalReason, WholeMillis, Window, WindowId};

/// The part that a relay has in the current term, with the state that belongs to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// Neither candidate nor leader. Relays that are no voters stay in it.
    Follower,
    /// Waits for votes.
    Candidate(CandidateState),
    /// Writes the ledger.
    Leader(LeaderState),
}

/// What a voter has answered to a candidate.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Vote {
    /// The voter's incarnation.
    pub incarnation: u64,
    /// The ledger that the voter has accepted last.
    pub accepted: AcceptedLedger,
}

/// An election under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CandidateState {
    pub term: Term,
    /// Votes by voter, the candidate's own included.
    pub votes: BTreeMap<u32, Vote>,
    pub started_at: WholeMillis,
    /// When votes were requested last.
    pub requested_at: WholeMillis,
}

/// A write that a majority has not acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingWrite {
    /// When it was sent first: leases granted by it run from then.
    pub written_at: WholeMillis,
    /// When it was sent last.
    pub sent_at: WholeMillis,
    /// Voters that have acknowledged it.
    pub acknowledged_by: BTreeSet<u32>,
}

/// A leadership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    pub term: Term,
    /// The voters that elected this leader, with their incarnations. No other acknowledgement counts.
    pub electors: BTreeMap<u32, u64>,
    pub elected_at: WholeMillis,
    /// The sequence number of the last write.
    pub seq: u64,
    /// The ledger as written last.
    pub written: Vec<GrantedWindow>,
    /// The ledger as it is to be written next.
    pub next: Vec<GrantedWindow>,
    pub pending: Option<PendingWrite>,
    /// When the last committed ledger was written.
    pub committed_at: Option<WholeMillis>,
}

/// A requested window that is not granted, as a voter knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct WaitingWindow {
    pub window: Window,
    /// When the request arrived last.
    pub requested_at: WholeMillis,
}

/// The closing of a window that the voters are still to be notified of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CloseNotice {
    /// How many more times it is sent.
    pub remaining_sends: u32,
    pub next_send_at: WholeMillis,
}

/// The status of a window, at the relay where it was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WindowStatus {
    /// Requested; no leader has answered yet.
    Requested,
    /// It waits.
    Waits {
        /// How many windows have waited longer.
        ahead: u32,
        /// The first window in the queue that waits for granted windows to end.
        first: Option<WindowId>,
    },
    /// It is granted.
    Granted {
        /// When the lease expires unless it is renewed.
        until: WholeMillis,
        /// When the window ends.
        end: WholeMillis,
    },
    /// Its lease has expired without a renewal: its drain has to end. It is requested again.
    Lapsed {
        /// When the window would have ended.
        end: WholeMillis,
    },
    /// It was refused.
    Refused(RefusalReason),
    /// It has come to its end.
    Ended,
    /// It was done or cancelled.
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
    /// Its status.
    pub status: WindowStatus,
    /// Why the last extension was refused.
    pub extension_refused: Option<RefusalReason>,
    /// When to send the request next.
    pub(super) next_request_at: WholeMillis,
    /// When the status was entered.
    pub(super) status_since: WholeMillis,
}

impl LocalWindow {
    /// Whether the request has to be sent: the window is not granted, or it is to be extended.
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

/// A ledger that a leader has sent, as a voter receives it.
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
