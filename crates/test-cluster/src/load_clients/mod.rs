//! Clients that arrive whatever becomes of those before, spread over the relays that are healthy.
//!
//! They own their connections; their input is a plan with a seed; they record every first line and every reply, and
//! count how each client fared. A client retries after a rejection or a failure while its time lasts, stays once it is
//! served, returns after `MOVE` or a break, and arrives mid-flow at another relay when its own dies, where packets
//! pass through.

mod client;
mod health;
mod results;

use std::sync::{Arc, Mutex};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::settings::RuleSettings;
use crate::{Log, Millis, duration, lock};
use client::Client;

pub use health::HealthChecker;
pub use results::{ClientOutcome, LoadResults, OutcomeCounts};

/// A name that is drawn with a weight.
#[derive(Clone, Debug)]
pub struct Weighted {
    /// The name.
    pub name: Arc<str>,
    /// Its weight among all.
    pub weight: f64,
}

impl Weighted {
    /// A name with a weight.
    pub fn new(name: &str, weight: f64) -> Weighted {
        Weighted { name: name.into(), weight }
    }
}

/// Who arrives, and how they behave.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// How many.
    pub count: usize,
    /// Within how long, at times drawn evenly.
    pub over_ms: Millis,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Their classes.
    pub classes: Vec<Weighted>,
    /// Their tenants.
    pub tenants: Vec<Weighted>,
    /// The number of groups that they are of.
    pub groups: u64,
    /// How long after its arrival a client goes on trying.
    pub deadline_ms: Millis,
    /// How long it waits for one reply.
    pub reply_timeout_ms: Millis,
    /// How many tries it makes.
    pub max_tries: u32,
    /// The mean pause between two tries; a rejection's own pause counts where it is longer.
    pub pause_ms: Millis,
    /// How long it stays once it is served.
    pub stay_ms: Millis,
    /// How often it sends a line.
    pub line_interval_ms: Millis,
}

impl Default for LoadPlan {
    fn default() -> Self {
        LoadPlan {
            count: 100,
            over_ms: 2000.0,
            seed: 1,
            classes: vec![Weighted::new("stream", 1.0)],
            tenants: vec![Weighted::new("acme", 1.0)],
            groups: 20,
            deadline_ms: 3000.0,
            reply_timeout_ms: 2000.0,
            max_tries: 4,
            pause_ms: 100.0,
            stay_ms: 5000.0,
            line_interval_ms: 2000.0,
        }
    }
}

/// What all clients of a plan share.
struct Shared {
    health: Arc<HealthChecker>,
    log: Log,
    plan: LoadPlan,
    packet_passthrough: bool,
    results: Arc<Mutex<LoadResults>>,
}

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
