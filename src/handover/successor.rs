//! The successor's side of a hand-over: it receives the predecessor's state, requests the relay and serves
//! once it has ownership.

use thiserror::Error;

use super::Message;
use crate::policy::api::Millis;

/// How long the predecessor may take for each message.
const MESSAGE_TIMEOUT_MS: Millis = 2000.0;

/// Why the successor could not take the relay over.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TakeoverError {
    /// The predecessor refuses, with its reason.
    #[error("the running process refuses: {0}")]
    Refused(String),
    /// A message was not the next message of the hand-over protocol.
    #[error("the running process sent a message that does not fit the state of the hand-over")]
    OutOfTurn,
}

/// What the successor does next.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorAction {
    /// Apply the message to the successor's state.
    Apply,
    /// The snapshot is complete: send [`Message::TakeoverRequest`].
    RequestTakeover,
    /// Apply the message, prepare to accept, and send [`Message::OwnershipClaim`].
    ClaimOwnership,
    /// Start to accept connections.
    Serve,
    /// Abandon the hand-over.
    Fail(TakeoverError),
}

/// State of the successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SuccessorProcess {
    /// The successor has sent [`Message::Hello`], and receives the snapshot.
    #[default]
    ReceivingSnapshot,
    /// The successor has requested the relay, and waits until the predecessor stops accepting.
    AwaitingStop,
    /// The successor has claimed ownership, and waits for the grant.
    AwaitingOwnership,
    /// The successor owns the relay and accepts connections.
    Owner,
}

impl SuccessorProcess {
    /// Handles a message of the predecessor. A message that leads to [`SuccessorAction::Fail`] changes no
    /// state.
    pub fn handle_message(&mut self, message: &Message) -> SuccessorAction {
        if let Message::Refused(reason) = message {
            return SuccessorAction::Fail(TakeoverError::Refused(reason.clone()));
        }
        match *self {
            SuccessorProcess::ReceivingSnapshot => self.handle_snapshot(message),
            SuccessorProcess::AwaitingStop => self.handle_stop(message),
            SuccessorProcess::AwaitingOwnership => self.handle_grant(message),
            SuccessorProcess::Owner => Self::handle_remainder(message),
        }
    }

    fn handle_snapshot(&mut self, message: &Message) -> SuccessorAction {
        match message {
            Message::VersionAgreement { .. }
            | Message::EndpointList { .. }
            | Message::AffinityRecords(_)
            | Message::LearnedState(_)
            | Message::ConnectionIds(_)
            | Message::ListeningSockets(_) => SuccessorAction::Apply,
            Message::SnapshotComplete => {
                *self = SuccessorProcess::AwaitingStop;
                SuccessorAction::RequestTakeover
            }
            _ => SuccessorAction::Fail(TakeoverError::OutOfTurn),
        }
    }

    fn handle_stop(&mut self, message: &Message) -> SuccessorAction {
        match message {
            Message::AffinityRecords(_) | Message::ConnectionIds(_) => SuccessorAction::Apply,
            Message::AcceptingStopped { .. } => {
                *self = SuccessorProcess::AwaitingOwnership;
                SuccessorAction::ClaimOwnership
            }
            _ => SuccessorAction::Fail(TakeoverError::OutOfTurn),
        }
    }

    fn handle_grant(&mut self, message: &Message) -> SuccessorAction {
        match message {
            Message::OwnershipGranted => {
                *self = SuccessorProcess::Owner;
                SuccessorAction::Serve
            }
            _ => SuccessorAction::Fail(TakeoverError::OutOfTurn),
        }
    }

    /// Handles what the predecessor still sends after the grant, until the predecessor ends.
    fn handle_remainder(message: &Message) -> SuccessorAction {
        match message {
            Message::AffinityRecords(_)
            | Message::ConnectionIds(_)
            | Message::Connection { .. }
            | Message::DescriptorsInUse { .. } => SuccessorAction::Apply,
            _ => SuccessorAction::Fail(TakeoverError::OutOfTurn),
        }
    }

    /// How long to wait for the next message, in ms; `None` means without a limit.
    pub fn message_timeout_ms(self) -> Option<Millis> {
        (self != SuccessorProcess::Owner).then_some(MESSAGE_TIMEOUT_MS)
    }
}
