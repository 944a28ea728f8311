//! What relays are told of endpoints: by messages about the list, each after a while of its own, in order.

use std::collections::BTreeSet;

use super::timeline::ScheduledEvent;
use super::world::{ENDPOINTS, World};
use crate::policy::api::{EndpointEntry, EndpointState, ListKind};
use crate::tests::{endpoint, entry};

impl World {
    /// Tells all relays of one endpoint's state.
    pub(super) fn announce(&mut self, i: usize) {
        let state = self.endpoints[i].state;
        let started = self.endpoints[i].started;
        for relay in 0..self.relays.len() {
            self.send_list(relay, ListKind::Delta, vec![entry(i, state, started)]);
        }
    }

    pub(super) fn send_list(&mut self, relay: usize, kind: ListKind, entries: Vec<EndpointEntry>) {
        let delay = self.random_span(0.0, 400.0);
        let at = (self.now + delay).max(self.relays[relay].last_list_at + 0.01);
        self.relays[relay].last_list_at = at;
        self.after(at - self.now, ScheduledEvent::List { relay, kind, entries });
    }

    pub(super) fn receive_list(&mut self, relay: usize, kind: ListKind, entries: Vec<EndpointEntry>) {
        self.observe_list(relay, kind, &entries);
        self.call(relay, |relay, now| relay.apply_list(now, kind, entries));
    }

    fn observe_list(&mut self, relay: usize, kind: ListKind, entries: &[EndpointEntry]) {
        let now = self.now;
        let process = &mut self.relays[relay];
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            process.list.clear();
        }
        process.list.extend(entries.iter().map(|entry| (entry.id.clone(), entry.clone())));
        if kind == ListKind::Full {
            let listed: BTreeSet<_> = entries.iter().map(|entry| entry.id.clone()).collect();
            for id in (0..ENDPOINTS).map(endpoint).filter(|id| !listed.contains(id)) {
                process.draining.entry(id).or_insert(now);
            }
        }
        for entry in entries {
            if entry.state == EndpointState::Ready {
                process.draining.remove(&entry.id);
                process.starts.insert(entry.id.clone(), entry.started);
            } else {
                process.draining.entry(entry.id.clone()).or_insert(now);
            }
        }
    }
}
