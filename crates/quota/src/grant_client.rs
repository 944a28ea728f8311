//! Connections of this relay that wait for the coordinator's grant, and the requests for it.
//!
//! [`GrantClient`] owns a queue for each tenant. Inputs are connections that wait, grants, and the time in
//! milliseconds; outputs are the requests to send now, and the connections that have been decided. A
//! connection usually waits for one round trip to the coordinator. If the coordinator has not answered when
//! the client can wait no longer, [`GrantClient::take_expired`] hands the connection back undecided.

use std::collections::{BTreeMap, VecDeque};

use sandgw_units::Millis;

use crate::grant_ledger::GRANT_TTL_MS;
use crate::peer_reports::is_later;

/// A request for a grant is delayed by this time, so that the request includes connections that arrive
/// together.
const BATCHING_DELAY_MS: Millis = 5.0;
/// A request without an answer is repeated after this time, since datagrams can be lost.
const RETRY_MS: Millis = 80.0;
/// The longest time that a connection waits for a grant.
pub(crate) const MAX_WAIT_MS: Millis = 400.0;
/// After a grant of less than was requested, no more connections of that tenant are requested for this time.
const REFUSAL_BACKOFF_MS: Millis = 250.0;

/// A connection that waits for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    deadline: Millis,
}

/// A request for a grant that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct UnansweredRequest {
    /// The lowest sequence number that an answer may name; `None` until the request is sent.
    first_sequence: Option<u32>,
    started_at: Millis,
    send_at: Millis,
    /// Open connections, and connections wanted in addition, when the request was last sent.
    open: f64,
    wanted: f64,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    ceiling: f64,
    expires_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct TenantQueue {
    waiters: VecDeque<Waiter>,
    request: Option<UnansweredRequest>,
    grant: Option<Grant>,
    refused_until: Millis,
}

/// The waiting connections that a grant has decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct GrantOutcome {
    pub admitted: Vec<Ticket>,
    pub rejected: Vec<Ticket>,
}

/// The queues of all tenants, by tenant index.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantClient {
    queues: BTreeMap<usize, TenantQueue>,
    next_ticket: u64,
}

impl GrantClient {
    /// Whether a grant allows one more connection in addition to the open connections.
    pub fn allows(&self, now: Millis, tenant: usize, open: f64) -> bool {
        let grant = self.queues.get(&tenant).and_then(|queue| queue.grant);
        grant.is_some_and(|grant| now < grant.expires_at && open + 1.0 <= grant.ceiling)
    }

    /// Whether the coordinator recently granted less than was requested.
    pub fn is_refused(&self, now: Millis, tenant: usize) -> bool {
        self.queues.get(&tenant).is_some_and(|queue| now < queue.refused_until)
    }

    /// Adds a connection that can wait for `max_wait_ms`, and schedules a request for a grant if there is
    /// none.
    pub fn enqueue(&mut self, now: Millis, tenant: usize, max_wait_ms: Millis) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let queue = self.queues.entry(tenant).or_default();
        queue.waiters.push_back(Waiter { ticket, deadline: now + max_wait_ms.min(MAX_WAIT_MS) });
        queue.request.get_or_insert_with(|| UnansweredRequest::new(now, now + BATCHING_DELAY_MS));
        ticket
    }

    /// Tenants whose request is due, with the number of waiting connections of each.
    pub fn due_requests(&self, now: Millis) -> Vec<(usize, usize)> {
        let is_due = |queue: &TenantQueue| queue.request.is_some_and(|request| request.send_at <= now);
        let due = self.queues.iter().filter(|(_, queue)| !queue.waiters.is_empty() && is_due(queue));
        due.map(|(tenant, queue)| (*tenant, queue.waiters.len())).collect()
    }

    /// Records that a tenant's request was sent.
    pub fn record_sent(&mut self, now: Millis, tenant: usize, sequence: u32, open: f64) {
        let Some(queue) = self.queues.get_mut(&tenant) else { return };
        let wanted = queue.waiters.len() as f64;
        let Some(request) = &mut queue.request else { return };
        request.first_sequence.get_or_insert(sequence);
        request.send_at = now + RETRY_MS;
        (request.open, request.wanted) = (open, wanted);
    }

    /// Handles the coordinator's answer to the request with this sequence number: `ceiling` connections may
    /// be open in total, and `open` are open now. An answer to an earlier request changes nothing.
    pub fn handle_grant(
        &mut self,
        now: Millis,
        tenant: usize,
        sequence: u32,
        ceiling: f64,
        open: f64,
    ) -> GrantOutcome {
        let Some(queue) = self.queues.get_mut(&tenant) else { return GrantOutcome::default() };
        let answers = |request: &UnansweredRequest| {
            request.first_sequence.is_some_and(|first| first == sequence || is_later(sequence, first))
        };
        let Some(request) = queue.request.take_if(|request| answers(request)) else {
            return GrantOutcome::default();
        };
        queue.grant = Some(Grant { ceiling, expires_at: request.started_at + GRANT_TTL_MS });
        let admitted = ((ceiling - open).max(0.0) as usize).min(queue.waiters.len());
        let mut outcome = GrantOutcome::default();
        outcome.admitted.extend(queue.waiters.drain(..admitted).map(|waiter| waiter.ticket));
        if ceiling < request.open + request.wanted {
            queue.refused_until = now + REFUSAL_BACKOFF_MS;
            outcome.rejected.extend(queue.waiters.drain(..).map(|waiter| waiter.ticket));
        } else if !queue.waiters.is_empty() {
            queue.request = Some(UnansweredRequest::new(now, now));
        }
        outcome
    }

    /// Removes and returns the connections that cannot wait any longer, with their tenants' indexes.
    pub fn take_expired(&mut self, now: Millis) -> Vec<(usize, Ticket)> {
        let mut expired = Vec::new();
        for (tenant, queue) in &mut self.queues {
            let is_past_deadline = |waiter: &Waiter| waiter.deadline <= now;
            let past_deadline = queue.waiters.iter().filter(|waiter| is_past_deadline(waiter));
            expired.extend(past_deadline.map(|waiter| (*tenant, waiter.ticket)));
            queue.waiters.retain(|waiter| !is_past_deadline(waiter));
            if queue.waiters.is_empty() {
                queue.request = None;
            }
        }
        expired
    }

    /// Removes and returns all waiting connections, with their tenants' indexes, when this relay has become
    /// the coordinator.
    pub fn take_all(&mut self) -> Vec<(usize, Ticket)> {
        self.take_expired(f64::INFINITY)
    }

    /// In how many milliseconds a request is due, or a connection cannot wait any longer; `None` if no
    /// connection waits.
    pub fn next_in_ms(&self, now: Millis) -> Option<Millis> {
        let waiting = self.queues.values().filter(|queue| !queue.waiters.is_empty());
        let times = waiting.flat_map(|queue| {
            let send_at = queue.request.map(|request| request.send_at);
            queue.waiters.iter().map(|waiter| waiter.deadline).chain(send_at)
        });
        times.min_by(f64::total_cmp).map(|at| (at - now).max(1.0))
    }
}

impl UnansweredRequest {
    fn new(now: Millis, send_at: Millis) -> Self {
        UnansweredRequest { first_sequence: None, started_at: now, send_at, open: 0.0, wanted: 0.0 }
    }
}
