//! Shows that two versions of the relay work together: in one cluster, over a hand-over, and on one state
//! folder.
//!
//! `cargo run -p sandgw-test-cluster --example mixed_versions -- OLD_BINARY NEW_BINARY [SEED]`
//!
//! It runs both programs before the stand-ins of the test cluster and prints one line for each part with
//! its verdict. It exits with a failure if any part fails. It judges neither version alone: tests do that.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::Parser;
use sandgw_test_cluster::fault_schedule::{FaultSchedule, ScheduleBounds};
use sandgw_test_cluster::invariants::MidFlowCounts;
use sandgw_test_cluster::load_clients::{LoadPlan, Weighted};
use sandgw_test_cluster::log::EventKind;
use sandgw_test_cluster::process::RelayProcess;
use sandgw_test_cluster::{
    ClusterConfig, Log, Millis, TestCluster, TestClusterError, duration, free_address,
};
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Relays of the mixed cluster; those with an odd number run the old binary.
const RELAYS: usize = 8;
/// Endpoints of every part.
const ENDPOINTS: usize = 8;
/// How late the log of a busy machine may be.
const GRACE_MS: Millis = 1500.0;
/// The length of the drawn script, in which clients arrive all the time.
const SCRIPT_MS: Millis = 20_000.0;
/// Clients that arrive during the script.
const LOAD_CLIENTS: usize = 500;
/// The fraction of clients that has to be served in each third of the run, of each class and of each tenant.
const MIN_SERVED_FRACTION: f64 = 1.0 / 3.0;
/// Clients whose endpoint the next process has to know, in the parts on hand-over and on the state folder.
const PLACED_CLIENTS: usize = 40;
/// Longer than any single wait; only a failing part gets there.
const MAX_WAIT_MS: Millis = 20_000.0;
/// The socket at which a relay offers a hand-over, in the folder that its settings name.
const HANDOVER_SOCKET: &str = "sandgw-handover";
/// The settings with which processes negotiate the schema version of their messages.
const NEGOTIATION_SETTINGS: &str = "[forms]\n";
/// The file of the state folder.
const STATE_FILE: &str = "affinity.redb";

#[derive(Parser)]
struct Arguments {
    /// The program of the earlier version.
    old_binary: PathBuf,
    /// The program of the later version.
    new_binary: PathBuf,
    /// The seed of the drawn fault script and of the clients.
    #[arg(default_value_t = 1)]
    seed: u64,
}

