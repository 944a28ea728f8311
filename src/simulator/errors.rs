//! Errors in the simulator's input.

use thiserror::Error;

use super::settings_errors::SettingError;
use crate::help::help;

/// A fault in the input and the batch in which it occurred.
#[derive(Debug, Error)]
#[error("{}: {fault}", describe_batch(*batch))]
pub struct WireError {
    /// Number of the batch; `None` before the first batch.
    pub batch: Option<u64>,
    /// The fault.
    pub fault: WireFault,
}

fn describe_batch(batch: Option<u64>) -> String {
    batch.map_or("before any round".into(), |n| format!("round {n}"))
}

/// A fault of a line. No part of the line has been applied.
#[derive(Debug, Error)]
pub enum WireFault {
    /// The line is not valid JSON.
    #[error("not a JSON line: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is JSON, but not a message.
    #[error("a message must {0}")]
    NotMessage(&'static str),
    /// A message at a place where it is not allowed, inside or outside of a batch.
    #[error("{name} {place}")]
    Order {
        /// The name of the message.
        name: String,
        /// The place where the message occurs.
        place: &'static str,
    },
    /// The input has ended inside a batch.
    #[error("the input ends inside the round")]
    Ended,
    /// An instance is started with invalid settings.
    #[error("START: {}", join_faults(.0))]
    Settings(Vec<SettingError>),
    /// An event for an instance that has not started.
    #[error("{name} for {instance}, which has not started")]
    NotStarted {
        /// The name of the message.
        name: String,
        /// The name of the instance.
        instance: String,
    },
    /// An event that this version of the simulator's protocol does not have.
    #[error("unknown event {0}")]
    Unknown(String),
    /// A message with too few values.
    #[error("{name} has too few values: {given} given, value {needed} is needed")]
    TooFew {
        /// The name of the message.
        name: String,
        /// How many values the message has.
        given: usize,
        /// The number of the missing value, counted from 1.
        needed: usize,
    },
    /// A value that can't be read.
    #[error("{name}: value {number} must be {wanted}")]
    Value {
        /// The name of the message.
        name: String,
        /// The number of the value, counted from 1.
        number: usize,
        /// What the value must be.
        wanted: &'static str,
    },
    /// An entry of an endpoint list that can't be read.
    #[error("MEMBERSHIP: an entry must be an array")]
    Entry,
}

fn join_faults(faults: &[SettingError]) -> String {
    faults.iter().map(SettingError::to_string).collect::<Vec<_>>().join("; ")
}

help!(WireFault {
    NotJson: "not a JSON line" => "see that nothing but the simulator writes to standard input",
    NotMessage: "a message must" =>
        "check the simulator's version: each line must be an array that begins with the name of the message",
    Order: "ROUND" => "check the simulator: each batch starts with ROUND and ends with GO",
    Ended: "the input ends inside the round" =>
        "check why the simulator ended; the messages of that round were not answered",
    Settings: "START:" => "correct the settings that are named, as in a configuration",
    NotStarted: "which has not started" =>
        "check the simulator: each instance must begin with START, also after SHUTDOWN",
    Unknown: "unknown event" =>
        "the simulator is newer than the adapter: use the adapter of the same version",
    TooFew: "has too few values" =>
        "the simulator is of another version: use the adapter of the same version",
    Value: "must be" => "check that value in the line of the simulator; other versions may use other values",
    Entry: "an entry must be an array" => "check the endpoint list that the simulator sends",
});
