//! The voter's side of the protocol: promises, accepted writes, and waiting requests.

use super::state::{LedgerWrite, Role, WaitingWindow};
use super::{
    AcceptedLedger, Context, Message, Outbox, OutgoingMessage, ReplicatedLedger, Term, WindowStatus,
};
use crate::{MAX_WAITING_WINDOWS, WholeMillis, Window, WindowId};

/// The number of intervals after which a voter forgets a request that was not repeated. The interval is the
/// retry interval or the election timeout, whichever is longer.
const REQUEST_EXPIRY_INTERVALS: WholeMillis = 4;

impl ReplicatedLedger {
    /// Whether this relay takes part as a voter. A voter abstains after a restart until every lease
    /// that it may have acknowledged before has expired.
    pub(super) fn may_vote(&self, context: Context<'_>) -> bool {
        context.voters.contains(&self.local_index)
            && context.now >= self.incarnation + context.timing.abstention
    }

    /// Whether a voter may take part in a term. The term's election must have started during the voter's
    /// current incarnation: the promises of earlier incarnations are forgotten, but were for earlier
    /// terms. The election must not have started in the future, since a promise of such a term would bar all
    /// other terms until then.
    fn is_current(&self, context: Context<'_>, term: Term) -> bool {
        let skew = context.timing.clock_skew_bound;
        term.round > self.incarnation + skew && term.round <= context.now + skew
    }

    /// Whether a leader or candidate was in contact within the election timeout, and `relay` is not the
    /// leader whose ledger this voter accepted last.
    fn follows_another(&self, context: Context<'_>, relay: u32) -> bool {
        let in_contact =
            self.last_contact.is_some_and(|at| context.now < at + context.timing.election_timeout);
        let leader = self.accepted.term.map(|term| term.relay);
        in_contact && leader != Some(relay)
    }

    /// Votes for a candidate, unless another leader is in contact or this voter has promised the same or a
    /// later term already.
    pub(super) fn handle_request_vote(
        &mut self,
        context: Context<'_>,
        from: u32,
        term: Term,
        outbox: &mut Outbox,
    ) {
        // Only the candidate itself may request votes for its term.
        if !self.may_vote(context) || term.relay != from || !self.is_current(context, term) {
            return;
        }
        // The vote may have been lost, so it is sent again; this adds no promise.
        let is_repeated = self.promised == Some(term);
        if !is_repeated {
            // A voter does not help to replace a leader that is alive, and promises terms in
            // ascending order only.
            if self.follows_another(context, from) || self.promised >= Some(term) {
                return;
            }
            self.promised = Some(term);
            // The promise of a newer term ends this relay's candidacy or leadership of an earlier term.
            self.role = Role::Follower;
            self.last_contact = Some(context.now);
        }
        let vote = Message::Vote { term, incarnation: self.incarnation, accepted: self.accepted.clone() };
        outbox.push(OutgoingMessage { to: from, message: vote });
    }

    /// Accepts and acknowledges a leader's ledger.
    pub(super) fn handle_write(
        &mut self,
        context: Context<'_>,
        from: u32,
        write: LedgerWrite,
        outbox: &mut Outbox,
    ) {
        let LedgerWrite { term, seq, entries } = write;
        // Only the leader of a term may write in that term.
        if !self.may_vote(context) || term.relay != from || !self.is_current(context, term) {
            return;
        }
        // A voter acknowledges only writes of the newest term that it has promised, or of a newer term.
        if self.promised > Some(term) {
            return;
        }
        if self.promised < Some(term) {
            self.role = Role::Follower;
        }
        self.promised = Some(term);
        // A delayed or repeated write never replaces a newer write. Such a write is acknowledged
        // nevertheless, as the first acknowledgement may have been lost.
        if (self.accepted.term, self.accepted.seq) < (Some(term), seq) {
            self.accepted = AcceptedLedger { term: Some(term), seq, entries };
            self.last_contact = Some(context.now);
        }
        let acknowledgement = Message::WriteAck { term, seq, incarnation: self.incarnation };
        outbox.push(OutgoingMessage { to: from, message: acknowledgement });
    }

    /// Decides a window request as leader, or else stores it as waiting.
    pub(super) fn handle_window_request(
        &mut self,
        context: Context<'_>,
        window: Window,
        outbox: &mut Outbox,
    ) {
        let is_known = self.waiting.contains_key(&window.id);
        let is_full = !is_known && self.waiting.len() >= MAX_WAITING_WINDOWS;
        if self.is_leader() {
            self.decide_request(context, window, is_full, outbox);
        } else if !is_full {
            // Any voter may become the next leader, so every voter stores the waiting windows.
            self.waiting.insert(window.id, WaitingWindow { window, requested_at: context.now });
        }
    }

    /// Forgets a window that is over. Closes it if it was requested at this relay, and removes it from the
    /// next ledger if this relay is the leader.
    pub(super) fn handle_close(&mut self, context: Context<'_>, id: WindowId) {
        self.waiting.remove(&id);
        let is_open_here = id.relay == self.local_index
            && self.local_windows.get(&id).is_some_and(|local| !local.status.is_over());
        if is_open_here {
            self.finish_window(context.now, id, WindowStatus::Closed);
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.next.retain(|entry| entry.id != id);
        }
    }

    /// Forgets requests that are no longer repeated.
    pub(super) fn expire_waiting(&mut self, context: Context<'_>) {
        let interval = context.timing.retry_interval.max(context.timing.election_timeout);
        let expiry = REQUEST_EXPIRY_INTERVALS * interval;
        self.waiting.retain(|_, waiting| context.now < waiting.requested_at + expiry);
    }
}
