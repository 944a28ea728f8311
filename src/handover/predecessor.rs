//! The predecessor's side of a hand-over: it sends its state, stops accepting and grants ownership of the
//! relay to the successor.

use thiserror::Error;

use super::{FIRST_PROTOCOL_VERSION, Message, VERSION_MISMATCH};
use crate::policy::api::Millis;

/// How long a connected process may take to send [`Message::Hello`].
const HELLO_TIMEOUT_MS: Millis = 1000.0;
/// How long the successor may take to receive the snapshot and request the relay.
const SNAPSHOT_TIMEOUT_MS: Millis = 10_000.0;
/// How long the successor may take to claim ownership. Neither process accepts in this period; after this
/// period the predecessor resumes accepting.
const CLAIM_TIMEOUT_MS: Millis = 1000.0;

/// Why the predecessor refuses a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// The successor speaks no protocol version that the predecessor speaks.
    #[error("{VERSION_MISMATCH}")]
    VersionMismatch,
    /// The successor belongs to another relay.
    #[error("it is another relay")]
    OtherRelay,
    /// The message is not the next message of the hand-over protocol.
    #[error("out of turn")]
    OutOfTurn,
}

/// What the predecessor does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PredecessorAction {
    /// Send the whole state, then [`Message::SnapshotComplete`].
    SendSnapshot,
    /// Stop accepting, then send the changes since the snapshot and [`Message::AcceptingStopped`].
    StopAccepting,
    /// Send [`Message::OwnershipGranted`], and accept nothing from now on.
    GrantOwnership,
    /// Send the reason, and close the link.
    Refuse(RefusalReason),
}

/// State of the predecessor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PredecessorProcess {
    /// A process has connected and has not yet sent [`Message::Hello`].
    #[default]
    AwaitingHello,
    /// The snapshot is being sent, and the successor has not yet requested the relay.
    SendingSnapshot,
    /// Accepting has stopped, and the successor has not yet claimed ownership.
    AwaitingClaim,
    /// The successor owns the relay.
    HandedOver,
}

impl PredecessorProcess {
    /// Handles a message of the successor; `relay_name` is the predecessor's relay. A refused message changes
    /// no state.
    pub fn handle_message(&mut self, message: &Message, relay_name: &str) -> PredecessorAction {
        match (*self, message) {
            (PredecessorProcess::AwaitingHello, Message::Hello { version, relay_name: other }) => {
                self.handle_hello(*version, other == relay_name)
            }
            (PredecessorProcess::SendingSnapshot, Message::TakeoverRequest) => {
                *self = PredecessorProcess::AwaitingClaim;
                PredecessorAction::StopAccepting
            }
            (PredecessorProcess::AwaitingClaim, Message::OwnershipClaim) => {
                *self = PredecessorProcess::HandedOver;
                PredecessorAction::GrantOwnership
            }
            _ => PredecessorAction::Refuse(RefusalReason::OutOfTurn),
        }
    }

    fn handle_hello(&mut self, version: u32, same_relay: bool) -> PredecessorAction {
        if version < FIRST_PROTOCOL_VERSION {
            return PredecessorAction::Refuse(RefusalReason::VersionMismatch);
        }
        if !same_relay {
            return PredecessorAction::Refuse(RefusalReason::OtherRelay);
        }
        *self = PredecessorProcess::SendingSnapshot;
        PredecessorAction::SendSnapshot
    }

    /// How long to wait for the next message, in ms; `None` means without a limit.
    pub fn message_timeout_ms(self) -> Option<Millis> {
        match self {
            PredecessorProcess::AwaitingHello => Some(HELLO_TIMEOUT_MS),
            PredecessorProcess::SendingSnapshot => Some(SNAPSHOT_TIMEOUT_MS),
            PredecessorProcess::AwaitingClaim => Some(CLAIM_TIMEOUT_MS),
            PredecessorProcess::HandedOver => None,
        }
    }

    /// Whether the predecessor is to accept again after the successor has ended or was given up. A
    /// predecessor that was told to terminate only finishes its connections, unless it still owns the relay.
    pub fn resumes_accepting(self, terminated: bool) -> bool {
        match self {
            PredecessorProcess::AwaitingHello | PredecessorProcess::SendingSnapshot => false,
            PredecessorProcess::AwaitingClaim => true,
            PredecessorProcess::HandedOver => !terminated,
        }
    }
}
