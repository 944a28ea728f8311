//! For how long a relay may place connections by its list of endpoints without another answer of discovery.
//!
//! Owns the end of that time. Inputs are the time in milliseconds and how polls ended; output is until when
//! the list may be used. A change counts as known to every relay [`LIST_LEASE_MS`] after discovery had it
//! and could be reached, whether or not it has arrived. So each answer vouches for the list for as long, and
//! a list whose lease has ended may name endpoints that have left. The list with which a process starts is
//! of unknown age: nothing vouches for it.

use crate::Millis;

/// How long after a change each relay is taken to know of it, and so how long an answer vouches for the list.
pub const LIST_LEASE_MS: Millis = 6000.0;

/// Until when one relay's list of endpoints may be used.
///
/// ```
/// use sandgw_cluster::list_lease::ListLease;
///
/// let mut lease = ListLease::default();
/// assert!(!lease.is_valid(0.0), "nothing vouches for the list of a process that starts");
/// lease.renew(100.0);
/// assert!(lease.is_valid(6100.0) && !lease.is_valid(6101.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ListLease {
    expires_at: Option<Millis>,
}

impl ListLease {
    /// Discovery has answered, or could not be reached: no change that it has made since counts as known
    /// before the lease ends.
    pub fn renew(&mut self, now: Millis) {
        self.expires_at = Some(now + LIST_LEASE_MS);
    }

    /// When the lease ends, or has ended; `None` where there never was one.
    pub fn expires_at(&self) -> Option<Millis> {
        self.expires_at
    }

    /// Whether the list may be used.
    pub fn is_valid(&self, now: Millis) -> bool {
        self.expires_at.is_some_and(|end| now <= end)
    }
}
