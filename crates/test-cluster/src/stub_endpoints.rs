//! Stand-ins for endpoints, and the store that all their set-ups call.
//!
//! They own their listeners and what they hold; they are fed first lines and faults; they note every attempt. A
//! set-up takes its turn at the store, first come, first served, also when its relay has given it up since. A cold
//! endpoint counts what arrives, rejected or not, and falls over by the rule's budget. One that has fallen stays
//! down until it is started anew.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until};

use crate::log::{End, What};
use crate::settings::Rules;
use crate::{Log, Millis, TestClusterError, host, listen_at, locked, reset, span};

/// Longest line, with its end.
const LINE_BYTES: u64 = 4096;

/// An endpoint's place and strength.
#[derive(Clone, Debug)]
pub struct Model {
    /// Its name.
    pub id: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its size, as discovery tells it.
    pub size: f64,
    /// Set-ups a second that it bears when warm.
    pub rate: f64,
    /// Connections that it holds at the most.
    pub places: usize,
}

/// How an endpoint treats what comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// As it should.
    Sound,
    /// A set-up takes so many milliseconds more.
    Slow(Millis),
    /// Set-ups are taken and never answered; what stands goes on.
    Hangs,
    /// Nothing is answered and no line returned: its machine has vanished.
    Silent,
    /// Every set-up is answered `ERR`.
    Errs,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Orders {
    /// Counts deaths: who is of an earlier life is reset.
    life: u64,
    manner: Manner,
    /// It drains, and sends all away within so many milliseconds.
    drains: Option<Millis>,
}

struct Endpoint {
    model: Model,
    address: SocketAddr,
    orders: watch::Sender<Orders>,
    task: Option<AbortHandle>,
    /// When it started cold, if it did.
    cold: Option<Millis>,
    /// What came within the window.
    came: VecDeque<Millis>,
    /// Keys that it holds; since when without a relay, if none is there.
    held: HashMap<String, Option<Millis>>,
    receipts: u64,
}

struct Store {
    /// Set-ups a second; none where it is no limit.
    rate: Option<f64>,
    free_at: Millis,
    taken: u64,
}

struct Inner {
    log: Log,
    rules: Rules,
    all: Mutex<BTreeMap<Arc<str>, Endpoint>>,
    store: Mutex<Store>,
}

/// All endpoints and their store. They end when it is dropped.
pub struct Fleet {
    inner: Arc<Inner>,
}

impl Fleet {
    /// No endpoints, and a store of so many set-ups a second, or without a limit.
    pub fn new(rules: &Rules, store_rate: Option<f64>, log: &Log) -> Fleet {
        let store = Mutex::new(Store { rate: store_rate, free_at: 0.0, taken: 0 });
        Fleet {
            inner: Arc::new(Inner { log: log.clone(), rules: rules.clone(), all: Mutex::default(), store }),
        }
    }

    /// Adds an endpoint and starts it, warm or cold; where it listens.
    pub async fn add(&self, model: Model, cold: bool) -> Result<SocketAddr, TestClusterError> {
        let (address, listener) = listen_at(SocketAddr::new(host(), 0)).await?;
        let id = model.id.clone();
        let orders = watch::channel(Orders { life: 0, manner: Manner::Sound, drains: None }).0;
        let endpoint = Endpoint {
            model,
            address,
            orders,
            task: None,
            cold: None,
            came: VecDeque::new(),
            held: HashMap::new(),
            receipts: 0,
        };
        locked(&self.inner.all).insert(id.clone(), endpoint);
        self.begin(&id, listener, cold);
        Ok(address)
    }

    /// Starts one again that was killed or fell over, at the same address.
    pub async fn start(&self, id: &str, cold: bool) -> Result<(), TestClusterError> {
        let address = locked(&self.inner.all).get(id).map(|s| s.address);
        if let Some(address) = address {
            self.kill(id);
            let mut listener = listen_at(address).await;
            // What listened there before is let go of a moment after it was ended.
            for _ in 0..100 {
                if listener.is_ok() {
                    break;
                }
                sleep(span(10.0)).await;
                listener = listen_at(address).await;
            }
            self.begin(id, listener?.1, cold);
        }
        Ok(())
    }

