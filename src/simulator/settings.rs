//! The load balancer's settings, read from the simulator's START message. The relay's configuration holds
//! them in the same shape. The names of their keys are used in this module only.

use std::ops::RangeInclusive;

use sandgw_quota::tenants::{Tenant, Tenants};
use serde_json::Value;

use super::settings_errors::{SettingError, SettingFault};
use crate::policy::api::*;

/// The longest duration that the settings may state.
const MAX_DURATION_MS: Millis = 3_600_000.0;
/// The longest connection time-out.
const MAX_CONNECT_TIMEOUT_MS: Millis = 60_000.0;
/// The coarsest clock resolution.
const MAX_RESOLUTION_MS: Millis = 1000.0;
/// The shortest time after which an endpoint list without a subscription may count as stale.
const MIN_LIST_MAX_AGE_MS: Millis = 100.0;
/// The limit of the set-up time for a class that states none.
const DEFAULT_SETUP_LIMIT_MS: Millis = 1000.0;
/// The latency objective for messages of a class whose stated objective is invalid.
const DEFAULT_MESSAGE_OBJECTIVE_MS: Millis = 1000.0;
/// The largest weight and the largest quota.
const MAX_AMOUNT: f64 = 1e9;
/// Most relays in a cluster.
const MAX_RELAYS: u32 = 65_536;
/// Most attempts for one request.
const MAX_ATTEMPTS: u32 = 1000;

/// A table of the settings and the path that precedes its keys.
#[derive(Clone, Copy)]
struct Table<'a> {
    value: &'a Value,
    path: &'a str,
}

/// Reads values of the settings and collects their faults. An invalid value is reported as a fault and
/// replaced by its default. If it were used, a misread value, or a value that the load balancer can't work
/// with, would silently break a rule or stop the relay much later.
#[derive(Default)]
struct SettingsReader {
    faults: Vec<SettingError>,
}

/// Names of the classes, in the order of the settings.
pub(crate) fn class_names(settings: &Value) -> Vec<String> {
    list(settings, "lanes").iter().map(name).collect()
}

/// Names of the tenants, in the order of the settings.
pub(crate) fn tenant_names(settings: &Value) -> Vec<String> {
    list(settings, "realms").iter().map(name).collect()
}

/// Reads the settings.
///
/// # Errors
///
/// All faults of the settings, each with its key and reason. No part of faulty settings may be used.
pub(crate) fn read_settings(value: &Value) -> Result<Settings, Vec<SettingError>> {
    if !value.is_object() {
        return Err(vec![SettingError { key: "the settings".into(), fault: SettingFault::NotObject }]);
    }
    let mut reader = SettingsReader::default();
    reader.check_tables(value);
    let defaults = Settings::default();
    let root = Table { value, path: "" };
    let limits = Table { value: &value["limits"], path: "limits." };
    let rules = Table { value: &value["rules"], path: "rules." };
    let classes = reader.classes(value);
    let retry_budget = reader.retry_budget(rules.value);
    let discovery = reader.discovery(root);
    let relay_count = reader.integer(root, "nInstances", 1, 1..=MAX_RELAYS);
    let max_retry_after = reader.max_retry_after(limits);
    let settings = Settings {
        classes,
        discovery,
        relay_count,
        local_index: reader.integer(root, "me", 0, 0..=relay_count - 1),
        peer_messages: reader.flag(limits, "peerMessages"),
        packet_passthrough: value["domain"]["mode"].as_str() == Some("pass"),
        max_attempts: reader.integer(limits, "maxAttempts", defaults.max_attempts, 1..=MAX_ATTEMPTS),
        // A request without an endpoint is examined again after a fraction of this time-out: with 0 that
        // would never end.
        connect_timeout: reader.number(
            limits,
            "connectTimeoutMs",
            defaults.connect_timeout,
            1.0..=MAX_CONNECT_TIMEOUT_MS,
        ),
        resolution: reader.number(root, "resolutionMs", defaults.resolution, 0.0..=MAX_RESOLUTION_MS),
        max_retry_after,
        list_max_age: reader.number(
            rules,
            "askEveryMs",
            defaults.list_max_age,
            MIN_LIST_MAX_AGE_MS..=MAX_DURATION_MS,
        ),
        initial_capacity_fraction: reader.number(
            rules,
            "coldFrom",
            defaults.initial_capacity_fraction,
            0.0..=1.0,
        ),
        warm_up_time: reader.number(rules, "warmWithinMs", defaults.warm_up_time, 0.0..=MAX_DURATION_MS),
        overload_multiple: reader.number(rules, "tipMultiple", defaults.overload_multiple, 0.01..=1e6),
        retry_budget,
        affinity_limits: defaults.affinity_limits,
        quotas: reader.quotas(value, defaults.quotas),
    };
    if reader.faults.is_empty() { Ok(settings) } else { Err(reader.faults) }
}

