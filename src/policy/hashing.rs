//! Hashes of keys, the same at every relay: slots of the Maglev table, and numbers drawn from a key.
//!
//! Seeds and the table's size must never change: relays of two versions have to agree on every key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Slots of the Maglev table. A prime, so that any skip visits all of them.
pub(crate) const TABLE_SLOTS: usize = 65537;
/// Seed of the hash that says where a key or an endpoint begins in the table.
pub(crate) const SLOT_SEED: u64 = 0x70_6570_7065_7231;
/// Seed of the hash for everything else that is drawn from a key.
pub(crate) const DRAW_SEED: u64 = 0x6a_756e_6374_696f;

/// Bits of a 64-bit hash that fit the mantissa of an `f64`.
const MANTISSA_BITS: u32 = 53;
/// The fractional part of the golden ratio: its multiples are spread evenly over a unit interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// The hash of a key that its slot is derived from.
pub(crate) fn key_hash(key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, SLOT_SEED)
}

/// The slot of a key with this hash.
pub(crate) fn slot_of_hash(hash: u64) -> u32 {
    (hash % TABLE_SLOTS as u64) as u32
}

/// The slot of a key.
pub(crate) fn slot_of_key(key: &[u8]) -> u32 {
    slot_of_hash(key_hash(key))
}

/// A key's own number in `[0, 1)`, the same at every relay.
pub(crate) fn unit_of_key(key: &[u8]) -> f64 {
    unit_of_hash(xxh3_64_with_seed(key, DRAW_SEED))
}

/// A hash as a number in `[0, 1)`.
pub(crate) fn unit_of_hash(hash: u64) -> f64 {
    (hash >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// The point in `[0, 1)` that falls to number `index` of a sequence: the points of any number of indices
/// are spread evenly (a Kronecker sequence that starts at a point drawn from the seed).
pub(crate) fn evenly_spread_point(seed: u64, index: u32) -> f64 {
    (unit_of_hash(seed) + f64::from(index) * GOLDEN_RATIO_FRACTION).fract()
}

/// An endpoint's short tag in the load reports that relays exchange.
pub(crate) fn endpoint_tag(id: &str) -> [u8; 2] {
    let [first, second, ..] = key_hash(id.as_bytes()).to_le_bytes();
    [first, second]
}
