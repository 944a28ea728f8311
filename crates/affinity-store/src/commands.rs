//! What operators do with a store: look into it, check it, carry it over, and give unused room back. A store that
//! a running relay has open is refused; it is not read past its owner.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::path::Path;

use sandgw_affinity::endpoint_registry::{EndpointName, EndpointTag};
use sandgw_affinity::{Changes, Millis, Record};
use serde::{Deserialize, Serialize};

use crate::{FILE, Loaded, Store, StoreError};

/// One line of an export. Keys and tags are hexadecimal digits: not every reader of JSON takes 64 bits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Line {
    /// A client and its holder.
    Client {
        /// The client's key.
        key: String,
        /// The holder's tag.
        holder: String,
        /// When it was placed, in milliseconds.
        at_ms: Millis,
    },
    /// A group and its holders.
    Group {
        /// The group's key.
        key: String,
        /// Tags of the holders and the load on them, in mean connections.
        holders: Vec<(String, f32)>,
        /// When it was last changed, in milliseconds.
        at_ms: Millis,
    },
    /// What a tag stands for.
    #[serde(rename = "streamer")]
    Endpoint {
        /// The tag.
        tag: String,
        /// The endpoint's id.
        id: String,
        /// When it started, in milliseconds; 0 for long past.
        started_ms: Millis,
    },
}

fn hex(tag: EndpointTag) -> String {
    format!("{:08x}", u32::from_le_bytes(tag.0))
}

fn tag(text: &str) -> Result<EndpointTag, String> {
    let n = u32::from_str_radix(text, 16)
        .map_err(|_| format!("{text:?} is no tag of eight hexadecimal digits"))?;
    Ok(EndpointTag(n.to_le_bytes()))
}

fn key(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("key: {text:?} is no hexadecimal number of 64 bits"))
}

fn time(at: Millis) -> Result<Millis, String> {
    if at.is_finite() && at >= 0.0 { Ok(at) } else { Err(format!("at_ms: {at} is no time")) }
}

impl Line {
    fn of(record: &Record) -> Line {
        match record {
            Record::Session { key, holder, at } => {
                Line::Client { key: format!("{key:016x}"), holder: hex(*holder), at_ms: *at }
            }
            Record::Group { key, holders, at } => {
                let holders = holders.iter().map(|(tag, load)| (hex(*tag), *load)).collect();
                Line::Group { key: format!("{key:016x}"), holders, at_ms: *at }
            }
        }
    }

    fn add(self, changes: &mut Changes) -> Result<(), String> {
        match self {
            Line::Client { key: k, holder, at_ms } => {
                changes.updated.push(Record::Session {
                    key: key(&k)?,
                    holder: tag(&holder)?,
                    at: time(at_ms)?,
                });
            }
            Line::Group { key: k, holders, at_ms } => {
                let holders = holders.into_iter().map(|(t, load)| {
                    if load.is_finite() && load >= 0.0 {
                        Ok((tag(&t)?, load))
                    } else {
                        Err(format!("holders: {load} is no load"))
                    }
                });
                let holders = holders.collect::<Result<_, _>>()?;
                changes.updated.push(Record::Group { key: key(&k)?, holders, at: time(at_ms)? });
            }
            Line::Endpoint { tag: t, id, started_ms } => {
                let tag = tag(&t)?;
                if EndpointTag::of(&id, started_ms) != tag {
                    return Err(format!("streamer: {t} is not the tag of {id} started at {started_ms}"));
                }
                changes.names.push(EndpointName { tag, id, started: started_ms });
            }
        }
        Ok(())
    }
}

/// What is in a store, in short.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Records of clients and of groups.
    pub clients: u64,
    /// See above.
    pub groups: u64,
    /// Records passed over because their checksum or form is wrong.
    pub damaged: u64,
    /// Bytes of the file.
    pub file_bytes: u64,
    /// When the oldest and the newest record were set, in milliseconds; nothing where there is none.
    pub oldest_ms: Option<Millis>,
    /// See above.
    pub newest_ms: Option<Millis>,
    /// Endpoints by what they hold, the heaviest first.
    pub holders: Vec<HolderRow>,
    /// The largest groups.
    pub largest: Vec<GroupRow>,
}

/// What an endpoint holds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HolderRow {
    /// Its id, or its tag where the store has no name for it.
    #[serde(rename = "streamer")]
    pub endpoint: String,
    /// Clients.
    pub clients: u64,
    /// Groups.
    pub groups: u64,
    /// Load of those groups, in mean connections.
    pub load: f64,
}

/// A group, by its size.
#[derive(Clone, Debug, Serialize)]
pub struct GroupRow {
    /// Its key.
    pub key: String,
    /// Its load, in mean connections.
    pub load: f64,
    /// Its holders.
    pub holders: Vec<String>,
}

