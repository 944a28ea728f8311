//! What the load balancer does.

use sandgw_units::Millis;

use super::ids::{EndpointId, RequestId};
use super::messages::PeerMessage;

/// What the load balancer does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// When to give the attempt up.
        until: Millis,
        /// Before when it has to begin: a connection may take its time to come up.
        begin_by: Millis,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client ought to wait, in ms.
        retry_after: Option<Millis>,
    },
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// Ask the client of an established connection to reconnect.
    Migrate(RequestId),
    /// Ask for [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Span from now, in ms.
        after: Millis,
        /// Comes back with the event.
        token: u64,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// Send a message to another relay, where [`Settings::peer_messages`](super::Settings::peer_messages)
    /// allows it.
    SendToPeer {
        /// The receiver's number.
        peer: u32,
        /// The message.
        message: PeerMessage,
    },
}

/// Actions in the order in which they are to be carried out.
pub type Actions = Vec<Action>;
