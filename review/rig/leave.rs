//! Streamers that keep their connections while they drain leave: were their clients told to move?

use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::rig::*;
use crate::sites::DAR;

/// How long after its start a drain ends with the streamer's end.
const DRAIN_MS: Millis = 6000.0;
/// When the drain begins, after the first client.
const DRAIN_AFTER_MS: Millis = 8000.0;
const RUN_MS: Millis = 20_000.0;

pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<i32> {
    let site = &DAR;
    let seen = Arc::new(Seen::default());
    let streamers: Vec<Arc<Streamer>> = (0..site.streamers)
        .map(|n| start_streamer(n, site.zones[n % site.zones.len()], site.paced_goaway, record, &seen))
        .collect::<io::Result<_>>()?;
    record.say(&format!("site {}, {} relays, {} streamers", site.name, site.relays, site.streamers));
    let discovery = Discovery::start(Service::Prompt, site.relays, &streamers, record)?;
    let (_, known) = discovery.list(None);
    let mut relays = start_relays(site, "pass", root, folder, &discovery, &known, record)?;
    let clients = Clients::new(record, relays.iter().map(|relay| relay.listen).collect());

    let mut draw = Draw(7);
    let start = record.now();
    let leaving: Vec<&Arc<Streamer>> = streamers.iter().filter(|s| s.index % 4 == 1).collect();
    let mut drained_at = None;
    let mut stopped_at = None;
    let mut revision = 0;
    let mut count = 0.0;
    while record.now() < start + RUN_MS {
        let now = record.now();
        if trouble && drained_at.is_none() && now >= start + DRAIN_AFTER_MS {
            for streamer in &leaving {
                streamer.drain();
                revision = discovery.set_phase(streamer.index, "Terminating");
                record.say(&format!("{now:.0}: {} begins to drain, revision {revision}", streamer.id));
            }
            drained_at = Some(now);
        }
        if stopped_at.is_none() && drained_at.is_some_and(|at| now >= at + DRAIN_MS) {
            for streamer in &leaving {
                streamer.stop();
                discovery.set_phase(streamer.index, "Gone");
                record.say(&format!("{now:.0}: {} stops", streamer.id));
            }
            stopped_at = Some(now);
        }
        while count < (now - start) / 1000.0 * site.clients_per_s {
            count += 1.0;
            // A connection lives 23 to 55 s; those of this run want to stay to its end.
            clients.arrive(draw_wish(site, &mut draw, RUN_MS + 10_000.0));
        }
        sleep_ms(5.0);
    }
    clients.stop();
    for relay in &mut relays {
        if relay.has_ended() {
            return Err(io::Error::other(format!("relay {} has ended", relay.index)));
        }
    }

    let visits = clients.visits.lock().unwrap().clone();
    let served = visits.iter().filter(|visit| visit.up_at.is_some()).count();
    record.say(&format!("{} connections of clients, {served} served", visits.len()));
    if served < 50 {
        return Err(io::Error::other("hardly any client was served"));
    }
    for relay in 0..site.relays {
        if let Some((drained_at, told)) = drained_at.zip(discovery.told_at(relay, revision)) {
            record.say(&format!("relay {relay} was told of the drains after {:.0} ms", told - drained_at));
        }
    }
    // The rule: a client is told to move before its streamer leaves.
    let mut told = 0;
    let mut cut = 0;
    for visit in visits.iter().filter(|visit| visit.up_at.is_some()) {
        let (Some(drained_at), Some(streamer)) = (drained_at, &visit.streamer) else {
            if visit.end == End::Cut {
                cut += 1;
            }
            continue;
        };
        let is_leaving = leaving.iter().any(|leaving| leaving.id == *streamer);
        if !is_leaving || visit.ended_at < drained_at || visit.end == End::Left {
            continue;
        }
        match visit.end {
            End::Moved => told += 1,
            _ => {
                cut += 1;
                record.line(&format!(
                    "RULE BROKEN: client {} at relay {}: its streamer {streamer} drained from {drained_at:.1} on \
                     and left at {:.1}; the client was not told to move and was cut off at {:.1}",
                    visit.id,
                    visit.relay,
                    stopped_at.unwrap_or(0.0),
                    visit.ended_at
                ));
            }
        }
    }
    record.say(&format!("clients of streamers that left: {told} told to move, {cut} cut off without a word"));
    if cut > 0 {
        return Ok(BROKEN);
    }
    Ok(HELD)
}
