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
    /// Mean lifetime of a connection, in milliseconds: loads decay with it, so that their sum is about what
    /// is established.
    pub mean_lifetime: Millis,
    /// This relay's place in the cluster.
    pub position: ClusterPosition,
    /// Bytes that are sent to other relays within a second at most, location updates aside.
    pub sync_bytes_per_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            bytes: DEFAULT_BYTES,
            max_age: DEFAULT_MAX_AGE_MS,
            mean_lifetime: DEFAULT_MEAN_LIFETIME_MS,
            position: ClusterPosition { local_index: 0, relay_count: 1 },
            sync_bytes_per_s: DEFAULT_SYNC_BYTES_PER_S,
        }
    }
}
