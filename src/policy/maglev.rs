//! The Maglev table (Eisenbud et al., NSDI 2016, section 3.4), with weights.
//!
//! Input: the ready endpoints, sorted by id, with their listed weights. Output: a table of [`TABLE_SLOTS`]
//! entries that every relay with the same list fills alike, and in which removing an endpoint moves few
//! keys of the others. A key's slot is its hash modulo the table's length; endpoints that follow it in the
//! table are its further choices, in an order that all relays share.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::hashing::{DRAW_SEED, TABLE_SLOTS, slot_of_key};

const WORD_BITS: usize = u64::BITS as usize;

/// Positions of endpoints by slot; empty until it is populated.
#[derive(Default)]
pub(crate) struct MaglevTable {
    slots: Vec<u16>,
}

impl MaglevTable {
    /// Whether it has to be populated before it is looked into.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Fills the table for these endpoints: ids and weights.
    pub fn populate(&mut self, endpoints: &[(&str, f64)]) {
        self.slots = populate(endpoints);
    }

    /// Empties the table, since the list that it was filled for has changed.
    pub fn invalidate(&mut self) {
        self.slots = Vec::new();
    }

    /// Positions of endpoints in the order in which the table offers them from a slot on, each once.
    pub fn probe_order(&self, slot: u32, endpoint_count: usize) -> impl Iterator<Item = usize> {
        let mut seen = vec![false; endpoint_count];
        // Bounded by the table's length: an endpoint of tiny weight may hold no slot at all.
        let slots = self.slots.iter().cycle().skip(slot as usize).take(self.slots.len());
        let is_first = move |position: &usize| !std::mem::replace(&mut seen[*position], true);
        slots.map(|position| usize::from(*position)).filter(is_first).take(endpoint_count)
    }
}

/// An endpoint while the table is filled.
struct Claimant {
    /// Its next preferred slot.
    slot: u64,
    /// Distance between its preferred slots.
    skip: u64,
    /// Slots that it claims in one round, on average.
    turns_per_round: f64,
    /// Turns saved up that have not made a whole slot yet.
    credit: f64,
}

impl Claimant {
    fn new(id: &str, turns_per_round: f64) -> Self {
        Claimant {
            slot: u64::from(slot_of_key(id.as_bytes())),
            skip: xxh3_64_with_seed(id.as_bytes(), DRAW_SEED) % (TABLE_SLOTS as u64 - 1) + 1,
            turns_per_round,
            credit: 0.0,
        }
    }

    fn advance(&mut self) {
        // Both are below the table's length: a subtraction is cheaper than a remainder.
        self.slot += self.skip;
        if self.slot >= TABLE_SLOTS as u64 {
            self.slot -= TABLE_SLOTS as u64;
        }
    }
}

/// Claimed slots, a bit each: the set stays in the nearest cache, which the table does not fit.
struct ClaimedSlots(Vec<u64>);

impl ClaimedSlots {
    fn contains(&self, slot: u64) -> bool {
        self.0[slot as usize / WORD_BITS] >> (slot as usize % WORD_BITS) & 1 == 1
    }

    fn insert(&mut self, slot: u64) {
        self.0[slot as usize / WORD_BITS] |= 1 << (slot as usize % WORD_BITS);
    }
}

/// Fills a table: endpoints take turns by weight, and each claims its next free preferred slot.
pub(crate) fn populate(endpoints: &[(&str, f64)]) -> Vec<u16> {
    let largest = endpoints.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
    // A power of two, so that the largest weight has one to two turns a round, whatever unit the list uses.
    let scale = (-largest.log2().floor()).exp2();
    let turns = |weight: f64| if largest > 0.0 { weight * scale } else { 1.0 };
    let mut claimants: Vec<_> =
        endpoints.iter().map(|(id, weight)| Claimant::new(id, turns(*weight))).collect();
    let mut table = vec![u16::MAX; if endpoints.is_empty() { 0 } else { TABLE_SLOTS }];
    let mut claimed = ClaimedSlots(vec![0; TABLE_SLOTS / WORD_BITS + 1]);
    let mut free = table.len();
    while free > 0 {
        for (position, claimant) in claimants.iter_mut().enumerate() {
            claimant.credit += claimant.turns_per_round;
            while claimant.credit >= 1.0 && free > 0 {
                claimant.credit -= 1.0;
                while claimed.contains(claimant.slot) {
                    claimant.advance();
                }
                claimed.insert(claimant.slot);
                table[claimant.slot as usize] = position as u16;
                free -= 1;
            }
        }
    }
    table
}
