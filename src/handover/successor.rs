//! The new process's side of a hand-over: it takes the old one's state, requests the relay and serves once
//! it owns it.

use thiserror::Error;

use super::Message;
use crate::policy::api::Millis;

/// How long the old process may take for each message.
const MESSAGE_TIMEOUT_MS: Millis = 2000.0;

/// Why a relay was not taken over.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TakeoverError {
    /// The old process refuses, with its reason.
    #[error("the running process refuses: {0}")]
    Refused(String),
    /// A message was not the next one of the protocol.
    #[error("the running process speaks out of turn")]
    OutOfTurn,
}

/// What the new process does next.
#[derive(Clone, Debug, PartialEq)]
pub enum SuccessorAction {
    /// Apply the message.
    Apply,
    /// The snapshot is complete: send [`Message::TakeoverRequest`].
    RequestTakeover,
    /// Apply the message, get ready, and send [`Message::OwnershipClaim`].
    ClaimOwnership,
    /// Accept.
    Serve,
    /// Give up.
    Fail(TakeoverError),
}

/// State of the new process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SuccessorProcess {
    /// It has said what it is, and receives the snapshot.
    #[default]
    ReceivingSnapshot,
    /// It has requested the relay.
    AwaitingStop,
    /// It has claimed ownership.
    AwaitingOwnership,
    /// It accepts.
    Owner,
}

impl SuccessorProcess {
    /// Takes a message of the old process. A message that fails changes no state.
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
            Message::AffinityRecords(_) => SuccessorAction::Apply,
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

    /// What the old process still has, until it ends.
    fn handle_remainder(message: &Message) -> SuccessorAction {
        match message {
            Message::AffinityRecords(_) | Message::Connection { .. } | Message::DescriptorsInUse { .. } => {
                SuccessorAction::Apply
            }
            _ => SuccessorAction::Fail(TakeoverError::OutOfTurn),
        }
    }

    /// For how many milliseconds to wait for the next message; `None` without a limit.
    pub fn message_timeout_ms(self) -> Option<Millis> {
        (self != SuccessorProcess::Owner).then_some(MESSAGE_TIMEOUT_MS)
    }
}
