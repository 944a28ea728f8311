//! The rules as properties of whole relays: several of them with their balancers, endpoints and clients in virtual
//! time, over runs of events drawn from fixed seeds. Endpoints drain, go, crash and come back cold; relays are
//! killed and start anew, one or most of them; clients storm and leave in bursts; lists come late, whole, in changes or
//! not at all; a relay is short of descriptors for a while. Then all trouble ends, and the run has to come to rest.
//! Every test looks at one rule over the same runs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use crate::discovery::{EndpointList, ListError};
use crate::policy::api::*;
use crate::relay::{Command, ConnectionCommand, IncomingRequest, LocalReply, Relay};
use crate::tests::{START, endpoint, entry, settings};

const RUNS: u64 = 48;
/// Threads that play them.
const THREADS: usize = 3;
const RELAYS: usize = 4;
/// Large tiers, in which each relay meets a connection in seconds, how many runs of each, and new connections a second on all
/// relays: of what warm endpoints can take two fifths, at a hundred relays and more a fifth.
const LARGE: [(usize, u64, f64); 5] =
    [(20, 24, 40.0), (30, 24, 40.0), (32, 4, 40.0), (100, 12, 20.0), (312, 2, 20.0)];
/// The same at three fifths and two fifths, for the fall rule alone.
const FULLER: [(usize, u64, f64); 3] = [(20, 24, 60.0), (30, 24, 60.0), (100, 12, 40.0)];
const ENDPOINTS: usize = 8;
const CLASSES: [&str; 5] = ["safe", "all", "zone", "cell", "unsafe"];
/// Trouble and arrivals last for so long; then the clients leave.
const TROUBLE: Millis = 14_000.0;
const CALM: Millis = 12_000.0;
/// New connections a second on all relays, and how long they stand: half of what warm endpoints can take.
const RATE: f64 = 40.0;
const LIFE: Millis = 8_000.0;
/// New connections a second that a warm endpoint can take for good, by which the fall rule is measured.
const CAPACITY: f64 = 12.0;
const FALL: Millis = 1_000.0;
/// Slack for chance of the fall rule: of four relays in connections, of a large tier two roots of the budget and two connections.
const SLACK: f64 = 2.0;
const ROOTS: f64 = 2.0;
const CONNECTIONS: f64 = 2.0;
const RETRY_AFTER: Millis = 1_500.0;
const ANSWER_SLACK: Millis = 8.0;
const STOP_WITHIN: Millis = 1_000.0;
/// An endpoint's clients are told within this of the notice, and one that came to stand since within a step.
const TOLD_WITHIN: Millis = 1_300.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rule {
    /// One final answer, in time, and none after it.
    OneAnswer,
    /// One forward out, five at the most, none after the answer.
    OneAttempt,
    /// Nothing new to an endpoint a second after the news that it drains or has gone.
    Leaving,
    /// All relays together spare a cold endpoint.
    Cold,
    /// Clients are told to move before their endpoint leaves.
    Told,
    /// What is given up is answered in the same call, and a refusal says when to come back.
    GivenUp,
    /// Of a client that has left nothing is held, wherever its connection was.
    Left,
    /// Once there is room everything returns to rest, and new connections are served.
    Rest,
}

#[derive(Debug)]
enum Due {
    IncomingRequest,
    Arrive {
        at: usize,
        client: u32,
        returned: bool,
    },
    Stands(usize, RequestId, u32),
    Ends(usize, RequestId, u32, Outcome),
    /// The attempt has had its time.
    Late(usize, RequestId, u32),
    /// The client has had its time.
    Deadline(usize, RequestId),
    /// A standing connection ends.
    Close(usize, RequestId, Outcome),
    /// A client that waits gives up early.
    Leaves(usize, RequestId),
    Timer(usize, u64),
    List(usize, ListKind, Vec<EndpointEntry>),
    Tell(usize, u32, PeerMessage),
    Trouble,
    OverloadGossip(bool),
    Room(usize),
    /// An endpoint that drained or crashed has gone; whether its clients were to be told.
    Gone(usize, bool),
    Back(usize),
    /// A relay that was killed starts as a new process.
    Starts(usize),
    Tick,
}

impl Due {
    /// Whether it ends with this relay's process: its connections, its timers and the news that is on the way to it.
    fn ends_with(&self, relay: usize) -> bool {
        match self {
            Due::Stands(at, ..)
            | Due::Ends(at, ..)
            | Due::Late(at, ..)
            | Due::Deadline(at, _)
            | Due::Close(at, ..)
            | Due::Leaves(at, _)
            | Due::Timer(at, _)
            | Due::List(at, ..)
            | Due::Tell(at, ..)
            | Due::Room(at) => *at == relay,
            _ => false,
        }
    }
}

/// A connection as an independent observer keeps it.
struct Book {
    client: u32,
    deadline: Millis,
    attempts: u32,
    /// The attempt that is out: its endpoint and when it was sent.
    out: Option<(EndpointId, Millis)>,
    /// Where it stands, and since when.
    stands: Option<(EndpointId, Millis)>,
    answered: bool,
    left: bool,
    moved: bool,
    drained_by_endpoint: bool,
    class: usize,
}

struct Station {
    relay: Relay,
    /// Whether its process runs.
    up: bool,
    books: BTreeMap<RequestId, Book>,
    /// The list as it was last told.
    held: BTreeMap<EndpointId, EndpointEntry>,
    /// Endpoints that it was told drain or have gone, since when; starts that it was told of.
    leaving: BTreeMap<EndpointId, Millis>,
    starts: BTreeMap<EndpointId, Millis>,
    /// Timers that are out, by token.
    armed: HashMap<u64, u32>,
    /// When its latest news of the list arrives: they keep their order.
    news_at: Millis,
    short: bool,
}

