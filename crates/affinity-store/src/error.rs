//! Errors of the store, and what an operator can do about each.

use std::io;

use redb::{DatabaseError, StorageError};
use thiserror::Error;

/// Why a store could not be opened or used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("another process has the store open")]
    InUse,
    /// The folder can't be used: it is not a folder, or the process may not write to it.
    #[error("the folder can't be used: {0}")]
    Folder(#[source] io::Error),
    /// The disk failed or is full.
    #[error("the disk failed: {0}")]
    Disk(#[source] DiskError),
    /// The file is damaged or belongs to another program.
    #[error("the file is damaged or belongs to another program: {0}")]
    Damaged(#[source] Damage),
    /// The file is of a newer version than this program supports; the file is left unchanged.
    #[error("the file is of form {version}, and this process reads up to form {newest}")]
    TooNew {
        /// The file's version, or the version to which the file should be migrated.
        version: u64,
        /// The newest version that this program supports.
        newest: u64,
    },
    /// The file can't be migrated back to a version that this process may write.
    #[error("the file is finalized at form {finalized}, and this process goes up to form {newest_allowed}")]
    Finalized {
        /// The finalized version, below which the file is not migrated.
        finalized: u64,
        /// The newest version that this process may write.
        newest_allowed: u64,
    },
}

/// Why the disk failed.
#[derive(Debug, Error)]
pub enum DiskError {
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The database's storage failed.
    #[error(transparent)]
    Storage(StorageError),
    /// The database accepts no more operations after an earlier failure.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// A record could not be encoded.
    #[error(transparent)]
    Encode(#[from] postcard::Error),
    /// An export could not be written.
    #[error("writing the export: {0}")]
    Export(#[source] io::Error),
}

/// How a file is damaged, or why it does not belong to this program.
#[derive(Debug, Error)]
pub enum Damage {
    /// The file ends early, or its content is invalid.
    #[error(transparent)]
    Io(io::Error),
    /// The database found the file to be inconsistent.
    #[error("{0}")]
    Corrupted(String),
    /// The file is not a database that can be opened.
    #[error(transparent)]
    Database(DatabaseError),
    /// The tables of the file are not those of a store.
    #[error(transparent)]
    Table(Box<redb::Error>),
    /// The version number of the file is invalid.
    #[error("{0} is not a valid schema version")]
    InvalidVersion(u64),
    /// The file is a database without a version number.
    #[error("the database is not a store of affinity tables")]
    NoVersion,
    /// The database library panicked while it read the file.
    #[error("the database library panicked while it read the file")]
    Panic,
}

impl StoreError {
    /// What an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            StoreError::InUse => "stop the other process, or give each process its own folder",
            StoreError::Folder(_) => "create the folder's parent, and let the process's user write there",
            StoreError::Disk(_) => "check the disk; unwritten entries are kept in memory for a while",
            StoreError::Damaged(_) => {
                "nothing: the file is set aside and kept; send it to the maintainers for analysis"
            }
            StoreError::TooNew { .. } => {
                "start the version that wrote it, migrate the file back (`state form FOLDER --to N`), or name another folder"
            }
            StoreError::Finalized { .. } => {
                "start a version that reads the finalized form, or raise forms.most to it; the file can't be migrated back"
            }
        }
    }

    /// Classifies any error of the database. An error that is neither the disk's nor a sign of damage means
    /// that the tables of the file are not those of a store.
    pub(crate) fn from_redb(error: impl Into<redb::Error>) -> StoreError {
        match error.into() {
            redb::Error::Io(e) => e.into(),
            redb::Error::Corrupted(reason) => Damage::Corrupted(reason).into(),
            e @ (redb::Error::PreviousIo | redb::Error::DatabaseClosed) => {
                StoreError::Disk(DiskError::Database(Box::new(e)))
            }
            e => Damage::Table(Box::new(e)).into(),
        }
    }
}

impl From<Damage> for StoreError {
    fn from(damage: Damage) -> StoreError {
        StoreError::Damaged(damage)
    }
}

impl From<io::Error> for StoreError {
    fn from(e: io::Error) -> StoreError {
        use io::ErrorKind::*;
        match e.kind() {
            InvalidData | UnexpectedEof => Damage::Io(e).into(),
            PermissionDenied | NotFound | NotADirectory | IsADirectory | ReadOnlyFilesystem => {
                StoreError::Folder(e)
            }
            _ => StoreError::Disk(e.into()),
        }
    }
}

impl From<StorageError> for StoreError {
    fn from(e: StorageError) -> StoreError {
        match e {
            StorageError::Io(e) => e.into(),
            StorageError::Corrupted(reason) => Damage::Corrupted(reason).into(),
            e => StoreError::Disk(DiskError::Storage(e)),
        }
    }
}

impl From<DatabaseError> for StoreError {
    fn from(e: DatabaseError) -> StoreError {
        match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::InUse,
            DatabaseError::Storage(e) => e.into(),
            e => Damage::Database(e).into(),
        }
    }
}
