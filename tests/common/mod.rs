//! Shared support for the tests that start the real program: a relay process, stubs of discovery and of
//! endpoints, and clients. Every relay has loopback addresses of its own, so that tests don't collide.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time-out of all waits. It is longer than any wait in a passing test.
pub const LONG: Duration = Duration::from_secs(20);

/// Returns a loopback address that no other test uses.
pub fn host() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(2);
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!("127.{}.{}.{n}", 16 + pid / 250 % 200, 1 + pid % 250)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

#[derive(Default)]
struct EndpointList {
    revision: u64,
    /// The JSON entry of each endpoint, and the revision that last changed it.
    entries: BTreeMap<String, (String, u64)>,
    down: bool,
    latency: Latency,
    calls: CallCounts,
}

/// How long a stub of discovery takes to answer. A call that waits for a change is delayed before the wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    /// The delay of calls that do not wait for a change.
    pub calls: Duration,
    /// The delay of calls that wait for a change.
    pub watches: Duration,
}

/// Calls to a stub of discovery.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Calls so far that do not wait for a change.
    pub immediate: usize,
    /// Calls that are open.
    pub open: usize,
    /// The largest number of calls that were open at the same time.
    pub max_open: usize,
}

/// A stub of discovery that serves the full list, and subscriptions to its changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: String,
    list: Arc<(Mutex<EndpointList>, Condvar)>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind((host(), 8500)).unwrap();
        let discovery =
            Discovery { address: listener.local_addr().unwrap().to_string(), list: Arc::default() };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let served = served.clone();
                thread::spawn(move || served.answer(stream.unwrap()));
            }
        });
        discovery
    }

    /// Returns a handle to the same list for a relay that calls discovery at another address.
    pub fn asked_at(&self, address: &str) -> Discovery {
        Discovery { address: address.to_owned(), list: self.list.clone() }
    }

    /// Changes or adds an entry in zone `a`. Returns the time of the change.
    pub fn set(&self, id: &str, address: &str, phase: &str, up_since: u64) -> Instant {
        self.set_in(id, address, phase, up_since, "a")
    }

    /// Changes or adds an entry in `zone`. Returns the time of the change.
    pub fn set_in(&self, id: &str, address: &str, phase: &str, up_since: u64, zone: &str) -> Instant {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        list.revision += 1;
        let entry = format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{up_since}}}"#
        );
        let revision = list.revision;
        list.entries.insert(id.into(), (entry, revision));
        changed.notify_all();
        Instant::now()
    }

    pub fn down(&self, down: bool) {
        self.list.0.lock().unwrap().down = down;
    }

    /// Delays the calls that arrive from now on.
    pub fn set_latency(&self, latency: Latency) {
        self.list.0.lock().unwrap().latency = latency;
    }

    pub fn calls(&self) -> CallCounts {
        self.list.0.lock().unwrap().calls
    }

    pub fn revision(&self) -> u64 {
        self.list.0.lock().unwrap().revision
    }

    pub fn json(&self, after: u64) -> String {
        let list = self.list.0.lock().unwrap();
        let entries = list.entries.values().filter(|(_, r)| *r > after).map(|(entry, _)| entry.as_str());
        let entries = entries.collect::<Vec<_>>().join(",");
        format!(r#"{{"revision":{},"complete":{},"members":[{entries}]}}"#, list.revision, after == 0)
    }

    fn answer(&self, mut stream: TcpStream) {
        let mut line = String::new();
        if BufReader::new(&stream).read_line(&mut line).is_err() {
            return;
        }
        let number = |name: &str| {
            let text = line.split(name).nth(1).unwrap_or("0");
            text.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("0").parse().unwrap_or(0)
        };
        let (after, wait) = (number("after="), number("wait_ms="));
        let (list, changed) = &*self.list;
        let answer_from = Instant::now() + self.begin_call(wait > 0);
        while Instant::now() < answer_from {
            if has_closed(&stream) {
                list.lock().unwrap().calls.open -= 1;
                return;
            }
            thread::sleep(CLOSE_CHECK_INTERVAL.min(answer_from - Instant::now()));
        }
        let is_unchanged = |l: &mut EndpointList| l.revision <= after && !l.down;
        drop(
            changed
                .wait_timeout_while(list.lock().unwrap(), Duration::from_millis(wait), is_unchanged)
                .unwrap(),
        );
        let body = self.json(after);
        let status = if list.lock().unwrap().down { "503 Service Unavailable" } else { "200 OK" };
        let _ = write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        list.lock().unwrap().calls.open -= 1;
    }

    /// Counts a call. Returns how long its answer is delayed.
    fn begin_call(&self, waits_for_change: bool) -> Duration {
        let mut list = self.list.0.lock().unwrap();
        list.calls.open += 1;
        list.calls.max_open = list.calls.max_open.max(list.calls.open);
        if waits_for_change {
            return list.latency.watches;
        }
        list.calls.immediate += 1;
        list.latency.calls
    }
}

