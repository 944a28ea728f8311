//! Connects the load balancer to the simulator: reads batches of JSON lines from standard input, and writes
//! the replies to standard output.

#![forbid(unsafe_code)]

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use sandgw::help::Help;
use sandgw::simulator::{Adapter, WireError};
use thiserror::Error;

/// Why the adapter stopped before the end of its input.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("reading standard input: {0}")]
    Read(io::Error),
    #[error("writing standard output: {0}")]
    Write(io::Error),
}

impl AdapterError {
    /// What an operator can do.
    fn help(&self) -> &'static str {
        match self {
            AdapterError::Wire(e) => e.fault.help(),
            AdapterError::Read(_) | AdapterError::Write(_) => {
                "check the simulator, which is at the other end of the pipe"
            }
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::new();
    let mut line = String::new();
    loop {
        line.clear();
        let read = input.read_line(&mut line).map_err(AdapterError::Read)?;
        if read == 0 {
            return Ok(adapter.finish()?);
        }
        if line.trim().is_empty() {
            continue;
        }
        if let Some(reply) = adapter.handle_line(&line)? {
            output.write_all(reply.as_bytes()).map_err(AdapterError::Write)?;
            output.flush().map_err(AdapterError::Write)?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sandgw-adapter: {error}; {}", error.help());
            ExitCode::FAILURE
        }
    }
}
