//! Commands of the core: the values that [`Relay::take_commands`](super::Relay::take_commands) returns and a
//! driver carries out in order. Times are absolute milliseconds on the core's clock unless said otherwise.

use crate::policy::api::{EndpointId, Millis, PeerMessage, RequestId};

/// A final reply from the relay itself rather than from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalReply {
    /// The request was rejected. A retry is harmless, after this many milliseconds if a time is given.
    Rejected(Option<Millis>),
    /// The request failed. The relay does not promise that a retry is harmless.
    Failed,
}

/// One attempt to set up a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Number of the attempt, from 0.
    pub number: u32,
    /// The endpoint to connect to.
    pub endpoint: EndpointId,
    /// Whether the endpoint was listed as ready when the attempt was decided. If so, the endpoint must still
    /// be ready when the attempt begins.
    pub was_ready: bool,
    /// When to give the attempt up.
    pub give_up_at: Millis,
    /// Time before which the first byte of the attempt has to be written, however long the transport takes to
    /// connect.
    pub write_by: Millis,
}

/// A command for one connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionCommand {
    /// Start an attempt.
    StartAttempt(Attempt),
    /// Give this final reply now, and cancel the attempt if one is in flight.
    Reply(LocalReply),
    /// Ask the client of the established connection to reconnect, then close both sides.
    Migrate,
    /// Transfer the established connection to the process that serves now, if the connection's protocol
    /// allows it.
    Transfer,
}

/// A command for the drivers.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// A command for one connection.
    Connection(RequestId, ConnectionCommand),
    /// Call [`Relay::timer_fired`](super::Relay::timer_fired) with the token after this time.
    SetTimer {
        /// Milliseconds from now.
        after: Millis,
        /// The token.
        token: u64,
    },
    /// Subscribe to discovery's list.
    Subscribe,
    /// Send a message to another relay.
    SendToPeer {
        /// Index of the relay.
        peer: u32,
        /// The message.
        message: PeerMessage,
    },
}