/// How often a stub of discovery checks whether the caller has given up a call that is delayed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the other side has closed the connection.
fn has_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let closed = match stream.peek(&mut [0; 1]) {
        Ok(read) => read == 0,
        Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).unwrap();
    closed
}

/// The lines and events that a stub has received, each with its time.
pub type Log = Arc<Mutex<Vec<(Instant, String)>>>;

pub fn note(log: &Log, text: impl Into<String>) {
    log.lock().unwrap().push((Instant::now(), text.into()));
}

/// A stub of an endpoint that passes each connection to a function.
pub struct Endpoint {
    pub address: String,
    pub log: Log,
}

impl Endpoint {
    pub fn start(serve: impl Fn(TcpStream, &Log) + Send + Sync + 'static) -> Endpoint {
        let listener = TcpListener::bind((host(), 8443)).unwrap();
        let (address, log) = (listener.local_addr().unwrap().to_string(), Log::default());
        let (serve, seen) = (Arc::new(serve), log.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (serve, seen) = (serve.clone(), seen.clone());
                thread::spawn(move || serve(stream.unwrap(), &seen));
            }
        });
        Endpoint { address, log }
    }

    /// Starts an endpoint that logs each line it reads, replies with `answer` to the first, and echoes the
    /// others until it reads `bye`.
    pub fn lines(answer: &'static str) -> Endpoint {
        Endpoint::start(move |stream, log| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut line = String::new();
            let mut writer = stream;
            while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                note(log, line.trim_end());
                let is_first = line.starts_with("OPEN");
                let is_last = line.starts_with("bye");
                let reply = if is_first {
                    answer
                } else if is_last {
                    "BYE\r\n"
                } else {
                    line.as_str()
                };
                if writer.write_all(reply.as_bytes()).is_err()
                    || is_last
                    || is_first && !answer.starts_with("UP")
                {
                    return;
                }
                line.clear();
            }
            note(log, "end");
        })
    }

    pub fn seen(&self) -> Vec<String> {
        self.log.lock().unwrap().iter().map(|(_, text)| text.clone()).collect()
    }
}

/// A relay process, which is killed when dropped.
pub struct Relay {
    child: Child,
    pub line: String,
    pub rtmp: String,
    pub snmp: String,
    pub ops: String,
    folder: tempfile::TempDir,
}

/// The relay's settings in the platform's configuration.
pub const SETTINGS: &str = r#"{"realms":[{"name":"acme"},{"name":"me"}],"discovery":"on_request","nInstances":2,"me":0,"resolutionMs":2.0,
"lanes":[{"name":"subtitle-stream","semantics":"safe","aimMs":500.0,"hardLimitMs":3000.0,"worth":1.0}],
"limits":{"maxAttempts":5,"connectTimeoutMs":200.0,"retryAfter":true,"maxRetryAfterMs":1500.0,"peerMessages":true},
"rules":{"askEveryMs":10000.0,"coldFrom":0.31,"warmWithinMs":8600.0,"tipMultiple":3.0},
"domain":{"mode":"pass","groups":true,"messageAimMs":[150.0]}}"#;

