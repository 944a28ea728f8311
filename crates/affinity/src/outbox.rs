//! Cluster messages that are to be sent to other relays.

use crate::codec::ClusterMessage;

/// A cluster message and the relay that receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Index of the receiving relay.
    pub peer: u32,
    /// The message.
    pub message: ClusterMessage,
}

impl OutgoingMessage {
    /// A message to the relay with the index `peer`.
    pub fn new(peer: u32, message: ClusterMessage) -> Self {
        OutgoingMessage { peer, message }
    }
}

/// Messages in the order in which they are to be sent.
pub type Outbox = Vec<OutgoingMessage>;
