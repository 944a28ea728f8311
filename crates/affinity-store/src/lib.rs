//! The affinity tables on a disk that lasts.
//!
//! [`Store`] owns one redb file in a folder: it is fed [`Changes`] and gives back [`Record`]s. Each batch is one
//! transaction, so a process killed at any write leaves the state before it or the one after. Every record has a
//! checksum of its own beside the file's. A file that is damaged or another program's is set aside under another
//! name, never deleted and never a reason not to start. One of a later form is neither moved nor read: see [`file_format`].
//! [`writer`] writes behind, from a thread of its own;
//! [`commands`] is what operators use. Nothing here is on the way of an answer.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod commands;
pub mod file_format;
pub mod writer;

use std::collections::HashSet;
use std::fmt;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use log::error;
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition};
use sandgw_affinity::codec::TableKind;
use sandgw_affinity::endpoint_registry::{EndpointName, EndpointTag};
use sandgw_affinity::{Changes, Millis, Record};
use xxhash_rust::xxh3::xxh3_64;

/// The file in the folder.
pub const FILE: &str = "affinity.redb";
/// What the file may keep in memory: it is read once and written behind.
const CACHE_BYTES: usize = 1 << 20;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const FORMAT_KEY: &str = "sandgw-affinity";
const CLIENTS: TableDefinition<u64, &[u8]> = TableDefinition::new("clients");
const GROUPS: TableDefinition<u64, &[u8]> = TableDefinition::new("groups");
/// Groups before clients: they are few, and a plan starts from them.
const TABLES: [(TableDefinition<u64, &[u8]>, TableKind); 2] =
    [(GROUPS, TableKind::Groups), (CLIENTS, TableKind::Sessions)];
const ENDPOINTS: TableDefinition<u32, &[u8]> = TableDefinition::new("streamers");

/// Why a store could not be opened or used.
#[derive(Debug)]
pub enum StoreError {
    /// Another process has it open.
    InUse,
    /// The folder can't be used: it is none, or may not be written.
    Folder(io::Error),
    /// The disk failed or is full.
    Disk(String),
    /// The file is damaged or another program's.
    Damaged(String),
    /// The file is of a form that came after this program; it is left as it is.
    Future {
        /// Its form.
        form: u64,
        /// The newest that is read here.
        newest: u64,
    },
    /// The file can't go back to a form that this process is to write.
    Finalized {
        /// The form below which it is not moved.
        finalized: u64,
        /// The newest form that this process may write.
        most: u64,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::InUse => write!(f, "another process has the store open"),
            StoreError::Folder(e) => write!(f, "the folder can't be used: {e}"),
            StoreError::Disk(e) => write!(f, "the disk failed: {e}"),
            StoreError::Damaged(e) => write!(f, "the file is damaged or of another program: {e}"),
            StoreError::Future { form, newest } => {
                write!(f, "the file is of form {form}, and this process reads up to form {newest}")
            }
            StoreError::Finalized { finalized, most } => {
                write!(
                    f,
                    "the file is finalized at form {finalized}, and this process goes up to form {most}"
                )
            }
        }
    }
}

impl std::error::Error for StoreError {}

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
            StoreError::Future { .. } => {
                "start the version that wrote it, have it go back (`state form FOLDER --to N`), or name another folder"
            }
            StoreError::Finalized { .. } => {
                "start a version that reads the finalized form, or raise forms.most to it; there is no way back"
            }
        }
    }

    fn io(e: io::Error) -> StoreError {
        use io::ErrorKind::*;
        match e.kind() {
            InvalidData | UnexpectedEof => StoreError::Damaged(e.to_string()),
            PermissionDenied | NotFound | NotADirectory | IsADirectory | ReadOnlyFilesystem => {
                StoreError::Folder(e)
            }
            _ => StoreError::Disk(e.to_string()),
        }
    }
}

impl From<StorageError> for StoreError {
    fn from(e: StorageError) -> StoreError {
        match e {
            StorageError::Io(e) => StoreError::io(e),
            StorageError::Corrupted(e) => StoreError::Damaged(e),
            other => StoreError::Disk(other.to_string()),
        }
    }
}

impl From<DatabaseError> for StoreError {
    fn from(e: DatabaseError) -> StoreError {
        match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::InUse,
            DatabaseError::Storage(e) => e.into(),
            other => StoreError::Damaged(other.to_string()),
        }
    }
}

