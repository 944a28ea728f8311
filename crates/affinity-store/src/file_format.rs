//! The forms of the file, and the steps between them.
//!
//! | form | what the file holds |
//! | --- | --- |
//! | 1 | clients, groups, endpoints; what form 1 can't say lies in a table that its programs never open |
//! | 2 | the same, rows of the members' shares, and the finalized form |
//!
//! A step is one transaction, and so is finalizing: a process killed in it leaves the form before or the one after.
//! The rows of shares only change the name of their table, so that a step costs the same however many entries
//! there are, and going back loses none of them. A file of a form to come is refused and stays as it is.

use std::ops::RangeInclusive;

use redb::{ReadableDatabase, ReadableTable, TableDefinition};

use crate::{FORMAT_KEY, META, Store, StoreError, decode, encode, guarded, other};

/// The forms that are read and written.
pub const FORMS: RangeInclusive<u64> = 1..=2;
/// The first form, in which a new file is begun.
pub const FIRST: u64 = *FORMS.start();
/// The one with rows of shares.
const SECOND: u64 = 2;
const FINALIZED_KEY: &str = "finalized";

/// Rows of shares: in use, and kept aside while the file is of form 1.
const SHARES: TableDefinition<u32, &[u8]> = TableDefinition::new("shares");
const ASIDE: TableDefinition<u32, &[u8]> = TableDefinition::new("aside-2");

/// A row of the members' shares, as whoever sums them wants it kept: it is not looked into here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareRow {
    /// What it is kept under.
    pub key: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

impl Store {
    /// The form that the file is of.
    pub fn form(&self) -> Result<u64, StoreError> {
        self.meta(FORMAT_KEY).map(|form| form.unwrap_or(FIRST))
    }

    /// The form below which the file is not moved any more.
    pub fn finalized(&self) -> Result<u64, StoreError> {
        self.meta(FINALIZED_KEY).map(|form| form.unwrap_or(FIRST))
    }

    fn meta(&self, key: &str) -> Result<Option<u64>, StoreError> {
        let read = self.db.begin_read().map_err(other)?;
        let meta = read.open_table(META).map_err(other)?;
        Ok(meta.get(key).map_err(other)?.map(|v| v.value()))
    }

    /// Moves the file to a form, step by step within one transaction; whether there was anything to do. It is refused
    /// where the form is not known here, or below what is finalized.
    pub fn move_to(&self, form: u64) -> Result<bool, StoreError> {
        if !FORMS.contains(&form) {
            return Err(StoreError::Future { form, newest: *FORMS.end() });
        }
        let (from, finalized) = (self.form()?, self.finalized()?);
        if form < finalized {
            return Err(StoreError::Finalized { finalized, most: form });
        }
        if form == from {
            return Ok(false);
        }
        guarded(|| self.step(form, finalized)).map(|()| true)
    }

    /// Ends the possibility to go back below a form: the file is of it afterwards, or a later one.
    pub fn finalize(&self, form: u64) -> Result<(), StoreError> {
        if !FORMS.contains(&form) {
            return Err(StoreError::Future { form, newest: *FORMS.end() });
        }
        let (from, finalized) = (self.form()?, self.finalized()?);
        if form <= finalized { Ok(()) } else { guarded(|| self.step(form.max(from), form)) }
    }

    fn step(&self, form: u64, finalized: u64) -> Result<(), StoreError> {
        let write = self.db.begin_write().map_err(other)?;
        let (there, wanted) = if form >= SECOND { (ASIDE, SHARES) } else { (SHARES, ASIDE) };
        let names = write.list_tables().map_err(other)?;
        let kept = names.map(|t| redb::TableHandle::name(&t).to_owned()).collect::<Vec<_>>();
        if kept.iter().any(|name| name == redb::TableHandle::name(&there)) {
            write.rename_table(there, wanted).map_err(other)?;
        }
        {
            let mut meta = write.open_table(META).map_err(other)?;
            meta.insert(FORMAT_KEY, form).map_err(other)?;
            if finalized > FIRST {
                meta.insert(FINALIZED_KEY, finalized).map_err(other)?;
            }
        }
        write.commit().map_err(other)
    }

    fn rows_of(&self) -> Result<TableDefinition<'static, u32, &'static [u8]>, StoreError> {
        Ok(if self.form()? >= SECOND { SHARES } else { ASIDE })
    }

    /// Writes the rows of shares in place of those before, whole or not at all. In form 1 they are kept aside.
    pub fn write_shares(&self, rows: &[ShareRow]) -> Result<(), StoreError> {
        let table = self.rows_of()?;
        let write = self.db.begin_write().map_err(other)?;
        {
            let mut table = write.open_table(table).map_err(other)?;
            table.retain(|_, _| false).map_err(other)?;
            for row in rows {
                table.insert(row.key, encode(&row.bytes)?.as_slice()).map_err(other)?;
            }
        }
        write.commit().map_err(other)
    }

    /// The rows of shares; damaged ones are passed over.
    pub fn shares(&self) -> Result<Vec<ShareRow>, StoreError> {
        let table = self.rows_of()?;
        let read = self.db.begin_read().map_err(other)?;
        let table = match read.open_table(table) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            table => table.map_err(other)?,
        };
        let mut rows = Vec::new();
        for row in table.iter().map_err(other)? {
            let (key, bytes) = row.map_err(other)?;
            rows.extend(decode(bytes.value()).map(|bytes| ShareRow { key: key.value(), bytes }));
        }
        Ok(rows)
    }
}
