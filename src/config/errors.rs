//! Errors of the configuration. Each names the file, the key and the reason.

use std::io;

use serde_json::Value;
use thiserror::Error;

use crate::discovery::ListError;
use crate::help::{Help, HelpEntry, help};
use crate::simulator::SettingFault;

/// An error in a configuration, or in a folder that the configuration names.
#[derive(Debug, Error)]
#[error("{file}: {key}: {fault}")]
pub struct ConfigError {
    /// The name of the file, or `environment`.
    pub file: String,
    /// The faulty key.
    pub key: String,
    /// The reason.
    pub fault: Fault,
}

impl Help for ConfigError {
    const ALL: &'static [HelpEntry] = Fault::ALL;

    fn stable_text(&self) -> &'static str {
        self.fault.stable_text()
    }

    fn help(&self) -> &'static str {
        self.fault.help()
    }
}

/// Reasons why a key or a file is refused.
#[derive(Debug, Error)]
pub enum Fault {
    /// Neither the platform's file nor an application's file is given.
    #[error("is not set, and no application file is given")]
    NotSet,
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(io::Error),
    /// The file can't be written, or exists already.
    #[error("{0}")]
    Unwritable(io::Error),
    /// The file is not valid JSON or TOML.
    #[error("{0}")]
    Syntax(String),
    /// The top level of the file is not an object.
    #[error("must be an object")]
    NotObject,
    /// A required key is missing.
    #[error("is missing")]
    Missing,
    /// Neither `listen` nor an RTMP listener is configured, so no client could connect.
    #[error("is missing, and there is no [rtmp] listener")]
    NoListener,
    /// At a reload, the new file lacks a key that the configuration in force has.
    #[error("is missing, and the running relay has it")]
    MissingOnReload,
    /// At a reload, the new file ends in the middle of a line.
    #[error("ends within a line")]
    Truncated,
    /// The relay does not read this key.
    #[error("is unknown; known are {known}")]
    UnknownKey {
        /// The keys that the relay reads in this table.
        known: String,
    },
    /// A text that must not be empty is empty.
    #[error("must not be empty")]
    Empty,
    /// The value is not a table.
    #[error("must be a table")]
    NotTable,
    /// The value is not a list.
    #[error("must be a list")]
    NotList,
    /// The value is not a text.
    #[error("{0} is no text")]
    NotText(Value),
    /// The text can't be parsed as the expected type.
    #[error("{text:?} is not {wanted}")]
    InvalidText {
        /// The text.
        text: String,
        /// Description of the expected format.
        wanted: &'static str,
    },
    /// The value is not a number, or is outside the range that the relay supports.
    #[error("{value} is no number from {min} to {max}")]
    OutOfRange {
        /// The value in the file.
        value: Value,
        /// The smallest permitted value.
        min: f64,
        /// The largest permitted value.
        max: f64,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("must be a hexadecimal number of 64 bits")]
    InvalidSeed,
    /// The settings have no request class, so no connection could be placed.
    #[error("must name at least one class")]
    NoClasses,
    /// The settings have no class of this name.
    #[error("{0:?} is no class of settings.lanes")]
    UnknownClass(String),
    /// The address of the SNMP agent can be reached from other machines.
    #[error("must be a loopback address")]
    NotLoopback,
    /// A hand-over and a store are both configured: a hand-over needs two processes, and the store admits
    /// one.
    #[error("is not possible with [state] yet: the folder admits one process")]
    HandoverWithStore,
    /// Quotas are to be enforced, but the settings define no quotas.
    #[error("is true, and the settings define no quota")]
    NoQuota,
    /// The number is not a supported schema version of shared state.
    #[error("of forms: {0}")]
    SchemaVersion(sandgw_schema_version::SchemaVersionError),
    /// Relays agree on maintenance windows by messages, but messages between relays are not configured.
    #[error("needs peer_listen, and settings.limits.peerMessages")]
    NoPeerMessages,
    /// The bound on clock differences is too large for the lease.
    #[error("must be at most a quarter of lease_s")]
    ClockBoundTooLarge,
    /// The voters are empty, name a relay that does not exist, or name a relay twice.
    #[error("must be numbers of relays, from 0 and below {0}, each once")]
    InvalidVoters(u32),
    /// The application's name is not a portable file name.
    #[error("the name may contain only lower-case letters, digits and '-'")]
    InvalidName,
    /// The relay could not start, although its configuration is valid.
    #[error("{0}")]
    Start(io::Error),
    /// A command on the folder of the store of clients and groups has failed.
    #[error("{0}")]
    StateFolder(String),
    /// The cached endpoint list is invalid.
    #[error(transparent)]
    CachedList(Box<ListError>),
    /// A value in the load balancer's settings is invalid.
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
    MissingOnReload: "is missing, and the running relay has it" => "put the key back, or restart with the file as it is",
    Truncated: "ends within a line" => "write the complete file again, then send SIGHUP",
    UnknownKey: "is unknown" => "correct the spelling, or take the key out",
    Empty: "must not be empty" => "give it a text, or take the table out",
    NotTable: "must be a table" => "write it as [NAME] with its keys below",
    NotList: "must be a list" => "put the values in [ ]",
    NotText: "is no text" => "put the value in quotes",
    InvalidText: "is not" => "write numbers, no host name: 127.0.0.1:8443 with a port, 127.0.0.1 without",
    OutOfRange: "is no number from" => "choose a number in that range, without quotes",
    InvalidSeed: "must be a hexadecimal number" =>
        "remove the key: the relay then takes its seed from the current time",
    NoClasses: "must name at least one class" => "add a class to settings.lanes; the platform's file has them",
    UnknownClass: "is no class of settings.lanes" => "name one of settings.lanes, or leave it out for the first",
    NotLoopback: "must be a loopback address" => "let the agent listen at 127.0.0.1",
    HandoverWithStore: "is not possible with [state]" => "remove either handover or [state]",
    NoQuota: "the settings define no quota" =>
        "set quotaPerS in an entry of realms, or tenantQuotaConnections in domain, or remove [shares]",
    SchemaVersion: "of forms:" => "set forms.most to a form that this program knows",
    NoPeerMessages: "needs peer_listen" =>
        "relays agree on maintenance windows by messages: set both keys, or remove [maintenance]",
    ClockBoundTooLarge: "must be at most a quarter of lease_s" =>
        "the clock bound shortens every grant: increase lease_s, or keep the relays' clocks closer together",
    InvalidVoters: "must be numbers of relays" =>
        "list relays of this cluster by their numbers, or remove the key",
    InvalidName: "the name may contain only lower-case letters" => "choose a name like live-2",
    Start: "relay: start:" => "each address must be free and belong to this machine, and each folder must \
        exist and belong to this relay; for hand-overs see on-call.md",
    StateFolder: "state.folder:" => "no relay may run on the folder meanwhile, and files are never overwritten; see state.md",
} of CachedList, Setting);

/// Builds the error for a key in a file.
pub(super) fn config_error(file: &str, key: &str, fault: impl Into<Fault>) -> ConfigError {
    ConfigError { file: file.to_owned(), key: key.to_owned(), fault: fault.into() }
}
