//! The core: owns the decisions and the table of flows. Turns what happens to flows into the module's events
//! and the module's actions into commands.
//!
//! It knows no socket and no wire; time is passed in. For every front it makes sure that a flow gets exactly
//! one final answer and has at most one forward out.

mod classes;
pub mod handover;
pub mod lifecycle;
pub mod quotas;
pub mod transfer;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use log::{debug, error, warn};
use sandgw_affinity::codec::StreamerHash;
use sandgw_affinity::replication::Sends;
use sandgw_affinity::{Changes, Figures, Record, Restored};
use sandgw_cluster::drain_gossip::{Answer, Leaving, Of};
use sandgw_quota::policy::Signs;

use crate::Balancer;
use crate::policy::api::*;
use crate::relay::classes::Classes;
use crate::relay::lifecycle::{MOVE_STEP, Operation, moves_now};
use crate::relay::quotas::Counted;
use crate::relay::transfer::{Carried, CarriedFlow};

/// A flow: one connection of a client that asks to be placed. It is a request of the module.
pub type FlowId = RequestId;

/// Tokens of the core's own timers; the module's stay below.
const EMPTY: u64 = 1 << 63;
const SHARES: u64 = EMPTY + 1;
const LEFT: u64 = EMPTY + 2;

/// How many outcomes there are, for [`Counters::forwards`].
pub const OUTCOMES: usize = 8;

/// A flow as a front has read it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Its class, by name.
    pub class: String,
    /// The client's key.
    pub client: Option<Key>,
    /// The key of its group.
    pub group: Option<Key>,
    /// When the client gives up.
    pub deadline: Millis,
    /// How much of the set-up budget its front has used before it could be placed.
    pub spent: Millis,
    /// Expected load.
    pub load: Option<f64>,
    /// Its packets were routed through another relay so far.
    pub mid_flow: bool,
    /// The client was here before.
    pub returned: bool,
    /// Its streamer sends it away by itself when it drains.
    pub sent_away: bool,
    /// Where packets pass through, its front leads its packets through another relay when this one leaves.
    pub led_elsewhere: bool,
    /// It can't be set up anew: only the streamer that holds it will do.
    pub holder_only: bool,
    /// The streamer that holds it since before the run.
    pub at: Option<ServerId>,
    /// The member that it belongs to.
    pub tenant: Option<Key>,
    /// Descriptors are nearly used up.
    pub descriptors_short: bool,
}

/// A final answer that no streamer gave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FixedResponse {
    /// Refused; trying again is harmless, after this long.
    Busy(Option<Millis>),
    /// Failed.
    Failed,
}

/// One attempt to place a flow.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Its number, from 0.
    pub number: u32,
    /// Where to.
    pub target: ServerId,
    /// Whether that was listed as ready when it was decided: then it must be ready still when the attempt begins.
    pub was_ready: bool,
    /// When to give it up.
    pub until: Millis,
    /// Before when its first byte has to be written, however long the connection takes to come up.
    pub begin_by: Millis,
}

/// What a driver is to do for a flow.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowCommand {
    /// Start an attempt.
    Forward(Attempt),
    /// Give this final answer now, and give up the forward if one is out.
    Answer(FixedResponse),
    /// Tell the client of a standing flow to come again, and close both sides.
    Move,
    /// Pass the standing flow to the process that serves now, if its front can.
    Pass,
}

/// What the drivers are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// For a flow.
    Flow(FlowId, FlowCommand),
    /// Call [`Relay::timer`] with the token after a while.
    Timer {
        /// From now.
        after: Millis,
        /// The token.
        token: u64,
    },
    /// Watch discovery's list.
    Watch,
    /// Send a message to another relay.
    Tell {
        /// Its number.
        peer: u32,
        /// The message.
        message: Message,
    },
}

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Flows taken.
    pub flows: u64,
    /// Flows that came to stand.
    pub established: u64,
    /// Forwards ended, by outcome in the order of [`Outcome`].
    pub forwards: [u64; OUTCOMES],
    /// Fixed responses that refuse.
    pub busy: u64,
    /// Fixed responses that fail.
    pub failed: u64,
    /// Clients told to move.
    pub moves: u64,
}

