//! What the tables may take up and for how long.

use crate::Millis;
use crate::position::ClusterPosition;

/// Size of the tables by default: room for some ten thousand clients.
const DEFAULT_BYTES: usize = 1 << 20;
/// Age after which entries are dropped by default.
const DEFAULT_MAX_AGE_MS: Millis = 900_000.0;
/// Mean lifetime of a connection by default.
const DEFAULT_MEAN_LIFETIME_MS: Millis = 55_000.0;
/// Bytes a second that are sent to other relays by default.
const DEFAULT_SYNC_BYTES_PER_S: f64 = 65_536.0;

/// What the tables may take up and for how long, and the relay's place in the cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of everything: both tables, and what is being sent to other relays.
    pub bytes: usize,
    /// Entries not set for this long, in milliseconds, are dropped.
    pub max_age: Millis,
    /// Mean lifetime of a connection, in milliseconds: loads decay with it, so that their sum is about what is
    /// established.
    pub mean_lifetime: Millis,
    /// Relays of the cluster, this one included.
    pub relays: u32,
    /// Index of this one.
    pub local_index: u32,
    /// Bytes that are sent to other relays within a second at most, location updates aside.
    pub sync_bytes_per_s: f64,
}

impl Limits {
    /// The relay's place in the cluster.
    pub fn position(&self) -> ClusterPosition {
        ClusterPosition { local_index: self.local_index, relay_count: self.relays }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            bytes: DEFAULT_BYTES,
            max_age: DEFAULT_MAX_AGE_MS,
            mean_lifetime: DEFAULT_MEAN_LIFETIME_MS,
            relays: 1,
            local_index: 0,
            sync_bytes_per_s: DEFAULT_SYNC_BYTES_PER_S,
        }
    }
}
