//! Decides which version this process writes: the newest that all live processes support.
//!
//! [`VersionNegotiator`] owns what is known of the other relays' supported versions. Inputs:
//! advertisements, version 1 datagrams without one, what was sent, and the time in milliseconds. Outputs:
//! the cluster's version, the version for one relay, and the relays to which an advertisement is due. It
//! upgrades only after [`QUIET_PERIOD_MS`] without a sighting of an older process, downgrades with the
//! first one, and never goes below what an operator has finalized. It never needs to know who belongs to
//! the cluster, and no relay has a special role.
//!
//! A sighting is the time when a process was last seen that supports no version newer than a given one.
//! Each advertisement carries the ages of sightings, and each receiver keeps the latest: they spread by
//! gossip and expire by themselves.
//!
//! Toward one relay more caution holds, so that a wrong belief about the cluster leaves no relay with
//! datagrams that it can't read. It gets no newer version than it advertised; and it gets version 1 while
//! its advertisement is out of date, once it has spoken without one, and once it was sent something newer
//! and has not responded.

use std::collections::BTreeMap;

use crate::version_advertisement::{OlderSighting, VersionAdvertisement};
use crate::{Millis, SchemaVersion, SchemaVersionError, SupportedVersions};

/// Time without a sighting of an older process before the cluster upgrades.
pub const QUIET_PERIOD_MS: Millis = 20_000.0;
/// Interval between advertisements to a few relays drawn at random, and the least between two to the same
/// relay.
pub const ADVERTISE_INTERVAL_MS: Millis = 2000.0;
/// Number of relays that get an advertisement each time.
const ADVERTISE_FANOUT: u32 = 3;
/// How long a relay's advertisement is valid.
pub const ADVERTISEMENT_TTL_MS: Millis = 8000.0;
/// A datagram without an advertisement is attributed to the process that advertised at most this long
/// before it: no process restarts as quickly.
const MIN_RESTART_MS: Millis = 200.0;
/// Interval between requests to a relay for its advertisement.
const REQUEST_INTERVAL_MS: Millis = 250.0;
/// A relay that was asked for its advertisement and has sent none after this time counts as old.
pub const REQUEST_TIMEOUT_MS: Millis = 3000.0;
/// A relay that was sent a version newer than 1 must be heard from within this time.
const RESPONSE_TIMEOUT_MS: Millis = 1000.0;

/// A relay's number in its cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPosition {
    /// Its index, from 0.
    pub local_index: u32,
    /// The number of relays.
    pub relay_count: u32,
}

/// A pending request for a relay's advertisement.
#[derive(Clone, Copy, Debug)]
struct AdvertisementRequest {
    started_at: Millis,
    last_sent_at: Millis,
}

/// What is known of one relay.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// What it advertised last.
    supported: SupportedVersions,
    advertised_at: Millis,
    /// When it last spoke without an advertisement, since `advertised_at`.
    plain_message_at: Option<Millis>,
    request: Option<AdvertisementRequest>,
    /// Its last request timed out.
    ignores_requests: bool,
    /// When it was sent the first datagram newer than version 1 since it was last heard from.
    unanswered_since: Option<Millis>,
    /// When it was last sent an advertisement.
    advertisement_sent_at: Millis,
}

impl Default for Peer {
    fn default() -> Self {
        Peer {
            supported: SupportedVersions::UNADVERTISED,
            advertised_at: f64::NEG_INFINITY,
            plain_message_at: None,
            request: None,
            ignores_requests: false,
            unanswered_since: None,
            advertisement_sent_at: f64::NEG_INFINITY,
        }
    }
}

/// An advertisement to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdvertisementDue {
    /// The receiving relay.
    pub peer: u32,
    /// Whether it is asked for its own.
    pub requests_reply: bool,
}

/// The negotiation of one process with all others; see the module documentation.
#[derive(Clone, Debug)]
pub struct VersionNegotiator {
    supported: SupportedVersions,
    finalized: SchemaVersion,
    position: RelayPosition,
    listening_since: Millis,
    /// When a process was last seen that supports no newer version, by version.
    older_seen_at: BTreeMap<SchemaVersion, Millis>,
    peers: BTreeMap<u32, Peer>,
    next_advertisement_at: Millis,
    random_state: u64,
}

