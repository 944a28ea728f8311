//! Which form this process writes: the newest that all who are alive can read.
//!
//! [`VersionNegotiator`] owns what is known of the others' ranges. It is fed words, datagrams of form 1 without one, what was
//! sent, and the time; it gives the tier's form, the form for one relay, and to whom a word is due. It goes up
//! only after [`QUIET`] without a sign of an older process, down with the first sign, and never below what an
//! operator has finalized. It never needs to know who belongs to the tier, and no relay is more than another.
//!
//! A sign is a time: when a process that reads no more than form f was last heard of. Each word carries the
//! ages of the signs, and who hears it keeps the latest: so they spread as rumours do and lapse by themselves.
//! Toward one relay more caution holds, so that a wrong belief about the tier can't make anybody deaf: it
//! is sent no newer form than its own word named, nothing but form 1 while its word is old, once it has spoken
//! without one, and once it was sent something newer and was silent since.

use std::collections::BTreeMap;

use crate::version_advertisement::VersionAdvertisement;
use crate::{Millis, SchemaVersion, SchemaVersionError, SupportedVersions};

/// How long no older process may have been heard of before the tier goes up.
pub const QUIET: Millis = 20_000.0;
/// Pause between words to some of the others, and how many are told each time.
pub const TELL: Millis = 2000.0;
const TOLD: u32 = 3;
/// A relay's word holds so long.
pub const KNOWN: Millis = 8000.0;
/// A datagram without a word is its sender's that told one so shortly before; no process starts so quickly.
const BESIDE: Millis = 200.0;
/// Who speaks without a word, though it should have told one by now, is asked so often.
const ASK: Millis = 250.0;
/// Who was asked and has told no word after so long is taken as old.
pub const GRACE: Millis = 3000.0;
/// Something newer than form 1 shows that it was read by an answer within this.
const ANSWER: Millis = 1000.0;

/// What is known of one relay.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Its word, and when it came.
    range: SupportedVersions,
    told: Millis,
    /// It has spoken without one since.
    plain: Option<Millis>,
    /// It is asked for its word: since when, and when last.
    asked: Option<(Millis, Millis)>,
    /// It was asked and has none.
    silent: bool,
    /// The first datagram newer than form 1 that it was sent since it was heard.
    unanswered: Option<Millis>,
    /// When it was told a word.
    word: Millis,
}

impl Default for Peer {
    fn default() -> Self {
        Peer {
            range: SupportedVersions::SILENT,
            told: f64::NEG_INFINITY,
            plain: None,
            asked: None,
            silent: false,
            unanswered: None,
            word: f64::NEG_INFINITY,
        }
    }
}

/// To whom a word is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// The relay.
    pub peer: u32,
    /// It is asked for its own.
    pub asks: bool,
}

/// The decision; see the load balancer's text.
#[derive(Clone, Debug)]
pub struct VersionNegotiator {
    own: SupportedVersions,
    finalized: SchemaVersion,
    local_index: u32,
    relays: u32,
    /// Since when this process listens.
    since: Millis,
    /// When a process was last heard of that reads no newer form.
    older: BTreeMap<SchemaVersion, Millis>,
    peers: BTreeMap<u32, Peer>,
    /// When words are due next, and the draw of whom to tell.
    next: Millis,
    draw: u64,
}

impl VersionNegotiator {
    /// That of a process that starts now as number `local_index` of so many. It fails where this process can't read what was
    /// finalized.
    ///
    /// ```
    /// use sandgw_schema_version::{SchemaVersion, SupportedVersions, version_negotiator::{VersionNegotiator, QUIET}};
    /// let range = SupportedVersions::up_to(SchemaVersion::SECOND)?;
    /// let ladder = VersionNegotiator::new(range, SchemaVersion::FIRST, (0, 3), 7, 0.0)?;
    /// assert_eq!(ladder.form(QUIET - 1.0), SchemaVersion::FIRST);
    /// assert_eq!(ladder.form(QUIET), SchemaVersion::SECOND);
    /// assert!(VersionNegotiator::new(SupportedVersions::SILENT, SchemaVersion::SECOND, (0, 3), 7, 0.0).is_err());
    /// # Ok::<(), sandgw_schema_version::SchemaVersionError>(())
    /// ```
    pub fn new(
        own: SupportedVersions,
        finalized: SchemaVersion,
        (local_index, relays): (u32, u32),
        seed: u64,
        now: Millis,
    ) -> Result<VersionNegotiator, SchemaVersionError> {
        if finalized > own.newest {
            return Err(SchemaVersionError::Finalized { finalized, range: own });
        }
        let (older, peers) = (BTreeMap::new(), BTreeMap::new());
        Ok(VersionNegotiator {
            own,
            finalized,
            local_index,
            relays,
            since: now,
            older,
            peers,
            next: now,
            draw: seed | 1,
        })
    }

