//! The grant protocol: a ledger of granted windows, written by an elected leader and replicated to
//! a few voters.
//!
//! [`ReplicatedLedger`] owns one relay's part: what it has promised and accepted as a voter, its
//! leadership if it has one, and the windows that were requested here. Each step takes the time in
//! milliseconds, the plan and a message, and appends the messages to be sent to an [`Outbox`]. It
//! does no I/O, reads no clock and draws no random numbers, so that the model checker in
//! `tests/model.rs` runs this very code.
//!
//! - **Election** (`election`, `voter`). A voter that knows of a waiting window and has no contact
//!   with a leader starts an election in a new term. Voters promise to accept nothing of an earlier
//!   term and return the ledger that they have accepted last. With a majority of votes the
//!   candidate leads, starting from the newest of these ledgers.
//! - **Replication** (`replication`). The leader writes the whole ledger for every change, and
//!   again before leases expire. A ledger is committed once a majority has acknowledged it, and its
//!   windows are granted for one lease from the time at which it was written, less the bound on
//!   clock skew.
//! - **Restarts**. Nothing is stored, so a voter that restarts has forgotten its promises. A vote
//!   or an acknowledgement counts only if it is of the incarnation of the voter that elected the
//!   leader. A restarted voter abstains for one lease, after which nothing that it may have
//!   acknowledged is in force, and it takes part only in terms whose election started after its
//!   restart: whatever it promised before was for earlier terms.
//! - **Requests** (`requests`, `grants`). The relay at which a window is requested sends the
//!   request to all voters until it is granted; the leader decides.

mod election;
mod grants;
mod messages;
mod replication;
mod requests;
mod state;
mod voter;

use std::collections::BTreeMap;

use crate::plan::CapacityPlan;
use crate::{GrantedWindow, Timing, WholeMillis, Window, WindowId};

pub use messages::{AcceptedLedger, Decision, Message, Outbox, OutgoingMessage, Term};
pub use state::{LocalWindow, WindowStatus};

use state::{CloseNotice, Role, WaitingWindow};

/// What every step is given beside its message.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// This relay's clock.
    pub now: WholeMillis,
    /// The protocol's timeouts.
    pub timing: &'a Timing,
    /// What may be drained.
    pub plan: &'a CapacityPlan,
    /// The relays that vote.
    pub voters: &'a [u32],
}

impl Context<'_> {
    /// The number of voters that is a majority.
    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// One relay's part in the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicatedLedger {
    local_index: u32,
    incarnation: u64,
    promised: Option<Term>,
    accepted: AcceptedLedger,
    /// When a leader or a candidate was in contact last, or this relay gave up being one.
    last_contact: Option<WholeMillis>,
    role: Role,
    /// Requested windows that are not granted, as far as this voter knows.
    waiting: BTreeMap<WindowId, WaitingWindow>,
    /// Windows that were requested at this relay.
    local_windows: BTreeMap<WindowId, LocalWindow>,
    close_notices: BTreeMap<WindowId, CloseNotice>,
}

impl ReplicatedLedger {
    /// A relay that starts now: the time is its incarnation.
    pub fn new(local_index: u32, now: WholeMillis) -> ReplicatedLedger {
        ReplicatedLedger {
            local_index,
            incarnation: now,
            promised: None,
            accepted: AcceptedLedger::default(),
            last_contact: None,
            role: Role::Follower,
            waiting: BTreeMap::new(),
            local_windows: BTreeMap::new(),
            close_notices: BTreeMap::new(),
        }
    }

    /// This process's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The newest term promised: writes of earlier terms are not accepted.
    pub fn promised(&self) -> Option<Term> {
        self.promised
    }

    /// Whether this relay believes itself the leader. Others need not agree.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The windows that were requested here.
    pub fn local_windows(&self) -> &BTreeMap<WindowId, LocalWindow> {
        &self.local_windows
    }

    /// The granted windows, as far as this relay knows.
    pub fn granted(&self) -> &[GrantedWindow] {
        match &self.role {
            Role::Leader(leader) => &leader.written,
            Role::Follower | Role::Candidate(_) => &self.accepted.entries,
        }
    }

