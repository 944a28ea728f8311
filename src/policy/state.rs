//! What a balancer remembers: servers, connections and the load between them. Bookkeeping only; every
//! decision is in `rules.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use sandgw_cluster::load_aggregation::{ClusterLoad, Tag};

use crate::policy::api::*;
use crate::policy::hashing::{fraction, tag};

/// Slow messages are reported once a second; a server unmentioned for longer than this is calm.
const SLOW_FOR: Millis = 1500.0;
/// Growth of a server's cap in a calm second.
const REGROW: f64 = 1.08;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No attempt is out.
    Queued,
    /// An attempt is out.
    Attempting,
    /// It stands; only its end is still to come.
    Established,
}

/// A request that still lacks its final answer, or an open connection.
pub(crate) struct Conn {
    pub request: Request,
    /// When it arrived.
    pub came: Millis,
    pub stage: Stage,
    /// Attempts made.
    pub attempts: u32,
    /// Server of the latest attempt while it is out or open, and when it was sent.
    pub endpoint: Option<EndpointId>,
    pub sent: Millis,
    /// Servers that failed this request.
    pub tried: Vec<EndpointId>,
    /// First attempt that may have run: when it was sent, zone and cell of its server.
    pub ran: Option<(Millis, Zone, u64)>,
    /// Load counted for it, in mean connections.
    pub load: f64,
}

impl Conn {
    /// One that no attempt was made for.
    pub fn new(came: Millis, request: Request, stage: Stage, load: f64) -> Self {
        let (attempts, endpoint, sent, tried, ran) = (0, None, 0.0, Vec::new(), None);
        Conn { request, came, stage, attempts, endpoint, sent, tried, ran, load }
    }
}

/// The point of a unit that falls to one number: all numbers are spread evenly, however many there are.
pub(crate) fn spread(seed: u64, number: u32) -> f64 {
    const GOLDEN: f64 = 0.618_033_988_75;
    (fraction(seed) + f64::from(number) * GOLDEN).fract()
}

/// What is known of a server.
pub(crate) struct Endpoint {
    pub state: EndpointState,
    /// What stands for it in what balancers tell each other of loads.
    pub tag: Tag,
    pub weight: f64,
    pub started: Millis,
    pub zone: Zone,
    pub cell: u64,
    /// Own connections there, open or being set up, and their load.
    pub conns: BTreeSet<RequestId>,
    pub load: f64,
    /// When a connection was last sent there from here.
    pub sent: Millis,
    /// Load of all balancers there, as last told, with the own since.
    pub told: f64,
    /// Most own load that it seemed to manage when its messages were last slow.
    pub cap: f64,
    /// When messages were last reported slow, and when the cap was last cut.
    pub slow_at: Millis,
    pub cut_at: Millis,
    /// Since when set-ups here are looked at, and the quickest since.
    pub setup: (Millis, Millis),
    /// Failures in a row, and until when it is skipped for them.
    pub failures: u32,
    pub skip_until: Millis,
    /// Connects have failed: what answers next has just started.
    pub down: bool,
    /// When it was first listed as leaving.
    pub leaves: Option<Millis>,
}

impl Endpoint {
    pub fn new(e: &EndpointEntry) -> Self {
        Endpoint {
            state: e.state,
            tag: tag(&e.id.0),
            weight: if e.weight.is_finite() && e.weight >= 0.0 { e.weight } else { 1.0 },
            started: e.started,
            zone: e.zone.clone(),
            cell: e.cell,
            conns: BTreeSet::new(),
            load: 0.0,
            sent: f64::NEG_INFINITY,
            told: 0.0,
            cap: f64::INFINITY,
            slow_at: f64::NEG_INFINITY,
            cut_at: f64::NEG_INFINITY,
            setup: (f64::NEG_INFINITY, 0.0),
            failures: 0,
            skip_until: f64::NEG_INFINITY,
            down: false,
            leaves: None,
        }
    }

    /// Most own load that it seems to manage: grows while it is calm, by a share of `per_endpoint` too.
    pub fn cap(&self, now: Millis, per_endpoint: f64) -> f64 {
        let calm = (now - self.slow_at - SLOW_FOR).max(0.0) / 1000.0;
        let grown = || (self.cap + per_endpoint) * REGROW.powf(calm) - per_endpoint;
        if self.cap.is_finite() { grown() } else { self.cap }
    }

    /// Its messages or set-ups are slow; `bounds`: it is to take no more than it has.
    pub fn slow(&mut self, now: Millis, per_endpoint: f64, bounds: bool) {
        let cap = if bounds { self.cap(now, per_endpoint).min(self.load) } else { self.cap };
        (self.cap, self.slow_at) = (cap, now);
    }

    /// It carries more than it manages: messages come too late to be worth anything, or it sheds.
    pub fn jam(&mut self, now: Millis, per_endpoint: f64, cut: f64) {
        (self.cap, self.slow_at) = (self.cap(now, per_endpoint), now);
        if now - self.cut_at > SLOW_FOR {
            (self.cap, self.cut_at) = (self.cap.min(self.load) * cut, now);
        }
    }

