//! A stand-in for discovery: one service for all relays that takes calls in turn.
//!
//! It owns the list, the queue of calls and an address for each relay, so that who asks is known; it is fed changes
//! of the list and faults; it answers over HTTP (hyper) and notes each call. Its queue is arithmetic: each call that
//! begins takes the stated cost after the one before, also one that fails because it has waited too long. A watch
//! that goes on costs nothing. A call for the whole list is no watch: the watch after it begins anew.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::log::{Call, Relay, What};
use crate::{Log, Millis, TestClusterError, listen, locked, reset, span};

/// A watch that comes this long after the answer before goes on.
const GOES_ON: Millis = 200.0;

/// How the service fares.
#[derive(Clone, Debug)]
pub struct Service {
    /// What a call that begins takes, in milliseconds.
    pub cost: Millis,
    /// What it takes more for each call that waits before it.
    pub slower: Millis,
    /// A call that would wait longer is failed after that long.
    pub patience: Millis,
    /// How old the list is that it tells of.
    pub behind: Millis,
    /// It is down: connections are reset.
    pub down: bool,
    /// It takes calls and never answers any.
    pub mute: bool,
    /// How answers are written.
    pub style: Style,
}

impl Default for Service {
    fn default() -> Self {
        let style = Style::default();
        Service { cost: 0.0, slower: 0.0, patience: 2000.0, behind: 0.0, down: false, mute: false, style }
    }
}

/// How an answer is written.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Style {
    /// With line ends and indents.
    pub indented: bool,
    /// In pieces of so many bytes, so many milliseconds after each other.
    pub pieces: Option<(usize, Millis)>,
    /// It stops after so many bytes of its body.
    pub stops: Option<Stop>,
}

/// How a body stops before its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stop {
    /// Nothing more comes, and the connection stays.
    Silent(usize),
    /// The connection ends.
    Closed(usize),
}

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The same at all relays.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// `Ready`, `Terminating` or `Gone`.
    pub phase: &'static str,
    /// Its size.
    pub size: f64,
    /// Unix time of its last start, 0 for long ago.
    pub up_since: u64,
}

#[derive(Default)]
struct List {
    revision: u64,
    /// Entries with the revision that brought them.
    members: BTreeMap<Arc<str>, (u64, Entry)>,
    /// When each revision came, the first first.
    times: Vec<Millis>,
    /// Addresses that a relay is told instead of the endpoint's.
    links: HashMap<(Relay, Arc<str>), SocketAddr>,
}

impl List {
    fn json(&self, relay: Option<Relay>, after: Option<u64>, upto: u64) -> Value {
        let newer =
            |(revision, _): &&(u64, Entry)| after.is_none_or(|after| *revision > after) && *revision <= upto;
        let told = |(_, e): &(u64, Entry)| {
            let link = relay.and_then(|r| self.links.get(&(r, e.id.clone())));
            json!({"id": &*e.id, "host_port": link.unwrap_or(&e.address), "locality": &*e.zone, "flavor": "m",
                   "cell": 0, "phase": e.phase, "size": e.size, "up_since_ms": e.up_since})
        };
        let entries = self.members.values().filter(newer);
        // What is gone is only told of as a change.
        let entries = entries.filter(|(_, e)| after.is_some() || e.phase != "Gone");
        let members: Vec<_> = entries.map(told).collect();
        json!({"revision": upto, "complete": after.is_none(), "members": members})
    }
}

#[derive(Default)]
struct State {
    service: Service,
    /// When the service has taken all calls that wait now.
    free_at: Millis,
    /// Calls that wait, by when they are taken.
    calls: u64,
    /// When each relay's last watch was answered.
    answered: HashMap<Relay, Millis>,
    list: List,
    /// Counts up when open watches are to fall silent, and when all calls end.
    silenced: u64,
    ended: u64,
    /// Relays whose watches are never answered.
    unheard: std::collections::HashSet<Relay>,
}

struct Inner {
    log: Log,
    state: Mutex<State>,
    /// Tells waiting calls to look again.
    changed: watch::Sender<u64>,
}

/// The service. It ends when it is dropped.
pub struct Discovery {
    inner: Arc<Inner>,
    addresses: Vec<SocketAddr>,
    tasks: Vec<AbortHandle>,
}

impl Discovery {
    /// A service with an address for each of so many relays.
    pub async fn start(relays: usize, service: Service, log: &Log) -> Result<Discovery, TestClusterError> {
        let state = Mutex::new(State { service, ..State::default() });
        let inner = Arc::new(Inner { log: log.clone(), state, changed: watch::channel(0).0 });
        let (mut addresses, mut tasks) = (Vec::new(), Vec::new());
        for relay in 0..relays {
            let (address, listener) = listen().await?;
            addresses.push(address);
            tasks.push(tokio::spawn(serve(inner.clone(), relay, listener)).abort_handle());
        }
        Ok(Discovery { inner, addresses, tasks })
    }

    /// Where a relay finds it.
    pub fn address(&self, relay: Relay) -> SocketAddr {
        self.addresses[relay]
    }