    fn begin(&self, id: &str, listener: TcpListener, cold: bool) {
        let mut all = locked(&self.inner.all);
        let Some(endpoint) = all.get_mut(id) else { return };
        endpoint.cold = cold.then(|| self.inner.log.now());
        endpoint.came.clear();
        let accept =
            accept(self.inner.clone(), endpoint.model.id.clone(), listener, endpoint.orders.subscribe());
        endpoint.task = Some(tokio::spawn(accept).abort_handle());
        if cold {
            let (endpoint, rate) = (endpoint.model.id.clone(), endpoint.model.rate);
            self.inner.log.note(What::ColdStart { endpoint, rate });
        }
    }

    /// Ends one outright: its connections are reset and new ones refused.
    pub fn kill(&self, id: &str) {
        if let Some(endpoint) = locked(&self.inner.all).get_mut(id) {
            endpoint.die();
        }
    }

    /// How one treats what comes from now on.
    pub fn set(&self, id: &str, manner: Manner) {
        self.order(id, |orders| orders.manner = manner);
    }

    /// One wants nothing new, and sends away what it has within so many milliseconds.
    pub fn drain(&self, id: &str, within: Millis) {
        self.order(id, |orders| orders.drains = Some(within));
    }

    fn order(&self, id: &str, change: impl FnOnce(&mut Orders)) {
        if let Some(endpoint) = locked(&self.inner.all).get(id) {
            endpoint.orders.send_modify(change);
        }
    }

    /// The names of all.
    pub fn ids(&self) -> Vec<Arc<str>> {
        locked(&self.inner.all).keys().cloned().collect()
    }

    /// The model and address of one.
    pub fn model(&self, id: &str) -> Option<(Model, SocketAddr)> {
        locked(&self.inner.all).get(id).map(|s| (s.model.clone(), s.address))
    }

    /// Whether it runs.
    pub fn runs(&self, id: &str) -> bool {
        locked(&self.inner.all).get(id).is_some_and(|s| s.task.is_some())
    }

    /// Connections that each holds, those without a relay included.
    pub fn held(&self) -> BTreeMap<Arc<str>, usize> {
        locked(&self.inner.all).iter().map(|(id, s)| (id.clone(), s.held.len())).collect()
    }

    /// Set-ups that the store has taken.
    pub fn set_ups(&self) -> u64 {
        locked(&self.inner.store).taken
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        locked(&self.inner.all).values_mut().for_each(Endpoint::die);
    }
}

impl Endpoint {
    fn die(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.held.clear();
        self.orders.send_modify(|o| *o = Orders { life: o.life + 1, manner: Manner::Sound, drains: None });
    }

    fn full(&mut self, now: Millis, park: Millis) -> bool {
        if self.held.len() >= self.model.places {
            self.held.retain(|_, since| since.is_none_or(|since| now - since < park));
        }
        self.held.len() >= self.model.places
    }
}

async fn accept(inner: Arc<Inner>, id: Arc<str>, listener: TcpListener, orders: watch::Receiver<Orders>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(span(10.0)).await;
            continue;
        };
        let connection = Connection { inner: inner.clone(), id: id.clone(), life: orders.borrow().life };
        tokio::spawn(connection.serve(stream, orders.clone()));
    }
}

/// What a first line says, as far as an endpoint cares.
struct First {
    id: u64,
    key: String,
    mid: bool,
    wait: Millis,
}

fn first(line: &str) -> Option<First> {
    let mut words = line.trim_end().split(' ');
    let (open, id, key, list) = (words.next()?, words.next()?, words.next()?, words.next()?);
    let value = |name: &str| list.split(',').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
    Some(First {
        id: u64::from_str_radix(id, 16).ok().filter(|_| open == "OPEN")?,
        key: key.to_owned(),
        mid: value("mid") == Some("1"),
        wait: value("d").and_then(|d| d.parse().ok()).unwrap_or(f64::INFINITY),
    })
}

