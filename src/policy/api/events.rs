//! What the load balancer is told.

use sandgw_units::Millis;

use super::ids::{AttemptId, EndpointId, RequestId};
use super::list::{EndpointEntry, ListKind};
use super::messages::PeerMessage;
use super::request::{Outcome, Request};
use super::settings::Settings;

/// A measurement of an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// Its load now, in work (ms) a second.
    Load(f64),
    /// How long a message takes at its endpoint now, in ms.
    MessageDelay(Millis),
}

/// What the load balancer is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// New settings are in force, whole. A class that a request has is the same at its position as before.
    Settings(Box<Settings>),
    /// The list of endpoints, or changes to it.
    List {
        /// What `endpoints` contains.
        kind: ListKind,
        /// The entries.
        endpoints: Vec<EndpointEntry>,
    },
    /// Until when the list may be used for new attempts, in ms; without this event for ever.
    ListValidUntil(Millis),
    /// A request arrived.
    Request(Request),
    /// A connection that was routed through here before the start.
    ExistingConnection {
        /// The request behind it; its attempt 0 counts as made.
        request: Request,
        /// Its endpoint.
        endpoint: EndpointId,
    },
    /// An attempt's connection is established.
    Established {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Time since it was sent, in ms.
        elapsed: Millis,
    },
    /// An attempt ended, or the connection that came of it.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Its endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The request is finished.
        finished: bool,
    },
    /// The client has gone; nothing more is owed.
    ClientGone(RequestId),
    /// An established connection was measured.
    Measured {
        /// The request.
        request: RequestId,
        /// The measurement.
        measurement: Measurement,
    },
    /// A message from another relay.
    PeerMessage {
        /// The sender's number.
        peer: u32,
        /// The message.
        message: PeerMessage,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) is due; its token.
    Timer(u64),
}
