//! How many set-ups a relay may have in flight while something that all endpoints depend on is slow.
//!
//! A shared store takes calls in turn. Once more are in flight than it answers within the latency
//! objective, all wait, time out and are retried: it works at full speed and serves hardly anybody. Every
//! relay therefore keeps a window of set-ups in flight, as TCP does, by what it observes itself: set-ups
//! that are late at several endpoints. In a cluster of hundreds one set-up a relay is too much already, so
//! a window may be below one: it is then a pause between set-ups, and the sum over all relays still
//! converges to what the store can bear.
//!
//! Inputs are the time, the set-ups in flight and how each set-up ended, all times in milliseconds; outputs
//! are the time until the next slot and whether the fault is common. It never sends, queues or rejects
//! anything itself.

use sandgw_units::random::{hash_of_time, unit_fraction};

use crate::Millis;

/// Above this fraction of late set-ups and errors the fault is common to all endpoints.
const COMMON_FAULT_LATE_FRACTION: f64 = 0.5;
/// Weight of one set-up in the moving average of late ones, as a divisor.
const LATE_FRACTION_DIVISOR: f64 = 4.0;
/// The window never falls below this: a relay that observes nothing but lateness goes on trying this often.
const MIN_WINDOW: f64 = 1.0 / 16.0;
/// Without any observation the window doubles in this time.
const REOPEN_DOUBLING_MS: Millis = 8000.0;
/// How long a peer's warning of a common fault counts.
const PEER_WARNING_TTL_MS: Millis = 1000.0;
/// A peer's warning alone never cuts the window below this.
const MIN_WINDOW_AFTER_PEER_WARNING: f64 = 0.25;
/// A set-up that takes less than this fraction of the latency objective has met no queue.
const UNQUEUED_FRACTION_OF_OBJECTIVE: f64 = 0.25;
/// The pause between two set-ups is jittered from this factor up to this factor plus one.
const MIN_PAUSE_JITTER: f64 = 0.5;

/// The window of set-ups in flight at one relay.
///
/// ```
/// use sandgw_cluster::concurrency_limit::ConcurrencyLimit;
///
/// let mut limit = ConcurrencyLimit::new(0.0);
/// assert_eq!(limit.time_until_slot(0.0, 100, 500.0), 0.0, "an open window");
/// // Set-ups are late at one endpoint after another: the fault is not theirs.
/// (1..=3).for_each(|endpoint| limit.record_late(1000.0, endpoint, 8, 500.0));
/// assert!(limit.fault_is_common(0.0) && limit.latest_met_queue());
/// assert_eq!(limit.time_until_slot(1000.0, 4, 500.0), f64::INFINITY, "when one of the four has ended");
/// // A connection that waits behind others can be given a time to retry.
/// assert!(limit.expected_wait(1000.0, 4, 10, 500.0) > 500.0);
/// // A quick one opens the window again.
/// limit.record_in_time(1010.0, 0.1);
/// assert!(!limit.latest_met_queue());
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Moving average from 0 to 1: rises with each late set-up at another endpoint than the last late one,
    /// falls with each in time.
    late_fraction: f64,
    /// Endpoint of the latest late set-up: a common fault shows at several.
    latest_late_endpoint: Option<u64>,
    latest_met_queue: bool,
    /// Set-ups that may be in flight; below one, the fraction of the time in which one may be.
    window: f64,
    /// When the window was last cut, or last confirmed by a set-up in time.
    window_updated_at: Millis,
    /// When a peer last warned of a common fault.
    peer_warned_at: Millis,
    last_attempt_at: Millis,
    /// The pause after the latest attempt, as a multiple of the usual pause.
    pause_jitter: f64,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit::new(0.0)
    }
}

impl ConcurrencyLimit {
    /// An open window.
    pub fn new(now: Millis) -> Self {
        ConcurrencyLimit {
            late_fraction: 0.0,
            latest_late_endpoint: None,
            latest_met_queue: false,
            window: f64::INFINITY,
            window_updated_at: now,
            peer_warned_at: f64::NEG_INFINITY,
            last_attempt_at: f64::NEG_INFINITY,
            pause_jitter: 1.0,
        }
    }

    /// Whether late set-ups at changing endpoints outweigh those in time, or a peer has warned within
    /// `PEER_WARNING_TTL_MS`.
    pub fn fault_is_common(&self, now: Millis) -> bool {
        self.late_fraction > COMMON_FAULT_LATE_FRACTION || self.peer_warning_counts(now)
    }

    /// Whether the latest set-up has met a queue, here or behind all endpoints.
    pub fn latest_met_queue(&self) -> bool {
        self.latest_met_queue
    }

