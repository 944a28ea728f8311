//! Requests, and the outcomes of their attempts.

use std::borrow::Cow;

use sandgw_units::Millis;

use super::ids::{ClassId, Key, RequestId};

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request; `None` if the settings do not define it.
    pub class: Option<ClassId>,
    /// Key of the client, if the request carries one.
    pub client: Option<Key>,
    /// Key of the request's group of connections, if the request carries one.
    pub group: Option<Key>,
    /// When the client stops waiting for an answer.
    pub deadline: Millis,
    /// How much of the latency objective had passed before the relay could read the request, in ms.
    pub setup_time_used: Millis,
    /// Expected load, in ms of work per second.
    pub load: Option<f64>,
    /// Whether the request is for a connection that was established through another relay and whose packets
    /// now arrive at this one.
    pub mid_flow: bool,
    /// Whether the client has sent a request before: it retries, or reconnects after its connection broke or
    /// was migrated.
    pub is_returning: bool,
    /// Whether the endpoint itself notifies this client when it drains.
    pub drained_by_endpoint: bool,
}

impl Request {
    /// The client key, or the request's own id if it carries no client key.
    pub fn client_key(&self) -> Cow<'_, [u8]> {
        match &self.client {
            Some(key) => Cow::Borrowed(key.0.as_bytes()),
            None => Cow::Owned(self.id.0.to_le_bytes().to_vec()),
        }
    }
}

/// How an attempt, or the connection that it established, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Ok,
    /// The endpoint answered with an error; the attempt may have had an effect.
    Error,
    /// The endpoint rejected the attempt, which had no effect.
    Rejected,
    /// The endpoint did not answer in time; the attempt may have had an effect.
    TimedOut,
    /// No connection could be opened; the attempt had no effect.
    ConnectFailed,
    /// The connection was reset; the attempt may have had an effect.
    Reset,
    /// The attempt was cancelled; it may have had an effect.
    Cancelled,
    /// The attempt was not sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt may have had an effect, as far as this outcome tells.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
