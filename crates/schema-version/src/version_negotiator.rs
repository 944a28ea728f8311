//! Decides which schema version this process writes: the newest that all live processes support.
//!
//! [`VersionNegotiator`] records which versions the other relays support. Its inputs are advertisements,
//! version 1 datagrams without an advertisement, the datagrams that were sent, and the time in milliseconds.
//! Its outputs are the cluster's version, the version for each relay, and the relays to which an
//! advertisement is due. It upgrades only after [`QUIET_PERIOD_MS`] without a sighting of an older process,
//! downgrades at the first sighting, and never goes below the version that an operator has finalized. It
//! does not need to know which relays belong to the cluster, and no relay has a special role.
//!
//! A sighting is the time when a process that supports no version newer than a given one was last seen. Each
//! advertisement carries the ages of the sender's sightings, and each receiver keeps the latest sighting for
//! each version. Sightings thus spread by gossip, and they expire at every relay without being withdrawn.
//!
//! Stricter rules apply to the version for a single relay, so that a relay can read its datagrams even if the
//! cluster's version is assumed wrongly. A relay gets no newer version than it advertised. It gets version 1,
//! or the finalized version if that is newer, in three cases: its advertisement has expired, it has sent a
//! datagram without an advertisement, or it was sent a version newer than 1 and has not responded.

use std::collections::BTreeMap;

use crate::version_advertisement::{OlderSighting, VersionAdvertisement};
use crate::{Millis, SchemaVersion, SchemaVersionError, SupportedVersions};

/// The time without a sighting of an older process after which the cluster upgrades.
pub const QUIET_PERIOD_MS: Millis = 20_000.0;
/// The interval between periodic advertisements to a few relays drawn at random. A version 1 datagram to a
/// relay is preceded by an advertisement only if that relay was sent none within this interval.
pub const ADVERTISE_INTERVAL_MS: Millis = 2000.0;
/// The number of relays that get each periodic advertisement.
const ADVERTISE_FANOUT: u32 = 3;
/// How long a relay's advertisement is valid.
pub const ADVERTISEMENT_TTL_MS: Millis = 8000.0;
/// A relay process takes longer than this to restart. A datagram without an advertisement that arrives at
/// most this long after an advertisement therefore comes from the process that advertised.
const MIN_RESTART_MS: Millis = 200.0;
/// The interval between requests to a relay for its advertisement.
const REQUEST_INTERVAL_MS: Millis = 250.0;
/// A relay that has sent no advertisement this long after the first request counts as a relay that supports
/// only version 1.
pub const REQUEST_TIMEOUT_MS: Millis = 3000.0;
/// A relay that was sent a version newer than 1 must send a datagram within this time, or it counts as
/// unresponsive.
const RESPONSE_TIMEOUT_MS: Millis = 1000.0;

/// The position of a relay in its cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPosition {
    /// The index of the relay, from 0.
    pub local_index: u32,
    /// The number of relays in the cluster.
    pub relay_count: u32,
}

/// A pending request for a relay's advertisement.
#[derive(Clone, Copy, Debug)]
struct AdvertisementRequest {
    started_at: Millis,
    last_sent_at: Millis,
}

/// What this process knows about one other relay.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// The versions that the relay advertised last.
    supported: SupportedVersions,
    advertised_at: Millis,
    /// When the relay last sent a datagram without an advertisement since `advertised_at`, if it did.
    plain_message_at: Option<Millis>,
    request: Option<AdvertisementRequest>,
    /// Whether the last request for the relay's advertisement timed out.
    ignores_requests: bool,
    /// When the relay was sent the first datagram newer than version 1 since its last datagram, if it was.
    unanswered_since: Option<Millis>,
    /// When the relay was last sent an advertisement.
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

/// An advertisement that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdvertisementDue {
    /// The receiving relay.
    pub peer: u32,
    /// Whether the receiver is asked for its own advertisement.
    pub requests_reply: bool,
}

/// Negotiates the schema version of this process with all other relays; see the module documentation.
#[derive(Clone, Debug)]
pub struct VersionNegotiator {
    supported: SupportedVersions,
    finalized: SchemaVersion,
    position: RelayPosition,
    listening_since: Millis,
    /// For each version, when a process that supports no newer version was last seen.
    older_seen_at: BTreeMap<SchemaVersion, Millis>,
    peers: BTreeMap<u32, Peer>,
    next_advertisement_at: Millis,
    random_state: u64,
}

