//! The leader's side: writes of the ledger, their acknowledgements, and leases.

use std::collections::BTreeSet;

use super::state::{PendingWrite, Role, WriteAck};
use super::{AcceptedLedger, Context, Message, Outbox, ReplicatedLedger};
use crate::WindowId;

/// A leader steps down after so many quorum timeouts without a commit.
const STEP_DOWN_QUORUM_TIMEOUTS: u64 = 2;

impl ReplicatedLedger {
    /// Writes the ledger where it has changed or its leases are due to be renewed, and steps down
    /// where a majority does not answer or nothing is left to be granted.
    pub(super) fn maintain_leadership(&mut self, cx: Context<'_>, out: &mut Outbox) {
        let Role::Leader(leader) = &mut self.role else { return };
        let last_commit = leader.committed_at.unwrap_or(leader.elected_at);
        if last_commit + cx.timing.quorum_timeout * STEP_DOWN_QUORUM_TIMEOUTS <= cx.now {
            // A majority is out of reach, has promised a newer term, or has restarted.
            return self.become_follower(cx);
        }
        // One write at a time: the next ledger is written once this one is committed.
        if let Some(pending) = &mut leader.pending {
            if cx.now >= pending.sent_at + cx.timing.retry_interval {
                pending.sent_at = cx.now;
                self.replicate(cx, out);
            }
            return;
        }
        // A relay whose clock is behind may still drain for the clock skew bound after a window's end.
        leader.next.retain(|entry| cx.now < entry.end + cx.timing.clock_skew_bound);
        self.grant_waiting(cx);
        self.write_if_due(cx, out);
    }

    /// Writes the next ledger where it differs from the last or its leases are due to be renewed.
    fn write_if_due(&mut self, cx: Context<'_>, out: &mut Outbox) {
        let Role::Leader(leader) = &mut self.role else { return };
        let is_idle = leader.next.is_empty() && leader.written.is_empty() && self.waiting.is_empty();
        if is_idle && leader.committed_at.is_some() {
            // Nothing is granted and nobody waits: no leader is needed.
            self.role = Role::Follower;
            return;
        }
        let renewal = cx.timing.lease_renewal;
        let is_renewal_due = leader.committed_at.is_none_or(|committed| cx.now >= committed + renewal);
        if is_renewal_due || leader.next != leader.written {
            leader.written = leader.next.clone();
            leader.seq += 1;
            let acknowledged_by = BTreeSet::new();
            leader.pending = Some(PendingWrite { written_at: cx.now, sent_at: cx.now, acknowledged_by });
            self.replicate(cx, out);
        }
    }

    /// Sends the pending write to the electors that have not acknowledged it, and accepts it here.
    fn replicate(&mut self, cx: Context<'_>, out: &mut Outbox) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(pending) = &leader.pending else { return };
        let term = leader.term;
        let seq = leader.seq;
        let entries = leader.written.clone();
        let message = Message::Write { term, seq, entries: entries.clone() };
        let is_missing =
            |voter: u32| leader.electors.contains_key(&voter) && !pending.acknowledged_by.contains(&voter);
        self.send_to_voters(cx, &message, is_missing, out);
        self.accepted = AcceptedLedger { term: Some(term), seq, entries };
        let acknowledgement = WriteAck { term, seq, incarnation: self.incarnation };
        self.handle_write_ack(cx, self.local_index, acknowledgement, out);
    }

    /// Counts the acknowledgement of the pending write.
    pub(super) fn handle_write_ack(
        &mut self,
        cx: Context<'_>,
        from: u32,
        acknowledgement: WriteAck,
        out: &mut Outbox,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.term != acknowledgement.term || leader.seq != acknowledgement.seq {
            return;
        }
        // Only electors count, in the incarnation that voted: a restarted voter has forgotten its promise.
        if leader.electors.get(&from) != Some(&acknowledgement.incarnation) {
            return;
        }
        let Some(pending) = &mut leader.pending else { return };
        pending.acknowledged_by.insert(from);
        self.maybe_commit(cx, out);
    }

    /// Commits the pending write once a majority has acknowledged it, and notifies the relays of its windows.
    fn maybe_commit(&mut self, cx: Context<'_>, out: &mut Outbox) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(pending) = &leader.pending else { return };
        if pending.acknowledged_by.len() < cx.majority() {
            return;
        }
        // Leases run from the time of the write, not of the commit: voters may have accepted it that early.
        leader.committed_at = Some(pending.written_at);
        leader.pending = None;
        self.last_contact = Some(cx.now);
        let ids: Vec<WindowId> = leader.written.iter().map(|entry| entry.id).collect();
        for id in ids {
            self.notify_grant(cx, id, out);
        }
        // What has changed since the write need not wait for the next tick.
        self.maintain_leadership(cx, out);
    }
}
