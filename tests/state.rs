//! Tests of the durable store of clients and groups, with the real program.

mod common;

use std::path::Path;
use std::process::{Command, Output};
use std::thread;
use std::time::Duration;

use common::*;

const REPLIES: [&str; 4] = ["UP 0\r\n", "UP 1\r\n", "UP 2\r\n", "UP 3\r\n"];

fn start_endpoints(discovery: &Discovery) -> Vec<Endpoint> {
    let endpoints: Vec<_> = REPLIES.into_iter().map(Endpoint::lines).collect();
    for (i, s) in endpoints.iter().enumerate() {
        discovery.set(&format!("s-{i}"), &s.address, "Ready", 0);
    }
    endpoints
}

fn start(discovery: &Discovery, host: &str, folder: &Path) -> Relay {
    let more = format!("[state]\nfolder = {:?}\nflush_ms = 100\n", folder.display().to_string());
    Relay::start_more(discovery, 1024, &[host.to_owned()], 0, &more)
}

/// Opens a client's connection; returns the reply and the connection.
fn connect(relay: &Relay, key: usize, more: &str) -> (String, Client) {
    let mut client = relay.client();
    client.send(&format!("OPEN {key}{} {key} c=subtitle-stream,t=acme,d=2000,g=1{more}\r\n", more.len()));
    (client.line(), client)
}

/// Places clients that the relay does not know yet, and waits until the store has written them. Returns the
/// replies.
fn place(relay: &Relay) -> Vec<String> {
    let held: Vec<_> = (0..40).map(|key| connect(relay, key, ",again=1")).collect();
    thread::sleep(Duration::from_secs(1));
    let at: Vec<_> = held.into_iter().map(|(up, _)| up).collect();
    assert!(at.iter().any(|up| *up != at[0]), "all clients were placed at the same endpoint: {at:?}");
    at
}

fn sandgw(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sandgw"));
    command.env_remove("PROXY_CONFIG").args(arguments).output().unwrap()
}

/// A relay without peers is killed and restarted: connections that arrive mid-flow reach their endpoint.
#[test]
fn a_relay_that_is_killed_knows_its_clients_from_the_folder() {
    let (discovery, folder) = (Discovery::start(), tempfile::tempdir().unwrap());
    let (_endpoints, host) = (start_endpoints(&discovery), host());
    let relay = start(&discovery, &host, folder.path());
    let at = place(&relay);
    drop(relay);
    let relay = start(&discovery, &host, folder.path());
    let again: Vec<_> = (0..40).map(|key| connect(&relay, key, ",mid=1").0).collect();
    assert_eq!(again, at, "{}", relay.log());
    assert!(relay.log().contains("state.folder: 41 entries taken"), "{}", relay.log());
}

/// While the relay is down one endpoint leaves and another restarts: stored entries attract no connections to
/// either.
#[test]
fn stored_entries_of_endpoints_that_left_attract_no_connections() {
    let (discovery, folder) = (Discovery::start(), tempfile::tempdir().unwrap());
    let (endpoints, host) = (start_endpoints(&discovery), host());
    let relay = start(&discovery, &host, folder.path());
    let at = place(&relay);
    drop(relay);
    discovery.set("s-0", &endpoints[0].address, "Terminating", 0);
    discovery.set("s-1", &endpoints[1].address, "Ready", unix_ms() - 60_000);
    let before = endpoints[0].seen().len();
    let relay = start(&discovery, &host, folder.path());
    let held: Vec<_> = (0..40).map(|key| connect(&relay, key, ",mid=1")).collect();
    for ((again, _), at) in held.iter().zip(&at) {
        assert_ne!(again, "UP 0");
        // Other clients keep their endpoint; s-1 has restarted and is no sticky endpoint any more.
        assert!(again == at || at == "UP 0" || at == "UP 1", "{again} after {at}");
    }
    let opens = endpoints[0].seen()[before..].iter().filter(|l| l.starts_with("OPEN")).count();
    assert_eq!(opens, 0, "the endpoint that leaves got new requests");
}

