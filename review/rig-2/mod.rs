//! Stand-ins of the review's cases, with the standard library alone: discovery, streamers, clients, and the
//! relay as a process. They follow the protocol and the deployment page; every address is a loopback address
//! with a free port. A case is a program that calls [`run_case`].

#![allow(dead_code)]

pub mod client;
pub mod deployment;
pub mod discovery;
pub mod record;
pub mod relay;
pub mod settings;
pub mod streamer;
pub mod system;

use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

pub use record::note;

/// How a case has ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken, in the way that the text says.
    Broken(String),
}

/// What a case returns; the error says why the case could not run.
pub type CaseResult = Result<Verdict, String>;

/// A case is stopped after this time, and counts as one that could not run.
const LONGEST_CASE: Duration = Duration::from_secs(110);

/// Runs a case and ends the program: 0 if the rule held, 1 if it was broken, 2 if the case could not run. The
/// first argument is the path of the record; `TROUBLE=0` in the environment leaves the disruption out.
pub fn run_case(name: &str, case: fn(trouble: bool) -> CaseResult) {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if let Err(e) = record::start(&path) {
        eprintln!("{path}: {e}");
        exit(2);
    }
    note(&format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    thread::spawn(|| {
        thread::sleep(LONGEST_CASE);
        note("the case took too long");
        relay::kill_all();
        exit(2);
    });
    let result = thread::spawn(move || case(trouble)).join();
    relay::kill_all();
    relay::append_logs();
    let code = match result {
        Ok(Ok(Verdict::Held)) => {
            note("verdict: the rule held");
            0
        }
        Ok(Ok(Verdict::Broken(how))) => {
            note(&format!("verdict: the rule was broken: {how}"));
            1
        }
        Ok(Err(reason)) => {
            note(&format!("verdict: the case could not run: {reason}"));
            2
        }
        Err(_) => {
            note("verdict: the case could not run: it panicked");
            2
        }
    };
    exit(code);
}

/// Waits until the condition holds, for at most `limit`; returns whether it does.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    condition()
}

/// Milliseconds as a duration.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
