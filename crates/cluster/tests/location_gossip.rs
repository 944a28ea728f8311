//! What it costs per connection to replicate clients' locations among various numbers of relays, and whether
//! a relay that meets a client mid-flow finds its endpoint.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::endpoint_registry::{ListedEndpoint, ListedState};
use sandgw_affinity::outbox::Outbox;
use sandgw_affinity::replication::{FULL_MESH_RELAYS, Replication};
use sandgw_affinity::{Affinity, Limits};
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::location_gossip::{LOCATION_REPLICAS, LocationGossip, location_replicas};

const CONNECTIONS: u64 = 2000;

/// Relays that exchange datagrams, of which the fraction `loss` is lost.
struct Simulation {
    relays: Vec<(Affinity, LocationGossip)>,
    loss: f64,
    rng: StdRng,
    now: f64,
    datagrams: usize,
}

impl Simulation {
    fn new(relays: u32, loss: f64) -> Simulation {
        let mut simulation =
            Simulation { relays: Vec::new(), loss, rng: StdRng::seed_from_u64(7), now: 1000.0, datagrams: 0 };
        (0..relays).for_each(|local_index| simulation.relays.push(Simulation::start(relays, local_index)));
        simulation
    }

    fn start(relays: u32, local_index: u32) -> (Affinity, LocationGossip) {
        let position = ClusterPosition { local_index, relay_count: relays };
        let mut affinity = Affinity::new(Limits { position, ..Limits::default() }, 1000.0);
        let ids: Vec<_> = (0..50).map(|n| format!("s-{n}").into()).collect();
        let ready = |id| ListedEndpoint { id, started: 0.0, state: ListedState::Ready };
        affinity.apply_list(1000.0, true, ids.iter().map(ready));
        (affinity, LocationGossip::default())
    }

    fn deliver(&mut self, from: u32, mut out: Outbox) {
        while let Some(sent) = out.pop() {
            let to = sent.peer;
            self.datagrams += 1;
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let text = sent.message.encode().expect("the message fits a datagram");
            let message = ClusterMessage::decode(&text).expect("the message is valid");
            let (affinity, gossip) = &mut self.relays[to as usize];
            let mut answers = Outbox::new();
            match &message {
                ClusterMessage::LocationQuery(clients) => {
                    gossip.handle_query(affinity, from, clients, &mut answers)
                }
                ClusterMessage::LocationUpdate(_) => {
                    Replication::new(1).receive(affinity, self.now, from, message, &mut answers);
                }
                other => panic!("unexpected {other:?}"),
            }
            self.deliver(to, answers);
        }
    }

    /// Places connections one after another at random relays, which send each location to its replicas.
    fn place(&mut self) {
        for connection in 0..CONNECTIONS {
            self.now += 5.0;
            let index = self.rng.random_range(0..self.relays.len());
            let (affinity, gossip) = &mut self.relays[index];
            let client = Affinity::client_key(&connection.to_le_bytes());
            assert!(affinity.record_session(self.now, client, &format!("s-{}", connection % 50)));
            gossip.queue_update(self.now, client);
            for index in 0..self.relays.len() {
                let mut out = Outbox::new();
                let (affinity, gossip) = &mut self.relays[index];
                gossip.on_timer(affinity, self.now, &mut out);
                self.deliver(index as u32, out);
            }
        }
        self.now += 1000.0;
        for index in 0..self.relays.len() {
            let mut out = Outbox::new();
            let (affinity, gossip) = &mut self.relays[index];
            gossip.on_timer(affinity, self.now, &mut out);
            self.deliver(index as u32, out);
        }
    }