#[test]
fn an_unusable_folder_is_refused_and_a_damaged_file_is_set_aside() {
    let (discovery, folder) = (Discovery::start(), tempfile::tempdir().unwrap());
    let _endpoints = start_endpoints(&discovery);
    let host_of_first = host();
    let relay = start(&discovery, &host_of_first, folder.path());
    let assert_refused = |state: &Path, reason: &str| {
        let file = folder.path().join("second.toml");
        let text =
            include_str!("../src/application.toml").replace("127.0.0.1:1935", &format!("{}:1935", host()));
        let text = format!("{text}\n[state]\nfolder = {:?}\n", state.display().to_string());
        std::fs::write(&file, text).unwrap();
        let output = sandgw(&["run", file.to_str().unwrap()]);
        let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && output_text.contains("state.folder") && output_text.contains(reason),
            "{output_text}"
        );
    };
    assert_refused(folder.path(), "another process has the store open");
    let file = folder.path().join("file");
    std::fs::write(&file, "").unwrap();
    assert_refused(&file, "the folder can't be used");
    assert_refused(&folder.path().join("no/parent"), "the folder can't be used");
    drop(relay);
    let store_file = folder.path().join("affinity.redb");
    std::fs::write(&store_file, "something else").unwrap();
    let relay = start(&discovery, &host_of_first, folder.path());
    assert_eq!(connect(&relay, 1, "").0.split(' ').next(), Some("UP"));
    assert!(relay.log().contains("affinity.damaged-1, and an empty one is begun"), "{}", relay.log());
    assert_eq!(std::fs::read_to_string(folder.path().join("affinity.damaged-1")).unwrap(), "something else");
}

/// Guards against a relay that is ended by a signal because the store's file or the log has reached the limit
/// on file sizes.
#[test]
fn a_file_at_its_size_limit_does_not_end_the_relay() {
    let (discovery, folder) = (Discovery::start(), tempfile::tempdir().unwrap());
    let _endpoints = start_endpoints(&discovery);
    let more =
        format!("[state]\nfolder = {:?}\nflush_ms = 100\n", folder.path().join("kept").display().to_string());
    let relay = Relay::start_limited(&discovery, "ulimit -f 8", 1024, &[host()], 0, &more);
    assert!(relay.log().contains("state.folder: "), "{}", relay.log());
    for key in 0..200 {
        assert_eq!(connect(&relay, key, "").0.split(' ').next(), Some("UP"));
        // The relay logs a warning for each faulty reload, until its log is full as well.
        relay.reload(None);
    }
    assert_eq!(connect(&relay, 200, "").0.split(' ').next(), Some("UP"));
}

#[test]
fn the_state_command_shows_verifies_exports_and_imports_a_folder() {
    let (discovery, folder) = (Discovery::start(), tempfile::tempdir().unwrap());
    let _endpoints = start_endpoints(&discovery);
    let relay = start(&discovery, &host(), folder.path());
    place(&relay);
    let path = folder.path().to_str().unwrap();
    let run = |arguments: &[&str]| {
        let output = sandgw(&[&["state"], arguments].concat());
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.success(), text(&output.stdout) + &text(&output.stderr))
    };
    let (succeeded, output_text) = run(&["verify", path]);
    assert!(!succeeded && output_text.contains("another process"), "{output_text}");
    drop(relay);
    assert_eq!(run(&["verify", path]), (true, "41 records, 0 damaged\n".into()));
    let (succeeded, json) = run(&["show", path, "--json"]);
    let summary: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert!(succeeded && summary["clients"] == 40 && summary["groups"] == 1, "{json}");
    let (_, output_text) = run(&["show", path]);
    assert!(output_text.contains("40 clients, 1 groups") && output_text.contains("s-1 "), "{output_text}");
    let (file, other) = (folder.path().join("export"), folder.path().join("other"));
    let (file, other) = (file.to_str().unwrap(), other.to_str().unwrap());
    assert!(run(&["export", path, "--to", file]).0);
    let (succeeded, output_text) = run(&["export", path, "--to", file]);
    assert!(!succeeded && output_text.contains(file), "an export was overwritten: {output_text}");
    let (succeeded, output_text) = run(&["import", other, "--from", file, "--json"]);
    assert!(succeeded && output_text.contains("45"), "{output_text}");
    assert_eq!(run(&["verify", other, "--json"]).1, "{\"damaged\":0,\"records\":41}\n");
    assert!(run(&["compact", other]).0);
    let (succeeded, output_text) = run(&["show", "/nowhere"]);
    assert!(
        !succeeded && output_text.contains("/nowhere: state.folder: the folder can't be used"),
        "{output_text}"
    );
}
