//! The settings that the test cluster gives its relays, and the figures of the rules in them.

use serde_json::{Value, json};

use crate::Millis;

/// Figures of the rules that the stand-ins and the invariants go by, as the settings state them.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// How long a relay may go without polling discovery until it counts as informed.
    pub poll_interval_ms: Millis,
    /// The fraction of its warm capacity with which an endpoint starts.
    pub cold_capacity_fraction: f64,
    /// How long after its start an endpoint is warm.
    pub warm_up_ms: Millis,
    /// The multiple of its present capacity at which a cold endpoint is overloaded.
    pub overload_multiple: f64,
    /// The window in which its requests are counted for that.
    pub overload_window_ms: Millis,
    /// How long a relay may go on sending to an endpoint that it knows to drain or to be removed.
    pub stop_sending_ms: Millis,
    /// How long after its client's deadline a request may be answered.
    pub answer_slack_ms: Millis,
    /// Added to every limit of time: 50 on the platform, more where the machine is busy with other work.
    pub grace_ms: Millis,
    /// Whether packets pass through the relay, so that established connections outlive it.
    pub packet_passthrough: bool,
    /// How long an endpoint retains a connection whose relay is gone.
    pub park_ms: Millis,
}

impl Default for RuleSettings {
    fn default() -> Self {
        RuleSettings {
            poll_interval_ms: 10_000.0,
            cold_capacity_fraction: 0.31,
            warm_up_ms: 8600.0,
            overload_multiple: 3.0,
            overload_window_ms: 1000.0,
            stop_sending_ms: 1000.0,
            answer_slack_ms: 8.0,
            grace_ms: 50.0,
            packet_passthrough: true,
            park_ms: 7400.0,
        }
    }
}

impl RuleSettings {
    /// The number of requests within one window above which a cold endpoint is overloaded, where the
    /// settings allow it `allowed` requests: two standard deviations and two requests more, since arrivals
    /// vary by chance.
    ///
    /// ```
    /// assert_eq!(sandgw_test_cluster::settings::RuleSettings::overload_budget(100.0), 122.0);
    /// ```
    pub fn overload_budget(allowed: f64) -> f64 {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// The number of requests that the settings allow a cold endpoint within one window, for an endpoint
    /// that takes `setups_per_s` when warm and started `age_ms` ago.
    pub fn allowed_requests(&self, setups_per_s: f64, age_ms: Millis) -> f64 {
        let warm_up_factor = self.cold_capacity_fraction
            + (1.0 - self.cold_capacity_fraction) * (age_ms / self.warm_up_ms).clamp(0.0, 1.0);
        self.overload_multiple * warm_up_factor * setups_per_s * self.overload_window_ms / 1000.0
    }
}

/// The settings of relay `local_index` of `relays`, in the platform's format: tenants have equal fractions,
/// and classes are all alike, with requests that may be repeated.
pub fn relay_settings(
    rules: &RuleSettings,
    relays: usize,
    local_index: usize,
    classes: &[&str],
    tenants: &[&str],
) -> Value {
    let tenants: Vec<_> = tenants.iter().map(|name| tenant_settings(name, tenants.len())).collect();
    let classes: Vec<_> = classes.iter().map(|name| class_settings(name)).collect();
    json!({
        "azs": ["a", "b", "c", "d"], "clients": {"marksRetry": true}, "discovery": "on_request",
        "domain": domain_settings(rules),
        "kinds": ["m"],
        "lanes": classes,
        "limits": {"cancel": true, "connIdleMs": 30000.0, "connectTimeoutMs": 200.0, "maxAttempts": 5,
                   "maxRetryAfterMs": 1500.0, "openCap": 1000000, "peerMessages": true, "probing": false,
                   "retryAfter": true, "secondCopies": false, "streamsPerConn": 1},
        "locality": "a", "me": local_index, "nInstances": relays, "overShareWorth": 0.05, "realms": tenants,
        "report": {"names": [], "via": "none"}, "resolutionMs": 2.0,
        "rules": rule_settings(rules),
        "serviceType": "conn", "tier": 0, "tiers": ["streamers"], "weights": "nominal", "worthBy": "request"
    })
}

fn tenant_settings(name: &str, tenants: usize) -> Value {
    let fraction = 1.0 / tenants.max(1) as f64;
    json!({"name": name, "fraction": fraction, "quotaPerS": 0.0})
}

fn class_settings(name: &str) -> Value {
    json!({"aimMs": 500.0, "group": "all", "hardLimitMs": 3000.0, "lateValue": 0.0, "name": name,
           "semantics": "safe", "stream": true, "windowMs": 5000.0, "worth": 1.0})
}

fn domain_settings(rules: &RuleSettings) -> Value {
    let mode = if rules.packet_passthrough { "pass" } else { "proxy" };
    json!({"groups": true, "messageAimMs": [150.0], "mode": mode, "parkMs": rules.park_ms, "tellsDelay": false,
           "tellsLoad": false})
}

fn rule_settings(rules: &RuleSettings) -> Value {
    json!({"answerSlackMs": rules.answer_slack_ms, "askEveryMs": rules.poll_interval_ms,
           "coldFrom": rules.cold_capacity_fraction, "fallMs": rules.overload_window_ms,
           "stopSendingWithinMs": rules.stop_sending_ms, "tipMultiple": rules.overload_multiple,
           "warmWithinMs": rules.warm_up_ms})
}
