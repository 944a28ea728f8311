//! The values that a table returns to its caller.

/// Numbers of entries that a table has dropped since its creation, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Entries evicted from the main queue to make room for others.
    pub evicted: u64,
    /// Entries evicted from the small queue without having been admitted to the main queue.
    pub not_admitted: u64,
    /// Entries removed because they were too old.
    pub expired: u64,
}

/// A stored value and when it was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stored<V> {
    /// The value.
    pub value: V,
    /// When the value was set, in the caller's ticks.
    pub set_at: u32,
}

/// An entry of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableEntry<V> {
    /// Its key.
    pub key: u64,
    /// Its value.
    pub value: V,
    /// When the entry was set, in the caller's ticks.
    pub set_at: u32,
}

/// An entry that was removed from the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted<V> {
    /// Its key.
    pub key: u64,
    /// Its value.
    pub value: V,
}
