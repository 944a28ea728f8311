//! A tier in memory: relays with their ledgers, datagrams that are late, lost, doubled and cut off, and clients that
//! come, leave and return at another relay when theirs is killed. Virtual time; all is drawn from a seed.

#![allow(dead_code)]

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sandgw_quota::QuotaManager;
use sandgw_quota::policy::{ScarcitySignals, Verdict};
use sandgw_quota::tenants::{Tenant, Tenants};
use sandgw_quota::usage_gossip::{MOST_BYTES, UsageReport};
use sandgw_quota::usage_table::{Place, View};

/// Least step of the clock.
pub const STEP: f64 = 20.0;

/// Names that the tests use.
pub fn member(i: usize) -> String {
    format!("member-{i}")
}

pub struct Relay {
    pub shares: Option<QuotaManager>,
    next: f64,
    /// Side of the cut that it is on.
    pub side: u32,
    /// Connections that stand here, by member.
    pub standing: Vec<u32>,
}

pub struct Tier {
    pub now: f64,
    pub relays: Vec<Relay>,
    pub loss: f64,
    pub doubled: f64,
    pub late: f64,
    pub sent: u64,
    pub rng: StdRng,
    members: Vec<Tenant>,
    on_way: BTreeMap<(u64, u64), (u32, u32, String)>,
    number: u64,
    /// Clients on their way to another relay: when they arrive, and of which member.
    returning: Vec<(f64, usize)>,
}

impl Tier {
    pub fn new(relays: u32, members: Vec<Tenant>, seed: u64) -> Tier {
        let kinds = members.len();
        let mut tier = Tier {
            now: 1000.0,
            relays: Vec::new(),
            loss: 0.0,
            doubled: 0.0,
            late: 5.0,
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
            members,
            on_way: BTreeMap::new(),
            number: 0,
            returning: Vec::new(),
        };
        for local_index in 0..relays {
            let (shares, standing) = (Some(tier.shares(local_index, relays)), vec![0; kinds]);
            tier.relays.push(Relay { shares, next: 0.0, side: 0, standing });
        }
        tier
    }

    fn shares(&self, local_index: u32, relays: u32) -> QuotaManager {
        let members = Tenants::new(self.members.clone()).unwrap();
        QuotaManager::new(members, Place { local_index, relays, peers: true }, self.now)
    }

    fn send(&mut self, from: u32, sends: Vec<(u32, UsageReport)>) {
        for (to, told) in sends {
            self.sent += 1;
            let text = told.text().expect("a datagram fits");
            assert!(text.len() <= MOST_BYTES);
            let copies = 1 + usize::from(self.rng.random::<f64>() < self.doubled);
            let cut = self.relays[from as usize].side != self.relays[to as usize].side;
            for _ in 0..copies {
                let late = 1.0 + self.rng.random::<f64>() * self.late;
                self.number += 1;
                if !cut && self.rng.random::<f64>() >= self.loss {
                    let at = ((self.now + late) * 1000.0) as u64;
                    self.on_way.insert((at, self.number), (from, to, text.clone()));
                }
            }
        }
    }

