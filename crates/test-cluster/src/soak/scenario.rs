//! What one soak run consists of.

use std::collections::HashMap;
use std::fmt;
use std::path::Path;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::episodes;
use super::slow_answers::SlowAnswers;
use crate::fault_schedule::{AnswerDelay, FaultSchedule};
use crate::invariants::{Idempotency, RepeatScope};
use crate::load_clients::{LoadPlan, Weighted};
use crate::process::RelayConfig;
use crate::stub_discovery::ServiceModel;
use crate::{ClusterConfig, Millis};

/// The largest cluster that is drawn.
const MAX_RELAYS: usize = 24;
/// Clients that arrive in a second.
const ARRIVALS_PER_S: std::ops::Range<f64> = 20.0..80.0;
/// What warm endpoints can do, as a multiple of what the clients need.
const CAPACITY_FACTOR: std::ops::Range<f64> = 1.5..4.0;
/// What a machine that is busy with other work may be late by.
const GRACE_MS: Millis = 1500.0;
/// The fraction of clients to be served of each class, tenant and third of a run.
const MIN_SERVED_FRACTION: f64 = 0.3;
/// The window of classes whose repeats endpoints recognize.
const REPEAT_WINDOW_MS: Millis = 900.0;
const CLASSES: [&str; 2] = ["stream", "query"];
const TENANTS: [&str; 3] = ["acme", "luna", "nova"];

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClassEffect {
    /// Nothing.
    Safe,
    /// Endpoints of one zone drop repeats for a while.
    KeyedInZone,
    /// A repeat may act twice.
    Unsafe,
}

impl ClassEffect {
    fn draw(rng: &mut StdRng) -> ClassEffect {
        [ClassEffect::Safe, ClassEffect::KeyedInZone, ClassEffect::Unsafe][rng.random_range(0..3)]
    }

    fn idempotency(self) -> Idempotency {
        match self {
            ClassEffect::Safe => Idempotency::Safe,
            ClassEffect::KeyedInZone => {
                Idempotency::Keyed { scope: RepeatScope::Zone, window_ms: REPEAT_WINDOW_MS }
            }
            ClassEffect::Unsafe => Idempotency::Unsafe,
        }
    }

    /// Writes it into a class of the platform's settings.
    fn apply(self, class: &mut Value) {
        match self {
            ClassEffect::Safe => {}
            ClassEffect::KeyedInZone => {
                class["semantics"] = json!("keyed");
                class["group"] = json!("zone");
                class["windowMs"] = json!(REPEAT_WINDOW_MS);
            }
            ClassEffect::Unsafe => class["semantics"] = json!("unsafe"),
        }
    }
}

/// One soak run; see the module documentation.
#[derive(Clone, Debug)]
pub struct SoakScenario {
    /// What all of it is drawn from.
    pub seed: u64,
    /// The number of relays.
    pub relays: usize,
    /// Endpoints that have been up for long.
    pub warm_endpoints: usize,
    /// Endpoints that start with the cluster.
    pub cold_endpoints: usize,
    /// Set-ups a second that a warm endpoint takes.
    pub setups_per_s: f64,
    /// Connections that an endpoint holds at most.
    pub max_connections: usize,
    /// The fraction of its warm capacity with which an endpoint starts.
    pub cold_capacity_fraction: f64,
    /// The multiple of its present capacity at which a cold endpoint is overloaded.
    pub overload_multiple: f64,
    /// Whether packets pass through, so that connections outlive their relay.
    pub packet_passthrough: bool,
    /// Whether relays may send each other messages.
    pub peer_messages: bool,
    /// What a call costs discovery.
    pub discovery_call_cost_ms: Millis,
    /// When discovery answers late, if it does.
    pub slow_answers: Option<SlowAnswers>,
    /// The classes' effects, in the classes' order.
    pub class_effects: [ClassEffect; 2],
    /// How long the faults go on.
    pub duration_ms: Millis,
    /// How many clients arrive meanwhile.
    pub clients: usize,
    /// How clients behave.
    pub load: LoadPlan,
    /// The faults.
    pub schedule: FaultSchedule,
    /// The fraction of clients to be served of each class, tenant and third.
    pub min_served_fraction: f64,
}

