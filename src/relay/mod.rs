//! The core: owns the decisions and the table of connections. Turns what happens to connections into the load balancer's events
//! and the load balancer's actions into commands.
//!
//! It knows no socket and no wire; time is passed in. For every front it makes sure that a connection gets exactly
//! one final answer and has at most one forward out.

mod classes;
pub mod handover;
pub mod lifecycle;
pub mod quotas;
pub mod transfer;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use log::{debug, error, warn};
use sandgw_affinity::codec::EndpointHash;
use sandgw_affinity::replication::Sends;
use sandgw_affinity::{Changes, Figures, Record, Restored};
use sandgw_cluster::drain_gossip::{Answer, ClusterSize, DrainGossip};
use sandgw_quota::policy::ScarcitySignals;

use crate::LoadBalancer;
use crate::policy::api::*;
use crate::policy::learned_state::LearnedState;
use crate::relay::classes::Classes;
use crate::relay::lifecycle::{MOVE_STEP, Operation, moves_now};
use crate::relay::quotas::Counted;
use crate::relay::transfer::TransferredConnection;

/// Tokens of the core's own timers; the load balancer's stay below.
const EMPTY: u64 = 1 << 63;
const SHARES: u64 = EMPTY + 1;
const LEFT: u64 = EMPTY + 2;

/// How many outcomes there are, for [`Counters::attempts`].
pub const OUTCOMES: usize = 8;

/// A connection as a front has read it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncomingRequest {
    /// Its class, by name.
    pub class: String,
    /// The client's key.
    pub client: Option<Key>,
    /// The key of its group.
    pub group: Option<Key>,
    /// When the client gives up.
    pub deadline: Millis,
    /// How much of the set-up budget its front has used before it could be placed.
    pub setup_time_used: Millis,
    /// Expected load.
    pub load: Option<f64>,
    /// Its packets were routed through another relay so far.
    pub mid_flow: bool,
    /// The client was here before.
    pub returned: bool,
    /// Its endpoint sends it away by itself when it drains.
    pub drained_by_endpoint: bool,
    /// Where packets pass through, its front leads its packets through another relay when this one leaves.
    pub rerouted_by_front: bool,
    /// It can't be set up anew: only the endpoint that holds it will do.
    pub holder_only: bool,
    /// The endpoint that holds it since before the run.
    pub at: Option<EndpointId>,
    /// The member that it belongs to.
    pub tenant: Option<Key>,
    /// Descriptors are nearly used up.
    pub descriptors_short: bool,
}

/// A final answer that no endpoint gave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalReply {
    /// Refused; trying again is harmless, after this long.
    Rejected(Option<Millis>),
    /// Failed.
    Failed,
}

/// One attempt to place a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Its number, from 0.
    pub number: u32,
    /// Where to.
    pub endpoint: EndpointId,
    /// Whether that was listed as ready when it was decided: then it must be ready still when the attempt begins.
    pub was_ready: bool,
    /// When to give it up.
    pub until: Millis,
    /// Before when its first byte has to be written, however long the connection takes to come up.
    pub begin_by: Millis,
}

/// What a driver is to do for a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionCommand {
    /// Start an attempt.
    StartAttempt(Attempt),
    /// Give this final answer now, and give up the forward if one is out.
    Reply(LocalReply),
    /// Tell the client of a standing connection to come again, and close both sides.
    Migrate,
    /// Pass the standing connection to the process that serves now, if its front can.
    Transfer,
}

/// What the drivers are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// For a connection.
    Connection(RequestId, ConnectionCommand),
    /// Call [`Relay::timer`] with the token after a while.
    SetTimer {
        /// From now.
        after: Millis,
        /// The token.
        token: u64,
    },
    /// Watch discovery's list.
    Subscribe,
    /// Send a message to another relay.
    SendToPeer {
        /// Its number.
        peer: u32,
        /// The message.
        message: PeerMessage,
    },
}

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Connections taken.
    pub connections: u64,
    /// Connections that came to stand.
    pub established: u64,
    /// Forwards ended, by outcome in the order of [`Outcome`].
    pub attempts: [u64; OUTCOMES],
    /// Fixed responses that refuse.
    pub busy: u64,
    /// Fixed responses that fail.
    pub failed: u64,
    /// Clients told to move.
    pub moves: u64,
}

