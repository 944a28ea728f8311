//! How a relay that starts gets its tables back from the others, and how they tell each other what is new.
//!
//! [`Replication`] owns what is under way: what this relay asks others for and what it is answering. It is fed pieces
//! and the time; it gives pieces to send and when it wants to be called again. It never sends unasked, and
//! never more than the stated rate allows. News of clients' places is told by another crate, `sandgw-tier`.
//!
//! Who starts asks every relay for its groups, whose loads add up, and one after another for clients, of which
//! all know the same but for what was lost: digests see to it that only that is sent. The answer is planned
//! first, then sent in numbered pieces; what does not come is asked for again. What is twice, of another round
//! or unasked is passed over, so loads are never added twice.

use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::codec::{BUCKETS, ClusterMessage, Kind, StickyClients, group_rows, held_rows};
use crate::endpoint_registry::EndpointTag;
use crate::{Affinity, Millis, by_bucket};

/// Relays asked for their groups, and those asked for clients one after another: a large tier's mean is known
/// from few.
const MOST_ASKED: usize = 8;
const MOST_COMPARED: usize = 3;
/// Up to so many relays each is told of all that is placed: a connection then costs no more datagrams than a question
/// would. In larger tiers nobody knows all clients, and who starts asks for a few relays' groups only: with more
/// questions than each relay answers at a time, most would be asked again and again.
pub const FULL_MESH_RELAYS: u32 = 8;
const FEW_ASKED: usize = 2;
/// No piece for this long: what is missing is asked for again, so often without any progress.
const WAIT: Millis = 300.0;
const TRIES: u32 = 8;
/// Pieces kept that overtook their plan; more are asked for again.
const EARLY: usize = 64;
/// Numbers asked for again at a time.
const NUMBERS: usize = 48;
/// Answers under way; who asks when there are so many asks again.
const MOST_SERVED: usize = 4;
/// An answer that nobody has asked about for this long is over.
const SERVED_FOR: Millis = 10_000.0;
/// Bytes that may go at once after a rest, as a part of a second's.
const BURST: f64 = 0.25;
/// Pieces wait for each other this long at the least, so that timers are few.
const STEP: Millis = 10.0;
/// What is to be sent, and to which relay.
pub type Sends = Vec<(u32, ClusterMessage)>;

/// What this relay has asked another for.
struct Asking {
    peer: u32,
    round: u32,
    kind: Kind,
    /// What has come, by bucket and number, once the plan is known.
    plan: Option<Vec<Vec<bool>>>,
    /// Pieces that overtook their plan.
    early: Vec<ClusterMessage>,
    missing: usize,
    total: usize,
    /// Last progress, and tries since.
    last: Millis,
    tries: u32,
}

/// What this relay is answering.
struct Serving {
    peer: u32,
    round: u32,
    kind: Kind,
    plan: ClusterMessage,
    /// Pieces by bucket, and those to be sent yet.
    pieces: Vec<Vec<ClusterMessage>>,
    queue: VecDeque<(u8, u16)>,
    touched: Millis,
}

/// The exchange with the other relays; see the load balancer's text.
pub struct Replication {
    seed: u64,
    asking: Vec<Asking>,
    /// Relays still to be asked for clients.
    compare: VecDeque<u32>,
    serving: Vec<Serving>,
    /// Bytes that may go now, and as of when.
    allowed: f64,
    allowed_at: Millis,
    /// When a call is due that was asked for.
    armed: Option<Millis>,
    learned: bool,
    repeated: u64,
}

impl Replication {
    /// Nothing is under way yet. The seed is a new one with every start.
    pub fn new(seed: u64) -> Self {
        Replication {
            seed,
            asking: Vec::new(),
            compare: VecDeque::new(),
            serving: Vec::new(),
            allowed: 0.0,
            // The first time there has been rest enough.
            allowed_at: f64::NEG_INFINITY,
            armed: None,
            learned: false,
            repeated: 0,
        }
    }

    /// Pieces that were asked for again, here or there.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Whether something is still being asked for.
    pub fn asks(&self) -> bool {
        !self.asking.is_empty()
    }

    /// Whether groups have come in since the last call.
    pub fn take_learned(&mut self) -> bool {
        std::mem::take(&mut self.learned)
    }

    /// Asks the other relays for what they know.
    pub fn recover(&mut self, affinity: &Affinity, now: Millis, out: &mut Sends) {
        let (local_index, relays) = (affinity.limits().local_index, affinity.limits().relays);
        // From the next in number on, so that many that start ask different ones first.
        let mut others = (1..relays).map(|i| (local_index + i) % relays);
        let (compared, asked) =
            if relays > FULL_MESH_RELAYS { (0, FEW_ASKED) } else { (MOST_COMPARED, MOST_ASKED) };
        self.compare = others.clone().take(compared).collect();
        self.asking.clear();
        let groups: Vec<u32> = others.by_ref().take(asked).collect();
        groups.into_iter().for_each(|peer| self.ask(affinity, now, peer, Kind::Groups, out));
        self.compare_next(affinity, now, out);
    }