    /// How it fares from now on. When it goes down, all calls end; when it comes back, none wait.
    pub fn set(&self, change: impl FnOnce(&mut Service)) {
        let mut state = locked(&self.inner.state);
        let before = state.service.down;
        change(&mut state.service);
        if state.service.down && !before {
            state.ended += 1;
            state.answered.clear();
            state.free_at = 0.0;
        }
        drop(state);
        self.look();
    }

    /// Watches that are open now are never answered; those that begin later are.
    pub fn silence(&self) {
        locked(&self.inner.state).silenced += 1;
        self.look();
    }

    /// Whether this relay's watches are never answered from now on. Whole lists are.
    pub fn unheard(&self, relay: Relay, unheard: bool) {
        let mut state = locked(&self.inner.state);
        if unheard {
            state.unheard.insert(relay)
        } else {
            state.unheard.remove(&relay)
        };
        drop(state);
        self.look();
    }

    /// Changes or adds an entry.
    pub fn list(&self, entry: Entry) {
        let mut state = locked(&self.inner.state);
        let fresh = entry.up_since > 0;
        let (endpoint, zone, phase) = (entry.id.clone(), entry.zone.clone(), entry.phase);
        state.list.revision += 1;
        let revision = state.list.revision;
        state.list.members.insert(entry.id.clone(), (revision, entry));
        state.list.times.push(self.inner.log.now());
        let behind = state.service.behind;
        drop(state);
        self.inner.log.note(What::Listed { revision, endpoint, zone, phase, fresh });
        self.look();
        if behind > 0.0 {
            let inner = self.inner.clone();
            tokio::spawn(async move {
                sleep(span(behind + 1.0)).await;
                inner.changed.send_modify(|n| *n += 1);
            });
        }
    }

    /// Changes the phase of an endpoint that is listed.
    pub fn phase(&self, id: &str, phase: &'static str) {
        let entry = locked(&self.inner.state).list.members.get(id).map(|(_, e)| e.clone());
        if let Some(entry) = entry {
            self.list(Entry { phase, ..entry });
        }
    }

    /// A relay is told this address instead of the endpoint's, from the next list on.
    pub fn link(&self, relay: Relay, id: &str, address: SocketAddr) {
        locked(&self.inner.state).list.links.insert((relay, id.into()), address);
    }

    /// The whole list as it is, in discovery's form: for `known`.
    pub fn whole(&self, relay: Option<Relay>) -> Value {
        let state = locked(&self.inner.state);
        state.list.json(relay, None, state.list.revision)
    }

    fn look(&self) {
        self.inner.changed.send_modify(|n| *n += 1);
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        locked(&self.inner.state).ended += 1;
        self.look();
    }
}

async fn serve(inner: Arc<Inner>, relay: Relay, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors: what ends in a moment gives some back.
            sleep(span(10.0)).await;
            continue;
        };
        if locked(&inner.state).service.down {
            let call = inner.next_call();
            inner.log.note(What::Called { relay, call, what: Call::List, begins: true });
            inner.log.note(What::NotTold { relay, call });
            reset(stream);
            continue;
        }
        tokio::spawn(connection(inner.clone(), relay, stream));
    }
}

/// Serves one connection, until discovery goes down.
async fn connection(inner: Arc<Inner>, relay: Relay, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut changed = inner.changed.subscribe();
    let ended = locked(&inner.state).ended;
    let service = {
        let inner = inner.clone();
        hyper::service::service_fn(move |request| answer(inner.clone(), relay, request))
    };
    let mut connection = std::pin::pin!(
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service)
    );
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = changed.changed() => if locked(&inner.state).ended != ended { return },
        }
    }
}

type Answered = Response<BoxBody<Bytes, io::Error>>;

/// Notes a call as failed unless it was answered, also where its caller has left.
struct Noted {
    inner: Arc<Inner>,
    relay: Relay,
    call: u64,
    answered: bool,
}

impl Drop for Noted {
    fn drop(&mut self) {
        if !self.answered {
            self.inner.log.note(What::NotTold { relay: self.relay, call: self.call });
        }
    }
}

