//! The endpoint list as received from discovery, and the requests that poll discovery for it.
//!
//! This module does no I/O: a driver sends the request of [`EndpointList::next_request`] and passes the body
//! of the answer to [`EndpointList::apply_answer`]. A watch is a request that discovery holds until the list
//! changes or a given wait ends. When to poll is decided by `sandgw_cluster::poll_scheduler`.

mod call;
mod entry;
mod errors;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sandgw_cluster::poll_scheduler;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use call::{FailedCall, MIN_QUEUED_MS, Reachability, SentCall};
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
/// Time that the answer to a watch may take beyond the wait and the service's latency, in ms. After that the
/// watch counts as broken.
pub const ANSWER_GRACE_MS: Millis = 1000.0;
/// After this time without an answer, a call that is not a watch is overdue, in ms. Its answer is still
/// accepted: the service may be slow.
pub const OVERDUE_MS: Millis = 2500.0;
/// While an overdue call is open, the next call is sent at the earliest this long after it, in ms.
pub const SECOND_CALL_AFTER_MS: Millis = 3500.0;
/// How long an overdue call may stay open, in ms.
pub const MAX_CALL_MS: Millis = 30_000.0;
/// Time within which the connection for a call has to be established, in ms. Otherwise discovery is
/// unreachable.
pub const CONNECT_TIMEOUT_MS: Millis = 1500.0;
/// Shortest wait of a watch after a slow answer, in ms. Its answer confirms a list that the slow answer had
/// shown as of long ago.
const MIN_WAIT_AFTER_SLOW_ANSWER_MS: Millis = 100.0;
/// Longest latency of the service for which watches allow, in ms. A list that is confirmed later than this
/// may not be used anyway.
const MAX_LATENCY_MS: Millis = 6000.0;
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
    /// How long the latest answer took beyond the time for which discovery held the request, in ms.
    latency: Millis,
    seed: u64,
    /// The latest request, unless it was answered: `Some(revision)` where it asks for changes since that
    /// revision, `None` where it asks for the full list. An overdue call that is open beside the latest one
    /// asks for the same: the revision changes with an answer only.
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
        // When the list was confirmed is unknown, so the first request asks for changes without a wait.
        self.unconfirmed = revision.is_some();
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
        self.latency = 0.0;
        // An answer of the old service to the pending request is not for the list that is requested now.
        self.pending_request = None;
    }

    /// Replaces the random seed, so that each relay draws waits of its own.
    pub fn reseed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// After how long without an answer the latest request is overdue.
    pub fn timeout(&self) -> Millis {
        if self.is_watch() { self.wait + ANSWER_GRACE_MS + self.latency } else { OVERDUE_MS }
    }

    /// Whether the latest request is a watch, which discovery may hold.
    pub fn is_watch(&self) -> bool {
        self.wait > 0.0
    }

    /// The latest request as a call that is sent now.
    pub fn sent_call(&self, now: Millis) -> SentCall {
        SentCall { sent_at: now, wait: self.wait }
    }

    /// Records when a call was answered. Watches after a slow answer allow for the service's latency.
    pub fn record_answer_time(&mut self, call: SentCall, answered_at: Millis) {
        if let Some(latency) = call.latency(answered_at) {
            self.latency = latency.min(MAX_LATENCY_MS);
        }
    }

    /// Records that the pending request has failed or is overdue. The next request asks for changes without a
    /// wait, which shows at once whether there is a service. Returns whether the failure broke a subscription
    /// that had been going on.
    pub fn poll_failed(&mut self) -> bool {
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

    /// Draws for how long discovery may hold the next watch, in whole ms. A slow service gets less time, so
    /// that a silent watch is noticed as soon as that of a prompt service.
    fn draw_wait(&mut self) -> Millis {
        let drawn = MIN_WAIT_MS + (MAX_WAIT_MS - MIN_WAIT_MS) * self.draw();
        let longest = (MAX_WAIT_MS - self.latency).max(MIN_WAIT_AFTER_SLOW_ANSWER_MS);
        drawn.min(longest).round()
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

#[cfg(test)]
mod tests;
