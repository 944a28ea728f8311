//! Loads the configuration from the platform's file, environment variables and an application's file.
//!
//! A key of the application's file takes precedence over the platform's file. An environment variable is used
//! only where both files lack the key, since files can be replaced while a relay runs and its environment
//! can't. Loading reports all faults, not only the first.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use sandgw_schema_version::SupportedVersions;
use serde_json::Value;

use super::errors::{ConfigError, Fault, config_error};
use super::file::{FileKeys, Format, read_file};
use super::maintenance::maintenance;
use super::reader::{ADDRESS, Reader};
use super::{Config, Environment, Limits, Maintenance, Rtmp, Snmp, StateFolder, sections};
use crate::discovery::EndpointList;
use crate::policy::api::{EndpointEntry, Settings};
use crate::simulator;

/// Stands for the environment in messages, in place of a file name.
const ENVIRONMENT: &str = "environment";
/// Environment variable with the path of the platform's file.
const FILE_VARIABLE: &str = "PROXY_CONFIG";
/// Environment variable with the number of the inherited descriptor of the clients' listening socket.
const SOCKET_VARIABLE: &str = "PROXY_PASSED_SOCKET";
/// The sections of an application's file.
const SECTIONS: [&str; 9] =
    ["relay", "limits", "rtmp", "snmp", "state", "shares", "forms", "maintenance", "settings"];
/// The relay's name if no source gives one.
const DEFAULT_NAME: &str = "sandgw";

/// A configuration file and its parsed value, which is null if there is no such file.
struct Source {
    file: String,
    value: Value,
}

impl Source {
    /// A reader of one section of the file.
    fn section<'a>(
        &'a self,
        key: &str,
        prefix: &'static str,
        faults: &'a mut Vec<ConfigError>,
    ) -> Reader<'a> {
        Reader::new(&self.file, &self.value[key], prefix, faults)
    }

    fn has_section(&self, key: &str) -> bool {
        self.value[key].is_object()
    }
}

/// The platform's and the application's file, and the keys of both.
struct Sources {
    platform: Source,
    application: Source,
    file_keys: Vec<FileKeys>,
}

/// The relay's name and addresses, as one source gives them.
#[derive(Default)]
struct Identity {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    peers: Option<Vec<SocketAddr>>,
}

/// The state that the platform's file gives a relay for its start: the cached endpoint list and the seed.
struct InitialState {
    cached_endpoints: Vec<EndpointEntry>,
    endpoint_list: EndpointList,
    seed: u64,
}

/// The load balancer's settings, with the names of the classes and tenants in them.
struct NamedSettings {
    settings: Settings,
    classes: Vec<String>,
    tenants: Vec<String>,
    groups: bool,
}

/// The optional sections of an application's file.
struct OptionalSections {
    rtmp: Option<Rtmp>,
    snmp: Option<Snmp>,
    state: Option<StateFolder>,
    schema_versions: Option<SupportedVersions>,
    maintenance: Option<Maintenance>,
}

impl Config {
    /// Reads the platform's file if `PROXY_CONFIG` names one, and an application's file if one is given. At
    /// least one of them is required.
    ///
    /// # Errors
    ///
    /// All faults that were found, each with file, key and reason.
    pub fn load(environment: &Environment, application: Option<&Path>) -> Result<Config, Vec<ConfigError>> {
        let sources = Sources::read(environment, application)?;
        let mut faults = Vec::new();
        let initial = InitialState::read(&sources.platform, &mut faults);
        let mut limits = Limits::default();
        limits.read(&mut sources.platform.section("limits", "limits.", &mut faults));
        let platform = Identity::from_platform(&sources.platform, &mut faults);
        let variables = Identity::from_environment(environment, &mut faults);
        let passed_socket = passed_socket(environment, &mut faults);
        sources.check_sections(&mut faults);
        read_application_limits(&sources.application, &mut limits, &mut faults);
        // A platform that holds the socket starts a new version beside the running process, and keeps this
        // folder for both.
        let shared_folder = passed_socket.and(environment.get("TMPDIR")).map(PathBuf::from);
        let mut handover_folder = shared_folder;
        let application = Identity::from_application(&sources.application, &mut handover_folder, &mut faults);
        let identity = application.or(platform).or(variables);
        let mut named = NamedSettings::read(&sources, &mut faults);
        let optional = OptionalSections::read(&sources.application, &identity, &mut named, &mut faults);
        sources.check_required(&identity, &mut faults);
        match identity.discovery {
            Some(discovery) if faults.is_empty() => Ok(Config {
                name: identity.name.unwrap_or_else(|| DEFAULT_NAME.into()),
                listen: identity.listen,
                discovery,
                ops: identity.ops,
                passed_socket,
                handover_folder,
                seed: initial.seed,
                peer_listen: identity.peer_listen,
                peers: identity.peers.unwrap_or_default(),
                cached_endpoints: initial.cached_endpoints,
                endpoint_list: initial.endpoint_list,
                settings: named.settings,
                classes: named.classes,
                tenants: named.tenants,
                limits,
                groups_share_work: named.groups,
                rtmp: optional.rtmp,
                snmp: optional.snmp,
                state: optional.state,
                schema_versions: optional.schema_versions,
                maintenance: optional.maintenance,
                file_keys: sources.file_keys,
            }),
            _ => Err(faults),
        }
    }
}

