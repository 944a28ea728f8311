//! A connection on its way from one process of a relay to the next.

use serde::{Deserialize, Serialize};

/// A standing connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredConnection {
    /// Its class, by name.
    pub class: String,
    /// Its endpoint.
    pub endpoint: String,
    pub(crate) client: Option<String>,
    pub(crate) group: Option<String>,
    pub(crate) load: Option<f64>,
    pub(crate) drained_by_endpoint: bool,
    pub(crate) rerouted_by_front: bool,
}
