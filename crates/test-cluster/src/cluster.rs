//! A whole rig: relays, links, discovery, endpoints and the front, wired together.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::fault_proxy::{Fate, Mesh};
use crate::fault_schedule::{Fault, Script};
use crate::invariants::{Verdict, judge};
use crate::load_clients::{ClientProtocol, Clients, Plan as Crowd};
use crate::log::What;
use crate::process::{Plan, Relay};
use crate::settings::{Rules, settings};
use crate::stub_discovery::{Discovery, Entry, Service};
use crate::stub_endpoints::{Fleet, Model};
use crate::{Log, Millis, TestClusterError, free_address, raise_descriptors, span, unix_ms};

/// How many of what.
#[derive(Clone, Debug)]
pub struct Size {
    /// The program.
    pub binary: PathBuf,
    /// Relays.
    pub relays: usize,
    /// Endpoints that have been up for long.
    pub warm: usize,
    /// Endpoints that start with the rig.
    pub cold: usize,
    /// Set-ups a second that a warm endpoint bears.
    pub rate: f64,
    /// Connections that an endpoint holds at the most.
    pub places: usize,
    /// Set-ups a second that the store bears, if it is a limit.
    pub store_rate: Option<f64>,
    /// How discovery fares.
    pub service: Service,
    /// Figures of the rules.
    pub rules: Rules,
    /// Classes in the settings.
    pub classes: Vec<&'static str>,
    /// Tenants in the settings.
    pub tenants: Vec<&'static str>,
    /// What all that is drawn depends on.
    pub seed: u64,
    /// The list that relays know at their start is as it was before the cold endpoints began.
    pub known: bool,
}

impl Size {
    /// So many relays of this program before so many warm endpoints.
    pub fn new(binary: impl Into<PathBuf>, relays: usize, warm: usize) -> Size {
        Size {
            binary: binary.into(),
            relays,
            warm,
            cold: 0,
            rate: 40.0,
            places: 500,
            store_rate: None,
            service: Service::default(),
            rules: Rules::default(),
            classes: vec!["stream"],
            tenants: vec!["acme", "luna", "nova"],
            seed: 1,
            known: true,
        }
    }
}

/// A rig. All of it ends when it is dropped.
pub struct TestCluster {
    /// How many of what.
    pub size: Size,
    /// What all have seen.
    pub log: Log,
    /// The relays, by number.
    pub relays: Vec<Relay>,
    /// The links between them.
    pub mesh: Mesh,
    /// Discovery.
    pub discovery: Discovery,
    /// The endpoints.
    pub fleet: Fleet,
    /// The front.
    pub front: Arc<ClientProtocol>,
    /// What looks after the rig's own thread.
    _watch: JoinSet<()>,
}

/// Descriptors beside those for relays; each client takes two or three while it stands.
const OWN: u64 = 1000;
/// How often it is looked whether the rig's own thread goes on, and how late that is noted.
const TICK: Millis = 20.0;
const STALL: Millis = 50.0;

impl TestCluster {
    /// Sets everything up but starts no relay. To be called within a runtime.
    pub async fn new(size: Size) -> Result<TestCluster, TestClusterError> {
        raise_descriptors(OWN + 8 * size.relays as u64)?;
        let log = Log::default();
        let discovery = Discovery::start(size.relays, size.service.clone(), &log).await?;
        let fleet = Fleet::new(&size.rules, size.store_rate, &log);
        let mut known = serde_json::Value::Null;
        for n in 0..size.warm + size.cold {
            if n == size.warm && size.known {
                known = discovery.whole(None);
            }
            let model = model(&size, n);
            let cold = n >= size.warm;
            let address = fleet.add(model.clone(), cold).await?;
            discovery.list(entry(&model, address, cold));
        }
        if size.cold == 0 && size.known {
            known = discovery.whole(None);
        }
        let peers = (0..size.relays).map(|_| free_address()).collect::<Result<Vec<_>, _>>()?;
        let mesh = Mesh::new(peers.clone(), size.seed, &log).await?;
        let mut relays = Vec::new();
        for (local_index, own) in peers.into_iter().enumerate() {
            let settings = settings(&size.rules, size.relays, local_index, &size.classes, &size.tenants);
            let mut plan = Plan::new(&size.binary, discovery.address(local_index), settings)?;
            (plan.peer_listen, plan.peers, plan.known) = (own, mesh.addresses().to_vec(), known.clone());
            relays.push(Relay::new(local_index, plan, &log)?);
        }
        let listens: Vec<_> = relays.iter().map(|r| r.plan.listen).collect();
        let front = Arc::new(ClientProtocol::new(&listens, &log));
        let mut watch = JoinSet::new();
        watch.spawn(stalls(log.clone()));
        Ok(TestCluster { size, log, relays, mesh, discovery, fleet, front, _watch: watch })
    }