    /// Whether nothing slow was heard of it lately.
    pub fn calm(&self, now: Millis) -> bool {
        now - self.slow_at > SLOW_FOR
    }

    /// Counts a set-up for the quickest within a span.
    pub fn set_up(&mut self, now: Millis, elapsed: Millis, span: Millis) {
        let (since, quickest) = self.setup;
        self.setup = if now - since > span { (now, elapsed) } else { (since, quickest.min(elapsed)) };
    }
}

/// Arrivals by the slot of their group's key; old ones fade.
#[derive(Clone, Default)]
pub(crate) struct Sample(pub BTreeMap<u32, f64>);

impl Sample {
    /// Counts one more, of which all earlier ones keep a share.
    pub fn add(&mut self, group: u32, keep: f64) {
        self.0.values_mut().for_each(|n| *n *= keep);
        self.0.retain(|_, n| *n > 0.05);
        *self.0.entry(group).or_default() += 1.0;
    }

    pub fn total(&self) -> f64 {
        self.0.values().sum()
    }

    /// The largest groups, as many as fit a message.
    pub fn message(&self, answer: bool) -> PeerMessage {
        let mut sizes: Vec<(u32, f64)> = self.0.iter().map(|(group, n)| (*group, *n)).collect();
        sizes.sort_by(|a, b| b.1.total_cmp(&a.1));
        sizes.truncate(PeerMessage::MOST);
        PeerMessage { merged: answer, total: self.total(), group_sizes: sizes, ..PeerMessage::default() }
    }
}

/// How balancers add their samples up where each sees too few arrivals to tell the groups' shares. Any message
/// may be lost; who adds up may be down, and the next in number does it then.
#[derive(Default)]
pub(crate) struct Pool {
    /// The peer that adds up, when it was asked unless it answered, and its answer.
    pub collector: u32,
    asked: Option<Millis>,
    pub pooled: PeerMessage,
    /// What others have told, and how many own arrivals came since a peer was last told.
    samples: BTreeMap<u32, Vec<(u32, f64)>>,
    untold: f64,
}

impl Pool {
    /// An arrival was counted. Few connections tell little of the groups: the sample goes to one peer, which
    /// answers with the sum of all that it has; ever more seldom, and not once own ones tell enough.
    pub fn counted(&mut self, now: Millis, sample: &Sample, settings: &Settings) -> Option<Action> {
        self.untold += 1.0;
        let seen = sample.total();
        let due =
            self.untold > 1.0 + seen / 3.0 && self.asked.is_none_or(|at| now - at > settings.connect_timeout);
        if seen > f64::from(settings.relay_count) {
            self.pooled = PeerMessage::default();
        } else if settings.peer_messages && due {
            // No answer to the last one: it may be down, and the next in number adds up.
            let next = self.collector + u32::from(self.asked.is_some());
            self.collector = next % settings.relay_count;
            (self.untold, self.asked) = (0.0, None);
            if self.collector != settings.local_index {
                self.asked = Some(now);
                return Some(Action::SendToPeer { peer: self.collector, message: sample.message(false) });
            }
        }
        None
    }

    /// Takes a peer's sample, which is answered, or its answer.
    pub fn told(
        &mut self,
        peer: u32,
        message: PeerMessage,
        own: &Sample,
        settings: &Settings,
    ) -> Option<Action> {
        if message.merged && peer == self.collector {
            (self.pooled, self.asked) = (message, None);
        } else if !message.merged && peer < settings.relay_count {
            self.samples.insert(peer, message.group_sizes);
            let mut sum = own.clone();
            self.samples.values().flatten().for_each(|(group, n)| *sum.0.entry(*group).or_default() += n);
            self.pooled = sum.message(true);
            return Some(Action::SendToPeer { peer, message: self.pooled.clone() });
        }
        None
    }
}

/// When something happened lately, oldest first.
#[derive(Default)]
pub(crate) struct Recent(VecDeque<Millis>);

impl Recent {
    pub fn add(&mut self, now: Millis) {
        self.0.push_back(now);
    }

    /// How often it happened since then; what is older is forgotten.
    pub fn since(&mut self, then: Millis) -> f64 {
        while self.0.front().is_some_and(|at| *at < then) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// Running mean of what connections ask for.
#[derive(Clone, Copy, Default)]
pub(crate) struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    pub fn add(&mut self, x: f64) {
        self.sum += x;
        self.count += 1.0;
    }

    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0 && self.sum > 0.0).then(|| self.sum / self.count)
    }
}

/// Servers and connections, with the sums over them kept up to date.
pub(crate) struct Ledger {
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    pub conns: BTreeMap<RequestId, Conn>,
    /// Load of all own connections.
    pub total: f64,
    /// Attempts that are out.
    pub trying: u32,
    /// The load that stood lately, and as of when.
    pub carried: f64,
    carried_at: Millis,
    /// Load of all balancers at all servers, as last told, and when.
    pub told: f64,
    pub told_at: Millis,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger {
            endpoints: BTreeMap::new(),
            conns: BTreeMap::new(),
            total: 0.0,
            trying: 0,
            carried: 0.0,
            carried_at: 0.0,
            told: 0.0,
            told_at: f64::NEG_INFINITY,
        }
    }
}

