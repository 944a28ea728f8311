//! The relay as a process, started as the platform starts it: by the shell with the command `run` of the deploy
//! file, from the repository's root, with its configuration as a file and an own folder for temporary files.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use super::settings::Settings;
use super::{note, system, wait_until};

/// How long a relay may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// The processes that the case has started and not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The log files of all processes, with the name of each.
static LOGS: Mutex<Vec<(String, PathBuf)>> = Mutex::new(Vec::new());

/// Kills all processes of the case.
pub fn kill_all() {
    for process in std::mem::take(&mut *RUNNING.lock().unwrap()) {
        system::send_signal(process, system::SIGKILL);
    }
}

/// Appends the logs of all processes to the record, and removes the case's folder.
pub fn append_logs() {
    for (name, path) in LOGS.lock().unwrap().iter() {
        note(&format!("log of {name}:"));
        let text = fs::read_to_string(path).unwrap_or_default();
        text.lines().for_each(|line| note(&format!("    {line}")));
    }
    let _ = fs::remove_dir_all(case_folder());
}

fn case_folder() -> PathBuf {
    std::env::temp_dir().join(format!("sandgw-review-{}", std::process::id()))
}

/// Free loopback addresses for TCP, each another one.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, String> {
    // All are held until the last is found: the system may give a port that was given back once more.
    let bind = |_| TcpListener::bind((system::host(), 0));
    let held = (0..count).map(bind).collect::<Result<Vec<_>, _>>();
    let addresses = held.and_then(|held| held.iter().map(TcpListener::local_addr).collect());
    addresses.map_err(|e| format!("no free address: {e}"))
}

/// Free loopback addresses for datagrams, each another one.
fn free_datagram_addresses(count: usize) -> Result<Vec<SocketAddr>, String> {
    let bind = |_| UdpSocket::bind((system::host(), 0));
    let held = (0..count).map(bind).collect::<Result<Vec<_>, _>>();
    let addresses = held.and_then(|held| held.iter().map(UdpSocket::local_addr).collect());
    addresses.map_err(|e| format!("no free address: {e}"))
}

/// Where one relay and its peers are, and what it is told.
#[derive(Clone)]
pub struct RelayConfig {
    pub number: usize,
    pub listen: SocketAddr,
    pub operators: SocketAddr,
    pub discovery: SocketAddr,
    /// Addresses of all relays' datagrams, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    pub settings: Settings,
    /// The list that it had most recently, as JSON.
    pub known: String,
}

impl RelayConfig {
    /// The configurations of all relays of a deployment; relay `n` calls discovery at `discovery[n]`.
    pub fn all(
        settings: &Settings,
        discovery: &[SocketAddr],
        known: &str,
    ) -> Result<Vec<RelayConfig>, String> {
        let peers = free_datagram_addresses(settings.relays)?;
        let addresses = free_addresses(2 * settings.relays)?;
        let config = |number: usize| RelayConfig {
            number,
            listen: addresses[2 * number],
            operators: addresses[2 * number + 1],
            discovery: discovery[number % discovery.len()],
            peers: peers.clone(),
            settings: settings.clone(),
            known: known.into(),
        };
        Ok((0..settings.relays).map(config).collect())
    }

    fn to_json(&self, start: usize) -> String {
        let peers = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect::<Vec<_>>().join(",");
        format!(
            "{{\"name\":\"n{number}\",\"listen\":\"{}\",\"ops\":\"{}\",\"discovery\":\"{}\",\
             \"seed\":\"{seed:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"peer_listen\":\"{}\",\"peers\":[{peers}],\"known\":{},\"settings\":{}}}\n",
            self.listen,
            self.operators,
            self.discovery,
            self.peers[self.number],
            self.known,
            self.settings.to_json(self.number),
            number = self.number,
            seed = 0x9e37_79b9_u64 * (self.number as u64 + 1) + start as u64,
        )
    }
}

/// A process of a relay, which is killed when this is dropped.
pub struct Relay {
    pub config: RelayConfig,
    child: Child,
}

impl Relay {
    /// Starts a process, with an empty folder for temporary files.
    pub fn start(config: &RelayConfig) -> Result<Relay, String> {
        let start = LOGS.lock().unwrap().len();
        let name = format!("n{}, start {start}", config.number);
        let folder = case_folder().join(format!("start-{start}"));
        let temporary = folder.join("tmp");
        let fault = |e: std::io::Error| format!("relay {name}: {e}");
        fs::create_dir_all(&folder).map_err(fault)?;
        fs::create_dir_all(&temporary).map_err(fault)?;
        let file = folder.join("config.json");
        fs::write(&file, config.to_json(start)).map_err(fault)?;
        let log = folder.join("log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()?).env_clear().env("PATH", "/usr/bin:/bin");
        command.env("TMPDIR", temporary).env("PROXY_NAME", format!("n{}", config.number));
        command.env("PROXY_LISTEN", config.listen.to_string());
        command.env("PROXY_DISCOVERY", config.discovery.to_string());
        command.env("PROXY_OPS", config.operators.to_string()).env("PROXY_CONFIG", &file);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(File::create(&log).map_err(fault)?);
        // SAFETY: the closure only makes system calls.
        unsafe {
            command.pre_exec(|| {
                system::end_with_parent();
                Ok(())
            })
        };
        let child = command.spawn().map_err(fault)?;
        note(&format!("relay {name}: process {} at {}", child.id(), config.listen));
        RUNNING.lock().unwrap().push(child.id());
        LOGS.lock().unwrap().push((name, log));
        Ok(Relay { config: config.clone(), child })
    }

    /// Starts all relays, each with its place in the list, and waits until all answer `PING`.
    pub fn start_all(configs: &[RelayConfig]) -> Result<Vec<Relay>, String> {
        let relays = configs.iter().map(Relay::start).collect::<Result<Vec<_>, _>>()?;
        relays.iter().try_for_each(|relay| relay.wait_ready())?;
        Ok(relays)
    }

    /// Waits until the relay answers `PONG`.
    pub fn wait_ready(&self) -> Result<(), String> {
        let is_ready = wait_until(READY_LIMIT, || answer(self.config.listen, "PING\r\n") == "PONG");
        note(&format!("relay n{}: answers PING with PONG: {is_ready}", self.config.number));
        if is_ready { Ok(()) } else { Err(format!("relay n{} is not ready", self.config.number)) }
    }

    pub fn signal(&self, signal: i32) {
        note(&format!("relay n{}, process {}: signal {signal}", self.config.number, self.child.id()));
        system::send_signal(self.child.id(), signal);
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        self.signal(system::SIGKILL);
        let _ = self.child.wait();
        let process = self.child.id();
        RUNNING.lock().unwrap().retain(|running| *running != process);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let process = self.child.id();
        RUNNING.lock().unwrap().retain(|running| *running != process);
    }
}

/// The command `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let text =
        fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let value = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = value.and_then(|value| value.split('"').next());
    command.map(str::to_owned).ok_or("deploy/balancer.toml has no command `run`".into())
}

/// Sends a line and returns the line that comes back; empty if there is none.
fn answer(address: SocketAddr, line: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = String::new();
    if stream.write_all(line.as_bytes()).is_ok() {
        let _ = BufReader::new(stream).read_line(&mut answer);
    }
    answer.trim_end().to_owned()
}
