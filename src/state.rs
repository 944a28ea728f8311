//! What a balancer remembers: servers, connections and the load between them. Bookkeeping only; every
//! decision is in `rules.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

use crate::interface::*;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No attempt is out.
    Waiting,
    /// An attempt is out.
    Trying,
    /// It stands; only its end is still to come.
    Open,
}

/// A request that still lacks its final answer, or an open connection.
pub(crate) struct Conn {
    pub request: Request,
    pub stage: Stage,
    /// Attempts made.
    pub attempts: u32,
    /// Server of the latest attempt while it is out or open, and when it was sent.
    pub server: Option<ServerId>,
    pub sent: Millis,
    /// Servers that failed this request.
    pub tried: Vec<ServerId>,
    /// First attempt that may have run: when it was sent, zone and cell of its server.
    pub ran: Option<(Millis, Zone, u64)>,
    /// Load counted for it, in mean connections.
    pub load: f64,
}

/// What is known of a server.
pub(crate) struct Server {
    pub state: ServerState,
    pub weight: f64,
    pub started: Millis,
    pub zone: Zone,
    pub cell: u64,
    /// Own connections there, open or being set up, and their load.
    pub conns: BTreeSet<RequestId>,
    pub load: f64,
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

impl Server {
    pub fn new(e: &ServerEntry) -> Self {
        Server {
            state: e.state,
            weight: if e.weight.is_finite() && e.weight >= 0.0 { e.weight } else { 1.0 },
            started: e.started,
            zone: e.zone.clone(),
            cell: e.cell,
            conns: BTreeSet::new(),
            load: 0.0,
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
    pub fn message(&self, answer: bool) -> Message {
        let mut sizes: Vec<(u32, f64)> = self.0.iter().map(|(group, n)| (*group, *n)).collect();
        sizes.sort_by(|a, b| b.1.total_cmp(&a.1));
        sizes.truncate(Message::MOST);
        Message { answer, total: self.total(), sizes, places: None }
    }
}

/// What balancers call a client or a server among themselves.
fn tag(key: &[u8]) -> u32 {
    xxh3_64(key) as u32
}

/// Where clients' connections stand, own ones and those that other balancers have told of. What has ended
/// stays until it is crowded out: its client does not come again mid-flow.
#[derive(Default)]
pub(crate) struct Places {
    known: BTreeMap<u32, (u16, Millis)>,
    untold: Vec<Place>,
}

impl Places {
    /// Most places remembered; some hundred KiB.
    const MOST: usize = 8192;

    /// Notes a place; whether it is news.
    fn note(&mut self, now: Millis, (client, server): Place) -> bool {
        let before = self.known.insert(client, (server, now));
        if self.known.len() > Self::MOST {
            let oldest = self.known.iter().min_by(|a, b| a.1.1.total_cmp(&b.1.1)).map(|(client, _)| *client);
            oldest.map(|client| self.known.remove(&client));
        }
        before.is_none_or(|(at, _)| at != server)
    }

    /// Notes an own connection's place; whether it is the first to tell.
    pub fn note_own(&mut self, now: Millis, client: &[u8], server: &ServerId) -> bool {
        let place = (tag(client), tag(server.0.as_bytes()) as u16);
        let news = self.note(now, place);
        self.untold.extend(news.then_some(place));
        news && self.untold.len() == 1
    }

    /// Which of the servers a client's connection stands at, if that is known.
    pub fn holder<'a>(&self, client: &[u8], servers: &'a [ServerId]) -> Option<&'a ServerId> {
        let (at, _) = self.known.get(&tag(client))?;
        servers.iter().find(|id| tag(id.0.as_bytes()) as u16 == *at)
    }

    /// Notes what another balancer tells; gives what is to be told it if it asks.
    pub fn told(&mut self, now: Millis, places: Vec<Place>) -> Vec<Message> {
        let asks = places.is_empty();
        for place in places {
            self.note(now, place);
        }
        if asks { self.all() } else { Vec::new() }
    }

    /// What the others have not been told yet.
    pub fn news(&mut self) -> Vec<Message> {
        Self::messages(std::mem::take(&mut self.untold))
    }

    /// All that is known.
    fn all(&self) -> Vec<Message> {
        Self::messages(self.known.iter().map(|(client, (server, _))| (*client, *server)).collect())
    }

    /// By server, which is then named once for many.
    fn messages(mut places: Vec<Place>) -> Vec<Message> {
        places.sort_by_key(|(_, server)| *server);
        let chunks = places.chunks(Message::MOST_PLACES);
        chunks.map(|c| Message { places: Some(c.to_vec()), ..Message::default() }).collect()
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
#[derive(Default)]
pub(crate) struct Ledger {
    pub servers: BTreeMap<ServerId, Server>,
    pub conns: BTreeMap<RequestId, Conn>,
    /// Load of all own connections.
    pub total: f64,
    /// Attempts that are out.
    pub trying: u32,
}

impl Ledger {
    /// Counts a connection at a server.
    pub fn hold(&mut self, id: RequestId, server: ServerId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if let Some(s) = self.servers.get_mut(&server) {
            s.conns.insert(id);
            s.load += conn.load;
        }
        self.total += conn.load;
        conn.server = Some(server);
    }

    /// The median of what set-ups take at these servers; endless where none is known since then.
    pub fn usual_setup(&self, servers: &[ServerId], since: Millis) -> Millis {
        let known = servers.iter().filter_map(|id| self.servers.get(id)).map(|s| s.setup);
        let mut all: Vec<Millis> = known.filter(|(at, _)| *at > since).map(|(_, setup)| setup).collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(f64::INFINITY)
    }

    /// Counts an attempt that is sent now.
    pub fn send(&mut self, id: RequestId, server: ServerId, now: Millis) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.attempts += 1;
            conn.sent = now;
        }
        self.stage(id, Stage::Trying);
        self.hold(id, server);
    }

    /// Takes a connection off its server.
    pub fn release(&mut self, id: RequestId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Some(server) = conn.server.take() else { return };
        if let Some(s) = self.servers.get_mut(&server) {
            s.conns.remove(&id);
            // Sums of many small numbers drift: an empty server starts again from nothing.
            s.load = if s.conns.is_empty() { 0.0 } else { (s.load - conn.load).max(0.0) };
            if s.conns.is_empty() && s.state == ServerState::Gone {
                self.servers.remove(&server);
            }
        }
        self.total = (self.total - conn.load).max(0.0);
    }

    /// Changes what a connection counts for.
    pub fn reload(&mut self, id: RequestId, load: f64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let change = load - conn.load;
        conn.load = load;
        if let Some(server) = &conn.server {
            if let Some(s) = self.servers.get_mut(server) {
                s.load = (s.load + change).max(0.0);
            }
            self.total = (self.total + change).max(0.0);
        }
    }

    /// Moves a connection to another stage.
    pub fn stage(&mut self, id: RequestId, stage: Stage) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        self.trying -= u32::from(conn.stage == Stage::Trying);
        self.trying += u32::from(stage == Stage::Trying);
        conn.stage = stage;
    }

    /// Drops a connection and all that was counted for it.
    pub fn forget(&mut self, id: RequestId) {
        self.release(id);
        self.stage(id, Stage::Waiting);
        self.conns.remove(&id);
    }
}
