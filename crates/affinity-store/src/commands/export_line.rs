//! The lines of an export, and their conversion from and to records.

use std::io;

use sandgw_affinity::endpoint_registry::{EndpointName, EndpointTag};
use sandgw_affinity::{Changes, Millis, Record};
use serde::de::{Deserializer, Error as _};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

/// A line of an export. Keys and tags are written as hexadecimal digits, because not every JSON parser reads
/// 64-bit integers exactly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ExportLine {
    /// A client and its endpoint.
    Client {
        /// The client's key.
        key: String,
        /// The endpoint's tag.
        holder: String,
        /// When the client's connection was placed, in milliseconds.
        #[serde(deserialize_with = "read_millis")]
        at_ms: Millis,
    },
    /// A group and its endpoints.
    Group {
        /// The group's key.
        key: String,
        /// Tags of the endpoints and the load on them, in mean connections.
        holders: Vec<(String, f32)>,
        /// When the group's entry was last changed, in milliseconds.
        #[serde(deserialize_with = "read_millis")]
        at_ms: Millis,
    },
    /// The endpoint that a tag identifies.
    #[serde(rename = "streamer")]
    Endpoint {
        /// The tag.
        tag: String,
        /// The endpoint's id.
        id: String,
        /// When the endpoint started, in milliseconds; 0 for long past.
        #[serde(deserialize_with = "read_millis")]
        started_ms: Millis,
    },
}

/// Reads a time exactly as it was written. The number parser of `serde_json` may be off by one unit in the
/// last place.
fn read_millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Millis, D::Error> {
    let number = Box::<RawValue>::deserialize(deserializer)?;
    number.get().parse().map_err(D::Error::custom)
}

/// Why a line can't be imported.
#[derive(Debug, Error)]
pub enum LineError {
    /// The line could not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is not the JSON form of an [`ExportLine`].
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A tag is malformed.
    #[error("{0:?} is not a tag; a tag has up to eight hexadecimal digits")]
    InvalidTag(String),
    /// A key is malformed.
    #[error("key: {0:?} is not a hexadecimal number of up to 64 bits")]
    InvalidKey(String),
    /// A time is negative or not finite.
    #[error("at_ms: {0} is not a time; it must be finite and not negative")]
    InvalidTime(Millis),
    /// A load is negative or not finite.
    #[error("holders: {0} is not a load; it must be finite and not negative")]
    InvalidLoad(f32),
    /// A tag does not belong to the endpoint's id and start.
    #[error("streamer: {tag} is not the tag of endpoint {id} started at {started_ms}")]
    WrongTag {
        /// The tag.
        tag: String,
        /// The endpoint's id.
        id: String,
        /// When the endpoint started.
        started_ms: Millis,
    },
}

impl From<EndpointName> for ExportLine {
    fn from(name: EndpointName) -> ExportLine {
        ExportLine::Endpoint { tag: format_tag(name.tag), id: name.id, started_ms: name.started }
    }
}

impl From<&Record> for ExportLine {
    fn from(record: &Record) -> ExportLine {
        match record {
            Record::Session { key, holder, at } => {
                ExportLine::Client { key: format_key(*key), holder: format_tag(*holder), at_ms: *at }
            }
            Record::Group { key, holders, at } => {
                let holders = holders.iter().map(|(tag, load)| (format_tag(*tag), *load)).collect();
                ExportLine::Group { key: format_key(*key), holders, at_ms: *at }
            }
        }
    }
}

impl ExportLine {
    /// Adds the line's content to a batch of changes.
    pub(super) fn add_to(self, changes: &mut Changes) -> Result<(), LineError> {
        match self {
            ExportLine::Client { key, holder, at_ms } => {
                let key = parse_key(&key)?;
                let holder = parse_tag(&holder)?;
                changes.updated.push(Record::Session { key, holder, at: check_time(at_ms)? });
            }
            ExportLine::Group { key, holders, at_ms } => {
                let holders = holders.into_iter().map(|(tag, load)| parse_load(&tag, load));
                let holders = holders.collect::<Result<_, _>>()?;
                let key = parse_key(&key)?;
                changes.updated.push(Record::Group { key, holders, at: check_time(at_ms)? });
            }
            ExportLine::Endpoint { tag, id, started_ms } => {
                let parsed = parse_tag(&tag)?;
                if EndpointTag::of(&id, started_ms) != parsed {
                    return Err(LineError::WrongTag { tag, id, started_ms });
                }
                changes.names.push(EndpointName { tag: parsed, id, started: started_ms });
            }
        }
        Ok(())
    }
}

pub(super) fn format_tag(tag: EndpointTag) -> String {
    format!("{:08x}", u32::from_le_bytes(tag.0))
}

pub(super) fn format_key(key: u64) -> String {
    format!("{key:016x}")
}

fn parse_tag(text: &str) -> Result<EndpointTag, LineError> {
    let number = u32::from_str_radix(text, 16).map_err(|_| LineError::InvalidTag(text.to_owned()))?;
    Ok(EndpointTag(number.to_le_bytes()))
}

fn parse_key(text: &str) -> Result<u64, LineError> {
    u64::from_str_radix(text, 16).map_err(|_| LineError::InvalidKey(text.to_owned()))
}

fn check_time(at_ms: Millis) -> Result<Millis, LineError> {
    if !at_ms.is_finite() || at_ms < 0.0 {
        return Err(LineError::InvalidTime(at_ms));
    }
    Ok(at_ms)
}

fn parse_load(tag: &str, load: f32) -> Result<(EndpointTag, f32), LineError> {
    if !load.is_finite() || load < 0.0 {
        return Err(LineError::InvalidLoad(load));
    }
    Ok((parse_tag(tag)?, load))
}
