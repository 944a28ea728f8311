//! The protocols that clients speak. Each is a state machine that is fed bytes and does no I/O.
//!
//! A protocol holds the parsing state of one client's connection and of the endpoint's answer to its request.
//! It is given the bytes read from both sides and the time in milliseconds, and returns what to do next and
//! the bytes to write. It never touches a socket, a timer or the load balancer: the driver in [`crate::net`]
//! does that in the same way for all protocols.

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

/// How far the client's request has been read, before the request is placed.
#[derive(Debug, PartialEq)]
pub enum ReadProgress {
    /// More bytes are needed.
    Incomplete,
    /// The client's request is complete and can be placed.
    Request(IncomingRequest),
    /// The client is not served: the driver writes the reply and closes the connection.
    Close,
}

/// What a client may send before it receives the answer to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyData {
    /// Nothing.
    Refused,
    /// Some messages. More would keep the relay from seeing that the client has left: the end of the
    /// connection is queued behind the data, and does not arrive while the queue is full.
    Limited,
    /// Any number of bytes: the client's connection was established before.
    Unlimited,
}

/// How far the endpoint's answer has been read, before the connection is established.
#[derive(Debug, PartialEq)]
pub enum AttemptAnswer {
    /// More bytes are needed.
    Incomplete,
    /// The endpoint has accepted the connection; everything left in the input belongs to the client.
    Established,
    /// The attempt has ended without a connection.
    Ended(Outcome),
}

/// The protocol state of an established connection, as sent to the successor process.
///
/// The fields are encoded by position: their order and types are part of the hand-over format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredProtocol {
    /// Id of the connection.
    pub id: String,
    /// Key of the client.
    pub key: String,
    /// Start of the endpoint's current line.
    pub line_prefix: Vec<u8>,
    /// How many bytes of the endpoint's current line have been received.
    pub line_bytes: u64,
    /// The end of the connection that the endpoint's last complete line announces, if any: `true` for a
    /// completed connection, `false` for one that migrates to another endpoint.
    pub announced_completion: Option<bool>,
    /// How long the client's oldest line has been without an answer, in milliseconds.
    pub unanswered_ms: Option<Millis>,
}

/// The protocol of one connection: the client's side and, during an attempt, the endpoint's side.
pub trait ClientProtocol {
    /// How long after accept a client may take to complete its request.
    fn handshake_timeout(&self) -> Millis;

    /// Reads bytes of a client whose request is not complete yet, and consumes the bytes that it parses. A
    /// health check is answered with the serving mode.
    fn read_request(
        &mut self,
        now: Millis,
        mode: ServingMode,
        input: &mut BytesMut,
        reply: &mut BytesMut,
    ) -> ReadProgress;

    /// Whether the client has sent a part of its request. `input` holds the bytes that are not consumed yet.
    fn request_begun(&self, input: &BytesMut) -> bool {
        !input.is_empty()
    }

    /// What the client may send before it receives the answer to its request.
    fn early_data(&self) -> EarlyData;

    /// Begins an attempt that times out after `time_left`, and writes the first bytes for the endpoint.
    fn begin_attempt(&mut self, time_left: Millis, out: &mut BytesMut);

    /// Whether the endpoint has the complete request, and so may act on it, once the bytes written to `out`
    /// are sent.
    fn request_complete(&self) -> bool;

    /// Reads bytes of the endpoint until the connection is established or the attempt has ended. For an
    /// established connection, the bytes left in `input` go to the client.
    fn read_answer(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> AttemptAnswer;

    /// How long an endpoint that has the complete request must send nothing for the connection to count as
    /// established; `None` where the endpoint has to answer.
    fn established_when_silent(&self) -> Option<Duration> {
        None
    }

    /// Writes a local reply.
    fn write_local_reply(&mut self, response: LocalReply, reply: &mut BytesMut);

    /// Whether a reset is the only reply that this client understands.
    fn closes_by_reset(&self) -> bool {
        false
    }

    /// Observes bytes that the client of an established connection has sent.
    fn observe_client_bytes(&mut self, now: Millis, bytes: &[u8]);

    /// Observes bytes that the endpoint of an established connection has sent; returns the round-trip time
    /// when these bytes answer a message of the client.
    fn observe_endpoint_bytes(&mut self, now: Millis, bytes: &[u8]) -> Option<Millis>;

    /// Number of bytes from the endpoint since the last message boundary, where the relay may insert a
    /// message of its own; `None` where boundaries are not known.
    fn bytes_since_boundary(&self) -> Option<usize>;

    /// How many of the last bytes from the endpoint belong to an incomplete message and should be held back
    /// until it is complete. The relay may insert a message before them, and the client receives no partial
    /// message when the endpoint closes in the middle of a message.
    fn incomplete_message_bytes(&self) -> usize {
        0
    }

    /// When the client sent the oldest message that the endpoint has not answered; `None` where there is
    /// none.
    fn unanswered_since(&self) -> Option<Millis>;

    /// How long an endpoint may leave bytes unacknowledged before it counts as lost, for protocols that have
    /// no message by which the loss shows.
    fn unacknowledged_timeout(&self) -> Option<Duration> {
        None
    }

    /// Writes the message that asks the client to reconnect.
    fn write_migration(&mut self, reply: &mut BytesMut);

    /// The state that the successor process needs to take the connection over; `None` where the connection
    /// can't be transferred.
    fn export(&self, _now: Millis) -> Option<TransferredProtocol> {
        None
    }

    /// The outcome that the endpoint's last complete message announces, if any.
    fn announced_outcome(&self) -> Option<Outcome>;

    /// The outcome of the connection if the endpoint closes it now, without a reset.
    fn outcome_at_end(&self) -> Outcome {
        self.announced_outcome().unwrap_or(Outcome::Reset)
    }
}