    /// The waiting windows, as far as this relay knows.
    pub fn waiting(&self) -> impl Iterator<Item = &Window> {
        self.waiting.values().map(|waiting| &waiting.window)
    }

    /// Whether a window that was requested here may drain now.
    pub fn may_drain(&self, id: WindowId, now: WholeMillis) -> bool {
        let status = self.local_windows.get(&id).map(|local| local.status);
        matches!(status, Some(WindowStatus::Granted { until, .. }) if now < until)
    }

    /// Handles a message of another relay.
    pub fn handle_message(&mut self, cx: Context<'_>, from: u32, message: Message, out: &mut Outbox) {
        match message {
            Message::Decision { id, decision } => self.handle_decision(cx, id, decision),
            Message::CloseWindow(id) => self.handle_close(cx, id),
            Message::RequestWindow(window) => self.handle_window_request(cx, window, out),
            Message::RequestVote { term } => self.handle_request_vote(cx, from, term, out),
            Message::Write { term, seq, entries } => {
                self.handle_write(cx, from, state::LedgerWrite { term, seq, entries }, out);
            }
            Message::Vote { term, incarnation, accepted } => {
                self.handle_vote(cx, from, term, state::Vote { incarnation, accepted }, out);
            }
            Message::WriteAck { term, seq, incarnation } => {
                self.handle_write_ack(cx, from, state::WriteAck { term, seq, incarnation }, out);
            }
        }
    }

    /// Lets time pass: leases expire, requests and writes are sent again, and an election is
    /// started where it is due.
    pub fn tick(&mut self, cx: Context<'_>, out: &mut Outbox) {
        self.expire_local_windows(cx);
        self.retry_pending(cx, out);
        self.expire_waiting(cx);
        match &self.role {
            Role::Follower if self.may_vote(cx) => self.maybe_start_election(cx, out),
            Role::Follower => {}
            Role::Candidate(_) => self.advance_candidacy(cx, out),
            Role::Leader(_) => self.maintain_leadership(cx, out),
        }
    }

    /// Whether a vote or an acknowledgement answers what this relay has outstanding, as candidate
    /// or as leader.
    pub fn awaits(&self, message: &Message) -> bool {
        match (&self.role, message) {
            (Role::Candidate(candidate), Message::Vote { term, .. }) => candidate.term == *term,
            (Role::Leader(leader), Message::WriteAck { term, seq, .. }) => {
                leader.pending.is_some() && leader.term == *term && leader.seq == *seq
            }
            _ => false,
        }
    }

    /// Sets timestamps that no lease depends on to 0, for the model checker: it runs with timeouts
    /// of which only the lease matters, and takes states that differ only by these timestamps for
    /// the same.
    #[doc(hidden)]
    pub fn clear_timestamps(&mut self) {
        self.last_contact = self.last_contact.and(Some(0));
        for waiting in self.waiting.values_mut() {
            waiting.requested_at = 0;
        }
        for local in self.local_windows.values_mut() {
            local.next_request_at = 0;
            local.status_since = 0;
        }
        for notice in self.close_notices.values_mut() {
            notice.next_send_at = 0;
        }
        match &mut self.role {
            Role::Follower => {}
            Role::Candidate(candidate) => {
                candidate.started_at = 0;
                candidate.requested_at = 0;
            }
            Role::Leader(leader) => {
                leader.elected_at = 0;
                if let Some(pending) = &mut leader.pending {
                    pending.sent_at = 0;
                }
            }
        }
    }

    /// Sends a message to the other voters that a filter selects.
    fn send_to_voters(
        &self,
        cx: Context<'_>,
        message: &Message,
        selects: impl Fn(u32) -> bool,
        out: &mut Outbox,
    ) {
        let others = cx.voters.iter().filter(|voter| **voter != self.local_index && selects(**voter));
        out.extend(others.map(|voter| OutgoingMessage { to: *voter, message: message.clone() }));
    }
}
