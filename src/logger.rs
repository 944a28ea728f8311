//! Logger that writes each record as one line to standard error, where the platform reads it. Each line has
//! the time in milliseconds since the epoch, the level and the message.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

struct Logger;

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            // A relay continues to serve even if its log can't be written.
            let _ = writeln!(std::io::stderr().lock(), "{now_ms} {:5} {}", record.level(), record.args());
        }
    }

    fn flush(&self) {}
}

/// Starts logging at this level. A second call only changes the level.
pub fn start(level: LevelFilter) {
    let _ = log::set_logger(&Logger);
    log::set_max_level(level);
}
