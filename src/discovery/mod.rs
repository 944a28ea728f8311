//! The endpoint list: discovery's list of endpoints, and what is asked of it.
//!
//! Nothing here knows a socket: a driver asks for [`EndpointList::request`] and hands the body of what comes back to
//! [`EndpointList::answer`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use sandgw_cluster::poll_scheduler;
use serde_json::Value;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::help::help;
use crate::policy::api::*;
use crate::policy::hashing::fraction;

/// How long discovery may hold a watch, at the least and at the most; each is drawn, so that relays whose watches were
/// all answered by one change do not go on in step. What a watch that has fallen silent misses counts as told 6 s
/// later, whether or not it arrived: by then the silence has to be noticed, and another call answered.
pub const WAIT: (Millis, Millis) = (1000.0, 2500.0);
/// How much longer an answer to a watch may be on its way: beyond that the watch is broken.
pub const ANSWERED_WITHIN: Millis = 1000.0;
/// A call that doesn't wait is answered at once, after at most the 2 s that discovery lets one queue.
pub const LIST_TIMEOUT: Millis = 2500.0;
/// Pause before the next try at a discovery service that has not answered since it was configured: what it
/// has to tell counts as told 4 s later.
pub const RETRY: Millis = 250.0;
/// Most that an endpoint's size may be, and its start: later is no time in milliseconds.
const LARGEST: f64 = 1e6;
const LATEST: Millis = 1e14;
/// Most bytes of one answer; a list of thousands of endpoints stays far below.
pub const ANSWER_BYTES: usize = 4 << 20;

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
    #[error("members: {id}: {key}: {value} is no number from 0 to {most}")]
    Figure {
        /// The endpoint.
        id: String,
        /// `size` or `up_since_ms`.
        key: &'static str,
        /// What stands there.
        value: Value,
        /// The most that it may be.
        most: f64,
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
    /// There was no answer within [`EndpointList::timeout`].
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

/// The list as this relay has it.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// The list's version; nothing where it is not known to be this discovery service's.
    revision: Option<u64>,
    /// No call has been answered since the start or since one failed: the version is of the list as last held.
    unconfirmed: bool,
    /// How long the latest call lets discovery wait, and what the draws for it go on from.
    wait: Millis,
    seed: u64,
    /// A call is out that has not been answered, for what is newer than this or for all of the list.
    asked: Option<Option<u64>>,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    /// The entries as they came, for the process that is to serve next.
    members: BTreeMap<EndpointId, Value>,
}

impl EndpointList {
    /// Starts from the list as last held, if there is one.
    pub fn known(known: &Value) -> Result<(Self, Vec<EndpointEntry>), ListError> {
        let mut group = EndpointList::default();
        if known.is_null() {
            return Ok((group, Vec::new()));
        }
        // What has changed since costs discovery less than the whole list. Should it be of another service, that one
        // says so at once, unless its versions are ahead by chance.
        let (_, entries) = group.read(known)?;
        group.unconfirmed = true;
        Ok((group, entries))
    }

    /// Takes the list as the process before held it; with its version where the same service is asked.
    pub fn handed(
        &mut self,
        revision: Option<u64>,
        members: Vec<Value>,
    ) -> Result<Vec<EndpointEntry>, ListError> {
        let list = serde_json::json!({"revision": 0, "complete": true, "members": members});
        let (_, entries) = self.read(&list)?;
        self.revision = revision;
        Ok(entries)
    }

    /// The list's version, where it is known to be this discovery service's, and its entries.
    pub fn held(&self) -> (Option<u64>, impl Iterator<Item = &Value>) {
        (self.revision, self.members.values())
    }

    /// Another service is asked from now on: versions are each service's own.
    pub fn moved(&mut self) {
        (self.revision, self.unconfirmed) = (None, false);
        // What the old one still answers is not of the list that is asked for now.
        self.asked = None;
    }

    /// Draws from another seed: each relay's waits are its own.
    pub fn reseed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// How long the call that was made last may take.
    pub fn timeout(&self) -> Millis {
        if self.wait > 0.0 { self.wait + ANSWERED_WITHIN } else { LIST_TIMEOUT }
    }

    /// The call that is out has failed. Changes are asked for without a wait next, which shows at once whether there
    /// is a service; whether a watch was broken by it that had been going on.
    pub fn broken(&mut self) -> bool {
        self.asked = None;
        !std::mem::replace(&mut self.unconfirmed, self.revision.is_some()) && self.revision.is_some()
    }

