//! Operations on the table of clients: the endpoint that holds each client's connection.

use std::sync::Arc;

use super::{Affinity, SWEPT_PER_CHANGE};
use crate::Millis;
use crate::clock::TICK_MS;
use crate::codec::{AGE_STEPS, TableKind};
use crate::endpoint_registry::{EndpointTag, StickyEndpoint};
use crate::table::Evicted;

impl Affinity {
    /// Records the endpoint on which a client's connection is established; returns whether the client's
    /// location has changed.
    pub fn record_session(&mut self, now: Millis, client: u64, endpoint: &str) -> bool {
        let tick = self.clock.advance(now);
        let Some(holder) = self.registry.listed(endpoint) else { return false };
        let before = self.sessions.peek(client).map(|stored| stored.value);
        self.set_session(tick, client, holder);
        before != Some(holder)
    }

    /// The endpoint that holds a client's connection, if it is known and ready.
    pub fn session(&self, client: u64) -> Option<Arc<str>> {
        // The lookup does not count as a use: each client is placed once, and older entries are dropped
        // first.
        let stored = self.sessions.peek(client).filter(|stored| stored.set_at >= self.oldest_tick())?;
        let id = self.ready_id(stored.value);
        self.count_stale_lookups(usize::from(id.is_none()));
        id
    }

    /// Merges a client's holder as another relay reported it, with its age in steps of the maximum age. A
    /// newer entry of this relay stays.
    pub(crate) fn merge_session(&mut self, now: Millis, client: u64, tag: EndpointTag, age: u8) {
        let tick = self.clock.advance(now);
        let age_ticks = f64::from(age) * self.limits.max_age / f64::from(AGE_STEPS) / TICK_MS;
        let set_at = tick.saturating_sub(age_ticks as u32);
        let newer_entry = self.sessions.peek(client).filter(|stored| stored.set_at > set_at);
        if newer_entry.is_some_and(|stored| !self.registry.has_ended(stored.value)) {
            return;
        }
        let Some(holder) = self.registry.find_or_add(self.clock.now(), tag) else { return };
        self.set_session(set_at, client, holder);
    }

    pub(super) fn set_session(&mut self, tick: u32, client: u64, holder: StickyEndpoint) {
        let evicted = self.sessions.insert(tick, client, holder);
        self.track_removed(TableKind::Sessions, evicted.map(|evicted| evicted.key));
        let oldest = self.oldest_tick();
        let registry = &self.registry;
        let mut swept: Vec<Evicted<StickyEndpoint>> = Vec::new();
        self.sessions.sweep(SWEPT_PER_CHANGE, oldest, |holder| registry.has_ended(*holder), &mut swept);
        self.track_removed(TableKind::Sessions, swept.iter().map(|evicted| evicted.key));
    }
}
