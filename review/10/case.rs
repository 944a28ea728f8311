//! Case 10: a relay restarts while discovery is down, where lists are pushed.
//!
//! Three relays, each with an agent on its own machine, and twelve streamers. Relay 0 dies and comes back after
//! 3 s with the list that it had. Meanwhile a streamer begins to drain, and the agents are told so. Then
//! discovery is down for 8 s, so that the agents are silent (left out with `TROUBLE=0`). The rule is broken if
//! relay 0 sends a new connection to the draining streamer later than the settings allow, counted from the
//! moment at which its new process is ready.

#[path = "../rig-2/mod.rs"]
mod rig;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rig::client::Client;
use rig::deployment::Deployment;
use rig::discovery::Phase;
use rig::relay::Relay;
use rig::settings::Settings;
use rig::streamer::Attempt;
use rig::{CaseResult, Verdict, ms, note};

const REQUESTS: usize = 60;
/// After how long a relay that died comes back, within 2.8 to 8 s.
const ABSENCE: Duration = Duration::from_millis(3000);
/// How long discovery is down.
const OUTAGE: Duration = Duration::from_millis(8000);
/// What the rules on sockets add to each limit of time.
const SOCKET_GRACE: Duration = Duration::from_millis(50);

fn main() {
    rig::run_case("10", case);
}

fn case(trouble: bool) -> CaseResult {
    let mut deployment = Deployment::start(Settings::dar())?;
    sleep(ms(500));
    let died = Instant::now();
    deployment.relays[0].kill();
    sleep(ms(300));
    let draining = deployment.streamers[0].clone();
    deployment.discovery.set_phase(&draining.id, Phase::Terminating);
    draining.drain(None);
    sleep(ms(700));
    let outage_began = Instant::now();
    if trouble {
        deployment.addresses.iter().for_each(|agent| agent.set_silent(true));
    }
    sleep((died + ABSENCE).saturating_duration_since(Instant::now()));
    let relay = Relay::start(&deployment.configs[0])?;
    relay.wait_ready()?;
    let ready_at = Instant::now();
    for n in 0..REQUESTS {
        send_request(&deployment, n);
        sleep(ms(50));
    }
    sleep((outage_began + OUTAGE).saturating_duration_since(Instant::now()));
    deployment.addresses.iter().for_each(|agent| agent.set_silent(false));
    sleep(ms(500));

    let allowed_until = ready_at + ms(deployment.settings.stop_sending_ms.into()) + SOCKET_GRACE;
    let is_late = |attempt: &Attempt| !attempt.is_mid && attempt.at > allowed_until;
    let late: Vec<Attempt> = draining.attempts().into_iter().filter(is_late).collect();
    for attempt in &late {
        let late_by = (attempt.at - allowed_until).as_millis();
        note(&format!("{}: {} came {late_by} ms later than allowed", draining.id, attempt.id));
    }
    if late.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} new connections were sent to {} later than 300 ms after the relay was ready, though its agent had \
         been told that it drains",
        late.len(),
        draining.id
    )))
}

/// A client asks relay 0 for a connection, and leaves once it has its answer.
fn send_request(deployment: &Deployment, n: usize) {
    let request = deployment.request(n);
    if let Ok(mut client) = Client::open(deployment.configs[0].listen, &request, "")
        && client.read(ms(3600)).is_up()
    {
        client.send("bye");
    }
}