/// An endpoint as the relay sees it, for those who ask.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// The endpoint.
    pub id: EndpointId,
    /// Its state in the list.
    pub state: EndpointState,
    /// Standing connections on it.
    pub standing: u64,
    /// Forwards started to it.
    pub attempts: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// The load balancer has it; no forward is out.
    Queued,
    /// A forward is out.
    Attempting(EndpointId),
    /// Its endpoint has taken it.
    Established(EndpointId),
}

struct Connection {
    stage: Stage,
    class: Option<ClassId>,
    attempts: u32,
    /// The final answer has been given; only the forward's end is still to come.
    answered: bool,
    holder_only: bool,
    rerouted_by_front: bool,
    moving: bool,
    /// It was told to pass.
    passing: bool,
    /// The member for which it counts, and whether it counts as standing.
    member: Option<Key>,
    stood: bool,
}

#[derive(Default)]
struct TrackedEndpoint {
    state: Option<EndpointState>,
    standing: u64,
    attempts: u64,
    /// Round trips measured since the last tick.
    trips: Vec<Millis>,
    /// The load balancer was last told that messages are slow there.
    slow: bool,
}

/// Over this a message counts as slow: a third of the shortest aim, as in the simulator.
fn slow_over(settings: &Settings) -> Millis {
    settings.classes.iter().filter_map(|c| c.message_latency_objective).fold(f64::INFINITY, f64::min) / 3.0
}

/// The core of one relay.
pub struct Relay {
    pub(crate) load_balancer: LoadBalancer,
    classes: Classes,
    /// Packets pass through: connections that their front can lead elsewhere need not be moved off this relay.
    packet_passthrough: bool,
    /// Since when it is on standby.
    standby: Option<Millis>,
    /// Since when another process takes and places what comes new.
    handed_over: Option<Millis>,
    /// The timer of the steps in which a relay on standby empties is under way.
    emptying: bool,
    /// It has been given a list of endpoints.
    listed: bool,
    max_attempts: u32,
    slow_over: Millis,
    connections: HashMap<RequestId, Connection>,
    endpoints: BTreeMap<EndpointId, TrackedEndpoint>,
    next: u64,
    events: VecDeque<Event>,
    commands: Vec<Command>,
    counters: Counters,
    /// Connections by member, where shares are kept to; whether its timer is under way, and refusals that were logged.
    counted: Counted,
    tells_shares: bool,
    refusals: u64,
    /// Endpoints that have left, by the list or by others' word.
    leaving: DrainGossip,
}

impl Relay {
    /// A relay that knows the list as it was last held. `classes` are the names of the settings' classes.
    pub fn new(settings: Settings, names: Vec<String>, seed: u64, now: Millis) -> Self {
        let mut classes = Classes::default();
        classes.renew(now, &names, &settings.classes, &BTreeSet::new());
        let settings = Settings { classes: classes.by_position(), ..settings };
        let counted = Counted::new(&settings, now);
        let mut relay = Relay {
            max_attempts: settings.max_attempts,
            slow_over: slow_over(&settings),
            packet_passthrough: settings.packet_passthrough,
            load_balancer: LoadBalancer::new(settings, seed, now),
            classes,
            standby: None,
            handed_over: None,
            emptying: false,
            listed: false,
            connections: HashMap::new(),
            endpoints: BTreeMap::new(),
            next: 0,
            events: VecDeque::new(),
            commands: Vec::new(),
            counters: Counters::default(),
            counted,
            tells_shares: false,
            refusals: 0,
            leaving: DrainGossip::new(seed),
        };
        relay.tell_shares(now);
        relay
    }

    /// Takes new settings, with the names of their classes. Connections keep the class that they came with; the number of
    /// attempts binds all of them from now on.
    pub fn retune(&mut self, now: Millis, settings: Settings, names: &[String]) {
        let held = self.connections.values().filter_map(|f| f.class).collect();
        self.classes.renew(now, names, &settings.classes, &held);
        let settings = Settings { classes: self.classes.by_position(), ..settings };
        (self.max_attempts, self.packet_passthrough) = (settings.max_attempts, settings.packet_passthrough);
        self.slow_over = slow_over(&settings);
        self.retune_shares(now, &settings);
        self.events.push_back(Event::Settings(Box::new(settings)));
        self.settle(now);
    }

