//! Relays as processes of the real program.
//!
//! It owns each process, its folder and its log file. Its inputs are the configuration of a relay and
//! signals; it gives whether the process runs and what it has logged. A relay is started as the platform
//! starts it: by the shell, with `PROXY_*` in its environment, its configuration as a file, a folder of its
//! own for temporary files that is empty at every start, and a limit of descriptors. It never looks into
//! the process.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::log::{EventKind, RelayIndex};
use crate::{Log, Millis, TestClusterError, duration, free_address};

/// Descriptors that a relay may have open, unless its configuration says otherwise.
const DEFAULT_MAX_DESCRIPTORS: u32 = 1024;
/// How long one `PING` may remain unanswered.
const PING_TIMEOUT_MS: Millis = 1000.0;
/// The pause between two `PING`s to a relay that is not ready.
const PING_INTERVAL_MS: Millis = 50.0;
/// Lines of a relay's log that an error shows.
const LOG_END_LINES: usize = 3;
/// Spreads the seeds of relays with neighbouring numbers.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The configuration of a relay, which takes effect at its next start or reload.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// The program.
    pub binary: PathBuf,
    /// The arguments of the program, such as `run` and an application's file.
    pub arguments: Vec<String>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call.
    pub operators: SocketAddr,
    /// Where datagrams of other relays arrive.
    pub peer_listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// An address for each relay of the cluster.
    pub peers: Vec<SocketAddr>,
    /// The endpoint list that is known at the start, in discovery's format, or null.
    pub known_list: Value,
    /// The settings.
    pub settings: Value,
    /// Descriptors that the process may have open.
    pub max_descriptors: u32,
}

impl RelayConfig {
    /// A relay with unused addresses, alone in its cluster.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Socket`] if no address is free.
    pub fn new(
        binary: impl Into<PathBuf>,
        discovery: SocketAddr,
        settings: Value,
    ) -> Result<RelayConfig, TestClusterError> {
        let peer_listen = free_address()?;
        Ok(RelayConfig {
            binary: binary.into(),
            arguments: Vec::new(),
            listen: free_address()?,
            operators: free_address()?,
            peer_listen,
            discovery,
            peers: vec![peer_listen],
            known_list: Value::Null,
            settings,
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
        })
    }

    /// The platform's configuration file.
    pub fn to_json(&self, name: &str, seed: u64) -> Value {
        json!({
            "name": name, "listen": self.listen, "ops": self.operators, "discovery": self.discovery,
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.max_descriptors},
            "peer_listen": self.peer_listen, "peers": self.peers, "known": self.known_list,
            "settings": self.settings
        })
    }
}

/// One relay, whose process is killed when this is dropped.
pub struct RelayProcess {
    /// Its number in the cluster.
    pub index: RelayIndex,
    /// Its configuration from the next start on.
    pub config: RelayConfig,
    log: Log,
    folder: TempDir,
    child: Option<Child>,
    starts: u64,
    /// How often a process of it has ended without SIGKILL.
    ended_by_itself: u64,
}

impl RelayProcess {
    /// A relay that is not started yet.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Folder`] if its folder can't be made.
    pub fn new(index: RelayIndex, config: RelayConfig, log: &Log) -> Result<RelayProcess, TestClusterError> {
        let folder =
            tempfile::tempdir().map_err(|source| TestClusterError::Folder { relay: index, source })?;
        Ok(RelayProcess {
            index,
            config,
            log: log.clone(),
            folder,
            child: None,
            starts: 0,
            ended_by_itself: 0,
        })
    }

    /// Its name, the same after a restart.
    pub fn name(&self) -> String {
        format!("n{}", self.index)
    }

    /// Starts the process with the present configuration. One that runs is killed first.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Folder`] if its files can't be written, [`TestClusterError::Start`] if the
    /// program can't be run.
    pub fn start(&mut self) -> Result<(), TestClusterError> {
        if self.child.is_some() {
            self.kill();
        }
        self.starts += 1;
        self.write_configuration()?;
        let mut command = self.command()?;
        let spawned = command.spawn();
        let child = spawned.map_err(|source| TestClusterError::Start {
            relay: self.index,
            binary: self.config.binary.clone(),
            source,
        })?;
        self.child = Some(child);
        let known_revision = self.config.known_list["revision"].as_u64().unwrap_or(0);
        self.log.record(EventKind::RelayStarted { relay: self.index, known_revision });
        Ok(())
    }

