//! Replicates the locations of clients: decides which relays are sent a location, and which relays are
//! queried for an unknown one.
//!
//! [`LocationGossip`] holds the updates to be sent and the queries in flight. Its inputs are placements,
//! queries and the affinity tables, with the time in milliseconds; its outputs are messages to send and when
//! to look a location up again. The locations themselves are stored in [`Affinity`].
//!
//! In a small cluster every relay is sent every update, and the location of a connection that arrives
//! mid-flow is found without a query. In a large cluster that would cost one datagram per relay for each
//! connection. There, every client has a few location replicas, which every relay computes alike. The
//! replicas are sent the client's location, and a relay that meets the client mid-flow without knowing its
//! location queries them. The cost per connection is a fixed number of datagrams, whatever the number of
//! relays.

use std::collections::BTreeMap;

use sandgw_affinity::codec::{Client, ClusterMessage};
use sandgw_affinity::outbox::{Outbox, OutgoingMessage};
use sandgw_affinity::{Affinity, Millis};
use sandgw_units::timer::AcknowledgedTimer;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ClusterPosition;

/// Number of location replicas of a client in a large cluster: one replica may be down or its datagram lost,
/// but seldom both.
pub const LOCATION_REPLICAS: u32 = 2;
/// How long updates are batched before they are sent. A relay that is killed loses the updates of that time.
const UPDATE_BATCH_MS: Millis = 500.0;
/// How long a relay waits for a replica's answer: four times the longest transit time of a datagram.
const QUERY_TIMEOUT_MS: Millis = 160.0;
/// How often a location is looked up in the local tables while its query is in flight.
const LOOKUP_INTERVAL_MS: Millis = 16.0;
/// The largest number of queries in flight; a connection beyond it is placed without a query.
const MAX_QUERIES: usize = 1024;

#[derive(Clone, Copy)]
struct PendingQuery {
    started_at: Millis,
    attempts: u32,
}

/// The location updates to be sent, and the location queries in flight.
///
/// ```
/// use sandgw_affinity::endpoint_registry::{ListedEndpoint, ListedState};
/// use sandgw_affinity::codec::ClusterMessage;
/// use sandgw_affinity::outbox::Outbox;
/// use sandgw_affinity::{Affinity, Limits};
/// use sandgw_cluster::ClusterPosition;
/// use sandgw_cluster::location_gossip::{LocationGossip, location_replicas};
///
/// let (relays, client) = (40, Affinity::client_key(b"a viewer"));
/// let replica = location_replicas(client, relays).next().expect("a replica");
/// let relay = |local_index| {
///     let position = ClusterPosition { local_index, relay_count: relays };
///     let mut affinity = Affinity::new(Limits { position, ..Limits::default() }, 0.0);
///     let endpoint = ListedEndpoint { id: &"s-1".into(), started: 0.0, state: ListedState::Ready };
///     affinity.apply_list(0.0, true, [endpoint].into_iter());
///     affinity
/// };
///
/// // A relay that is not a replica meets the client mid-flow: it queries both replicas, then looks again.
/// let is_replica = |relay: u32| location_replicas(client, relays).any(|replica| replica == relay);
/// let local_index = (0..relays).find(|relay| !is_replica(*relay)).expect("another");
/// let (mut gossip, affinity, mut out) = (LocationGossip::default(), relay(local_index), Outbox::new());
/// assert!(gossip.query(&affinity, 1000.0, client, &mut out).is_some());
/// let sent = out.iter().find(|sent| sent.peer == replica).expect("a query").message.clone();
/// let ClusterMessage::LocationQuery(clients) = sent else { panic!("no query") };
///
/// // The replica knows the location and answers.
/// let mut tables = relay(replica);
/// tables.record_session(900.0, client, "s-1");
/// let mut answer = Outbox::new();
/// LocationGossip::default().handle_query(&tables, local_index, &clients, &mut answer);
/// assert!(answer.iter().all(|sent| sent.peer == local_index));
/// assert!(matches!(answer[0].message, ClusterMessage::LocationUpdate(_)));
/// ```
#[derive(Default)]
pub struct LocationGossip {
    /// Clients placed by this relay whose location was not sent yet; `pending_since` is when the oldest of
    /// them was queued.
    pending_updates: Vec<u64>,
    pending_since: Millis,
    queries: BTreeMap<u64, PendingQuery>,
    timer: AcknowledgedTimer,
}

impl LocationGossip {
    /// Queues a client's new location to be sent.
    ///
    /// ```
    /// # use sandgw_affinity::outbox::Outbox;
    /// # use sandgw_affinity::endpoint_registry::{ListedEndpoint, ListedState};
    /// # use sandgw_affinity::{Affinity, Limits};
    /// # use sandgw_cluster::{ClusterPosition, location_gossip::LocationGossip};
    /// let position = ClusterPosition { local_index: 0, relay_count: 4 };
    /// let mut affinity = Affinity::new(Limits { position, ..Limits::default() }, 0.0);
    /// let endpoint = ListedEndpoint { id: &"s-1".into(), started: 0.0, state: ListedState::Ready };
    /// affinity.apply_list(0.0, true, [endpoint].into_iter());
    /// let client = Affinity::client_key(b"a viewer");
    /// affinity.record_session(1000.0, client, "s-1");
    ///
    /// let (mut gossip, mut out) = (LocationGossip::default(), Outbox::new());
    /// gossip.queue_update(1000.0, client);
    /// let after = gossip.timer(1000.0).expect("a batch is due");
    /// gossip.on_timer(&affinity, 1000.0 + after, &mut out);
    /// assert_eq!(out.len(), 3, "one for each peer in a small cluster");
    /// ```
    pub fn queue_update(&mut self, now: Millis, client: u64) {
        if self.pending_updates.is_empty() {
            self.pending_since = now;
        }
        self.pending_updates.push(client);
    }

