//! The endpoint list as received from discovery, and the requests that poll discovery for it.
//!
//! This module does no I/O: a driver sends the request of [`EndpointList::next_request`] and passes the body
//! of the answer to [`EndpointList::apply_answer`]. A watch is a request that discovery holds until the list
//! changes or a given wait ends. When to poll is decided by `sandgw_cluster::poll_scheduler`.

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
use crate::policy::hashing::unit_fraction_of_hash;

/// Shortest time for which discovery may hold a watch, in ms. The wait of each watch is drawn at random, so
/// that relays whose watches were all answered by one change do not go on to send their requests at the same
/// times.
pub const MIN_WAIT_MS: Millis = 1000.0;
/// Longest time for which discovery may hold a watch, in ms. A change that a silent watch misses counts as
/// known 6 s later, whether or not it has arrived: by then the relay has to have noticed the silence and
/// received the answer to another request.
pub const MAX_WAIT_MS: Millis = 2500.0;
/// Time that the answer to a watch may take beyond the wait, in ms. After that the watch counts as broken.
pub const ANSWER_GRACE_MS: Millis = 1000.0;
/// Timeout of a request that is not a watch, in ms. Discovery answers such a request at once, after at most
/// the 2 s for which it lets a request queue.
pub const LIST_TIMEOUT_MS: Millis = 2500.0;
/// Pause before the next request to a discovery service that has not answered since its address was
/// configured, in ms. The pause is short because the service's changes count as known 4 s later.
pub const RETRY_MS: Millis = 250.0;
/// Largest size of an answer, in bytes. A list of thousands of endpoints is far smaller.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The endpoint list that this relay has.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// Revision of the list; `None` where the list is not known to be the current discovery service's.
    revision: Option<u64>,
    /// Whether discovery has answered none of this relay's requests since this process started or since a
    /// request failed. `revision` is then that of the endpoint list as last known.
    unconfirmed: bool,
    /// For how long discovery may hold the latest request; 0 unless the request is a watch.
    wait: Millis,
    seed: u64,
    /// The request that waits for an answer, if any: `Some(revision)` where it asks for changes since that
    /// revision, `None` where it asks for the full list.
    pending_request: Option<Option<u64>>,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    /// The entries of the endpoint list as received from discovery, to be handed over to the successor
    /// process.
    raw_entries: BTreeMap<EndpointId, Value>,
}

impl EndpointList {
    /// Starts from the cached list, if there is one.
    ///
    /// # Errors
    ///
    /// Why the list is rejected. Nothing of a rejected list is applied.
    pub fn from_cached(cached: &Value) -> Result<(Self, Vec<EndpointEntry>), ListError> {
        let mut list = EndpointList::default();
        if cached.is_null() {
            return Ok((list, Vec::new()));
        }
        // Requesting the changes since the cached list's revision costs discovery less than the full list. If
        // the cached list is another service's, the current service shows so in its first answer, unless the
        // current service's revisions happen to be higher.
        let (_, entries) = list.apply_json(cached)?;
        list.unconfirmed = true;
        Ok((list, entries))
    }

    /// Applies the list of the predecessor process, with its revision if both processes poll the same
    /// service.
    ///
    /// # Errors
    ///
    /// Why the list is rejected. Nothing of a rejected list is applied.
    pub fn import(
        &mut self,
        revision: Option<u64>,
        raw_entries: Vec<Value>,
    ) -> Result<Vec<EndpointEntry>, ListError> {
        let list = serde_json::json!({"revision": 0, "complete": true, "members": raw_entries});
        let (_, entries) = self.apply_json(&list)?;
        self.revision = revision;
        Ok(entries)
    }

    /// The list's revision, if the list is known to be the current discovery service's, and its entries as
    /// received.
    pub fn revision_and_entries(&self) -> (Option<u64>, impl Iterator<Item = &Value>) {
        (self.revision, self.raw_entries.values())
    }

    /// Forgets the list's revision, since another service is polled from now on: each service has revisions
    /// of its own.
    pub fn service_replaced(&mut self) {
        self.revision = None;
        self.unconfirmed = false;
        // An answer of the old service to the pending request is not for the list that is requested now.
        self.pending_request = None;
    }

    /// Replaces the random seed, so that each relay draws waits of its own.
    pub fn reseed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Timeout of the latest request.
    pub fn timeout(&self) -> Millis {
        if self.is_watch() { self.wait + ANSWER_GRACE_MS } else { LIST_TIMEOUT_MS }
    }

    /// Whether the latest request is a watch, which discovery may hold.
    pub fn is_watch(&self) -> bool {
        self.wait > 0.0
    }

