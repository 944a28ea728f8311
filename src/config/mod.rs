//! The one place where configuration is read, checked and given defaults: the platform's environment, its
//! JSON file and an application's TOML file. Every message names the file, the key and the reason.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use sandgw_maintenance::plan::Floors;
use sandgw_maintenance::{MaintenanceService, Timing};
use sandgw_schema_version::{SchemaVersion, SupportedVersions};
use serde_json::Value;
use thiserror::Error;

use crate::discovery::{EndpointList, ListError};
use crate::help::{Help, help};
use crate::listener::rtmp::RtmpSettings;
use crate::policy::api::{EndpointEntry, Millis, Settings};
use crate::simulator::{self, SettingFault};

/// What was wrong with a configuration, or with a folder that it names.
#[derive(Debug, Error)]
#[error("{file}: {key}: {fault}")]
pub struct ConfigError {
    /// The file, or `environment`.
    pub file: String,
    /// The faulty key.
    pub key: String,
    /// The reason.
    pub fault: Fault,
}

impl Help for ConfigError {
    const ALL: &'static [(&'static str, &'static str)] = Fault::ALL;

    fn said(&self) -> &'static str {
        self.fault.said()
    }

    fn help(&self) -> &'static str {
        self.fault.help()
    }
}

/// What can be wrong with a key or a file.
#[derive(Debug, Error)]
pub enum Fault {
    /// Nothing says where the configuration is.
    #[error("is not set, and no application file is given")]
    NotSet,
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(io::Error),
    /// The file can't be written, or is there already.
    #[error("{0}")]
    Unwritable(io::Error),
    /// The file is no JSON or TOML.
    #[error("{0}")]
    Syntax(String),
    /// The file holds something else than keys.
    #[error("must be an object")]
    NotObject,
    /// A key that nothing does without.
    #[error("is missing")]
    Missing,
    /// Nobody could connect.
    #[error("is missing, and there is no [rtmp] listener")]
    NoListener,
    /// A new file lacks what the one in force has.
    #[error("is missing, and the running relay has it")]
    Lacking,
    /// A new file ends early.
    #[error("ends within a line")]
    Cut,
    /// A key that nothing reads.
    #[error("is unknown; known are {known}")]
    Unknown {
        /// What is read there.
        known: String,
    },
    /// A text that must say something.
    #[error("must not be empty")]
    Empty,
    /// A value where a table is read.
    #[error("must be a table")]
    NotTable,
    /// A value that is no list.
    #[error("must be a list")]
    NotList,
    /// A value that is no text.
    #[error("{0} is no text")]
    NotText(Value),
    /// A text that can't be read.
    #[error("{text:?} is not {wanted}")]
    SchemaVersion {
        /// The text.
        text: String,
        /// What it must be.
        wanted: &'static str,
    },
    /// No number, or one that the relay can't work with.
    #[error("{value} is no number from {least} to {most}")]
    Number {
        /// What stands there.
        value: Value,
        /// The least that it may be.
        least: f64,
        /// The most that it may be.
        most: f64,
    },
    /// A seed that can't be read.
    #[error("must be a hexadecimal number of 64 bits")]
    Seed,
    /// Settings without a class: no connection could be placed.
    #[error("must name at least one class")]
    NoClasses,
    /// A class that the settings don't name.
    #[error("{0:?} is no class of settings.lanes")]
    NoClass(String),
    /// An agent that others than this machine could reach.
    #[error("must be a loopback address")]
    NotLoopback,
    /// Hand-over and store exclude each other.
    #[error("is not possible with [state] yet: the folder admits one process")]
    OneProcess,
    /// Shares are to be kept to, and nobody has one.
    #[error("is true, and the settings state no share")]
    NoShare,
    /// No form of shared state has that number.
    #[error("of forms: {0}")]
    Forms(sandgw_schema_version::SchemaVersionError),
    /// Windows are agreed on by messages between relays, and there are none.
    #[error("needs peer_listen, and settings.limits.peerMessages")]
    NoMessages,
    /// Clocks that are further apart than a lease allows for.
    #[error("must be at most a quarter of lease_s")]
    Bound,
    /// Relays that there are not, or one named twice.
    #[error("must be numbers of relays, from 0 and below {0}, each once")]
    Voters(u32),
    /// A name that makes no file name everywhere.
    #[error("the name must be of small letters, digits and '-'")]
    Name,
    /// The relay could not start with a configuration that is in order.
    #[error("{0}")]
    Start(io::Error),
    /// A command on the folder of clients and groups has failed.
    #[error("{0}")]
    Folder(String),
    /// The list as last held is faulty.
    #[error(transparent)]
    Known(Box<ListError>),
    /// A value of the settings is faulty.
    #[error(transparent)]
    Setting(#[from] SettingFault),
}

help!(Fault {
    NotSet: "is not set, and no application file" => "set it to the platform's file, or call `sandgw run FILE`",
    Unreadable: "(file):" => "see that the file is there and that this user may read it",
    Unwritable: "(file):" => "choose another name, or move away what is there; the folder must be writable",
    Syntax: "at line" => "mend the file there; a file that just ends was cut short",
    NotObject: "must be an object" => "the file must hold keys and values",
    Missing: "is missing" => "add the key; `sandgw config new` shows each with a value",
    NoListener: "is missing, and there is no [rtmp] listener" => "name an address for clients, or add [rtmp]",
    Lacking: "is missing, and the running relay has it" => "put the key back, or restart with the file as it is",
    Cut: "ends within a line" => "write the file anew, whole, and send SIGHUP again",
    Unknown: "is unknown" => "correct the spelling, or take the key out",
    Empty: "must not be empty" => "give it a text, or take the table out",
    NotTable: "must be a table" => "write it as [NAME] with its keys below",
    NotList: "must be a list" => "put the values in [ ]",
    NotText: "is no text" => "put the value in quotes",
    SchemaVersion: "is not" => "write numbers, no host name: 127.0.0.1:8443 with a port, 127.0.0.1 without",
    Number: "is no number from" => "choose a number in that range, without quotes",
    Seed: "must be a hexadecimal number" => "take it out: the time will do",
    NoClasses: "must name at least one class" => "add a class to settings.lanes; the platform's file has them",
    NoClass: "is no class of settings.lanes" => "name one of settings.lanes, or leave it out for the first",
    NotLoopback: "must be a loopback address" => "let the agent listen at 127.0.0.1",
    OneProcess: "is not possible with [state]" => "take out one of the two",
    NoShare: "the settings state no share" => "give realms a quotaPerS or domain a tenantQuotaConnections, or leave \
        [shares] out",
    Forms: "of forms:" => "set forms.most to a form that this program knows",
    NoMessages: "needs peer_listen" => "relays agree on windows by messages: name the address, or take [maintenance] out",
    Bound: "must be at most a quarter of lease_s" => "it is subtracted from every grant: lengthen the lease, or keep \
        clocks closer",
    Voters: "must be numbers of relays" => "name relays of this tier by their numbers, or leave it out",
    Name: "the name must be of small letters" => "choose such a name",
    Start: "relay: start:" => "an address must be free and this machine's, a folder there and this relay's; of \
        the hand-over see on-call.md",
    Folder: "state.folder:" => "no relay may run on the folder meanwhile, and files are never overwritten; see state.md",
} of Known, Setting);

/// The configuration of one relay. [`Config::reload`] says which keys are taken while it runs.
#[derive(Debug)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients of the platform's protocol connect; nowhere for an application that speaks RTMP only.
    pub listen: Option<SocketAddr>,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where operators call; nowhere without it.
    pub ops: Option<SocketAddr>,
    /// The clients' listening socket, where the platform holds it: the number of an inherited descriptor.
    pub passed_socket: Option<i32>,
    /// The folder in which a new process finds the running one, to take the relay over.
    pub handover: Option<PathBuf>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Where datagrams of other relays arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The relays of the tier, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The list as last held.
    pub known: Vec<EndpointEntry>,
    /// The list's state to go on from.
    pub endpoint_list: EndpointList,
    /// The load balancer's settings.
    pub settings: Settings,
    /// Names of the settings' classes.
    pub classes: Vec<String>,
    /// Names of the settings' tenants; none where they name none.
    pub tenants: Vec<String>,
    /// Whether connections of one group share work.
    pub groups: bool,
    /// What clients may take up.
    pub limits: Limits,
    /// The RTMP listener, where an application's file has one.
    pub rtmp: Option<Rtmp>,
    /// The SNMP agent, where an application's file has one.
    pub snmp: Option<Snmp>,
    /// The store of clients and groups, where an application's file names a folder.
    pub state: Option<StateFolder>,
    /// What it reads of shared state and may write, where an application's file turns forms on; without it, it
    /// writes form 1 and tells nobody what it reads.
    pub forms: Option<SupportedVersions>,
    /// Maintenance windows, where an application's file has a section for them.
    pub maintenance: Option<Maintenance>,
    /// The files' keys, to tell a file that was cut from a whole one.
    written: Vec<Written>,
}

