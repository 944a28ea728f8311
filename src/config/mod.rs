//! Reads, checks and completes the configuration of a relay. It comes from the platform's environment
//! variables, the platform's JSON file and an application's TOML file; no other module reads these.
//!
//! [`Config::load`] reads all three and reports every fault with file, key and reason.
//! [`Config::reject_truncated`] detects a truncated file, and [`Config::reload`] applies the keys that may
//! change while the relay runs.

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

/// The configuration of one relay. [`Config::reload`] documents which keys a running relay applies.
#[derive(Debug)]
pub struct Config {
    /// The relay's name. It appears in the log, and both processes of a hand-over must have the same name.
    pub name: String,
    /// Listening address for clients of the line protocol; `None` if the application speaks RTMP only.
    pub listen: Option<SocketAddr>,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Listening address for operators' calls; without it the relay accepts no calls.
    pub ops: Option<SocketAddr>,
    /// Number of the inherited descriptor of the clients' listening socket, if the platform holds that
    /// socket.
    pub passed_socket: Option<i32>,
    /// Folder in which a successor finds the running process, to take the relay over.
    pub handover_folder: Option<PathBuf>,
    /// Seed of the random number generator; differs with each start unless the platform's file sets it.
    pub seed: u64,
    /// Listening address for datagrams from other relays.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses for datagrams of all relays of the cluster, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    /// Entries of the cached endpoint list, used until discovery answers.
    pub cached_endpoints: Vec<EndpointEntry>,
    /// State of the cached endpoint list, from which polling continues.
    pub endpoint_list: EndpointList,
    /// The load balancer's settings.
    pub settings: Settings,
    /// Names of the request classes in the settings.
    pub classes: Vec<String>,
    /// Names of the tenants in the settings; empty if the settings name none.
    pub tenants: Vec<String>,
    /// Whether connections of one group share work. If not, the group key of a line counts as its client key.
    pub groups_share_work: bool,
    /// Limits on descriptors and on time before a client's first line.
    pub limits: Limits,
    /// The RTMP listener, if the application's file has one.
    pub rtmp: Option<Rtmp>,
    /// The SNMP agent, if the application's file has one.
    pub snmp: Option<Snmp>,
    /// Durable store of clients and groups, if the application's file names a folder.
    pub state: Option<StateFolder>,
    /// Schema versions of shared state that the relay reads and may write, if the application's file has a
    /// `forms` section. Without it the relay writes schema version 1 and sends no version advertisement.
    pub schema_versions: Option<SupportedVersions>,
    /// Maintenance windows, if the application's file has a section for them.
    pub maintenance: Option<Maintenance>,
    /// Keys of the files that were read, to detect a truncated file at a reload.
    file_keys: Vec<FileKeys>,
}

/// Limits on the descriptors of the whole process, and on the time before a client's first line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors that the process may have open. The platform sets this limit; elsewhere the usual limit
    /// applies.
    pub sockets: usize,
    /// How long a client of the line protocol may take for its first line, in ms. Some clients take 2 s. A
    /// connection whose first line never ends must be closed within 3 s, and a busy relay needs part of that
    /// time.
    pub first_line_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, first_line_timeout: 2600.0 }
    }
}

/// The RTMP listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Rtmp {
    /// Listening address.
    pub listen: SocketAddr,
    /// Settings that all RTMP connections share.
    pub settings: RtmpSettings,
    /// Addresses of proxies in front of the relay whose PROXY protocol headers are accepted.
    pub trusted: Vec<IpAddr>,
}

/// The SNMP agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snmp {
    /// Listening address, a loopback address.
    pub listen: SocketAddr,
    /// The SNMP community that may read.
    pub community: String,
}

/// The folder of the durable store of clients and groups.
#[derive(Clone, Debug, PartialEq)]
pub struct StateFolder {
    /// The folder. The relay creates it if its parent exists; only one relay may use it.
    pub folder: PathBuf,
    /// Interval at which changes are written, in ms.
    pub flush_interval: Millis,
}

/// Capacity floors and agreement on maintenance windows. Every relay of the cluster must have the same
/// values.
#[derive(Clone, Debug, PartialEq)]
pub struct Maintenance {
    /// Capacity that must remain, and how much may be drained at once.
    pub floors: CapacityFloors,
    /// Durations of leases, elections and retries.
    pub timing: Timing,
    /// Numbers of the relays that are voters.
    pub voters: Vec<u32>,
    /// Names of the operators whose windows may go below the capacity floors.
    pub may_override: Vec<String>,
}

/// Environment variables, as the platform sets them.
pub type Environment = BTreeMap<String, String>;