    /// Names of classes that a connection may come with, each with until when a new one may, where it was dropped.
    pub fn class_names(&self) -> Vec<(String, Option<Millis>)> {
        self.classes.names()
    }

    /// Counts anew, by what stands, where the members, their shares or the tier are others than before.
    fn retune_shares(&mut self, now: Millis, settings: &Settings) {
        let of = |s: &Settings| (s.quotas.clone(), s.local_index, s.relay_count, s.peer_messages);
        if of(settings) == of(&self.load_balancer.settings()) {
            return;
        }
        self.counted = Counted::new(settings, now);
        for connection in self.connections.values() {
            if let Some(member) = &connection.member {
                self.counted.kept(&member.0);
                if connection.stood {
                    self.counted.stands(&member.0);
                }
            }
        }
        if !self.tells_shares {
            self.tell_shares(now);
        }
    }

    /// Tells the other relays of members' use where that is due.
    fn tell_shares(&mut self, now: Millis) {
        let mut out = Vec::new();
        let after = self.counted.due(now, &mut out);
        self.tell(out);
        self.tells_shares = after.is_some();
        self.commands.extend(after.map(|after| Command::SetTimer { after, token: SHARES }));
    }

    fn tell(&mut self, out: Vec<sandgw_quota::usage_table::OutgoingReport>) {
        let message = |told| PeerMessage { quota: Some(told), ..PeerMessage::default() };
        self.commands.extend(
            out.into_iter().map(|r| Command::SendToPeer { peer: r.peer, message: message(r.report) }),
        );
    }

    /// Whether a connection is refused since its member is over its share and places are short. One that goes on where it
    /// stands sets nothing up, and never is; it counts all the same.
    fn over_share(&mut self, now: Millis, arrival: &IncomingRequest) -> bool {
        let Some(member) = &arrival.tenant else { return false };
        if arrival.mid_flow || arrival.at.is_some() {
            self.counted.kept(&member.0);
            return false;
        }
        let (load_balancer, descriptors) = (&self.load_balancer, arrival.descriptors_short);
        let signs = || ScarcitySignals { descriptors, ..load_balancer.scarcity_signals(now) };
        self.counted.refuses(now, &member.0, arrival.returned, signs)
    }

    /// A connection is over, and counts no more.
    fn forget(&mut self, id: RequestId) {
        let gone = self.connections.remove(&id);
        let member = gone.as_ref().and_then(|f| Some((f.member.as_ref()?, f.stood)));
        member.into_iter().for_each(|(member, stood)| self.counted.ended(&member.0, stood));
    }

    /// The commands that have come up since the last call, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Connections that stand now.
    pub fn standing(&self) -> u64 {
        self.endpoints.values().map(|t| t.standing).sum()
    }