/// The platform's configuration for a relay, with discovery's current entries as the cached endpoint list.
fn platform_configuration(
    line: &str,
    peers: &[String],
    local_index: usize,
    discovery: &Discovery,
    sockets: u32,
) -> String {
    format!(
        r#"{{"name":"n0","limits":{{"sockets":{sockets}}},"listen":"{line}","ops":"{}","discovery":"{}","seed":"1","peer_listen":"{}","peers":{peers:?},
        "known":{},"settings":{}}}"#,
        line.replace("8443", "8444"),
        discovery.address,
        peers[local_index],
        discovery.json(0),
        SETTINGS
            .replace("\"me\":0", &format!("\"me\":{local_index}"))
            .replace("\"nInstances\":2", &format!("\"nInstances\":{}", peers.len().max(2)))
    )
}

/// A command that runs the program with the configuration files in `folder`, after the shell command
/// `limits`, which usually sets resource limits.
pub fn command(folder: &std::path::Path, limits: &str) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", &format!("{limits}; exec \"$0\" \"$@\""), env!("CARGO_BIN_EXE_sandgw")]);
    let log = std::fs::File::create(folder.join("log")).unwrap();
    command.arg("run").arg(folder.join("app.toml")).env("PROXY_CONFIG", folder.join("config.json"));
    command.stderr(Stdio::from(log));
    command
}

impl Relay {
    /// Starts a relay that has discovery's current list, with the listeners of both client protocols and the
    /// SNMP agent.
    pub fn start(discovery: &Discovery) -> Relay {
        Self::start_with(discovery, 1024)
    }

    /// Starts a relay like [`Relay::start`], limited to `sockets` descriptors.
    pub fn start_with(discovery: &Discovery, sockets: u32) -> Relay {
        Self::start_one(discovery, sockets, &[host()], 0)
    }

    /// Starts relay number `local_index` of the cluster whose relays have the addresses `cluster`.
    pub fn start_one(discovery: &Discovery, sockets: u32, cluster: &[String], local_index: usize) -> Relay {
        Self::start_more(discovery, sockets, cluster, local_index, "")
    }

    /// Starts a relay like [`Relay::start_one`], with `more` appended to the application's file.
    pub fn start_more(
        discovery: &Discovery,
        sockets: u32,
        cluster: &[String],
        local_index: usize,
        more: &str,
    ) -> Relay {
        // The operating system's limit equals the configured number of descriptors.
        Self::start_limited(discovery, &format!("ulimit -n {sockets}"), sockets, cluster, local_index, more)
    }

    /// Starts a relay like [`Relay::start_more`], and does not wait until it is ready for clients.
    pub fn start_unready(
        discovery: &Discovery,
        sockets: u32,
        cluster: &[String],
        local_index: usize,
        more: &str,
    ) -> Relay {
        Self::start_listening(discovery, &format!("ulimit -n {sockets}"), sockets, cluster, local_index, more)
    }

    /// Starts a relay like [`Relay::start_more`], under the limits that the shell command `limits` sets. They
    /// may differ from the configured number of descriptors, `sockets`.
    pub fn start_limited(
        discovery: &Discovery,
        limits: &str,
        sockets: u32,
        cluster: &[String],
        local_index: usize,
        more: &str,
    ) -> Relay {
        let relay = Self::start_listening(discovery, limits, sockets, cluster, local_index, more);
        until("the relay is ready", || !relay.status().contains("starting"));
        relay
    }

