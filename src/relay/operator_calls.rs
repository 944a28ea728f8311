//! Operators' calls to a running relay at its operations address: one line in, one line out.
//!
//! This module is a parser and a formatter without I/O: a driver feeds [`CallParser`] the bytes that it reads
//! and writes the line of [`reply_line`]. Calls are carried out elsewhere.

use sandgw_maintenance::{RefusalReason, call};
use sandgw_schema_version::SchemaVersionError;
use thiserror::Error;

/// Length of the longest call in bytes, including the line end.
pub const MAX_CALL_BYTES: usize = 64;

/// The calls that operators may make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Report whether this process can serve.
    Status,
    /// Go on standby.
    Standby,
    /// End standby.
    Active,
    /// Report which schema versions of shared state are read and written.
    SchemaVersions,
    /// Finalize the newest schema version: afterwards there is no way back to an older one.
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
    /// The line is not a known call.
    #[error("an unknown call; known are status, standby, active")]
    Unknown,
    /// The line has no end within [`MAX_CALL_BYTES`].
    #[error("a call is at most 64 bytes long")]
    TooLong,
    /// The caller stopped sending, or timed out, before the end of the line.
    #[error("the call has no end")]
    Truncated,
    /// More bytes follow the line.
    #[error("one call to a connection")]
    TrailingBytes,
    /// The relay has no list of endpoints yet.
    #[error("not ready: no list of streamers yet")]
    NotReady,
    /// Another process serves in place of this process.
    #[error("handed over: a new process serves in this one's place")]
    HandedOver,
    /// No schema version can be finalized now.
    #[error("{0}; {help}", help = .0.help())]
    SchemaVersion(#[source] SchemaVersionError),
    /// A call about maintenance windows.
    #[error("{0}; {help}", help = .0.help())]
    MaintenanceWindow(#[source] RefusalReason),
}

/// Parses the call of one caller.
#[derive(Debug, Default)]
pub struct CallParser {
    /// The bytes received, at most one more than the longest call has.
    buffer: Vec<u8>,
}

impl CallParser {
    /// Takes the bytes that a caller has sent, none once the caller has stopped sending; returns the call or
    /// its error as soon as that is known.
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

    /// The error of a line whose end has not arrived, if the error is known already.
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