    /// In how long to ask anew after a watch has fallen silent, or was broken otherwise, in a tier of so many relays.
    pub fn anew(&mut self, relays: u32, silent: bool) -> Millis {
        let draw = self.draw();
        if silent {
            poll_scheduler::delay_after_silent_watch(relays, draw)
        } else {
            poll_scheduler::delay_after_broken_watch(relays, draw)
        }
    }

    fn draw(&mut self) -> f64 {
        self.seed = xxh3_64_with_seed(&[], self.seed);
        fraction(self.seed)
    }

    /// Where an endpoint listens for this relay; nowhere once it is gone, since nothing is sent there any more.
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.addresses.get(endpoint).copied()
    }

    /// What to ask for: the whole list, then the watch for what is newer.
    pub fn request(&mut self) -> String {
        self.asked = Some(self.revision);
        let going = self.revision.is_some() && !self.unconfirmed;
        self.wait = if going { (WAIT.0 + (WAIT.1 - WAIT.0) * self.draw()).round() } else { 0.0 };
        let wait = self.wait;
        let watch =
            self.revision.map(|after| format!("?after={after}&wait_ms={wait:.0}")).unwrap_or_default();
        format!("/v1/endpoints{watch}")
    }

    /// Takes the body of the answer to the call that is out, whole or not at all.
    pub fn answer(&mut self, body: &[u8]) -> Result<(ListKind, Vec<EndpointEntry>), ListError> {
        let after = self.asked.take().ok_or(ListError::Moved)?;
        let value: Value = serde_json::from_slice(body).map_err(ListError::NotJson)?;
        if value["complete"] == false {
            // Changes to a list that is not held would leave what they do not name as it is.
            let after = after.ok_or(ListError::NotWhole)?;
            if let Some(to) = value["revision"].as_u64().filter(|revision| *revision < after) {
                (self.revision, self.unconfirmed) = (None, false);
                return Err(ListError::WentBack { to, from: after });
            }
        }
        self.read(&value)
    }

    fn read(&mut self, value: &Value) -> Result<(ListKind, Vec<EndpointEntry>), ListError> {
        let field = |key, wanted| ListError::Field { key, wanted };
        let revision = value["revision"].as_u64().ok_or(field("revision", "a whole number"))?;
        let complete = value["complete"].as_bool().ok_or(field("complete", "true or false"))?;
        let members = value["members"].as_array().ok_or(field("members", "a list"))?;
        // All are read before any is taken: half a list would hide a drain.
        let read = members.iter().map(member).collect::<Result<Vec<_>, _>>()?;
        (self.revision, self.unconfirmed) = (Some(revision), false);
        let mut entries = Vec::with_capacity(read.len());
        if complete {
            self.addresses.clear();
            self.members.clear();
        }
        for ((entry, address), value) in read.into_iter().zip(members) {
            match entry.state {
                EndpointState::Removed => drop(self.members.remove(&entry.id)),
                _ => drop(self.members.insert(entry.id.clone(), value.clone())),
            }
            match address.filter(|_| entry.state != EndpointState::Removed) {
                Some(address) => drop(self.addresses.insert(entry.id.clone(), address)),
                None => drop(self.addresses.remove(&entry.id)),
            }
            entries.push(entry);
        }
        Ok((if complete { ListKind::Full } else { ListKind::Delta }, entries))
    }
}

fn member(value: &Value) -> Result<(EndpointEntry, Option<SocketAddr>), ListError> {
    let id = value["id"].as_str().ok_or(ListError::NoId)?;
    let state = match value["phase"].as_str() {
        Some("Ready") => EndpointState::Ready,
        Some("Terminating") => EndpointState::Draining,
        Some("Gone") => EndpointState::Removed,
        other => return Err(ListError::Phase { id: id.to_owned(), phase: other.map(str::to_owned) }),
    };
    let address = value["host_port"].as_str().and_then(|a| a.parse().ok());
    if address.is_none() && state != EndpointState::Removed {
        return Err(ListError::Address { id: id.to_owned() });
    }
    // A start misread as long ago would have a cold endpoint taken for a warm one.
    let number = |key: &'static str, absent: f64, most: f64| match &value[key] {
        Value::Null => Ok(absent),
        other => {
            let number = other.as_f64().filter(|n| (0.0..=most).contains(n));
            let wrong = || ListError::Figure { id: id.to_owned(), key, value: other.clone(), most };
            number.ok_or_else(wrong)
        }
    };
    let entry = EndpointEntry {
        id: EndpointId(Arc::from(id)),
        state,
        weight: number("size", 1.0, LARGEST)?,
        started: number("up_since_ms", 0.0, LATEST)?,
        zone: Zone(Arc::from(value["locality"].as_str().unwrap_or_default())),
        cell: value["cell"].as_u64().unwrap_or(0),
    };
    Ok((entry, address))
}