    fn compare_next(&mut self, affinity: &Affinity, now: Millis, out: &mut Sends) {
        if let Some(peer) = self.compare.pop_front() {
            self.ask(affinity, now, peer, Kind::Sessions, out);
        }
    }

    fn ask(&mut self, affinity: &Affinity, now: Millis, peer: u32, kind: Kind, out: &mut Sends) {
        // Of the time too: where a configuration gives every start the same seed, an answer to the last one's
        // question would be taken for one to this.
        self.seed = xxh3_64_with_seed(&now.to_bits().to_le_bytes(), self.seed);
        let round = self.seed as u32;
        let (plan, early, missing, total, last, tries) = (None, Vec::new(), 0, 0, now, 0);
        self.asking.push(Asking { peer, round, kind, plan, early, missing, total, last, tries });
        self.send(peer, question(affinity, now, round, kind), out);
    }

    /// Takes another relay's piece.
    pub fn told(
        &mut self,
        affinity: &mut Affinity,
        now: Millis,
        peer: u32,
        piece: ClusterMessage,
        out: &mut Sends,
    ) {
        self.refill(affinity, now);
        match piece {
            ClusterMessage::LocationUpdate(rows) => {
                let all = rows.iter().flat_map(|(tag, clients)| clients.iter().map(|c| (*tag, c.key())));
                all.for_each(|(tag, client)| affinity.told_session(now, client, tag, 0));
            }
            ClusterMessage::SyncRequest { round, kind, digests } => {
                self.serve(affinity, now, peer, (round, kind), &digests, out)
            }
            ClusterMessage::SyncPlan { round, kind, counts } => {
                let plan =
                    |a: &&mut Asking| (a.peer, a.round, a.kind) == (peer, round, kind) && a.plan.is_none();
                let Some(asking) = self.asking.iter_mut().find(plan) else { return };
                asking.total = counts.iter().take(BUCKETS).map(|n| usize::from(*n)).sum();
                asking.missing = asking.total;
                let buckets = counts.iter().take(BUCKETS).map(|n| vec![false; usize::from(*n)]);
                asking.plan = Some(buckets.collect());
                (asking.last, asking.tries) = (now, 0);
                let early = std::mem::take(&mut asking.early);
                if asking.missing == 0 {
                    // A relay that carries nothing is one whose loads are in.
                    if kind == Kind::Groups {
                        affinity.heard(now, 1.0);
                    }
                    self.finish(affinity, now, round, out);
                }
                early.into_iter().for_each(|piece| self.told(affinity, now, peer, piece, out));
            }
            ClusterMessage::Sessions { round, .. } | ClusterMessage::Groups { round, .. }
                if self.asking.iter().any(|a| (a.peer, a.round) == (peer, round) && a.plan.is_none()) =>
            {
                let asking = self.asking.iter_mut().find(|a| a.round == round);
                asking
                    .filter(|a| a.early.len() < EARLY)
                    .into_iter()
                    .for_each(|a| a.early.push(piece.clone()));
            }
            ClusterMessage::Sessions { round, bucket, number, rows } => {
                if self.first(affinity, now, peer, (round, Kind::Sessions), (bucket, number)) {
                    take_held(affinity, now, &rows);
                    self.done(affinity, now, round, out);
                }
            }
            ClusterMessage::Groups { round, bucket, number, rows } => {
                if self.first(affinity, now, peer, (round, Kind::Groups), (bucket, number)) {
                    rows.iter().for_each(|row| affinity.told_group(now, row));
                    self.done(affinity, now, round, out);
                }
            }
            ClusterMessage::Resend { round, kind, bucket, numbers } => {
                let this = |s: &&mut Serving| (s.peer, s.round, s.kind) == (peer, round, kind);
                let Some(serving) = self.serving.iter_mut().find(this) else { return };
                serving.touched = now;
                let held = serving.pieces.get(usize::from(bucket)).map_or(0, Vec::len);
                for number in numbers.into_iter().filter(|n| usize::from(*n) < held) {
                    if !serving.queue.contains(&(bucket, number)) {
                        serving.queue.push_back((bucket, number));
                        self.repeated += 1;
                    }
                }
                self.pump(now, out);
            }
            // For who tells the news, for the census, and for those who ask discovery.
            ClusterMessage::LocationQuery(_)
            | ClusterMessage::LoadReport(_)
            | ClusterMessage::ClusterLoads { .. }
            | ClusterMessage::PollRate { .. }
            | ClusterMessage::OverloadNotice(_)
            | ClusterMessage::Draining { .. }
            | ClusterMessage::DrainQuery(_) => {}
        }
    }

