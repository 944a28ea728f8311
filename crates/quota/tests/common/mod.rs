//! An in-memory cluster: relays with their usage tables, datagrams that are delayed, lost, duplicated or cut
//! off by a partition, and clients that arrive, leave, and return to another relay when their relay is
//! killed. Time is virtual and random numbers are seeded.

#![allow(dead_code)]

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sandgw_datagram::MAX_BYTES;
use sandgw_quota::policy::{RejectReason, ScarcitySignals, Verdict};
use sandgw_quota::tenants::{Tenant, Tenants};
use sandgw_quota::usage_gossip::UsageReport;
use sandgw_quota::usage_table::OutgoingReport;
use sandgw_quota::usage_view::UsageView;
use sandgw_quota::{Arrival, ClusterPosition, DelayedDecision, QuotaManager, Ticket};

/// Step of the virtual clock, in milliseconds.
pub const STEP_MS: f64 = 20.0;

/// The name of the tenant with this index.
pub fn tenant_name(i: usize) -> String {
    format!("member-{i}")
}

/// How long a client can wait for a decision, in milliseconds.
const MAX_WAIT_MS: f64 = 400.0;

/// The outcome of a client's arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Admitted,
    Rejected(RejectReason),
    /// The relay decides later: see [`Cluster::decided`].
    Waiting,
}

/// A client that waited, once its relay has decided about it.
#[derive(Clone, Copy, Debug)]
pub struct DecidedArrival {
    pub tenant: usize,
    /// When the client arrived.
    pub arrived_at: f64,
    pub is_admitted: bool,
}

pub struct Relay {
    pub quotas: Option<QuotaManager>,
    /// When `poll` is called next.
    next_poll_at: f64,
    /// When `poll_grants` is called next.
    next_grant_poll_at: f64,
    /// Clients that wait for a decision: their tenant, and when they arrived.
    waiting: BTreeMap<Ticket, (usize, f64)>,
    /// Side of the partition that the relay is on.
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
    last_datagram_id: u64,
    /// Clients that reconnect to another relay: when they arrive, and their tenant.
    returning: Vec<(f64, usize)>,
    /// Clients that waited, and the decisions about them.
    pub decided: Vec<DecidedArrival>,
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
            last_datagram_id: 0,
            returning: Vec::new(),
            decided: Vec::new(),
        };
        for local_index in 0..relays {
            let (quotas, established) = (Some(cluster.quotas(local_index, relays)), vec![0; tenant_count]);
            let (next_poll_at, next_grant_poll_at, waiting) = (0.0, f64::INFINITY, BTreeMap::new());
            cluster.relays.push(Relay {
                quotas,
                next_poll_at,
                next_grant_poll_at,
                waiting,
                side: 0,
                established,
            });
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
            let text = report.encode().expect("a report fits into a datagram");
            assert!(text.len() <= MAX_BYTES);
            let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplication);
            let cut = self.relays[from as usize].side != self.relays[to as usize].side;
            for _ in 0..copies {
                let delay_ms = 1.0 + self.rng.random::<f64>() * self.max_delay_ms;
                self.last_datagram_id += 1;
                if !cut && self.rng.random::<f64>() >= self.loss {
                    let at = ((self.now + delay_ms) * 1000.0) as u64;
                    self.in_flight.insert((at, self.last_datagram_id), (from, to, text.clone()));
                }
            }
        }
    }

    /// Advances the clock by `duration_ms` milliseconds in small steps, and calls `after_step` after each
    /// step.
    pub fn run(&mut self, duration_ms: f64, mut after_step: impl FnMut(&mut Cluster)) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now += STEP_MS;
            self.step();
            after_step(self);
        }
    }

    fn step(&mut self) {
        let now = (self.now * 1000.0) as u64;
        while let Some(first) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (from, to, text) = first.remove();
            let mut out = Vec::new();
            let report = UsageReport::decode(&text).expect("a sent report can be decoded");
            if let Some(quotas) = &mut self.relays[to as usize].quotas {
                quotas.handle_report(self.now, from, report, &mut out);
            }
            self.send(to, out);
            self.take_decisions(to as usize);
        }
        for local_index in 0..self.relays.len() {
            let relay = &mut self.relays[local_index];
            if let Some(quotas) = relay.quotas.as_mut().filter(|_| relay.next_poll_at <= self.now) {
                let mut out = Vec::new();
                relay.next_poll_at = self.now + quotas.poll(self.now, &mut out);
                self.send(local_index as u32, out);
            }
            if self.relays[local_index].next_grant_poll_at <= self.now {
                self.poll_grants(local_index);
            }
        }
        let (returned, returning) = self.returning.drain(..).partition(|(at, _)| *at <= self.now);
        self.returning = returning;
        let returned: Vec<(f64, usize)> = returned;
        returned.into_iter().for_each(|(_, tenant)| self.open(tenant, true, ScarcitySignals::default()));
    }

    /// A client arrives at a random relay that runs.
    pub fn open(&mut self, tenant: usize, is_returning: bool, signals: ScarcitySignals) {
        let up: Vec<usize> = (0..self.relays.len()).filter(|i| self.relays[*i].quotas.is_some()).collect();
        let at = up[self.rng.random_range(0..up.len())];
        self.open_at(at, tenant, is_returning, signals);
    }

    /// A client arrives at this relay; returns the outcome.
    pub fn open_at(
        &mut self,
        at: usize,
        tenant: usize,
        is_returning: bool,
        signals: ScarcitySignals,
    ) -> Outcome {
        let (now, relay) = (self.now, &mut self.relays[at]);
        let Some(quotas) = &mut relay.quotas else { return Outcome::Rejected(RejectReason::NotGranted) };
        let name = tenant_name(tenant);
        let arrival = Arrival { tenant: &name, is_returning, max_wait: MAX_WAIT_MS };
        match quotas.admit(now, arrival, signals) {
            Verdict::Admit => {
                quotas.established(&name);
                relay.established[tenant] += 1;
                Outcome::Admitted
            }
            Verdict::Reject(reason) => Outcome::Rejected(reason),
            Verdict::Wait(ticket) => {
                relay.waiting.insert(ticket, (tenant, now));
                relay.next_grant_poll_at = now;
                Outcome::Waiting
            }
        }
    }

    /// Lets a relay request grants, and decide about clients that cannot wait any longer.
    fn poll_grants(&mut self, at: usize) {
        let Some(quotas) = &mut self.relays[at].quotas else { return };
        let mut out = Vec::new();
        let next_in_ms = quotas.poll_grants(self.now, &mut out);
        self.relays[at].next_grant_poll_at = next_in_ms.map_or(f64::INFINITY, |delay_ms| self.now + delay_ms);
        self.send(at as u32, out);
        self.take_decisions(at);
    }

    /// Takes a relay's decisions about clients that waited.
    fn take_decisions(&mut self, at: usize) {
        let relay = &mut self.relays[at];
        let Some(quotas) = &mut relay.quotas else { return };
        for DelayedDecision { ticket, verdict } in quotas.take_decided() {
            let Some((tenant, arrived_at)) = relay.waiting.remove(&ticket) else { continue };
            let is_admitted = verdict == Verdict::Admit;
            if is_admitted {
                quotas.established(&tenant_name(tenant));
                relay.established[tenant] += 1;
            }
            self.decided.push(DecidedArrival { tenant, arrived_at, is_admitted });
        }
    }

    /// One of a tenant's connections ends, at a random relay that has any.
    pub fn close(&mut self, tenant: usize) {
        let start = self.rng.random_range(0..self.relays.len());
        let relay_count = self.relays.len();
        let at = (0..relay_count)
            .map(|i| (start + i) % relay_count)
            .find(|i| self.relays[*i].established[tenant] > 0);
        if let Some(relay) = at.map(|at| &mut self.relays[at]) {
            relay.established[tenant] -= 1;
            let now = self.now;
            relay.quotas.iter_mut().for_each(|s| s.closed(now, &tenant_name(tenant), true));
            relay.next_grant_poll_at = now;
        }
    }

    /// Kills a relay; its clients return to other relays within half a second.
    pub fn kill(&mut self, at: usize) {
        self.relays[at].quotas = None;
        self.relays[at].waiting.clear();
        for (tenant, connections) in std::mem::take(&mut self.relays[at].established).into_iter().enumerate()
        {
            self.relays[at].established.push(0);
            let returning =
                (0..connections).map(|_| (self.now + 100.0 + self.rng.random::<f64>() * 400.0, tenant));
            self.returning.extend(returning.collect::<Vec<_>>());
        }
    }

    /// Starts a relay without any state.
    pub fn start(&mut self, at: usize) {
        self.relays[at].quotas = Some(self.quotas(at as u32, self.relays.len() as u32));
        self.relays[at].next_poll_at = self.now;
    }

    /// The true number of a tenant's connections: those established, and those of clients that reconnect to
    /// another relay.
    pub fn true_connections(&self, tenant: usize) -> f64 {
        let established: u32 = self.relays.iter().map(|r| r.established[tenant]).sum();
        f64::from(established) + self.returning.iter().filter(|(_, k)| *k == tenant).count() as f64
    }

    /// The view of a tenant's usage at each relay that runs, with the relay's index.
    pub fn views(&self, tenant: usize) -> impl Iterator<Item = (usize, UsageView)> {
        let view = move |s: &QuotaManager| s.view(self.now, &tenant_name(tenant));
        self.relays.iter().enumerate().filter_map(move |(i, r)| Some((i, r.quotas.as_ref().and_then(view)?)))
    }
}