/// A streamer as the relay sees it, for those who ask.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRow {
    /// The streamer.
    pub id: ServerId,
    /// Its state in the list.
    pub state: ServerState,
    /// Standing flows on it.
    pub standing: u64,
    /// Forwards started to it.
    pub forwards: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// The module has it; no forward is out.
    Waiting,
    /// A forward is out.
    Forwarding(ServerId),
    /// Its streamer has taken it.
    Standing(ServerId),
}

struct Flow {
    stage: Stage,
    class: Option<ClassId>,
    attempts: u32,
    /// The final answer has been given; only the forward's end is still to come.
    answered: bool,
    holder_only: bool,
    led_elsewhere: bool,
    moving: bool,
    /// It was told to pass.
    passing: bool,
    /// The member for which it counts, and whether it counts as standing.
    member: Option<Key>,
    stood: bool,
}

#[derive(Default)]
struct Target {
    state: Option<ServerState>,
    standing: u64,
    forwards: u64,
    /// Round trips measured since the last tick.
    trips: Vec<Millis>,
    /// The module was last told that messages are slow there.
    slow: bool,
}

/// Over this a message counts as slow: a third of the shortest aim, as in the simulator.
fn slow_over(settings: &Settings) -> Millis {
    settings.classes.iter().filter_map(|c| c.message_aim).fold(f64::INFINITY, f64::min) / 3.0
}