    /// Whether a piece is one that was asked for and has not come yet.
    fn first(
        &mut self,
        affinity: &mut Affinity,
        now: Millis,
        peer: u32,
        (round, kind): (u32, Kind),
        (bucket, number): (u8, u16),
    ) -> bool {
        let this = |a: &&mut Asking| (a.peer, a.round, a.kind) == (peer, round, kind);
        let Some(asking) = self.asking.iter_mut().find(this) else { return false };
        let at =
            asking.plan.as_mut().and_then(|p| p.get_mut(usize::from(bucket))?.get_mut(usize::from(number)));
        if at.is_none_or(|came| std::mem::replace(came, true)) {
            return false;
        }
        asking.missing -= 1;
        (asking.last, asking.tries) = (now, 0);
        if kind == Kind::Groups {
            affinity.heard(now, 1.0 / asking.total as f64);
        }
        true
    }

    fn done(&mut self, affinity: &Affinity, now: Millis, round: u32, out: &mut Sends) {
        if self.asking.iter().any(|a| a.round == round && a.missing == 0) {
            self.finish(affinity, now, round, out);
        }
    }

    /// All has come, or no more will.
    fn finish(&mut self, affinity: &Affinity, now: Millis, round: u32, out: &mut Sends) {
        let Some(at) = self.asking.iter().position(|a| a.round == round) else { return };
        let asking = self.asking.swap_remove(at);
        match asking.kind {
            Kind::Groups => self.learned |= asking.missing < asking.total,
            Kind::Sessions => self.compare_next(affinity, now, out),
        }
    }

    /// Answers a question: the plan at once, the pieces as the rate allows.
    fn serve(
        &mut self,
        affinity: &Affinity,
        now: Millis,
        peer: u32,
        (round, kind): (u32, Kind),
        digests: &[[u8; 4]],
        out: &mut Sends,
    ) {
        if peer >= affinity.limits().relays {
            return;
        }
        if let Some(serving) =
            self.serving.iter_mut().find(|s| (s.peer, s.round, s.kind) == (peer, round, kind))
        {
            // The plan was lost.
            serving.touched = now;
            let plan = serving.plan.clone();
            return self.send(peer, plan, out);
        }
        // A new round of the same relay: it has started again.
        self.serving.retain(|s| (s.peer, s.kind) != (peer, kind) && now - s.touched < SERVED_FOR);
        if self.serving.len() >= MOST_SERVED {
            return;
        }
        let own = affinity.digests(now);
        // Without digests all is wanted.
        let differs = |bucket: usize| digests.get(bucket) != Some(&own[bucket]);
        // What is being told stays within its part of the bytes; the rest is left out.
        let room = affinity.limits().bytes / 8 / MOST_SERVED / 256;
        let mut pieces = vec![Vec::new(); BUCKETS];
        match kind {
            Kind::Sessions => {
                let mut buckets = by_bucket(kind, affinity.held(now).map(|row| (row.2, row)));
                for (bucket, rows) in (0..BUCKETS).filter_map(|b| Some((b, buckets.remove(&b)?))) {
                    let mut rows: Vec<(EndpointTag, u8, u64)> = rows;
                    rows.sort_unstable();
                    let cut = held_rows(rows.into_iter()).into_iter().zip(0..);
                    let piece = |(rows, number)| ClusterMessage::Sessions {
                        round,
                        bucket: bucket as u8,
                        number,
                        rows,
                    };
                    pieces[bucket] = cut.map(piece).collect();
                }
            }
            Kind::Groups => {
                let rows = affinity.own_groups(now).map(|row| (u64::from_le_bytes(row.key), row));
                let mut buckets = by_bucket(kind, rows);
                for (bucket, mut rows) in (0..BUCKETS).filter_map(|b| Some((b, buckets.remove(&b)?))) {
                    // The largest first: if anything is left out or lost it is the smallest.
                    rows.sort_by_key(|r| {
                        (std::cmp::Reverse(r.holders.iter().map(|h| u32::from(h.1)).sum::<u32>()), r.key)
                    });
                    let cut = group_rows(rows.into_iter()).into_iter().zip(0..);
                    let piece =
                        |(rows, number)| ClusterMessage::Groups { round, bucket: bucket as u8, number, rows };
                    pieces[bucket] = cut.map(piece).collect();
                }
            }
        }
        for (bucket, of) in pieces.iter_mut().enumerate() {
            of.truncate(if differs(bucket) { (room / BUCKETS).max(4) } else { 0 });
        }
        let mut counts: Vec<u16> = pieces.iter().map(|p| p.len() as u16).collect();
        counts.truncate(counts.iter().rposition(|n| *n > 0).map_or(0, |last| last + 1));
        let plan = ClusterMessage::SyncPlan { round, kind, counts };
        self.send(peer, plan.clone(), out);
        let longest = pieces.iter().map(Vec::len).max().unwrap_or(0);
        let each = (0..longest).flat_map(|n| (0..BUCKETS).map(move |b| (b, n)));
        let queue = each.filter(|(b, n)| pieces[*b].len() > *n).map(|(b, n)| (b as u8, n as u16)).collect();
        self.serving.push(Serving { peer, round, kind, plan, pieces, queue, touched: now });
        self.pump(now, out);
    }

