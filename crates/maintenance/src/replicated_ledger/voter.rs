//! The voter's side: promises, accepted writes, and the requests it knows of.

use super::state::{LedgerWrite, Role, WaitingWindow};
use super::{
    AcceptedLedger, Context, Message, Outbox, OutgoingMessage, ReplicatedLedger, Term, WindowStatus,
};
use crate::{MAX_WAITING_WINDOWS, WholeMillis, Window, WindowId};

/// A request that was not repeated for so many retry intervals or election timeouts is forgotten.
const REQUEST_EXPIRY_INTERVALS: WholeMillis = 4;

impl ReplicatedLedger {
    /// Whether this relay takes part as a voter. A voter abstains after a restart until every lease
    /// that it may have acknowledged before has expired.
    pub(super) fn may_vote(&self, cx: Context<'_>) -> bool {
        cx.voters.contains(&self.local_index) && cx.now >= self.incarnation + cx.timing.abstention
    }

    /// Whether a voter may take part in a term. Its election has to have started in the voter's
    /// incarnation, since what an earlier incarnation promised is forgotten but was for earlier
    /// terms; and not in the future, since such a term would bar all others until then.
    fn is_current(&self, cx: Context<'_>, term: Term) -> bool {
        let skew = cx.timing.clock_skew_bound;
        term.round > self.incarnation + skew && term.round <= cx.now + skew
    }

    /// Whether another relay than this one leads or stands for election, and was in contact lately.
    fn follows_another(&self, cx: Context<'_>, relay: u32) -> bool {
        let in_contact = self.last_contact.is_some_and(|at| cx.now < at + cx.timing.election_timeout);
        let leader = self.accepted.term.map(|term| term.relay);
        in_contact && leader != Some(relay)
    }

    /// Votes for a candidate, unless another leader is in contact or a newer term is promised.
    pub(super) fn handle_request_vote(&mut self, cx: Context<'_>, from: u32, term: Term, out: &mut Outbox) {
        // Only the candidate itself may ask for votes for its term.
        if !self.may_vote(cx) || term.relay != from || !self.is_current(cx, term) {
            return;
        }
        // A vote that was lost is given again, as it binds the voter to nothing new.
        let is_repeated = self.promised == Some(term);
        if !is_repeated {
            // A voter does not help to depose a leader that is alive, and promises terms in
            // ascending order only.
            if self.follows_another(cx, from) || self.promised >= Some(term) {
                return;
            }
            self.promised = Some(term);
            // A promise of a newer term ends any candidacy or leadership of an earlier one.
            self.role = Role::Follower;
            self.last_contact = Some(cx.now);
        }
        let vote = Message::Vote { term, incarnation: self.incarnation, accepted: self.accepted.clone() };
        out.push(OutgoingMessage { to: from, message: vote });
    }

    /// Accepts and acknowledges a leader's ledger.
    pub(super) fn handle_write(&mut self, cx: Context<'_>, from: u32, write: LedgerWrite, out: &mut Outbox) {
        let LedgerWrite { term, seq, entries } = write;
        // Only the leader of a term writes in it.
        if !self.may_vote(cx) || term.relay != from || !self.is_current(cx, term) {
            return;
        }
        // A voter acknowledges only writes of the newest term it has promised, or of a newer one.
        if self.promised > Some(term) {
            return;
        }
        if self.promised < Some(term) {
            self.role = Role::Follower;
        }
        self.promised = Some(term);
        // A delayed or repeated write never replaces a newer one. It is acknowledged all the same, as
        // the first acknowledgement may have been lost.
        if (self.accepted.term, self.accepted.seq) < (Some(term), seq) {
            self.accepted = AcceptedLedger { term: Some(term), seq, entries };
            self.last_contact = Some(cx.now);
        }
        let acknowledgement = Message::WriteAck { term, seq, incarnation: self.incarnation };
        out.push(OutgoingMessage { to: from, message: acknowledgement });
    }

    /// Remembers who waits, or decides as leader.
    pub(super) fn handle_window_request(&mut self, cx: Context<'_>, window: Window, out: &mut Outbox) {
        let is_known = self.waiting.contains_key(&window.id);
        let is_full = !is_known && self.waiting.len() >= MAX_WAITING_WINDOWS;
        if self.is_leader() {
            self.decide_request(cx, window, is_full, out);
        } else if !is_full {
            // Any voter may be the next leader, so that each remembers who waits.
            self.waiting.insert(window.id, WaitingWindow { window, requested_at: cx.now });
        }
    }

    /// Forgets a window that is over. As leader, removes it from the next ledger.
    pub(super) fn handle_close(&mut self, cx: Context<'_>, id: WindowId) {
        self.waiting.remove(&id);
        let is_open_here = id.relay == self.local_index
            && self.local_windows.get(&id).is_some_and(|local| !local.status.is_over());
        if is_open_here {
            self.finish_window(cx.now, id, WindowStatus::Closed);
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.next.retain(|entry| entry.id != id);
        }
    }

    /// Forgets requests that are not repeated any more.
    pub(super) fn expire_waiting(&mut self, cx: Context<'_>) {
        let interval = cx.timing.retry_interval.max(cx.timing.election_timeout);
        let expiry = REQUEST_EXPIRY_INTERVALS * interval;
        self.waiting.retain(|_, waiting| cx.now < waiting.requested_at + expiry);
    }
}
