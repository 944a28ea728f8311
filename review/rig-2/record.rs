//! The record of a run: one line for each thing that was sent, answered or run, with the milliseconds since
//! the start of the case.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Creates the record.
pub fn start(path: &str) -> io::Result<()> {
    let file = Mutex::new(File::create(path)?);
    let _ = RECORD.set(Record { start: Instant::now(), file });
    Ok(())
}

/// Milliseconds since the start of the case.
pub fn elapsed_ms() -> u128 {
    RECORD.get().map_or(0, |record| record.start.elapsed().as_millis())
}

/// Adds a line to the record.
pub fn note(text: &str) {
    let Some(record) = RECORD.get() else { return };
    let line = format!("{:>7} {text}\n", record.start.elapsed().as_millis());
    if let Ok(mut file) = record.file.lock() {
        let _ = file.write_all(line.as_bytes());
    }
}
