//! Totals of one relay since its start.

/// Number of variants of [`Outcome`](crate::policy::api::Outcome), for [`Counters::attempts`].
pub const OUTCOME_COUNT: usize = 8;

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests accepted.
    pub connections: u64,
    /// Connections that were established.
    pub established: u64,
    /// Attempts and established connections that have ended, by outcome in the order of `Outcome`.
    pub attempts: [u64; OUTCOME_COUNT],
    /// Local replies that rejected a request.
    pub rejected: u64,
    /// Local replies that failed a request.
    pub failed: u64,
    /// Clients asked to reconnect.
    pub migrations: u64,
}
