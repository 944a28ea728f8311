//! How the core applies the lease of the list: while it has ended, the load balancer starts no attempt. A
//! process that has just started has none, and is not ready for clients before its first poll has ended.
//!
//! Where relays may send each other messages, departures are told by gossip (`drain_exchange`), and where
//! lists are pushed, the agent's list counts as known: the lease binds in neither case.

use log::{info, warn};
use sandgw_cluster::list_lease::{LIST_LEASE_MS, ListLease};

use super::Relay;
use crate::policy::api::{Discovery, Event, Millis, Settings};

#[cfg(test)]
mod tests;

/// The lease, and what was made of it.
#[derive(Default)]
pub(super) struct ListLeaseState {
    lease: ListLease,
    /// A driver says how polls end: without one, the list may always be used.
    is_tracked: bool,
    /// The first poll since the start has ended, whichever way.
    first_poll_ended: bool,
    /// The log says that the lease has ended.
    is_end_logged: bool,
}

/// Whether nothing but discovery's answers tells a relay which endpoints have left.
fn depends_on_answers(settings: &Settings) -> bool {
    settings.discovery == Discovery::OnRequest && !settings.peer_messages
}

impl Relay {
    /// From now on the driver says how polls end. The list that is known is of unknown age.
    pub fn track_list_lease(&mut self, now: Millis) {
        self.list_lease.is_tracked = true;
        self.apply_list_lease(now);
    }

    /// Discovery has answered, or the process before has handed over a list that it answered with.
    pub fn discovery_answered(&mut self, now: Millis) {
        self.renew_list_lease(now);
    }

    /// A poll found that discovery can't be reached: the relay serves on by the list that it has.
    pub fn discovery_unreachable(&mut self, now: Millis) {
        self.renew_list_lease(now);
    }

    /// A poll has failed, though discovery could be reached. Where that was the first one, the relay serves by
    /// the list with which it was started rather than not at all.
    pub fn discovery_poll_failed(&mut self, now: Millis) {
        if !self.list_lease.first_poll_ended {
            self.renew_list_lease(now);
        }
    }

    /// Whether the relay waits for the end of its first poll before it takes clients.
    pub(super) fn awaits_first_poll(&self) -> bool {
        !self.list_lease.first_poll_ended && self.is_bound_by_lease()
    }

    fn renew_list_lease(&mut self, now: Millis) {
        self.list_lease.first_poll_ended = true;
        self.list_lease.lease.renew(now);
        self.apply_list_lease(now);
    }

    fn is_bound_by_lease(&self) -> bool {
        self.list_lease.is_tracked && depends_on_answers(self.load_balancer.settings())
    }

    /// Tells the load balancer until when it may use the list.
    pub(super) fn apply_list_lease(&mut self, now: Millis) {
        let end = if self.is_bound_by_lease() {
            self.list_lease.lease.expires_at().unwrap_or(f64::NEG_INFINITY)
        } else {
            f64::INFINITY
        };
        self.events.push_back(Event::ListValidUntil(end));
        self.handle_queued_events(now);
    }

    /// Logs that the lease has ended, and that there is one again. A process that has just started has none
    /// until its first poll has ended.
    pub(super) fn log_list_lease(&mut self, now: Millis) {
        let Some(end) = self.list_lease.lease.expires_at().filter(|_| self.is_bound_by_lease()) else {
            return;
        };
        let has_ended = !self.list_lease.lease.is_valid(now);
        if has_ended == self.list_lease.is_end_logged {
            return;
        }
        self.list_lease.is_end_logged = has_ended;
        if has_ended {
            let age = now - (end - LIST_LEASE_MS);
            warn!("discovery: no answer for {age:.0} ms: connections wait for one before they are placed");
        } else {
            info!("discovery: the list is confirmed again");
        }
    }
}
