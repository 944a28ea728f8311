//! The ids of connections that a client may not use again: those that are open, and the latest ones that an
//! endpoint may have served.
//!
//! Ids are fresh for every connection. A request whose id was used before may be a repetition of one that has
//! run, which must not run twice. Only hashes are kept of ids that are not open any more, and only of the last
//! [`MAX_FINISHED_IDS`] to twice as many.

use std::collections::{HashMap, HashSet, VecDeque};

use xxhash_rust::xxh3::xxh3_64;

/// How many finished ids are remembered at least.
pub const MAX_FINISHED_IDS: usize = 16_384;
/// How many hashes wait at most to be sent to a successor process; the oldest are dropped first.
const MAX_PENDING_HASHES: usize = 4 * MAX_FINISHED_IDS;

/// The hash by which a finished id is remembered.
fn id_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// An id that is open.
struct OpenId {
    /// Key of the client.
    key: String,
    /// How many of this relay's connections have the id: a connection may arrive mid-flow at the relay where
    /// it was opened.
    connections: usize,
}

/// The hashes of finished ids: the current generation and the one before it.
#[derive(Default)]
struct FinishedIds {
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl FinishedIds {
    fn insert(&mut self, hash: u64) {
        if self.current.len() >= MAX_FINISHED_IDS {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(hash);
    }

    fn contains(&self, hash: u64) -> bool {
        self.current.contains(&hash) || self.previous.contains(&hash)
    }

    fn iter(&self) -> impl Iterator<Item = u64> {
        self.previous.iter().chain(&self.current).copied()
    }
}

/// The ids that a relay's clients may not use again.
#[derive(Default)]
pub struct ConnectionIds {
    open: HashMap<String, OpenId>,
    finished: FinishedIds,
    /// The hashes that a successor process is still to be sent; `None` while there is no successor.
    pending_hashes: Option<VecDeque<u64>>,
}

impl ConnectionIds {
    /// Registers the id of a request; returns false where the id was used before. A mid-flow arrival continues
    /// a connection whose packets may have been routed elsewhere meanwhile: its id may be open here under the
    /// same key, or finished here.
    pub fn register(&mut self, id: &str, key: &str, mid_flow: bool) -> bool {
        let is_used = match self.open.get(id) {
            Some(open) => !mid_flow || open.key != key,
            None => !mid_flow && self.finished.contains(id_hash(id)),
        };
        if !is_used {
            self.register_open(id, key);
        }
        !is_used
    }

    /// Registers the id of a connection that is open, whether or not it was used before.
    pub fn register_open(&mut self, id: &str, key: &str) {
        let open = OpenId { key: key.to_owned(), connections: 0 };
        self.open.entry(id.to_owned()).or_insert(open).connections += 1;
        if let Some(pending) = &mut self.pending_hashes {
            if pending.len() >= MAX_PENDING_HASHES {
                pending.pop_front();
            }
            pending.push_back(id_hash(id));
        }
    }

    /// Releases the id of a connection that has ended. `may_have_run` says whether an endpoint may have served
    /// it, so that the id may not be used again.
    pub fn release(&mut self, id: &str, may_have_run: bool) {
        if may_have_run {
            self.finished.insert(id_hash(id));
        }
        let Some(open) = self.open.get_mut(id) else { return };
        open.connections -= 1;
        if open.connections == 0 {
            self.open.remove(id);
        }
    }

    /// The key of the client whose connection has this id; `None` where the id is not open.
    pub fn key(&self, id: &str) -> Option<&str> {
        self.open.get(id).map(|open| open.key.as_str())
    }

    /// Begins to collect the hashes that a successor process needs: all of now, and those of new requests.
    pub fn track_hashes(&mut self) {
        let open = self.open.keys().map(|id| id_hash(id));
        self.pending_hashes = Some(self.finished.iter().chain(open).collect());
    }

    /// Ends what [`ConnectionIds::track_hashes`] has begun, since no successor process is left.
    pub fn stop_tracking_hashes(&mut self) {
        self.pending_hashes = None;
    }

    /// Takes at most `max_hashes` of the collected hashes.
    pub fn take_hashes(&mut self, max_hashes: usize) -> Vec<u64> {
        let Some(pending) = &mut self.pending_hashes else { return Vec::new() };
        pending.drain(..pending.len().min(max_hashes)).collect()
    }

    /// Records the hashes of ids that another process of this relay has used.
    pub fn add_finished(&mut self, hashes: impl IntoIterator<Item = u64>) {
        hashes.into_iter().for_each(|hash| self.finished.insert(hash));
    }
}
