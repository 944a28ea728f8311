//! The endpoint list: entries with the revision that changed each, and the list in discovery's format.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{Value, json};

use crate::Millis;
use crate::log::EndpointPhase;

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its name, the same at all relays.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its phase.
    pub phase: EndpointPhase,
    /// Its size.
    pub size: f64,
    /// Unix time of its last start in milliseconds, 0 for long ago.
    pub started_unix_ms: u64,
}

impl EndpointEntry {
    fn to_json(&self) -> Value {
        json!({"id": &*self.id, "host_port": self.address, "locality": &*self.zone, "flavor": "m", "cell": 0,
               "phase": self.phase.as_str(), "size": self.size, "up_since_ms": self.started_unix_ms})
    }
}

/// An entry and the revision that changed it last.
struct RevisedEntry {
    revision: u64,
    entry: EndpointEntry,
}

/// All entries. Revisions are counted from 1.
#[derive(Default)]
pub(super) struct EndpointList {
    entries: BTreeMap<Arc<str>, RevisedEntry>,
    /// When each revision was made, in the order of revisions.
    revision_times: Vec<Millis>,
}

impl EndpointList {
    /// The latest revision, 0 for the empty list.
    pub(super) fn revision(&self) -> u64 {
        self.revision_times.len() as u64
    }

    /// The latest revision that was made by this time.
    pub(super) fn revision_at(&self, at_ms: Millis) -> u64 {
        self.revision_times.partition_point(|made_ms| *made_ms <= at_ms) as u64
    }

    /// The entry of this endpoint.
    pub(super) fn entry(&self, id: &str) -> Option<&EndpointEntry> {
        self.entries.get(id).map(|revised| &revised.entry)
    }

    /// Changes or adds an entry; returns the revision that this makes.
    pub(super) fn insert(&mut self, entry: EndpointEntry, now_ms: Millis) -> u64 {
        self.revision_times.push(now_ms);
        let revision = self.revision();
        self.entries.insert(entry.id.clone(), RevisedEntry { revision, entry });
        revision
    }

    /// The entries as of the revision `up_to`: all of them, or those that changed after a revision.
    pub(super) fn to_json(&self, after: Option<u64>, up_to: u64) -> Value {
        let is_included = |revised: &&RevisedEntry| {
            let is_newer = after.is_none_or(|after| revised.revision > after);
            // A removal is reported as a change only.
            let is_listed = after.is_some() || revised.entry.phase != EndpointPhase::Gone;
            is_newer && revised.revision <= up_to && is_listed
        };
        let included = self.entries.values().filter(is_included);
        let members: Vec<_> = included.map(|revised| revised.entry.to_json()).collect();
        json!({"revision": up_to, "complete": after.is_none(), "members": members})
    }
}
