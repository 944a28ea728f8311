//! The table of requests and connections, with the stage that each is in.
//!
//! An entry of the table has one [`RequestId`] from its acceptance to its end: the entry is a request until
//! an endpoint accepts it, and a connection from then on. The table decides nothing.

use std::collections::{BTreeSet, HashMap};

use super::incoming::IncomingRequest;
use crate::policy::api::{AttemptId, ClassId, EndpointId, Key, RequestId};

/// Stage of a request or connection.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ConnectionStage {
    /// The load balancer has the request; no attempt is in flight.
    Queued,
    /// An attempt to this endpoint is in flight.
    Attempting(EndpointId),
    /// This endpoint has accepted the connection.
    Established(EndpointId),
}

/// One request or connection.
pub(super) struct Connection {
    pub(super) stage: ConnectionStage,
    pub(super) class: Option<ClassId>,
    /// Number of attempts started.
    pub(super) attempts: u32,
    /// Whether the final reply was given, by an endpoint, by the core or before a transfer, or the client has
    /// left. No other reply may follow.
    pub(super) answered: bool,
    pub(super) existing_endpoint_only: bool,
    /// Whether the connection can go on without this process, as in
    /// [`IncomingRequest`](super::IncomingRequest).
    pub(super) reroutable: bool,
    /// Whether the client was asked to reconnect.
    pub(super) migrating: bool,
    /// Whether the transfer of the connection to another process was commanded.
    pub(super) transferring: bool,
    /// The tenant for whose quota the request or connection counts.
    pub(super) tenant: Option<Key>,
    /// Whether the connection counts for its tenant as established.
    pub(super) counted_established: bool,
}

impl Connection {
    /// Creates the entry of a request that was just accepted. `counted` says whether the request counts for
    /// its tenant.
    pub(super) fn queued(incoming: &IncomingRequest, class: Option<ClassId>, counted: bool) -> Self {
        Connection {
            stage: ConnectionStage::Queued,
            class,
            attempts: 0,
            answered: false,
            existing_endpoint_only: incoming.existing_endpoint_only,
            reroutable: incoming.reroutable,
            migrating: false,
            transferring: false,
            tenant: incoming.tenant.clone().filter(|_| counted),
            counted_established: false,
        }
    }

    /// Creates the entry of a connection that another process had established. The transferred data does not
    /// name the tenant.
    pub(super) fn transferred(endpoint: EndpointId, class: Option<ClassId>, reroutable: bool) -> Self {
        Connection {
            stage: ConnectionStage::Established(endpoint),
            class,
            attempts: 1,
            answered: true,
            existing_endpoint_only: false,
            reroutable,
            migrating: false,
            transferring: false,
            tenant: None,
            counted_established: false,
        }
    }

    pub(super) fn is_established(&self) -> bool {
        matches!(self.stage, ConnectionStage::Established(_))
    }

    /// Whether the connection is established at this endpoint.
    pub(super) fn is_established_at(&self, endpoint: &EndpointId) -> bool {
        matches!(&self.stage, ConnectionStage::Established(at) if at == endpoint)
    }

    /// Number of the attempt that was started last. At least one attempt must have been started.
    pub(super) fn last_attempt(&self) -> AttemptId {
        AttemptId(self.attempts - 1)
    }
}

/// All requests and connections of a relay.
#[derive(Default)]
pub(super) struct ConnectionTable {
    entries: HashMap<RequestId, Connection>,
    next_id: u64,
}

impl ConnectionTable {
    /// Allocates an id that no request or connection has had.
    pub(super) fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        id
    }

    pub(super) fn insert(&mut self, id: RequestId, connection: Connection) {
        self.entries.insert(id, connection);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<Connection> {
        self.entries.remove(&id)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&Connection> {
        self.entries.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Connection> {
        self.entries.get_mut(&id)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All requests and connections, in arbitrary order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Connection> {
        self.entries.values()
    }

    /// The classes that requests and connections refer to.
    pub(super) fn classes_in_use(&self) -> BTreeSet<ClassId> {
        self.values().filter_map(|connection| connection.class).collect()
    }

    /// Ids of the requests and connections that match the predicate, in ascending order.
    pub(super) fn sorted_ids(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self.ids(predicate).collect();
        ids.sort_unstable();
        ids
    }

    /// The lowest id of the requests and connections that match the predicate.
    pub(super) fn lowest_id(&self, predicate: impl Fn(&Connection) -> bool) -> Option<RequestId> {
        self.ids(predicate).min()
    }

    fn ids(&self, predicate: impl Fn(&Connection) -> bool) -> impl Iterator<Item = RequestId> {
        self.entries.iter().filter(move |(_, connection)| predicate(connection)).map(|(id, _)| *id)
    }
}