    /// The command that starts the process, with an empty folder for its temporary files.
    fn command(&self) -> Result<Command, TestClusterError> {
        let folder_error = |source| TestClusterError::Folder { relay: self.index, source };
        let temporary = self.empty_temporary_folder().map_err(folder_error)?;
        let log_file =
            File::options().create(true).append(true).open(self.log_file()).map_err(folder_error)?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("ulimit -n {}; exec \"$0\" \"$@\"", self.config.max_descriptors));
        command.arg(&self.config.binary).args(&self.config.arguments);
        command.env_clear().env("TMPDIR", temporary).env("PATH", "/usr/bin:/bin");
        command.env("PROXY_NAME", self.name()).env("PROXY_LISTEN", self.config.listen.to_string());
        command.env("PROXY_DISCOVERY", self.config.discovery.to_string());
        command.env("PROXY_CONFIG", self.configuration_file());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log_file);
        Ok(command)
    }

    fn empty_temporary_folder(&self) -> io::Result<PathBuf> {
        let temporary = self.folder.path().join("tmp");
        // At the first start there is none to remove.
        let _ = fs::remove_dir_all(&temporary);
        fs::create_dir(&temporary)?;
        Ok(temporary)
    }

    fn write_configuration(&self) -> Result<(), TestClusterError> {
        // Each start has its own seed, which is the same for the same start of the same relay.
        let seed = (self.index as u64 + 1).wrapping_mul(SEED_MULTIPLIER) ^ self.starts;
        let text = self.config.to_json(&self.name(), seed).to_string();
        let written = fs::write(self.configuration_file(), text + "\n");
        written.map_err(|source| TestClusterError::Folder { relay: self.index, source })
    }

    fn configuration_file(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// The file with the log of all its starts.
    pub fn log_file(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// What it has logged so far, in all its starts.
    pub fn log_text(&self) -> String {
        fs::read_to_string(self.log_file()).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) -> Result<(), TestClusterError> {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        let sent = pid.map_or(Err(io::ErrorKind::NotFound.into()), |pid| Ok(kill_process(pid, signal)?));
        sent.map_err(|source| TestClusterError::Signal { relay: self.index, source })
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.ended_by_itself += u64::from(matches!(child.try_wait(), Ok(Some(_))));
            let _ = child.kill();
            let _ = child.wait();
            self.log.record(EventKind::RelayDied(self.index));
        }
    }

    /// Sends SIGTERM, with which a planned restart begins; [`RelayProcess::kill`] ends it.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Signal`] if there is no process.
    pub fn terminate(&self) -> Result<(), TestClusterError> {
        self.log.record(EventKind::RelayTerminated(self.index));
        self.signal(Signal::TERM)
    }

    /// Sends SIGSTOP: the process does not run until [`RelayProcess::resume`].
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Signal`] if there is no process.
    pub fn pause(&self) -> Result<(), TestClusterError> {
        self.log.record(EventKind::RelayPaused(self.index));
        self.signal(Signal::STOP)
    }

    /// Sends SIGCONT.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Signal`] if there is no process.
    pub fn resume(&self) -> Result<(), TestClusterError> {
        let sent = self.signal(Signal::CONT);
        self.log.record(EventKind::RelayResumed(self.index));
        sent
    }

    /// Writes the present configuration and sends SIGHUP.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Folder`] if the file can't be written, [`TestClusterError::Signal`] if there is
    /// no process.
    pub fn reload(&self) -> Result<(), TestClusterError> {
        self.write_configuration()?;
        self.signal(Signal::HUP)
    }

    /// The process's id, while there is a process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// How often a process of this relay has ended before it was killed.
    pub fn ended_by_itself(&self) -> u64 {
        self.ended_by_itself
    }

    /// Whether the process runs. One that has ended by itself is recorded as dead.
    pub fn is_running(&mut self) -> bool {
        let ended = self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
        if ended {
            self.child = None;
            self.log.record(EventKind::RelayDied(self.index));
        }
        self.child.is_some()
    }

    /// Resident memory in KiB, while there is a process.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Waits until it answers `PING`, for at most `timeout_ms`.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::NotReady`] with the end of its log.
    pub async fn wait_ready(&self, timeout_ms: Millis) -> Result<(), TestClusterError> {
        let ready = wait_ready(self.index, self.config.listen, &self.log, timeout_ms).await;
        ready.map_err(|NotReady { waited_ms }| {
            let text = self.log_text();
            let log_end = text.lines().rev().take(LOG_END_LINES).collect::<Vec<_>>().join(" / ");
            TestClusterError::NotReady { relay: self.index, waited_ms, log_end }
        })
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A relay did not answer `PING` in time.
pub(crate) struct NotReady {
    /// How long its answer was awaited.
    pub waited_ms: Millis,
}

/// Waits until a relay answers `PING`, for at most `timeout_ms`, and records it as ready.
pub(crate) async fn wait_ready(
    relay: RelayIndex,
    listen: SocketAddr,
    log: &Log,
    timeout_ms: Millis,
) -> Result<(), NotReady> {
    let start_ms = log.now();
    while log.now() - start_ms < timeout_ms {
        let answered = timeout(duration(PING_TIMEOUT_MS), answers_ping(listen)).await;
        if matches!(answered, Ok(Ok(true))) {
            log.record(EventKind::RelayReady(relay));
            return Ok(());
        }
        sleep(duration(PING_INTERVAL_MS)).await;
    }
    Err(NotReady { waited_ms: log.now() - start_ms })
}

async fn answers_ping(listen: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(listen).await?;
    stream.write_all(b"PING\r\n").await?;
    let mut answer = [0; 6];
    stream.read_exact(&mut answer).await?;
    Ok(&answer == b"PONG\r\n")
}