    /// A call that was asked for is due.
    pub fn due(&mut self, affinity: &Affinity, now: Millis, out: &mut Sends) {
        if self.armed.is_some_and(|at| now + 1.0 >= at) {
            self.armed = None;
        }
        self.refill(affinity, now);
        let late = |a: &&Asking| now - a.last >= WAIT * f64::from(1 + a.tries.min(3));
        let late: Vec<u32> = self.asking.iter().filter(late).map(|a| a.round).collect();
        for round in late {
            self.ask_again(affinity, now, round, out);
        }
        self.pump(now, out);
    }

    fn ask_again(&mut self, affinity: &Affinity, now: Millis, round: u32, out: &mut Sends) {
        let Some(asking) = self.asking.iter_mut().find(|a| a.round == round) else { return };
        asking.tries += 1;
        asking.last = now;
        if asking.tries > TRIES {
            return self.finish(affinity, now, round, out);
        }
        let (peer, kind) = (asking.peer, asking.kind);
        let Some(plan) = &asking.plan else {
            return self.send(peer, question(affinity, now, round, kind), out);
        };
        let mut asked = Vec::new();
        let mut room = NUMBERS;
        for (bucket, came) in plan.iter().enumerate() {
            let missing = (0..came.len()).filter(|n| !came[*n]).map(|n| n as u16);
            let numbers: Vec<u16> = missing.take(room).collect();
            if !numbers.is_empty() {
                room -= numbers.len();
                self.repeated += numbers.len() as u64;
                asked.push(ClusterMessage::Resend { round, kind, bucket: bucket as u8, numbers });
            }
        }
        asked.into_iter().for_each(|piece| self.send(peer, piece, out));
    }

    /// In how long it wants to be called, if nothing earlier was asked for already.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        let asked = self.asking.iter().map(|a| a.last + WAIT * f64::from(1 + a.tries.min(3)));
        let queued = self.serving.iter().any(|s| !s.queue.is_empty()).then_some(now + STEP);
        let next = asked.chain(queued).fold(f64::INFINITY, f64::min);
        let earlier =
            next.is_finite() && self.armed.is_none_or(|armed| next + 1.0 < armed || armed < now - WAIT);
        if !earlier {
            return None;
        }
        self.armed = Some(next);
        Some((next - now).max(1.0))
    }

    fn refill(&mut self, affinity: &Affinity, now: Millis) {
        let rate = affinity.limits().rate;
        let more = (now - self.allowed_at).max(0.0) / 1000.0 * rate;
        (self.allowed, self.allowed_at) = ((self.allowed + more).min(rate * BURST), now);
    }

    /// Sends queued pieces as far as the rate allows, taking turns.
    fn pump(&mut self, now: Millis, out: &mut Sends) {
        while self.allowed > 0.0 {
            let mut sent = false;
            for i in 0..self.serving.len() {
                let serving = &mut self.serving[i];
                if self.allowed <= 0.0 {
                    break;
                }
                let Some((bucket, number)) = serving.queue.pop_front() else { continue };
                let piece = serving.pieces[usize::from(bucket)][usize::from(number)].clone();
                serving.touched = now;
                let peer = serving.peer;
                self.send(peer, piece, out);
                sent = true;
            }
            if !sent {
                break;
            }
        }
    }

    /// Sends a piece. Questions and plans are few and not held back; they count all the same.
    fn send(&mut self, peer: u32, piece: ClusterMessage, out: &mut Sends) {
        self.allowed -= piece.text().map_or(0, |text| text.len()) as f64;
        out.push((peer, piece));
    }
}

/// What is asked. The groups' loads are each relay's own, so there is nothing to compare: all are wanted.
fn question(affinity: &Affinity, now: Millis, round: u32, kind: Kind) -> ClusterMessage {
    let compare = kind == Kind::Sessions && affinity.figures().sessions > 0;
    let digests = if compare { affinity.digests(now) } else { Vec::new() };
    ClusterMessage::SyncRequest { round, kind, digests }
}

fn take_held(affinity: &mut Affinity, now: Millis, rows: &[StickyClients]) {
    for row in rows {
        row.clients.iter().for_each(|client| affinity.told_session(now, client.key(), row.tag, row.age));
    }
}
