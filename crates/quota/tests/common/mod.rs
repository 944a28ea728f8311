//! A cluster in memory: relays with their usage tables, datagrams that are delayed, lost, duplicated and
//! partitioned, and clients that arrive, leave and return at another relay when theirs is killed. Virtual
//! time, seeded random numbers.

#![allow(dead_code)]

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sandgw_datagram::MAX_BYTES;
use sandgw_quota::policy::{RejectReason, ScarcitySignals, Verdict};
use sandgw_quota::tenants::{Tenant, Tenants};
use sandgw_quota::usage_gossip::UsageReport;
use sandgw_quota::usage_table::OutgoingReport;
use sandgw_quota::usage_view::UsageView;
use sandgw_quota::{Arrival, ClusterPosition, Decided, QuotaManager, Ticket};

/// Least step of the clock.
pub const STEP: f64 = 20.0;

/// Names that the tests use.
pub fn tenant_name(i: usize) -> String {
    format!("member-{i}")
}

/// How long a client can wait for a decision, in milliseconds.
const PATIENCE_MS: f64 = 400.0;

/// What became of a client that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    Admitted,
    Rejected(RejectReason),
    /// It is decided later: see [`Cluster::settled`].
    Waiting,
}

/// A client that waited, once it is decided.
#[derive(Clone, Copy, Debug)]
pub struct SettledOpening {
    pub tenant: usize,
    /// When it arrived.
    pub since: f64,
    pub is_admitted: bool,
}

pub struct Relay {
    pub quotas: Option<QuotaManager>,
    next: f64,
    /// When its requests for grants are looked at.
    next_grants: f64,
    /// Clients that wait, with their tenant and when they arrived.
    waiting: BTreeMap<Ticket, (usize, f64)>,
    /// Side of the cut that it is on.
    pub side: u32,
    /// Established connections, by tenant.
    pub established: Vec<u32>,
}

pub struct Cluster {
    pub now: f64,
    pub relays: Vec<Relay>,
    pub loss: f64,
    pub duplication: f64,
    pub max_delay_ms: f64,
    pub sent: u64,
    pub rng: StdRng,
    tenants: Vec<Tenant>,
    in_flight: BTreeMap<(u64, u64), (u32, u32, String)>,
    number: u64,
    /// Clients on their way to another relay: when they arrive, and of which tenant.
    returning: Vec<(f64, usize)>,
    /// Clients that waited and are decided.
    pub settled: Vec<SettledOpening>,
}

impl Cluster {
    pub fn new(relays: u32, tenants: Vec<Tenant>, seed: u64) -> Cluster {
        let tenant_count = tenants.len();
        let mut cluster = Cluster {
            now: 1000.0,
            relays: Vec::new(),
            loss: 0.0,
            duplication: 0.0,
            max_delay_ms: 5.0,
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
            tenants,
            in_flight: BTreeMap::new(),
            number: 0,
            returning: Vec::new(),
            settled: Vec::new(),
        };
        for local_index in 0..relays {
            let (quotas, established) = (Some(cluster.quotas(local_index, relays)), vec![0; tenant_count]);
            let (next, next_grants, waiting) = (0.0, f64::INFINITY, BTreeMap::new());
            cluster.relays.push(Relay { quotas, next, next_grants, waiting, side: 0, established });
        }
        cluster
    }

    fn quotas(&self, local_index: u32, relays: u32) -> QuotaManager {
        let tenants = Tenants::new(self.tenants.clone()).unwrap();
        QuotaManager::new(
            tenants,
            ClusterPosition { local_index, relay_count: relays, peer_messages: true },
            self.now,
        )
    }

