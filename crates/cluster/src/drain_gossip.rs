//! How a relay of a large tier learns which endpoints drain or are gone while discovery can't answer it in time.
//!
//! Owns what this relay knows of endpoints that left lately and of whom it has that; is fed its own lists and others'
//! words; gives words to send, and which endpoints are to be held for draining or be taken back. It sends nothing and
//! knows no address.
//!
//! Discovery takes calls in turn: after an outage, hundreds can't all be answered within the 6 s after which a change
//! counts as told. Not sending to an endpoint on another relay's word is always allowed, sending on it never is; so
//! what is told is leaving, and nothing else. Whose list has come by a call made anew tells a few others what has left
//! since its list before, and who learns something by a word passes it on once: words multiply as long as most do not
//! know. Whose call is still to be made knows that too: it asks one other from time to time, and is told by that one
//! for some seconds. To nobody else anything is told of what comes on watches that go on: all hear it there.
//!
//! A word counts until this relay's own list says better: until an answer of the word's version or a later one, or to
//! a call that was made after the word came. So a word of another service, with versions of its own, does no lasting
//! harm, and is not taken twice. `docs/cold-start.md` names the ways weighed.

use std::collections::BTreeMap;

use sandgw_affinity::codec::{ClusterMessage, EndpointHash, LEAVING};
use sandgw_affinity::replication::{FULL_MESH_RELAYS, Sends};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

/// Others that are told of what is new.
const TOLD: usize = 4;
/// A relay whose call is still to be answered asks so many others at first, and then one so often; how long each of
/// them tells it of what is new; and so many that ask are remembered.
const FIRST: u32 = 3;
const SOON: Millis = 400.0;
const EVERY: Millis = 2000.0;
const TOLD_FOR: Millis = 8000.0;
const ASKERS: usize = 16;
/// How long what has left is told to those who ask, and so many endpoints of it at the most.
const KEPT: Millis = 60_000.0;
const MOST: usize = 256;

/// The relays of the tier, and this one's number among them.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    /// Its number, from 0.
    pub local_index: u32,
    /// How many there are; none where they may not tell each other, or have no need to.
    pub relays: u32,
}

impl ClusterSize {
    fn many(&self) -> bool {
        self.relays > FULL_MESH_RELAYS
    }
}

/// An answer of discovery.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The list's version as of it.
    pub revision: u64,
    /// When the call that it answers was made.
    pub asked: Millis,
    /// It is the whole list, not changes to it.
    pub whole: bool,
}

#[derive(Clone, Copy, Debug)]
struct DrainRecord {
    /// The list's version that told of it, or that a word named.
    revision: u64,
    at: Millis,
    /// It is known by a word only, and held for draining.
    word: bool,
    /// It has left as far as is known; otherwise only its words are still remembered.
    stands: bool,
}

/// One relay's part; see the load balancer's text.
///
/// ```
/// use sandgw_affinity::codec::{ClusterMessage, EndpointHash};
/// use sandgw_cluster::drain_gossip::{Answer, DrainGossip, ClusterSize};
///
/// let (of, s1) = (ClusterSize { local_index: 7, relays: 300 }, EndpointHash::of("s-1"));
/// let (mut leaving, mut out) = (DrainGossip::new(7), Vec::new());
/// leaving.listed(0.0, of, Answer { revision: 40, asked: 0.0, whole: true }, &[], &[], &mut out);
/// let word = || ClusterMessage::Draining { revision: 41, endpoints: vec![s1] };
/// assert_eq!(leaving.told(10.0, of, 3, word(), |_| true, &mut out), [s1], "it is to be held for draining");
/// assert_eq!(out.len(), 4, "and some others are told");
/// let answer = Answer { revision: 41, asked: 5.0, whole: false };
/// assert_eq!(leaving.listed(20.0, of, answer, &[], &[], &mut out), [s1], "its own list knows better");
/// assert!(leaving.told(30.0, of, 4, word(), |_| true, &mut out).is_empty(), "the word is not taken twice");
/// ```
#[derive(Debug, Default)]
pub struct DrainGossip {
    /// The version of the own list; nothing before the first, or where another service is asked.
    revision: Option<u64>,
    left: BTreeMap<EndpointHash, DrainRecord>,
    /// Who has asked lately, and when.
    askers: Vec<(Millis, u32)>,
    /// When another is asked next, while a call is still to be answered.
    next: Option<Millis>,
    asked: bool,
    armed: Millis,
    seed: u64,
}

