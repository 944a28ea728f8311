//! A connection as a listener has read it, before the core places it.

use crate::policy::api::{EndpointId, Key, Millis};

/// A client's request for a connection. Times are milliseconds on the core's clock.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncomingRequest {
    /// Name of its class.
    pub class: String,
    /// The client's key.
    pub client: Option<Key>,
    /// The key of its group.
    pub group: Option<Key>,
    /// When the client gives up.
    pub deadline: Millis,
    /// How much of the set-up budget was used before the request could be placed.
    pub setup_time_used: Millis,
    /// Expected load, in milliseconds of work a second.
    pub load: Option<f64>,
    /// Whether it is a connection that is open already, and whose packets, routed through another relay so
    /// far, now arrive here.
    pub mid_flow: bool,
    /// The client was here before.
    pub returned: bool,
    /// Its endpoint migrates it by itself when it drains.
    pub drained_by_endpoint: bool,
    /// Whether it can go on without this process: the network reroutes its packets where packets pass
    /// through, and its sockets can be transferred to the next process.
    pub reroutable: bool,
    /// It can't be set up anew: only the endpoint that already has it will do.
    pub existing_endpoint_only: bool,
    /// The endpoint that already had it when this process started.
    pub existing_endpoint: Option<EndpointId>,
    /// The tenant that it belongs to.
    pub tenant: Option<Key>,
    /// File descriptors are nearly used up.
    pub descriptors_short: bool,
}
