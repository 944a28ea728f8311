//! What a table gives to its caller.

/// Entries that a table has dropped since it was made, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Entries in use that had to make room.
    pub evicted: u64,
    /// Entries that were seen once and never admitted to the main queue.
    pub not_admitted: u64,
    /// Entries that were too old.
    pub expired: u64,
}

/// A stored value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stored<V> {
    /// The value.
    pub value: V,
    /// When it was set, in the caller's ticks.
    pub set_at: u32,
}

/// An entry of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableEntry<V> {
    /// Its key.
    pub key: u64,
    /// Its value.
    pub value: V,
    /// When it was set, in the caller's ticks.
    pub set_at: u32,
}

/// An entry that is no longer there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted<V> {
    /// Its key.
    pub key: u64,
    /// Its value.
    pub value: V,
}
