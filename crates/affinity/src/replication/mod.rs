//! Recovers a starting relay's tables from the other relays.
//!
//! [`Replication`] owns the requests and the answers in flight. Inputs are cluster messages and the time in
//! milliseconds; outputs are messages to send and the time of the next timer call. It sends chunks of tables
//! only on request, and limits them to the configured rate. The crate `sandgw-cluster` sends the updates of
//! clients' locations.
//!
//! A relay that starts requests groups from the other relays at once, as the loads of all relays add up. It
//! requests clients from one relay after another, as all relays know the same clients apart from lost
//! messages: by comparing digests, each relay sends only the buckets that differ (`requester`). The responder
//! first sends a plan, then numbered chunks (`responder`); the requester requests lost chunks again.
//! Duplicates and answers to earlier requests are ignored, so that no load is added twice.

mod requester;
mod responder;
mod send_budget;

use sandgw_units::timer::AcknowledgedTimer;

use crate::codec::{ClusterMessage, TableKind};
use crate::outbox::Outbox;
use crate::{Affinity, Millis};
use requester::Requester;
use responder::Responder;
use send_budget::SendBudget;

pub use crate::position::FULL_MESH_RELAYS;

/// Interval of the timer that sends queued chunks. A shorter interval would cause too many timer calls.
const SEND_INTERVAL_MS: Millis = 10.0;

/// Identifies a request and all messages that answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestId {
    /// The other relay: at the requester, this is the responder; at the responder, the requester.
    peer: u32,
    round: u32,
    table: TableKind,
}

/// The position of a chunk in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ChunkId {
    bucket: u8,
    chunk: u16,
}

/// Puts messages into the outbox and charges them to the send budget.
struct Sender<'a> {
    budget: &'a mut SendBudget,
    out: &'a mut Outbox,
}

impl Sender<'_> {
    fn send(&mut self, peer: u32, message: ClusterMessage) {
        self.budget.send(peer, message, self.out);
    }
}

/// The exchange of tables with the other relays.
pub struct Replication {
    requester: Requester,
    responder: Responder,
    budget: SendBudget,
    timer: AcknowledgedTimer,
}

impl Replication {
    /// Creates an exchange with nothing in flight. `seed` should differ with each start of the relay.
    pub fn new(seed: u64) -> Self {
        Replication {
            requester: Requester::new(seed),
            responder: Responder::default(),
            budget: SendBudget::default(),
            timer: AcknowledgedTimer::default(),
        }
    }

    /// Number of chunks that were requested again, by this relay or by others.
    pub fn resent_chunks(&self) -> u64 {
        self.requester.resend_requests() + self.responder.resent_chunks()
    }

    /// Whether any request of this relay is in flight.
    pub fn is_recovering(&self) -> bool {
        self.requester.is_recovering()
    }

    /// Whether groups have been received since the last call.
    pub fn take_learned(&mut self) -> bool {
        self.requester.take_learned()
    }

    /// Requests the other relays' tables.
    pub fn recover(&mut self, affinity: &Affinity, now: Millis, out: &mut Outbox) {
        let sender = &mut Sender { budget: &mut self.budget, out };
        self.requester.recover(affinity, now, sender);
    }

    /// Handles a message of another relay.
    pub fn receive(
        &mut self,
        affinity: &mut Affinity,
        now: Millis,
        peer: u32,
        message: ClusterMessage,
        out: &mut Outbox,
    ) {
        self.budget.refill(now, affinity.limits().sync_bytes_per_s);
        let sender = &mut Sender { budget: &mut self.budget, out };
        match message {
            ClusterMessage::LocationUpdate(rows) => {
                for row in rows {
                    for client in row.clients {
                        affinity.merge_session(now, client.key(), row.tag, 0);
                    }
                }
            }
            ClusterMessage::SyncRequest { round, table, digests } => {
                let request = RequestId { peer, round, table };
                self.responder.handle_request(affinity, now, request, &digests, sender);
            }
            ClusterMessage::SyncPlan { round, table, chunk_counts } => {
                let request = RequestId { peer, round, table };
                self.requester.handle_plan(affinity, now, request, &chunk_counts, sender);
            }
            chunk @ (ClusterMessage::Sessions { .. } | ClusterMessage::Groups { .. }) => {
                self.requester.handle_chunk(affinity, now, peer, chunk, sender);
            }
            ClusterMessage::Resend { round, table, bucket, chunks } => {
                let request = RequestId { peer, round, table };
                self.responder.handle_resend(now, request, bucket, chunks, sender);
            }
            // Other parts of the relay handle these messages.
            ClusterMessage::LocationQuery(_)
            | ClusterMessage::LoadReport(_)
            | ClusterMessage::ClusterLoads { .. }
            | ClusterMessage::PollRate { .. }
            | ClusterMessage::OverloadNotice(_)
            | ClusterMessage::Draining { .. }
            | ClusterMessage::DrainQuery(_) => {}
        }
    }

    /// Retries overdue requests, and sends queued chunks as far as the rate allows.
    pub fn on_timer(&mut self, affinity: &Affinity, now: Millis, out: &mut Outbox) {
        self.timer.acknowledge(now);
        self.budget.refill(now, affinity.limits().sync_bytes_per_s);
        let sender = &mut Sender { budget: &mut self.budget, out };
        self.requester.retry_overdue(affinity, now, sender);
        self.responder.send_queued(now, sender);
    }

    /// The time until [`Replication::on_timer`] is to be called; `None` if nothing is due or an earlier
    /// result already covers the call.
    pub fn timer(&mut self, now: Millis) -> Option<Millis> {
        let retries = self.requester.retry_deadlines();
        let queued = self.responder.has_queued().then_some(now + SEND_INTERVAL_MS);
        let next = retries.chain(queued).fold(f64::INFINITY, f64::min);
        if !next.is_finite() {
            return None;
        }
        self.timer.arm(now, next, requester::RETRY_AFTER_MS)
    }
}
