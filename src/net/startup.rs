//! Starts a relay: opens the store, sets up the core, requests the state of a predecessor process, opens the
//! sockets, takes over from the predecessor, and starts the drivers.
//!
//! Nothing is served before all sockets are open and the predecessor process, where there is one, has stopped
//! accepting clients.

use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use sandgw_schema_version::{SchemaVersion, SupportedVersions};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;

use super::accept::accept;
use super::admission::{Admission, HANDOVER_DESCRIPTORS};
use super::clock::Clock;
use super::shared::{InheritableSocket, Shared, TransferQueue, line_names};
use super::signals::Signals;
use super::sockets::{listen, with_setting_name};
use super::takeover::{self, Predecessor, TakeoverFailure};
use super::{
    affinity_store, connection, discovery, maintenance, operators, peers, schema_version, snmp, sockets,
};
use crate::config::{Config, ConfigError};
use crate::discovery::EndpointList;
use crate::listener::line::{LineProtocol, LineProtocolState};
use crate::listener::rtmp::RtmpProtocol;
use crate::policy::api::{EndpointEntry, ListKind};
use crate::relay::Relay;

/// How often the core reports endpoints with slow round trips to the load balancer and logs quota rejections.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// The endpoint list of the configuration, which is used until discovery answers.
struct ConfiguredList {
    endpoint_list: EndpointList,
    entries: Vec<EndpointEntry>,
}

/// Starts a relay and serves. Returns when the relay can't start, or when the process has handed over and has
/// no connection left.
///
/// # Errors
/// The store, a socket or the predecessor process keeps the relay from starting.
pub async fn serve(
    mut config: Config,
    passed_listener: Option<std::net::TcpListener>,
    load: impl Fn() -> Result<Config, Vec<ConfigError>> + 'static,
) -> io::Result<()> {
    // Signals are registered before anything listens: their default action would end a program that clients
    // or operators already use.
    let signals = Signals::register()?;
    let entries = std::mem::take(&mut config.cached_endpoints);
    let endpoint_list = std::mem::take(&mut config.endpoint_list);
    let shared = open_shared(config)?;
    let _file_too_large = signals.handle(&shared, load);
    start_operators(&shared)?;
    let folder = shared.config.borrow().handover_folder.clone();
    let mut inherited = Vec::new();
    let predecessor = request_snapshot(&shared, folder.as_deref(), &mut inherited).await?;
    // All addresses are bound before anything is served: a relay that can't bind an address does not start.
    let sockets = sockets::open(&shared, passed_listener, inherited)?;
    if let Some(socket) = shared.peer_socket.get() {
        // The runtime treats a socket as not writable until a task has waited for it once. Without this wait,
        // the first datagram would be lost.
        socket.writable().await?;
    }
    load_configured_list(&shared, ConfiguredList { endpoint_list, entries });
    // A successor process takes over only with a list of its own that discovery has confirmed.
    spawn_local(discovery::watch(shared.clone()));
    let is_takeover = predecessor.is_some();
    take_over(&shared, predecessor, folder.as_deref()).await?;
    if !is_takeover {
        schema_version::query_finalized_version(&shared).await?;
    }
    start_drivers(&shared, sockets.snmp);
    if let Some(listener) = sockets.rtmp {
        start_rtmp(&shared, listener)?;
    }
    if let Some(listener) = sockets.line {
        start_line(&shared, listener)?;
    }
    shared.accepting.send_replace(true);
    start_handover_offer(&shared, folder);
    shared.hand_over_finished.notified().await;
    Ok(())
}

/// Opens the store and sets up the state that the drivers share.
fn open_shared(config: Config) -> io::Result<Rc<Shared>> {
    let clock = Clock::new();
    let newest_version = config.schema_versions.map_or(SchemaVersion::FIRST, SupportedVersions::newest);
    let opened_folder = config
        .state
        .as_ref()
        .map(|state| affinity_store::open(&state.folder, newest_version))
        .transpose()
        .map_err(|e| with_setting_name("state.folder", e))?;
    let finalized =
        opened_folder.as_ref().map_or(SchemaVersion::FIRST, |opened_folder| opened_folder.finalized);
    let peer_channel = schema_version::open_channel(&config, finalized, &clock)?;
    let handover_descriptors = if config.handover_folder.is_some() { HANDOVER_DESCRIPTORS } else { 0 };
    let mut relay = Relay::new(config.settings.clone(), config.classes.clone(), config.seed, clock.now());
    let store_writer = opened_folder
        .map(|opened_folder| affinity_store::restore(opened_folder, &mut relay, clock.now()))
        .transpose()?;
    let names = line_names(&relay, &config);
    let maintenance = maintenance::create_service(&config, clock.now()).map(RefCell::new);
    Ok(Rc::new(Shared {
        clock,
        relay: RefCell::new(relay),
        connections: RefCell::default(),
        endpoint_list: RefCell::default(),
        pool: Rc::default(),
        list_requested: Notify::new(),
        has_discovery_answered: Cell::new(false),
        list_confirmed: Notify::new(),
        discovery_address_changed: Notify::new(),
        peer_socket: OnceCell::new(),
        peer_channel,
        version_changed: Notify::new(),
        is_unreadable_version_logged: Cell::new(false),
        admission: Admission::new(config.limits.sockets, handover_descriptors),
        accepting: watch::Sender::new(false),
        is_predecessor_running: Cell::new(false),
        is_terminated: Cell::new(false),
        hand_over_finished: Notify::new(),
        transfers: TransferQueue::new(),
        inheritable_sockets: RefCell::default(),
        store_writer,
        line_rules: Rc::new(LineProtocolState::new(names)),
        maintenance,
        config: RefCell::new(config),
    }))
}

