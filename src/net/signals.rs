//! SIGTERM and SIGHUP, each handled by a task of its own.

use std::io;
use std::rc::Rc;

use log::{error, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

use super::shared::{Shared, line_names};
use crate::config::{Config, ConfigError};
use crate::help::with_help;
use crate::relay::Relay;

/// The signals that the program receives from its start on. Left to its default, each would end the program.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
    /// A file at its size limit, be it the store's or the log: only the write is to fail.
    file_too_large: Signal,
}

impl Signals {
    /// Registers for the signals.
    ///
    /// # Errors
    /// The system refuses to register for one.
    pub fn register() -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let file_too_large = signal(SignalKind::from_raw(libc::SIGXFSZ))?;
        Ok(Signals { hangup, terminate, file_too_large })
    }

    /// Starts the tasks that handle SIGTERM and SIGHUP; `load` reads the configuration. SIGXFSZ needs none:
    /// it is enough that what is returned is kept.
    pub fn handle(
        self,
        shared: &Rc<Shared>,
        load: impl Fn() -> Result<Config, Vec<ConfigError>> + 'static,
    ) -> Signal {
        spawn_local(handle_terminate(shared.clone(), self.terminate));
        spawn_local(handle_hangup(shared.clone(), self.hangup, load));
        self.file_too_large
    }
}

/// Goes on serving after SIGTERM: the platform kills the program once its clients have had their time, and
/// connections that are still established are served until then. A process that has handed over ends once
/// it has none.
async fn handle_terminate(shared: Rc<Shared>, mut signal: Signal) {
    while signal.recv().await.is_some() {
        shared.is_terminated.set(true);
        info!("SIGTERM: serving on until killed");
    }
}

/// Reads the configuration at every SIGHUP, and takes all of it or nothing.
async fn handle_hangup(
    shared: Rc<Shared>,
    mut signal: Signal,
    load: impl Fn() -> Result<Config, Vec<ConfigError>>,
) {
    while signal.recv().await.is_some() {
        let loaded = load().and_then(|new| shared.config.borrow().whole(new));
        match loaded {
            Ok(new) => reload(&shared, new),
            Err(faults) => {
                faults.iter().for_each(|e| error!("{}", with_help(e)));
                error!("SIGHUP: the configuration has faults, and the old one is kept");
            }
        }
    }
}

/// Puts a new configuration in force. Connections stay.
fn reload(shared: &Rc<Shared>, new: Config) {
    let old_discovery = shared.config.borrow().discovery;
    let needs_restart = shared.config.borrow_mut().reload(new);
    let discovery = shared.config.borrow().discovery;
    apply_settings(shared);
    info!("SIGHUP: configuration taken; discovery is at {discovery}");
    if !needs_restart.is_empty() {
        warn!("SIGHUP: changed, but taken at the next start only: {}", needs_restart.join(", "));
    }
    if old_discovery != discovery {
        shared.endpoint_list.borrow_mut().service_replaced();
        shared.core(Relay::discovery_changed);
        shared.discovery_address_changed.notify_one();
    }
}

/// Gives the configuration's settings to the core, to the channel between relays and to the line protocol.
fn apply_settings(shared: &Rc<Shared>) {
    let settings = shared.config.borrow().settings.clone();
    let classes = shared.config.borrow().classes.clone();
    if let Some(channel) = &shared.peer_channel {
        channel.borrow_mut().negotiator.set_position(super::schema_version::relay_position(&settings));
    }
    shared.core(|relay, now| relay.apply_settings(now, settings, &classes));
    shared.line_rules.apply_names(line_names(&shared.relay.borrow(), &shared.config.borrow()));
}