struct Run {
    /// New connections a second.
    rate: f64,
    dice: StdRng,
    now: Millis,
    due: BTreeMap<(u64, u64), Due>,
    number: u64,
    stations: Vec<Station>,
    endpoints: Vec<(EndpointState, Millis)>,
    cold_sends: Vec<Vec<Millis>>,
    storm: bool,
    next_client: u32,
    broken: Vec<(Rule, String)>,
    /// How often each rule could have been broken.
    occasions: BTreeMap<Rule, u64>,
    /// Clients that left while their connection was in the queue, was held otherwise, and was being set up.
    left: [u64; 3],
    log: DefaultHasher,
}

/// A new process of a relay, as its settings have it.
fn process(relays: usize, local_index: usize, seed: u64, now: Millis) -> Relay {
    let settings = Settings {
        relay_count: relays as u32,
        local_index: local_index as u32,
        peer_messages: true,
        max_attempts: 5,
        connect_timeout: 200.0,
        resolution: 2.0,
        max_retry_after: Some(RETRY_AFTER),
        cold_capacity_fraction: 0.31,
        warm_up_time: 8_600.0,
        overload_multiple: 3.0,
        ..settings()
    };
    Relay::new(settings, CLASSES.map(str::to_owned).to_vec(), seed, now)
}

impl Run {
    fn new(seed: u64, relays: usize, rate: f64) -> Run {
        let mut run = Run {
            rate,
            dice: StdRng::seed_from_u64(seed),
            now: START,
            due: BTreeMap::new(),
            number: 0,
            stations: Vec::new(),
            endpoints: vec![(EndpointState::Ready, 0.0); ENDPOINTS],
            cold_sends: vec![Vec::new(); ENDPOINTS],
            storm: false,
            next_client: 0,
            broken: Vec::new(),
            occasions: BTreeMap::new(),
            left: [0; 3],
            log: DefaultHasher::new(),
        };
        for local_index in 0..relays {
            run.stations.push(Station {
                relay: process(relays, local_index, seed * 64 + local_index as u64, START),
                up: true,
                books: BTreeMap::new(),
                held: BTreeMap::new(),
                leaving: BTreeMap::new(),
                starts: BTreeMap::new(),
                armed: HashMap::new(),
                news_at: START,
                short: false,
            });
            let all = run.list();
            run.hear(local_index, ListKind::Cached, all);
        }
        run.after(0.0, Due::IncomingRequest);
        run.after(1_500.0, Due::Trouble);
        run.after(1_000.0, Due::Tick);
        run
    }

    fn list(&self) -> Vec<EndpointEntry> {
        let listed =
            self.endpoints.iter().enumerate().filter(|(_, (state, _))| *state != EndpointState::Removed);
        listed.map(|(i, (state, started))| entry(i, *state, *started)).collect()
    }

    fn after(&mut self, span: Millis, due: Due) {
        self.number += 1;
        // Never early: a timer comes at its time or after it.
        self.due.insert((((self.now + span) * 1000.0).ceil() as u64, self.number), due);
    }

    fn break_rule(&mut self, rule: Rule, what: String) {
        self.broken.push((rule, format!("{:.0} ms: {what}", self.now - START)));
    }

    fn look(&mut self, rule: Rule, holds: bool, what: impl FnOnce() -> String) {
        *self.occasions.entry(rule).or_default() += 1;
        if !holds {
            self.break_rule(rule, what());
        }
    }

    fn span(&mut self, least: Millis, most: Millis) -> Millis {
        self.dice.random_range(least..most)
    }

    fn exponential(&mut self, mean: Millis) -> Millis {
        -mean * self.dice.random_range(1e-9..1.0_f64).ln()
    }

    /// Calls a relay, carries out what it commands and sees that no connection is forgotten.
    fn call(&mut self, at: usize, call: impl FnOnce(&mut Relay, Millis)) {
        call(&mut self.stations[at].relay, self.now);
        for command in self.stations[at].relay.take_commands() {
            // Of pieces the round is random by the seed alone; all else must repeat exactly as well.
            format!("{at} {command:?}").hash(&mut self.log);
            self.obey(at, command);
        }
        let station = &self.stations[at];
        let waits = |b: &Book| !b.answered && !b.left && b.out.is_none() && b.stands.is_none();
        let armed = |id: &RequestId| station.armed.get(&id.0).is_some_and(|n| *n > 0);
        let lost = station.books.iter().find(|(id, b)| waits(b) && !armed(id)).map(|(id, _)| *id);
        self.look(Rule::GivenUp, lost.is_none(), || format!("{lost:?} is neither answered nor waited for"));
    }

