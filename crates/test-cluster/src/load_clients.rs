//! Clients that arrive whatever becomes of those before, and the front that spreads them over the relays.
//!
//! They own their connections; they are fed a plan with a seed; they note every first line and every answer, and
//! count how each client fared. A client retries after a refusal or a failure while its time lasts, stays once it is
//! served, comes back after `MOVE` or a break, and arrives mid-flow at another relay when its own dies, where packets
//! pass through.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::log::{Answer, What};
use crate::process::ready;
use crate::settings::Rules;
use crate::{Log, Millis, locked, span};

/// How often the front looks whether a relay that it admits is still there.
const LOOKS: Millis = 2000.0;

struct Gate {
    listen: SocketAddr,
    admitted: bool,
}

/// The front: it admits a relay that answers `PING`, and finds a dead one some seconds later.
pub struct ClientProtocol {
    gates: Arc<Mutex<Vec<Gate>>>,
    tasks: Vec<AbortHandle>,
}

impl ClientProtocol {
    /// A front before relays at these addresses, which looks after them until it is dropped.
    pub fn new(relays: &[SocketAddr], log: &Log) -> ClientProtocol {
        let gates = relays.iter().map(|listen| Gate { listen: *listen, admitted: false }).collect();
        let gates = Arc::new(Mutex::new(gates));
        let look = |relay| tokio::spawn(look_after(relay, gates.clone(), log.clone())).abort_handle();
        let tasks = (0..relays.len()).map(look).collect();
        ClientProtocol { gates, tasks }
    }

    /// Relays that are admitted now.
    pub fn admitted(&self) -> Vec<usize> {
        let gates = locked(&self.gates);
        gates.iter().enumerate().filter(|(_, g)| g.admitted).map(|(i, _)| i).collect()
    }

    /// Waits until so many are admitted, for so long at the most; whether they are.
    pub async fn until(&self, relays: usize, most: Millis) -> bool {
        let all = async {
            while self.admitted().len() < relays {
                sleep(span(20.0)).await;
            }
        };
        timeout(span(most), all).await.is_ok()
    }
}

impl Drop for ClientProtocol {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

async fn look_after(relay: usize, gates: Arc<Mutex<Vec<Gate>>>, log: Log) {
    let quiet = Log::default();
    let listen = locked(&gates)[relay].listen;
    loop {
        let before = locked(&gates)[relay].admitted;
        // Only a new one is news.
        let log = if before { &quiet } else { &log };
        let admitted = ready(relay, listen, log, if before { 1000.0 } else { 60_000.0 }).await.is_ok();
        locked(&gates)[relay].admitted = admitted;
        sleep(span(if admitted { LOOKS } else { 10.0 })).await;
    }
}

/// Who arrives, and how they behave.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many.
    pub count: usize,
    /// Within how long, at moments drawn evenly.
    pub over_ms: Millis,
    /// What all that is drawn depends on.
    pub seed: u64,
    /// Their classes, each with its weight.
    pub classes: Vec<(Arc<str>, f64)>,
    /// Their tenants, each with its weight.
    pub tenants: Vec<(Arc<str>, f64)>,
    /// How many groups they are of.
    pub groups: u64,
    /// Until when a client tries, from its arrival.
    pub deadline_ms: Millis,
    /// How long it waits for one answer.
    pub try_ms: Millis,
    /// How many tries it makes.
    pub tries: u32,
    /// Least pause between two tries; a refusal's own time counts where it is longer.
    pub pause_ms: Millis,
    /// How long it stays once it is served.
    pub stay_ms: Millis,
    /// How often it sends a line.
    pub line_every_ms: Millis,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            count: 100,
            over_ms: 2000.0,
            seed: 1,
            classes: vec![("stream".into(), 1.0)],
            tenants: vec![("acme".into(), 1.0)],
            groups: 20,
            deadline_ms: 3000.0,
            try_ms: 2000.0,
            tries: 4,
            pause_ms: 100.0,
            stay_ms: 5000.0,
            line_every_ms: 2000.0,
        }
    }
}

