//! Tells the relays of a large cluster which endpoints drain or are removed while discovery cannot answer
//! them in time.
//!
//! [`DrainGossip`] holds the endpoints that left recently, as far as this relay knows them, and the relays
//! that queried it. Its inputs are this relay's lists and other relays' messages, with the time in
//! milliseconds; its outputs are messages to send, and the endpoints to treat as draining or no longer as
//! draining. It sends nothing itself and knows no network address.
//!
//! Discovery handles polls one at a time: after an outage it cannot answer hundreds of polls within the 6 s
//! after which a change has to be known. A relay may always stop sending to an endpoint because of another
//! relay's report, but never start because of one; so only departures are gossiped. A relay whose list came
//! from a new poll sends a few other relays the endpoints that have left since its previous list. A relay
//! that learns of a departure from such a report passes the report on once, so reports multiply as long as
//! most relays do not know of the departure. A relay whose poll is still pending knows that it may miss
//! changes: it queries one other relay from time to time, which then sends it reports for some seconds. A
//! change that arrives on a continuing subscription is gossiped only to relays that have queried: all others
//! receive it on their own subscriptions.
//!
//! A report counts until this relay's own list supersedes it: until an answer with the report's revision or a
//! later one, or an answer to a poll that was sent after the report came in. A report that is based on
//! another discovery service, with revisions of its own, therefore does no lasting harm and is not applied
//! twice. `docs/cold-start.md` describes the alternatives that were considered.

mod departures;

use sandgw_affinity::codec::{ClusterMessage, DRAINING_PER_MESSAGE, EndpointHash};
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_units::random::SeededRandom;
use sandgw_units::timer::OneShotTimer;

use crate::{ClusterPosition, Millis};
use departures::{Departure, DepartureTable, Source};

/// How many relays a new report is sent to.
const REPORT_FANOUT: usize = 4;
/// How many relays the first query while a poll is pending goes to; each later query goes to one relay.
const FIRST_QUERY_FANOUT: u32 = 3;
/// Mean delay of the first query; the jitter is up to half of this in both directions.
const FIRST_QUERY_DELAY_MS: Millis = 400.0;
/// Interval between further queries.
const QUERY_INTERVAL_MS: Millis = 2000.0;
/// How long a relay that has queried is sent new reports.
const QUERIER_TTL_MS: Millis = 8000.0;
/// The largest number of relays that are remembered as having queried.
const MAX_QUERIERS: usize = 16;

/// An answer from discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryAnswer {
    /// The revision of the list as of this answer.
    pub revision: u64,
    /// When the poll that discovery answers was sent, in milliseconds.
    pub requested_at: Millis,
    /// Whether the answer is the full list rather than changes to it.
    pub is_full: bool,
}

/// What an answer from discovery says about endpoints that this relay knows.
#[derive(Clone, Copy, Debug)]
pub struct ListChange<'a> {
    /// Endpoints that drain or are removed, and that were ready in the previous list or are reported as
    /// draining.
    pub departed: &'a [EndpointHash],
    /// Endpoints that the answer shows as ready.
    pub ready: &'a [EndpointHash],
}

#[derive(Clone, Copy, Debug)]
struct Querier {
    queried_at: Millis,
    peer: u32,
}

/// One relay's state of the drain gossip: the departures that it knows, and the relays that queried it.
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
/// assert_eq!(gossip.receive(10.0, position, 3, report(), |_| true, &mut out), [s1], "to be drained");
/// assert_eq!(out.len(), 4, "some other relays are notified");
/// let changes = DiscoveryAnswer { revision: 41, requested_at: 5.0, is_full: false };
/// assert_eq!(gossip.apply_answer(20.0, position, changes, nothing, &mut out), [s1], "superseded");
/// assert!(gossip.receive(30.0, position, 4, report(), |_| true, &mut out).is_empty(), "it counts once");
/// ```
#[derive(Debug, Default)]
pub struct DrainGossip {
    /// The revision of this relay's list; `None` before the first list, and once another discovery service is
    /// polled.
    revision: Option<u64>,
    departures: DepartureTable,
    queriers: Vec<Querier>,
    /// When the next query to another relay is due, while a poll is pending.
    next_query_at: Option<Millis>,
    has_queried: bool,
    timer: OneShotTimer,
    random: SeededRandom,
}

impl DrainGossip {
    /// Creates a state without departures. `seed` is the relay's own.
    pub fn new(seed: u64) -> Self {
        DrainGossip { random: SeededRandom::new(seed), ..DrainGossip::default() }
    }