    fn obey(&mut self, at: usize, command: Command) {
        match command {
            Command::Connection(id, ConnectionCommand::StartAttempt(attempt)) => {
                self.attempt(at, id, attempt.number, attempt.endpoint, attempt.until);
            }
            Command::Connection(id, ConnectionCommand::Reply(response)) => self.answer(at, id, response),
            Command::Connection(id, ConnectionCommand::Migrate) => {
                let Some(book) = self.stations[at].books.get_mut(&id) else { return };
                let stands = book.stands.is_some();
                let client = book.client;
                book.moved = true;
                self.look(Rule::OneAnswer, stands, || format!("{id:?} is told to move and does not stand"));
                let pause = self.span(20.0, 200.0);
                self.after(pause, Due::Close(at, id, Outcome::Cancelled));
                let to = self.dice.random_range(0..self.stations.len());
                self.after(pause + 100.0, Due::Arrive { at: to, client, returned: true });
            }
            Command::SetTimer { after, token } => {
                *self.stations[at].armed.entry(token).or_default() += 1;
                self.after(after.max(0.0), Due::Timer(at, token));
            }
            // No process hands over in these runs.
            Command::Subscribe | Command::Connection(_, ConnectionCommand::Transfer) => {}
            Command::SendToPeer { peer, message } => {
                let delay = self.span(1.0, 30.0);
                if self.dice.random_bool(0.9) {
                    self.after(delay, Due::Tell(peer as usize, at as u32, message));
                }
            }
        }
    }

    fn attempt(&mut self, at: usize, id: RequestId, attempt: u32, endpoint: EndpointId, until: Millis) {
        let now = self.now;
        let i: usize = endpoint.0[1..].parse().expect("a streamer of these runs");
        let station = &mut self.stations[at];
        let Some(book) = station.books.get_mut(&id) else {
            return self.break_rule(Rule::OneAttempt, format!("{id:?} is forwarded after its end"));
        };
        let free = book.out.is_none() && book.stands.is_none() && !book.answered && !book.left;
        let fits = free && book.attempts == attempt && attempt < 5 && until <= book.deadline;
        book.attempts += 1;
        book.out = Some((endpoint.clone(), now));
        let told = station.leaving.get(&endpoint).copied();
        let knows = station.starts.get(&endpoint) == Some(&self.endpoints[i].1);
        let short = station.short;
        self.look(Rule::OneAttempt, fits, || format!("{id:?} forwarded as attempt {attempt}, until {until}"));
        self.look(Rule::Leaving, told.is_none_or(|since| now - since <= STOP_WITHIN), || {
            format!("{id:?} forwarded to {endpoint:?}, told {told:?} that it leaves")
        });
        let (state, started) = self.endpoints[i];
        let age = now - started;
        if started > 0.0 && age < 8_600.0 && knows && state == EndpointState::Ready {
            self.cold_sends[i].push(now);
            let lately = self.cold_sends[i].iter().filter(|sent| now - **sent < FALL).count() as f64;
            let warmth = 0.31 + 0.69 * age / 8_600.0;
            let most = 3.0 * warmth * CAPACITY * FALL / 1000.0;
            // Hundreds of relays send each by itself: the count is as uneven as that of any independent arrivals.
            let chance = ROOTS * most.sqrt() + CONNECTIONS;
            let most = most + if self.stations.len() > RELAYS { chance } else { SLACK };
            self.look(Rule::Cold, lately <= most, || {
                format!("{lately} to {endpoint:?}, {age:.0} ms old, of {most}")
            });
        }
        self.after((until - now).max(0.0), Due::Late(at, id, attempt));
        if short {
            return self.after(0.0, Due::Ends(at, id, attempt, Outcome::NotSent));
        }
        let kind = self.dice.random_range(0..100);
        let calm = now > START + TROUBLE;
        let took = if calm { self.span(5.0, 40.0) } else { self.span(5.0, 400.0) };
        let ends = |outcome| Due::Ends(at, id, attempt, outcome);
        match (state, kind) {
            (EndpointState::Removed, 0..70) => self.after(1.0, ends(Outcome::ConnectFailed)),
            (EndpointState::Removed, _) => self.after(200.0, ends(Outcome::ConnectFailed)),
            (EndpointState::Draining, 0..60) => self.after(2.0, ends(Outcome::Rejected)),
            _ if calm => self.after(took, Due::Stands(at, id, attempt)),
            (_, 0..6) => self.after(took, ends(Outcome::Error)),
            (_, 6..12) => self.after(2.0, ends(Outcome::Rejected)),
            (_, 12..16) => self.after(1.0, ends(Outcome::ConnectFailed)),
            (_, 16..20) => self.after(took, ends(Outcome::Reset)),
            // Silence: its time runs out.
            (_, 20..26) => {}
            _ => self.after(took, Due::Stands(at, id, attempt)),
        }
    }

    fn answer(&mut self, at: usize, id: RequestId, response: LocalReply) {
        let now = self.now;
        let Some(book) = self.stations[at].books.get_mut(&id) else {
            return self.break_rule(Rule::OneAnswer, format!("{id:?} is answered after its end"));
        };
        let first = !book.answered && !book.left && book.stands.is_none() && book.out.is_none();
        let fits = first && now <= book.deadline + ANSWER_SLACK;
        book.answered = true;
        let (client, class) = (book.client, book.class);
        self.look(Rule::OneAnswer, fits, || {
            format!("{id:?} is answered {response:?} again, late or while out")
        });
        if let LocalReply::Rejected(after) = response {
            self.look(Rule::GivenUp, after == Some(RETRY_AFTER), || format!("{id:?} refused: {after:?}"));
        }
        if class < 2 || matches!(response, LocalReply::Rejected(_)) {
            let pause = RETRY_AFTER + self.span(0.0, 200.0);
            let to = self.dice.random_range(0..self.stations.len());
            self.after(pause, Due::Arrive { at: to, client, returned: true });
        }
    }

