//! What can be wrong with a configuration. Every error names the file, the key and the reason.

use std::io;

use serde_json::Value;
use thiserror::Error;

use crate::discovery::ListError;
use crate::help::{Help, HelpEntry, help};
use crate::simulator::SettingFault;

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
    const ALL: &'static [HelpEntry] = Fault::ALL;

    fn stable_text(&self) -> &'static str {
        self.fault.stable_text()
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
    Format {
        /// The text.
        text: String,
        /// What it must be.
        wanted: &'static str,
    },
    /// No number, or one that the relay can't work with.
    #[error("{value} is no number from {min} to {max}")]
    Number {
        /// What stands there.
        value: Value,
        /// The least that it may be.
        min: f64,
        /// The most that it may be.
        max: f64,
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
    Format: "is not" => "write numbers, no host name: 127.0.0.1:8443 with a port, 127.0.0.1 without",
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

/// An error of a key in a file.
pub(super) fn config_error(file: &str, key: &str, fault: impl Into<Fault>) -> ConfigError {
    ConfigError { file: file.to_owned(), key: key.to_owned(), fault: fault.into() }
}
