//! Implements the operators' command `state` on a store: show, verify, export, import and compact. The
//! command is refused while a running relay has the store open.

mod export_line;
mod summary;

use std::io::{BufRead, Write};
use std::path::Path;

use sandgw_affinity::Changes;
use thiserror::Error;

use crate::{DiskError, FILE, Loaded, Store, StoreError};

pub use export_line::{ExportLine, LineError};
pub use summary::{EndpointSummary, GroupSummary, Summary, show};

/// Verifies a store by reading every page and every record. The database checks the file's own checksums when
/// it opens the file.
///
/// # Errors
/// Where the store can't be opened or read.
pub fn verify(folder: &Path) -> Result<Loaded, StoreError> {
    Store::open_existing(folder)?.load(|_| {})
}

/// Writes a store's content as lines of JSON: endpoints, then groups, then clients. Returns the number of
/// lines.
///
/// # Errors
/// Where the store can't be opened or read, or `out` can't be written.
pub fn export(folder: &Path, out: &mut impl Write) -> Result<u64, StoreError> {
    let store = Store::open_existing(folder)?;
    let mut line_count = 0;
    let mut failure = None;
    let mut put = |line: &ExportLine| match write_line(out, line) {
        Ok(()) => line_count += 1,
        Err(e) => failure = Some(e),
    };
    for name in store.endpoint_names()? {
        put(&ExportLine::from(name));
    }
    store.load(|record| put(&ExportLine::from(&record)))?;
    match failure {
        Some(e) => Err(StoreError::Disk(DiskError::Export(e))),
        None => Ok(line_count),
    }
}

fn write_line(out: &mut impl Write, line: &ExportLine) -> std::io::Result<()> {
    let text = serde_json::to_string(line).map_err(std::io::Error::other)?;
    writeln!(out, "{text}")
}

/// Why an import was refused. Nothing was written to the store.
#[derive(Debug, Error)]
pub enum ImportError {
    /// A line can't be used.
    #[error("line {number}: {source}; nothing was imported")]
    Line {
        /// The line's number, from 1.
        number: u64,
        /// What is wrong with the line.
        source: LineError,
    },
    /// The store could not be used.
    #[error("{0}")]
    Store(#[source] StoreError),
}

/// Imports lines in the format of [`export`] into a store, where they replace entries of the same keys. If
/// any line is invalid, none is imported. Returns the number of lines.
///
/// # Errors
/// Where a line is invalid, or the store can't be opened or written.
pub fn import(folder: &Path, lines: impl BufRead) -> Result<u64, ImportError> {
    let mut changes = Changes::default();
    let mut line_count = 0;
    for (line, number) in lines.lines().zip(1..) {
        let added = line.map_err(LineError::from).and_then(|line| add_line(&line, &mut changes));
        let is_added = added.map_err(|source| ImportError::Line { number, source })?;
        line_count += u64::from(is_added);
    }
    let store = Store::open(folder).map_err(ImportError::Store)?.store;
    store.write(&changes).map_err(ImportError::Store)?;
    Ok(line_count)
}

/// Adds a line's content to the changes; returns `false` for an empty line.
fn add_line(line: &str, changes: &mut Changes) -> Result<bool, LineError> {
    if line.trim().is_empty() {
        return Ok(false);
    }
    serde_json::from_str::<ExportLine>(line)?.add_to(changes)?;
    Ok(true)
}

/// The size of the file before and after its unused space was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted {
    /// Bytes before compaction.
    pub before_bytes: u64,
    /// Bytes after compaction.
    pub after_bytes: u64,
}

/// Releases unused space in the file.
///
/// # Errors
/// Where the store can't be opened or written.
pub fn compact(folder: &Path) -> Result<Compacted, StoreError> {
    let before_bytes = file_bytes(folder);
    let mut store = Store::open_existing(folder)?;
    store.compact()?;
    drop(store);
    Ok(Compacted { before_bytes, after_bytes: file_bytes(folder) })
}

fn file_bytes(folder: &Path) -> u64 {
    std::fs::metadata(folder.join(FILE)).map_or(0, |metadata| metadata.len())
}
