//! What the tests of this crate share: endpoints, and a cluster of relays' tables on a lossy network in
//! virtual time.

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

/// Endpoints s-0, s-1, ... that started then.
pub fn endpoints(n: usize, started: Millis) -> Vec<(Arc<str>, Millis, ListedState)> {
    (0..n).map(|i| (Arc::from(format!("s-{i}")), started, ListedState::Ready)).collect()
}

pub fn list(
    affinity: &mut Affinity,
    now: Millis,
    is_full: bool,
    entries: &[(Arc<str>, Millis, ListedState)],
) {
    let listed =
        entries.iter().map(|(id, started, state)| ListedEndpoint { id, started: *started, state: *state });
    affinity.apply_list(now, is_full, listed);
}

/// Random numbers that are the same every time (SplitMix64).
pub struct Dice(pub u64);

impl Dice {
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

    pub fn chance(&mut self, share: f64) -> bool {
        ((self.next() >> 11) as f64) < share * (1u64 << 53) as f64
    }
}

/// How a network treats messages.
#[derive(Clone, Copy, Default)]
pub struct Net {
    pub lost: f64,
    pub doubled: f64,
    /// Delays are drawn from 1 ms up to this: with more than one message in flight they overtake each other.
    pub delay: u64,
}

/// Relays' tables and what is under way between them.
pub struct World {
    pub now: Millis,
    pub nodes: Vec<(Affinity, Replication)>,
    net: Net,
    dice: Dice,
    /// By the time of arrival and a number: receiver, sender, text.
    mail: BTreeMap<(u64, u64), (usize, u32, String)>,
    timers: BTreeMap<(u64, u64), usize>,
    count: u64,
    /// Time, sender and bytes of everything sent.
    pub sent: Vec<(Millis, usize, usize)>,
}

impl World {
    pub fn new(n: usize, net: Net, limits: Limits) -> World {
        let mut world = World {
            now: START,
            nodes: Vec::new(),
            net,
            dice: Dice(7),
            mail: BTreeMap::new(),
            timers: BTreeMap::new(),
            count: 0,
            sent: Vec::new(),
        };
        for local_index in 0..n {
            let position = ClusterPosition { local_index: local_index as u32, relay_count: n as u32 };
            let limits = Limits { position, ..limits };
            world.nodes.push((Affinity::new(limits, START), Replication::new(local_index as u64)));
        }
        world
    }

    /// The relay starts again from nothing; what is on its way to it arrives all the same.
    pub fn restart(&mut self, at: usize, seed: u64) {
        let limits = *self.nodes[at].0.limits();
        self.nodes[at] = (Affinity::new(limits, self.now), Replication::new(seed));
    }

    /// Calls a relay's exchange and carries out what it gives.
    pub fn call<T>(
        &mut self,
        at: usize,
        call: impl FnOnce(&mut Affinity, &mut Replication, Millis, &mut Outbox) -> T,
    ) -> T {
        let mut out = Vec::new();
        let (affinity, replication) = &mut self.nodes[at];
        let result = call(affinity, replication, self.now, &mut out);
        if let Some(after) = replication.timer(self.now) {
            self.count += 1;
            self.timers.insert(((self.now + after).ceil() as u64, self.count), at);
        }
        for sent in out {
            let text = sent.message.encode().expect("a message fits a datagram");
            assert!(text.len() <= MAX_MESSAGE_BYTES && sent.peer as usize != at);
            self.sent.push((self.now, at, text.len()));
            self.post(at as u32, sent.peer as usize, text);
        }
        result
    }

    /// Puts a text on its way.
    pub fn post(&mut self, from: u32, to: usize, text: String) {
        let copies = 1 + usize::from(self.dice.chance(self.net.doubled));
        for _ in 0..copies {
            if !self.dice.chance(self.net.lost) {
                self.count += 1;
                let due = self.now as u64 + 1 + self.dice.below(self.net.delay);
                self.mail.insert((due, self.count), (to, from, text.clone()));
            }
        }
    }

    /// Passes the time.
    pub fn pass(&mut self, span: Millis) {
        let end = self.now + span;
        loop {
            let mail = self.mail.first_key_value().map(|(k, _)| k.0);
            let timer = self.timers.first_key_value().map(|(k, _)| k.0);
            let next = mail.into_iter().chain(timer).min();
            let Some(next) = next.filter(|at| (*at as f64) <= end) else { break };
            self.now = self.now.max(next as f64);
            if mail == Some(next) {
                let ((_, _), (to, from, text)) = self.mail.pop_first().unwrap();
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
