//! Handles updates of the endpoint list, from discovery and from its cache.

use std::collections::BTreeSet;

use sandgw_affinity::codec::EndpointHash;
use sandgw_cluster::drain_gossip::DiscoveryAnswer;

use super::Relay;
use crate::policy::api::{EndpointEntry, EndpointState, Event, ListKind, Millis};

/// Hashes of the endpoints that an answer names, by whether it names them as ready.
struct AnswerEntries {
    ready: Vec<EndpointHash>,
    not_ready: Vec<EndpointHash>,
}

impl AnswerEntries {
    fn of(entries: &[EndpointEntry]) -> Self {
        let hashes = |ready: bool| {
            let matching = entries.iter().filter(|entry| (entry.state == EndpointState::Ready) == ready);
            matching.map(|entry| EndpointHash::of(&entry.id.0)).collect()
        };
        AnswerEntries { ready: hashes(true), not_ready: hashes(false) }
    }

    /// The endpoints that were usable and have departed: a full list does not name them as ready, and changes
    /// name them as not ready.
    fn departed(&self, is_full: bool, usable: impl Iterator<Item = EndpointHash>) -> Vec<EndpointHash> {
        let named = if is_full { &self.ready } else { &self.not_ready };
        let named: BTreeSet<EndpointHash> = named.iter().copied().collect();
        usable.filter(|endpoint| named.contains(endpoint) != is_full).collect()
    }
}

impl Relay {
    /// Loads the cached list, with its revision if the list is known to be the current discovery service's.
    pub fn load_cached_list(&mut self, now: Millis, revision: Option<u64>, endpoints: Vec<EndpointEntry>) {
        self.set_list_revision(revision);
        self.apply_list(now, ListKind::Cached, endpoints);
    }

    /// Applies an answer of discovery: the full list, or changes to it.
    pub fn apply_discovery_answer(
        &mut self,
        now: Millis,
        answer: DiscoveryAnswer,
        mut endpoints: Vec<EndpointEntry>,
    ) {
        let entries = AnswerEntries::of(&endpoints);
        let departed = entries.departed(answer.is_full, self.usable_endpoints());
        let reconciliation = self.reconcile_drain_gossip(now, answer, &departed, &entries.ready);
        if !answer.is_full {
            endpoints.extend(self.entries_with_state(&reconciliation.ready_again, EndpointState::Ready));
        }
        let kind = if answer.is_full { ListKind::Full } else { ListKind::Delta };
        self.apply_list(now, kind, endpoints);
        self.send_drain_gossip(now, reconciliation.messages);
    }

    /// The known list's entries of these endpoints, with their state replaced by `state`.
    pub(super) fn entries_with_state(
        &self,
        endpoints: &[EndpointHash],
        state: EndpointState,
    ) -> Vec<EndpointEntry> {
        self.load_balancer.entries(|id| endpoints.contains(&EndpointHash::of(&id.0)), state)
    }

    /// Applies an update of the list.
    pub fn apply_list(&mut self, now: Millis, kind: ListKind, endpoints: Vec<EndpointEntry>) {
        self.endpoints.apply_list(kind, &endpoints);
        self.has_endpoint_list |= kind == ListKind::Full || !endpoints.is_empty();
        self.events.push_back(Event::List { kind, endpoints });
        self.handle_queued_events(now);
        if matches!(kind, ListKind::Cached | ListKind::Failed) {
            self.subscription_lost(now);
        }
    }

    /// Whether the core has an endpoint list to place connections by.
    pub fn has_endpoint_list(&self) -> bool {
        self.has_endpoint_list
    }
}
