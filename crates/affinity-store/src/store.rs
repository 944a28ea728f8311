//! The store: opens the file, and reads and writes its tables.

use std::collections::HashSet;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use log::error;
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use sandgw_affinity::codec::TableKind;
use sandgw_affinity::endpoint_registry::{EndpointName, EndpointTag};
use sandgw_affinity::{Changes, Millis, Record};

use crate::error::{Damage, DiskError, StoreError};
use crate::file_format::{FIRST, VERSIONS};
use crate::record_codec::{decode, encode};

/// Name of the file in the folder.
pub const FILE: &str = "affinity.redb";
/// Size of the database's cache. A small cache suffices, as the file is read once and then only written.
const CACHE_BYTES: usize = 1 << 20;

pub(crate) const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Key of the file's version in [`META`].
pub(crate) const VERSION_KEY: &str = "sandgw-affinity";
const CLIENTS: TableDefinition<u64, &[u8]> = TableDefinition::new("clients");
const GROUPS: TableDefinition<u64, &[u8]> = TableDefinition::new("groups");
const ENDPOINTS: TableDefinition<u32, &[u8]> = TableDefinition::new("streamers");

/// A database table of records, and the affinity table that it stores.
struct RecordTable {
    definition: TableDefinition<'static, u64, &'static [u8]>,
    kind: TableKind,
}

/// The tables of records in the order in which they are read: groups first, as there are few and the
/// assignment of groups depends on them.
const RECORD_TABLES: [RecordTable; 2] = [
    RecordTable { definition: GROUPS, kind: TableKind::Groups },
    RecordTable { definition: CLIENTS, kind: TableKind::Sessions },
];

/// The result of reading a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loaded {
    /// Records read.
    pub records: u64,
    /// Records skipped because their checksum or encoding is wrong.
    pub damaged: u64,
}

/// A file that could not be used and was renamed.
#[derive(Debug)]
pub struct SetAside {
    /// The file's new path.
    pub path: PathBuf,
    /// Why the file could not be used.
    pub reason: Damage,
}

/// The result of opening a store.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// The unusable file that the store replaces, if there was one.
    pub set_aside: Option<SetAside>,
}

impl Opened {
    /// Returns the store; logs the file that was set aside, if there was one.
    pub fn log_set_aside(self) -> Store {
        if let Some(SetAside { path, reason }) = self.set_aside {
            error!("state.folder: {reason}; it is kept as {}, and an empty one is begun", path.display());
        }
        self.store
    }
}

/// An open store; see the crate's documentation.
#[derive(Debug)]
pub struct Store {
    pub(crate) database: Database,
}