    /// Lets time pass, in small steps.
    pub fn run(&mut self, span: f64, mut each: impl FnMut(&mut Tier)) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.step();
            each(self);
        }
    }

    fn step(&mut self) {
        let now = (self.now * 1000.0) as u64;
        while let Some(first) = self.on_way.first_entry().filter(|e| e.key().0 <= now) {
            let (from, to, text) = first.remove();
            let mut out = Vec::new();
            let told = UsageReport::read(&text).expect("it reads");
            if let Some(shares) = &mut self.relays[to as usize].shares {
                shares.told(self.now, from, told, &mut out);
            }
            self.send(to, out);
        }
        for local_index in 0..self.relays.len() {
            let relay = &mut self.relays[local_index];
            if let Some(shares) = relay.shares.as_mut().filter(|_| relay.next <= self.now) {
                let mut out = Vec::new();
                relay.next = self.now + shares.due(self.now, &mut out);
                self.send(local_index as u32, out);
            }
        }
        let (back, away) = self.returning.drain(..).partition(|(at, _)| *at <= self.now);
        self.returning = away;
        let back: Vec<(f64, usize)> = back;
        back.into_iter().for_each(|(_, kind)| self.arrives(kind, true, ScarcitySignals::default()));
    }

    /// A client arrives at some relay that is up.
    pub fn arrives(&mut self, kind: usize, returned: bool, signs: ScarcitySignals) {
        let up: Vec<usize> = (0..self.relays.len()).filter(|i| self.relays[*i].shares.is_some()).collect();
        let at = up[self.rng.random_range(0..up.len())];
        self.arrives_at(at, kind, returned, signs);
    }

    /// Whether it was taken.
    pub fn arrives_at(&mut self, at: usize, kind: usize, returned: bool, signs: ScarcitySignals) -> bool {
        let (now, relay) = (self.now, &mut self.relays[at]);
        let Some(shares) = &mut relay.shares else { return false };
        if shares.came(now, &member(kind), returned, signs) == Verdict::Over {
            return false;
        }
        shares.stands(&member(kind));
        relay.standing[kind] += 1;
        true
    }

    /// One of a member's connections ends somewhere.
    pub fn leaves(&mut self, kind: usize) {
        let start = self.rng.random_range(0..self.relays.len());
        let n = self.relays.len();
        let at = (0..n).map(|i| (start + i) % n).find(|i| self.relays[*i].standing[kind] > 0);
        if let Some(relay) = at.map(|at| &mut self.relays[at]) {
            relay.standing[kind] -= 1;
            relay.shares.iter_mut().for_each(|s| s.ended(&member(kind), true));
        }
    }

    /// Kills a relay; its clients return elsewhere within half a second.
    pub fn kill(&mut self, at: usize) {
        self.relays[at].shares = None;
        for (kind, n) in std::mem::take(&mut self.relays[at].standing).into_iter().enumerate() {
            self.relays[at].standing.push(0);
            let back = (0..n).map(|_| (self.now + 100.0 + self.rng.random::<f64>() * 400.0, kind));
            self.returning.extend(back.collect::<Vec<_>>());
        }
    }

    /// It starts anew, from nothing.
    pub fn start(&mut self, at: usize) {
        self.relays[at].shares = Some(self.shares(at as u32, self.relays.len() as u32));
        self.relays[at].next = self.now;
    }

    /// Connections of a member that stand, with those on their way to another relay.
    pub fn truth(&self, kind: usize) -> f64 {
        let standing: u32 = self.relays.iter().map(|r| r.standing[kind]).sum();
        f64::from(standing) + self.returning.iter().filter(|(_, k)| *k == kind).count() as f64
    }

    pub fn views(&self, kind: usize) -> impl Iterator<Item = (usize, View)> {
        let view = move |s: &QuotaManager| s.view(self.now, &member(kind));
        self.relays.iter().enumerate().filter_map(move |(i, r)| Some((i, r.shares.as_ref().and_then(view)?)))
    }
}

/// How long each relay's count has been off by more than a share, at the longest; how far counts were off at the most
/// and in the mean; how many lay within their bounds.
#[derive(Debug, Default)]
pub struct Watch {
    since: BTreeMap<usize, f64>,
    pub longest: f64,
    pub most: f64,
    sum: f64,
    n: f64,
    within: f64,
}

impl Watch {
    pub fn look(&mut self, tier: &Tier, kind: usize, share: f64) {
        let truth = tier.truth(kind);
        for (i, view) in tier.views(kind) {
            let off = (view.open - truth).abs() / truth.max(1.0);
            self.most = self.most.max(off);
            (self.sum, self.n) = (self.sum + off, self.n + 1.0);
            self.within += f64::from(u8::from(view.least <= truth + 0.5 && truth <= view.most + 0.5));
            if off > share {
                let since = *self.since.entry(i).or_insert(tier.now);
                self.longest = self.longest.max(tier.now - since);
            } else {
                self.since.remove(&i);
            }
        }
        self.since.retain(|i, _| tier.relays[*i].shares.is_some());
    }

    pub fn mean(&self) -> f64 {
        self.sum / self.n.max(1.0)
    }

    pub fn within(&self) -> f64 {
        self.within / self.n.max(1.0)
    }
}
