//! What the load balancer has learned about endpoints and groups, as one process of a relay hands it over to
//! its successor.
//!
//! This module only converts records. Times are carried as ages, because the clocks of the two processes need
//! not agree; an endpoint's start time comes from the list's clock and is carried unchanged. Received values
//! are checked like any external input, and those of endpoints that the list does not name are ignored. The
//! order and types of the fields are part of the message format between processes and must not change.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::api::*;
use super::endpoint_table::{Endpoint, QuickestSetup};
use super::load_balancer::LoadBalancer;
use super::load_limit::LoadLimit;
use super::outlier::Ejection;

/// Most endpoints or groups in one message.
const MAX_ROWS_PER_MESSAGE: usize = 256;

/// A part of what the load balancer has learned, as sent in one message.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// How long from now no new connection may go to an endpoint that is warming up, in ms.
    pub slow_start_pause: Millis,
    /// Whether endpoints' message delays are reported.
    latency_is_reported: bool,
    endpoints: Vec<LearnedEndpoint>,
    /// Arrivals by the slot of their group's key.
    groups: Vec<(u32, f64)>,
}

/// What is known about one endpoint. Ages and remaining times are in ms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LearnedEndpoint {
    id: String,
    /// When the endpoint's process started, as listed or as inferred.
    started: Millis,
    load_limit: f64,
    slow_age: Millis,
    limit_reduced_age: Millis,
    ejection_remaining: Millis,
    consecutive_failures: u32,
    refuses_connections: bool,
    quickest_setup: LearnedSetup,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct LearnedSetup {
    age: Millis,
    elapsed: Millis,
}

impl LearnedState {
    /// A state that holds only how long from now no new connection may go to an endpoint that is warming up,
    /// in ms.
    pub fn with_slow_start_pause(slow_start_pause: Millis) -> Self {
        LearnedState { slow_start_pause, ..LearnedState::default() }
    }
}

impl LearnedEndpoint {
    fn from_endpoint(now: Millis, id: &EndpointId, endpoint: &Endpoint) -> Self {
        LearnedEndpoint {
            id: id.0.to_string(),
            started: endpoint.started,
            load_limit: endpoint.load_limit.limit,
            slow_age: now - endpoint.load_limit.slow_at,
            limit_reduced_age: now - endpoint.load_limit.reduced_at,
            ejection_remaining: endpoint.ejection.ejected_until - now,
            consecutive_failures: endpoint.ejection.consecutive_failures,
            refuses_connections: endpoint.refuses_connections,
            quickest_setup: LearnedSetup {
                age: now - endpoint.quickest_setup.span_started_at,
                elapsed: endpoint.quickest_setup.elapsed,
            },
        }
    }

    /// Whether the values are possible, and belong to the endpoint process that is listed now.
    fn is_plausible(&self, now: Millis, listed_start: Millis, max_ejection: Millis) -> bool {
        let ages = [self.slow_age, self.limit_reduced_age, self.quickest_setup.age];
        let ages_are_valid = ages.iter().all(|age| *age >= 0.0);
        let amounts_are_valid = self.load_limit >= 0.0 && self.quickest_setup.elapsed >= 0.0;
        let is_same_process = self.started >= listed_start && self.started <= now;
        ages_are_valid && amounts_are_valid && self.ejection_remaining <= max_ejection && is_same_process
    }

    fn apply(self, now: Millis, endpoint: &mut Endpoint) {
        endpoint.started = self.started;
        endpoint.load_limit = LoadLimit {
            limit: self.load_limit,
            slow_at: now - self.slow_age,
            reduced_at: now - self.limit_reduced_age,
        };
        endpoint.ejection = Ejection {
            consecutive_failures: self.consecutive_failures,
            ejected_until: now + self.ejection_remaining,
        };
        endpoint.refuses_connections = self.refuses_connections;
        endpoint.quickest_setup = QuickestSetup {
            span_started_at: now - self.quickest_setup.age,
            elapsed: self.quickest_setup.elapsed,
        };
    }
}

impl LoadBalancer {
    /// All that this relay has learned, in parts of at most 256 rows, one for each endpoint or group.
    pub(crate) fn export_learned_state(&self, now: Millis) -> Vec<LearnedState> {
        let endpoints = self.placements.endpoints.by_id.iter();
        let endpoints: Vec<_> =
            endpoints.map(|(id, endpoint)| LearnedEndpoint::from_endpoint(now, id, endpoint)).collect();
        let groups: Vec<(u32, f64)> =
            self.group_sample.arrivals.iter().map(|(group, arrivals)| (*group, *arrivals)).collect();
        let part = |endpoints: &[LearnedEndpoint], groups: &[(u32, f64)]| LearnedState {
            slow_start_pause: self.slow_start_pause(now),
            latency_is_reported: self.latency_is_reported,
            endpoints: endpoints.to_vec(),
            groups: groups.to_vec(),
        };
        let endpoint_parts = endpoints.chunks(MAX_ROWS_PER_MESSAGE).map(|rows| part(rows, &[]));
        let group_parts = groups.chunks(MAX_ROWS_PER_MESSAGE).map(|rows| part(&[], rows));
        endpoint_parts.chain(group_parts).collect()
    }

    /// Applies one part of a learned state. The endpoint list must have been applied before.
    pub(crate) fn import_learned_state(&mut self, now: Millis, part: LearnedState) {
        // The pause before new connections go to endpoints that are warming up is never longer than a
        // warm-up. A wrong value from outside must not block endpoints forever.
        let max_pause = self.settings.warm_up_time;
        if part.slow_start_pause.is_finite() && part.slow_start_pause <= max_pause {
            let paused_until = now + part.slow_start_pause;
            self.slow_start.next_send_at = self.slow_start.next_send_at.max(paused_until);
        }
        self.latency_is_reported |= part.latency_is_reported;
        for learned in part.endpoints {
            let id = EndpointId(Arc::from(learned.id.as_str()));
            let Some(endpoint) = self.placements.endpoints.by_id.get_mut(&id) else { continue };
            if learned.is_plausible(now, endpoint.started, max_pause) {
                learned.apply(now, endpoint);
            }
        }
        let groups = part.groups.into_iter().filter(|(_, arrivals)| arrivals.is_finite() && *arrivals > 0.0);
        self.group_sample.arrivals.extend(groups.take(MAX_ROWS_PER_MESSAGE));
        self.assignment.invalidate();
    }
}
