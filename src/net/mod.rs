//! The drivers: sockets, timers and buffers round the core. They read, write and wait; they decide nothing.
//!
//! Everything runs on one thread. The core's state is one [`RefCell`], borrowed for the length of one call and
//! never across an await.

mod accept;
mod affinity_store;
mod connection;
mod discovery;
pub(crate) mod http_call;
mod maintenance;
mod operators;
mod peers;
mod pool;
mod schema_version;
mod snmp;
mod takeover;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{error, info, warn};
use sandgw_affinity_store::writer::Writer;
use sandgw_maintenance::MaintenanceService;
use sandgw_schema_version::{SchemaVersion, SupportedVersions};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

use self::accept::{Admission, HANDOVER, Seat};
use crate::config::{Config, ConfigError};
use crate::discovery::EndpointList;
use crate::help::with_help;
use crate::listener::line::{LineNames, LineProtocol, LineRules};
use crate::listener::rtmp::RtmpProtocol;
use crate::policy::api::RequestId;
use crate::policy::api::{ListKind, Millis};
use crate::relay::{Command, ConnectionCommand, Relay};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause before the next accept when there is no descriptor for it, though they are counted: the process has
/// fewer than its configuration says.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A shortage of descriptors is over when there has been none for so long.
const SHORTAGE_OVER: Duration = Duration::from_secs(5);
/// How often round trips are summed up for the load balancer.
const TICK: Duration = Duration::from_secs(1);

/// Unix time in milliseconds, that never goes back.
struct Clock {
    base: Millis,
    start: Instant,
}

impl Clock {
    fn new() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Clock { base, start: Instant::now() }
    }

    fn now(&self) -> Millis {
        self.base + self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn at(&self, time: Millis) -> tokio::time::Instant {
        (self.start + span(time - self.base)).into()
    }
}

fn span(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).unwrap_or(Duration::MAX / 4)
}

/// A standing connection on its way to the next process.
type Passing = (crate::handover::Message, [OwnedFd; 2]);

/// What the drivers share.
struct Shared {
    clock: Clock,
    relay: RefCell<Relay>,
    connections: RefCell<HashMap<RequestId, mpsc::UnboundedSender<ConnectionCommand>>>,
    endpoint_list: RefCell<EndpointList>,
    pool: Rc<pool::Pool>,
    /// The load balancer asks for the list.
    watch: Notify,
    /// Discovery is at another address.
    moved: Notify,
    peers: OnceCell<UdpSocket>,
    /// Between messages and datagrams, where forms are on; and what may have changed in it.
    post: Option<RefCell<sandgw_schema_version::versioned_channel::VersionedChannel>>,
    forms: Notify,
    /// The tier was finalized at a form that this process can't read.
    left_behind: Cell<bool>,
    admission: Rc<Admission>,
    /// Open while this process takes what comes: clients and datagrams.
    gate: watch::Sender<bool>,
    /// The process before still finishes what it has.
    predecessor: Cell<bool>,
    /// SIGTERM has come.
    terminated: Cell<bool>,
    /// Nothing is left to do for a process that has handed over.
    over: Notify,
    /// Standing connections on their way to the next process, with their client's and their endpoint's descriptors.
    passing: (mpsc::UnboundedSender<Passing>, RefCell<Option<mpsc::UnboundedReceiver<Passing>>>),
    /// What the next process is to have, by key and address.
    sockets: RefCell<Vec<(String, OwnedFd)>>,
    /// Writes behind what is to last, where there is a folder for it.
    keeper: Option<Writer>,
    /// Maintenance windows, where the configuration has a section for them.
    maintenance: Option<RefCell<MaintenanceService>>,
    /// As read last, less what is taken at the next start only.
    config: RefCell<Config>,
    rules: Rc<LineRules>,
}

impl Shared {
    /// Calls the core and passes on what it commands.
    fn core<T>(self: &Rc<Self>, call: impl FnOnce(&mut Relay, Millis) -> T) -> T {
        let now = self.clock.now();
        let result = call(&mut self.relay.borrow_mut(), now);
        self.settle();
        result
    }

    /// When a client that is turned away for want of descriptors is to come again.
    fn retry_after(&self) -> Option<Millis> {
        self.config.borrow().settings.max_retry_after
    }

    fn settle(self: &Rc<Self>) {
        let commands = self.relay.borrow_mut().take_commands();
        for command in commands {
            match command {
                Command::Connection(id, command) => {
                    // A connection whose driver has ended needs nothing more.
                    let _ = self.connections.borrow().get(&id).map(|connection| connection.send(command));
                }
                Command::SetTimer { after, token } => {
                    let shared = self.clone();
                    spawn_local(async move {
                        tokio::time::sleep(span(after)).await;
                        shared.core(|relay, now| relay.timer_fired(now, token));
                    });
                }
                Command::Subscribe => self.watch.notify_one(),
                Command::SendToPeer { peer, message } => self.tell(peer, &message),
            }
        }
    }
}