impl VersionNegotiator {
    /// Creates the negotiator of a process that starts now.
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
    /// [`SchemaVersionError::Finalized`] if this process does not support the finalized version.
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

    /// Applies a change of this relay's index or of the number of relays.
    pub fn set_position(&mut self, position: RelayPosition) {
        self.position = position;
        self.peers.retain(|peer, _| *peer < position.relay_count);
    }

    /// Returns the versions that this process supports.
    pub fn supported(&self) -> SupportedVersions {
        self.supported
    }

    /// Returns the finalized version: no process writes an older version any more.
    pub fn finalized(&self) -> SchemaVersion {
        self.finalized
    }

    /// Returns the version that the cluster writes, as far as this process knows.
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

    /// Returns the sighting of the oldest process that was seen within the quiet period and does not support
    /// this process's newest version, if there is one.
    pub fn oldest_sighting(&self, now: Millis) -> Option<OlderSighting> {
        let sightings =
            self.older_sightings().map(|(version, at)| OlderSighting { version, age_ms: now - at });
        sightings
            .filter(|sighting| sighting.age_ms < QUIET_PERIOD_MS)
            .min_by(|a, b| a.version.cmp(&b.version).then(a.age_ms.total_cmp(&b.age_ms)))
    }

    /// Returns versions below the newest of this process, and for each the time when a process that supports
    /// no newer version was last seen. A version may occur more than once.
    fn older_sightings(&self) -> impl Iterator<Item = (SchemaVersion, Millis)> {
        // A relay that ignored a request and is being asked again counts as a sighting here, but it is
        // advertised to other relays only after the new request has timed out too.
        let ignoring = self.peers.values().filter(|peer| peer.ignores_requests);
        let ignoring = ignoring.filter_map(|peer| Some((SchemaVersion::FIRST, peer.plain_message_at?)));
        let recorded = self.older_seen_at.iter().map(|(version, at)| (*version, *at));
        recorded.chain(ignoring).filter(|(version, _)| *version < self.supported.newest)
    }

    /// Returns the relays that sent a datagram within the quiet period and don't support this process's
    /// newest version.
    pub fn outdated_peers(&self, now: Millis) -> Vec<u32> {
        let is_recent = |at: Millis| now - at < QUIET_PERIOD_MS;
        let is_outdated = |peer: &Peer| {
            peer.ignores_requests && peer.plain_message_at.is_some_and(is_recent)
                || peer.supported.newest < self.supported.newest && is_recent(peer.advertised_at)
        };
        self.peers.iter().filter(|(_, peer)| is_outdated(peer)).map(|(index, _)| *index).collect()
    }

    /// Returns the remaining part of the quiet period before an upgrade, or 0 if it is over.
    pub fn remaining_quiet_ms(&self, now: Millis) -> Millis {
        let last_seen = self.older_sightings().fold(self.listening_since, |latest, (_, at)| latest.max(at));
        (QUIET_PERIOD_MS - (now - last_seen)).max(0.0)
    }

    fn min_version(&self) -> SchemaVersion {
        self.finalized.max(self.supported.oldest)
    }

    /// Returns the version in which this process writes to one relay.
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

    /// Returns this process's advertisement.
    pub fn advertisement(&self, now: Millis) -> VersionAdvertisement {
        let sightings = self.older_seen_at.iter();
        let sightings = sightings.map(|(version, at)| OlderSighting { version: *version, age_ms: now - at });
        let older_sightings = sightings.filter(|sighting| sighting.age_ms < QUIET_PERIOD_MS).collect();
        VersionAdvertisement { supported: self.supported, finalized: self.finalized, older_sightings }
    }