impl Sources {
    fn read(environment: &Environment, application: Option<&Path>) -> Result<Sources, Vec<ConfigError>> {
        let mut faults = Vec::new();
        let mut file_keys = Vec::new();
        let mut source = |path: Option<String>, format: Format| {
            path.map(|file| {
                let value = read_file(&file, format, &mut file_keys, &mut faults);
                Source { file, value }
            })
        };
        let platform = source(environment.get(FILE_VARIABLE).cloned(), Format::Json);
        let application = source(application.map(|path| path.display().to_string()), Format::Toml);
        if platform.is_none() && application.is_none() {
            faults.push(config_error(ENVIRONMENT, FILE_VARIABLE, Fault::NotSet));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let no_file = || Source { file: ENVIRONMENT.to_owned(), value: Value::Null };
        Ok(Sources {
            platform: platform.unwrap_or_else(no_file),
            application: application.unwrap_or_else(no_file),
            file_keys,
        })
    }

    /// Reports sections of the application's file that are unknown or not tables.
    fn check_sections(&self, faults: &mut Vec<ConfigError>) {
        let mut root = Reader::new(&self.application.file, &self.application.value, "", faults);
        root.check_known_keys(&SECTIONS);
        root.check_tables(&SECTIONS);
    }

    /// Reports missing keys, naming the application's file if there is one, else the platform's.
    fn check_required(&self, identity: &Identity, faults: &mut Vec<ConfigError>) {
        let has_application = !self.application.value.is_null();
        let file = if has_application { &self.application.file } else { &self.platform.file };
        let prefix = if has_application { "relay." } else { "" };
        let mut require = |key: &str, fault: Fault| {
            let key = format!("{prefix}{key}");
            // An invalid value of this key was reported already.
            if !faults.iter().any(|reported| reported.key == key) {
                faults.push(config_error(file, &key, fault));
            }
        };
        if identity.discovery.is_none() {
            require("discovery", Fault::Missing);
        }
        if identity.listen.is_none() && !self.application.has_section("rtmp") {
            require("listen", Fault::NoListener);
        }
    }
}

impl InitialState {
    fn read(platform: &Source, faults: &mut Vec<ConfigError>) -> InitialState {
        let mut root = Reader::new(&platform.file, &platform.value, "", faults);
        let (endpoint_list, cached_endpoints) = EndpointList::from_cached(&platform.value["known"])
            .unwrap_or_else(|error| {
                root.fault("known", Fault::CachedList(Box::new(error)));
                (EndpointList::default(), Vec::new())
            });
        InitialState { cached_endpoints, endpoint_list, seed: root.seed() }
    }
}

impl Identity {
    fn from_platform(platform: &Source, faults: &mut Vec<ConfigError>) -> Identity {
        let mut root = Reader::new(&platform.file, &platform.value, "", faults);
        Identity {
            name: root.text("name"),
            listen: root.parse_key("listen", ADDRESS),
            discovery: root.parse_key("discovery", ADDRESS),
            ops: root.parse_key("ops", ADDRESS),
            peer_listen: root.parse_key("peer_listen", ADDRESS),
            peers: root.list("peers", ADDRESS),
        }
    }

    fn from_environment(environment: &Environment, faults: &mut Vec<ConfigError>) -> Identity {
        let mut variables = Reader::new(ENVIRONMENT, &Value::Null, "", faults);
        let mut address =
            |name: &str| environment.get(name).and_then(|value| variables.parse_text(name, value, ADDRESS));
        Identity {
            name: environment.get("PROXY_NAME").cloned(),
            listen: address("PROXY_LISTEN"),
            discovery: address("PROXY_DISCOVERY"),
            ops: address("PROXY_OPS"),
            ..Identity::default()
        }
    }

