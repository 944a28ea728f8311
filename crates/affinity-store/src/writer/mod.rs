//! Write-behind: a thread of its own takes batches and writes them, so that a slow or full disk never
//! delays a connection.
//!
//! [`Writer`] is the handle of the thread. Inputs: batches and orders, over a short queue; where it is
//! full, the caller keeps its changes and tries again. Output: figures. The thread owns the store and what
//! a failed disk has not taken yet: after a failure it opens the store anew, with exponential backoff, and
//! writes what has come up meanwhile, each entry once and as it is by then.

mod pending;
mod worker;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

use sandgw_affinity::{Changes, Millis};

use crate::{Opened, Store, StoreError};
use worker::Worker;

/// Orders that may wait for the thread.
const QUEUE_CAPACITY: usize = 2;

/// Opens the store anew after a failure.
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
    /// Whether the disk fails at the moment.
    pub is_failing: bool,
}

/// What the thread and its handle share.
#[derive(Default)]
struct SharedState {
    entries: AtomicU64,
    failures: AtomicU64,
    dropped_entries: AtomicU64,
    is_failing: AtomicBool,
    needs_resync: AtomicBool,
}

/// What the thread is to do.
enum Order {
    Write(Changes),
    Prune { oldest: Millis },
    Migrate(TargetVersion),
}

/// The version that the file is to have, and the one below which it is not to go back.
#[derive(Clone, Copy, Debug)]
struct TargetVersion {
    version: u64,
    finalized: u64,
}

/// The handle of the writing thread. The thread ends once this is dropped and all is written that the disk
/// takes.
pub struct Writer {
    orders: Option<SyncSender<Order>>,
    shared: Arc<SharedState>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. Without a `store`, because the disk failed at the start, `open` is tried later.
    ///
    /// # Errors
    /// Where the thread can't be started.
    pub fn start(store: Option<Store>, open: Opener) -> std::io::Result<Writer> {
        let (orders, incoming) = sync_channel(QUEUE_CAPACITY);
        let shared = Arc::new(SharedState::default());
        shared.is_failing.store(store.is_none(), Relaxed);
        let worker = Worker::new(store, open, shared.clone());
        let builder = std::thread::Builder::new().name("state-writer".into());
        let thread = builder.spawn(move || worker.run(&incoming))?;
        Ok(Writer { orders: Some(orders), shared, thread: Some(thread) })
    }

    /// Hands a batch over.
    ///
    /// # Errors
    /// Gives the batch back where the queue is full.
    pub fn write(&self, changes: Changes) -> Result<(), Changes> {
        self.send(Order::Write(changes)).map_err(|order| match order {
            Order::Write(changes) => changes,
            _ => Changes::default(),
        })
    }

    /// Has records removed that were last set before `oldest`; skipped where the queue is full.
    pub fn prune(&self, oldest: Millis) {
        let _ = self.send(Order::Prune { oldest });
    }

    /// Has the file migrated to a version, and finalized at another or the same; returns whether the queue
    /// had room.
    pub fn migrate(&self, version: u64, finalized: u64) -> bool {
        self.send(Order::Migrate(TargetVersion { version, finalized })).is_ok()
    }

    fn send(&self, order: Order) -> Result<(), Order> {
        match self.orders.as_ref().map(|orders| orders.try_send(order)) {
            Some(Err(TrySendError::Full(order) | TrySendError::Disconnected(order))) => Err(order),
            _ => Ok(()),
        }
    }

    /// Whether the store lacks entries that were handed over: some were dropped, or the file was begun
    /// anew. Returns `true` once, when the disk works again; the owner of the entries is to hand over all
    /// of them then.
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
        drop(self.orders.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
