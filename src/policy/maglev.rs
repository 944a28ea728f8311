//! The Maglev table (Eisenbud et al., NSDI 2016, section 3.4), with weights.
//!
//! Input: the ready endpoints, sorted by id, with their listed weights. Output: a table of [`TABLE_SLOTS`]
//! entries. Every relay with the same list fills the table alike, and removing an endpoint moves few keys of
//! the other endpoints. A key's slot is its hash modulo the table's length. The endpoints in the slots after
//! that slot are the key's further choices, in the same order at every relay.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::hashing::{KEY_RANDOM_SEED, TABLE_SLOTS, slot_of_key};

const WORD_BITS: usize = u64::BITS as usize;

/// Positions of endpoints by slot; empty until the table is populated.
#[derive(Default)]
pub(crate) struct MaglevTable {
    slots: Vec<u16>,
}

impl MaglevTable {
    /// Whether the table must be populated before it is used.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Fills the table for these endpoints, given by id and weight.
    pub fn populate(&mut self, endpoints: &[(&str, f64)]) {
        self.slots = populate(endpoints);
    }

    /// Empties the table, because the list that it was filled for has changed.
    pub fn invalidate(&mut self) {
        self.slots = Vec::new();
    }

    /// Positions of endpoints in the order in which they appear in the table from this slot on, each once.
    pub fn probe_order(&self, slot: u32, endpoint_count: usize) -> impl Iterator<Item = usize> {
        let mut seen = vec![false; endpoint_count];
        // The search ends after one pass over the table, because an endpoint of tiny weight may hold no slot
        // at all.
        let slots = self.slots.iter().cycle().skip(slot as usize).take(self.slots.len());
        let is_first = move |position: &usize| !std::mem::replace(&mut seen[*position], true);
        slots.map(|position| usize::from(*position)).filter(is_first).take(endpoint_count)
    }
}

/// An endpoint that claims slots while the table is being filled.
struct Claimant {
    /// The endpoint's next preferred slot.
    preferred_slot: u64,
    /// Distance between the endpoint's preferred slots.
    skip: u64,
    /// Slots that the endpoint claims in one round, on average.
    slots_per_round: f64,
    /// Part of a slot that the endpoint has gained in earlier rounds and not yet claimed.
    credit: f64,
}

impl Claimant {
    fn new(id: &str, slots_per_round: f64) -> Self {
        Claimant {
            preferred_slot: u64::from(slot_of_key(id.as_bytes())),
            skip: xxh3_64_with_seed(id.as_bytes(), KEY_RANDOM_SEED) % (TABLE_SLOTS as u64 - 1) + 1,
            slots_per_round,
            credit: 0.0,
        }
    }

    fn advance(&mut self) {
        // Both values are below the table's length, so a subtraction is enough; it is cheaper than a
        // remainder.
        self.preferred_slot += self.skip;
        if self.preferred_slot >= TABLE_SLOTS as u64 {
            self.preferred_slot -= TABLE_SLOTS as u64;
        }
    }
}

/// The set of claimed slots, one bit for each. The set fits into the first-level cache, which is too small
/// for the table.
struct ClaimedSlots(Vec<u64>);

impl ClaimedSlots {
    fn contains(&self, slot: u64) -> bool {
        self.0[slot as usize / WORD_BITS] >> (slot as usize % WORD_BITS) & 1 == 1
    }

    fn insert(&mut self, slot: u64) {
        self.0[slot as usize / WORD_BITS] |= 1 << (slot as usize % WORD_BITS);
    }
}

/// Fills a table: the endpoints take turns by weight, and each claims its next free preferred slot.
pub(crate) fn populate(endpoints: &[(&str, f64)]) -> Vec<u16> {
    let largest_weight = endpoints.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
    // The scale is a power of two that gives the largest weight one to two slots a round, whatever unit the
    // list uses.
    let scale = (-largest_weight.log2().floor()).exp2();
    let slots_per_round = |weight: f64| if largest_weight > 0.0 { weight * scale } else { 1.0 };
    let mut claimants: Vec<_> =
        endpoints.iter().map(|(id, weight)| Claimant::new(id, slots_per_round(*weight))).collect();
    let mut table = vec![u16::MAX; if endpoints.is_empty() { 0 } else { TABLE_SLOTS }];
    let mut claimed_slots = ClaimedSlots(vec![0; TABLE_SLOTS / WORD_BITS + 1]);
    let mut free_slots = table.len();
    while free_slots > 0 {
        for (position, claimant) in claimants.iter_mut().enumerate() {
            claimant.credit += claimant.slots_per_round;
            while claimant.credit >= 1.0 && free_slots > 0 {
                claimant.credit -= 1.0;
                while claimed_slots.contains(claimant.preferred_slot) {
                    claimant.advance();
                }
                claimed_slots.insert(claimant.preferred_slot);
                table[claimant.preferred_slot as usize] = position as u16;
                free_slots -= 1;
            }
        }
    }
    table
}
