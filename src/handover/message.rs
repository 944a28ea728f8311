//! The messages between the two processes of a hand-over. They are encoded with postcard: the order of the
//! variants, and the order and types of their fields, are the wire format.

use sandgw_affinity::Record;
use serde::{Deserialize, Serialize};

use super::FIRST_PROTOCOL_VERSION;
use crate::listener::TransferredProtocol;
use crate::policy::api::Millis;
use crate::policy::learned_state::LearnedState;
use crate::relay::TransferredConnection;

/// A message of either process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message of the new process.
    Hello {
        /// The newest version of the messages that it speaks.
        version: u32,
        /// Name of its relay.
        relay_name: String,
    },
    /// The relay can't be handed over now, with the reason.
    Refused(String),
    /// A part of the list of endpoints, each entry as discovery wrote it.
    EndpointList {
        /// Address of the discovery service that it is from.
        discovery: String,
        /// Its revision, where it is known.
        revision: Option<u64>,
        /// The entries, as JSON.
        entries: Vec<String>,
    },
    /// Entries of the affinity tables.
    AffinityRecords(Vec<Record>),
    /// What the load balancer has learned.
    LearnedState(LearnedState),
    /// Listening sockets, by their keys and addresses; the descriptors are passed beside it in this order.
    ListeningSockets(Vec<String>),
    /// The snapshot is complete.
    SnapshotComplete,
    /// The new process has the snapshot and requests the relay.
    TakeoverRequest,
    /// The old process has stopped accepting.
    AcceptingStopped {
        /// Descriptors that it has open.
        descriptors: u32,
        /// For how many milliseconds it has been on standby, if it is.
        standby: Option<Millis>,
        /// For how many milliseconds from now no new connection may go to an endpoint in slow start.
        slow_start_pause: Millis,
    },
    /// The new process is ready to accept.
    OwnershipClaim,
    /// It may accept: the old process never accepts again while the new one lives.
    OwnershipGranted,
    /// An established connection; its client's and its endpoint's descriptors are passed beside it.
    Connection {
        /// As the core has it.
        connection: Box<TransferredConnection>,
        /// As its protocol has it.
        protocol: Box<TransferredProtocol>,
        /// Bytes that were read from the client and not written to the endpoint.
        up: Vec<u8>,
        /// Bytes that were read from the endpoint and not written to the client.
        down: Vec<u8>,
    },
    /// Descriptors that the old process has open now.
    DescriptorsInUse {
        /// How many.
        descriptors: u32,
    },
    /// From version 2 on, before anything else: the version that both speak, and what is known of the
    /// cluster's schema versions.
    VersionAgreement {
        /// Version of the messages that follow.
        version: u32,
        /// For how many milliseconds the old process has listened for relays of older schema versions.
        listened: Millis,
        /// Its schema version advertisement.
        advertisement: String,
    },
}

/// The version to use with the sender of this message, for a process that speaks up to `newest`.
pub fn negotiate_version(hello: &Message, newest: u32) -> u32 {
    match hello {
        Message::Hello { version, .. } => newest.min(*version),
        _ => FIRST_PROTOCOL_VERSION,
    }
}
