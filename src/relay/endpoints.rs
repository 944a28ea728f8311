//! Tracks endpoints: their listed state, how many connections each has, and the round trips measured on those
//! connections. On each tick the core reports endpoints with slow messages to the load balancer.

use std::collections::BTreeMap;

use log::debug;
use sandgw_affinity::codec::EndpointHash;

use super::Relay;
use super::connections::ConnectionStage;
use crate::policy::api::{
    EndpointEntry, EndpointId, EndpointState, Event, ListKind, Measurement, Millis, RequestId, Settings,
};

/// A message is slow if its round trip takes longer than the shortest message latency objective divided by
/// this number, as in the simulator.
const OBJECTIVE_PER_SLOW_ROUND_TRIP: f64 = 3.0;

/// An endpoint as the relay sees it, for monitoring.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// State of the endpoint in the list.
    pub state: EndpointState,
    /// Connections established at the endpoint.
    pub established: u64,
    /// Attempts started to the endpoint.
    pub attempts: u64,
}

/// An endpoint whose messages are slow, or were slow at the last report to the load balancer.
struct SlowEndpoint {
    endpoint: EndpointId,
    /// Median round-trip time between this relay and the endpoint, of the messages on established connections
    /// since the last report to the load balancer.
    median_ms: Millis,
}

#[derive(Default)]
struct TrackedEndpoint {
    /// `None` where the list does not name the endpoint.
    state: Option<EndpointState>,
    established: u64,
    attempts: u64,
    /// Round trips measured since the last tick.
    round_trips_ms: Vec<Millis>,
    /// Whether messages were slow at the last report to the load balancer.
    is_slow: bool,
}

impl TrackedEndpoint {
    fn is_ready(&self) -> bool {
        self.state == Some(EndpointState::Ready)
    }

    fn is_listed(&self) -> bool {
        !matches!(self.state, None | Some(EndpointState::Removed))
    }

    /// Ends the measuring interval and returns the median of its round trips, if any was measured. The median
    /// is used since a single message that waited behind a pause of the endpoint or of this machine says
    /// little.
    fn take_median_ms(&mut self) -> Option<Millis> {
        self.round_trips_ms.sort_by(f64::total_cmp);
        let median = self.round_trips_ms.get(self.round_trips_ms.len() / 2).copied();
        self.round_trips_ms.clear();
        median
    }
}

/// Round-trip time above which a message counts as slow.
pub(super) fn slow_round_trip_ms(settings: &Settings) -> Millis {
    let objectives = settings.classes.iter().filter_map(|class| class.message_latency_objective);
    objectives.fold(f64::INFINITY, f64::min) / OBJECTIVE_PER_SLOW_ROUND_TRIP
}

/// All endpoints that are listed or still have connections, sorted by id.
#[derive(Default)]
pub(super) struct EndpointTable {
    entries: BTreeMap<EndpointId, TrackedEndpoint>,
}

