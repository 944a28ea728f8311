//! The list of endpoints as discovery gives it, and what is asked of discovery.
//!
//! Nothing here knows a socket: a driver asks for [`EndpointList::next_request`] and hands the body of what
//! comes back to [`EndpointList::apply_answer`]. When to ask is decided by `sandgw_cluster::poll_scheduler`.

mod entry;
mod errors;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sandgw_cluster::poll_scheduler;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use errors::{CallError, ListError};

use self::entry::ListedEndpoint;
use crate::policy::api::*;
use crate::policy::hashing::unit_of_hash;

/// How long discovery may hold a watch at the least, in ms. Each wait is drawn, so that relays whose
/// watches were all answered by one change do not go on in step.
pub const MIN_WAIT_MS: Millis = 1000.0;
/// How long discovery may hold a watch at the most, in ms. What a watch that has fallen silent misses
/// counts as told 6 s later, whether or not it arrived: by then the silence has to be noticed, and another
/// call answered.
pub const MAX_WAIT_MS: Millis = 2500.0;
/// How much longer an answer to a watch may be on its way, in ms: beyond that the watch is broken.
pub const ANSWER_GRACE_MS: Millis = 1000.0;
/// A call that doesn't wait is answered at once, after at most the 2 s that discovery lets one queue.
pub const LIST_TIMEOUT_MS: Millis = 2500.0;
/// Pause before the next try at a discovery service that has not answered since it was configured, in ms:
/// what it has to tell counts as told 4 s later.
pub const RETRY_MS: Millis = 250.0;
/// Most bytes of one answer; a list of thousands of endpoints stays far below.
pub const ANSWER_BYTES: usize = 4 << 20;

/// The list as this relay has it.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// The list's version; nothing where it is not known to be this discovery service's.
    revision: Option<u64>,
    /// No call has been answered since the start or since one failed: the version is of the list as last
    /// held.
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
    ///
    /// # Errors
    ///
    /// What is wrong with that list; nothing of it has been taken.
    pub fn from_cached(known: &Value) -> Result<(Self, Vec<EndpointEntry>), ListError> {
        let mut list = EndpointList::default();
        if known.is_null() {
            return Ok((list, Vec::new()));
        }
        // What has changed since costs discovery less than the whole list. Should it be of another service,
        // that one says so at once, unless its versions are ahead by chance.
        let (_, entries) = list.read(known)?;
        list.unconfirmed = true;
        Ok((list, entries))
    }

    /// Takes the list as the process before held it; with its version where the same service is asked.
    ///
    /// # Errors
    ///
    /// What is wrong with that list; nothing of it has been taken.
    pub fn import(
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
    pub fn contents(&self) -> (Option<u64>, impl Iterator<Item = &Value>) {
        (self.revision, self.members.values())
    }

    /// Another service is asked from now on: versions are each service's own.
    pub fn service_replaced(&mut self) {
        self.revision = None;
        self.unconfirmed = false;
        // What the old one still answers is not of the list that is asked for now.
        self.asked = None;
    }

    /// Draws from another seed: each relay's waits are its own.
    pub fn reseed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// How long the call that was made last may take.
    pub fn timeout(&self) -> Millis {
        if self.is_watch() { self.wait + ANSWER_GRACE_MS } else { LIST_TIMEOUT_MS }
    }

    /// Whether the call that was made last is a watch, which discovery may hold.
    pub fn is_watch(&self) -> bool {
        self.wait > 0.0
    }

    /// The call that is out has failed. Changes are asked for without a wait next, which shows at once
    /// whether there is a service; whether a watch was broken by it that had been going on.
    pub fn poll_failed(&mut self) -> bool {
        self.asked = None;
        !std::mem::replace(&mut self.unconfirmed, self.revision.is_some()) && self.revision.is_some()
    }

    /// In how long to ask anew after a watch has fallen silent, or was broken otherwise, in a tier of so
    /// many relays.
    pub fn renewal_delay(&mut self, relays: u32, silent: bool) -> Millis {
        let draw = self.draw();
        if silent {
            poll_scheduler::delay_after_silent_watch(relays, draw)
        } else {
            poll_scheduler::delay_after_broken_watch(relays, draw)
        }
    }

    /// How long discovery may hold the next watch, in whole ms.
    fn draw_wait(&mut self) -> Millis {
        (MIN_WAIT_MS + (MAX_WAIT_MS - MIN_WAIT_MS) * self.draw()).round()
    }

    fn draw(&mut self) -> f64 {
        self.seed = xxh3_64_with_seed(&[], self.seed);
        unit_of_hash(self.seed)
    }

    /// Where an endpoint listens for this relay; nowhere once it is gone, since nothing is sent there any
    /// more.
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.addresses.get(endpoint).copied()
    }

    /// What to ask for: the whole list, then the watch for what is newer.
    pub fn next_request(&mut self) -> String {
        self.asked = Some(self.revision);
        let going = self.revision.is_some() && !self.unconfirmed;
        self.wait = if going { self.draw_wait() } else { 0.0 };
        let wait = self.wait;
        let watch =
            self.revision.map(|after| format!("?after={after}&wait_ms={wait:.0}")).unwrap_or_default();
        format!("/v1/endpoints{watch}")
    }

    /// Takes the body of the answer to the call that is out, whole or not at all.
    ///
    /// # Errors
    ///
    /// What is wrong with the answer; nothing of it has been taken, and the list held stays in force.
    pub fn apply_answer(&mut self, body: &[u8]) -> Result<(ListKind, Vec<EndpointEntry>), ListError> {
        let after = self.asked.take().ok_or(ListError::Moved)?;
        let value: Value = serde_json::from_slice(body).map_err(ListError::NotJson)?;
        if value["complete"] == false {
            // Changes to a list that is not held would leave what they do not name as it is.
            let after = after.ok_or(ListError::NotWhole)?;
            if let Some(to) = value["revision"].as_u64().filter(|revision| *revision < after) {
                self.revision = None;
                self.unconfirmed = false;
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
        let listed = members.iter().map(ListedEndpoint::read).collect::<Result<Vec<_>, _>>()?;
        self.revision = Some(revision);
        self.unconfirmed = false;
        if complete {
            self.addresses.clear();
            self.members.clear();
        }
        let mut entries = Vec::with_capacity(listed.len());
        for (endpoint, value) in listed.into_iter().zip(members) {
            entries.push(self.apply(endpoint, value));
        }
        let kind = if complete { ListKind::Full } else { ListKind::Delta };
        Ok((kind, entries))
    }

    /// Takes one entry. The address of an endpoint that was removed is forgotten: nothing is sent there any
    /// more.
    fn apply(&mut self, listed: ListedEndpoint, value: &Value) -> EndpointEntry {
        let ListedEndpoint { entry, address } = listed;
        if entry.state == EndpointState::Removed {
            self.members.remove(&entry.id);
            self.addresses.remove(&entry.id);
            return entry;
        }
        self.members.insert(entry.id.clone(), value.clone());
        if let Some(address) = address {
            self.addresses.insert(entry.id.clone(), address);
        }
        entry
    }
}