fn line_names(relay: &Relay, config: &Config) -> LineNames {
    LineNames { groups: config.groups, classes: relay.accepted_classes(), tenants: config.tenants.clone() }
}

async fn tick(shared: Rc<Shared>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        shared.core(|relay, now| relay.tick(now));
    }
}

/// Whether a socket could not be had or connected for want of something here: descriptors, memory, ports. It is
/// no fault of the other side, and nothing was sent.
fn local_shortage(e: &io::Error) -> bool {
    use libc::{EADDRNOTAVAIL, EAGAIN, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC};
    matches!(e.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM | EADDRNOTAVAIL | EAGAIN | ENOSPC))
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A planned restart comes back to the same address while old connections still linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Waits until a gate is open, or shut.
async fn until(gate: &mut watch::Receiver<bool>, open: bool) {
    if gate.wait_for(|is| *is == open).await.is_err() {
        // Nobody will ever move it again.
        std::future::pending().await
    }
}

/// Waits for something while a gate is open; nothing where it was shut first.
async fn while_open<T>(gate: &mut watch::Receiver<bool>, work: impl Future<Output = T>) -> Option<T> {
    until(gate, true).await;
    tokio::select! {
        biased;
        () = until(gate, false) => None,
        done = work => Some(done),
    }
}