/// Sums a store up, with so many of the largest groups.
pub fn show(folder: &Path, most: usize) -> Result<Summary, StoreError> {
    let store = Store::existing(folder)?;
    let names: HashMap<EndpointTag, String> = store.names()?.into_iter().map(|n| (n.tag, n.id)).collect();
    let name = |tag: &EndpointTag| names.get(tag).cloned().unwrap_or_else(|| format!("tag {}", hex(*tag)));
    let mut summary = Summary::default();
    let mut holders: BTreeMap<EndpointTag, HolderRow> = BTreeMap::new();
    let mut sizes: Vec<(f64, u64, Vec<EndpointTag>)> = Vec::new();
    let mut row = |tag: &EndpointTag, add: &dyn Fn(&mut HolderRow)| {
        add(holders.entry(*tag).or_insert_with(|| HolderRow { endpoint: name(tag), ..HolderRow::default() }));
    };
    let loaded = store.load(|record| {
        let at = record.at();
        summary.oldest_ms = Some(summary.oldest_ms.map_or(at, |o| o.min(at)));
        summary.newest_ms = Some(summary.newest_ms.map_or(at, |n| n.max(at)));
        match record {
            Record::Session { holder, .. } => {
                summary.clients += 1;
                row(&holder, &|r| r.clients += 1);
            }
            Record::Group { key, holders, .. } => {
                summary.groups += 1;
                for (tag, load) in &holders {
                    row(tag, &|r| {
                        r.groups += 1;
                        r.load += f64::from(*load);
                    });
                }
                let load = holders.iter().map(|(_, load)| f64::from(*load)).sum();
                sizes.push((load, key, holders.into_iter().map(|(tag, _)| tag).collect()));
            }
        }
    })?;
    summary.damaged = loaded.damaged;
    summary.file_bytes = std::fs::metadata(folder.join(FILE)).map_or(0, |m| m.len());
    summary.holders = holders.into_values().collect();
    summary.holders.sort_by(|a, b| b.load.total_cmp(&a.load).then_with(|| a.endpoint.cmp(&b.endpoint)));
    sizes.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    let largest = sizes.into_iter().take(most);
    summary.largest = largest
        .map(|(load, key, tags)| GroupRow {
            key: format!("{key:016x}"),
            load,
            holders: tags.iter().map(name).collect(),
        })
        .collect();
    Ok(summary)
}

/// Checks every page and every record. The file's own sums are checked with the opening.
pub fn verify(folder: &Path) -> Result<Loaded, StoreError> {
    Store::existing(folder)?.load(|_| {})
}

/// Writes everything as lines of JSON: endpoints, groups, clients. Says how many lines.
pub fn export(folder: &Path, out: &mut impl Write) -> Result<u64, StoreError> {
    let store = Store::existing(folder)?;
    let (mut lines, mut failed) = (0, None);
    let mut put = |line: &Line| {
        let text = serde_json::to_string(line).map_err(std::io::Error::other);
        match text.and_then(|text| writeln!(out, "{text}")) {
            Ok(()) => lines += 1,
            Err(e) => failed = Some(e),
        }
    };
    for n in store.names()? {
        put(&Line::Endpoint { tag: hex(n.tag), id: n.id, started_ms: n.started });
    }
    store.load(|record| put(&Line::of(&record)))?;
    match failed {
        Some(e) => Err(StoreError::Disk(format!("writing the export: {e}"))),
        None => Ok(lines),
    }
}

/// Why an import was refused.
#[derive(Debug)]
pub enum ImportError {
    /// The line and what is wrong with it; nothing was taken.
    Line(u64, String),
    /// The store could not be used.
    Store(StoreError),
}

impl std::fmt::Display for ImportError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ImportError::Line(n, reason) => write!(f, "line {n}: {reason}; nothing was taken"),
            ImportError::Store(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for ImportError {}

/// Takes lines as [`export`] writes them, over what is there: all of them or, where one is bad, none. Says how many.
pub fn import(folder: &Path, lines: impl BufRead) -> Result<u64, ImportError> {
    let mut all = Changes::default();
    let mut count = 0;
    for (line, n) in lines.lines().zip(1..) {
        let line = line.map_err(|e| ImportError::Line(n, e.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        let read = serde_json::from_str::<Line>(&line).map_err(|e| e.to_string());
        read.and_then(|line| line.add(&mut all)).map_err(|e| ImportError::Line(n, e))?;
        count += 1;
    }
    let store = Store::open(folder).map_err(ImportError::Store)?.store;
    store.write(&all).map_err(ImportError::Store)?;
    Ok(count)
}

/// Gives unused room in the file back; bytes before and after.
pub fn compact(folder: &Path) -> Result<(u64, u64), StoreError> {
    let bytes = || std::fs::metadata(folder.join(FILE)).map_or(0, |m| m.len());
    let before = bytes();
    let mut store = Store::existing(folder)?;
    store.compact()?;
    drop(store);
    Ok((before, bytes()))
}