async fn answer(inner: Arc<Inner>, relay: Relay, request: Request<Incoming>) -> Result<Answered, Infallible> {
    let Some(what) = asked(request.uri()) else { return Ok(empty(StatusCode::NOT_FOUND)) };
    let (call, silenced, turn) = inner.begins(relay, what);
    let mut noted = Noted { inner: inner.clone(), relay, call, answered: false };
    let turn = match turn {
        Turn::Free => 0.0,
        Turn::At(wait) => wait,
        Turn::Never(after) => {
            sleep(span(after)).await;
            return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
    };
    sleep(span(turn)).await;
    let mut changed = inner.changed.subscribe();
    let waits = if let Call::Watch { wait_ms, .. } = what { wait_ms.min(60_000) } else { 0 };
    let limit = Instant::now() + span(waits as f64);
    let (value, revision, style) = loop {
        changed.borrow_and_update();
        let unheard = match inner.look(relay, what, silenced, Instant::now() >= limit) {
            Look::Answer(value, revision, style) => break (value, revision, style),
            Look::Wait => false,
            Look::Never => true,
        };
        tokio::select! {
            _ = changed.changed() => {}
            () = sleep_until(limit), if !unheard => {}
        }
    };
    let text = if style.indented { serde_json::to_vec_pretty(&value) } else { serde_json::to_vec(&value) };
    let body = Pieces::new(text.unwrap_or_default(), style);
    // What stops before its end tells nothing that could be read.
    if style.stops.is_none() {
        noted.answered = true;
        inner.log.note(What::Told { relay, call, revision });
        if let Call::Watch { .. } = what {
            let now = inner.log.now();
            locked(&inner.state).answered.insert(relay, now);
        }
    }
    Ok(Response::new(body.boxed()))
}

enum Turn {
    Free,
    At(Millis),
    Never(Millis),
}

enum Look {
    Answer(Value, u64, Style),
    Wait,
    Never,
}

impl Inner {
    fn next_call(&self) -> u64 {
        let mut state = locked(&self.state);
        state.calls += 1;
        state.calls
    }

    /// Takes a call into the queue: its number, the count of silences before it, and when its turn is.
    fn begins(&self, relay: Relay, what: Call) -> (u64, u64, Turn) {
        let call = self.next_call();
        let now = self.log.now();
        let mut state = locked(&self.state);
        let silenced = state.silenced;
        let last = state.answered.get(&relay).copied();
        let goes_on = matches!(what, Call::Watch { .. }) && last.is_some_and(|at| now - at <= GOES_ON);
        self.log.note(What::Called { relay, call, what, begins: !goes_on });
        if goes_on {
            return (call, silenced, Turn::Free);
        }
        let wait = (state.free_at - now).max(0.0);
        let Service { cost, slower, patience, .. } = state.service;
        let queued = if cost > 0.0 { wait / cost } else { 0.0 };
        let cost = cost + slower * queued;
        state.free_at = now + wait + cost;
        (call, silenced, if wait > patience { Turn::Never(patience) } else { Turn::At(wait + cost) })
    }

    fn look(&self, relay: Relay, what: Call, silenced: u64, over: bool) -> Look {
        let state = locked(&self.state);
        let watches = matches!(what, Call::Watch { wait_ms: 1.., .. });
        if state.service.mute || watches && (state.silenced > silenced || state.unheard.contains(&relay)) {
            return Look::Never;
        }
        let seen = self.log.now() - state.service.behind;
        let revision = state.list.times.partition_point(|at| *at <= seen) as u64;
        let after = if let Call::Watch { after, .. } = what { Some(after) } else { None };
        if !over && after.is_some_and(|after| revision <= after) {
            return Look::Wait;
        }
        // A version that is not its own is answered with the whole list.
        let after = after.filter(|after| *after <= revision);
        Look::Answer(state.list.json(Some(relay), after, revision), revision, state.service.style)
    }
}

fn asked(uri: &hyper::Uri) -> Option<Call> {
    if uri.path() != "/v1/endpoints" {
        return None;
    }
    let pairs: HashMap<_, _> =
        uri.query().unwrap_or("").split('&').filter_map(|p| p.split_once('=')).collect();
    let number = |name: &str| pairs.get(name).and_then(|text| text.parse().ok());
    Some(match number("after") {
        Some(after) => Call::Watch { after, wait_ms: number("wait_ms").unwrap_or(0) },
        None => Call::List,
    })
}

fn empty(status: StatusCode) -> Answered {
    let mut response = Response::new(Empty::new().map_err(|never: Infallible| match never {}).boxed());
    *response.status_mut() = status;
    response
}

/// A body that comes in pieces, and may stop before its end.
struct Pieces {
    rest: Bytes,
    /// What is announced and does not come.
    withheld: usize,
    piece: usize,
    pause: Millis,
    closes: bool,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Pieces {
    fn new(text: Vec<u8>, style: Style) -> Pieces {
        let mut rest = Bytes::from(text);
        let (piece, pause) = style.pieces.unwrap_or((usize::MAX, 0.0));
        let withheld = match style.stops {
            Some(Stop::Silent(n) | Stop::Closed(n)) => rest.split_off(n.min(rest.len())).len(),
            None => 0,
        };
        let closes = matches!(style.stops, Some(Stop::Closed(_)));
        Pieces { rest, withheld, piece: piece.max(1), pause, closes, sleep: None }
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(sleep) = &mut self.sleep {
            std::task::ready!(sleep.as_mut().poll(context));
            self.sleep = None;
        }
        if self.rest.is_empty() {
            return match (self.withheld, self.closes) {
                (0, _) => Poll::Ready(None),
                (_, true) => Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into()))),
                // Nothing wakes it: that is what silence is.
                (_, false) => Poll::Pending,
            };
        }
        let n = self.piece.min(self.rest.len());
        let piece = self.rest.split_to(n);
        if self.pause > 0.0 {
            self.sleep = Some(Box::pin(sleep(span(self.pause))));
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.rest.len() + self.withheld) as u64)
    }
}
