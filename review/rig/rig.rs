//! Stand-ins for the cases of this review: discovery, streamers, clients and the platform.
//!
//! Standard library only. Each stand-in listens on a loopback address, runs in threads of this process, and
//! writes what it sees to `record.txt`. The relays are started as separate processes by the `run` command of
//! the deploy file.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufWriter, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::sites::Site;

pub type Millis = f64;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn sleep_ms(ms: Millis) {
    thread::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0));
}

// ---------------------------------------------------------------- record

/// The record of a run, with times in milliseconds since its start.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Record>> {
        Ok(Arc::new(Record { start: Instant::now(), file: Mutex::new(BufWriter::new(File::create(path)?)) }))
    }

    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>9.1} {text}", self.now());
        let _ = file.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Pseudo-random numbers; the same in every run.
pub struct Draw(pub u64);

impl Draw {
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) as f64) / ((1u64 << 31) as f64)
    }
}

// ---------------------------------------------------------------- streamers

/// An `OPEN` line that arrived at a streamer.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub streamer: usize,
    pub id: String,
    /// When its first byte arrived.
    pub first_byte: Millis,
}

/// A streamer: it accepts connections, returns each line at once, and turns new connections away while it
/// drains.
pub struct Streamer {
    pub index: usize,
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    draining: AtomicBool,
    /// Whether it asks its clients to leave while it drains, bit by bit.
    sends_clients_away: bool,
    drain_started: Mutex<Option<Instant>>,
    stopped: AtomicBool,
    accepted: AtomicUsize,
}

/// Everything that the streamers have seen.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Mutex<Vec<Arrival>>,
}

pub fn start_streamer(
    index: usize,
    zone: &str,
    sends_clients_away: bool,
    record: &Arc<Record>,
    seen: &Arc<Seen>,
) -> io::Result<Arc<Streamer>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let streamer = Arc::new(Streamer {
        index,
        id: format!("s-{index:02}"),
        zone: zone.to_owned(),
        address: listener.local_addr()?,
        draining: AtomicBool::new(false),
        sends_clients_away,
        drain_started: Mutex::new(None),
        stopped: AtomicBool::new(false),
        accepted: AtomicUsize::new(0),
    });
    let (record, seen, shared) = (record.clone(), seen.clone(), streamer.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if shared.stopped.load(Ordering::SeqCst) {
                return;
            }
            let (record, seen, streamer) = (record.clone(), seen.clone(), shared.clone());
            let _ = thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || drop(streamer.serve(stream, &record, &seen)));
        }
    });
    Ok(streamer)
}