    /// Sets the revision of the cached list, if it is known.
    pub fn set_revision(&mut self, revision: Option<u64>) {
        self.revision = revision;
    }

    /// Whether an endpoint is treated as draining because of a report.
    pub fn is_reported_draining(&self, endpoint: EndpointHash) -> bool {
        self.departures.is_reported(endpoint)
    }

    /// Starts to query other relays: the first poll is pending, a poll has failed, or a subscription has
    /// broken, and no change arrives until another poll is answered.
    pub fn start_querying_peers(&mut self, now: Millis, position: ClusterPosition) {
        if position.is_large() && self.next_query_at.is_none() {
            let jitter = 0.5 + self.random.next_fraction();
            self.next_query_at = Some(now + FIRST_QUERY_DELAY_MS * jitter);
            self.has_queried = false;
        }
    }

    /// Records that another discovery service is polled from now on: each service has revisions of its own.
    pub fn discovery_replaced(&mut self, now: Millis, position: ClusterPosition) {
        self.revision = None;
        // The first answer of the new service supersedes the reports.
        self.departures.retain_reported();
        self.start_querying_peers(now, position);
    }

    /// Applies an answer from discovery. Returns the endpoints that are no longer treated as draining and
    /// have not left.
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
        let restored = self.departures.supersede_reports(answer);
        // All other relays receive a change on their own continuing subscriptions, except those that have
        // queried.
        let was_pending = self.next_query_at.take().is_some();
        let fanout = if was_pending { REPORT_FANOUT } else { 0 };
        self.send_report(now, position, answer.revision, &unreported, fanout, out);
        restored
    }

    /// Applies another relay's report, or answers its query. `is_ready` returns whether this relay's list
    /// shows an endpoint as ready. Returns the endpoints that are to be treated as draining from now on.
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
                self.record_querier(now, peer);
                self.answer_query(now, peer, since_revision, out);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Queries other relays, if a query is due.
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
        // The query names the revision of the list itself: a report may have named only some of the
        // departures.
        let query = ClusterMessage::DrainQuery(self.revision.unwrap_or(0));
        for _ in 0..fanout {
            let peer = self.random_peer(position);
            out.push(OutgoingMessage::new(peer, query.clone()));
        }
    }

    /// Returns the delay until [`DrainGossip::on_timer`] is to be called; `None` if no query is pending or
    /// the call was requested before.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        self.timer.arm(now, self.next_query_at?, 0.0)
    }

    /// Records the reported endpoint departures that are new, and passes them on to other relays.
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
        // A report that cannot be recorded could not be superseded later, so it is not applied.
        let departure = Departure::new(revision, now, Source::Report);
        endpoints.retain(|endpoint| self.departures.insert(*endpoint, departure));
        self.send_report(now, position, revision, &endpoints, REPORT_FANOUT, out);
        endpoints
    }

    fn record_querier(&mut self, now: Millis, peer: u32) {
        self.queriers.retain(|querier| querier.peer != peer);
        self.queriers.truncate(MAX_QUERIERS - 1);
        self.queriers.insert(0, Querier { queried_at: now, peer });
    }

    fn answer_query(&self, now: Millis, peer: u32, since_revision: u64, out: &mut Outbox) {
        for (revision, endpoints) in self.departures.after_revision(now, since_revision, self.revision) {
            push_reports(peer, revision, &endpoints, out);
        }
    }

    /// Sends a report to the relays that have queried lately, and to random other relays up to `fanout` in
    /// all.
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
        self.queriers.retain(|querier| now - querier.queried_at < QUERIER_TTL_MS);
        let mut peers: Vec<u32> = self.queriers.iter().map(|querier| querier.peer).collect();
        while peers.len() < fanout {
            peers.push(self.random_peer(position));
        }
        for peer in peers {
            push_reports(peer, revision, endpoints, out);
        }
    }

    /// Returns the index of a random other relay.
    fn random_peer(&mut self, position: ClusterPosition) -> u32 {
        let index = (self.random.next_fraction() * f64::from(position.relay_count - 1)) as u32;
        if index >= position.local_index { index + 1 } else { index }
    }
}

/// Sends a report of any number of endpoints, split into messages that fit one datagram each.
fn push_reports(peer: u32, revision: u64, endpoints: &[EndpointHash], out: &mut Outbox) {
    for chunk in endpoints.chunks(DRAINING_PER_MESSAGE) {
        let report = ClusterMessage::Draining { revision, endpoints: chunk.to_vec() };
        out.push(OutgoingMessage::new(peer, report));
    }
}
