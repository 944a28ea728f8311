//! Drives the durable affinity store of clients and groups: opens and reads the store before anything is
//! served, and writes later changes to it in the background (write-behind).

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use log::{error, info, warn};
use sandgw_affinity::{Changes, RestoreSummary};
use sandgw_affinity_store::writer::Writer;
use sandgw_affinity_store::{Loaded, Opened, Store, StoreError};
use sandgw_schema_version::SchemaVersion;
use tokio::time::{MissedTickBehavior, interval};

use super::{Shared, duration_from_millis};
use crate::policy::api::Millis;
use crate::relay::Relay;

/// Most entries of the affinity tables that are taken from the core at a time: the core is blocked while they
/// are taken.
const BATCH_ENTRIES: usize = 4096;
/// Interval between removals of old entries from the store.
const PRUNE_INTERVAL_MS: Millis = 600_000.0;

/// A folder and the store that was opened in it.
pub struct OpenedFolder {
    folder: PathBuf,
    /// `None` where the store could not be opened because the disk failed.
    store: Option<Store>,
    /// The schema version at which the store is finalized: its file may not be migrated below this version.
    pub finalized: SchemaVersion,
}

/// Opens the store. A damaged file is set aside, and a disk that fails is retried later: in both cases the
/// relay starts without the stored entries.
///
/// # Errors
/// Cases in which the operator has to act: the folder can't be used, another process has the store open, or
/// the file has a schema version that this program can't read or is finalized at a schema version above
/// `newest_allowed`. The file is left unchanged.
pub fn open(folder: &Path, newest_allowed: SchemaVersion) -> io::Result<OpenedFolder> {
    let opened = |store, finalized| OpenedFolder { folder: folder.to_owned(), store, finalized };
    match open_store(folder, newest_allowed) {
        Ok((store, finalized)) => Ok(opened(Some(store), finalized)),
        Err(
            e @ (StoreError::InUse
            | StoreError::Folder(_)
            | StoreError::TooNew { .. }
            | StoreError::Finalized { .. }),
        ) => Err(io::Error::other(format!("{}: {e}; {}", folder.display(), e.help()))),
        Err(e) => {
            error!("state.folder: {}: {e}; starting without the store's entries", folder.display());
            Ok(opened(None, SchemaVersion::FIRST))
        }
    }
}

/// Opens the store and reads the schema version at which it is finalized.
fn open_store(folder: &Path, newest_allowed: SchemaVersion) -> Result<(Store, SchemaVersion), StoreError> {
    let store = Store::open(folder).map(Opened::log_set_aside)?;
    let finalized = check_finalized(&store, newest_allowed)?;
    if newest_allowed == SchemaVersion::FIRST && store.migrate(newest_allowed.number().into())? {
        info!("state.folder: the file is of form {newest_allowed} again");
    }
    Ok((store, finalized))
}

fn check_finalized(store: &Store, newest_allowed: SchemaVersion) -> Result<SchemaVersion, StoreError> {
    let finalized = store.finalized_version()?;
    let supported = SchemaVersion::new(finalized).ok().filter(|version| *version <= newest_allowed);
    supported.ok_or(StoreError::Finalized { finalized, newest_allowed: newest_allowed.number().into() })
}

/// Loads the store's entries into the core and starts the thread that writes to the store.
///
/// # Errors
/// The thread can't be started.
pub fn restore(opened: OpenedFolder, relay: &mut Relay, now: Millis) -> io::Result<Writer> {
    let mut restored = RestoreSummary::default();
    // Records are restored one at a time: a store may hold more of them than fit into memory.
    let load =
        |store: &Store| store.load(|record| restored += relay.restore_affinity(now, std::iter::once(record)));
    if let Some(loaded) = opened.store.as_ref().map(load) {
        log_loaded(loaded);
    }
    log_restored(&restored);
    relay.track_affinity_changes();
    let folder = opened.folder;
    Writer::start(opened.store, Box::new(move || Store::open(&folder)))
}

fn log_loaded(loaded: Result<Loaded, StoreError>) {
    match loaded {
        Ok(loaded) if loaded.damaged > 0 => {
            warn!("state.folder: {} damaged entries are skipped", loaded.damaged);
        }
        Ok(_) => {}
        Err(e) => error!("state.folder: {e}; starting with the entries that could be read"),
    }
}

fn log_restored(restored: &RestoreSummary) {
    info!(
        "state.folder: {} entries taken, {} too old, {} without room; an entry counts once its endpoint is listed",
        restored.accepted, restored.expired, restored.rejected
    );
    if restored.in_future > 0 {
        let ahead = restored.in_future;
        warn!(
            "state.folder: {ahead} entries have a time in the future, and count as set now: was the clock stepped back?"
        );
    }
}

/// Writes the core's changes to the store at the configured interval and removes old entries from it, for as
/// long as the program runs. Does nothing where the configuration names no store.
pub async fn write_behind(shared: Rc<Shared>) {
    let Some(writer) = &shared.store_writer else { return };
    let Some(flush) = shared.config.borrow().state.as_ref().map(|state| state.flush_interval) else { return };
    let max_age = shared.config.borrow().settings.affinity_limits.max_age;
    let mut interval = interval(duration_from_millis(flush));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut unsent = None;
    let mut pruned_at = f64::NEG_INFINITY;
    loop {
        interval.tick().await;
        let now = shared.clock.now();
        if now - pruned_at > PRUNE_INTERVAL_MS {
            pruned_at = now;
            writer.prune(now - max_age);
        }
        if writer.take_resync_request() {
            shared.relay.borrow_mut().track_affinity_changes();
        }
        write_changes(&shared, writer, &mut unsent, now).await;
    }
}

/// Passes all changes to the writer, batch by batch. Where the writer's queue is full, the batch is kept in
/// `unsent` for the next call, and later changes stay in the core's tables until then.
async fn write_changes(shared: &Shared, writer: &Writer, unsent: &mut Option<Changes>, now: Millis) {
    loop {
        let batch = unsent
            .take()
            .unwrap_or_else(|| shared.relay.borrow_mut().take_affinity_changes(now, BATCH_ENTRIES));
        let has_more = batch.updated.len() >= BATCH_ENTRIES;
        if !batch.is_empty() {
            *unsent = writer.write(batch).err();
        }
        if unsent.is_some() || !has_more {
            break;
        }
        tokio::task::yield_now().await;
    }
}
