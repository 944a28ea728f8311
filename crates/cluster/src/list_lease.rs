//! How long a relay may place connections by its endpoint list without another answer from discovery.
//!
//! [`ListLease`] holds the time at which this permission ends. Its inputs are the time in milliseconds and
//! the outcome of polls. A change of the list counts as known to every relay [`LIST_LEASE_MS`] after
//! discovery had the change and could be reached, whether or not the change has arrived. Each answer
//! therefore confirms the list for that long after the time as of which it shows the list, and a list whose
//! lease has expired may name endpoints that have left. The list that a process starts with is of unknown age, so it has no lease.

use crate::Millis;

/// How long after a change every relay is assumed to know it, and therefore how long an answer confirms the
/// list.
pub const LIST_LEASE_MS: Millis = 6000.0;

/// The time until which one relay may use its endpoint list.
///
/// ```
/// use sandgw_cluster::list_lease::ListLease;
///
/// let mut lease = ListLease::default();
/// assert!(!lease.is_valid(0.0), "the list of a process that starts has no lease");
/// lease.renew(100.0);
/// assert!(lease.is_valid(6100.0) && !lease.is_valid(6101.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ListLease {
    expires_at: Option<Millis>,
}

impl ListLease {
    /// Renews the lease after discovery has answered with the list as of `confirmed_at`, or could not be
    /// reached then: a change that discovery makes later does not count as known before the lease expires. An
    /// older confirmation never shortens the lease.
    pub fn renew(&mut self, confirmed_at: Millis) {
        let expires_at = confirmed_at + LIST_LEASE_MS;
        self.expires_at = Some(self.expires_at.map_or(expires_at, |end| end.max(expires_at)));
    }

    /// Lets the lease expire at `end` at the latest.
    pub fn end_by(&mut self, end: Millis) {
        self.expires_at = self.expires_at.map(|expires_at| expires_at.min(end));
    }

    /// When the lease expires or expired; `None` if it was never renewed.
    pub fn expires_at(&self) -> Option<Millis> {
        self.expires_at
    }

    /// Whether the list may be used.
    pub fn is_valid(&self, now: Millis) -> bool {
        self.expires_at.is_some_and(|end| now <= end)
    }
}
