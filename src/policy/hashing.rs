//! Hashes of keys, the same at every relay: slots of the table and numbers drawn from a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Slots of the table; prime, so that any skip visits all of them.
pub(crate) const SLOTS: usize = 65537;
/// Seeds of the two hashes.
pub(crate) const FIRST: u64 = 0x70_6570_7065_7231;
pub(crate) const SECOND: u64 = 0x6a_756e_6374_696f;

/// The first hash of a key, and the slot of a key of that hash in the table.
pub(crate) fn hash(key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, FIRST)
}

pub(crate) fn place(hash: u64) -> u32 {
    (hash % SLOTS as u64) as u32
}

pub(crate) fn slot(key: &[u8]) -> u32 {
    place(hash(key))
}

/// A key's own number from 0 up to 1, alike at every balancer.
pub(crate) fn unit(key: &[u8]) -> f64 {
    fraction(xxh3_64_with_seed(key, SECOND))
}

pub(crate) fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// A server's short tag in what balancers tell each other of loads.
pub(crate) fn tag(id: &str) -> [u8; 2] {
    let [a, b, ..] = hash(id.as_bytes()).to_le_bytes();
    [a, b]
}
