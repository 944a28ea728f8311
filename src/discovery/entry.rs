//! Parses entries of the endpoint list: maps the discovery service's JSON fields to [`EndpointEntry`].

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;

use super::errors::ListError;
use crate::policy::api::*;

/// Upper limit of an entry's `size`.
const MAX_SIZE: f64 = 1e6;
/// Upper limit of an entry's `up_since_ms`. A larger number can't be a time in milliseconds.
const MAX_START_MS: Millis = 1e14;
/// Size of an endpoint whose entry has no `size`.
const DEFAULT_SIZE: f64 = 1.0;

/// An entry of the list, and the address at which its endpoint accepts connections from this relay.
pub(super) struct ListedEndpoint {
    pub entry: EndpointEntry,
    /// `None` only for endpoints that were removed.
    pub address: Option<SocketAddr>,
}

impl ListedEndpoint {
    /// Parses an entry. A single invalid field makes the whole entry an error.
    pub fn parse(value: &Value) -> Result<ListedEndpoint, ListError> {
        let id = value["id"].as_str().ok_or(ListError::MissingId)?;
        let state = parse_state(id, value)?;
        let address = value["host_port"].as_str().and_then(|text| text.parse().ok());
        if address.is_none() && state != EndpointState::Removed {
            return Err(ListError::InvalidAddress { id: id.to_owned() });
        }
        let entry = EndpointEntry {
            id: EndpointId(Arc::from(id)),
            state,
            weight: parse_number(id, value, "size", DEFAULT_SIZE, MAX_SIZE)?,
            started: parse_number(id, value, "up_since_ms", 0.0, MAX_START_MS)?,
            zone: Zone(Arc::from(value["locality"].as_str().unwrap_or_default())),
            cell: value["cell"].as_u64().unwrap_or(0),
        };
        Ok(ListedEndpoint { entry, address })
    }
}

fn parse_state(id: &str, value: &Value) -> Result<EndpointState, ListError> {
    match value["phase"].as_str() {
        Some("Ready") => Ok(EndpointState::Ready),
        Some("Terminating") => Ok(EndpointState::Draining),
        Some("Gone") => Ok(EndpointState::Removed),
        other => Err(ListError::UnknownPhase { id: id.to_owned(), phase: other.map(str::to_owned) }),
    }
}

/// Parses a number from 0 to `max`; a missing value gives the default. Any other value is an error: a start
/// time misread as long ago would have an endpoint that still warms up treated as a warm one.
fn parse_number(
    id: &str,
    value: &Value,
    key: &'static str,
    default: f64,
    max: f64,
) -> Result<f64, ListError> {
    let value = &value[key];
    if value.is_null() {
        return Ok(default);
    }
    let number = value.as_f64().filter(|number| (0.0..=max).contains(number));
    number.ok_or_else(|| ListError::InvalidNumber { id: id.to_owned(), key, value: value.clone(), max })
}
