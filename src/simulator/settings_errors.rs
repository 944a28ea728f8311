//! What can be wrong with the settings.

use serde_json::Value;
use thiserror::Error;

use crate::help::help;

/// A fault of the settings.
#[derive(Debug, PartialEq, Error)]
#[error("{key} {fault}")]
pub struct SettingError {
    /// The path of the key.
    pub key: String,
    /// The reason.
    pub fault: SettingFault,
}

/// What can be wrong with a value of the settings.
#[derive(Debug, PartialEq, Error)]
pub enum SettingFault {
    /// A value where a table is read.
    #[error("must be an object")]
    NotObject,
    /// A value where a list is read.
    #[error("{0} is no list")]
    NotList(Value),
    /// No number, or one that the load balancer can't work with.
    #[error("{value} is no number from {min} to {max}")]
    Number {
        /// What stands there.
        value: Value,
        /// The least that it may be.
        min: f64,
        /// The most that it may be.
        max: f64,
    },
    /// A part of what can't be parted.
    #[error("{0} is no whole number")]
    Whole(f64),
    /// A limit that would break a rule in silence.
    #[error("must be a number from 0 up")]
    FromZero,
    /// Neither of two values.
    #[error("{0} is neither true nor false")]
    Truth(Value),
    /// None of some words.
    #[error("{value} is none of {words}")]
    Word {
        /// What stands there.
        value: Value,
        /// What may stand there.
        words: String,
    },
    /// A class whose repeats are dropped for nobody knows how long.
    #[error("is missing, and the class is keyed")]
    NoWindow,
    /// Members that can't be told apart.
    #[error("members: {0}")]
    Tenants(sandgw_quota::tenants::TenantsError),
}

help!(SettingFault {
    NotObject: "must be an object" => "write it as a table of keys",
    NotList: "is no list" => "put the values in [ ]",
    Number: "is no number from" => "choose a number in that range, without quotes",
    Whole: "is no whole number" => "choose a whole number",
    FromZero: "must be a number from 0 up" => "choose such a number; without the key the limit is 0, without \
        rules.resendSpanMs there is none",
    Truth: "is neither true nor false" => "write true or false, without quotes",
    Word: "is none of" => "choose one of these words, in quotes",
    Tenants: "members:" => "give each member one entry with a name of its own; shares are counted for 200 at the most",
    NoWindow: "is missing, and the class is keyed" => "say for how long repeats are dropped, or make the class unsafe",
});
