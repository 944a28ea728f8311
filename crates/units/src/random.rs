//! Reproducible pseudo-random numbers for jitter and for sampling peers.
//!
//! The generator is a chain of xxh3 hashes: the same seed gives the same numbers on every platform. It is
//! neither cryptographic nor suited to simulations that need a long period.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Millis;

/// A random source whose numbers are determined by its seed.
///
/// ```
/// use sandgw_units::random::SeededRandom;
///
/// let (mut first, mut second) = (SeededRandom::new(7), SeededRandom::new(7));
/// assert_eq!(first.next_u64(), second.next_u64());
/// assert!((0.0..1.0).contains(&first.next_fraction()));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SeededRandom {
    state: u64,
}

impl SeededRandom {
    /// Creates a source that starts from `seed`.
    pub fn new(seed: u64) -> Self {
        SeededRandom { state: seed }
    }

    /// Returns the next number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = xxh3_64_with_seed(&[], self.state);
        self.state
    }

    /// Returns the next number, which depends on the time as well: sources with the same seed diverge.
    pub fn next_u64_at(&mut self, now: Millis) -> u64 {
        self.state = hash_of_time(now, self.state);
        self.state
    }

    /// Returns the next number from 0 up to, but not including, 1.
    pub fn next_fraction(&mut self) -> f64 {
        unit_fraction(self.next_u64())
    }
}

/// Returns a hash of a point in time.
pub fn hash_of_time(now: Millis, seed: u64) -> u64 {
    xxh3_64_with_seed(&now.to_bits().to_le_bytes(), seed)
}

/// Maps the upper 53 bits of a hash to a number from 0 up to, but not including, 1.
pub fn unit_fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
