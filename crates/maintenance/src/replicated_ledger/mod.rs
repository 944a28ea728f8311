//! The grant protocol: one relay's part, as transitions from what it hears to what it tells.
//!
//! It owns what a voter has promised and accepted, the office if this relay holds it, and the windows that were asked for
//! here. Each step is given the time, the plan and what came, and gives what is to be sent. It knows no socket, no clock
//! and no chance, so that the checker in `tests/model.rs` runs this very code.
//!
//! A voter that hears of somebody who waits, and of no office, claims it with a new term. Voters promise to take nothing
//! of earlier terms and say which ledger they have; with a majority the claimant goes on from the newest. It
//! writes the ledger anew for every change and every third of a lease; what a majority has accepted is granted until a
//! lease after it was written, less what clocks may differ by. A vote and an acceptance count only from the life of
//! a voter that elected: who restarts takes back its vote. It abstains for one lease, by whose end nothing is in force
//! that it might have forgotten, and takes part only in terms that were claimed after its start: those that it may have
//! promised something before were earlier.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan::CapacityPlan;
use crate::queue::{Turn, turn};
use crate::{Entry, MOST_OWN, MOST_WAITING, Refused, Timing, WholeMillis, Window, WindowId};

/// A term of office: when it was claimed, by whom, and in which life. Later ones go before earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term {
    /// When it was claimed, by the clock of who claims; later than any term heard of.
    pub round: u64,
    /// The relay that claims.
    pub relay: u32,
    /// Its life.
    pub life: u64,
}

/// The ledger that a voter has accepted last.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Accepted {
    /// Whose it is; none before the first.
    pub term: Option<Term>,
    /// Its number within the term.
    pub seq: u64,
    /// The windows in it.
    pub entries: Vec<Entry>,
}

/// What the office says of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer {
    /// Granted until then, and to be renewed until its end.
    Granted {
        /// When it lapses if nothing more is heard.
        until: WholeMillis,
        /// When it ends in any case.
        end: WholeMillis,
    },
    /// It waits behind so many, and for others to end where another is the first to wait for that.
    Waits {
        /// How many wait longer.
        ahead: u32,
        /// Who is the first that waits for others to end.
        first: Option<WindowId>,
    },
    /// Not granted, or not extended.
    Refused(Refused),
}

/// What relays tell each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A voter wants the office.
    Claim {
        /// The term that it would be.
        term: Term,
    },
    /// Nothing of an earlier term will be accepted.
    Vote {
        /// The term voted for.
        term: Term,
        /// The voter's life.
        life: u64,
        /// What it has accepted.
        accepted: Accepted,
    },
    /// The office's ledger.
    Write {
        /// The term of office.
        term: Term,
        /// The ledger's number within the term.
        seq: u64,
        /// All windows granted.
        entries: Vec<Entry>,
    },
    /// The ledger was accepted.
    Wrote {
        /// The term of office.
        term: Term,
        /// The ledger's number.
        seq: u64,
        /// The voter's life.
        life: u64,
    },
    /// A window is asked for, still asked for, or to last longer.
    Ask(Window),
    /// A window is over or not wanted any more.
    Close(WindowId),
    /// What the office says to the relay at which a window was asked for.
    Told {
        /// The window.
        id: WindowId,
        /// What is said.
        answer: Answer,
    },
}

/// Where a window stands, at the relay where it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WindowStatus {
    /// Nobody has answered yet.
    Asked,
    /// It waits.
    Waits {
        /// How many wait longer.
        ahead: u32,
        /// Who is the first that waits for others to end.
        first: Option<WindowId>,
    },
    /// It is granted.
    Granted {
        /// Until then if nothing more is heard.
        until: WholeMillis,
        /// When it ends.
        end: WholeMillis,
    },
    /// It was granted, and nothing was heard in time: its drain is to end. It is asked for again.
    Lapsed {
        /// When it would have ended.
        end: WholeMillis,
    },
    /// It was refused.
    Refused(Refused),
    /// It has come to its end.
    Ended,
    /// It was done or cancelled.
    Closed,
}

impl WindowStatus {
    /// Whether nothing more comes of it.
    pub fn is_over(self) -> bool {
        matches!(self, WindowStatus::Refused(_) | WindowStatus::Ended | WindowStatus::Closed)
    }
}