impl VersionNegotiator {
    /// A negotiator of a process that starts now.
    ///
    /// ```
    /// use sandgw_schema_version::version_negotiator::{QUIET_PERIOD_MS, RelayPosition, VersionNegotiator};
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
    /// let (first, second) = (SchemaVersion::FIRST, SchemaVersion::SECOND);
    /// let supported = SupportedVersions::up_to(second)?;
    /// let position = RelayPosition { local_index: 0, relay_count: 3 };
    /// let negotiator = VersionNegotiator::new(supported, first, position, 7, 0.0)?;
    /// assert_eq!(negotiator.version(QUIET_PERIOD_MS - 1.0), first);
    /// assert_eq!(negotiator.version(QUIET_PERIOD_MS), second);
    /// assert!(VersionNegotiator::new(SupportedVersions::UNADVERTISED, second, position, 7, 0.0).is_err());
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    ///
    /// # Errors
    /// [`SchemaVersionError::Finalized`] where this process does not support the finalized version.
    pub fn new(
        supported: SupportedVersions,
        finalized: SchemaVersion,
        position: RelayPosition,
        seed: u64,
        now: Millis,
    ) -> Result<VersionNegotiator, SchemaVersionError> {
        if finalized > supported.newest {
            return Err(SchemaVersionError::Finalized { finalized, supported });
        }
        Ok(VersionNegotiator {
            supported,
            finalized,
            position,
            listening_since: now,
            older_seen_at: BTreeMap::new(),
            peers: BTreeMap::new(),
            next_advertisement_at: now,
            random_state: seed | 1,
        })
    }

    /// Applies a changed number of relays, or index of this one.
    pub fn set_position(&mut self, position: RelayPosition) {
        self.position = position;
        self.peers.retain(|peer, _| *peer < position.relay_count);
    }

    /// What this process supports.
    pub fn supported(&self) -> SupportedVersions {
        self.supported
    }

    /// The version below which nothing is written any more.
    pub fn finalized(&self) -> SchemaVersion {
        self.finalized
    }

    /// The version that the cluster writes, as far as this process knows.
    pub fn version(&self, now: Millis) -> SchemaVersion {
        let mut version = self.supported.newest;
        if let Some(sighting) = self.oldest_sighting(now) {
            version = version.min(sighting.version);
        }
        if now - self.listening_since < QUIET_PERIOD_MS {
            version = version.min(self.supported.oldest);
        }
        version.max(self.min_version())
    }

    /// The oldest process seen within the quiet period that supports less than this one.
    pub fn oldest_sighting(&self, now: Millis) -> Option<OlderSighting> {
        let ages = self.older_seen().map(|(version, at)| OlderSighting { version, age_ms: now - at });
        ages.filter(|sighting| sighting.age_ms < QUIET_PERIOD_MS)
            .min_by(|a, b| a.version.cmp(&b.version).then(a.age_ms.total_cmp(&b.age_ms)))
    }

    /// Versions below the newest of this process, and when a process was last seen that supports no newer
    /// one.
    fn older_seen(&self) -> impl Iterator<Item = (SchemaVersion, Millis)> {
        // A relay that ignored a request and is asked once more counts here, but is passed on to others
        // only once that request has timed out too.
        let ignoring = self.peers.values().filter(|peer| peer.ignores_requests);
        let ignoring = ignoring.filter_map(|peer| Some((SchemaVersion::FIRST, peer.plain_message_at?)));
        let recorded = self.older_seen_at.iter().map(|(version, at)| (*version, *at));
        recorded.chain(ignoring).filter(|(version, _)| *version < self.supported.newest)
    }

    /// Relays heard from within the quiet period that support less than this process.
    pub fn outdated_peers(&self, now: Millis) -> Vec<u32> {
        let is_recent = |at: Millis| now - at < QUIET_PERIOD_MS;
        let is_outdated = |peer: &Peer| {
            peer.ignores_requests && peer.plain_message_at.is_some_and(is_recent)
                || peer.supported.newest < self.supported.newest && is_recent(peer.advertised_at)
        };
        self.peers.iter().filter(|(_, peer)| is_outdated(peer)).map(|(index, _)| *index).collect()
    }

    /// Remaining part of the quiet period before an upgrade; 0 where it is over.
    pub fn remaining_quiet_ms(&self, now: Millis) -> Millis {
        let last_seen = self.older_seen().fold(self.listening_since, |latest, (_, at)| latest.max(at));
        (QUIET_PERIOD_MS - (now - last_seen)).max(0.0)
    }

