//! Events: the inputs of the load balancer.

use sandgw_units::Millis;

use super::ids::{AttemptId, EndpointId, RequestId};
use super::list::{EndpointEntry, ListKind};
use super::messages::PeerMessage;
use super::request::{Outcome, Request};
use super::settings::Settings;

/// A measurement of an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// The connection's present load, in ms of work per second.
    Load(f64),
    /// How long a message takes at the connection's endpoint at present, in ms.
    MessageDelay(Millis),
}

/// An event that the load balancer handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A complete set of new settings takes effect. A class that any request refers to keeps its position in
    /// [`Settings::classes`].
    Settings(Box<Settings>),
    /// The endpoint list, or changes to it.
    List {
        /// Which entries of the endpoint list `endpoints` contains.
        kind: ListKind,
        /// The entries of the list.
        endpoints: Vec<EndpointEntry>,
    },
    /// The endpoint list may be used for new attempts until this time, in ms. Before the first such event the
    /// list may be used without limit.
    ListValidUntil(Millis),
    /// A request arrived.
    Request(Request),
    /// A connection that was already established through this relay before the load balancer started.
    ExistingConnection {
        /// The request that became the connection; its attempt 0 counts as made.
        request: Request,
        /// Endpoint of the connection.
        endpoint: EndpointId,
    },
    /// An attempt's connection is established.
    Established {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Time since the attempt was sent, in ms.
        elapsed: Millis,
    },
    /// An attempt has ended, or the connection that it established.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Endpoint of the attempt.
        endpoint: EndpointId,
        /// How the attempt or the connection ended.
        outcome: Outcome,
        /// Whether the request is finished, so that no further attempt is made for it.
        finished: bool,
    },
    /// The client has disconnected; the request needs no answer any more.
    ClientDisconnected(RequestId),
    /// A measurement of an established connection.
    Measured {
        /// The request.
        request: RequestId,
        /// The measurement.
        measurement: Measurement,
    },
    /// A message from another relay has arrived.
    PeerMessage {
        /// Number of the sending relay.
        peer: u32,
        /// The message.
        message: PeerMessage,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) has expired; carries the timer's token.
    Timer(u64),
}
