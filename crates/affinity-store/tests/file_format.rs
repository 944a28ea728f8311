//! The file's forms: today's bytes are read, a step that is killed anywhere leaves one form or the other, and
//! going back loses nothing.

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

/// A file as the program of before forms had numbers wrote it: three clients, a group, two endpoints.
const FORM_1: &[u8] = include_bytes!("fixtures/form-1.redb");

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
fn a_file_of_before_is_read_moved_and_moved_back() {
    let folder = folder(FORM_1);
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
        // Kept aside, where programs of before do not look, and back with the next step up.
        assert_eq!((store.version().unwrap(), store.usage().unwrap()), (1, rows(n)));
        assert!(store.migrate(2).unwrap());
        assert_eq!((store.version().unwrap(), store.usage().unwrap()), (2, rows(n)));
        assert_eq!(contents(&store), before);
        assert!(store.migrate(1).unwrap());
    }
}

/// The process is killed at every single operation of a step in turn, or the power is cut there.
#[test]
fn a_step_killed_anywhere_leaves_one_form_or_the_other() {
    type Step = fn(&Store) -> Result<(), StoreError>;
    let up: Step = |store| store.migrate(2).map(drop);
    let back: Step = |store| store.migrate(1).map(drop);
    let finalize: Step = |store| store.finalize(2);
    for (from, step, to, finalized) in [(1, up, 2, 1), (2, back, 1, 1), (1, finalize, 2, 2)] {
        let (begun, mut seen) = (Disk::new(), [0, 0]);
        let store = begun.open().unwrap();
        store.write(&Changes { updated: vec![client(1), client(2)], ..Changes::default() }).unwrap();
        store.migrate(from).unwrap();
        store.write_usage(&rows(5)).unwrap();
        let before = contents(&store);
        drop(store);
        for fails_at in 0.. {
            let disk = begun.after(None);
            let store = disk.open().unwrap();
            disk.left.store(fails_at, SeqCst);
            let done = step(&store).is_ok();
            drop(store);
            for cut in [None, Some(0), Some(u64::MAX), Some(0x5a5a_a5a5_9696_6969 ^ fails_at)] {
                let store = disk.after(cut).open().unwrap();
                let found = (store.version().unwrap(), store.finalized_version().unwrap());
                assert!(found == (from, 1) || found == (to, finalized), "at {fails_at}: {found:?}");
                assert!(!done || found == (to, finalized), "at {fails_at}: it was said to be done");
                assert_eq!((store.usage().unwrap(), contents(&store)), (rows(5), before.clone()));
                seen[usize::from(found == (to, finalized))] += 1;
            }
            if done {
                break;
            }
        }
        assert!(seen.iter().all(|n| *n > 0), "{seen:?}");
    }
}

fn client(key: u64) -> Record {
    Record::Session { key, holder: EndpointTag::of("s-1", 0.0), at: 5.0 }
}

#[test]
fn what_is_finalized_does_not_go_back_and_what_is_to_come_stays_as_it_is() {
    let folder = folder(FORM_1);
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
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), before, "nothing is set aside");
}

/// A disk that is full does not lose the order: the file is moved once there is room.
#[test]
fn the_writer_moves_the_file_when_the_disk_lets_it() {
    let disk = Disk::new();
    let reopened = disk.clone();
    let writer = Writer::start(Some(disk.open().unwrap()), Box::new(move || reopened.reopen())).unwrap();
    disk.full.store(true, SeqCst);
    assert!(writer.migrate(2, 2));
    disk::until("the disk fails", || writer.stats().is_failing);
    disk.full.store(false, SeqCst);
    disk::until("it is written", || !writer.stats().is_failing);
    drop(writer);
    let store = disk.after(None).open().unwrap();
    assert_eq!((store.version().unwrap(), store.finalized_version().unwrap()), (2, 2));
}
