//! A group's entry in the table: the endpoints that hold the group, with the group's load on each.

use crate::Millis;
use crate::clock::TICK_MS;
use crate::decay::decay_factor;
use crate::endpoint_registry::{EndpointRegistry, StickyEndpoint};

/// Most holders in a group's entry; a further one replaces the holder with the least load.
pub const MAX_HOLDERS: usize = 6;

/// An endpoint that holds a group, with the group's load there.
#[derive(Clone, Copy, Default)]
pub(crate) struct Holder {
    pub endpoint: StickyEndpoint,
    /// Load that this relay placed on the endpoint, as of `updated_at`.
    pub local_load: f32,
    /// Load that other relays reported for the endpoint, as of `updated_at`.
    pub reported_load: f32,
    /// Tick of the latest change or decay of the loads.
    pub updated_at: u32,
}

impl Holder {
    pub fn load(&self) -> f32 {
        self.local_load + self.reported_load
    }

    /// This holder with its loads decayed until a tick.
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

    /// This entry with a holder's load added. Holders whose incarnation has ended are left out.
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

/// Removes the holder with the least load. The last holder was just added and stays in any case.
fn remove_lightest_but_last(holders: &mut Vec<Holder>) {
    let last = holders.len() - 1;
    let lightest = (0..last).min_by(|a, b| holders[*a].load().total_cmp(&holders[*b].load()));
    if let Some(index) = lightest {
        holders.swap_remove(index);
    }
}
