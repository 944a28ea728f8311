//! Tests of a cluster of real processes with several schema versions. A socket of the test plays an older
//! process that speaks version 1 only.

#![allow(clippy::too_many_lines, reason = "one test follows a cluster through all of an upgrade")]

mod common;

use std::net::UdpSocket;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use sandgw::schema_status::status;
use sandgw_schema_version::version_advertisement::VersionAdvertisement;
use sandgw_schema_version::version_negotiator::{QUIET_PERIOD_MS, RelayPosition, VersionNegotiator};
use sandgw_schema_version::versioned_channel::VersionedChannel;
use sandgw_schema_version::{SchemaVersion, SupportedVersions};

const RELAYS: usize = 5;
/// A cluster message with the locations of two clients, as written by a program from before schema versions
/// had numbers.
const GOSSIP: &[u8] = b"2AAIBAgMEAgEA/wMBAgD/AwIJCQkJAQMA/wMD";

fn settings(local_index: usize) -> String {
    format!(
        r#"
[settings]
discovery = "on_request"
nInstances = {RELAYS}
me = {local_index}
resolutionMs = 2.0
realms = [{{ name = "acme" }}]
lanes = [{{ name = "subtitle-stream", semantics = "safe", aimMs = 500.0, hardLimitMs = 3000.0, worth = 1.0 }}]
limits = {{ maxAttempts = 5, connectTimeoutMs = 200.0, peerMessages = true }}
rules = {{ askEveryMs = 10000.0, coldFrom = 0.31, warmWithinMs = 8600.0, tipMultiple = 3.0 }}
domain = {{ mode = "pass", groups = true, messageAimMs = [150.0] }}
"#
    )
}

struct TestCluster {
    discovery: Discovery,
    _endpoints: Vec<Endpoint>,
    hosts: Vec<String>,
    folders: Vec<tempfile::TempDir>,
}

impl TestCluster {
    fn new() -> TestCluster {
        let discovery = Discovery::start();
        let endpoints: Vec<_> = ["UP 1\r\n", "UP 2\r\n", "UP 3\r\n"].map(Endpoint::lines).into();
        for (i, endpoint) in endpoints.iter().enumerate() {
            discovery.set(&format!("s-{i}"), &endpoint.address, "Ready", 0);
        }
        let hosts = (0..RELAYS).map(|_| host()).collect();
        let folders = (0..RELAYS).map(|_| tempfile::tempdir().unwrap()).collect();
        TestCluster { discovery, _endpoints: endpoints, hosts, folders }
    }

    fn application_file(&self, local_index: usize, forms: &str) -> String {
        let folder = self.folders[local_index].path().join("kept").display().to_string();
        format!("{forms}\n[state]\nfolder = {folder:?}\nflush_ms = 100\n{}", settings(local_index))
    }

    fn start(&self, local_index: usize, forms: &str) -> Relay {
        Relay::start_more(
            &self.discovery,
            1024,
            &self.hosts,
            local_index,
            &self.application_file(local_index, forms),
        )
    }

    fn stored_version(&self, local_index: usize) -> String {
        state_version(&self.folders[local_index].path().join("kept"), &[])
    }
}

