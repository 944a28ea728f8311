//! Actions: what the load balancer asks the relay to carry out.

use sandgw_units::Millis;

use super::ids::{EndpointId, RequestId};
use super::messages::PeerMessage;

/// An action that the relay carries out for the load balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt to connect a request to an endpoint.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The endpoint to connect to.
        endpoint: EndpointId,
        /// When the attempt times out.
        give_up_at: Millis,
        /// The attempt must have been sent to the endpoint before this time; opening a connection for it may
        /// take a while.
        write_by: Millis,
    },
    /// Reject the request as its final answer: a retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry hint: how long the client should wait before it retries, in ms.
        retry_after: Option<Millis>,
    },
    /// Fail the request as its final answer, without a promise that a retry is harmless.
    Fail(RequestId),
    /// Ask the client of an established connection to reconnect.
    Migrate(RequestId),
    /// Set a timer, which comes back as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Delay from now, in ms.
        after: Millis,
        /// Token that is returned with the event.
        token: u64,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Send a message to another relay, if [`Settings::peer_messages`](super::Settings::peer_messages) allows
    /// it.
    SendToPeer {
        /// Number of the receiving relay.
        peer: u32,
        /// The message.
        message: PeerMessage,
    },
}

/// Actions, in the order in which the relay carries them out.
pub type Actions = Vec<Action>;
