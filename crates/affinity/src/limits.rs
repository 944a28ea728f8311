//! Limits on the size of the tables and on the age of their entries.

use crate::Millis;
use crate::position::ClusterPosition;

/// Default size of the tables: room for some ten thousand clients.
const DEFAULT_BYTES: usize = 1 << 20;
/// Default age after which entries are dropped.
const DEFAULT_MAX_AGE_MS: Millis = 900_000.0;
/// Default mean lifetime of a connection.
const DEFAULT_MEAN_LIFETIME_MS: Millis = 55_000.0;
/// Default limit on the bytes sent to other relays within a second.
const DEFAULT_SYNC_BYTES_PER_S: f64 = 65_536.0;

/// Limits on the size of the tables and on the age of their entries, and the relay's cluster position.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Most bytes of both tables and of the data being sent to other relays, together.
    pub bytes: usize,
    /// Entries that were last set longer ago than this, in milliseconds, are dropped.
    pub max_age: Millis,
    /// Mean lifetime of a connection, in milliseconds. Loads decay with it, so that their sum is about the
    /// load of the established connections.
    pub mean_lifetime: Millis,
    /// This relay's cluster position.
    pub position: ClusterPosition,
    /// Most bytes sent to other relays within a second, location updates not included.
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