    /// A peer warns that set-ups are late at several endpoints. `in_flight` are in flight here; a cut of
    /// the window takes `settle_time` to show. A relay that has observed nothing itself cuts its window to
    /// a quarter at the least: of a longer queue it soon observes something.
    pub fn record_peer_warning(&mut self, now: Millis, in_flight: u32, settle_time: Millis) {
        self.peer_warned_at = now;
        let window = self.current_window(now);
        if window > MIN_WINDOW_AFTER_PEER_WARNING && self.cut_has_settled(now, settle_time) {
            self.window = halved(window, in_flight).max(MIN_WINDOW_AFTER_PEER_WARNING);
            self.window_updated_at = now;
        }
    }

    /// A set-up was sent. `seed` is the relay's own, so that pauses of relays that were cut together differ.
    ///
    /// ```
    /// # use sandgw_cluster::concurrency_limit::ConcurrencyLimit;
    /// let mut limit = ConcurrencyLimit::new(0.0);
    /// // Late again and again, each long after the latest cut: less than one may be in flight.
    /// (0..60).for_each(|n| limit.record_late(f64::from(n) * 600.0, u64::from(n % 2 == 0), 0, 500.0));
    /// limit.record_attempt(36_000.0, 7);
    /// assert!(limit.time_until_slot(36_000.0, 0, 500.0) > 0.0, "a pause between set-ups");
    /// ```
    pub fn record_attempt(&mut self, now: Millis, seed: u64) {
        self.last_attempt_at = now;
        self.pause_jitter = MIN_PAUSE_JITTER + unit_fraction(hash_of_time(now, seed));
    }

    /// A set-up ended within the latency objective, of which it took `fraction_of_objective`.
    pub fn record_in_time(&mut self, now: Millis, fraction_of_objective: f64) {
        self.late_fraction -= self.late_fraction / LATE_FRACTION_DIVISOR;
        self.latest_met_queue = fraction_of_objective >= UNQUEUED_FRACTION_OF_OBJECTIVE;
        // Where no queue is met, one set-up at a time needs no pause.
        let min_window = if self.latest_met_queue || self.peer_warning_counts(now) { 0.0 } else { 1.0 };
        let window = self.current_window(now);
        // One more in each round trip; below one the window doubles with each set-up.
        let increase = (1.0 / window).min(window);
        self.window = (window + increase).max(min_window);
        self.window_updated_at = now;
    }

    /// A set-up was late, timed out or failed. Observed at one endpoint it is that endpoint's fault;
    /// observed at several without one in time between, it is common to all. `in_flight` are in flight
    /// besides; a cut of the window takes `settle_time` to show.
    pub fn record_late(&mut self, now: Millis, endpoint: u64, in_flight: u32, settle_time: Millis) {
        self.latest_met_queue = true;
        if self.latest_late_endpoint != Some(endpoint) {
            self.late_fraction += (1.0 - self.late_fraction) / LATE_FRACTION_DIVISOR;
            self.latest_late_endpoint = Some(endpoint);
        }
        if self.fault_is_common(now) && self.cut_has_settled(now, settle_time) {
            self.window = halved(self.current_window(now), in_flight).max(MIN_WINDOW);
            self.window_updated_at = now;
        }
    }

    /// In how long the next set-up may be sent with `in_flight` in flight: at once (0), or when one has ended
    /// (infinity). `objective` is the longest time that a set-up may take for the window to stay open.
    pub fn time_until_slot(&self, now: Millis, in_flight: u32, objective: Millis) -> Millis {
        let window = self.current_window(now);
        if window >= 1.0 || in_flight > 0 {
            return if f64::from(in_flight) < window { 0.0 } else { f64::INFINITY };
        }
        (self.last_attempt_at + self.pause_jitter * objective / window - now).max(0.0)
    }

    /// In how long a connection may expect its slot with `queued` others before it.
    pub fn expected_wait(&self, now: Millis, in_flight: u32, queued: usize, objective: Millis) -> Millis {
        let next_slot = self.time_until_slot(now, in_flight, objective);
        let window = self.current_window(now);
        let first = if next_slot.is_finite() { next_slot } else { objective / window.max(1.0) };
        if first > 0.0 { first + queued as f64 * objective / window } else { 0.0 }
    }

    /// The window as of now: without observations it reopens by itself.
    fn current_window(&self, now: Millis) -> f64 {
        self.window * ((now - self.window_updated_at).max(0.0) / REOPEN_DOUBLING_MS).exp2()
    }

    fn peer_warning_counts(&self, now: Millis) -> bool {
        now - self.peer_warned_at < PEER_WARNING_TTL_MS
    }

    /// Whether the effect of the latest cut shows by now: only then another cut is justified.
    fn cut_has_settled(&self, now: Millis, settle_time: Millis) -> bool {
        now - self.window_updated_at > settle_time
    }
}

/// Half of the window, or of what is in flight where that is less.
fn halved(window: f64, in_flight: u32) -> f64 {
    window.min(f64::from(in_flight.max(1))) / 2.0
}
