//! Connections of this relay that wait for the coordinator's grant, and the requests for it.
//!
//! Owns a queue for each tenant. Inputs are connections that wait, grants, and the time in milliseconds;
//! outputs are what to request now, and the connections that have been decided. A connection waits for the
//! time of a datagram there and back, and is rejected once the coordinator has not answered for as long as
//! its client can spare.

use std::collections::{BTreeMap, VecDeque};

use sandgw_units::Millis;

use crate::grant_ledger::GRANT_TTL_MS;
use crate::peer_reports::is_later;

/// Connections that arrive together are requested together.
const GATHER_MS: Millis = 5.0;
/// A request without an answer is repeated after this time: datagrams are lost.
const RETRY_MS: Millis = 80.0;
/// The longest time that a connection waits for a grant.
pub(crate) const MAX_WAIT_MS: Millis = 400.0;
/// After a grant that was less than requested, nothing more is requested for this time.
const REFUSED_MS: Millis = 250.0;

/// A connection that waits for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    until: Millis,
}

/// A request that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    /// The sequence numbers that an answer may name: from this one on.
    first_sequence: Option<u32>,
    started_at: Millis,
    send_at: Millis,
    /// Open connections, and those wanted besides, when it was sent last.
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
    request: Option<OpenRequest>,
    grant: Option<Grant>,
    refused_until: Millis,
}

/// What came of a grant.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Settled {
    pub admitted: Vec<Ticket>,
    pub rejected: Vec<Ticket>,
}

/// The queues of all tenants, by index.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantClient {
    queues: BTreeMap<usize, TenantQueue>,
    next_ticket: u64,
}

impl GrantClient {
    /// Whether a grant allows one more connection beside those that are open.
    pub fn allows(&self, now: Millis, tenant: usize, open: f64) -> bool {
        let grant = self.queues.get(&tenant).and_then(|queue| queue.grant);
        grant.is_some_and(|grant| now < grant.expires_at && open + 1.0 <= grant.ceiling)
    }

    /// Whether the coordinator granted less than was requested a moment ago.
    pub fn is_refused(&self, now: Millis, tenant: usize) -> bool {
        self.queues.get(&tenant).is_some_and(|queue| now < queue.refused_until)
    }

    /// Adds a connection that can wait for so long.
    pub fn wait(&mut self, now: Millis, tenant: usize, patience: Millis) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let queue = self.queues.entry(tenant).or_default();
        queue.waiters.push_back(Waiter { ticket, until: now + patience.min(MAX_WAIT_MS) });
        queue.request.get_or_insert_with(|| OpenRequest::new(now, now + GATHER_MS));
        ticket
    }

    /// Tenants whose request is due, with the number of connections that wait.
    pub fn due(&self, now: Millis) -> Vec<(usize, usize)> {
        let is_due = |queue: &TenantQueue| queue.request.is_some_and(|request| request.send_at <= now);
        let due = self.queues.iter().filter(|(_, queue)| !queue.waiters.is_empty() && is_due(queue));
        due.map(|(tenant, queue)| (*tenant, queue.waiters.len())).collect()
    }

    /// A tenant's request was sent.
    pub fn sent(&mut self, now: Millis, tenant: usize, sequence: u32, open: f64) {
        let Some(queue) = self.queues.get_mut(&tenant) else { return };
        let wanted = queue.waiters.len() as f64;
        let Some(request) = &mut queue.request else { return };
        request.first_sequence.get_or_insert(sequence);
        request.send_at = now + RETRY_MS;
        (request.open, request.wanted) = (open, wanted);
    }

    /// The coordinator has answered the request of this sequence number: so many connections may be open,
    /// with `open` of now. An answer to an earlier request changes nothing.
    pub fn receive(&mut self, now: Millis, tenant: usize, sequence: u32, ceiling: f64, open: f64) -> Settled {
        let Some(queue) = self.queues.get_mut(&tenant) else { return Settled::default() };
        let answers = |request: &OpenRequest| {
            request.first_sequence.is_some_and(|first| first == sequence || is_later(sequence, first))
        };
        let Some(request) = queue.request.take_if(|request| answers(request)) else {
            return Settled::default();
        };
        queue.grant = Some(Grant { ceiling, expires_at: request.started_at + GRANT_TTL_MS });
        let admitted = ((ceiling - open).max(0.0) as usize).min(queue.waiters.len());
        let mut settled = Settled::default();
        settled.admitted.extend(queue.waiters.drain(..admitted).map(|waiter| waiter.ticket));
        if ceiling < request.open + request.wanted {
            queue.refused_until = now + REFUSED_MS;
            settled.rejected.extend(queue.waiters.drain(..).map(|waiter| waiter.ticket));
        } else if !queue.waiters.is_empty() {
            queue.request = Some(OpenRequest::new(now, now));
        }
        settled
    }

    /// Connections that can't wait any longer, by tenant.
    pub fn take_expired(&mut self, now: Millis) -> Vec<(usize, Ticket)> {
        let mut expired = Vec::new();
        for (tenant, queue) in &mut self.queues {
            let is_late = |waiter: &Waiter| waiter.until <= now;
            let late = queue.waiters.iter().filter(|waiter| is_late(waiter));
            expired.extend(late.map(|waiter| (*tenant, waiter.ticket)));
            queue.waiters.retain(|waiter| !is_late(waiter));
            if queue.waiters.is_empty() {
                queue.request = None;
            }
        }
        expired
    }

    /// All connections that wait, by tenant: this relay has become the coordinator.
    pub fn take_all(&mut self) -> Vec<(usize, Ticket)> {
        self.take_expired(f64::INFINITY)
    }

    /// In how many milliseconds a request is due, or a connection can't wait any longer; `None` where none
    /// waits.
    pub fn next_in_ms(&self, now: Millis) -> Option<Millis> {
        let waiting = self.queues.values().filter(|queue| !queue.waiters.is_empty());
        let times = waiting.flat_map(|queue| {
            let send_at = queue.request.map(|request| request.send_at);
            queue.waiters.iter().map(|waiter| waiter.until).chain(send_at)
        });
        times.min_by(f64::total_cmp).map(|at| (at - now).max(1.0))
    }
}

impl OpenRequest {
    fn new(now: Millis, send_at: Millis) -> Self {
        OpenRequest { first_sequence: None, started_at: now, send_at, open: 0.0, wanted: 0.0 }
    }
}
