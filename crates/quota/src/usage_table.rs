//! What each member uses of the tier, from what each relay tells of its own.
//!
//! It owns this relay's own counts, which are exact, and what others have told. It is fed connections, datagrams and the
//! time, and gives datagrams and, for a member, an estimate with its bounds. In a tier of a few each tells all. In a
//! larger one each tells one relay, the collector, which answers with the sums of all others: whoever asks adds its
//! own count as it is now, so nothing of its own is counted twice or late. Who gets no answer tells the first
//! collector and the next in a row that all relays have alike, until the first one answers again.
//!
//! A count stands until its relay tells anew or is silent for a while; a connection that goes on at another relay is counted
//! there, and here no more. A relay that has started anew is another life: nothing of the one before is left. What is
//! doubled or overtaken is known by its number.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::rate::Rate;
use crate::tenants::{Tag, Tenants};
use crate::usage_gossip::{ROWS, Row, UsageReport};

/// What is to be sent, and to which relay.
pub type Sends = Vec<(u32, UsageReport)>;

/// Up to so many relays each tells all.
pub const FULL_MESH_RELAYS: u32 = 8;
/// Pause between what a relay tells, where each tells all and where one collects; and after a question that is without
/// an answer.
const EVERY_ALL: Millis = 600.0;
const EVERY: Millis = 1000.0;
const RETRY: Millis = 250.0;
/// A relay that is silent for so long does not count any more. Its clients are back elsewhere by then.
const SILENT: Millis = 2400.0;
/// Questions without an answer before the next in the row is told too, and before they get slow.
const MISSED: u32 = 6;
const SLOW_AFTER: u32 = 60;
/// An answer that rests on this share of what the old one does is as good.
const NEARLY: f64 = 0.97;
const BACK: f64 = 0.9;
/// An answer counts for so long. Beside another it is worth all that it rests on for the first part of that, then less.
const COUNTS: Millis = 9000.0;
const FRESH: Millis = 3000.0;

/// Where this relay stands in the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its number, from 0.
    pub local_index: u32,
    /// How many there are.
    pub relays: u32,
    /// Whether they may tell each other anything.
    pub peers: bool,
}

/// What a member uses, as far as it is known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Open connections of this relay, those that are being set up among them.
    pub own: f64,
    /// Open connections of the tier: own, and others as told.
    pub open: f64,
    /// The same, with what has most likely come at others since they told; against the limit.
    pub expected: f64,
    /// Bounds of the true number: what was told may have ended or grown, and who is silent may hold a part.
    pub least: f64,
    /// See above.
    pub most: f64,
    /// Connections that are within the share, for the part of the tier that is heard.
    pub limit: f64,
    /// Arrivals a second, of this relay and of the tier, and those within the share.
    pub own_per_s: f64,
    /// See above.
    pub per_s: f64,
    /// See above; nothing where there is no limit.
    pub per_s_limit: Option<f64>,
    /// Other relays that it rests on.
    pub heard: f64,
    /// Relays of the tier.
    pub relays: f64,
    /// How long it takes until what comes to stand here is known to all others.
    pub lag: Millis,
}

/// Own use of one member.
#[derive(Clone, Copy, Debug, Default)]
struct Own {
    standing: u32,
    pending: u32,
    rate: Rate,
}

/// What another relay has told.
#[derive(Clone, Debug, Default)]
struct Teller {
    life: u64,
    number: u32,
    at: Millis,
    rows: BTreeMap<Tag, (f64, f64)>,
}

/// A collector's answer: sums of others by member, each with when it came.
#[derive(Clone, Debug)]
struct Answer {
    from: (u32, u64),
    number: u32,
    at: Millis,
    heard: f64,
    rows: BTreeMap<Tag, (f64, f64)>,
}

impl Answer {
    /// Relays that it still stands for, its teller among them.
    fn worth(&self, now: Millis) -> f64 {
        (self.heard + 1.0) * weight(now - self.at)
    }
}

/// What is worth keeping of others over a restart. It counts by its age like any answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredUsage {
    /// How old it was when it was kept.
    pub age: Millis,
    /// Relays that it rests on.
    pub heard: f64,
    /// Sums by member.
    pub rows: Vec<Row>,
}

