//! Operators' calls to a running relay at its operations address: one line in, one line out.
//!
//! A parser and a formatter without I/O: a driver feeds [`CallParser`] the bytes that it reads and writes
//! the line of [`reply_line`]. It carries out no call.

use sandgw_maintenance::{RefusalReason, call};
use sandgw_schema_version::SchemaVersionError;
use thiserror::Error;

/// Longest call, with its end.
pub const MAX_CALL_BYTES: usize = 64;

/// What operators may call for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Whether this process can serve.
    Status,
    /// Go on standby.
    Standby,
    /// End standby.
    Active,
    /// Which schema versions of shared state are read and written.
    SchemaVersions,
    /// Finalize the newest schema version: no way back below it.
    Finalize,
    /// A call about maintenance windows.
    MaintenanceWindow(call::Call),
}

/// Why a call was not carried out.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum OperatorCallError {
    /// The line is empty.
    #[error("an empty call; known are status, standby, active")]
    Empty,
    /// It is no known call.
    #[error("an unknown call; known are status, standby, active")]
    Unknown,
    /// It has no end within [`MAX_CALL_BYTES`].
    #[error("a call is at most 64 bytes long")]
    TooLong,
    /// The caller ended, or timed out, before the end of the line.
    #[error("the call has no end")]
    Truncated,
    /// Something follows the line.
    #[error("one call to a connection")]
    TrailingBytes,
    /// The relay has no list of endpoints yet.
    #[error("not ready: no list of streamers yet")]
    NotReady,
    /// Another process serves in this one's place.
    #[error("handed over: a new process serves in this one's place")]
    HandedOver,
    /// No schema version can be finalized now.
    #[error("{0}; {help}", help = .0.help())]
    SchemaVersion(#[source] SchemaVersionError),
    /// A call about maintenance windows.
    #[error("{0}; {help}", help = .0.help())]
    MaintenanceWindow(#[source] RefusalReason),
}

/// Reads one caller's call.
#[derive(Debug, Default)]
pub struct CallParser {
    /// At most one byte more than the longest call.
    buffer: Vec<u8>,
}

impl CallParser {
    /// Takes what a caller has sent, empty at the end of its sending; gives the call once it is decided.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<OperatorCall, OperatorCallError>> {
        self.buffer_bytes(bytes);
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            return self.unterminated(bytes.is_empty()).map(Err);
        };
        if end + 1 < self.buffer.len() {
            return Some(Err(OperatorCallError::TrailingBytes));
        }
        let line = &self.buffer[..end];
        Some(parse_line(line.strip_suffix(b"\r").unwrap_or(line)))
    }

    fn buffer_bytes(&mut self, bytes: &[u8]) {
        let capacity = MAX_CALL_BYTES + 1 - self.buffer.len().min(MAX_CALL_BYTES);
        self.buffer.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
    }

    /// What is wrong with a line that has no end so far, if it is known.
    fn unterminated(&self, caller_ended: bool) -> Option<OperatorCallError> {
        if self.buffer.len() >= MAX_CALL_BYTES {
            return Some(OperatorCallError::TooLong);
        }
        caller_ended.then_some(OperatorCallError::Truncated)
    }
}

fn parse_line(line: &[u8]) -> Result<OperatorCall, OperatorCallError> {
    match line {
        b"status" => Ok(OperatorCall::Status),
        b"standby" => Ok(OperatorCall::Standby),
        b"active" => Ok(OperatorCall::Active),
        b"forms" => Ok(OperatorCall::SchemaVersions),
        b"finalize" => Ok(OperatorCall::Finalize),
        b"" => Err(OperatorCallError::Empty),
        line => parse_maintenance_call(line),
    }
}

fn parse_maintenance_call(line: &[u8]) -> Result<OperatorCall, OperatorCallError> {
    let call = std::str::from_utf8(line).ok().and_then(call::parse);
    let call = call.ok_or(OperatorCallError::Unknown)?;
    call.map(OperatorCall::MaintenanceWindow).map_err(OperatorCallError::MaintenanceWindow)
}

/// The line that replies to a call.
pub fn reply_line(result: Result<String, OperatorCallError>) -> String {
    match result {
        Ok(text) => format!("done {text}\n"),
        Err(error) => format!("error {error}\n"),
    }
}

#[cfg(test)]
mod tests;
