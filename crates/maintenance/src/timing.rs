//! The timeouts of the grant protocol, all derived from the lease and the bound on clock skew.

use crate::WholeMillis;

/// The lower bound of [`Timing::list_max_age`].
const MIN_LIST_MAX_AGE_MS: WholeMillis = 15_000;

/// The timeouts of the grant protocol in milliseconds, the same at every relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long a window is granted at a time. The lease is renewed until the window ends.
    pub lease: WholeMillis,
    /// The maximum difference between two relays' clocks.
    pub clock_skew_bound: WholeMillis,
    /// How long a voter abstains after a restart. Anything shorter than a lease is unsafe.
    pub abstention: WholeMillis,
    /// After this long without contact with a leader, the first voter starts an election.
    pub election_timeout: WholeMillis,
    /// How much longer each further voter waits than the voter before it, so that elections seldom compete.
    pub election_stagger: WholeMillis,
    /// The leader writes the ledger again after this long, so that its leases do not expire.
    pub lease_renewal: WholeMillis,
    /// How long after the start of an election a candidate with a majority still waits for the other votes.
    pub vote_grace: WholeMillis,
    /// Window requests, vote requests and writes that are not answered are sent again after this long.
    pub retry_interval: WholeMillis,
    /// A candidate without a majority gives up after this long, a leader without a commit after twice as
    /// long.
    pub quorum_timeout: WholeMillis,
    /// A new leader grants nothing for this long, so that relays with waiting windows can repeat their
    /// requests.
    pub grant_holdoff: WholeMillis,
    /// Nothing is granted if the endpoint list was last confirmed longer ago than this.
    pub list_max_age: WholeMillis,
}

impl Timing {
    /// Returns the default timeouts for a lease and a bound on clock skew, both in milliseconds.
    ///
    /// ```
    /// let timing = sandgw_maintenance::Timing::for_lease(30_000, 1_000);
    /// assert_eq!((timing.abstention, timing.retry_interval), (30_000, 2_000));
    /// ```
    pub fn for_lease(lease: WholeMillis, clock_skew_bound: WholeMillis) -> Timing {
        let fraction = |divisor: WholeMillis| (lease / divisor).max(1);
        Timing {
            lease,
            clock_skew_bound,
            abstention: lease,
            election_timeout: fraction(4),
            election_stagger: fraction(20),
            lease_renewal: fraction(3),
            vote_grace: fraction(60),
            retry_interval: fraction(15),
            quorum_timeout: fraction(3),
            grant_holdoff: fraction(10),
            list_max_age: MIN_LIST_MAX_AGE_MS.max(lease / 2),
        }
    }
}
