//! The requests that still lack their final answer, and the connections that came of others.
//!
//! Bookkeeping only. Decisions that read it: `admission`, `retry`, `selection`, `drain`, `rebalance`.

use std::collections::BTreeMap;

use super::api::*;

/// Most that an endpoint's mean load counts for: one more connection at each of many relays is too much
/// already.
const MAX_LOAD_PER_ENDPOINT: f64 = 1.0;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No attempt is out.
    Pending,
    /// An attempt is out.
    Attempting,
    /// Its connection is established; only its end is still to come.
    Established,
}

/// The first attempt of a request that may have had an effect.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PossibleExecution {
    /// When the attempt was sent.
    pub sent_at: Millis,
    /// Zone of its endpoint.
    pub zone: Zone,
    /// Cell of its endpoint.
    pub cell: u64,
}

/// A request, and the connection that came of it.
pub(crate) struct TrackedRequest {
    /// The request as it arrived.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: Millis,
    /// How far it has come.
    pub stage: Stage,
    /// Attempts made.
    pub attempts: u32,
    /// Endpoint of the latest attempt while it is out or established.
    pub endpoint: Option<EndpointId>,
    /// When the latest attempt was sent.
    pub attempt_sent_at: Millis,
    /// Endpoints that failed this request.
    pub failed_endpoints: Vec<EndpointId>,
    /// Its first attempt that may have had an effect.
    pub possibly_executed: Option<PossibleExecution>,
    /// Load counted for it, in mean connections.
    pub load: f64,
}

impl TrackedRequest {
    /// A request that no attempt was made for.
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

    /// Whether this is a connection established elsewhere whose packets arrive here, and none was sent on
    /// yet.
    pub fn continues_mid_flow(&self) -> bool {
        self.request.mid_flow && self.attempts == 0
    }

    /// Whether its client has still to be asked to reconnect when its endpoint drains.
    pub fn needs_drain_notice(&self) -> bool {
        !self.request.drained_by_endpoint
    }

    /// Whether its connection is established.
    pub fn is_established(&self) -> bool {
        self.stage == Stage::Established
    }
}

/// All requests, with sums over them.
#[derive(Default)]
pub(crate) struct RequestTable {
    /// The requests by id.
    pub by_id: BTreeMap<RequestId, TrackedRequest>,
    /// Load of all that are placed at an endpoint, in mean connections.
    pub placed_load: f64,
    /// Attempts that are out.
    pub attempts_out: u32,
    /// The highest established load lately, fading, and when it was brought up to date.
    pub recent_peak_load: f64,
    recent_peak_at: Millis,
}

impl RequestTable {
    /// Brings the peak of the established load up to date: it rises at once and fades with this time
    /// constant, in ms.
    pub fn update_recent_peak(&mut self, now: Millis, time_constant: Millis) {
        let established = self.placed_load - f64::from(self.attempts_out);
        let remaining = (-(now - self.recent_peak_at) / time_constant).exp();
        self.recent_peak_load = established.max(self.recent_peak_load * remaining);
        self.recent_peak_at = now;
    }

    /// Own load that falls to each of so many endpoints on average, at most [`MAX_LOAD_PER_ENDPOINT`].
    pub fn capped_load_per_endpoint(&self, endpoint_count: usize) -> f64 {
        (self.placed_load / endpoint_count.max(1) as f64).min(MAX_LOAD_PER_ENDPOINT)
    }

    /// A request, if this is its latest attempt: what comes late of an earlier one says nothing.
    pub fn of_attempt(&self, id: RequestId, attempt: AttemptId) -> Option<&TrackedRequest> {
        self.by_id.get(&id).filter(|tracked| tracked.attempts == attempt.0 + 1)
    }

    /// Moves a request to another stage.
    pub fn set_stage(&mut self, id: RequestId, stage: Stage) {
        let Some(tracked) = self.by_id.get_mut(&id) else { return };
        self.attempts_out -= u32::from(tracked.stage == Stage::Attempting);
        self.attempts_out += u32::from(stage == Stage::Attempting);
        tracked.stage = stage;
    }
}
