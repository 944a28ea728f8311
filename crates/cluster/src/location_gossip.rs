//! News of clients' places: who is told of them, and who is asked on a miss.
//!
//! In a small tier every relay is told, and a connection that arrives mid-stream is found without a question. In a large
//! one that would cost a datagram a relay for each connection. There every client has a few *keepers*, the same by
//! every relay's reckoning: its place is told to them, and a relay that meets it mid-flow and does not know
//! it asks them. The cost is a fixed number of datagrams a connection, whatever the number of relays.

use std::collections::BTreeMap;

use sandgw_affinity::codec::{Client, ClusterMessage};
use sandgw_affinity::replication::{FULL_MESH_RELAYS, Sends};
use sandgw_affinity::{Affinity, Millis};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Keepers of a client in a larger tier: one may be down or the datagram lost, both seldom are.
pub const LOCATION_REPLICAS: u32 = 2;
/// How long news is gathered before it is told. Who is killed takes that much with it.
const NEWS_AFTER: Millis = 500.0;
/// A keeper's answer is waited for this long: four of the longest ways of a datagram.
const ANSWER_WITHIN: Millis = 160.0;
/// How often it is looked for meanwhile.
const LOOK_AGAIN: Millis = 16.0;
/// Questions under way at the most; a connection beyond them does without.
const MOST_ASKED: usize = 1024;

/// News to be told, and questions under way.
///
/// ```
/// use sandgw_affinity::endpoint_registry::State;
/// use sandgw_affinity::codec::ClusterMessage;
/// use sandgw_affinity::replication::Sends;
/// use sandgw_affinity::{Affinity, Limits};
/// use sandgw_cluster::location_gossip::{LocationGossip, location_replicas};
///
/// let (relays, client) = (40, Affinity::client(b"a viewer"));
/// let keeper = location_replicas(client, relays).next().expect("a keeper");
/// let relay = |local_index| {
///     let mut affinity = Affinity::new(Limits { relays, local_index, ..Limits::default() }, 0.0);
///     affinity.list(0.0, true, [(&"s-1".into(), 0.0, State::Ready)].into_iter());
///     affinity
/// };
///
/// // A relay that is no keeper of it meets the client mid-flow: it asks both location_replicas, and is to look again soon.
/// let local_index = (0..relays).find(|local_index| !location_replicas(client, relays).any(|k| k == *local_index)).expect("another");
/// let (mut news, affinity, mut out) = (LocationGossip::default(), relay(local_index), Sends::new());
/// assert!(news.ask(&affinity, 1000.0, client, &mut out).is_some());
/// let asked = out.iter().find(|(to, _)| *to == keeper).expect("a question").1.clone();
/// let ClusterMessage::LocationQuery(clients) = asked else { panic!("no question") };
///
/// // The keeper knows the place and answers.
/// let mut kept = relay(keeper);
/// kept.note(900.0, client, "s-1");
/// let mut answer = Sends::new();
/// LocationGossip::default().answer(&kept, local_index, &clients, &mut answer);
/// assert!(matches!(&answer[..], [(to, ClusterMessage::LocationUpdate(_))] if *to == local_index));
/// ```
#[derive(Default)]
pub struct LocationGossip {
    /// Clients placed here that nobody was told of yet, and since when.
    untold: Vec<u64>,
    untold_since: Millis,
    /// Clients asked about, since when, and how often.
    asked: BTreeMap<u64, (Millis, u32)>,
    /// When a call is due that was asked for.
    armed: Option<Millis>,
}

impl LocationGossip {
    /// Notes that a client's new place is to be told.
    ///
    /// ```
    /// # use sandgw_affinity::replication::Sends;
    /// # use sandgw_affinity::{Affinity, Limits, endpoint_registry::State};
    /// # use sandgw_cluster::location_gossip::LocationGossip;
    /// let mut affinity = Affinity::new(Limits { relays: 4, local_index: 0, ..Limits::default() }, 0.0);
    /// affinity.list(0.0, true, [(&"s-1".into(), 0.0, State::Ready)].into_iter());
    /// let client = Affinity::client(b"a viewer");
    /// affinity.note(1000.0, client, "s-1");
    ///
    /// let (mut news, mut out) = (LocationGossip::default(), Sends::new());
    /// news.tell(1000.0, client);
    /// let after = news.timer(1000.0).expect("a call is due");
    /// news.due(&affinity, 1000.0 + after, &mut out);
    /// assert_eq!(out.len(), 3, "the three others of a small tier are told");
    /// ```
    pub fn tell(&mut self, now: Millis, client: u64) {
        if self.untold.is_empty() {
            self.untold_since = now;
        }
        self.untold.push(client);
    }

