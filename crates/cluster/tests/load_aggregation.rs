//! How accurately relays learn the cluster's load, at what cost, and despite which failures.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::outbox::Outbox;
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::load_aggregation::{ClusterLoad, LoadAggregation, Tag};

const ENDPOINTS: u8 = 90;

struct Relay {
    aggregation: LoadAggregation,
    loads: BTreeMap<Tag, f64>,
    view: Option<ClusterLoad>,
    up: bool,
}

struct Simulation {
    relays: Vec<Relay>,
    rng: StdRng,
    loss: f64,
    now: f64,
    datagrams: usize,
}

impl Simulation {
    fn new(relays: u32, loss: f64) -> Simulation {
        let relay = |_| Relay {
            aggregation: LoadAggregation::default(),
            loads: BTreeMap::new(),
            view: None,
            up: true,
        };
        let rng = StdRng::seed_from_u64(11);
        Simulation { relays: (0..relays).map(relay).collect(), rng, loss, now: 0.0, datagrams: 0 }
    }

    /// Simulates arriving connections for `span` ms, most of them at the first endpoints. Every 20 ms each
    /// relay reports if a report is due.
    fn run(&mut self, span: f64, connections_a_second: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 20.0;
            let mut connections = connections_a_second / 50.0;
            while connections > 0.0 && self.rng.random_bool(connections.min(1.0)) {
                connections -= 1.0;
                let drawn: f64 = self.rng.random();
                let tag = [(drawn * drawn * f64::from(ENDPOINTS)) as u8, 0];
                let index = self.rng.random_range(0..self.relays.len());
                let relay = &mut self.relays[index];
                if relay.up {
                    *relay.loads.entry(tag).or_default() += 1.0;
                    relay.aggregation.record_connection();
                }
            }
            for local_index in 0..self.relays.len() {
                self.run_relay(local_index);
            }
        }
    }

    fn run_relay(&mut self, local_index: usize) {
        let position =
            ClusterPosition { local_index: local_index as u32, relay_count: self.relays.len() as u32 };
        let relay = &mut self.relays[local_index];
        if !relay.up {
            return;
        }
        let mut out = Outbox::new();
        let loads = || relay.loads.iter().map(|(tag, load)| (*tag, *load)).collect();
        relay.aggregation.report(self.now, position, loads, &mut out);
        self.deliver(position.local_index, out);
        let relay = &mut self.relays[local_index];
        relay.view = relay.aggregation.take_cluster_load().or(relay.view.take());
    }

    fn deliver(&mut self, from: u32, out: Outbox) {
        for sent in out {
            let to = sent.peer;
            self.datagrams += 1;
            if self.rng.random_bool(self.loss) || !self.relays[to as usize].up {
                continue;
            }
            let text = sent.message.encode().expect("the message fits a datagram");
            let message = ClusterMessage::decode(&text).expect("the message is valid");
            let (relays, relay) = (self.relays.len() as u32, &mut self.relays[to as usize]);
            let mut answers = Outbox::new();
            match message {
                ClusterMessage::LoadReport(rows) => {
                    relay.aggregation.handle_report(self.now, from, relays, rows, |_| 1.0, &mut answers)
                }
                ClusterMessage::ClusterLoads { total, rows } => {
                    relay.aggregation.handle_cluster_loads(from, total, &rows)
                }
                other => panic!("unexpected {other:?}"),
            }
            self.deliver(to, answers);
        }
    }

    /// Returns the mean relative error of relays' views of the ten busiest endpoints, over all relays that
    /// have a view, and the fraction of relays that have one.
    fn mean_error(&self) -> (f64, f64) {
        let mut truth: BTreeMap<Tag, f64> = BTreeMap::new();
        let up = || self.relays.iter().filter(|r| r.up);
        up().flat_map(|r| &r.loads).for_each(|(tag, load)| *truth.entry(*tag).or_default() += load);
        let all: f64 = truth.values().sum();
        let mut busiest: Vec<_> = truth.iter().collect();
        busiest.sort_by(|a, b| b.1.total_cmp(a.1));
        let views: Vec<&ClusterLoad> = up().filter_map(|r| r.view.as_ref()).collect();
        let each = |view: &ClusterLoad, (tag, load): &(&Tag, &f64)| {
            let reported = view.loads.get(*tag).copied().unwrap_or(0.0) / view.total.max(1.0);
            (reported / (**load / all) - 1.0).abs()
        };
        let errors = views.iter().flat_map(|v| busiest.iter().take(10).map(move |row| each(v, row)));
        let errors: Vec<f64> = errors.collect();
        let mean = errors.iter().sum::<f64>() / errors.len().max(1) as f64;
        (mean, views.len() as f64 / up().count() as f64)
    }
}

