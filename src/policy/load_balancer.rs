//! The policy: where each connection goes, and what happens when that fails.
//!
//! The interface (settings, events, actions, ids) is in `interface.rs`, what is remembered in `state.rs`.
//! A [`LoadBalancer`] is a state machine without I/O: it is handed events with the time and appends actions.
//!
//! Ordinary path: the group key, else the client key, points into a Maglev table that every balancer
//! builds alike from the ready servers of its list. All exceptions walk on along the table from that
//! same slot, so that balancers which skip a server alike also land alike.

use std::cell::LazyCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use sandgw_affinity::replication::FULL_MESH_RELAYS;
use sandgw_cluster::concurrency_limit::ConcurrencyLimit;
use sandgw_cluster::rebalance;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::policy::api::*;
use crate::policy::cluster_state::ClusterState;
use crate::policy::hashing::*;
use crate::policy::state::{Conn, Endpoint, Ledger, Mean, Pool, Recent, Sample, Stage, spread};

/// A server may carry this multiple of its fair share before its keys overflow along the table.
const BOUND: f64 = 1.25;
/// The same of the own load alone, where no message tells which server is slow.
const EVEN: f64 = 1.15;
/// Mean connections that a group is taken to cost each server that holds any of it.
const COPY: f64 = 2.0;
/// Arrivals that a balancer remembers, to tell the groups' shares, and those of other groups that it takes
/// as seen besides: a group met once among few is large, but not that large.
const MEMORY: f64 = 256.0;
const PRIOR: f64 = 6.0;
/// Arrivals that the groups' sizes count for at the most, as others or a store tell them.
const SEEDED: f64 = MEMORY / 2.0;
/// Share of its own load on a jammed server that a balancer asks to come again, each second.
const SHED: f64 = 0.5;
/// Set-ups are told by the quickest of this long, since several at once wait for each other; they say
/// something of their server for the longer span.
const QUICKEST_OF: Millis = 1000.0;
const SETUP_KNOWN: Millis = 5000.0;
/// Share of the wanted set-up time by which one is slower than others.
const LAG: f64 = 0.1;
/// Cut of a server's cap at a jam.
const CUT: f64 = 0.75;
/// How often within a connect time-out a held request looks for a place again.
const LOOKS: f64 = 4.0;
/// How long news of what all balancers hold counts.
const TOLD_FOR: Millis = 10_000.0;
/// Where no budget is stated.
const UNLIMITED: RetryBudget = RetryBudget { window: 0.0, min_retries: f64::INFINITY, retry_ratio: 0.0 };
/// Own pace to cold servers, as a multiple of what fills them: few are ready to send when they may.
const COLD_PACE: f64 = 1.35;
/// Clients that a leaving server does not send away itself are told within this of the notice, in steps.
const LEAVE_WITHIN: Millis = 1000.0;
const LEAVE_STEP: Millis = 100.0;
/// A sum of less than the own load at this share of all balancers is the word of a few.
const FEW: f64 = 0.25;
/// One that has come to stand is not asked to come again for this long.
const SETTLED: Millis = 4000.0;
/// Tokens of the steps and of what is told; request ids stay far below.
const LEAVE: u64 = 1 << 62;
const TELL: u64 = LEAVE + 1;

/// The decisions of one balancer.
#[derive(Default)]
pub struct LoadBalancer {
    pub(crate) settings: Settings,
    seed: u64,
    pub(crate) ledger: Ledger,
    /// Servers in the table, sorted by id, the table (positions in `ring`), and the sum of weights.
    pub(crate) ring: Vec<EndpointId>,
    table: Vec<u16>,
    weights: f64,
    /// Servers of each group, as positions in `ring`, with the load that each is to take.
    plan: BTreeMap<u32, Vec<(usize, f64)>>,
    /// What all servers of the table could do then, by weight and warmth.
    power: f64,
    /// It follows caps and warmth, but not with every request of a burst.
    pub(crate) planned_at: Millis,
    /// Own arrivals, a sample of the fleet's, and what balancers add up of theirs.
    pub(crate) sample: Sample,
    pub(crate) pool: Pool,
    mean: Mean,
    /// Messages are told to be slow where they are: caps follow that better than weights can tell.
    pub(crate) hears: bool,
    /// Where clients and groups are held: for those that arrive mid-flow, and for a plan after a restart.
    pub(crate) cluster: ClusterState,
    /// How many set-ups may be out at once while a fault is common to all servers.
    pub(crate) pace: ConcurrencyLimit,
    /// Whether own connections broke off lately by a server's fault (dropped, moved off: 1) or not (-1).
    faults: f64,
    /// The steps in which clients of leaving servers are told are under way: one row of them for all.
    leaving: bool,
    /// Own budget of cold servers: no new connection to any before.
    pub(crate) next_cold: Millis,
    /// Own start, since when it is known what was sent.
    began: Millis,
    /// Requests that wait for their turn.
    pub(crate) queue: BTreeSet<RequestId>,
    /// Requests taken and attempts beyond their first, within the budget's window.
    taken: Recent,
    further: Recent,
}