    fn arrive(&mut self, at: usize, client: u32, returned: bool) {
        let at = self.running(at);
        let class = [0, 0, 0, 0, 1, 2, 3, 4][self.dice.random_range(0..8)];
        let deadline = self.now + self.span(300.0, 3_000.0);
        let drained_by_endpoint = self.dice.random_bool(0.5);
        let key = |name: &str, n: u32| Some(Key(format!("{name}{n}").into()));
        let arrival = IncomingRequest {
            class: CLASSES[class].into(),
            client: key("client", client),
            // Some groups are far larger than others.
            group: key("group", (client % 12) * (client % 5)),
            deadline,
            returned,
            drained_by_endpoint,
            ..IncomingRequest::default()
        };
        let id = self.stations[at].relay.accept_request(self.now, arrival);
        let book = Book {
            client,
            deadline,
            attempts: 0,
            out: None,
            stands: None,
            answered: false,
            left: false,
            moved: false,
            drained_by_endpoint,
            class,
        };
        self.stations[at].books.insert(id, book);
        self.after(deadline + ANSWER_SLACK - self.now, Due::Deadline(at, id));
        if self.dice.random_bool(0.03) {
            let soon = self.span(1.0, 300.0);
            self.after(soon, Due::Leaves(at, id));
        }
        self.call(at, |_, _| {});
    }

    /// Whether this attempt of a connection is still out; then it no longer is.
    fn take_out(&mut self, at: usize, id: RequestId, attempt: u32) -> Option<(EndpointId, Millis)> {
        let book = self.stations[at].books.get_mut(&id)?;
        book.out.take_if(|_| book.attempts == attempt + 1)
    }

    fn end_attempt(&mut self, at: usize, id: RequestId, attempt: u32, outcome: Outcome) {
        if self.take_out(at, id, attempt).is_none() {
            return;
        }
        self.call(at, |relay, now| relay.attempt_ended(now, id, outcome));
        let book = &self.stations[at].books[&id];
        // A repeat might act twice: an unsafe connection that may have run is given up as well.
        let given_up = attempt + 1 >= 5 || (CLASSES[book.class] == "unsafe" && outcome.may_have_run());
        let answered = book.answered;
        if given_up {
            self.look(Rule::GivenUp, answered, || format!("{id:?} is given up and not answered at once"));
        }
    }

    /// Tells the relays of one endpoint's state, each after a while of its own, in order.
    fn tell(&mut self, i: usize) {
        let (state, started) = self.endpoints[i];
        for at in 0..self.stations.len() {
            self.news(at, ListKind::Delta, vec![entry(i, state, started)]);
        }
    }

    fn news(&mut self, at: usize, kind: ListKind, entries: Vec<EndpointEntry>) {
        let delay = self.span(0.0, 400.0);
        let when = (self.now + delay).max(self.stations[at].news_at + 0.01);
        self.stations[at].news_at = when;
        self.after(when - self.now, Due::List(at, kind, entries));
    }

