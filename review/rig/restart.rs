//! A planned restart of a relay at which connections end: are they moved before the relay is killed?

use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::rig::*;
use crate::sites::MANILA;

/// The platform kills the relay so long after SIGTERM: the longest deadline, 3 s, and 0.7 s, and a little more.
const KILL_AFTER_MS: Millis = 4500.0;
/// New connections come for so long after SIGTERM.
const ARRIVALS_AFTER_MS: Millis = 300.0;

pub fn run(root: &Path, folder: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<i32> {
    let site = &MANILA;
    let seen = Arc::new(Seen::default());
    let streamers: Vec<Arc<Streamer>> = (0..site.streamers)
        .map(|n| start_streamer(n, site.zones[n % site.zones.len()], site.paced_goaway, record, &seen))
        .collect::<io::Result<_>>()?;
    record.say(&format!(
        "site {} in proxy mode, {} relays, {} streamers",
        site.name, site.relays, site.streamers
    ));
    let discovery = Discovery::start(Service::Prompt, site.relays, &streamers, record)?;
    let (_, known) = discovery.list(None);
    let mut relays = start_relays(site, "proxy", root, folder, &discovery, &known, record)?;
    let clients = Clients::new(record, relays.iter().map(|relay| relay.listen).collect());

    let mut draw = Draw(7);
    let start = record.now();
    let mut count = 0.0;
    let mut terminated_at = None;
    let mut killed_at = None;
    while record.now() < start + 16_000.0 {
        let now = record.now();
        if trouble && terminated_at.is_none() && now >= start + 6000.0 {
            relays[0].terminate()?;
            record.say(&format!("{now:.0}: SIGTERM to relay 0"));
            terminated_at = Some(now);
        }
        if terminated_at.is_some_and(|at| now >= at + ARRIVALS_AFTER_MS) {
            clients.admit((1..site.relays).collect());
        }
        if killed_at.is_none() && terminated_at.is_some_and(|at| now >= at + KILL_AFTER_MS) {
            killed_at = Some(record.now());
            record.say(&format!("{now:.0}: SIGKILL to relay 0"));
            relays[0].kill();
        }
        while count < (now - start) / 1000.0 * site.clients_per_s {
            count += 1.0;
            clients.arrive(draw_wish(site, &mut draw, 30_000.0));
        }
        sleep_ms(5.0);
    }
    clients.stop();

    let visits = clients.visits.lock().unwrap().clone();
    let served = visits.iter().filter(|visit| visit.up_at.is_some()).count();
    record.say(&format!("{} connections of clients, {served} served", visits.len()));
    if served < 50 {
        return Err(io::Error::other("hardly any client was served"));
    }
    // The rule: a connection is lost that the relay cuts off without MOVE or still holds at SIGKILL.
    let mut moved = 0;
    let mut lost = 0;
    for visit in visits.iter().filter(|visit| visit.up_at.is_some()) {
        match visit.end {
            End::Cut => {
                lost += 1;
                record.line(&format!(
                    "RULE BROKEN: the connection of client {} at relay {} was cut off at {:.1} without MOVE",
                    visit.id, visit.relay, visit.ended_at
                ));
            }
            End::Moved => moved += 1,
            _ => {}
        }
    }
    record.say(&format!("{moved} connections moved, {lost} lost"));
    Ok(if lost > 0 { BROKEN } else { HELD })
}
