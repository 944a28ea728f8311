//! Cases on the rule about drains: relays start with the list that they had last, and streamers begin to
//! drain while discovery is crowded or slow.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::rig::*;
use crate::sites::{KIGALI, MANILA, Site};

/// Whatever discovery has to tell counts as told so long after discovery had it.
const TOLD_WITHIN_MS: Millis = 6000.0;
/// Every time limit on sockets is so much longer.
const SOCKET_SLACK_MS: Millis = 50.0;
/// What this process may be late by when it records an arrival.
const RECORDING_SLACK_MS: Millis = 200.0;

pub struct DrainCase {
    site: &'static Site,
    /// How discovery behaves in the disruption.
    service: Service,
    /// How long discovery behaves so before the relays start.
    before_start_ms: Millis,
    /// When streamers begin to drain, after the relays are ready.
    drain_after_ms: Millis,
    /// How long clients arrive after that.
    run_ms: Millis,
}

pub const CROWDED: DrainCase = DrainCase {
    site: &MANILA,
    service: Service::Crowded { per_s: 4.0, timeout_ms: MANILA.discovery_timeout_ms, callers: 210 },
    before_start_ms: 2500.0,
    drain_after_ms: 1000.0,
    run_ms: 20_000.0,
};

pub const SLOW: DrainCase = DrainCase {
    site: &KIGALI,
    service: Service::Slow { turn_ms: 2800.0 },
    before_start_ms: 0.0,
    drain_after_ms: 1000.0,
    run_ms: 20_000.0,
};

pub fn run(
    case: &DrainCase,
    root: &Path,
    folder: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> io::Result<i32> {
    let site = case.site;
    let seen = Arc::new(Seen::default());
    let streamers: Vec<Arc<Streamer>> = (0..site.streamers)
        .map(|n| start_streamer(n, site.zones[n % site.zones.len()], site.paced_goaway, record, &seen))
        .collect::<io::Result<_>>()?;
    let service = if trouble { case.service } else { Service::Prompt };
    record.say(&format!(
        "site {}, {} relays, {} streamers, discovery: {service:?}",
        site.name, site.relays, site.streamers
    ));
    let discovery = Discovery::start(service, site.relays, &streamers, record)?;
    let (_, known) = discovery.list(None);
    sleep_ms(if trouble { case.before_start_ms } else { 0.0 });

    let mut relays = start_relays(site, "pass", root, folder, &discovery, &known, record)?;

    // Clients arrive evenly; each of a quarter of the streamers begins to drain at the same time.
    let clients = Clients::new(record, relays.iter().map(|relay| relay.listen).collect());
    let mut draw = Draw(7);
    let start = record.now();
    let mut drained = Vec::new();
    let mut count = 0.0;
    while record.now() < start + case.drain_after_ms + case.run_ms {
        if drained.is_empty() && record.now() >= start + case.drain_after_ms {
            for streamer in streamers.iter().filter(|s| s.index % 4 == 1) {
                streamer.drain();
                let revision = discovery.set_phase(streamer.index, "Terminating");
                let at = record.now();
                record.say(&format!(
                    "{:.0}: discovery has that {} drains, revision {revision}",
                    at, streamer.id
                ));
                drained.push((streamer.index, revision, at));
            }
        }
        while count < (record.now() - start) / 1000.0 * site.clients_per_s {
            count += 1.0;
            let stay_ms = 4000.0 + 4000.0 * draw.next();
            clients.arrive(draw_wish(site, &mut draw, stay_ms));
        }
        sleep_ms(5.0);
    }
    clients.stop();
    for relay in &mut relays {
        if relay.has_ended() {
            return Err(io::Error::other(format!("relay {} has ended", relay.index)));
        }
    }

    // The rule: nothing new to a draining streamer later than the grace after the relay was told, or after it
    // counts as told.
    let mut broken = 0;
    let mut latest: Millis = 0.0;
    let mut relays_at_fault = std::collections::BTreeSet::new();
    let arrivals = seen.arrivals.lock().unwrap().clone();
    for (streamer, revision, changed_at) in &drained {
        for arrival in arrivals.iter().filter(|arrival| arrival.streamer == *streamer) {
            let Some(relay) = clients.relay_of(&arrival.id) else { continue };
            let deemed = changed_at + TOLD_WITHIN_MS;
            let told = discovery.told_at(relay, *revision).map_or(deemed, |at| at.min(deemed));
            let limit = told + site.drain_grace_ms + SOCKET_SLACK_MS + RECORDING_SLACK_MS;
            if arrival.first_byte > limit {
                broken += 1;
                latest = latest.max(arrival.first_byte - changed_at);
                relays_at_fault.insert(relay);
                record.line(&format!(
                    "RULE BROKEN: relay {relay} sends {} to s-{streamer:02} at {:.1}; discovery had the drain at \
                     {changed_at:.1}, it counts as told at {told:.1}, sends had to stop by {limit:.1}",
                    arrival.id, arrival.first_byte
                ));
            }
        }
    }
    for relay in &relays {
        for line in relay.log_lines("discovery", 30) {
            record.line(&format!("log of relay {}: {line}", relay.index));
        }
    }
    let visits = clients.visits.lock().unwrap();
    let served = visits.iter().filter(|visit| visit.up_at.is_some()).count();
    record.say(&format!(
        "{} connections of clients, {served} served; other callers: {} answered, {} failed",
        visits.len(),
        discovery.others_answered.load(Ordering::SeqCst),
        discovery.others_failed.load(Ordering::SeqCst)
    ));
    for relay in 0..site.relays {
        let told: Vec<String> = drained
            .iter()
            .map(|(_, revision, at)| match discovery.told_at(relay, *revision) {
                Some(told) => format!("{:.0} ms", told - at),
                None => "never".to_owned(),
            })
            .collect();
        record.say(&format!("relay {relay} was told of the drains after: {}", told.join(", ")));
    }
    if served < 50 {
        return Err(io::Error::other("hardly any client was served"));
    }
    if broken > 0 {
        record.say(&format!(
            "drain broken: {broken} sends to draining streamers after the grace, the latest {latest:.0} ms after \
             discovery had the change, by relays {relays_at_fault:?}"
        ));
        return Ok(BROKEN);
    }
    record.say("drain held");
    Ok(HELD)
}
