//! One client: its tries, its stay, and its return.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::health::HealthChecker;
use super::plan::{LoadPlan, Weighted};
use super::results::{ClientOutcome, LoadResults};
use crate::log::{EventKind, RelayIndex, Reply, RequestId};
use crate::service_levels::ClassAndTenant;
use crate::{Log, Millis, duration, lock};

/// The class of clients whose plan names none.
const DEFAULT_CLASS: &str = "stream";
/// The tenant of clients whose plan names none.
const DEFAULT_TENANT: &str = "acme";
/// The shortest remaining time in which a client makes another try.
const MIN_TRY_MS: Millis = 1.0;
/// How long after its time a client still reads a reply, so that a late one is recorded as late.
const LATE_REPLY_MS: Millis = 500.0;
/// How long a client that leaves waits for the end of its connection.
const GOODBYE_TIMEOUT_MS: Millis = 500.0;
/// The shortest pause before a client returns.
const MIN_RETURN_PAUSE_MS: Millis = 20.0;
/// The longest pause before a client returns.
const MAX_RETURN_PAUSE_MS: Millis = 200.0;

/// What all clients of a plan share.
pub(super) struct Shared {
    pub(super) health: Arc<HealthChecker>,
    pub(super) log: Log,
    pub(super) plan: LoadPlan,
    pub(super) packet_passthrough: bool,
    pub(super) results: Arc<Mutex<LoadResults>>,
}

/// Why a client arrives.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Arrival {
    /// For the first time.
    First,
    /// Again, for a new connection.
    Returning,
    /// With a connection that was established at another relay.
    MidFlow,
}

impl Arrival {
    /// What it adds to a first line.
    fn parameter(self) -> &'static str {
        match self {
            Arrival::First => "",
            Arrival::Returning => ",again=1",
            Arrival::MidFlow => ",mid=1",
        }
    }
}

/// How a stay ended.
enum StayEnd {
    /// The client left.
    Over,
    /// It was asked to reconnect.
    Reconnect,
    /// Its connection broke.
    Broken,
}

/// What became of one try.
enum Try {
    /// No relay was reached.
    Unreached,
    /// There was a reply, or none in time.
    Replied(Reply),
    /// The connection is established.
    Established(BufReader<TcpStream>),
}

/// What became of all tries of one arrival.
struct Placement {
    outcome: ClientOutcome,
    /// The connection, if the client was served.
    stream: Option<BufReader<TcpStream>>,
}

pub(super) struct Client {
    shared: Arc<Shared>,
    number: u64,
    rng: StdRng,
    key: String,
    group: u64,
    class: Arc<str>,
    tenant: Arc<str>,
    /// The relay of the last try.
    relay: Option<RelayIndex>,
    /// The endpoint of the last connection.
    endpoint: String,
    /// The id of the last connection.
    connection: RequestId,
}

