//! Requests, and how their attempts end.

use std::borrow::Cow;

use sandgw_units::Millis;

use super::ids::{ClassId, Key, RequestId};

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class; `None` when the settings do not name it.
    pub class: Option<ClassId>,
    /// Its client key.
    pub client: Option<Key>,
    /// The key of its group of connections.
    pub group: Option<Key>,
    /// When the client gives up.
    pub deadline: Millis,
    /// How much of the wanted set-up time was used before the request could be read, in ms.
    pub setup_time_used: Millis,
    /// Expected load, in work (ms) a second.
    pub load: Option<f64>,
    /// Packets of an established connection that now arrive here.
    pub mid_flow: bool,
    /// The client was here before: it retries, or reconnects after its connection broke or was migrated.
    pub returned: bool,
    /// An endpoint that drains notifies its client by itself.
    pub drained_by_endpoint: bool,
}

impl Request {
    /// The client key, or the request's own id where it carries none.
    pub fn client_key(&self) -> Cow<'_, [u8]> {
        match &self.client {
            Some(key) => Cow::Borrowed(key.0.as_bytes()),
            None => Cow::Owned(self.id.0.to_le_bytes().to_vec()),
        }
    }
}

/// How an attempt, or the connection that came of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error; the attempt may have had an effect.
    Error,
    /// Rejected by the endpoint without an effect.
    Rejected,
    /// No reply in time; the attempt may have had an effect.
    TimedOut,
    /// No connection; the attempt had no effect.
    ConnectFailed,
    /// The connection was dropped; the attempt may have had an effect.
    Reset,
    /// Cancelled; the attempt may have had an effect.
    Cancelled,
    /// Not sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome leaves open that the attempt had an effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