/// The ledger; see the load balancer's text.
pub struct UsageTable {
    members: Tenants,
    tags: Vec<Tag>,
    place: Place,
    life: u64,
    number: u32,
    own: Vec<Own>,
    told: BTreeMap<u32, Teller>,
    sums: BTreeMap<Tag, (f64, f64)>,
    answer: Option<Answer>,
    /// Who answered last, and the most relays that it had heard of.
    collected: Option<((u32, u64), f64)>,
    /// Which in the row of collectors is told, and questions since the last answer.
    turn: u32,
    missed: u32,
    silent: u32,
    told_at: Millis,
    next_at: Millis,
    /// Which of those before it was told besides, and when.
    tried: u32,
    tried_at: Millis,
    /// When one of those before it answered.
    back_at: Millis,
}

impl UsageTable {
    /// An empty ledger. The time is its life's number: it is to grow with every start.
    pub fn new(members: Tenants, place: Place, now: Millis) -> Self {
        // Not all at the same moment.
        let phase = f64::from(place.local_index) / f64::from(place.relays.max(1));
        UsageTable {
            tags: members.tags().collect(),
            own: vec![Own::default(); members.len()],
            members,
            place,
            life: now.max(0.0) as u64,
            number: 0,
            told: BTreeMap::new(),
            sums: BTreeMap::new(),
            answer: None,
            collected: None,
            turn: 0,
            missed: 0,
            silent: 0,
            told_at: f64::NEG_INFINITY,
            next_at: now + phase * RETRY,
            tried: 0,
            tried_at: f64::NEG_INFINITY,
            back_at: f64::NEG_INFINITY,
        }
    }

    /// A member's position.
    pub fn position(&self, member: &str) -> Option<usize> {
        self.members.position(member)
    }

    /// A connection of a member has arrived that was not counted before.
    pub fn arrived(&mut self, now: Millis, at: usize) {
        self.own.get_mut(at).into_iter().for_each(|own| own.rate.add(now));
    }

    /// A connection is being set up.
    pub fn pending(&mut self, at: usize) {
        self.own.get_mut(at).into_iter().for_each(|own| own.pending += 1);
    }

    /// A connection that was being set up stands.
    pub fn stands(&mut self, at: usize) {
        if let Some(own) = self.own.get_mut(at) {
            own.pending = own.pending.saturating_sub(1);
            own.standing += 1;
        }
    }

    /// A connection has ended.
    pub fn ended(&mut self, at: usize, stood: bool) {
        if let Some(own) = self.own.get_mut(at) {
            let count = if stood { &mut own.standing } else { &mut own.pending };
            *count = count.saturating_sub(1);
        }
    }

    /// What the member at this position uses.
    pub fn view(&self, now: Millis, at: usize) -> View {
        let own = self.own.get(at).copied().unwrap_or_default();
        let member = self.members.get(at);
        let (others, age, heard) = self.others(now, self.tags.get(at).copied().unwrap_or(Tag([0; 2])));
        let (own_open, own_per_s) = (f64::from(own.standing + own.pending), own.rate.per_s(now));
        let relays = f64::from(self.place.relays.max(1));
        let per_s_limit = member.and_then(|m| m.per_s);
        let growth = others.1.min(per_s_limit.unwrap_or(f64::INFINITY)) * age / 1000.0;
        // What was summed up was told before that, and its relays may have had more or fewer since.
        let change = others.1 * (age + EVERY) / 1000.0;
        let change = change + 2.0 * change.sqrt();
        let share = member.and_then(|m| m.connections).unwrap_or(f64::INFINITY);
        // A part of the tier that is most of it goes on with all of the share. Two halves of a tier that is cut can't
        // both be that; what hears fewer has their part, and who hears nobody its own, of one connection at the least.
        let part = (heard + 1.0) / relays;
        let part = if part > 0.5 { 1.0 } else { part };
        let open = own_open + others.0;
        // Who is not heard holds as much as who is, with what chance may add, or its own part of the share.
        let mean = (own_open + others.0) / (heard + 1.0);
        let own_part = if share.is_finite() { share / relays } else { 0.0 };
        let unheard = (relays - 1.0 - heard).max(0.0) * mean.max(own_part);
        let unheard = unheard + 3.0 * (unheard * (1.0 + unheard / (own_open + others.0 + 1.0))).sqrt();
        View {
            own: own_open,
            open,
            expected: open + growth,
            least: own_open + (others.0 - change).max(0.0),
            most: own_open + others.0 + change + unheard,
            limit: (share * part).max(1.0),
            own_per_s,
            per_s: own_per_s + others.1,
            per_s_limit: per_s_limit.map(|share| share * part),
            heard,
            relays,
            lag: if self.place.relays <= FULL_MESH_RELAYS { EVERY_ALL } else { 1.5 * EVERY },
        }
    }

