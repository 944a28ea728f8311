//! What the tier's relays hold together at each endpoint, from what each tells of its own.
//!
//! In a tier of hundreds a relay holds a dozen connections and knows nothing of the load of most endpoints. Each
//! tells one relay, the collector, what it holds; the collector answers with the sums of the endpoints that carry
//! most for their size. Both are one datagram. A relay tells when connections have come since, and now and then anyway;
//! more often at first, when all is new. Any relay can collect: who gets no answer asks the next in number, and a
//! collector that has just started has a part of the tier, which tells the same shares with more chance in them.

use std::collections::BTreeMap;

use sandgw_affinity::codec::{ClusterMessage, ENDPOINTS};
use sandgw_affinity::replication::{FULL_MESH_RELAYS, Sends};

use crate::Millis;

/// An endpoint's short tag: two bytes of a hash of its name. Two of the same are taken for one.
pub type Tag = [u8; 2];
/// Pause between what a relay tells: at first, how much longer each next is, and at the most.
const FIRST: Millis = 400.0;
const SLOWER: f64 = 1.5;
const SLOWEST: Millis = 1500.0;
/// It tells after this long in any case, and what it told counts for so long.
const ANYWAY: Millis = 6000.0;
const COUNTS: Millis = 15_000.0;
/// Answers that fail to come before the next in number is asked, and how often the first is tried again.
const MISSED: u32 = 2;
const BACK_AFTER: u32 = 8;

/// What the tier holds, by endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterLoad {
    /// Load of all endpoints, in mean connections, at the relays that it rests on.
    pub total: f64,
    /// Tags of endpoints and their load, of those that carry most for their size.
    pub loads: BTreeMap<Tag, f64>,
}

/// One relay's part in the census, as teller and as collector.
///
/// ```
/// use sandgw_affinity::codec::ClusterMessage;
/// use sandgw_affinity::replication::Sends;
/// use sandgw_cluster::load_aggregation::LoadAggregation;
///
/// let (mut collector, mut teller) = (LoadAggregation::default(), LoadAggregation::default());
/// let (one, relays) = ([1, 0], 20);
/// assert!(LoadAggregation::holds(relays) && !LoadAggregation::holds(4));
///
/// // A connection has come to relay 5, which tells relay 0 what it holds, in one datagram.
/// let mut out = Sends::new();
/// teller.came();
/// teller.tell(1000.0, (5, relays), || vec![(one, 12.0)], &mut out);
/// let Some((0, ClusterMessage::LoadReport(rows))) = out.pop() else { panic!("not told") };
///
/// // Relay 0 answers with the sums; endpoints' sizes are asked for by their tags.
/// collector.answer(1010.0, 5, relays, rows, |_| 1.0, &mut out);
/// let Some((5, ClusterMessage::ClusterLoads { total, rows })) = out.pop() else { panic!("not answered") };
/// teller.answered(0, total, &rows);
/// let view = teller.take().expect("the sums");
/// assert_eq!((view.total, view.loads[&one]), (12.0, 12.0));
/// assert!(teller.take().is_none(), "nothing new since");
/// assert!(teller.timer(1010.0).is_some(), "and it tells again");
/// ```
#[derive(Default)]
pub struct LoadAggregation {
    /// What others have told, and when; and the sums of it.
    told: BTreeMap<u32, (Millis, Vec<(Tag, u8)>)>,
    sums: BTreeMap<Tag, f64>,
    /// The collector, questions to it without an answer, and all questions.
    collector: u32,
    missed: u32,
    asked: u32,
    /// When this relay last told, the pause after it, and connections that have come since.
    told_at: Option<Millis>,
    pause: Millis,
    since: u32,
    armed: Millis,
    view: Option<ClusterLoad>,
}

impl LoadAggregation {
    /// Whether there is one in a tier of so many relays: where all are told of all there is no need.
    pub fn holds(relays: u32) -> bool {
        relays > FULL_MESH_RELAYS
    }

    /// A connection has come.
    pub fn came(&mut self) {
        self.since = self.since.saturating_add(1);
    }

