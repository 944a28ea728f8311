//! Schedules of faults, drawn from a seed: the same seed gives the same schedule.
//!
//! A schedule is data, with times in milliseconds from its start; [`crate::TestCluster::run`] carries it
//! out. Every fault that is drawn ends within the schedule, so that the cluster is whole again when it is
//! over.

use std::fmt;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use crate::Millis;
use crate::log::RelayIndex;

/// A fault, or the end of one. Endpoints are named by their place in the order of all ids.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL to these relays, together.
    KillRelays(Vec<RelayIndex>),
    /// SIGTERM to these relays.
    TerminateRelays(Vec<RelayIndex>),
    /// These relays start again, with the same names and addresses.
    StartRelays(Vec<RelayIndex>),
    /// SIGSTOP.
    PauseRelay(RelayIndex),
    /// SIGCONT.
    ResumeRelay(RelayIndex),
    /// SIGHUP with the same configuration.
    ReloadRelay(RelayIndex),
    /// No datagram passes between these relays and the others.
    Partition(Vec<RelayIndex>),
    /// All partitions end.
    HealPartition,
    /// Datagrams are lost, duplicated and delayed.
    DatagramNoise {
        /// The fraction that is lost.
        loss_fraction: f64,
        /// The fraction that arrives twice.
        duplicate_fraction: f64,
        /// The longest time on the way.
        max_delay_ms: Millis,
    },
    /// Discovery goes down.
    DiscoveryDown,
    /// Discovery is up again.
    DiscoveryUp,
    /// Discovery takes calls and answers none.
    DiscoveryMute,
    /// Discovery answers again.
    DiscoveryAnswers,
    /// Discovery answers calls late.
    DiscoverySlow(AnswerDelay),
    /// Discovery answers calls at once.
    DiscoveryPrompt,
    /// Watches that are open now are never answered.
    SilenceWatches,
    /// An endpoint takes nothing new and asks its clients to reconnect.
    DrainEndpoint {
        /// The endpoint.
        endpoint: usize,
        /// Within how long all its clients are asked.
        within_ms: Millis,
    },
    /// An endpoint dies.
    KillEndpoint(usize),
    /// An endpoint starts again, cold.
    StartEndpoint(usize),
    /// An endpoint that was never there starts, cold, behind all others in their order.
    AddEndpoint,
    /// An endpoint takes set-ups and never answers them.
    HangEndpoint(usize),
    /// It answers again.
    RecoverEndpoint(usize),
    /// Idle clients connect to a relay.
    Crowd {
        /// The relay.
        relay: RelayIndex,
        /// How many.
        clients: usize,
    },
    /// All idle clients leave.
    CrowdLeaves,
}

/// How late discovery answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerDelay {
    /// By how much, in milliseconds.
    pub delay_ms: Millis,
    /// Whether watches that continue another are late too.
    pub delays_continued_watches: bool,
}

impl AnswerDelay {
    /// No delay.
    pub const NONE: AnswerDelay = AnswerDelay { delay_ms: 0.0, delays_continued_watches: false };
}

impl Fault {
    /// Datagrams arrive once and at once.
    pub fn calm_datagrams() -> Fault {
        Fault::DatagramNoise { loss_fraction: 0.0, duplicate_fraction: 0.0, max_delay_ms: 0.0 }
    }
}

/// What is to be drawn.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleBounds {
    /// Relays in the cluster.
    pub relays: usize,
    /// Endpoints in the cluster.
    pub endpoints: usize,
    /// How long the schedule is.
    pub duration_ms: Millis,
    /// How many faults, their ends not counted.
    pub faults: usize,
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultStep {
    /// Milliseconds from the start of the schedule.
    pub at_ms: Millis,
    /// The fault.
    pub fault: Fault,
}

/// Faults in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule {
    /// The faults.
    pub steps: Vec<FaultStep>,
}

