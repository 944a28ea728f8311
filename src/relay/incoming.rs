//! A client's request as a listener has read it, before the core places it.

use crate::policy::api::{EndpointId, Key, Millis};

/// A client's request for a connection. Times are milliseconds on the core's clock.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncomingRequest {
    /// Name of the request's class.
    pub class: String,
    /// The client's key.
    pub client: Option<Key>,
    /// Key of the client's group.
    pub group: Option<Key>,
    /// When the client gives up.
    pub deadline: Millis,
    /// How much of the set-up budget was used before the request could be placed.
    pub setup_time_used: Millis,
    /// Expected load, in milliseconds of work a second.
    pub load: Option<f64>,
    /// Whether the connection is open already: its packets were routed through another relay so far, and now
    /// arrive here.
    pub mid_flow: bool,
    /// Whether the client was here before: it retries, or reconnects after its connection broke or was
    /// migrated.
    pub is_returning: bool,
    /// Whether the endpoint migrates the connection by itself when the endpoint drains.
    pub drained_by_endpoint: bool,
    /// Whether the connection can go on without this process: the network reroutes its packets where packets
    /// pass through, and its sockets can be transferred to the successor process.
    pub reroutable: bool,
    /// Whether the connection can't be set up anew, so that only the endpoint that already has it will do.
    pub existing_endpoint_only: bool,
    /// The endpoint that already had the connection when this process started.
    pub existing_endpoint: Option<EndpointId>,
    /// The tenant that the request belongs to.
    pub tenant: Option<Key>,
    /// Whether file descriptors are nearly used up.
    pub descriptors_short: bool,
}
