//! A disk in memory that fails where a test wants it to.
#![allow(dead_code)] // each test crate uses its own part

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use redb::StorageBackend;
use sandgw_affinity_store::{Opened, Store, StoreError};

/// What a disk holds, and what of it would survive a power cut.
#[derive(Debug, Default)]
struct Platter {
    /// As the process sees it.
    seen: Vec<u8>,
    /// As of the last sync, and the writes since.
    synced: Vec<u8>,
    unsynced: Vec<(u64, Vec<u8>)>,
}

/// A disk in memory that fails from a certain operation on.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    platter: Arc<Mutex<Platter>>,
    pub operations: Arc<AtomicU64>,
    /// Operations that succeed yet; more fail.
    pub left: Arc<AtomicU64>,
    pub full: Arc<AtomicBool>,
}

impl Disk {
    pub fn new() -> Disk {
        let disk = Disk::default();
        disk.left.store(u64::MAX, SeqCst);
        disk
    }

    fn operate(&self) -> io::Result<()> {
        self.operations.fetch_add(1, SeqCst);
        if self.full.load(SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let left = self
            .left
            .fetch_update(SeqCst, SeqCst, |n| Some(if n == u64::MAX { n } else { n.saturating_sub(1) }));
        if left == Ok(0) { Err(io::Error::other("the disk is gone")) } else { Ok(()) }
    }

    /// The disk as the next process finds it. Of a power cut, a draw decides which of the writes that were
    /// not synced have reached the platter.
    pub fn after(&self, power_cut: Option<u64>) -> Disk {
        let platter = self.platter.lock().unwrap();
        let mut seen = platter.seen.clone();
        if let Some(draw) = power_cut {
            seen = platter.synced.clone();
            for (i, (at, bytes)) in platter.unsynced.iter().enumerate() {
                if draw >> (i % 61) & 1 == 1 {
                    write_at(&mut seen, *at, bytes);
                }
            }
        }
        let disk = Disk::new();
        *disk.platter.lock().unwrap() = Platter { synced: seen.clone(), seen, unsynced: Vec::new() };
        disk
    }

    /// As a writer opens it again.
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
        Ok(self.platter.lock().unwrap().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let platter = self.platter.lock().unwrap();
        let from = platter.seen.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.operate()?;
        let mut platter = self.platter.lock().unwrap();
        platter.seen.resize(len as usize, 0);
        // A file's length is taken as kept: a file system that loses it loses the file.
        platter.synced.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.operate()?;
        let mut platter = self.platter.lock().unwrap();
        platter.synced = platter.seen.clone();
        platter.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.operate()?;
        let mut platter = self.platter.lock().unwrap();
        write_at(&mut platter.seen, offset, data);
        platter.unsynced.push((offset, data.to_vec()));
        Ok(())
    }
}

pub fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < Duration::from_secs(20), "not in time: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
