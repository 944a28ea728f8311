//! What replicating clients' locations costs a connection by the number of relays, and whether a relay that
//! meets a client mid-flow finds its endpoint.

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

/// Relays that hear each other but for a share of the datagrams, which is lost.
struct World {
    relays: Vec<(Affinity, LocationGossip)>,
    lost: f64,
    dice: StdRng,
    now: f64,
    datagrams: usize,
}

impl World {
    fn new(relays: u32, lost: f64) -> World {
        let mut world =
            World { relays: Vec::new(), lost, dice: StdRng::seed_from_u64(7), now: 1000.0, datagrams: 0 };
        (0..relays).for_each(|local_index| world.relays.push(World::start(relays, local_index)));
        world
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
            if self.dice.random_bool(self.lost) {
                continue;
            }
            let text = sent.message.encode().expect("a message that fits");
            let message = ClusterMessage::decode(&text).expect("a message");
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

    /// Connections one after another at relays drawn at random, each sent to its replicas.
    fn place(&mut self) {
        for connection in 0..CONNECTIONS {
            self.now += 5.0;
            let at = self.dice.random_range(0..self.relays.len());
            let (affinity, gossip) = &mut self.relays[at];
            let client = Affinity::client_key(&connection.to_le_bytes());
            assert!(affinity.record_session(self.now, client, &format!("s-{}", connection % 50)));
            gossip.queue_update(self.now, client);
            for at in 0..self.relays.len() {
                let mut out = Outbox::new();
                let (affinity, gossip) = &mut self.relays[at];
                gossip.on_timer(affinity, self.now, &mut out);
                self.deliver(at as u32, out);
            }
        }
        self.now += 1000.0;
        for at in 0..self.relays.len() {
            let mut out = Outbox::new();
            let (affinity, gossip) = &mut self.relays[at];
            gossip.on_timer(affinity, self.now, &mut out);
            self.deliver(at as u32, out);
        }
    }

    /// How many of the clients are found by a relay that has just started; how many questions that took.
    fn found(&mut self) -> (u64, usize) {
        let (relays, before) = (self.relays.len() as u32, self.datagrams);
        let mut found = 0;
        for connection in 0..CONNECTIONS {
            let at = self.dice.random_range(0..relays);
            let client = Affinity::client_key(&connection.to_le_bytes());
            let fresh = World::start(relays, at);
            let old = std::mem::replace(&mut self.relays[at as usize], fresh);
            for _ in 0..20 {
                let (affinity, gossip) = &mut self.relays[at as usize];
                let mut out = Outbox::new();
                let again = gossip.query(affinity, self.now, client, &mut out);
                self.deliver(at, out);
                let Some(after) = again else { break };
                self.now += after;
            }
            let holder = self.relays[at as usize].0.session(client);
            found += u64::from(holder.is_some_and(|id| *id == *format!("s-{}", connection % 50)));
            self.relays[at as usize] = old;
        }
        (found, self.datagrams - before)
    }
}

/// Whatever the number of relays, a connection costs as many datagrams as its client has replicas.
#[test]
fn a_flow_costs_as_many_datagrams_in_a_large_tier_as_in_one_of_ten() {
    for (relays, most) in [(4, 3.0), (32, 2.0), (100, 2.0), (312, 2.0)] {
        let mut world = World::new(relays, 0.2);
        world.place();
        let each = world.datagrams as f64 / CONNECTIONS as f64;
        println!("{relays} relays: {each:.2} datagrams a flow");
        assert!(each <= most, "{relays} relays: {each} datagrams a flow");
    }
}

#[test]
fn a_relay_that_has_just_started_finds_clients_by_asking_their_keepers() {
    for (lost, least) in [(0.0, 1.0), (0.2, 0.8)] {
        let mut world = World::new(100, lost);
        world.place();
        let (found, datagrams) = world.found();
        let (share, each) = (found as f64 / CONNECTIONS as f64, datagrams as f64 / CONNECTIONS as f64);
        println!("{lost} lost: {share} found, {each:.2} datagrams a question");
        assert!(share >= least, "{lost} lost: {share} found");
        assert!(each <= 2.5 * f64::from(LOCATION_REPLICAS), "{each} datagrams a question");
    }
}

/// Nobody answers: the connection waits no longer than an answer may take, then goes where the table says.
#[test]
fn a_question_without_an_answer_ends() {
    let mut world = World::new(312, 1.0);
    world.place();
    let started = world.now;
    let client = Affinity::client_key(&3u64.to_le_bytes());
    let at = (0..312)
        .find(|at| location_replicas(client, 312).all(|replica| replica != *at))
        .expect("not all keep it");
    world.relays[at as usize] = World::start(312, at);
    let (affinity, gossip) = &mut world.relays[at as usize];
    while let Some(after) = gossip.query(affinity, world.now, client, &mut Outbox::new()) {
        world.now += after;
        assert!(world.now - started < 250.0, "still waiting after {} ms", world.now - started);
    }
}

#[test]
fn keepers_are_others_and_spread_evenly() {
    for relays in [FULL_MESH_RELAYS + 1, 100, 312] {
        let mut clients_of = vec![0; relays as usize];
        for client in 0..10_000u64 {
            let of: Vec<u32> = location_replicas(client, relays).collect();
            assert_eq!(of.len(), LOCATION_REPLICAS as usize);
            assert_ne!(of[0], of[1]);
            of.iter().for_each(|k| clients_of[*k as usize] += 1);
        }
        let mean = 20_000 / clients_of.len();
        assert!(clients_of.iter().all(|n| *n < 2 * mean + 20), "{relays} relays: {clients_of:?}");
    }
}