impl EndpointTable {
    /// Applies an update of the list. An endpoint that is no longer listed stays in the table while it has
    /// connections.
    pub(super) fn apply_list(&mut self, kind: ListKind, listed: &[EndpointEntry]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.entries.values_mut().for_each(|endpoint| endpoint.state = None);
        }
        for entry in listed {
            self.entries.entry(entry.id.clone()).or_default().state = Some(entry.state);
        }
        self.entries.retain(|_, endpoint| endpoint.is_listed() || endpoint.established > 0);
    }

    pub(super) fn attempt_started(&mut self, endpoint: &EndpointId) {
        self.entries.entry(endpoint.clone()).or_default().attempts += 1;
    }

    pub(super) fn connection_established(&mut self, endpoint: &EndpointId) {
        self.entries.entry(endpoint.clone()).or_default().established += 1;
    }

    pub(super) fn connection_closed(&mut self, endpoint: &EndpointId) {
        if let Some(endpoint) = self.entries.get_mut(endpoint) {
            endpoint.established -= 1;
        }
    }

    /// Number of connections established at all endpoints.
    pub(super) fn established(&self) -> u64 {
        self.entries.values().map(|endpoint| endpoint.established).sum()
    }

    pub(super) fn is_ready(&self, endpoint: &EndpointId) -> bool {
        self.entries.get(endpoint).is_some_and(TrackedEndpoint::is_ready)
    }

    /// Hashes of the endpoints that are ready or match the predicate.
    pub(super) fn ready_or_matching(
        &self,
        predicate: impl Fn(EndpointHash) -> bool,
    ) -> impl Iterator<Item = EndpointHash> {
        let hashed = self.entries.iter().map(|(id, endpoint)| (EndpointHash::of(&id.0), endpoint));
        hashed.filter(move |(hash, endpoint)| endpoint.is_ready() || predicate(*hash)).map(|(hash, _)| hash)
    }

    fn statuses(&self) -> impl Iterator<Item = EndpointStatus> {
        self.entries.iter().map(|(id, endpoint)| EndpointStatus {
            id: id.clone(),
            state: endpoint.state.unwrap_or(EndpointState::Removed),
            established: endpoint.established,
            attempts: endpoint.attempts,
        })
    }

    fn record_round_trip(&mut self, endpoint: &EndpointId, round_trip_ms: Millis) {
        self.entries.entry(endpoint.clone()).or_default().round_trips_ms.push(round_trip_ms);
    }

    /// The endpoints whose median round trip is above the threshold. An endpoint that is back below the
    /// threshold is returned once more.
    fn take_slow(&mut self, threshold_ms: Millis) -> Vec<SlowEndpoint> {
        let mut slow = Vec::new();
        for (id, endpoint) in &mut self.entries {
            let Some(median_ms) = endpoint.take_median_ms() else { continue };
            let was_slow = endpoint.is_slow;
            endpoint.is_slow = median_ms > threshold_ms;
            if was_slow || endpoint.is_slow {
                slow.push(SlowEndpoint { endpoint: id.clone(), median_ms });
            }
        }
        slow
    }
}

impl Relay {
    /// Number of connections that are established now.
    pub fn established_connections(&self) -> u64 {
        self.endpoints.established()
    }

    /// The endpoints, sorted by id.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointStatus> {
        self.endpoints.statuses()
    }

    /// Whether an endpoint is listed as ready now.
    pub fn is_ready(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.is_ready(endpoint)
    }

    /// Records that a message of an established connection was answered after this many milliseconds, or has
    /// not been answered for that long.
    pub fn record_round_trip(&mut self, id: RequestId, round_trip_ms: Millis) {
        let Some(connection) = self.connections.get(id) else { return };
        let ConnectionStage::Established(endpoint) = &connection.stage else { return };
        self.endpoints.record_round_trip(endpoint, round_trip_ms);
    }

    /// Reports endpoints with slow messages to the load balancer, and logs quota rejections and changes of
    /// the list lease. To be called once a second. No other measurement shows slow messages on sockets.
    pub fn tick(&mut self, now: Millis) {
        let slow = self.endpoints.take_slow(self.slow_round_trip_ms);
        self.log_quota_rejections();
        self.log_list_lease(now);
        for endpoint in slow {
            self.report_slow_endpoint(endpoint);
        }
        self.handle_queued_events(now);
    }

    /// Reports a slow endpoint on one of its connections, which is enough however many connections it has.
    fn report_slow_endpoint(&mut self, slow: SlowEndpoint) {
        let SlowEndpoint { endpoint, median_ms } = slow;
        debug!("endpoint {}: the median round trip of messages is {median_ms:.0} ms", endpoint.0);
        let Some(request) = self.connections.lowest_id(|c| c.is_established_at(&endpoint)) else { return };
        let measurement = Measurement::MessageDelay(median_ms);
        self.events.push_back(Event::Measured { request, measurement });
    }
}