    fn hear(&mut self, at: usize, kind: ListKind, entries: Vec<EndpointEntry>) {
        let (now, station) = (self.now, &mut self.stations[at]);
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            station.held.clear();
        }
        station.held.extend(entries.iter().map(|e| (e.id.clone(), e.clone())));
        if kind == ListKind::Full {
            let named: BTreeSet<_> = entries.iter().map(|e| e.id.clone()).collect();
            for id in (0..ENDPOINTS).map(endpoint).filter(|id| !named.contains(id)) {
                station.leaving.entry(id).or_insert(now);
            }
        }
        for e in &entries {
            if e.state == EndpointState::Ready {
                station.leaving.remove(&e.id);
                station.starts.insert(e.id.clone(), e.started);
            } else {
                station.leaving.entry(e.id.clone()).or_insert(now);
            }
        }
        self.call(at, |relay, now| relay.apply_list(now, kind, entries));
    }

    /// Ends standing connections of an endpoint, a share of them, and their clients come again.
    fn cut(&mut self, i: usize, share: f64) {
        for at in 0..self.stations.len() {
            let there = |b: &Book| b.stands.as_ref().is_some_and(|(id, _)| *id == endpoint(i));
            let books = self.stations[at].books.iter().filter(|(_, b)| there(b));
            for id in books.map(|(id, _)| *id).collect::<Vec<_>>() {
                if self.dice.random_bool(share) {
                    let client = self.stations[at].books[&id].client;
                    self.close(at, id, Outcome::Reset);
                    let (to, pause) =
                        (self.dice.random_range(0..self.stations.len()), self.span(50.0, 400.0));
                    self.after(pause, Due::Arrive { at: to, client, returned: true });
                }
            }
        }
    }

    /// A relay's process is killed, with all that it knows. Its clients come again, and find others.
    fn kill(&mut self, at: usize) {
        self.due.retain(|_, due| !due.ends_with(at));
        let station = &mut self.stations[at];
        (station.up, station.short) = (false, false);
        station.armed.clear();
        for book in
            std::mem::take(&mut station.books).into_values().filter(|b| !b.answered && !b.left && !b.moved)
        {
            let (to, pause) = (self.dice.random_range(0..self.stations.len()), self.span(50.0, 400.0));
            let returned = book.stands.is_some();
            self.after(pause, Due::Arrive { at: to, client: book.client, returned });
        }
    }

    /// It starts again with a list as last held, its own or a newer one, and is told the whole list a moment later.
    fn start(&mut self, at: usize) {
        let (seed, relays) = (self.dice.random(), self.stations.len());
        let own = self.dice.random_bool(0.5);
        let whole = self.list();
        let station = &mut self.stations[at];
        (station.relay, station.up) = (process(relays, at, seed, self.now), true);
        station.leaving.clear();
        station.starts.clear();
        let known = if own { station.held.values().cloned().collect() } else { whole.clone() };
        self.hear(at, ListKind::Cached, known);
        self.news(at, ListKind::Full, whole);
    }

    /// Relays that run, the others' clients come to them.
    fn running(&mut self, at: usize) -> usize {
        let up: Vec<_> = (0..self.stations.len()).filter(|at| self.stations[*at].up).collect();
        if self.stations[at].up { at } else { up[self.dice.random_range(0..up.len())] }
    }

    fn close(&mut self, at: usize, id: RequestId, outcome: Outcome) {
        let stood = self.stations[at].books.get_mut(&id).and_then(|b| b.stands.take());
        if stood.is_some() {
            self.stations[at].books.remove(&id);
            self.call(at, |relay, now| relay.attempt_ended(now, id, outcome));
        }
    }

    fn trouble(&mut self) {
        let i = self.dice.random_range(0..ENDPOINTS);
        let at = self.dice.random_range(0..self.stations.len());
        let away = self.endpoints.iter().filter(|(state, _)| *state != EndpointState::Ready).count();
        let up = self.endpoints[i].0 == EndpointState::Ready && away < ENDPOINTS / 2;
        match self.dice.random_range(0..11) {
            0..3 if up => {
                self.endpoints[i].0 = EndpointState::Draining;
                self.tell(i);
                let leaves = self.span(2_500.0, 4_000.0);
                self.after(leaves, Due::Gone(i, true));
            }
            3 if up => self.after(0.0, Due::Gone(i, false)),
            4 if up => {
                // It restarts at once.
                self.after(0.0, Due::Gone(i, false));
                self.after(1.0, Due::Back(i));
            }
            5 => {
                self.after(0.0, Due::OverloadGossip(true));
                self.after(1_500.0, Due::OverloadGossip(false));
            }
            6 => {
                self.stations[at].short = true;
                let room = self.span(500.0, 2_500.0);
                self.after(room, Due::Room(at));
            }
            7 => {
                self.news(at, ListKind::Failed, Vec::new());
                // The whole list follows a failed call. What a relay is told is as old as its way takes.
                let whole = self.list();
                self.news(at, ListKind::Full, whole);
            }
            8 => self.cut(i, 0.5),
            9 => {
                // One, a tenth, or seven in ten at once; some always run.
                let share = [0.0, 0.1, 0.7][self.dice.random_range(0..3)];
                let count = ((self.stations.len() as f64 * share) as usize).max(1);
                let mut up: Vec<_> = (0..self.stations.len()).filter(|at| self.stations[*at].up).collect();
                up.shuffle(&mut self.dice);
                let most = up.len().saturating_sub(self.stations.len() / 4).min(count);
                for at in up.drain(..most) {
                    self.kill(at);
                    let away = self.span(100.0, 2_000.0);
                    self.after(away, Due::Starts(at));
                }
            }
            10 => {
                // All clients that wait leave in one moment, whatever their connections wait for.
                let connections =
                    |(at, s): (usize, &Station)| s.books.keys().map(move |id| (at, *id)).collect::<Vec<_>>();
                let all: Vec<_> = self.stations.iter().enumerate().flat_map(connections).collect();
                all.into_iter().for_each(|(at, id)| self.leave(at, id));
            }
            _ => {}
        }
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::IncomingRequest if self.now < START + TROUBLE => {
                let (at, client) = (self.dice.random_range(0..self.stations.len()), self.next_client);
                self.next_client += 1;
                self.arrive(at, client, false);
                let rate = if self.storm { 5.0 * self.rate } else { self.rate };
                let pause = self.exponential(1000.0 / rate);
                self.after(pause, Due::IncomingRequest);
            }
            Due::Arrive { at, client, returned } if self.now < START + TROUBLE => {
                self.arrive(at, client, returned);
            }
            Due::Stands(at, id, attempt) => {
                let Some((endpoint, sent)) = self.take_out(at, id, attempt) else { return };
                let now = self.now;
                let i: usize = endpoint.0[1..].parse().expect("a streamer of these runs");
                let Some(book) = self.stations[at].books.get_mut(&id) else { return };
                if self.endpoints[i].0 == EndpointState::Removed {
                    book.out = Some((endpoint, sent));
                    return self.end_attempt(at, id, attempt, Outcome::Reset);
                }
                book.stands = Some((endpoint, now));
                self.call(at, |relay, now| relay.connection_established(now, id, now - sent));
                let life = self.exponential(LIFE);
                let outcome = if self.dice.random_bool(0.5) { Outcome::Ok } else { Outcome::Cancelled };
                self.after(life, Due::Close(at, id, outcome));
            }
            Due::Ends(at, id, attempt, outcome) => self.end_attempt(at, id, attempt, outcome),
            Due::Late(at, id, attempt) => self.end_attempt(at, id, attempt, Outcome::TimedOut),
            Due::Deadline(at, id) => {
                let Some(book) = self.stations[at].books.get(&id) else { return };
                let answered = book.answered || book.left || book.stands.is_some();
                self.look(Rule::OneAnswer, answered, || format!("{id:?} has no answer in time"));
                if self.stations[at].books[&id].stands.is_none() {
                    self.stations[at].books.remove(&id);
                }
            }
            Due::Close(at, id, outcome) => self.close(at, id, outcome),
            Due::Leaves(at, id) => self.leave(at, id),
            Due::Timer(at, token) => {
                self.stations[at].armed.entry(token).and_modify(|n| *n -= 1);
                self.call(at, |relay, now| relay.timer_fired(now, token));
            }
            Due::List(at, kind, entries) if self.stations[at].up => self.hear(at, kind, entries),
            Due::Tell(at, from, message) if self.stations[at].up => {
                self.call(at, |relay, now| relay.receive_peer_message(now, from, message));
            }
            Due::Trouble if self.now < START + TROUBLE - 4_500.0 => {
                self.trouble();
                let pause = self.span(100.0, 900.0);
                self.after(pause, Due::Trouble);
            }
            Due::OverloadGossip(on) => self.storm = on,
            Due::Room(at) => self.stations[at].short = false,
            Due::Gone(i, told) => {
                if told {
                    self.look_at_leaving(i);
                }
                self.endpoints[i].0 = EndpointState::Removed;
                self.tell(i);
                self.cut(i, 1.0);
                let back = self.span(500.0, 3_000.0);
                self.after(back, Due::Back(i));
            }
            Due::Back(i) if self.endpoints[i].0 != EndpointState::Ready => {
                self.endpoints[i] = (EndpointState::Ready, self.now);
                self.cold_sends[i].clear();
                self.tell(i);
            }
            Due::Starts(at) => self.start(at),
            Due::Tick => {
                for at in (0..self.stations.len()).filter(|at| self.stations[*at].up).collect::<Vec<_>>() {
                    self.call(at, |relay, now| relay.tick(now));
                }
                self.after(1_000.0, Due::Tick);
            }
            _ => {}
        }
    }

    /// A client leaves, unless it is answered: then nothing is held of it, and all else is held as before.
    fn leave(&mut self, at: usize, id: RequestId) {
        let station = &mut self.stations[at];
        let Some(book) = station.books.get_mut(&id) else { return };
        if book.answered || book.left || book.stands.is_some() {
            return;
        }
        let queued = station.relay.load_balancer.queue.contains(&id);
        let place = if queued { 0 } else { 1 + usize::from(book.out.is_some()) };
        (book.left, book.out) = (true, None);
        self.left[place] += 1;
        self.call(at, |relay, now| relay.client_gone(now, id));
        let Station { relay, books, .. } = &self.stations[at];
        let open = || books.iter().filter(|(_, b)| !b.answered && !b.left);
        let out = open().filter(|(_, b)| b.out.is_some()).count();
        let held = open().filter(|(_, b)| b.out.is_some() || b.stands.is_some()).count();
        let (ledger, queue) = (&relay.load_balancer.ledger, &relay.load_balancer.queue);
        let alike = ledger.conns.keys().eq(open().map(|(id, _)| id))
            && queue.iter().all(|id| ledger.conns.contains_key(id))
            && ledger.trying as usize == out
            && (ledger.total - held as f64).abs() < 1e-6
            && ledger.endpoints.values().map(|s| s.conns.len()).sum::<usize>() == held;
        let (conns, trying, all) = (ledger.conns.len(), ledger.trying, open().count());
        self.look(Rule::Left, alike, || {
            format!("after {id:?} left {conns} flows are held, {trying} out, and not {all} with {out} out")
        });
    }

    /// An endpoint that drained leaves now: those of its clients that it does not send away itself were told.
    fn look_at_leaving(&mut self, i: usize) {
        let mut all = Vec::new();
        for (at, station) in self.stations.iter().enumerate() {
            let told = station.leaving.get(&endpoint(i)).is_some_and(|since| self.now - since > TOLD_WITHIN);
            for (id, book) in &station.books {
                let there =
                    |(id, since): &(EndpointId, Millis)| *id == endpoint(i) && self.now - since > TOLD_WITHIN;
                if told && !book.drained_by_endpoint && book.stands.as_ref().is_some_and(there) {
                    all.push((at, *id, book.moved));
                }
            }
            if told {
                all.push((at, RequestId(u64::MAX), true));
            }
        }
        for (at, id, moved) in all {
            self.look(Rule::Told, moved, || format!("{id:?} at relay {at} was not told before s{i} left"));
        }
    }

    fn until(&mut self, end: Millis) {
        while let Some(next) = self.due.first_entry().filter(|next| next.key().0 as f64 / 1000.0 <= end) {
            let ((at, _), due) = next.remove_entry();
            self.now = at as f64 / 1000.0;
            self.step(due);
        }
        self.now = end;
    }

    /// All trouble has ended and no client is left: nothing is counted any more, and new connections are served.
    fn rest(&mut self) {
        self.until(START + TROUBLE + CALM);
        for at in 0..self.stations.len() {
            let stand = self.stations[at].books.iter().filter(|(_, b)| b.stands.is_some());
            for id in stand.map(|(id, _)| *id).collect::<Vec<_>>() {
                self.close(at, id, Outcome::Ok);
            }
            let station = &self.stations[at];
            let (waiting, standing) = (station.books.len(), station.relay.established_connections());
            let left = station.relay.load_balancer.at_rest();
            self.look(Rule::Rest, waiting == 0 && standing == 0 && left, || {
                format!("relay {at}: {waiting} flows wait, {standing} stand; at rest: {left}")
            });
        }
        for at in 0..self.stations.len() {
            for client in 0..8 {
                let before = self.stations[at].relay.counters().established;
                self.arrive(at, 1_000_000 + client, false);
                let id = *self.stations[at].books.last_key_value().expect("a flow that has arrived").0;
                self.until(self.now + 300.0);
                let served = self.stations[at].relay.counters().established - before;
                let left = self.stations[at].books.get(&id).is_some_and(|b| b.left);
                self.look(Rule::Rest, served == 1 || left, || format!("relay {at} does not serve {id:?}"));
                self.close(at, id, Outcome::Ok);
            }
        }
    }
}