impl FaultSchedule {
    /// Draws a schedule. Every kind of fault occurs once before any occurs again.
    ///
    /// ```
    /// use sandgw_test_cluster::fault_schedule::{FaultSchedule, ScheduleBounds};
    /// let bounds = ScheduleBounds { relays: 8, endpoints: 4, duration_ms: 20_000.0, faults: 10 };
    /// assert_eq!(FaultSchedule::draw(7, &bounds), FaultSchedule::draw(7, &bounds));
    /// assert_ne!(FaultSchedule::draw(7, &bounds), FaultSchedule::draw(8, &bounds));
    /// ```
    pub fn draw(seed: u64, bounds: &ScheduleBounds) -> FaultSchedule {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut remaining_kinds = Vec::new();
        // Each fault has a part of the time for itself, so that no two faults of one relay overlap.
        let part_ms = bounds.duration_ms / bounds.faults as f64;
        for number in 0..bounds.faults {
            let begin_ms = part_ms * (number as f64 + rng.random_range(0.0..0.2));
            let end_ms = part_ms * (number as f64 + rng.random_range(0.5..0.9));
            if remaining_kinds.is_empty() {
                remaining_kinds = (0..FAULT_KINDS).collect();
                remaining_kinds.shuffle(&mut rng);
            }
            let kind = remaining_kinds.pop().unwrap_or(0);
            let DrawnFault { fault, end } = DrawnFault::draw(kind, &mut rng, bounds);
            // That relays stop sending to a draining endpoint shows only after a while.
            let end_ms = if matches!(fault, Fault::DrainEndpoint { .. }) {
                (end_ms + 2.0 * part_ms).min(bounds.duration_ms)
            } else {
                end_ms
            };
            steps.push(FaultStep { at_ms: begin_ms, fault });
            steps.extend(end.map(|fault| FaultStep { at_ms: end_ms, fault }));
        }
        steps.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        FaultSchedule { steps }
    }
}

/// Kinds of faults that are drawn.
const FAULT_KINDS: u32 = 10;
/// The largest fraction of datagrams that a drawn fault loses or duplicates.
const MAX_DRAWN_FRACTION: f64 = 0.4;
/// The longest delay of datagrams that is drawn.
const MAX_DRAWN_DELAY_MS: Millis = 300.0;

/// A fault and what ends it, unless it ends by itself.
struct DrawnFault {
    fault: Fault,
    end: Option<Fault>,
}

impl DrawnFault {
    /// Draws the details of a fault of this kind. The number and order of draws depend on the kind alone.
    fn draw(kind: u32, rng: &mut StdRng, bounds: &ScheduleBounds) -> DrawnFault {
        let relay = rng.random_range(0..bounds.relays.max(1));
        // An endpoint of an even number may drain, one of an odd number may die: never both.
        let [draining, dying] = [0, 1].map(|parity| {
            let candidates = (bounds.endpoints + 1 - parity) / 2;
            2 * rng.random_range(0..candidates.max(1)) + parity
        });
        match kind {
            0 => {
                let relays = draw_relays(rng, bounds, relay);
                DrawnFault::ended_by(Fault::KillRelays(relays.clone()), Fault::StartRelays(relays))
            }
            1 => DrawnFault::ended_by(Fault::TerminateRelays(vec![relay]), Fault::StartRelays(vec![relay])),
            2 => DrawnFault::ended_by(Fault::PauseRelay(relay), Fault::ResumeRelay(relay)),
            3 => DrawnFault { fault: Fault::ReloadRelay(relay), end: None },
            4 => {
                DrawnFault::ended_by(Fault::Partition(draw_relays(rng, bounds, relay)), Fault::HealPartition)
            }
            5 => draw_datagram_noise(rng),
            6 => DrawnFault::ended_by(Fault::DiscoveryDown, Fault::DiscoveryUp),
            7 => DrawnFault { fault: Fault::SilenceWatches, end: None },
            8 => {
                let within_ms = rng.random_range(200.0..2000.0);
                DrawnFault::ended_by(
                    Fault::DrainEndpoint { endpoint: draining, within_ms },
                    Fault::StartEndpoint(draining),
                )
            }
            _ => DrawnFault::ended_by(Fault::KillEndpoint(dying), Fault::StartEndpoint(dying)),
        }
    }

    fn ended_by(fault: Fault, end: Fault) -> DrawnFault {
        DrawnFault { fault, end: Some(end) }
    }
}

/// Draws some but not all relays; `fallback` alone where none or all were drawn.
fn draw_relays(rng: &mut StdRng, bounds: &ScheduleBounds, fallback: RelayIndex) -> Vec<RelayIndex> {
    let relays: Vec<_> = (0..bounds.relays).filter(|_| rng.random_bool(0.5)).collect();
    if relays.is_empty() || relays.len() == bounds.relays { vec![fallback] } else { relays }
}

fn draw_datagram_noise(rng: &mut StdRng) -> DrawnFault {
    let loss_fraction = rng.random_range(0.0..MAX_DRAWN_FRACTION);
    let duplicate_fraction = rng.random_range(0.0..MAX_DRAWN_FRACTION);
    let max_delay_ms = rng.random_range(0.0..MAX_DRAWN_DELAY_MS);
    DrawnFault::ended_by(
        Fault::DatagramNoise { loss_fraction, duplicate_fraction, max_delay_ms },
        Fault::calm_datagrams(),
    )
}

impl fmt::Display for FaultSchedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.steps.iter().try_for_each(|FaultStep { at_ms, fault }| writeln!(f, "{at_ms:>8.0} ms  {fault:?}"))
    }
}