    /// What others use of a member, how old that is, and on how many relays it rests: by own sums, or by an answer for
    /// as long as that is worth more.
    fn others(&self, now: Millis, tag: Tag) -> ((f64, f64), Millis, f64) {
        let fresh = self.told.values().filter(|t| now - t.at <= SILENT);
        let (heard, ages) = fresh.fold((0.0, 0.0), |(n, ages), t| (n + 1.0, ages + now - t.at));
        let answer = self.answer.as_ref().filter(|a| !self.collects() || a.worth(now) > heard + 1.0);
        let answer = answer.filter(|a| now - a.at <= COUNTS);
        if let Some(answer) = answer {
            let row = answer.rows.get(&tag).copied().unwrap_or_default();
            return (row, (now - answer.at).max(0.0), answer.heard);
        }
        // Silent ones are let go with the next that tells; with nobody left it is at once.
        let row = self.sums.get(&tag).copied().filter(|_| heard > 0.0).unwrap_or_default();
        (row, if heard > 0.0 { ages / heard } else { 0.0 }, heard)
    }

    /// Whether this relay sums up by itself.
    fn collects(&self) -> bool {
        self.place.relays <= FULL_MESH_RELAYS || self.collector(self.turn) == self.place.local_index
    }

    /// The row of collectors, the same at all relays. Neighbours in it are far apart, so that where one part of the
    /// tier is cut off the next or the one after it is on this side.
    fn collector(&self, turn: u32) -> u32 {
        let relays = u64::from(self.place.relays.max(1));
        let step = (relays * 618 / 1000..).find(|step| gcd((*step).max(1), relays) == 1).unwrap_or(1).max(1);
        (u64::from(turn) * step % relays) as u32
    }

    /// Tells where that is due; gives in how long to call again.
    pub fn due(&mut self, now: Millis, out: &mut Sends) -> Millis {
        self.let_go(now);
        if !self.place.peers || self.place.relays < 2 {
            return COUNTS;
        }
        if now < self.next_at {
            return (self.next_at - now).max(1.0);
        }
        let told = self.own_rows(now);
        if self.place.relays <= FULL_MESH_RELAYS {
            let others = (0..self.place.relays).filter(|peer| *peer != self.place.local_index);
            out.extend(others.map(|peer| (peer, told.clone())));
            self.next_at = now + EVERY_ALL;
            return EVERY_ALL;
        }
        if self.missed >= MISSED {
            (self.turn, self.missed) = ((self.turn + 1) % self.place.relays, 0);
        }
        let collector = self.collector(self.turn);
        let asks = collector != self.place.local_index;
        if asks {
            out.push((collector, told.clone()));
            self.missed += 1;
            self.silent = self.silent.saturating_add(1);
        }
        // Those before it are not given up: one may be back, or was left by chance, and all are to be with the same.
        let back = now - self.back_at < 2.0 * EVERY;
        if self.turn > 0 && (back || now - self.tried_at >= EVERY) {
            self.tried = if back { self.tried } else { self.tried + 1 } % self.turn;
            self.tried_at = now;
            let before = self.collector(self.tried);
            out.extend((before != self.place.local_index).then(|| (before, told.clone())));
        }
        // Who collects, and has just begun to, knows less than the next in the row may.
        let few = self.told.len() as f64 + 1.0 < NEARLY * f64::from(self.place.relays);
        if !asks && few {
            let next = self.collector(self.turn + 1);
            out.extend((next != self.place.local_index).then_some((next, told)));
        }
        self.told_at = now;
        let soon = asks && self.silent < SLOW_AFTER || self.turn > 0 && back;
        let pause = if soon { RETRY } else { EVERY };
        self.next_at = now + pause;
        pause
    }

