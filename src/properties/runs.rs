//! The runs: their sizes and seeds, how they end, and what they report.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::checks::{Rule, Violation};
use super::internals::balancer_state;
use super::timeline::RequestRef;
use super::world::{ClientsGone, FAULTS_MS, RECOVERY_MS, World};
use crate::policy::api::Outcome;
use crate::tests::START;

const SMALL_RUNS: u64 = 48;
const SMALL_RELAYS: usize = 4;
/// New connections a second on all relays: half of what warm endpoints can take.
const SMALL_RATE: f64 = 40.0;
/// Threads that play them.
const THREADS: usize = 3;
/// Requests by which each relay has to show that it serves.
const FINAL_REQUESTS: u32 = 8;

/// Runs of one size.
pub(super) struct RunSize {
    relays: usize,
    runs: u64,
    /// New connections a second on all relays.
    rate: f64,
}

const fn size(relays: usize, runs: u64, rate: f64) -> RunSize {
    RunSize { relays, runs, rate }
}

/// Large clusters, in which each relay gets a connection in seconds: of what warm endpoints can take two
/// fifths, at a hundred relays and more a fifth.
const LARGE: [RunSize; 5] =
    [size(20, 24, 40.0), size(30, 24, 40.0), size(32, 4, 40.0), size(100, 12, 20.0), size(312, 2, 20.0)];
/// The same at three fifths and two fifths, for the rule of cold endpoints alone.
const FULLER: [RunSize; 3] = [size(20, 24, 60.0), size(30, 24, 60.0), size(100, 12, 40.0)];

/// One run to play.
#[derive(Clone, Copy)]
struct RunParameters {
    seed: u64,
    relays: usize,
    rate: f64,
}

/// What a run has shown.
pub(super) struct RunReport {
    parameters: RunParameters,
    violations: Vec<Violation>,
    occasions: BTreeMap<Rule, u64>,
    pub(super) clients_gone: ClientsGone,
    /// Of all commands.
    pub(super) hash: u64,
}

impl RunReport {
    pub(super) fn seed(&self) -> u64 {
        self.parameters.seed
    }

    /// Plays the same run again.
    pub(super) fn replay(&self) -> RunReport {
        play(self.parameters)
    }
}

fn play(parameters: RunParameters) -> RunReport {
    let mut world = World::new(parameters.seed, parameters.relays, parameters.rate);
    world.play();
    RunReport {
        parameters,
        violations: world.checks.violations,
        occasions: world.checks.occasions,
        clients_gone: world.clients_gone,
        hash: world.log.finish(),
    }
}

impl World {
    /// Plays a run to its end: once all faults have ended and no client is left, nothing is recorded any
    /// more, and new connections are served.
    fn play(&mut self) {
        self.run_until(START + FAULTS_MS + RECOVERY_MS);
        for relay in 0..self.relays.len() {
            self.check_rest(relay);
        }
        for relay in 0..self.relays.len() {
            for client in 0..FINAL_REQUESTS {
                self.check_served(relay, 1_000_000 + client);
            }
        }
    }

    fn check_rest(&mut self, relay: usize) {
        let connections = self.relays[relay].connections.iter();
        let established = connections.filter(|(_, connection)| connection.established.is_some());
        for id in established.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.close(RequestRef { relay, id }, Outcome::Ok);
        }
        let process = &self.relays[relay];
        let waiting = process.connections.len();
        let established = process.relay.established_connections();
        let at_rest = balancer_state(&process.relay).at_rest;
        self.check(Rule::Rest, waiting == 0 && established == 0 && at_rest, || {
            format!("relay {relay}: {waiting} wait, {established} are established; at rest: {at_rest}")
        });
    }

    fn check_served(&mut self, relay: usize, client: u32) {
        let before = self.relays[relay].relay.counters().established;
        self.send_request(relay, client, false);
        let last = self.relays[relay].connections.last_key_value();
        let id = *last.expect("a connection that was requested").0;
        self.run_until(self.now + 300.0);
        let served = self.relays[relay].relay.counters().established - before;
        let connection = self.relays[relay].connections.get(&id);
        let client_gone = connection.is_some_and(|connection| connection.client_gone);
        self.check(Rule::Rest, served == 1 || client_gone, || format!("relay {relay} does not serve {id:?}"));
        self.close(RequestRef { relay, id }, Outcome::Ok);
    }
}

/// All runs, played once for all tests.
pub(super) fn runs() -> &'static [RunReport] {
    static RUNS_PLAYED: OnceLock<Vec<RunReport>> = OnceLock::new();
    RUNS_PLAYED.get_or_init(|| {
        let parameters = |seed| RunParameters { seed, relays: SMALL_RELAYS, rate: SMALL_RATE };
        let small = (0..SMALL_RUNS).map(parameters);
        play_all(small.chain(LARGE.iter().flat_map(seeded)).collect())
    })
}

/// Runs of clusters that are fuller.
pub(super) fn fuller_runs() -> Vec<RunReport> {
    play_all(FULLER.iter().flat_map(seeded).collect())
}

/// The runs of one size. Their seeds come after those of the small ones.
fn seeded(size: &RunSize) -> impl Iterator<Item = RunParameters> {
    let parameters = |seed| RunParameters { seed, relays: size.relays, rate: size.rate };
    (SMALL_RUNS..SMALL_RUNS + size.runs).map(parameters)
}

/// Plays runs by a few threads.
fn play_all(all: Vec<RunParameters>) -> Vec<RunReport> {
    let next = AtomicUsize::new(0);
    // Each takes the next that nobody has; the order of the reports is that of the seeds again.
    let work = || {
        let mut played = Vec::new();
        while let Some(parameters) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
            played.push(play(*parameters));
        }
        played
    };
    let mut played: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a run that ends")).collect()
    });
    played.sort_by_key(|run| (run.parameters.relays, run.parameters.seed));
    played
}

/// The rule held in all runs, and could have been broken at least so often.
pub(super) fn assert_holds(runs: &[RunReport], rule: Rule, min_occasions: u64) {
    for run in runs {
        let mut violations = run.violations.iter().filter(|violation| violation.rule == rule);
        let count = violations.clone().count();
        let first = violations.next().map(|violation| &violation.what);
        let RunParameters { seed, relays, .. } = run.parameters;
        assert!(first.is_none(), "seed {seed}, {relays} relays: broken {count} times, first {first:?}");
    }
    let occasions: u64 = runs.iter().filter_map(|run| run.occasions.get(&rule)).sum();
    assert!(occasions >= min_occasions, "{rule:?} was checked {occasions} times only");
}