    /// Starts a relay like [`Relay::start_limited`], and waits only until it accepts connections.
    fn start_listening(
        discovery: &Discovery,
        limits: &str,
        sockets: u32,
        cluster: &[String],
        local_index: usize,
        more: &str,
    ) -> Relay {
        let (host, folder) = (&cluster[local_index], tempfile::tempdir().unwrap());
        let [line, rtmp, snmp, ops] = [8443, 1935, 1161, 8444].map(|port| format!("{host}:{port}"));
        let peers: Vec<_> = cluster.iter().map(|host| format!("{host}:7946")).collect();
        let file = format!(
            "[rtmp]\nlisten = \"{rtmp}\"\nclass = \"subtitle-stream\"\ntrusted = [\"127.0.0.1\"]\n\
             [snmp]\nlisten = \"{snmp}\"\ncommunity = \"hall\"\n{more}"
        );
        std::fs::write(folder.path().join("app.toml"), file).unwrap();
        let text = platform_configuration(&line, &peers, local_index, discovery, sockets);
        std::fs::write(folder.path().join("config.json"), text).unwrap();
        let child = command(folder.path(), limits).spawn().unwrap();
        let relay = Relay { child, line, rtmp, snmp, ops, folder };
        let start = Instant::now();
        while TcpStream::connect(&relay.line).is_err() {
            assert!(start.elapsed() < LONG, "the relay does not listen for clients");
            thread::sleep(Duration::from_millis(10));
        }
        relay
    }

    /// Starts one relay of a cluster on `host`. It reaches its peers at the addresses `seen`, where the test
    /// listens.
    pub fn start_seen(
        discovery: &Discovery,
        host: &str,
        seen: &[String],
        local_index: usize,
        more: &str,
    ) -> Relay {
        let mut cluster = seen.to_vec();
        cluster[local_index] = host.to_owned();
        Self::start_more(discovery, 256, &cluster, local_index, more)
    }

    /// Sends an operators' call. Returns the first line of the answer without its line end.
    pub fn call(&self, text: &[u8]) -> String {
        let mut caller = connect(&self.ops);
        caller.write_all(text).unwrap();
        Client(BufReader::new(caller)).line()
    }

    /// Starts a second process of this relay. Its configuration differs only in the operators' address. Does
    /// not wait until the process is ready.
    pub fn beside(&self) -> Relay {
        static NEXT: AtomicU32 = AtomicU32::new(9000);
        let folder = tempfile::tempdir().unwrap();
        let host = self.ops.split(':').next().unwrap();
        let ops = format!("{host}:{}", NEXT.fetch_add(1, Ordering::Relaxed));
        std::fs::write(folder.path().join("config.json"), self.configuration().replace(&self.ops, &ops))
            .unwrap();
        std::fs::copy(self.folder.path().join("app.toml"), folder.path().join("app.toml")).unwrap();
        let child = command(folder.path(), "true").spawn().unwrap();
        let (line, rtmp, snmp) = (self.line.clone(), self.rtmp.clone(), self.snmp.clone());
        Relay { child, line, rtmp, snmp, ops, folder }
    }

    /// The answer to the operators' call `status`, or an empty text if no process listens yet.
    pub fn status(&self) -> String {
        let Ok(mut caller) = TcpStream::connect(&self.ops) else { return String::new() };
        caller.set_read_timeout(Some(LONG)).unwrap();
        caller.write_all(b"status\n").unwrap();
        Client(BufReader::new(caller)).line()
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        // The test has not waited for the process yet, so it stays in the kernel's process table as a zombie.
        self.process_state() == 'Z'
    }

    /// The letter of the process's state in the kernel's process table.
    fn process_state(&self) -> char {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        stat.rsplit(')').next().unwrap().trim_start().chars().next().unwrap()
    }

    pub fn client(&self) -> Client {
        Client(BufReader::new(connect(&self.line)))
    }

