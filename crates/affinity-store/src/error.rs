//! Errors of the store, and what an operator can do about each.

use std::io;

use redb::{DatabaseError, StorageError};
use thiserror::Error;

/// Why a store could not be opened or used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has it open.
    #[error("another process has the store open")]
    InUse,
    /// The folder can't be used: it is no folder, or may not be written.
    #[error("the folder can't be used: {0}")]
    Folder(#[source] io::Error),
    /// The disk failed or is full.
    #[error("the disk failed: {0}")]
    Disk(#[source] DiskError),
    /// The file is damaged or another program's.
    #[error("the file is damaged or of another program: {0}")]
    Damaged(#[source] Damage),
    /// The file is of a newer version than this program; it is left as it is.
    #[error("the file is of form {version}, and this process reads up to form {newest}")]
    TooNew {
        /// The file's version, or the one that it should be migrated to.
        version: u64,
        /// The newest that this program supports.
        newest: u64,
    },
    /// The file can't go back to a version that this process may write.
    #[error("the file is finalized at form {finalized}, and this process goes up to form {newest_allowed}")]
    Finalized {
        /// The version below which it is not migrated.
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
    /// The database takes nothing more after an earlier failure.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// A record could not be encoded.
    #[error(transparent)]
    Encode(#[from] postcard::Error),
    /// An export could not be written.
    #[error("writing the export: {0}")]
    Export(#[source] io::Error),
}

/// How a file is damaged, or why it is another program's.
#[derive(Debug, Error)]
pub enum Damage {
    /// It ends early, or its content is invalid.
    #[error(transparent)]
    Io(io::Error),
    /// The database found a contradiction in it.
    #[error("{0}")]
    Corrupted(String),
    /// It is no database that can be opened.
    #[error(transparent)]
    Database(DatabaseError),
    /// Its tables are not those of a store.
    #[error(transparent)]
    Table(Box<redb::Error>),
    /// Its version number is invalid.
    #[error("{0} is no form")]
    InvalidVersion(u64),
    /// It is a database without a version number.
    #[error("it is no store of affinity tables")]
    NoVersion,
    /// The database's library panicked.
    #[error("reading it failed in an unforeseen way")]
    Panic,
}

impl StoreError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            StoreError::InUse => "stop the process that has it, or give each its own folder",
            StoreError::Folder(_) => "make the folder's parent, and let the process's user write there",
            StoreError::Disk(_) => "look at the disk; what is not written is kept for a while",
            StoreError::Damaged(_) => {
                "nothing: it is set aside and kept; send it to who looks into such things"
            }
            StoreError::TooNew { .. } => {
                "start the version that wrote it, have it go back (`state form FOLDER --to N`), or name another folder"
            }
            StoreError::Finalized { .. } => {
                "start a version that reads the finalized form, or raise forms.most to it; there is no way back"
            }
        }
    }

    /// Classifies any error of the database: what is not of the disk is of a file whose tables are not a
    /// store's.
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