/// Three thousand connections arrive in three seconds, then few, as in the full-size scenarios.
#[test]
fn all_relays_know_the_busiest_endpoints_for_few_datagrams_per_connection() {
    for (relays, loss) in [(32, 0.0), (100, 0.2), (312, 0.0), (312, 0.2)] {
        let mut simulation = Simulation::new(relays, loss);
        simulation.run(3000.0, 1000.0);
        let early = simulation.mean_error();
        simulation.run(20_000.0, 60.0);
        let (late, connections) = (simulation.mean_error(), 3000.0 + 20.0 * 60.0);
        let each = simulation.datagrams as f64 / connections;
        println!(
            "{relays} relays, {loss} lost: error {early:.2?} after 3 s, {late:.2?} after 23 s, \
            {each:.2} datagrams a connection"
        );
        assert!(late.0 < 0.3 && late.1 > 0.95, "{relays} relays, {loss} lost: {late:?}");
        assert!(each < 3.0, "{each} datagrams a connection");
    }
}

/// Seven in ten relays, among them the collector, are killed at once and restart without any state.
#[test]
fn load_aggregation_survives_the_loss_of_its_collector() {
    let mut simulation = Simulation::new(312, 0.05);
    simulation.run(4000.0, 1000.0);
    simulation.relays.iter_mut().take(220).for_each(|r| r.up = false);
    simulation.run(12_000.0, 200.0);
    let (mean_error, informed) = simulation.mean_error();
    println!("without the first 220: error {mean_error:.2}, known at {informed:.2} of the relays");
    assert!(mean_error < 0.4 && informed > 0.9, "error {mean_error}, known at {informed} of the relays");
    for relay in simulation.relays.iter_mut().take(220) {
        *relay =
            Relay { aggregation: LoadAggregation::default(), loads: BTreeMap::new(), view: None, up: true };
    }
    let before = simulation.datagrams;
    simulation.run(1000.0, 500.0);
    let burst = simulation.datagrams - before;
    simulation.run(25_000.0, 200.0);
    let (mean_error, informed) = simulation.mean_error();
    println!(
        "after their restart: {burst} datagrams in the first second, error {mean_error:.2}, \
        known at {informed:.2} of the relays"
    );
    assert!(burst < 312 * 4, "{burst} datagrams within a second");
    assert!(mean_error < 0.4 && informed > 0.9, "error {mean_error}, known at {informed} of the relays");
}

/// A relay without load that receives no reports sends nothing; in a small cluster no relay does.
#[test]
fn a_relay_without_connections_sends_nothing() {
    let mut simulation = Simulation::new(100, 0.0);
    simulation.run(60_000.0, 0.0);
    assert_eq!(simulation.datagrams, 0);
    assert!(
        !LoadAggregation::is_needed(4) && !LoadAggregation::is_needed(6) && LoadAggregation::is_needed(32)
    );
}

/// A connection that arrives long before the idle report brings the timer forward.
#[test]
fn a_connection_brings_the_next_report_forward() {
    let (mut aggregation, mut out) = (LoadAggregation::default(), Outbox::new());
    aggregation.record_connection();
    aggregation.report(0.0, ClusterPosition { local_index: 1, relay_count: 100 }, Vec::new, &mut out);
    assert!(aggregation.timer(0.0).is_some_and(|after| after > 5000.0));
    aggregation.record_connection();
    assert!(aggregation.timer(10.0).is_some_and(|after| after < 1000.0));
    assert_eq!(aggregation.timer(11.0), None, "the call is requested once");
}