    /// The number of relays, and this one's among them, have changed.
    pub fn renumber(&mut self, local_index: u32, relays: u32) {
        (self.local_index, self.relays) = (local_index, relays);
        self.peers.retain(|peer, _| *peer < relays);
    }

    /// What this process reads.
    pub fn range(&self) -> SupportedVersions {
        self.own
    }

    /// The form below which nothing is written any more.
    pub fn finalized(&self) -> SchemaVersion {
        self.finalized
    }

    /// The form that the tier writes, as far as this process has heard.
    pub fn form(&self, now: Millis) -> SchemaVersion {
        let sign = self.sign(now).map(|(form, _)| form);
        let waits = (now - self.since < QUIET).then_some(self.own.oldest);
        sign.into_iter().chain(waits).min().unwrap_or(self.own.newest).max(self.floor())
    }

    /// The oldest process heard of lately that reads less than this one: its newest form, and how long ago.
    pub fn sign(&self, now: Millis) -> Option<(SchemaVersion, Millis)> {
        let ages = self.signs().map(|(form, at)| (form, now - at));
        ages.filter(|(_, age)| *age < QUIET).min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
    }

    /// Forms less than this process reads, and when a process was last heard of that reads no newer one.
    fn signs(&self) -> impl Iterator<Item = (SchemaVersion, Millis)> {
        // Who was silent before and is asked again counts here, and is told on only once that is certain.
        let silent =
            self.peers.values().filter(|p| p.silent).filter_map(|p| Some((SchemaVersion::FIRST, p.plain?)));
        let signs = self.older.iter().map(|(form, at)| (*form, *at)).chain(silent);
        signs.filter(|(form, _)| *form < self.own.newest)
    }

    /// Relays that were heard lately and read less than this one.
    pub fn behind(&self, now: Millis) -> Vec<u32> {
        let lately = |at: Millis| now - at < QUIET;
        let less = |p: &Peer| {
            p.silent && p.plain.is_some_and(lately) || p.range.newest < self.own.newest && lately(p.told)
        };
        self.peers.iter().filter(|(_, p)| less(p)).map(|(peer, _)| *peer).collect()
    }

    /// How long it listens yet before it may go up.
    pub fn waits(&self, now: Millis) -> Millis {
        let sign = self.signs().fold(self.since, |latest, (_, at)| latest.max(at));
        (QUIET - (now - sign)).max(0.0)
    }

    fn floor(&self) -> SchemaVersion {
        self.finalized.max(self.own.oldest)
    }

    /// The form in which a relay is written to now.
    pub fn form_for(&self, now: Millis, peer: u32) -> SchemaVersion {
        let floor = self.floor();
        let Some(p) = self.peers.get(&peer) else { return floor };
        let deaf = p.unanswered.is_some_and(|at| now - at >= ANSWER);
        if now - p.told > KNOWN || p.plain.is_some() || deaf {
            return floor;
        }
        self.form(now).min(p.range.newest).max(floor)
    }

    /// What this process tells of itself.
    pub fn word(&self, now: Millis) -> VersionAdvertisement {
        let ages = self.older.iter().map(|(form, at)| (*form, now - at));
        let older = ages.filter(|(_, age)| *age < QUIET).collect();
        VersionAdvertisement { range: self.own, finalized: self.finalized, older }
    }

    /// Takes a relay's word. It fails where the tier was finalized at a form that this process can't read.
    pub fn told(
        &mut self,
        now: Millis,
        peer: u32,
        word: &VersionAdvertisement,
    ) -> Result<(), SchemaVersionError> {
        if peer >= self.relays || peer == self.local_index {
            return Ok(());
        }
        let p = self.peers.entry(peer).or_default();
        *p = Peer { range: word.range, told: now, word: p.word, ..Peer::default() };
        self.sign_of(word.range.newest, now);
        for (form, ago) in &word.older {
            self.sign_of(*form, now - ago);
        }
        if word.finalized > self.own.newest {
            return Err(SchemaVersionError::Finalized { finalized: word.finalized, range: self.own });
        }
        self.finalized = self.finalized.max(word.finalized);
        Ok(())
    }

