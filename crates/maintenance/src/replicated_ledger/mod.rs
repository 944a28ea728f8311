//! The grant protocol: a ledger of granted windows, written by an elected leader and replicated to
//! a few voters.
//!
//! [`ReplicatedLedger`] holds the protocol state of one relay: what the relay has promised and accepted as a
//! voter, its candidacy or leadership if any, and the windows that were requested at this relay. Each
//! transition takes a [`Context`] and, where one was received, a message, and appends the messages to be sent
//! to an [`Outbox`]. It does no I/O, reads no clock and draws no random numbers, so that the model checker in
//! `tests/model.rs` can run the production code.
//!
//! - **Election** (`election`, `voter`). A voter that knows of a waiting or a granted window and has no
//!   contact with a leader starts an election in a new term. Voters promise to accept nothing of an earlier
//!   term and return the ledger that they accepted last. A candidate with a majority of the votes becomes
//!   leader and starts from the newest of these ledgers.
//! - **Replication** (`replication`). The leader writes the whole ledger after every change, and again before
//!   leases expire. A ledger is committed once a majority has acknowledged it. Its windows are then granted
//!   for one lease from the time at which the ledger was written, less the bound on clock skew.
//! - **Restarts**. Nothing is stored, so a restarted voter has forgotten its promises. An acknowledgement
//!   counts only if it comes from the same incarnation of the voter as the vote that elected the leader, and
//!   a candidate gives up if a voter votes again in another incarnation. A restarted voter abstains for one
//!   lease, after which no lease that it may have acknowledged is in force. It takes part only in terms whose
//!   election started after its restart, since its earlier promises were for earlier terms.
//! - **Requests** (`requests`, `grants`). The relay at which a window is requested sends the
//!   request to all voters until the window is granted or refused. The leader decides.

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

/// What every transition of the protocol is given in addition to a message.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The current time by this relay's clock.
    pub now: WholeMillis,
    /// The protocol's timeouts.
    pub timing: &'a Timing,
    /// The endpoint list and the capacity floors, which determine what may be drained.
    pub plan: &'a CapacityPlan,
    /// The numbers of the relays that vote.
    pub voters: &'a [u32],
}

impl Context<'_> {
    /// Returns the smallest number of voters that is a majority.
    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// The protocol state of one relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicatedLedger {
    local_index: u32,
    incarnation: u64,
    promised: Option<Term>,
    accepted: AcceptedLedger,
    /// When any of these last happened: a leader's new write arrived, this relay gave its vote, became a
    /// candidate, committed a ledger, or gave up as candidate or leader.
    last_contact: Option<WholeMillis>,
    role: Role,
    /// Requested windows that are not granted yet, as far as this relay knows. Requests are sent to voters only.
    waiting: BTreeMap<WindowId, WaitingWindow>,
    /// The windows that were requested at this relay.
    local_windows: BTreeMap<WindowId, LocalWindow>,
    close_notices: BTreeMap<WindowId, CloseNotice>,
}

impl ReplicatedLedger {
    /// Returns the state of a relay that starts now. The start time is the relay's incarnation.
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

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the newest promised term. Writes of earlier terms are not accepted.
    pub fn promised(&self) -> Option<Term> {
        self.promised
    }

    /// Whether this relay believes that it is the leader. Other relays may disagree.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the windows that were requested at this relay.
    pub fn local_windows(&self) -> &BTreeMap<WindowId, LocalWindow> {
        &self.local_windows
    }

    /// Returns the granted windows, as far as this relay knows.
    pub fn granted(&self) -> &[GrantedWindow] {
        match &self.role {
            Role::Leader(leader) => &leader.written,
            Role::Follower | Role::Candidate(_) => &self.accepted.entries,
        }
    }

    /// Returns the waiting windows, as far as this relay knows.
    pub fn waiting(&self) -> impl Iterator<Item = &Window> {
        self.waiting.values().map(|waiting| &waiting.window)
    }

    /// Whether the scope of a window that was requested at this relay may be drained now.
    pub fn may_drain(&self, id: WindowId, now: WholeMillis) -> bool {
        let status = self.local_windows.get(&id).map(|local| local.status);
        matches!(status, Some(WindowStatus::Granted { until, .. }) if now < until)
    }

    /// Handles a message of another relay.
    pub fn handle_message(&mut self, context: Context<'_>, from: u32, message: Message, outbox: &mut Outbox) {
        match message {
            Message::Decision { id, decision } => self.handle_decision(context, id, decision),
            Message::CloseWindow(id) => self.handle_close(context, id),
            Message::RequestWindow(window) => self.handle_window_request(context, window, outbox),
            Message::RequestVote { term } => self.handle_request_vote(context, from, term, outbox),
            Message::Write { term, seq, entries } => {
                self.handle_write(context, from, state::LedgerWrite { term, seq, entries }, outbox);
            }
            Message::Vote { term, incarnation, accepted } => {
                self.handle_vote(context, from, term, state::Vote { incarnation, accepted }, outbox);
            }
            Message::WriteAck { term, seq, incarnation } => {
                self.handle_write_ack(context, from, state::WriteAck { term, seq, incarnation }, outbox);
            }
        }
    }

    /// Handles the passage of time: expires leases, repeats requests and writes, and starts an election
    /// if one is due.
    pub fn tick(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        self.expire_local_windows(context);
        self.retry_pending(context, outbox);
        self.expire_waiting(context);
        match &self.role {
            Role::Follower if self.may_vote(context) => self.maybe_start_election(context, outbox),
            Role::Follower => {}
            Role::Candidate(_) => self.advance_candidacy(context, outbox),
            Role::Leader(_) => self.maintain_leadership(context, outbox),
        }
    }

    /// Whether a message is a vote for this relay's candidacy, or an acknowledgement of this relay's pending
    /// write.
    pub fn awaits(&self, message: &Message) -> bool {
        match (&self.role, message) {
            (Role::Candidate(candidate), Message::Vote { term, .. }) => candidate.term == *term,
            (Role::Leader(leader), Message::WriteAck { term, seq, .. }) => {
                leader.pending.is_some() && leader.term == *term && leader.seq == *seq
            }
            _ => false,
        }
    }

    /// Sets all timestamps that no lease depends on to 0, for the model checker. The checker runs with
    /// timeouts of which only the lease matters, so states that differ only by these timestamps are
    /// equivalent.
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

    /// Sends a message to those other voters that `selects` accepts.
    fn send_to_voters(
        &self,
        context: Context<'_>,
        message: &Message,
        selects: impl Fn(u32) -> bool,
        outbox: &mut Outbox,
    ) {
        let others = context.voters.iter().filter(|voter| **voter != self.local_index && selects(**voter));
        outbox.extend(others.map(|voter| OutgoingMessage { to: *voter, message: message.clone() }));
    }
}