impl SoakScenario {
    /// Draws a run of this length.
    ///
    /// ```
    /// use sandgw_test_cluster::soak::SoakScenario;
    /// let [one, again, other] = [7, 7, 8].map(|seed| SoakScenario::draw(seed, 10_000.0));
    /// assert_eq!(one.schedule, again.schedule);
    /// assert_ne!(one.schedule, other.schedule);
    /// ```
    pub fn draw(seed: u64, duration_ms: Millis) -> SoakScenario {
        let mut rng = StdRng::seed_from_u64(seed);
        let relays = rng.random_range(1..=MAX_RELAYS);
        let warm_endpoints = rng.random_range(4..=8);
        let peer_messages = rng.random_bool(0.6);
        let class_effects = [ClassEffect::draw(&mut rng), ClassEffect::draw(&mut rng)];
        // Clients use their connections until a relay is killed: most stay for longer than that takes.
        let load = LoadPlan {
            classes: CLASSES.map(|name| Weighted::new(name, 1.0)).into(),
            tenants: TENANTS.map(|name| Weighted::new(name, 1.0)).into(),
            reply_timeout_ms: rng.random_range(800.0..2500.0),
            max_tries: 8,
            stay_ms: rng.random_range(2000.0..8000.0),
            line_interval_ms: rng.random_range(200.0..2000.0),
            ..LoadPlan::default()
        };
        let arrivals_per_s = rng.random_range(ARRIVALS_PER_S);
        let capacity = rng.random_range(CAPACITY_FACTOR) / warm_endpoints as f64;
        let mut schedule = episodes::draw(&mut rng, relays, warm_endpoints, peer_messages, duration_ms);
        let slow_answers = SlowAnswers::draw(seed, duration_ms);
        if let Some(slow) = &slow_answers {
            slow.add_to(&mut schedule);
        }
        SoakScenario {
            seed,
            relays,
            warm_endpoints,
            cold_endpoints: rng.random_range(0..=2),
            cold_capacity_fraction: rng.random_range(0.05..0.35),
            overload_multiple: rng.random_range(1.5..3.0),
            setups_per_s: arrivals_per_s * capacity,
            max_connections: (arrivals_per_s * load.stay_ms / 1000.0 * capacity) as usize,
            packet_passthrough: rng.random_bool(0.5),
            peer_messages,
            discovery_call_cost_ms: if rng.random_bool(0.3) { 40.0 } else { 0.0 },
            slow_answers,
            class_effects,
            duration_ms,
            clients: (duration_ms / 1000.0 * arrivals_per_s) as usize,
            load,
            schedule,
            min_served_fraction: MIN_SERVED_FRACTION,
        }
    }

    pub(super) fn cluster_config(&self, binary: &Path) -> ClusterConfig {
        let mut config = ClusterConfig::new(binary, self.relays, self.warm_endpoints);
        config.cold_endpoints = self.cold_endpoints;
        config.setups_per_s = self.setups_per_s;
        config.max_connections = self.max_connections;
        let delay = self.slow_answers.map_or(AnswerDelay::NONE, |slow| slow.delay_at_start());
        config.discovery = ServiceModel {
            call_cost_ms: self.discovery_call_cost_ms,
            answer_delay_ms: delay.delay_ms,
            delays_continued_watches: delay.delays_continued_watches,
            ..ServiceModel::default()
        };
        config.rules.grace_ms = GRACE_MS;
        config.rules.cold_capacity_fraction = self.cold_capacity_fraction;
        config.rules.overload_multiple = self.overload_multiple;
        config.rules.packet_passthrough = self.packet_passthrough;
        config.classes = CLASSES.to_vec();
        config.tenants = TENANTS.to_vec();
        config.seed = self.seed;
        config
    }

    /// Writes what is drawn into a relay's settings.
    pub(super) fn apply_settings(&self, relay: &mut RelayConfig) {
        relay.settings["limits"]["peerMessages"] = json!(self.peer_messages);
        for (position, effect) in self.class_effects.into_iter().enumerate() {
            effect.apply(&mut relay.settings["lanes"][position]);
        }
    }

    /// What repeating a request may do, by class.
    pub(super) fn effects(&self) -> HashMap<Arc<str>, Idempotency> {
        let effects = CLASSES.into_iter().zip(self.class_effects);
        effects.map(|(class, effect)| (class.into(), effect.idempotency())).collect()
    }
}

impl fmt::Display for SoakScenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mode = if self.packet_passthrough { "pass" } else { "proxy" };
        let messages = if self.peer_messages { "messages" } else { "no messages" };
        let [stream, query] = self.class_effects;
        write!(
            f,
            "seed {}: {} relays, {mode}, {messages}, {}+{} endpoints, stream {stream:?}, query {query:?}, {} faults",
            self.seed,
            self.relays,
            self.warm_endpoints,
            self.cold_endpoints,
            self.schedule.steps.len()
        )?;
        match self.slow_answers {
            Some(SlowAnswers { delay, begin_ms, end_ms }) => write!(
                f,
                ", answers {:.0} ms late from {:.0} to {end_ms:.0} ms",
                delay.delay_ms,
                begin_ms.unwrap_or(0.0)
            ),
            None => Ok(()),
        }
    }
}
