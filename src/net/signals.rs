//! Handles SIGTERM and SIGHUP, each in a task of its own, and keeps SIGXFSZ from ending the program.

use std::io;
use std::rc::Rc;

use log::{error, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

use super::shared::{Shared, line_names};
use crate::config::{Config, ConfigError};
use crate::help::with_help;
use crate::relay::Relay;

/// The signals that the program receives from its start on. The default action of each would end the program.
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
    /// SIGXFSZ: a write would exceed the size limit of a file, such as the store's file or the log. Receiving
    /// the signal makes only that write fail.
    file_too_large: Signal,
}

impl Signals {
    /// Registers for the signals.
    ///
    /// # Errors
    /// The system refuses to register for a signal.
    pub fn register() -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let file_too_large = signal(SignalKind::from_raw(libc::SIGXFSZ))?;
        Ok(Signals { hangup, terminate, file_too_large })
    }

    /// Starts the tasks that handle SIGTERM and SIGHUP; `load` reads the configuration. Returns the receiver
    /// of SIGXFSZ, which needs no task: the caller only has to keep the receiver.
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

/// Records SIGTERM, after which the process goes on serving. The platform kills the program at the end of the
/// time that clients have to leave: clients whose connections would end with the process are asked to
/// reconnect before, and all connections are served until then. A process that has handed over ends once no
/// connection is left.
async fn handle_terminate(shared: Rc<Shared>, mut signal: Signal) {
    while signal.recv().await.is_some() {
        shared.is_terminated.set(true);
        shared.with_core(Relay::terminate);
        info!("SIGTERM: this process goes on serving until it is killed");
    }
}

/// Reads the configuration at every SIGHUP, and applies all of it or, where it has faults, nothing.
async fn handle_hangup(
    shared: Rc<Shared>,
    mut signal: Signal,
    load: impl Fn() -> Result<Config, Vec<ConfigError>>,
) {
    while signal.recv().await.is_some() {
        let loaded = load().and_then(|new| shared.config.borrow().reject_truncated(new));
        match loaded {
            Ok(new) => reload(&shared, new),
            Err(faults) => {
                faults.iter().for_each(|e| error!("{}", with_help(e)));
                error!("SIGHUP: the new configuration has faults; the current configuration stays in force");
            }
        }
    }
}

/// Puts a new configuration in force. Connections are kept.
fn reload(shared: &Rc<Shared>, new: Config) {
    let old_discovery = shared.config.borrow().discovery;
    let needs_restart = shared.config.borrow_mut().reload(new);
    let discovery = shared.config.borrow().discovery;
    apply_settings(shared);
    info!("SIGHUP: configuration taken; discovery is at {discovery}");
    if !needs_restart.is_empty() {
        warn!("SIGHUP: changed, but takes effect only at the next start: {}", needs_restart.join(", "));
    }
    if old_discovery != discovery {
        shared.endpoint_list.borrow_mut().service_replaced();
        shared.with_core(Relay::discovery_changed);
        shared.discovery_address_changed.notify_one();
    }
}

/// Applies the configuration's settings to the core, the channel between relays and the line protocol.
fn apply_settings(shared: &Rc<Shared>) {
    let settings = shared.config.borrow().settings.clone();
    let classes = shared.config.borrow().classes.clone();
    if let Some(channel) = &shared.peer_channel {
        channel.borrow_mut().negotiator.set_position(super::schema_version::relay_position(&settings));
    }
    shared.with_core(|relay, now| relay.apply_settings(now, settings, &classes));
    shared.line_rules.set_accepted_names(line_names(&shared.relay.borrow(), &shared.config.borrow()));
}