impl LoadBalancer {
    /// A balancer without any state but its settings. Its first event is the list as last held.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let cluster = ClusterState::new(&settings, seed, now);
        LoadBalancer {
            settings,
            seed,
            cluster,
            began: now,
            pace: ConcurrencyLimit::new(now),
            ..LoadBalancer::default()
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A request as it arrived, or the one behind an established connection.
    pub(crate) fn request(&self, id: RequestId) -> Option<&Request> {
        self.ledger.conns.get(&id).map(|conn| &conn.request)
    }

    /// Entries of the list as they are known, of the endpoints that are wanted, as if in this state.
    pub(crate) fn entries(
        &self,
        wanted: impl Fn(&EndpointId) -> bool,
        state: EndpointState,
    ) -> Vec<EndpointEntry> {
        let known = self.ledger.endpoints.iter().filter(|(id, _)| wanted(id));
        let entry = |(id, s): (&EndpointId, &Endpoint)| EndpointEntry {
            id: id.clone(),
            state,
            weight: s.weight,
            started: s.started,
            zone: s.zone.clone(),
            cell: s.cell,
        };
        known.map(entry).collect()
    }

    /// How long from now, in ms, no new connection may go to an endpoint that is warming up.
    pub(crate) fn slow_start_pause(&self, now: Millis) -> Millis {
        self.next_cold - now
    }

    /// Where clients and groups are held, and what relays exchange about it.
    pub(crate) fn cluster_state(&self) -> &ClusterState {
        &self.cluster
    }

    /// The same, to be changed.
    pub(crate) fn cluster_state_mut(&mut self) -> &mut ClusterState {
        &mut self.cluster
    }

    /// Takes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Actions) {
        match event {
            Event::Settings(settings) => {
                self.cluster.apply_settings(&settings);
                if settings.discovery != self.settings.discovery {
                    out.push(Action::Subscribe);
                }
                (self.settings, self.planned_at) = (*settings, f64::NEG_INFINITY);
            }
            Event::List { kind: ListKind::Failed, .. } => self.cluster.list_poll_failed(now),
            Event::List { kind, endpoints } => self.list(now, kind, endpoints, out),
            Event::Request(mut request) => {
                let id = request.id;
                // Two readings of the clock early, so that the last attempt's outcome is answered in time.
                request.deadline -= 2.0 * self.settings.resolution;
                self.taken.add(now);
                self.count(now, &request, out);
                self.cluster.count_request();
                let conn = self.conn(now, request, Stage::Queued);
                self.ledger.conns.insert(id, conn);
                self.advance(now, id, 0.0, out);
            }
            Event::ExistingConnection { request, endpoint } => {
                let id = request.id;
                let conn = Conn { attempts: 1, ..self.conn(now, request, Stage::Established) };
                self.cluster.record_location(now, &conn.request, conn.load, &endpoint);
                self.ledger.conns.insert(id, conn);
                self.ledger.hold(id, endpoint);
            }
            Event::Established { request, attempt, elapsed: e } => self.opened(now, request, attempt, e),
            Event::AttemptEnded { request, attempt, endpoint, outcome, finished } => {
                if self.ledger.conns.get(&request).is_some_and(|c| c.attempts == attempt.0 + 1) {
                    self.ended(now, request, endpoint, (outcome, finished), out);
                }
            }
            Event::ClientGone(id) => self.forget(id),
            Event::Measured { request, measurement } => self.note(now, request, measurement, out),
            Event::PeerMessage { peer, message } => self.told(now, peer, message, out),
            Event::Timer(LEAVE) => self.leave(now, out),
            Event::Timer(TELL) => self.cluster.on_timer(now),
            Event::Timer(token) => self.advance(now, RequestId(token), 0.0, out),
        }
        let learned = self.cluster.take_learned_sizes(now, SEEDED);
        if let Some(sample) = learned.filter(|s| s.total() > self.sample.total()) {
            (self.sample, self.planned_at) = (sample, f64::NEG_INFINITY);
        }
        if let Some(view) = self.cluster.take_cluster_load(now, || self.ledger.holds()) {
            self.ledger.hear(now, &view);
            self.level(now, out);
        }
        self.cluster.flush(now, TELL, out);
        self.drain_queue(now, out);
    }

