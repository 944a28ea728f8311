//! Errors in the settings.

use serde_json::Value;
use thiserror::Error;

use crate::help::help;

/// A fault of the settings and the key that it concerns.
#[derive(Debug, PartialEq, Error)]
#[error("{key} {fault}")]
pub struct SettingError {
    /// The full path of the key.
    pub key: String,
    /// What is wrong with the value.
    pub fault: SettingFault,
}

/// A fault of a value in the settings.
#[derive(Debug, PartialEq, Error)]
pub enum SettingFault {
    /// The value must be a table, but is not.
    #[error("must be an object")]
    NotObject,
    /// The value must be a list, but is not.
    #[error("{0} is not a list")]
    NotList(Value),
    /// The value is not a number, or is outside the range that the load balancer can work with.
    #[error("{value} is no number from {min} to {max}")]
    Number {
        /// The value.
        value: Value,
        /// The smallest value that is allowed.
        min: f64,
        /// The largest value that is allowed.
        max: f64,
    },
    /// The number must be an integer, but is not.
    #[error("{0} is not a whole number")]
    NotInteger(f64),
    /// A limit that is not a non-negative number. Used as it is, it would silently break a rule.
    #[error("must be a number from 0 up")]
    NotNonNegative,
    /// The value must be a Boolean, but is not.
    #[error("{0} is neither true nor false")]
    NotBoolean(Value),
    /// The value is not one of the allowed words.
    #[error("{value} is not one of {words}")]
    UnknownKeyword {
        /// The value.
        value: Value,
        /// The allowed words, separated by commas.
        words: String,
    },
    /// A keyed class does not state for how long repeated requests are dropped.
    #[error("is missing, and the class is keyed")]
    MissingWindow,
    /// The tenants' names are not valid as a set, for example because two tenants share a name.
    #[error("tenants: {0}")]
    Tenants(sandgw_quota::tenants::TenantsError),
}

help!(SettingFault {
    NotObject: "must be an object" => "write it as a table of keys",
    NotList: "is not a list" => "put the values in [ ]",
    Number: "is no number from" => "choose a number in that range, without quotes",
    NotInteger: "is not a whole number" => "choose a whole number",
    NotNonNegative: "must be a number from 0 up" => "choose a number from 0 up; without the key the limit is 0, \
        and without rules.resendSpanMs there is no limit",
    NotBoolean: "is neither true nor false" => "write true or false, without quotes",
    UnknownKeyword: "is not one of" => "choose one of these words, in quotes",
    Tenants: "tenants:" => "give each tenant one entry under realms, with a name of its own; quotas are \
        supported for at most 200 tenants",
    MissingWindow: "is missing, and the class is keyed" =>
        "set for how long repeated requests are dropped, or make the class unsafe",
});
