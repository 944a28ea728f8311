//! Configuration files: their values, and which keys they have, to tell a file that was cut short from a
//! whole one.

use std::collections::BTreeSet;

use serde_json::Value;

use super::errors::{ConfigError, Fault, config_error};

/// The key that stands for a file as a whole.
pub(super) const WHOLE_FILE: &str = "(file)";
/// Keys that come and go with other values: what is in the list of endpoints is its own matter, and these
/// of a class depend on its effect when repeated.
const OPTIONAL_KEYS: [&str; 4] =
    ["known", "settings.lanes[].group", "settings.lanes[].windowMs", "settings.lanes[].aimStretch"];

/// What a file has said, whatever its values.
#[derive(Debug, PartialEq)]
pub(super) struct FileKeys {
    /// The file's name.
    pub file: String,
    /// Paths of its keys; below a list of tables only those that all of them have.
    pub keys: BTreeSet<String>,
    /// Its last line has an end, or its format has an end of its own.
    pub is_terminated: bool,
}

/// A file's format.
#[derive(Clone, Copy)]
pub(super) enum Format {
    Json,
    Toml,
}

struct Parsed {
    value: Value,
    is_terminated: bool,
}

impl Format {
    fn parse(self, text: &str) -> Result<Parsed, Fault> {
        match self {
            // A JSON text ends with the bracket that it began with.
            Format::Json => match serde_json::from_str(text) {
                Ok(value) => Ok(Parsed { value, is_terminated: true }),
                Err(error) => Err(Fault::Syntax(error.to_string())),
            },
            Format::Toml => match toml::from_str(text) {
                Ok(value) => Ok(Parsed { value, is_terminated: text.ends_with('\n') }),
                Err(error) => Err(Fault::Syntax(error.to_string().trim_end().to_owned())),
            },
        }
    }
}

/// Reads a file as an object, and notes its keys. A file that can't be read is a fault, and reads as null.
pub(super) fn read_file(
    path: &str,
    format: Format,
    written: &mut Vec<FileKeys>,
    faults: &mut Vec<ConfigError>,
) -> Value {
    let text = std::fs::read_to_string(path).map_err(Fault::Unreadable);
    let fault = match text.and_then(|text| format.parse(&text)) {
        Ok(Parsed { value, is_terminated }) if value.is_object() => {
            let mut keys = BTreeSet::new();
            collect_keys(&value, "", &mut keys);
            written.push(FileKeys { file: path.to_owned(), keys, is_terminated });
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
    // A table more or less is a change; one that lacks what the others have was cut.
    let common = keys_by_table.reduce(|common, keys| common.intersection(&keys).cloned().collect());
    keys.extend(common.unwrap_or_default());
}
