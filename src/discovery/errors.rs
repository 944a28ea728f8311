//! Why a poll of discovery brings no list.

use serde_json::Value;
use thiserror::Error;

use crate::help::help;

/// What is wrong with a list of endpoints. Nothing of it has been taken.
#[derive(Debug, Error)]
pub enum ListError {
    /// The text is no JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A key of the list itself is missing or of another kind.
    #[error("{key}: must be {wanted}")]
    Field {
        /// The key.
        key: &'static str,
        /// What it must be.
        wanted: &'static str,
    },
    /// Changes came where nothing is held that they could change.
    #[error("complete: the whole list was asked for")]
    NotWhole,
    /// The list is older than the one that is held.
    #[error("revision: went back to {to} from {from}")]
    WentBack {
        /// The version that came.
        to: u64,
        /// The version that is held.
        from: u64,
    },
    /// The answer is to a call of another service.
    #[error("discovery has moved since it was asked")]
    Moved,
    /// An endpoint has no name.
    #[error("members: id: must be a text")]
    NoId,
    /// An endpoint's phase is none of those known.
    #[error("members: {id}: phase: unknown phase {phase:?}")]
    Phase {
        /// The endpoint.
        id: String,
        /// What stands there, if it is a text.
        phase: Option<String>,
    },
    /// Nothing can be sent to an endpoint.
    #[error("members: {id}: host_port: must be an address and a port")]
    Address {
        /// The endpoint.
        id: String,
    },
    /// An endpoint's figure can't be used.
    #[error("members: {id}: {key}: {value} is no number from 0 to {max}")]
    Figure {
        /// The endpoint.
        id: String,
        /// `size` or `up_since_ms`.
        key: &'static str,
        /// What stands there.
        value: Value,
        /// The most that it may be.
        max: f64,
    },
}

help!(ListError {
    NotJson: "not JSON" => "see that what answers there is the list service, and nothing cuts its answers short",
    Field: "must be" => "the list service speaks another form: look at its version",
    NotWhole: "the whole list was asked for" => "nothing where it stays at one; else look at the list service",
    WentBack: "went back to" => "nothing, the whole list is asked for next; if it repeats, services with lists of \
        their own share one address",
    Moved: "has moved since it was asked" => "nothing: the new one is asked at once",
    NoId: "members: id" => "look at how streamers are registered: one has no name",
    Phase: "unknown phase" => "the streamer's phase must be Ready, Terminating or Gone: look at how it is registered",
    Address: "host_port" => "register the streamer with an IP address and a port, no host name",
    Figure: "is no number from 0 to" => "register the streamer with a figure in that range, or without one",
});

/// Why a call of discovery has brought no list; the one held stays in force.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be made, or broke.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// There was no answer within [`EndpointList::timeout`](super::EndpointList::timeout).
    #[error("no answer in time")]
    Late,
    /// What came is no HTTP.
    #[error("not HTTP: {0}")]
    NotHttp(String),
    /// The service has answered with another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The connection ended before the answer did.
    #[error("the answer ended in its {0}")]
    Cut(&'static str),
    /// The answer is longer than a list can be.
    #[error("the answer is too long")]
    TooLong,
    /// The answer has come, but its list can't be taken.
    #[error(transparent)]
    List(#[from] ListError),
}

help!(CallError {
    Io: "os error" => "see that the list service runs and listens at that address",
    Late: "no answer in time" => "nothing at a start; later look at the load of the list service and the way there",
    NotHttp: "not HTTP" => "see that what listens at that address is the list service, with nothing that alters it",
    Status: "status" => "nothing where it comes once or twice at a start; else look at the list service and its load",
    Cut: "the answer ended in its" => "look at what ends its connections: the list service or something before it",
    TooLong: "the answer is too long" => "a list may have 4 MiB: see that what answers there is the list service",
} of List);
