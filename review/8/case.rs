//! Case 8: a planned restart where connections end at the relay (`proxy`).
//!
//! Four relays and twelve streamers. Clients have open connections by relay 0 and send a line every two
//! seconds. Relay 0 is restarted as planned: SIGTERM, and SIGKILL 3.7 s later (with `TROUBLE=0` it gets neither
//! signal). The rule is broken if a client's connection is cut off without `MOVE`, or is still held at SIGKILL,
//! while its streamer answers.

#[path = "../rig-2/mod.rs"]
mod rig;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rig::client::LiveClient;
use rig::deployment::Deployment;
use rig::settings::Settings;
use rig::{CaseResult, Verdict, ms, note, system};

const CLIENTS: usize = 20;
/// From SIGTERM to SIGKILL: the longest deadline (3 s) and 0.7 s.
const TERMINATION_TIME: Duration = Duration::from_millis(3700);

fn main() {
    rig::run_case("8", case);
}

fn case(trouble: bool) -> CaseResult {
    let settings = Settings { mode: "proxy", park_ms: 0, ..Settings::manila() };
    let mut deployment = Deployment::start(settings)?;
    let relay = deployment.configs[0].listen;
    let open = |n: usize| deployment.open(relay, &deployment.request(n), "").map(LiveClient::start);
    let clients = (0..CLIENTS).map(open).collect::<Result<Vec<_>, _>>()?;
    sleep(ms(3000));

    if trouble {
        deployment.relays[0].signal(system::SIGTERM);
    }
    sleep(TERMINATION_TIME);
    let killed = Instant::now();
    if trouble {
        deployment.relays[0].kill();
    }
    sleep(ms(1000));
    let lost: Vec<&LiveClient> = clients.iter().filter(|client| is_lost(client, killed)).collect();
    for client in &lost {
        note(&format!("client {}: lost: {:?}", client.request.id, client.course()));
    }
    if lost.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} of {CLIENTS} connections were cut off without MOVE, or still held at SIGKILL, while their streamers \
         answered",
        lost.len()
    )))
}

/// Whether a connection was cut off without `MOVE`, or was there at SIGKILL.
fn is_lost(client: &LiveClient, killed: Instant) -> bool {
    let course = client.course();
    match (course.moved_at, course.ended) {
        (Some(moved_at), _) => moved_at > killed,
        (None, ended) => ended.is_some(),
    }
}
