//! The ghost queue of S3-FIFO, approximated by a direct-mapped array of fingerprints.

/// Keys that were recently evicted from the small queue. Each key maps to one slot, where its fingerprint
/// replaces that of an older key.
pub(super) struct GhostKeys {
    fingerprints: Vec<u32>,
}

impl GhostKeys {
    /// Number of slots for a table of `capacity` entries, with which a key is remembered for two to four
    /// turnovers of the table.
    pub const fn slots_for(capacity: usize) -> usize {
        (2 * capacity).next_power_of_two()
    }

    pub fn for_capacity(capacity: usize) -> Self {
        GhostKeys { fingerprints: vec![0; Self::slots_for(capacity)] }
    }

    /// Remembers a key.
    pub fn insert(&mut self, key: u64) {
        let slot = self.slot(key);
        self.fingerprints[slot] = fingerprint(key);
    }

    /// Forgets a key; returns whether it was remembered.
    pub fn take(&mut self, key: u64) -> bool {
        let slot = self.slot(key);
        let was_remembered = self.fingerprints[slot] == fingerprint(key);
        if was_remembered {
            self.fingerprints[slot] = 0;
        }
        was_remembered
    }

    fn slot(&self, key: u64) -> usize {
        (key.wrapping_mul(0xd6e8_feb8_6659_fd93) >> 32) as usize & (self.fingerprints.len() - 1)
    }
}

/// The fingerprint of a key. It is never zero, which marks an empty slot.
fn fingerprint(key: u64) -> u32 {
    (key >> 32) as u32 ^ key as u32 | 1
}
