//! Helpers for the tests of this crate: endpoints, and a cluster of relays' tables on a simulated lossy
//! network in virtual time.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;

use sandgw_affinity::codec::{ClusterMessage, MAX_MESSAGE_BYTES};
use sandgw_affinity::endpoint_registry::{ListedEndpoint, ListedState};
use sandgw_affinity::outbox::Outbox;
use sandgw_affinity::position::ClusterPosition;
use sandgw_affinity::replication::Replication;
use sandgw_affinity::{Affinity, Limits, Millis};

pub const START: Millis = 1_700_000_000_000.0;

pub fn limits() -> Limits {
    Limits { position: ClusterPosition { local_index: 0, relay_count: 4 }, ..Limits::default() }
}

/// Ready endpoints s-0, s-1, ... that all started at the given time.
pub fn endpoints(n: usize, started: Millis) -> Vec<(Arc<str>, Millis, ListedState)> {
    (0..n).map(|i| (Arc::from(format!("s-{i}")), started, ListedState::Ready)).collect()
}

pub fn apply_list(
    affinity: &mut Affinity,
    now: Millis,
    is_full: bool,
    entries: &[(Arc<str>, Millis, ListedState)],
) {
    let listed =
        entries.iter().map(|(id, started, state)| ListedEndpoint { id, started: *started, state: *state });
    affinity.apply_list(now, is_full, listed);
}

/// A deterministic random number generator (SplitMix64).
pub struct TestRandom(pub u64);

impl TestRandom {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        ((self.next() >> 11) as f64) < probability * (1u64 << 53) as f64
    }
}

/// The faults and delays of the simulated network.
#[derive(Clone, Copy, Default)]
pub struct NetworkConditions {
    pub loss_probability: f64,
    pub duplicate_probability: f64,
    /// Delays are drawn from 1 ms up to this limit, so that messages in flight may overtake each other.
    pub max_delay_ms: u64,
}

/// The tables of several relays, and the messages and timers in flight.
pub struct SimulatedCluster {
    pub now: Millis,
    pub relays: Vec<(Affinity, Replication)>,
    network: NetworkConditions,
    random: TestRandom,
    /// Receiver, sender and text of each message, by the time of arrival and a sequence number.
    in_flight: BTreeMap<(u64, u64), (usize, u32, String)>,
    timers: BTreeMap<(u64, u64), usize>,
    sequence_number: u64,
    /// Time, sender and bytes of each message sent.
    pub sent: Vec<(Millis, usize, usize)>,
}

impl SimulatedCluster {
    pub fn new(n: usize, network: NetworkConditions, limits: Limits) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            now: START,
            relays: Vec::new(),
            network,
            random: TestRandom(7),
            in_flight: BTreeMap::new(),
            timers: BTreeMap::new(),
            sequence_number: 0,
            sent: Vec::new(),
        };
        for local_index in 0..n {
            let position = ClusterPosition { local_index: local_index as u32, relay_count: n as u32 };
            let limits = Limits { position, ..limits };
            cluster.relays.push((Affinity::new(limits, START), Replication::new(local_index as u64)));
        }
        cluster
    }

    /// Restarts a relay with empty tables. Messages in flight to the relay still arrive.
    pub fn restart(&mut self, at: usize, seed: u64) {
        let limits = *self.relays[at].0.limits();
        self.relays[at] = (Affinity::new(limits, self.now), Replication::new(seed));
    }

    /// Runs a call on a relay's tables and exchange, sends the resulting messages and sets the relay's timer.
    pub fn call<T>(
        &mut self,
        at: usize,
        call: impl FnOnce(&mut Affinity, &mut Replication, Millis, &mut Outbox) -> T,
    ) -> T {
        let mut out = Vec::new();
        let (affinity, replication) = &mut self.relays[at];
        let result = call(affinity, replication, self.now, &mut out);
        if let Some(after) = replication.timer(self.now) {
            self.sequence_number += 1;
            self.timers.insert(((self.now + after).ceil() as u64, self.sequence_number), at);
        }
        for sent in out {
            let text = sent.message.encode().expect("the message fits a datagram");
            assert!(text.len() <= MAX_MESSAGE_BYTES && sent.peer as usize != at);
            self.sent.push((self.now, at, text.len()));
            self.transmit(at as u32, sent.peer as usize, text);
        }
        result
    }

    /// Sends a text over the network, which may lose, duplicate or delay it.
    pub fn transmit(&mut self, from: u32, to: usize, text: String) {
        let copies = 1 + usize::from(self.random.chance(self.network.duplicate_probability));
        for _ in 0..copies {
            if !self.random.chance(self.network.loss_probability) {
                self.sequence_number += 1;
                let due = self.now as u64 + 1 + self.random.below(self.network.max_delay_ms);
                self.in_flight.insert((due, self.sequence_number), (to, from, text.clone()));
            }
        }
    }

    /// Advances the virtual time, delivering messages and running timers that are due.
    pub fn advance(&mut self, span: Millis) {
        let end = self.now + span;
        loop {
            let in_flight = self.in_flight.first_key_value().map(|(k, _)| k.0);
            let timer = self.timers.first_key_value().map(|(k, _)| k.0);
            let next = in_flight.into_iter().chain(timer).min();
            let Some(next) = next.filter(|at| (*at as f64) <= end) else { break };
            self.now = self.now.max(next as f64);
            if in_flight == Some(next) {
                let ((_, _), (to, from, text)) = self.in_flight.pop_first().unwrap();
                if let Some(message) = ClusterMessage::decode(&text) {
                    self.call(to, |a, r, now, out| r.receive(a, now, from, message, out));
                }
            } else {
                let (_, at) = self.timers.pop_first().unwrap();
                self.call(at, |a, r, now, out| r.on_timer(a, now, out));
            }
        }
        self.now = end;
    }

    pub fn recover(&mut self, at: usize) {
        self.call(at, |a, r, now, out| r.recover(a, now, out));
    }
}
