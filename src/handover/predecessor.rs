//! The old process's side of a hand-over: it serves, sends what it has, stops accepting and gives the relay
//! away.

use thiserror::Error;

use super::{FIRST_PROTOCOL_VERSION, Message, VERSION_MISMATCH};
use crate::policy::api::Millis;

/// How long a new process may take to say what it is.
const HELLO_TIMEOUT_MS: Millis = 1000.0;
/// How long it may take for the snapshot.
const SNAPSHOT_TIMEOUT_MS: Millis = 10_000.0;
/// How long nobody accepts at the most: until the old process resumes.
const CLAIM_TIMEOUT_MS: Millis = 1000.0;

/// Why the old process refuses a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// The new process speaks no version that this one speaks.
    #[error("{VERSION_MISMATCH}")]
    VersionMismatch,
    /// The new process is of another relay.
    #[error("it is another relay")]
    OtherRelay,
    /// The message is not the next one of the protocol.
    #[error("out of turn")]
    OutOfTurn,
}

/// What the old process does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PredecessorAction {
    /// Send all that it has, then [`Message::SnapshotComplete`].
    SendSnapshot,
    /// Stop accepting, then send what has changed and [`Message::AcceptingStopped`].
    StopAccepting,
    /// Send [`Message::OwnershipGranted`]; nothing is accepted here from now on.
    GrantOwnership,
    /// Send the reason, and close.
    Refuse(RefusalReason),
}

/// State of the old process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PredecessorProcess {
    /// A process has connected that has not said what it is.
    #[default]
    AwaitingHello,
    /// The snapshot is sent, and the new process has not requested the relay.
    SendingSnapshot,
    /// Accepting has stopped, and the new process has not claimed ownership.
    AwaitingClaim,
    /// The new process is the owner.
    HandedOver,
}

impl PredecessorProcess {
    /// Takes a message of the new process to the relay of this name. A message that is refused changes no
    /// state.
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

    /// For how many milliseconds to wait for the next message; `None` without a limit.
    pub fn message_timeout_ms(self) -> Option<Millis> {
        match self {
            PredecessorProcess::AwaitingHello => Some(HELLO_TIMEOUT_MS),
            PredecessorProcess::SendingSnapshot => Some(SNAPSHOT_TIMEOUT_MS),
            PredecessorProcess::AwaitingClaim => Some(CLAIM_TIMEOUT_MS),
            PredecessorProcess::HandedOver => None,
        }
    }

    /// Whether this process is to accept again, now that the new one has ended or was given up. One that
    /// was told to terminate finishes what it has, unless it is still the owner.
    pub fn resumes_accepting(self, terminated: bool) -> bool {
        match self {
            PredecessorProcess::AwaitingHello | PredecessorProcess::SendingSnapshot => false,
            PredecessorProcess::AwaitingClaim => true,
            PredecessorProcess::HandedOver => !terminated,
        }
    }
}
