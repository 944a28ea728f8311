//! Tests of tenants' quotas with real processes: a cluster of four relays, endpoints at their capacity, one
//! tenant that floods them, and a relay that is killed meanwhile.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use common::*;

const RELAYS: usize = 4;
/// Capacity of each of two endpoints: a tenth more than the tenants' quotas.
const CAPACITY: u32 = 33;
/// The tenants' quotas in connections.
const QUOTAS: [usize; 2] = [40, 20];
/// Connections that the small tenant keeps open, and arrivals of the big tenant in each round.
const SMALL: usize = 16;
const FLOOD: usize = 32;
const ROUNDS: usize = 16;

/// An endpoint that accepts up to `capacity` connections and rejects others.
fn endpoint_with_capacity(capacity: u32) -> Endpoint {
    let held = Arc::new(AtomicU32::new(0));
    Endpoint::start(move |stream, _| {
        let mut line = String::new();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if reader.read_line(&mut line).is_err() {
            return;
        }
        let mut writer = stream;
        if held.fetch_add(1, Ordering::SeqCst) < capacity && writer.write_all(b"UP 1\r\n").is_ok() {
            while reader.read_line(&mut line).is_ok_and(|n| n > 0) {}
        } else {
            let _ = writer.write_all(b"BUSY\r\n");
        }
        held.fetch_sub(1, Ordering::SeqCst);
    })
}

/// An operator's file: settings with quotas, enforced or not.
fn application_file(local_index: usize, enforce: bool) -> String {
    let [big, small] = QUOTAS;
    format!(
        r#"
[shares]
enforce = {enforce}
[settings]
discovery = "on_request"
nInstances = {RELAYS}
me = {local_index}
resolutionMs = 2.0
overShareWorth = 0.05
realms = [{{ name = "big", fraction = 0.67 }}, {{ name = "small", fraction = 0.33 }}]
lanes = [{{ name = "subtitle-stream", semantics = "safe", aimMs = 300.0, hardLimitMs = 3000.0, worth = 1.0 }}]
[settings.limits]
maxAttempts = 5
connectTimeoutMs = 200.0
retryAfter = true
maxRetryAfterMs = 1500.0
peerMessages = true
[settings.domain]
mode = "pass"
messageAimMs = [150.0]
tenantQuotaConnections = [{big}.0, {small}.0]
"#
    )
}

/// A client that has requested a connection, and its relay.
fn connect(relays: &[Option<Relay>], tenant: usize) -> (usize, Client) {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let up: Vec<usize> = (0..relays.len()).filter(|i| relays[*i].is_some()).collect();
    let at = up[id as usize % up.len()];
    let mut client = relays[at].as_ref().unwrap().client();
    let name = ["big", "small"][tenant];
    client.send(&format!("OPEN {id:x} k{id:x} c=subtitle-stream,t={name},d=800\r\n"));
    (at, client)
}

