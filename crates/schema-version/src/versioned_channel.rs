//! Converts a relay's messages to datagrams and received datagrams to messages. Each message is sent in a
//! version that the receiver supports; received datagrams may be of any supported version.
//!
//! [`VersionedChannel`] owns the version negotiator and a queue of rows with the usage of tenants, which
//! version 1 can't carry. Its inputs are version 1 texts, rows, datagrams, and the time in milliseconds; its
//! outputs are datagrams, texts and rows. The caller sends the datagrams.
//!
//! While a relay is written to in version 1, only the latest rows for that relay stay queued. The first
//! version 2 datagram to the relay carries them, so a downgrade and a later upgrade lose only rows that newer
//! rows have replaced.

use std::collections::BTreeMap;

use sandgw_datagram::MAX_BYTES;

use crate::quota_rows::{QuotaRows, ROWS_PREFIX};
use crate::version_advertisement::PREFIX;
use crate::version_negotiator::{AdvertisementDue, VersionNegotiator};
use crate::versioned_message::{
    Downgraded, FIRST_VERSION_PREFIXES, SecondVersionParts, VersionedMessage, downgrade, upgrade,
};
use crate::{Millis, SchemaVersion, SchemaVersionError};

/// How long rows wait for a version 2 datagram with a text before they are sent in a separate datagram.
const ROWS_DELAY_MS: Millis = 200.0;
/// Follows an advertisement and asks the receiver for its advertisement.
const REQUEST_SUFFIX: &str = "|?";
/// The greatest length in bytes of a version 1 text that fits beside an advertisement without sightings and
/// its separator.
const MAX_TEXT_BYTES: usize = MAX_BYTES - 5;

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiving relay.
    pub peer: u32,
    /// The content.
    pub text: String,
}

/// Counters since the channel was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChannelCounters {
    /// Version 1 datagrams sent.
    pub sent_version_1: u64,
    /// Version 2 datagrams sent.
    pub sent_version_2: u64,
    /// Advertisements sent in separate datagrams.
    pub advertisements: u64,
    /// Bytes of advertisements sent, in separate datagrams or at the head of version 2 datagrams.
    pub advertisement_bytes: u64,
    /// Received datagrams that this process is too old to read or to accept.
    pub too_new: u64,
    /// Received datagrams that were truncated or altered.
    pub malformed: u64,
}

/// The content of a received datagram.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Received {
    /// The version 1 text, if the datagram has one.
    pub text: Option<String>,
    /// Rows with the usage of tenants, if the datagram has them.
    pub rows: Option<QuotaRows>,
}

/// Rows that wait for a version 2 datagram to the receiving relay.
#[derive(Clone, Debug)]
struct QueuedRows {
    queued_at: Millis,
    rows: QuotaRows,
}

/// The channel of this relay to all other relays; see the module documentation.
#[derive(Clone, Debug)]
pub struct VersionedChannel {
    /// Decides in which version each relay is written to.
    pub negotiator: VersionNegotiator,
    queued_rows: BTreeMap<u32, QueuedRows>,
    counters: ChannelCounters,
}

impl VersionedChannel {
    /// Creates a channel with nothing queued.
    pub fn new(negotiator: VersionNegotiator) -> VersionedChannel {
        let counters = ChannelCounters::default();
        VersionedChannel { negotiator, queued_rows: BTreeMap::new(), counters }
    }

    /// Returns the counters.
    pub fn counters(&self) -> ChannelCounters {
        self.counters
    }

    /// Queues rows for a relay until they can be sent. They replace the rows that were queued before.
    pub fn queue_rows(&mut self, now: Millis, peer: u32, rows: QuotaRows) {
        self.queued_rows.insert(peer, QueuedRows { queued_at: now, rows });
    }