struct Verdict {
    seed: u64,
    relays: usize,
    rate: f64,
    broken: Vec<(Rule, String)>,
    occasions: BTreeMap<Rule, u64>,
    left: [u64; 3],
    hash: u64,
}

fn play(seed: u64, relays: usize, rate: f64) -> Verdict {
    let mut run = Run::new(seed, relays, rate);
    run.rest();
    let (broken, occasions, left) = (run.broken, run.occasions, run.left);
    Verdict { seed, relays, rate, broken, occasions, left, hash: run.log.finish() }
}

/// All runs, played once for all tests.
fn runs() -> &'static [Verdict] {
    static RUNS_PLAYED: OnceLock<Vec<Verdict>> = OnceLock::new();
    RUNS_PLAYED.get_or_init(|| {
        let few = (0..RUNS).map(|seed| (seed, RELAYS, RATE));
        play_all(few.chain(LARGE.into_iter().flat_map(seeded)).collect())
    })
}

/// The seeds of so many runs of a large tier, which come after those of the small one.
fn seeded((relays, runs, rate): (usize, u64, f64)) -> impl Iterator<Item = (u64, usize, f64)> {
    (RUNS..RUNS + runs).map(move |seed| (seed, relays, rate))
}

/// Plays runs by a few threads.
fn play_all(all: Vec<(u64, usize, f64)>) -> Vec<Verdict> {
    let next = AtomicUsize::new(0);
    // Each takes the next that nobody has; the order of the verdicts is that of the seeds again.
    let work = || {
        let mut played = Vec::new();
        while let Some((seed, relays, rate)) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
            played.push(play(*seed, *relays, *rate));
        }
        played
    };
    let mut played: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a run that ends")).collect()
    });
    played.sort_by_key(|run| (run.relays, run.seed));
    played
}