    /// Returns how many of the clients a relay that has just started finds, and how many datagrams that took.
    fn found(&mut self) -> (u64, usize) {
        let (relays, before) = (self.relays.len() as u32, self.datagrams);
        let mut found = 0;
        for connection in 0..CONNECTIONS {
            let index = self.rng.random_range(0..relays);
            let client = Affinity::client_key(&connection.to_le_bytes());
            let restarted = Simulation::start(relays, index);
            let before_restart = std::mem::replace(&mut self.relays[index as usize], restarted);
            for _ in 0..20 {
                let (affinity, gossip) = &mut self.relays[index as usize];
                let mut out = Outbox::new();
                let next_lookup = gossip.query(affinity, self.now, client, &mut out);
                self.deliver(index, out);
                let Some(after) = next_lookup else { break };
                self.now += after;
            }
            let located_endpoint = self.relays[index as usize].0.session(client);
            found += u64::from(located_endpoint.is_some_and(|id| *id == *format!("s-{}", connection % 50)));
            self.relays[index as usize] = before_restart;
        }
        (found, self.datagrams - before)
    }
}

/// Whatever the number of relays, a connection costs as many datagrams as its client has replicas.
#[test]
fn a_connection_costs_no_more_datagrams_in_a_large_cluster_than_in_a_small_one() {
    for (relays, max_datagrams) in [(4, 3.0), (32, 2.0), (100, 2.0), (312, 2.0)] {
        let mut simulation = Simulation::new(relays, 0.2);
        simulation.place();
        let mean_datagrams = simulation.datagrams as f64 / CONNECTIONS as f64;
        println!("{relays} relays: {mean_datagrams:.2} datagrams a connection");
        assert!(mean_datagrams <= max_datagrams, "{relays} relays: {mean_datagrams} datagrams a connection");
    }
}

#[test]
fn a_relay_that_has_just_started_finds_clients_by_querying_their_replicas() {
    for (loss, min_found) in [(0.0, 1.0), (0.2, 0.8)] {
        let mut simulation = Simulation::new(100, loss);
        simulation.place();
        let (found, datagrams) = simulation.found();
        let (found_fraction, mean_datagrams) =
            (found as f64 / CONNECTIONS as f64, datagrams as f64 / CONNECTIONS as f64);
        println!("{loss} lost: fraction {found_fraction} found, {mean_datagrams:.2} datagrams a query");
        assert!(found_fraction >= min_found, "{loss} lost: fraction {found_fraction} found");
        assert!(mean_datagrams <= 2.5 * f64::from(LOCATION_REPLICAS), "{mean_datagrams} datagrams a query");
    }
}

/// No replica answers: the connection waits no longer than an answer may take, and is then placed by the
/// Maglev table.
#[test]
fn a_query_without_an_answer_times_out() {
    let mut simulation = Simulation::new(312, 1.0);
    simulation.place();
    let started = simulation.now;
    let client = Affinity::client_key(&3u64.to_le_bytes());
    let index = (0..312)
        .find(|index| location_replicas(client, 312).all(|replica| replica != *index))
        .expect("some relay is not a replica");
    simulation.relays[index as usize] = Simulation::start(312, index);
    let (affinity, gossip) = &mut simulation.relays[index as usize];
    while let Some(after) = gossip.query(affinity, simulation.now, client, &mut Outbox::new()) {
        simulation.now += after;
        assert!(simulation.now - started < 250.0, "still waiting after {} ms", simulation.now - started);
    }
}

#[test]
fn location_replicas_are_distinct_and_evenly_spread() {
    for relays in [FULL_MESH_RELAYS + 1, 100, 312] {
        let mut clients_of = vec![0; relays as usize];
        for client in 0..10_000u64 {
            let replicas: Vec<u32> = location_replicas(client, relays).collect();
            assert_eq!(replicas.len(), LOCATION_REPLICAS as usize);
            assert_ne!(replicas[0], replicas[1]);
            replicas.iter().for_each(|replica_index| clients_of[*replica_index as usize] += 1);
        }
        let mean = 20_000 / clients_of.len();
        assert!(clients_of.iter().all(|n| *n < 2 * mean + 20), "{relays} relays: {clients_of:?}");
    }
}