/// A window that was asked for here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Own {
    /// The window, with the end wished for last.
    pub window: Window,
    /// Where it stands.
    pub standing: WindowStatus,
    /// Why it is not extended, where it was to be.
    pub not_extended: Option<Refused>,
    /// When to ask again, and when it came to where it stands.
    next: WholeMillis,
    since: WholeMillis,
}

/// What a step is given beside what came.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// This relay's clock.
    pub now: WholeMillis,
    /// How long things last.
    pub timing: &'a Timing,
    /// What may be drained.
    pub plan: &'a CapacityPlan,
    /// The relays that vote.
    pub voters: &'a [u32],
}

impl Context<'_> {
    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Messages and whom they are for.
pub type Sends = Vec<(u32, Message)>;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Candidate {
    term: Term,
    votes: BTreeMap<u32, (u64, Accepted)>,
    since: WholeMillis,
    sent: WholeMillis,
}

impl Default for Term {
    fn default() -> Self {
        Term { round: 0, relay: u32::MAX, life: 0 }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    stamp: WholeMillis,
    sent: WholeMillis,
    by: BTreeSet<u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leadership {
    term: Term,
    /// Who elected, in which life. Nobody else's acceptance counts.
    voters: BTreeMap<u32, u64>,
    since: WholeMillis,
    seq: u64,
    /// As written last, and as it is to be.
    written: Vec<Entry>,
    next: Vec<Entry>,
    pending: Option<Pending>,
    /// When the ledger was written that a majority has.
    good: Option<WholeMillis>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Voter,
    Candidate(Candidate),
    Leadership(Leadership),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Waiter {
    window: Window,
    heard: WholeMillis,
}

/// One relay's part in the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicatedLedger {
    local_index: u32,
    life: u64,
    promised: Option<Term>,
    accepted: Accepted,
    /// When an office was last heard of, or a claim.
    heard: Option<WholeMillis>,
    role: Role,
    waiting: BTreeMap<WindowId, Waiter>,
    own: BTreeMap<WindowId, Own>,
    /// Windows of which it has to be told that they are over, how often still, and when next.
    closing: BTreeMap<WindowId, (u32, WholeMillis)>,
}

/// How often it is told that a window is over.
const CLOSINGS: u32 = 4;
/// How long a window that is over is still shown, in leases.
const SHOWN: WholeMillis = 20;

impl ReplicatedLedger {
    /// A relay that starts now: the time is its life.
    pub fn new(local_index: u32, now: WholeMillis) -> ReplicatedLedger {
        ReplicatedLedger {
            local_index,
            life: now,
            promised: None,
            accepted: Accepted::default(),
            heard: None,
            role: Role::Voter,
            waiting: BTreeMap::new(),
            own: BTreeMap::new(),
            closing: BTreeMap::new(),
        }
    }

    /// This process's life.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// The term that this voter has promised to take nothing before.
    pub fn promised(&self) -> Option<Term> {
        self.promised
    }

    /// Whether an answer is to what this relay has out now, as candidate or in office.
    pub fn awaits(&self, message: &Message) -> bool {
        match (&self.role, message) {
            (Role::Candidate(candidate), Message::Vote { term, .. }) => candidate.term == *term,
            (Role::Leadership(office), Message::Wrote { term, seq, .. }) => {
                (office.term, office.seq) == (*term, *seq) && office.pending.is_some()
            }
            _ => false,
        }
    }

    /// Forgets since when things are: the checker runs with spans of which none but the lease counts, and takes
    /// what differs by such times only for the same.
    #[doc(hidden)]
    pub fn timeless(&mut self) {
        self.heard = self.heard.and(Some(0));
        self.waiting.values_mut().for_each(|waiter| waiter.heard = 0);
        self.own.values_mut().for_each(|own| (own.next, own.since) = (0, 0));
        self.closing.values_mut().for_each(|(_, at)| *at = 0);
        match &mut self.role {
            Role::Voter => {}
            Role::Candidate(candidate) => (candidate.since, candidate.sent) = (0, 0),
            Role::Leadership(office) => {
                office.since = 0;
                office.pending.iter_mut().for_each(|pending| pending.sent = 0);
            }
        }
    }

    /// Whether this relay believes itself in office. Others need not agree.
    pub fn is_in_office(&self) -> bool {
        matches!(self.role, Role::Leadership(_))
    }

    /// The windows that were asked for here.
    pub fn own(&self) -> &BTreeMap<WindowId, Own> {
        &self.own
    }

    /// The windows granted as far as this relay was told.
    pub fn ledger(&self) -> &[Entry] {
        if let Role::Leadership(office) = &self.role { &office.written } else { &self.accepted.entries }
    }

    /// The windows that wait as far as this relay was told.
    pub fn waiting(&self) -> impl Iterator<Item = &Window> {
        self.waiting.values().map(|w| &w.window)
    }

    /// Whether a window that was asked for here may drain now.
    pub fn may_drain(&self, id: WindowId, now: WholeMillis) -> bool {
        let standing = self.own.get(&id).map(|own| own.standing);
        matches!(standing, Some(WindowStatus::Granted { until, .. }) if now < until)
    }

    // --- at the relay where a window is asked for ---

    /// Asks for a window. Its name is of this relay and new.
    pub fn ask(&mut self, cx: Context<'_>, window: Window, out: &mut Sends) -> Result<(), Refused> {
        let open = self.own.values().filter(|own| !own.standing.is_over()).count();
        if open >= MOST_OWN {
            return Err(Refused::TooMany);
        }
        let (next, since) = (cx.now, cx.now);
        self.own.insert(
            window.id,
            Own { window, standing: WindowStatus::Asked, not_extended: None, next, since },
        );
        self.press(cx, out);
        Ok(())
    }

    /// Asks for a later end of a window that is granted.
    pub fn extend(
        &mut self,
        cx: Context<'_>,
        id: WindowId,
        by: WholeMillis,
        out: &mut Sends,
    ) -> Result<(), Refused> {
        let own = self.own.get_mut(&id).filter(|own| !own.standing.is_over()).ok_or(Refused::NoWindow)?;
        let WindowStatus::Granted { end, .. } = own.standing else { return Err(Refused::NotGranted) };
        if by > cx.plan.floors.longest || end.saturating_sub(cx.now) + by > cx.plan.floors.longest {
            return Err(Refused::TooLong);
        }
        (own.window.end, own.not_extended, own.next) = (Some(end + by), None, cx.now);
        self.press(cx, out);
        Ok(())
    }

    /// A window is done with, or not wanted any more. It may be another relay's, which is then told.
    pub fn close(&mut self, cx: Context<'_>, id: WindowId, out: &mut Sends) -> Result<(), Refused> {
        let known = self.own.get(&id).is_some_and(|own| !own.standing.is_over());
        if !known && (id.relay == self.local_index || !self.ledger().iter().any(|e| e.id == id)) {
            return Err(Refused::NoWindow);
        }
        self.over(cx.now, id, WindowStatus::Closed);
        if id.relay != self.local_index {
            out.push((id.relay, Message::Close(id)));
        }
        self.press(cx, out);
        Ok(())
    }

    fn over(&mut self, now: WholeMillis, id: WindowId, standing: WindowStatus) {
        if let Some(own) = self.own.get_mut(&id) {
            (own.standing, own.since) = (standing, now);
        }
        if self.closing.len() < MOST_WAITING {
            self.closing.insert(id, (CLOSINGS, now));
        }
    }

    /// Sends what is due of own windows to all voters.
    fn press(&mut self, cx: Context<'_>, out: &mut Sends) {
        let due: Vec<Message> = self.asks(cx).into_iter().map(Message::Ask).collect();
        let closed: Vec<WindowId> =
            self.closing.iter().filter(|(_, (_, at))| *at <= cx.now).map(|(id, _)| *id).collect();
        for id in &closed {
            if let Some((left, at)) = self.closing.get_mut(id) {
                (*left, *at) = (left.saturating_sub(1), cx.now + cx.timing.again);
            }
        }
        self.closing.retain(|_, (left, _)| *left > 0);
        let messages: Vec<Message> = due.into_iter().chain(closed.into_iter().map(Message::Close)).collect();
        for message in messages {
            for voter in cx.voters.iter().filter(|v| **v != self.local_index) {
                out.push((*voter, message.clone()));
            }
            if cx.voters.contains(&self.local_index) {
                self.told(cx, self.local_index, message, out);
            }
        }
    }

    /// Own windows to be asked for now: those not granted, and those to be extended.
    fn asks(&mut self, cx: Context<'_>) -> Vec<Window> {
        let wants = |own: &Own| match own.standing {
            WindowStatus::Asked | WindowStatus::Waits { .. } | WindowStatus::Lapsed { .. } => true,
            WindowStatus::Granted { end, .. } => own.window.end.is_some_and(|wish| wish > end),
            _ => false,
        };
        let due = self.own.values_mut().filter(|own| own.next <= cx.now && wants(own));
        due.map(|own| {
            own.next = cx.now + cx.timing.again;
            own.window
        })
        .collect()
    }

    /// Own windows lapse and end by themselves.
    fn pass(&mut self, cx: Context<'_>) {
        let now = cx.now;
        let mut ended = Vec::new();
        for (id, own) in &mut self.own {
            match own.standing {
                WindowStatus::Granted { end, .. } | WindowStatus::Lapsed { end } if now >= end => {
                    ended.push(*id)
                }
                WindowStatus::Granted { until, end } if now >= until => {
                    (own.standing, own.since, own.next) = (WindowStatus::Lapsed { end }, now, now);
                    own.window.end = Some(end);
                }
                _ => {}
            }
        }
        ended.into_iter().for_each(|id| self.over(now, id, WindowStatus::Ended));
        let shown = SHOWN * cx.timing.lease;
        self.own.retain(|_, own| !own.standing.is_over() || now < own.since + shown);
    }

    fn hear(&mut self, cx: Context<'_>, id: WindowId, answer: Answer) {
        let Some(own) = self.own.get_mut(&id).filter(|own| !own.standing.is_over()) else {
            // Forgotten in an earlier life, or over: the office is told so, lest it renew it to its end.
            if id.relay == self.local_index && self.closing.len() < MOST_WAITING {
                self.closing.entry(id).or_insert((1, cx.now));
            }
            return;
        };
        let standing = match (answer, own.standing) {
            // What comes late says less than what is known.
            (Answer::Granted { until, end }, WindowStatus::Granted { until: u, end: e }) => {
                WindowStatus::Granted { until: until.max(u), end: end.max(e) }
            }
            (Answer::Granted { until, end }, _) => WindowStatus::Granted { until, end },
            (Answer::Refused(refused), WindowStatus::Granted { .. }) => {
                own.not_extended = Some(refused);
                own.window.end = None;
                own.standing
            }
            (_, WindowStatus::Granted { .. }) => own.standing,
            (Answer::Waits { .. }, WindowStatus::Lapsed { .. }) => own.standing,
            (Answer::Waits { ahead, first }, _) => WindowStatus::Waits { ahead, first },
            (Answer::Refused(refused), _) => WindowStatus::Refused(refused),
        };
        if standing != own.standing {
            (own.standing, own.since) = (standing, cx.now);
        }
        self.pass(cx);
    }

    // --- at a voter ---

    fn votes(&self, cx: Context<'_>) -> bool {
        cx.voters.contains(&self.local_index) && cx.now >= self.life + cx.timing.abstain
    }

    /// Takes what another relay tells.
    pub fn told(&mut self, cx: Context<'_>, from: u32, message: Message, out: &mut Sends) {
        match message {
            Message::Told { id, answer } => self.hear(cx, id, answer),
            Message::Close(id) => self.closed(cx, id),
            Message::Ask(window) => self.asked(cx, window, out),
            Message::Claim { term } if self.votes(cx) => self.claimed(cx, from, term, out),
            Message::Write { term, seq, entries } if self.votes(cx) => {
                self.write(cx, from, Accepted { term: Some(term), seq, entries }, out);
            }
            Message::Vote { term, life, accepted } => self.voted(cx, from, term, (life, accepted), out),
            Message::Wrote { term, seq, life } => self.wrote(cx, from, (term, seq, life), out),
            Message::Claim { .. } | Message::Write { .. } => {}
        }
    }

    /// Whether a term may be taken part in: it was claimed in this life, and not in a time that is still to come. What
    /// was promised in a life before, of which nothing is known any more, was of earlier terms.
    fn is_of_now(&self, cx: Context<'_>, term: Term) -> bool {
        term.round > self.life + cx.timing.bound && term.round <= cx.now + cx.timing.bound
    }

    fn claimed(&mut self, cx: Context<'_>, from: u32, term: Term, out: &mut Sends) {
        let holder = self.accepted.term.map(|t| t.relay);
        let busy = self.heard.is_some_and(|at| cx.now < at + cx.timing.patience) && holder != Some(from);
        let again = self.promised == Some(term);
        if term.relay != from || !self.is_of_now(cx, term) || !again && (busy || self.promised >= Some(term))
        {
            return;
        }
        if !again {
            (self.promised, self.role) = (Some(term), Role::Voter);
            self.heard = Some(cx.now);
        }
        out.push((from, Message::Vote { term, life: self.life, accepted: self.accepted.clone() }));
    }

    fn write(&mut self, cx: Context<'_>, from: u32, ledger: Accepted, out: &mut Sends) {
        let (Some(term), seq) = (ledger.term, ledger.seq) else { return };
        if term.relay != from || !self.is_of_now(cx, term) || self.promised > Some(term) {
            return;
        }
        if self.promised < Some(term) {
            self.role = Role::Voter;
        }
        self.promised = Some(term);
        // One that is late must not take the place of a newer one, but was accepted all the same.
        if (self.accepted.term, self.accepted.seq) < (Some(term), seq) {
            self.accepted = ledger;
            self.heard = Some(cx.now);
        }
        out.push((from, Message::Wrote { term, seq, life: self.life }));
    }

    fn asked(&mut self, cx: Context<'_>, window: Window, out: &mut Sends) {
        let known = self.waiting.contains_key(&window.id);
        let full = !known && self.waiting.len() >= MOST_WAITING;
        if let Role::Leadership(_) = self.role {
            return self.decide(cx, window, full, out);
        }
        if !full {
            self.waiting.insert(window.id, Waiter { window, heard: cx.now });
        }
    }

    fn closed(&mut self, cx: Context<'_>, id: WindowId) {
        self.waiting.remove(&id);
        if id.relay == self.local_index && self.own.get(&id).is_some_and(|own| !own.standing.is_over()) {
            self.over(cx.now, id, WindowStatus::Closed);
        }
        if let Role::Leadership(office) = &mut self.role {
            office.next.retain(|entry| entry.id != id);
        }
    }

    // --- towards the office ---

    /// Time has passed.
    pub fn tick(&mut self, cx: Context<'_>, out: &mut Sends) {
        self.pass(cx);
        self.press(cx, out);
        let kept = 4 * cx.timing.again.max(cx.timing.patience);
        self.waiting.retain(|_, w| cx.now < w.heard + kept);
        match &self.role {
            Role::Voter if self.votes(cx) => self.claim(cx, out),
            Role::Voter => {}
            Role::Candidate(_) => self.canvass(cx, out),
            Role::Leadership(_) => self.renew(cx, out),
        }
    }

    /// Claims the office where somebody needs it and nobody is heard of.
    fn claim(&mut self, cx: Context<'_>, out: &mut Sends) {
        let open = self.accepted.entries.iter().any(|e| cx.now < e.end + cx.timing.bound);
        let rank = cx.voters.iter().position(|v| *v == self.local_index).unwrap_or(0) as WholeMillis;
        let quiet = cx.timing.patience + rank * cx.timing.step;
        if self.waiting.is_empty() && !open {
            return;
        }
        // One that has heard of nobody yet waits all the same: its elders go first.
        let since = *self.heard.get_or_insert(cx.now.saturating_sub(cx.timing.patience));
        if cx.now < since + quiet {
            return;
        }
        let round = self.promised.map_or(0, |t| t.round + 1).max(cx.now);
        let term = Term { round, relay: self.local_index, life: self.life };
        (self.promised, self.heard) = (Some(term), Some(cx.now));
        let own = (self.life, self.accepted.clone());
        let votes = BTreeMap::from([(self.local_index, own)]);
        self.role = Role::Candidate(Candidate { term, votes, since: cx.now, sent: cx.now });
        tell_others(cx, self.local_index, &Message::Claim { term }, |_| true, out);
        self.canvass(cx, out);
    }

    fn canvass(&mut self, cx: Context<'_>, out: &mut Sends) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        let (since, votes) = (candidate.since, candidate.votes.len());
        let enough = cx.now >= since + cx.timing.gather && votes >= cx.majority();
        if votes == cx.voters.len() || enough {
            return self.take_office(cx, out);
        }
        if cx.now >= since + cx.timing.give_up {
            (self.role, self.heard) = (Role::Voter, Some(cx.now));
        } else if cx.now >= candidate.sent + cx.timing.again {
            candidate.sent = cx.now;
            let (term, has) = (candidate.term, &candidate.votes);
            tell_others(cx, self.local_index, &Message::Claim { term }, |v| !has.contains_key(&v), out);
        }
    }

    fn voted(&mut self, cx: Context<'_>, from: u32, term: Term, vote: (u64, Accepted), out: &mut Sends) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        if candidate.term != term || !cx.voters.contains(&from) {
            return;
        }
        if candidate.votes.get(&from).is_some_and(|(life, _)| *life != vote.0) {
            // It has restarted since: what it promised is forgotten.
            self.role = Role::Voter;
            return;
        }
        candidate.votes.entry(from).or_insert(vote);
        self.canvass(cx, out);
    }

    fn take_office(&mut self, cx: Context<'_>, out: &mut Sends) {
        let Role::Candidate(candidate) = std::mem::replace(&mut self.role, Role::Voter) else { return };
        let voters = candidate.votes.iter().map(|(voter, (life, _))| (*voter, *life)).collect();
        let newest = candidate.votes.into_values().map(|(_, a)| a).max_by_key(|a| (a.term, a.seq));
        let next = newest.map(|a| a.entries).unwrap_or_default();
        let (term, since) = (candidate.term, cx.now);
        let (written, pending) = (Vec::new(), None);
        let office = Leadership { term, voters, since, seq: 0, written, next, pending, good: None };
        self.role = Role::Leadership(office);
        self.renew(cx, out);
    }

    // --- in office ---

    fn renew(&mut self, cx: Context<'_>, out: &mut Sends) {
        let (now, timing) = (cx.now, cx.timing);
        let Role::Leadership(office) = &mut self.role else { return };
        if office.good.unwrap_or(office.since) + timing.give_up * 2 <= now {
            // A majority does not hear, or has elected another, or has restarted.
            (self.role, self.heard) = (Role::Voter, Some(now));
            return;
        }
        if let Some(pending) = &mut office.pending {
            if now >= pending.sent + timing.again {
                pending.sent = now;
                self.spread(cx, out);
            }
            return;
        }
        office.next.retain(|entry| now < entry.end + timing.bound);
        self.grant(cx);
        let Role::Leadership(office) = &mut self.role else { return };
        let due = office.good.is_none_or(|good| now >= good + timing.renew);
        let idle = office.next.is_empty() && office.written.is_empty() && self.waiting.is_empty();
        if idle && office.good.is_some() {
            // Nothing is granted and nobody waits: there is nothing to hold an office for.
            self.role = Role::Voter;
        } else if due || office.next != office.written {
            office.written = office.next.clone();
            office.seq += 1;
            office.pending = Some(Pending { stamp: now, sent: now, by: BTreeSet::new() });
            self.spread(cx, out);
        }
    }

    /// Grants those whose turn it is, which counts once a majority has accepted it.
    fn grant(&mut self, cx: Context<'_>) {
        let Role::Leadership(office) = &mut self.role else { return };
        let settled = cx.now >= office.since + cx.timing.settle;
        if !settled || !cx.plan.is_fresh(cx.now, cx.timing) {
            return;
        }
        // A voter that heard it ask may have been elected since, and found it granted.
        self.waiting.retain(|id, _| !office.next.iter().any(|entry| entry.id == *id));
        let waiting = self.waiting.values().map(|w| w.window);
        let Turn { granted, .. } = turn(cx.now, cx.timing, cx.plan, &office.next, waiting);
        for entry in granted {
            self.waiting.remove(&entry.id);
            office.next.push(entry);
        }
    }

    /// Writes the ledger that is pending to those who have not accepted it, this relay first.
    fn spread(&mut self, cx: Context<'_>, out: &mut Sends) {
        let Role::Leadership(office) = &mut self.role else { return };
        let Some(pending) = &office.pending else { return };
        let (term, seq) = (office.term, office.seq);
        let message = Message::Write { term, seq, entries: office.written.clone() };
        let (voters, by) = (&office.voters, &pending.by);
        tell_others(cx, self.local_index, &message, |v| voters.contains_key(&v) && !by.contains(&v), out);
        self.accepted = Accepted { term: Some(term), seq, entries: office.written.clone() };
        self.wrote(cx, self.local_index, (term, seq, self.life), out);
    }

    fn wrote(&mut self, cx: Context<'_>, from: u32, (term, seq, life): (Term, u64, u64), out: &mut Sends) {
        let Role::Leadership(office) = &mut self.role else { return };
        if (office.term, office.seq) != (term, seq) || office.voters.get(&from) != Some(&life) {
            return;
        }
        let Some(pending) = &mut office.pending else { return };
        pending.by.insert(from);
        if pending.by.len() < cx.majority() {
            return;
        }
        office.good = Some(pending.stamp);
        (office.pending, self.heard) = (None, Some(cx.now));
        let ids: Vec<WindowId> = office.written.iter().map(|entry| entry.id).collect();
        for id in ids {
            self.say(cx, id, out);
        }
        // What has come up meanwhile need not wait for the next call.
        self.renew(cx, out);
    }

    /// Tells the relay of a window that is in force until when that is.
    fn say(&mut self, cx: Context<'_>, id: WindowId, out: &mut Sends) {
        let Role::Leadership(office) = &self.role else { return };
        let (Some(good), None) = (office.good, &office.pending) else { return };
        let Some(entry) = office.written.iter().find(|entry| entry.id == id) else { return };
        let until = (good + cx.timing.lease.saturating_sub(cx.timing.bound)).min(entry.end);
        self.answer(cx, id, Answer::Granted { until, end: entry.end }, out);
    }

    fn answer(&mut self, cx: Context<'_>, id: WindowId, answer: Answer, out: &mut Sends) {
        if id.relay == self.local_index {
            self.hear(cx, id, answer);
        } else {
            out.push((id.relay, Message::Told { id, answer }));
        }
    }

    /// Takes a window that is asked for: extends it, refuses it or has it wait, and says which.
    fn decide(&mut self, cx: Context<'_>, window: Window, full: bool, out: &mut Sends) {
        let Role::Leadership(office) = &mut self.role else { return };
        let id = window.id;
        if let Some(at) = office.next.iter().position(|entry| entry.id == id) {
            let waiting = self.waiting.values().map(|w| w.window);
            let later = later(cx, &office.next, &office.next[at], window.end, waiting);
            if let Some(entry) = later.ok().flatten().and_then(|_| office.next.get_mut(at)) {
                entry.end = window.end.unwrap_or(entry.end);
            }
            return match later {
                Err(refused) => self.answer(cx, id, Answer::Refused(refused), out),
                Ok(_) => self.say(cx, id, out),
            };
        }
        let length = window.end.map_or(window.length, |end| end.saturating_sub(cx.now));
        let listed = cx.plan.is_fresh(cx.now, cx.timing);
        let never = listed.then(|| cx.plan.never(window.what, length, window.forced)).flatten();
        if let Some(refused) = never.or(full.then_some(Refused::Crowded)) {
            self.waiting.remove(&id);
            return self.answer(cx, id, Answer::Refused(refused), out);
        }
        self.waiting.insert(id, Waiter { window, heard: cx.now });
        let waiting = self.waiting.values().map(|w| w.window);
        let first = turn(cx.now, cx.timing, cx.plan, &office.next, waiting).first.map(|(id, _)| id);
        let ahead = self.waiting.keys().take_while(|other| **other < id).count() as u32;
        self.answer(cx, id, Answer::Waits { ahead, first }, out);
    }
}

/// Whether a window that is granted may end later: the new end, or nothing where none is asked for.
fn later(
    cx: Context<'_>,
    held: &[Entry],
    entry: &Entry,
    wish: Option<WholeMillis>,
    waiting: impl Iterator<Item = Window>,
) -> Result<Option<WholeMillis>, Refused> {
    let Some(wish) = wish.filter(|wish| *wish > entry.end) else { return Ok(None) };
    if wish.saturating_sub(cx.now) > cx.plan.floors.longest {
        return Err(Refused::TooLong);
    }
    match turn(cx.now, cx.timing, cx.plan, held, waiting).first {
        Some((id, at)) if wish + cx.timing.bound > at => Err(Refused::Awaited(id)),
        _ => Ok(Some(wish)),
    }
}

fn tell_others(
    cx: Context<'_>,
    local_index: u32,
    message: &Message,
    who: impl Fn(u32) -> bool,
    out: &mut Sends,
) {
    let others = cx.voters.iter().filter(|v| **v != local_index && who(**v));
    out.extend(others.map(|v| (*v, message.clone())));
}
