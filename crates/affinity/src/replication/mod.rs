//! How a relay that starts gets its tables back from the other relays.
//!
//! [`Replication`] owns the requests and the answers in flight. Inputs are messages and the time in
//! milliseconds; outputs are messages to send and when it wants to be called again. It never sends
//! unrequested, and never more than the stated rate allows. Updates of clients' locations are sent by
//! another crate, `sandgw-cluster`.
//!
//! A relay that starts requests every relay's groups, whose loads add up, and clients from one relay after
//! another, of which all know the same but for what was lost: digests see to it that only the difference is
//! sent (`requester`). The answer is planned first, then sent in numbered chunks (`responder`); lost ones
//! are requested again. Duplicates and answers to earlier requests are ignored, so loads are never added
//! twice.

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

/// While chunks are queued, a timer of this length sends the next of them: shorter ones would be too many.
const SEND_INTERVAL_MS: Millis = 10.0;

/// What identifies one request and all messages that answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestId {
    /// The other relay: the responder at the requester, the requester at the responder.
    peer: u32,
    round: u32,
    table: TableKind,
}

/// A chunk's place in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ChunkId {
    bucket: u8,
    chunk: u16,
}

/// Where messages go, with the rate that bounds them.
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
    /// Nothing is in flight yet. `seed` is a new one with every start.
    pub fn new(seed: u64) -> Self {
        Replication {
            requester: Requester::new(seed),
            responder: Responder::default(),
            budget: SendBudget::default(),
            timer: AcknowledgedTimer::default(),
        }
    }

    /// Chunks that were requested again, by this relay or by others.
    pub fn resent_chunks(&self) -> u64 {
        self.requester.resend_requests() + self.responder.resent_chunks()
    }

    /// Whether a request is in flight.
    pub fn is_recovering(&self) -> bool {
        self.requester.is_recovering()
    }

    /// Whether groups have come in since the last call.
    pub fn take_learned(&mut self) -> bool {
        self.requester.take_learned()
    }

    /// Requests the other relays' tables.
    pub fn recover(&mut self, affinity: &Affinity, now: Millis, out: &mut Outbox) {
        let sender = &mut Sender { budget: &mut self.budget, out };
        self.requester.recover(affinity, now, sender);
    }

    /// Takes another relay's message.
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
            // For other parts of the relay.
            ClusterMessage::LocationQuery(_)
            | ClusterMessage::LoadReport(_)
            | ClusterMessage::ClusterLoads { .. }
            | ClusterMessage::PollRate { .. }
            | ClusterMessage::OverloadNotice(_)
            | ClusterMessage::Draining { .. }
            | ClusterMessage::DrainQuery(_) => {}
        }
    }

    /// Requests again what is overdue, and sends queued chunks as far as the rate allows.
    pub fn on_timer(&mut self, affinity: &Affinity, now: Millis, out: &mut Outbox) {
        self.timer.acknowledge(now);
        self.budget.refill(now, affinity.limits().sync_bytes_per_s);
        let sender = &mut Sender { budget: &mut self.budget, out };
        self.requester.retry_overdue(affinity, now, sender);
        self.responder.send_queued(now, sender);
    }

    /// In how long to call [`Replication::on_timer`], unless that was requested before.
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
