//! Readers of the sections of an application's file, one function for each section.

use std::net::SocketAddr;

use sandgw_schema_version::{SchemaVersion, SupportedVersions};

use super::errors::Fault;
use super::reader::{ADDRESS, Reader};
use super::{Limits, Rtmp, Snmp, StateFolder};
use crate::listener::rtmp::RtmpSettings;
use crate::policy::api::{Millis, Settings};
use crate::simulator::SettingFault;

/// With fewer descriptors the process could not open its own sockets and files beside a few connections.
const MIN_SOCKETS: f64 = 64.0;
const MAX_SOCKETS: f64 = 1_048_576.0;
const MIN_FIRST_LINE_MS: Millis = 100.0;
/// Upper limit of time-outs and of the flush interval.
const MAX_TIMEOUT_MS: Millis = 600_000.0;
const MIN_FLUSH_MS: Millis = 100.0;
const DEFAULT_FLUSH_MS: Millis = 1000.0;
const MIN_GIVE_UP_MS: Millis = 100.0;
const DEFAULT_GIVE_UP_MS: Millis = 3000.0;
const MIN_TABLE_KIB: f64 = 64.0;
const MAX_TABLE_KIB: f64 = 4_194_304.0;
const MAX_RATE_KIB_PER_S: f64 = 1_048_576.0;
const MAX_AGE_S: f64 = 604_800.0;
const MAX_LIFETIME_S: f64 = 86_400.0;
const BYTES_PER_KIB: f64 = 1024.0;
const MS_PER_S: f64 = 1000.0;

impl Limits {
    pub(super) fn read(&mut self, section: &mut Reader<'_>) {
        if let Some(sockets) = section.number("sockets", MIN_SOCKETS..=MAX_SOCKETS) {
            self.sockets = sockets as usize;
        }
        if let Some(first_line_timeout) = section.number("first_line_ms", MIN_FIRST_LINE_MS..=MAX_TIMEOUT_MS)
        {
            self.first_line_timeout = first_line_timeout;
        }
    }
}

/// Reads whether tenants' quotas are enforced.
pub(super) fn quotas(section: &mut Reader<'_>, settings: &mut Settings) {
    section.check_known_keys(&["enforce"]);
    let value = &section.table["enforce"];
    if !value.is_null() && !value.is_boolean() {
        section.fault("enforce", SettingFault::NotBoolean(value.clone()));
    }
    if let Some(enforce) = value.as_bool() {
        settings.quotas.enforce = enforce;
    }
    if value.as_bool() == Some(true) && !settings.quotas.has_limits() {
        section.fault("enforce", Fault::NoQuota);
    }
}

/// Reads the limits of the tables of clients and groups, and the folder of the store of clients and groups if
/// the section names a folder.
pub(super) fn state_folder(
    section: &mut Reader<'_>,
    limits: &mut sandgw_affinity::Limits,
) -> Option<StateFolder> {
    section.check_known_keys(&["folder", "flush_ms", "memory_kb", "max_age_s", "life_s", "peers_kb_s"]);
    if let Some(kib) = section.number("memory_kb", MIN_TABLE_KIB..=MAX_TABLE_KIB) {
        limits.bytes = (kib * BYTES_PER_KIB) as usize;
    }
    if let Some(seconds) = section.number("max_age_s", 1.0..=MAX_AGE_S) {
        limits.max_age = seconds * MS_PER_S;
    }
    if let Some(seconds) = section.number("life_s", 1.0..=MAX_LIFETIME_S) {
        limits.mean_lifetime = seconds * MS_PER_S;
    }
    if let Some(kib) = section.number("peers_kb_s", 1.0..=MAX_RATE_KIB_PER_S) {
        limits.sync_bytes_per_s = kib * BYTES_PER_KIB;
    }
    let flush_interval =
        section.number("flush_ms", MIN_FLUSH_MS..=MAX_TIMEOUT_MS).unwrap_or(DEFAULT_FLUSH_MS);
    let folder = section.text("folder")?;
    if folder.is_empty() {
        section.fault("folder", Fault::Empty);
    }
    Some(StateFolder { folder: folder.into(), flush_interval })
}

/// Reads the newest schema version in which shared state may be written; by default the newest that this
/// program supports.
pub(super) fn schema_versions(section: &mut Reader<'_>) -> Option<SupportedVersions> {
    section.check_known_keys(&["most"]);
    let newest = f64::from(SchemaVersion::NEWEST.number());
    let limit = section.number("most", 1.0..=newest).unwrap_or(newest);
    if limit.fract() != 0.0 {
        section.fault("most", SettingFault::NotInteger(limit));
    }
    match SchemaVersion::new(limit as u64).and_then(SupportedVersions::up_to) {
        Ok(versions) => Some(versions),
        Err(error) => {
            section.fault("most", Fault::SchemaVersion(error));
            None
        }
    }
}

/// Reads the RTMP listener.
pub(super) fn rtmp(section: &mut Reader<'_>, classes: &[String]) -> Option<Rtmp> {
    section.check_known_keys(&["listen", "class", "give_up_ms", "trusted"]);
    let listen = section.required("listen", ADDRESS);
    let class = section.text("class").or_else(|| classes.first().cloned()).unwrap_or_default();
    if !classes.is_empty() && !classes.contains(&class) {
        section.fault("class", Fault::UnknownClass(class.clone()));
    }
    let give_up = section.number("give_up_ms", MIN_GIVE_UP_MS..=MAX_TIMEOUT_MS);
    let settings = RtmpSettings { class, client_timeout: give_up.unwrap_or(DEFAULT_GIVE_UP_MS) };
    let trusted = section.list("trusted", "an address without a port").unwrap_or_default();
    Some(Rtmp { listen: listen?, settings, trusted })
}

/// Reads the SNMP agent.
pub(super) fn snmp(section: &mut Reader<'_>) -> Option<Snmp> {
    section.check_known_keys(&["listen", "community"]);
    let listen: Option<SocketAddr> = section.required("listen", ADDRESS);
    if listen.is_some_and(|listen| !listen.ip().is_loopback()) {
        // SNMP version 2c has no protection but the community, which is sent in clear text.
        section.fault("listen", Fault::NotLoopback);
    }
    let community = section.required::<String>("community", "a text");
    if community.as_ref().is_some_and(String::is_empty) {
        section.fault("community", Fault::Empty);
    }
    Some(Snmp { listen: listen?, community: community? })
}
