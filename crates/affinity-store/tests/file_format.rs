//! Tests of the file's schema versions: a file of version 1 is read, an interrupted migration leaves the old
//! or the new version, and migrating back loses nothing.

mod disk;

use std::path::Path;
use std::sync::atomic::Ordering::SeqCst;

use disk::Disk;
use sandgw_affinity::codec::TableKind;
use sandgw_affinity::endpoint_registry::EndpointTag;
use sandgw_affinity::{Changes, Record};
use sandgw_affinity_store::file_format::UsageRow;
use sandgw_affinity_store::writer::Writer;
use sandgw_affinity_store::{FILE, Store, StoreError};

/// A file written by a program from before schema versions were numbered: three clients, a group, two
/// endpoints.
const VERSION_1_FILE: &[u8] = include_bytes!("fixtures/form-1.redb");

fn contents(store: &Store) -> Vec<((TableKind, u64), Record)> {
    let mut all = Vec::new();
    let loaded = store.load(|record| all.push((record.key(), record))).unwrap();
    assert_eq!(loaded.damaged, 0);
    all
}

fn rows(n: u32) -> Vec<UsageRow> {
    (0..n).map(|key| UsageRow { key, bytes: vec![key as u8; 9] }).collect()
}

fn folder(bytes: &[u8]) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join(FILE), bytes).unwrap();
    folder
}

fn open(path: &Path) -> Store {
    let opened = Store::open(path).unwrap();
    assert!(opened.set_aside.is_none());
    opened.store
}

#[test]
fn version_1_file_is_read_migrated_and_migrated_back() {
    let folder = folder(VERSION_1_FILE);
    let store = open(folder.path());
    assert_eq!((store.version().unwrap(), store.endpoint_names().unwrap().len()), (1, 2));
    let before = contents(&store);
    assert_eq!(before.len(), 4);
    let holder = EndpointTag::of("10.0.0.1:8003", 0.0);
    let client = Record::Session { key: 0xab_cdef_0123, holder, at: 3000.5 };
    assert!(before.iter().any(|(_, r)| *r == client));
    for n in [0, 3, 2] {
        assert!(store.migrate(2).unwrap() && !store.migrate(2).unwrap());
        store.write_usage(&rows(n)).unwrap();
        assert!(store.migrate(1).unwrap());
        // In version 1 the usage rows are in a table that earlier programs do not open. The next migration to
        // version 2 brings them back.
        assert_eq!((store.version().unwrap(), store.usage().unwrap()), (1, rows(n)));
        assert!(store.migrate(2).unwrap());
        assert_eq!((store.version().unwrap(), store.usage().unwrap()), (2, rows(n)));
        assert_eq!(contents(&store), before);
        assert!(store.migrate(1).unwrap());
    }
}

/// The process is killed, or the power is cut, at each single disk operation of a migration in turn.
#[test]
fn interrupted_migration_leaves_one_version_or_the_other() {
    type Migration = fn(&Store) -> Result<(), StoreError>;
    let upgrade: Migration = |store| store.migrate(2).map(drop);
    let downgrade: Migration = |store| store.migrate(1).map(drop);
    let finalize: Migration = |store| store.finalize(2);
    for (from, migration, to, finalized) in [(1, upgrade, 2, 1), (2, downgrade, 1, 1), (1, finalize, 2, 2)] {
        let (initial_disk, mut outcome_counts) = (Disk::new(), [0, 0]);
        let store = initial_disk.open().unwrap();
        store.write(&Changes { updated: vec![client(1), client(2)], ..Changes::default() }).unwrap();
        store.migrate(from).unwrap();
        store.write_usage(&rows(5)).unwrap();
        let before = contents(&store);
        drop(store);
        for fails_at in 0.. {
            let disk = initial_disk.after_restart(None);
            let store = disk.open().unwrap();
            disk.remaining_operations.store(fails_at, SeqCst);
            let is_done = migration(&store).is_ok();
            drop(store);
            for power_cut in [None, Some(0), Some(u64::MAX), Some(0x5a5a_a5a5_9696_6969 ^ fails_at)] {
                let store = disk.after_restart(power_cut).open().unwrap();
                let found = (store.version().unwrap(), store.finalized_version().unwrap());
                assert!(
                    found == (from, 1) || found == (to, finalized),
                    "killed at operation {fails_at}: {found:?}"
                );
                assert!(
                    !is_done || found == (to, finalized),
                    "killed at operation {fails_at}: the migration was reported as done"
                );
                assert_eq!((store.usage().unwrap(), contents(&store)), (rows(5), before.clone()));
                outcome_counts[usize::from(found == (to, finalized))] += 1;
            }
            if is_done {
                break;
            }
        }
        assert!(outcome_counts.iter().all(|n| *n > 0), "{outcome_counts:?}");
    }
}

fn client(key: u64) -> Record {
    Record::Session { key, holder: EndpointTag::of("s-1", 0.0), at: 5.0 }
}

#[test]
fn finalized_file_is_not_downgraded_and_newer_file_is_left_unchanged() {
    let folder = folder(VERSION_1_FILE);
    let store = open(folder.path());
    store.finalize(2).unwrap();
    let refused = store.migrate(1);
    assert!(matches!(refused, Err(StoreError::Finalized { finalized: 2, newest_allowed: 1 })), "{refused:?}");
    assert!(matches!(store.migrate(3), Err(StoreError::TooNew { version: 3, .. })));
    drop(store);
    assert_eq!(open(folder.path()).finalized_version().unwrap(), 2);
    let path = folder.path().join(FILE);
    let db = redb::Database::create(&path).unwrap();
    let write = db.begin_write().unwrap();
    let meta = redb::TableDefinition::<&str, u64>::new("meta");
    write.open_table(meta).unwrap().insert("sandgw-affinity", 7).unwrap();
    write.commit().unwrap();
    drop(db);
    let before = std::fs::read_dir(folder.path()).unwrap().count();
    let refused = Store::open(folder.path()).unwrap_err();
    assert!(refused.to_string().contains("form 7") && refused.help().contains("version that wrote it"));
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), before, "no file is set aside");
}

/// A full disk does not lose the request to migrate: the file is migrated once there is room.
#[test]
fn writer_migrates_the_file_once_the_disk_has_room() {
    let disk = Disk::new();
    let reopened = disk.clone();
    let writer = Writer::start(Some(disk.open().unwrap()), Box::new(move || reopened.reopen())).unwrap();
    disk.is_full.store(true, SeqCst);
    assert!(writer.migrate(2, 2));
    disk::wait_until("the disk fails", || writer.stats().is_failing);
    disk.is_full.store(false, SeqCst);
    disk::wait_until("the file is migrated", || !writer.stats().is_failing);
    drop(writer);
    let store = disk.after_restart(None).open().unwrap();
    assert_eq!((store.version().unwrap(), store.finalized_version().unwrap()), (2, 2));
}
