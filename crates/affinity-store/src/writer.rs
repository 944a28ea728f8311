//! Writing behind: a thread of its own takes batches and writes them, so that a slow or full disk never holds a
//! connection up.
//!
//! [`Writer`] owns the store and what a failed disk has not taken yet. It is fed batches over a short queue; who
//! finds it full keeps its changes and comes again. It gives figures. After a failure it opens the store anew,
//! more and more seldom, and writes what has come up meanwhile, each entry once and as it is by then.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use log::{error, info};
use sandgw_affinity::codec::TableKind;
use sandgw_affinity::endpoint_registry::{EndpointName, EndpointTag};
use sandgw_affinity::{Changes, Millis, Record};

use crate::{Opened, Store, StoreError, guarded};

/// Batches that may wait for the thread.
const QUEUE: usize = 2;
/// Entries kept for a disk that fails, a few MB; more are left out until they change again.
const MOST_PENDING: usize = 16_384;
/// Pause before the next try after a failure, doubled with each up to the longest.
const RETRY: Duration = Duration::from_millis(500);
const LONGEST_RETRY: Duration = Duration::from_secs(30);

/// Opens the store, again after a failure.
pub type Opener = Box<dyn FnMut() -> Result<Opened, StoreError> + Send>;

/// What a writer has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    /// Entries written or dropped.
    pub entries: u64,
    /// Batches that failed.
    pub failed: u64,
    /// Entries left out because the disk failed for too long.
    pub left_out: u64,
    /// Whether the disk takes nothing at the moment.
    pub failing: bool,
}

#[derive(Default)]
struct Shared {
    entries: AtomicU64,
    failed: AtomicU64,
    left_out: AtomicU64,
    failing: AtomicBool,
    lost: AtomicBool,
}

enum Order {
    Write(Changes),
    Prune(Millis),
    SchemaVersion { form: u64, finalized: u64 },
}

/// The handle of the writing thread; it ends once this is dropped and all is written that the disk takes.
pub struct Writer {
    orders: Option<SyncSender<Order>>,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `store` is nothing where the disk failed at the start; `open` is asked later then.
    pub fn start(store: Option<Store>, open: Opener) -> std::io::Result<Writer> {
        let (orders, incoming) = sync_channel(QUEUE);
        let shared = Arc::new(Shared::default());
        shared.failing.store(store.is_none(), Relaxed);
        let keeper = Keeper {
            store,
            open,
            pending: Pending::default(),
            wanted: None,
            retry: RETRY,
            next: Instant::now() + RETRY,
            shared: shared.clone(),
        };
        let thread =
            std::thread::Builder::new().name("state-writer".into()).spawn(move || keeper.run(&incoming))?;
        Ok(Writer { orders: Some(orders), shared, thread: Some(thread) })
    }

    /// Hands a batch over; gives it back where the queue is full.
    pub fn write(&self, changes: Changes) -> Result<(), Changes> {
        self.order(Order::Write(changes)).map_err(|order| match order {
            Order::Write(changes) => changes,
            _ => Changes::default(),
        })
    }

    /// Has records dropped that were set before then; skipped where the queue is full.
    pub fn prune(&self, oldest: Millis) {
        let _ = self.order(Order::Prune(oldest));
    }

    /// Has the file moved to a form, and finalized at another or the same; whether the queue took the order.
    pub fn move_to(&self, form: u64, finalized: u64) -> bool {
        self.order(Order::SchemaVersion { form, finalized }).is_ok()
    }

    fn order(&self, order: Order) -> Result<(), Order> {
        match self.orders.as_ref().map(|orders| orders.try_send(order)) {
            Some(Err(TrySendError::Full(order) | TrySendError::Disconnected(order))) => Err(order),
            _ => Ok(()),
        }
    }

    /// Whether the store lacks what was handed over: entries were left out, or it had to be begun anew. Said once,
    /// when the disk takes something again; who owns the entries hands all of them over then.
    pub fn take_lost(&self) -> bool {
        !self.shared.failing.load(Relaxed) && self.shared.lost.swap(false, Relaxed)
    }

