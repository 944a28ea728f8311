//! The endpoints that began to drain or were removed recently, as one relay knows them from its own lists and
//! from other relays' reports.

use std::collections::BTreeMap;

use sandgw_affinity::codec::EndpointHash;

use super::DiscoveryAnswer;
use crate::Millis;

/// How long an endpoint's departure is reported to relays that query this relay.
const DEPARTURE_TTL_MS: Millis = 60_000.0;
/// The largest number of endpoint departures that the table stores.
const MAX_DEPARTURES: usize = 256;

/// How this relay learned of a departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// From this relay's own list.
    List,
    /// Only from another relay's report.
    Report,
    /// From a report that this relay's list has superseded: as far as this relay knows, the endpoint has not
    /// left. The entry is kept so that the same report is not applied again.
    Superseded,
}

/// An endpoint's departure: the endpoint drains or was removed, or another relay reported so.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// The revision of the list that shows the departure, or the revision given in the report.
    revision: u64,
    learned_at: Millis,
    source: Source,
}

impl Departure {
    pub fn new(revision: u64, learned_at: Millis, source: Source) -> Self {
        Departure { revision, learned_at, source }
    }

    /// Whether an answer from discovery supersedes a report of this departure.
    fn is_superseded_by(&self, answer: DiscoveryAnswer) -> bool {
        answer.revision >= self.revision || answer.requested_at >= self.learned_at || answer.is_full
    }

    fn is_expired(&self, now: Millis) -> bool {
        now - self.learned_at >= DEPARTURE_TTL_MS
    }
}

/// A bounded table of departures.
#[derive(Debug, Default)]
pub(super) struct DepartureTable {
    departures: BTreeMap<EndpointHash, Departure>,
}

impl DepartureTable {
    /// Whether an endpoint's departure is known from a report only.
    pub fn is_reported(&self, endpoint: EndpointHash) -> bool {
        self.departures.get(&endpoint).is_some_and(|departure| departure.source == Source::Report)
    }

    /// Whether an endpoint's departure is known as of this revision or a later one.
    pub fn is_known(&self, endpoint: EndpointHash, revision: u64) -> bool {
        self.departures.get(&endpoint).is_some_and(|departure| departure.revision >= revision)
    }

    /// Records a departure, and returns whether there was room for it.
    pub fn insert(&mut self, endpoint: EndpointHash, departure: Departure) -> bool {
        let has_room = self.departures.len() < MAX_DEPARTURES || self.departures.contains_key(&endpoint);
        if has_room {
            self.departures.insert(endpoint, departure);
        }
        has_room
    }

    /// Supersedes the departures of endpoints that the list shows as ready.
    pub fn mark_ready(&mut self, endpoints: &[EndpointHash]) {
        for endpoint in endpoints {
            if let Some(departure) = self.departures.get_mut(endpoint) {
                departure.source = Source::Superseded;
            }
        }
    }

    /// Marks the reports that an answer from discovery supersedes, and returns their endpoints.
    pub fn supersede_reports(&mut self, answer: DiscoveryAnswer) -> Vec<EndpointHash> {
        let mut superseded = Vec::new();
        for (endpoint, departure) in &mut self.departures {
            if departure.source == Source::Report && departure.is_superseded_by(answer) {
                departure.source = Source::Superseded;
                superseded.push(*endpoint);
            }
        }
        superseded
    }

    /// Removes all endpoint departures from the table except those known only from another relay's report.
    pub fn retain_reported(&mut self) {
        self.departures.retain(|_, departure| departure.source == Source::Report);
    }

    /// Removes expired departures. Reported departures stay until an answer from discovery supersedes them.
    pub fn remove_expired(&mut self, now: Millis) {
        self.departures
            .retain(|_, departure| departure.source == Source::Report || !departure.is_expired(now));
    }

    /// Returns the departures after `since_revision`, grouped by the revision to report them with. A
    /// departure that the list shows is valid as of `list_revision`, the list's present revision.
    pub fn after_revision(
        &self,
        now: Millis,
        since_revision: u64,
        list_revision: Option<u64>,
    ) -> BTreeMap<u64, Vec<EndpointHash>> {
        let mut by_revision: BTreeMap<u64, Vec<EndpointHash>> = BTreeMap::new();
        for (endpoint, departure) in &self.departures {
            let has_left = departure.source != Source::Superseded;
            if !has_left || departure.revision <= since_revision || departure.is_expired(now) {
                continue;
            }
            let revision_of_list = list_revision.filter(|_| departure.source == Source::List);
            by_revision.entry(revision_of_list.unwrap_or(departure.revision)).or_default().push(*endpoint);
        }
        by_revision
    }
}
