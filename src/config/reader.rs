//! Typed access to the keys of one table of a configuration file.

use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::Value;

use super::errors::{ConfigError, Fault, config_error};

/// Describes an address with a port in messages.
pub(super) const ADDRESS: &str = "an address and a port";
/// Base of a seed that is given as a text.
const SEED_RADIX: u32 = 16;

/// Reads the keys of one table. An invalid value is reported as a fault and treated as absent.
pub(super) struct Reader<'a> {
    /// Name of the file, for messages.
    file: &'a str,
    /// The table that is read.
    pub table: &'a Value,
    /// Prefix of the table's keys in messages.
    prefix: &'static str,
    faults: &'a mut Vec<ConfigError>,
}

impl<'a> Reader<'a> {
    pub fn new(
        file: &'a str,
        table: &'a Value,
        prefix: &'static str,
        faults: &'a mut Vec<ConfigError>,
    ) -> Self {
        Reader { file, table, prefix, faults }
    }

    pub fn fault(&mut self, key: &str, fault: impl Into<Fault>) {
        self.faults.push(config_error(self.file, &format!("{}{key}", self.prefix), fault));
    }

    /// Reports keys that are not among `keys`: they are most likely misspelt.
    pub fn check_known_keys(&mut self, keys: &[&str]) {
        let present = self.table.as_object().into_iter().flat_map(|table| table.keys());
        let unknown: Vec<String> = present.filter(|key| !keys.contains(&key.as_str())).cloned().collect();
        for key in unknown {
            self.fault(&key, Fault::UnknownKey { known: keys.join(", ") });
        }
    }

    /// Reports those of `keys` whose values are not tables.
    pub fn check_tables(&mut self, keys: &[&str]) {
        for key in keys {
            if !self.table[key].is_null() && !self.table[key].is_object() {
                self.fault(key, Fault::NotTable);
            }
        }
    }

    pub fn text(&mut self, key: &str) -> Option<String> {
        match &self.table[key] {
            Value::Null => None,
            Value::String(text) => Some(text.clone()),
            other => {
                self.fault(key, Fault::NotText(other.clone()));
                None
            }
        }
    }

    /// Parses a text, reporting a fault of `key` where that fails; `wanted` describes the expected format.
    pub fn parse_text<T: FromStr>(&mut self, key: &str, text: &str, wanted: &'static str) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(key, Fault::InvalidText { text: text.to_owned(), wanted });
        }
        parsed
    }

    pub fn parse_key<T: FromStr>(&mut self, key: &str, wanted: &'static str) -> Option<T> {
        let text = self.text(key)?;
        self.parse_text(key, &text, wanted)
    }

    /// As [`Self::parse_key`], but a missing key is a fault.
    pub fn required<T: FromStr>(&mut self, key: &str, wanted: &'static str) -> Option<T> {
        if self.table[key].is_null() {
            self.fault(key, Fault::Missing);
        }
        self.parse_key(key, wanted)
    }

    pub fn list<T: FromStr>(&mut self, key: &str, wanted: &'static str) -> Option<Vec<T>> {
        if self.table[key].is_null() {
            return None;
        }
        let Some(values) = self.table[key].as_array() else {
            self.fault(key, Fault::NotList);
            return None;
        };
        let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        let texts: Vec<String> = values.iter().map(text).collect();
        texts.iter().map(|text| self.parse_text(key, text, wanted)).collect()
    }

    pub fn number(&mut self, key: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = &self.table[key];
        let number = value.as_f64().filter(|number| range.contains(number));
        if number.is_none() && !value.is_null() {
            let (min, max) = range.into_inner();
            self.fault(key, Fault::OutOfRange { value: value.clone(), min, max });
        }
        number
    }

    /// Reads the seed of the random number generator. Without a configured seed the current time is used: the
    /// seed need not be secret.
    pub fn seed(&mut self) -> u64 {
        let seed = match &self.table["seed"] {
            Value::Null => {
                let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
                return since_epoch.unwrap_or_default().as_nanos() as u64;
            }
            Value::String(text) => u64::from_str_radix(text, SEED_RADIX).ok(),
            other => other.as_u64(),
        };
        if seed.is_none() {
            self.fault("seed", Fault::InvalidSeed);
        }
        seed.unwrap_or(0)
    }
}
