//! How a relay of a large cluster learns which endpoints drain or are removed while discovery can't answer
//! it in time.
//!
//! Owns the endpoints that left lately, as far as this relay knows them, and the relays that queried it.
//! Inputs are this relay's lists and other relays' messages, with the time in milliseconds; outputs are
//! messages to send, and which endpoints are to be treated as draining or no longer. It sends nothing and
//! knows no address.
//!
//! Discovery takes polls in turn: after an outage, hundreds can't all be answered within the 6 s after
//! which a change has to be known. To stop sending to an endpoint because of another relay's report is
//! always allowed, to start never is; so only departures are gossiped. A relay whose list came by a new
//! poll sends a few others what has left since its list before, and a relay that learns something from such
//! a report passes it on once: reports multiply as long as most relays do not know. A relay whose poll is
//! still pending knows that too: it queries one other from time to time, which sends it reports for some
//! seconds. What arrives on watches that go on is gossiped to nobody else: all receive it there.
//!
//! A report counts until this relay's own list supersedes it: until an answer of the report's revision or a
//! later one, or to a poll that was sent after the report came in. So a report of another service, with
//! revisions of its own, does no lasting harm, and is not applied twice. `docs/cold-start.md` describes the
//! alternatives that were weighed.

mod departures;

use sandgw_affinity::codec::{ClusterMessage, DRAINING_PER_MESSAGE, EndpointHash};
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_units::random::SeededRandom;
use sandgw_units::timer::OneShotTimer;

use crate::{ClusterPosition, Millis};
use departures::{Departure, DepartureTable, Source};

/// Relays that a new report is sent to.
const REPORT_FANOUT: usize = 4;
/// Relays that are queried at first while a poll is pending; later one at a time.
const FIRST_QUERY_FANOUT: u32 = 3;
/// Mean delay of the first query; it is jittered by a half.
const FIRST_QUERY_DELAY_MS: Millis = 400.0;
/// Interval between further queries.
const QUERY_INTERVAL_MS: Millis = 2000.0;
/// How long a relay that has queried is sent new reports.
const SUBSCRIPTION_TTL_MS: Millis = 8000.0;
/// Relays that are remembered as having queried.
const MAX_SUBSCRIBERS: usize = 16;

/// An answer of discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryAnswer {
    /// The revision of the list as of this answer.
    pub revision: u64,
    /// When the poll was sent that it answers, in milliseconds.
    pub requested_at: Millis,
    /// It is the full list, not changes to it.
    pub is_full: bool,
}

/// What an answer of discovery says of endpoints that this relay knows.
#[derive(Clone, Copy, Debug)]
pub struct ListChange<'a> {
    /// Endpoints that drain or are removed, and were ready in the list before or are reported as draining.
    pub departed: &'a [EndpointHash],
    /// Endpoints that it names as ready.
    pub ready: &'a [EndpointHash],
}

#[derive(Clone, Copy, Debug)]
struct Subscriber {
    queried_at: Millis,
    peer: u32,
}

/// One relay's part in the exchange.
///
/// ```
/// use sandgw_affinity::codec::{ClusterMessage, EndpointHash};
/// use sandgw_cluster::ClusterPosition;
/// use sandgw_cluster::drain_gossip::{DiscoveryAnswer, DrainGossip, ListChange};
///
/// let (position, s1) = (ClusterPosition { local_index: 7, relay_count: 300 }, EndpointHash::of("s-1"));
/// let (mut gossip, mut out) = (DrainGossip::new(7), Vec::new());
/// let nothing = ListChange { departed: &[], ready: &[] };
/// let full = DiscoveryAnswer { revision: 40, requested_at: 0.0, is_full: true };
/// gossip.apply_answer(0.0, position, full, nothing, &mut out);
/// let report = || ClusterMessage::Draining { revision: 41, endpoints: vec![s1] };
/// assert_eq!(gossip.receive(10.0, position, 3, report(), |_| true, &mut out), [s1], "it is to be drained");
/// assert_eq!(out.len(), 4, "and some others are notified");
/// let changes = DiscoveryAnswer { revision: 41, requested_at: 5.0, is_full: false };
/// assert_eq!(gossip.apply_answer(20.0, position, changes, nothing, &mut out), [s1], "its own list knows better");
/// assert!(gossip.receive(30.0, position, 4, report(), |_| true, &mut out).is_empty(), "a report counts once");
/// ```
#[derive(Debug, Default)]
pub struct DrainGossip {
    /// The revision of this relay's list; none before the first, or where another service is polled.
    revision: Option<u64>,
    departures: DepartureTable,
    subscribers: Vec<Subscriber>,
    /// When another relay is queried next, while a poll is pending.
    next_query_at: Option<Millis>,
    has_queried: bool,
    timer: OneShotTimer,
    random: SeededRandom,
}

