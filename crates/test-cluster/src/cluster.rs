//! A whole cluster: relays, the links between them, discovery, endpoints and clients, wired together.
//!
//! It owns the parts; its inputs are a [`ClusterConfig`] and faults; what happens is in the parts' log.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::fault_proxy::{DatagramMesh, DelayRange, LinkFaults};
use crate::fault_schedule::{AnswerDelay, Fault, FaultSchedule};
use crate::invariants::{Verdict, check_invariants};
use crate::load_clients::{HealthChecker, LoadClients, LoadPlan};
use crate::log::{EventKind, RelayIndex};
use crate::process::{RelayConfig, RelayProcess};
use crate::settings::{RuleSettings, relay_settings};
use crate::stub_discovery::{EndpointEntry, EndpointPhase, ServiceModel, StubDiscovery};
use crate::stub_endpoints::{Behaviour, EndpointModel, StubEndpoints};
use crate::{Log, Millis, TestClusterError, duration, free_address, raise_descriptor_limit, unix_ms};

/// Descriptors besides those for relays; each client takes two or three while it is connected.
const BASE_DESCRIPTORS: u64 = 1000;
/// Descriptors that the stand-ins take for each relay.
const DESCRIPTORS_PER_RELAY: u64 = 8;
/// How long a relay may take to answer `PING` after its start.
const READY_TIMEOUT_MS: Millis = 30_000.0;
/// How long the health checker may take to find all relays once they are ready.
const HEALTH_TIMEOUT_MS: Millis = 5000.0;
/// How often it is checked whether the thread of the stand-ins runs.
const STALL_CHECK_INTERVAL_MS: Millis = 20.0;
/// How late such a check has to be to count as a stall.
const MIN_STALL_MS: Millis = 50.0;
/// How long an idle client may take to connect: a relay without descriptors takes nobody.
const CROWD_CONNECT_TIMEOUT_MS: Millis = 100.0;
/// The zones of the endpoints, in turn.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The program of the relays.
    pub binary: PathBuf,
    /// The number of relays.
    pub relays: usize,
    /// Endpoints that have been up for long.
    pub warm_endpoints: usize,
    /// Endpoints that start with the cluster.
    pub cold_endpoints: usize,
    /// Set-ups a second that a warm endpoint takes.
    pub setups_per_s: f64,
    /// Connections that an endpoint holds at most.
    pub max_connections: usize,
    /// Set-ups a second that the endpoints' store takes, if it is a limit.
    pub store_setups_per_s: Option<f64>,
    /// How discovery behaves.
    pub discovery: ServiceModel,
    /// Figures of the rules.
    pub rules: RuleSettings,
    /// Classes in the settings.
    pub classes: Vec<&'static str>,
    /// Tenants in the settings.
    pub tenants: Vec<&'static str>,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Whether relays know a list at their start: the one from before the cold endpoints started.
    pub list_known_at_start: bool,
}

impl ClusterConfig {
    /// A cluster of `relays` of this program and `warm_endpoints`, with defaults for the rest.
    pub fn new(binary: impl Into<PathBuf>, relays: usize, warm_endpoints: usize) -> ClusterConfig {
        ClusterConfig {
            binary: binary.into(),
            relays,
            warm_endpoints,
            cold_endpoints: 0,
            setups_per_s: 40.0,
            max_connections: 500,
            store_setups_per_s: None,
            discovery: ServiceModel::default(),
            rules: RuleSettings::default(),
            classes: vec!["stream"],
            tenants: vec!["acme", "luna", "nova"],
            seed: 1,
            list_known_at_start: true,
        }
    }

    /// The model of the endpoint of this number.
    fn endpoint_model(&self, number: usize) -> EndpointModel {
        EndpointModel {
            id: format!("s{number:03}").into(),
            zone: ZONES[number % ZONES.len()].into(),
            size: 1.0,
            setups_per_s: self.setups_per_s,
            max_connections: self.max_connections,
        }
    }
}

