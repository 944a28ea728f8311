//! Tests of the store under failures: the process is killed or the power is cut at any write, the file is
//! damaged or foreign, the disk is full, or the folder can't be used.

mod disk;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;

use disk::{Disk, wait_until};
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

fn updates(records: impl IntoIterator<Item = Record>) -> Changes {
    Changes { updated: records.into_iter().collect(), ..Changes::default() }
}

fn contents(store: &Store) -> BTreeMap<(TableKind, u64), Record> {
    let mut all = BTreeMap::new();
    let loaded = store.load(|record| drop(all.insert(record.key(), record))).unwrap();
    assert_eq!(loaded.damaged, 0);
    all
}

/// Three batches that set, change and remove entries.
fn batches() -> Vec<Changes> {
    let mut second = updates((40..90).map(|k| client(k, 2.0)).chain((0..10).map(|k| group(k, 3.0))));
    second.removed = (0..30).map(|k| (TableKind::Sessions, k)).chain([(TableKind::Groups, 50)]).collect();
    vec![
        updates((0..60).map(|k| client(k, 1.0)).chain((0..60).map(|k| group(k, 1.0)))),
        second,
        updates((0..200).map(|k| client(k << 30, 3.0))),
    ]
}

/// The expected content of the store before the first batch and after each batch.
fn expected_states() -> Vec<BTreeMap<(TableKind, u64), Record>> {
    let mut expected_states = vec![BTreeMap::new()];
    for batch in batches() {
        let mut next = expected_states.last().unwrap().clone();
        batch.removed.iter().for_each(|key| drop(next.remove(key)));
        next.extend(batch.updated.into_iter().map(|r| (r.key(), r)));
        expected_states.push(next);
    }
    expected_states
}

/// The process is killed, or the power is cut, at each single disk operation in turn. The store then opens
/// again with the state before or after the interrupted batch, never a state in between, and never one older
/// than the last batch reported as written.
#[test]
fn interrupted_write_leaves_the_state_before_or_after_the_batch() {
    let (expected_states, mut state_counts) = (expected_states(), [0; 4]);
    let complete_disk = Disk::new();
    let store = complete_disk.open().unwrap();
    batches().iter().for_each(|b| store.write(b).unwrap());
    drop(store);
    let operations = complete_disk.operations.load(SeqCst);
    assert!(operations > 30, "{operations}");
    for fails_at in 0..operations {
        let disk = Disk::new();
        disk.remaining_operations.store(fails_at, SeqCst);
        let mut written_batches = 0;
        if let Ok(store) = disk.open() {
            for batch in batches() {
                if store.write(&batch).is_err() {
                    break;
                }
                written_batches += 1;
            }
            drop(store);
        }
        let power_cuts =
            [None, Some(0), Some(u64::MAX), Some(0x5a5a_a5a5_9696_6969 ^ fails_at.wrapping_mul(0x9e37_79b9))];
        for power_cut in power_cuts {
            let store = match disk.after_restart(power_cut).open() {
                Ok(store) => store,
                // The failure left an incomplete new file, which is set aside like any other unreadable file.
                Err(StoreError::Damaged(_)) if written_batches == 0 => continue,
                Err(e) => panic!("killed at operation {fails_at}, power cut {power_cut:?}: {e}"),
            };
            let found = contents(&store);
            let at = expected_states.iter().position(|s| *s == found);
            let at = at.unwrap_or_else(|| panic!("killed at {fails_at}, {power_cut:?}: between two states"));
            assert!(
                at == written_batches || at == written_batches + 1,
                "killed at operation {fails_at}, power cut {power_cut:?}: state {at} after {written_batches} batches"
            );
            state_counts[at] += 1;
            store.write(&updates([client(1, 1.0)])).unwrap();
        }
    }
    assert!(state_counts.iter().all(|n| *n > 0), "states found: {state_counts:?}");
}

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().unwrap()
}

fn write_sample_store(folder: &std::path::Path) -> Vec<u8> {
    let store = Store::open(folder).unwrap().store;
    batches().iter().for_each(|b| store.write(b).unwrap());
    drop(store);
    std::fs::read(folder.join(FILE)).unwrap()
}