    /// A relay was heard without a word, in form 1.
    pub fn plain(&mut self, now: Millis, peer: u32) {
        if peer >= self.relays || peer == self.local_index {
            return;
        }
        let p = self.peers.entry(peer).or_default();
        p.unanswered = None;
        if now - p.told <= BESIDE {
            return;
        }
        let before = p.plain.replace(now);
        if p.silent && before.is_some_and(|at| now - at <= KNOWN) {
            self.sign_of(SchemaVersion::FIRST, now);
        } else if p.asked.is_none() && now - p.told > TELL + BESIDE {
            // Whoever has a word tells it with the first datagram in [`TELL`]: it was lost, or there is none. What
            // it was says little of what it is, after a pause in which it may have been replaced.
            p.asked = Some((now, f64::NEG_INFINITY));
        }
    }

    /// A process that reads no newer form was alive then.
    fn sign_of(&mut self, form: SchemaVersion, at: Millis) {
        if form < self.own.newest {
            let latest = self.older.entry(form).or_insert(at);
            *latest = latest.max(at);
        }
    }

    /// Whether a relay is to be told a word before the next datagram of form 1.
    pub fn is_due(&self, now: Millis, peer: u32) -> bool {
        self.peers.get(&peer).is_none_or(|p| now - p.word >= TELL)
    }

    /// A relay was sent a datagram of this form, with a word or without.
    pub fn sent(&mut self, now: Millis, peer: u32, form: SchemaVersion, word: bool) {
        let p = self.peers.entry(peer).or_default();
        if form > SchemaVersion::FIRST {
            p.unanswered.get_or_insert(now);
        }
        if word {
            p.word = now;
        }
    }

    /// To whom a word is due now, beside those that are sent something anyway.
    pub fn due(&mut self, now: Millis, out: &mut Vec<Due>) {
        self.ask(now, out);
        if now < self.next {
            return;
        }
        self.next = now + TELL;
        let others = self.relays.saturating_sub(1);
        let first = self.drawn(others);
        // A part of the tier apart, so that neighbours tell different ones.
        let step = (others / TOLD).max(1);
        for n in 0..TOLD.min(others) {
            let peer = (self.local_index + 1 + (first + n * step) % others) % self.relays;
            out.push(Due { peer, asks: false });
        }
    }

    fn ask(&mut self, now: Millis, out: &mut Vec<Due>) {
        let mut signs = Vec::new();
        for (peer, p) in &mut self.peers {
            let Some((since, last)) = p.asked else { continue };
            if now - since >= GRACE {
                (p.asked, p.silent) = (None, true);
                signs.extend(p.plain);
            } else if now - last >= ASK {
                p.asked = Some((since, now));
                out.push(Due { peer: *peer, asks: true });
            }
        }
        signs.into_iter().for_each(|at| self.sign_of(SchemaVersion::FIRST, at));
    }

    /// In how long [`VersionNegotiator::due`] is to be called again.
    pub fn timer(&self, now: Millis) -> Millis {
        let ask = |(since, last): (Millis, Millis)| (last + ASK).min(since + GRACE);
        let asks = self.peers.values().filter_map(|p| p.asked).map(ask);
        (asks.fold(self.next, f64::min) - now).max(1.0)
    }

    /// Ends the possibility to go back below the newest form. It fails while an older process may be alive.
    pub fn finalize(&mut self, now: Millis) -> Result<SchemaVersion, SchemaVersionError> {
        if let Some((form, ago)) = self.sign(now) {
            return Err(SchemaVersionError::OlderAlive { form, ago });
        }
        if self.finalized < self.own.newest && self.waits(now) > 0.0 {
            return Err(SchemaVersionError::TooEarly { left: self.waits(now) });
        }
        self.finalized = self.own.newest;
        Ok(self.finalized)
    }

    /// How long this process has listened, for the one that takes its relay over.
    pub fn listened(&self, now: Millis) -> Millis {
        now - self.since
    }

    /// Takes what the process before knew: it has listened for so long, and this was its word.
    pub fn resume(
        &mut self,
        now: Millis,
        listened: Millis,
        word: &VersionAdvertisement,
    ) -> Result<(), SchemaVersionError> {
        if listened.is_finite() && listened > 0.0 {
            self.since = self.since.min(now - listened);
        }
        word.older.iter().for_each(|(form, ago)| self.sign_of(*form, now - ago));
        if word.finalized > self.own.newest {
            return Err(SchemaVersionError::Finalized { finalized: word.finalized, range: self.own });
        }
        self.finalized = self.finalized.max(word.finalized);
        Ok(())
    }

    fn drawn(&mut self, of: u32) -> u32 {
        // Xorshift: it need only differ from relay to relay and from time to time.
        self.draw ^= self.draw << 13;
        self.draw ^= self.draw >> 7;
        self.draw ^= self.draw << 17;
        (self.draw % u64::from(of.max(1))) as u32
    }
}
