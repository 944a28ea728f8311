//! The leader's side of replication: writes of the ledger, their acknowledgements, and lease renewal.

use std::collections::BTreeSet;

use super::state::{PendingWrite, Role, WriteAck};
use super::{AcceptedLedger, Context, Message, Outbox, ReplicatedLedger};
use crate::WindowId;

/// The number of quorum timeouts without a commit after which a leader steps down.
const STEP_DOWN_QUORUM_TIMEOUTS: u64 = 2;

impl ReplicatedLedger {
    /// Writes the ledger if it has changed or its leases are due to be renewed. Steps down if a majority
    /// does not answer, or if no window is granted or waiting.
    pub(super) fn maintain_leadership(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        let Role::Leader(leader) = &mut self.role else { return };
        let last_commit = leader.committed_at.unwrap_or(leader.elected_at);
        if last_commit + context.timing.quorum_timeout * STEP_DOWN_QUORUM_TIMEOUTS <= context.now {
            // A majority of the voters is unreachable, has promised a newer term, or has restarted.
            return self.become_follower(context);
        }
        // Only one write is pending at a time: the next ledger is written once the pending write is
        // committed.
        if let Some(pending) = &mut leader.pending {
            if context.now >= pending.sent_at + context.timing.retry_interval {
                pending.sent_at = context.now;
                self.replicate(context, outbox);
            }
            return;
        }
        // A relay whose clock is behind may drain beyond a window's end for up to the clock skew bound.
        leader.next.retain(|entry| context.now < entry.end + context.timing.clock_skew_bound);
        self.grant_waiting(context);
        self.write_if_due(context, outbox);
    }

    /// Writes the next ledger if it differs from the ledger that was written last or leases are due to be
    /// renewed.
    fn write_if_due(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        let Role::Leader(leader) = &mut self.role else { return };
        let is_idle = leader.next.is_empty() && leader.written.is_empty() && self.waiting.is_empty();
        if is_idle && leader.committed_at.is_some() {
            // No window is granted or waiting, so no leader is needed.
            self.role = Role::Follower;
            return;
        }
        let renewal = context.timing.lease_renewal;
        let is_renewal_due = leader.committed_at.is_none_or(|committed| context.now >= committed + renewal);
        if is_renewal_due || leader.next != leader.written {
            leader.written = leader.next.clone();
            leader.seq += 1;
            let acknowledged_by = BTreeSet::new();
            leader.pending =
                Some(PendingWrite { written_at: context.now, sent_at: context.now, acknowledged_by });
            self.replicate(context, outbox);
        }
    }

    /// Sends the pending write to the electors that have not acknowledged it, and accepts it as a voter
    /// itself.
    fn replicate(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(pending) = &leader.pending else { return };
        let term = leader.term;
        let seq = leader.seq;
        let entries = leader.written.clone();
        let message = Message::Write { term, seq, entries: entries.clone() };
        let is_missing =
            |voter: u32| leader.electors.contains_key(&voter) && !pending.acknowledged_by.contains(&voter);
        self.send_to_voters(context, &message, is_missing, outbox);
        self.accepted = AcceptedLedger { term: Some(term), seq, entries };
        let acknowledgement = WriteAck { term, seq, incarnation: self.incarnation };
        self.handle_write_ack(context, self.local_index, acknowledgement, outbox);
    }

    /// Counts an acknowledgement of the pending write.
    pub(super) fn handle_write_ack(
        &mut self,
        context: Context<'_>,
        from: u32,
        acknowledgement: WriteAck,
        outbox: &mut Outbox,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.term != acknowledgement.term || leader.seq != acknowledgement.seq {
            return;
        }
        // Only acknowledgements of the electors count, that is, of the voters that elected this leader, and
        // only from the incarnation that voted: a restarted voter has forgotten its promise.
        if leader.electors.get(&from) != Some(&acknowledgement.incarnation) {
            return;
        }
        let Some(pending) = &mut leader.pending else { return };
        pending.acknowledged_by.insert(from);
        self.maybe_commit(context, outbox);
    }

    /// Commits the pending write once a majority has acknowledged it, and notifies the relays whose windows
    /// it grants.
    fn maybe_commit(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(pending) = &leader.pending else { return };
        if pending.acknowledged_by.len() < context.majority() {
            return;
        }
        // Leases start at the write, not at the commit: voters may have accepted the write that early.
        leader.committed_at = Some(pending.written_at);
        leader.pending = None;
        self.last_contact = Some(context.now);
        let ids: Vec<WindowId> = leader.written.iter().map(|entry| entry.id).collect();
        for id in ids {
            self.notify_grant(context, id, outbox);
        }
        // Changes made since the write are written at once, without waiting for the next tick.
        self.maintain_leadership(context, outbox);
    }
}
