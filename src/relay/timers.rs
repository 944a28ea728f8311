//! Timers of the core. Their tokens are above those of the load balancer's timers.

const FIRST_CORE_TOKEN: u64 = 1 << 63;

/// A timer of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CoreTimer {
    /// Next step of the migration of connections off this relay.
    MigrationStep,
    /// Next report of the tenants' usage to other relays.
    UsageReport,
    /// Next request for a grant of a tenant's connections.
    QuotaGrant,
    /// Next query to another relay about draining endpoints.
    DrainQuery,
    /// End of the time for which a process that starts waits for its first list lease.
    EndOfStart,
}

impl CoreTimer {
    const ALL: [CoreTimer; 5] = [
        CoreTimer::MigrationStep,
        CoreTimer::UsageReport,
        CoreTimer::QuotaGrant,
        CoreTimer::DrainQuery,
        CoreTimer::EndOfStart,
    ];

    /// The token of this timer.
    pub(super) fn token(self) -> u64 {
        FIRST_CORE_TOKEN + self as u64
    }

    /// The timer with this token; `None` for timers of the load balancer.
    pub(super) fn from_token(token: u64) -> Option<CoreTimer> {
        CoreTimer::ALL.into_iter().find(|timer| timer.token() == token)
    }
}