    fn list(&mut self, now: Millis, kind: ListKind, entries: Vec<EndpointEntry>, out: &mut Actions) {
        self.cluster.apply_list(now, kind, &entries);
        let endpoints = &mut self.ledger.endpoints;
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            endpoints.values_mut().for_each(|s| s.state = EndpointState::Removed);
        }
        let mut resized = false;
        for e in entries {
            match endpoints.get_mut(&e.id) {
                // Not `!=`: a start that was inferred here is a little later than the listed one.
                Some(s) if e.started <= s.started => s.state = e.state,
                Some(s) => {
                    // A new process: what was learned of the old one is void; its connections end alone.
                    let (conns, load, before) = (std::mem::take(&mut s.conns), s.load, s.weight);
                    *s = Endpoint { conns, load, ..Endpoint::new(&e) };
                    // In a running process the listed size may follow its load: the table would never rest.
                    resized |= s.weight != before;
                }
                None => drop(endpoints.insert(e.id.clone(), Endpoint::new(&e))),
            }
        }
        endpoints.retain(|_, s| s.state != EndpointState::Removed || !s.conns.is_empty());
        let mut leaves = false;
        for s in endpoints.values_mut() {
            let before = s.leaves;
            s.leaves = (s.state != EndpointState::Ready).then(|| before.unwrap_or(now));
            let told =
                |id: &RequestId| self.ledger.conns.get(id).is_some_and(|c| !c.request.drained_by_endpoint);
            leaves |= before.is_none() && s.leaves.is_some() && s.conns.iter().any(told);
        }
        if leaves && !std::mem::replace(&mut self.leaving, true) {
            out.push(Action::SetTimer { after: LEAVE_STEP, token: LEAVE });
        }
        let ready = || endpoints.iter().filter(|(_, s)| s.state == EndpointState::Ready);
        let weighty = ready().any(|(_, s)| s.weight > 0.0);
        let ring = ready().filter(|(_, s)| s.weight > 0.0 || !weighty).map(|(id, _)| id);
        if resized || !ring.clone().eq(self.ring.iter()) {
            (self.ring, self.table) = (ring.cloned().collect(), Vec::new());
        }
        self.planned_at = f64::NEG_INFINITY;
        self.weights = self.ring.iter().map(|id| self.ledger.endpoints[id].weight).sum();
    }

    /// Tells the next share of the clients of servers that leave to come again: evenly, since all of them at
    /// once would fall on few others.
    fn leave(&mut self, now: Millis, out: &mut Actions) {
        let mut more = false;
        for (id, s) in &self.ledger.endpoints {
            let Some(since) = s.leaves else { continue };
            let open =
                self.ledger.clients(id, |c| c.stage == Stage::Established && !c.request.drained_by_endpoint);
            let steps = ((since + LEAVE_WITHIN - now) / LEAVE_STEP).floor().max(1.0);
            let share = (open.len() as f64 / steps).ceil() as usize;
            out.extend(open.into_iter().take(share).map(Action::Migrate));
            // One that is still being set up there stands later.
            more |= !self.ledger.clients(id, |c| !c.request.drained_by_endpoint).is_empty();
        }
        self.leaving = more;
        if more {
            out.push(Action::SetTimer { after: LEAVE_STEP, token: LEAVE });
        }
    }

    /// Has some own clients of servers that carry too much of what all hold come again, in calm times.
    fn level(&mut self, now: Millis, out: &mut Actions) {
        let few = self.ledger.told < self.ledger.total * FEW * f64::from(self.settings.relay_count);
        if few
            || self.pace.latest_met_queue()
            || self.ledger.endpoints.values().any(|s| s.state != EndpointState::Ready)
        {
            return;
        }
        let each = self.ring.iter().map(|id| &self.ledger.endpoints[id]);
        let load =
            |s: &Endpoint| rebalance::EndpointLoad { load: s.told, capacity: s.weight * self.warmth(now, s) };
        let each: Vec<_> = each.map(load).collect();
        for (at, share) in
            rebalance::migration_fractions(&each).into_iter().enumerate().filter(|(_, share)| *share > 0.0)
        {
            let since = now - SETTLED;
            let own =
                self.ledger.clients(&self.ring[at], |c| c.stage == Stage::Established && c.sent < since);
            out.extend(own.into_iter().filter(|_| self.random() < share).map(Action::Migrate));
        }
    }

    /// Servers in the order in which the table offers them from a key's slot on.
    fn along(&self, slot: u32) -> impl Iterator<Item = usize> {
        let mut seen = vec![false; self.ring.len()];
        // Bounded by the table: a server of tiny weight may hold no slot at all.
        let slots = self.table.iter().cycle().skip(slot as usize).take(self.table.len());
        let first = move |at: &usize| !std::mem::replace(&mut seen[*at], true);
        slots.map(|at| usize::from(*at)).filter(first).take(self.ring.len())
    }

    /// Order in which a request tries the servers; how many of them its group is planned on.
    fn walk(&self, request: &Request) -> (Vec<usize>, usize) {
        let client = request.client_key();
        let Some(group) = &request.group else { return (self.along(slot(&client)).collect(), 0) };
        let group = slot(group.0.as_bytes());
        let mut walk: Vec<usize> = self.along(group).collect();
        let Some(parts) = self.plan.get(&group) else { return (walk, 1) };
        // A group that outgrows its server splits by client key. Nested: one more part draws a share of
        // clients from each of the others, so balancers that count parts differently agree on most clients.
        let (mut own, mut sum) = (None, 0.0);
        for (i, (at, load)) in parts.iter().enumerate() {
            sum += load;
            if i == 0 || fraction(xxh3_64_with_seed(&client, SECOND + i as u64)) * sum < *load {
                own = Some(*at);
            }
        }
        walk.sort_by_cached_key(|at| (Some(*at) != own, !parts.iter().any(|(part, _)| part == at)));
        (walk, parts.len().max(1))
    }

    /// Counts an arrival for its group. Clients that come again would count groups in trouble double.
    fn count(&mut self, now: Millis, request: &Request, out: &mut Actions) {
        let Some(group) = request.group.as_ref().filter(|_| !request.returned) else { return };
        self.sample.add(slot(group.0.as_bytes()), 1.0 - 1.0 / MEMORY);
        self.planned_at = f64::NEG_INFINITY;
        out.extend(self.pool.counted(now, &self.sample, &self.settings));
    }

    fn told(&mut self, now: Millis, peer: u32, message: PeerMessage, out: &mut Actions) {
        match message.cluster {
            Some(ClusterMessage::LoadReport(rows)) => {
                self.cluster.receive_load_report(now, peer, rows, &self.ledger.sizes())
            }
            Some(ClusterMessage::OverloadNotice(endpoint)) => {
                if self.cluster.receive_overload_notice(now, endpoint) {
                    self.pace.record_peer_warning(
                        now,
                        self.ledger.trying,
                        2.0 * self.settings.connect_timeout,
                    );
                }
            }
            Some(piece) => self.cluster.receive(now, peer, piece),
            None => out.extend(self.pool.told(peer, message, &self.sample, &self.settings)),
        }
    }

    /// Spreads the groups over the servers: each fills the room along its walk, largest first, on few
    /// servers, since every server that holds any of a group pays for it once. All in the fleet's terms.
    fn replan(&mut self, now: Millis) {
        let (mut sample, own, mut times) = (self.sample.clone(), self.sample.total(), 1.0_f64);
        let relay_count = f64::from(self.settings.relay_count);
        // A sample of nearly all connections is what it is; the smaller it is, the more is by chance.
        let chance = (relay_count / own.max(1.0)).min(1.0);
        // An answer of less than the own sample is of a peer that has just started.
        if let Some(least) = self.pool.pooled.group_sizes.last().filter(|_| self.pool.pooled.total > own) {
            // A group that the answer had no place for is no larger than those that it names.
            times = self.pool.pooled.total / own.max(1.0);
            sample.0.values_mut().for_each(|n| *n = (*n * times).min(least.1.max(*n)));
            sample.0.extend(self.pool.pooled.group_sizes.iter().filter(|(_, n)| *n > 0.0).copied());
        }
        // After a restart the own count says little yet of what the others go on carrying.
        let (counted, (known, belief)) =
            (self.ledger.total.max(1.0) * relay_count, self.cluster.fleet_load(now));
        let fleet = counted + (known - counted).max(0.0) * belief;
        let unit = fleet / (own * times + PRIOR * times.sqrt() * chance);
        let mut groups: Vec<(u32, f64)> = sample.0.iter().map(|(group, n)| (*group, n * unit)).collect();
        groups.sort_by_cached_key(|(group, n)| (Reverse(n.log2().round() as i64), *group));
        let endpoints = || self.ring.iter().map(|id| &self.ledger.endpoints[id]);
        let power = |s: &Endpoint| s.weight * self.warmth(now, s);
        let all = endpoints().map(power).sum::<f64>().max(f64::MIN_POSITIVE);
        let share = fleet / all;
        let per_endpoint = self.ledger.per_endpoint(self.ring.len());
        let bounds = endpoints().map(|s| bound(share * power(s)).min(s.cap(now, per_endpoint) * relay_count));
        let bounds: Vec<f64> = bounds.collect();
        let mut room = bounds.clone();
        let mut plan = BTreeMap::new();
        for (group, load) in groups {
            let (mut parts, mut need) = (Vec::new(), load);
            let mut walk = self.along(group);
            while let Some(at) = walk.next().filter(|_| need > 0.0) {
                if room[at] >= (need + COPY).min(bounds[at] / 2.0) {
                    let take = (room[at] - COPY).min(need).max(0.0);
                    room[at] -= take + COPY;
                    need -= take;
                    parts.push((at, take));
                }
            }
            plan.insert(group, parts);
        }
        (self.plan, self.power, self.planned_at) = (plan, all, now);
    }

    fn conn(&self, came: Millis, request: Request, stage: Stage) -> Conn {
        let load = request.load.zip(self.mean.get()).map_or(1.0, |(load, mean)| load / mean);
        Conn::new(came, request, stage, load)
    }

    fn class(&self, request: &Request) -> Option<&Class> {
        self.settings.classes.get(request.class?.0)
    }

    /// Wanted set-up time: at most half of what its client waits, which is all that is known without a class.
    fn latency_objective(&self, conn: &Conn) -> Millis {
        let wanted = self.class(&conn.request).map_or(f64::INFINITY, |c| c.latency_objective);
        wanted.min((conn.request.deadline - conn.came) / 2.0)
    }

    /// Worth for the load that it brings.
    fn priority_weight(&self, conn: &Conn) -> f64 {
        self.class(&conn.request).map_or(0.0, |c| c.priority_weight) / conn.load.max(f64::MIN_POSITIVE)
    }

    /// Whether one more attempt beyond a request's first is within the budget, where one is stated: asked for
    /// every such attempt, whatever ended the one before. The window's edges err on the safe side.
    fn within_budget(&mut self, now: Millis) -> bool {
        let RetryBudget { window, min_retries, retry_ratio } =
            self.settings.retry_budget.unwrap_or(UNLIMITED);
        let (start, reading) = (now - window, self.settings.resolution);
        let taken = self.taken.since(start + reading);
        self.further.since(start - reading) + 1.0 <= min_retries + retry_ratio * taken
    }

    /// Sends a waiting request on after a pause, holds it, or gives its final answer: at once where it can't
    /// have another attempt then, so that its client knows.
    fn advance(&mut self, now: Millis, id: RequestId, pause: Millis, out: &mut Actions) {
        let affordable = self.within_budget(now);
        let Some(conn) = self.ledger.conns.get(&id).filter(|c| c.stage == Stage::Queued) else { return };
        // A class that the settings do not name may be of any kind.
        let repeat = self.class(&conn.request).map_or(Idempotency::Unsafe, |c| c.idempotency);
        let limit = conn.request.deadline;
        let begin_by = match (repeat, &conn.ran) {
            (_, None) | (Idempotency::Safe, _) => f64::INFINITY,
            (Idempotency::Keyed { window, .. }, Some((sent, ..))) => sent + window,
            (Idempotency::Unsafe, Some(_)) => f64::NEG_INFINITY,
        };
        let repeatable = now + pause < begin_by;
        let setup_time_used = conn.attempts > 0 && !affordable;
        // A refusal promises that a retry is harmless; any server may get that retry.
        let everywhere =
            matches!(repeat, Idempotency::Safe | Idempotency::Keyed { scope: DeduplicationScope::All, .. });
        let harmless = conn.ran.is_none() || (everywhere && repeatable);
        if now + pause >= limit
            || !repeatable
            || setup_time_used
            || conn.attempts >= self.settings.max_attempts
        {
            return self.refuse(id, harmless, out);
        }
        if pause > 0.0 {
            return out.push(Action::SetTimer { after: pause, token: id.0 });
        }
        let (trying, latency_objective) = (self.ledger.trying, self.latency_objective(conn));
        // One that goes on where it stands sets nothing up.
        let mid_flow = conn.request.mid_flow && conn.attempts == 0;
        let next = if mid_flow { 0.0 } else { self.pace.time_until_slot(now, trying, latency_objective) };
        if next > 0.0 {
            // Held only while its turn is expected in time for a set-up, by how fast they go and who waits.
            self.queue.remove(&id);
            if now
                + self.pace.expected_wait(now, trying, self.queue.len(), latency_objective)
                + latency_objective
                > limit
            {
                return self.refuse(id, harmless, out);
            }
            self.queue.insert(id);
            return out.push(Action::SetTimer { after: next.min(limit - now), token: id.0 });
        }
        self.queue.remove(&id);
        // Filled when first needed: a large fleet that restarts changes its list many times between requests.
        if self.table.is_empty() {
            let endpoints = &self.ledger.endpoints;
            let weights: Vec<_> = self.ring.iter().map(|id| (&*id.0, endpoints[id].weight)).collect();
            self.table = fill(&weights);
        }
        if now - self.planned_at > self.settings.connect_timeout {
            self.replan(now);
        }
        let Some(conn) = self.ledger.conns.get(&id) else { return };
        // In a large tier few know where a connection stands: they are asked, and the table after them.
        if conn.request.mid_flow
            && conn.attempts == 0
            && let Some(after) = self.cluster.query_location(now, &conn.request)
        {
            return out.push(Action::SetTimer { after, token: id.0 });
        }
        let Some(endpoint) = self.choose(now, conn, repeat) else {
            // Nowhere to go. One that is skipped, cold or at its cap may take it soon; beyond the wanted time
            // nothing says that one will: the client hears so at once, and when to come back.
            let look = self.settings.connect_timeout / LOOKS;
            if now + look > conn.came + latency_objective {
                return self.refuse(id, harmless, out);
            }
            self.ledger.conns.entry(id).and_modify(|c| c.tried.clear());
            return self.advance(now, id, look, out);
        };
        // What cannot be tried again is waited for; a slow set-up everywhere stretches the time-out.
        let patient = repeat == Idempotency::Unsafe || self.pace.fault_is_common(now);
        // What a slow handshake has used of the set-up time is gone, for the first attempt.
        let setup_time_used = if conn.attempts == 0 { conn.request.setup_time_used } else { 0.0 };
        let patience = if patient {
            f64::INFINITY
        } else {
            latency_objective.min((latency_objective - setup_time_used).max(self.settings.connect_timeout))
        };
        if conn.attempts > 0 {
            self.further.add(now);
        }
        self.ledger.carry(now, self.settings.warm_up_time);
        if self.warmth(now, &self.ledger.endpoints[&endpoint]) < 1.0 {
            self.next_cold = now + self.cold_pause(now, &self.ring);
        }
        self.ledger.send(id, endpoint.clone(), now);
        self.pace.record_attempt(now, self.seed);
        out.push(Action::StartAttempt { request: id, endpoint, until: limit.min(now + patience), begin_by });
    }

    /// The final answer of a request that no server is to get.
    fn refuse(&mut self, id: RequestId, harmless: bool, out: &mut Actions) {
        let refuse = Action::Reject { request: id, retry_after: self.settings.max_retry_after };
        self.forget(id);
        out.push(if harmless { refuse } else { Action::Fail(id) });
    }

    fn choose(&self, now: Millis, conn: &Conn, repeat: Idempotency) -> Option<EndpointId> {
        let (mut walk, mut planned) = self.walk(&conn.request);
        let again = conn.request.returned && !conn.request.mid_flow && self.faults >= 0.0;
        if again && walk.len() > 1 && !self.ledger.crowded(now) {
            // Its server broke or moved it, and balancers that do not know that one would send it there again
            // and again: every return draws anew, half of them one server further on.
            let draw = xxh3_64_with_seed(&conn.request.id.0.to_le_bytes(), FIRST);
            let skip = (draw.trailing_ones() as usize).min(walk.len() - 1);
            walk[..=skip].rotate_right(1);
            planned = planned.max(skip + 1);
        }
        let id = |i: &usize| &self.ring[walk[*i]];
        let endpoint = |i: &usize| &self.ledger.endpoints[id(i)];
        let (key, pause) =
            (unit(&conn.request.client_key()), LazyCell::new(|| self.cold_pause(now, &self.ring)));
        let may = |i: &usize| {
            let s = endpoint(i);
            let remembers = match (repeat, &conn.ran) {
                (Idempotency::Keyed { scope: DeduplicationScope::Zone, .. }, Some((_, zone, _))) => {
                    s.zone == *zone
                }
                (Idempotency::Keyed { scope: DeduplicationScope::Cell, .. }, Some((_, _, cell))) => {
                    s.cell == *cell
                }
                _ => true,
            };
            let warm = self.warmth(now, s) >= 1.0 || self.warm_enough(now, id(i), key, || *pause);
            remembers && !conn.tried.contains(id(i)) && warm
        };
        let mut up: Vec<usize> = (0..walk.len()).filter(may).collect();
        let first = up.first().map(|i| id(i).clone());
        if conn.request.mid_flow && conn.attempts == 0 {
            // Where it is not known, the table most likely chose its holder, whatever its state is now.
            return self.cluster.sticky_endpoint(&conn.request).or(first);
        }
        up.retain(|i| now >= endpoint(i).skip_until);
        if up.is_empty() {
            // When all look failed the fault is more likely common to them, or here: use them all the same.
            return first;
        }
        // A load that is too high moves a connection among its group's servers only: a further copy of the
        // group would cost its new server more than the connection does.
        let among = if up[0] < planned { planned } else { walk.len() };
        // A server at its cap gets nothing until it has worked off what it holds; its requests are held.
        // Under one connection a cap is a share of the keys: many balancers would send one each.
        let share = |s: &Endpoint| if s.conns.is_empty() { conn.load * key } else { conn.load };
        let room = |s: &Endpoint| s.load + share(s) <= s.cap(now, self.ledger.per_endpoint(self.ring.len()));
        up.retain(|i| room(endpoint(i)));
        // The plan knows groups, not who else is here: of what one server has too much, the next has less. A
        // copy is better than to be held until the client gives up, where there is room to spare.
        let spare = !self.hears && !self.ledger.crowded(now);
        let each = if spare { self.ledger.total.max(1.0) / self.power } else { f64::INFINITY };
        let fits = |s: &Endpoint| s.load <= EVEN * each * s.weight * self.warmth(now, s) + 1.0;
        let calm = |i: &&usize| endpoint(i).calm(now);
        // What all balancers hold there, where that is known, says more than the own part of it.
        let known = now - self.ledger.told_at < TOLD_FOR;
        let fair = |s: &Endpoint| self.ledger.told / self.power * s.weight * self.warmth(now, s);
        let bears = |s: &Endpoint| !known || s.told + conn.load <= bound(fair(s));
        let well = |i: &&usize| calm(i) && bears(endpoint(i));
        if !(spare || known) || up.iter().any(|i| *i < among && well(&i)) {
            up.retain(|i| *i < among);
        }
        let best = up.iter().find(|i| well(i) && fits(endpoint(i))).or(up.iter().find(well));
        let best = best.or(up.iter().find(calm)).or(up.first());
        best.map(|i| id(i).clone())
    }

    /// Share of its capacity that a server has at the least.
    fn warmth(&self, now: Millis, s: &Endpoint) -> f64 {
        let (from, within) =
            (self.settings.cold_capacity_fraction.min(1.0), self.settings.warm_up_time.max(1.0));
        let age = if s.started > 0.0 { (now - s.started) / within } else { 1.0 };
        (from + (1.0 - from) * age).clamp(from, 1.0)
    }

    /// A cold server takes a share of the keys that grows as it warms, at the pace of all, 2.5 times its own.
    fn warm_enough(&self, now: Millis, id: &EndpointId, key: f64, pause: impl Fn() -> Millis) -> bool {
        let s = &self.ledger.endpoints[id];
        let (warmth, within) = (self.warmth(now, s), self.settings.warm_up_time);
        let own = || self.cold_pause(now, std::slice::from_ref(id));
        // The first send is paced too, at each balancer's own point: else all send at once, or in a storm.
        let phase = || spread(xxh3_64_with_seed(&[], s.started.to_bits()), self.settings.local_index);
        let point = || s.started.max(self.began) + phase() * own().min(within).max(pause());
        // A start that lies far ahead is of a wrong clock: it says only that the server may be cold.
        let first = || if s.started - now < within { point() } else { now };
        // Many balancers send one each now and then. The pace bounds them; a share of the keys besides
        // has all others crowd on the servers that are warm.
        let share = if self.settings.relay_count > FULL_MESH_RELAYS { 1.0 } else { warmth };
        key < share && now >= self.next_cold.max(first()).max(s.sent + own() / 2.5)
    }

    /// Pause between own sends to the cold ones of these: as others are filled, in the time that they take
    /// to warm, more slowly the colder they are. All balancers see like shares: the sum keeps the fall rule.
    /// Split by server it would be under one connection a warm-up; all of one budget may fall on one server.
    fn cold_pause(&self, now: Millis, of: &[EndpointId]) -> Millis {
        let each = of.iter().map(|id| &self.ledger.endpoints[id]);
        let warmths = each.map(|s| (s.weight, self.warmth(now, s))).filter(|(_, warmth)| *warmth < 1.0);
        let cold: f64 = warmths.map(|(weight, warmth)| weight * warmth).sum();
        let usual = self.ledger.carried.max(1.0) * cold / self.weights.max(f64::MIN_POSITIVE);
        self.settings.warm_up_time
            / (COLD_PACE * usual * self.settings.overload_multiple).max(f64::MIN_POSITIVE)
    }

    // --- how attempts end ---

    fn forget(&mut self, id: RequestId) {
        self.ledger.forget(id);
        self.queue.remove(&id);
    }

    fn opened(&mut self, now: Millis, id: RequestId, attempt: AttemptId, elapsed: Millis) {
        let current = |c: &&Conn| c.attempts == attempt.0 + 1 && c.stage == Stage::Attempting;
        let Some(conn) = self.ledger.conns.get(&id).filter(current) else { return };
        let (anew, latency_objective) = (!conn.request.mid_flow, self.latency_objective(conn));
        let endpoint = conn.endpoint.clone();
        endpoint.iter().for_each(|at| self.cluster.record_established(now, &conn.request, conn.load, at));
        match &endpoint {
            Some(at) if anew && elapsed > latency_objective => self.late(now, at),
            _ if anew => self.pace.record_in_time(now, elapsed / latency_objective),
            _ => {}
        }
        if let Some(s) = endpoint.as_ref().and_then(|id| self.ledger.endpoints.get_mut(id)) {
            s.failures = 0;
            if anew {
                s.set_up(now, elapsed, QUICKEST_OF);
            }
            if std::mem::take(&mut s.down) && s.started < now - self.settings.warm_up_time {
                // The list is late: a server that was down and answers has just started, and is cold.
                s.started = now;
            }
        }
        self.ledger.stage(id, Stage::Established);
        // What set-ups take longer here than at most others is the work piled up, which messages wait behind
        // as well. What the store adds is common to all.
        let usual = self.ledger.usual_setup(&self.ring, now - SETUP_KNOWN);
        let (hears, per_endpoint) = (self.hears, self.ledger.per_endpoint(self.ring.len()));
        let s = endpoint.filter(|_| anew).and_then(|id| self.ledger.endpoints.get_mut(&id));
        // Alone no sign to cut a cap by: one odd set-up of one that has just started would starve it.
        if let Some(s) = s.filter(|s| s.setup.1 - usual > usual.max(LAG * latency_objective)) {
            s.slow(now, per_endpoint, hears);
        }
    }

    fn ended(&mut self, now: Millis, id: RequestId, at: EndpointId, end: (Outcome, bool), out: &mut Actions) {
        let (outcome, finished) = end;
        let Some(conn) = self.ledger.conns.get_mut(&id).filter(|c| c.stage != Stage::Queued) else { return };
        let (open, sent) = (conn.stage == Stage::Established, conn.sent);
        if outcome.may_have_run() && !open && conn.ran.is_none() {
            let endpoint = self.ledger.endpoints.get(&at);
            conn.ran = Some(endpoint.map_or_else(Default::default, |s| (sent, s.zone.clone(), s.cell)));
        }
        conn.tried.push(at.clone());
        // Clients that leave of themselves, as in a storm of reconnects, come again without a server's fault.
        match outcome {
            Outcome::Reset if open => self.faults += (1.0 - self.faults) / 8.0,
            Outcome::Cancelled if open => self.faults -= (1.0 + self.faults) / 8.0,
            _ => {}
        }
        let per_endpoint = self.ledger.per_endpoint(self.ring.len());
        let busy = matches!(outcome, Outcome::TimedOut | Outcome::Error);
        if busy && !open {
            self.late(now, &at);
        }
        if let Some(s) = self.ledger.endpoints.get_mut(&at) {
            if outcome == Outcome::Reset {
                s.jam(now, per_endpoint, CUT);
            }
            s.down |= outcome == Outcome::ConnectFailed && !open;
            let late = outcome == Outcome::TimedOut && !self.pace.fault_is_common(now);
            let failed = outcome == Outcome::Reset || (!open && (late || outcome == Outcome::ConnectFailed));
            if failed && now >= s.skip_until {
                s.skip_until = now + self.settings.connect_timeout * f64::from(1u32 << s.failures.min(4));
                s.failures += 1;
            }
        }
        if finished {
            return self.forget(id);
        }
        self.ledger.release(id);
        self.ledger.stage(id, Stage::Queued);
        let Some(conn) = self.ledger.conns.get(&id) else { return };
        if open {
            self.forget(id);
            return out.push(Action::Fail(id));
        }
        // What answers late or with errors is busy, often a store behind all servers: another attempt at once
        // would add to the jam. Jittered, longer with every attempt, and within half of the time left.
        let step = self.latency_objective(conn) * f64::from(conn.attempts) / 2.0;
        let left = conn.request.deadline - now;
        let paced = busy || outcome == Outcome::Reset;
        let pause = if paced { (step * (0.5 + self.random())).min(left / 2.0) } else { 0.0 };
        self.advance(now, id, pause, out);
    }

    /// A late set-up or an error.
    fn late(&mut self, now: Millis, endpoint: &EndpointId) {
        let (at, within) = (hash(endpoint.0.as_bytes()), self.settings.connect_timeout);
        self.pace.record_late(now, at, self.ledger.trying, within);
        self.cluster.report_late_setup(now, endpoint);
    }

    /// Lets waiting requests go as far as the window is open, the worthiest first.
    fn drain_queue(&mut self, now: Millis, out: &mut Actions) {
        loop {
            let priority_weight =
                |id: &RequestId| self.ledger.conns.get(id).map_or(f64::INFINITY, |c| self.priority_weight(c));
            let best =
                self.queue.iter().rev().max_by(|a, b| priority_weight(a).total_cmp(&priority_weight(b)));
            let Some(id) = best.copied() else { return };
            let latency_objective = self.ledger.conns.get(&id).map_or(0.0, |c| self.latency_objective(c));
            if self.pace.time_until_slot(now, self.ledger.trying, latency_objective) > 0.0 {
                return;
            }
            self.queue.remove(&id);
            self.advance(now, id, 0.0, out);
        }
    }

    fn note(&mut self, now: Millis, id: RequestId, note: Measurement, out: &mut Actions) {
        let per_endpoint = self.ledger.per_endpoint(self.ring.len());
        let Some(conn) = self.ledger.conns.get(&id) else { return };
        match note {
            Measurement::Load(level) => {
                self.mean.add(level);
                if let Some(mean) = self.mean.get() {
                    self.ledger.reload(id, level / mean);
                }
            }
            Measurement::MessageDelay(level) => {
                let aims = self.settings.classes.iter().filter_map(|c| c.message_latency_objective);
                let latency_objective = aims.fold(f64::INFINITY, f64::min);
                self.hears = true;
                let Some(endpoint) = conn.endpoint.clone().filter(|_| level > latency_objective / 3.0) else {
                    return;
                };
                let Some(s) = self.ledger.endpoints.get_mut(&endpoint) else { return };
                s.slow(now, per_endpoint, true);
                if level > latency_objective {
                    s.jam(now, per_endpoint, CUT.min(2.0 * latency_objective / level));
                    // Nothing on this server is worth anything: the clients that give least for their load
                    // are asked to come again. A share of own load, so that many balancers do not empty it.
                    if self.random() < SHED * self.ledger.endpoints[&endpoint].load {
                        let priority_weight = |id: &RequestId| self.priority_weight(&self.ledger.conns[id]);
                        let open =
                            self.ledger.clients(&endpoint, |c| c.stage == Stage::Established).into_iter();
                        out.extend(
                            open.min_by(|a, b| priority_weight(a).total_cmp(&priority_weight(b)))
                                .map(Action::Migrate),
                        );
                        // It will leave by itself, too: both together count as a fault.
                        self.faults += (1.0 - self.faults) / 4.0;
                    }
                }
            }
        }
    }

    fn random(&mut self) -> f64 {
        self.seed = xxh3_64_with_seed(&[], self.seed);
        fraction(self.seed)
    }
}

