//! A group's entry: the endpoints that hold it, with the load on each.

use crate::Millis;
use crate::clock::TICK_MS;
use crate::decay::decay_factor;
use crate::endpoint_registry::{EndpointRegistry, StickyEndpoint};

/// Holders that a group's entry names at most; the lightest gives way.
pub const MAX_HOLDERS: usize = 6;

/// An endpoint's part of a group.
#[derive(Clone, Copy, Default)]
pub(crate) struct Holder {
    pub endpoint: StickyEndpoint,
    /// Load that this relay placed there, as of the tick.
    pub local_load: f32,
    /// Load that the other relays reported, as of the tick.
    pub reported_load: f32,
    pub updated_at: u32,
}

impl Holder {
    pub fn load(&self) -> f32 {
        self.local_load + self.reported_load
    }

    /// The same holder with its loads decayed until a tick.
    pub fn decayed(&self, tick: u32, mean_lifetime: Millis) -> Holder {
        let age = f64::from(tick.saturating_sub(self.updated_at)) * TICK_MS;
        let factor = decay_factor(age, mean_lifetime) as f32;
        Holder {
            endpoint: self.endpoint,
            local_load: self.local_load * factor,
            reported_load: self.reported_load * factor,
            updated_at: tick.max(self.updated_at),
        }
    }
}

/// The holders of one group.
#[derive(Clone, Copy, Default)]
pub(crate) struct GroupEntry {
    holders: [Holder; MAX_HOLDERS],
    len: u8,
}

impl GroupEntry {
    pub fn holders(&self) -> &[Holder] {
        &self.holders[..usize::from(self.len)]
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The holders with their loads decayed until a tick.
    pub fn decayed_holders(&self, tick: u32, mean_lifetime: Millis) -> impl Iterator<Item = Holder> {
        self.holders().iter().map(move |holder| holder.decayed(tick, mean_lifetime))
    }

    /// The entry with a holder's load added. Holders whose incarnation has ended are left out.
    pub fn with_added(
        &self,
        added: Holder,
        tick: u32,
        mean_lifetime: Millis,
        registry: &EndpointRegistry,
    ) -> GroupEntry {
        let mut holders: Vec<Holder> = Vec::with_capacity(MAX_HOLDERS + 1);
        let current = self.holders().iter().filter(|holder| !registry.has_ended(holder.endpoint));
        holders.extend(current.map(|holder| holder.decayed(tick, mean_lifetime)));
        match holders.iter_mut().find(|holder| holder.endpoint == added.endpoint) {
            Some(holder) => {
                holder.local_load += added.local_load;
                holder.reported_load += added.reported_load;
            }
            None => holders.push(added),
        }
        if holders.len() > MAX_HOLDERS {
            remove_lightest_but_last(&mut holders);
        }
        let mut entry = GroupEntry { len: holders.len() as u8, ..GroupEntry::default() };
        entry.holders[..holders.len()].copy_from_slice(&holders);
        entry
    }
}

/// The last one was just added: it stays even if it is the lightest.
fn remove_lightest_but_last(holders: &mut Vec<Holder>) {
    let last = holders.len() - 1;
    let lightest = (0..last).min_by(|a, b| holders[*a].load().total_cmp(&holders[*b].load()));
    if let Some(index) = lightest {
        holders.swap_remove(index);
    }
}
