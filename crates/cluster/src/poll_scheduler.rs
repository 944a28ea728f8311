//! When a relay asks discovery for the list, so that a tier of hundreds is answered at all.
//!
//! Owns one relay's next call and how much time the tier leaves for each call; is fed the time, how calls ended and
//! what other relays tell of theirs; gives when to call, and what to tell. It never makes a call itself.
//!
//! Discovery takes the calls of all relays in turn, and one that it turns away or that waits too long has cost it as
//! much as one that it answers. What hundreds ask at once, and again a moment after they failed, keeps it busy with
//! calls of which none comes through. A watch that goes on costs next to nothing: only its start has to be spread.
//! A relay knows how many there are, but neither what discovery bears nor how many are asking. So the tier keeps one
//! rate of calls, as TCP keeps a window: whoever is answered late, or not at all, by a call made since the last change
//! tells all that each call is to be left more time, and whoever is answered at once that it may be less. All move
//! what they still have to ask to that rate. `docs/cold-start.md` names the ways weighed.

use sandgw_affinity::codec::ClusterMessage;
use sandgw_affinity::replication::{FULL_MESH_RELAYS, Sends};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

/// Time that the tier leaves for each relay's call as long as nothing is known of the service.
const EACH: Millis = 70.0;
/// A call that took longer has met a queue that is to shrink; one that took less has met none. Well below the 2 s
/// after which discovery fails a call: what is out then is still answered.
const SLOW: Millis = 200.0;
const QUICK: Millis = 100.0;
/// By how much the time for each call changes: when a call was slow or was turned away, or met no queue.
const SLOWER: f64 = 1.8;
const MUCH_SLOWER: f64 = 8.0;
const QUICKER: f64 = 0.6;
const REFUSED: f64 = 2.5;
/// How much less than the one before a slow call has to take for its queue to be shrinking already.
const FALLING: f64 = 0.95;
/// A rate stands for so long before it rises: what each change costs is a datagram to all.
const STANDS: Millis = 300.0;
/// How often a rate that has risen to the usual is told again, since datagrams are lost.
const REPEATS: u32 = 3;
/// What a call that was turned away counts as having taken: as long as discovery lets one wait, or far more where it
/// was turned away at once. Then the service is down, not slow, and once it is back the rate may rise at once.
const TURNED_AWAY: Millis = 2000.0;
const DOWN: Millis = 60_000.0;
const BACK: f64 = 0.25;
/// How long a rate that was told or found counts.
const COUNTS: Millis = 30_000.0;
/// Most time for each call, however slow the service is: what a tier asks of one that never answers is bounded,
/// whatever its size.
const SLOWEST: Millis = 150.0;
/// Longest pause of one relay's own after failures. A change counts as told 6 s after discovery had it and could be
/// reached: a call that was out when discovery came back may hold out for another 2.5 s, then comes this pause, and
/// the answer takes its time too.
const LONGEST: Millis = 2000.0;
/// Time over which a tier spreads its calls after watches have fallen silent, at the most, and for each relay. Silence
/// is noticed seconds late; a watch that was reset or turned away shows at once, and there is more time.
const SILENT: Millis = 1500.0;
const BROKEN: Millis = 3500.0;
const SPREAD_EACH: Millis = 20.0;

/// In how long to ask anew after a watch has fallen silent: what it has missed counts as told soon, so this is far
/// less than a pause after a failure. `draw` is from 0 to 1, drawn anew.
///
/// ```
/// use sandgw_cluster::poll_scheduler::silent;
///
/// assert_eq!(silent(4, 0.9), 0.0, "a handful asks at once");
/// assert!(silent(300, 0.1) < silent(300, 0.9) && silent(300, 1.0) <= 1500.0);
/// ```
pub fn silent(relays: u32, draw: f64) -> Millis {
    spread(relays, draw, SILENT)
}

/// In how long to ask anew after a watch that had been going on was reset, cut or turned away. Only if that call fails
/// too, discovery is taken for down or overrun. `draw` as in [`silent`].
///
/// ```
/// use sandgw_cluster::poll_scheduler::broken;
///
/// assert_eq!(broken(4, 0.9), 0.0, "a handful asks at once");
/// assert!(broken(100, 1.0) <= 2000.0 && broken(300, 1.0) <= 3500.0);
/// ```
pub fn broken(relays: u32, draw: f64) -> Millis {
    spread(relays, draw, BROKEN)
}

fn spread(relays: u32, draw: f64, most: Millis) -> Millis {
    if relays > FULL_MESH_RELAYS { draw * (SPREAD_EACH * f64::from(relays)).min(most) } else { 0.0 }
}

/// Among whom a relay asks, and what the settings say of it.
#[derive(Clone, Copy, Debug)]
pub struct ClusterView {
    /// Relays of the tier, and this one's number.
    pub relays: u32,
    /// Its number, from 0.
    pub local_index: u32,
    /// A first failure is worth a pause of so long.
    pub step: Millis,
    /// How long the list may go without a call.
    pub most: Millis,
}

impl ClusterView {
    /// As many as tell each other everything are few enough for discovery too.
    fn many(&self) -> bool {
        self.relays > FULL_MESH_RELAYS
    }

    /// Time for each call while nothing is known of the service, and at the most.
    fn usual(&self) -> Millis {
        EACH.min(self.most / f64::from(self.relays))
    }

    fn slowest(&self) -> Millis {
        SLOWEST
    }
}

