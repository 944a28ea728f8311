//! Transfers established connections from one process of a relay to its successor.

use serde::{Deserialize, Serialize};

use super::Relay;
use super::commands::ConnectionCommand;
use super::connections::{Connection, ConnectionStage};
use crate::policy::api::{EndpointId, Event, Key, Millis, Request, RequestId};

/// An established connection, as sent to the other process: the order and the types of the fields are part of
/// the hand-over's messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredConnection {
    /// Name of the connection's class.
    pub class: String,
    /// Id of the connection's endpoint.
    pub endpoint: String,
    pub(super) client: Option<String>,
    pub(super) group: Option<String>,
    pub(super) load: Option<f64>,
    pub(super) drained_by_endpoint: bool,
    pub(super) reroutable: bool,
}

impl TransferredConnection {
    fn into_request(self, id: RequestId, class: Option<crate::policy::api::ClassId>, now: Millis) -> Request {
        let key = |text: Option<String>| text.map(|text| Key(text.into()));
        Request {
            id,
            class,
            client: key(self.client),
            group: key(self.group),
            deadline: now,
            setup_time_used: 0.0,
            // The other process may be of another version, so the transferred load is checked like that of a
            // client.
            load: self.load.filter(|load| load.is_finite() && *load > 0.0),
            mid_flow: false,
            is_returning: false,
            drained_by_endpoint: self.drained_by_endpoint,
        }
    }
}

impl Relay {
    /// Commands the transfer of at most `max_connections` connections to the other process, since this
    /// process ends soon. Connections that can't be transferred are migrated as on standby, though the relay
    /// goes on accepting requests.
    pub fn transfer_connections(&mut self, now: Millis, max_connections: usize) {
        self.start_migration(now);
        let ids = self
            .connections
            .sorted_ids(|c| c.is_established() && !c.migrating && !c.transferring && c.reroutable);
        for id in ids.into_iter().take(max_connections) {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.transferring = true;
            }
            self.command(id, ConnectionCommand::Transfer);
        }
    }

    /// Describes an established connection for the process that serves now; `None` where no such connection
    /// is established.
    pub fn transfer_connection(&self, id: RequestId) -> Option<TransferredConnection> {
        let connection = self.connections.get(id)?;
        let ConnectionStage::Established(endpoint) = &connection.stage else { return None };
        let request = self.load_balancer.request(id)?;
        let text = |key: &Option<Key>| key.as_ref().map(|key| key.0.to_string());
        let class = connection.class.and_then(|class| self.classes.name(class));
        Some(TransferredConnection {
            class: class.unwrap_or_default().to_owned(),
            endpoint: endpoint.0.to_string(),
            client: text(&request.client),
            group: text(&request.group),
            load: request.load,
            drained_by_endpoint: request.drained_by_endpoint,
            reroutable: connection.reroutable,
        })
    }

    /// Adopts a connection that the predecessor process had established.
    pub fn adopt_connection(&mut self, now: Millis, transferred: TransferredConnection) -> RequestId {
        let id = self.connections.allocate_id();
        let endpoint = EndpointId(transferred.endpoint.as_str().into());
        let class = self.classes.position(&transferred.class);
        let connection = Connection::transferred(endpoint.clone(), class, transferred.reroutable);
        self.connections.insert(id, connection);
        self.endpoints.connection_established(&endpoint);
        let request = transferred.into_request(id, class, now);
        self.events.push_back(Event::ExistingConnection { request, endpoint });
        self.handle_queued_events(now);
        id
    }
}
