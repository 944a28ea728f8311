//! Applies the list lease: once the lease has ended, the load balancer starts no attempt. A process that has
//! just started has no lease, and is not ready for clients before it has one or its time to start is over.
//!
//! Where relays poll discovery, only an answer and a call that can't reach discovery renew the lease. A call
//! that is rejected by an overloaded service, or that has no answer yet, does not: discovery may have changed
//! the list.
//!
//! Where lists are pushed, what the agent on this machine has counts as known from the first moment of a
//! process on. Only an answer of the agent shows what it has, so nothing else confirms the list that a process
//! starts with. From then on the agent's silence means that it has learned nothing, and the list stays valid.
//!
//! The lease does not bind in large clusters whose relays may send each other messages, since they learn of
//! departures by gossip (`drain_exchange`).

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
    /// The lease where relays poll discovery.
    lease: ListLease,
    /// Until when the list of the agent is valid; `None` if the agent has not answered this process.
    agent_list_valid_until: Option<Millis>,
    /// Whether a driver reports how polls end. Without such reports the list may always be used.
    is_tracked: bool,
    /// Whether the relay accepts clients even if it has never had a lease.
    is_start_over: bool,
    /// Whether the latest log line about the lease says that it has ended.
    is_end_logged: bool,
}

/// What shows a relay which endpoints have left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DepartureSource {
    /// Discovery's answers to this relay's polls, and nothing else.
    Polls,
    /// The agent on this machine, which is pushed every change.
    Agent,
    /// Polls, and gossip between the relays of a large cluster.
    Gossip,
}

impl DepartureSource {
    fn of(settings: &Settings) -> Self {
        let position =
            ClusterPosition { local_index: settings.local_index, relay_count: settings.relay_count };
        match settings.discovery {
            Discovery::Pushed => DepartureSource::Agent,
            Discovery::OnRequest if settings.peer_messages && position.is_large() => DepartureSource::Gossip,
            Discovery::OnRequest => DepartureSource::Polls,
        }
    }
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
        if !self.is_list_confirmed() {
            info!("discovery: the list is confirmed for the first time in this process");
        }
        self.list_lease.agent_list_valid_until = Some(f64::INFINITY);
        self.renew_list_lease(now, confirmed_at);
    }

    /// Records that a call sent at `called_at` found that discovery can't be reached: the relay goes on
    /// serving by the list that it has. An agent that can't be reached may have a list all the same.
    pub fn discovery_unreachable(&mut self, now: Millis, called_at: Millis) {
        if self.polled_lease_end().is_some() {
            debug!("discovery: unreachable, so the list stays valid for {LIST_LEASE_MS:.0} ms more");
        }
        self.renew_list_lease(now, called_at);
    }

    /// Records that a poll has failed, though discovery may be reachable and may have changed the list. The
    /// lease stays as it is.
    pub fn discovery_poll_failed(&mut self, now: Millis) {
        if let Some(end) = self.polled_lease_end() {
            debug!("discovery: the list stays valid for {:.0} ms", (end - now).max(0.0));
        }
    }

    /// Shortens the lease, since another discovery service is called from now on: what that service has
    /// changed already counts as known soon.
    pub(super) fn limit_list_lease(&mut self, now: Millis) {
        let end = now + NEW_SERVICE_LEASE_MS;
        let lease = &mut self.list_lease;
        lease.lease.end_by(end);
        lease.agent_list_valid_until = lease.agent_list_valid_until.map(|until| until.min(end));
        self.apply_list_lease(now);
    }

    /// Whether the list that this process started with has been confirmed, or needs no confirmation.
    pub fn is_list_confirmed(&self) -> bool {
        self.list_valid_until().is_some()
    }

    /// Whether the relay waits for its first lease before it accepts clients.
    pub(super) fn awaits_first_lease(&self) -> bool {
        !self.list_lease.is_start_over && !self.is_list_confirmed()
    }

    /// Ends the wait for the first lease. The relay then answers clients, though it places none of them
    /// without a lease.
    pub(super) fn end_start(&mut self) {
        if self.awaits_first_lease() {
            warn!("discovery: no answer since the start: new connections are rejected until it answers");
        }
        self.list_lease.is_start_over = true;
    }

    fn renew_list_lease(&mut self, now: Millis, confirmed_at: Millis) {
        self.list_lease.lease.renew(confirmed_at);
        self.apply_list_lease(now);
    }

    /// Until when the list may be used; `None` if nothing has confirmed it yet.
    fn list_valid_until(&self) -> Option<Millis> {
        let lease = &self.list_lease;
        if !lease.is_tracked {
            return Some(f64::INFINITY);
        }
        match DepartureSource::of(self.load_balancer.settings()) {
            DepartureSource::Polls => lease.lease.expires_at(),
            DepartureSource::Agent => lease.agent_list_valid_until,
            DepartureSource::Gossip => Some(f64::INFINITY),
        }
    }

    /// When the lease ends or has ended that polls have renewed; `None` where no such lease binds this relay.
    fn polled_lease_end(&self) -> Option<Millis> {
        self.list_valid_until().filter(|end| end.is_finite())
    }

    /// Notifies the load balancer of the time until which it may use the list.
    pub(super) fn apply_list_lease(&mut self, now: Millis) {
        let end = self.list_valid_until().unwrap_or(f64::NEG_INFINITY);
        self.events.push_back(Event::ListValidUntil(end));
        self.handle_queued_events(now);
    }

    /// Logs that the lease has ended, or that it is valid again. A process that has just started has no lease
    /// yet.
    pub(super) fn log_list_lease(&mut self, now: Millis) {
        let Some(end) = self.list_valid_until() else { return };
        let has_ended = now > end;
        if has_ended == self.list_lease.is_end_logged {
            return;
        }
        self.list_lease.is_end_logged = has_ended;
        if has_ended {
            let overdue = now - end;
            warn!("discovery: the list expired {overdue:.0} ms ago: new connections wait until it answers");
        } else {
            info!("discovery: the list is confirmed again");
        }
    }
}
