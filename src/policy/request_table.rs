//! The requests that still await their final answer, and the established connections.
//!
//! This module only keeps records. The modules that decide by them are `admission`, `retry`, `selection`,
//! `drain` and `rebalance`.

use std::collections::BTreeMap;

use super::api::*;

/// Upper limit of the mean load per endpoint: if many relays each send one more connection, that is already
/// too much.
const MAX_LOAD_PER_ENDPOINT: f64 = 1.0;

/// Stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No attempt is in flight.
    Pending,
    /// An attempt is in flight.
    Attempting,
    /// The connection is established; no attempt follows, only the connection's end.
    Established,
}

/// The first attempt of a request that may have had an effect, by its time and place.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PossibleExecution {
    /// When the attempt was sent.
    pub sent_at: Millis,
    /// Zone of the attempt's endpoint.
    pub zone: Zone,
    /// Cell of the attempt's endpoint.
    pub cell: u64,
}

/// A request, and the connection that it becomes.
pub(crate) struct TrackedRequest {
    /// The request as it arrived.
    pub request: Request,
    /// When the request arrived.
    pub arrived_at: Millis,
    /// Stage of the request.
    pub stage: Stage,
    /// Number of attempts made.
    pub attempts: u32,
    /// Endpoint of the latest attempt while that attempt is in flight or established.
    pub endpoint: Option<EndpointId>,
    /// When the latest attempt was sent.
    pub attempt_sent_at: Millis,
    /// Endpoints that failed this request.
    pub failed_endpoints: Vec<EndpointId>,
    /// The request's first attempt that may have had an effect.
    pub possibly_executed: Option<PossibleExecution>,
    /// Load that the request counts for, in mean connections.
    pub load: f64,
}

impl TrackedRequest {
    /// Creates a request for which no attempt was made.
    pub fn new(arrived_at: Millis, request: Request, stage: Stage, load: f64) -> Self {
        TrackedRequest {
            request,
            arrived_at,
            stage,
            attempts: 0,
            endpoint: None,
            attempt_sent_at: 0.0,
            failed_endpoints: Vec::new(),
            possibly_executed: None,
            load,
        }
    }

    /// Whether this is a connection that was established through another relay, whose packets arrive at this
    /// relay, and for which this relay has made no attempt yet.
    pub fn continues_mid_flow(&self) -> bool {
        self.request.mid_flow && self.attempts == 0
    }

    /// Whether the relay has to ask the client to reconnect when the endpoint drains.
    pub fn needs_drain_notice(&self) -> bool {
        !self.request.drained_by_endpoint
    }

    /// Whether the request's connection is established.
    pub fn is_established(&self) -> bool {
        self.stage == Stage::Established
    }
}

/// All requests, with sums over them.
#[derive(Default)]
pub(crate) struct RequestTable {
    /// The requests by id.
    pub by_id: BTreeMap<RequestId, TrackedRequest>,
    /// Load of all requests that are placed at an endpoint, in mean connections.
    pub placed_load: f64,
    /// Number of attempts in flight.
    pub attempts_in_flight: u32,
    /// The recent peak of the established load, which decays over time.
    pub recent_peak_load: f64,
    recent_peak_at: Millis,
}

impl RequestTable {
    /// Updates the recent peak of the established load: the peak rises at once and decays with this time
    /// constant, in ms.
    pub fn update_recent_peak(&mut self, now: Millis, time_constant: Millis) {
        let established = self.placed_load - f64::from(self.attempts_in_flight);
        let decay = (-(now - self.recent_peak_at) / time_constant).exp();
        self.recent_peak_load = established.max(self.recent_peak_load * decay);
        self.recent_peak_at = now;
    }

    /// Mean load of this relay per endpoint, at most [`MAX_LOAD_PER_ENDPOINT`].
    pub fn capped_load_per_endpoint(&self, endpoint_count: usize) -> f64 {
        (self.placed_load / endpoint_count.max(1) as f64).min(MAX_LOAD_PER_ENDPOINT)
    }

    /// The request, if this is its latest attempt: late events of an earlier attempt are ignored.
    pub fn by_latest_attempt(&self, id: RequestId, attempt: AttemptId) -> Option<&TrackedRequest> {
        self.by_id.get(&id).filter(|tracked| tracked.attempts == attempt.0 + 1)
    }

    /// Moves a request to another stage, and updates the number of attempts in flight.
    pub fn set_stage(&mut self, id: RequestId, stage: Stage) {
        let Some(tracked) = self.by_id.get_mut(&id) else { return };
        self.attempts_in_flight -= u32::from(tracked.stage == Stage::Attempting);
        self.attempts_in_flight += u32::from(stage == Stage::Attempting);
        tracked.stage = stage;
    }
}