/// The rule held in all runs, and could have been broken at least so often.
fn holds(rule: Rule, least: u64) {
    holds_in(runs(), rule, least);
}

fn holds_in(runs: &[Verdict], rule: Rule, least: u64) {
    for run in runs {
        let first = run.broken.iter().find(|(r, _)| *r == rule);
        let count = run.broken.iter().filter(|(r, _)| *r == rule).count();
        let (seed, relays) = (run.seed, run.relays);
        assert!(first.is_none(), "seed {seed}, {relays} relays: broken {count} times, first {first:?}");
    }
    let occasions: u64 = runs.iter().filter_map(|run| run.occasions.get(&rule)).sum();
    assert!(occasions >= least, "{rule:?} was looked at {occasions} times only");
}

#[test]
fn a_flow_gets_one_final_answer_in_time_and_none_after_it() {
    holds(Rule::OneAnswer, 10_000);
}

#[test]
fn one_forward_is_out_at_a_time_and_five_are_the_most() {
    holds(Rule::OneAttempt, 10_000);
}

#[test]
fn nothing_new_goes_to_a_streamer_a_second_after_the_news_that_it_leaves() {
    holds(Rule::Leaving, 10_000);
}

#[test]
fn all_relays_together_spare_a_cold_streamer() {
    holds(Rule::Cold, 500);
}

/// The same where endpoints have twice and three times as much to do.
#[test]
fn all_relays_together_spare_a_cold_streamer_in_fuller_tiers() {
    let runs = play_all(FULLER.into_iter().flat_map(seeded).collect());
    holds_in(&runs, Rule::Cold, 500);
}

#[test]
fn clients_are_told_before_their_streamer_leaves() {
    holds(Rule::Told, 100);
}

#[test]
fn what_is_given_up_is_answered_in_the_same_call_and_a_refusal_says_when_to_come_back() {
    holds(Rule::GivenUp, 10_000);
}

#[test]
fn of_clients_that_leave_one_by_one_or_in_a_burst_nothing_is_held() {
    holds(Rule::Left, 1_000);
    let places = [0, 1, 2].map(|place| runs().iter().map(|run| run.left[place]).sum::<u64>());
    assert!(places.iter().all(|left| *left >= 50), "left in the queue, held otherwise and out: {places:?}");
}

#[test]
fn after_a_storm_of_faults_all_returns_to_rest_and_new_flows_are_served() {
    holds(Rule::Rest, 500);
}

// --- the list, taken whole or not at all ---

/// What an endpoint list would do next: its call, and where endpoints are.
fn held(group: &EndpointList) -> (String, Vec<Option<SocketAddr>>) {
    let (revision, members) = group.held();
    let members: Vec<_> = members.collect();
    (format!("{revision:?} {members:?}"), (0..9).map(|i| group.address(&endpoint(i))).collect())
}