impl Ledger {
    /// Counts a connection at a server.
    pub fn hold(&mut self, id: RequestId, endpoint: EndpointId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if let Some(s) = self.endpoints.get_mut(&endpoint) {
            s.conns.insert(id);
            s.load += conn.load;
            s.told += conn.load;
        }
        self.total += conn.load;
        conn.endpoint = Some(endpoint);
    }

    /// Follows the load that stands: up at once, down within a span.
    pub fn carry(&mut self, now: Millis, span: Millis) {
        let stands = self.total - f64::from(self.trying);
        let left = (-(now - self.carried_at) / span).exp();
        (self.carried, self.carried_at) = (stands.max(self.carried * left), now);
    }

    /// What stands here, by the tags of its servers.
    pub fn holds(&self) -> Vec<(Tag, f64)> {
        let held = self.endpoints.values().filter(|s| !s.conns.is_empty());
        held.map(|s| (s.tag, s.load)).collect()
    }

    /// Own connections at a server, those of them that are wanted.
    pub fn clients(&self, endpoint: &EndpointId, wanted: impl Fn(&Conn) -> bool) -> Vec<RequestId> {
        let ids = self.endpoints.get(endpoint).into_iter().flat_map(|s| &s.conns).copied();
        ids.filter(|id| self.conns.get(id).is_some_and(&wanted)).collect()
    }

    /// Own connections that fall to each of so many servers, at most one: one more at each of many balancers is too
    /// much.
    pub fn per_endpoint(&self, endpoints: usize) -> f64 {
        (self.total / endpoints.max(1) as f64).min(1.0)
    }

    /// Whether over a third of the servers that hold own connections are slow: the load is too high for all, and a
    /// further copy of a group would cost its new server more than it gains.
    pub fn crowded(&self, now: Millis) -> bool {
        let held = self.endpoints.values().filter(|s| !s.conns.is_empty());
        let well = held.map(|s| if s.calm(now) { 1 } else { -2 });
        well.sum::<i32>() < 0
    }

    /// Sizes of servers by their tags.
    pub fn sizes(&self) -> BTreeMap<Tag, f64> {
        self.endpoints.values().map(|s| (s.tag, s.weight)).collect()
    }

    /// Takes what all balancers hold; of servers that are not named there is little.
    pub fn hear(&mut self, now: Millis, view: &ClusterLoad) {
        (self.told, self.told_at) = (view.total, now);
        for s in self.endpoints.values_mut() {
            s.told = view.loads.get(&s.tag).copied().unwrap_or(0.0);
        }
    }

    /// The median of what set-ups take at these servers; endless where none is known since then.
    pub fn usual_setup(&self, endpoints: &[EndpointId], since: Millis) -> Millis {
        let known = endpoints.iter().filter_map(|id| self.endpoints.get(id)).map(|s| s.setup);
        let mut all: Vec<Millis> = known.filter(|(at, _)| *at > since).map(|(_, setup)| setup).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(f64::INFINITY)
    }

    /// Counts an attempt that is sent now.
    pub fn send(&mut self, id: RequestId, endpoint: EndpointId, now: Millis) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.attempts += 1;
            conn.sent = now;
        }
        if let Some(s) = self.endpoints.get_mut(&endpoint) {
            s.sent = now;
        }
        self.stage(id, Stage::Attempting);
        self.hold(id, endpoint);
    }

    /// Takes a connection off its server.
    pub fn release(&mut self, id: RequestId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Some(endpoint) = conn.endpoint.take() else { return };
        if let Some(s) = self.endpoints.get_mut(&endpoint) {
            s.conns.remove(&id);
            // Sums of many small numbers drift: an empty server starts again from nothing.
            s.load = if s.conns.is_empty() { 0.0 } else { (s.load - conn.load).max(0.0) };
            if s.conns.is_empty() && s.state == EndpointState::Removed {
                self.endpoints.remove(&endpoint);
            }
        }
        self.total = (self.total - conn.load).max(0.0);
    }

    /// Changes what a connection counts for.
    pub fn reload(&mut self, id: RequestId, load: f64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let change = load - conn.load;
        conn.load = load;
        if let Some(endpoint) = &conn.endpoint {
            if let Some(s) = self.endpoints.get_mut(endpoint) {
                s.load = (s.load + change).max(0.0);
            }
            self.total = (self.total + change).max(0.0);
        }
    }

    /// Moves a connection to another stage.
    pub fn stage(&mut self, id: RequestId, stage: Stage) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        self.trying -= u32::from(conn.stage == Stage::Attempting);
        self.trying += u32::from(stage == Stage::Attempting);
        conn.stage = stage;
    }

    /// Drops a connection and all that was counted for it.
    pub fn forget(&mut self, id: RequestId) {
        self.release(id);
        self.stage(id, Stage::Queued);
        self.conns.remove(&id);
    }
}
