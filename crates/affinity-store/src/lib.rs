//! Durable storage of the affinity tables, in one redb file in a folder.
//!
//! - [`Store`] reads and writes the file. It is fed changes and gives records back.
//! - [`file_format`] describes the versions of the file and the migration between them.
//! - [`writer`] writes behind, on a thread of its own, so that no connection waits for the disk.
//! - [`commands`] is what the operators' command `state` does.
//!
//! Each batch is one transaction: a process that is killed at any write leaves the state before it or the
//! one after. Each record has a checksum of its own besides the file's. A file that is damaged or another
//! program's is moved aside, never deleted, and never keeps a relay from starting. A file of a newer
//! version is neither moved nor read.

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