    /// In how long it is to be asked again whether to tell, if that was not said before.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        // A connection that comes may bring it forward.
        let next = self.next().filter(|next| self.armed <= now || *next + 1.0 < self.armed)?;
        self.armed = next.max(now + 1.0);
        Some(self.armed - now)
    }

    /// When this relay next tells, if nothing else comes.
    fn next(&self) -> Option<Millis> {
        self.told_at.map(|at| at + if self.since > 0 { self.pause } else { ANYWAY })
    }

    /// Tells what this relay holds, where that is due: load by the tags of endpoints.
    pub fn tell(
        &mut self,
        now: Millis,
        (local_index, relays): (u32, u32),
        holds: impl FnOnce() -> Vec<(Tag, f64)>,
        out: &mut Sends,
    ) {
        if self.next().map_or(self.since == 0, |at| now < at) {
            return;
        }
        self.pause = if self.told_at.is_none() { FIRST } else { (self.pause * SLOWER).min(SLOWEST) };
        (self.told_at, self.since) = (Some(now), 0);
        self.asked += 1;
        if self.missed >= MISSED {
            (self.collector, self.missed) = ((self.collector + 1) % relays, 0);
        }
        if self.asked.is_multiple_of(BACK_AFTER) {
            (self.collector, self.missed) = (0, 0);
        }
        let mut rows = holds();
        rows.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let part = |(tag, load): (Tag, f64)| (tag, load.ceil().clamp(0.0, 255.0) as u8);
        let rows: Vec<_> = rows.into_iter().take(ENDPOINTS).map(part).collect();
        if self.collector == local_index {
            self.add(now, local_index, rows);
            self.view = Some(self.sum(|_| 1.0));
        } else {
            self.missed += 1;
            out.push((self.collector, ClusterMessage::LoadReport(rows)));
        }
    }

    /// Takes what another relay holds, and answers it. An endpoint's size is asked for by its tag.
    pub fn answer(
        &mut self,
        now: Millis,
        peer: u32,
        relays: u32,
        rows: Vec<(Tag, u8)>,
        size: impl Fn(Tag) -> f64,
        out: &mut Sends,
    ) {
        if peer >= relays {
            return;
        }
        self.add(now, peer, rows);
        let view = self.sum(size);
        let rows = view.loads.iter().map(|(tag, load)| (*tag, load.round() as u16)).collect();
        out.push((peer, ClusterMessage::ClusterLoads { total: view.total.round() as u32, rows }));
    }

    /// Takes the collector's answer.
    pub fn answered(&mut self, peer: u32, total: u32, rows: &[(Tag, u16)]) {
        if peer == self.collector {
            self.missed = 0;
            let loads = rows.iter().map(|(tag, load)| (*tag, f64::from(*load))).collect();
            self.view = Some(ClusterLoad { total: f64::from(total), loads });
        }
    }

    /// What has come in since the last call.
    pub fn take(&mut self) -> Option<ClusterLoad> {
        self.view.take()
    }

    fn add(&mut self, now: Millis, peer: u32, rows: Vec<(Tag, u8)>) {
        let old: Vec<u32> =
            self.told.iter().filter(|(_, (at, _))| now - at > COUNTS).map(|(peer, _)| *peer).collect();
        let gone = old.into_iter().chain([peer]).filter_map(|peer| self.told.remove(&peer));
        for (tag, load) in gone.flat_map(|(_, rows)| rows) {
            if let Some(sum) = self.sums.get_mut(&tag) {
                *sum -= f64::from(load);
            }
        }
        self.sums.retain(|_, sum| *sum > 0.5);
        rows.iter().for_each(|(tag, load)| *self.sums.entry(*tag).or_default() += f64::from(*load));
        self.told.insert(peer, (now, rows));
    }

    /// The sums of the endpoints that carry most for their size, as many as a datagram holds.
    fn sum(&self, size: impl Fn(Tag) -> f64) -> ClusterLoad {
        let mut rows: Vec<(Tag, f64)> = self.sums.iter().map(|(tag, load)| (*tag, *load)).collect();
        let total = rows.iter().map(|(_, load)| load).sum();
        rows.sort_by_cached_key(|(tag, load)| {
            (std::cmp::Reverse((load / size(*tag).max(f64::MIN_POSITIVE) * 1000.0) as u64), *tag)
        });
        rows.truncate(ENDPOINTS);
        ClusterLoad { total, loads: rows.into_iter().collect() }
    }
}
