//! The state that the drivers share, and the dispatch of the core's commands to the drivers.

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
use super::clock::{Clock, duration_from_millis};
use super::pool::BufferPool;
use crate::config::Config;
use crate::discovery::EndpointList;
use crate::handover::Message;
use crate::listener::line::{AcceptedNames, LineProtocolState};
use crate::policy::api::{Millis, RequestId};
use crate::relay::{Command, ConnectionCommand, Relay};

/// An established connection that is being transferred to the successor process.
pub struct OutgoingTransfer {
    /// The message that describes the connection to the successor process.
    pub message: Message,
    /// The connection's sockets: the client's and the endpoint's.
    pub sockets: [OwnedFd; 2],
}

/// The queue of established connections that are to be transferred to the successor process.
pub struct TransferQueue {
    /// The sending end, which the connections' drivers use.
    pub sender: mpsc::UnboundedSender<OutgoingTransfer>,
    /// The receiving end; `None` while a hand-over uses it, and once no successor process can follow.
    pub receiver: RefCell<Option<mpsc::UnboundedReceiver<OutgoingTransfer>>>,
}

impl TransferQueue {
    /// An empty queue.
    pub fn new() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        TransferQueue { sender, receiver: RefCell::new(Some(receiver)) }
    }
}

/// A bound socket that a process hands over to its successor.
pub struct InheritableSocket {
    /// The key of the setting that the socket was bound for, and the socket's address.
    pub key: String,
    /// The socket.
    pub socket: OwnedFd,
}

/// The state that the drivers share. Each [`RefCell`] is borrowed for the length of one call and never across
/// an await.
pub struct Shared {
    /// The clock that the drivers and the core use.
    pub clock: Clock,
    /// The core, which makes all decisions.
    pub relay: RefCell<Relay>,
    /// For each connection, the sender through which its driver receives the core's commands.
    pub connections: RefCell<HashMap<RequestId, mpsc::UnboundedSender<ConnectionCommand>>>,
    /// The endpoint list as it was received from discovery.
    pub endpoint_list: RefCell<EndpointList>,
    /// The pool of the connections' buffers.
    pub pool: Rc<BufferPool>,
    /// Notified when the load balancer requests the endpoint list.
    pub list_requested: Notify,
    /// Whether discovery has answered this process.
    pub has_discovery_answered: Cell<bool>,
    /// Notified when an answer, or an outage of discovery, may have confirmed the endpoint list.
    pub list_confirmed: Notify,
    /// Notified when the configured address of discovery has changed.
    pub discovery_address_changed: Notify,
    /// The socket for datagrams between relays.
    pub peer_socket: OnceCell<UdpSocket>,
    /// Translates between peers' messages and datagrams; `None` if the configuration does not turn schema
    /// versions on.
    pub peer_channel: Option<RefCell<VersionedChannel>>,
    /// Notified when the schema version that the cluster writes may have changed.
    pub version_changed: Notify,
    /// Whether the log already says that the cluster has finalized a schema version that this process can't
    /// read.
    pub is_unreadable_version_logged: Cell<bool>,
    /// Counts the descriptors of connections.
    pub admission: Rc<Admission>,
    /// Whether this process accepts clients and datagrams; if not, another process of this relay does.
    pub accepting: watch::Sender<bool>,
    /// Whether the predecessor process still serves its remaining connections.
    pub is_predecessor_running: Cell<bool>,
    /// Whether SIGTERM was received.
    pub is_terminated: Cell<bool>,
    /// Notified when a process that has handed over has nothing left to do.
    pub hand_over_finished: Notify,
    /// The established connections that are to be transferred to the successor process.
    pub transfers: TransferQueue,
    /// The sockets that a successor process inherits.
    pub inheritable_sockets: RefCell<Vec<InheritableSocket>>,
    /// Writes client affinity to the store; `None` if no folder is configured for the store.
    pub store_writer: Option<Writer>,
    /// The maintenance windows; `None` if the configuration has no section for them.
    pub maintenance: Option<RefCell<MaintenanceService>>,
    /// The configuration as it was last read, without the changes that take effect only at the next start.
    pub config: RefCell<Config>,
    /// The state that all connections of the line protocol share, including the class and tenant names that
    /// the protocol accepts in requests.
    pub line_rules: Rc<LineProtocolState>,
}

impl Shared {
    /// Calls the core, then carries out the commands that the call has produced.
    pub fn with_core<T>(self: &Rc<Self>, call: impl FnOnce(&mut Relay, Millis) -> T) -> T {
        let now = self.clock.now();
        let result = call(&mut self.relay.borrow_mut(), now);
        self.run_pending_commands();
        result
    }

    /// After how long a client that is rejected for want of descriptors should retry.
    pub fn retry_after(&self) -> Option<Millis> {
        self.config.borrow().settings.max_retry_after
    }

    /// Carries out the commands that the core has produced and not yet given out.
    pub fn run_pending_commands(self: &Rc<Self>) {
        let commands = self.relay.borrow_mut().take_commands();
        for command in commands {
            self.run_command(command);
        }
    }

    fn run_command(self: &Rc<Self>, command: Command) {
        match command {
            Command::Connection(id, command) => {
                // A command for a connection whose driver has ended is dropped.
                let _ = self.connections.borrow().get(&id).map(|connection| connection.send(command));
            }
            Command::SetTimer { after, token } => {
                let shared = self.clone();
                spawn_local(async move {
                    tokio::time::sleep(duration_from_millis(after)).await;
                    shared.with_core(|relay, now| relay.timer_fired(now, token));
                });
            }
            Command::Subscribe => self.list_requested.notify_one(),
            Command::SendToPeer { peer, message } => self.send_to_peer(peer, &message),
        }
    }
}

/// The class and tenant names that the line protocol accepts in requests.
pub fn line_names(relay: &Relay, config: &Config) -> AcceptedNames {
    AcceptedNames {
        groups: config.groups_share_work,
        classes: relay.accepted_classes(),
        tenants: config.tenants.clone(),
    }
}