/// The core of one relay.
pub struct Relay {
    pub(crate) balancer: Balancer,
    classes: Classes,
    /// Packets pass through: flows that their front can lead elsewhere need not be moved off this relay.
    passes: bool,
    /// Since when it is on standby.
    standby: Option<Millis>,
    /// Since when another process takes and places what comes new.
    handed_over: Option<Millis>,
    /// The timer of the steps in which a relay on standby empties is under way.
    emptying: bool,
    /// It has been given a list of streamers.
    listed: bool,
    max_attempts: u32,
    slow_over: Millis,
    flows: HashMap<FlowId, Flow>,
    targets: BTreeMap<ServerId, Target>,
    next: u64,
    events: VecDeque<Event>,
    commands: Vec<Command>,
    counters: Counters,
    /// Flows by member, where shares are kept to; whether its timer is under way, and refusals that were logged.
    counted: Counted,
    tells_shares: bool,
    refusals: u64,
    /// Streamers that have left, by the list or by others' word.
    leaving: Leaving,
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
            passes: settings.passes,
            balancer: Balancer::new(settings, seed, now),
            classes,
            standby: None,
            handed_over: None,
            emptying: false,
            listed: false,
            flows: HashMap::new(),
            targets: BTreeMap::new(),
            next: 0,
            events: VecDeque::new(),
            commands: Vec::new(),
            counters: Counters::default(),
            counted,
            tells_shares: false,
            refusals: 0,
            leaving: Leaving::new(seed),
        };
        relay.tell_shares(now);
        relay
    }

    /// Takes new settings, with the names of their classes. Flows keep the class that they came with; the number of
    /// attempts binds all of them from now on.
    pub fn retune(&mut self, now: Millis, settings: Settings, names: &[String]) {
        let held = self.flows.values().filter_map(|f| f.class).collect();
        self.classes.renew(now, names, &settings.classes, &held);
        let settings = Settings { classes: self.classes.by_position(), ..settings };
        (self.max_attempts, self.passes) = (settings.max_attempts, settings.passes);
        self.slow_over = slow_over(&settings);
        self.retune_shares(now, &settings);
        self.events.push_back(Event::Settings(Box::new(settings)));
        self.settle(now);
    }

    /// Names of classes that a flow may come with, each with until when a new one may, where it was dropped.
    pub fn class_names(&self) -> Vec<(String, Option<Millis>)> {
        self.classes.names()
    }

    /// Counts anew, by what stands, where the members, their shares or the tier are others than before.
    fn retune_shares(&mut self, now: Millis, settings: &Settings) {
        let of = |s: &Settings| (s.shares.clone(), s.me, s.balancers, s.peers);
        if of(settings) == of(&self.balancer.settings) {
            return;
        }
        self.counted = Counted::new(settings, now);
        for flow in self.flows.values() {
            if let Some(member) = &flow.member {
                self.counted.kept(&member.0);
                if flow.stood {
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
        self.commands.extend(after.map(|after| Command::Timer { after, token: SHARES }));
    }

    fn tell(&mut self, out: sandgw_quota::usage_table::Sends) {
        let message = |told| Message { shares: Some(told), ..Message::default() };
        self.commands.extend(out.into_iter().map(|(peer, t)| Command::Tell { peer, message: message(t) }));
    }

    /// Whether a flow is refused since its member is over its share and places are short. One that goes on where it
    /// stands sets nothing up, and never is; it counts all the same.
    fn over_share(&mut self, now: Millis, arrival: &Arrival) -> bool {
        let Some(member) = &arrival.tenant else { return false };
        if arrival.mid_flow || arrival.at.is_some() {
            self.counted.kept(&member.0);
            return false;
        }
        let (balancer, descriptors) = (&self.balancer, arrival.descriptors_short);
        let signs = || Signs { descriptors, ..balancer.signs(now) };
        self.counted.refuses(now, &member.0, arrival.returned, signs)
    }

    /// A flow is over, and counts no more.
    fn forget(&mut self, id: FlowId) {
        let gone = self.flows.remove(&id);
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

    /// Flows that stand now.
    pub fn standing(&self) -> u64 {
        self.targets.values().map(|t| t.standing).sum()
    }

    /// The streamers, sorted by id.
    pub fn targets(&self) -> impl Iterator<Item = TargetRow> {
        self.targets.iter().map(|(id, t)| TargetRow {
            id: id.clone(),
            state: t.state.unwrap_or(ServerState::Gone),
            standing: t.standing,
            forwards: t.forwards,
        })
    }

    /// Whether a streamer is listed as ready now.
    pub fn is_ready(&self, target: &ServerId) -> bool {
        self.targets.get(target).is_some_and(|t| t.state == Some(ServerState::Ready))
    }

    /// Takes a flow. One that a streamer holds since before the run is forwarded there and nowhere else.
    pub fn arrive(&mut self, now: Millis, arrival: Arrival) -> FlowId {
        let id = RequestId(self.next);
        self.next += 1;
        self.counters.flows += 1;
        let over = self.over_share(now, &arrival);
        let request = Request {
            id,
            class: self.classes.position(&arrival.class),
            client: arrival.client,
            group: arrival.group,
            deadline: arrival.deadline,
            spent: arrival.spent,
            load: arrival.load,
            mid_flow: arrival.mid_flow,
            returned: arrival.returned,
            sent_away: arrival.sent_away,
        };
        let mut flow = Flow {
            stage: Stage::Waiting,
            class: request.class,
            attempts: 0,
            answered: false,
            holder_only: arrival.holder_only,
            led_elsewhere: arrival.led_elsewhere,
            moving: false,
            passing: false,
            member: arrival.tenant.filter(|_| !over),
            stood: false,
        };
        match arrival.at {
            None if over => {}
            None => self.events.push_back(Event::Request(request)),
            Some(target) => {
                flow.attempts = 1;
                flow.stage = Stage::Forwarding(target.clone());
                let (until, was_ready) = (arrival.deadline, false);
                let attempt =
                    Attempt { number: 0, target: target.clone(), was_ready, until, begin_by: until };
                self.commands.push(Command::Flow(id, FlowCommand::Forward(attempt)));
                self.events.push_back(Event::Open { request, server: target });
            }
        }
        self.flows.insert(id, flow);
        if over {
            self.answer(id, FixedResponse::Busy(self.balancer.settings.max_retry_after));
            self.forget(id);
        }
        self.settle(now);
        id
    }

    /// The streamer has taken the flow: that was its final answer.
    pub fn established(&mut self, now: Millis, id: FlowId, elapsed: Millis) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Stage::Forwarding(target) = &flow.stage else { return };
        self.counters.established += 1;
        self.targets.entry(target.clone()).or_default().standing += 1;
        flow.stage = Stage::Standing(target.clone());
        flow.answered = true;
        if let Some(member) = &flow.member {
            flow.stood = true;
            self.counted.stands(&member.0);
        }
        let attempt = AttemptId(flow.attempts - 1);
        self.events.push_back(Event::Established { request: id, attempt, elapsed });
        self.settle(now);
    }

    /// The forward that is out, or stood, has ended.
    pub fn ended(&mut self, now: Millis, id: FlowId, outcome: Outcome) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let (target, stood) = match std::mem::replace(&mut flow.stage, Stage::Waiting) {
            Stage::Waiting => return,
            Stage::Forwarding(target) => (target, false),
            Stage::Standing(target) => (target, true),
        };
        self.counters.forwards[outcome as usize] += 1;
        if stood {
            self.targets.entry(target.clone()).and_modify(|t| t.standing -= 1);
        }
        if outcome == Outcome::Rejected && !stood {
            self.counted.turned_away(now);
        }
        let attempt = AttemptId(flow.attempts - 1);
        let lost = flow.holder_only && !stood;
        let finished = stood || lost || flow.answered;
        if lost {
            self.answer(id, FixedResponse::Failed);
        }
        if finished {
            self.forget(id);
        }
        self.events.push_back(Event::Ended { request: id, attempt, server: target, outcome, finished });
        self.settle(now);
    }

    /// The client has left without an answer, or its answer was given outside the core.
    pub fn left(&mut self, now: Millis, id: FlowId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if flow.answered {
            return;
        }
        flow.answered = true;
        self.events.push_back(Event::Expired(id));
        if flow.stage == Stage::Waiting {
            self.forget(id);
            return self.settle(now);
        }
        self.settle(now);
        self.ended(now, id, Outcome::Cancelled);
    }

    /// The client is about to give up: whatever the module still holds back, the flow is answered now.
    pub fn overdue(&mut self, now: Millis, id: FlowId) {
        if self.flows.get(&id).is_some_and(|f| !f.answered) {
            warn!("flow {} was overdue: answered as failed", id.0);
            self.answer(id, FixedResponse::Failed);
            self.left(now, id);
        }
    }

    /// A line of a standing flow came back after this long, or has not for as long.
    pub fn round_trip(&mut self, id: FlowId, trip: Millis) {
        let Some(Flow { stage: Stage::Standing(target), .. }) = self.flows.get(&id) else { return };
        self.targets.entry(target.clone()).or_default().trips.push(trip);
    }

    /// Once a second: tells the module of streamers whose messages take long, on one flow each, while that
    /// is over a third of the shortest aim and once more when it is back under. On sockets nobody else does.
    pub fn tick(&mut self, now: Millis) {
        let mut slow = Vec::new();
        for (id, target) in &mut self.targets {
            if target.trips.is_empty() {
                continue;
            }
            target.trips.sort_by(f64::total_cmp);
            // The median: one that waited behind a pause of the streamer or of this machine says little.
            let level = target.trips[target.trips.len() / 2];
            target.trips.clear();
            let was = std::mem::replace(&mut target.slow, level > self.slow_over);
            if was || target.slow {
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
            let on = |f: &Flow| f.stage == Stage::Standing(id.clone());
            let flow = self.flows.iter().filter(|(_, f)| on(f)).map(|(id, _)| *id).min();
            let note = Note::Delay(level);
            self.events.extend(flow.map(|request| Event::Progress { request, note }));
        }
        self.settle(now);
    }

    /// Among whom relays tell each other of streamers that leave: where each asks discovery.
    fn of(&self) -> Of {
        let s = &self.balancer.settings;
        let tells = s.peers && s.discovery == Discovery::OnRequest;
        Of { me: s.me, relays: if tells { s.balancers } else { 0 } }
    }

    /// The list as last held, and its version if it is known to be this discovery service's.
    pub fn known(&mut self, now: Millis, revision: Option<u64>, servers: Vec<ServerEntry>) {
        self.leaving.known(revision);
        self.list(now, ListKind::Cached, servers);
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
    pub fn answered(&mut self, now: Millis, answer: Answer, mut servers: Vec<ServerEntry>) {
        let hash = |id: &ServerId| StreamerHash::of(&id.0);
        let (ready, others): (Vec<_>, Vec<_>) = servers.iter().partition(|e| e.state == ServerState::Ready);
        let ready: Vec<_> = ready.into_iter().map(|e| hash(&e.id)).collect();
        let others: Vec<_> = others.into_iter().map(|e| hash(&e.id)).collect();
        let set: BTreeSet<_> = if answer.whole { &ready } else { &others }.iter().copied().collect();
        let was_ready = self.targets.iter().map(|(id, t)| (hash(id), t.state == Some(ServerState::Ready)));
        let was_ready = was_ready.filter(|(id, ready)| *ready || self.leaving.holds(*id)).map(|(id, _)| id);
        let left: Vec<_> = was_ready.filter(|id| set.contains(id) != answer.whole).collect();
        let mut out = Sends::new();
        let back = self.leaving.listed(now, self.of(), answer, &left, &ready, &mut out);
        if !answer.whole {
            servers.extend(self.entries(&back, ServerState::Ready));
        }
        self.list(now, if answer.whole { ListKind::Full } else { ListKind::Delta }, servers);
        self.ask_others(now, out);
    }

    /// Entries of the list, as they are known, in this state.
    fn entries(&self, streamers: &[StreamerHash], state: ServerState) -> Vec<ServerEntry> {
        let known = self.balancer.ledger.servers.iter();
        let known = known.filter(|(id, _)| streamers.contains(&StreamerHash::of(&id.0)));
        let entry = |(id, s): (&ServerId, &crate::policy::state::Server)| ServerEntry {
            id: id.clone(),
            state,
            weight: s.weight,
            started: s.started,
            zone: s.zone.clone(),
            cell: s.cell,
        };
        known.map(entry).collect()
    }

    /// Tells other relays of streamers that have left, or asks them; and sets the timer for the next question.
    fn ask_others(&mut self, now: Millis, out: Sends) {
        let message = |piece| Message { memory: Some(piece), ..Message::default() };
        let tell = out.into_iter().map(|(peer, piece)| Command::Tell { peer, message: message(piece) });
        self.commands.extend(tell);
        let timer = self.leaving.timer(now).map(|after| Command::Timer { after, token: LEFT });
        self.commands.extend(timer);
    }

    /// Takes another relay's word of streamers that have left, or answers its question. On a word nothing is sent to a
    /// streamer any more; nothing is ever sent to one on a word.
    fn told_of_leaving(&mut self, now: Millis, peer: u32, piece: Piece) {
        let (of, mut out) = (self.of(), Sends::new());
        let ready = self.targets.iter().filter(|(_, t)| t.state == Some(ServerState::Ready));
        let ready: BTreeSet<_> = ready.map(|(id, _)| StreamerHash::of(&id.0)).collect();
        let fresh = self.leaving.told(now, of, peer, piece, |id| ready.contains(&id), &mut out);
        if !fresh.is_empty() {
            debug!("relay {peer} tells of {} streamers that leave", fresh.len());
            let servers = self.entries(&fresh, ServerState::Draining);
            self.list(now, ListKind::Word, servers);
        }
        self.ask_others(now, out);
    }

    /// News of the list.
    pub fn list(&mut self, now: Millis, kind: ListKind, servers: Vec<ServerEntry>) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.targets.values_mut().for_each(|t| t.state = None);
        }
        for entry in &servers {
            self.targets.entry(entry.id.clone()).or_default().state = Some(entry.state);
        }
        let gone = |t: &Target| matches!(t.state, None | Some(ServerState::Gone));
        self.targets.retain(|_, t| !gone(t) || t.standing > 0);
        self.listed |= kind == ListKind::Full || !servers.is_empty();
        self.events.push_back(Event::List { kind, servers });
        self.settle(now);
        if matches!(kind, ListKind::Cached | ListKind::Failed) {
            self.unwatched(now);
        }
    }

    /// A message from another relay.
    pub fn told(&mut self, now: Millis, peer: u32, message: Message) {
        if let Some(told) = message.shares {
            let mut out = Vec::new();
            self.counted.told(now, peer, told, &mut out);
            return self.tell(out);
        }
        if let Some(piece @ (Piece::Leaving { .. } | Piece::Left(_))) = message.memory {
            return self.told_of_leaving(now, peer, piece);
        }
        self.events.push_back(Event::Told { peer, message });
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

    /// Whether it has a list of streamers to place flows on.
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
            self.commands.push(Command::Timer { after: MOVE_STEP, token: EMPTY });
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

    /// The process ends soon: so many standing flows are told to pass to the other, and those that can't are moved as
    /// on standby, though the relay goes on taking whoever comes.
    pub fn pass(&mut self, most: usize) {
        self.start_emptying();
        let standing = |f: &Flow| matches!(f.stage, Stage::Standing(_)) && !f.moving && !f.passing;
        let flows = self.flows.iter().filter(|(_, f)| standing(f) && f.led_elsewhere);
        let mut flows: Vec<FlowId> = flows.map(|(id, _)| *id).collect();
        flows.sort_unstable();
        for id in flows.into_iter().take(most) {
            self.flows.entry(id).and_modify(|f| f.passing = true);
            self.commands.push(Command::Flow(id, FlowCommand::Pass));
        }
    }

    /// A standing flow, for the process that serves now.
    pub fn carry_flow(&self, id: FlowId) -> Option<CarriedFlow> {
        let flow = self.flows.get(&id)?;
        let Stage::Standing(target) = &flow.stage else { return None };
        let request = &self.balancer.ledger.conns.get(&id)?.request;
        let text = |key: &Option<Key>| key.as_ref().map(|k| k.0.to_string());
        Some(CarriedFlow {
            class: flow.class.and_then(|c| self.classes.name(c)).unwrap_or_default().to_owned(),
            target: target.0.to_string(),
            client: text(&request.client),
            group: text(&request.group),
            load: request.load,
            sent_away: request.sent_away,
            led_elsewhere: flow.led_elsewhere,
        })
    }

    /// Takes a flow that stood at the process before.
    pub fn adopt(&mut self, now: Millis, carried: CarriedFlow) -> FlowId {
        let id = RequestId(self.next);
        self.next += 1;
        let key = |text: Option<String>| text.map(|t| Key(t.into()));
        let target = ServerId(carried.target.into());
        let request = Request {
            id,
            class: self.classes.position(&carried.class),
            client: key(carried.client),
            group: key(carried.group),
            deadline: now,
            spent: 0.0,
            load: carried.load.filter(|load| load.is_finite() && *load > 0.0),
            mid_flow: false,
            returned: false,
            sent_away: carried.sent_away,
        };
        let flow = Flow {
            stage: Stage::Standing(target.clone()),
            class: request.class,
            attempts: 1,
            answered: true,
            holder_only: false,
            led_elsewhere: carried.led_elsewhere,
            moving: false,
            passing: false,
            // What is passed does not name it.
            member: None,
            stood: false,
        };
        self.flows.insert(id, flow);
        self.targets.entry(target.clone()).or_default().standing += 1;
        self.events.push_back(Event::Open { request, server: target });
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

    /// Whether there is no flow left.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// What the module has learned, for the process that is to serve next.
    pub fn carry(&self, now: Millis) -> Vec<Carried> {
        self.balancer.carry(now)
    }

    /// How long from now no new connection may go to a cold streamer.
    pub fn cold_in(&self, now: Millis) -> Millis {
        self.balancer.next_cold - now
    }

    /// Takes what the process before has learned, after its list.
    pub fn carried(&mut self, now: Millis, piece: Carried) {
        self.balancer.carried(now, piece);
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
        let told = |f: &Flow| matches!(f.stage, Stage::Standing(_)) && !f.moving;
        // Where another process serves they pass to that one.
        let stays = |f: &Flow| f.led_elsewhere && (self.passes || self.standby.is_none());
        let flows = self.flows.iter().filter(|(_, f)| told(f) && !stays(f));
        let mut flows: Vec<FlowId> = flows.map(|(id, _)| *id).collect();
        flows.sort_unstable();
        flows.truncate(moves_now(now - since, flows.len()));
        flows.into_iter().for_each(|id| self.tell_to_move(id));
        self.commands.push(Command::Timer { after: MOVE_STEP, token: EMPTY });
    }

    fn tell_to_move(&mut self, id: FlowId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        // Asked for twice while the streamer's last message is awaited, it is still one move.
        if matches!(flow.stage, Stage::Standing(_)) && !std::mem::replace(&mut flow.moving, true) {
            debug!("flow {}: told to move", id.0);
            self.counters.moves += 1;
            self.commands.push(Command::Flow(id, FlowCommand::Move));
        }
    }

    /// Takes what a store has kept of clients and groups, before the first list.
    pub fn restore(&mut self, now: Millis, records: impl Iterator<Item = Record>) -> Restored {
        self.balancer.memory.restore(now, records)
    }

    /// From now on keys that are let go are remembered for [`Relay::changes`], and all entries count as changed.
    pub fn keep(&mut self) {
        self.balancer.memory.keep();
    }

    /// What has changed of clients and groups since the last call, so many entries at the most.
    pub fn changes(&mut self, now: Millis, most: usize) -> Changes {
        self.balancer.memory.changes(now, most)
    }

    /// Figures of the tables of clients and groups.
    pub fn affinity(&self) -> Figures {
        self.balancer.memory.figures()
    }

    /// Hands events to the module until none is left, and its actions on.
    fn settle(&mut self, now: Millis) {
        let mut actions = Actions::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
    }

    fn act(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send { request, server, until, begin_by } => {
                self.forward(request, server, (until, begin_by));
            }
            Action::Refuse { request, retry_after } => {
                if self.flows.get(&request).is_some_and(|f| f.attempts == 0) {
                    self.counted.refused(now);
                }
                self.answer(request, FixedResponse::Busy(retry_after));
                self.forget(request);
            }
            Action::Fail(request) => {
                self.answer(request, FixedResponse::Failed);
                self.forget(request);
            }
            Action::Move(request) => self.tell_to_move(request),
            Action::Timer { after, token } => self.commands.push(Command::Timer { after, token }),
            Action::Watch => self.commands.push(Command::Watch),
            Action::Tell { peer, message } => self.commands.push(Command::Tell { peer, message }),
        }
    }

    fn forward(&mut self, id: FlowId, target: ServerId, (until, begin_by): (Millis, Millis)) {
        let was_ready = self.is_ready(&target);
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if flow.stage != Stage::Waiting || flow.answered || flow.attempts >= self.max_attempts {
            // The rules leave no room for it, whoever asks.
            error!("flow {}: a forward to {} was not allowed", id.0, target.0);
            let attempt = AttemptId(flow.attempts);
            let (outcome, finished) = (Outcome::NotSent, flow.answered);
            self.events.push_back(Event::Ended { request: id, attempt, server: target, outcome, finished });
            return;
        }
        let number = flow.attempts;
        flow.attempts += 1;
        flow.stage = Stage::Forwarding(target.clone());
        self.targets.entry(target.clone()).or_default().forwards += 1;
        let attempt = Attempt { number, target, was_ready, until, begin_by };
        self.commands.push(Command::Flow(id, FlowCommand::Forward(attempt)));
    }

    /// Gives a final answer, unless one was given.
    fn answer(&mut self, id: FlowId, response: FixedResponse) {
        if self.flows.get(&id).is_none_or(|f| f.answered) {
            return;
        }
        match response {
            FixedResponse::Busy(_) => self.counters.busy += 1,
            FixedResponse::Failed => self.counters.failed += 1,
        }
        self.commands.push(Command::Flow(id, FlowCommand::Answer(response)));
    }
}
