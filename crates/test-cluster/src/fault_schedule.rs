//! Scripts of faults, drawn from a seed: the same seed gives the same script.
//!
//! A script is data; [`crate::TestCluster::run`] carries it out. It is fed the size of the rig and gives faults with their
//! moments, each with its end within the script's time, so that the rig is whole again when it is over.

use std::fmt;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use crate::Millis;

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL to these relays, together.
    Kill(Vec<usize>),
    /// SIGTERM to these relays.
    Terminate(Vec<usize>),
    /// These relays start again, with the same names and addresses.
    Restart(Vec<usize>),
    /// SIGSTOP.
    Stop(usize),
    /// SIGCONT.
    GoOn(usize),
    /// SIGHUP with the same configuration.
    Reload(usize),
    /// These relays and the others hear nothing of each other.
    Cut(Vec<usize>),
    /// All cuts end.
    Heal,
    /// Shares of datagrams that are lost and that come twice, and the longest delay.
    Noise {
        /// Share that is lost.
        loss: f64,
        /// Share that comes twice.
        doubled: f64,
        /// Longest time on the way.
        delay_ms: Millis,
    },
    /// Discovery goes down.
    DiscoveryDown,
    /// It comes back.
    DiscoveryBack,
    /// Open watches fall silent.
    Silence,
    /// This endpoint, by its place among all, drains within so many milliseconds.
    Drain(usize, Millis),
    /// This endpoint dies.
    EndpointDies(usize),
    /// It starts again, cold.
    EndpointStarts(usize),
    /// An endpoint that was never there starts, cold, behind all others in their order.
    EndpointJoins,
}

/// What is to be drawn.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Relays in the rig.
    pub relays: usize,
    /// Endpoints in the rig.
    pub endpoints: usize,
    /// How long the script is.
    pub length_ms: Millis,
    /// How many faults, their ends not counted.
    pub faults: usize,
}

/// Faults and their moments, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Milliseconds from the start of the script, and what happens then.
    pub steps: Vec<(Millis, Fault)>,
}

impl Script {
    /// Draws a script. Every kind of fault comes once before any comes again.
    ///
    /// ```
    /// use sandgw_test_cluster::fault_schedule::{Bounds, Script};
    /// let bounds = Bounds { relays: 8, endpoints: 4, length_ms: 20_000.0, faults: 10 };
    /// assert_eq!(Script::draw(7, &bounds), Script::draw(7, &bounds));
    /// assert_ne!(Script::draw(7, &bounds), Script::draw(8, &bounds));
    /// ```
    pub fn draw(seed: u64, bounds: &Bounds) -> Script {
        let mut dice = StdRng::seed_from_u64(seed);
        let (mut steps, mut deck) = (Vec::new(), Vec::new());
        for n in 0..bounds.faults {
            // Each has a part of the time for itself, so that no two of one relay meet.
            let part = bounds.length_ms / bounds.faults as f64;
            let begin = part * (n as f64 + dice.random_range(0.0..0.2));
            let end = part * (n as f64 + dice.random_range(0.5..0.9));
            // Every kind comes once before any comes again.
            if deck.is_empty() {
                deck = (0..KINDS).collect();
                deck.shuffle(&mut dice);
            }
            let (fault, after) = drawn(deck.pop().unwrap_or(0), &mut dice, bounds);
            // What drains is seen to be left alone only after a while.
            let end = if matches!(fault, Fault::Drain(..)) {
                (end + 2.0 * part).min(bounds.length_ms)
            } else {
                end
            };
            steps.push((begin, fault));
            steps.extend(after.map(|fault| (end, fault)));
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        Script { steps }
    }
}

/// Kinds of faults.
const KINDS: u32 = 10;

fn drawn(kind: u32, dice: &mut StdRng, bounds: &Bounds) -> (Fault, Option<Fault>) {
    let relay = dice.random_range(0..bounds.relays.max(1));
    // Those that drain are others than those that die.
    let [drains, dies] = [0, 1].map(|odd| {
        let of = (bounds.endpoints + 1 - odd) / 2;
        2 * dice.random_range(0..of.max(1)) + odd
    });
    let some = |dice: &mut StdRng| -> Vec<usize> {
        let some: Vec<_> = (0..bounds.relays).filter(|_| dice.random_bool(0.5)).collect();
        if some.is_empty() || some.len() == bounds.relays { vec![relay] } else { some }
    };
    match kind {
        0 => {
            let some = some(dice);
            (Fault::Kill(some.clone()), Some(Fault::Restart(some)))
        }
        1 => (Fault::Terminate(vec![relay]), Some(Fault::Restart(vec![relay]))),
        2 => (Fault::Stop(relay), Some(Fault::GoOn(relay))),
        3 => (Fault::Reload(relay), None),
        4 => (Fault::Cut(some(dice)), Some(Fault::Heal)),
        5 => {
            let [loss, doubled] = [(); 2].map(|()| dice.random_range(0.0..0.4));
            let delay_ms = dice.random_range(0.0..300.0);
            let end = Fault::Noise { loss: 0.0, doubled: 0.0, delay_ms: 0.0 };
            (Fault::Noise { loss, doubled, delay_ms }, Some(end))
        }
        6 => (Fault::DiscoveryDown, Some(Fault::DiscoveryBack)),
        7 => (Fault::Silence, None),
        8 => (Fault::Drain(drains, dice.random_range(200.0..2000.0)), Some(Fault::EndpointStarts(drains))),
        _ => (Fault::EndpointDies(dies), Some(Fault::EndpointStarts(dies))),
    }
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.steps.iter().try_for_each(|(at, fault)| writeln!(f, "{at:>8.0} ms  {fault:?}"))
    }
}
