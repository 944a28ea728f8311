//! Stand-ins for endpoints, and the store that all their set-ups call.
//!
//! They own their listeners and their connections; their inputs are first lines and faults; they record
//! every attempt. A set-up takes its turn at the store, first come, first served, also when its relay has
//! cancelled it since. A cold endpoint counts what arrives, rejected or not, and is overloaded by the
//! rule's budget. One that has died stays down until it is started again.

mod connection;
mod model;
mod state;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::log::EventKind;
use crate::network::{Listening, listen, listen_at};
use crate::settings::RuleSettings;
use crate::{Log, Millis, TestClusterError, duration, lock};
use connection::EndpointConnection;
pub use model::{Behaviour, EndpointModel};
use state::{Command, EndpointState, Shared, Store};

/// How often a listener is tried at the address of an endpoint that starts again: what listened there
/// before is released a moment after its end.
const MAX_LISTEN_RETRIES: u32 = 100;
/// The pause between two such tries.
const LISTEN_RETRY_MS: Millis = 10.0;
/// The pause after a failure to accept, which is mostly for want of descriptors.
const ACCEPT_RETRY_MS: Millis = 10.0;

/// All endpoints and their store. They end when it is dropped.
pub struct StubEndpoints {
    shared: Arc<Shared>,
}

impl StubEndpoints {
    /// No endpoints, and a store of so many set-ups a second, or without a limit.
    pub fn new(rules: &RuleSettings, store_setups_per_s: Option<f64>, log: &Log) -> StubEndpoints {
        let shared = Shared {
            log: log.clone(),
            rules: rules.clone(),
            endpoints: Mutex::default(),
            store: Mutex::new(Store::new(store_setups_per_s)),
        };
        StubEndpoints { shared: Arc::new(shared) }
    }

    /// Adds an endpoint and starts it, warm or cold; returns where it listens.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Socket`] if its listener can't be opened.
    pub async fn add(&self, model: EndpointModel, cold: bool) -> Result<SocketAddr, TestClusterError> {
        let Listening { address, listener } = listen().await?;
        let id = model.id.clone();
        lock(&self.shared.endpoints).insert(id.clone(), EndpointState::new(model, address));
        self.begin(&id, listener, cold);
        Ok(address)
    }

    /// Kills an endpoint, if it runs, and starts it again at the same address. An unknown id is ignored.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Socket`] if its address is not released.
    pub async fn restart(&self, id: &str, cold: bool) -> Result<(), TestClusterError> {
        let address = lock(&self.shared.endpoints).get(id).map(|endpoint| endpoint.address);
        let Some(address) = address else { return Ok(()) };
        self.kill(id);
        let mut listening = listen_at(address).await;
        for _ in 0..MAX_LISTEN_RETRIES {
            if listening.is_ok() {
                break;
            }
            sleep(duration(LISTEN_RETRY_MS)).await;
            listening = listen_at(address).await;
        }
        self.begin(id, listening?.listener, cold);
        Ok(())
    }

    fn begin(&self, id: &str, listener: TcpListener, cold: bool) {
        let mut endpoints = lock(&self.shared.endpoints);
        let Some(endpoint) = endpoints.get_mut(id) else { return };
        let id = endpoint.model.id.clone();
        let setups_per_s = endpoint.model.setups_per_s;
        let cold_since_ms = cold.then(|| self.shared.log.now());
        let commands = endpoint.commands.subscribe();
        let task = tokio::spawn(accept(self.shared.clone(), id.clone(), listener, commands));
        endpoint.begin(cold_since_ms, task.abort_handle());
        if cold {
            self.shared.log.record(EventKind::ColdStart { endpoint: id, setups_per_s });
        }
    }

    /// Kills an endpoint: its connections are reset and new ones refused.
    pub fn kill(&self, id: &str) {
        if let Some(endpoint) = lock(&self.shared.endpoints).get_mut(id) {
            endpoint.die();
        }
    }

    /// How an endpoint treats what arrives from now on.
    pub fn set_behaviour(&self, id: &str, behaviour: Behaviour) {
        self.command(id, |command| command.behaviour = behaviour);
    }

    /// Drains an endpoint: it rejects set-ups, and asks its clients to reconnect within so many milliseconds.
    pub fn drain(&self, id: &str, within_ms: Millis) {
        self.command(id, |command| command.drain_within_ms = Some(within_ms));
    }

    fn command(&self, id: &str, change: impl FnOnce(&mut Command)) {
        if let Some(endpoint) = lock(&self.shared.endpoints).get(id) {
            endpoint.commands.send_modify(change);
        }
    }

    /// The ids of all endpoints, in order.
    pub fn ids(&self) -> Vec<Arc<str>> {
        lock(&self.shared.endpoints).keys().cloned().collect()
    }

    /// The model and the address of an endpoint.
    pub fn model(&self, id: &str) -> Option<(EndpointModel, SocketAddr)> {
        let endpoints = lock(&self.shared.endpoints);
        endpoints.get(id).map(|endpoint| (endpoint.model.clone(), endpoint.address))
    }

    /// Whether an endpoint runs.
    pub fn is_running(&self, id: &str) -> bool {
        lock(&self.shared.endpoints).get(id).is_some_and(EndpointState::is_running)
    }

    /// The number of connections that each endpoint holds, those without a relay included.
    pub fn connection_counts(&self) -> BTreeMap<Arc<str>, usize> {
        let endpoints = lock(&self.shared.endpoints);
        endpoints.iter().map(|(id, endpoint)| (id.clone(), endpoint.connections.len())).collect()
    }

    /// Set-ups that the store has taken.
    pub fn store_setups(&self) -> u64 {
        lock(&self.shared.store).taken
    }
}

impl Drop for StubEndpoints {
    fn drop(&mut self) {
        lock(&self.shared.endpoints).values_mut().for_each(EndpointState::die);
    }
}

/// Accepts the connections of one endpoint.
async fn accept(
    shared: Arc<Shared>,
    id: Arc<str>,
    listener: TcpListener,
    commands: watch::Receiver<Command>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(duration(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let connection = EndpointConnection::new(shared.clone(), id.clone(), commands.clone());
        tokio::spawn(connection.serve(stream));
    }
}
