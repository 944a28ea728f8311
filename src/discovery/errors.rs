//! Errors of a poll of discovery.

use serde_json::Value;
use thiserror::Error;

use crate::help::help;

/// Why an endpoint list is rejected. Nothing of a rejected list is applied.
#[derive(Debug, Error)]
pub enum ListError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A field of the list itself, not of an entry, is missing or has the wrong type.
    #[error("{key}: must be {wanted}")]
    InvalidField {
        /// Name of the field.
        key: &'static str,
        /// The type that the field must have.
        wanted: &'static str,
    },
    /// The answer has changes to a list, but this relay has no list that they could apply to.
    #[error("complete: got changes where the full list was requested")]
    UnexpectedChanges,
    /// The revision of the answer is lower than that of the list that this relay has.
    #[error("revision: went back to {to} from {from}")]
    RevisionWentBack {
        /// Revision of the answer.
        to: u64,
        /// Revision of the list that this relay has.
        from: u64,
    },
    /// The answer is to a request that was sent to another discovery service.
    #[error("the discovery address changed after the request was sent")]
    ServiceReplaced,
    /// An entry of the endpoint list has no `id`, or an `id` that is not a text.
    #[error("members: id: must be a text")]
    MissingId,
    /// The `phase` of an entry of the list is missing or unknown.
    #[error("members: {id}: phase: unknown phase {phase:?}")]
    UnknownPhase {
        /// Id of the endpoint.
        id: String,
        /// The value of `phase`, if it is a text.
        phase: Option<String>,
    },
    /// The `host_port` of an entry of the list is missing or not an IP address with a port, so nothing can be
    /// sent to the endpoint.
    #[error("members: {id}: host_port: must be an address and a port")]
    InvalidAddress {
        /// Id of the endpoint.
        id: String,
    },
    /// A field of an entry of the list is not a number in the range that the field allows.
    #[error("members: {id}: {key}: {value} is no number from 0 to {max}")]
    InvalidNumber {
        /// Id of the endpoint.
        id: String,
        /// Name of the field: `size` or `up_since_ms`.
        key: &'static str,
        /// The value of the field.
        value: Value,
        /// The largest value allowed.
        max: f64,
    },
}

help!(ListError {
    NotJson: "not JSON" =>
        "check that the service at that address is discovery, and that nothing truncates its answers",
    InvalidField: "must be" => "discovery uses another format of the endpoint list: check its version",
    UnexpectedChanges: "got changes where the full list was requested" =>
        "no action is needed if it occurs once; otherwise check discovery",
    RevisionWentBack: "went back to" => "no action is needed, the relay requests the full list next; if it \
        repeats, services with different endpoint lists share one address",
    ServiceReplaced: "the discovery address changed after the request was sent" =>
        "no action is needed: the relay polls the new address at once",
    MissingId: "members: id" => "check how endpoints are registered: one has no id, or its id is not a text",
    UnknownPhase: "unknown phase" =>
        "the endpoint's phase must be Ready, Terminating or Gone: check how it is registered",
    InvalidAddress: "host_port" =>
        "register the endpoint with an IP address and a port, not with a host name",
    InvalidNumber: "is no number from 0 to" =>
        "register the endpoint with a number in that range, or without one",
});

/// Why a poll of discovery has failed. The list that this relay has stays in force.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be established, or broke.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// No answer came within [`EndpointList::timeout`](super::EndpointList::timeout).
    #[error("no answer in time")]
    TimedOut,
    /// The answer is not HTTP.
    #[error("not HTTP: {0}")]
    NotHttp(String),
    /// The service has answered with a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The connection ended within this part of the answer.
    #[error("the answer was cut off within its {0}")]
    Truncated(&'static str),
    /// The answer is longer than [`MAX_ANSWER_BYTES`](super::MAX_ANSWER_BYTES).
    #[error("the answer is too long")]
    TooLong,
    /// The answer is complete, but its list is rejected.
    #[error(transparent)]
    List(#[from] ListError),
}

help!(CallError {
    Io: "os error" => "check that discovery runs and listens at that address",
    TimedOut: "no answer in time" =>
        "no action is needed after a start; later check the load of discovery and the network path to it",
    NotHttp: "not HTTP" =>
        "check that the service at that address is discovery, and that nothing alters its answers",
    Status: "status" => "no action is needed if it occurs once or twice after a start; otherwise check \
        discovery and its load",
    Truncated: "the answer was cut off within its" =>
        "check what closes the connections: discovery, or a proxy in front of it",
    TooLong: "the answer is too long" =>
        "an endpoint list may have 4 MiB: check that the service at that address is discovery",
} of List);
