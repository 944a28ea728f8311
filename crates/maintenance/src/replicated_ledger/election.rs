//! The candidate's side of an election: when an election starts, and when it is won or given up.

use std::collections::BTreeMap;

use super::state::{CandidateState, LeaderState, Role, Vote};
use super::{Context, Message, Outbox, ReplicatedLedger, Term};
use crate::WholeMillis;

impl ReplicatedLedger {
    /// Starts an election if a leader is needed and this voter has had no contact with a leader for its
    /// election delay.
    pub(super) fn maybe_start_election(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        let skew = context.timing.clock_skew_bound;
        let has_open_grant = self.accepted.entries.iter().any(|entry| context.now < entry.end + skew);
        if self.waiting.is_empty() && !has_open_grant {
            return;
        }
        // A voter without any contact since its start still waits for the stagger of its rank.
        let default_contact = context.now.saturating_sub(context.timing.election_timeout);
        let last_contact = *self.last_contact.get_or_insert(default_contact);
        if context.now >= last_contact + self.election_delay(context) {
            self.start_election(context, outbox);
        }
    }

    /// Returns how long this voter waits without contact before it starts an election. Each voter has a
    /// different delay, so that elections seldom compete.
    fn election_delay(&self, context: Context<'_>) -> WholeMillis {
        let position = context.voters.iter().position(|voter| *voter == self.local_index);
        let rank = position.unwrap_or(0) as WholeMillis;
        context.timing.election_timeout + rank * context.timing.election_stagger
    }

    /// Becomes a candidate in a new term, votes for itself, and requests the votes of the other voters.
    fn start_election(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        // The new term is later than any that this relay has promised.
        let next_round = self.promised.map_or(0, |term| term.round + 1);
        let term = Term {
            round: next_round.max(context.now),
            relay: self.local_index,
            incarnation: self.incarnation,
        };
        self.promised = Some(term);
        self.last_contact = Some(context.now);
        let local_vote = Vote { incarnation: self.incarnation, accepted: self.accepted.clone() };
        let votes = BTreeMap::from([(self.local_index, local_vote)]);
        self.role = Role::Candidate(CandidateState {
            term,
            votes,
            started_at: context.now,
            requested_at: context.now,
        });
        self.send_to_voters(context, &Message::RequestVote { term }, |_| true, outbox);
        self.advance_candidacy(context, outbox);
    }

    /// Becomes leader if enough votes have arrived, gives up after the quorum timeout, or repeats the request
    /// to voters that have not voted.
    pub(super) fn advance_candidacy(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        let vote_count = candidate.votes.len();
        let grace_is_over = context.now >= candidate.started_at + context.timing.vote_grace;
        // A majority is enough: it shares at least one voter with every majority that has committed a ledger.
        if vote_count == context.voters.len() || grace_is_over && vote_count >= context.majority() {
            self.become_leader(context, outbox);
        } else if context.now >= candidate.started_at + context.timing.quorum_timeout {
            self.become_follower(context);
        } else if context.now >= candidate.requested_at + context.timing.retry_interval {
            candidate.requested_at = context.now;
            self.repeat_vote_requests(context, outbox);
        }
    }

    fn repeat_vote_requests(&self, context: Context<'_>, outbox: &mut Outbox) {
        let Role::Candidate(candidate) = &self.role else { return };
        let request = Message::RequestVote { term: candidate.term };
        self.send_to_voters(context, &request, |voter| !candidate.votes.contains_key(&voter), outbox);
    }

    /// Counts a vote for this relay's candidacy.
    pub(super) fn handle_vote(
        &mut self,
        context: Context<'_>,
        from: u32,
        term: Term,
        vote: Vote,
        outbox: &mut Outbox,
    ) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        if candidate.term != term || !context.voters.contains(&from) {
            return;
        }
        let earlier_vote = candidate.votes.get(&from);
        if earlier_vote.is_some_and(|earlier| earlier.incarnation != vote.incarnation) {
            // The voter has restarted since its first vote and has forgotten the promise of that vote.
            self.role = Role::Follower;
            return;
        }
        candidate.votes.entry(from).or_insert(vote);
        self.advance_candidacy(context, outbox);
    }

    /// Becomes leader, starting from the newest ledger that the electors have accepted.
    fn become_leader(&mut self, context: Context<'_>, outbox: &mut Outbox) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        let Role::Candidate(candidate) = role else { return };
        let incarnations = candidate.votes.iter().map(|(voter, vote)| (*voter, vote.incarnation));
        let electors = incarnations.collect();
        // The newest ledger of a majority is at least as new as every committed ledger.
        let ledgers = candidate.votes.into_values().map(|vote| vote.accepted);
        let newest = ledgers.max_by_key(|accepted| (accepted.term, accepted.seq));
        self.role = Role::Leader(LeaderState {
            term: candidate.term,
            electors,
            elected_at: context.now,
            seq: 0,
            written: Vec::new(),
            next: newest.map(|accepted| accepted.entries).unwrap_or_default(),
            pending: None,
            committed_at: None,
        });
        self.maintain_leadership(context, outbox);
    }

    /// Gives up a candidacy or leadership. The next candidacy starts after this voter's election delay.
    pub(super) fn become_follower(&mut self, context: Context<'_>) {
        self.role = Role::Follower;
        self.last_contact = Some(context.now);
    }
}
