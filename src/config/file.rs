//! Reads configuration files: their values, and the set of their keys, by which a truncated file is detected.

use std::collections::BTreeSet;

use serde_json::Value;

use super::errors::{ConfigError, Fault, config_error};

/// Stands in place of a key in errors about a file as a whole.
pub(super) const WHOLE_FILE: &str = "(file)";
/// Keys that a complete file may lack although an earlier file had them: the endpoint list changes on its
/// own, and these keys of a class depend on its idempotency.
const OPTIONAL_KEYS: [&str; 4] =
    ["known", "settings.lanes[].group", "settings.lanes[].windowMs", "settings.lanes[].aimStretch"];

/// The keys of a file, without their values.
#[derive(Debug, PartialEq)]
pub(super) struct FileKeys {
    /// Path of the file.
    pub file: String,
    /// Paths of the file's keys; below a list of tables, only the keys that all of these tables have.
    pub keys: BTreeSet<String>,
    /// Whether the last line ends with a newline. Always true for JSON, which has a closing bracket.
    pub is_terminated: bool,
}

/// A file's format.
#[derive(Clone, Copy)]
pub(super) enum Format {
    Json,
    Toml,
}

struct ParsedFile {
    value: Value,
    is_terminated: bool,
}

impl Format {
    fn parse(self, text: &str) -> Result<ParsedFile, Fault> {
        match self {
            // A truncated JSON object lacks its closing bracket and does not parse.
            Format::Json => match serde_json::from_str(text) {
                Ok(value) => Ok(ParsedFile { value, is_terminated: true }),
                Err(error) => Err(Fault::Syntax(error.to_string())),
            },
            Format::Toml => match toml::from_str(text) {
                Ok(value) => Ok(ParsedFile { value, is_terminated: text.ends_with('\n') }),
                Err(error) => Err(Fault::Syntax(error.to_string().trim_end().to_owned())),
            },
        }
    }
}

/// Reads a file as an object, and records its keys. Where that fails, reports a fault and returns null.
pub(super) fn read_file(
    path: &str,
    format: Format,
    file_keys: &mut Vec<FileKeys>,
    faults: &mut Vec<ConfigError>,
) -> Value {
    let text = std::fs::read_to_string(path).map_err(Fault::Unreadable);
    let fault = match text.and_then(|text| format.parse(&text)) {
        Ok(ParsedFile { value, is_terminated }) if value.is_object() => {
            let mut keys = BTreeSet::new();
            collect_keys(&value, "", &mut keys);
            file_keys.push(FileKeys { file: path.to_owned(), keys, is_terminated });
            return value;
        }
        Ok(_) => Fault::NotObject,
        Err(fault) => fault,
    };
    faults.push(config_error(path, WHOLE_FILE, fault));
    Value::Null
}

/// Collects the paths of a value's keys.
fn collect_keys(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    if let Some(table) = value.as_object() {
        for (key, value) in table.iter().filter(|(_, value)| !value.is_null()) {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            if !OPTIONAL_KEYS.contains(&path.as_str()) {
                collect_keys(value, &path, keys);
                keys.insert(path);
            }
        }
    }
    let elements = value.as_array().map(Vec::as_slice).unwrap_or_default();
    let keys_of = |element: &Value| {
        let mut keys = BTreeSet::new();
        collect_keys(element, &format!("{path}[]"), &mut keys);
        keys
    };
    let keys_by_table = elements.iter().filter(|element| element.is_object()).map(keys_of);
    // Tables may be added or removed by a reload, but a table that lacks a key of the other tables is
    // truncated.
    let common = keys_by_table.reduce(|common, keys| common.intersection(&keys).cloned().collect());
    keys.extend(common.unwrap_or_default());
}
