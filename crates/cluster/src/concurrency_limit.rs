//! Limits the set-ups that a relay has in flight while a dependency shared by all endpoints is slow.
//!
//! A shared store handles calls one at a time. Once more calls are in flight than the store can answer within
//! the latency objective, all of them wait, time out and are retried: the store works at full speed and
//! serves hardly any client. Every relay therefore keeps a concurrency limit for its set-ups, adapted like
//! TCP's congestion window to what the relay itself observes: set-ups that are late at several endpoints. In
//! a cluster of hundreds of relays even one set-up per relay is too much, so the limit may fall below one: it
//! then determines a pause between set-ups, and the sum over all relays still converges to what the store can
//! handle.
//!
//! The inputs are the time, the set-ups in flight and how each set-up ended, all times in milliseconds; the
//! outputs are the time until the next slot and whether the fault is common to all endpoints. This module
//! sends, queues and rejects nothing itself.

use sandgw_units::random::{hash_of_time, unit_fraction};

use crate::Millis;

/// Above this fraction of late and failed set-ups, the fault is common to all endpoints.
const COMMON_FAULT_LATE_FRACTION: f64 = 0.5;
/// Divisor that gives the weight of one set-up in the moving average of late set-ups.
const LATE_FRACTION_DIVISOR: f64 = 4.0;
/// The limit never falls below this value, so a relay that observes only late set-ups keeps trying at this
/// rate.
const MIN_LIMIT: f64 = 1.0 / 16.0;
/// Without any observation the limit doubles in this time.
const REOPEN_DOUBLING_MS: Millis = 8000.0;
/// How long a peer's warning of a common fault counts.
const PEER_WARNING_TTL_MS: Millis = 1000.0;
/// A peer's warning alone never cuts the limit below this value.
const MIN_LIMIT_AFTER_PEER_WARNING: f64 = 0.25;
/// A set-up that takes less than this fraction of the latency objective has not waited in a queue.
const UNQUEUED_FRACTION_OF_OBJECTIVE: f64 = 0.25;
/// The pause between two set-ups is multiplied by a random factor from this value up to this value plus one.
const MIN_PAUSE_JITTER: f64 = 0.5;