#[test]
fn foreign_or_truncated_file_is_set_aside_and_kept() {
    let folder = folder();
    let valid = write_sample_store(folder.path());
    let path = folder.path().join(FILE);
    let text = b"not a store of anything, but somebody's only copy of it".to_vec();
    let files = [text, valid[..valid.len() / 2].to_vec(), valid[..100].to_vec(), vec![0; 8192]];
    for (bytes, n) in files.iter().zip(1..) {
        std::fs::write(&path, bytes).unwrap();
        let opened = Store::open(folder.path()).unwrap();
        let SetAside { path: aside, reason } = opened.set_aside.expect("set aside");
        assert_eq!(aside, folder.path().join(format!("affinity.damaged-{n}")), "{reason}");
        assert_eq!(std::fs::read(&aside).unwrap(), *bytes);
        assert!(contents(&opened.store).is_empty());
    }
    // A database of another program.
    std::fs::remove_file(&path).unwrap();
    let other = redb::Database::create(&path).unwrap();
    let write = other.begin_write().unwrap();
    write.open_table(redb::TableDefinition::<u64, u64>::new("meta")).unwrap().insert(1, 2).unwrap();
    write.commit().unwrap();
    drop(other);
    assert!(Store::open(folder.path()).unwrap().set_aside.is_some());
    // An empty file is treated as a new store.
    std::fs::write(&path, "").unwrap();
    assert!(Store::open(folder.path()).unwrap().set_aside.is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever bytes are changed, the store opens, and no record is read that was never written.
    #[test]
    fn damaged_file_never_prevents_opening_the_store(flips in proptest::collection::vec((any::<usize>(), 1u8..), 1..40)) {
        let folder = folder();
        let mut bytes = write_sample_store(folder.path());
        for (at, by) in flips {
            let at = at % bytes.len();
            bytes[at] ^= by;
        }
        std::fs::write(folder.path().join(FILE), bytes).unwrap();
        let opened = Store::open(folder.path());
        let store = opened.map_err(|e| TestCaseError::fail(e.to_string()))?.store;
        let expected_states = expected_states();
        let is_known = |r: &Record| expected_states.iter().any(|s| s.get(&r.key()) == Some(r));
        let mut unknown_records = 0;
        store.load(|r| unknown_records += u64::from(!is_known(&r))).map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert_eq!(unknown_records, 0);
    }
}

/// The bytes of some records are invalid although the file's own checksums are correct. Only these records
/// are skipped, and pruning removes them.
#[test]
fn damaged_records_are_skipped_and_pruned() {
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
    store.write(&Changes { names, ..updates([client(4, 100.0), client(5, 10.0)]) }).unwrap();
    let loaded = store.load(|_| {}).unwrap();
    assert_eq!((loaded.records, loaded.damaged), (2, 3));
    assert_eq!(store.prune(50.0).unwrap(), 4);
    assert_eq!(contents(&store).into_values().collect::<Vec<_>>(), [client(4, 100.0)]);
    assert_eq!(store.endpoint_names().unwrap().len(), 1, "names that no record uses are removed as well");
}

#[test]
fn second_process_and_unusable_folder_are_refused() {
    let folder = folder();
    let first = Store::open(folder.path()).unwrap().store;
    assert!(matches!(Store::open(folder.path()), Err(StoreError::InUse)));
    assert!(matches!(commands::verify(folder.path()), Err(StoreError::InUse)));
    drop(first);
    assert!(Store::open(folder.path()).is_ok());
    let file = folder.path().join("file");
    std::fs::write(&file, "").unwrap();
    for invalid in [file.clone(), file.join("below"), folder.path().join("no/such/parent")] {
        let refused = Store::open(&invalid);
        assert!(matches!(refused, Err(StoreError::Folder(_))), "{invalid:?}: {refused:?}");
    }
    assert!(matches!(commands::verify(&folder.path().join("none")), Err(StoreError::Folder(_))));
}

/// The disk is full for a while. Entries are kept with their latest value and are written once there is room,
/// and handing batches over never waits for the disk.
#[test]
fn entries_are_kept_while_the_disk_is_full() {
    let disk = Disk::new();
    let reopened = disk.clone();
    let writer = Writer::start(Some(disk.open().unwrap()), Box::new(move || reopened.reopen())).unwrap();
    writer.write(updates([client(1, 1.0), client(2, 1.0)])).unwrap();
    wait_until("the first batch is written", || writer.stats().entries == 2);
    disk.is_full.store(true, SeqCst);
    let submit = |mut changes: Changes| {
        while let Err(returned) = writer.write(changes) {
            changes = returned;
            std::thread::yield_now();
        }
    };
    submit(updates([client(1, 2.0), client(3, 2.0)]));
    wait_until("the disk fails", || writer.stats().is_failing);
    submit(Changes { removed: vec![(TableKind::Sessions, 2)], ..updates([client(1, 3.0)]) });
    // Far more entries than the writer keeps.
    for i in 0..80u64 {
        submit(updates((0..1000).map(|k| client(1 << 20 | i << 10 | k, 1.0))));
    }
    wait_until("the queue is empty again", || writer.stats().dropped_entries > 0);
    assert!(writer.stats().failures >= 1 && writer.stats().entries == 2 && !writer.take_resync_request());
    disk.is_full.store(false, SeqCst);
    wait_until("the disk is written again", || !writer.stats().is_failing);
    // The writer requests the dropped entries, only once.
    assert!(writer.take_resync_request() && !writer.take_resync_request());
    drop(writer);
    let found = contents(&disk.after_restart(None).open().unwrap());
    assert_eq!(found.get(&(TableKind::Sessions, 1)), Some(&client(1, 3.0)));
    assert_eq!(found.get(&(TableKind::Sessions, 2)), None);
    assert_eq!(found.get(&(TableKind::Sessions, 3)), Some(&client(3, 2.0)));
    assert!(found.len() > 16_000 && found.len() <= 16_385, "{}", found.len());
}

/// Guards against batches that postpone the next retry. If batches arrived more often than the retry delay,
/// the disk was never tried again as long as there was traffic.
#[test]
fn frequent_batches_do_not_postpone_the_retry() {
    let disk = Disk::new();
    let reopened = disk.clone();
    let writer = Writer::start(Some(disk.open().unwrap()), Box::new(move || reopened.reopen())).unwrap();
    disk.is_full.store(true, SeqCst);
    let submit = |at: f64| writer.write(updates([client(1, at)])).is_ok();
    wait_until("the disk fails", || submit(1.0) && writer.stats().is_failing);
    disk.is_full.store(false, SeqCst);
    wait_until("the entry is written", || {
        submit(2.0);
        !writer.stats().is_failing
    });
}

/// A disk that fails at the start does not prevent the start. The store is created once the disk works.
#[test]
fn store_that_failed_at_the_start_is_opened_later() {
    let disk = Disk::new();
    disk.is_full.store(true, SeqCst);
    assert!(matches!(disk.open(), Err(StoreError::Disk(_))));
    let reopened = disk.clone();
    let writer = Writer::start(None, Box::new(move || reopened.reopen())).unwrap();
    writer.write(updates([client(1, 1.0)])).unwrap();
    assert!(writer.stats().is_failing);
    disk.is_full.store(false, SeqCst);
    wait_until("the entry is written", || writer.stats().entries == 1);
    writer.prune(10.0);
    drop(writer);
    assert!(
        contents(&disk.after_restart(None).open().unwrap()).is_empty(),
        "the record is older than the prune limit"
    );
}

#[test]
fn export_can_be_imported_and_an_invalid_line_refuses_the_import() {
    let (source, other) = (folder(), folder());
    write_sample_store(source.path());
    let store = Store::open(source.path()).unwrap().store;
    let names = vec![EndpointName { tag: EndpointTag::of("s-1", 0.0), id: "s-1".into(), started: 0.0 }];
    store.write(&Changes { names: names.clone(), ..Changes::default() }).unwrap();
    let expected = contents(&store);
    drop(store);
    let mut text = Vec::new();
    let lines = commands::export(source.path(), &mut text).unwrap();
    assert_eq!(lines as usize, expected.len() + 1);
    assert_eq!(commands::import(other.path(), &text[..]).unwrap(), lines);
    let store = Store::open(other.path()).unwrap().store;
    assert_eq!(contents(&store), expected);
    assert_eq!(store.endpoint_names().unwrap(), names);
    drop(store);
    let summary = commands::show(other.path(), 3).unwrap();
    assert_eq!((summary.clients + summary.groups) as usize, expected.len());
    assert_eq!((summary.largest.len(), summary.holders[0].endpoint.as_str()), (3, "s-1"));
    let sizes = commands::compact(other.path()).unwrap();
    assert!(
        sizes.after_bytes <= sizes.before_bytes
            && commands::verify(other.path()).unwrap().records as usize == expected.len()
    );
    let invalid = [
        ("{", "line 2"),
        (r#"{"client":{"key":"x","holder":"00000001","at_ms":1.0}}"#, "key"),
        (r#"{"client":{"key":"1","holder":"no","at_ms":1.0}}"#, "tag"),
        (r#"{"client":{"key":"1","holder":"1","at_ms":-1.0}}"#, "at_ms"),
        (r#"{"group":{"key":"1","holders":[["1",-2.0]],"at_ms":1.0}}"#, "holders"),
        (r#"{"group":{"key":"1","holders":[],"at_ms":1.0,"more":1}}"#, "more"),
        (r#"{"streamer":{"tag":"1","id":"s","started_ms":0.0}}"#, "not the tag"),
    ];
    let empty = folder();
    for (line, reason) in invalid {
        let valid = r#"{"client":{"key":"1","holder":"00000001","at_ms":1.0}}"#;
        let refused =
            commands::import(empty.path(), format!("{valid}\n{line}\n").as_bytes()).unwrap_err().to_string();
        assert!(refused.starts_with("line 2: ") && refused.contains(reason), "{refused}");
    }
    assert!(std::fs::read_dir(empty.path()).unwrap().next().is_none(), "nothing was created");
}