    /// Starts all relays, evenly over so many milliseconds.
    pub async fn start(&mut self, over_ms: Millis) -> Result<(), TestClusterError> {
        let (begin, each) = (self.log.now(), over_ms / self.relays.len() as f64);
        for (n, relay) in self.relays.iter_mut().enumerate() {
            tokio::time::sleep(span(begin + each * n as f64 - self.log.now())).await;
            relay.start()?;
        }
        Ok(())
    }

    /// Starts all relays and waits until the front has admitted them.
    pub async fn ready(&mut self) -> Result<(), TestClusterError> {
        self.start(0.0).await?;
        for relay in &self.relays {
            relay.ready(30_000.0).await?;
        }
        self.front.until(self.relays.len(), 5000.0).await;
        Ok(())
    }

    /// Lets clients arrive.
    pub fn clients(&self, plan: Crowd) -> Clients {
        Clients::arrive(plan, &self.front, &self.size.rules, &self.log)
    }

    /// Carries one fault out.
    pub async fn apply(&mut self, fault: &Fault) -> Result<(), TestClusterError> {
        match fault {
            Fault::Kill(some) => some.iter().for_each(|n| self.relays[*n].kill()),
            Fault::Terminate(some) => some.iter().try_for_each(|n| self.relays[*n].terminate())?,
            Fault::Restart(some) => {
                some.iter().try_for_each(|n| self.relays[*n].start())?;
            }
            Fault::Stop(n) => self.relays[*n].stop()?,
            Fault::GoOn(n) => self.relays[*n].go_on()?,
            Fault::Reload(n) => self.relays[*n].reload()?,
            Fault::Cut(side) => self.mesh.cut(|n| side.contains(&n)),
            Fault::Heal => self.mesh.heal(),
            Fault::Noise { loss, doubled, delay_ms } => {
                let (loss, doubled) = (*loss, *doubled);
                self.mesh.set_all(Fate { delay: (0.0, *delay_ms), loss, doubled, cut: false });
            }
            Fault::DiscoveryDown => self.discovery.set(|s| s.down = true),
            Fault::DiscoveryBack => self.discovery.set(|s| s.down = false),
            Fault::Silence => self.discovery.silence(),
            Fault::Drain(n, within) => {
                let id = self.endpoint(*n);
                self.discovery.phase(&id, "Terminating");
                self.fleet.drain(&id, *within);
            }
            Fault::EndpointDies(n) => {
                let id = self.endpoint(*n);
                self.fleet.kill(&id);
                self.discovery.phase(&id, "Gone");
            }
            Fault::EndpointStarts(n) => self.endpoint_starts(*n).await?,
            Fault::EndpointJoins => {
                let model = model(&self.size, self.fleet.ids().len());
                let address = self.fleet.add(model.clone(), true).await?;
                self.discovery.list(entry(&model, address, true));
            }
        }
        Ok(())
    }

    async fn endpoint_starts(&self, n: usize) -> Result<(), TestClusterError> {
        let id = self.endpoint(n);
        self.fleet.start(&id, true).await?;
        if let Some((model, address)) = self.fleet.model(&id) {
            self.discovery.list(entry(&model, address, true));
        }
        Ok(())
    }

    fn endpoint(&self, n: usize) -> Arc<str> {
        self.fleet.ids().get(n).cloned().unwrap_or_else(|| "".into())
    }

    /// Carries a script out, to its end.
    pub async fn run(&mut self, script: &Script) -> Result<(), TestClusterError> {
        let begin = self.log.now();
        for (at, fault) in &script.steps {
            tokio::time::sleep(span(begin + at - self.log.now())).await;
            self.apply(fault).await?;
        }
        Ok(())
    }

    /// What the log shows so far.
    pub fn verdict(&self) -> Verdict {
        judge(&self.log.events(), &self.size.rules, &HashMap::new())
    }
}

/// Notes when the thread of all stand-ins has stood still.
async fn stalls(log: Log) {
    loop {
        let before = log.now();
        sleep(span(TICK)).await;
        let ms = log.now() - before - TICK;
        if ms > STALL {
            log.note(What::Stalled { ms });
        }
    }
}

/// The endpoint of this number.
fn model(size: &Size, n: usize) -> Model {
    let zone = ["a", "b", "c", "d"][n % 4].into();
    Model { id: format!("s{n:03}").into(), zone, size: 1.0, rate: size.rate, places: size.places }
}

fn entry(model: &Model, address: std::net::SocketAddr, fresh: bool) -> Entry {
    let up_since = if fresh { unix_ms() } else { 0 };
    let (id, zone) = (model.id.clone(), model.zone.clone());
    Entry { id, address, zone, phase: "Ready", size: model.size, up_since }
}