impl Client {
    /// Draws a client of the plan.
    pub(super) fn draw(shared: Arc<Shared>, plan_rng: &mut StdRng) -> Client {
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);
        let mut rng = StdRng::seed_from_u64(plan_rng.random());
        let tenant = draw_weighted(&shared.plan.tenants, &mut rng, DEFAULT_TENANT);
        let key = format!("{:016x}", rng.random::<u64>());
        let group = rng.random_range(0..shared.plan.groups.max(1));
        let class = draw_weighted(&shared.plan.classes, &mut rng, DEFAULT_CLASS);
        Client {
            shared,
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            rng,
            key,
            group,
            class,
            tenant,
            relay: None,
            endpoint: String::new(),
            connection: 0,
        }
    }

    /// Arrives, stays and returns until it leaves or is not served.
    pub(super) async fn run(mut self) {
        let arrived_ms = self.shared.log.now();
        self.record_arrival();
        let mut stay_ms = self.shared.plan.stay_ms;
        let mut arrival = Arrival::First;
        loop {
            let Placement { outcome, stream } = self.place(arrival).await;
            if arrival == Arrival::First {
                self.record_outcome(outcome, arrived_ms);
            }
            let Some(stream) = stream else { return };
            let since_ms = self.shared.log.now();
            lock(&self.shared.results).connected += 1;
            let end = self.stay(stream, stay_ms).await;
            lock(&self.shared.results).connected -= 1;
            stay_ms -= self.shared.log.now() - since_ms;
            arrival = match end {
                StayEnd::Over => return,
                StayEnd::Broken if self.shared.packet_passthrough => Arrival::MidFlow,
                StayEnd::Reconnect | StayEnd::Broken => Arrival::Returning,
            };
            let pause_ms = self.rng.random_range(MIN_RETURN_PAUSE_MS..MAX_RETURN_PAUSE_MS);
            sleep(duration(pause_ms)).await;
        }
    }

    fn record_arrival(&self) {
        self.shared.log.record(EventKind::ClientArrived {
            client: self.number,
            class: self.class.clone(),
            tenant: self.tenant.clone(),
        });
    }

    fn record_outcome(&self, outcome: ClientOutcome, arrived_ms: Millis) {
        let wait_ms = self.shared.log.now() - arrived_ms;
        let of = ClassAndTenant { class: self.class.clone(), tenant: self.tenant.clone() };
        lock(&self.shared.results).add_outcome(of, outcome, wait_ms);
        self.shared.log.record(EventKind::ClientFinished {
            client: self.number,
            class: self.class.clone(),
            tenant: self.tenant.clone(),
            served: outcome == ClientOutcome::Served,
        });
    }

    /// Tries until the connection is established or the client's time is up.
    async fn place(&mut self, arrival: Arrival) -> Placement {
        let plan = self.shared.plan.clone();
        let deadline_ms = self.shared.log.now() + plan.deadline_ms;
        let mut outcome = ClientOutcome::Unreached;
        let mut is_retry = false;
        for _ in 0..plan.max_tries {
            let wait_ms = (deadline_ms - self.shared.log.now()).min(plan.reply_timeout_ms);
            if wait_ms < MIN_TRY_MS {
                break;
            }
            let mut pause_ms = plan.pause_ms * self.rng.random_range(0.5..1.5);
            match self.try_once(arrival, is_retry, wait_ms).await {
                Try::Unreached => {}
                Try::Established(stream) => {
                    return Placement { outcome: ClientOutcome::Served, stream: Some(stream) };
                }
                Try::Replied(reply) => {
                    is_retry = true;
                    if let Reply::Rejected(retry_after_ms) = reply {
                        pause_ms = pause_ms.max(retry_after_ms.unwrap_or(0) as f64);
                        lock(&self.shared.results).rejections += 1;
                    }
                    outcome = outcome_of(&reply);
                }
            }
            if self.shared.log.now() + pause_ms > deadline_ms {
                break;
            }
            sleep(duration(pause_ms)).await;
        }
        Placement { outcome, stream: None }
    }

    /// Sends a request to one healthy relay and reads its reply.
    async fn try_once(&mut self, arrival: Arrival, is_retry: bool, wait_ms: Millis) -> Try {
        let Some(relay) = self.choose_relay(arrival) else { return Try::Unreached };
        let address = self.shared.health.listen(relay);
        let connected = timeout(duration(wait_ms), TcpStream::connect(address)).await;
        let Ok(Ok(mut stream)) = connected else { return Try::Unreached };
        let _ = stream.set_nodelay(true);
        let id = next_request_id();
        let line = self.request_line(id, arrival, is_retry, wait_ms);
        if stream.write_all(line.as_bytes()).await.is_err() {
            return Try::Unreached;
        }
        self.relay = Some(relay);
        self.record_request(id, relay, arrival, wait_ms);
        let mut stream = BufReader::new(stream);
        let read = timeout(duration(wait_ms + LATE_REPLY_MS), read_reply(&mut stream)).await;
        let Ok(reply) = read else {
            self.shared.log.record(EventKind::RequestAbandoned { id });
            return Try::Replied(Reply::Closed);
        };
        self.shared.log.record(EventKind::ReplyReceived { id, reply: reply.clone() });
        if let Reply::Established(receipt) = &reply {
            self.record_connection(id, receipt, arrival);
            return Try::Established(stream);
        }
        Try::Replied(reply)
    }

    /// Draws a relay from the healthy ones; one that arrives mid-flow avoids the relay of its last try.
    fn choose_relay(&mut self, arrival: Arrival) -> Option<RelayIndex> {
        let avoided = self.relay.filter(|_| arrival == Arrival::MidFlow);
        let mut candidates = self.shared.health.healthy();
        candidates.retain(|relay| Some(*relay) != avoided);
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.rng.random_range(0..candidates.len())])
    }

    fn request_line(&self, id: RequestId, arrival: Arrival, is_retry: bool, wait_ms: Millis) -> String {
        let Client { key, class, tenant, group, .. } = self;
        let retry = if is_retry { ",r=1" } else { "" };
        let arrival = arrival.parameter();
        format!("OPEN {id:016x} {key} c={class},t={tenant},d={wait_ms:.0},g={group:016x}{retry}{arrival}\r\n")
    }

    fn record_request(&self, id: RequestId, relay: RelayIndex, arrival: Arrival, wait_ms: Millis) {
        lock(&self.shared.results).tries += 1;
        self.shared.log.record(EventKind::RequestSent {
            id,
            relay,
            wait_ms,
            class: self.class.clone(),
            tenant: self.tenant.clone(),
            mid_flow: arrival == Arrival::MidFlow,
        });
    }

    fn record_connection(&mut self, id: RequestId, receipt: &str, arrival: Arrival) {
        let endpoint = receipt.split('/').next().unwrap_or_default().to_owned();
        if arrival == Arrival::MidFlow {
            let mut results = lock(&self.shared.results);
            results.mid_flow += 1;
            results.mid_flow_found += u64::from(endpoint == self.endpoint);
        }
        self.endpoint = endpoint;
        self.connection = id;
    }

    /// Sends a line now and then until its time is over or the connection ends.
    async fn stay(&mut self, mut stream: BufReader<TcpStream>, stay_ms: Millis) -> StayEnd {
        let log = self.shared.log.clone();
        let line_interval_ms = self.shared.plan.line_interval_ms;
        let end_ms = log.now() + stay_ms;
        let id = self.connection;
        let mut next_line_ms = log.now() + line_interval_ms * self.rng.random_range(0.0..1.0);
        let mut line = Vec::new();
        loop {
            let now_ms = log.now();
            if now_ms >= end_ms {
                leave(&mut stream).await;
                return StayEnd::Over;
            }
            if now_ms >= next_line_ms {
                next_line_ms = now_ms + line_interval_ms;
                let _ = stream.write_all(b"line\r\n").await;
            }
            tokio::select! {
                read = stream.read_until(b'\n', &mut line) => match read {
                    Ok(length) if length > 0 && line.starts_with(b"MOVE") => {
                        lock(&self.shared.results).reconnects_requested += 1;
                        log.record(EventKind::ReconnectRequested { id });
                        return StayEnd::Reconnect;
                    }
                    Ok(length) if length > 0 => line.clear(),
                    _ => {
                        lock(&self.shared.results).broken += 1;
                        log.record(EventKind::ConnectionBroken { id });
                        return StayEnd::Broken;
                    }
                },
                () = sleep(duration(next_line_ms.min(end_ms) - now_ms)) => {}
            }
        }
    }
}