/// What a file has said, whatever its values.
#[derive(Debug, PartialEq)]
struct Written {
    file: String,
    /// Paths of its keys; below a list of tables only those that all of them have.
    keys: BTreeSet<String>,
    /// Its last line has an end, or its form has one of its own.
    ended: bool,
}

/// What clients may take up before they have asked for anything, and all of them together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors that the process may hold. The platform says, and it is the usual limit elsewhere.
    pub sockets: usize,
    /// How long a client of the line protocol may take for its first line. Some take 2 s; one that never ends it is
    /// owed an end within 3 s, of which a busy relay may need some.
    pub first_line: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, first_line: 2600.0 }
    }
}

/// The RTMP listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Rtmp {
    /// Where it listens.
    pub listen: SocketAddr,
    /// What holds for all its connections.
    pub settings: RtmpSettings,
    /// Addresses of fronts whose PROXY protocol headers are believed.
    pub trusted: Vec<IpAddr>,
}

/// The SNMP agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snmp {
    /// Where it listens, on loopback.
    pub listen: SocketAddr,
    /// The community that may read.
    pub community: String,
}

/// Where clients and groups are kept on a disk that lasts.
#[derive(Clone, Debug, PartialEq)]
pub struct StateFolder {
    /// The folder. It is made if its parent is there; one relay alone may use it.
    pub folder: PathBuf,
    /// How often what has changed is written.
    pub flush: Millis,
}

