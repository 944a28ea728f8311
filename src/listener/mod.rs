//! The protocols that clients speak: each is a state machine that is fed bytes and does no I/O.
//!
//! A protocol owns what it has parsed of one client and of the endpoint's answer to it. It is given the
//! bytes read from both sides and the time in milliseconds, and returns what to do next and the bytes to
//! write. It never touches a socket, a timer or the load balancer: a driver in [`crate::net`] does that,
//! alike for all protocols.

pub mod line;
pub mod rtmp;
#[cfg(test)]
mod tests;

use std::time::Duration;

use bytes::BytesMut;
use serde::{Deserialize, Serialize};

use crate::policy::api::{Millis, Outcome};
use crate::relay::ServingMode;
use crate::relay::{IncomingRequest, LocalReply};

/// What a client's bytes have amounted to before its request is placed.
#[derive(Debug, PartialEq)]
pub enum ReadProgress {
    /// More bytes are needed.
    Incomplete,
    /// The client's request is complete and can be placed.
    Request(IncomingRequest),
    /// The client is not served: write what is in the reply, then close.
    Close,
}

/// What an endpoint's bytes have amounted to before the connection is established.
#[derive(Debug, PartialEq)]
pub enum AttemptAnswer {
    /// More bytes are needed.
    Incomplete,
    /// The endpoint has accepted the connection; everything left in the input belongs to the client.
    Established,
    /// The attempt has ended without a connection.
    Ended(Outcome),
}

/// The protocol's state of an established connection, as sent to the process that takes it over.
///
/// Encoded by position: the order and the types of the fields are part of the hand-over's format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredProtocol {
    /// Id of the connection.
    pub id: String,
    /// Key of its client.
    pub key: String,
    /// Start of the endpoint's current line.
    pub line_prefix: Vec<u8>,
    /// How many bytes of the endpoint's current line have been received.
    pub line_bytes: u64,
    /// The end that the endpoint's last whole line announces: completed, or sent to another endpoint.
    pub announced_completion: Option<bool>,
    /// How long the client's oldest line has been without an answer, in milliseconds.
    pub unanswered_ms: Option<Millis>,
}

/// One client's side of a connection and, during an attempt, its endpoint's.
pub trait ClientProtocol {
    /// How long a client may take, from accept, until its request is complete.
    fn handshake_timeout(&self) -> Millis;

    /// Reads bytes of a client whose request is not complete yet, and consumes those that it understands. A
    /// health check is answered by the serving mode.
    fn read_request(
        &mut self,
        now: Millis,
        mode: ServingMode,
        input: &mut BytesMut,
        reply: &mut BytesMut,
    ) -> ReadProgress;

    /// Whether a client has sent a part of its request, of which `input` is not consumed yet.
    fn request_begun(&self, input: &BytesMut) -> bool {
        !input.is_empty()
    }

    /// Whether a client may send more before it has the answer to its request.
    fn accepts_early_data(&self) -> bool {
        true
    }

    /// Begins an attempt that is given up after `time_left`: writes the first bytes for the endpoint.
    fn begin_attempt(&mut self, time_left: Millis, out: &mut BytesMut);

    /// Whether the endpoint has the whole request, and so may act on it, once `out` is written.
    fn request_complete(&self) -> bool;

    /// Reads bytes of the endpoint until the connection is established or the attempt has ended. What is
    /// left in `input` of an established connection goes to the client.
    fn read_answer(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> AttemptAnswer;

    /// After how long without a byte from an endpoint that has the whole request the connection counts as
    /// established; `None` where the endpoint has to answer.
    fn established_when_silent(&self) -> Option<Duration> {
        None
    }

    /// Writes a reply of the relay itself.
    fn write_local_reply(&mut self, response: LocalReply, reply: &mut BytesMut);

    /// Whether a reset is the only reply that this client understands.
    fn closes_by_reset(&self) -> bool {
        false
    }

    /// Observes bytes that the client of an established connection has sent.
    fn observe_client_bytes(&mut self, now: Millis, bytes: &[u8]);

    /// Observes bytes that the endpoint of an established connection has sent; returns a round-trip time
    /// when they complete one.
    fn observe_endpoint_bytes(&mut self, now: Millis, bytes: &[u8]) -> Option<Millis>;

    /// Bytes of the endpoint since the last message boundary, at which the relay may insert a message of
    /// its own; `None` where boundaries are not known.
    fn bytes_since_boundary(&self) -> Option<usize>;

    /// How many of the endpoint's last bytes are an incomplete message that should wait for its rest: the
    /// relay may insert a message before them, and an endpoint that breaks off leaves no partial message at
    /// the client.
    fn incomplete_tail(&self) -> usize {
        0
    }

    /// Since when a message of the client is without an answer.
    fn unanswered_since(&self) -> Option<Millis>;

    /// How long an endpoint may leave bytes unacknowledged, for protocols without a message that shows that
    /// it has vanished.
    fn unacknowledged_timeout(&self) -> Option<Duration> {
        None
    }

    /// Writes the message that asks the client to reconnect.
    fn write_migration(&mut self, reply: &mut BytesMut);

    /// The state that another process needs to take the connection over; `None` where it could not.
    fn export(&self, _now: Millis) -> Option<TransferredProtocol> {
        None
    }

    /// The end that the endpoint's last whole message announces, if it does.
    fn announced_outcome(&self) -> Option<Outcome>;

    /// The outcome if the endpoint closes the connection now, without a reset.
    fn outcome_at_end(&self) -> Outcome {
        self.announced_outcome().unwrap_or(Outcome::Reset)
    }
}
