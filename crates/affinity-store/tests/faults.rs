//! The store under failures: the process killed or the power cut at any write, damaged and foreign files, a
//! disk that is full, a folder that can't be used.

mod disk;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;

use disk::{Disk, until};
use proptest::prelude::*;
use sandgw_affinity::codec::TableKind;
use sandgw_affinity::endpoint_registry::{EndpointName, EndpointTag};
use sandgw_affinity::{Changes, Record};
use sandgw_affinity_store::writer::Writer;
use sandgw_affinity_store::{FILE, SetAside, Store, StoreError, commands};

fn client(key: u64, at: f64) -> Record {
    Record::Session { key, holder: EndpointTag::of("s-1", 0.0), at }
}

fn group(key: u64, load: f32) -> Record {
    Record::Group {
        key,
        holders: vec![(EndpointTag::of("s-1", 0.0), load), (EndpointTag::of("s-2", 5.0), 0.5)],
        at: 7.0,
    }
}

fn set(records: impl IntoIterator<Item = Record>) -> Changes {
    Changes { updated: records.into_iter().collect(), ..Changes::default() }
}

fn contents(store: &Store) -> BTreeMap<(TableKind, u64), Record> {
    let mut all = BTreeMap::new();
    let loaded = store.load(|record| drop(all.insert(record.key(), record))).unwrap();
    assert_eq!(loaded.damaged, 0);
    all
}

/// Three batches that set, change and drop entries.
fn batches() -> Vec<Changes> {
    let mut second = set((40..90).map(|k| client(k, 2.0)).chain((0..10).map(|k| group(k, 3.0))));
    second.removed = (0..30).map(|k| (TableKind::Sessions, k)).chain([(TableKind::Groups, 50)]).collect();
    vec![
        set((0..60).map(|k| client(k, 1.0)).chain((0..60).map(|k| group(k, 1.0)))),
        second,
        set((0..200).map(|k| client(k << 30, 3.0))),
    ]
}

/// The state after each batch, from nothing on.
fn states() -> Vec<BTreeMap<(TableKind, u64), Record>> {
    let mut states = vec![BTreeMap::new()];
    for batch in batches() {
        let mut next = states.last().unwrap().clone();
        batch.removed.iter().for_each(|key| drop(next.remove(key)));
        next.extend(batch.updated.into_iter().map(|r| (r.key(), r)));
        states.push(next);
    }
    states
}

/// The process is killed at every single operation in turn, or the power is cut there: the store opens
/// again, with the state before the batch or the one after, never between, and never older than what was
/// said to be written.
#[test]
fn a_store_killed_at_any_write_has_the_state_before_or_after() {
    let (states, mut seen) = (states(), [0; 4]);
    let whole = Disk::new();
    let store = whole.open().unwrap();
    batches().iter().for_each(|b| store.write(b).unwrap());
    drop(store);
    let operations = whole.operations.load(SeqCst);
    assert!(operations > 30, "{operations}");
    for fails_at in 0..operations {
        let disk = Disk::new();
        disk.left.store(fails_at, SeqCst);
        let mut done = 0;
        if let Ok(store) = disk.open() {
            for batch in batches() {
                if store.write(&batch).is_err() {
                    break;
                }
                done += 1;
            }
            drop(store);
        }
        let cuts =
            [None, Some(0), Some(u64::MAX), Some(0x5a5a_a5a5_9696_6969 ^ fails_at.wrapping_mul(0x9e37_79b9))];
        for cut in cuts {
            let store = match disk.after(cut).open() {
                Ok(store) => store,
                // The very first bytes of a new file: it is set aside like any other that can't be read.
                Err(StoreError::Damaged(_)) if done == 0 => continue,
                Err(e) => panic!("killed at {fails_at}, {cut:?}: {e}"),
            };
            let found = contents(&store);
            let at = states.iter().position(|s| *s == found);
            let at = at.unwrap_or_else(|| panic!("killed at {fails_at}, {cut:?}: between two states"));
            assert!(
                at == done || at == done + 1,
                "killed at {fails_at}, {cut:?}: state {at} after {done} batches"
            );
            seen[at] += 1;
            store.write(&set([client(1, 1.0)])).unwrap();
        }
    }
    assert!(seen.iter().all(|n| *n > 0), "states found: {seen:?}");
}

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().unwrap()
}

fn written(folder: &std::path::Path) -> Vec<u8> {
    let store = Store::open(folder).unwrap().store;
    batches().iter().for_each(|b| store.write(b).unwrap());
    drop(store);
    std::fs::read(folder.join(FILE)).unwrap()
}

