//! Write-behind: a background thread writes batches of changes to the store, so that a slow or full disk
//! never delays a connection.
//!
//! [`Writer`] is the handle of the thread. Its inputs are batches and other commands, sent over a short
//! queue; where the queue is full, the caller keeps its changes and tries again. Its outputs are statistics.
//! The thread owns the store and the entries that a failed disk has not stored yet. After a failure the
//! thread reopens the store, with exponential backoff, and writes the pending entries, each once and with its
//! latest value.

mod pending;
mod worker;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

use sandgw_affinity::{Changes, Millis};

use crate::{Opened, Store, StoreError};
use worker::Worker;

/// Most commands that may wait for the thread.
const QUEUE_CAPACITY: usize = 2;

/// Reopens the store after a failure.
pub type Opener = Box<dyn FnMut() -> Result<Opened, StoreError> + Send>;

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriterStats {
    /// Entries written or removed.
    pub entries: u64,
    /// Operations that failed.
    pub failures: u64,
    /// Entries dropped because the disk failed for too long.
    pub dropped_entries: u64,
    /// Whether the disk has failed and has not been written successfully since.
    pub is_failing: bool,
}

/// State that the thread and its handle share.
#[derive(Default)]
struct SharedState {
    entries: AtomicU64,
    failures: AtomicU64,
    dropped_entries: AtomicU64,
    is_failing: AtomicBool,
    needs_resync: AtomicBool,
}

/// A command to the thread.
enum Command {
    Write(Changes),
    Prune { oldest: Millis },
    Migrate(TargetVersion),
}

/// The version to which the file is to be migrated, and the version to be finalized.
#[derive(Clone, Copy, Debug)]
struct TargetVersion {
    version: u64,
    finalized: u64,
}

/// The handle of the writing thread. When the handle is dropped, the thread executes the queued commands,
/// tries once more to write all pending entries, and ends.
pub struct Writer {
    commands: Option<SyncSender<Command>>,
    shared: Arc<SharedState>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. Where `store` is `None` because the disk failed at the start, the thread retries
    /// `open`.
    ///
    /// # Errors
    /// Where the thread can't be started.
    pub fn start(store: Option<Store>, open: Opener) -> std::io::Result<Writer> {
        let (commands, receiver) = sync_channel(QUEUE_CAPACITY);
        let shared = Arc::new(SharedState::default());
        shared.is_failing.store(store.is_none(), Relaxed);
        let worker = Worker::new(store, open, shared.clone());
        let builder = std::thread::Builder::new().name("state-writer".into());
        let thread = builder.spawn(move || worker.run(&receiver))?;
        Ok(Writer { commands: Some(commands), shared, thread: Some(thread) })
    }

    /// Hands a batch over to the thread.
    ///
    /// # Errors
    /// Returns the batch to the caller where the queue is full.
    pub fn write(&self, changes: Changes) -> Result<(), Changes> {
        self.send(Command::Write(changes)).map_err(|command| match command {
            Command::Write(changes) => changes,
            _ => Changes::default(),
        })
    }

    /// Requests the removal of records last set before `oldest`. The request is dropped where the queue is
    /// full.
    pub fn prune(&self, oldest: Millis) {
        let _ = self.send(Command::Prune { oldest });
    }

    /// Requests that the file be migrated to `version` and finalized at `finalized`, which may be another
    /// version; returns whether the queue had room.
    pub fn migrate(&self, version: u64, finalized: u64) -> bool {
        self.send(Command::Migrate(TargetVersion { version, finalized })).is_ok()
    }

    fn send(&self, command: Command) -> Result<(), Command> {
        match self.commands.as_ref().map(|commands| commands.try_send(command)) {
            Some(Err(TrySendError::Full(command) | TrySendError::Disconnected(command))) => Err(command),
            _ => Ok(()),
        }
    }

    /// Whether the store lacks entries that were handed over, because some were dropped or the file was
    /// replaced by an empty one. Returns `true` only once, when the disk works again; the owner of the
    /// entries must then hand over all of them.
    pub fn take_resync_request(&self) -> bool {
        !self.shared.is_failing.load(Relaxed) && self.shared.needs_resync.swap(false, Relaxed)
    }

    /// Totals since the start.
    pub fn stats(&self) -> WriterStats {
        WriterStats {
            entries: self.shared.entries.load(Relaxed),
            failures: self.shared.failures.load(Relaxed),
            dropped_entries: self.shared.dropped_entries.load(Relaxed),
            is_failing: self.shared.is_failing.load(Relaxed),
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        drop(self.commands.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
