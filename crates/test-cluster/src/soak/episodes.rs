//! The faults of a soak run, drawn one after another: each episode ends before the next one of its kind can
//! begin, and the cluster is whole at the end.

use rand::RngExt;
use rand::rngs::StdRng;

use crate::Millis;
use crate::fault_schedule::{Fault, FaultSchedule, FaultStep};
use crate::log::RelayIndex;

/// How long after SIGTERM a process is killed: the longest deadline, which counts as 3 s at the least, and 0.7 s.
/// It is the earliest time that the platform allows.
const KILL_AFTER_TERM_MS: Millis = 3700.0;
/// Between two episodes.
const PAUSE_MS: std::ops::Range<Millis> = 200.0..1200.0;
/// Idle clients of a crowd: more than a relay may have descriptors.
const CROWD_CLIENTS: usize = 1100;
const EPISODE_KINDS: u32 = 13;

/// What the draws depend on.
struct Cluster {
    relays: usize,
    endpoints: usize,
    peer_messages: bool,
}

/// Draws episodes until the time is over.
pub(super) fn draw(
    rng: &mut StdRng,
    relays: usize,
    endpoints: usize,
    peer_messages: bool,
    duration_ms: Millis,
) -> FaultSchedule {
    let cluster = Cluster { relays, endpoints, peer_messages };
    let mut steps = Vec::new();
    let mut begin_ms = rng.random_range(PAUSE_MS);
    while begin_ms < duration_ms {
        let episode = cluster.draw_episode(rng);
        let end_ms = begin_ms + episode.last().map_or(0.0, |step| step.at_ms);
        if end_ms <= duration_ms {
            steps.extend(episode.into_iter().map(|step| FaultStep { at_ms: begin_ms + step.at_ms, ..step }));
            begin_ms = end_ms;
        }
        begin_ms += rng.random_range(PAUSE_MS);
    }
    FaultSchedule { steps }
}

fn step(at_ms: Millis, fault: Fault) -> FaultStep {
    FaultStep { at_ms, fault }
}

impl Cluster {
    fn draw_episode(&self, rng: &mut StdRng) -> Vec<FaultStep> {
        let relay = rng.random_range(0..self.relays);
        let endpoint = rng.random_range(0..self.endpoints);
        let lasts_ms = rng.random_range(1000.0..4000.0);
        let ended_by = |begin, end| vec![step(0.0, begin), step(lasts_ms, end)];
        match rng.random_range(0..EPISODE_KINDS) {
            0..=2 => draw_planned_restart(rng, relay),
            3 => {
                let killed = self.draw_relays(rng, relay);
                ended_by(Fault::KillRelays(killed.clone()), Fault::StartRelays(killed))
            }
            4 => vec![step(0.0, Fault::PauseRelay(relay)), step(lasts_ms / 4.0, Fault::ResumeRelay(relay))],
            5 if self.peer_messages => {
                ended_by(Fault::Partition(self.draw_relays(rng, relay)), Fault::HealPartition)
            }
            6 if self.peer_messages => ended_by(draw_noise(rng), Fault::calm_datagrams()),
            7 => ended_by(Fault::DiscoveryDown, Fault::DiscoveryUp),
            8 => ended_by(Fault::DiscoveryMute, Fault::DiscoveryAnswers),
            9 => draw_drain(rng, endpoint),
            10 => ended_by(Fault::KillEndpoint(endpoint), Fault::StartEndpoint(endpoint)),
            11 => draw_crowd(rng, relay, lasts_ms),
            _ => ended_by(Fault::HangEndpoint(endpoint), Fault::RecoverEndpoint(endpoint)),
        }
    }

    /// Some relays but not all; one alone where none or all were drawn.
    fn draw_relays(&self, rng: &mut StdRng, fallback: RelayIndex) -> Vec<RelayIndex> {
        let drawn: Vec<_> = (0..self.relays).filter(|_| rng.random_bool(0.4)).collect();
        if drawn.is_empty() || drawn.len() == self.relays { vec![fallback] } else { drawn }
    }
}

/// Signals in series, SIGTERM last or twice; SIGKILL at the earliest; a new process that is told to reload
/// while it starts.
fn draw_planned_restart(rng: &mut StdRng, relay: RelayIndex) -> Vec<FaultStep> {
    let mut steps = Vec::new();
    let mut at_ms = 0.0;
    for _ in 0..rng.random_range(0..3) {
        steps.push(step(at_ms, Fault::ReloadRelay(relay)));
        at_ms += rng.random_range(0.0..60.0);
    }
    steps.push(step(at_ms, Fault::TerminateRelays(vec![relay])));
    let killed_ms = at_ms + KILL_AFTER_TERM_MS;
    if rng.random_bool(0.5) {
        let again_ms = at_ms + rng.random_range(1.0..KILL_AFTER_TERM_MS);
        steps.push(step(again_ms, Fault::TerminateRelays(vec![relay])));
    }
    steps.push(step(killed_ms, Fault::KillRelays(vec![relay])));
    let started_ms = killed_ms + rng.random_range(50.0..1500.0);
    steps.push(step(started_ms, Fault::StartRelays(vec![relay])));
    if rng.random_bool(0.5) {
        steps.push(step(started_ms + rng.random_range(40.0..300.0), Fault::ReloadRelay(relay)));
    }
    steps
}

/// That relays stop sending to an endpoint that drains shows only after a while.
fn draw_drain(rng: &mut StdRng, endpoint: usize) -> Vec<FaultStep> {
    let within_ms = rng.random_range(200.0..2000.0);
    let ends_ms = rng.random_range(4000.0..7000.0);
    vec![
        step(0.0, Fault::DrainEndpoint { endpoint, within_ms }),
        step(ends_ms, Fault::StartEndpoint(endpoint)),
    ]
}

fn draw_noise(rng: &mut StdRng) -> Fault {
    Fault::DatagramNoise {
        loss_fraction: rng.random_range(0.0..0.4),
        duplicate_fraction: rng.random_range(0.0..0.4),
        max_delay_ms: rng.random_range(0.0..300.0),
    }
}

/// Idle clients fill a relay's descriptors, while discovery is up, mute or down.
fn draw_crowd(rng: &mut StdRng, relay: RelayIndex, lasts_ms: Millis) -> Vec<FaultStep> {
    let mut steps = vec![step(0.0, Fault::Crowd { relay, clients: CROWD_CLIENTS })];
    let outage = match rng.random_range(0..3) {
        0 => None,
        1 => Some((Fault::DiscoveryDown, Fault::DiscoveryUp)),
        _ => Some((Fault::DiscoveryMute, Fault::DiscoveryAnswers)),
    };
    if let Some((begin, end)) = outage {
        steps.push(step(lasts_ms * 0.2, begin));
        steps.push(step(lasts_ms * 0.8, end));
    }
    steps.push(step(lasts_ms, Fault::CrowdLeaves));
    steps
}