    /// Own counts, as many as a datagram holds; of more members others with each.
    fn own_rows(&mut self, now: Millis) -> UsageReport {
        self.number = self.number.wrapping_add(1);
        let row = |(own, tag): (&Own, &Tag)| Row::new(*tag, f64::from(own.standing), own.rate.per_s(now));
        let rows = turn_of(self.number, self.own.iter().zip(&self.tags).map(row).collect());
        UsageReport::Own { life: self.life, number: self.number, rows }
    }

    /// Takes another relay's datagram.
    pub fn told(&mut self, now: Millis, peer: u32, told: UsageReport, out: &mut Sends) {
        if peer >= self.place.relays || peer == self.place.local_index || !self.place.peers {
            return;
        }
        match told {
            UsageReport::Own { life, number, rows } => {
                self.let_go(now);
                let new = self.told.get(&peer).is_none_or(|t| t.life < life);
                self.add(now, peer, (life, number), rows);
                if self.place.relays <= FULL_MESH_RELAYS {
                    // Who has just started is told back at once.
                    let own = new.then(|| (peer, self.own_rows(now)));
                    out.extend(own);
                } else {
                    let answer = self.answer_to(now, peer);
                    out.push((peer, answer));
                }
            }
            UsageReport::Others { life, number, heard, rows } => {
                self.answered(now, (peer, life), number, heard, rows)
            }
        }
    }

    fn add(&mut self, now: Millis, peer: u32, (life, number): (u64, u32), rows: Vec<Row>) {
        let known = self.told.get(&peer).map(|t| (t.life, t.number));
        // Of an earlier life, or overtaken.
        if known.is_some_and(|(l, n)| life < l || life == l && !later(number, n)) {
            return;
        }
        if known.is_some_and(|(l, _)| life > l) {
            self.forget(peer);
        }
        let teller = self.told.entry(peer).or_default();
        (teller.life, teller.number, teller.at) = (life, number, now);
        for row in rows.into_iter().take(ROWS) {
            let new = (f64::from(row.open), row.per_s());
            // Bounded whatever a peer makes up.
            if teller.rows.len() >= crate::tenants::MOST && !teller.rows.contains_key(&row.member) {
                continue;
            }
            let old = teller.rows.insert(row.member, new).unwrap_or_default();
            let sum = self.sums.entry(row.member).or_default();
            *sum = (sum.0 + new.0 - old.0, sum.1 + new.1 - old.1);
        }
    }

    /// Lets go of relays that are silent.
    fn let_go(&mut self, now: Millis) {
        let silent = self.told.iter().filter(|(_, t)| now - t.at > SILENT).map(|(peer, _)| *peer);
        silent.collect::<Vec<_>>().into_iter().for_each(|peer| self.forget(peer));
    }

    fn forget(&mut self, peer: u32) {
        for (tag, (open, per_s)) in self.told.remove(&peer).into_iter().flat_map(|t| t.rows) {
            if let Some(sum) = self.sums.get_mut(&tag) {
                *sum = (sum.0 - open, sum.1 - per_s);
            }
        }
        self.sums.retain(|_, (open, per_s)| *open > 0.5 || *per_s > 0.05);
    }

    /// Sums of all but the one that is answered, with what stands here now.
    fn answer_to(&mut self, now: Millis, peer: u32) -> UsageReport {
        self.number = self.number.wrapping_add(1);
        let its = self.told.get(&peer);
        let of = |(own, tag): (&Own, &Tag)| {
            let (open, per_s) = self.sums.get(tag).copied().unwrap_or_default();
            let less = its.and_then(|t| t.rows.get(tag)).copied().unwrap_or_default();
            let open = open - less.0 + f64::from(own.standing);
            Row::new(*tag, open, per_s - less.1 + own.rate.per_s(now))
        };
        let rows: Vec<Row> = self.own.iter().zip(&self.tags).map(of).collect();
        // By the asker's own count, so that with more members each relay hears of others with each answer.
        let turn = its.map_or(0, |t| t.number);
        let heard = self.told.len() + 1 - usize::from(its.is_some());
        let heard = u16::try_from(heard).unwrap_or(u16::MAX);
        UsageReport::Others { life: self.life, number: self.number, heard, rows: turn_of(turn, rows) }
    }

