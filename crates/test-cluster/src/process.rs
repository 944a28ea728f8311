//! Relays as processes of the real program.
//!
//! It owns each process, its folder and its log; it is fed the platform's configuration and faults; it gives how
//! the process fares. A relay is started as the platform does: by the shell, with `PROXY_*` in its environment, its
//! configuration as a file, a folder of its own for temporary files that is empty at every start, and a limit of
//! descriptors. It never looks into the process.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::log::What;
use crate::{Log, Millis, TestClusterError, free_address, span};

/// What a relay is told at its start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub binary: PathBuf,
    /// What follows the program's name on its command line, as `run` and an application's file.
    pub arguments: Vec<String>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators ask.
    pub ops: SocketAddr,
    /// Where datagrams of other relays arrive.
    pub peer_listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// An address for each relay of the tier.
    pub peers: Vec<SocketAddr>,
    /// The list as last held, in discovery's form, or null.
    pub known: Value,
    /// The settings.
    pub settings: Value,
    /// Most descriptors.
    pub sockets: u32,
}

impl Plan {
    /// A relay with addresses of its own, alone in its tier.
    pub fn new(
        binary: impl Into<PathBuf>,
        discovery: SocketAddr,
        settings: Value,
    ) -> Result<Plan, TestClusterError> {
        let (listen, ops, peer_listen) = (free_address()?, free_address()?, free_address()?);
        Ok(Plan {
            binary: binary.into(),
            arguments: Vec::new(),
            listen,
            ops,
            peer_listen,
            discovery,
            peers: vec![peer_listen],
            known: Value::Null,
            settings,
            sockets: 1024,
        })
    }

    /// The platform's file.
    pub fn configuration(&self, name: &str, seed: u64) -> Value {
        json!({
            "name": name, "listen": self.listen, "ops": self.ops, "discovery": self.discovery,
            "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "peer_listen": self.peer_listen, "peers": self.peers, "known": self.known, "settings": self.settings
        })
    }
}

/// One relay; its process is killed when it is dropped.
pub struct Relay {
    /// Its number in the tier.
    pub number: usize,
    /// What it is told at its next start.
    pub plan: Plan,
    log: Log,
    folder: TempDir,
    child: Option<Child>,
    starts: u64,
}

impl Relay {
    /// A relay that is not started yet.
    pub fn new(number: usize, plan: Plan, log: &Log) -> Result<Relay, TestClusterError> {
        let folder =
            tempfile::tempdir().map_err(|cause| TestClusterError::Folder { relay: number, cause })?;
        Ok(Relay { number, plan, log: log.clone(), folder, child: None, starts: 0 })
    }

    /// Its name, the same after a restart.
    pub fn name(&self) -> String {
        format!("n{}", self.number)
    }

    /// Starts the process; once more with the same name and addresses, if it was killed before.
    pub fn start(&mut self) -> Result<(), TestClusterError> {
        let relay = self.number;
        if self.child.is_some() {
            self.kill();
        }
        self.starts += 1;
        self.write_configuration()?;
        let prepared = || -> io::Result<(File, PathBuf)> {
            let own = self.folder.path().join("tmp");
            let _ = fs::remove_dir_all(&own);
            fs::create_dir(&own)?;
            let log = File::options().create(true).append(true).open(self.log_file())?;
            Ok((log, own))
        };
        let (out, own) = prepared().map_err(|cause| TestClusterError::Folder { relay, cause })?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("ulimit -n {}; exec \"$0\" \"$@\"", self.plan.sockets));
        command.arg(&self.plan.binary).args(&self.plan.arguments);
        command.env_clear().env("TMPDIR", own).env("PATH", "/usr/bin:/bin");
        command.env("PROXY_NAME", self.name()).env("PROXY_LISTEN", self.plan.listen.to_string());
        command.env("PROXY_DISCOVERY", self.plan.discovery.to_string());
        command.env("PROXY_CONFIG", self.configuration_file());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(out);
        let child = command.spawn();
        let binary = self.plan.binary.clone();
        self.child = Some(child.map_err(|cause| TestClusterError::Start { relay, binary, cause })?);
        let known = self.plan.known["revision"].as_u64().unwrap_or(0);
        self.log.note(What::Started { relay, known });
        Ok(())
    }

    fn write_configuration(&self) -> Result<(), TestClusterError> {
        // A new seed with each start, the same for the same start of the same relay.
        let seed = (self.number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.starts;
        let text = self.plan.configuration(&self.name(), seed).to_string();
        let written = fs::write(self.configuration_file(), text + "\n");
        written.map_err(|cause| TestClusterError::Folder { relay: self.number, cause })
    }

    fn configuration_file(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// Where the log of all its starts is.
    pub fn log_file(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// Its folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// What it has logged so far, in all its starts.
    pub fn logged(&self) -> String {
        fs::read_to_string(self.log_file()).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) -> Result<(), TestClusterError> {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        let sent = pid.map_or(Err(io::ErrorKind::NotFound.into()), |pid| Ok(kill_process(pid, signal)?));
        sent.map_err(|cause| TestClusterError::Signal { relay: self.number, cause })
    }

    /// SIGKILL, at once and for good.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.log.note(What::Died(self.number));
        }
    }

    /// SIGTERM, as a planned restart begins; [`Relay::kill`] ends it.
    pub fn terminate(&self) -> Result<(), TestClusterError> {
        self.log.note(What::Terminated(self.number));
        self.signal(Signal::TERM)
    }

    /// SIGSTOP: the process stands still.
    pub fn stop(&self) -> Result<(), TestClusterError> {
        self.log.note(What::Stopped(self.number));
        self.signal(Signal::STOP)
    }

    /// SIGCONT: it goes on.
    pub fn go_on(&self) -> Result<(), TestClusterError> {
        let sent = self.signal(Signal::CONT);
        self.log.note(What::Continued(self.number));
        sent
    }

    /// Writes the plan as it is now as its configuration, and sends SIGHUP.
    pub fn reload(&self) -> Result<(), TestClusterError> {
        self.write_configuration()?;
        self.signal(Signal::HUP)
    }

    /// The process's id, while there is one.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether it runs. One that has ended by itself is noted as dead.
    pub fn runs(&mut self) -> bool {
        let ended = self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
        if ended {
            self.child = None;
            self.log.note(What::Died(self.number));
        }
        self.child.is_some()
    }

    /// Resident memory in KiB, where the process runs.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Waits until it answers `PING`, for so long at the most.
    pub async fn ready(&self, most: Millis) -> Result<(), TestClusterError> {
        ready(self.number, self.plan.listen, &self.log, most).await.map_err(|after_ms| {
            let logged = self.logged();
            let end = logged.lines().rev().take(3).collect::<Vec<_>>().join(" / ");
            TestClusterError::NotReady { relay: self.number, after_ms, end }
        })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a relay answers `PING` and notes it; how long it was waited for where it does not.
pub async fn ready(relay: usize, listen: SocketAddr, log: &Log, most: Millis) -> Result<(), Millis> {
    let start = log.now();
    while log.now() - start < most {
        if timeout(span(1000.0), ping(listen)).await.is_ok_and(|pong| pong.is_ok_and(|p| p)) {
            log.note(What::Ready(relay));
            return Ok(());
        }
        tokio::time::sleep(span(50.0)).await;
    }
    Err(log.now() - start)
}

async fn ping(listen: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(listen).await?;
    stream.write_all(b"PING\r\n").await?;
    let mut answer = [0; 6];
    stream.read_exact(&mut answer).await?;
    Ok(&answer == b"PONG\r\n")
}
