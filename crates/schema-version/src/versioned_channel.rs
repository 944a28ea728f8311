//! What stands between a relay's messages and its datagrams: each goes out in the form that its reader reads, and
//! comes in whatever form it has.
//!
//! [`VersionedChannel`] owns the ladder and what form 1 can't say yet. It is fed texts of form 1, rows of shares, datagrams
//! and the time; it gives datagrams, texts and rows. It sends nothing itself.
//!
//! Rows are kept aside by relay, the latest only, for as long as that relay is written to in form 1, and go with
//! the first datagram of form 2 to it: nothing is lost by going down and up again but what newer rows have replaced.

use std::collections::BTreeMap;

use crate::compatibility_table::{QuotaRows, ROWS};
use crate::version_advertisement::MARK;
use crate::version_negotiator::{Due, VersionNegotiator};
use crate::versioned_message::{Aside, MOST_BYTES, VersionedMessage, down, up};
use crate::{Millis, SchemaVersion, SchemaVersionError};

/// Rows wait this long for a datagram that they can go with.
const WAIT: Millis = 200.0;

/// A datagram's relay and text.
pub type Datagrams = Vec<(u32, String)>;

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams of form 1 sent.
    pub first: u64,
    /// Datagrams of form 2 sent.
    pub second: u64,
    /// Words sent alone, and their bytes.
    pub words: u64,
    /// Bytes of words, alone or at the head of others.
    pub word_bytes: u64,
    /// Datagrams of a form to come.
    pub future: u64,
    /// Datagrams cut short or altered.
    pub cut: u64,
}

/// What a datagram said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Received {
    /// A text of form 1.
    pub text: Option<String>,
    /// Rows of the members' shares.
    pub shares: Option<QuotaRows>,
}

/// See the load balancer's text.
#[derive(Clone, Debug)]
pub struct VersionedChannel {
    /// Which form is written.
    pub ladder: VersionNegotiator,
    aside: BTreeMap<u32, (Millis, QuotaRows)>,
    counts: Counts,
}

impl VersionedChannel {
    /// One that has nothing to send.
    pub fn new(ladder: VersionNegotiator) -> VersionedChannel {
        VersionedChannel { ladder, aside: BTreeMap::new(), counts: Counts::default() }
    }

    /// Totals since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Keeps rows for a relay until they can go; those kept before give way.
    pub fn keep(&mut self, now: Millis, peer: u32, shares: QuotaRows) {
        self.aside.insert(peer, (now, shares));
    }