fn state_version(folder: &Path, more: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sandgw"));
    let out = command.args(["state", "form"]).arg(folder).args(more).output().unwrap();
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

fn forms(relay: &Relay) -> String {
    relay.call(b"forms\n")
}

/// Waits until all relays' replies to `forms` contain a text; the quiet period is 20 s.
fn wait_for_all(relays: &[&Relay], expected: &str) -> Duration {
    let start = Instant::now();
    while !relays.iter().all(|r| forms(r).contains(expected)) {
        let replies: Vec<_> = relays.iter().map(|r| forms(r)).collect();
        assert!(start.elapsed() < Duration::from_secs(60), "not all relays report {expected}: {replies:?}");
        thread::sleep(Duration::from_millis(100));
    }
    start.elapsed()
}

fn open_connection(relay: &Relay, key: usize, more: &str) -> (String, Client) {
    let mut client = relay.client();
    client.send(&format!("OPEN {key}{} {key} c=subtitle-stream,t=acme,d=2000,g=1{more}\r\n", more.len()));
    (client.line(), client)
}

/// The messages that the older process has received: those of version 1, which it can read, and others.
/// Messages with an advertisement alone are left out.
fn received(old: &UdpSocket) -> (Vec<String>, Vec<String>) {
    let (mut read, mut unread) = (Vec::new(), Vec::new());
    let mut buffer = [0; 300];
    while let Ok(n) = old.recv(&mut buffer) {
        let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
        assert!(n <= 256, "{text}");
        let is_advertisement = text.starts_with('3') && !text.trim_end_matches("|?").contains('|');
        match is_advertisement {
            true => assert!(n <= 12, "{text}"),
            false if text.starts_with(['1', '2']) => read.push(text),
            false => unread.push(text),
        }
    }
    (read, unread)
}

/// A cluster moves to version 2 only once the older process has left, returns to version 1 when that is back,
/// and stays at version 2 after finalize. The locations of clients survive all of it.
#[test]
fn a_cluster_follows_the_oldest_process_until_its_version_is_finalized() {
    let cluster = TestCluster::new();
    let address = format!("{}:7946", cluster.hosts[4]);
    let old = UdpSocket::bind(&address).unwrap();
    old.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
    let send_gossip = |old: &UdpSocket| {
        for host in &cluster.hosts[..4] {
            old.send_to(GOSSIP, format!("{host}:7946")).unwrap();
        }
    };
    let relays: Vec<_> = (0..4).map(|local_index| cluster.start(local_index, "[forms]")).collect();
    let all: Vec<&Relay> = relays.iter().collect();
    wait_for_all(&all, "writes form 1, reads 1 to 2, finalized 1");
    send_gossip(&old);
    let placed: Vec<_> = (0..20).map(|key| open_connection(&relays[0], key, ",again=1")).collect();
    thread::sleep(Duration::from_secs(4));
    wait_for_all(&all, "older are relays 4");
    let (read, unread) = received(&old);
    assert!(read.iter().any(|text| text.starts_with('2')) && unread.is_empty(), "{read:?} {unread:?}");
    drop(old);
    let new = cluster.start(4, "[forms]");
    let all: Vec<&Relay> = relays.iter().chain([&new]).collect();
    wait_for_all(&all, "writes form 2, reads 1 to 2, finalized 1");
    let found =
        |relay: &Relay| (0..20).map(|key| open_connection(relay, key, ",mid=1").0).collect::<Vec<_>>();
    let at: Vec<_> = placed.iter().map(|(up, _)| up.clone()).collect();
    // Locations that were sent in version 1 are still known, and so are those sent in version 2.
    assert_eq!(found(&relays[3]), at);
    let more: Vec<_> = (20..40).map(|key| open_connection(&relays[1], key, ",again=1")).collect();
    thread::sleep(Duration::from_millis(1200));
    let again: Vec<_> = (20..40).map(|key| open_connection(&new, key, ",mid=1").0).collect();
    assert_eq!(again, more.iter().map(|(up, _)| up.clone()).collect::<Vec<_>>());
    // The new process is killed and an older one takes its place again: once that has sent a message, it
    // receives nothing that it can't read.
    drop(new);
    until("the folder is of version 2", || cluster.stored_version(4).starts_with("form 2"));
    let old = UdpSocket::bind(&address).unwrap();
    old.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
    received(&old);
    send_gossip(&old);
    thread::sleep(Duration::from_millis(300));
    received(&old);
    let _held: Vec<_> = (40..60).map(|key| open_connection(&relays[2], key, ",again=1")).collect();
    let all: Vec<&Relay> = relays.iter().collect();
    for _ in 0..40 {
        send_gossip(&old);
        thread::sleep(Duration::from_millis(200));
    }
    wait_for_all(&all, "writes form 1");
    let (read, unread) = received(&old);
    assert!(!read.is_empty() && unread.is_empty(), "{read:?} {unread:?}");
    assert!(relays[0].call(b"finalize\n").starts_with("error a process that reads no more than form 1"));
    drop(old);
    wait_for_all(&all, "writes form 2");
    assert_eq!(relays[0].call(b"finalize\n"), "done finalized 2");
    wait_for_all(&all, "finalized 2");
    // A process that is pinned to version 1 does not start, because of the others' advertisements or of its
    // own folder.
    let assert_refused = |local_index: usize, folder: bool| {
        let errors = refused_start(&cluster, local_index, folder);
        assert!(errors.contains("finalized at form 2") && errors.contains("forms.most"), "{errors}");
    };
    assert_refused(4, false);
    let mut relays = relays;
    until("the finalized version is stored", || relays[3].log().contains("finalized is 2"));
    thread::sleep(Duration::from_millis(500));
    drop(relays.pop());
    assert_eq!(cluster.stored_version(3), "form 2, finalized 2\n");
    assert_refused(3, true);
    assert!(
        state_version(&cluster.folders[3].path().join("kept"), &["--to", "1"])
            .contains("the file can't be migrated back")
    );
    // The cluster stays at the finalized version when an older process comes back.
    let old = UdpSocket::bind(&address).unwrap();
    (0..25).for_each(|_| {
        send_gossip(&old);
        thread::sleep(Duration::from_millis(200));
    });
    wait_for_all(&relays.iter().collect::<Vec<_>>(), "writes form 2, reads 1 to 2, finalized 2");
}

/// Starts a process that is pinned to version 1 and must refuse to start, with its folder or without. Returns
/// what it writes to standard error.
fn refused_start(cluster: &TestCluster, local_index: usize, folder: bool) -> String {
    let files = tempfile::tempdir().unwrap();
    let (host, forms) = (&cluster.hosts[local_index], "[forms]\nmost = 1\n");
    let more = if folder {
        cluster.application_file(local_index, forms)
    } else {
        format!("{forms}{}", settings(local_index))
    };
    let peers: Vec<_> = cluster.hosts.iter().map(|host| format!("{host}:7946")).collect();
    let text = format!(
        "[relay]\nlisten = \"{host}:8443\"\ndiscovery = \"{}\"\npeer_listen = \"{host}:7946\"\npeers = {peers:?}\n{more}",
        cluster.discovery.address
    );
    let file = files.path().join("app.toml");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new("timeout");
    command.args(["10", env!("CARGO_BIN_EXE_sandgw"), "run"]).arg(file).env_remove("PROXY_CONFIG");
    let out = command.output().unwrap();
    assert!(!out.status.success());
    String::from_utf8_lossy(&out.stderr).into_owned()
}

/// Without the `[forms]` table the relay sends no advertisements, knows no `forms` call, and takes a folder
/// of version 2 back to version 1.
#[test]
fn without_the_table_no_version_is_advertised_or_reported() {
    let cluster = TestCluster::new();
    let old = UdpSocket::bind(format!("{}:7946", cluster.hosts[1])).unwrap();
    old.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
    let path = cluster.folders[0].path().join("kept");
    drop(cluster.start(0, ""));
    assert_eq!(state_version(&path, &["--to", "2"]), "form 2, finalized 1\n");
    let relay = cluster.start(0, "");
    assert!(relay.log().contains("the file is of form 1 again"), "{}", relay.log());
    assert_eq!(forms(&relay), "error an unknown call; known are status, standby, active");
    assert_eq!(relay.call(b"finalize\n"), "error an unknown call; known are status, standby, active");
    old.send_to(b"3121|?", format!("{}:7946", cluster.hosts[0])).unwrap();
    let _held: Vec<_> = (0..5).map(|key| open_connection(&relay, key, ",again=1")).collect();
    thread::sleep(Duration::from_millis(2500));
    let mut buffer = [0; 300];
    let mut texts = Vec::new();
    while let Ok(n) = old.recv(&mut buffer) {
        texts.push(String::from_utf8_lossy(&buffer[..n]).into_owned());
    }
    assert!(!texts.is_empty() && texts.iter().all(|t| t.starts_with(['1', '2'])), "{texts:?}");
}

#[test]
fn the_status_names_the_remaining_wait_and_older_relays() {
    let range = SupportedVersions::up_to(SchemaVersion::SECOND).unwrap();
    let mut channel = VersionedChannel::new(
        VersionNegotiator::new(
            range,
            SchemaVersion::FIRST,
            RelayPosition { local_index: 0, relay_count: 40 },
            1,
            0.0,
        )
        .unwrap(),
    );
    let counts = "; unread: 0 cut, 0 of forms to come";
    assert_eq!(
        status(&channel, 4000.0),
        format!("writes form 1, reads 1 to 2, finalized 1; goes up in 16 s{counts}")
    );
    let now = 2.0 * QUIET_PERIOD_MS;
    assert_eq!(status(&channel, now), format!("writes form 2, reads 1 to 2, finalized 1{counts}"));
    let advertisement = VersionAdvertisement {
        supported: SupportedVersions::UNADVERTISED,
        finalized: SchemaVersion::FIRST,
        older_sightings: Vec::new(),
    };
    (1..12).for_each(|peer| channel.negotiator.handle_advertisement(now, peer, &advertisement).unwrap());
    let line = status(&channel, now + 3000.0);
    assert!(
        line.contains("up to form 1 was alive 3 s ago; older are relays 1 2 3 4 5 6 7 8 and more"),
        "{line}"
    );
    assert!(line.len() < 256);
}
