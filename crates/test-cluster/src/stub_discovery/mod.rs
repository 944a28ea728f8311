//! A stand-in for discovery: one service for all relays that takes calls in turn.
//!
//! It owns the endpoint list, the queue of calls and an address for each relay, so that the caller is
//! known. Its inputs are changes of the list and faults; it answers over HTTP and records each call. The
//! queue is arithmetic: each call that begins takes the stated cost after the one before, also one that
//! fails because it would wait too long. A watch that continues another costs nothing. A call for the whole
//! list is no watch: the watch after it begins anew.

mod body;
mod list;
mod model;
mod queue;
mod server;

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::fault_schedule::AnswerDelay;
use crate::log::{EventKind, RelayIndex};
use crate::network::{Listening, listen};
use crate::{Log, Millis, TestClusterError, duration, lock};

pub use crate::log::EndpointPhase;
pub use body::{BodyStyle, ChunkPacing, Truncation};
pub use list::EndpointEntry;
pub use model::ServiceModel;
use queue::Service;

/// The service. It ends when it is dropped.
pub struct StubDiscovery {
    service: Arc<Service>,
    addresses: Vec<SocketAddr>,
    tasks: Vec<AbortHandle>,
}

impl StubDiscovery {
    /// Starts a service with an address for each of so many relays.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Socket`] if a listener can't be opened.
    pub async fn start(
        relays: usize,
        model: ServiceModel,
        log: &Log,
    ) -> Result<StubDiscovery, TestClusterError> {
        let service = Arc::new(Service::new(model, log));
        let mut addresses = Vec::new();
        let mut tasks = Vec::new();
        for relay in 0..relays {
            let Listening { address, listener } = listen().await?;
            addresses.push(address);
            tasks.push(tokio::spawn(server::serve(service.clone(), relay, listener)).abort_handle());
        }
        Ok(StubDiscovery { service, addresses, tasks })
    }

    /// Where a relay calls it.
    pub fn address(&self, relay: RelayIndex) -> SocketAddr {
        self.addresses[relay]
    }

    /// Changes how it behaves from now on. When it goes down, all calls end and its queue is empty.
    pub fn update(&self, change: impl FnOnce(&mut ServiceModel)) {
        let mut state = lock(&self.service.state);
        let was_down = state.model.down;
        change(&mut state.model);
        if state.model.down && !was_down {
            state.generation += 1;
            state.last_watch_answered_ms.clear();
            state.free_at_ms = 0.0;
        }
        drop(state);
        self.service.notify();
    }

    /// Changes how late it answers the calls that come from now on.
    pub fn set_answer_delay(&self, delay: AnswerDelay) {
        self.update(|service| {
            service.answer_delay_ms = delay.delay_ms;
            service.delays_continued_watches = delay.delays_continued_watches;
        });
    }

    /// Watches that are open now are never answered; those that begin later are.
    pub fn silence_watches(&self) {
        lock(&self.service.state).silences += 1;
        self.service.notify();
    }

    /// Changes or adds an entry.
    pub fn publish(&self, entry: EndpointEntry) {
        let mut state = lock(&self.service.state);
        let endpoint = entry.id.clone();
        let zone = entry.zone.clone();
        let phase = entry.phase;
        let recently_started = entry.started_unix_ms > 0;
        let revision = state.list.insert(entry, self.service.log.now());
        let staleness_ms = state.model.staleness_ms;
        drop(state);
        self.service.log.record(EventKind::EndpointListed {
            revision,
            endpoint,
            zone,
            phase,
            recently_started,
        });
        self.service.notify();
        if staleness_ms > 0.0 {
            tokio::spawn(notify_later(self.service.clone(), staleness_ms + 1.0));
        }
    }

    /// Changes the phase of an endpoint, if it is listed.
    pub fn set_phase(&self, id: &str, phase: EndpointPhase) {
        let entry = lock(&self.service.state).list.entry(id).cloned();
        if let Some(entry) = entry {
            self.publish(EndpointEntry { phase, ..entry });
        }
    }

    /// The whole list as it is now, in discovery's format.
    pub fn snapshot(&self) -> Value {
        let state = lock(&self.service.state);
        state.list.to_json(None, state.list.revision())
    }
}

impl Drop for StubDiscovery {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        lock(&self.service.state).generation += 1;
        self.service.notify();
    }
}

/// Lets open calls check the list again once a change is as old as the answers are.
async fn notify_later(service: Arc<Service>, delay_ms: Millis) {
    sleep(duration(delay_ms)).await;
    service.notify();
}
