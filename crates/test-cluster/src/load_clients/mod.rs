//! Clients that arrive whatever becomes of those before, spread over the relays that are healthy.
//!
//! They own their connections; their input is a plan with a seed; they record every first line and every
//! reply, and count how each client fared. A client retries after a rejection or a failure while its time
//! lasts, stays once it is served, returns after `MOVE` or a break, and arrives mid-flow at another relay
//! when its own dies, where packets pass through.

mod client;
mod health;
mod plan;
mod results;

use std::sync::{Arc, Mutex};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::settings::RuleSettings;
use crate::{Log, Millis, duration, lock};
use client::{Client, Shared};

pub use health::HealthChecker;
pub use plan::{LoadPlan, Weighted};
pub use results::{ClientOutcome, LoadResults, OutcomeCounts};

/// The clients of one plan. They leave when it is dropped.
pub struct LoadClients {
    results: Arc<Mutex<LoadResults>>,
    tasks: JoinSet<()>,
}

impl LoadClients {
    /// Lets clients arrive from now on.
    pub fn start(
        plan: LoadPlan,
        health: &Arc<HealthChecker>,
        rules: &RuleSettings,
        log: &Log,
    ) -> LoadClients {
        let results = Arc::<Mutex<LoadResults>>::default();
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let mut tasks = JoinSet::new();
        let shared = Arc::new(Shared {
            health: health.clone(),
            log: log.clone(),
            plan,
            packet_passthrough: rules.packet_passthrough,
            results: results.clone(),
        });
        for _ in 0..shared.plan.count {
            let arrival_ms = rng.random_range(0.0..shared.plan.over_ms.max(1.0));
            let client = Client::draw(shared.clone(), &mut rng);
            tasks.spawn(async move {
                sleep(duration(arrival_ms)).await;
                client.run().await;
            });
        }
        LoadClients { results, tasks }
    }

    /// What has been counted so far.
    pub fn results(&self) -> LoadResults {
        lock(&self.results).clone()
    }

    /// Waits until all have left, for at most `timeout_ms`; returns what was counted.
    pub async fn finish(mut self, timeout_ms: Millis) -> LoadResults {
        let all = async { while self.tasks.join_next().await.is_some() {} };
        let _ = timeout(duration(timeout_ms), all).await;
        self.results()
    }
}