impl Streamer {
    pub fn drain(&self) {
        *self.drain_started.lock().unwrap() = Some(Instant::now());
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Stops: new connections are refused from now on, and those that are left are closed.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    fn serve(&self, mut stream: TcpStream, record: &Record, seen: &Seen) -> io::Result<()> {
        let number = self.accepted.fetch_add(1, Ordering::SeqCst);
        stream.set_nodelay(true)?;
        let mut lines = LineReader::default();
        let mut first_byte = None;
        let first = loop {
            if let Some(line) = lines.next_line() {
                break line;
            }
            if !lines.fill(&mut stream, Duration::from_secs(10))? {
                return Ok(());
            }
            first_byte.get_or_insert(record.now());
        };
        let first_byte = first_byte.unwrap_or(record.now());
        if first == "PING" || first == "STATS" {
            return stream.write_all(b"NO\r\n");
        }
        let id = first.split(' ').nth(1).unwrap_or("-").to_owned();
        if !first.starts_with("OPEN ") {
            record.line(&format!("{} <- {first} ; SYNTAX", self.id));
            return stream.write_all(b"SYNTAX\r\n");
        }
        seen.arrivals.lock().unwrap().push(Arrival { streamer: self.index, id: id.clone(), first_byte });
        if self.draining.load(Ordering::SeqCst) {
            record
                .line(&format!("{} <- OPEN {id} (first byte at {first_byte:.1}) ; BUSY, draining", self.id));
            stream.write_all(b"BUSY\r\n")?;
            return stream.shutdown(Shutdown::Write);
        }
        record.line(&format!("{} <- OPEN {id} (first byte at {first_byte:.1}) ; UP", self.id));
        stream.write_all(format!("UP {}-{number}\r\n", self.id).as_bytes())?;
        // Clients are sent away one after another, from 0.3 s to 2.3 s after the start of the drain.
        let away_after = Duration::from_millis(300 + (number as u64 * 337) % 2000);
        loop {
            while let Some(line) = lines.next_line() {
                stream.write_all(format!("{line}\r\n").as_bytes())?;
            }
            if self.stopped.load(Ordering::SeqCst) {
                record.line(&format!("{} stops, {id} is cut off", self.id));
                return Ok(());
            }
            let started = *self.drain_started.lock().unwrap();
            if self.sends_clients_away && started.is_some_and(|at| at.elapsed() > away_after) {
                stream.write_all(b"MOVE\r\n")?;
                record.line(&format!("{} -> MOVE to {id}", self.id));
                return stream.shutdown(Shutdown::Write);
            }
            match lines.fill(&mut stream, Duration::from_millis(100)) {
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(e) if is_timeout(&e) => {}
                Err(e) => {
                    record.line(&format!("{} connection of {id} broke: {e}", self.id));
                    return Err(e);
                }
            }
        }
    }
}

pub fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Reads lines from a stream.
#[derive(Default)]
pub struct LineReader {
    buffer: Vec<u8>,
}

impl LineReader {
    pub fn next_line(&mut self) -> Option<String> {
        let end = self.buffer.iter().position(|b| *b == b'\n')?;
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        Some(String::from_utf8_lossy(&line).trim_end().to_owned())
    }

    /// Reads more bytes; returns false at the end of the stream.
    pub fn fill(&mut self, stream: &mut TcpStream, limit: Duration) -> io::Result<bool> {
        stream.set_read_timeout(Some(limit.max(Duration::from_millis(1))))?;
        let mut bytes = [0; 4096];
        let read = stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }
}

// ---------------------------------------------------------------- discovery

/// How discovery treats the calls that it gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Service {
    /// It answers at once.
    Prompt,
    /// Each call waits for its turn for this long and is then answered.
    Slow { turn_ms: Millis },
    /// It answers so many calls a second, in turn, and a call that has waited for `timeout_ms` ends in 503.
    /// So many other callers want its list as well; one that fails calls again.
    Crowded { per_s: f64, timeout_ms: Millis, callers: usize },
}

struct Member {
    streamer: Arc<Streamer>,
    phase: &'static str,
    changed_in: u64,
}

/// The list, and what each relay was told when.
struct ListState {
    revision: u64,
    members: Vec<Member>,
    /// For each relay, the revisions that were written to it, with the time.
    told: Vec<Vec<(u64, Millis)>>,
    last_answer: Vec<Option<Instant>>,
}

struct QueuedCall {
    arrived: Instant,
    /// Where the outcome of a relay's call goes; `None` for another caller.
    relay: Option<Sender<bool>>,
}