/// What becomes of an attempt.
enum Verdict {
    SetUp(Millis),
    Continue,
    Busy,
    Err,
    Reset,
    Hang,
}

struct Connection {
    inner: Arc<Inner>,
    id: Arc<str>,
    life: u64,
}

impl Connection {
    async fn serve(self, stream: TcpStream, mut orders: watch::Receiver<Orders>) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        let life = self.life;
        let ended = tokio::select! {
            ended = self.attempt(&mut stream, orders.clone()) => ended,
            _ = orders.wait_for(|o| o.life != life) => false,
        };
        if !ended {
            reset(stream.into_inner());
        }
    }

    fn ended(&self, id: u64, end: End, receipt: Option<String>) {
        self.inner.log.note(What::AttemptEnded { id, endpoint: self.id.clone(), end, receipt });
    }

    /// Serves a connection; whether it ends in peace.
    async fn attempt(&self, stream: &mut BufReader<TcpStream>, orders: watch::Receiver<Orders>) -> bool {
        if stream.fill_buf().await.map_or(true, <[u8]>::is_empty) {
            return true;
        }
        let first_byte = self.inner.log.now();
        let mut line = String::new();
        if stream.take(LINE_BYTES).read_line(&mut line).await.is_err() || !line.ends_with('\n') {
            return true;
        }
        let Some(first) = first(&line) else {
            let _ = stream.write_all(b"SYNTAX\r\n").await;
            return true;
        };
        let endpoint = self.id.clone();
        self.inner.log.note(What::Attempt { id: first.id, endpoint, first_byte, mid: first.mid });
        let orders_now = *orders.borrow();
        let verdict = self.judge(&first, orders_now);
        let answer = match verdict {
            Verdict::SetUp(turn) => return self.set_up(stream, orders, &first, turn).await,
            Verdict::Continue => return self.stand(stream, orders, &first).await,
            Verdict::Hang => {
                self.given_up(stream).await;
                self.ended(first.id, End::GivenUp, None);
                return true;
            }
            Verdict::Reset => {
                self.ended(first.id, End::Reset, None);
                return false;
            }
            Verdict::Busy => "BUSY\r\n",
            Verdict::Err => "ERR\r\n",
        };
        self.ended(first.id, if answer == "ERR\r\n" { End::Error } else { End::Busy }, None);
        let _ = stream.write_all(answer.as_bytes()).await;
        true
    }

    fn judge(&self, first: &First, orders: Orders) -> Verdict {
        let now = self.inner.log.now();
        let rules = &self.inner.rules;
        let mut all = locked(&self.inner.all);
        let Some(endpoint) = all.get_mut(&self.id) else { return Verdict::Reset };
        if self.falls(endpoint, now) {
            return Verdict::Reset;
        }
        match orders.manner {
            Manner::Hangs | Manner::Silent => return Verdict::Hang,
            Manner::Errs => return Verdict::Err,
            Manner::Sound | Manner::Slow(_) => {}
        }
        if first.mid {
            let holds = endpoint.held.get(&first.key);
            let holds = holds.is_some_and(|since| since.is_none_or(|since| now - since < rules.park_ms));
            return if holds { Verdict::Continue } else { Verdict::Reset };
        }
        if orders.drains.is_some() || endpoint.full(now, rules.park_ms) {
            return Verdict::Busy;
        }
        let more = if let Manner::Slow(more) = orders.manner { more } else { 0.0 };
        let mut store = locked(&self.inner.store);
        store.taken += 1;
        let each = store.rate.map_or(0.0, |rate| 1000.0 / rate);
        store.free_at = store.free_at.max(now) + each;
        Verdict::SetUp(store.free_at - now + more)
    }

    /// Counts what has come; whether a cold endpoint falls over by it.
    fn falls(&self, endpoint: &mut Endpoint, now: Millis) -> bool {
        let rules = &self.inner.rules;
        let Some(age) = endpoint.cold.map(|at| now - at).filter(|age| *age < rules.warm_ms) else {
            return false;
        };
        endpoint.came.push_back(now);
        while endpoint.came.front().is_some_and(|at| now - at > rules.fall_ms) {
            endpoint.came.pop_front();
        }
        let budget = Rules::budget(rules.allowed(endpoint.model.rate, age));
        let falls = endpoint.came.len() as f64 > budget;
        if falls {
            self.inner.log.note(What::Fell(self.id.clone()));
            endpoint.die();
        }
        falls
    }

    async fn set_up(
        &self,
        stream: &mut BufReader<TcpStream>,
        orders: watch::Receiver<Orders>,
        first: &First,
        turn: Millis,
    ) -> bool {
        tokio::select! {
            () = self.given_up(stream) => {
                self.ended(first.id, End::GivenUp, None);
                return true;
            }
            () = sleep(span(turn)) => {}
        }
        if turn > first.wait {
            self.ended(first.id, End::Busy, None);
            let _ = stream.write_all(b"BUSY\r\n").await;
            return true;
        }
        self.stand(stream, orders, first).await
    }

    /// Waits until the relay closes or sends what it should not.
    async fn given_up(&self, stream: &mut BufReader<TcpStream>) {
        let mut byte = [0];
        let _ = stream.read(&mut byte).await;
    }

    fn receipt(&self, key: &str) -> String {
        let mut all = locked(&self.inner.all);
        let Some(endpoint) = all.get_mut(&self.id) else { return String::new() };
        endpoint.receipts += 1;
        endpoint.held.insert(key.to_owned(), None);
        format!("{}/{}", self.id, endpoint.receipts)
    }

    async fn stand(
        &self,
        stream: &mut BufReader<TcpStream>,
        mut orders: watch::Receiver<Orders>,
        first: &First,
    ) -> bool {
        let receipt = self.receipt(&first.key);
        self.ended(first.id, End::Up, Some(receipt.clone()));
        if stream.write_all(format!("UP {receipt}\r\n").as_bytes()).await.is_err() {
            return self.left(&first.key);
        }
        let mut line = Vec::new();
        // One after the other, spread by their numbers.
        let part = first.id as f64 * 0.618_034 % 1.0;
        let mut away = None;
        loop {
            let now = *orders.borrow_and_update();
            away = away.or(now.drains.map(|within| Instant::now() + span(within * part)));
            tokio::select! {
                read = stream.read_until(b'\n', &mut line) => match read {
                    Ok(n) if n > 0 && line.ends_with(b"\n") => {
                        let bye = line.starts_with(b"bye");
                        let back = if bye { b"BYE\r\n".as_slice() } else { line.as_slice() };
                        if now.manner != Manner::Silent && stream.write_all(back).await.is_err() {
                            return self.left(&first.key);
                        }
                        if bye {
                            self.forget(&first.key);
                            return true;
                        }
                        line.clear();
                    }
                    _ => return self.left(&first.key),
                },
                () = sleep_until(away.unwrap_or_else(Instant::now)), if away.is_some() => {
                    self.forget(&first.key);
                    let _ = stream.write_all(b"MOVE\r\n").await;
                    return true;
                }
                changed = orders.changed() => if changed.is_err() { return false },
            }
        }
    }

    /// The relay has gone: where packets pass through, its client may come by another.
    fn left(&self, key: &str) -> bool {
        let now = self.inner.log.now();
        let mut all = locked(&self.inner.all);
        if let Some(endpoint) = all.get_mut(&self.id) {
            match endpoint.held.get_mut(key).filter(|_| self.inner.rules.passes) {
                Some(since) => *since = Some(now),
                None => drop(endpoint.held.remove(key)),
            }
        }
        true
    }

    fn forget(&self, key: &str) {
        if let Some(endpoint) = locked(&self.inner.all).get_mut(&self.id) {
            endpoint.held.remove(key);
        }
    }
}