/// Draws one of the names by their weights, or returns the default where there are none.
fn draw_weighted(names: &[Weighted], rng: &mut StdRng, default: &str) -> Arc<str> {
    let total: f64 = names.iter().map(|name| name.weight).sum();
    let mut remaining = rng.random_range(0.0..1.0) * total;
    let drawn = names.iter().find(|name| {
        remaining -= name.weight;
        remaining < 0.0
    });
    drawn.or(names.last()).map_or_else(|| default.into(), |name| name.name.clone())
}

fn next_request_id() -> RequestId {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    NEXT_ID.fetch_add(1, Ordering::Relaxed)
}

/// The outcome of a client whose last reply this was.
fn outcome_of(reply: &Reply) -> ClientOutcome {
    match reply {
        Reply::Established(_) => ClientOutcome::Served,
        Reply::Rejected(_) => ClientOutcome::Rejected,
        Reply::Failed(_) => ClientOutcome::Failed,
        Reply::Closed => ClientOutcome::Unanswered,
    }
}

/// Ends a connection in order.
async fn leave(stream: &mut BufReader<TcpStream>) {
    let _ = stream.write_all(b"bye\r\n").await;
    let _ = timeout(duration(GOODBYE_TIMEOUT_MS), stream.read_to_end(&mut Vec::new())).await;
}

async fn read_reply(stream: &mut BufReader<TcpStream>) -> Reply {
    let mut line = String::new();
    match stream.read_line(&mut line).await {
        Ok(length) if length > 0 => parse_reply(line.trim_end()),
        _ => Reply::Closed,
    }
}

fn parse_reply(line: &str) -> Reply {
    match line.split_once(' ').unwrap_or((line, "")) {
        ("UP", receipt) => Reply::Established(receipt.to_owned()),
        ("BUSY", retry_after_ms) => Reply::Rejected(retry_after_ms.parse().ok()),
        _ => Reply::Failed(line.to_owned()),
    }
}