    /// The endpoints, sorted by id.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointStatus> {
        self.endpoints.iter().map(|(id, t)| EndpointStatus {
            id: id.clone(),
            state: t.state.unwrap_or(EndpointState::Removed),
            standing: t.standing,
            attempts: t.attempts,
        })
    }

    /// Whether an endpoint is listed as ready now.
    pub fn is_ready(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.get(endpoint).is_some_and(|t| t.state == Some(EndpointState::Ready))
    }

    /// Takes a connection. One that an endpoint holds since before the run is forwarded there and nowhere else.
    pub fn arrive(&mut self, now: Millis, arrival: IncomingRequest) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        self.counters.connections += 1;
        let over = self.over_share(now, &arrival);
        let request = Request {
            id,
            class: self.classes.position(&arrival.class),
            client: arrival.client,
            group: arrival.group,
            deadline: arrival.deadline,
            setup_time_used: arrival.setup_time_used,
            load: arrival.load,
            mid_flow: arrival.mid_flow,
            returned: arrival.returned,
            drained_by_endpoint: arrival.drained_by_endpoint,
        };
        let mut connection = Connection {
            stage: Stage::Queued,
            class: request.class,
            attempts: 0,
            answered: false,
            holder_only: arrival.holder_only,
            rerouted_by_front: arrival.rerouted_by_front,
            moving: false,
            passing: false,
            member: arrival.tenant.filter(|_| !over),
            stood: false,
        };
        match arrival.at {
            None if over => {}
            None => self.events.push_back(Event::Request(request)),
            Some(endpoint) => {
                connection.attempts = 1;
                connection.stage = Stage::Attempting(endpoint.clone());
                let (until, was_ready) = (arrival.deadline, false);
                let attempt =
                    Attempt { number: 0, endpoint: endpoint.clone(), was_ready, until, begin_by: until };
                self.commands.push(Command::Connection(id, ConnectionCommand::StartAttempt(attempt)));
                self.events.push_back(Event::ExistingConnection { request, endpoint: endpoint });
            }
        }
        self.connections.insert(id, connection);
        if over {
            self.answer(id, LocalReply::Rejected(self.load_balancer.settings().max_retry_after));
            self.forget(id);
        }
        self.settle(now);
        id
    }

    /// The endpoint has taken the connection: that was its final answer.
    pub fn established(&mut self, now: Millis, id: RequestId, elapsed: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Stage::Attempting(endpoint) = &connection.stage else { return };
        self.counters.established += 1;
        self.endpoints.entry(endpoint.clone()).or_default().standing += 1;
        connection.stage = Stage::Established(endpoint.clone());
        connection.answered = true;
        if let Some(member) = &connection.member {
            connection.stood = true;
            self.counted.stands(&member.0);
        }
        let attempt = AttemptId(connection.attempts - 1);
        self.events.push_back(Event::Established { request: id, attempt, elapsed });
        self.settle(now);
    }

    /// The forward that is out, or stood, has ended.
    pub fn ended(&mut self, now: Millis, id: RequestId, outcome: Outcome) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (endpoint, stood) = match std::mem::replace(&mut connection.stage, Stage::Queued) {
            Stage::Queued => return,
            Stage::Attempting(endpoint) => (endpoint, false),
            Stage::Established(endpoint) => (endpoint, true),
        };
        self.counters.attempts[outcome as usize] += 1;
        if stood {
            self.endpoints.entry(endpoint.clone()).and_modify(|t| t.standing -= 1);
        }
        if outcome == Outcome::Rejected && !stood {
            self.counted.turned_away(now);
        }
        let attempt = AttemptId(connection.attempts - 1);
        let lost = connection.holder_only && !stood;
        let finished = stood || lost || connection.answered;
        if lost {
            self.answer(id, LocalReply::Failed);
        }
        if finished {
            self.forget(id);
        }
        self.events.push_back(Event::AttemptEnded {
            request: id,
            attempt,
            endpoint: endpoint,
            outcome,
            finished,
        });
        self.settle(now);
    }

    /// The client has left without an answer, or its answer was given outside the core.
    pub fn left(&mut self, now: Millis, id: RequestId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.answered {
            return;
        }
        connection.answered = true;
        self.events.push_back(Event::ClientGone(id));
        if connection.stage == Stage::Queued {
            self.forget(id);
            return self.settle(now);
        }
        self.settle(now);
        self.ended(now, id, Outcome::Cancelled);
    }

    /// The client is about to give up: whatever the load balancer still holds back, the connection is answered now.
    pub fn overdue(&mut self, now: Millis, id: RequestId) {
        if self.connections.get(&id).is_some_and(|f| !f.answered) {
            warn!("flow {} was overdue: answered as failed", id.0);
            self.answer(id, LocalReply::Failed);
            self.left(now, id);
        }
    }

    /// A line of a standing connection came back after this long, or has not for as long.
    pub fn round_trip(&mut self, id: RequestId, trip: Millis) {
        let Some(Connection { stage: Stage::Established(endpoint), .. }) = self.connections.get(&id) else {
            return;
        };
        self.endpoints.entry(endpoint.clone()).or_default().trips.push(trip);
    }

    /// Once a second: tells the load balancer of endpoints whose messages take long, on one connection each, while that
    /// is over a third of the shortest aim and once more when it is back under. On sockets nobody else does.
    pub fn tick(&mut self, now: Millis) {
        let mut slow = Vec::new();
        for (id, endpoint) in &mut self.endpoints {
            if endpoint.trips.is_empty() {
                continue;
            }
            endpoint.trips.sort_by(f64::total_cmp);
            // The median: one that waited behind a pause of the endpoint or of this machine says little.
            let level = endpoint.trips[endpoint.trips.len() / 2];
            endpoint.trips.clear();
            let was = std::mem::replace(&mut endpoint.slow, level > self.slow_over);
            if was || endpoint.slow {
                slow.push((id.clone(), level));
            }
        }
        let refusals = std::mem::replace(&mut self.refusals, self.counted.refusals());
        if self.refusals > refusals {
            let since = self.refusals - refusals;
            warn!("shares: places are short, and {since} flows of members over their share were refused");
        }
        for (id, level) in slow {
            debug!("messages at {} take {level:.0} ms", id.0);
            let on = |f: &Connection| f.stage == Stage::Established(id.clone());
            let connection = self.connections.iter().filter(|(_, f)| on(f)).map(|(id, _)| *id).min();
            let note = Measurement::MessageDelay(level);
            self.events.extend(connection.map(|request| Event::Measured { request, measurement: note }));
        }
        self.settle(now);
    }

    /// Among whom relays tell each other of endpoints that leave: where each asks discovery.
    fn of(&self) -> ClusterSize {
        let s = &self.load_balancer.settings();
        let tells = s.peer_messages && s.discovery == Discovery::OnRequest;
        ClusterSize { local_index: s.local_index, relays: if tells { s.relay_count } else { 0 } }
    }

    /// The list as last held, and its version if it is known to be this discovery service's.
    pub fn known(&mut self, now: Millis, revision: Option<u64>, endpoints: Vec<EndpointEntry>) {
        self.leaving.known(revision);
        self.list(now, ListKind::Cached, endpoints);
    }

    /// Another discovery service is asked from now on.
    pub fn moved(&mut self, now: Millis) {
        self.leaving.moved(now, self.of());
        self.ask_others(now, Sends::new());
    }

    /// A watch was broken off, and the list is asked for anew: what changes is not heard of until that is answered.
    pub fn unwatched(&mut self, now: Millis) {
        self.leaving.failed(now, self.of());
        self.ask_others(now, Sends::new());
    }

    /// Discovery has answered, with the whole list or with changes to it.
    pub fn answered(&mut self, now: Millis, answer: Answer, mut endpoints: Vec<EndpointEntry>) {
        let hash = |id: &EndpointId| EndpointHash::of(&id.0);
        let (ready, others): (Vec<_>, Vec<_>) =
            endpoints.iter().partition(|e| e.state == EndpointState::Ready);
        let ready: Vec<_> = ready.into_iter().map(|e| hash(&e.id)).collect();
        let others: Vec<_> = others.into_iter().map(|e| hash(&e.id)).collect();
        let set: BTreeSet<_> = if answer.whole { &ready } else { &others }.iter().copied().collect();
        let was_ready =
            self.endpoints.iter().map(|(id, t)| (hash(id), t.state == Some(EndpointState::Ready)));
        let was_ready = was_ready.filter(|(id, ready)| *ready || self.leaving.holds(*id)).map(|(id, _)| id);
        let left: Vec<_> = was_ready.filter(|id| set.contains(id) != answer.whole).collect();
        let mut out = Sends::new();
        let back = self.leaving.listed(now, self.of(), answer, &left, &ready, &mut out);
        if !answer.whole {
            endpoints.extend(self.entries(&back, EndpointState::Ready));
        }
        self.list(now, if answer.whole { ListKind::Full } else { ListKind::Delta }, endpoints);
        self.ask_others(now, out);
    }

    /// Entries of the list, as they are known, in this state.
    fn entries(&self, endpoints: &[EndpointHash], state: EndpointState) -> Vec<EndpointEntry> {
        self.load_balancer.entries(|id| endpoints.contains(&EndpointHash::of(&id.0)), state)
    }

    /// Tells other relays of endpoints that have left, or asks them; and sets the timer for the next question.
    fn ask_others(&mut self, now: Millis, out: Sends) {
        let message = |piece| PeerMessage { cluster: Some(piece), ..PeerMessage::default() };
        let tell = out.into_iter().map(|(peer, piece)| Command::SendToPeer { peer, message: message(piece) });
        self.commands.extend(tell);
        let timer = self.leaving.timer(now).map(|after| Command::SetTimer { after, token: LEFT });
        self.commands.extend(timer);
    }

    /// Takes another relay's word of endpoints that have left, or answers its question. On a word nothing is sent to a
    /// endpoint any more; nothing is ever sent to one on a word.
    fn told_of_leaving(&mut self, now: Millis, peer: u32, piece: ClusterMessage) {
        let (of, mut out) = (self.of(), Sends::new());
        let ready = self.endpoints.iter().filter(|(_, t)| t.state == Some(EndpointState::Ready));
        let ready: BTreeSet<_> = ready.map(|(id, _)| EndpointHash::of(&id.0)).collect();
        let fresh = self.leaving.told(now, of, peer, piece, |id| ready.contains(&id), &mut out);
        if !fresh.is_empty() {
            debug!("relay {peer} tells of {} streamers that leave", fresh.len());
            let endpoints = self.entries(&fresh, EndpointState::Draining);
            self.list(now, ListKind::Gossip, endpoints);
        }
        self.ask_others(now, out);
    }

    /// News of the list.
    pub fn list(&mut self, now: Millis, kind: ListKind, endpoints: Vec<EndpointEntry>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.endpoints.values_mut().for_each(|t| t.state = None);
        }
        for entry in &endpoints {
            self.endpoints.entry(entry.id.clone()).or_default().state = Some(entry.state);
        }
        let gone = |t: &TrackedEndpoint| matches!(t.state, None | Some(EndpointState::Removed));
        self.endpoints.retain(|_, t| !gone(t) || t.standing > 0);
        self.listed |= kind == ListKind::Full || !endpoints.is_empty();
        self.events.push_back(Event::List { kind, endpoints });
        self.settle(now);
        if matches!(kind, ListKind::Cached | ListKind::Failed) {
            self.unwatched(now);
        }
    }

    /// A message from another relay.
    pub fn told(&mut self, now: Millis, peer: u32, message: PeerMessage) {
        if let Some(told) = message.quota {
            let mut out = Vec::new();
            self.counted.told(now, peer, told, &mut out);
            return self.tell(out);
        }
        if let Some(piece @ (ClusterMessage::Draining { .. } | ClusterMessage::DrainQuery(_))) =
            message.cluster
        {
            return self.told_of_leaving(now, peer, piece);
        }
        self.events.push_back(Event::PeerMessage { peer, message });
        self.settle(now);
    }

    /// A timer is due.
    pub fn timer(&mut self, now: Millis, token: u64) {
        match token {
            EMPTY => return self.empty(now),
            SHARES => return self.tell_shares(now),
            LEFT => {
                let mut out = Sends::new();
                self.leaving.due(now, self.of(), &mut out);
                return self.ask_others(now, out);
            }
            _ => {}
        }
        self.events.push_back(Event::Timer(token));
        self.settle(now);
    }

    /// What it does for clients.
    pub fn operation(&self) -> Operation {
        if self.standby.is_some() { Operation::Standby } else { Operation::Active }
    }

    /// Whether it has a list of endpoints to place connections on.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Wants nobody new from now on, and tells those to move that can't stay; a second call changes nothing.
    pub fn stand_by(&mut self, now: Millis) {
        self.standby.get_or_insert(now);
        self.start_emptying();
    }

    fn start_emptying(&mut self) {
        if !std::mem::replace(&mut self.emptying, true) {
            self.commands.push(Command::SetTimer { after: MOVE_STEP, token: EMPTY });
        }
    }

    /// How long it has been on standby, if it is.
    pub fn standby_for(&self, now: Millis) -> Option<Millis> {
        self.standby.map(|since| now - since)
    }

    /// Another process serves in this one's place from now on.
    pub fn hand_over(&mut self, now: Millis) {
        self.handed_over = Some(now);
    }

    /// The process ends soon: so many standing connections are told to pass to the other, and those that can't are moved as
    /// on standby, though the relay goes on taking whoever comes.
    pub fn pass(&mut self, most: usize) {
        self.start_emptying();
        let standing = |f: &Connection| matches!(f.stage, Stage::Established(_)) && !f.moving && !f.passing;
        let connections = self.connections.iter().filter(|(_, f)| standing(f) && f.rerouted_by_front);
        let mut connections: Vec<RequestId> = connections.map(|(id, _)| *id).collect();
        connections.sort_unstable();
        for id in connections.into_iter().take(most) {
            self.connections.entry(id).and_modify(|f| f.passing = true);
            self.commands.push(Command::Connection(id, ConnectionCommand::Transfer));
        }
    }

    /// A standing connection, for the process that serves now.
    pub fn carry_connection(&self, id: RequestId) -> Option<TransferredConnection> {
        let connection = self.connections.get(&id)?;
        let Stage::Established(endpoint) = &connection.stage else { return None };
        let request = self.load_balancer.request(id)?;
        let text = |key: &Option<Key>| key.as_ref().map(|k| k.0.to_string());
        Some(TransferredConnection {
            class: connection.class.and_then(|c| self.classes.name(c)).unwrap_or_default().to_owned(),
            endpoint: endpoint.0.to_string(),
            client: text(&request.client),
            group: text(&request.group),
            load: request.load,
            drained_by_endpoint: request.drained_by_endpoint,
            rerouted_by_front: connection.rerouted_by_front,
        })
    }

    /// Takes a connection that stood at the process before.
    pub fn adopt(&mut self, now: Millis, carried: TransferredConnection) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        let key = |text: Option<String>| text.map(|t| Key(t.into()));
        let endpoint = EndpointId(carried.endpoint.into());
        let request = Request {
            id,
            class: self.classes.position(&carried.class),
            client: key(carried.client),
            group: key(carried.group),
            deadline: now,
            setup_time_used: 0.0,
            load: carried.load.filter(|load| load.is_finite() && *load > 0.0),
            mid_flow: false,
            returned: false,
            drained_by_endpoint: carried.drained_by_endpoint,
        };
        let connection = Connection {
            stage: Stage::Established(endpoint.clone()),
            class: request.class,
            attempts: 1,
            answered: true,
            holder_only: false,
            rerouted_by_front: carried.rerouted_by_front,
            moving: false,
            passing: false,
            // What is passed does not name it.
            member: None,
            stood: false,
        };
        self.connections.insert(id, connection);
        self.endpoints.entry(endpoint.clone()).or_default().standing += 1;
        self.events.push_back(Event::ExistingConnection { request, endpoint: endpoint });
        self.settle(now);
        id
    }

    /// The other process has failed, and this one serves again.
    pub fn take_back(&mut self) {
        self.handed_over = None;
    }

    /// Whether another process serves in this one's place.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.is_some()
    }

    /// Whether there is no connection left.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// What the load balancer has learned, for the process that is to serve next.
    pub fn carry(&self, now: Millis) -> Vec<LearnedState> {
        self.load_balancer.export_learned_state(now)
    }

    /// How long from now no new connection may go to a cold endpoint.
    pub fn cold_in(&self, now: Millis) -> Millis {
        self.load_balancer.slow_start_pause(now)
    }

    /// Takes what the process before has learned, after its list.
    pub fn carried(&mut self, now: Millis, piece: LearnedState) {
        self.load_balancer.import_learned_state(now, piece);
    }

    /// Takes whoever comes again. Who was told to move goes all the same, nobody else is told.
    pub fn activate(&mut self) {
        self.standby = None;
    }

    /// One step of emptying. Those who come to stand between two steps are told with the next.
    fn empty(&mut self, now: Millis) {
        let Some(since) = self.standby.or(self.handed_over) else {
            self.emptying = false;
            return;
        };
        let told = |f: &Connection| matches!(f.stage, Stage::Established(_)) && !f.moving;
        // Where another process serves they pass to that one.
        let stays =
            |f: &Connection| f.rerouted_by_front && (self.packet_passthrough || self.standby.is_none());
        let connections = self.connections.iter().filter(|(_, f)| told(f) && !stays(f));
        let mut connections: Vec<RequestId> = connections.map(|(id, _)| *id).collect();
        connections.sort_unstable();
        connections.truncate(moves_now(now - since, connections.len()));
        connections.into_iter().for_each(|id| self.tell_to_move(id));
        self.commands.push(Command::SetTimer { after: MOVE_STEP, token: EMPTY });
    }

    fn tell_to_move(&mut self, id: RequestId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        // Asked for twice while the endpoint's last message is awaited, it is still one move.
        if matches!(connection.stage, Stage::Established(_))
            && !std::mem::replace(&mut connection.moving, true)
        {
            debug!("flow {}: told to move", id.0);
            self.counters.moves += 1;
            self.commands.push(Command::Connection(id, ConnectionCommand::Migrate));
        }
    }

    /// Takes what a store has kept of clients and groups, before the first list.
    pub fn restore(&mut self, now: Millis, records: impl Iterator<Item = Record>) -> Restored {
        self.load_balancer.cluster_state_mut().restore(now, records)
    }

    /// From now on keys that are let go are remembered for [`Relay::changes`], and all entries count as changed.
    pub fn keep(&mut self) {
        self.load_balancer.cluster_state_mut().track_changes();
    }

    /// What has changed of clients and groups since the last call, so many entries at the most.
    pub fn changes(&mut self, now: Millis, most: usize) -> Changes {
        self.load_balancer.cluster_state_mut().take_changes(now, most)
    }

    /// Figures of the tables of clients and groups.
    pub fn affinity(&self) -> Figures {
        self.load_balancer.cluster_state().statistics()
    }

    /// Hands events to the load balancer until none is left, and its actions on.
    fn settle(&mut self, now: Millis) {
        let mut actions = Actions::new();
        while let Some(event) = self.events.pop_front() {
            self.load_balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
    }

    fn act(&mut self, now: Millis, action: Action) {
        match action {
            Action::StartAttempt { request, endpoint, until, begin_by } => {
                self.attempt(request, endpoint, (until, begin_by));
            }
            Action::Reject { request, retry_after } => {
                if self.connections.get(&request).is_some_and(|f| f.attempts == 0) {
                    self.counted.refused(now);
                }
                self.answer(request, LocalReply::Rejected(retry_after));
                self.forget(request);
            }
            Action::Fail(request) => {
                self.answer(request, LocalReply::Failed);
                self.forget(request);
            }
            Action::Migrate(request) => self.tell_to_move(request),
            Action::SetTimer { after, token } => self.commands.push(Command::SetTimer { after, token }),
            Action::Subscribe => self.commands.push(Command::Subscribe),
            Action::SendToPeer { peer, message } => self.commands.push(Command::SendToPeer { peer, message }),
        }
    }

    fn attempt(&mut self, id: RequestId, endpoint: EndpointId, (until, begin_by): (Millis, Millis)) {
        let was_ready = self.is_ready(&endpoint);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.stage != Stage::Queued
            || connection.answered
            || connection.attempts >= self.max_attempts
        {
            // The rules leave no room for it, whoever asks.
            error!("flow {}: a forward to {} was not allowed", id.0, endpoint.0);
            let attempt = AttemptId(connection.attempts);
            let (outcome, finished) = (Outcome::NotSent, connection.answered);
            self.events.push_back(Event::AttemptEnded {
                request: id,
                attempt,
                endpoint: endpoint,
                outcome,
                finished,
            });
            return;
        }
        let number = connection.attempts;
        connection.attempts += 1;
        connection.stage = Stage::Attempting(endpoint.clone());
        self.endpoints.entry(endpoint.clone()).or_default().attempts += 1;
        let attempt = Attempt { number, endpoint, was_ready, until, begin_by };
        self.commands.push(Command::Connection(id, ConnectionCommand::StartAttempt(attempt)));
    }

    /// Gives a final answer, unless one was given.
    fn answer(&mut self, id: RequestId, response: LocalReply) {
        if self.connections.get(&id).is_none_or(|f| f.answered) {
            return;
        }
        match response {
            LocalReply::Rejected(_) => self.counters.busy += 1,
            LocalReply::Failed => self.counters.failed += 1,
        }
        self.commands.push(Command::Connection(id, ConnectionCommand::Reply(response)));
    }
}
