//! Drives the store of clients and groups: opened and read before anything is served, written behind after that.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use log::{error, info, warn};
use sandgw_affinity::RestoreSummary;
use sandgw_affinity_store::writer::Writer;
use sandgw_affinity_store::{Opened, Store, StoreError};
use sandgw_schema_version::SchemaVersion;

use super::{Shared, span};
use crate::policy::api::Millis;
use crate::relay::Relay;

/// Entries taken from the core at a time: it is not held up for longer than that takes.
const BATCH: usize = 4096;
/// How often old entries are dropped from the store.
const PRUNE_EVERY: Millis = 600_000.0;

/// A store that was opened.
pub struct Kept {
    folder: PathBuf,
    store: Option<Store>,
    /// The form below which it may not go.
    pub finalized: SchemaVersion,
}

/// Opens the store. A folder that can't be used is refused: it is the operator's to mend. A file that can't be read
/// is set aside and a disk that fails is waited for; the relay starts without what they hold. One of a form to come,
/// or finalized at a form over `most`, is refused and left as it is.
pub fn open(folder: &Path, most: SchemaVersion) -> io::Result<Kept> {
    let kept = |store, finalized| Kept { folder: folder.to_owned(), store, finalized };
    let opened = Store::open(folder).map(Opened::noted).and_then(|store| {
        let finalized = readable(&store, most)?;
        Ok((store, finalized))
    });
    match opened {
        Ok((store, finalized)) => Ok(kept(Some(store), finalized)),
        Err(
            e @ (StoreError::InUse
            | StoreError::Folder(_)
            | StoreError::Future { .. }
            | StoreError::Finalized { .. }),
        ) => Err(io::Error::other(format!("{}: {e}; {}", folder.display(), e.help()))),
        Err(e) => {
            error!("state.folder: {}: {e}; starting without it", folder.display());
            Ok(kept(None, SchemaVersion::FIRST))
        }
    }
}

/// What is finalized, if this process reads it; where it writes form 1 only, the file is moved to that.
fn readable(store: &Store, most: SchemaVersion) -> Result<SchemaVersion, StoreError> {
    let (finalized, newest) = (store.finalized()?, most.number().into());
    let readable = SchemaVersion::new(finalized).ok().filter(|f| *f <= most);
    let finalized = readable.ok_or(StoreError::Finalized { finalized, most: newest })?;
    if most == SchemaVersion::FIRST && store.move_to(newest)? {
        info!("state.folder: the file is of form {most} again");
    }
    Ok(finalized)
}

/// Hands what is in the store to the core and starts the thread that writes.
pub fn restore(kept: Kept, relay: &mut Relay, now: Millis) -> io::Result<Writer> {
    let mut done = RestoreSummary::default();
    // One at a time: a folder may hold more than there is memory for.
    match kept
        .store
        .as_ref()
        .map(|s| s.load(|record| done += relay.restore_affinity(now, std::iter::once(record))))
    {
        Some(Ok(loaded)) if loaded.damaged > 0 => {
            warn!("state.folder: {} damaged entries are passed over", loaded.damaged);
        }
        Some(Err(e)) => error!("state.folder: {e}; starting with what could be read"),
        _ => {}
    }
    info!(
        "state.folder: {} entries taken, {} too old, {} without room; they count once their streamers are listed",
        done.accepted, done.expired, done.rejected
    );
    if done.in_future > 0 {
        let ahead = done.in_future;
        warn!(
            "state.folder: {ahead} entries were set later than now, and count as set now: was the clock stepped back?"
        );
    }
    relay.track_affinity_changes();
    let folder = kept.folder;
    Writer::start(kept.store, Box::new(move || Store::open(&folder)))
}

/// Writes behind for as long as the program runs.
pub async fn keep(shared: Rc<Shared>) {
    let Some(writer) = &shared.store_writer else { return };
    let Some(flush) = shared.config.borrow().state.as_ref().map(|s| s.flush) else { return };
    let max_age = shared.config.borrow().settings.affinity_limits.max_age;
    let mut interval = tokio::time::interval(span(flush));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut waiting, mut pruned) = (None, f64::NEG_INFINITY);
    loop {
        interval.tick().await;
        let now = shared.clock.now();
        if now - pruned > PRUNE_EVERY {
            pruned = now;
            writer.prune(now - max_age);
        }
        if writer.take_lost() {
            shared.relay.borrow_mut().track_affinity_changes();
        }
        // What the writer has no room for waits here; what comes after it waits in the tables.
        loop {
            let batch =
                waiting.take().unwrap_or_else(|| shared.relay.borrow_mut().take_affinity_changes(now, BATCH));
            let more = batch.updated.len() >= BATCH;
            if !batch.is_empty() {
                waiting = writer.write(batch).err();
            }
            if waiting.is_some() || !more {
                break;
            }
            tokio::task::yield_now().await;
        }
    }
}
