//! Reading the configuration: the platform's file, variables of the environment, an application's file.
//!
//! What the application's file says goes over the platform's file; a variable says only what the files
//! leave out, since they can be replaced under a running relay and its environment can't. All faults are
//! reported, not the first only.

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

/// Stands for the environment where messages name a file.
const ENVIRONMENT: &str = "environment";
/// Names the platform's file.
const FILE_VARIABLE: &str = "PROXY_CONFIG";
/// Names the descriptor of the clients' listening socket.
const SOCKET_VARIABLE: &str = "PROXY_PASSED_SOCKET";
/// The sections of an application's file.
const SECTIONS: [&str; 9] =
    ["relay", "limits", "rtmp", "snmp", "state", "shares", "forms", "maintenance", "settings"];
/// The relay's name where nothing gives one.
const DEFAULT_NAME: &str = "sandgw";

/// One file and its value; null where there is none.
struct Source {
    file: String,
    value: Value,
}

impl Source {
    /// A section of the file.
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

/// Both files, and their keys.
struct Sources {
    platform: Source,
    application: Source,
    written: Vec<FileKeys>,
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

/// What the platform's file says of the list as last held, and of random numbers.
struct Start {
    known: Vec<EndpointEntry>,
    endpoint_list: EndpointList,
    seed: u64,
}

/// The load balancer's settings, with the names that they give.
struct NamedSettings {
    settings: Settings,
    classes: Vec<String>,
    tenants: Vec<String>,
    groups: bool,
}

/// The optional sections of an application's file.
struct Optional {
    rtmp: Option<Rtmp>,
    snmp: Option<Snmp>,
    state: Option<StateFolder>,
    forms: Option<SupportedVersions>,
    maintenance: Option<Maintenance>,
}

impl Config {
    /// Reads the platform's configuration, if `PROXY_CONFIG` names one, and over it an application's file,
    /// if one is given.
    ///
    /// # Errors
    ///
    /// All faults, each with file, key and reason.
    pub fn load(environment: &Environment, application: Option<&Path>) -> Result<Config, Vec<ConfigError>> {
        let sources = Sources::read(environment, application)?;
        let mut faults = Vec::new();
        let start = Start::read(&sources.platform, &mut faults);
        let mut limits = Limits::default();
        limits.read(&mut sources.platform.section("limits", "limits.", &mut faults));
        let platform = Identity::of_platform(&sources.platform, &mut faults);
        let variables = Identity::of_environment(environment, &mut faults);
        let passed_socket = passed_socket(environment, &mut faults);
        sources.check_sections(&mut faults);
        read_application_limits(&sources.application, &mut limits, &mut faults);
        // Who holds the socket starts new versions beside the running one, and keeps this folder for both.
        let shared_folder = passed_socket.and(environment.get("TMPDIR")).map(PathBuf::from);
        let mut handover = shared_folder;
        let application = Identity::of_application(&sources.application, &mut handover, &mut faults);
        let identity = application.or(platform).or(variables);
        let mut named = NamedSettings::read(&sources, &mut faults);
        let optional = Optional::read(&sources.application, &identity, &mut named, &mut faults);
        sources.check_required(&identity, &mut faults);
        match identity.discovery {
            Some(discovery) if faults.is_empty() => Ok(Config {
                name: identity.name.unwrap_or_else(|| DEFAULT_NAME.into()),
                listen: identity.listen,
                discovery,
                ops: identity.ops,
                passed_socket,
                handover,
                seed: start.seed,
                peer_listen: identity.peer_listen,
                peers: identity.peers.unwrap_or_default(),
                known: start.known,
                endpoint_list: start.endpoint_list,
                settings: named.settings,
                classes: named.classes,
                tenants: named.tenants,
                limits,
                groups: named.groups,
                rtmp: optional.rtmp,
                snmp: optional.snmp,
                state: optional.state,
                forms: optional.forms,
                maintenance: optional.maintenance,
                written: sources.written,
            }),
            _ => Err(faults),
        }
    }
}

impl Sources {
    fn read(environment: &Environment, application: Option<&Path>) -> Result<Sources, Vec<ConfigError>> {
        let mut faults = Vec::new();
        let mut written = Vec::new();
        let mut source = |path: Option<String>, format: Format| {
            path.map(|file| {
                let value = read_file(&file, format, &mut written, &mut faults);
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
        let none = || Source { file: ENVIRONMENT.to_owned(), value: Value::Null };
        Ok(Sources {
            platform: platform.unwrap_or_else(none),
            application: application.unwrap_or_else(none),
            written,
        })
    }

    /// Reports sections of the application's file that are unknown, or no tables.
    fn check_sections(&self, faults: &mut Vec<ConfigError>) {
        let mut top = Reader::new(&self.application.file, &self.application.value, "", faults);
        top.known_keys(&SECTIONS);
        top.tables(&SECTIONS);
    }

    /// Reports what is missing, in the file where it is expected first.
    fn check_required(&self, identity: &Identity, faults: &mut Vec<ConfigError>) {
        let has_application = !self.application.value.is_null();
        let file = if has_application { &self.application.file } else { &self.platform.file };
        let prefix = if has_application { "relay." } else { "" };
        let mut require = |key: &str, fault: Fault| {
            let key = format!("{prefix}{key}");
            // A faulty value was reported already.
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

impl Start {
    fn read(platform: &Source, faults: &mut Vec<ConfigError>) -> Start {
        let mut top = Reader::new(&platform.file, &platform.value, "", faults);
        let (endpoint_list, known) =
            EndpointList::from_cached(&platform.value["known"]).unwrap_or_else(|error| {
                top.fault("known", Fault::Known(Box::new(error)));
                (EndpointList::default(), Vec::new())
            });
        Start { known, endpoint_list, seed: top.seed() }
    }
}

impl Identity {
    fn of_platform(platform: &Source, faults: &mut Vec<ConfigError>) -> Identity {
        let mut top = Reader::new(&platform.file, &platform.value, "", faults);
        Identity {
            name: top.text("name"),
            listen: top.parsed("listen", ADDRESS),
            discovery: top.parsed("discovery", ADDRESS),
            ops: top.parsed("ops", ADDRESS),
            peer_listen: top.parsed("peer_listen", ADDRESS),
            peers: top.list("peers", ADDRESS),
        }
    }

    fn of_environment(environment: &Environment, faults: &mut Vec<ConfigError>) -> Identity {
        let mut variables = Reader::new(ENVIRONMENT, &Value::Null, "", faults);
        let mut address =
            |name: &str| environment.get(name).and_then(|value| variables.parse(name, value, ADDRESS));
        Identity {
            name: environment.get("PROXY_NAME").cloned(),
            listen: address("PROXY_LISTEN"),
            discovery: address("PROXY_DISCOVERY"),
            ops: address("PROXY_OPS"),
            ..Identity::default()
        }
    }

    /// Reads the section `relay`, which names the folder of hand-overs too.
    fn of_application(
        application: &Source,
        handover: &mut Option<PathBuf>,
        faults: &mut Vec<ConfigError>,
    ) -> Identity {
        let mut relay = application.section("relay", "relay.", faults);
        relay.known_keys(&["name", "listen", "ops", "handover", "discovery", "peer_listen", "peers"]);
        let name = relay.text("name");
        if let Some(folder) = relay.text("handover") {
            *handover = Some(folder.into());
        }
        if handover.is_some() && application.has_section("state") {
            relay.fault("handover", Fault::OneProcess);
        }
        Identity {
            name,
            listen: relay.parsed("listen", ADDRESS),
            ops: relay.parsed("ops", ADDRESS),
            discovery: relay.parsed("discovery", ADDRESS),
            peer_listen: relay.parsed("peer_listen", ADDRESS),
            peers: relay.list("peers", ADDRESS),
        }
    }

    /// What this source gives, and for the rest what the other gives.
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
    variables.parse(SOCKET_VARIABLE, text, "the number of a descriptor")
}

fn read_application_limits(application: &Source, limits: &mut Limits, faults: &mut Vec<ConfigError>) {
    let mut section = application.section("limits", "limits.", faults);
    section.known_keys(&["sockets", "first_line_ms"]);
    limits.read(&mut section);
}

impl NamedSettings {
    /// Reads the settings of the application's file, if it has any, else of the platform's.
    fn read(sources: &Sources, faults: &mut Vec<ConfigError>) -> NamedSettings {
        let is_in_application = sources.application.has_section("settings");
        let source = if is_in_application { &sources.application } else { &sources.platform };
        // Where there is no platform's file, settings are expected in the application's.
        let is_expected_there = is_in_application || sources.platform.value.is_null();
        let file = if is_expected_there { &sources.application.file } else { &sources.platform.file };
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

impl Optional {
    fn read(
        application: &Source,
        identity: &Identity,
        named: &mut NamedSettings,
        faults: &mut Vec<ConfigError>,
    ) -> Optional {
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
        let forms = has("forms")
            .then(|| sections::schema_versions(&mut application.section("forms", "forms.", faults)));
        let windows = has("maintenance").then(|| {
            let mut section = application.section("maintenance", "maintenance.", faults);
            read_maintenance(&mut section, identity, settings)
        });
        Optional {
            rtmp: rtmp.flatten(),
            snmp: snmp.flatten(),
            state: state.flatten(),
            forms: forms.flatten(),
            maintenance: windows.flatten(),
        }
    }
}

/// Windows are agreed on by messages between relays, where there are several.
fn read_maintenance(
    section: &mut Reader<'_>,
    identity: &Identity,
    settings: &Settings,
) -> Option<Maintenance> {
    let relay_count = identity.peers.as_ref().map_or(1, |peers| peers.len().max(1) as u32);
    let receives_messages = identity.peer_listen.is_some() && settings.peer_messages;
    if relay_count > 1 && !receives_messages {
        section.fault("floor", Fault::NoMessages);
    }
    maintenance(section, settings, relay_count)
}
