//! The messages between the two processes of a hand-over. They are encoded with postcard, so the order of the
//! variants, and the order and types of their fields, define the wire format.

use sandgw_affinity::Record;
use serde::{Deserialize, Serialize};

use super::{CONNECTION_IDS_VERSION, FIRST_PROTOCOL_VERSION};
use crate::listener::TransferredProtocol;
use crate::policy::api::Millis;
use crate::policy::learned_state::LearnedState;
use crate::relay::TransferredConnection;

/// A message from the predecessor process or the successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The successor's first message.
    Hello {
        /// The newest protocol version that the successor speaks.
        version: u32,
        /// Name of the successor's relay.
        relay_name: String,
    },
    /// The predecessor refuses to hand the relay over, for this reason.
    Refused(String),
    /// A part of the endpoint list, each entry as discovery sent it.
    EndpointList {
        /// Address of the discovery service that sent the list.
        discovery: String,
        /// Revision of the list, if it is known.
        revision: Option<u64>,
        /// The entries, as JSON.
        entries: Vec<String>,
    },
    /// Entries of the affinity tables.
    AffinityRecords(Vec<Record>),
    /// What the load balancer has learned.
    LearnedState(LearnedState),
    /// Keys and addresses of the listening sockets. Their descriptors are passed with the message, in this
    /// order.
    ListeningSockets(Vec<String>),
    /// The snapshot is complete.
    SnapshotComplete,
    /// The successor has received the snapshot and requests the relay.
    TakeoverRequest,
    /// The predecessor has stopped accepting connections.
    AcceptingStopped {
        /// Number of descriptors that the predecessor has open.
        descriptors: u32,
        /// For how many milliseconds the predecessor has been on standby, if it is on standby.
        standby: Option<Millis>,
        /// For how many milliseconds from now no new connection may go to an endpoint in slow start.
        slow_start_pause: Millis,
    },
    /// The successor is ready to accept connections.
    OwnershipClaim,
    /// The successor may accept connections: the predecessor accepts none while the successor runs.
    OwnershipGranted,
    /// An established connection. The descriptors to its client and to its endpoint are passed with the
    /// message.
    Connection {
        /// The relay's state of the connection.
        connection: Box<TransferredConnection>,
        /// The protocol's state of the connection.
        protocol: Box<TransferredProtocol>,
        /// Bytes that were read from the client and are not yet written to the endpoint.
        pending_to_endpoint: Vec<u8>,
        /// Bytes that were read from the endpoint and are not yet written to the client.
        pending_to_client: Vec<u8>,
    },
    /// The predecessor's current use of descriptors.
    DescriptorsInUse {
        /// Number of descriptors that the predecessor has open.
        descriptors: u32,
    },
    /// The predecessor's first message from protocol version 2 on: the version that both processes speak, and
    /// what the predecessor knows of the cluster's schema versions.
    VersionAgreement {
        /// Protocol version of the messages that follow.
        version: u32,
        /// For how many milliseconds the predecessor has listened for relays of older schema versions.
        listened_ms: Millis,
        /// The predecessor's schema version advertisement.
        advertisement: String,
    },
    /// Hashes of the ids that clients of the predecessor have used, for successors of at least
    /// [`CONNECTION_IDS_VERSION`](super::CONNECTION_IDS_VERSION).
    ConnectionIds(Vec<u64>),
}

impl Message {
    /// Whether this is the first message of a successor that reads [`Message::ConnectionIds`].
    pub fn accepts_connection_ids(&self) -> bool {
        matches!(self, Message::Hello { version, .. } if *version >= CONNECTION_IDS_VERSION)
    }
}

/// The protocol version to use with the sender of this message, for a process whose newest version is
/// `newest`.
pub fn negotiate_version(hello: &Message, newest: u32) -> u32 {
    match hello {
        Message::Hello { version, .. } => newest.min(*version),
        _ => FIRST_PROTOCOL_VERSION,
    }
}