impl DrainGossip {
    /// Nothing is known. `seed` is the relay's own.
    pub fn new(seed: u64) -> Self {
        DrainGossip { random: SeededRandom::new(seed), ..DrainGossip::default() }
    }

    /// The cached list has this revision, if that is known.
    pub fn set_revision(&mut self, revision: Option<u64>) {
        self.revision = revision;
    }

    /// Whether an endpoint is treated as draining because of a report.
    pub fn is_reported_draining(&self, endpoint: EndpointHash) -> bool {
        self.departures.is_reported(endpoint)
    }

    /// The first poll is pending, one has failed, or a watch was broken off: no change arrives until
    /// another poll is answered.
    pub fn discovery_failed(&mut self, now: Millis, position: ClusterPosition) {
        if position.is_large() && self.next_query_at.is_none() {
            let jitter = 0.5 + self.random.next_fraction();
            self.next_query_at = Some(now + FIRST_QUERY_DELAY_MS * jitter);
            self.has_queried = false;
        }
    }

    /// Another service is polled from now on: each service has revisions of its own.
    pub fn discovery_replaced(&mut self, now: Millis, position: ClusterPosition) {
        self.revision = None;
        // Reported endpoints are settled by the first answer.
        self.departures.retain_reported();
        self.discovery_failed(now, position);
    }

    /// Discovery has answered. Gives the endpoints that are no longer treated as draining and have not left.
    pub fn apply_answer(
        &mut self,
        now: Millis,
        position: ClusterPosition,
        answer: DiscoveryAnswer,
        change: ListChange<'_>,
        out: &mut Outbox,
    ) -> Vec<EndpointHash> {
        self.revision = Some(answer.revision);
        self.departures.remove_expired(now);
        self.departures.mark_ready(change.ready);
        let unreported: Vec<_> = change
            .departed
            .iter()
            .copied()
            .filter(|endpoint| !self.is_reported_draining(*endpoint))
            .collect();
        for endpoint in change.departed {
            let departure = Departure::new(answer.revision, now, Source::List);
            self.departures.insert(*endpoint, departure);
        }
        let restored = self.departures.settle_reports(answer);
        // What arrives on a watch that goes on, all others receive too, except relays that have queried.
        let was_pending = self.next_query_at.take().is_some();
        let fanout = if was_pending { REPORT_FANOUT } else { 0 };
        self.send_report(now, position, answer.revision, &unreported, fanout, out);
        restored
    }

