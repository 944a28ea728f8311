//! What the core commands: the values that [`Relay::take_commands`](super::Relay::take_commands) returns
//! and a driver carries out in order. Times are absolute milliseconds on the core's clock unless said
//! otherwise.

use crate::policy::api::{EndpointId, Millis, PeerMessage, RequestId};

/// A final reply that the relay gives by itself, without one of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalReply {
    /// Rejected; a retry is harmless, after this many milliseconds.
    Rejected(Option<Millis>),
    /// Failed; nothing is promised about a retry.
    Failed,
}

/// One attempt to set up a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Number of the attempt, from 0.
    pub number: u32,
    /// Where to.
    pub endpoint: EndpointId,
    /// Whether the endpoint was listed as ready at the decision: then it must still be ready when the
    /// attempt begins.
    pub was_ready: bool,
    /// When to give the attempt up.
    pub until: Millis,
    /// Before when its first byte has to be written, however long the transport takes to connect.
    pub begin_by: Millis,
}

/// A command for one connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ConnectionCommand {
    /// Start an attempt.
    StartAttempt(Attempt),
    /// Give this final reply now, and cancel the attempt if one is out.
    Reply(LocalReply),
    /// Ask the client of the established connection to reconnect, then close both sides.
    Migrate,
    /// Transfer the established connection to the process that serves now, if its protocol can.
    Transfer,
}

/// A command for the drivers.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// For one connection.
    Connection(RequestId, ConnectionCommand),
    /// Call [`Relay::timer_fired`](super::Relay::timer_fired) with the token after a while.
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