/// A cluster. All of it ends when it is dropped.
pub struct TestCluster {
    /// What it consists of.
    pub config: ClusterConfig,
    /// What all stand-ins have seen.
    pub log: Log,
    /// The relays, by number.
    pub relays: Vec<RelayProcess>,
    /// The links between the relays.
    pub mesh: DatagramMesh,
    /// Discovery.
    pub discovery: StubDiscovery,
    /// The endpoints.
    pub endpoints: StubEndpoints,
    /// The check of which relays clients can use.
    pub health: Arc<HealthChecker>,
    /// Idle clients of a crowd.
    idle_clients: Vec<TcpStream>,
    /// The task that records stalls of the stand-ins' thread.
    _stall_recorder: JoinSet<()>,
}

impl TestCluster {
    /// Sets everything up but starts no relay. It is to be called within a runtime.
    ///
    /// # Errors
    ///
    /// An error if the limit of descriptors is too low, or a socket or a folder can't be made.
    pub async fn new(config: ClusterConfig) -> Result<TestCluster, TestClusterError> {
        raise_descriptor_limit(BASE_DESCRIPTORS + DESCRIPTORS_PER_RELAY * config.relays as u64)?;
        let log = Log::default();
        let discovery = StubDiscovery::start(config.relays, config.discovery.clone(), &log).await?;
        let endpoints = StubEndpoints::new(&config.rules, config.store_setups_per_s, &log);
        let known_list = start_endpoints(&config, &endpoints, &discovery).await?;
        let peers = (0..config.relays).map(|_| free_address()).collect::<Result<Vec<_>, _>>()?;
        let mesh = DatagramMesh::new(peers.clone(), config.seed, &log).await?;
        let mut relays = Vec::new();
        for (index, peer_listen) in peers.into_iter().enumerate() {
            let relay_config = RelayConfig {
                peer_listen,
                peers: mesh.addresses().to_vec(),
                known_list: known_list.clone(),
                ..relay_config(&config, index, &discovery)?
            };
            relays.push(RelayProcess::new(index, relay_config, &log)?);
        }
        let listens: Vec<_> = relays.iter().map(|relay| relay.config.listen).collect();
        let health = Arc::new(HealthChecker::new(&listens, &log));
        let mut stall_recorder = JoinSet::new();
        stall_recorder.spawn(record_stalls(log.clone()));
        Ok(TestCluster {
            config,
            log,
            relays,
            mesh,
            discovery,
            endpoints,
            health,
            idle_clients: Vec::new(),
            _stall_recorder: stall_recorder,
        })
    }

    /// Starts all relays, evenly spread over `over_ms`.
    ///
    /// # Errors
    ///
    /// An error if one can't be started.
    pub async fn start(&mut self, over_ms: Millis) -> Result<(), TestClusterError> {
        let begin_ms = self.log.now();
        let interval_ms = over_ms / self.relays.len() as f64;
        for (index, relay) in self.relays.iter_mut().enumerate() {
            let due_ms = begin_ms + interval_ms * index as f64;
            sleep(duration(due_ms - self.log.now())).await;
            relay.start()?;
        }
        Ok(())
    }

    /// Starts all relays and waits until clients can use them.
    ///
    /// # Errors
    ///
    /// An error if one can't be started or is not ready in time.
    pub async fn start_and_wait(&mut self) -> Result<(), TestClusterError> {
        self.start(0.0).await?;
        for relay in &self.relays {
            relay.wait_ready(READY_TIMEOUT_MS).await?;
        }
        self.health.wait_for(self.relays.len(), HEALTH_TIMEOUT_MS).await;
        Ok(())
    }

    /// Lets clients arrive from now on.
    pub fn start_clients(&self, plan: LoadPlan) -> LoadClients {
        LoadClients::start(plan, &self.health, &self.config.rules, &self.log)
    }