    /// Replaces the platform's configuration and sends SIGHUP. Without `discovery` the new configuration is
    /// malformed.
    pub fn reload(&self, discovery: Option<&Discovery>) {
        let peers = [self.line.replace("8443", "7946")];
        let text =
            discovery.map_or_else(|| "{".into(), |d| platform_configuration(&self.line, &peers, 0, d, 1024));
        self.write_configuration(&text);
    }

    fn write_configuration(&self, text: &str) {
        std::fs::write(self.folder.path().join("config.json"), text).unwrap();
        self.signal("HUP");
    }

    /// The current text of the platform's configuration.
    pub fn configuration(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("config.json")).unwrap()
    }

    /// Replaces the platform's configuration, sends SIGHUP, and waits until the relay has logged it.
    pub fn configure(&self, text: &str) {
        let reloads_logged = || self.log().matches("SIGHUP").count();
        let before = reloads_logged();
        self.write_configuration(text);
        until("the relay logs SIGHUP", || reloads_logged() > before);
    }

    /// Replaces a part of the application's file, which is read with the next [`Relay::configure`].
    pub fn replace_in_application(&self, old: &str, new: &str) {
        let path = self.folder.path().join("app.toml");
        let text = std::fs::read_to_string(&path).unwrap();
        assert!(text.contains(old), "{old}");
        std::fs::write(path, text.replace(old, new)).unwrap();
    }

    /// The relay's log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap()
    }

    /// Resident memory in KiB.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Stops the process until it gets SIGCONT, and waits until it has stopped.
    pub fn freeze(&self) {
        self.signal("STOP");
        until("the process has stopped", || self.process_state() == 'T');
    }

    /// Limits the process to descriptor numbers below `most` from now on.
    pub fn limit_descriptors(&self, most: u64) {
        use rustix::process::{Pid, Resource, Rlimit, prlimit};
        let limits = std::fs::read_to_string(format!("/proc/{}/limits", self.child.id())).unwrap();
        let files = limits.lines().find(|line| line.starts_with("Max open files")).unwrap();
        let maximum = files.split_whitespace().nth(4).unwrap().parse().ok();
        let pid = Pid::from_raw(self.child.id() as i32);
        prlimit(pid, Resource::Nofile, Rlimit { current: Some(most), maximum }).unwrap();
    }

    /// The number of descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// The size of the process's descriptor table. The kernel starts with 64 entries, doubles the table when
    /// it is full, and never shrinks it.
    pub fn descriptor_table_size(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("FDSize")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Sends SIGTERM, as a planned restart does.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(kill.unwrap().success());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// A client of the line protocol.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn send(&mut self, text: &str) -> &mut Client {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
        self
    }

    /// Sends a request, with `more` appended to its keys.
    pub fn open(&mut self, more: &str) -> &mut Client {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let id = NEXT.fetch_add(1, Ordering::Relaxed);
        self.send(&format!(
            "OPEN 9b1f03aa{id:08x} 7f3a9c21e0b4d655 c=subtitle-stream,t=acme,d=2000{more}\r\n"
        ))
    }

    /// Reads the next line, without its line end. If the connection has ended, returns how it ended.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => "(end)".into(),
            Ok(_) => line.trim_end().into(),
            Err(e) => format!("({:?})", e.kind()),
        }
    }

    /// Reads everything up to the end of the connection.
    pub fn rest(&mut self) -> String {
        let mut rest = String::new();
        let _ = self.0.read_to_string(&mut rest);
        rest
    }
}

/// Waits until `holds` returns true, and fails the test after [`LONG`].
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the next connection of a non-blocking listener. The test fails, and does not hang, if no client
/// connects.
pub fn accepted<S, A>(accept: impl Fn() -> std::io::Result<(S, A)>) -> S {
    let start = Instant::now();
    loop {
        match accept() {
            Ok((stream, _)) => return stream,
            Err(e) => assert!(start.elapsed() < LONG, "no client connects: {e}"),
        }
        thread::sleep(Duration::from_millis(2));
    }
}
