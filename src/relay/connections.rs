//! The table of requests and connections, with the stage that each is in.
//!
//! An entry has one [`RequestId`] from its acceptance to its end: it is a request until an endpoint has
//! taken it, and a connection from then on. The table decides nothing.

use std::collections::{BTreeSet, HashMap};

use super::incoming::IncomingRequest;
use crate::policy::api::{AttemptId, ClassId, EndpointId, Key, RequestId};

/// How far a request has come.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ConnectionStage {
    /// The load balancer has it; no attempt is out.
    Queued,
    /// An attempt to this endpoint is out.
    Attempting(EndpointId),
    /// This endpoint has taken it.
    Established(EndpointId),
}

/// One request or connection.
pub(super) struct Connection {
    pub(super) stage: ConnectionStage,
    pub(super) class: Option<ClassId>,
    /// Attempts started.
    pub(super) attempts: u32,
    /// The final reply was given, by an endpoint, by the core or before a transfer; or the client has left.
    /// No other reply may follow.
    pub(super) answered: bool,
    pub(super) existing_endpoint_only: bool,
    /// It can go on without this process, as in [`IncomingRequest`](super::IncomingRequest).
    pub(super) reroutable: bool,
    /// Its client was asked to reconnect.
    pub(super) migrating: bool,
    /// Its transfer to another process was commanded.
    pub(super) transferring: bool,
    /// The tenant for which it counts.
    pub(super) tenant: Option<Key>,
    /// It counts for its tenant as established.
    pub(super) counted_established: bool,
}

impl Connection {
    /// A request that was just accepted. `counted` says whether it counts for its tenant.
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

    /// A connection that another process had established. What was transferred does not name its tenant.
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

    /// Whether it is established at this endpoint.
    pub(super) fn is_established_at(&self, endpoint: &EndpointId) -> bool {
        matches!(&self.stage, ConnectionStage::Established(at) if at == endpoint)
    }

    /// Number of the attempt that was started last. At least one was started.
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
    /// An id that no entry has had.
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

    /// All entries, in no order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Connection> {
        self.entries.values()
    }

    /// Classes that entries refer to.
    pub(super) fn classes_in_use(&self) -> BTreeSet<ClassId> {
        self.values().filter_map(|connection| connection.class).collect()
    }

    /// Ids of the entries that fit, in ascending order.
    pub(super) fn sorted_ids(&self, fits: impl Fn(&Connection) -> bool) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self.ids(fits).collect();
        ids.sort_unstable();
        ids
    }

    /// The lowest id of the entries that fit.
    pub(super) fn lowest_id(&self, fits: impl Fn(&Connection) -> bool) -> Option<RequestId> {
        self.ids(fits).min()
    }

    fn ids(&self, fits: impl Fn(&Connection) -> bool) -> impl Iterator<Item = RequestId> {
        self.entries.iter().filter(move |(_, connection)| fits(connection)).map(|(id, _)| *id)
    }
}