/// Runs rounds in which some of each tenant's connections end and others arrive. Returns the served fraction
/// of the arrivals in the second half of the rounds, and the open connections at the end, by tenant.
fn run_rounds(enforce: bool) -> ([f64; 2], [usize; 2]) {
    let endpoints = [endpoint_with_capacity(CAPACITY), endpoint_with_capacity(CAPACITY)];
    let discovery = Discovery::start();
    for (i, s) in endpoints.iter().enumerate() {
        discovery.set(&format!("s-{i}"), &s.address, "Ready", 0);
    }
    let hosts: Vec<String> = (0..RELAYS).map(|_| host()).collect();
    let start = |local_index: usize| {
        Relay::start_more(&discovery, 1024, &hosts, local_index, &application_file(local_index, enforce))
    };
    let mut relays: Vec<Option<Relay>> = (0..RELAYS).map(|local_index| Some(start(local_index))).collect();
    let mut open: [Vec<(usize, Client)>; 2] = Default::default();
    let (mut arrived, mut served) = ([0; 2], [0; 2]);
    for round in 0..ROUNDS {
        // Relay 1 is killed with all its connections, and restarts later without any state.
        if round == 6 {
            relays[1] = None;
            open.iter_mut().for_each(|h| h.retain(|(at, _)| *at != 1));
        }
        if round == 9 {
            relays[1] = Some(start(1));
        }
        open.iter_mut().for_each(|h| drop(h.drain(..h.len() / 5)));
        thread::sleep(Duration::from_millis(400));
        let small = SMALL.saturating_sub(open[1].len());
        let connect_as = |tenant| (tenant, connect(&relays, tenant));
        let turns = (0..FLOOD.max(small)).flat_map(|i| [(i < FLOOD).then_some(0), (i < small).then_some(1)]);
        let requests: Vec<_> = turns.flatten().map(connect_as).collect();
        for (tenant, (at, mut client)) in requests {
            let answer = client.line();
            let up = answer.starts_with("UP");
            assert!(up || answer.starts_with("BUSY"), "{answer}");
            if round >= ROUNDS / 2 {
                arrived[tenant] += 1;
                served[tenant] += usize::from(up);
            }
            open[tenant].extend(up.then_some((at, client)));
        }
    }
    let log: Vec<String> = relays.iter().flatten().map(Relay::log).collect();
    let logs_scarcity = log.iter().any(|log| log.contains("quota: capacity is short"));
    assert_eq!(
        logs_scarcity, enforce,
        "rejections by quota must be logged if and only if quotas are enforced"
    );
    ([0, 1].map(|m| served[m] as f64 / arrived[m] as f64), [open[0].len(), open[1].len()])
}

#[test]
fn a_flood_leaves_the_other_member_its_share_through_a_kill() {
    let (off, open_off) = run_rounds(false);
    let (on, open) = run_rounds(true);
    println!(
        "served fraction of arrivals, big and small tenant: {off:.2?} without enforced quotas, {on:.2?} with them"
    );
    println!("open at the end: {open_off:?} and {open:?} of quotas {QUOTAS:?}");
    assert!(off[1] < 0.8, "the flood does not hurt the small tenant without enforced quotas: {off:?}");
    assert!(on[1] >= 0.9, "{on:?}");
    assert!(
        open[0] >= QUOTAS[0] * 3 / 4,
        "connections within the big tenant's quota were rejected: {open:?}"
    );
}

/// Guards against a flood that takes another tenant's quota at relays that do not know of each other's
/// connections, that have just started, or that see no scarcity themselves.
#[test]
fn a_flood_at_all_relays_leaves_a_small_tenant_its_quota() {
    let (served, open) = run_rounds(true);
    println!(
        "served fraction of arrivals, big and small tenant: {served:.2?}; open at the end: {open:?} of {QUOTAS:?}"
    );
    assert!(served[1] >= 0.9, "{served:?}");
    assert!(open[0] >= QUOTAS[0] * 3 / 4 && open[0] <= QUOTAS[0] * 5 / 4, "{open:?}");
}

/// While capacity is not scarce, no request is rejected, however far its tenant is over quota.
#[test]
fn without_scarcity_no_request_is_rejected() {
    let (endpoint, discovery) = (endpoint_with_capacity(1000), Discovery::start());
    discovery.set("s-0", &endpoint.address, "Ready", 0);
    let hosts: Vec<String> = (0..RELAYS).map(|_| host()).collect();
    let relays: Vec<_> = (0..RELAYS)
        .map(|local_index| {
            Some(Relay::start_more(
                &discovery,
                1024,
                &hosts,
                local_index,
                &application_file(local_index, true),
            ))
        })
        .collect();
    let mut clients: Vec<_> = (0..QUOTAS[1] * 4).map(|_| connect(&relays, 1)).collect();
    assert!(clients.iter_mut().all(|(_, client)| client.line() == "UP 1"));
}
