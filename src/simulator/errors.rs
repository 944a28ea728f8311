//! What can be wrong with the simulator's input.

use thiserror::Error;

use super::settings_errors::SettingError;
use crate::help::help;

/// What was wrong with the input, and in which batch.
#[derive(Debug, Error)]
#[error("{}: {what}", describe_batch(*batch))]
pub struct WireError {
    /// Number of the batch, when one had begun.
    pub batch: Option<u64>,
    /// What was wrong.
    pub what: WireFault,
}

fn describe_batch(batch: Option<u64>) -> String {
    batch.map_or("before any round".into(), |n| format!("round {n}"))
}

/// What can be wrong with a line. Nothing of it has been taken.
#[derive(Debug, Error)]
pub enum WireFault {
    /// The line is no JSON.
    #[error("not a JSON line: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is JSON, but no message.
    #[error("a message must {0}")]
    NotMessage(&'static str),
    /// A message that has to stand elsewhere in a batch.
    #[error("{name} {place}")]
    Order {
        /// The message.
        name: String,
        /// Where it stands.
        place: &'static str,
    },
    /// The input has ended early.
    #[error("the input ends inside the round")]
    Ended,
    /// An instance is to start with settings that it can't work with.
    #[error("START: {}", joined(.0))]
    Settings(Vec<SettingError>),
    /// An event of an instance that there is not.
    #[error("{name} for {who}, which has not started")]
    NotStarted {
        /// The message.
        name: String,
        /// The instance.
        who: String,
    },
    /// An event that this form of the wire does not have.
    #[error("unknown event {0}")]
    Unknown(String),
    /// A message that is too short.
    #[error("{name} has too few values: {given} given, value {needed} is needed")]
    TooFew {
        /// The message.
        name: String,
        /// How many values it has.
        given: usize,
        /// The number of the value that is read, from 1.
        needed: usize,
    },
    /// A value that can't be read.
    #[error("{name}: value {number} must be {wanted}")]
    Value {
        /// The message.
        name: String,
        /// The number of the value, from 1.
        number: usize,
        /// What it must be.
        wanted: &'static str,
    },
    /// An entry of a list of endpoints that can't be read.
    #[error("MEMBERSHIP: an entry must be an array")]
    Entry,
}

fn joined(faults: &[SettingError]) -> String {
    faults.iter().map(SettingError::to_string).collect::<Vec<_>>().join("; ")
}

help!(WireFault {
    NotJson: "not a JSON line" => "see that nothing but the simulator writes to standard input",
    NotMessage: "a message must" => "look at the version of the simulator: each line is an array behind a name",
    Order: "ROUND" => "look at the simulator: a batch opens with ROUND and closes with GO",
    Ended: "the input ends inside the round" => "look at why the simulator ended; what it had sent was not answered",
    Settings: "START:" => "mend the settings that are named, as in a configuration",
    NotStarted: "which has not started" => "look at the simulator: an instance begins with START, once more after SHUTDOWN",
    Unknown: "unknown event" => "the simulator is of a later version: take the adapter that goes with it",
    TooFew: "has too few values" => "the simulator is of another version: take the adapter that goes with it",
    Value: "must be" => "look at that value of the line in the simulator; figures of another version may differ",
    Entry: "an entry must be an array" => "look at the simulator's list of streamers",
});
