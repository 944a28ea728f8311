//! Identifiers of requests, attempts, endpoints, keys, classes and zones.

use std::sync::Arc;

/// Identifies a request and the connection that it becomes. A client's retry is a new request with a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an endpoint. The id stays the same when the endpoint's process restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub Arc<str>);

/// A client key or a group key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub Arc<str>);

/// Position of a class in [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Number of an attempt within its request, counted from 0 in the order in which attempts are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// Name of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub Arc<str>);
