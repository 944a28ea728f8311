//! The fronts: each a state machine that is fed bytes and knows no socket. A driver in [`crate::net`] does
//! the reading and writing, alike for all of them.

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

/// What has come of a client's bytes before its connection is placed.
#[derive(Debug, PartialEq)]
pub enum Arrive {
    /// More bytes are wanted.
    More,
    /// A connection asks to be placed.
    Connection(IncomingRequest),
    /// Nothing more will come of this connection: write what is in the reply, then close.
    Close,
}

/// What has come of an endpoint's bytes before the connection stands.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// More bytes are wanted.
    More,
    /// The endpoint has taken the connection; all that is left in the input goes to the client.
    Up,
    /// The attempt has ended.
    Ended(Outcome),
}

/// What a front knows of a standing connection, for the process that serves next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredProtocol {
    /// Its id and key.
    pub id: String,
    /// See above.
    pub key: String,
    /// Start of the endpoint's current line, and how many bytes of it have passed.
    pub word: Vec<u8>,
    /// See above.
    pub partial: u64,
    /// What the endpoint's last whole line says of its end: served, or sent away.
    pub announced: Option<bool>,
    /// How long the client's oldest line has been without an answer.
    pub unanswered: Option<Millis>,
}

/// One client's side of the relay and, while a forward is out, its endpoint's.
pub trait ClientProtocol {
    /// How long a client may take, from accept, until its connection is known.
    fn patience(&self) -> Millis;

    /// Takes bytes of a client that is not placed yet, and consumes those that it understands. Who asks how the
    /// relay does is told what it does.
    fn arrive(
        &mut self,
        now: Millis,
        does: ServingMode,
        input: &mut BytesMut,
        reply: &mut BytesMut,
    ) -> Arrive;

    /// Whether a client is in the middle of saying what it wants, of which this is left.
    fn has_begun(&self, input: &BytesMut) -> bool {
        !input.is_empty()
    }

    /// Whether a client may go on speaking before it has its answer.
    fn speaks_early(&self) -> bool {
        true
    }

    /// Starts a forward that is given up after `left`: writes what the endpoint is to see first.
    fn attempt(&mut self, left: Millis, out: &mut BytesMut);

    /// Whether the endpoint has been given all that it needs to act, once `out` is written.
    fn request_complete(&self) -> bool;

    /// Takes bytes of the endpoint until the connection stands or the attempt has ended. What is left in `input`
    /// when it stands goes to the client.
    fn answer(&mut self, input: &mut BytesMut, out: &mut BytesMut) -> Answer;

    /// How long an endpoint that says nothing to a complete request may take until the connection counts as
    /// standing; where nothing, it has to answer.
    fn up_when_quiet(&self) -> Option<Duration> {
        None
    }

    /// Writes a local reply.
    fn fixed(&mut self, response: LocalReply, reply: &mut BytesMut);

    /// Whether this client can only be told by a reset.
    fn resets(&self) -> bool {
        false
    }

    /// Sees bytes that a client of a standing connection has sent.
    fn client_sent(&mut self, now: Millis, bytes: &[u8]);

    /// Sees bytes that the endpoint has sent; gives a round trip when one was completed.
    fn endpoint_sent(&mut self, now: Millis, bytes: &[u8]) -> Option<Millis>;

    /// Bytes of the endpoint since the last place at which the relay may put in a message of its own, where
    /// such places are known.
    fn partial(&self) -> Option<usize>;

    /// How many of the endpoint's last bytes are no whole message yet and better wait for the rest of it: the relay may
    /// put in a message of its own before them, and an endpoint that breaks leaves nothing half said.
    fn held(&self) -> usize {
        0
    }

    /// Since when a client's message is without an answer.
    fn unanswered_since(&self) -> Option<Millis>;

    /// How long an endpoint may leave bytes unacknowledged, where no message tells that it has vanished.
    fn silence(&self) -> Option<Duration> {
        None
    }

    /// Writes what tells the client to come again.
    fn moved(&mut self, reply: &mut BytesMut);

    /// What the next process has to know to go on in this one's place; nothing where it could not.
    fn carry(&self, _now: Millis) -> Option<TransferredProtocol> {
        None
    }

    /// What the endpoint's last whole message says of the connection's end, if it does.
    fn announced(&self) -> Option<Outcome>;

    /// What it means that the endpoint has now ended the connection in good order.
    fn endpoint_end(&self) -> Outcome {
        self.announced().unwrap_or(Outcome::Reset)
    }
}
