//! The state of one endpoint and of the store: what they hold, and what becomes of a request. No input or
//! output.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::model::{Behaviour, EndpointModel};
use crate::settings::RuleSettings;
use crate::{Log, Millis};

/// What an endpoint's connections have to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Command {
    /// Counts deaths: a connection of an earlier incarnation is reset.
    pub(super) incarnation: u64,
    pub(super) behaviour: Behaviour,
    /// Within how long all clients are asked to reconnect, if it drains.
    pub(super) drain_within_ms: Option<Millis>,
}

impl Command {
    fn healthy(incarnation: u64) -> Command {
        Command { incarnation, behaviour: Behaviour::Healthy, drain_within_ms: None }
    }
}

/// Whether the relay of a connection is there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionState {
    Connected,
    /// Its relay is gone since this time.
    Parked(Millis),
}

impl ConnectionState {
    /// Whether the endpoint still retains it.
    fn is_retained(self, now_ms: Millis, park_ms: Millis) -> bool {
        match self {
            ConnectionState::Connected => true,
            ConnectionState::Parked(since_ms) => now_ms - since_ms < park_ms,
        }
    }
}

/// One endpoint.
pub(super) struct EndpointState {
    pub(super) model: EndpointModel,
    pub(super) address: SocketAddr,
    pub(super) commands: watch::Sender<Command>,
    task: Option<AbortHandle>,
    /// When it started cold, if it did.
    cold_since_ms: Option<Millis>,
    /// When the requests within the present window arrived.
    recent_arrivals_ms: VecDeque<Millis>,
    /// Its connections by their clients' keys.
    pub(super) connections: HashMap<String, ConnectionState>,
    receipts: u64,
}

impl EndpointState {
    pub(super) fn new(model: EndpointModel, address: SocketAddr) -> EndpointState {
        EndpointState {
            model,
            address,
            commands: watch::channel(Command::healthy(0)).0,
            task: None,
            cold_since_ms: None,
            recent_arrivals_ms: VecDeque::new(),
            connections: HashMap::new(),
            receipts: 0,
        }
    }

    /// It runs from now on, by this task.
    pub(super) fn begin(&mut self, cold_since_ms: Option<Millis>, task: AbortHandle) {
        self.cold_since_ms = cold_since_ms;
        self.recent_arrivals_ms.clear();
        self.task = Some(task);
    }

    pub(super) fn is_running(&self) -> bool {
        self.task.is_some()
    }

    /// Ends it: its connections are reset and new ones refused.
    pub(super) fn die(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.connections.clear();
        self.commands.send_modify(|command| *command = Command::healthy(command.incarnation + 1));
    }

    /// Whether it has no place for another connection.
    pub(super) fn is_full(&mut self, now_ms: Millis, park_ms: Millis) -> bool {
        if self.connections.len() >= self.model.max_connections {
            self.connections.retain(|_, state| state.is_retained(now_ms, park_ms));
        }
        self.connections.len() >= self.model.max_connections
    }

    /// Whether it holds the connection of this client.
    pub(super) fn holds(&self, key: &str, now_ms: Millis, park_ms: Millis) -> bool {
        self.connections.get(key).is_some_and(|state| state.is_retained(now_ms, park_ms))
    }

    /// Counts a request that has arrived; returns whether it overloads an endpoint that is cold.
    pub(super) fn count_arrival(&mut self, rules: &RuleSettings, now_ms: Millis) -> bool {
        let age_ms = self.cold_since_ms.map(|since_ms| now_ms - since_ms);
        let Some(age_ms) = age_ms.filter(|age_ms| *age_ms < rules.warm_up_ms) else { return false };
        let arrivals = &mut self.recent_arrivals_ms;
        arrivals.push_back(now_ms);
        while arrivals.front().is_some_and(|arrival_ms| now_ms - arrival_ms > rules.overload_window_ms) {
            arrivals.pop_front();
        }
        let allowed = rules.allowed_requests(self.model.setups_per_s, age_ms);
        arrivals.len() as f64 > RuleSettings::overload_budget(allowed)
    }

    /// Establishes the connection of this client; returns its receipt.
    pub(super) fn establish(&mut self, key: &str) -> String {
        self.receipts += 1;
        self.connections.insert(key.to_owned(), ConnectionState::Connected);
        format!("{}/{}", self.model.id, self.receipts)
    }
}

/// The store, which takes one set-up after the other.
pub(super) struct Store {
    /// Set-ups a second; none where it is no limit.
    setups_per_s: Option<f64>,
    free_at_ms: Millis,
    /// The number of set-ups so far.
    pub(super) taken: u64,
}

impl Store {
    pub(super) fn new(setups_per_s: Option<f64>) -> Store {
        Store { setups_per_s, free_at_ms: 0.0, taken: 0 }
    }

    /// Takes a set-up; returns how long it takes with those that wait before it.
    pub(super) fn take(&mut self, now_ms: Millis) -> Millis {
        self.taken += 1;
        let setup_ms = self.setups_per_s.map_or(0.0, |setups_per_s| 1000.0 / setups_per_s);
        self.free_at_ms = self.free_at_ms.max(now_ms) + setup_ms;
        self.free_at_ms - now_ms
    }
}

/// What all endpoints share.
pub(super) struct Shared {
    pub(super) log: Log,
    pub(super) rules: RuleSettings,
    pub(super) endpoints: Mutex<BTreeMap<Arc<str>, EndpointState>>,
    pub(super) store: Mutex<Store>,
}