/// Maintenance windows: what must be left, and how they are agreed on. The same at every relay of the tier.
#[derive(Clone, Debug, PartialEq)]
pub struct Maintenance {
    /// What must be left, and how much may be drained at once.
    pub floors: Floors,
    /// How long things last.
    pub timing: Timing,
    /// The relays that vote, by their numbers.
    pub voters: Vec<u32>,
    /// Who may put a window over the floor.
    pub may_override: Vec<String>,
}

/// Variables of the environment, as the platform sets them.
pub type Environment = BTreeMap<String, String>;

const ENVIRONMENT: &str = "environment";
/// The key that stands for a file as a whole.
const WHOLE: &str = "(file)";

impl Config {
    /// Reads the platform's configuration, if `PROXY_CONFIG` names one, and over it an application's file, if
    /// one is given. All faults are reported, not the first one only. A variable says only what the files
    /// leave out: they can be replaced under a running relay, its environment can't.
    pub fn load(environment: &Environment, application: Option<&Path>) -> Result<Config, Vec<ConfigError>> {
        let mut faults = Vec::new();
        let mut written = Vec::new();
        let base = environment.get("PROXY_CONFIG");
        let base = base.map(|path| (path.clone(), read(path, json, &mut written, &mut faults)));
        let file = application.map(|path| path.display().to_string());
        let file = file.map(|path| (path.clone(), read(&path, toml, &mut written, &mut faults)));
        if base.is_none() && file.is_none() {
            faults.push(fault(ENVIRONMENT, "PROXY_CONFIG", Fault::NotSet));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let empty = (ENVIRONMENT.to_owned(), Value::Null);
        let (base_file, base) = base.unwrap_or_else(|| empty.clone());
        let (app_file, app) = file.unwrap_or(empty);
        let mut platform = Reader::new(&base_file, &base, "", &mut faults);
        let known = match EndpointList::known(&base["known"]) {
            Ok(known) => known,
            Err(e) => {
                platform.fault("known", Fault::Known(Box::new(e)));
                (EndpointList::default(), Vec::new())
            }
        };
        let seed = platform.seed();
        let mut limits = Limits::default();
        limits.read(&mut Reader::new(&base_file, &base["limits"], "limits.", platform.faults));
        let mut platform = Reader::new(&base_file, &base, "", &mut faults);
        let (mut name, mut listen) = (platform.text("name"), platform.parsed("listen", ADDRESS));
        let mut discovery = platform.parsed("discovery", ADDRESS);
        let mut ops = platform.parsed("ops", ADDRESS);
        let (mut peer_listen, mut peers) =
            (platform.parsed("peer_listen", ADDRESS), platform.list("peers", ADDRESS));
        let mut settings = &base["settings"];
        let mut settings_file = if base.is_null() { app_file.as_str() } else { base_file.as_str() };
        let mut variables = Reader::new(ENVIRONMENT, &Value::Null, "", &mut faults);
        let mut variable = |name: &str| environment.get(name).and_then(|v| variables.parse(name, v, ADDRESS));
        let (listen_there, discovery_there) = (variable("PROXY_LISTEN"), variable("PROXY_DISCOVERY"));
        let ops_there = variable("PROXY_OPS");
        listen = listen.or(listen_there);
        discovery = discovery.or(discovery_there);
        ops = ops.or(ops_there);
        name = name.or_else(|| environment.get("PROXY_NAME").cloned());

        let passed_socket = environment
            .get("PROXY_PASSED_SOCKET")
            .and_then(|text| variables.parse("PROXY_PASSED_SOCKET", text, "the number of a descriptor"));
        // Who holds the socket starts new versions beside the running one, and keeps this folder for both.
        let shared = passed_socket.and(environment.get("TMPDIR")).map(PathBuf::from);

        let mut top = Reader::new(&app_file, &app, "", &mut faults);
        let tables =
            ["relay", "limits", "rtmp", "snmp", "state", "shares", "forms", "maintenance", "settings"];
        top.known_keys(&tables);
        top.tables(&tables);
        let mut own_limits = Reader::new(&app_file, &app["limits"], "limits.", &mut faults);
        own_limits.known_keys(&["sockets", "first_line_ms"]);
        limits.read(&mut own_limits);
        let mut relay = Reader::new(&app_file, &app["relay"], "relay.", &mut faults);
        relay.known_keys(&["name", "listen", "ops", "handover", "discovery", "peer_listen", "peers"]);
        name = relay.text("name").or(name);
        let handover = relay.text("handover").map(PathBuf::from).or(shared);
        if handover.is_some() && app["state"].is_object() {
            relay.fault("handover", Fault::OneProcess);
        }
        listen = relay.parsed("listen", ADDRESS).or(listen);
        ops = relay.parsed("ops", ADDRESS).or(ops);
        discovery = relay.parsed("discovery", ADDRESS).or(discovery);
        peer_listen = relay.parsed("peer_listen", ADDRESS).or(peer_listen);
        if let Some(own) = relay.list("peers", ADDRESS) {
            peers = Some(own);
        }
        if app["settings"].is_object() {
            (settings, settings_file) = (&app["settings"], app_file.as_str());
        }
        let classes = simulator::class_names(settings);
        let mut module = match simulator::settings(settings) {
            Ok(module) => module,
            Err(wrong) => {
                let named =
                    wrong.into_iter().map(|e| fault(settings_file, &format!("settings.{}", e.key), e.fault));
                faults.extend(named);
                Settings::default()
            }
        };
        if classes.is_empty() {
            faults.push(fault(settings_file, "settings.lanes", Fault::NoClasses));
        }
        let rtmp = if app["rtmp"].is_object() {
            rtmp(&mut Reader::new(&app_file, &app["rtmp"], "rtmp.", &mut faults), &classes)
        } else {
            None
        };
        let snmp = if app["snmp"].is_object() {
            snmp(&mut Reader::new(&app_file, &app["snmp"], "snmp.", &mut faults))
        } else {
            None
        };
        let state = if app["state"].is_object() {
            state(
                &mut Reader::new(&app_file, &app["state"], "state.", &mut faults),
                &mut module.affinity_limits,
            )
        } else {
            None
        };
        shares(&mut Reader::new(&app_file, &app["shares"], "shares.", &mut faults), &mut module);
        let forms = app["forms"]
            .is_object()
            .then(|| forms(&mut Reader::new(&app_file, &app["forms"], "forms.", &mut faults)))
            .flatten();
        let tier = peers.as_ref().map_or(1, |peers: &Vec<SocketAddr>| peers.len().max(1) as u32);
        let maintenance = if app["maintenance"].is_object() {
            let mut r = Reader::new(&app_file, &app["maintenance"], "maintenance.", &mut faults);
            let hears = tier == 1 || peer_listen.is_some() && module.peer_messages;
            if !hears {
                r.fault("floor", Fault::NoMessages);
            }
            maintenance(&mut r, &module, tier)
        } else {
            None
        };
        // What is missing is looked for where it is expected first.
        let (missing, prefix) =
            if app.is_null() { (base_file.as_str(), "") } else { (app_file.as_str(), "relay.") };
        let told = |faults: &[ConfigError], key: &str| faults.iter().any(|f| f.key == key);
        if discovery.is_none() && !told(&faults, &format!("{prefix}discovery")) {
            faults.push(fault(missing, &format!("{prefix}discovery"), Fault::Missing));
        }
        let listens = listen.is_some() || app["rtmp"].is_object();
        if !listens && !told(&faults, &format!("{prefix}listen")) {
            faults.push(fault(missing, &format!("{prefix}listen"), Fault::NoListener));
        }
        match (discovery, faults.is_empty()) {
            (Some(discovery), true) => Ok(Config {
                name: name.unwrap_or_else(|| "sandgw".into()),
                listen,
                discovery,
                ops,
                passed_socket,
                handover,
                seed,
                peer_listen,
                peers: peers.unwrap_or_default(),
                known: known.1,
                endpoint_list: known.0,
                settings: module,
                classes,
                tenants: simulator::tenant_names(settings),
                limits,
                groups: settings["domain"]["groups"].as_bool().unwrap_or(false),
                rtmp,
                snmp,
                state,
                forms,
                maintenance,
                written,
            }),
            _ => Err(faults),
        }
    }

    /// Gives a newly read configuration back if its files are whole beside those in force: nothing that they said
    /// is left out, and they don't end within a line. Cut short, a TOML file may well read as a valid one.
    pub fn whole(&self, new: Config) -> Result<Config, Vec<ConfigError>> {
        let mut faults = Vec::new();
        for (old, new) in self.written.iter().zip(&new.written) {
            let lacking = old.keys.difference(&new.keys);
            faults.extend(lacking.map(|key| fault(&new.file, key, Fault::Lacking)));
            if old.ended && !new.ended {
                faults.push(fault(&new.file, WHOLE, Fault::Cut));
            }
        }
        if faults.is_empty() { Ok(new) } else { Err(faults) }
    }

    /// Takes what a newly read configuration may change under a running relay; names the keys that differ
    /// but are taken at the next start only.
    ///
    /// Taken are `settings`, where to ask and whom to believe: `discovery`, `peers`, `limits.first_line_ms`,
    /// `rtmp.class`, `rtmp.give_up_ms`, `rtmp.trusted` and `snmp.community`; what a connection began with holds to its
    /// end. Not taken are the addresses listened on, since clients and peers would still use the old ones, the name,
    /// the store, and the process's own limit of descriptors. `known` and `seed` are for a start: the list held is
    /// newer than any in the file.
    pub fn reload(&mut self, new: Config) -> Vec<&'static str> {
        let left = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("ops", self.ops != new.ops),
            ("handover", self.handover != new.handover),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("state", self.state != new.state),
            ("forms", self.forms != new.forms),
            ("maintenance", self.maintenance != new.maintenance),
            ("limits.sockets", self.limits.sockets != new.limits.sockets),
            ("rtmp.listen", self.rtmp.as_ref().map(|r| r.listen) != new.rtmp.as_ref().map(|r| r.listen)),
            ("snmp.listen", self.snmp.as_ref().map(|s| s.listen) != new.snmp.as_ref().map(|s| s.listen)),
        ];
        (self.discovery, self.peers) = (new.discovery, new.peers);
        self.limits.first_line = new.limits.first_line;
        let affinity_limits = std::mem::take(&mut self.settings.affinity_limits);
        self.settings = Settings { affinity_limits, ..new.settings };
        (self.classes, self.tenants, self.groups) = (new.classes, new.tenants, new.groups);
        self.written = new.written;
        if let Some((own, new)) = self.rtmp.as_mut().zip(new.rtmp) {
            (own.settings, own.trusted) = (new.settings, new.trusted);
        }
        if let Some((own, new)) = self.snmp.as_mut().zip(new.snmp) {
            own.community = new.community;
        }
        left.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

impl Limits {
    fn read(&mut self, r: &mut Reader<'_>) {
        // Under the least the program could not hold its own and a few connections.
        let sockets = r.number("sockets", 64.0, 1_048_576.0);
        self.sockets = sockets.map_or(self.sockets, |n| n as usize);
        self.first_line = r.number("first_line_ms", 100.0, 600_000.0).unwrap_or(self.first_line);
    }
}

/// Reads whether members' shares are kept to.
fn shares(r: &mut Reader<'_>, module: &mut Settings) {
    r.known_keys(&["enforce"]);
    let value = &r.table["enforce"];
    if !value.is_null() && !value.is_boolean() {
        r.fault("enforce", SettingFault::Truth(value.clone()));
    }
    module.quotas.enforce = value.as_bool().unwrap_or(module.quotas.enforce);
    if value.as_bool() == Some(true) && !module.quotas.has_limits() {
        r.fault("enforce", Fault::NoShare);
    }
}

/// Reads what the tables may take up, and the folder where one is named.
fn state(r: &mut Reader<'_>, memory: &mut sandgw_affinity::Limits) -> Option<StateFolder> {
    r.known_keys(&["folder", "flush_ms", "memory_kb", "max_age_s", "life_s", "peers_kb_s"]);
    let mut set = |key: &str, least: f64, most: f64, unit: f64, to: &mut f64| {
        *to = r.number(key, least, most).map_or(*to, |n| n * unit);
    };
    let (mut bytes, mut flush) = (memory.bytes as f64, 1000.0);
    set("memory_kb", 64.0, 4_194_304.0, 1024.0, &mut bytes);
    set("max_age_s", 1.0, 604_800.0, 1000.0, &mut memory.max_age);
    set("life_s", 1.0, 86_400.0, 1000.0, &mut memory.mean_lifetime);
    set("peers_kb_s", 1.0, 1_048_576.0, 1024.0, &mut memory.sync_bytes_per_s);
    set("flush_ms", 100.0, 600_000.0, 1.0, &mut flush);
    memory.bytes = bytes as usize;
    let folder = r.text("folder")?;
    if folder.is_empty() {
        r.fault("folder", Fault::Empty);
    }
    Some(StateFolder { folder: folder.into(), flush })
}

/// Reads up to which form shared state may be written; the newest where that is left out.
fn forms(r: &mut Reader<'_>) -> Option<SupportedVersions> {
    r.known_keys(&["most"]);
    let newest = f64::from(SchemaVersion::NEWEST.number());
    let most = r.number("most", 1.0, newest).unwrap_or(newest);
    if most.fract() != 0.0 {
        r.fault("most", SettingFault::Whole(most));
    }
    SchemaVersion::new(most as u64)
        .and_then(SupportedVersions::up_to)
        .map_err(|e| r.fault("most", Fault::Forms(e)))
        .ok()
}

/// Reads what must be left of capacity, in the list's sizes, and how windows are agreed on.
fn maintenance(r: &mut Reader<'_>, module: &Settings, relays: u32) -> Option<Maintenance> {
    r.known_keys(&[
        "floor",
        "halls",
        "relays",
        "most",
        "longest_s",
        "override",
        "lease_s",
        "clock_bound_ms",
        "voters",
    ]);
    if r.table["floor"].is_null() {
        r.fault("floor", Fault::Missing);
    }
    let mut number = |key, least, most, absent: f64| r.number(key, least, most).unwrap_or(absent);
    let floor = number("floor", 0.0, 4e6, 0.0);
    let left = number("relays", 0.0, f64::from(relays), f64::from(relays.saturating_sub(1).max(1)));
    let most = number("most", 1.0, sandgw_maintenance::MOST as f64, 2.0);
    let longest = number("longest_s", 1.0, 604_800.0, 3600.0);
    let (lease, bound) =
        (number("lease_s", 1.0, 3600.0, 30.0), number("clock_bound_ms", 0.0, 600_000.0, 500.0));
    let (lease, bound) = ((lease * 1000.0) as u64, bound as u64);
    if bound * 4 > lease {
        r.fault("clock_bound_ms", Fault::Bound);
    }
    let zones = zone_floors(r);
    let voters =
        r.list("voters", "a relay's number").unwrap_or_else(|| MaintenanceService::usual_voters(relays));
    let once: BTreeSet<u32> = voters.iter().copied().collect();
    if voters.is_empty() || once.len() < voters.len() || voters.iter().any(|v| *v >= relays) {
        r.fault("voters", Fault::Voters(relays));
    }
    let may_override = r.list("override", "a name").unwrap_or_default();
    let cold = ((module.cold_capacity_fraction * 1000.0) as u64, module.warm_up_time as u64);
    let (all, longest) = ((floor * 1000.0) as u64, (longest * 1000.0) as u64);
    let floors = Floors { all, zones, relays: left as u32, most: most as usize, longest, cold };
    Some(Maintenance { floors, timing: Timing::of(lease, bound), voters, may_override })
}

fn zone_floors(r: &mut Reader<'_>) -> BTreeMap<String, u64> {
    let table = &r.table["halls"];
    if !table.is_null() && !table.is_object() {
        r.fault("halls", Fault::NotTable);
    }
    let rows: Vec<(String, Value)> =
        table.as_object().into_iter().flatten().map(|(zone, floor)| (zone.clone(), floor.clone())).collect();
    let mut floors = BTreeMap::new();
    for (zone, floor) in rows {
        match floor.as_f64().filter(|n| (0.0..=4e6).contains(n)) {
            Some(floor) => drop(floors.insert(zone, (floor * 1000.0) as u64)),
            None => r.fault(&format!("halls.{zone}"), Fault::Number { value: floor, least: 0.0, most: 4e6 }),
        }
    }
    floors
}

fn rtmp(r: &mut Reader<'_>, classes: &[String]) -> Option<Rtmp> {
    r.known_keys(&["listen", "class", "give_up_ms", "trusted"]);
    let listen = r.needed("listen", ADDRESS);
    let class = r.text("class").or_else(|| classes.first().cloned()).unwrap_or_default();
    if !classes.is_empty() && !classes.contains(&class) {
        r.fault("class", Fault::NoClass(class.clone()));
    }
    let give_up = r.number("give_up_ms", 100.0, 600_000.0).unwrap_or(3000.0);
    let trusted = r.list("trusted", "an address without a port").unwrap_or_default();
    Some(Rtmp { listen: listen?, settings: RtmpSettings { class, give_up }, trusted })
}

fn snmp(r: &mut Reader<'_>) -> Option<Snmp> {
    r.known_keys(&["listen", "community"]);
    let listen: Option<SocketAddr> = r.needed("listen", ADDRESS);
    if listen.is_some_and(|l| !l.ip().is_loopback()) {
        // Version 2c has no more protection than a word in clear text.
        r.fault("listen", Fault::NotLoopback);
    }
    let community = r.needed::<String>("community", "a text");
    if community.as_ref().is_some_and(String::is_empty) {
        r.fault("community", Fault::Empty);
    }
    Some(Snmp { listen: listen?, community: community? })
}

/// Writes a commented application file that is valid as it stands, into `deploy/` below `folder`. A file that
/// is there already is never overwritten.
pub fn new_application(folder: &Path, name: &str) -> Result<PathBuf, ConfigError> {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if name.is_empty() || !name.bytes().all(plain) {
        return Err(fault(name, "APP", Fault::Name));
    }
    let path = folder.join("deploy").join(format!("{name}.toml"));
    let shown = path.display().to_string();
    let written = std::fs::create_dir_all(folder.join("deploy")).and_then(|()| {
        let mut file = std::fs::File::create_new(&path)?;
        file.write_all(TEMPLATE.replace("APPLICATION", name).as_bytes())
    });
    written.map(|()| path).map_err(|e| fault(&shown, WHOLE, Fault::Unwritable(e)))
}

/// What a new application file says.
const TEMPLATE: &str = include_str!("../application.toml");

fn fault(file: &str, key: &str, fault: impl Into<Fault>) -> ConfigError {
    ConfigError { file: file.to_owned(), key: key.to_owned(), fault: fault.into() }
}

/// A file's value, and whether its end can be told from a cut.
type Parsed = Result<(Value, bool), Fault>;

fn json(text: &str) -> Parsed {
    serde_json::from_str(text).map(|value| (value, true)).map_err(|e| Fault::Syntax(e.to_string()))
}

fn toml(text: &str) -> Parsed {
    let value = toml::from_str(text);
    value
        .map(|value| (value, text.ends_with('\n')))
        .map_err(|e| Fault::Syntax(e.to_string().trim_end().to_owned()))
}

/// Reads a file as an object, and notes what it says.
fn read(
    path: &str,
    form: fn(&str) -> Parsed,
    written: &mut Vec<Written>,
    faults: &mut Vec<ConfigError>,
) -> Value {
    let text = std::fs::read_to_string(path).map_err(Fault::Unreadable);
    let reason = match text.and_then(|text| form(&text)) {
        Ok((value, ended)) if value.is_object() => {
            let mut keys = BTreeSet::new();
            note_keys(&value, "", &mut keys);
            written.push(Written { file: path.to_owned(), keys, ended });
            return value;
        }
        Ok(_) => Fault::NotObject,
        Err(e) => e,
    };
    faults.push(fault(path, WHOLE, reason));
    Value::Null
}

/// Keys that come and go with other values: what is in the list of endpoints is its own matter, and these of a class
/// hang on its effect.
const MAY_GO: [&str; 4] =
    ["known", "settings.lanes[].group", "settings.lanes[].windowMs", "settings.lanes[].aimStretch"];

/// Notes the paths of a value's keys.
fn note_keys(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    if let Some(table) = value.as_object() {
        for (key, value) in table.iter().filter(|(_, value)| !value.is_null()) {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            if !MAY_GO.contains(&path.as_str()) {
                note_keys(value, &path, keys);
                keys.insert(path);
            }
        }
    }
    let list = value.as_array().map(Vec::as_slice).unwrap_or_default();
    let each = list.iter().filter(|v| v.is_object()).map(|v| {
        let mut own = BTreeSet::new();
        note_keys(v, &format!("{path}[]"), &mut own);
        own
    });
    // A table more or less is a change; one that lacks what its like have is cut.
    keys.extend(each.reduce(|all, own| all.intersection(&own).cloned().collect()).unwrap_or_default());
}

/// What an address and port is called in messages.
const ADDRESS: &str = "an address and a port";

/// Reads one table; what is wrong goes to the faults and reads as absent.
struct Reader<'a> {
    file: &'a str,
    table: &'a Value,
    prefix: &'static str,
    faults: &'a mut Vec<ConfigError>,
}

