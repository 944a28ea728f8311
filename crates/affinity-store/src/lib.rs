//! Durable storage of the affinity tables in a folder, in a single redb file.
//!
//! - [`Store`] reads and writes the file: it stores changes and loads records.
//! - [`file_format`] describes the versions of the file and the migration between them.
//! - [`writer`] writes changes on a background thread, so that no connection waits for the disk.
//! - [`commands`] implements the operators' command `state`.
//!
//! Each batch is one transaction: a process that is killed at any write leaves the state before the batch or
//! the state after it. Each record has a checksum of its own besides those of the file. A file that is
//! damaged or belongs to another program is moved aside, never deleted, and never keeps a relay from
//! starting. A file of a newer version is neither moved nor read.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod commands;
mod error;
pub mod file_format;
mod record_codec;
mod store;
pub mod writer;

pub use error::{Damage, DiskError, StoreError};
pub use store::{FILE, Loaded, Opened, SetAside, Store};