    fn min_version(&self) -> SchemaVersion {
        self.finalized.max(self.supported.oldest)
    }

    /// The version in which one relay is written to.
    pub fn version_for(&self, now: Millis, peer: u32) -> SchemaVersion {
        let min_version = self.min_version();
        let Some(peer) = self.peers.get(&peer) else { return min_version };
        let is_expired = now - peer.advertised_at > ADVERTISEMENT_TTL_MS;
        let is_unresponsive = peer.unanswered_since.is_some_and(|at| now - at >= RESPONSE_TIMEOUT_MS);
        if is_expired || peer.plain_message_at.is_some() || is_unresponsive {
            return min_version;
        }
        self.version(now).min(peer.supported.newest).max(min_version)
    }

    /// What this process advertises.
    pub fn advertisement(&self, now: Millis) -> VersionAdvertisement {
        let ages = self.older_seen_at.iter();
        let ages = ages.map(|(version, at)| OlderSighting { version: *version, age_ms: now - at });
        let older = ages.filter(|sighting| sighting.age_ms < QUIET_PERIOD_MS).collect();
        VersionAdvertisement { supported: self.supported, finalized: self.finalized, older }
    }

    /// Handles a relay's advertisement.
    ///
    /// # Errors
    /// [`SchemaVersionError::Finalized`] where the cluster is finalized at a version that is not supported
    /// here.
    pub fn handle_advertisement(
        &mut self,
        now: Millis,
        peer: u32,
        advertisement: &VersionAdvertisement,
    ) -> Result<(), SchemaVersionError> {
        if !self.is_other_relay(peer) {
            return Ok(());
        }
        let known = self.peers.entry(peer).or_default();
        *known = Peer {
            supported: advertisement.supported,
            advertised_at: now,
            advertisement_sent_at: known.advertisement_sent_at,
            ..Peer::default()
        };
        self.record_older(advertisement.supported.newest, now);
        self.merge(now, advertisement)
    }

    /// Merges the sightings and the finalized version of an advertisement.
    fn merge(&mut self, now: Millis, advertisement: &VersionAdvertisement) -> Result<(), SchemaVersionError> {
        for sighting in &advertisement.older {
            self.record_older(sighting.version, now - sighting.age_ms);
        }
        let finalized = advertisement.finalized;
        if finalized > self.supported.newest {
            return Err(SchemaVersionError::Finalized { finalized, supported: self.supported });
        }
        self.finalized = self.finalized.max(finalized);
        Ok(())
    }

    fn is_other_relay(&self, peer: u32) -> bool {
        peer < self.position.relay_count && peer != self.position.local_index
    }

    /// Handles a relay's version 1 datagram that came without an advertisement.
    pub fn handle_plain_message(&mut self, now: Millis, peer: u32) {
        if !self.is_other_relay(peer) {
            return;
        }
        let peer = self.peers.entry(peer).or_default();
        peer.unanswered_since = None;
        let advertised_ago = now - peer.advertised_at;
        if advertised_ago <= MIN_RESTART_MS {
            return;
        }
        let previous = peer.plain_message_at.replace(now);
        if peer.ignores_requests && previous.is_some_and(|at| now - at <= ADVERTISEMENT_TTL_MS) {
            self.record_older(SchemaVersion::FIRST, now);
        } else if peer.request.is_none() && advertised_ago > ADVERTISE_INTERVAL_MS + MIN_RESTART_MS {
            // A process that advertises does so with the first datagram in each interval: either it was
            // lost, or it has none. After a longer pause the relay may have been replaced, so what it was
            // before proves nothing.
            peer.request = Some(AdvertisementRequest { started_at: now, last_sent_at: f64::NEG_INFINITY });
        }
    }

    /// Records that a process which supports no newer version was alive at a time.
    fn record_older(&mut self, version: SchemaVersion, at: Millis) {
        if version < self.supported.newest {
            let latest = self.older_seen_at.entry(version).or_insert(at);
            *latest = latest.max(at);
        }
    }

    /// Whether a relay is to get an advertisement before the next version 1 datagram.
    pub fn is_advertisement_due(&self, now: Millis, peer: u32) -> bool {
        let known = self.peers.get(&peer);
        known.is_none_or(|peer| now - peer.advertisement_sent_at >= ADVERTISE_INTERVAL_MS)
    }

