//! Messages about the list of endpoints, from discovery and from its cache.

use std::collections::BTreeSet;

use sandgw_affinity::codec::EndpointHash;
use sandgw_cluster::drain_gossip::DiscoveryAnswer;

use super::Relay;
use crate::policy::api::{EndpointEntry, EndpointState, Event, ListKind, Millis};

/// Hashes of the entries of an answer, by what it says of them.
struct AnswerEntries {
    ready: Vec<EndpointHash>,
    not_ready: Vec<EndpointHash>,
}

impl AnswerEntries {
    fn of(entries: &[EndpointEntry]) -> Self {
        let hashes = |ready: bool| {
            let fits = entries.iter().filter(|entry| (entry.state == EndpointState::Ready) == ready);
            fits.map(|entry| EndpointHash::of(&entry.id.0)).collect()
        };
        AnswerEntries { ready: hashes(true), not_ready: hashes(false) }
    }

    /// Of endpoints that were usable, those that are no longer: a full list does not name them as ready,
    /// changes name them as not ready.
    fn departed(&self, full: bool, usable: impl Iterator<Item = EndpointHash>) -> Vec<EndpointHash> {
        let named = if full { &self.ready } else { &self.not_ready };
        let named: BTreeSet<EndpointHash> = named.iter().copied().collect();
        usable.filter(|endpoint| named.contains(endpoint) != full).collect()
    }
}

impl Relay {
    /// Loads the list as it was cached, and its revision if it is known to be this discovery service's.
    pub fn load_cached_list(&mut self, now: Millis, revision: Option<u64>, endpoints: Vec<EndpointEntry>) {
        self.set_list_revision(revision);
        self.apply_list(now, ListKind::Cached, endpoints);
    }

    /// Discovery has answered, with the full list or with changes to it.
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
            endpoints.extend(self.entries_as(&reconciliation.back, EndpointState::Ready));
        }
        let kind = if answer.is_full { ListKind::Full } else { ListKind::Delta };
        self.apply_list(now, kind, endpoints);
        self.send_drain_gossip(now, reconciliation.messages);
    }

    /// Entries of the list as they are known, in this state.
    pub(super) fn entries_as(&self, endpoints: &[EndpointHash], state: EndpointState) -> Vec<EndpointEntry> {
        self.load_balancer.entries(|id| endpoints.contains(&EndpointHash::of(&id.0)), state)
    }

    /// A message about the list.
    pub fn apply_list(&mut self, now: Millis, kind: ListKind, endpoints: Vec<EndpointEntry>) {
        self.endpoints.apply_list(kind, &endpoints);
        self.has_endpoint_list |= kind == ListKind::Full || !endpoints.is_empty();
        self.events.push_back(Event::List { kind, endpoints });
        self.handle_queued_events(now);
        if matches!(kind, ListKind::Cached | ListKind::Failed) {
            self.subscription_lost(now);
        }
    }

    /// Whether it has a list of endpoints to place connections on.
    pub fn has_endpoint_list(&self) -> bool {
        self.has_endpoint_list
    }
}