pub struct Discovery {
    service: Service,
    state: Mutex<ListState>,
    queue: Mutex<VecDeque<QueuedCall>>,
    pub others_answered: AtomicUsize,
    pub others_failed: AtomicUsize,
    pub addresses: Vec<SocketAddr>,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(
        service: Service,
        relays: usize,
        streamers: &[Arc<Streamer>],
        record: &Arc<Record>,
    ) -> io::Result<Arc<Discovery>> {
        let members = streamers.iter().map(|streamer| Member {
            streamer: streamer.clone(),
            phase: "Ready",
            changed_in: 41,
        });
        let listeners: Vec<TcpListener> =
            (0..relays).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let discovery = Arc::new(Discovery {
            service,
            state: Mutex::new(ListState {
                revision: 41,
                members: members.collect(),
                told: vec![Vec::new(); relays],
                last_answer: vec![None; relays],
            }),
            queue: Mutex::default(),
            others_answered: AtomicUsize::new(0),
            others_failed: AtomicUsize::new(0),
            addresses,
            record: record.clone(),
        });
        for (relay, listener) in listeners.into_iter().enumerate() {
            let discovery = discovery.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let discovery = discovery.clone();
                    thread::spawn(move || drop(discovery.serve(relay, stream)));
                }
            });
        }
        if let Service::Crowded { per_s, timeout_ms, callers } = service {
            let discovery = discovery.clone();
            thread::spawn(move || discovery.run_queue(per_s, timeout_ms, callers));
        }
        Ok(discovery)
    }

    /// Changes the phase of a streamer; returns the revision that this makes.
    pub fn set_phase(&self, streamer: usize, phase: &'static str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let member = state.members.iter_mut().find(|m| m.streamer.index == streamer).unwrap();
        member.phase = phase;
        member.changed_in = revision;
        revision
    }

    /// When a revision, or a later one, was first written to a relay.
    pub fn told_at(&self, relay: usize, revision: u64) -> Option<Millis> {
        let state = self.state.lock().unwrap();
        state.told[relay].iter().find(|(told, _)| *told >= revision).map(|(_, at)| *at)
    }

    /// The list in discovery's format: all of it, or what has changed after a revision.
    pub fn list(&self, after: Option<u64>) -> (u64, String) {
        let state = self.state.lock().unwrap();
        let after = after.filter(|after| *after <= state.revision);
        let mut members = String::new();
        for member in state.members.iter().filter(|m| after.is_none_or(|after| m.changed_in > after)) {
            if after.is_none() && member.phase == "Gone" {
                continue;
            }
            let separator = if members.is_empty() { "" } else { "," };
            let streamer = &member.streamer;
            let _ = write!(
                members,
                "{separator}{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"quad-fast\",\"cell\":1,\
                 \"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":0}}",
                streamer.id, streamer.address, streamer.zone, member.phase
            );
        }
        let text = format!(
            "{{\"revision\":{},\"complete\":{},\"members\":[{members}]}}",
            state.revision,
            after.is_none()
        );
        (state.revision, text)
    }

    fn serve(&self, relay: usize, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let Some(path) = read_request(&mut stream)? else { return Ok(()) };
        let arrived = self.record.now();
        let parameter = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (after, wait_ms) = (parameter("after"), parameter("wait_ms").unwrap_or(0));
        let last_answer = self.state.lock().unwrap().last_answer[relay];
        let continues =
            after.is_some() && last_answer.is_some_and(|at| at.elapsed() <= Duration::from_millis(200));
        if !continues {
            self.record.line(&format!("discovery: relay {relay} calls {path}"));
        }
        if !continues && !self.wait_for_turn() {
            self.record.line(&format!(
                "discovery: relay {relay} gets 503 after {:.0} ms",
                self.record.now() - arrived
            ));
            stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
            return finish(stream);
        }
        let wait_until = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        if let Some(after) = after {
            while self.state.lock().unwrap().revision <= after && Instant::now() < wait_until {
                sleep_ms(5.0);
            }
        }
        let (revision, body) = self.list(after);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n";
        let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        // A caller that has given its call up has closed its connection.
        let gone = has_closed(&stream);
        let written = !gone && stream.write_all(answer.as_bytes()).is_ok();
        let now = self.record.now();
        if !written {
            self.record.line(&format!(
                "discovery: relay {relay}'s answer is ready {:.0} ms after its call, but the relay has given \
                 the call up",
                now - arrived
            ));
            return Ok(());
        }
        let mut state = self.state.lock().unwrap();
        let is_news = state.told[relay].last().is_none_or(|(told, _)| *told < revision);
        state.told[relay].push((revision, now));
        state.last_answer[relay] = Some(Instant::now());
        drop(state);
        if is_news || !continues {
            self.record.line(&format!("discovery: relay {relay} is told revision {revision}"));
        }
        finish(stream)
    }

    /// Waits for the turn of a call; returns false if the call has waited too long.
    fn wait_for_turn(&self) -> bool {
        match self.service {
            Service::Prompt => true,
            Service::Slow { turn_ms } => {
                sleep_ms(turn_ms);
                true
            }
            Service::Crowded { .. } => {
                let (sender, outcome) = channel();
                let call = QueuedCall { arrived: Instant::now(), relay: Some(sender) };
                self.queue.lock().unwrap().push_back(call);
                outcome.recv().unwrap_or(false)
            }
        }
    }

    /// Takes the calls in turn. The other callers stay in this process; each call of theirs waits in the same
    /// queue as those of the relays.
    fn run_queue(&self, per_s: f64, timeout_ms: Millis, callers: usize) {
        let mut draw = Draw(47);
        let start = Instant::now();
        let after = |ms: f64| Instant::now() + Duration::from_secs_f64(ms / 1000.0);
        // The others come within one time-out and come again 0.1 to 0.4 s after a failure.
        let mut next_calls: Vec<Instant> = (0..callers).map(|_| after(draw.next() * timeout_ms)).collect();
        let mut taken = 0.0;
        loop {
            let now = Instant::now();
            let mut queue = self.queue.lock().unwrap();
            let mut due = 0;
            next_calls.retain(|at| {
                due += usize::from(*at <= now);
                *at > now
            });
            queue.extend((0..due).map(|_| QueuedCall { arrived: now, relay: None }));
            let timeout = Duration::from_secs_f64(timeout_ms / 1000.0);
            while queue.front().is_some_and(|call| now - call.arrived >= timeout) {
                match queue.pop_front().unwrap().relay {
                    Some(relay) => drop(relay.send(false)),
                    None => {
                        self.others_failed.fetch_add(1, Ordering::SeqCst);
                        next_calls.push(after(100.0 + 300.0 * draw.next()));
                    }
                }
            }
            while taken < start.elapsed().as_secs_f64() * per_s {
                taken += 1.0;
                match queue.pop_front().map(|call| call.relay) {
                    Some(Some(relay)) => drop(relay.send(true)),
                    // Who has the list goes on to watch, which costs discovery next to nothing.
                    Some(None) => drop(self.others_answered.fetch_add(1, Ordering::SeqCst)),
                    None => {}
                }
            }
            drop(queue);
            sleep_ms(5.0);
        }
    }
}

fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut head = Vec::new();
    let mut bytes = [0; 2048];
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        let read = stream.read(&mut bytes)?;
        if read == 0 {
            return Ok(None);
        }
        head.extend_from_slice(&bytes[..read]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    Ok(head.split(' ').nth(1).map(str::to_owned))
}

fn has_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0; 1]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => !is_timeout(&e),
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// Ends the sending and reads until the other side closes, so that no answer is lost by a reset.
fn finish(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Write)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut bytes = [0; 512];
    while stream.read(&mut bytes).is_ok_and(|read| read > 0) {}
    Ok(())
}

// ---------------------------------------------------------------- relays

/// A free loopback address. The port is free at this moment; nothing else on the machine is told of it.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

pub fn free_udp_address() -> io::Result<SocketAddr> {
    UdpSocket::bind("127.0.0.1:0")?.local_addr()
}

/// The program of the deploy file's key, such as `run`.
pub fn deploy_command(root: &Path, key: &str) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find(|line| line.starts_with(key) && line.contains('='));
    let command = line.and_then(|line| line.split('"').nth(1)).map(str::to_owned);
    command.ok_or_else(|| io::Error::other(format!("deploy/balancer.toml has no {key}")))
}

/// A relay's process. It is killed when this value is dropped.
pub struct Relay {
    pub index: usize,
    pub listen: SocketAddr,
    child: Option<Child>,
    command: String,
    root: PathBuf,
    folder: PathBuf,
    environment: BTreeMap<String, String>,
}