    /// Sends the batch of updates, if it is due.
    pub fn on_timer(&mut self, affinity: &Affinity, now: Millis, out: &mut Outbox) {
        self.timer.acknowledge(now);
        if self.pending_updates.is_empty() || now - self.pending_since < UPDATE_BATCH_MS {
            return;
        }
        let position = affinity.position();
        let mut clients_by_peer: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        for client in self.pending_updates.drain(..) {
            for peer in location_replicas(client, position.relay_count) {
                clients_by_peer.entry(peer).or_default().push(client);
            }
        }
        clients_by_peer.remove(&position.local_index);
        for (peer, clients) in clients_by_peer {
            send_locations(affinity, peer, &clients, out);
        }
    }

    /// Returns the delay until [`LocationGossip::on_timer`] is to be called; `None` if no update is pending
    /// or the call was requested before.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        if self.pending_updates.is_empty() {
            return None;
        }
        self.timer.arm(now, self.pending_since + UPDATE_BATCH_MS, UPDATE_BATCH_MS)
    }

    /// Queries the replicas for the location of a client that has arrived mid-flow, and returns the delay
    /// until the next lookup. Returns `None` if the location is known, if no other relay would know it, if
    /// the query has timed out, or if too many queries are in flight.
    pub fn query(
        &mut self,
        affinity: &Affinity,
        now: Millis,
        client: u64,
        out: &mut Outbox,
    ) -> Option<Millis> {
        let position = affinity.position();
        if !position.is_large() || affinity.session(client).is_some() {
            self.queries.remove(&client);
            return None;
        }
        let query = self.pending_query(now, client)?;
        // The query or its answer may be lost, so the query is sent again halfway to the timeout.
        if now - query.started_at >= f64::from(query.attempts) * QUERY_TIMEOUT_MS / 2.0 {
            self.queries.insert(client, PendingQuery { attempts: query.attempts + 1, ..query });
            send_query(position, client, out);
        }
        Some(LOOKUP_INTERVAL_MS)
    }

    /// Answers a peer's query with the locations that are known; nothing is sent for clients whose location
    /// is unknown.
    pub fn handle_query(&self, affinity: &Affinity, peer: u32, clients: &[Client], out: &mut Outbox) {
        if peer < affinity.position().relay_count {
            let keys: Vec<u64> = clients.iter().map(|client| client.key()).collect();
            send_locations(affinity, peer, &keys, out);
        }
    }

    /// Returns the query for a client, or a new query if there is none; `None` if the query has timed out or
    /// too many queries are in flight.
    fn pending_query(&mut self, now: Millis, client: u64) -> Option<PendingQuery> {
        if let Some(query) = self.queries.get(&client).copied() {
            if now - query.started_at < QUERY_TIMEOUT_MS {
                return Some(query);
            }
            self.queries.remove(&client);
            return None;
        }
        self.queries.retain(|_, query| now - query.started_at < 2.0 * QUERY_TIMEOUT_MS);
        let has_room = self.queries.len() < MAX_QUERIES;
        has_room.then_some(PendingQuery { started_at: now, attempts: 0 })
    }
}

fn send_query(position: ClusterPosition, client: u64, out: &mut Outbox) {
    let replicas = location_replicas(client, position.relay_count);
    let others = replicas.filter(|peer| *peer != position.local_index);
    let query = ClusterMessage::LocationQuery(vec![Client::of(client)]);
    out.extend(others.map(|peer| OutgoingMessage::new(peer, query.clone())));
}

fn send_locations(affinity: &Affinity, peer: u32, clients: &[u64], out: &mut Outbox) {
    let updates = affinity.location_updates(clients);
    out.extend(updates.into_iter().map(|update| OutgoingMessage::new(peer, update)));
}

/// Returns the relays that a client's location is sent to: all relays of a small cluster, otherwise the
/// replicas that the client's key determines.
///
/// ```
/// use sandgw_cluster::location_gossip::location_replicas;
///
/// assert_eq!(location_replicas(7, 4).count(), 4);
/// assert_eq!(location_replicas(7, 300).count(), 2);
/// ```
pub fn location_replicas(client: u64, relay_count: u32) -> impl Iterator<Item = u32> {
    let is_large = ClusterPosition { local_index: 0, relay_count }.is_large();
    let first = (xxh3_64_with_seed(&client.to_le_bytes(), 0) % u64::from(relay_count.max(1))) as u32;
    // Replicas lie half a cluster apart: relays with adjacent indices are often restarted together.
    let nth_replica = move |n: u32| {
        if is_large { (first + n * (relay_count / LOCATION_REPLICAS)) % relay_count } else { n }
    };
    (0..if is_large { LOCATION_REPLICAS } else { relay_count }).map(nth_replica)
}
