//! The candidate's side: when an election starts, who is asked, and when it is won or given up.

use std::collections::BTreeMap;

use super::state::{CandidateState, LeaderState, Role, Vote};
use super::{Context, Message, Outbox, ReplicatedLedger, Term};
use crate::WholeMillis;

impl ReplicatedLedger {
    /// Starts an election where a leader is needed and none is in contact.
    pub(super) fn maybe_start_election(&mut self, cx: Context<'_>, out: &mut Outbox) {
        let skew = cx.timing.clock_skew_bound;
        let has_open_grant = self.accepted.entries.iter().any(|entry| cx.now < entry.end + skew);
        if self.waiting.is_empty() && !has_open_grant {
            return;
        }
        // A voter that was never in contact with anyone waits for its rank all the same.
        let default_contact = cx.now.saturating_sub(cx.timing.election_timeout);
        let last_contact = *self.last_contact.get_or_insert(default_contact);
        if cx.now >= last_contact + self.election_delay(cx) {
            self.start_election(cx, out);
        }
    }

    /// How long this voter waits without contact. Each has its own delay, so that elections seldom compete.
    fn election_delay(&self, cx: Context<'_>) -> WholeMillis {
        let position = cx.voters.iter().position(|voter| *voter == self.local_index);
        let rank = position.unwrap_or(0) as WholeMillis;
        cx.timing.election_timeout + rank * cx.timing.election_stagger
    }

    /// Becomes a candidate in a new term, with its own vote, and asks the other voters.
    fn start_election(&mut self, cx: Context<'_>, out: &mut Outbox) {
        // A candidate's term is later than any that it has promised.
        let next_round = self.promised.map_or(0, |term| term.round + 1);
        let term =
            Term { round: next_round.max(cx.now), relay: self.local_index, incarnation: self.incarnation };
        self.promised = Some(term);
        self.last_contact = Some(cx.now);
        let local_vote = Vote { incarnation: self.incarnation, accepted: self.accepted.clone() };
        let votes = BTreeMap::from([(self.local_index, local_vote)]);
        self.role = Role::Candidate(CandidateState { term, votes, started_at: cx.now, requested_at: cx.now });
        self.send_to_voters(cx, &Message::RequestVote { term }, |_| true, out);
        self.advance_candidacy(cx, out);
    }

    /// Leads with a majority of votes, gives the candidacy up after its time-out, or asks those again that
    /// have not voted.
    pub(super) fn advance_candidacy(&mut self, cx: Context<'_>, out: &mut Outbox) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        let vote_count = candidate.votes.len();
        let grace_is_over = cx.now >= candidate.started_at + cx.timing.vote_grace;
        // A majority is enough: it has a member in common with every majority that has committed a ledger.
        if vote_count == cx.voters.len() || grace_is_over && vote_count >= cx.majority() {
            self.become_leader(cx, out);
        } else if cx.now >= candidate.started_at + cx.timing.quorum_timeout {
            self.become_follower(cx);
        } else if cx.now >= candidate.requested_at + cx.timing.retry_interval {
            candidate.requested_at = cx.now;
            self.repeat_vote_requests(cx, out);
        }
    }

    fn repeat_vote_requests(&self, cx: Context<'_>, out: &mut Outbox) {
        let Role::Candidate(candidate) = &self.role else { return };
        let request = Message::RequestVote { term: candidate.term };
        self.send_to_voters(cx, &request, |voter| !candidate.votes.contains_key(&voter), out);
    }

    /// Counts a vote for this candidate's term.
    pub(super) fn handle_vote(
        &mut self,
        cx: Context<'_>,
        from: u32,
        term: Term,
        vote: Vote,
        out: &mut Outbox,
    ) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        if candidate.term != term || !cx.voters.contains(&from) {
            return;
        }
        let earlier_vote = candidate.votes.get(&from);
        if earlier_vote.is_some_and(|earlier| earlier.incarnation != vote.incarnation) {
            // The voter has restarted since it voted first, and has forgotten that promise.
            self.role = Role::Follower;
            return;
        }
        candidate.votes.entry(from).or_insert(vote);
        self.advance_candidacy(cx, out);
    }

    /// Leads from the newest ledger that the electors have accepted.
    fn become_leader(&mut self, cx: Context<'_>, out: &mut Outbox) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        let Role::Candidate(candidate) = role else { return };
        let incarnations = candidate.votes.iter().map(|(voter, vote)| (*voter, vote.incarnation));
        let electors = incarnations.collect();
        // The newest ledger of a majority includes every committed one.
        let ledgers = candidate.votes.into_values().map(|vote| vote.accepted);
        let newest = ledgers.max_by_key(|accepted| (accepted.term, accepted.seq));
        self.role = Role::Leader(LeaderState {
            term: candidate.term,
            electors,
            elected_at: cx.now,
            seq: 0,
            written: Vec::new(),
            next: newest.map(|accepted| accepted.entries).unwrap_or_default(),
            pending: None,
            committed_at: None,
        });
        self.maintain_leadership(cx, out);
    }

    /// Gives up a candidacy or a leadership, and waits for an election timeout before the next.
    pub(super) fn become_follower(&mut self, cx: Context<'_>) {
        self.role = Role::Follower;
        self.last_contact = Some(cx.now);
    }
}
