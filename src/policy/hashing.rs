//! Hashes of keys, identical at every relay: slots of the Maglev table, and pseudo-random numbers derived
//! from a key.
//!
//! Seeds and the table size must never change: relays of different versions have to agree on every key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of slots of the Maglev table. The number is prime, so that every skip visits all slots.
pub(crate) const TABLE_SLOTS: usize = 65537;
/// Seed of the hash that determines where a key or an endpoint starts in the Maglev table.
pub(crate) const SLOT_SEED: u64 = 0x70_6570_7065_7231;
/// Seed of the hash for all other pseudo-random numbers that are derived from a key.
pub(crate) const KEY_RANDOM_SEED: u64 = 0x6a_756e_6374_696f;

/// Number of bits of a 64-bit hash that fit the mantissa of an `f64`.
const MANTISSA_BITS: u32 = 53;
/// The fractional part of the golden ratio: its multiples, modulo 1, are spread evenly over the unit
/// interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// The hash of a key, from which its slot is derived.
pub(crate) fn key_hash(key: &[u8]) -> u64 {
    xxh3_64_with_seed(key, SLOT_SEED)
}

/// The Maglev table slot of a key with this hash.
pub(crate) fn slot_of_hash(hash: u64) -> u32 {
    (hash % TABLE_SLOTS as u64) as u32
}

/// The Maglev table slot of a key.
pub(crate) fn slot_of_key(key: &[u8]) -> u32 {
    slot_of_hash(key_hash(key))
}

/// A pseudo-random number in `[0, 1)` derived from a key, identical at every relay.
pub(crate) fn unit_fraction_of_key(key: &[u8]) -> f64 {
    unit_fraction_of_hash(xxh3_64_with_seed(key, KEY_RANDOM_SEED))
}

/// Maps a hash to a number in `[0, 1)`.
pub(crate) fn unit_fraction_of_hash(hash: u64) -> f64 {
    (hash >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// The point in `[0, 1)` with number `index` of a low-discrepancy sequence: the first points of the sequence
/// are spread evenly, however many are used (a Kronecker sequence whose start is derived from the seed).
pub(crate) fn evenly_spread_point(seed: u64, index: u32) -> f64 {
    (unit_fraction_of_hash(seed) + f64::from(index) * GOLDEN_RATIO_FRACTION).fract()
}

/// The short tag that identifies an endpoint in the load reports that relays exchange.
pub(crate) fn endpoint_tag(id: &str) -> [u8; 2] {
    let [first, second, ..] = key_hash(id.as_bytes()).to_le_bytes();
    [first, second]
}