    /// Carries one fault out.
    ///
    /// # Errors
    ///
    /// An error if a relay can't be started or signalled, or an endpoint can't listen.
    pub async fn apply(&mut self, fault: &Fault) -> Result<(), TestClusterError> {
        match fault {
            Fault::KillRelays(indices) => indices.iter().for_each(|index| self.relays[*index].kill()),
            Fault::TerminateRelays(indices) => {
                indices.iter().try_for_each(|index| self.relays[*index].terminate())?;
            }
            Fault::StartRelays(indices) => {
                indices.iter().try_for_each(|index| self.relays[*index].start())?;
            }
            Fault::PauseRelay(index) => self.relays[*index].pause()?,
            Fault::ResumeRelay(index) => self.relays[*index].resume()?,
            Fault::ReloadRelay(index) => self.relays[*index].reload()?,
            Fault::Partition(side) => self.mesh.partition(|index| side.contains(&index)),
            Fault::HealPartition => self.mesh.heal(),
            Fault::DatagramNoise { loss_fraction, duplicate_fraction, max_delay_ms } => {
                self.mesh.set_all(LinkFaults {
                    delay: DelayRange { min_ms: 0.0, max_ms: *max_delay_ms },
                    loss_fraction: *loss_fraction,
                    duplicate_fraction: *duplicate_fraction,
                    blocked: false,
                });
            }
            Fault::DiscoveryDown => self.discovery.update(|service| service.down = true),
            Fault::DiscoveryUp => self.discovery.update(|service| service.down = false),
            Fault::DiscoveryMute => self.discovery.update(|service| service.unresponsive = true),
            Fault::DiscoveryAnswers => self.discovery.update(|service| service.unresponsive = false),
            Fault::DiscoverySlow(delay) => self.discovery.set_answer_delay(*delay),
            Fault::DiscoveryPrompt => self.discovery.set_answer_delay(AnswerDelay::NONE),
            Fault::SilenceWatches => self.discovery.silence_watches(),
            Fault::DrainEndpoint { endpoint, within_ms } => {
                let id = self.endpoint_id(*endpoint);
                self.discovery.set_phase(&id, EndpointPhase::Terminating);
                self.endpoints.drain(&id, *within_ms);
            }
            Fault::KillEndpoint(endpoint) => {
                let id = self.endpoint_id(*endpoint);
                self.endpoints.kill(&id);
                self.discovery.set_phase(&id, EndpointPhase::Gone);
            }
            Fault::StartEndpoint(endpoint) => self.start_endpoint(*endpoint).await?,
            Fault::AddEndpoint => self.add_endpoint().await?,
            Fault::HangEndpoint(endpoint) => self.set_behaviour(*endpoint, Behaviour::HangingSetups),
            Fault::RecoverEndpoint(endpoint) => self.set_behaviour(*endpoint, Behaviour::Healthy),
            Fault::Crowd { relay, clients } => self.crowd(*relay, *clients).await,
            Fault::CrowdLeaves => self.idle_clients.clear(),
        }
        Ok(())
    }

    fn set_behaviour(&self, endpoint: usize, behaviour: Behaviour) {
        self.endpoints.set_behaviour(&self.endpoint_id(endpoint), behaviour);
    }

    /// Connects idle clients to a relay, as many as it takes at once.
    async fn crowd(&mut self, relay: RelayIndex, clients: usize) {
        let listen = self.relays[relay].config.listen;
        for _ in 0..clients {
            let connected = timeout(duration(CROWD_CONNECT_TIMEOUT_MS), TcpStream::connect(listen)).await;
            let Ok(Ok(stream)) = connected else { return };
            self.idle_clients.push(stream);
        }
    }

    /// Starts an endpoint again, cold.
    async fn start_endpoint(&self, endpoint: usize) -> Result<(), TestClusterError> {
        let id = self.endpoint_id(endpoint);
        self.endpoints.restart(&id, true).await?;
        if let Some((model, address)) = self.endpoints.model(&id) {
            self.discovery.publish(endpoint_entry(&model, address, true));
        }
        Ok(())
    }