    /// Sends a text of form 1 in the form that the relay reads; one datagram, or up to three where they need be.
    ///
    /// ```
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions, version_negotiator::VersionNegotiator, versioned_channel::VersionedChannel};
    /// let ladder = VersionNegotiator::new(SupportedVersions::up_to(SchemaVersion::SECOND)?, SchemaVersion::FIRST, (0, 3), 7, 0.0)?;
    /// let (mut post, mut out) = (VersionedChannel::new(ladder), Vec::new());
    /// post.send(0.0, 1, "1s a", &mut out);
    /// // Nothing is known of relay 1: it gets the word, which an old process passes over, and form 1.
    /// assert_eq!(out, [(1, "3121".to_owned()), (1, "1s a".to_owned())]);
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn send(&mut self, now: Millis, peer: u32, text: &str, out: &mut Datagrams) {
        if self.ladder.form_for(now, peer) >= SchemaVersion::SECOND {
            let shares = self.aside.get(&peer).map(|(_, shares)| shares.clone());
            let whole = self.envelope(now, Some(text.to_owned()), shares);
            if let Some(whole) = whole.write() {
                self.aside.remove(&peer);
                return self.push(now, peer, SchemaVersion::SECOND, whole, out);
            }
            let part = self.envelope(now, Some(fitting(text).to_owned()), None);
            if let Some(part) = part.write() {
                return self.push(now, peer, SchemaVersion::SECOND, part, out);
            }
        }
        if self.ladder.is_due(now, peer) {
            self.say(now, peer, false, out);
        }
        self.push(now, peer, SchemaVersion::FIRST, text.to_owned(), out);
    }

    /// Takes a datagram of a relay; what is to be sent in answer is added.
    pub fn receive(
        &mut self,
        now: Millis,
        peer: u32,
        text: &str,
        out: &mut Datagrams,
    ) -> Result<Received, SchemaVersionError> {
        if !text.starts_with(MARK) {
            return self.plain(now, peer, text);
        }
        let (text, asks) = match text.strip_suffix("|?") {
            Some(word) => (word, true),
            None => (text, false),
        };
        let read = VersionedMessage::read(text);
        let word = read.as_ref().map_or_else(|(word, _)| word.as_ref(), |envelope| Some(&envelope.word));
        // A word counts though what follows it can't be read: its sender is alive and newer.
        let told = word.map(|word| self.ladder.told(now, peer, word)).transpose();
        if asks {
            self.say(now, peer, false, out);
        }
        let (text, aside) = down(read.map_err(|(_, e)| self.count(e))?);
        told.map_err(|e| self.count(e))?;
        Ok(Received { text, shares: aside.shares })
    }

    fn plain(&mut self, now: Millis, peer: u32, text: &str) -> Result<Received, SchemaVersionError> {
        match text.chars().next() {
            Some('1' | '2') => {
                self.ladder.plain(now, peer);
                Ok(Received { text: Some(text.to_owned()), shares: None })
            }
            // Of a process that tells shares and no word: it reads form 1, and passes over what it can't.
            Some(ROWS) => {
                let shares = QuotaRows::new(text).map_err(|e| self.count(e))?;
                self.ladder.plain(now, peer);
                Ok(Received { text: None, shares: Some(shares) })
            }
            Some(letter) => {
                Err(self.count(SchemaVersionError::Unknown { letter, newest: SchemaVersion::NEWEST }))
            }
            None => Err(self.count(SchemaVersionError::Cut { bytes: 0, part: "all of it" })),
        }
    }

    fn count(&mut self, e: SchemaVersionError) -> SchemaVersionError {
        match &e {
            SchemaVersionError::Cut { .. }
            | SchemaVersionError::NoForm { .. }
            | SchemaVersionError::Backwards { .. } => self.counts.cut += 1,
            _ => self.counts.future += 1,
        }
        e
    }

    /// What is due without a text: words, and rows that have waited.
    pub fn due(&mut self, now: Millis, out: &mut Datagrams) {
        let mut due = Vec::new();
        self.ladder.due(now, &mut due);
        due.into_iter().for_each(|Due { peer, asks }| self.say(now, peer, asks, out));
        let ripe = |(peer, (at, _)): (&u32, &(Millis, QuotaRows))| (now - at >= WAIT).then_some(*peer);
        let ripe: Vec<u32> = self.aside.iter().filter_map(ripe).collect();
        for peer in ripe {
            if self.ladder.form_for(now, peer) < SchemaVersion::SECOND {
                continue;
            }
            let shares = self.aside.remove(&peer).map(|(_, shares)| shares);
            if let Some(rows) = self.envelope(now, None, shares).write() {
                self.push(now, peer, SchemaVersion::SECOND, rows, out);
            }
        }
    }

    /// In how long [`VersionedChannel::due`] is to be called again.
    pub fn timer(&self, now: Millis) -> Millis {
        let able = |peer: &u32| self.ladder.form_for(now, *peer) >= SchemaVersion::SECOND;
        let rows = self.aside.iter().filter(|(peer, _)| able(peer)).map(|(_, (at, _))| at + WAIT - now);
        rows.fold(self.ladder.timer(now), f64::min).max(1.0)
    }

    fn envelope(&self, now: Millis, text: Option<String>, shares: Option<QuotaRows>) -> VersionedMessage {
        up(text, Aside { word: self.ladder.word(now), shares })
    }

    fn say(&mut self, now: Millis, peer: u32, asks: bool, out: &mut Datagrams) {
        let word = self.ladder.word(now).text();
        self.counts.words += 1;
        self.counts.word_bytes += word.len() as u64;
        self.ladder.sent(now, peer, SchemaVersion::FIRST, true);
        out.push((peer, if asks { word + "|?" } else { word }));
    }

    fn push(&mut self, now: Millis, peer: u32, form: SchemaVersion, text: String, out: &mut Datagrams) {
        let newer = form > SchemaVersion::FIRST;
        if newer {
            self.counts.second += 1;
            self.counts.word_bytes += text.find('|').unwrap_or(text.len()) as u64 + 1;
        } else {
            self.counts.first += 1;
        }
        self.ladder.sent(now, peer, form, newer);
        out.push((peer, text));
    }
}

/// As much of a text of form 1 as fits beside a word. Only samples are ever longer, and the groups at their end are
/// their smallest.
fn fitting(text: &str) -> &str {
    const ROOM: usize = MOST_BYTES - 5;
    let end = if text.len() <= ROOM { Some(text.len()) } else { text.get(..ROOM).and_then(|t| t.rfind(' ')) };
    end.map_or(text, |end| &text[..end])
}