    /// What it has done so far.
    pub fn written(&self) -> Written {
        Written {
            entries: self.shared.entries.load(Relaxed),
            failed: self.shared.failed.load(Relaxed),
            left_out: self.shared.left_out.load(Relaxed),
            failing: self.shared.failing.load(Relaxed),
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

/// What has come up and is not written: each entry as it is now, nothing where it has gone.
#[derive(Default)]
struct Pending {
    entries: BTreeMap<(TableKind, u64), Option<Record>>,
    names: HashMap<EndpointTag, EndpointName>,
}

impl Pending {
    /// Adds a batch; says how many entries there was no room for.
    fn add(&mut self, changes: Changes) -> u64 {
        let mut left_out = 0;
        let gone = changes.removed.into_iter().map(|key| (key, None));
        for (key, entry) in gone.chain(changes.updated.into_iter().map(|r| (r.key(), Some(r)))) {
            if self.entries.len() < MOST_PENDING || self.entries.contains_key(&key) {
                self.entries.insert(key, entry);
            } else {
                left_out += 1;
            }
        }
        self.names.extend(changes.names.into_iter().map(|name| (name.tag, name)));
        left_out
    }

    fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.names.is_empty()
    }

    fn changes(&self) -> Changes {
        let gone = self.entries.iter().filter(|(_, r)| r.is_none()).map(|(key, _)| *key).collect();
        Changes {
            updated: self.entries.values().flatten().cloned().collect(),
            removed: gone,
            names: self.names.values().cloned().collect(),
        }
    }
}

struct Keeper {
    store: Option<Store>,
    open: Opener,
    pending: Pending,
    /// The form that the file is to be of, and what is finalized, until it is.
    wanted: Option<(u64, u64)>,
    /// Pause between tries while the disk fails, and when the next one is due.
    retry: Duration,
    next: Instant,
    shared: Arc<Shared>,
}

impl Keeper {
    fn run(mut self, orders: &Receiver<Order>) {
        loop {
            let failing = self.shared.failing.load(Relaxed);
            let order = if failing {
                orders.recv_timeout(self.next.saturating_duration_since(Instant::now()))
            } else {
                orders.recv().map_err(|_| RecvTimeoutError::Disconnected)
            };
            match order {
                Ok(Order::Write(changes)) => {
                    let left_out = self.pending.add(changes);
                    self.shared.left_out.fetch_add(left_out, Relaxed);
                    self.shared.lost.fetch_or(left_out > 0, Relaxed);
                    // While the disk fails, the pause between tries is kept whatever comes in.
                    if !failing || Instant::now() >= self.next {
                        self.flush();
                    }
                }
                Ok(Order::Prune(oldest)) => self.prune(oldest),
                Ok(Order::SchemaVersion { form, finalized }) => {
                    self.wanted = Some((form, finalized));
                    self.move_to();
                }
                Err(RecvTimeoutError::Timeout) => self.flush(),
                Err(RecvTimeoutError::Disconnected) => return self.flush(),
            }
        }
    }

    fn prune(&mut self, oldest: Millis) {
        let done = self.store.as_ref().map(|store| guarded(|| store.prune(oldest)));
        match done {
            Some(Ok(dropped)) if dropped > 0 => {
                info!("state.folder: {dropped} old or damaged entries dropped")
            }
            Some(Err(e)) => self.failed(&e),
            _ => {}
        }
    }

    fn flush(&mut self) {
        if self.store.is_none() {
            match (self.open)() {
                Ok(opened) => {
                    self.shared.lost.fetch_or(opened.set_aside.is_some(), Relaxed);
                    self.store = Some(opened.noted());
                }
                Err(e) => return self.failed(&e),
            }
        }
        let Some(store) = &self.store else { return };
        if !self.pending.is_empty() {
            if let Err(e) = guarded(|| store.write(&self.pending.changes())) {
                return self.failed(&e);
            }
            self.shared.entries.fetch_add(self.pending.entries.len() as u64, Relaxed);
            self.pending = Pending::default();
        }
        self.move_to();
        if self.store.is_some() && self.shared.failing.swap(false, Relaxed) {
            info!("state.folder: the store is written again");
            self.retry = RETRY;
        }
    }

    /// Moves the file to the form that is wanted. A disk that fails is tried again as for any write; a form that is
    /// refused is not asked for again.
    fn move_to(&mut self) {
        let (Some(store), Some((form, finalized))) = (&self.store, self.wanted) else { return };
        let done = store.move_to(form).and_then(|moved| store.finalize(finalized).map(|()| moved));
        match done {
            Ok(moved) => {
                self.wanted = None;
                if moved {
                    info!("state.folder: the file is of form {form} now");
                }
            }
            Err(e @ (StoreError::Future { .. } | StoreError::Finalized { .. })) => {
                self.wanted = None;
                error!("state.folder: {e}; {}", e.help());
            }
            Err(e) => self.failed(&e),
        }
    }

    /// After a failed write the library takes nothing more: the store is opened anew.
    fn failed(&mut self, e: &StoreError) {
        self.store = None;
        self.shared.failed.fetch_add(1, Relaxed);
        if self.shared.failing.swap(true, Relaxed) {
            self.retry = (self.retry * 2).min(LONGEST_RETRY);
        } else {
            // Once for each failure, not for each try.
            error!("state.folder: {e}; serving goes on, and what is not written is kept for a while");
        }
        self.next = Instant::now() + self.retry;
    }
}