/// Why a part fails.
#[derive(Debug, thiserror::Error)]
enum PartError {
    #[error(transparent)]
    Cluster(#[from] TestClusterError),
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Check(String),
}

type PartResult = Result<String, PartError>;

/// Fails with this text unless the condition holds.
fn ensure(condition: bool, text: impl FnOnce() -> String) -> Result<(), PartError> {
    if condition { Ok(()) } else { Err(PartError::Check(text())) }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let Arguments { old_binary, new_binary, seed } = Arguments::parse();
    let (old, new) = (old_binary.as_path(), new_binary.as_path());
    let mut failures = 0;
    let mut report = |name: &str, result: PartResult| match result {
        Ok(text) => println!("{name}: ok: {text}"),
        Err(error) => {
            failures += 1;
            println!("{name}: FAILED: {error}");
        }
    };
    report(&format!("mixed cluster, seed {seed}"), mixed_cluster(old, new, seed).await);
    report("hand-over old to new", handover(old, new, "").await);
    report("hand-over new to old", handover(new, old, "").await);
    report("negotiated hand-over old to new", handover(old, new, NEGOTIATION_SETTINGS).await);
    report("negotiated hand-over new to old", handover(new, old, NEGOTIATION_SETTINGS).await);
    report("state folder of old, read by new", state_folder(old, new).await);
    report("state folder of new, read by old", state_folder(new, old).await);
    if failures == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// One cluster of both versions under a drawn fault script: no rule is violated, and clients are served.
async fn mixed_cluster(old: &Path, new: &Path, seed: u64) -> PartResult {
    let mut config = ClusterConfig::new(new, RELAYS, ENDPOINTS);
    config.rules.grace_ms = GRACE_MS;
    config.classes = vec!["stream", "query"];
    config.seed = seed;
    let mut cluster = TestCluster::new(config).await?;
    for relay in cluster.relays.iter_mut().filter(|relay| runs_old(relay.index)) {
        relay.config.binary = old.to_owned();
    }
    cluster.mesh.start_recording();
    cluster.start_and_wait().await?;
    let clients = cluster.start_clients(load_plan(seed));
    let bounds = ScheduleBounds { relays: RELAYS, endpoints: ENDPOINTS, duration_ms: SCRIPT_MS, faults: 10 };
    cluster.run(&FaultSchedule::draw(seed, &bounds)).await?;
    let results = clients.finish(MAX_WAIT_MS).await;
    let verdict = cluster.verdict();
    ensure(verdict.violations.is_empty(), || verdict.to_string())?;
    let levels = verdict.service_levels.check_minimum(MIN_SERVED_FRACTION);
    ensure(levels.is_ok(), || format!("{levels:?}\n{verdict}"))?;
    for relay in &mut cluster.relays {
        let (number, runs) = (relay.index, relay.is_running());
        ensure(runs, || format!("relay {number} has ended by itself: {}", relay.log_text()))?;
    }
    let datagrams = cluster.mesh.recorded();
    let crossing = |from_old: bool| {
        datagrams.iter().filter(|d| runs_old(d.from) == from_old && runs_old(d.to) != from_old).count()
    };
    let (from_old, from_new) = (crossing(true), crossing(false));
    ensure(from_old > 0 && from_new > 0, || "no datagrams between the versions".into())?;
    let MidFlowCounts { attempted, found_at_once } = verdict.mid_flow;
    let (all, served) = (results.all.total(), results.all.served);
    Ok(format!(
        "no rule violated, {served} of {all} clients served, {found_at_once} of {attempted} mid-flow arrivals found at once, \
         {from_old} datagrams old to new, {from_new} new to old"
    ))
}

/// Whether the relay of this number runs the old binary in the mixed cluster.
fn runs_old(number: usize) -> bool {
    number % 2 == 1
}

/// Clients of two classes and three tenants.
fn load_plan(seed: u64) -> LoadPlan {
    let classes = [("stream", 2.0), ("query", 1.0)].map(|(name, weight)| Weighted::new(name, weight));
    let tenants =
        [("acme", 3.0), ("luna", 2.0), ("nova", 1.0)].map(|(name, weight)| Weighted::new(name, weight));
    LoadPlan {
        count: LOAD_CLIENTS,
        over_ms: SCRIPT_MS,
        stay_ms: 2000.0,
        seed,
        max_tries: 8,
        classes: classes.into(),
        tenants: tenants.into(),
        ..LoadPlan::default()
    }
}

/// One relay handed over from a process of one version to a process of the other: the established
/// connections go on, new ones are served, and the next process knows where clients were placed.
async fn handover(from: &Path, to: &Path, more_settings: &str) -> PartResult {
    let folder = tempfile::tempdir()?;
    let settings = format!("[relay]\nhandover = {:?}\n{more_settings}", folder.path());
    let mut cluster = single_relay(from, &settings, &folder).await?;
    cluster.start_and_wait().await?;
    let log = cluster.log.clone();
    wait_until(&log, "it offers a hand-over", || folder.path().join(HANDOVER_SOCKET).exists()).await?;
    let listen = cluster.relays[0].config.listen;
    let mut established = Client::open(listen, PLACED_CLIENTS, "").await?;
    established.echo("before").await?;
    let mut placed = place_clients(listen).await?;

    let mut next_config = cluster.relays[0].config.clone();
    next_config.binary = to.to_owned();
    next_config.operators = free_address()?;
    let next_operators = next_config.operators;
    let mut next = RelayProcess::new(0, next_config, &log)?;
    next.start()?;
    wait_for_status(&log, next_operators, "done active").await?;
    let status = status(cluster.relays[0].config.operators).await;
    ensure(status.starts_with("error handed over"), || format!("the first process says {status:?}"))?;
    established.echo("handed over").await?;
    cluster.relays[0].terminate()?;
    let standing = format!("done active, {} standing", PLACED_CLIENTS + 1);
    wait_for_status(&log, next_operators, &standing).await?;
    wait_for_end(&log, &mut cluster.relays[0]).await?;

    established.echo("transferred").await?;
    for client in &mut placed {
        client.echo("transferred").await?;
    }
    let mut fresh = Client::open(listen, PLACED_CLIENTS + 1, "").await?;
    fresh.echo("fresh").await?;
    let endpoints: Vec<_> = placed.iter().map(Client::endpoint).collect();
    drop(placed);
    find_clients(&cluster, listen, &endpoints).await?;
    ensure(next.is_running(), || format!("the next process has ended: {}", next.log_text()))?;
    Ok(format!(
        "{} established connections went on, a new one was served, {PLACED_CLIENTS} clients found at once",
        PLACED_CLIENTS + 1
    ))
}

/// A state folder written by a relay of one version: the other version's tool reads the same from it, and
/// its relay knows the clients from it.
async fn state_folder(writer: &Path, reader: &Path) -> PartResult {
    let folder = tempfile::tempdir()?;
    let state = folder.path().join("state");
    let settings = format!("[state]\nfolder = {state:?}\nflush_ms = 100\n");
    let mut cluster = single_relay(writer, &settings, &folder).await?;
    cluster.start_and_wait().await?;
    let listen = cluster.relays[0].config.listen;
    let placed = place_clients(listen).await?;
    sleep(duration(1000.0)).await;
    cluster.relays[0].kill();
    let endpoints: Vec<_> = placed.iter().map(Client::endpoint).collect();
    drop(placed);

    let written = StateReport::read(writer, &state, &folder.path().join("by-writer"))?;
    let read = StateReport::read(reader, &state, &folder.path().join("by-reader"))?;
    ensure(written == read, || format!("the versions differ on one folder: {written:?} and {read:?}"))?;
    let imported_by_writer = imported(writer, &written, &folder.path().join("into-writer"))?;
    let imported_by_reader = imported(reader, &written, &folder.path().join("into-reader"))?;
    ensure(imported_by_writer == imported_by_reader, || "the versions differ on an import".into())?;

    cluster.relays[0].config.binary = reader.to_owned();
    cluster.relays[0].start()?;
    cluster.relays[0].wait_ready(MAX_WAIT_MS).await?;
    find_clients(&cluster, listen, &endpoints).await?;
    // All clients and their one group, by the log of the last start.
    let expected = format!("{} entries taken", PLACED_CLIENTS + 1);
    let logged = cluster.relays[0].log_text();
    let last = logged.lines().rfind(|line| line.contains("entries taken"));
    ensure(last.is_some_and(|line| line.contains(&expected)), || format!("not {expected}: {logged}"))?;
    Ok(format!(
        "show, verify and {} bytes of export alike, import alike, {PLACED_CLIENTS} clients found at once",
        written.export.len()
    ))
}

/// A cluster of one relay of this binary, with this application's file, which is written to the folder.
async fn single_relay(binary: &Path, settings: &str, folder: &TempDir) -> Result<TestCluster, PartError> {
    let mut config = ClusterConfig::new(binary, 1, ENDPOINTS);
    config.rules.grace_ms = GRACE_MS;
    let mut cluster = TestCluster::new(config).await?;
    let file = folder.path().join("application.toml");
    fs::write(&file, settings)?;
    cluster.relays[0].config.arguments = vec!["run".into(), file.display().to_string()];
    Ok(cluster)
}

/// What the tool of one version says of a state folder.
#[derive(Debug, PartialEq)]
struct StateReport {
    show: String,
    verify: String,
    export: Vec<u8>,
}

impl StateReport {
    /// Reads a copy of the state folder, which is made at this place.
    fn read(binary: &Path, state: &Path, copy: &Path) -> Result<StateReport, PartError> {
        fs::create_dir(copy)?;
        fs::copy(state.join(STATE_FILE), copy.join(STATE_FILE))?;
        let (folder, file) = (copy.display().to_string(), copy.join("export").display().to_string());
        let show = state_tool(binary, &["show", &folder, "--json"])?;
        let verify = state_tool(binary, &["verify", &folder])?;
        state_tool(binary, &["export", &folder, "--to", &file])?;
        Ok(StateReport { show, verify, export: fs::read(file)? })
    }
}

/// What this version exports after it has imported the report's export into an empty folder, which is made
/// here. Times may differ in their last digit from those of the report: JSON is not parsed to the last bit.
fn imported(binary: &Path, report: &StateReport, folder: &Path) -> Result<Vec<u8>, PartError> {
    fs::create_dir(folder)?;
    let [from, to, copy] = ["from", "to", "state"].map(|name| folder.join(name).display().to_string());
    fs::write(&from, &report.export)?;
    state_tool(binary, &["import", &copy, "--from", &from])?;
    state_tool(binary, &["export", &copy, "--to", &to])?;
    Ok(fs::read(&to)?)
}

/// Runs a `state` command, which has to succeed, and returns what it prints.
fn state_tool(binary: &Path, arguments: &[&str]) -> Result<String, PartError> {
    let output = Command::new(binary).env_remove("PROXY_CONFIG").arg("state").args(arguments).output()?;
    let error = String::from_utf8_lossy(&output.stderr);
    ensure(output.status.success(), || format!("state {arguments:?} fails: {error}"))?;
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Opens connections that are placed where nothing in their key says.
async fn place_clients(listen: SocketAddr) -> Result<Vec<Client>, PartError> {
    let mut clients = Vec::new();
    for key in 0..PLACED_CLIENTS {
        clients.push(Client::open(listen, key, ",again=1").await?);
    }
    let endpoints: BTreeSet<_> = clients.iter().map(Client::endpoint).collect();
    ensure(endpoints.len() > 1, || "all clients were placed at one endpoint".into())?;
    Ok(clients)
}

/// The placed clients arrive mid-flow: each is sent to its endpoint by the first attempt.
async fn find_clients(
    cluster: &TestCluster,
    listen: SocketAddr,
    endpoints: &[String],
) -> Result<(), PartError> {
    let attempts =
        || cluster.log.count(|what| matches!(what, EventKind::AttemptReceived { mid_flow: true, .. }));
    let before = attempts();
    for (key, endpoint) in endpoints.iter().enumerate() {
        let found = Client::open(listen, key, ",mid=1").await?.endpoint();
        ensure(found == *endpoint, || format!("client {key} of {endpoint} arrived at {found}"))?;
    }
    let made = attempts() - before;
    ensure(made == endpoints.len(), || format!("{made} attempts for {} clients", endpoints.len()))
}

/// An established connection of a client.
struct Client {
    stream: BufReader<TcpStream>,
    receipt: String,
}

impl Client {
    /// Opens a connection for the client of this key, which has to be served.
    async fn open(listen: SocketAddr, key: usize, marks: &str) -> Result<Client, PartError> {
        let stream = BufReader::new(TcpStream::connect(listen).await?);
        let mut client = Client { stream, receipt: String::new() };
        // A fresh id for each connection: a key arrives once without marks or with one, and once mid-flow.
        let id = 1000 * marks.len() + key;
        let line = format!("OPEN {id:016x} {key:016x} c=stream,t=acme,d=2000,g=1{marks}\r\n");
        let answer = client.call(&line).await?;
        let receipt = answer.strip_prefix("UP ").map(str::to_owned);
        client.receipt =
            receipt.ok_or_else(|| PartError::Check(format!("client {key}{marks} is answered {answer:?}")))?;
        Ok(client)
    }

    /// The endpoint that serves it, by its receipt.
    fn endpoint(&self) -> String {
        self.receipt.split('/').next().unwrap_or_default().to_owned()
    }

    /// Sends a line, which the endpoint has to return.
    async fn echo(&mut self, text: &str) -> Result<(), PartError> {
        let returned = self.call(&format!("{text}\r\n")).await?;
        ensure(returned == text, || format!("{text:?} came back as {returned:?}"))
    }

    /// Sends a line and reads the next one, without its end.
    async fn call(&mut self, line: &str) -> Result<String, PartError> {
        self.stream.write_all(line.as_bytes()).await?;
        let mut answer = String::new();
        let read = timeout(duration(MAX_WAIT_MS), self.stream.read_line(&mut answer)).await;
        ensure(read.is_ok(), || format!("no answer to {line:?}"))?;
        Ok(answer.trim_end().to_owned())
    }
}

/// What a relay answers to `status` at its operators' address; empty where nobody answers.
async fn status(operators: SocketAddr) -> String {
    let ask = async {
        let mut stream = TcpStream::connect(operators).await?;
        stream.write_all(b"status\n").await?;
        let mut answer = String::new();
        BufReader::new(&mut stream).take(4096).read_line(&mut answer).await?;
        io::Result::Ok(answer.trim_end().to_owned())
    };
    timeout(duration(1000.0), ask).await.ok().and_then(Result::ok).unwrap_or_default()
}

/// Waits until a relay's status begins with this text.
async fn wait_for_status(log: &Log, operators: SocketAddr, expected: &str) -> Result<(), PartError> {
    let end = log.now() + MAX_WAIT_MS;
    loop {
        let status = status(operators).await;
        if status.starts_with(expected) {
            return Ok(());
        }
        ensure(log.now() < end, || format!("the status is {status:?} instead of {expected:?}"))?;
        sleep(duration(20.0)).await;
    }
}

/// Waits until a condition holds.
async fn wait_until(log: &Log, what: &str, holds: impl Fn() -> bool) -> Result<(), PartError> {
    let end = log.now() + MAX_WAIT_MS;
    while !holds() {
        ensure(log.now() < end, || format!("not in time: {what}"))?;
        sleep(duration(20.0)).await;
    }
    Ok(())
}

/// Waits until a relay's process has ended by itself.
async fn wait_for_end(log: &Log, relay: &mut RelayProcess) -> Result<(), PartError> {
    let end = log.now() + MAX_WAIT_MS;
    while relay.is_running() {
        ensure(log.now() < end, || "the first process does not end".into())?;
        sleep(duration(20.0)).await;
    }
    Ok(())
}
