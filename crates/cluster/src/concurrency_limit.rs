//! How many set-ups may be out at once, while something that all endpoints depend on is slow.
//!
//! A shared store takes calls in turn. Once more are out than it answers within the wanted time, all wait, run
//! into their limit and are tried again: it works at full speed and serves hardly anybody. Every relay therefore
//! keeps its own part of what is out small, as TCP does with a window, by what it sees itself: set-ups that come late
//! at several endpoints. In a tier of hundreds one set-up a relay is too much already, so a window may lie below
//! one: it is then a pause between set-ups, and the sum over all relays still finds what the store can bear.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

/// Above this share of late set-ups and errors the fault is common to all endpoints.
const COMMON: f64 = 0.5;
/// The least window: a relay that sees nothing but lateness goes on trying this often.
const LEAST: f64 = 1.0 / 16.0;
/// A window is twice as wide after this long without a set-up that tells of it.
const REOPEN: Millis = 8000.0;
/// How long others' word of a common fault counts, and the window that it leaves at the least.
const WARNED: Millis = 1000.0;
const LOWEST: f64 = 0.25;
/// A set-up that takes less than this share of the wanted time has met no queue.
const QUICK: f64 = 0.25;

/// The window of one relay; see the load balancer's text.
///
/// ```
/// use sandgw_cluster::concurrency_limit::ConcurrencyLimit;
///
/// let mut pace = ConcurrencyLimit::new(0.0);
/// assert_eq!(pace.next(0.0, 100, 500.0), 0.0, "an open window");
/// // Set-ups come late at one endpoint after another: the fault is not theirs.
/// (1..=3).for_each(|endpoint| pace.late(1000.0, endpoint, 8, 500.0));
/// assert!(pace.common(0.0) && pace.queued());
/// assert_eq!(pace.next(1000.0, 4, 500.0), f64::INFINITY, "when one of the four has ended");
/// // Who waits behind others is told a time to come again.
/// assert!(pace.expected(1000.0, 4, 10, 500.0) > 500.0);
/// // A quick one opens it again.
/// pace.in_time(1010.0, 0.1);
/// assert!(!pace.queued());
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Share of set-ups that come late or fail, and the endpoint of the latest: a common fault shows at several.
    late_share: f64,
    late_at: Option<u64>,
    /// Whether the latest set-up has met a queue.
    queued: bool,
    /// Set-ups that may be out at once; below one, the part of the time in which one may be.
    window: f64,
    /// As of when: its latest cut, or the latest set-up in time.
    cut_at: Millis,
    /// When others last told of a fault that is common to all.
    warned_at: Millis,
    /// When the latest set-up was sent, and how long the pause after it is as a multiple of the usual.
    sent_at: Millis,
    jitter: f64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit::new(0.0)
    }
}

impl ConcurrencyLimit {
    /// An open window.
    pub fn new(now: Millis) -> Self {
        let (late_share, late_at, queued) = (0.0, None, false);
        let (window, cut_at, sent_at, jitter) = (f64::INFINITY, now, f64::NEG_INFINITY, 1.0);
        let warned_at = f64::NEG_INFINITY;
        ConcurrencyLimit { late_share, late_at, queued, window, cut_at, warned_at, sent_at, jitter }
    }

    /// Whether set-ups come late at several endpoints, so that the fault is not theirs.
    pub fn common(&self, now: Millis) -> bool {
        self.late_share > COMMON || now - self.warned_at < WARNED
    }

    /// Others tell that set-ups come late at several endpoints; `trying` are out here, `within` is the time in which
    /// the latest cut is still to show. Who has seen nothing of it himself goes down to a quarter, no further: of a
    /// queue that is longer than that he soon sees something.
    pub fn warned(&mut self, now: Millis, trying: u32, within: Millis) {
        self.warned_at = now;
        let window = self.window(now);
        if window > LOWEST && now - self.cut_at > within {
            self.window = (window.min(f64::from(trying.max(1))) / 2.0).max(LOWEST);
            self.cut_at = now;
        }
    }

    /// Whether the latest set-up has met a queue, here or behind all endpoints.
    pub fn queued(&self) -> bool {
        self.queued
    }

    /// A set-up was sent. The seed is the relay's own: pauses of relays that were cut together are not alike.
    ///
    /// ```
    /// # use sandgw_cluster::concurrency_limit::ConcurrencyLimit;
    /// let mut pace = ConcurrencyLimit::new(0.0);
    /// // Late again and again, each long after the latest cut: less than one may be out.
    /// (0..60).for_each(|n| pace.late(f64::from(n) * 600.0, u64::from(n % 2 == 0), 0, 500.0));
    /// pace.sent(36_000.0, 7);
    /// assert!(pace.next(36_000.0, 0, 500.0) > 0.0, "a pause between set-ups");
    /// ```
    pub fn sent(&mut self, now: Millis, seed: u64) {
        let drawn = xxh3_64_with_seed(&now.to_bits().to_le_bytes(), seed) >> 11;
        (self.sent_at, self.jitter) = (now, 0.5 + drawn as f64 / (1u64 << 53) as f64);
    }

    /// A set-up came within the wanted time, of which it took a share.
    pub fn in_time(&mut self, now: Millis, share: f64) {
        self.late_share -= self.late_share / 4.0;
        self.queued = share >= QUICK;
        // One more a round trip, and below one twice as often after each; nothing waits where one is quick.
        let window = self.window(now);
        let least = if self.queued || now - self.warned_at < WARNED { 0.0 } else { 1.0 };
        (self.window, self.cut_at) = ((window + (1.0 / window).min(window)).max(least), now);
    }

    /// The window now: what nothing new is known of opens again by itself.
    fn window(&self, now: Millis) -> f64 {
        self.window * ((now - self.cut_at).max(0.0) / REOPEN).exp2()
    }

    /// A set-up came late, not at all, or as an error. Seen at one endpoint it is that endpoint's fault; seen at
    /// several without one in time between it is common to all. `trying` are out besides; `within` is the time
    /// in which the latest cut is still to show.
    pub fn late(&mut self, now: Millis, endpoint: u64, trying: u32, within: Millis) {
        self.queued = true;
        if self.late_at != Some(endpoint) {
            self.late_share += (1.0 - self.late_share) / 4.0;
            self.late_at = Some(endpoint);
        }
        if self.common(now) && now - self.cut_at > within {
            self.window = (self.window(now).min(f64::from(trying.max(1))) / 2.0).max(LEAST);
            self.cut_at = now;
        }
    }

    /// In how long the next set-up may be sent when so many are out: at once (0), or when one has ended
    /// (endless). `each` is how long one takes at the most for the window to stay open.
    pub fn next(&self, now: Millis, trying: u32, each: Millis) -> Millis {
        let window = self.window(now);
        if window >= 1.0 || trying > 0 {
            return if f64::from(trying) < window { 0.0 } else { f64::INFINITY };
        }
        (self.sent_at + self.jitter * each / window - now).max(0.0)
    }

    /// In how long a connection may expect its turn when so many wait before it.
    pub fn expected(&self, now: Millis, trying: u32, waiting: usize, each: Millis) -> Millis {
        let next = self.next(now, trying, each);
        let window = self.window(now);
        let first = if next.is_finite() { next } else { each / window.max(1.0) };
        if first > 0.0 { first + waiting as f64 * each / window } else { 0.0 }
    }
}