impl DrainGossip {
    /// Nothing is known. The seed is the relay's own.
    pub fn new(seed: u64) -> Self {
        DrainGossip { seed, ..DrainGossip::default() }
    }

    /// The list as held is of this version, if that is known.
    pub fn known(&mut self, revision: Option<u64>) {
        self.revision = revision;
    }

    /// Whether an endpoint is held for draining by a word.
    pub fn holds(&self, endpoint: EndpointHash) -> bool {
        self.left.get(&endpoint).is_some_and(|left| left.word)
    }

    /// The first call is still to be made, one has failed, or a watch was broken off: what changes is not heard of
    /// until another is answered.
    pub fn failed(&mut self, now: Millis, of: ClusterSize) {
        if of.many() && self.next.is_none() {
            (self.next, self.asked) = (Some(now + SOON * (0.5 + self.draw())), false);
        }
    }

    /// Another service is asked from now on: versions are each service's own.
    pub fn moved(&mut self, now: Millis, of: ClusterSize) {
        self.revision = None;
        // What is held by a word goes with the first answer.
        self.left.retain(|_, left| left.word);
        self.failed(now, of);
    }

    /// Discovery has answered: with endpoints that drain or are gone, and were ready in the list before or are held for
    /// draining by a word; and those that it names as ready. Gives those that are held no more and have not left.
    pub fn listed(
        &mut self,
        now: Millis,
        of: ClusterSize,
        answer: Answer,
        left: &[EndpointHash],
        ready: &[EndpointHash],
        out: &mut Sends,
    ) -> Vec<EndpointHash> {
        self.revision = Some(answer.revision);
        self.forget(now);
        for endpoint in ready {
            self.left.entry(*endpoint).and_modify(|l| (l.word, l.stands) = (false, false));
        }
        let fresh: Vec<_> = left.iter().copied().filter(|s| !self.holds(*s)).collect();
        for endpoint in left {
            self.keep(
                *endpoint,
                DrainRecord { revision: answer.revision, at: now, word: false, stands: true },
            );
        }
        let settles = |l: &DrainRecord| answer.revision >= l.revision || answer.asked >= l.at || answer.whole;
        let mut back = Vec::new();
        for (endpoint, held) in self.left.iter_mut().filter(|(_, l)| l.word && settles(l)) {
            (held.word, held.stands) = (false, false);
            back.push(*endpoint);
        }
        // Of a watch that goes on all others hear too, but for those who ask.
        let others = if self.next.take().is_some() { TOLD } else { 0 };
        self.pass(now, of, answer.revision, &fresh, others, out);
        back
    }

    /// Takes another relay's word, or answers what it asks. `ready` says whether this relay's list has an endpoint as
    /// ready. Gives those that are to be held for draining from now on.
    pub fn told(
        &mut self,
        now: Millis,
        of: ClusterSize,
        peer: u32,
        piece: ClusterMessage,
        ready: impl Fn(EndpointHash) -> bool,
        out: &mut Sends,
    ) -> Vec<EndpointHash> {
        let (revision, endpoints) = match piece {
            ClusterMessage::Draining { revision, endpoints } => (revision, endpoints),
            ClusterMessage::DrainQuery(since) if of.many() => {
                self.askers.retain(|(_, asker)| *asker != peer);
                self.askers.truncate(ASKERS - 1);
                self.askers.insert(0, (now, peer));
                self.answer(now, peer, since, out);
                return Vec::new();
            }
            _ => return Vec::new(),
        };
        if !of.many() || self.revision.is_some_and(|own| own >= revision) {
            return Vec::new();
        }
        self.forget(now);
        let known = |s: &EndpointHash| self.left.get(s).is_some_and(|l| l.revision >= revision);
        let mut fresh: Vec<_> = endpoints.into_iter().filter(|s| ready(*s) && !known(s)).collect();
        fresh.sort_unstable();
        fresh.dedup();
        // What can't be kept could not be taken back.
        fresh.retain(|s| self.keep(*s, DrainRecord { revision, at: now, word: true, stands: true }));
        self.pass(now, of, revision, &fresh, TOLD, out);
        fresh
    }