    /// Reads the section `relay`, which may also set the folder for hand-overs.
    fn from_application(
        application: &Source,
        handover_folder: &mut Option<PathBuf>,
        faults: &mut Vec<ConfigError>,
    ) -> Identity {
        let mut relay = application.section("relay", "relay.", faults);
        relay.check_known_keys(&["name", "listen", "ops", "handover", "discovery", "peer_listen", "peers"]);
        let name = relay.text("name");
        if let Some(folder) = relay.text("handover") {
            *handover_folder = Some(folder.into());
        }
        if handover_folder.is_some() && application.has_section("state") {
            relay.fault("handover", Fault::HandoverWithStore);
        }
        Identity {
            name,
            listen: relay.parse_key("listen", ADDRESS),
            ops: relay.parse_key("ops", ADDRESS),
            discovery: relay.parse_key("discovery", ADDRESS),
            peer_listen: relay.parse_key("peer_listen", ADDRESS),
            peers: relay.list("peers", ADDRESS),
        }
    }

    /// Takes the values that this source lacks from `other`.
    fn or(self, other: Identity) -> Identity {
        Identity {
            name: self.name.or(other.name),
            listen: self.listen.or(other.listen),
            discovery: self.discovery.or(other.discovery),
            ops: self.ops.or(other.ops),
            peer_listen: self.peer_listen.or(other.peer_listen),
            peers: self.peers.or(other.peers),
        }
    }
}

fn passed_socket(environment: &Environment, faults: &mut Vec<ConfigError>) -> Option<i32> {
    let mut variables = Reader::new(ENVIRONMENT, &Value::Null, "", faults);
    let text = environment.get(SOCKET_VARIABLE)?;
    variables.parse_text(SOCKET_VARIABLE, text, "the number of a descriptor")
}

fn read_application_limits(application: &Source, limits: &mut Limits, faults: &mut Vec<ConfigError>) {
    let mut section = application.section("limits", "limits.", faults);
    section.check_known_keys(&["sockets", "first_line_ms"]);
    limits.read(&mut section);
}

impl NamedSettings {
    /// Reads the settings from the application's file if it has that section, else from the platform's file.
    fn read(sources: &Sources, faults: &mut Vec<ConfigError>) -> NamedSettings {
        let is_in_application = sources.application.has_section("settings");
        let source = if is_in_application { &sources.application } else { &sources.platform };
        // Without a platform's file, settings are expected in the application's file.
        let is_expected_in_application = is_in_application || sources.platform.value.is_null();
        let file =
            if is_expected_in_application { &sources.application.file } else { &sources.platform.file };
        let value = &source.value["settings"];
        let classes = simulator::class_names(value);
        let settings = simulator::read_settings(value).unwrap_or_else(|errors| {
            let error = |error: simulator::SettingError| {
                config_error(file, &format!("settings.{}", error.key), error.fault)
            };
            faults.extend(errors.into_iter().map(error));
            Settings::default()
        });
        if classes.is_empty() {
            faults.push(config_error(file, "settings.lanes", Fault::NoClasses));
        }
        NamedSettings {
            settings,
            classes,
            tenants: simulator::tenant_names(value),
            groups: value["domain"]["groups"].as_bool().unwrap_or(false),
        }
    }
}

impl OptionalSections {
    fn read(
        application: &Source,
        identity: &Identity,
        named: &mut NamedSettings,
        faults: &mut Vec<ConfigError>,
    ) -> OptionalSections {
        let has = |key: &str| application.has_section(key);
        let settings = &mut named.settings;
        let rtmp = has("rtmp")
            .then(|| sections::rtmp(&mut application.section("rtmp", "rtmp.", faults), &named.classes));
        let snmp = has("snmp").then(|| sections::snmp(&mut application.section("snmp", "snmp.", faults)));
        let state = has("state").then(|| {
            let mut section = application.section("state", "state.", faults);
            sections::state_folder(&mut section, &mut settings.affinity_limits)
        });
        sections::quotas(&mut application.section("shares", "shares.", faults), settings);
        let schema_versions = has("forms")
            .then(|| sections::schema_versions(&mut application.section("forms", "forms.", faults)));
        let maintenance = has("maintenance").then(|| {
            let mut section = application.section("maintenance", "maintenance.", faults);
            read_maintenance(&mut section, identity, settings)
        });
        OptionalSections {
            rtmp: rtmp.flatten(),
            snmp: snmp.flatten(),
            state: state.flatten(),
            schema_versions: schema_versions.flatten(),
            maintenance: maintenance.flatten(),
        }
    }
}

/// Reads the section `maintenance`. In a cluster of several relays the relays agree on maintenance windows by
/// messages, so messages between relays must be configured.
fn read_maintenance(
    section: &mut Reader<'_>,
    identity: &Identity,
    settings: &Settings,
) -> Option<Maintenance> {
    let relay_count = identity.peers.as_ref().map_or(1, |peers| peers.len().max(1) as u32);
    let receives_messages = identity.peer_listen.is_some() && settings.peer_messages;
    if relay_count > 1 && !receives_messages {
        section.fault("floor", Fault::NoPeerMessages);
    }
    maintenance(section, settings, relay_count)
}