    /// Adds a version 1 text to `out`, in the version that the relay supports. This is one datagram, or two
    /// if the relay is to get an advertisement first.
    ///
    /// ```
    /// use sandgw_schema_version::version_negotiator::{RelayPosition, VersionNegotiator};
    /// use sandgw_schema_version::versioned_channel::{Datagram, VersionedChannel};
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions};
    /// let supported = SupportedVersions::up_to(SchemaVersion::SECOND)?;
    /// let position = RelayPosition { local_index: 0, relay_count: 3 };
    /// let negotiator = VersionNegotiator::new(supported, SchemaVersion::FIRST, position, 7, 0.0)?;
    /// let mut channel = VersionedChannel::new(negotiator);
    /// let mut out = Vec::new();
    /// channel.send(0.0, 1, "1s a", &mut out);
    /// // Relay 1 has not advertised yet: it gets an advertisement, which old processes ignore, and version 1.
    /// let texts = ["3121", "1s a"].map(String::from);
    /// assert_eq!(out, texts.map(|text| Datagram { peer: 1, text }));
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn send(&mut self, now: Millis, peer: u32, text: &str, out: &mut Vec<Datagram>) {
        if self.negotiator.version_for(now, peer) >= SchemaVersion::SECOND
            && let Some(datagram) = self.encode_version_2(now, peer, text)
        {
            return self.send_version_2(now, peer, datagram, out);
        }
        if self.negotiator.is_advertisement_due(now, peer) {
            self.advertise(now, AdvertisementDue { peer, requests_reply: false }, out);
        }
        self.counters.sent_version_1 += 1;
        self.negotiator.record_sent(now, peer, SchemaVersion::FIRST, false);
        out.push(Datagram { peer, text: text.to_owned() });
    }

    /// Encodes a version 2 datagram with the text and the relay's queued rows. If they don't fit together,
    /// the rows stay queued and the datagram has as much of the text as fits.
    fn encode_version_2(&mut self, now: Millis, peer: u32, text: &str) -> Option<String> {
        let rows = self.queued_rows.get(&peer).map(|queued| queued.rows.clone());
        if let Some(datagram) = self.build_message(now, Some(text), rows).encode() {
            self.queued_rows.remove(&peer);
            return Some(datagram);
        }
        self.build_message(now, Some(truncate_to_fit(text)), None).encode()
    }

    /// Handles a datagram from a relay, and adds datagrams to be sent in reply to `out`.
    ///
    /// # Errors
    /// If the datagram can't be read, or if it says that the cluster is finalized at a version that this
    /// process does not support. Both are counted.
    pub fn receive(
        &mut self,
        now: Millis,
        peer: u32,
        text: &str,
        out: &mut Vec<Datagram>,
    ) -> Result<Received, SchemaVersionError> {
        let received = if text.starts_with(PREFIX) {
            self.receive_versioned(now, peer, text, out)
        } else {
            self.receive_plain(now, peer, text)
        };
        received.inspect_err(|error| self.count_error(error))
    }

    fn receive_versioned(
        &mut self,
        now: Millis,
        peer: u32,
        text: &str,
        out: &mut Vec<Datagram>,
    ) -> Result<Received, SchemaVersionError> {
        let body = text.strip_suffix(REQUEST_SUFFIX);
        let decoded = VersionedMessage::decode(body.unwrap_or(text));
        // A readable advertisement is handled even if the rest of the datagram can't be read: its sender is
        // alive and runs a newer version.
        let advertisement = match &decoded {
            Ok(message) => Some(&message.advertisement),
            Err(error) => error.advertisement.as_ref(),
        };
        let handled = advertisement
            .map_or(Ok(()), |advertisement| self.negotiator.handle_advertisement(now, peer, advertisement));
        if body.is_some() {
            self.advertise(now, AdvertisementDue { peer, requests_reply: false }, out);
        }
        let Downgraded { text, parts } = downgrade(decoded.map_err(|error| error.source)?);
        handled?;
        Ok(Received { text, rows: parts.rows })
    }

    /// Handles a datagram that has no advertisement.
    fn receive_plain(&mut self, now: Millis, peer: u32, text: &str) -> Result<Received, SchemaVersionError> {
        let received = match text.chars().next() {
            Some(prefix) if FIRST_VERSION_PREFIXES.contains(&prefix) => {
                Received { text: Some(text.to_owned()), rows: None }
            }
            // The sender is a process that reports usage but advertises nothing. It supports version 1 and
            // ignores all other datagrams.
            Some(ROWS_PREFIX) => Received { text: None, rows: Some(QuotaRows::new(text)?) },
            Some(prefix) => {
                return Err(SchemaVersionError::UnknownPart { prefix, newest: SchemaVersion::NEWEST });
            }
            None => return Err(SchemaVersionError::Malformed { bytes: 0, part: "the empty datagram" }),
        };
        self.negotiator.handle_plain_message(now, peer);
        Ok(received)
    }

    fn count_error(&mut self, error: &SchemaVersionError) {
        match error {
            SchemaVersionError::Malformed { .. }
            | SchemaVersionError::InvalidNumber { .. }
            | SchemaVersionError::EmptyRange { .. } => self.counters.malformed += 1,
            _ => self.counters.too_new += 1,
        }
    }

    /// Adds the datagrams that are due without a text to `out`: advertisements, and rows that have waited for
    /// at least `ROWS_DELAY_MS`.
    pub fn poll(&mut self, now: Millis, out: &mut Vec<Datagram>) {
        for due in self.negotiator.poll(now) {
            self.advertise(now, due, out);
        }
        for peer in self.peers_with_due_rows(now) {
            if self.negotiator.version_for(now, peer) >= SchemaVersion::SECOND {
                self.send_rows(now, peer, out);
            }
        }
    }

    fn peers_with_due_rows(&self, now: Millis) -> Vec<u32> {
        let due = self.queued_rows.iter().filter(|(_, queued)| now - queued.queued_at >= ROWS_DELAY_MS);
        due.map(|(peer, _)| *peer).collect()
    }

    fn send_rows(&mut self, now: Millis, peer: u32, out: &mut Vec<Datagram>) {
        let rows = self.queued_rows.remove(&peer).map(|queued| queued.rows);
        if let Some(datagram) = self.build_message(now, None, rows).encode() {
            self.send_version_2(now, peer, datagram, out);
        }
    }

    /// Returns in how many milliseconds [`VersionedChannel::poll`] is to be called again.
    pub fn next_poll_in_ms(&self, now: Millis) -> Millis {
        let reads_rows = |peer: &u32| self.negotiator.version_for(now, *peer) >= SchemaVersion::SECOND;
        let sendable = self.queued_rows.iter().filter(|(peer, _)| reads_rows(peer));
        let delays = sendable.map(|(_, queued)| queued.queued_at + ROWS_DELAY_MS - now);
        delays.fold(self.negotiator.next_poll_in_ms(now), f64::min).max(1.0)
    }

    fn build_message(&self, now: Millis, text: Option<&str>, rows: Option<QuotaRows>) -> VersionedMessage {
        let parts = SecondVersionParts { advertisement: self.negotiator.advertisement(now), rows };
        upgrade(Downgraded { text: text.map(str::to_owned), parts })
    }

    fn advertise(&mut self, now: Millis, due: AdvertisementDue, out: &mut Vec<Datagram>) {
        let AdvertisementDue { peer, requests_reply } = due;
        let mut text = self.negotiator.advertisement(now).encode();
        self.counters.advertisements += 1;
        self.counters.advertisement_bytes += text.len() as u64;
        self.negotiator.record_sent(now, peer, SchemaVersion::FIRST, true);
        if requests_reply {
            text += REQUEST_SUFFIX;
        }
        out.push(Datagram { peer, text });
    }

    fn send_version_2(&mut self, now: Millis, peer: u32, text: String, out: &mut Vec<Datagram>) {
        let separator = text.find('|').unwrap_or(text.len());
        self.counters.sent_version_2 += 1;
        self.counters.advertisement_bytes += separator as u64 + 1;
        self.negotiator.record_sent(now, peer, SchemaVersion::SECOND, true);
        out.push(Datagram { peer, text });
    }
}

/// Returns as many whole entries of a version 1 text as fit beside an advertisement. Only load samples can be
/// too long; their entries are sorted by size, so the smallest groups, which come last, are left out.
fn truncate_to_fit(text: &str) -> &str {
    if text.len() <= MAX_TEXT_BYTES {
        return text;
    }
    let end = text.get(..MAX_TEXT_BYTES).and_then(|head| head.rfind(' '));
    end.map_or(text, |end| &text[..end])
}
