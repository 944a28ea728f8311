//! The one place where configuration is read, checked and given defaults: the platform's environment, its
//! JSON file and an application's TOML file.
//!
//! [`Config::load`] reads all of it and reports every fault with file, key and reason. [`Config::whole`]
//! tells a file that was cut short, and [`Config::reload`] takes what may change while the relay runs.

mod errors;
mod file;
mod load;
mod maintenance;
mod reader;
mod reload;
mod sections;
mod template;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use sandgw_maintenance::Timing;
use sandgw_maintenance::plan::CapacityFloors;
use sandgw_schema_version::SupportedVersions;

pub use errors::{ConfigError, Fault};
pub use template::new_application;

use self::file::FileKeys;
use crate::discovery::EndpointList;
use crate::listener::rtmp::RtmpSettings;
use crate::policy::api::{EndpointEntry, Millis, Settings};

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
    /// What it reads of shared state and may write, where an application's file turns forms on; without it,
    /// it writes form 1 and tells nobody what it reads.
    pub forms: Option<SupportedVersions>,
    /// Maintenance windows, where an application's file has a section for them.
    pub maintenance: Option<Maintenance>,
    /// The files' keys, to tell a file that was cut from a whole one.
    written: Vec<FileKeys>,
}

/// What clients may take up before they have asked for anything, and all of them together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors that the process may hold. The platform says, and it is the usual limit elsewhere.
    pub sockets: usize,
    /// How long a client of the line protocol may take for its first line. Some take 2 s; one that never
    /// ends it is owed an end within 3 s, of which a busy relay may need some.
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
    pub floors: CapacityFloors,
    /// How long things last.
    pub timing: Timing,
    /// The relays that vote, by their numbers.
    pub voters: Vec<u32>,
    /// Who may put a window over the floor.
    pub may_override: Vec<String>,
}

/// Variables of the environment, as the platform sets them.
pub type Environment = BTreeMap<String, String>;