/// The limit on set-ups in flight at one relay.
///
/// ```
/// use sandgw_cluster::concurrency_limit::ConcurrencyLimit;
///
/// let mut limit = ConcurrencyLimit::new(0.0);
/// assert_eq!(limit.time_until_slot(0.0, 100, 500.0), 0.0, "there is no limit yet");
/// // Set-ups are late at one endpoint after another: the fault is common to all.
/// (1..=3).for_each(|endpoint| limit.record_late(1000.0, endpoint, 8, 500.0));
/// assert!(limit.fault_is_common(0.0) && limit.latest_setup_was_queued());
/// assert_eq!(limit.time_until_slot(1000.0, 4, 500.0), f64::INFINITY, "until one of the four has ended");
/// // A connection that waits behind others can be given a time to retry.
/// assert!(limit.expected_wait(1000.0, 4, 10, 500.0) > 500.0);
/// // A quick set-up raises the limit again.
/// limit.record_in_time(1010.0, 0.1);
/// assert!(!limit.latest_setup_was_queued());
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Moving average of late set-ups, from 0 to 1. It rises with each late set-up at another endpoint than
    /// the previous late set-up, and falls with each set-up in time.
    late_fraction: f64,
    /// Endpoint of the latest late set-up: a common fault shows at several endpoints.
    latest_late_endpoint: Option<u64>,
    latest_setup_was_queued: bool,
    /// Set-ups that may be in flight; a value below one is the fraction of the time in which one set-up may
    /// be in flight.
    limit: f64,
    /// When the limit was last cut, or last updated by a set-up in time.
    limit_updated_at: Millis,
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
    /// Creates a state without a limit.
    pub fn new(now: Millis) -> Self {
        ConcurrencyLimit {
            late_fraction: 0.0,
            latest_late_endpoint: None,
            latest_setup_was_queued: false,
            limit: f64::INFINITY,
            limit_updated_at: now,
            peer_warned_at: f64::NEG_INFINITY,
            last_attempt_at: f64::NEG_INFINITY,
            pause_jitter: 1.0,
        }
    }

    /// Whether late set-ups at different endpoints outweigh those in time, or a peer has warned within
    /// `PEER_WARNING_TTL_MS`.
    pub fn fault_is_common(&self, now: Millis) -> bool {
        self.late_fraction > COMMON_FAULT_LATE_FRACTION || self.peer_warning_counts(now)
    }

    /// Whether the latest set-up took long enough to have waited in a queue, either a local queue or a queue
    /// behind all endpoints.
    pub fn latest_setup_was_queued(&self) -> bool {
        self.latest_setup_was_queued
    }

    /// Records a peer's warning that set-ups are late at several endpoints. `in_flight` is the number of
    /// set-ups in flight at this relay; a cut of the limit takes `settle_time` to show an effect. A relay
    /// that has observed nothing itself cuts its limit to no less than a quarter: if the queue is longer than
    /// that, the relay soon observes late set-ups itself.
    pub fn record_peer_warning(&mut self, now: Millis, in_flight: u32, settle_time: Millis) {
        self.peer_warned_at = now;
        let limit = self.current_limit(now);
        if limit > MIN_LIMIT_AFTER_PEER_WARNING && self.cut_has_settled(now, settle_time) {
            self.limit = halved(limit, in_flight).max(MIN_LIMIT_AFTER_PEER_WARNING);
            self.limit_updated_at = now;
        }
    }

    /// Records that a set-up was sent. `seed` is the relay's own, so that relays whose limits were cut
    /// together pause for different times.
    ///
    /// ```
    /// # use sandgw_cluster::concurrency_limit::ConcurrencyLimit;
    /// let mut limit = ConcurrencyLimit::new(0.0);
    /// // Late set-ups, each long after the latest cut, bring the limit below one.
    /// (0..60).for_each(|n| limit.record_late(f64::from(n) * 600.0, u64::from(n % 2 == 0), 0, 500.0));
    /// limit.record_attempt(36_000.0, 7);
    /// assert!(limit.time_until_slot(36_000.0, 0, 500.0) > 0.0, "a pause between set-ups");
    /// ```
    pub fn record_attempt(&mut self, now: Millis, seed: u64) {
        self.last_attempt_at = now;
        self.pause_jitter = MIN_PAUSE_JITTER + unit_fraction(hash_of_time(now, seed));
    }

    /// Records a set-up that ended within the latency objective, of which it took `fraction_of_objective`.
    pub fn record_in_time(&mut self, now: Millis, fraction_of_objective: f64) {
        self.late_fraction -= self.late_fraction / LATE_FRACTION_DIVISOR;
        self.latest_setup_was_queued = fraction_of_objective >= UNQUEUED_FRACTION_OF_OBJECTIVE;
        // Where set-ups do not wait in a queue, one set-up at a time needs no pause.
        let min_limit = if self.latest_setup_was_queued || self.peer_warning_counts(now) { 0.0 } else { 1.0 };
        let limit = self.current_limit(now);
        // The limit rises by one in each round trip; a limit below one doubles with each set-up.
        let increase = (1.0 / limit).min(limit);
        self.limit = (limit + increase).max(min_limit);
        self.limit_updated_at = now;
    }

    /// Records a set-up that was late, timed out or failed. If late set-ups are observed at one endpoint, the
    /// fault is that endpoint's; if they are observed at several endpoints without a set-up in time between
    /// them, the fault is common to all. `in_flight` is the number of other set-ups in flight; a cut of the
    /// limit takes `settle_time` to show an effect.
    pub fn record_late(&mut self, now: Millis, endpoint: u64, in_flight: u32, settle_time: Millis) {
        self.latest_setup_was_queued = true;
        if self.latest_late_endpoint != Some(endpoint) {
            self.late_fraction += (1.0 - self.late_fraction) / LATE_FRACTION_DIVISOR;
            self.latest_late_endpoint = Some(endpoint);
        }
        if self.fault_is_common(now) && self.cut_has_settled(now, settle_time) {
            self.limit = halved(self.current_limit(now), in_flight).max(MIN_LIMIT);
            self.limit_updated_at = now;
        }
    }

    /// Returns the time until the next set-up may be sent while `in_flight` set-ups are in flight: 0 if it
    /// may be sent at once, infinity if one of these set-ups has to end first. `objective` is the longest
    /// time that a set-up may take without the limit being cut.
    pub fn time_until_slot(&self, now: Millis, in_flight: u32, objective: Millis) -> Millis {
        let limit = self.current_limit(now);
        if limit >= 1.0 || in_flight > 0 {
            return if f64::from(in_flight) < limit { 0.0 } else { f64::INFINITY };
        }
        (self.last_attempt_at + self.pause_jitter * objective / limit - now).max(0.0)
    }

    /// Returns the time that a connection may expect to wait for its slot with `queued` other connections
    /// before it.
    pub fn expected_wait(&self, now: Millis, in_flight: u32, queued: usize, objective: Millis) -> Millis {
        let next_slot = self.time_until_slot(now, in_flight, objective);
        let limit = self.current_limit(now);
        let first = if next_slot.is_finite() { next_slot } else { objective / limit.max(1.0) };
        if first > 0.0 { first + queued as f64 * objective / limit } else { 0.0 }
    }

    /// The limit as of now: without observations it rises by itself.
    fn current_limit(&self, now: Millis) -> f64 {
        self.limit * ((now - self.limit_updated_at).max(0.0) / REOPEN_DOUBLING_MS).exp2()
    }

    fn peer_warning_counts(&self, now: Millis) -> bool {
        now - self.peer_warned_at < PEER_WARNING_TTL_MS
    }

    /// Whether the effect of the latest cut shows by now: only then is another cut justified.
    fn cut_has_settled(&self, now: Millis, settle_time: Millis) -> bool {
        now - self.limit_updated_at > settle_time
    }
}

/// Half of the limit, or half of the number of set-ups in flight if that is lower.
fn halved(limit: f64, in_flight: u32) -> f64 {
    limit.min(f64::from(in_flight.max(1))) / 2.0
}