    /// Tells what is due.
    pub fn due(&mut self, affinity: &Affinity, now: Millis, out: &mut Sends) {
        if self.armed.is_some_and(|at| now + 1.0 >= at) {
            self.armed = None;
        }
        if self.untold.is_empty() || now - self.untold_since < NEWS_AFTER {
            return;
        }
        let (local_index, relays) = (affinity.limits().local_index, affinity.limits().relays);
        let mut to: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        for client in self.untold.drain(..) {
            location_replicas(client, relays).for_each(|peer| to.entry(peer).or_default().push(client));
        }
        for (peer, clients) in to.into_iter().filter(|(peer, _)| *peer != local_index) {
            out.extend(affinity.news(&clients).into_iter().map(|news| (peer, news)));
        }
    }

    /// In how long [`LocationGossip::due`] is to be called, if nothing earlier was asked for already.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        let next = (!self.untold.is_empty()).then_some(self.untold_since + NEWS_AFTER)?;
        if self.armed.is_some_and(|armed| armed <= next + 1.0 && armed >= now - NEWS_AFTER) {
            return None;
        }
        self.armed = Some(next);
        Some((next - now).max(1.0))
    }

    /// A client has arrived mid-flow: in how long to look again for its place, which its keepers are asked for.
    /// Nothing where it is known, where nobody else would know it, or where the answer has taken too long.
    pub fn ask(&mut self, affinity: &Affinity, now: Millis, client: u64, out: &mut Sends) -> Option<Millis> {
        let (local_index, relays) = (affinity.limits().local_index, affinity.limits().relays);
        if relays <= FULL_MESH_RELAYS || affinity.session(client).is_some() {
            self.asked.remove(&client);
            return None;
        }
        let (since, asks) = match self.asked.get(&client) {
            Some((since, _)) if now - since >= ANSWER_WITHIN => {
                self.asked.remove(&client);
                return None;
            }
            Some((since, asks)) => (*since, *asks),
            None => {
                self.asked.retain(|_, (since, _)| now - *since < 2.0 * ANSWER_WITHIN);
                if self.asked.len() >= MOST_ASKED {
                    return None;
                }
                (now, 0)
            }
        };
        // Once more halfway: the question or the answer may be lost.
        if now - since >= f64::from(asks) * ANSWER_WITHIN / 2.0 {
            self.asked.insert(client, (since, asks + 1));
            let others = location_replicas(client, relays).filter(|peer| *peer != local_index);
            out.extend(others.map(|peer| (peer, ClusterMessage::LocationQuery(vec![Client::of(client)]))));
        }
        Some(LOOK_AGAIN)
    }

    /// Answers a question about clients as far as their places are known; of others nothing is said.
    pub fn answer(&self, affinity: &Affinity, peer: u32, clients: &[Client], out: &mut Sends) {
        if peer < affinity.limits().relays {
            let known: Vec<u64> = clients.iter().map(|c| c.key()).collect();
            out.extend(affinity.news(&known).into_iter().map(|news| (peer, news)));
        }
    }
}

/// The relays that are told of a client's place: all of a small tier, else so many that its key names.
///
/// ```
/// use sandgw_cluster::location_gossip::location_replicas;
///
/// assert_eq!(location_replicas(7, 4).count(), 4);
/// assert_eq!(location_replicas(7, 300).count(), 2);
/// ```
pub fn location_replicas(client: u64, relays: u32) -> impl Iterator<Item = u32> {
    let few = relays > FULL_MESH_RELAYS;
    let each = move |n: u32| {
        let drawn = (xxh3_64_with_seed(&client.to_le_bytes(), 0) % u64::from(relays.max(1))) as u32;
        // The keepers lie half a tier apart: relays next in number are often restarted together.
        if few { (drawn + n * (relays / LOCATION_REPLICAS)) % relays } else { n }
    };
    (0..if few { LOCATION_REPLICAS } else { relays }).map(each)
}
