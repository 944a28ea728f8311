//! How clients fared, in counts.

use std::collections::BTreeMap;

use crate::Millis;
use crate::service_levels::ClassAndTenant;

/// How a client's first requests ended, all tries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// Served in time.
    Served,
    /// Not served; its last reply was a rejection.
    Rejected,
    /// Not served; its last reply was a failure.
    Failed,
    /// Not served; its last try had no reply.
    Unanswered,
    /// Not served; it never reached a relay.
    Unreached,
}

/// The number of clients by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Clients with [`ClientOutcome::Served`].
    pub served: u64,
    /// Clients with [`ClientOutcome::Rejected`].
    pub rejected: u64,
    /// Clients with [`ClientOutcome::Failed`].
    pub failed: u64,
    /// Clients with [`ClientOutcome::Unanswered`].
    pub unanswered: u64,
    /// Clients with [`ClientOutcome::Unreached`].
    pub unreached: u64,
}

impl OutcomeCounts {
    /// The number of all clients that are done.
    pub fn total(&self) -> u64 {
        self.served + self.rejected + self.failed + self.unanswered + self.unreached
    }

    pub(super) fn add(&mut self, outcome: ClientOutcome) {
        match outcome {
            ClientOutcome::Served => self.served += 1,
            ClientOutcome::Rejected => self.rejected += 1,
            ClientOutcome::Failed => self.failed += 1,
            ClientOutcome::Unanswered => self.unanswered += 1,
            ClientOutcome::Unreached => self.unreached += 1,
        }
    }
}

/// What has been counted so far.
#[derive(Clone, Debug, Default)]
pub struct LoadResults {
    /// Outcomes of all clients.
    pub all: OutcomeCounts,
    /// Outcomes by class and tenant.
    pub by_class_and_tenant: BTreeMap<ClassAndTenant, OutcomeCounts>,
    /// Rejections, also of clients that were served later.
    pub rejections: u64,
    /// First lines that were written to a relay.
    pub tries: u64,
    /// Established connections that were asked to reconnect.
    pub reconnects_requested: u64,
    /// Established connections that broke.
    pub broken: u64,
    /// Clients that arrived mid-flow and were served.
    pub mid_flow: u64,
    /// Those of them that went on at their endpoint.
    pub mid_flow_found: u64,
    /// Clients that are connected now.
    pub connected: u64,
    /// Times from arrival to `UP`.
    pub waits_ms: Vec<Millis>,
}

impl LoadResults {
    pub(super) fn add_outcome(&mut self, of: ClassAndTenant, outcome: ClientOutcome, wait_ms: Millis) {
        self.all.add(outcome);
        self.by_class_and_tenant.entry(of).or_default().add(outcome);
        if outcome == ClientOutcome::Served {
            self.waits_ms.push(wait_ms);
        }
    }
}
