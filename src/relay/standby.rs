//! Standby, and the migration of connections off this relay: on standby, after SIGTERM has announced the end of
//! this process, and after a hand-over. A migration asks the client to reconnect to any relay; a transfer
//! (`transfer`) passes the connection's sockets to the successor process of this relay; after a hand-over
//! (`takeover`) the successor accepts new connections.

use std::fmt;

use log::debug;

use super::Relay;
use super::commands::ConnectionCommand;
use super::connections::Connection;
use super::migration_schedule::{MIGRATION_STEP_MS, migrations_due};
use super::timers::CoreTimer;
use crate::policy::api::{Millis, RequestId};

/// How this process treats new clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingMode {
    /// The process accepts requests.
    #[default]
    Active,
    /// The process waits for its first list lease: health checks say that the process is not ready.
    Starting,
    /// Health checks say that the process wants no new clients.
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

/// Why connections migrate off this relay, and since when they do.
#[derive(Default)]
pub(super) struct StandbyState {
    /// Since when the relay is on standby.
    pub(super) since: Option<Millis>,
    /// Whether another process serves in place of this process.
    pub(super) is_handed_over: bool,
    /// Whether this process was told to terminate.
    is_terminating: bool,
    /// Since when connections migrate off this relay; `None` while the timer of the migration steps is not
    /// set.
    migrating_since: Option<Millis>,
}

impl StandbyState {
    /// Whether connections that can't stay are to leave this relay.
    fn is_leaving(&self) -> bool {
        self.since.is_some() || self.is_handed_over || self.is_terminating
    }
}

impl Relay {
    /// How this process treats new clients.
    pub fn serving_mode(&self) -> ServingMode {
        if self.standby.since.is_some() {
            ServingMode::Standby
        } else if self.awaits_first_lease() {
            ServingMode::Starting
        } else {
            ServingMode::Active
        }
    }

    /// Goes on standby: the relay wants no new clients, and migrates connections that can't stay. A second
    /// call changes nothing.
    pub fn enter_standby(&mut self, now: Millis) {
        self.standby.since.get_or_insert(now);
        self.start_migration(now);
    }

    /// Records that this process was told to terminate and will be killed some time later. It goes on serving,
    /// and migrates the connections that would end with it.
    pub fn terminate(&mut self, now: Millis) {
        self.standby.is_terminating = true;
        self.start_migration(now);
    }

    /// How long the relay has been on standby, if it is on standby.
    pub fn standby_elapsed(&self, now: Millis) -> Option<Millis> {
        self.standby.since.map(|since| now - since)
    }

    /// Ends standby. Clients that were already asked to reconnect still do so; no more clients are asked.
    pub fn activate(&mut self) {
        self.standby.since = None;
    }

    /// Sets the timer of the migration steps, unless the timer is set already.
    pub(super) fn start_migration(&mut self, now: Millis) {
        if self.standby.migrating_since.is_none() {
            self.standby.migrating_since = Some(now);
            self.set_timer(MIGRATION_STEP_MS, CoreTimer::MigrationStep);
        }
    }

    /// Runs one step of the migration off this relay. Connections that are established after this step are
    /// left to the next one.
    pub(super) fn run_migration_step(&mut self, now: Millis) {
        let migrating_since = self.standby.migrating_since.take();
        let Some(since) = migrating_since.filter(|_| self.standby.is_leaving()) else { return };
        self.standby.migrating_since = Some(since);
        let mut due = self
            .connections
            .sorted_ids(|c| c.is_established() && !c.migrating && !self.needs_no_migration(c));
        due.truncate(migrations_due(now - since, due.len()));
        for id in due {
            self.migrate_connection(id);
        }
        self.set_timer(MIGRATION_STEP_MS, CoreTimer::MigrationStep);
    }

    /// Whether a connection goes on without its client being asked to reconnect. On standby and after SIGTERM
    /// this holds only for a connection that the network reroutes; after a hand-over without standby, also for
    /// one that can be transferred to the successor process.
    fn needs_no_migration(&self, connection: &Connection) -> bool {
        let can_be_transferred = self.standby.is_handed_over && self.standby.since.is_none();
        connection.reroutable && (self.packet_passthrough || can_be_transferred)
    }

    /// Asks the client of an established connection to reconnect, at most once for each connection; further
    /// calls change nothing.
    pub(super) fn migrate_connection(&mut self, id: RequestId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !connection.is_established() || connection.migrating {
            return;
        }
        connection.migrating = true;
        debug!("connection {}: the client is asked to reconnect", id.0);
        self.counters.migrations += 1;
        self.command(id, ConnectionCommand::Migrate);
    }
}

#[cfg(test)]
mod tests;