/// The rest of redb's errors are of a file whose tables are not ours, or of the disk.
fn other(e: impl Into<redb::Error>) -> StoreError {
    match e.into() {
        redb::Error::Io(e) => StoreError::io(e),
        redb::Error::Corrupted(e) => StoreError::Damaged(e),
        e @ (redb::Error::PreviousIo | redb::Error::DatabaseClosed) => StoreError::Disk(e.to_string()),
        e => StoreError::Damaged(e.to_string()),
    }
}

/// What came of reading a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Records read.
    pub records: u64,
    /// Records whose checksum or form is wrong; they are passed over.
    pub damaged: u64,
}

/// What came of opening a store.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// What a file that could not be used is called now, and why.
    pub set_aside: Option<(PathBuf, String)>,
}

impl Opened {
    /// The store; what was set aside is said in the log.
    pub fn noted(self) -> Store {
        if let Some((aside, reason)) = self.set_aside {
            error!("state.folder: {reason}; it is kept as {}, and an empty one is begun", aside.display());
        }
        self.store
    }
}

/// The store; see the crate's text.
#[derive(Debug)]
pub struct Store {
    db: Database,
}

impl Store {
    /// Opens the store in a folder, which is made if its parent is there. A file that can't be used is set aside.
    pub fn open(folder: &Path) -> Result<Opened, StoreError> {
        match std::fs::create_dir(folder) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(StoreError::io(e)),
            _ => {}
        }
        let path = folder.join(FILE);
        match Store::open_file(&path) {
            Ok(store) => Ok(Opened { store, set_aside: None }),
            Err(StoreError::Damaged(reason)) => {
                let aside = free_name(&path);
                std::fs::rename(&path, &aside).map_err(StoreError::io)?;
                let store = Store::open_file(&path)?;
                Ok(Opened { store, set_aside: Some((aside, reason)) })
            }
            Err(e) => Err(e),
        }
    }

    fn open_file(path: &Path) -> Result<Store, StoreError> {
        Store::with(|builder| builder.create(path))
    }

    /// Opens a store that is there, and makes none: for tools.
    pub fn existing(folder: &Path) -> Result<Store, StoreError> {
        let path = folder.join(FILE);
        Store::with(|builder| builder.open(&path))
    }

    /// Opens a store however the caller wants; tests pass a backend of their own.
    pub fn with(
        open: impl FnOnce(&redb::Builder) -> Result<Database, DatabaseError>,
    ) -> Result<Store, StoreError> {
        let mut builder = Database::builder();
        // All of it is read at the start in any case, and a file that was altered is not to be trusted.
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        let opened = guarded(|| open(&builder).map_err(StoreError::from))?;
        let store = Store { db: opened };
        guarded(|| store.check_format())?;
        Ok(store)
    }

    /// Whether the tables are of this program and form; an empty file becomes one.
    fn check_format(&self) -> Result<(), StoreError> {
        let read = self.db.begin_read().map_err(other)?;
        let tables = read.list_tables().map_err(other)?.count();
        if tables == 0 {
            drop(read);
            let write = self.db.begin_write().map_err(other)?;
            write.open_table(META).map_err(other)?.insert(FORMAT_KEY, file_format::FIRST).map_err(other)?;
            write.open_table(CLIENTS).map_err(other)?;
            write.open_table(GROUPS).map_err(other)?;
            write.open_table(ENDPOINTS).map_err(other)?;
            return write.commit().map_err(other);
        }
        let meta = read.open_table(META).map_err(other)?;
        match meta.get(FORMAT_KEY).map_err(other)?.map(|v| v.value()) {
            Some(n) if file_format::FORMS.contains(&n) => Ok(()),
            Some(n) if n > *file_format::FORMS.end() => {
                Err(StoreError::Future { form: n, newest: *file_format::FORMS.end() })
            }
            Some(n) => Err(StoreError::Damaged(format!("{n} is no form"))),
            None => Err(StoreError::Damaged("it is no store of affinity tables".into())),
        }
    }

    /// Reads everything, groups first.
    pub fn load(&self, mut each: impl FnMut(Record)) -> Result<Loaded, StoreError> {
        let mut loaded = Loaded::default();
        let read = self.db.begin_read().map_err(other)?;
        for (table, kind) in TABLES {
            for row in read.open_table(table).map_err(other)?.iter().map_err(other)? {
                let (key, value) = row.map_err(other)?;
                match decode::<Record>(value.value()).filter(|r| r.key() == (kind, key.value())) {
                    Some(record) => {
                        loaded.records += 1;
                        each(record);
                    }
                    None => loaded.damaged += 1,
                }
            }
        }
        Ok(loaded)
    }

    /// What the tags in the records stand for.
    pub fn names(&self) -> Result<Vec<EndpointName>, StoreError> {
        let read = self.db.begin_read().map_err(other)?;
        let table = read.open_table(ENDPOINTS).map_err(other)?;
        let rows = table.iter().map_err(other)?;
        rows.map(|row| Ok(decode(row.map_err(other)?.1.value()))).filter_map(Result::transpose).collect()
    }

    /// Writes a batch, whole or not at all.
    pub fn write(&self, changes: &Changes) -> Result<(), StoreError> {
        let write = self.db.begin_write().map_err(other)?;
        {
            let mut clients = write.open_table(CLIENTS).map_err(other)?;
            let mut groups = write.open_table(GROUPS).map_err(other)?;
            for (kind, key) in &changes.removed {
                let table = if *kind == TableKind::Groups { &mut groups } else { &mut clients };
                table.remove(key).map_err(other)?;
            }
            for record in &changes.updated {
                let (kind, key) = record.key();
                let table = if kind == TableKind::Groups { &mut groups } else { &mut clients };
                table.insert(key, encode(record)?.as_slice()).map_err(other)?;
            }
            let mut endpoints = write.open_table(ENDPOINTS).map_err(other)?;
            for name in &changes.names {
                endpoints.insert(u32::from_le_bytes(name.tag.0), encode(name)?.as_slice()).map_err(other)?;
            }
        }
        write.commit().map_err(other)
    }

    /// Drops records set before then, damaged ones, and names that no record uses; says how many records.
    pub fn prune(&self, oldest: Millis) -> Result<u64, StoreError> {
        let write = self.db.begin_write().map_err(other)?;
        let (mut dropped, mut used) = (0, HashSet::<EndpointTag>::new());
        for (table, _) in TABLES {
            let mut table = write.open_table(table).map_err(other)?;
            let keep = |_: u64, value: &[u8]| {
                let record = decode::<Record>(value).filter(|r| r.at() >= oldest);
                match &record {
                    Some(Record::Session { holder, .. }) => used.extend([*holder]),
                    Some(Record::Group { holders, .. }) => used.extend(holders.iter().map(|(tag, _)| *tag)),
                    None => dropped += 1,
                }
                record.is_some()
            };
            table.retain(keep).map_err(other)?;
        }
        {
            let mut endpoints = write.open_table(ENDPOINTS).map_err(other)?;
            endpoints.retain(|tag, _| used.contains(&EndpointTag(tag.to_le_bytes()))).map_err(other)?;
        }
        write.commit().map_err(other)?;
        Ok(dropped)
    }

    /// Gives unused room in the file back; whether there was any.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        self.db.compact().map_err(other)
    }
}

/// Runs what reads a file that may be anything: a panic of the library over it is damage as well.
pub(crate) fn guarded<T>(call: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(call))
        .unwrap_or_else(|_| Err(StoreError::Damaged("reading it failed in an unforeseen way".into())))
}

/// The first name beside a file that nothing has.
fn free_name(path: &Path) -> PathBuf {
    let name = |n: u32| path.with_extension(format!("damaged-{n}"));
    (1..).map(name).find(|p| std::fs::symlink_metadata(p).is_err()).unwrap_or_else(|| name(0))
}

/// A record's bytes behind their checksum.
fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    let bytes = postcard::to_extend(value, vec![0; 4]).map_err(|e| StoreError::Disk(e.to_string()))?;
    let mut bytes = bytes;
    let sum = (xxh3_64(&bytes[4..]) as u32).to_le_bytes();
    bytes[..4].copy_from_slice(&sum);
    Ok(bytes)
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (sum, rest) = bytes.split_first_chunk::<4>()?;
    let right = (xxh3_64(rest) as u32).to_le_bytes() == *sum;
    let (value, left) = right.then(|| postcard::take_from_bytes(rest).ok())??;
    left.is_empty().then_some(value)
}
