//! Schema versions of the file, and the migration between them.
//!
//! | version | content |
//! | --- | --- |
//! | 1 | clients, groups and endpoints; usage rows are kept in a table that version 1 programs never open |
//! | 2 | clients, groups and endpoints, rows of tenants' usage, and the finalized version |
//!
//! A migration is one transaction, and so is finalizing, so a process that is killed leaves the file at
//! either the old or the new version. The table of usage rows is only renamed, so a migration takes the same
//! time whatever the number of rows, and migrating back loses no rows. A file of a newer version is refused
//! and left unchanged.

use std::ops::RangeInclusive;

use redb::{ReadableDatabase, ReadableTable, TableDefinition, TableHandle, WriteTransaction};

use crate::error::{DiskError, StoreError};
use crate::record_codec::{decode, encode};
use crate::store::{META, Store, VERSION_KEY, catch_panics};

/// The versions that this program reads and writes.
pub const VERSIONS: RangeInclusive<u64> = 1..=2;
/// The version of a new file.
pub const FIRST: u64 = *VERSIONS.start();
/// The first version with usage rows.
const SECOND: u64 = 2;
/// Key of the finalized version in [`META`].
const FINALIZED_KEY: &str = "finalized";

/// Usage rows of a version 2 file.
const USAGE: TableDefinition<u32, &[u8]> = TableDefinition::new("shares");
/// Usage rows of a version 1 file. Version 1 programs do not know this table.
const HIDDEN_USAGE: TableDefinition<u32, &[u8]> = TableDefinition::new("aside-2");

/// A row of tenants' usage. The store does not interpret its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageRow {
    /// The row's key in the table.
    pub key: u32,
    /// The row's content.
    pub bytes: Vec<u8>,
}

impl Store {
    /// The version of the file.
    ///
    /// # Errors
    /// Where the disk fails or the file is damaged.
    pub fn version(&self) -> Result<u64, StoreError> {
        Ok(self.meta(VERSION_KEY)?.unwrap_or(FIRST))
    }

    /// The finalized version, below which the file is no longer migrated.
    ///
    /// # Errors
    /// Where the disk fails or the file is damaged.
    pub fn finalized_version(&self) -> Result<u64, StoreError> {
        Ok(self.meta(FINALIZED_KEY)?.unwrap_or(FIRST))
    }

    fn meta(&self, key: &str) -> Result<Option<u64>, StoreError> {
        let read = self.database.begin_read().map_err(StoreError::from_redb)?;
        let meta = read.open_table(META).map_err(StoreError::from_redb)?;
        Ok(meta.get(key).map_err(StoreError::from_redb)?.map(|value| value.value()))
    }

    /// Migrates the file to a version in one transaction; returns `false` where the file has that version
    /// already.
    ///
    /// # Errors
    /// [`StoreError::TooNew`] where the version is not supported, [`StoreError::Finalized`] where it is
    /// below the finalized one; and where the disk fails or the file is damaged.
    pub fn migrate(&self, version: u64) -> Result<bool, StoreError> {
        check_supported(version)?;
        let current = self.version()?;
        let finalized = self.finalized_version()?;
        if version < finalized {
            return Err(StoreError::Finalized { finalized, newest_allowed: version });
        }
        if version == current {
            return Ok(false);
        }
        self.set_version(version, finalized)?;
        Ok(true)
    }

    /// Finalizes a version, so that the file can't be migrated below it any more. A file of an older version
    /// is migrated to it.
    ///
    /// # Errors
    /// [`StoreError::TooNew`] where the version is not supported; and where the disk fails or the file is
    /// damaged.
    pub fn finalize(&self, version: u64) -> Result<(), StoreError> {
        check_supported(version)?;
        let current = self.version()?;
        if version <= self.finalized_version()? {
            return Ok(());
        }
        self.set_version(version.max(current), version)
    }

    fn set_version(&self, version: u64, finalized: u64) -> Result<(), StoreError> {
        let change = |write: &WriteTransaction| {
            rename_usage_table(write, version)?;
            let mut meta = write.open_table(META).map_err(StoreError::from_redb)?;
            meta.insert(VERSION_KEY, version).map_err(StoreError::from_redb)?;
            if finalized > FIRST {
                meta.insert(FINALIZED_KEY, finalized).map_err(StoreError::from_redb)?;
            }
            Ok(())
        };
        catch_panics(|| self.transaction(change))
    }

    fn usage_table(&self) -> Result<TableDefinition<'static, u32, &'static [u8]>, StoreError> {
        Ok(if self.version()? >= SECOND { USAGE } else { HIDDEN_USAGE })
    }

    /// Replaces all usage rows, in one transaction.
    ///
    /// # Errors
    /// Where the disk fails or the file is damaged.
    pub fn write_usage(&self, rows: &[UsageRow]) -> Result<(), StoreError> {
        let definition = self.usage_table()?;
        self.transaction(|write| {
            let mut table = write.open_table(definition).map_err(StoreError::from_redb)?;
            table.retain(|_, _| false).map_err(StoreError::from_redb)?;
            for row in rows {
                let bytes = encode(&row.bytes).map_err(DiskError::from).map_err(StoreError::Disk)?;
                table.insert(row.key, bytes.as_slice()).map_err(StoreError::from_redb)?;
            }
            Ok(())
        })
    }

    /// Reads all usage rows; damaged rows are skipped.
    ///
    /// # Errors
    /// Where the disk fails or the file is damaged.
    pub fn usage(&self) -> Result<Vec<UsageRow>, StoreError> {
        let definition = self.usage_table()?;
        let read = self.database.begin_read().map_err(StoreError::from_redb)?;
        let table = match read.open_table(definition) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            table => table.map_err(StoreError::from_redb)?,
        };
        let mut rows = Vec::new();
        for row in table.iter().map_err(StoreError::from_redb)? {
            let (key, value) = row.map_err(StoreError::from_redb)?;
            rows.extend(decode(value.value()).map(|bytes| UsageRow { key: key.value(), bytes }));
        }
        Ok(rows)
    }
}

fn check_supported(version: u64) -> Result<(), StoreError> {
    if VERSIONS.contains(&version) {
        return Ok(());
    }
    Err(StoreError::TooNew { version, newest: *VERSIONS.end() })
}

/// Renames the usage table, if there is one, to its name in a version.
fn rename_usage_table(write: &WriteTransaction, version: u64) -> Result<(), StoreError> {
    let (old, new) = if version >= SECOND { (HIDDEN_USAGE, USAGE) } else { (USAGE, HIDDEN_USAGE) };
    let mut tables = write.list_tables().map_err(StoreError::from_redb)?;
    if tables.any(|table| table.name() == old.name()) {
        write.rename_table(old, new).map_err(StoreError::from_redb)?;
    }
    Ok(())
}
