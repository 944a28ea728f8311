//! Entries of the list, as the discovery service writes them. Its field names meet ours here.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;

use super::errors::ListError;
use crate::policy::api::*;

/// The largest size of an endpoint.
const MAX_SIZE: f64 = 1e6;
/// The latest start of an endpoint: what is later is no time in milliseconds.
const MAX_START_MS: Millis = 1e14;
/// Where the list gives no size.
const DEFAULT_SIZE: f64 = 1.0;

/// An entry, and where its endpoint listens for this relay.
pub(super) struct ListedEndpoint {
    pub entry: EndpointEntry,
    /// There is always one but for endpoints that were removed.
    pub address: Option<SocketAddr>,
}

impl ListedEndpoint {
    /// Reads an entry, whole or not at all.
    pub fn read(value: &Value) -> Result<ListedEndpoint, ListError> {
        let id = value["id"].as_str().ok_or(ListError::NoId)?;
        let state = read_state(id, value)?;
        let address = value["host_port"].as_str().and_then(|text| text.parse().ok());
        if address.is_none() && state != EndpointState::Removed {
            return Err(ListError::Address { id: id.to_owned() });
        }
        let entry = EndpointEntry {
            id: EndpointId(Arc::from(id)),
            state,
            weight: read_number(id, value, "size", DEFAULT_SIZE, MAX_SIZE)?,
            started: read_number(id, value, "up_since_ms", 0.0, MAX_START_MS)?,
            zone: Zone(Arc::from(value["locality"].as_str().unwrap_or_default())),
            cell: value["cell"].as_u64().unwrap_or(0),
        };
        Ok(ListedEndpoint { entry, address })
    }
}

fn read_state(id: &str, value: &Value) -> Result<EndpointState, ListError> {
    match value["phase"].as_str() {
        Some("Ready") => Ok(EndpointState::Ready),
        Some("Terminating") => Ok(EndpointState::Draining),
        Some("Gone") => Ok(EndpointState::Removed),
        other => Err(ListError::Phase { id: id.to_owned(), phase: other.map(str::to_owned) }),
    }
}

/// A number from 0 to `max`. One that can't be read is an error: a start misread as long ago would have an
/// endpoint that warms up taken for a warm one.
fn read_number(id: &str, value: &Value, key: &'static str, default: f64, max: f64) -> Result<f64, ListError> {
    let value = &value[key];
    if value.is_null() {
        return Ok(default);
    }
    let number = value.as_f64().filter(|number| (0.0..=max).contains(number));
    number.ok_or_else(|| ListError::Figure { id: id.to_owned(), key, value: value.clone(), max })
}
