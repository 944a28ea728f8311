//! Runs the load balancer on the simulator's wire: batches on standard input, replies on standard output.

#![forbid(unsafe_code)]

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use sandgw::help::Help;
use sandgw::simulator::{Adapter, WireError};
use thiserror::Error;

/// Why the adapter ended before its input did.
#[derive(Debug, Error)]
enum Failed {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("reading standard input: {0}")]
    Read(io::Error),
    #[error("writing standard output: {0}")]
    Write(io::Error),
}

impl Failed {
    fn help(&self) -> &'static str {
        match self {
            Failed::Wire(e) => e.what.help(),
            Failed::Read(_) | Failed::Write(_) => "look at the simulator, which holds the other end",
        }
    }
}

fn run() -> Result<(), Failed> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::new();
    let mut line = String::new();
    loop {
        line.clear();
        let read = input.read_line(&mut line).map_err(Failed::Read)?;
        if read == 0 {
            return Ok(adapter.end()?);
        }
        if line.trim().is_empty() {
            continue;
        }
        if let Some(reply) = adapter.line(&line)? {
            let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(Failed::Write)?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("sandgw-adapter: {what}; {}", what.help());
            ExitCode::FAILURE
        }
    }
}
