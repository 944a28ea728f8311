//! What the drivers share, and the way from the core's commands to the drivers.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use sandgw_affinity_store::writer::Writer;
use sandgw_maintenance::MaintenanceService;
use sandgw_schema_version::versioned_channel::VersionedChannel;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;

use super::admission::Admission;
use super::clock::{Clock, span};
use super::pool::Pool;
use crate::config::Config;
use crate::discovery::EndpointList;
use crate::handover::Message;
use crate::listener::line::{LineNames, LineRules};
use crate::policy::api::{Millis, RequestId};
use crate::relay::{Command, ConnectionCommand, Relay};

/// An established connection on its way to the successor process.
pub struct OutgoingTransfer {
    /// The message that describes it.
    pub message: Message,
    /// Its sockets: the client's and the endpoint's.
    pub sockets: [OwnedFd; 2],
}

/// Established connections on their way to the successor process.
pub struct TransferQueue {
    /// The end that connections put themselves into.
    pub sender: mpsc::UnboundedSender<OutgoingTransfer>,
    /// The other end; `None` while a hand-over has it, and once there can be no successor.
    pub receiver: RefCell<Option<mpsc::UnboundedReceiver<OutgoingTransfer>>>,
}

impl TransferQueue {
    /// An empty queue.
    pub fn new() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        TransferQueue { sender, receiver: RefCell::new(Some(receiver)) }
    }
}

/// A bound socket that one process hands to the next.
pub struct InheritableSocket {
    /// The key of the setting that it was bound for, and its address.
    pub key: String,
    /// The socket.
    pub socket: OwnedFd,
}

/// What the drivers share. Each [`RefCell`] is borrowed for the length of one call and never across an await.
pub struct Shared {
    /// The time.
    pub clock: Clock,
    /// The core.
    pub relay: RefCell<Relay>,
    /// Where the core's commands for each connection go.
    pub connections: RefCell<HashMap<RequestId, mpsc::UnboundedSender<ConnectionCommand>>>,
    /// Discovery's list as it was received.
    pub endpoint_list: RefCell<EndpointList>,
    /// Buffers for connections.
    pub pool: Rc<Pool>,
    /// The load balancer requests the list.
    pub list_requested: Notify,
    /// Discovery is at another address.
    pub discovery_address_changed: Notify,
    /// The socket for datagrams between relays.
    pub peers: OnceCell<UdpSocket>,
    /// Translates between peers' messages and datagrams, where the configuration turns schema versions on.
    pub peer_channel: Option<RefCell<VersionedChannel>>,
    /// The version that the cluster writes may have changed.
    pub version_changed: Notify,
    /// It is logged that the cluster has finalized a version that this process can't read.
    pub is_unreadable_version_logged: Cell<bool>,
    /// Counts the descriptors of connections.
    pub admission: Rc<Admission>,
    /// Whether this process takes clients and datagrams, or another one does.
    pub accepting: watch::Sender<bool>,
    /// The predecessor process still finishes what it has.
    pub is_predecessor_running: Cell<bool>,
    /// SIGTERM was received.
    pub is_terminated: Cell<bool>,
    /// Nothing is left to do for a process that has handed over.
    pub finished: Notify,
    /// Established connections on their way to the successor process.
    pub transfers: TransferQueue,
    /// The sockets that a successor process gets.
    pub inheritable_sockets: RefCell<Vec<InheritableSocket>>,
    /// Writes affinity to the store, where there is a folder for it.
    pub store_writer: Option<Writer>,
    /// Maintenance windows, where the configuration has a section for them.
    pub maintenance: Option<RefCell<MaintenanceService>>,
    /// The configuration as it was read last, less what takes effect only at the next start.
    pub config: RefCell<Config>,
    /// What the line protocol accepts.
    pub line_rules: Rc<LineRules>,
}

impl Shared {
    /// Calls the core and carries out its commands.
    pub fn core<T>(self: &Rc<Self>, call: impl FnOnce(&mut Relay, Millis) -> T) -> T {
        let now = self.clock.now();
        let result = call(&mut self.relay.borrow_mut(), now);
        self.settle();
        result
    }

    /// When a client that is rejected for want of descriptors is to retry.
    pub fn retry_after(&self) -> Option<Millis> {
        self.config.borrow().settings.max_retry_after
    }

    /// Carries out the core's commands.
    pub fn settle(self: &Rc<Self>) {
        let commands = self.relay.borrow_mut().take_commands();
        for command in commands {
            self.run_command(command);
        }
    }

    fn run_command(self: &Rc<Self>, command: Command) {
        match command {
            Command::Connection(id, command) => {
                // A connection whose driver has ended needs no command.
                let _ = self.connections.borrow().get(&id).map(|connection| connection.send(command));
            }
            Command::SetTimer { after, token } => {
                let shared = self.clone();
                spawn_local(async move {
                    tokio::time::sleep(span(after)).await;
                    shared.core(|relay, now| relay.timer_fired(now, token));
                });
            }
            Command::Subscribe => self.list_requested.notify_one(),
            Command::SendToPeer { peer, message } => self.send_to_peer(peer, &message),
        }
    }
}

/// The names that the line protocol accepts.
pub fn line_names(relay: &Relay, config: &Config) -> LineNames {
    LineNames { groups: config.groups, classes: relay.accepted_classes(), tenants: config.tenants.clone() }
}
