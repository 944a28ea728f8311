//! What operators ask of a running relay at its second address, and the pace at which one in standby empties.
//! No socket: a driver feeds [`Caller`] what comes and writes the one line that it is given back.

use std::fmt;

use sandgw_maintenance::{RefusalReason, call};
use sandgw_schema_version::SchemaVersionError;

use crate::policy::api::Millis;

/// Longest call, with its end.
pub const CALL_BYTES: usize = 64;
/// New connections still come for so long after the first `STANDBY`, and whoever is told to move before the front
/// has noticed may come back here.
const MOVES_FROM: Millis = 300.0;
/// By then everybody has been told. It leaves a second and a half for last words, and for those who were being placed.
const MOVES_UNTIL: Millis = 2500.0;
/// Between two steps of moves.
pub const MOVE_STEP: Millis = 100.0;

/// What operators may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Status,
    /// Empty the relay.
    Standby,
    /// End of the drain.
    Active,
    /// Which forms of shared state are read and written.
    Forms,
    /// No way back below the newest form.
    Finalize,
    /// Something about maintenance windows.
    Window(call::Call),
}

/// Why a call was not carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The line has nothing in it.
    Empty,
    /// It is no known call.
    Unknown,
    /// It has no end within [`CALL_BYTES`].
    TooLong,
    /// The caller ended, or waited, in the middle of it.
    Cut,
    /// Something follows it.
    More,
    /// The relay has no list of endpoints yet.
    NotReady,
    /// Another process serves in this one's place.
    HandedOver,
    /// Nothing can be made final now.
    SchemaVersion(SchemaVersionError),
    /// A call about maintenance windows.
    Window(RefusalReason),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Refusal::SchemaVersion(e) = self {
            return write!(f, "{e}; {}", e.help());
        }
        f.write_str(match self {
            Refusal::Empty => "an empty call; known are status, standby, active",
            Refusal::Unknown => "an unknown call; known are status, standby, active",
            Refusal::TooLong => "a call is at most 64 bytes long",
            Refusal::Cut => "the call has no end",
            Refusal::More => "one call to a connection",
            Refusal::NotReady => "not ready: no list of streamers yet",
            Refusal::HandedOver => "handed over: a new process serves in this one's place",
            Refusal::SchemaVersion(_) => "",
            Refusal::Window(refused) => return write!(f, "{refused}; {}", refused.help()),
        })
    }
}

/// What this process does for clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Operation {
    /// It takes whoever comes.
    #[default]
    Active,
    /// It tells the front that it wants nobody new.
    Standby,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::Active => "active",
            Operation::Standby => "standby",
        })
    }
}

/// One caller's bytes.
#[derive(Debug, Default)]
pub struct Caller {
    bytes: Vec<u8>,
}

impl Caller {
    /// Takes what a caller has sent, nothing at the end of its sending; gives its call once it is decided.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Call, Refusal>> {
        let room = CALL_BYTES + 1 - self.bytes.len().min(CALL_BYTES);
        self.bytes.extend_from_slice(&bytes[..bytes.len().min(room)]);
        let Some(end) = self.bytes.iter().position(|b| *b == b'\n') else {
            let long = self.bytes.len() >= CALL_BYTES;
            return (long || bytes.is_empty()).then_some(Err(if long {
                Refusal::TooLong
            } else {
                Refusal::Cut
            }));
        };
        if end + 1 < self.bytes.len() {
            return Some(Err(Refusal::More));
        }
        let line = &self.bytes[..end];
        Some(match line.strip_suffix(b"\r").unwrap_or(line) {
            b"status" => Ok(Call::Status),
            b"standby" => Ok(Call::Standby),
            b"active" => Ok(Call::Active),
            b"forms" => Ok(Call::Forms),
            b"finalize" => Ok(Call::Finalize),
            b"" => Err(Refusal::Empty),
            line => match std::str::from_utf8(line).ok().and_then(call::parse) {
                Some(call) => call.map(Call::Window).map_err(Refusal::Window),
                None => Err(Refusal::Unknown),
            },
        })
    }
}

/// The line that answers a call.
pub fn answer(result: Result<String, Refusal>) -> String {
    match result {
        Ok(says) => format!("done {says}\n"),
        Err(refusal) => format!("error {refusal}\n"),
    }
}

/// How many of so many connections that are still to be told are told now, so long after the relay was put on standby.
pub fn moves_now(since: Millis, connections: usize) -> usize {
    if since < MOVES_FROM {
        return 0;
    }
    let steps = ((MOVES_UNTIL - since) / MOVE_STEP).floor().max(1.0);
    (connections as f64 / steps).ceil() as usize
}

#[cfg(test)]
mod tests;