/// One relay's calls of discovery.
///
/// ```
/// use sandgw_cluster::poll_scheduler::{ClusterView, PollScheduler};
///
/// let tier = ClusterView { relays: 300, local_index: 7, step: 200.0, most: 5000.0 };
/// let (mut asking, mut tell) = (PollScheduler::new(7), Vec::new());
/// asking.start(0.0, &tier);
/// let at = asking.timer(0.0).expect("the first call is to be made");
/// assert!(asking.due(at) && !asking.due(at), "it is made once");
/// asking.answered(at + 900.0, &tier, &mut tell);
/// assert_eq!(tell.len(), 299, "it took long: all are told to leave each call more time");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PollScheduler {
    /// Calls that have failed in a row.
    failed: i32,
    /// When the next call is to be made, and when the one that is out was.
    next: Option<Millis>,
    called: Option<Millis>,
    started: Millis,
    /// Time for each of the tier's calls, as of when it changed, and what the call took that it rests on.
    each: Option<(Millis, Millis)>,
    took: Millis,
    /// How often that was told again: who missed it would go on waiting.
    repeats: u32,
    armed: Millis,
    seed: u64,
}

impl PollScheduler {
    /// Nothing is known of the service. The seed is the relay's own.
    pub fn new(seed: u64) -> Self {
        PollScheduler { seed, ..PollScheduler::default() }
    }

    /// The first call is to be made.
    pub fn start(&mut self, now: Millis, tier: &ClusterView) {
        let all = self.each(now, tier) * f64::from(tier.relays);
        (self.started, self.next) = (now, Some(now + if tier.many() { self.draw() * all } else { 0.0 }));
    }

    /// A call has failed, or a watch was broken off. Jittered, so that relays turned away together do not come back
    /// together.
    pub fn failed(&mut self, now: Millis, tier: &ClusterView, out: &mut Sends) {
        let own = (tier.step * 2_f64.powi(self.failed)).min(LONGEST / 2.0) * (1.0 + self.draw());
        self.failed = self.failed.saturating_add(1);
        if let Some(called) = self.called.take() {
            let took = if now - called < QUICK { DOWN } else { TURNED_AWAY };
            self.learn(now, called, took, tier, out);
        }
        let all = self.each(now, tier) * f64::from(tier.relays);
        let pause = if tier.many() { own.max((0.5 + self.draw()) * all) } else { own.min(tier.most) };
        self.next = Some(now + pause);
    }

    /// Discovery has answered.
    pub fn answered(&mut self, now: Millis, tier: &ClusterView, out: &mut Sends) {
        (self.failed, self.next) = (0, None);
        if let Some(called) = self.called.take() {
            self.learn(now, called, now - called, tier, out);
        }
    }

    /// Takes another relay's word on what each call is to be left, and what its own took.
    pub fn told(&mut self, now: Millis, each: Millis, took: Millis, tier: &ClusterView) {
        let each = each.clamp(tier.usual(), tier.slowest());
        // Who has missed a word may tell too little: a queue is never a reason to call more often.
        let known = if took >= SLOW { self.each(now, tier) } else { 0.0 };
        self.set(now, each.max(known), took, tier);
    }

    /// Whether the next call is to be made now; it is then taken as made.
    pub fn due(&mut self, now: Millis) -> bool {
        let due = self.next.take_if(|next| *next <= now);
        self.called = due.map(|_| now).or(self.called);
        due.is_some()
    }

    /// In how long to ask [`PollScheduler::due`], if that was not said before.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        let next = self.next.filter(|next| self.armed <= now || *next + 1.0 < self.armed)?;
        self.armed = next.max(now);
        Some(self.armed - now)
    }

    /// Time for each of the tier's calls.
    fn each(&self, now: Millis, tier: &ClusterView) -> Millis {
        let known = self.each.filter(|(_, at)| now - at < COUNTS);
        known.map_or(tier.usual(), |(each, _)| each.clamp(tier.usual(), tier.slowest()))
    }

    /// What a call took says how much time each is to be left, unless it was made before the latest change.
    fn learn(&mut self, now: Millis, called: Millis, took: Millis, tier: &ClusterView, out: &mut Sends) {
        let changed = self.each.map_or(f64::NEG_INFINITY, |(_, at)| at);
        if !tier.many() || called < changed {
            return;
        }
        // By how much a queue has grown since all started is known at once how many more call than are answered.
        let grown = (took / (called - self.started).max(1.0)).clamp(SLOWER, MUCH_SLOWER);
        let times = match took {
            TURNED_AWAY.. => REFUSED,
            SLOW.. if self.each.is_none() => grown,
            SLOW.. if took > self.took * FALLING => SLOWER,
            ..QUICK if self.took >= DOWN => BACK,
            ..QUICK if now - changed > STANDS => QUICKER,
            _ => 1.0,
        };
        let before = self.each(now, tier);
        let each = (before * times).clamp(tier.usual(), tier.slowest());
        let missed = self.each.is_some() && times < 1.0 && self.repeats < REPEATS;
        if each != before || missed {
            self.set(now, each, took, tier);
            let whole = |span: Millis| span.round().clamp(0.0, f64::from(u16::MAX)) as u16;
            let told = ClusterMessage::PollRate { each: whole(each), took: whole(took) };
            let others = (0..tier.relays).filter(|peer| *peer != tier.local_index);
            out.extend(others.map(|peer| (peer, told.clone())));
        }
    }

    /// Moves what is still to be asked to another rate.
    fn set(&mut self, now: Millis, each: Millis, took: Millis, tier: &ClusterView) {
        let times = each / self.each(now, tier);
        self.repeats = if times == 1.0 { self.repeats + 1 } else { 0 };
        (self.each, self.took) = (Some((each, now)), took);
        if let Some(next) = self.next.as_mut().filter(|next| **next > now) {
            *next = now + (*next - now) * times;
        }
    }

    fn draw(&mut self) -> f64 {
        self.seed = xxh3_64_with_seed(&[], self.seed);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }
}
