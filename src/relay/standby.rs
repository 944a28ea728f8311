//! Standby, and migration off this relay on standby or once this process is to end. A migration asks the
//! client to reconnect, anywhere; a transfer (`transfer`) passes its sockets to the next process of this
//! relay; after a hand-over (`takeover`) that process accepts.

use std::fmt;

use log::debug;

use super::Relay;
use super::commands::ConnectionCommand;
use super::connections::Connection;
use super::migration_schedule::{MIGRATION_STEP_MS, migrations_due};
use super::timers::CoreTimer;
use crate::policy::api::{Millis, RequestId};

/// What this process does for new clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingMode {
    /// It accepts requests.
    #[default]
    Active,
    /// Its first poll of discovery has not ended: its health checks say that it is not ready.
    Starting,
    /// Its health checks say that it wants no new clients.
    Standby,
}

impl fmt::Display for ServingMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ServingMode::Active => "active",
            ServingMode::Starting => "starting",
            ServingMode::Standby => "standby",
        })
    }
}

/// Whether and since when this process steps back.
#[derive(Default)]
pub(super) struct StandbyState {
    /// Since when the relay is on standby.
    pub(super) since: Option<Millis>,
    /// Since when another process serves in this one's place.
    pub(super) handed_over_at: Option<Millis>,
    /// The timer of the next migration step is set.
    migration_timer_set: bool,
}

impl Relay {
    /// What it does for new clients.
    pub fn serving_mode(&self) -> ServingMode {
        if self.standby.since.is_some() {
            ServingMode::Standby
        } else if self.awaits_first_poll() {
            ServingMode::Starting
        } else {
            ServingMode::Active
        }
    }

    /// Goes on standby: wants no new clients, and migrates connections that can't stay. A second call
    /// changes nothing.
    pub fn enter_standby(&mut self, now: Millis) {
        self.standby.since.get_or_insert(now);
        self.start_migration();
    }

    /// How long it has been on standby, if it is.
    pub fn standby_elapsed(&self, now: Millis) -> Option<Millis> {
        self.standby.since.map(|since| now - since)
    }

    /// Ends standby. Clients that were asked to reconnect do so all the same; no more are asked.
    pub fn activate(&mut self) {
        self.standby.since = None;
    }

    /// Sets the timer of the migration steps, unless it is set.
    pub(super) fn start_migration(&mut self) {
        if !self.standby.migration_timer_set {
            self.standby.migration_timer_set = true;
            self.set_timer(MIGRATION_STEP_MS, CoreTimer::MigrationStep);
        }
    }

    /// One step of the migration off this relay, on standby or once this process is to end. Connections
    /// that are established after this step are looked at by the next one.
    pub(super) fn run_migration_step(&mut self, now: Millis) {
        let Some(since) = self.standby.since.or(self.standby.handed_over_at) else {
            self.standby.migration_timer_set = false;
            return;
        };
        let mut due = self
            .connections
            .sorted_ids(|c| c.is_established() && !c.migrating && !self.needs_no_migration(c));
        due.truncate(migrations_due(now - since, due.len()));
        for id in due {
            self.migrate_connection(id);
        }
        self.set_timer(MIGRATION_STEP_MS, CoreTimer::MigrationStep);
    }

    /// Whether a connection goes on without being asked to reconnect. On standby only one that the network
    /// reroutes does; when only handed over, one that can be transferred to the next process does too.
    fn needs_no_migration(&self, connection: &Connection) -> bool {
        connection.reroutable && (self.packet_passthrough || self.standby.since.is_none())
    }

    /// Asks the client of an established connection to reconnect, at most once a connection; further calls
    /// change nothing.
    pub(super) fn migrate_connection(&mut self, id: RequestId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !connection.is_established() || connection.migrating {
            return;
        }
        connection.migrating = true;
        debug!("connection {}: asked to reconnect", id.0);
        self.counters.migrations += 1;
        self.command(id, ConnectionCommand::Migrate);
    }
}