    /// Adds an endpoint that was never there, cold, whose id is behind all others in their order.
    async fn add_endpoint(&self) -> Result<(), TestClusterError> {
        let number = self.endpoints.ids().len();
        let model = self.config.endpoint_model(number);
        let address = self.endpoints.add(model.clone(), true).await?;
        self.discovery.publish(endpoint_entry(&model, address, true));
        Ok(())
    }

    /// The id of the endpoint at this place in the order of all ids; empty if there is none.
    fn endpoint_id(&self, endpoint: usize) -> Arc<str> {
        self.endpoints.ids().get(endpoint).cloned().unwrap_or_else(|| "".into())
    }

    /// Carries a schedule of faults out, to its end.
    ///
    /// # Errors
    ///
    /// See [`TestCluster::apply`].
    pub async fn run(&mut self, schedule: &FaultSchedule) -> Result<(), TestClusterError> {
        let begin_ms = self.log.now();
        for step in &schedule.steps {
            sleep(duration(begin_ms + step.at_ms - self.log.now())).await;
            self.apply(&step.fault).await?;
        }
        Ok(())
    }

    /// What the log shows so far.
    pub fn verdict(&self) -> Verdict {
        check_invariants(&self.log.events(), &self.config.rules, &HashMap::new())
    }
}

/// Starts and lists all endpoints; returns the list that relays know at their start, or null.
async fn start_endpoints(
    config: &ClusterConfig,
    endpoints: &StubEndpoints,
    discovery: &StubDiscovery,
) -> Result<Value, TestClusterError> {
    for number in 0..config.warm_endpoints {
        start_listed_endpoint(config, number, endpoints, discovery).await?;
    }
    let known_list = if config.list_known_at_start { discovery.snapshot() } else { Value::Null };
    for number in config.warm_endpoints..config.warm_endpoints + config.cold_endpoints {
        start_listed_endpoint(config, number, endpoints, discovery).await?;
    }
    Ok(known_list)
}

/// Starts and lists the endpoint of this number, cold unless it is one of the warm endpoints.
async fn start_listed_endpoint(
    config: &ClusterConfig,
    number: usize,
    endpoints: &StubEndpoints,
    discovery: &StubDiscovery,
) -> Result<(), TestClusterError> {
    let model = config.endpoint_model(number);
    let cold = number >= config.warm_endpoints;
    let address = endpoints.add(model.clone(), cold).await?;
    discovery.publish(endpoint_entry(&model, address, cold));
    Ok(())
}

/// The configuration of one relay, without its peers.
fn relay_config(
    config: &ClusterConfig,
    index: usize,
    discovery: &StubDiscovery,
) -> Result<RelayConfig, TestClusterError> {
    let settings = relay_settings(&config.rules, config.relays, index, &config.classes, &config.tenants);
    RelayConfig::new(&config.binary, discovery.address(index), settings)
}

/// Records every stall of the thread that all stand-ins share.
async fn record_stalls(log: Log) {
    loop {
        let before_ms = log.now();
        sleep(duration(STALL_CHECK_INTERVAL_MS)).await;
        let stall_ms = log.now() - before_ms - STALL_CHECK_INTERVAL_MS;
        if stall_ms > MIN_STALL_MS {
            log.record(EventKind::ClusterStalled { stall_ms });
        }
    }
}

/// Discovery's entry for an endpoint that is ready, and that has just started or was up for long.
fn endpoint_entry(model: &EndpointModel, address: SocketAddr, just_started: bool) -> EndpointEntry {
    EndpointEntry {
        id: model.id.clone(),
        address,
        zone: model.zone.clone(),
        phase: EndpointPhase::Ready,
        size: model.size,
        started_unix_ms: if just_started { unix_ms() } else { 0 },
    }
}