    /// Handles a relay's advertisement.
    ///
    /// # Errors
    /// [`SchemaVersionError::Finalized`] if the cluster is finalized at a version that this process does not
    /// support.
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
        self.record_sighting(advertisement.supported.newest, now);
        self.merge(now, advertisement)
    }

    /// Merges the sightings and the finalized version of an advertisement.
    fn merge(&mut self, now: Millis, advertisement: &VersionAdvertisement) -> Result<(), SchemaVersionError> {
        for sighting in &advertisement.older_sightings {
            self.record_sighting(sighting.version, now - sighting.age_ms);
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

    /// Handles a relay's version 1 datagram, which has no advertisement.
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
            self.record_sighting(SchemaVersion::FIRST, now);
        } else if peer.request.is_none() && advertised_ago > ADVERTISE_INTERVAL_MS + MIN_RESTART_MS {
            // A process that advertises sends an advertisement ahead of its first datagram in each interval.
            // Here that advertisement was lost, or the process does not advertise. After a longer pause the
            // relay's process may have been replaced, so an earlier advertisement proves nothing.
            peer.request = Some(AdvertisementRequest { started_at: now, last_sent_at: f64::NEG_INFINITY });
        }
    }

    /// Records that a process which supports no newer version than `version` was alive at a time.
    fn record_sighting(&mut self, version: SchemaVersion, at: Millis) {
        if version < self.supported.newest {
            let latest = self.older_seen_at.entry(version).or_insert(at);
            *latest = latest.max(at);
        }
    }

    /// Returns whether a relay is to get an advertisement before the next version 1 datagram.
    pub fn is_advertisement_due(&self, now: Millis, peer: u32) -> bool {
        let known = self.peers.get(&peer);
        known.is_none_or(|peer| now - peer.advertisement_sent_at >= ADVERTISE_INTERVAL_MS)
    }

    /// Records that a relay was sent a datagram of a version, with or without an advertisement.
    pub fn record_sent(&mut self, now: Millis, peer: u32, version: SchemaVersion, with_advertisement: bool) {
        let peer = self.peers.entry(peer).or_default();
        if version > SchemaVersion::FIRST {
            peer.unanswered_since.get_or_insert(now);
        }
        if with_advertisement {
            peer.advertisement_sent_at = now;
        }
    }

    /// Returns the advertisements that are due now, apart from those that accompany other datagrams.
    pub fn poll(&mut self, now: Millis) -> Vec<AdvertisementDue> {
        let mut due = Vec::new();
        self.poll_requests(now, &mut due);
        if now >= self.next_advertisement_at {
            self.next_advertisement_at = now + ADVERTISE_INTERVAL_MS;
            self.draw_peers(&mut due);
        }
        due
    }

    /// Draws the relays that get a periodic advertisement. They are evenly spaced, so that relays with
    /// neighbouring indices reach different relays.
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

    /// Repeats pending requests for advertisements, and ends requests that have timed out.
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
            self.record_sighting(SchemaVersion::FIRST, at);
        }
    }

    /// Returns in how many milliseconds [`VersionNegotiator::poll`] is to be called again.
    pub fn next_poll_in_ms(&self, now: Millis) -> Millis {
        let requests = self.peers.values().filter_map(|peer| peer.request);
        let request_times = requests.map(|request| {
            (request.last_sent_at + REQUEST_INTERVAL_MS).min(request.started_at + REQUEST_TIMEOUT_MS)
        });
        (request_times.fold(self.next_advertisement_at, f64::min) - now).max(1.0)
    }

    /// Finalizes the newest version that this process supports, and returns it. The cluster can't go back
    /// below it afterwards.
    ///
    /// # Errors
    /// [`SchemaVersionError::OlderAlive`] if an older process was seen within the quiet period;
    /// [`SchemaVersionError::TooEarly`] if this process has not listened for a whole quiet period and the
    /// version is not finalized yet.
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

    /// Returns how long this process has listened for older processes, to hand over to its successor.
    pub fn listening_ms(&self, now: Millis) -> Millis {
        now - self.listening_since
    }

    /// Applies the predecessor process's knowledge: how long it listened, and its advertisement.
    ///
    /// # Errors
    /// [`SchemaVersionError::Finalized`] if the cluster is finalized at a version that this process does not
    /// support.
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

    /// Returns a pseudo-random number below `bound`, by xorshift. The numbers need only differ between relays
    /// and between calls.
    fn random_below(&mut self, bound: u32) -> u32 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state % u64::from(bound.max(1))) as u32
    }
}