    /// Records that the pending request has failed. The next request asks for changes without a wait, which
    /// shows at once whether there is a service. Returns whether the failure broke a subscription that had
    /// been going on.
    pub fn poll_failed(&mut self) -> bool {
        self.pending_request = None;
        !std::mem::replace(&mut self.unconfirmed, self.revision.is_some()) && self.revision.is_some()
    }

    /// Delay before the next request after a watch has fallen silent, or was broken in another way, in a
    /// cluster of `relay_count` relays.
    pub fn renewal_delay(&mut self, relay_count: u32, is_silent: bool) -> Millis {
        let draw = self.draw();
        if is_silent {
            poll_scheduler::delay_after_silent_subscription(relay_count, draw)
        } else {
            poll_scheduler::delay_after_broken_subscription(relay_count, draw)
        }
    }

    /// Draws for how long discovery may hold the next watch, in whole ms.
    fn draw_wait(&mut self) -> Millis {
        (MIN_WAIT_MS + (MAX_WAIT_MS - MIN_WAIT_MS) * self.draw()).round()
    }

    fn draw(&mut self) -> f64 {
        self.seed = xxh3_64_with_seed(&[], self.seed);
        unit_fraction_of_hash(self.seed)
    }

    /// The address of an endpoint; `None` once the endpoint is removed, since nothing is sent to it any more.
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.addresses.get(endpoint).copied()
    }

    /// Path and query of the next request: first for the full list, then watches for changes to it.
    pub fn next_request(&mut self) -> String {
        self.pending_request = Some(self.revision);
        let is_subscribed = self.revision.is_some() && !self.unconfirmed;
        self.wait = if is_subscribed { self.draw_wait() } else { 0.0 };
        let wait = self.wait;
        let watch =
            self.revision.map(|after| format!("?after={after}&wait_ms={wait:.0}")).unwrap_or_default();
        format!("/v1/endpoints{watch}")
    }

    /// Applies the body of the answer to the pending request, entirely or not at all.
    ///
    /// # Errors
    ///
    /// Why the answer is rejected. Nothing of a rejected answer is applied, and the list known so far stays
    /// in force.
    pub fn apply_answer(&mut self, body: &[u8]) -> Result<(ListKind, Vec<EndpointEntry>), ListError> {
        let after = self.pending_request.take().ok_or(ListError::ServiceReplaced)?;
        let value: Value = serde_json::from_slice(body).map_err(ListError::NotJson)?;
        if value["complete"] == false {
            // Changes to a list that this relay does not have would leave the endpoints that the changes do
            // not name as they are.
            let after = after.ok_or(ListError::UnexpectedChanges)?;
            if let Some(to) = value["revision"].as_u64().filter(|revision| *revision < after) {
                self.revision = None;
                self.unconfirmed = false;
                return Err(ListError::RevisionWentBack { to, from: after });
            }
        }
        self.apply_json(&value)
    }

    fn apply_json(&mut self, value: &Value) -> Result<(ListKind, Vec<EndpointEntry>), ListError> {
        let field = |key, wanted| ListError::InvalidField { key, wanted };
        let revision = value["revision"].as_u64().ok_or(field("revision", "a whole number"))?;
        let complete = value["complete"].as_bool().ok_or(field("complete", "true or false"))?;
        let raw_entries = value["members"].as_array().ok_or(field("members", "a list"))?;
        // All entries are parsed before any is applied: half a list would hide that an endpoint drains.
        let listed = raw_entries.iter().map(ListedEndpoint::parse).collect::<Result<Vec<_>, _>>()?;
        self.revision = Some(revision);
        self.unconfirmed = false;
        if complete {
            self.addresses.clear();
            self.raw_entries.clear();
        }
        let mut entries = Vec::with_capacity(listed.len());
        for (endpoint, value) in listed.into_iter().zip(raw_entries) {
            entries.push(self.apply_entry(endpoint, value));
        }
        let kind = if complete { ListKind::Full } else { ListKind::Delta };
        Ok((kind, entries))
    }

    /// Applies one entry of the endpoint list. The address of an endpoint that was removed is forgotten,
    /// since nothing is sent there any more.
    fn apply_entry(&mut self, listed: ListedEndpoint, value: &Value) -> EndpointEntry {
        let ListedEndpoint { entry, address } = listed;
        if entry.state == EndpointState::Removed {
            self.raw_entries.remove(&entry.id);
            self.addresses.remove(&entry.id);
            return entry;
        }
        self.raw_entries.insert(entry.id.clone(), value.clone());
        if let Some(address) = address {
            self.addresses.insert(entry.id.clone(), address);
        }
        entry
    }
}
