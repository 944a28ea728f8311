//! A summary of a store's content.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;

use sandgw_affinity::endpoint_registry::EndpointTag;
use sandgw_affinity::{Millis, Record};
use serde::Serialize;

use super::export_line::{format_key, format_tag};
use super::file_bytes;
use crate::{Store, StoreError};

/// A summary of a store's content. Its field names appear in the JSON output of the command.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Number of records of clients.
    pub clients: u64,
    /// Number of records of groups.
    pub groups: u64,
    /// Number of records skipped because their checksum or encoding is wrong.
    pub damaged: u64,
    /// Size of the file in bytes.
    pub file_bytes: u64,
    /// When the oldest record was set, in milliseconds; `None` where there is no record.
    pub oldest_ms: Option<Millis>,
    /// When the newest record was set, in milliseconds; `None` where there is no record.
    pub newest_ms: Option<Millis>,
    /// Endpoints by load, the highest load first.
    pub holders: Vec<EndpointSummary>,
    /// The groups with the highest load, the highest first.
    pub largest: Vec<GroupSummary>,
}

/// The clients, groups and load of an endpoint.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EndpointSummary {
    /// The endpoint's id, or its tag where the store has no name for the tag.
    #[serde(rename = "streamer")]
    pub endpoint: String,
    /// Number of clients that the endpoint holds.
    pub clients: u64,
    /// Number of groups that the endpoint holds.
    pub groups: u64,
    /// Load of those groups on the endpoint, in mean connections.
    pub load: f64,
}

/// A group and its load.
#[derive(Clone, Debug, Serialize)]
pub struct GroupSummary {
    /// The group's key.
    pub key: String,
    /// The group's load on all its endpoints, in mean connections.
    pub load: f64,
    /// The endpoints that hold the group.
    pub holders: Vec<String>,
}

/// Summarizes a store, with at most `max_groups` of the largest groups.
///
/// # Errors
/// Where the store can't be opened or read.
pub fn show(folder: &Path, max_groups: usize) -> Result<Summary, StoreError> {
    let store = Store::open_existing(folder)?;
    let names = store.endpoint_names()?.into_iter().map(|name| (name.tag, name.id)).collect();
    let mut builder = SummaryBuilder { names, ..SummaryBuilder::default() };
    let loaded = store.load(|record| builder.add(record))?;
    let mut summary = builder.finish(max_groups);
    summary.damaged = loaded.damaged;
    summary.file_bytes = file_bytes(folder);
    Ok(summary)
}

struct GroupLoad {
    key: u64,
    load: f64,
    tags: Vec<EndpointTag>,
}

#[derive(Default)]
struct SummaryBuilder {
    names: HashMap<EndpointTag, String>,
    summary: Summary,
    endpoints: BTreeMap<EndpointTag, EndpointSummary>,
    groups: Vec<GroupLoad>,
}

impl SummaryBuilder {
    fn add(&mut self, record: Record) {
        let at = record.at();
        let summary = &mut self.summary;
        summary.oldest_ms = Some(summary.oldest_ms.map_or(at, |oldest| oldest.min(at)));
        summary.newest_ms = Some(summary.newest_ms.map_or(at, |newest| newest.max(at)));
        match record {
            Record::Session { holder, .. } => {
                self.summary.clients += 1;
                self.endpoint(holder).clients += 1;
            }
            Record::Group { key, holders, .. } => self.add_group(key, &holders),
        }
    }

    fn add_group(&mut self, key: u64, holders: &[(EndpointTag, f32)]) {
        self.summary.groups += 1;
        for (tag, load) in holders {
            let endpoint = self.endpoint(*tag);
            endpoint.groups += 1;
            endpoint.load += f64::from(*load);
        }
        let load = holders.iter().map(|(_, load)| f64::from(*load)).sum();
        let tags = holders.iter().map(|(tag, _)| *tag).collect();
        self.groups.push(GroupLoad { key, load, tags });
    }

    fn endpoint(&mut self, tag: EndpointTag) -> &mut EndpointSummary {
        let name = &self.names;
        let new = || EndpointSummary { endpoint: display_name(name, tag), ..EndpointSummary::default() };
        self.endpoints.entry(tag).or_insert_with(new)
    }

    fn finish(self, max_groups: usize) -> Summary {
        let SummaryBuilder { names, mut summary, endpoints, mut groups } = self;
        summary.holders = endpoints.into_values().collect();
        summary.holders.sort_by(|a, b| b.load.total_cmp(&a.load).then_with(|| a.endpoint.cmp(&b.endpoint)));
        groups.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.key.cmp(&b.key)));
        groups.truncate(max_groups);
        let largest = groups.iter().map(|group| GroupSummary {
            key: format_key(group.key),
            load: group.load,
            holders: group.tags.iter().map(|tag| display_name(&names, *tag)).collect(),
        });
        summary.largest = largest.collect();
        summary
    }
}

fn display_name(names: &HashMap<EndpointTag, String>, tag: EndpointTag) -> String {
    names.get(&tag).cloned().unwrap_or_else(|| format!("tag {}", format_tag(tag)))
}
