//! The core's part of a takeover by another process of the same relay: which process serves, and the state
//! that the load balancer has learned. The messages and their order are in [`crate::handover`].

use super::Relay;
use crate::policy::api::Millis;
use crate::policy::learned_state::LearnedState;

impl Relay {
    /// Records that another process serves in place of this process from now on.
    pub fn hand_over(&mut self) {
        self.standby.is_handed_over = true;
    }

    /// Records that the process that served in place of this process has failed, and that this process serves
    /// again.
    pub fn resume_serving(&mut self) {
        self.standby.is_handed_over = false;
    }

    /// Whether another process serves in place of this process.
    pub fn is_handed_over(&self) -> bool {
        self.standby.is_handed_over
    }

    /// Whether no request and no connection is left.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// The state that the load balancer has learned, for the successor process.
    pub fn export_learned_state(&self, now: Millis) -> Vec<LearnedState> {
        self.load_balancer.export_learned_state(now)
    }

    /// Imports the state that the predecessor process has learned, after its list was applied.
    pub fn import_learned_state(&mut self, now: Millis, state: LearnedState) {
        self.load_balancer.import_learned_state(now, state);
    }

    /// For how many milliseconds from now no new connection may go to an endpoint in slow start.
    pub fn slow_start_pause(&self, now: Millis) -> Millis {
        self.load_balancer.slow_start_pause(now)
    }
}