/// Errors of the relays' counts of a tenant's connections: the longest time for which a relay's error was
/// above a tolerance, the greatest and the mean error, and the fraction of counts whose bounds held.
#[derive(Debug, Default)]
pub struct ErrorStats {
    above_tolerance_since: BTreeMap<usize, f64>,
    pub longest_ms: f64,
    pub max: f64,
    error_sum: f64,
    observations: f64,
    within_bounds: f64,
}

impl ErrorStats {
    pub fn observe(&mut self, cluster: &Cluster, tenant: usize, tolerance: f64) {
        let true_connections = cluster.true_connections(tenant);
        for (i, view) in cluster.views(tenant) {
            let relative_error = (view.connections - true_connections).abs() / true_connections.max(1.0);
            self.max = self.max.max(relative_error);
            (self.error_sum, self.observations) = (self.error_sum + relative_error, self.observations + 1.0);
            self.within_bounds +=
                f64::from(u8::from(view.min <= true_connections + 0.5 && true_connections <= view.max + 0.5));
            if relative_error > tolerance {
                let above_tolerance_since = *self.above_tolerance_since.entry(i).or_insert(cluster.now);
                self.longest_ms = self.longest_ms.max(cluster.now - above_tolerance_since);
            } else {
                self.above_tolerance_since.remove(&i);
            }
        }
        self.above_tolerance_since.retain(|i, _| cluster.relays[*i].quotas.is_some());
    }

    pub fn mean(&self) -> f64 {
        self.error_sum / self.observations.max(1.0)
    }

    pub fn fraction_within_bounds(&self) -> f64 {
        self.within_bounds / self.observations.max(1.0)
    }
}