    /// Records that a relay was sent a datagram of this version, with or without an advertisement.
    pub fn record_sent(&mut self, now: Millis, peer: u32, version: SchemaVersion, with_advertisement: bool) {
        let peer = self.peers.entry(peer).or_default();
        if version > SchemaVersion::FIRST {
            peer.unanswered_since.get_or_insert(now);
        }
        if with_advertisement {
            peer.advertisement_sent_at = now;
        }
    }

    /// The advertisements due now, beside those that go with other datagrams.
    pub fn poll(&mut self, now: Millis) -> Vec<AdvertisementDue> {
        let mut due = Vec::new();
        self.poll_requests(now, &mut due);
        if now >= self.next_advertisement_at {
            self.next_advertisement_at = now + ADVERTISE_INTERVAL_MS;
            self.draw_peers(&mut due);
        }
        due
    }

    /// Draws the relays of a periodic advertisement: evenly spaced, so that neighbours reach different ones.
    fn draw_peers(&mut self, due: &mut Vec<AdvertisementDue>) {
        let RelayPosition { local_index, relay_count } = self.position;
        let others = relay_count.saturating_sub(1);
        let first = self.random_below(others);
        let step = (others / ADVERTISE_FANOUT).max(1);
        for n in 0..ADVERTISE_FANOUT.min(others) {
            let peer = (local_index + 1 + (first + n * step) % others) % relay_count;
            due.push(AdvertisementDue { peer, requests_reply: false });
        }
    }

    /// Repeats pending requests, and ends those that have timed out.
    fn poll_requests(&mut self, now: Millis, due: &mut Vec<AdvertisementDue>) {
        let mut seen_at = Vec::new();
        for (index, peer) in &mut self.peers {
            let Some(request) = &mut peer.request else { continue };
            if now - request.started_at >= REQUEST_TIMEOUT_MS {
                peer.request = None;
                peer.ignores_requests = true;
                seen_at.extend(peer.plain_message_at);
            } else if now - request.last_sent_at >= REQUEST_INTERVAL_MS {
                request.last_sent_at = now;
                due.push(AdvertisementDue { peer: *index, requests_reply: true });
            }
        }
        for at in seen_at {
            self.record_older(SchemaVersion::FIRST, at);
        }
    }

    /// In how many milliseconds [`VersionNegotiator::poll`] is to be called again.
    pub fn next_poll_in_ms(&self, now: Millis) -> Millis {
        let requests = self.peers.values().filter_map(|peer| peer.request);
        let request_times = requests.map(|request| {
            (request.last_sent_at + REQUEST_INTERVAL_MS).min(request.started_at + REQUEST_TIMEOUT_MS)
        });
        (request_times.fold(self.next_advertisement_at, f64::min) - now).max(1.0)
    }

    /// Ends the possibility to go back below the newest version, which it returns.
    ///
    /// # Errors
    /// [`SchemaVersionError::OlderAlive`] or [`SchemaVersionError::TooEarly`] while an older process may be
    /// alive.
    pub fn finalize(&mut self, now: Millis) -> Result<SchemaVersion, SchemaVersionError> {
        if let Some(OlderSighting { version, age_ms }) = self.oldest_sighting(now) {
            return Err(SchemaVersionError::OlderAlive { version, age_ms });
        }
        let remaining_ms = self.remaining_quiet_ms(now);
        if self.finalized < self.supported.newest && remaining_ms > 0.0 {
            return Err(SchemaVersionError::TooEarly { remaining_ms });
        }
        self.finalized = self.supported.newest;
        Ok(self.finalized)
    }

    /// How long this process has listened, for the process that takes over from it.
    pub fn listening_ms(&self, now: Millis) -> Millis {
        now - self.listening_since
    }

    /// Applies what the predecessor process knew: how long it listened, and what it advertised.
    ///
    /// # Errors
    /// [`SchemaVersionError::Finalized`] where the cluster is finalized at a version that is not supported
    /// here.
    pub fn resume(
        &mut self,
        now: Millis,
        listening_ms: Millis,
        advertisement: &VersionAdvertisement,
    ) -> Result<(), SchemaVersionError> {
        if listening_ms.is_finite() && listening_ms > 0.0 {
            self.listening_since = self.listening_since.min(now - listening_ms);
        }
        self.merge(now, advertisement)
    }

    /// A pseudo-random number by xorshift: it need only differ from relay to relay and from time to time.
    fn random_below(&mut self, bound: u32) -> u32 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state % u64::from(bound.max(1))) as u32
    }
}
