//! Tests that every error variant occurs, has advice and is listed on the operators' page of errors.

use std::fmt::Display;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;

use super::{Help, HelpEntry};
use crate::config::{Config, ConfigError, Fault, new_application};
use crate::discovery::{CallError, EndpointList, ListError, MAX_ANSWER_BYTES};
use crate::net::http_call::fetch;
use crate::simulator::{Adapter, SettingFault, WireFault, read_settings};

/// Asserts that `errors` contain every variant of the type, that each message contains its stable text, and
/// that the operators' page has a row with that text and the advice.
fn assert_all_documented<E: Help + Display>(errors: &[E]) {
    let page = include_str!("../../docs/operators/errors.md");
    for HelpEntry { stable_text, help } in E::ALL {
        let occurs = errors.iter().any(|e| e.stable_text() == *stable_text && e.help() == *help);
        assert!(occurs, "no error with the text {stable_text:?} occurred");
        let row = format!("| {help} |");
        let text = format!("`{stable_text}`");
        let documented = page.lines().any(|line| line.contains(&text) && line.ends_with(&row));
        assert!(documented, "the page does not list {stable_text:?}, or not with: {help}");
    }
    for e in errors {
        assert!(e.to_string().contains(e.stable_text()), "{e} does not contain {:?}", e.stable_text());
    }
}

fn list_error(answers: &[&str]) -> ListError {
    let mut list = EndpointList::default();
    let results = answers.iter().map(|body| {
        list.next_request();
        list.apply_answer(body.as_bytes())
    });
    results.last().expect("an answer").expect_err("a faulty list")
}