/// Starts to serve operators, who get replies even before this process is ready to serve clients.
fn start_operators(shared: &Rc<Shared>) -> io::Result<()> {
    let address = shared.config.borrow().ops;
    let listener = address.map(listen).transpose().map_err(|e| with_setting_name("ops", e))?;
    if let Some(listener) = listener {
        info!("operators call at {}", listener.local_addr()?);
        spawn_local(operators::serve_callers(shared.clone(), listener));
    }
    Ok(())
}

/// Requests the state and the sockets of the process that offers a hand-over in the folder. Returns `None`
/// where no process offers a hand-over, or where no folder is configured.
async fn request_snapshot(
    shared: &Rc<Shared>,
    folder: Option<&Path>,
    inherited: &mut Vec<InheritableSocket>,
) -> io::Result<Option<Predecessor>> {
    match folder {
        Some(folder) => takeover::request_snapshot(shared, folder, inherited).await,
        None => Ok(None),
    }
}

/// Applies the configured endpoint list where no predecessor process has handed over a list.
fn load_configured_list(shared: &Rc<Shared>, configured: ConfiguredList) {
    // The lease is tracked before the list is loaded, so that the first poll is made soon where no request
    // can be placed before it.
    shared.with_core(Relay::track_list_lease);
    if !shared.relay.borrow().has_endpoint_list() {
        *shared.endpoint_list.borrow_mut() = configured.endpoint_list;
        shared.handle_list_update(ListKind::Cached, configured.entries, shared.clock.now());
    }
    let seed = shared.config.borrow().seed;
    shared.endpoint_list.borrow_mut().reseed(seed);
}

/// Takes over from the predecessor process. Where the predecessor breaks the link and still runs, its state
/// is requested again.
async fn take_over(
    shared: &Rc<Shared>,
    mut predecessor: Option<Predecessor>,
    folder: Option<&Path>,
) -> io::Result<()> {
    while let Some(mut running) = predecessor.take() {
        match takeover::take_over(shared, &mut running).await {
            Ok(()) => drop(spawn_local(takeover::follow_predecessor(shared.clone(), running))),
            Err(TakeoverFailure::Refused(e)) => return Err(e),
            Err(TakeoverFailure::LinkBroken(e)) => {
                warn!("hand-over: the running process broke the link: {e}");
                // Where the running process has ended, the snapshot held all of its state.
                let folder = folder.unwrap_or(Path::new(""));
                predecessor = takeover::request_snapshot(shared, folder, &mut Vec::new()).await?;
            }
        }
    }
    Ok(())
}

/// Starts the drivers that need no listener.
fn start_drivers(shared: &Rc<Shared>, agent: Option<UdpSocket>) {
    spawn_local(tick(shared.clone()));
    spawn_local(schema_version::run(shared.clone()));
    spawn_local(peers::receive(shared.clone()));
    spawn_local(affinity_store::write_behind(shared.clone()));
    spawn_local(maintenance::run_ticks(shared.clone()));
    if let Some(socket) = agent {
        spawn_local(snmp::answer(shared.clone(), socket));
    }
}

fn start_rtmp(shared: &Rc<Shared>, listener: TcpListener) -> io::Result<()> {
    info!("{} listens for RTMP on {}", shared.config.borrow().name, listener.local_addr()?);
    let admission = shared.admission.clone();
    let accepting = shared.accepting.subscribe();
    let shared = shared.clone();
    spawn_local(accept(admission, accepting, listener, move |client, from, permit| {
        // The RTMP settings are read for each connection: all but the address may have been reloaded.
        let Some(rtmp) = shared.config.borrow().rtmp.clone() else { return };
        let protocol = RtmpProtocol::new(rtmp.settings, from, rtmp.trusted.contains(&from.ip()));
        spawn_local(connection::serve(shared.clone(), client, protocol, permit));
    }));
    Ok(())
}

fn start_line(shared: &Rc<Shared>, listener: TcpListener) -> io::Result<()> {
    info!("{} listens on {}", shared.config.borrow().name, listener.local_addr()?);
    let admission = shared.admission.clone();
    let accepting = shared.accepting.subscribe();
    let shared = shared.clone();
    spawn_local(accept(admission, accepting, listener, move |client, _, permit| {
        let first_line_limit = shared.config.borrow().limits.first_line_timeout;
        let protocol = LineProtocol::new(shared.line_rules.clone(), first_line_limit);
        spawn_local(connection::serve(shared.clone(), client, protocol, permit));
    }));
    Ok(())
}

/// Offers the relay to a successor process, where a folder for hand-overs is configured.
fn start_handover_offer(shared: &Rc<Shared>, folder: Option<PathBuf>) {
    if let Some(folder) = folder {
        spawn_local(takeover::offer(shared.clone(), folder));
    }
}

/// Ticks the core for as long as the program runs.
async fn tick(shared: Rc<Shared>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        shared.with_core(|relay, now| relay.tick(now));
    }
}