impl SettingsReader {
    fn fault(&mut self, path: &str, key: &str, fault: SettingFault) {
        self.faults.push(SettingError { key: format!("{path}{key}"), fault });
    }

    /// Reports values that should be tables or lists but are not. Otherwise their contents would silently
    /// read as absent.
    fn check_tables(&mut self, settings: &Value) {
        for table in ["limits", "rules", "domain"] {
            if !settings[table].is_null() && !settings[table].is_object() {
                self.fault("", table, SettingFault::NotObject);
            }
        }
        let objectives = &settings["domain"]["messageAimMs"];
        if !objectives.is_null() && !objectives.is_array() {
            self.fault("domain.", "messageAimMs", SettingFault::NotList(objectives.clone()));
        }
    }

    fn number(&mut self, table: Table<'_>, key: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        self.number_at(&table.value[key], table.path, key, default, range)
    }

    fn number_at(
        &mut self,
        value: &Value,
        path: &str,
        key: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> f64 {
        let number = value.as_f64().filter(|number| range.contains(number));
        if number.is_none() && !value.is_null() {
            let (min, max) = range.into_inner();
            self.fault(path, key, SettingFault::Number { value: value.clone(), min, max });
        }
        number.unwrap_or(default)
    }

    fn integer(&mut self, table: Table<'_>, key: &str, default: u32, range: RangeInclusive<u32>) -> u32 {
        let range = f64::from(*range.start())..=f64::from(*range.end());
        let number = self.number(table, key, default.into(), range);
        if number.fract() != 0.0 {
            self.fault(table.path, key, SettingFault::NotInteger(number));
        }
        number as u32
    }

    fn flag(&mut self, table: Table<'_>, key: &str) -> bool {
        let value = &table.value[key];
        if !value.is_null() && !value.is_boolean() {
            self.fault(table.path, key, SettingFault::NotBoolean(value.clone()));
        }
        value.as_bool().unwrap_or(false)
    }

    /// The position of the key's word in `words`; `None` where the key is missing or its word is not in
    /// `words`.
    fn keyword(&mut self, table: Table<'_>, key: &str, words: &[&str]) -> Option<usize> {
        let value = &table.value[key];
        let known = value.as_str().and_then(|text| words.iter().position(|keyword| *keyword == text));
        if known.is_none() && !value.is_null() {
            let fault = SettingFault::UnknownKeyword { value: value.clone(), words: words.join(", ") };
            self.fault(table.path, key, fault);
        }
        known
    }

    fn discovery(&mut self, table: Table<'_>) -> Discovery {
        match self.keyword(table, "discovery", &["on_request", "pushed"]) {
            Some(0) => Discovery::OnRequest,
            _ => Discovery::Pushed,
        }
    }

    fn max_retry_after(&mut self, limits: Table<'_>) -> Option<Millis> {
        let reaches_clients = self.flag(limits, "retryAfter");
        let longest = self.number(limits, "maxRetryAfterMs", 0.0, 0.0..=MAX_DURATION_MS);
        reaches_clients.then_some(longest)
    }

    fn classes(&mut self, settings: &Value) -> Vec<Class> {
        let classes = list(settings, "lanes").iter().enumerate();
        classes.map(|(position, class)| self.class(settings, position, class)).collect()
    }

    fn class(&mut self, settings: &Value, position: usize, value: &Value) -> Class {
        let path = format!("lanes[{position}].");
        let table = Table { value, path: &path };
        let idempotency = self.idempotency(table);
        let setup_limit = self.number(table, "hardLimitMs", DEFAULT_SETUP_LIMIT_MS, 1.0..=MAX_DURATION_MS);
        let message_objectives = list(&settings["domain"], "messageAimMs");
        let message_objective = message_objectives.get(position).filter(|objective| !objective.is_null());
        Class {
            idempotency,
            message_latency_objective: message_objective.map(|objective| {
                let range = 1.0..=MAX_DURATION_MS;
                self.number_at(objective, "domain.", "messageAimMs", DEFAULT_MESSAGE_OBJECTIVE_MS, range)
            }),
            latency_objective: self.number(table, "aimMs", setup_limit, 1.0..=MAX_DURATION_MS),
            priority_weight: self.number(table, "worth", 1.0, 0.0..=MAX_AMOUNT),
        }
    }

    fn idempotency(&mut self, class: Table<'_>) -> Idempotency {
        match self.keyword(class, "semantics", &["safe", "keyed", "unsafe"]) {
            Some(0) => Idempotency::Safe,
            Some(1) => Idempotency::Keyed { scope: self.scope(class), window: self.window(class) },
            _ => Idempotency::Unsafe,
        }
    }

    fn scope(&mut self, class: Table<'_>) -> DeduplicationScope {
        match self.keyword(class, "group", &["all", "zone", "cell"]) {
            Some(0) => DeduplicationScope::All,
            Some(1) => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        }
    }

    fn window(&mut self, class: Table<'_>) -> Millis {
        if class.value["windowMs"].is_null() {
            self.fault(class.path, "windowMs", SettingFault::MissingWindow);
        }
        self.number(class, "windowMs", 0.0, 0.0..=MAX_DURATION_MS)
    }

    /// The retry budget; `None` where its window is not stated. Only numbers from 0 up are accepted, because
    /// a misread limit would silently break a rule.
    fn retry_budget(&mut self, rules: &Value) -> Option<RetryBudget> {
        let read = || -> Result<Option<RetryBudget>, SettingError> {
            let min_retries = non_negative(rules, "spareAttempts")?.unwrap_or(0.0);
            let retry_ratio = non_negative(rules, "furtherRatio")?.unwrap_or(0.0);
            let window = non_negative(rules, "resendSpanMs")?;
            Ok(window.map(|window| RetryBudget { window, min_retries, retry_ratio }))
        };
        read().unwrap_or_else(|fault| {
            self.faults.push(fault);
            None
        })
    }

    /// The tenants and their quotas. A missing quota means no limit, and so does a rate of 0: rates are
    /// stated in whole numbers, so the rate of a small tenant is rounded to 0.
    fn quotas(&mut self, settings: &Value, defaults: QuotaSettings) -> QuotaSettings {
        let connections = &settings["domain"]["tenantQuotaConnections"];
        if !connections.is_null() && !connections.is_array() {
            self.fault("domain.", "tenantQuotaConnections", SettingFault::NotList(connections.clone()));
        }
        let tenants = list(settings, "realms").iter().enumerate();
        let tenants = tenants.map(|(position, tenant)| self.tenant(tenant, position, &connections[position]));
        let tenants = Tenants::new(tenants.collect()).unwrap_or_else(|fault| {
            self.fault("", "realms", SettingFault::Tenants(fault));
            Tenants::default()
        });
        let root = Table { value: settings, path: "" };
        let over_quota_weight = self.number(root, "overShareWorth", 0.0, 0.0..=MAX_AMOUNT);
        QuotaSettings { tenants, over_quota_weight, ..defaults }
    }

    fn tenant(&mut self, value: &Value, position: usize, connections: &Value) -> Tenant {
        let path = format!("realms[{position}].");
        let table = Table { value, path: &path };
        let max_per_s = self.number(table, "quotaPerS", f64::INFINITY, 0.0..=MAX_AMOUNT);
        self.number(table, "fraction", 0.0, 0.0..=1.0);
        let key = format!("tenantQuotaConnections[{position}]");
        let max_connections = self.number_at(connections, "domain.", &key, f64::INFINITY, 0.0..=MAX_AMOUNT);
        let is_limit = |quota: &f64| quota.is_finite();
        Tenant {
            name: name(value),
            connections: Some(max_connections).filter(is_limit),
            per_s: Some(max_per_s).filter(is_limit).filter(|max_per_s| *max_per_s > 0.0),
        }
    }
}

/// Reads a number from 0 up; `None` where the key is missing.
fn non_negative(table: &Value, key: &str) -> Result<Option<f64>, SettingError> {
    let value = &table[key];
    if value.is_null() {
        return Ok(None);
    }
    let non_negative = value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
    let wrong = || SettingError { key: format!("rules.{key}"), fault: SettingFault::NotNonNegative };
    non_negative.map(Some).ok_or_else(wrong)
}

fn list<'a>(table: &'a Value, key: &str) -> &'a [Value] {
    table[key].as_array().map(Vec::as_slice).unwrap_or_default()
}

fn name(table: &Value) -> String {
    table["name"].as_str().unwrap_or_default().to_owned()
}