    fn answered(&mut self, now: Millis, from: (u32, u64), number: u32, heard: u16, rows: Vec<Row>) {
        // One that collects itself may have asked the next.
        let Some(turn) = (0..=self.turn + 1).find(|turn| self.collector(*turn) == from.0) else { return };
        let heard = f64::from(heard);
        // Back to one before it only once that knows about as much.
        let back = || self.answer.as_ref().is_none_or(|old| heard + 1.0 >= BACK * old.worth(now));
        if turn == self.turn || turn < self.turn && back() {
            (self.turn, self.missed) = (turn, 0);
        }
        if turn < self.turn {
            // It is back: it is told oftener until it knows as much.
            (self.tried, self.back_at) = (turn, now);
        }
        self.silent = 0;
        // One that has just begun to collect soon knows more.
        let before = self.collected.filter(|(of, _)| *of == from).map_or(0.0, |(_, heard)| heard);
        let grows = turn < self.turn || heard * NEARLY > before && now - self.told_at < EVERY;
        self.collected = Some((from, heard.max(before)));
        self.next_at = self.next_at.max(self.told_at + if grows { 2.0 * RETRY } else { EVERY });
        let old = self.answer.as_ref();
        if old.is_some_and(|old| old.from == from && !later(number, old.number)) {
            return;
        }
        // The same collector knows best what it has lost. Another, or one that has started anew, is taken once it has
        // heard of as many relays as the old answer is still worth.
        if old.is_some_and(|old| old.from != from && heard + 1.0 < NEARLY * old.worth(now)) {
            return;
        }
        // Of members that this one does not name the sums are older; those of another collector are let go.
        let mut all =
            self.answer.take().filter(|old| old.from == from).map(|old| old.rows).unwrap_or_default();
        all.extend(rows.iter().take(ROWS).map(|r| (r.member, (f64::from(r.open), r.per_s()))));
        all.retain(|tag, _| self.tags.contains(tag));
        self.answer = Some(Answer { from, number, at: now, heard, rows: all });
    }

    /// What is worth keeping in a folder.
    pub fn keep(&self, now: Millis) -> StoredUsage {
        let of = |tag: &Tag| (*tag, self.others(now, *tag));
        let all: Vec<_> = self.tags.iter().map(of).collect();
        let (age, heard) = all.first().map_or((0.0, 0.0), |(_, (_, age, heard))| (*age, *heard));
        StoredUsage {
            age,
            heard,
            rows: all.iter().map(|(tag, (row, ..))| Row::new(*tag, row.0, row.1)).collect(),
        }
    }

    /// Takes what a folder has kept, so long ago. It counts like an answer of that age, until one comes.
    pub fn restore(&mut self, now: Millis, age: Millis, kept: StoredUsage) {
        let sound = age >= 0.0 && kept.age >= 0.0 && (0.0..65_536.0).contains(&kept.heard);
        if self.answer.is_none() && sound && age + kept.age < COUNTS {
            let rows = kept.rows.iter().map(|r| (r.member, (f64::from(r.open), r.per_s()))).collect();
            let at = now - age - kept.age;
            self.answer = Some(Answer { from: (u32::MAX, 0), number: 0, at, heard: kept.heard, rows });
        }
    }
}

/// What an answer of this age still counts for.
fn weight(age: Millis) -> f64 {
    (1.0 - (age - FRESH) / (2.0 * (COUNTS - FRESH))).clamp(0.0, 1.0)
}

/// Whether a number is later than another, though they may have begun anew.
fn later(number: u32, than: u32) -> bool {
    (1..1 << 31).contains(&number.wrapping_sub(than))
}

/// As many rows as a datagram holds, others with each turn.
fn turn_of(turn: u32, mut rows: Vec<Row>) -> Vec<Row> {
    if rows.len() > ROWS {
        let parts = rows.len().div_ceil(ROWS);
        let at = turn as usize % parts * ROWS;
        rows.rotate_left(at);
        rows.truncate(ROWS);
    }
    rows
}

fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { gcd(b, a % b) }
}