pub struct RelayPlan<'a> {
    pub root: &'a Path,
    /// The folder of this run, for the relay's files.
    pub folder: &'a Path,
    pub index: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub peer_listen: SocketAddr,
    pub peers: &'a [SocketAddr],
    pub known: &'a str,
    pub settings: &'a str,
}

impl Relay {
    pub fn start(plan: &RelayPlan<'_>, record: &Record) -> io::Result<Relay> {
        let RelayPlan { root, folder, index, listen, discovery, peer_listen, peers, known, settings } = plan;
        let folder = folder.join(format!("relay-{index}"));
        let temporary = folder.join("tmp");
        std::fs::create_dir_all(&temporary)?;
        let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let seed = format!("{:016x}", 0x8c1f_30d2_7a5b_e964u64.wrapping_add(*index as u64 * 0x9e37_79b9));
        let config = format!(
            "{{\"name\":\"n{index}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed}\",\n\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\n\
             \"peer_listen\":\"{peer_listen}\",\"peers\":[{}],\n\"known\":{known},\n\"settings\":{settings}}}\n",
            peers.join(",")
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config)?;
        let environment = BTreeMap::from([
            ("PROXY_NAME".to_owned(), format!("n{index}")),
            ("PROXY_LISTEN".to_owned(), listen.to_string()),
            ("PROXY_DISCOVERY".to_owned(), discovery.to_string()),
            ("PROXY_CONFIG".to_owned(), path.display().to_string()),
            ("TMPDIR".to_owned(), temporary.display().to_string()),
        ]);
        let command = deploy_command(root, "run")?;
        let root = root.to_path_buf();
        let mut relay =
            Relay { index: *index, listen: *listen, child: None, command, root, folder, environment };
        relay.spawn(record)?;
        Ok(relay)
    }