    /// Applies another relay's report, or answers its query. `is_ready` says whether this relay's list has
    /// an endpoint as ready. Gives the endpoints that are to be treated as draining from now on.
    pub fn receive(
        &mut self,
        now: Millis,
        position: ClusterPosition,
        peer: u32,
        message: ClusterMessage,
        is_ready: impl Fn(EndpointHash) -> bool,
        out: &mut Outbox,
    ) -> Vec<EndpointHash> {
        if !position.is_large() {
            return Vec::new();
        }
        match message {
            ClusterMessage::Draining { revision, endpoints } => {
                let candidates = endpoints.into_iter().filter(|endpoint| is_ready(*endpoint)).collect();
                self.apply_report(now, position, revision, candidates, out)
            }
            ClusterMessage::DrainQuery(since_revision) => {
                self.subscribe(now, peer);
                self.answer_query(now, peer, since_revision, out);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Queries other relays where that is due.
    pub fn on_timer(&mut self, now: Millis, position: ClusterPosition, out: &mut Outbox) {
        if !position.is_large() {
            self.next_query_at = None;
        }
        if self.next_query_at.is_none_or(|at| at > now) {
            return;
        }
        self.next_query_at = Some(now + QUERY_INTERVAL_MS);
        let fanout = if self.has_queried { 1 } else { FIRST_QUERY_FANOUT };
        self.has_queried = true;
        // The revision of the list itself: a report may have named only some of the departures.
        let query = ClusterMessage::DrainQuery(self.revision.unwrap_or(0));
        for _ in 0..fanout {
            let peer = self.random_peer(position);
            out.push(OutgoingMessage::new(peer, query.clone()));
        }
    }

    /// In how long to call [`DrainGossip::on_timer`], unless that was requested before.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        self.timer.arm(now, self.next_query_at?, 0.0)
    }

    /// Records reported departures that are new, and passes them on.
    fn apply_report(
        &mut self,
        now: Millis,
        position: ClusterPosition,
        revision: u64,
        mut endpoints: Vec<EndpointHash>,
        out: &mut Outbox,
    ) -> Vec<EndpointHash> {
        if self.revision.is_some_and(|local| local >= revision) {
            return Vec::new();
        }
        self.departures.remove_expired(now);
        endpoints.retain(|endpoint| !self.departures.is_known(*endpoint, revision));
        endpoints.sort_unstable();
        endpoints.dedup();
        // A report that can't be recorded could not be settled later: it is not applied.
        let departure = Departure::new(revision, now, Source::Report);
        endpoints.retain(|endpoint| self.departures.insert(*endpoint, departure));
        self.send_report(now, position, revision, &endpoints, REPORT_FANOUT, out);
        endpoints
    }

    fn subscribe(&mut self, now: Millis, peer: u32) {
        self.subscribers.retain(|subscriber| subscriber.peer != peer);
        self.subscribers.truncate(MAX_SUBSCRIBERS - 1);
        self.subscribers.insert(0, Subscriber { queried_at: now, peer });
    }

    fn answer_query(&self, now: Millis, peer: u32, since_revision: u64, out: &mut Outbox) {
        for (revision, endpoints) in self.departures.since(now, since_revision, self.revision) {
            push_reports(peer, revision, &endpoints, out);
        }
    }

    /// Sends a report to the relays that have queried lately, and to random others up to `fanout` in all.
    fn send_report(
        &mut self,
        now: Millis,
        position: ClusterPosition,
        revision: u64,
        endpoints: &[EndpointHash],
        fanout: usize,
        out: &mut Outbox,
    ) {
        if !position.is_large() || endpoints.is_empty() {
            return;
        }
        self.subscribers.retain(|subscriber| now - subscriber.queried_at < SUBSCRIPTION_TTL_MS);
        let mut peers: Vec<u32> = self.subscribers.iter().map(|subscriber| subscriber.peer).collect();
        while peers.len() < fanout {
            peers.push(self.random_peer(position));
        }
        for peer in peers {
            push_reports(peer, revision, endpoints, out);
        }
    }

    /// Any other relay.
    fn random_peer(&mut self, position: ClusterPosition) -> u32 {
        let drawn = (self.random.next_fraction() * f64::from(position.relay_count - 1)) as u32;
        if drawn >= position.local_index { drawn + 1 } else { drawn }
    }
}

/// A report of any number of endpoints, cut into messages that fit a datagram each.
fn push_reports(peer: u32, revision: u64, endpoints: &[EndpointHash], out: &mut Outbox) {
    for chunk in endpoints.chunks(DRAINING_PER_MESSAGE) {
        let report = ClusterMessage::Draining { revision, endpoints: chunk.to_vec() };
        out.push(OutgoingMessage::new(peer, report));
    }
}
