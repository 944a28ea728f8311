//! An in-memory disk that fails at an operation of the test's choice.
#![allow(dead_code)] // each test crate uses only some of the helpers

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use redb::StorageBackend;
use sandgw_affinity_store::{Opened, Store, StoreError};

/// The contents of a disk, and the parts of them that would survive a power cut.
#[derive(Debug, Default)]
struct Contents {
    /// The contents as the process reads them.
    current: Vec<u8>,
    /// The contents as of the last sync.
    synced: Vec<u8>,
    /// Position and bytes of each write since the last sync.
    unsynced: Vec<(u64, Vec<u8>)>,
}

/// An in-memory disk that fails once its remaining operations are used up, or while it is full.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    contents: Arc<Mutex<Contents>>,
    pub operations: Arc<AtomicU64>,
    /// Operations that still succeed; all later ones fail. `u64::MAX` for no limit.
    pub remaining_operations: Arc<AtomicU64>,
    pub is_full: Arc<AtomicBool>,
}

impl Disk {
    pub fn new() -> Disk {
        let disk = Disk::default();
        disk.remaining_operations.store(u64::MAX, SeqCst);
        disk
    }

    fn record_operation(&self) -> io::Result<()> {
        self.operations.fetch_add(1, SeqCst);
        if self.is_full.load(SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let remaining_operations = self
            .remaining_operations
            .fetch_update(SeqCst, SeqCst, |n| Some(if n == u64::MAX { n } else { n.saturating_sub(1) }));
        if remaining_operations == Ok(0) { Err(io::Error::other("the disk has failed")) } else { Ok(()) }
    }

    /// The disk as the next process finds it. After a power cut, the given random bits decide which of the
    /// writes that were not synced have reached the disk.
    pub fn after_restart(&self, power_cut: Option<u64>) -> Disk {
        let contents = self.contents.lock().unwrap();
        let mut current = contents.current.clone();
        if let Some(random_bits) = power_cut {
            current = contents.synced.clone();
            for (i, (at, bytes)) in contents.unsynced.iter().enumerate() {
                if random_bits >> (i % 61) & 1 == 1 {
                    write_at(&mut current, *at, bytes);
                }
            }
        }
        let disk = Disk::new();
        *disk.contents.lock().unwrap() = Contents { synced: current.clone(), current, unsynced: Vec::new() };
        disk
    }

    /// Opens the store as a writer does after a failure.
    pub fn reopen(&self) -> Result<Opened, StoreError> {
        self.open().map(|store| Opened { store, set_aside: None })
    }

    pub fn open(&self) -> Result<Store, StoreError> {
        Store::open_with(|builder| builder.create_with_backend(self.clone()))
    }
}

fn write_at(bytes: &mut Vec<u8>, at: u64, data: &[u8]) {
    let at = at as usize;
    if bytes.len() < at + data.len() {
        bytes.resize(at + data.len(), 0);
    }
    bytes[at..at + data.len()].copy_from_slice(data);
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.contents.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let contents = self.contents.lock().unwrap();
        let from = contents.current.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.record_operation()?;
        let mut contents = self.contents.lock().unwrap();
        contents.current.resize(len as usize, 0);
        // The file's length is assumed to survive: a file system that loses the length loses the file.
        contents.synced.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.record_operation()?;
        let mut contents = self.contents.lock().unwrap();
        contents.synced = contents.current.clone();
        contents.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.record_operation()?;
        let mut contents = self.contents.lock().unwrap();
        write_at(&mut contents.current, offset, data);
        contents.unsynced.push((offset, data.to_vec()));
        Ok(())
    }
}

pub fn wait_until(expectation: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "timed out after 20 s waiting until {expectation}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