    fn spawn(&mut self, record: &Record) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&self.command)
            .current_dir(&self.root)
            .envs(&self.environment)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(&format!("platform: relay {} starts, process {}", self.index, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Asks `PING` as the front does, until the answer is `PONG`.
    pub fn wait_ready(&mut self, limit_ms: Millis, record: &Record) -> bool {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() * 1000.0 < limit_ms {
            if self.ping().is_ok_and(|answer| answer == "PONG") {
                record.line(&format!("front: relay {} answers PONG", self.index));
                return true;
            }
            sleep_ms(50.0);
        }
        false
    }

    pub fn ping(&self) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.listen, Duration::from_secs(1))?;
        stream.write_all(b"PING\r\n")?;
        let mut lines = LineReader::default();
        loop {
            if let Some(line) = lines.next_line() {
                return Ok(line);
            }
            if !lines.fill(&mut stream, Duration::from_secs(1))? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn terminate(&self) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {}", child.id())).status().map(drop)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The lines of the relay's log that name discovery, for the record.
    pub fn log_lines(&self, about: &str, most: usize) -> Vec<String> {
        let text = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        text.lines().filter(|line| line.contains(about)).take(most).map(str::to_owned).collect()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts all relays of a small deployment and waits until each answers `PONG`.
pub fn start_relays(
    site: &Site,
    mode: &str,
    root: &Path,
    folder: &Path,
    discovery: &Discovery,
    known: &str,
    record: &Record,
) -> io::Result<Vec<Relay>> {
    let listen: Vec<_> = (0..site.relays).map(|_| free_address()).collect::<io::Result<_>>()?;
    let peers: Vec<_> = (0..site.relays).map(|_| free_udp_address()).collect::<io::Result<_>>()?;
    let mut relays = Vec::new();
    for index in 0..site.relays {
        let plan = RelayPlan {
            root,
            folder,
            index,
            listen: listen[index],
            discovery: discovery.addresses[index],
            peer_listen: peers[index],
            peers: &peers,
            known,
            settings: &site.settings(index, site.relays, mode),
        };
        relays.push(Relay::start(&plan, record)?);
    }
    // All relays have to be ready within 30 s together, so that a case never runs for long.
    let limit = record.now() + 30_000.0;
    for relay in &mut relays {
        if !relay.wait_ready(limit - record.now(), record) {
            return Err(io::Error::other(format!("relay {} was not ready", relay.index)));
        }
    }
    Ok(relays)
}

// ---------------------------------------------------------------- clients

/// How a client's connection ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Refused,
    Failed,
    NoAnswer,
    Unreachable,
    /// It was served until the client left.
    Left,
    /// It was asked to come again.
    Moved,
    /// Its streamer ended it in good order.
    Bye,
    /// It was cut off without a word.
    Cut,
}

/// One connection of a client.
#[derive(Clone, Debug)]
pub struct Visit {
    pub id: String,
    pub relay: usize,
    /// The streamer that its `UP` names.
    pub streamer: Option<String>,
    pub up_at: Option<Millis>,
    pub ended_at: Millis,
    pub end: End,
}

pub struct Clients {
    record: Arc<Record>,
    /// Where the relays listen.
    relays: Vec<SocketAddr>,
    /// The relays to which the front sends new connections.
    admitted: Mutex<Vec<usize>>,
    pub visits: Mutex<Vec<Visit>>,
    /// The relay of each connection.
    relay_of: Mutex<HashMap<String, usize>>,
    next: AtomicUsize,
    stop: AtomicBool,
    open: AtomicUsize,
}

/// What the clients of a case ask for.
#[derive(Clone)]
pub struct Wish {
    pub class: String,
    pub tenant: String,
    pub deadline_ms: u64,
    pub group: String,
    pub key: String,
    pub stay_ms: Millis,
}

/// Draws the wishes of the clients of a site.
pub fn draw_wish(site: &Site, draw: &mut Draw, stay_ms: Millis) -> Wish {
    let (class, deadline_ms) = site.classes[(draw.next() * site.classes.len() as f64) as usize];
    let tenant = site.tenants.get((draw.next() * site.tenants.len() as f64) as usize);
    Wish {
        class: class.to_owned(),
        tenant: tenant.copied().unwrap_or_default().to_owned(),
        deadline_ms,
        group: format!("g{:x}", (draw.next() * 40.0) as u64),
        key: format!("k{:x}", (draw.next() * 1e12) as u64),
        stay_ms,
    }
}

impl Clients {
    pub fn new(record: &Arc<Record>, relays: Vec<SocketAddr>) -> Arc<Clients> {
        let admitted = Mutex::new((0..relays.len()).collect());
        Arc::new(Clients {
            record: record.clone(),
            relays,
            admitted,
            visits: Mutex::default(),
            relay_of: Mutex::default(),
            next: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            open: AtomicUsize::new(0),
        })
    }

    pub fn admit(&self, relays: Vec<usize>) {
        *self.admitted.lock().unwrap() = relays;
    }

    pub fn relay_of(&self, id: &str) -> Option<usize> {
        self.relay_of.lock().unwrap().get(id).copied()
    }

    /// All clients leave.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
        let start = Instant::now();
        while self.open.load(Ordering::SeqCst) > 0 && start.elapsed() < Duration::from_secs(6) {
            sleep_ms(20.0);
        }
    }

    /// Starts a client. Refused or cut off, it comes again a few times, as the pages allow.
    pub fn arrive(self: &Arc<Self>, wish: Wish) {
        let clients = self.clone();
        clients.open.fetch_add(1, Ordering::SeqCst);
        let _ = thread::Builder::new().stack_size(128 * 1024).spawn(move || {
            clients.run(&wish);
            clients.open.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn run(&self, wish: &Wish) {
        let mut marks = "";
        let start = Instant::now();
        for _ in 0..4 {
            let left = wish.stay_ms - start.elapsed().as_secs_f64() * 1000.0;
            if left <= 0.0 || self.stop.load(Ordering::SeqCst) {
                return;
            }
            let number = self.next.fetch_add(1, Ordering::SeqCst);
            let admitted = self.admitted.lock().unwrap().clone();
            let relay = admitted[number % admitted.len()];
            let id = format!("c{number:06x}");
            self.relay_of.lock().unwrap().insert(id.clone(), relay);
            let mut visit =
                Visit { id, relay, streamer: None, up_at: None, ended_at: 0.0, end: End::Unreachable };
            if let Err(e) = self.visit(wish, marks, left, &mut visit) {
                self.record.line(&format!("client {}: {e}", visit.id));
            }
            visit.ended_at = self.record.now();
            self.record.line(&format!("client {} at relay {relay}: {:?}", visit.id, visit.end));
            let end = visit.end.clone();
            self.visits.lock().unwrap().push(visit);
            marks = match end {
                End::Left | End::Bye => return,
                End::Moved | End::Cut => ",again=1",
                _ => ",r=1",
            };
            // Clients come again 58 to 1,900 ms after a break or a move, and some time after a refusal.
            sleep_ms(58.0 + ((number as f64 * 271.0) % 700.0));
        }
    }

    fn visit(&self, wish: &Wish, marks: &str, stay_ms: Millis, visit: &mut Visit) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&self.relays[visit.relay], Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let Wish { class, tenant, deadline_ms, group, key, .. } = wish;
        let tenant = if tenant.is_empty() { String::new() } else { format!(",t={tenant}") };
        let open = format!("OPEN {} {key} c={class}{tenant},d={deadline_ms},g={group}{marks}\r\n", visit.id);
        stream.write_all(open.as_bytes())?;
        self.record.line(&format!("client -> relay {}: {}", visit.relay, open.trim_end()));
        visit.end = End::NoAnswer;
        let deadline = Instant::now() + Duration::from_millis(deadline_ms + 600);
        let mut lines = LineReader::default();
        let answer = loop {
            if let Some(line) = lines.next_line() {
                break line;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || !lines.fill(&mut stream, left)? {
                return Ok(());
            }
        };
        if !answer.starts_with("UP ") {
            visit.end = if answer.starts_with("BUSY") { End::Refused } else { End::Failed };
            return Ok(());
        }
        visit.up_at = Some(self.record.now());
        // A receipt is the streamer's id and a number.
        visit.streamer = answer[3..].rsplit_once('-').map(|(streamer, _)| streamer.to_owned());
        visit.end = End::Cut;
        let leave_at = Instant::now() + Duration::from_secs_f64(stay_ms / 1000.0);
        let mut next_line = Instant::now() + Duration::from_millis(700);
        let mut sent = 0;
        let mut last = String::new();
        loop {
            let now = Instant::now();
            if now >= leave_at || self.stop.load(Ordering::SeqCst) {
                visit.end = End::Left;
                stream.shutdown(Shutdown::Write)?;
                while lines.fill(&mut stream, Duration::from_secs(1))? {}
                return Ok(());
            }
            if now >= next_line {
                next_line += Duration::from_secs(2);
                sent += 1;
                stream.write_all(format!("line {sent}\r\n").as_bytes())?;
            }
            while let Some(line) = lines.next_line() {
                last = line;
            }
            match lines.fill(&mut stream, Duration::from_millis(100)) {
                Ok(true) => {}
                Ok(false) => break,
                Err(e) if is_timeout(&e) => {}
                Err(e) => {
                    self.record.line(&format!("client {}: {e}", visit.id));
                    break;
                }
            }
        }
        while let Some(line) = lines.next_line() {
            last = line;
        }
        if last == "MOVE" {
            visit.end = End::Moved;
        } else if last == "BYE" {
            visit.end = End::Bye;
        }
        Ok(())
    }
}