/// Bounded load (Mirrokni et al.), with slack for chance.
fn bound(fair: f64) -> f64 {
    BOUND * fair + fair.sqrt()
}

/// Fills the table: servers take turns, each claims its next free preferred slot.
pub(crate) fn fill(endpoints: &[(&str, f64)]) -> Vec<u16> {
    let most = endpoints.iter().map(|(_, w)| *w).fold(0.0, f64::max);
    // Turns a round are the listed weight, scaled by a power of two so that the largest has one to two.
    let scale = (-most.log2().floor()).exp2();
    let turns = |w: f64| if most > 0.0 { w * scale } else { 1.0 };
    let m = SLOTS as u64;
    let start = |id: &str| u64::from(slot(id.as_bytes()));
    let skip = |id: &str| xxh3_64_with_seed(id.as_bytes(), SECOND) % (m - 1) + 1;
    let mut at: Vec<_> = endpoints.iter().map(|(id, w)| (start(id), skip(id), turns(*w), 0.0)).collect();
    let mut table = vec![u16::MAX; if endpoints.is_empty() { 0 } else { SLOTS }];
    // What is claimed, a bit a slot: it stays in the nearest cache, which the table does not fit.
    let mut claimed = vec![0_u64; SLOTS / 64 + 1];
    let mut free = table.len();
    while free > 0 {
        for (i, (slot, skip, turns, credit)) in at.iter_mut().enumerate() {
            *credit += *turns;
            while *credit >= 1.0 && free > 0 {
                *credit -= 1.0;
                let is_claimed = |s: &u64| claimed[*s as usize / 64] >> (s % 64) & 1 == 1;
                while is_claimed(slot) {
                    // Both are below m: this is cheaper than a remainder.
                    *slot += *skip;
                    *slot -= if *slot >= m { m } else { 0 };
                }
                claimed[*slot as usize / 64] |= 1 << (*slot % 64);
                table[*slot as usize] = i as u16;
                free -= 1;
            }
        }
    }
    table
}