    fn send(&mut self, from: u32, reports: Vec<OutgoingReport>) {
        for OutgoingReport { peer: to, report } in reports {
            self.sent += 1;
            let text = report.encode().expect("a datagram fits");
            assert!(text.len() <= MAX_BYTES);
            let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplication);
            let cut = self.relays[from as usize].side != self.relays[to as usize].side;
            for _ in 0..copies {
                let delay_ms = 1.0 + self.rng.random::<f64>() * self.max_delay_ms;
                self.number += 1;
                if !cut && self.rng.random::<f64>() >= self.loss {
                    let at = ((self.now + delay_ms) * 1000.0) as u64;
                    self.in_flight.insert((at, self.number), (from, to, text.clone()));
                }
            }
        }
    }

    /// Lets time pass, in small steps.
    pub fn run(&mut self, span: f64, mut each: impl FnMut(&mut Cluster)) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.step();
            each(self);
        }
    }

    fn step(&mut self) {
        let now = (self.now * 1000.0) as u64;
        while let Some(first) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (from, to, text) = first.remove();
            let mut out = Vec::new();
            let report = UsageReport::decode(&text).expect("it reads");
            if let Some(quotas) = &mut self.relays[to as usize].quotas {
                quotas.handle_report(self.now, from, report, &mut out);
            }
            self.send(to, out);
            self.settle(to as usize);
        }
        for local_index in 0..self.relays.len() {
            let relay = &mut self.relays[local_index];
            if let Some(quotas) = relay.quotas.as_mut().filter(|_| relay.next <= self.now) {
                let mut out = Vec::new();
                relay.next = self.now + quotas.poll(self.now, &mut out);
                self.send(local_index as u32, out);
            }
            if self.relays[local_index].next_grants <= self.now {
                self.poll_grants(local_index);
            }
        }
        let (returned, returning) = self.returning.drain(..).partition(|(at, _)| *at <= self.now);
        self.returning = returning;
        let returned: Vec<(f64, usize)> = returned;
        returned.into_iter().for_each(|(_, tenant)| self.open(tenant, true, ScarcitySignals::default()));
    }

    /// A client arrives at some relay that is up.
    pub fn open(&mut self, tenant: usize, is_returning: bool, signals: ScarcitySignals) {
        let up: Vec<usize> = (0..self.relays.len()).filter(|i| self.relays[*i].quotas.is_some()).collect();
        let at = up[self.rng.random_range(0..up.len())];
        self.open_at(at, tenant, is_returning, signals);
    }

    /// What becomes of a client that arrives at this relay.
    pub fn open_at(
        &mut self,
        at: usize,
        tenant: usize,
        is_returning: bool,
        signals: ScarcitySignals,
    ) -> Opening {
        let (now, relay) = (self.now, &mut self.relays[at]);
        let Some(quotas) = &mut relay.quotas else { return Opening::Rejected(RejectReason::NotGranted) };
        let name = tenant_name(tenant);
        let arrival = Arrival { tenant: &name, is_returning, patience: PATIENCE_MS };
        match quotas.admit(now, arrival, signals) {
            Verdict::Admit => {
                quotas.established(&name);
                relay.established[tenant] += 1;
                Opening::Admitted
            }
            Verdict::Reject(reason) => Opening::Rejected(reason),
            Verdict::Wait(ticket) => {
                relay.waiting.insert(ticket, (tenant, now));
                relay.next_grants = now;
                Opening::Waiting
            }
        }
    }

    /// Lets a relay request grants, and decide about clients that can't wait.
    fn poll_grants(&mut self, at: usize) {
        let Some(quotas) = &mut self.relays[at].quotas else { return };
        let mut out = Vec::new();
        let next = quotas.poll_grants(self.now, &mut out);
        self.relays[at].next_grants = next.map_or(f64::INFINITY, |after| self.now + after);
        self.send(at as u32, out);
        self.settle(at);
    }

    /// Takes what a relay has decided about clients that waited.
    fn settle(&mut self, at: usize) {
        let relay = &mut self.relays[at];
        let Some(quotas) = &mut relay.quotas else { return };
        for Decided { ticket, verdict } in quotas.take_decided() {
            let Some((tenant, since)) = relay.waiting.remove(&ticket) else { continue };
            let is_admitted = verdict == Verdict::Admit;
            if is_admitted {
                quotas.established(&tenant_name(tenant));
                relay.established[tenant] += 1;
            }
            self.settled.push(SettledOpening { tenant, since, is_admitted });
        }
    }

    /// One of a tenant's connections ends somewhere.
    pub fn close(&mut self, tenant: usize) {
        let start = self.rng.random_range(0..self.relays.len());
        let n = self.relays.len();
        let at = (0..n).map(|i| (start + i) % n).find(|i| self.relays[*i].established[tenant] > 0);
        if let Some(relay) = at.map(|at| &mut self.relays[at]) {
            relay.established[tenant] -= 1;
            let now = self.now;
            relay.quotas.iter_mut().for_each(|s| s.closed(now, &tenant_name(tenant), true));
            relay.next_grants = now;
        }
    }

    /// Kills a relay; its clients return elsewhere within half a second.
    pub fn kill(&mut self, at: usize) {
        self.relays[at].quotas = None;
        self.relays[at].waiting.clear();
        for (tenant, n) in std::mem::take(&mut self.relays[at].established).into_iter().enumerate() {
            self.relays[at].established.push(0);
            let back = (0..n).map(|_| (self.now + 100.0 + self.rng.random::<f64>() * 400.0, tenant));
            self.returning.extend(back.collect::<Vec<_>>());
        }
    }

    /// It starts anew, from nothing.
    pub fn start(&mut self, at: usize) {
        self.relays[at].quotas = Some(self.quotas(at as u32, self.relays.len() as u32));
        self.relays[at].next = self.now;
    }

    /// Connections of a tenant that stand, with those on their way to another relay.
    pub fn truth(&self, tenant: usize) -> f64 {
        let established: u32 = self.relays.iter().map(|r| r.established[tenant]).sum();
        f64::from(established) + self.returning.iter().filter(|(_, k)| *k == tenant).count() as f64
    }

    pub fn views(&self, tenant: usize) -> impl Iterator<Item = (usize, UsageView)> {
        let view = move |s: &QuotaManager| s.view(self.now, &tenant_name(tenant));
        self.relays.iter().enumerate().filter_map(move |(i, r)| Some((i, r.quotas.as_ref().and_then(view)?)))
    }
}

/// How long each relay's count has been off by more than a tolerance, at the longest; how far counts were
/// off at the most and in the mean; how many lay within their bounds.
#[derive(Debug, Default)]
pub struct ErrorStats {
    since: BTreeMap<usize, f64>,
    pub longest_ms: f64,
    pub max: f64,
    sum: f64,
    n: f64,
    within: f64,
}

impl ErrorStats {
    pub fn observe(&mut self, cluster: &Cluster, tenant: usize, tolerance: f64) {
        let truth = cluster.truth(tenant);
        for (i, view) in cluster.views(tenant) {
            let off = (view.connections - truth).abs() / truth.max(1.0);
            self.max = self.max.max(off);
            (self.sum, self.n) = (self.sum + off, self.n + 1.0);
            self.within += f64::from(u8::from(view.min <= truth + 0.5 && truth <= view.max + 0.5));
            if off > tolerance {
                let since = *self.since.entry(i).or_insert(cluster.now);
                self.longest_ms = self.longest_ms.max(cluster.now - since);
            } else {
                self.since.remove(&i);
            }
        }
        self.since.retain(|i, _| cluster.relays[*i].quotas.is_some());
    }

    pub fn mean(&self) -> f64 {
        self.sum / self.n.max(1.0)
    }

    pub fn within(&self) -> f64 {
        self.within / self.n.max(1.0)
    }
}
