//! The settings that the rig gives its relays, in the shape of the platform's.

use serde_json::{Value, json};

/// Figures of the rules that the stand-ins and the judge go by, as the settings state them.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// How long a relay may go without asking until it counts as told.
    pub ask_every_ms: f64,
    /// Share of its capacity that an endpoint starts with.
    pub cold_capacity_fraction: f64,
    /// When it is warm at the latest.
    pub warm_ms: f64,
    /// Multiple of its capacity that a cold endpoint falls over at.
    pub tip: f64,
    /// In which window.
    pub fall_ms: f64,
    /// How long a relay may go on sending to an endpoint that it knows is draining or gone.
    pub stop_sending_ms: f64,
    /// How late an answer may be.
    pub answer_slack_ms: f64,
    /// Added to every limit of time: 50 on the platform, more where the machine is busy with other work.
    pub grace_ms: f64,
    /// Whether packets pass through: connections outlive their relay.
    pub passes: bool,
    /// How long an endpoint keeps a connection whose relay is gone.
    pub park_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            ask_every_ms: 10_000.0,
            cold_capacity_fraction: 0.31,
            warm_ms: 8600.0,
            tip: 3.0,
            fall_ms: 1000.0,
            stop_sending_ms: 1000.0,
            answer_slack_ms: 8.0,
            grace_ms: 50.0,
            passes: true,
            park_ms: 7400.0,
        }
    }
}

impl Rules {
    /// Requests that a cold endpoint bears within [`Rules::fall_ms`], where the settings allow it `n` then: chance
    /// has its part.
    ///
    /// ```
    /// assert_eq!(sandgw_test_cluster::settings::Rules::budget(100.0), 122.0);
    /// ```
    pub fn budget(n: f64) -> f64 {
        n + 2.0 * n.sqrt() + 2.0
    }

    /// What the settings allow an endpoint within a window that ends so long after its start, if it bears so many set-ups
    /// a second when warm.
    pub fn allowed(&self, rate: f64, age_ms: f64) -> f64 {
        let warmth = self.cold_capacity_fraction
            + (1.0 - self.cold_capacity_fraction) * (age_ms / self.warm_ms).clamp(0.0, 1.0);
        self.tip * warmth * rate * self.fall_ms / 1000.0
    }
}

/// The settings of relay `local_index` of so many, with these tenants in equal parts, and with these classes, all alike, whose
/// requests may be repeated.
pub fn settings(
    rules: &Rules,
    relays: usize,
    local_index: usize,
    classes: &[&str],
    tenants: &[&str],
) -> Value {
    let part = 1.0 / tenants.len().max(1) as f64;
    let realms: Vec<_> =
        tenants.iter().map(|t| json!({"name": t, "fraction": part, "quotaPerS": 0.0})).collect();
    let lane = |name: &&str| {
        json!({"aimMs": 500.0, "group": "all", "hardLimitMs": 3000.0, "lateValue": 0.0, "name": name,
               "semantics": "safe", "stream": true, "windowMs": 5000.0, "worth": 1.0})
    };
    let lanes: Vec<_> = classes.iter().map(lane).collect();
    json!({
        "azs": ["a", "b", "c", "d"], "clients": {"marksRetry": true}, "discovery": "on_request",
        "domain": {"groups": true, "messageAimMs": [150.0], "mode": if rules.passes { "pass" } else { "proxy" },
                   "parkMs": rules.park_ms, "tellsDelay": false, "tellsLoad": false},
        "kinds": ["m"],
        "lanes": lanes,
        "limits": {"cancel": true, "connIdleMs": 30000.0, "connectTimeoutMs": 200.0, "maxAttempts": 5,
                   "maxRetryAfterMs": 1500.0, "openCap": 1000000, "peerMessages": true, "probing": false,
                   "retryAfter": true, "secondCopies": false, "streamsPerConn": 1},
        "locality": "a", "me": local_index, "nInstances": relays, "overShareWorth": 0.05, "realms": realms,
        "report": {"names": [], "via": "none"}, "resolutionMs": 2.0,
        "rules": {"answerSlackMs": rules.answer_slack_ms, "askEveryMs": rules.ask_every_ms,
                  "coldFrom": rules.cold_capacity_fraction, "fallMs": rules.fall_ms,
                  "stopSendingWithinMs": rules.stop_sending_ms, "tipMultiple": rules.tip,
                  "warmWithinMs": rules.warm_ms},
        "serviceType": "conn", "tier": 0, "tiers": ["streamers"], "weights": "nominal", "worthBy": "request"
    })
}