impl<'a> Reader<'a> {
    fn new(file: &'a str, table: &'a Value, prefix: &'static str, faults: &'a mut Vec<ConfigError>) -> Self {
        Reader { file, table, prefix, faults }
    }

    fn fault(&mut self, key: &str, what: impl Into<Fault>) {
        self.faults.push(fault(self.file, &format!("{}{key}", self.prefix), what));
    }

    /// A key that nothing reads is most likely misspelt.
    fn known_keys(&mut self, keys: &[&str]) {
        let own = self.table.as_object().into_iter().flat_map(|t| t.keys());
        for key in own.filter(|k| !keys.contains(&k.as_str())).cloned().collect::<Vec<_>>() {
            self.fault(&key, Fault::Unknown { known: keys.join(", ") });
        }
    }

    fn tables(&mut self, keys: &[&str]) {
        for key in keys {
            if !self.table[key].is_null() && !self.table[key].is_object() {
                self.fault(key, Fault::NotTable);
            }
        }
    }

    fn text(&mut self, key: &str) -> Option<String> {
        match &self.table[key] {
            Value::Null => None,
            Value::String(text) => Some(text.clone()),
            other => {
                self.fault(key, Fault::NotText(other.clone()));
                None
            }
        }
    }

    fn parse<T: FromStr>(&mut self, key: &str, text: &str, wanted: &'static str) -> Option<T> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.fault(key, Fault::SchemaVersion { text: text.to_owned(), wanted });
        }
        parsed
    }

    fn parsed<T: FromStr>(&mut self, key: &str, wanted: &'static str) -> Option<T> {
        let text = self.text(key)?;
        self.parse(key, &text, wanted)
    }

    fn needed<T: FromStr>(&mut self, key: &str, wanted: &'static str) -> Option<T> {
        if self.table[key].is_null() {
            self.fault(key, Fault::Missing);
        }
        self.parsed(key, wanted)
    }

    fn list<T: FromStr>(&mut self, key: &str, wanted: &'static str) -> Option<Vec<T>> {
        if self.table[key].is_null() {
            return None;
        }
        let Some(values) = self.table[key].as_array() else {
            self.fault(key, Fault::NotList);
            return None;
        };
        let texts = values.iter().map(|v| v.as_str().map_or_else(|| v.to_string(), str::to_owned));
        texts.collect::<Vec<_>>().iter().map(|text| self.parse(key, text, wanted)).collect()
    }

    fn number(&mut self, key: &str, least: f64, most: f64) -> Option<f64> {
        let value = &self.table[key];
        let number = value.as_f64().filter(|n| (least..=most).contains(n));
        if number.is_none() && !value.is_null() {
            self.fault(key, Fault::Number { value: value.clone(), least, most });
        }
        number
    }

    /// The seed of the random numbers. Where none is given, the time will do: it need not be secret.
    fn seed(&mut self) -> u64 {
        let seed = match &self.table["seed"] {
            Value::Null => {
                let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                return now.unwrap_or_default().as_nanos() as u64;
            }
            Value::String(text) => u64::from_str_radix(text, 16).ok(),
            other => other.as_u64(),
        };
        if seed.is_none() {
            self.fault("seed", Fault::Seed);
        }
        seed.unwrap_or(0)
    }
}