fn entry_error(text: &str) -> ListError {
    list_error(&[&format!(r#"{{"revision":1,"complete":true,"members":[{{{text}}}]}}"#)])
}

#[test]
fn every_endpoint_list_error_is_documented() {
    let held = r#"{"revision":5,"complete":true,"members":[]}"#;
    let changes = r#"{"revision":4,"complete":false,"members":[]}"#;
    let unrequested = EndpointList::default().apply_answer(b"{}").expect_err("an answer without a request");
    assert_all_documented(&[
        list_error(&["<html>"]),
        list_error(&["{}"]),
        list_error(&[changes]),
        list_error(&[held, changes]),
        unrequested,
        entry_error(r#""id":7"#),
        entry_error(r#""id":"s-1","phase":"ready""#),
        entry_error(r#""id":"s-1","phase":"Ready","host_port":"here""#),
        entry_error(r#""id":"s-1","phase":"Gone","size":-1"#),
    ]);
}

#[test]
fn every_discovery_call_error_is_documented() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let answer = |bytes: &[u8]| {
        let (end, mut service) = tokio::io::duplex(1 << 16);
        let served = async move {
            // The caller may close the connection before it has read the whole answer.
            let _ = service.write_all(bytes).await;
            let _ = service.shutdown().await;
            service
        };
        let result = runtime.block_on(async { tokio::join!(fetch(end, "d", "/v1/endpoints"), served).0 });
        result.expect_err("a faulty answer")
    };
    let long = [b"HTTP/1.1 200 OK\r\n\r\n".as_slice(), &[b' '; MAX_ANSWER_BYTES + 1]].concat();
    let chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n";
    let short = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{";
    assert!(matches!(answer(chunk.as_bytes()), CallError::NotHttp(_)));
    assert!(matches!(answer(short.as_bytes()), CallError::Truncated("body")));
    assert_all_documented(&[
        CallError::Io(std::io::Error::from_raw_os_error(111)),
        CallError::TimedOut,
        answer(b"SSH-2.0\r\n"),
        answer(b"HTTP/1.1 503 Busy\r\n\r\n"),
        answer(b"HTTP/1.1 200 OK\r\n"),
        answer(&long),
    ]);
}

#[test]
fn every_configuration_error_is_documented() {
    let folder = tempfile::tempdir().expect("a folder");
    let app = folder.path().join("app.toml");
    let load = |text: &str| {
        std::fs::write(&app, text).expect("a file");
        Config::load(&[].into(), Some(&app))
    };
    let whole = include_str!("../application.toml");
    let running = load(whole).expect("the template");
    let faults_of = |faults: Result<Config, Vec<ConfigError>>| faults.expect_err("faults");
    let command_error = |fault: Fault| {
        let location =
            if matches!(fault, Fault::Start(_)) { ("relay", "start") } else { ("f", "state.folder") };
        ConfigError { file: location.0.into(), key: location.1.into(), fault }
    };
    let invalid_values = "relay = 5\nstate = {folder=\"\"}\n[limits]\nsockets = 1\n[rtmp]\ntrusted = 1\nclass = \"no\"\n\
                listen = 1\nspeed = 1\n[snmp]\nlisten = \"10.0.0.1:1\"\n[settings]\nlanes = [{name = \"a\"}]\n";
    let invalid_sections = "[shares]\nenforce = true\n[forms]\nmost = 1.5\n[maintenance]\n\
                 lease_s = 10\nclock_bound_ms = 9000\nvoters = [99]\n";
    let conflicting_keys = "[relay]\nhandover = \"here\"\ndiscovery = \"there\"\n[state]\nfolder = \"f\"\n";
    let platform = folder.path().join("config.json");
    let load_platform = |text: &str| {
        std::fs::write(&platform, text).expect("a file");
        Config::load(&[("PROXY_CONFIG".into(), platform.display().to_string())].into(), None)
    };
    let mut errors = faults_of(Config::load(&[].into(), None));
    errors.extend(faults_of(Config::load(&[].into(), Some(&folder.path().join("none")))));
    errors.extend(
        [invalid_values, conflicting_keys, invalid_sections, "[relay", ""]
            .map(|text| faults_of(load(text)))
            .into_iter()
            .flatten(),
    );
    errors.extend(["[]", r#"{"seed":"x"}"#].map(|text| faults_of(load_platform(text))).into_iter().flatten());
    let truncated = whole.trim_end().rsplit_once('\n').expect("lines").0;
    errors.extend(faults_of(load(truncated).and_then(|new| running.reject_truncated(new))));
    errors.extend(["app", "app", "A"].iter().filter_map(|name| new_application(folder.path(), name).err()));
    let version_error = sandgw_schema_version::SchemaVersion::new(99).expect_err("an unsupported version");
    errors.push(ConfigError {
        file: "f".into(),
        key: "forms.most".into(),
        fault: Fault::SchemaVersion(version_error),
    });
    errors.push(ConfigError {
        file: "f".into(),
        key: "maintenance.floor".into(),
        fault: Fault::NoPeerMessages,
    });
    errors.push(command_error(Fault::Start(std::io::Error::from_raw_os_error(98))));
    errors.push(command_error(Fault::StateFolder("another process has the store open".into())));
    assert_all_documented(&errors);
}

#[test]
fn every_settings_error_is_documented() {
    let faults = |settings: Value| read_settings(&settings).expect_err("faults").into_iter().map(|e| e.fault);
    let invalid_settings = json!({"limits": 1, "discovery": "no", "nInstances": 1.5, "resolutionMs": -1,
        "domain": {"messageAimMs": 1}, "lanes": [{"semantics": "keyed"}]});
    let invalid_limits = json!({"limits": {"retryAfter": 1}, "rules": {"spareAttempts": -1}, "realms": [{}]});
    assert_all_documented::<SettingFault>(
        &faults(invalid_settings).chain(faults(invalid_limits)).collect::<Vec<_>>(),
    );
}

#[test]
fn every_simulator_protocol_error_is_documented() {
    let round = r#"["ROUND",1.0,1]"#;
    let start = r#"["START","b",1,{}]"#;
    let mut unfinished = Adapter::new();
    unfinished.handle_line(round).expect("a round");
    let mut errors = vec![unfinished.finish().expect_err("an end in a round").fault];
    for last in [
        "no",
        "5",
        round,
        r#"["START","b",1,5]"#,
        r#"["EXPIRED","c",1]"#,
        r#"["WHISPER","b",1]"#,
        r#"["EXPIRED","b"]"#,
        r#"["EXPIRED","b","x"]"#,
        r#"["MEMBERSHIP","b",0,2,[5]]"#,
    ] {
        let mut adapter = Adapter::new();
        let replies = [round, start, last].map(|line| adapter.handle_line(line));
        errors.extend(replies.into_iter().filter_map(Result::err).map(|e| e.fault));
    }
    assert_all_documented::<WireFault>(&errors);
}
