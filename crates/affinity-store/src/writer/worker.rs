//! The writing thread: executes commands, and retries after a failure of the disk.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use log::{error, info};
use sandgw_affinity::{Changes, Millis};

use super::pending::Pending;
use super::{Command, Opener, SharedState, TargetVersion};
use crate::store::catch_panics;
use crate::{Store, StoreError};

/// Delay before the first retry after a failure; the delay doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

pub(super) struct Worker {
    /// `None` after a failure, until the store is reopened.
    store: Option<Store>,
    open: Opener,
    pending: Pending,
    /// The version to which the file is still to be migrated.
    target_version: Option<TargetVersion>,
    retry_delay: Duration,
    next_retry: Instant,
    shared: Arc<SharedState>,
}

impl Worker {
    pub fn new(store: Option<Store>, open: Opener, shared: Arc<SharedState>) -> Worker {
        Worker {
            store,
            open,
            pending: Pending::default(),
            target_version: None,
            retry_delay: MIN_RETRY_DELAY,
            next_retry: Instant::now() + MIN_RETRY_DELAY,
            shared,
        }
    }

    /// Runs until the handle is dropped.
    pub fn run(mut self, commands: &Receiver<Command>) {
        loop {
            match self.next_command(commands) {
                Ok(Command::Write(changes)) => self.write(changes),
                Ok(Command::Prune { oldest }) => self.prune(oldest),
                Ok(Command::Migrate(target)) => {
                    self.target_version = Some(target);
                    self.migrate();
                }
                Err(RecvTimeoutError::Timeout) => self.flush(),
                Err(RecvTimeoutError::Disconnected) => return self.flush(),
            }
        }
    }

    /// Waits for a command; while the disk fails, until the next retry at the latest.
    fn next_command(&self, commands: &Receiver<Command>) -> Result<Command, RecvTimeoutError> {
        if self.is_failing() {
            let until_retry = self.next_retry.saturating_duration_since(Instant::now());
            commands.recv_timeout(until_retry)
        } else {
            commands.recv().map_err(|_| RecvTimeoutError::Disconnected)
        }
    }

    fn is_failing(&self) -> bool {
        self.shared.is_failing.load(Relaxed)
    }

    fn write(&mut self, changes: Changes) {
        let dropped = self.pending.add(changes);
        self.shared.dropped_entries.fetch_add(dropped, Relaxed);
        self.shared.needs_resync.fetch_or(dropped > 0, Relaxed);
        // Batches that arrive during the retry delay neither shorten nor extend it.
        if !self.is_failing() || Instant::now() >= self.next_retry {
            self.flush();
        }
    }

    fn prune(&mut self, oldest: Millis) {
        let Some(store) = &self.store else { return };
        match catch_panics(|| store.prune(oldest)) {
            Ok(0) => {}
            Ok(removed) => info!("state.folder: removed {removed} old or damaged entries"),
            Err(e) => self.handle_failure(&e),
        }
    }

    /// Reopens the store after a failure, and writes all pending changes.
    fn flush(&mut self) {
        if let Err(e) = self.try_flush() {
            return self.handle_failure(&e);
        }
        self.migrate();
        if self.store.is_some() && self.shared.is_failing.swap(false, Relaxed) {
            info!("state.folder: the store is written again");
            self.retry_delay = MIN_RETRY_DELAY;
        }
    }

    fn try_flush(&mut self) -> Result<(), StoreError> {
        let store = match &mut self.store {
            Some(store) => store,
            closed => {
                let opened = (self.open)()?;
                self.shared.needs_resync.fetch_or(opened.set_aside.is_some(), Relaxed);
                closed.insert(opened.log_set_aside())
            }
        };
        if self.pending.is_empty() {
            return Ok(());
        }
        let changes = self.pending.changes();
        catch_panics(|| store.write(&changes))?;
        self.shared.entries.fetch_add(self.pending.entry_count(), Relaxed);
        self.pending = Pending::default();
        Ok(())
    }

    /// Migrates the file to the target version. A disk failure is retried as for any write; a migration that
    /// the store refuses is not retried.
    fn migrate(&mut self) {
        let (Some(store), Some(target)) = (&self.store, self.target_version) else { return };
        match migrate_and_finalize(store, target) {
            Ok(is_migrated) => {
                self.target_version = None;
                if is_migrated {
                    info!("state.folder: the file is of form {} now", target.version);
                }
            }
            Err(e @ (StoreError::TooNew { .. } | StoreError::Finalized { .. })) => {
                self.target_version = None;
                error!("state.folder: {e}; {}", e.help());
            }
            Err(e) => self.handle_failure(&e),
        }
    }

    /// Closes the store, because the database library accepts no operations after a failure, and schedules a
    /// retry.
    fn handle_failure(&mut self, e: &StoreError) {
        self.store = None;
        self.shared.failures.fetch_add(1, Relaxed);
        if self.shared.is_failing.swap(true, Relaxed) {
            self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        } else {
            // Logged at the first failure, not for each failed retry.
            error!(
                "state.folder: {e}; the relay keeps serving, and unwritten entries are kept in memory for a while"
            );
        }
        self.next_retry = Instant::now() + self.retry_delay;
    }
}

/// Migrates and finalizes the file; returns whether the file was migrated.
fn migrate_and_finalize(store: &Store, target: TargetVersion) -> Result<bool, StoreError> {
    let is_migrated = store.migrate(target.version)?;
    store.finalize(target.finalized)?;
    Ok(is_migrated)
}