#[test]
fn a_foreign_or_cut_file_is_set_aside_and_kept() {
    let folder = folder();
    let good = written(folder.path());
    let path = folder.path().join(FILE);
    let text = b"not a store of anything, but somebody's only copy of it".to_vec();
    let files = [text, good[..good.len() / 2].to_vec(), good[..100].to_vec(), vec![0; 8192]];
    for (bytes, n) in files.iter().zip(1..) {
        std::fs::write(&path, bytes).unwrap();
        let opened = Store::open(folder.path()).unwrap();
        let SetAside { path: aside, reason } = opened.set_aside.expect("set aside");
        assert_eq!(aside, folder.path().join(format!("affinity.damaged-{n}")), "{reason}");
        assert_eq!(std::fs::read(&aside).unwrap(), *bytes);
        assert!(contents(&opened.store).is_empty());
    }
    // Another program's tables, in the same kind of file.
    std::fs::remove_file(&path).unwrap();
    let other = redb::Database::create(&path).unwrap();
    let write = other.begin_write().unwrap();
    write.open_table(redb::TableDefinition::<u64, u64>::new("meta")).unwrap().insert(1, 2).unwrap();
    write.commit().unwrap();
    drop(other);
    assert!(Store::open(folder.path()).unwrap().set_aside.is_some());
    // An empty file is a new one.
    std::fs::write(&path, "").unwrap();
    assert!(Store::open(folder.path()).unwrap().set_aside.is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever bytes are changed, a start is never refused, and nothing is read that was not written.
    #[test]
    fn a_damaged_file_never_stops_a_start(flips in proptest::collection::vec((any::<usize>(), 1u8..), 1..40)) {
        let folder = folder();
        let mut bytes = written(folder.path());
        for (at, by) in flips {
            let at = at % bytes.len();
            bytes[at] ^= by;
        }
        std::fs::write(folder.path().join(FILE), bytes).unwrap();
        let opened = Store::open(folder.path());
        let store = opened.map_err(|e| TestCaseError::fail(e.to_string()))?.store;
        let states = states();
        let known = |r: &Record| states.iter().any(|s| s.get(&r.key()) == Some(r));
        let mut strange = 0;
        store.load(|r| strange += u64::from(!known(&r))).map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert_eq!(strange, 0);
    }
}

/// One record's bytes are wrong though the file's own sums are right: it alone is passed over, and dropped
/// in time.
#[test]
fn a_damaged_record_is_passed_over_and_pruned() {
    let folder = folder();
    drop(Store::open(folder.path()).unwrap());
    let db = redb::Database::create(folder.path().join(FILE)).unwrap();
    let write = db.begin_write().unwrap();
    let table = redb::TableDefinition::<u64, &[u8]>::new("clients");
    for (key, value) in [(1, &b""[..]), (2, b"12345678"), (3, &[0; 64])] {
        write.open_table(table).unwrap().insert(key, value).unwrap();
    }
    write.commit().unwrap();
    drop(db);
    let store = Store::open(folder.path()).unwrap().store;
    let names = vec![
        EndpointName { tag: EndpointTag::of("s-1", 0.0), id: "s-1".into(), started: 0.0 },
        EndpointName { tag: EndpointTag::of("s-9", 0.0), id: "s-9".into(), started: 0.0 },
    ];
    store.write(&Changes { names, ..set([client(4, 100.0), client(5, 10.0)]) }).unwrap();
    let loaded = store.load(|_| {}).unwrap();
    assert_eq!((loaded.records, loaded.damaged), (2, 3));
    assert_eq!(store.prune(50.0).unwrap(), 4);
    assert_eq!(contents(&store).into_values().collect::<Vec<_>>(), [client(4, 100.0)]);
    assert_eq!(store.endpoint_names().unwrap().len(), 1, "names that nothing uses go as well");
}

#[test]
fn a_second_owner_and_a_folder_that_is_none_are_refused() {
    let folder = folder();
    let first = Store::open(folder.path()).unwrap().store;
    assert!(matches!(Store::open(folder.path()), Err(StoreError::InUse)));
    assert!(matches!(commands::verify(folder.path()), Err(StoreError::InUse)));
    drop(first);
    assert!(Store::open(folder.path()).is_ok());
    let file = folder.path().join("file");
    std::fs::write(&file, "").unwrap();
    for bad in [file.clone(), file.join("below"), folder.path().join("no/such/parent")] {
        let refused = Store::open(&bad);
        assert!(matches!(refused, Err(StoreError::Folder(_))), "{bad:?}: {refused:?}");
    }
    assert!(matches!(commands::verify(&folder.path().join("none")), Err(StoreError::Folder(_))));
}

/// The disk is full for a while: batches are kept, the last word of each entry counts, and it is written
/// once there is room. Whoever hands batches over never waits.
#[test]
fn a_full_disk_is_waited_out() {
    let disk = Disk::new();
    let reopened = disk.clone();
    let writer = Writer::start(Some(disk.open().unwrap()), Box::new(move || reopened.reopen())).unwrap();
    writer.write(set([client(1, 1.0), client(2, 1.0)])).unwrap();
    until("the first batch is written", || writer.stats().entries == 2);
    disk.full.store(true, SeqCst);
    let hand = |mut changes: Changes| {
        while let Err(back) = writer.write(changes) {
            changes = back;
            std::thread::yield_now();
        }
    };
    hand(set([client(1, 2.0), client(3, 2.0)]));
    until("the disk fails", || writer.stats().is_failing);
    hand(Changes { removed: vec![(TableKind::Sessions, 2)], ..set([client(1, 3.0)]) });
    // Far more than is kept.
    for i in 0..80u64 {
        hand(set((0..1000).map(|k| client(1 << 20 | i << 10 | k, 1.0))));
    }
    until("the queue is empty again", || writer.stats().dropped_entries > 0);
    assert!(writer.stats().failures >= 1 && writer.stats().entries == 2 && !writer.take_resync_request());
    disk.full.store(false, SeqCst);
    until("the disk is written again", || !writer.stats().is_failing);
    // What was left out is asked for, once.
    assert!(writer.take_resync_request() && !writer.take_resync_request());
    drop(writer);
    let found = contents(&disk.after(None).open().unwrap());
    assert_eq!(found.get(&(TableKind::Sessions, 1)), Some(&client(1, 3.0)));
    assert_eq!(found.get(&(TableKind::Sessions, 2)), None);
    assert_eq!(found.get(&(TableKind::Sessions, 3)), Some(&client(3, 2.0)));
    assert!(found.len() > 16_000 && found.len() <= 16_385, "{}", found.len());
}

/// Batches that came more often than a disk was tried again put the next try off for ever: no return as
/// long as there was traffic.
#[test]
fn a_disk_with_room_again_is_written_however_often_batches_come() {
    let disk = Disk::new();
    let reopened = disk.clone();
    let writer = Writer::start(Some(disk.open().unwrap()), Box::new(move || reopened.reopen())).unwrap();
    disk.full.store(true, SeqCst);
    let hand = |at: f64| writer.write(set([client(1, at)])).is_ok();
    until("the disk fails", || hand(1.0) && writer.stats().is_failing);
    disk.full.store(false, SeqCst);
    until("it is written", || {
        hand(2.0);
        !writer.stats().is_failing
    });
}

/// A disk that fails at the start does not stop one: the store is made once it can be.
#[test]
fn a_store_that_failed_at_the_start_is_opened_later() {
    let disk = Disk::new();
    disk.full.store(true, SeqCst);
    assert!(matches!(disk.open(), Err(StoreError::Disk(_))));
    let reopened = disk.clone();
    let writer = Writer::start(None, Box::new(move || reopened.reopen())).unwrap();
    writer.write(set([client(1, 1.0)])).unwrap();
    assert!(writer.stats().is_failing);
    disk.full.store(false, SeqCst);
    until("it is written", || writer.stats().entries == 1);
    writer.prune(10.0);
    drop(writer);
    assert!(contents(&disk.after(None).open().unwrap()).is_empty(), "older than asked for");
}

#[test]
fn what_is_exported_can_be_imported_elsewhere_and_bad_lines_are_refused_whole() {
    let (one, other) = (folder(), folder());
    written(one.path());
    let store = Store::open(one.path()).unwrap().store;
    let names = vec![EndpointName { tag: EndpointTag::of("s-1", 0.0), id: "s-1".into(), started: 0.0 }];
    store.write(&Changes { names: names.clone(), ..Changes::default() }).unwrap();
    let wanted = contents(&store);
    drop(store);
    let mut text = Vec::new();
    let lines = commands::export(one.path(), &mut text).unwrap();
    assert_eq!(lines as usize, wanted.len() + 1);
    assert_eq!(commands::import(other.path(), &text[..]).unwrap(), lines);
    let store = Store::open(other.path()).unwrap().store;
    assert_eq!(contents(&store), wanted);
    assert_eq!(store.endpoint_names().unwrap(), names);
    drop(store);
    let summary = commands::show(other.path(), 3).unwrap();
    assert_eq!((summary.clients + summary.groups) as usize, wanted.len());
    assert_eq!((summary.largest.len(), summary.holders[0].endpoint.as_str()), (3, "s-1"));
    let sizes = commands::compact(other.path()).unwrap();
    assert!(
        sizes.after_bytes <= sizes.before_bytes
            && commands::verify(other.path()).unwrap().records as usize == wanted.len()
    );
    let bad = [
        ("{", "line 2"),
        (r#"{"client":{"key":"x","holder":"00000001","at_ms":1.0}}"#, "key"),
        (r#"{"client":{"key":"1","holder":"no","at_ms":1.0}}"#, "tag"),
        (r#"{"client":{"key":"1","holder":"1","at_ms":-1.0}}"#, "at_ms"),
        (r#"{"group":{"key":"1","holders":[["1",-2.0]],"at_ms":1.0}}"#, "holders"),
        (r#"{"group":{"key":"1","holders":[],"at_ms":1.0,"more":1}}"#, "more"),
        (r#"{"streamer":{"tag":"1","id":"s","started_ms":0.0}}"#, "not the tag"),
    ];
    let empty = folder();
    for (line, reason) in bad {
        let good = r#"{"client":{"key":"1","holder":"00000001","at_ms":1.0}}"#;
        let refused =
            commands::import(empty.path(), format!("{good}\n{line}\n").as_bytes()).unwrap_err().to_string();
        assert!(refused.starts_with("line 2: ") && refused.contains(reason), "{refused}");
    }
    assert!(std::fs::read_dir(empty.path()).unwrap().next().is_none(), "nothing was made");
}