/// How clients fared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Served in time.
    pub served: u64,
    /// Not served, and refused at last.
    pub refused: u64,
    /// Not served, and failed at last.
    pub failed: u64,
    /// Not served, and without an answer at last.
    pub lost: u64,
    /// Never reached a relay.
    pub unreached: u64,
}

impl Tally {
    /// All that are done.
    pub fn all(&self) -> u64 {
        self.served + self.refused + self.failed + self.lost + self.unreached
    }

    fn add(&mut self, last: Last) {
        match last {
            Last::Served => self.served += 1,
            Last::Refused => self.refused += 1,
            Last::Failed => self.failed += 1,
            Last::Lost => self.lost += 1,
            Last::Unreached => self.unreached += 1,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Last {
    Served,
    Refused,
    Failed,
    Lost,
    Unreached,
}

/// What has been counted so far.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Over all.
    pub all: Tally,
    /// By class and tenant.
    pub by: BTreeMap<(Arc<str>, Arc<str>), Tally>,
    /// Refusals, whoever was served later.
    pub refusals: u64,
    /// First lines that were written to a relay.
    pub tries: u64,
    /// Standing connections that were told to move.
    pub moved: u64,
    /// Standing connections that broke.
    pub broke: u64,
    /// Clients that arrived mid-flow, and those of them that went on at their endpoint.
    pub mid_flow: u64,
    /// Those of them that went on at their endpoint.
    pub found: u64,
    /// Clients that stand now.
    pub standing: u64,
    /// Times from arrival to `UP`.
    pub waited_ms: Vec<Millis>,
}

struct Crowd {
    front: Arc<ClientProtocol>,
    log: Log,
    plan: Plan,
    passes: bool,
    results: Arc<Mutex<Results>>,
}

/// Clients of one plan. They leave when it is dropped.
pub struct Clients {
    results: Arc<Mutex<Results>>,
    tasks: JoinSet<()>,
}

impl Clients {
    /// Lets clients arrive from now on.
    pub fn arrive(plan: Plan, front: &Arc<ClientProtocol>, rules: &Rules, log: &Log) -> Clients {
        let results = Arc::<Mutex<Results>>::default();
        let mut dice = StdRng::seed_from_u64(plan.seed);
        let mut tasks = JoinSet::new();
        let crowd = Arc::new(Crowd {
            front: front.clone(),
            log: log.clone(),
            plan,
            passes: rules.passes,
            results: results.clone(),
        });
        for _ in 0..crowd.plan.count {
            let at = dice.random_range(0.0..crowd.plan.over_ms.max(1.0));
            let client = Client::draw(crowd.clone(), &mut dice);
            tasks.spawn(async move {
                sleep(span(at)).await;
                client.live().await;
            });
        }
        Clients { results, tasks }
    }

    /// What has been counted so far.
    pub fn results(&self) -> Results {
        locked(&self.results).clone()
    }

    /// Waits until all have left, for so long at the most; what was counted.
    pub async fn end(mut self, most: Millis) -> Results {
        let all = async { while self.tasks.join_next().await.is_some() {} };
        let _ = timeout(span(most), all).await;
        self.results()
    }
}

struct Client {
    crowd: Arc<Crowd>,
    number: u64,
    dice: StdRng,
    key: String,
    group: u64,
    class: Arc<str>,
    tenant: Arc<str>,
    /// The relay of the last try, and the endpoint that holds it.
    relay: Option<usize>,
    endpoint: String,
    /// The id of the connection that stands.
    connection: u64,
}

/// One of those with weights, or this where there are none.
fn drawn(of: &[(Arc<str>, f64)], dice: &mut StdRng, otherwise: &str) -> Arc<str> {
    let all: f64 = of.iter().map(|(_, weight)| weight).sum();
    let mut draw = dice.random_range(0.0..1.0) * all;
    let drawn = of.iter().find(|(_, weight)| {
        draw -= weight;
        draw < 0.0
    });
    drawn.or(of.last()).map_or_else(|| otherwise.into(), |(name, _)| name.clone())
}

/// How a stay ended.
enum Stay {
    Over,
    Moved,
    Broke,
}

impl Client {
    fn draw(crowd: Arc<Crowd>, dice: &mut StdRng) -> Client {
        let mut dice = StdRng::seed_from_u64(dice.random());
        let tenant = drawn(&crowd.plan.tenants, &mut dice, "acme");
        let key = format!("{:016x}", dice.random::<u64>());
        let group = dice.random_range(0..crowd.plan.groups.max(1));
        let class = drawn(&crowd.plan.classes, &mut dice, "stream");
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        Client {
            crowd,
            number,
            dice,
            key,
            group,
            class,
            tenant,
            relay: None,
            endpoint: String::new(),
            connection: 0,
        }
    }

    async fn live(mut self) {
        let began = self.crowd.log.now();
        let (client, class, tenant) = (self.number, self.class.clone(), self.tenant.clone());
        self.crowd.log.note(What::Arrived { client, class, tenant });
        let (mut stay, mut marks, mut first) = (self.crowd.plan.stay_ms, String::new(), true);
        loop {
            let (last, stream) = self.placed(&marks).await;
            if first {
                self.done(last, began);
            }
            first = false;
            let Some(stream) = stream else { return };
            let since = self.crowd.log.now();
            locked(&self.crowd.results).standing += 1;
            let ended = self.stand(stream, stay).await;
            locked(&self.crowd.results).standing -= 1;
            stay -= self.crowd.log.now() - since;
            match ended {
                Stay::Over => return,
                Stay::Moved => marks = ",again=1".into(),
                Stay::Broke if self.crowd.passes => marks = ",mid=1".into(),
                Stay::Broke => marks = ",again=1".into(),
            }
            sleep(span(self.dice.random_range(20.0..200.0))).await;
        }
    }

    fn done(&self, last: Last, began: Millis) {
        let now = self.crowd.log.now();
        let (client, class, tenant) = (self.number, self.class.clone(), self.tenant.clone());
        let mut results = locked(&self.crowd.results);
        results.all.add(last);
        results.by.entry((class.clone(), tenant.clone())).or_default().add(last);
        if last == Last::Served {
            results.waited_ms.push(now - began);
        }
        self.crowd.log.note(What::Done { client, class, tenant, served: last == Last::Served });
    }

    /// Tries until it stands or its time is up.
    async fn placed(&mut self, marks: &str) -> (Last, Option<BufReader<TcpStream>>) {
        let plan = self.crowd.plan.clone();
        let end = self.crowd.log.now() + plan.deadline_ms;
        let (mut last, mut retry) = (Last::Unreached, "");
        for _ in 0..plan.tries {
            let left = (end - self.crowd.log.now()).min(plan.try_ms);
            if left < 1.0 {
                break;
            }
            let mut wait = plan.pause_ms * self.dice.random_range(0.5..1.5);
            let (tried, stream) = self.ask(&format!("{retry}{marks}"), left).await;
            match tried {
                None => {}
                Some(Answer::Up(_)) => return (Last::Served, stream),
                Some(Answer::Busy(ms)) => {
                    last = Last::Refused;
                    wait = wait.max(ms.unwrap_or(0) as f64);
                    locked(&self.crowd.results).refusals += 1;
                }
                Some(Answer::Failed(_)) => last = Last::Failed,
                Some(Answer::Cut) => last = Last::Lost,
            }
            if tried.is_some() {
                retry = ",r=1";
            }
            if self.crowd.log.now() + wait > end {
                break;
            }
            sleep(span(wait)).await;
        }
        (last, None)
    }

    /// Asks one relay; nothing where none was reached.
    async fn ask(&mut self, marks: &str, wait: Millis) -> (Option<Answer>, Option<BufReader<TcpStream>>) {
        let mid = marks.contains("mid=1");
        let before = self.relay.filter(|_| mid);
        let mut admitted = self.crowd.front.admitted();
        admitted.retain(|relay| Some(*relay) != before);
        if admitted.is_empty() {
            return (None, None);
        }
        let relay = admitted[self.dice.random_range(0..admitted.len())];
        let listen = locked(&self.crowd.front.gates)[relay].listen;
        let connected = timeout(span(wait), TcpStream::connect(listen)).await;
        let Ok(Ok(mut stream)) = connected else { return (None, None) };
        let _ = stream.set_nodelay(true);
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let id = NEXT.fetch_add(1, Ordering::Relaxed);
        let (class, tenant) = (self.class.clone(), self.tenant.clone());
        let line = format!(
            "OPEN {id:016x} {} c={class},t={tenant},d={wait:.0},g={:016x}{marks}\r\n",
            self.key, self.group
        );
        if stream.write_all(line.as_bytes()).await.is_err() {
            return (None, None);
        }
        self.relay = Some(relay);
        locked(&self.crowd.results).tries += 1;
        self.crowd.log.note(What::Asked { id, relay, wait_ms: wait, class, tenant, mid });
        let mut stream = BufReader::new(stream);
        // The rules give an answer some time more, and the judge says whether it was late.
        let Ok(answer) = timeout(span(wait + 500.0), answer(&mut stream)).await else {
            self.crowd.log.note(What::Left { id });
            return (Some(Answer::Cut), None);
        };
        self.crowd.log.note(What::Answered { id, answer: answer.clone() });
        if let Answer::Up(receipt) = &answer {
            let endpoint = receipt.split('/').next().unwrap_or_default().to_owned();
            let mut results = locked(&self.crowd.results);
            results.mid_flow += u64::from(mid);
            results.found += u64::from(mid && endpoint == self.endpoint);
            drop(results);
            self.endpoint = endpoint;
            self.connection = id;
        }
        (Some(answer), Some(stream))
    }

    async fn stand(&mut self, mut stream: BufReader<TcpStream>, stay: Millis) -> Stay {
        let (log, every) = (self.crowd.log.clone(), self.crowd.plan.line_every_ms);
        let (end, id) = (log.now() + stay, self.connection);
        let mut next = log.now() + every * self.dice.random_range(0.0..1.0);
        let mut line = Vec::new();
        loop {
            let now = log.now();
            if now >= end {
                let _ = stream.write_all(b"bye\r\n").await;
                let _ = timeout(span(500.0), stream.read_to_end(&mut Vec::new())).await;
                return Stay::Over;
            }
            if now >= next {
                next = now + every;
                let _ = stream.write_all(b"line\r\n").await;
            }
            tokio::select! {
                read = stream.read_until(b'\n', &mut line) => match read {
                    Ok(n) if n > 0 && line.starts_with(b"MOVE") => {
                        locked(&self.crowd.results).moved += 1;
                        log.note(What::Moved { id });
                        return Stay::Moved;
                    }
                    Ok(n) if n > 0 => line.clear(),
                    _ => {
                        locked(&self.crowd.results).broke += 1;
                        log.note(What::Broke { id });
                        return Stay::Broke;
                    }
                },
                () = sleep(span(next.min(end) - now)) => {}
            }
        }
    }
}

/// Reads a relay's answer.
async fn answer(stream: &mut BufReader<TcpStream>) -> Answer {
    let mut line = String::new();
    match stream.read_line(&mut line).await {
        Ok(n) if n > 0 => read(line.trim_end()),
        _ => Answer::Cut,
    }
}

fn read(line: &str) -> Answer {
    match line.split_once(' ').unwrap_or((line, "")) {
        ("UP", receipt) => Answer::Up(receipt.to_owned()),
        ("BUSY", ms) => Answer::Busy(ms.parse().ok()),
        _ => Answer::Failed(line.to_owned()),
    }
}
