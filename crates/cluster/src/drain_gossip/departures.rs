//! The endpoints that drain or were removed lately, as one relay knows them from its lists and from reports.

use std::collections::BTreeMap;

use sandgw_affinity::codec::EndpointHash;

use super::DiscoveryAnswer;
use crate::Millis;

/// How long a departure is named to relays that query.
const DEPARTURE_TTL_MS: Millis = 60_000.0;
/// Departures that are stored at most.
const MAX_DEPARTURES: usize = 256;

/// From where a departure is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// From this relay's list.
    List,
    /// From another relay's report only.
    Report,
    /// A report that this relay's list has superseded: the endpoint has not left, as far as is known. It is
    /// remembered so that the same report is not applied again.
    Superseded,
}

/// An endpoint that has left, or was reported to have left.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// The revision of the list that names it, or that the report names.
    revision: u64,
    learned_at: Millis,
    source: Source,
}

impl Departure {
    pub fn new(revision: u64, learned_at: Millis, source: Source) -> Self {
        Departure { revision, learned_at, source }
    }

    /// Whether an answer of discovery supersedes a report of this departure.
    fn is_settled_by(&self, answer: DiscoveryAnswer) -> bool {
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

    /// Whether an endpoint's departure was learned as of this revision or a later one.
    pub fn is_known(&self, endpoint: EndpointHash, revision: u64) -> bool {
        self.departures.get(&endpoint).is_some_and(|departure| departure.revision >= revision)
    }

    /// Records a departure; whether there was room for it.
    pub fn insert(&mut self, endpoint: EndpointHash, departure: Departure) -> bool {
        let has_room = self.departures.len() < MAX_DEPARTURES || self.departures.contains_key(&endpoint);
        if has_room {
            self.departures.insert(endpoint, departure);
        }
        has_room
    }

    /// The list names these endpoints as ready.
    pub fn mark_ready(&mut self, endpoints: &[EndpointHash]) {
        for endpoint in endpoints {
            if let Some(departure) = self.departures.get_mut(endpoint) {
                departure.source = Source::Superseded;
            }
        }
    }

    /// Supersedes the reports that an answer of discovery settles; gives their endpoints.
    pub fn settle_reports(&mut self, answer: DiscoveryAnswer) -> Vec<EndpointHash> {
        let mut settled = Vec::new();
        for (endpoint, departure) in &mut self.departures {
            if departure.source == Source::Report && departure.is_settled_by(answer) {
                departure.source = Source::Superseded;
                settled.push(*endpoint);
            }
        }
        settled
    }

    /// Drops all but reported departures.
    pub fn retain_reported(&mut self) {
        self.departures.retain(|_, departure| departure.source == Source::Report);
    }

    /// Drops what is expired. Reports stay until they are settled.
    pub fn remove_expired(&mut self, now: Millis) {
        self.departures
            .retain(|_, departure| departure.source == Source::Report || !departure.is_expired(now));
    }

    /// Departures after a revision, by the revision that they are to be reported with. What the list
    /// names holds as of `list_revision`, its present one.
    pub fn since(
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
            let of_list = list_revision.filter(|_| departure.source == Source::List);
            by_revision.entry(of_list.unwrap_or(departure.revision)).or_default().push(*endpoint);
        }
        by_revision
    }
}