impl Store {
    /// Opens the store in a folder. The folder is created if its parent exists; a file that can't be used is
    /// set aside and replaced by an empty store.
    ///
    /// # Errors
    /// Where another process has the store open, the folder can't be used, the disk fails, or the file is of
    /// a newer version.
    pub fn open(folder: &Path) -> Result<Opened, StoreError> {
        match std::fs::create_dir(folder) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e.into()),
            _ => {}
        }
        let path = folder.join(FILE);
        match Store::create(&path) {
            Ok(store) => Ok(Opened { store, set_aside: None }),
            Err(StoreError::Damaged(reason)) => {
                let aside = unused_path(&path);
                std::fs::rename(&path, &aside)?;
                let store = Store::create(&path)?;
                Ok(Opened { store, set_aside: Some(SetAside { path: aside, reason }) })
            }
            Err(e) => Err(e),
        }
    }

    fn create(path: &Path) -> Result<Store, StoreError> {
        Store::open_with(|builder| builder.create(path))
    }

    /// Opens the existing store in a folder; creates no store and sets no file aside.
    ///
    /// # Errors
    /// As for [`Store::open`], and where there is no store or the file is damaged.
    pub fn open_existing(folder: &Path) -> Result<Store, StoreError> {
        let path = folder.join(FILE);
        Store::open_with(|builder| builder.open(&path))
    }

    /// Opens a store by a function of the caller's, such as one that uses the storage backend of a test.
    ///
    /// # Errors
    /// As for [`Store::open`], and where the file is damaged.
    pub fn open_with(
        open: impl FnOnce(&redb::Builder) -> Result<Database, DatabaseError>,
    ) -> Result<Store, StoreError> {
        let mut builder = Database::builder();
        // The whole file is read at the start in any case, so checking its integrity then costs little more.
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        let database = catch_panics(|| Ok(open(&builder)?))?;
        let store = Store { database };
        catch_panics(|| store.check_version())?;
        Ok(store)
    }

    /// Checks that the file is a store of a supported version; creates the tables in an empty file.
    fn check_version(&self) -> Result<(), StoreError> {
        let read = self.database.begin_read().map_err(StoreError::from_redb)?;
        let table_count = read.list_tables().map_err(StoreError::from_redb)?.count();
        if table_count == 0 {
            drop(read);
            return self.create_tables();
        }
        let meta = read.open_table(META).map_err(StoreError::from_redb)?;
        let version = meta.get(VERSION_KEY).map_err(StoreError::from_redb)?.map(|value| value.value());
        match version {
            Some(version) if VERSIONS.contains(&version) => Ok(()),
            Some(version) if version > *VERSIONS.end() => {
                Err(StoreError::TooNew { version, newest: *VERSIONS.end() })
            }
            Some(version) => Err(Damage::InvalidVersion(version).into()),
            None => Err(Damage::NoVersion.into()),
        }
    }

    fn create_tables(&self) -> Result<(), StoreError> {
        self.transaction(|write| {
            let mut meta = write.open_table(META).map_err(StoreError::from_redb)?;
            meta.insert(VERSION_KEY, FIRST).map_err(StoreError::from_redb)?;
            write.open_table(CLIENTS).map_err(StoreError::from_redb)?;
            write.open_table(GROUPS).map_err(StoreError::from_redb)?;
            write.open_table(ENDPOINTS).map_err(StoreError::from_redb)?;
            Ok(())
        })
    }

    /// Runs `change` in a write transaction, which is committed if `change` succeeds and has no effect
    /// otherwise.
    pub(crate) fn transaction<T>(
        &self,
        change: impl FnOnce(&WriteTransaction) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let write = self.database.begin_write().map_err(StoreError::from_redb)?;
        let result = change(&write)?;
        write.commit().map_err(StoreError::from_redb)?;
        Ok(result)
    }

    /// Reads all records, groups first.
    ///
    /// # Errors
    /// Where the disk fails or the file is damaged; the records read before the failure were passed to
    /// `each`.
    pub fn load(&self, mut each: impl FnMut(Record)) -> Result<Loaded, StoreError> {
        let mut loaded = Loaded::default();
        let read = self.database.begin_read().map_err(StoreError::from_redb)?;
        for RecordTable { definition, kind } in RECORD_TABLES {
            let table = read.open_table(definition).map_err(StoreError::from_redb)?;
            for row in table.iter().map_err(StoreError::from_redb)? {
                let (key, value) = row.map_err(StoreError::from_redb)?;
                let record = decode::<Record>(value.value());
                match record.filter(|record| record.key() == (kind, key.value())) {
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

    /// Reads the names of the endpoints that the tags in the records identify.
    ///
    /// # Errors
    /// Where the disk fails or the file is damaged.
    pub fn endpoint_names(&self) -> Result<Vec<EndpointName>, StoreError> {
        let read = self.database.begin_read().map_err(StoreError::from_redb)?;
        let table = read.open_table(ENDPOINTS).map_err(StoreError::from_redb)?;
        let mut names = Vec::new();
        for row in table.iter().map_err(StoreError::from_redb)? {
            let (_, value) = row.map_err(StoreError::from_redb)?;
            names.extend(decode::<EndpointName>(value.value()));
        }
        Ok(names)
    }

    /// Writes a batch of changes in one transaction.
    ///
    /// # Errors
    /// Where the disk fails or the file is damaged.
    pub fn write(&self, changes: &Changes) -> Result<(), StoreError> {
        self.transaction(|write| {
            let mut clients = write.open_table(CLIENTS).map_err(StoreError::from_redb)?;
            let mut groups = write.open_table(GROUPS).map_err(StoreError::from_redb)?;
            for (kind, key) in &changes.removed {
                let table = if *kind == TableKind::Groups { &mut groups } else { &mut clients };
                table.remove(key).map_err(StoreError::from_redb)?;
            }
            for record in &changes.updated {
                let (kind, key) = record.key();
                let table = if kind == TableKind::Groups { &mut groups } else { &mut clients };
                let bytes = encode(record).map_err(DiskError::from).map_err(StoreError::Disk)?;
                table.insert(key, bytes.as_slice()).map_err(StoreError::from_redb)?;
            }
            write_endpoint_names(write, &changes.names)
        })
    }

    /// Removes records last set before `oldest`, damaged records, and endpoint names that no record uses.
    /// Returns the number of records removed.
    ///
    /// # Errors
    /// Where the disk fails or the file is damaged.
    pub fn prune(&self, oldest: Millis) -> Result<u64, StoreError> {
        self.transaction(|write| {
            let mut removed = 0;
            let mut used_tags = HashSet::<EndpointTag>::new();
            for RecordTable { definition, .. } in RECORD_TABLES {
                let mut table = write.open_table(definition).map_err(StoreError::from_redb)?;
                let retain = |_: u64, value: &[u8]| {
                    let record = decode::<Record>(value).filter(|record| record.at() >= oldest);
                    match &record {
                        Some(record) => add_tags(record, &mut used_tags),
                        None => removed += 1,
                    }
                    record.is_some()
                };
                table.retain(retain).map_err(StoreError::from_redb)?;
            }
            let mut endpoints = write.open_table(ENDPOINTS).map_err(StoreError::from_redb)?;
            let is_used = |tag: u32| used_tags.contains(&EndpointTag(tag.to_le_bytes()));
            endpoints.retain(|tag, _| is_used(tag)).map_err(StoreError::from_redb)?;
            Ok(removed)
        })
    }

    /// Releases unused space in the file; returns whether any was released.
    ///
    /// # Errors
    /// Where the disk fails or the file is damaged.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        self.database.compact().map_err(StoreError::from_redb)
    }
}

fn write_endpoint_names(write: &WriteTransaction, names: &[EndpointName]) -> Result<(), StoreError> {
    let mut endpoints = write.open_table(ENDPOINTS).map_err(StoreError::from_redb)?;
    for name in names {
        let bytes = encode(name).map_err(DiskError::from).map_err(StoreError::Disk)?;
        let tag = u32::from_le_bytes(name.tag.0);
        endpoints.insert(tag, bytes.as_slice()).map_err(StoreError::from_redb)?;
    }
    Ok(())
}

fn add_tags(record: &Record, tags: &mut HashSet<EndpointTag>) {
    match record {
        Record::Session { holder, .. } => tags.extend([*holder]),
        Record::Group { holders, .. } => tags.extend(holders.iter().map(|(tag, _)| *tag)),
    }
}

/// Runs a function that reads a file of possibly invalid content. A panic of the database library is reported
/// as damage.
pub(crate) fn catch_panics<T>(call: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(|_| Err(Damage::Panic.into()))
}

/// The first unused path, in the folder of a file, for setting the file aside.
fn unused_path(path: &Path) -> PathBuf {
    let candidate = |n: u32| path.with_extension(format!("damaged-{n}"));
    let is_unused = |path: &PathBuf| std::fs::symlink_metadata(path).is_err();
    (1..).map(candidate).find(is_unused).unwrap_or_else(|| candidate(0))
}