fn body(revision: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

fn member(i: usize, phase: &str, more: &str) -> String {
    format!(r#"{{"id":"s{i}","host_port":"127.0.0.1:{}","phase":"{phase}"{more}}}"#, 8000 + i)
}

fn asked(group: &mut EndpointList, body: &str) -> Result<(ListKind, Vec<EndpointEntry>), ListError> {
    group.request();
    group.answer(body.as_bytes())
}

/// Answers that are wrong or end early anywhere: none of them changes anything, and the next good one is taken.
#[test]
fn a_list_is_taken_whole_or_not_at_all() {
    let mut dice = StdRng::seed_from_u64(1);
    let mut group = EndpointList::default();
    let all: Vec<_> = (0..6).map(|i| member(i, "Ready", r#","size":1.0,"up_since_ms":0"#)).collect();
    assert_eq!(asked(&mut group, &body(40, true, &all)).unwrap().0, ListKind::Full);
    let wrong = [
        r#","size":-1"#,
        r#","size":1e300"#,
        r#","size":"1""#,
        r#","up_since_ms":"1700000000000""#,
        r#","up_since_ms":-5"#,
        r#","up_since_ms":1e300"#,
        r#","phase":"ready""#,
        r#","host_port":"here""#,
        r#","id":7"#,
    ];
    for run in 0..400 {
        let before = held(&group);
        let mut members: Vec<_> = (0..6).map(|i| member(i, "Terminating", "")).collect();
        let refused = if run % 2 == 0 {
            members[dice.random_range(0..6)] = member(1, "Ready", wrong[run / 2 % wrong.len()]);
            asked(&mut group, &body(50, run % 4 == 0, &members))
        } else {
            let text = body(50, true, &members);
            let end = dice.random_range(0..text.len());
            asked(&mut group, &text[..end])
        };
        assert!(refused.is_err(), "run {run} was taken");
        assert_eq!(held(&group), before, "run {run} has left something behind");
    }
    let (kind, entries) = asked(&mut group, &body(41, false, &[member(7, "Ready", "")])).unwrap();
    assert_eq!((kind, entries.len(), group.address(&endpoint(7)).is_some()), (ListKind::Delta, 1, true));
}

/// The list as last held is gone on from with one call that is answered at once; one of a service that lies behind it
/// is not, and is asked for whole.
#[test]
fn the_first_call_goes_on_from_the_list_as_last_held_unless_the_service_lies_behind() {
    let known = serde_json::from_str(&body(50, true, &[member(1, "Ready", "")])).expect("a list");
    let start = || EndpointList::known(&known).expect("a list as last held").0;
    let mut group = start();
    assert!(group.request().contains("?after=50&wait_ms=0"));
    let (kind, entries) = group.answer(body(52, false, &[member(2, "Ready", "")]).as_bytes()).unwrap();
    assert_eq!((kind, entries.len()), (ListKind::Delta, 1));
    assert!(group.address(&endpoint(1)).is_some() && group.address(&endpoint(2)).is_some());
    let next = group.request();
    assert!(next.contains("?after=52&wait_ms=") && !next.contains("wait_ms=0"));

    let mut group = start();
    group.request();
    assert!(group.answer(body(3, false, &[]).as_bytes()).is_err());
    assert!(!group.request().contains("after"));
    assert!(group.answer(body(3, true, &[member(2, "Ready", "")]).as_bytes()).is_ok());
    assert!(group.address(&endpoint(1)).is_none());
}

/// What a watch that has fallen silent misses counts as told 6 s later: it has to be noticed and asked anew well before,
/// by hundreds of relays at different times, and with a call that is answered at once.
#[test]
fn a_watch_that_has_fallen_silent_is_asked_anew_well_before_what_it_misses_counts_as_told() {
    let mut latest: Millis = 0.0;
    let mut noticed = BTreeSet::new();
    for seed in 0..300 {
        let mut group = EndpointList::default();
        group.reseed(seed);
        assert!(asked(&mut group, &body(3, true, &[member(1, "Ready", "")])).is_ok());
        assert!(!group.request().contains("wait_ms=0"));
        let silent = group.timeout();
        assert!(group.broken(), "a watch that had been going on is broken");
        let again = silent + group.anew(300, true);
        assert!(group.request().ends_with("wait_ms=0") && group.timeout() <= 2_500.0);
        latest = latest.max(again);
        noticed.insert((again / 100.0) as u64);
        assert!(!group.broken(), "what had not begun to go on has not fallen silent");
    }
    assert!(latest <= 5_000.0, "{latest}: a second before it counts as told, and the grace after it");
    assert!(noticed.len() >= 20, "in step: {noticed:?}");
}

/// Changes to a list that is not held, and an answer of the place that discovery has moved from, were taken: the
/// versions of one service then stood for another's.
#[test]
fn changes_without_their_list_and_answers_of_the_old_place_are_refused() {
    let mut group = EndpointList::default();
    assert!(asked(&mut group, &body(3, false, &[member(1, "Ready", "")])).is_err());
    assert!(asked(&mut group, &body(90, true, &[member(1, "Ready", "")])).is_ok());
    group.request();
    group.moved();
    assert!(group.answer(body(91, true, &[]).as_bytes()).is_err());
    assert!(!group.request().contains("after"), "the new place is asked for its whole list");
    assert!(group.answer(body(5, true, &[member(2, "Ready", "")]).as_bytes()).is_ok());
    // Back in its versions: what was missed is not known, and the whole list is asked for.
    assert!(asked(&mut group, &body(4, false, &[member(2, "Ready", "")])).is_err());
    assert!(!group.request().contains("after"));
}

/// Every deploy left the addresses of endpoints that had gone.
#[test]
fn addresses_of_streamers_that_have_gone_are_let_go() {
    let mut group = EndpointList::default();
    asked(&mut group, &body(1, true, &[member(1, "Ready", ""), member(2, "Ready", "")])).unwrap();
    asked(&mut group, &body(2, false, &[member(1, "Gone", "")])).unwrap();
    assert!(group.address(&endpoint(1)).is_none() && group.address(&endpoint(2)).is_some());
    asked(&mut group, &body(3, true, &[member(3, "Ready", "")])).unwrap();
    assert!(group.address(&endpoint(2)).is_none() && group.address(&endpoint(3)).is_some());
}

#[test]
fn a_seed_is_played_alike_every_time() {
    for run in &runs()[..4] {
        assert_eq!(play(run.seed, run.relays, run.rate).hash, run.hash, "seed {}", run.seed);
    }
}
