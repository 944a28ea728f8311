//! Random numbers are part of recorded behaviour: a seed must always give the same numbers.

use sandgw_units::random::{SeededRandom, hash_of_time, unit_fraction};
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[test]
fn numbers_are_a_chain_of_hashes_of_empty_input() {
    let mut random = SeededRandom::new(7);
    let mut state = 7;
    for _ in 0..100 {
        state = xxh3_64_with_seed(&[], state);
        assert_eq!(random.next_u64(), state);
    }
    state = xxh3_64_with_seed(&[], state);
    assert_eq!(random.next_fraction(), (state >> 11) as f64 / (1u64 << 53) as f64);
    state = xxh3_64_with_seed(&1000.5_f64.to_bits().to_le_bytes(), state);
    assert_eq!(random.next_u64_at(1000.5), state);
    assert_eq!(hash_of_time(1000.5, 3), xxh3_64_with_seed(&1000.5_f64.to_bits().to_le_bytes(), 3));
}

#[test]
fn fractions_are_from_zero_to_below_one() {
    assert_eq!(unit_fraction(0), 0.0);
    assert!(unit_fraction(u64::MAX) < 1.0);
}