/// Accepts whenever the gate is open, for as long as the program runs.
async fn accept(
    admission: Rc<Admission>,
    mut gate: watch::Receiver<bool>,
    listener: TcpListener,
    serve: impl Fn(tokio::net::TcpStream, SocketAddr, Seat),
) {
    let mut short: Option<Instant> = None;
    loop {
        let Some(accepted) = while_open(&mut gate, listener.accept()).await else { continue };
        match accepted {
            Ok((client, from)) => serve(client, from, admission.seat().await),
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                // Once for each shortage: the log is not to grow with those who cause it. One accepted now and
                // then, for which another made room, does not end it.
                if short.replace(Instant::now()).is_none_or(|last| last.elapsed() > SHORTAGE_OVER) {
                    warn!("accept: {e}");
                }
                admission.clear();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Goes on serving after SIGTERM: the platform kills the program once every client has had its time, and
/// whatever still stands then is worth more served than cut off. One that has handed over ends once it has nothing.
async fn terminated(shared: Rc<Shared>, mut signal: Signal) {
    while signal.recv().await.is_some() {
        shared.terminated.set(true);
        info!("SIGTERM: serving on until killed");
    }
}

/// Takes a new configuration at every SIGHUP, whole or not at all; connections stand whatever it says.
async fn reload(shared: Rc<Shared>, mut signal: Signal, load: impl Fn() -> Result<Config, Vec<ConfigError>>) {
    while signal.recv().await.is_some() {
        let new = load().and_then(|new| shared.config.borrow().whole(new));
        match new {
            Ok(new) => {
                let before = shared.config.borrow().discovery;
                let left = shared.config.borrow_mut().reload(new);
                let now = shared.config.borrow().discovery;
                renew(&shared);
                info!("SIGHUP: configuration taken; discovery is at {now}");
                if !left.is_empty() {
                    warn!("SIGHUP: changed, but taken at the next start only: {}", left.join(", "));
                }
                if before != now {
                    shared.endpoint_list.borrow_mut().moved();
                    shared.core(Relay::discovery_changed);
                    shared.moved.notify_one();
                }
            }
            Err(faults) => {
                faults.iter().for_each(|e| error!("{}", with_help(e)));
                error!("SIGHUP: the configuration has faults, and the old one is kept");
            }
        }
    }
}

/// Puts the settings of the configuration in force: in the core, and for those not read yet.
fn renew(shared: &Rc<Shared>) {
    let (settings, classes) = {
        let config = shared.config.borrow();
        (config.settings.clone(), config.classes.clone())
    };
    if let Some(post) = &shared.post {
        post.borrow_mut().negotiator.set_position(schema_version::relay_position(&settings));
    }
    shared.core(|relay, now| relay.apply_settings(now, settings, &classes));
    shared.rules.apply_names(line_names(&shared.relay.borrow(), &shared.config.borrow()));
}

/// Runs a relay; returns when it cannot start, or has handed over and has nothing left. `load` reads its
/// configuration anew.
pub fn run(config: Config, load: impl Fn() -> Result<Config, Vec<ConfigError>> + 'static) -> io::Result<()> {
    // Before anything opens a descriptor, which could have the same number.
    let passed = config.passed_socket.map(sandgw_socket_activation::take).transpose();
    let passed = passed.map_err(|e| io::Error::new(e.kind(), format!("PROXY_PASSED_SOCKET: {e}")))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, passed, load))
}

async fn serve(
    mut config: Config,
    passed: Option<std::net::TcpListener>,
    load: impl Fn() -> Result<Config, Vec<ConfigError>> + 'static,
) -> io::Result<()> {
    // Before anything listens: left to its default, either signal ends a program that others already use.
    let (hangup, terminate) = (signal(SignalKind::hangup())?, signal(SignalKind::terminate())?);
    // So does a file at its size limit, be it the store's or the log: it is to fail the write only.
    let _too_large = signal(SignalKind::from_raw(libc::SIGXFSZ))?;
    let named = |what: &'static str| move |e: io::Error| io::Error::new(e.kind(), format!("{what}: {e}"));
    let clock = Clock::new();
    let most = config.forms.map_or(SchemaVersion::FIRST, SupportedVersions::newest);
    let kept = config
        .state
        .as_ref()
        .map(|s| affinity_store::open(&s.folder, most))
        .transpose()
        .map_err(named("state.folder"))?;
    let finalized = kept.as_ref().map_or(SchemaVersion::FIRST, |kept| kept.finalized);
    let post = schema_version::open_channel(&config, finalized, &clock)?;
    let own = if config.handover.is_some() { HANDOVER } else { 0 };
    let mut relay = Relay::new(config.settings.clone(), config.classes.clone(), config.seed, clock.now());
    let keeper = kept.map(|kept| affinity_store::restore(kept, &mut relay, clock.now())).transpose()?;
    let names = line_names(&relay, &config);
    let maintenance = maintenance::service(&config, clock.now()).map(RefCell::new);
    let known = std::mem::take(&mut config.known);
    let endpoint_list = std::mem::take(&mut config.endpoint_list);
    let (sender, passing) = mpsc::unbounded_channel();
    let shared = Rc::new(Shared {
        clock,
        relay: RefCell::new(relay),
        connections: RefCell::default(),
        endpoint_list: RefCell::default(),
        pool: Rc::default(),
        watch: Notify::new(),
        moved: Notify::new(),
        peers: OnceCell::new(),
        post,
        forms: Notify::new(),
        left_behind: Cell::new(false),
        admission: Admission::new(config.limits.sockets, own),
        gate: watch::Sender::new(false),
        predecessor: Cell::new(false),
        terminated: Cell::new(false),
        over: Notify::new(),
        passing: (sender, RefCell::new(Some(passing))),
        sockets: RefCell::default(),
        keeper,
        rules: Rc::new(LineRules::new(names)),
        maintenance,
        config: RefCell::new(config),
    });
    spawn_local(terminated(shared.clone(), terminate));
    spawn_local(reload(shared.clone(), hangup, load));
    // Operators are answered from the first moment on, that it is not ready too.
    let ops = shared.config.borrow().ops.map(listen).transpose().map_err(named("ops"))?;
    if let Some(listener) = ops {
        info!("operators call at {}", listener.local_addr()?);
        spawn_local(operators::answer(shared.clone(), listener));
    }
    let folder = shared.config.borrow().handover.clone();
    let mut handed = Vec::new();
    let mut old = match &folder {
        Some(folder) => takeover::ask(&shared, folder, &mut handed).await?,
        None => None,
    };
    // All addresses are taken before anything is served: a relay that lacks one does not start.
    let sockets = open(&shared, passed, handed)?;
    if let Some(socket) = shared.peers.get() {
        // Until it has been waited for once, it is not known to take anything: the first would be lost.
        socket.writable().await?;
    }
    if !shared.relay.borrow().has_endpoint_list() {
        *shared.endpoint_list.borrow_mut() = endpoint_list;
        shared.handle_list_update(ListKind::Cached, known, shared.clock.now());
    }
    let seed = shared.config.borrow().seed;
    shared.endpoint_list.borrow_mut().reseed(seed);
    let handed_over = old.is_some();
    while let Some(mut before) = old.take() {
        match takeover::take(&shared, &mut before).await {
            Ok(()) => drop(spawn_local(takeover::follow(shared.clone(), before))),
            Err(takeover::Failed::Refused(e)) => return Err(e),
            Err(takeover::Failed::Broken(e)) => {
                warn!("hand-over: the running process has broken off: {e}");
                // Where nobody is there any more, all that there was is here already.
                let folder = folder.as_deref().unwrap_or(std::path::Path::new(""));
                old = takeover::ask(&shared, folder, &mut Vec::new()).await?;
            }
        }
    }
    if !handed_over {
        schema_version::discover_finalized(&shared).await?;
    }
    spawn_local(tick(shared.clone()));
    spawn_local(schema_version::run(shared.clone()));
    spawn_local(discovery::watch(shared.clone()));
    spawn_local(peers::receive(shared.clone()));
    spawn_local(affinity_store::write_behind(shared.clone()));
    spawn_local(maintenance::run_ticks(shared.clone()));
    if let Some(socket) = sockets.agent {
        spawn_local(snmp::answer(shared.clone(), socket));
    }
    let name = shared.config.borrow().name.clone();
    if let Some(listener) = sockets.rtmp {
        info!("{name} listens for RTMP on {}", listener.local_addr()?);
        let of = shared.clone();
        spawn_local(accept(
            shared.admission.clone(),
            shared.gate.subscribe(),
            listener,
            move |client, from, seat| {
                // Read for each connection: all of it but the address may be new.
                let Some(rtmp) = of.config.borrow().rtmp.clone() else { return };
                let protocol = RtmpProtocol::new(rtmp.settings, from, rtmp.trusted.contains(&from.ip()));
                spawn_local(connection::serve(of.clone(), client, protocol, seat));
            },
        ));
    }
    if let Some(listener) = sockets.line {
        info!("{name} listens on {}", listener.local_addr()?);
        let of = shared.clone();
        spawn_local(accept(
            shared.admission.clone(),
            shared.gate.subscribe(),
            listener,
            move |client, _, seat| {
                let protocol = LineProtocol::new(of.rules.clone(), of.config.borrow().limits.first_line);
                spawn_local(connection::serve(of.clone(), client, protocol, seat));
            },
        ));
    }
    shared.gate.send_replace(true);
    if let Some(folder) = folder {
        spawn_local(takeover::offer(shared.clone(), folder));
    }
    shared.over.notified().await;
    Ok(())
}

/// What clients, relays and managers reach this relay by.
struct Sockets {
    line: Option<TcpListener>,
    rtmp: Option<TcpListener>,
    agent: Option<UdpSocket>,
}

/// Opens all sockets but the operators': passed by the platform, handed over by the process before, or bound.
fn open(
    shared: &Rc<Shared>,
    passed: Option<std::net::TcpListener>,
    mut handed: takeover::Handed,
) -> io::Result<Sockets> {
    let config = shared.config.borrow();
    let mut had = |key: &str, address: SocketAddr| {
        let key = format!("{key} {address}");
        handed.iter().position(|(other, _)| *other == key).map(|i| handed.swap_remove(i).1)
    };
    // Kept for the next process, where there may be one.
    let keep = |key: &str, address: SocketAddr, socket: std::os::fd::BorrowedFd<'_>| {
        if config.handover.is_some() {
            let kept = (format!("{key} {address}"), socket.try_clone_to_owned()?);
            shared.sockets.borrow_mut().push(kept);
        }
        io::Result::Ok(())
    };
    let named = |key: &str, e: io::Error| io::Error::new(e.kind(), format!("{key}: {e}"));
    let mut listener = |key: &str, address: SocketAddr| {
        let listener = match had(key, address) {
            Some(socket) => TcpListener::from_std(socket.into()),
            None => listen(address),
        };
        let listener = listener.map_err(|e| named(key, e))?;
        keep(key, address, listener.as_fd())?;
        io::Result::Ok(listener)
    };
    let line = match (passed, config.listen) {
        (Some(passed), listen) => {
            let address = passed.local_addr()?;
            if listen.is_some_and(|listen| listen != address) {
                warn!("PROXY_PASSED_SOCKET listens on {address}, which the configuration does not name");
            }
            Some(TcpListener::from_std(passed)?)
        }
        (None, Some(address)) => Some(listener("listen", address)?),
        (None, None) => None,
    };
    let rtmp = config.rtmp.as_ref().map(|r| listener("rtmp.listen", r.listen)).transpose()?;
    let mut datagrams = |key: &str, address: SocketAddr| {
        let socket = match had(key, address) {
            Some(socket) => socket.into(),
            None => std::net::UdpSocket::bind(address).map_err(|e| named(key, e))?,
        };
        socket.set_nonblocking(true)?;
        keep(key, address, socket.as_fd())?;
        UdpSocket::from_std(socket)
    };
    let agent = config.snmp.as_ref().map(|s| datagrams("snmp.listen", s.listen)).transpose()?;
    if let Some(address) = config.peer_listen {
        let _ = shared.peers.set(datagrams("peer_listen", address)?);
    }
    Ok(Sockets { line, rtmp, agent })
}