    /// Asks another relay, where that is due.
    pub fn due(&mut self, now: Millis, of: ClusterSize, out: &mut Sends) {
        if !of.many() {
            self.next = None;
        }
        if self.next.is_some_and(|next| next <= now) {
            self.next = Some(now + EVERY);
            // Of the list's own version: a word may have told of a part only.
            let peers = if std::mem::replace(&mut self.asked, true) { 1 } else { FIRST };
            let question = ClusterMessage::DrainQuery(self.revision.unwrap_or(0));
            out.extend((0..peers).map(|_| (self.other(of), question.clone())));
        }
    }

    /// In how long to ask [`DrainGossip::due`], if that was not said before.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        let next = self.next.filter(|next| self.armed <= now || *next + 1.0 < self.armed)?;
        self.armed = next.max(now);
        Some(self.armed - now)
    }

    fn answer(&self, now: Millis, peer: u32, since: u64, out: &mut Sends) {
        let newer = |l: &DrainRecord| l.stands && l.revision > since && now - l.at < KEPT;
        let mut words: BTreeMap<u64, Vec<EndpointHash>> = BTreeMap::new();
        for (endpoint, left) in self.left.iter().filter(|(_, l)| newer(l)) {
            // What the own list told of holds as of its present version.
            let own = self.revision.filter(|_| !left.word).unwrap_or(left.revision);
            words.entry(own).or_default().push(*endpoint);
        }
        for (revision, endpoints) in words {
            out.extend(pieces(revision, &endpoints).map(|piece| (peer, piece)));
        }
    }

    /// Tells those who have asked lately, and others up to so many in all.
    fn pass(
        &mut self,
        now: Millis,
        of: ClusterSize,
        revision: u64,
        endpoints: &[EndpointHash],
        others: usize,
        out: &mut Sends,
    ) {
        if !of.many() || endpoints.is_empty() {
            return;
        }
        self.askers.retain(|(at, _)| now - at < TOLD_FOR);
        let mut peers: Vec<u32> = self.askers.iter().map(|(_, peer)| *peer).collect();
        while peers.len() < others {
            peers.push(self.other(of));
        }
        for peer in peers {
            out.extend(pieces(revision, endpoints).map(|piece| (peer, piece)));
        }
    }

    /// Whether there was room for it.
    fn keep(&mut self, endpoint: EndpointHash, left: DrainRecord) -> bool {
        let room = self.left.len() < MOST || self.left.contains_key(&endpoint);
        if room {
            self.left.insert(endpoint, left);
        }
        room
    }

    fn forget(&mut self, now: Millis) {
        self.left.retain(|_, left| left.word || now - left.at < KEPT);
    }

    fn other(&mut self, of: ClusterSize) -> u32 {
        let drawn = (self.draw() * f64::from(of.relays - 1)) as u32;
        if drawn >= of.local_index { drawn + 1 } else { drawn }
    }

    fn draw(&mut self) -> f64 {
        self.seed = xxh3_64_with_seed(&[], self.seed);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn pieces(revision: u64, endpoints: &[EndpointHash]) -> impl Iterator<Item = ClusterMessage> {
    endpoints.chunks(LEAVING).map(move |part| ClusterMessage::Draining { revision, endpoints: part.to_vec() })
}
