//! Applies the list lease: once the lease has ended, the load balancer starts no attempt. A process that has
//! just started has no lease, and is not ready for clients before it has one or its time to start is over.
//!
//! Only an answer of discovery and a call that can't reach discovery renew the lease. A call that is rejected
//! by an overloaded service, or that has no answer yet, does not: discovery may have changed the list.
//!
//! The lease does not bind in large clusters whose relays may send each other messages, since they learn of
//! departures by gossip (`drain_exchange`), nor where lists are pushed, since the agent's list counts as known.

use log::{debug, info, warn};
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::list_lease::{LIST_LEASE_MS, ListLease};

use super::Relay;
use super::timers::CoreTimer;
use crate::policy::api::{Discovery, Event, Millis, Settings};

#[cfg(test)]
mod tests;

/// How long a process that starts waits for its first lease before it accepts clients. The platform wants
/// it ready within 6 s.
const MAX_START_MS: Millis = 5000.0;
/// How long the list stays in use after the address of discovery has changed: then the changes of the
/// service at the new address count as known.
const NEW_SERVICE_LEASE_MS: Millis = 4000.0;

/// The list lease, and what the core has done about it.
#[derive(Default)]
pub(super) struct ListLeaseState {
    lease: ListLease,
    /// Whether a driver reports how polls end. Without such reports the list may always be used.
    is_tracked: bool,
    /// Whether the relay accepts clients even if it has never had a lease.
    is_start_over: bool,
    /// Whether the latest log line about the lease says that it has ended.
    is_end_logged: bool,
}

/// Whether a relay learns only from discovery's answers which endpoints have left. The relays of a large
/// cluster that may send each other messages learn of it by gossip too.
fn depends_on_answers(settings: &Settings) -> bool {
    let position = ClusterPosition { local_index: settings.local_index, relay_count: settings.relay_count };
    let gossips = settings.peer_messages && position.is_large();
    settings.discovery == Discovery::OnRequest && !gossips
}

impl Relay {
    /// Records that from now on the driver reports how polls end. The list that the relay has is of unknown
    /// age.
    pub fn track_list_lease(&mut self, now: Millis) {
        self.list_lease.is_tracked = true;
        self.set_timer(MAX_START_MS, CoreTimer::EndOfStart);
        self.apply_list_lease(now);
    }

    /// Records that discovery has answered with the list as of `confirmed_at`.
    pub fn discovery_answered(&mut self, now: Millis, confirmed_at: Millis) {
        self.renew_list_lease(now, confirmed_at);
    }

    /// Records that a call sent at `called_at` found that discovery can't be reached: the relay goes on
    /// serving by the list that it has.
    pub fn discovery_unreachable(&mut self, now: Millis, called_at: Millis) {
        if self.is_bound_by_lease() {
            debug!("discovery: unreachable, so the list stays valid for {LIST_LEASE_MS:.0} ms more");
        }
        self.renew_list_lease(now, called_at);
    }

    /// Records that a poll has failed, though discovery may be reachable and may have changed the list. The
    /// lease stays as it is.
    pub fn discovery_poll_failed(&mut self, now: Millis) {
        if let Some(end) = self.list_lease.lease.expires_at().filter(|_| self.is_bound_by_lease()) {
            debug!("discovery: the list stays valid for {:.0} ms", (end - now).max(0.0));
        }
    }

    /// Shortens the lease, since another discovery service is called from now on: what that service has
    /// changed already counts as known soon.
    pub(super) fn limit_list_lease(&mut self, now: Millis) {
        self.list_lease.lease.end_by(now + NEW_SERVICE_LEASE_MS);
        self.apply_list_lease(now);
    }

    /// Whether the relay waits for its first lease before it accepts clients.
    pub(super) fn awaits_first_lease(&self) -> bool {
        let lease = &self.list_lease;
        !lease.is_start_over && lease.lease.expires_at().is_none() && self.is_bound_by_lease()
    }

    /// Ends the wait for the first lease. The relay then answers clients, though it places none of them
    /// without a lease.
    pub(super) fn end_start(&mut self) {
        self.list_lease.is_start_over = true;
    }

    fn renew_list_lease(&mut self, now: Millis, confirmed_at: Millis) {
        self.list_lease.lease.renew(confirmed_at);
        self.apply_list_lease(now);
    }

    fn is_bound_by_lease(&self) -> bool {
        self.list_lease.is_tracked && depends_on_answers(self.load_balancer.settings())
    }

    /// Notifies the load balancer of the time until which it may use the list.
    pub(super) fn apply_list_lease(&mut self, now: Millis) {
        let end = if self.is_bound_by_lease() {
            self.list_lease.lease.expires_at().unwrap_or(f64::NEG_INFINITY)
        } else {
            f64::INFINITY
        };
        self.events.push_back(Event::ListValidUntil(end));
        self.handle_queued_events(now);
    }

    /// Logs that the lease has ended, or that it is valid again. A process that has just started has no lease
    /// yet.
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
            warn!("discovery: no answer for {age:.0} ms: new connections wait until discovery answers");
        } else {
            info!("discovery: the list is confirmed again");
        }
    }
}
